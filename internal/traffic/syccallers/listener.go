// Package syccallers keeps track of callers' connections to an HTTP server and ends those that wait
// for a request, without cutting a request that the VM may still read.
//
// The server's own Shutdown closes connections by their state, which changes only once the header of a
// request has been read and parsed. It closes connections on which a request has arrived, and drops a
// request that it reads after Shutdown was called. Here the goroutine that reads a connection decides by
// itself, when no byte has arrived.
package syccallers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
	"sycamorecart.example/sycamorecart/internal/ground/sycclock"
)

// firstRequestTime is how long a new connection isn't idle without a request, also while the listener drains. Its caller is
// about to send one.
const firstRequestTime = 250 * time.Millisecond

// Limits limits how long a connection stays open while the VM waits for its caller. A limit of 0 is none.
type Limits struct {
	// Idle limits the time without any byte of a request.
	Idle time.Duration
	// Header limits the time from the first byte of a request to the end of its header.
	Header time.Duration
	// Connections limits the number of open connections. Above it, the listener ends one that waits for a
	// request or for the rest of its header for each new connection.
	Connections int
	// HeaderBytes limits the memory that the headers of all connections take while they are read and their requests
	// run. Above it, the listener refuses the request whose header grows, unless the header is small.
	HeaderBytes int64
}

// Listener accepts callers' connections for an http.Server. The server's own read timeouts must be 0, and
// its ConnState must call the listener's.
type Listener struct {
	net.Listener
	// now returns the time by the boot-time clock.
	now    func() time.Duration
	limits atomic.Pointer[Limits]
	// draining is set once Drain has been called. It is set while mu is held.
	draining atomic.Bool
	// endStalled ends a request whose body has stalled, and returns false if there is none. It is nil if the listener
	// can't end any.
	endStalled func() bool
	log        *logrus.Entry
	logging    rate.Sometimes
	// mu protects the fields below.
	mu sync.Mutex
	// conns holds the open connections.
	conns map[*conn]struct{}
	// headerBytes is what the connections are charged for their headers.
	headerBytes int64
	// removed is closed and replaced when a connection is removed.
	removed chan struct{}
	// ended is closed once the listener drains and no connection is open.
	ended chan struct{}
}

// Wrap returns a listener that accepts the connections of another one. If all open connections are in requests
// and a new one arrives, it calls endStalled, which ends a request whose body has stalled and returns false if there
// is none. EndStalled may be nil.
func Wrap(l net.Listener, limits Limits, endStalled func() bool) *Listener {
	out := &Listener{
		Listener: l, now: sycclock.Now, conns: map[*conn]struct{}{}, ended: make(chan struct{}), removed: make(chan struct{}), endStalled: endStalled,
		log: logrus.WithField("part", "callers"), logging: rate.Sometimes{Interval: logInterval},
	}
	out.limits.Store(&limits)
	return out
}

// Accept waits for the next connection. It returns http.ErrServerClosed once the listener drains. If too many are
// open, it ends others or else the new one.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			if l.draining.Load() {
				return nil, http.ErrServerClosed
			}
			return nil, err
		}
		if l.makeRoom() {
			return l.accept(raw)
		}
		refused.Inc()
		_ = raw.Close()
	}
}

// accept returns a new connection.
func (l *Listener) accept(raw net.Conn) (net.Conn, error) {
	boundBuffers(raw)
	k := &conn{Conn: raw, listener: l, since: l.now()}
	if !l.add(k) {
		_ = raw.Close()
		return nil, http.ErrServerClosed
	}
	return k, nil
}

// ConnState records that a connection has changed its state. It implements http.Server.ConnState.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	k, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		k.enter(inRequest)
	case http.StateIdle:
		k.header = header{}
		l.charge(k, 0)
		k.enter(waiting)
	default:
	}
}

// SetLimits replaces the limits, also those of open connections. It returns how many connections wait for a
// request and how many of them, or of those in a header, are over the new limits. These end unless something
// has arrived.
func (l *Listener) SetLimits(limits Limits) (idle, over int) {
	l.limits.Store(&limits)
	for _, k := range l.open() {
		if p := k.current(); p == unused || p == waiting {
			idle++
		}
		if k.overdue() {
			over++
		}
		k.arm()
	}
	return idle, over
}

// Drain closes the listener, ends connections that wait for a request and waits until all others have
// ended. A request that arrives meanwhile is served; its answer must ask the caller to close the
// connection. Drain returns an error if connections are still open when ctx ends. It is called once.
func (l *Listener) Drain(ctx context.Context) error {
	l.mu.Lock()
	l.draining.Store(true)
	l.checkEnded()
	l.mu.Unlock()
	err := l.Close()
	for _, k := range l.open() {
		k.arm()
	}
	select {
	case <-l.ended:
		return eris.Wrap(err, "close the listener")
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "wait for %d connections", len(l.open()))
	}
}

// add records an open connection. It returns false if all connections of a drained listener have ended.
func (l *Listener) add(k *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining.Load() && len(l.conns) == 0 {
		return false
	}
	l.conns[k] = struct{}{}
	return true
}

// remove records that a connection has ended.
func (l *Listener) remove(k *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.conns[k]; open {
		delete(l.conns, k)
		l.headerBytes -= k.charged
		k.charged = 0
		close(l.removed)
		l.removed = make(chan struct{})
		l.checkEnded()
	}
}

// checkEnded closes ended if the listener drains and no connection is open. Each of its callers has just
// changed one of the two, so that ended is closed once. The caller must hold mu.
func (l *Listener) checkEnded() {
	if l.draining.Load() && len(l.conns) == 0 {
		close(l.ended)
	}
}

// open returns the open connections.
func (l *Listener) open() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*conn, 0, len(l.conns))
	for k := range l.conns {
		out = append(out, k)
	}
	return out
}

// limit returns how long a connection may stay in a phase, 0 if there is no limit.
func (l *Listener) limit(p phase) time.Duration {
	switch p {
	case unused, waiting:
		return l.limits.Load().Idle
	case inHeader:
		return l.limits.Load().Header
	default:
		return 0
	}
}

// drainLimit returns how long a connection may stay in a phase while the listener drains, and whether the
// phase has a limit of its own then.
func drainLimit(p phase) (time.Duration, bool) {
	switch p {
	case unused:
		return firstRequestTime, true
	case waiting:
		return 0, true
	default:
		return 0, false
	}
}
