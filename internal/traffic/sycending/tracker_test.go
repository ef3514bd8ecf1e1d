package sycending

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// hookKey is the key of a value that a server's own hook sets.
type hookKey struct{}

// TestServersView guards against connections that are counted as cut though they aren't, or the reverse, and against lost hooks.
func TestServersView(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		reason  Reason
	}{
		{"complete", func(_ http.ResponseWriter, r *http.Request) { Of(r.Context()).End(Panic) }, ""},
		{"complete, then closed", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") }, ""},
		{"aborted with a reason", func(_ http.ResponseWriter, r *http.Request) {
			Of(r.Context()).End(BrokenOff)
			panic(http.ErrAbortHandler)
		}, BrokenOff},
		{"aborted without a reason", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, Internal},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var value any
			opened := 0
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				value = r.Context().Value(hookKey{})
				tt.handler(w, r)
			}))
			s.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context { return context.WithValue(ctx, hookKey{}, "set") }
			s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					opened++
				}
			}
			tracker := New()
			tracker.Install(s.Config)
			s.Start()
			before := map[Reason]uint64{}
			for _, r := range []Reason{BrokenOff, Internal, Panic} {
				before[r] = CutConnections(r).Get()
			}
			transport := &http.Transport{}
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL, nil)
			must.NoError(t, err)
			answer, err := transport.RoundTrip(request)
			must.Eq(t, tt.reason != "", err != nil)
			if err == nil {
				_, err = io.Copy(io.Discard, answer.Body)
				must.NoError(t, err)
				must.NoError(t, answer.Body.Close())
			}
			transport.CloseIdleConnections()
			for tracker.size() > 0 {
				time.Sleep(time.Millisecond)
			}
			s.Close()
			for r, n := range before {
				if r == tt.reason {
					n++
				}
				must.Eq(t, n, CutConnections(r).Get(), must.Sprint(r))
			}
			must.Eq(t, "set", value)
			must.Eq(t, 1, opened)
		})
	}
}

// size returns the number of open connections.
func (t *Tracker) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.connections)
}

// TestCutReachesLateConnections guards against a late connection, cut by the VM's stop, that looks like a caller's leaving.
func TestCutReachesLateConnections(t *testing.T) {
	tracker := New()
	early, late := &net.TCPConn{}, &net.TCPConn{}
	first := tracker.open(t.Context(), early)
	Of(first).begin()
	tracker.Cut()
	second := tracker.open(t.Context(), late)
	for _, ctx := range []context.Context{first, second} {
		var cut *DrainCutError
		must.True(t, errors.As(context.Cause(ctx), &cut))
		must.Eq(t, 1, cut.Running)
	}
	must.True(t, tracker.isBusy())
	Of(first).end(true)
	must.False(t, tracker.isBusy())
}
