package sycvm

import (
	"net"
	"net/http"
	"sync"
)

// idleLimit limits the number of callers' idle connections. It closes a connection that
// becomes idle while the limit is reached.
type idleLimit struct {
	// maxIdle limits the number of idle connections.
	maxIdle int64

	// mu guards idle.
	mu sync.Mutex
	// idle is the set of idle connections.
	idle map[net.Conn]bool
}

// newIdleLimit returns a limit of maxIdle idle connections.
func newIdleLimit(maxIdle int64) *idleLimit {
	return &idleLimit{maxIdle: maxIdle, idle: map[net.Conn]bool{}}
}

// track records a connection's new state, and closes the connection if it becomes idle
// while maxIdle others are. It is used as http.Server.ConnState.
func (l *idleLimit) track(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state != http.StateIdle {
		delete(l.idle, conn)
		return
	}
	if int64(len(l.idle)) >= l.maxIdle {
		conn.Close()
		return
	}
	l.idle[conn] = true
}
