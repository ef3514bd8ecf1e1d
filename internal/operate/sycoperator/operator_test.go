package sycoperator_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/operate/sycoperator"
)

// TestHandler checks which paths need the token and what they respond.
func TestHandler(t *testing.T) {
	ready := false
	handler := sycoperator.New(sycoperator.Options{
		Ready:  func() (bool, string) { return ready, "no configuration yet" },
		Status: func() any { return map[string]int{"applied": 7} },
		Token:  "secret",
	})
	tests := []struct {
		name, path, token string
		ready             bool
		status            int
		body              string
	}{
		{"healthy without token", "/healthz", "", false, http.StatusOK, "ok"},
		{"not ready", "/readyz", "", false, http.StatusServiceUnavailable, "no configuration yet"},
		{"ready", "/readyz", "", true, http.StatusOK, "ready"},
		{"status without token", "/v1/status", "", true, http.StatusUnauthorized, "token"},
		{"status with a wrong token", "/v1/status", "wrong", true, http.StatusUnauthorized, "token"},
		{"status", "/v1/status", "secret", true, http.StatusOK, "\"applied\": 7"},
		{"metrics", "/metrics", "secret", true, http.StatusOK, "process_"},
		{"profiles are off", "/debug/pprof/", "secret", true, http.StatusNotFound, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ready = tt.ready
			request := httptest.NewRequest(http.MethodGet, tt.path, nil)
			if tt.token != "" {
				request.Header.Set("Authorization", "Bearer "+tt.token)
			}
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			must.Eq(t, tt.status, recorder.Code)
			must.StrContains(t, recorder.Body.String(), tt.body)
		})
	}
}
