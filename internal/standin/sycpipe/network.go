// Package sycpipe implements a network in memory for tests whose time is simulated by
// testing/synctest. That time advances only while all goroutines wait for each other or
// for a timer, which a goroutine that reads from a socket doesn't.
package sycpipe

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrRefused is the error of a connection to an address that nothing listens on.
var ErrRefused = errors.New("connection refused")

// Network connects the addresses that are listened on. Its connections have no delay. The
// zero Network is ready to use.
type Network struct {
	mu sync.Mutex
	// listeners holds the open listeners by address.
	listeners map[string]*listener
}

// address is the address of a listener, as host:port.
type address string

// Network implements net.Addr.
func (address) Network() string { return "pipe" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// listener accepts the connections that Dial opens to its address.
type listener struct {
	network *Network
	address address
	// conns hands over the accepting ends of new connections.
	conns chan net.Conn
	// closed is closed by Close, once.
	closed chan struct{}
	once   sync.Once
}

// Listen returns a listener on an address, as host:port. The address must be free.
func (n *Network) Listen(at string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[at] != nil {
		return nil, eris.Errorf("listen on %s: the address is in use", at)
	}
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	l := &listener{network: n, address: address(at), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[at] = l
	return l, nil
}

// Dial opens a connection to an address, like net.Dialer.DialContext. It returns
// ErrRefused if nothing listens there.
func (n *Network) Dial(ctx context.Context, _, at string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[at]
	n.mu.Unlock()
	if l == nil {
		return nil, eris.Wrap(ErrRefused, at)
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, eris.Wrap(ErrRefused, at)
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), at)
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }

// Close implements net.Listener. It frees the address.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, string(l.address))
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}
