// Package sycproxy sends requests to endpoints. It never sends a request twice
// by itself, and it knows whether any byte of a request can have left.
package sycproxy

import (
	"errors"
	"net"
	"sync"
)

// ErrSealed is returned by writes on a connection whose request was given up.
var ErrSealed = errors.New("request was given up before it was sent")

// conn counts the bytes that a connection was asked to write, so that a failed
// request can be told from one that may have reached the endpoint.
type conn struct {
	net.Conn
	mu sync.Mutex
	// attempted counts bytes handed to the operating system; it never decreases.
	attempted int64
	// sealed refuses every later write.
	sealed bool
	// guard is asked once, before the first byte of a request.
	guard func() bool
	// start is the value of attempted when the present request got the connection.
	start int64
}

// begin ties the connection to a request.
func (c *conn) begin(guard func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start = c.attempted
	c.guard = guard
}

// Write sends bytes unless the request was given up or its guard forbids it.
func (c *conn) Write(p []byte) (int, error) {
	if !c.allow(len(p)) {
		return 0, ErrSealed
	}
	return c.Conn.Write(p)
}

func (c *conn) allow(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	if c.guard != nil && c.attempted == c.start && !c.guard() {
		c.sealed = true
		return false
	}
	c.attempted += int64(n)
	return true
}

// seal stops all later writes and reports whether any byte of the present
// request was written before.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.attempted > c.start
}
