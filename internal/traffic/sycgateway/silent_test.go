package sycgateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// TestArrivingAnswerIsKept guards against an arriving answer that is given up for an endpoint that has shown nothing.
func TestArrivingAnswerIsKept(t *testing.T) {
	const parts = 40
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Sycamorecart-Attempt", r.Header.Get("Sycamorecart-Attempt"))
		for range parts {
			_, _ = io.WriteString(w, "part ")
			w.(http.Flusher).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	}))
	t.Cleanup(slow.Close)
	full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Sycamorecart-Attempt", r.Header.Get("Sycamorecart-Attempt"))
		w.Header().Set("Sycamorecart-Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(full.Close)
	tests := []struct {
		name    string
		targets []sycwork.Target
	}{
		{"only endpoint", []sycwork.Target{serviceTarget("service1", slow.URL)}},
		{"other full", []sycwork.Target{serviceTarget("service1", slow.URL), serviceTarget("service2", full.URL)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newTestGateway(t, nil, tt.targets...)
			r.state = applyRecords(t, r.state, record{"route", "slots", map[string]any{
				"prefix": "/slots", "type": "service", "service": "slots", "repeatable": true, "timeout": "3s",
			}})
			resp := r.post(t, "/slots/x", "x")
			body := readBody(t, resp)
			must.Eq(t, http.StatusOK, resp.StatusCode)
			must.Eq(t, strings.Repeat("part ", parts), body)
		})
	}
}
