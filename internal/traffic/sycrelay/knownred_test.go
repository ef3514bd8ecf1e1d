//go:build knownred

package sycrelay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestKnownRedOverdueStandby guards against a slow standby that is given up for an endpoint that then rejects the stream.
func TestKnownRedOverdueStandby(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request, first int) {
		pause(r, longSilence)
		streamWith()(w, r, first)
	}
	r := newRig(t, 3, streamWith(time.Hour), slow, answerWith(0, http.StatusServiceUnavailable, "Not-Run", ""))
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	_, body, err := r.get(ctx, "/stream/1")
	must.NoError(t, err)
	must.Eq(t, rigStream, body)
}
