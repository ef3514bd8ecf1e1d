// Package sycproxy is an HTTP client for endpoints, for requests that the gateway
// forwards. It never retries a request, and it reports whether any byte of a failed
// request may have been sent. It also filters the headers of requests and responses.
package sycproxy

import (
	"errors"
	"net"
	"sync"
	"time"
)

// ErrSealed is returned by writes on a sealed connection, whose request has failed
// or was refused by its guard.
var ErrSealed = errors.New("request was given up before it was sent")

// conn is a connection that counts the bytes written to it. The count shows whether
// a failed request may have reached the endpoint.
type conn struct {
	net.Conn
	// mu guards the fields below.
	mu sync.Mutex
	// written counts all bytes passed to the operating system, including those whose
	// write failed.
	written int64
	// sealed makes every later write fail.
	sealed bool
	// guard is called before the first byte of a request; if it returns false, the
	// request isn't sent.
	guard func() bool
	// start is the value of written when the current request got the connection.
	start int64
	// writing is held during a write, and failed is set once one has failed. It is read and set while writing is held.
	writing chan struct{}
	failed  bool
}

// newConn returns a connection on which nothing was written.
func newConn(c net.Conn) *conn { return &conn{Conn: c, writing: make(chan struct{}, 1)} }

// startRequest records that the connection's next bytes belong to a new request.
func (c *conn) startRequest(guard func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start = c.written
	c.guard = guard
}

// Write sends p, or returns ErrSealed if the connection is sealed or the request's
// guard returns false.
func (c *conn) Write(p []byte) (int, error) {
	if !c.allow(len(p)) {
		return 0, ErrSealed
	}
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	c.failed = c.failed || err != nil
	return n, err
}

// hasWritten reports whether all writes were without an error. It waits for a time for one that goes on.
func (c *conn) hasWritten(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case c.writing <- struct{}{}:
		defer func() { <-c.writing }()
		return !c.failed
	case <-timer.C:
		return false
	}
}

// allow reports whether the next n bytes may be written, and counts them if so.
func (c *conn) allow(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	if c.guard != nil && c.written == c.start && !c.guard() {
		c.sealed = true
		return false
	}
	c.written += int64(n)
	return true
}

// seal makes all later writes fail and reports whether any byte of the current
// request may have been sent.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written > c.start
}
