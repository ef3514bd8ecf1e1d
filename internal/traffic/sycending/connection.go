package sycending

import (
	"context"
	"sync"
	"time"
)

// Connection is a caller's connection with its present request, or its last one if none runs. Its methods
// are safe for concurrent use, and do nothing for a nil Connection.
type Connection struct {
	// cancel cancels the contexts of the connection's requests.
	cancel context.CancelCauseFunc
	// mu guards the fields below it.
	mu sync.Mutex
	// running is set while a handler works on a request.
	running bool
	// began is when the request's handler started.
	began time.Time
	// id is the caller's ID of the request, empty until it is known.
	id string
	// incomplete is set from the start of a request until its handler has returned normally.
	incomplete bool
	// reason is why the connection is to be closed, empty if nothing was stated.
	reason Reason
}

// connectionKey is the key of a Connection in a request's context.
type connectionKey struct{}

// Of returns the connection of a request's context, nil if its server has no Tracker.
func Of(ctx context.Context) *Connection {
	c, _ := ctx.Value(connectionKey{}).(*Connection)
	return c
}

// Identify sets the caller's ID of the present request.
func (c *Connection) Identify(id string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.id = id
}

// End states why the handler of the present request is about to abort it.
func (c *Connection) End(reason Reason) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reason = reason
}

// begin records that a handler starts to work on a request.
func (c *Connection) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running, c.incomplete, c.began, c.id, c.reason = true, true, time.Now(), "", ""
}

// end records that the handler has ended. Answered is set if it has returned normally.
func (c *Connection) end(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running, c.incomplete = false, !answered
}

// cut returns why a connection that is now closed has a request without a complete answer. It returns false
// if it has none.
func (c *Connection) cut() (Reason, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason == "" {
		return Internal, c.incomplete
	}
	return c.reason, c.incomplete
}

// run returns the present request's ID and how long it has run. It returns false if none runs.
func (c *Connection) run() (id string, ran time.Duration, running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.id, time.Since(c.began), c.running
}
