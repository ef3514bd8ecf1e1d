package sycserver

import (
	"net"
	"sync"
)

// switchableListener is a listener that can be taken down. While it is down it
// keeps its port and resets every connection.
type switchableListener struct {
	net.Listener
	// mu guards down and open.
	mu   sync.Mutex
	down bool
	// open holds each accepted connection until it is closed.
	open map[*trackedConn]struct{}
	// watcher counts the watched texts in the bytes that all connections read.
	watcher textWatcher
}

// newSwitchableListener returns a listener that is up and accepts inner's connections.
func newSwitchableListener(inner net.Listener) *switchableListener {
	return &switchableListener{Listener: inner, open: map[*trackedConn]struct{}{}}
}

// Accept returns the next connection that arrives while the listener is up. It
// resets connections that arrive while the listener is down.
func (l *switchableListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &trackedConn{Conn: inner, listener: l}
		if l.track(conn) {
			return conn, nil
		}
		reset(inner)
	}
}

// track adds a connection to open, or returns false if the listener is down.
func (l *switchableListener) track(conn *trackedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return false
	}
	l.open[conn] = struct{}{}
	return true
}

// setDown takes the listener down, which resets all open connections, or up again.
func (l *switchableListener) setDown(down bool) {
	l.mu.Lock()
	l.down = down
	var conns []net.Conn
	if down {
		for conn := range l.open {
			conns = append(conns, conn.Conn)
		}
	}
	l.mu.Unlock()
	for _, conn := range conns {
		reset(conn)
	}
}

// reset closes a connection with a TCP reset in place of an orderly shutdown.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// trackedConn is an accepted connection that its listener can reset and whose
// input is searched for the watched texts.
type trackedConn struct {
	net.Conn
	listener *switchableListener
	// tail holds the last bytes read, which may be the start of a watched text.
	tail []byte
}

// Read reads from the connection and counts the watched texts in what it read.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.tail = c.listener.watcher.search(c.tail, b[:n])
	return n, err
}

// Close closes the connection and removes it from the listener's open connections.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
