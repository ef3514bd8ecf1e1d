package sycrelay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLastStandbyKeepsTheEndpoint guards against an interrupted engine whose stream has only a standby that has sent nothing.
func TestLastStandbyKeepsTheEndpoint(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request, _ int) { pause(r, time.Hour) }
	tests := []struct {
		name     string
		attempts int
		last     bool
	}{
		{"no attempt left", 2, true},
		{"a third is left", 3, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, tt.attempts, streamWith(time.Hour), hang)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_, _, _ = r.get(ctx, "/stream/1")
			}()
			for received := 0; received == 0; received, _ = r.count(1) {
				time.Sleep(time.Millisecond)
			}
			// The request has reached the other endpoint, which sends nothing.
			must.Eq(t, tt.last, r.wasTold("e0 last"))
			cancel()
			<-ended
		})
	}
}
