package sycvm

import (
	"net"
	"net/http"
	"sync"
)

// idleLimit closes callers' connections that become idle while too many are.
type idleLimit struct {
	most int64

	mu   sync.Mutex
	idle map[net.Conn]bool
}

func newIdleLimit(most int64) *idleLimit {
	return &idleLimit{most: most, idle: map[net.Conn]bool{}}
}

// track follows the states of a server's connections.
func (l *idleLimit) track(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state != http.StateIdle {
		delete(l.idle, conn)
		return
	}
	if int64(len(l.idle)) >= l.most {
		conn.Close()
		return
	}
	l.idle[conn] = true
}
