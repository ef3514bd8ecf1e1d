//go:build knownred

package sycrelay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestKnownRedRejectedStandby guards against a stream that is cut when its endpoint breaks off, because one that has
// not run it, but rejected it as a standby, counts as its last attempt. Without the silence the stream is resumed.
func TestKnownRedRejectedStandby(t *testing.T) {
	tests := []struct {
		name      string
		rejection rigEndpoint
	}{
		{"full", answerWith(0, http.StatusServiceUnavailable, "Not-Run", "")},
		{"other weights", answerWith(0, http.StatusMisdirectedRequest, "", "")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 2, streamWith(longSilence, broken), tt.rejection, streamWith())
			ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
			defer cancel()
			_, body, err := r.get(ctx, "/stream/1")
			must.NoError(t, err)
			must.Eq(t, rigStream, body)
		})
	}
}

// TestKnownRedOverdueStandby guards against a standby that would resume the stream and is given up, as slow, for one
// that hasn't been asked yet and then rejects.
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
