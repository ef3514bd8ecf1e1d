package sycrelay

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// TestContradictoryRefusalIsNotBelieved guards against a request that may run once and is sent again, or is said not
// to have run, because its endpoint refuses it for the very weights that the request asked for.
func TestContradictoryRefusalIsNotBelieved(t *testing.T) {
	const named = 7
	tests := []struct {
		name, path string
		asked      int64
		status     int
		arrivals   int
	}{
		{"once, as asked", "/once/x", named, http.StatusBadGateway, 1},
		{"once, others", "/once/x", named - 1, http.StatusServiceUnavailable, 1 + maxUncounted},
		{"repeatable, as asked", "/call/x", named, http.StatusOK, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, 2, answerWith(0, http.StatusMisdirectedRequest, "", ""), answerWith(0, http.StatusOK, "", ""))
			r.targets[0].Weights = tt.asked
			if tt.arrivals > 1 {
				r.targets = r.targets[:1]
			}
			status, _, err := r.get(t.Context(), tt.path)
			must.NoError(t, err)
			must.Eq(t, tt.status, status)
			received, _ := r.count(0)
			must.Eq(t, tt.arrivals, received)
		})
	}
}
