package sycrelay

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRejectedAnswerEndsItsConnection guards against a stream that runs at two endpoints: an answer without an event is
// no stream's, so that its endpoint may still work on the request and stops only when its connection is closed.
func TestRejectedAnswerEndsItsConnection(t *testing.T) {
	closed := make(chan struct{})
	noStream := func(w http.ResponseWriter, _ *http.Request, _ int) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	}
	r := newRig(t, 2, noStream, streamWith())
	status, body, err := r.get(t.Context(), "/stream/x")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, rigStream, body)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the endpoint's connection is still open")
	}
}
