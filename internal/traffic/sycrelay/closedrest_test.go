package sycrelay

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// closeAfter returns an endpoint whose answer has neither a length nor chunks, and that closes its connection
// after a part of a stream.
func closeAfter(part string) rigEndpoint {
	return func(w http.ResponseWriter, _ *http.Request, _ int) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+part)
		_ = conn.Close()
	}
}

// TestClosedConnectionCompletesNoRest guards against a stream that looks complete because the endpoint of its rest closed without sending any.
func TestClosedConnectionCompletesNoRest(t *testing.T) {
	breaks := streamWith(0, broken)
	tests := []struct {
		name      string
		attempts  int
		endpoints []rigEndpoint
		// whole is set if an endpoint sends the whole stream. Otherwise it must be cut.
		whole bool
	}{
		{"other closes", 2, []rigEndpoint{breaks, closeAfter("")}, false},
		{"other closes after a comment", 2, []rigEndpoint{breaks, closeAfter(": soon\n\n")}, false},
		{"other closes after the last event again", 2, []rigEndpoint{breaks, closeAfter(rigEventsFrom(1, 2))}, false},
		{"other closes, a third is left", 3, []rigEndpoint{breaks, closeAfter(""), streamWith()}, true},
		{"other sends the rest and closes", 2, []rigEndpoint{breaks, closeAfter(rigEventsFrom(2, rigEvents))}, true},
		{"standby closes after the first has broken off", 2, []rigEndpoint{
			func(w http.ResponseWriter, r *http.Request, _ int) {
				send(w, rigEventsFrom(0, 2))
				pause(r, shortSilence)
				panic(http.ErrAbortHandler)
			},
			func(w http.ResponseWriter, r *http.Request, first int) {
				pause(r, longSilence)
				closeAfter("")(w, r, first)
			},
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, tt.attempts, tt.endpoints...)
			ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
			defer cancel()
			status, body, err := r.get(ctx, "/stream/1")
			must.Eq(t, http.StatusOK, status)
			must.Eq(t, tt.whole, err == nil)
			must.Eq(t, tt.whole, body == rigStream)
			must.NoError(t, ctx.Err())
		})
	}
}
