package sycserver

import (
	"net"
	"sync"
)

// gate is a listener that keeps its port while it resets every connection.
type gate struct {
	net.Listener
	mu   sync.Mutex
	down bool
	// open holds each accepted connection until it is closed.
	open  map[*gateConn]struct{}
	watch watch
}

func newGate(inner net.Listener) *gate {
	return &gate{Listener: inner, open: map[*gateConn]struct{}{}}
}

// Accept returns the next connection that comes while the gate is up.
func (g *gate) Accept() (net.Conn, error) {
	for {
		inner, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &gateConn{Conn: inner, gate: g}
		if g.admit(conn) {
			return conn, nil
		}
		reset(inner)
	}
}

func (g *gate) admit(conn *gateConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down {
		return false
	}
	g.open[conn] = struct{}{}
	return true
}

func (g *gate) setDown(down bool) {
	g.mu.Lock()
	g.down = down
	var victims []net.Conn
	if down {
		for conn := range g.open {
			victims = append(victims, conn.Conn)
		}
	}
	g.mu.Unlock()
	for _, conn := range victims {
		reset(conn)
	}
}

// reset closes a connection so that its peer sees a reset and no clean end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

type gateConn struct {
	net.Conn
	gate *gate
	// tail holds the newest bytes read, in which a watched text may have begun.
	tail []byte
}

// Read reads and looks for the watched texts.
func (c *gateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.tail = c.gate.watch.look(c.tail, b[:n])
	return n, err
}

// Close closes the connection.
func (c *gateConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.open, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}
