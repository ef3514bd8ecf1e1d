// Package sycending observes callers' connections from the side of the HTTP server: it counts those that
// close although a request was read and its answer isn't complete, by the reason that the request's handler
// stated. It also cancels the requests that still run when the VM stops.
//
// An answer counts as complete once its handler has returned normally.
package sycending

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// maxLoggedCuts limits the requests that are listed when they are cut.
	maxLoggedCuts = 50
	// pollInterval is how often Wait checks whether requests still run.
	pollInterval = 5 * time.Millisecond
)

// Tracker observes the connections of a server. Its methods are safe for concurrent use.
type Tracker struct {
	log *logrus.Entry
	// mu guards the fields below it.
	mu sync.Mutex
	// connections holds the open connections.
	connections map[net.Conn]*Connection
	// cut is the cause with which requests are cancelled, nil before Cut.
	cut error
}

// New returns a tracker without connections.
func New() *Tracker {
	return &Tracker{log: logrus.WithField("part", "node"), connections: map[net.Conn]*Connection{}}
}

// Install adds the tracker's hooks to a server that doesn't serve yet. Hooks that the server already has are
// called too.
func (t *Tracker) Install(s *http.Server) {
	handler, connContext, connState := s.Handler, s.ConnContext, s.ConnState
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serve(handler, w, r) })
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return t.open(ctx, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if connState != nil {
			connState(c, state)
		}
		if state == http.StateClosed || state == http.StateHijacked {
			t.close(c)
		}
	}
}

// serve calls a handler, and records on the request's connection whether it has returned normally.
func serve(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	c := Of(r.Context())
	answered := false
	c.begin()
	defer func() { c.end(answered) }()
	handler.ServeHTTP(w, r)
	answered = true
}

// open adds a connection, and returns the context of its requests.
func (t *Tracker) open(ctx context.Context, conn net.Conn) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &Connection{cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connections[conn] = c
	if t.cut != nil {
		cancel(t.cut)
	}
	return context.WithValue(ctx, connectionKey{}, c)
}

// close removes a connection, and counts it if its last request has no complete answer.
func (t *Tracker) close(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.connections[conn]
	if c == nil {
		return
	}
	delete(t.connections, conn)
	c.cancel(nil)
	if reason, cut := c.cut(); cut {
		CutConnections(reason).Inc()
	}
}

// CutConnections returns the counter of the connections that closed for a reason without a complete answer.
func CutConnections(reason Reason) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`sycamorecart_caller_connections_cut_total{reason=%q}`, reason))
}

// runningRequest is a request that a handler works on.
type runningRequest struct {
	id  string
	ran time.Duration
}

// Cut cancels all requests that still run, with a *DrainCutError as the cause, and logs them. Requests that
// arrive later are cancelled too. It must be called before the server closes its connections: else the cancelled
// requests would look like those of callers that have gone.
func (t *Tracker) Cut() {
	t.mu.Lock()
	defer t.mu.Unlock()
	running := t.runningLocked()
	t.cut = &DrainCutError{Running: len(running)}
	if len(running) > 0 {
		t.logCut(running)
	}
	for _, c := range t.connections {
		c.cancel(t.cut)
	}
}

// logCut logs which requests are cut and for how long they have run, the longest first.
func (t *Tracker) logCut(running []runningRequest) {
	slices.SortFunc(running, func(a, b runningRequest) int { return cmp.Compare(b.ran, a.ran) })
	var list []string
	for _, r := range running[:min(len(running), maxLoggedCuts)] {
		list = append(list, fmt.Sprintf("%s %s", r.id, r.ran.Round(time.Millisecond)))
	}
	t.log.WithFields(logrus.Fields{"requests": len(running), "running": list}).Warn("node: requests cut")
}

// Wait waits until no request runs, up to a limit.
func (t *Tracker) Wait(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end) && t.isBusy(); {
		time.Sleep(pollInterval)
	}
}

// isBusy reports whether requests run.
func (t *Tracker) isBusy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.runningLocked()) > 0
}

// runningLocked returns the requests that run. The caller holds mu.
func (t *Tracker) runningLocked() []runningRequest {
	var out []runningRequest
	for _, c := range t.connections {
		if id, ran, running := c.run(); running {
			out = append(out, runningRequest{id, ran})
		}
	}
	return out
}
