//go:build knownred

package sycrelay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestKnownRedSilentStandby guards against the stream of a sound endpoint that is given up for one that has sent no event.
func TestKnownRedSilentStandby(t *testing.T) {
	// begin is an endpoint that begins an answer, sends a part again and again, and ends after a time.
	begin := func(part string, end time.Duration) rigEndpoint {
		return func(w http.ResponseWriter, r *http.Request, _ int) {
			for ended := time.Now().Add(end); time.Now().Before(ended); {
				send(w, part)
				pause(r, maxStreamPause/8)
			}
			panic(http.ErrAbortHandler)
		}
	}
	tests := []struct {
		name  string
		other rigEndpoint
	}{
		{"other sends no answer", func(_ http.ResponseWriter, r *http.Request, _ int) { pause(r, time.Hour) }},
		{"other sends only a head", begin("", time.Hour)},
		{"other sends only comments", begin(": soon\n\n", time.Hour)},
		{"other sends only bytes", begin("x", time.Hour)},
		{"other sends only the last event again", begin(rigEventsFrom(0, 1), time.Hour)},
		{"other breaks off after the silence", begin("", longSilence)},
		{"other breaks off inside an event", begin("x", longSilence)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 2, streamWith(longSilence, longSilence), tt.other)
			ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
			defer cancel()
			status, body, err := r.get(ctx, "/stream/1")
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, status)
			must.Eq(t, rigStream, body)
		})
	}
}
