package syccallers

import (
	"cmp"
	"net"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// bufferBytes is the size of the kernel's buffers of a caller's connection, in each direction. The kernel doubles
	// it. It is above what a link of 10 Mbit/s carries in 100 ms. Without it, the kernel may hold several MB
	// (tcp_rmem, tcp_wmem) for each connection that isn't read.
	bufferBytes = 128 << 10
	// roomTime limits how long a new connection waits until others have been closed in its favor.
	roomTime = time.Second
	// yieldTime is how long a connection gets to end before another one is chosen.
	yieldTime = 20 * time.Millisecond
	// logInterval is the least time between two log lines about too many connections.
	logInterval = time.Second
)

// crowded and refused count the connections that are ended in favor of new ones, and new ones that are closed.
var (
	crowded = metrics.GetOrCreateCounter(`sycamorecart_caller_connections_ended_total{reason="crowded"}`)
	refused = metrics.GetOrCreateCounter(`sycamorecart_caller_connections_ended_total{reason="refused"}`)
)

// boundBuffers bounds the kernel's buffers of a connection.
func boundBuffers(c net.Conn) {
	tcp, ok := c.(interface {
		SetReadBuffer(bytes int) error
		SetWriteBuffer(bytes int) error
	})
	if !ok {
		return
	}
	// These fail only on a closed connection, where reading fails too.
	_ = tcp.SetReadBuffer(bufferBytes)
	_ = tcp.SetWriteBuffer(bufferBytes)
}

// makeRoom ends connections until there is room for a new one. It returns false if there is none within
// roomTime.
func (l *Listener) makeRoom() bool {
	for end := l.now() + roomTime; ; {
		removed, over := l.over()
		if over <= 0 {
			return true
		}
		if l.now() >= end || (!l.endWaiting(over) && !l.endStalledRequest()) {
			l.report("callers: connection refused")
			return false
		}
		// A connection that is to end may have gone on, because something had arrived.
		select {
		case <-removed:
		case <-time.After(yieldTime):
		}
	}
}

// endStalledRequest ends a request whose body has stalled, and returns false if there is none.
func (l *Listener) endStalledRequest() bool { return l.endStalled != nil && l.endStalled() }

// over returns how many connections must be closed before a new one is accepted, and a channel that is closed
// when one has been.
func (l *Listener) over() (removed chan struct{}, over int) {
	limit := l.limits.Load().Connections
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit == 0 {
		return l.removed, 0
	}
	return l.removed, len(l.conns) + 1 - limit
}

// candidate is a connection that may be ended.
type candidate struct {
	*conn
	// idle is set if the connection waits for a request, and isn't so new that one must be about to arrive.
	idle bool
	// since is when its phase began.
	since time.Duration
}

// endWaiting ends n connections: first the idle ones, then those that are new or in the header of a request, in each group
// first those whose phase began longest ago. It returns false if there are none.
func (l *Listener) endWaiting(n int) bool {
	var list []candidate
	for _, k := range l.open() {
		if c, ok := k.candidate(); ok {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.idle != b.idle {
			return map[bool]int{true: -1, false: 1}[a.idle]
		}
		return cmp.Compare(a.since, b.since)
	})
	for _, c := range list[:min(n, len(list))] {
		c.yield()
	}
	if len(list) > 0 {
		l.report("callers: connections ended for new ones")
	}
	return len(list) > 0
}

// candidate returns the connection as one that may be ended, and whether it may be and isn't yet to be.
func (k *conn) candidate() (candidate, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	idle := k.phase == waiting || (k.phase == unused && k.listener.now()-k.since > firstRequestTime)
	return candidate{k, idle, k.since}, (idle || k.phase == unused || k.phase == inHeader) && !k.yields
}

// report logs what is done about too many connections, at most once in logInterval.
func (l *Listener) report(message string) {
	l.logging.Do(func() {
		l.log.WithFields(logrus.Fields{"connections": len(l.open()), "limit": l.limits.Load().Connections}).Warn(message)
	})
}

// yield ends the connection in favor of a new one, unless bytes of a request have arrived that aren't read yet.
func (k *conn) yield() {
	k.mu.Lock()
	k.yields = true
	k.mu.Unlock()
	k.arm()
}
