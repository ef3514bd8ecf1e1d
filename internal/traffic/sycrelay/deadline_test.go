package sycrelay

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestDeadlineBlamesNoStandby guards against a sound endpoint that counts as failed for a stream's deadline.
func TestDeadlineBlamesNoStandby(t *testing.T) {
	tests := []struct {
		name  string
		other rigEndpoint
	}{
		{"no answer yet", func(_ http.ResponseWriter, r *http.Request, _ int) { pause(r, time.Hour) }},
		{"only a head", func(w http.ResponseWriter, r *http.Request, _ int) { send(w, ""); pause(r, time.Hour) }},
		{"an event has begun", func(w http.ResponseWriter, r *http.Request, _ int) { send(w, "id: 1"); pause(r, time.Hour) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 2, streamWith(time.Hour), tt.other)
			r.config.Match("h", "/stream/1").Timeout = longSilence
			status, _, err := r.get(t.Context(), "/stream/1")
			must.Eq(t, http.StatusOK, status)
			must.Error(t, err)
			awaitLeft(r, 1)
			for !r.wasTold("e1 cancelled") && !r.wasTold("e1 failed") {
				time.Sleep(time.Millisecond)
			}
			must.False(t, r.wasTold("e1 failed"))
			must.False(t, r.wasTold("e1 ended"))
		})
	}
}
