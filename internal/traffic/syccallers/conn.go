package syccallers

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
)

// phase says what a connection is being read for.
type phase int

const (
	// unused is the phase of a new connection in which no byte has been read.
	unused phase = iota
	// waiting is the phase after an answer in which no byte of the next request has been read.
	waiting
	// inHeader is the phase in which a part of a request's line and header has been read.
	inHeader
	// inRequest is the phase from the end of a request's header to the end of its answer.
	inRequest
	// ending is the phase after a limit has been exceeded.
	ending
)

// timeoutAnswer is the answer to a request whose header hasn't arrived in time.
const timeoutAnswer = "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\nContent-Length: 27\r\n" +
	"Connection: close\r\n\r\n{\"error\":\"header_timeout\"}\n"

// lingerTime is how long bytes are discarded after an answer that ends the connection. A caller that is still sending when the
// connection closes may see a reset in place of the answer.
const lingerTime = 500 * time.Millisecond

// endings counts the connections that were ended in each phase.
var endings = map[phase]*metrics.Counter{
	unused:   metrics.GetOrCreateCounter(`sycamorecart_caller_connections_ended_total{reason="unused"}`),
	waiting:  metrics.GetOrCreateCounter(`sycamorecart_caller_connections_ended_total{reason="idle"}`),
	inHeader: metrics.GetOrCreateCounter(`sycamorecart_caller_connections_ended_total{reason="header_timeout"}`),
}

// conn is a caller's connection. Its read deadline is that of its phase, except in a request, where it is
// the server's.
type conn struct {
	net.Conn
	listener *Listener
	// header measures the header that is being read.
	header header
	// charged is what the connection is charged for its header, in bytes. The listener's mu protects it.
	charged int64
	// mu protects the fields below and the order of calls that set the read deadline.
	mu    sync.Mutex
	phase phase
	// since is when the phase began, by the listener's clock.
	since time.Duration
	// deadline is the read deadline that the server has set, zero if none.
	deadline time.Time
	// yields is set while the connection is to end in favor of a new one. It is reset when it enters a phase.
	yields bool
}

// Read reads from the connection. It returns io.EOF if the caller has exceeded the limit of the
// connection's phase and nothing has arrived that isn't read yet, or if there is no memory for a header.
func (k *conn) Read(p []byte) (int, error) {
	k.arm()
	for {
		n, err := k.Conn.Read(p)
		k.noteBytes(p[:n])
		if n > 0 && k.current() == inHeader && !k.admitHeader(p[:n]) {
			k.refuseHeader()
			return 0, io.EOF
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || k.current() == inRequest {
			return n, err
		}
		switch {
		case k.current() == ending:
			// net/http reads once more after an error where a header field may begin.
			return 0, io.EOF
		case !k.overdue():
			k.arm()
		case k.readable():
			// A read after its deadline returns nothing, whatever has arrived.
			if err := k.Conn.SetReadDeadline(time.Time{}); err != nil {
				return 0, err
			}
		default:
			k.end()
			return 0, io.EOF
		}
	}
}

// end ends the connection, with an answer if a part of a request has been read.
func (k *conn) end() {
	k.mu.Lock()
	p, yields := k.phase, k.yields
	k.mu.Unlock()
	if yields {
		crowded.Inc()
	} else {
		endings[p].Inc()
	}
	if p != inHeader {
		return
	}
	k.enter(ending)
	k.respond(timeoutAnswer)
	if yields {
		// The new connection waits.
		return
	}
	k.discard()
}

// readable reports whether a read would return at once, with bytes or with the connection's end.
func (k *conn) readable() bool {
	c, ok := k.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	// Control, other than Read, doesn't depend on the read deadline, which has passed.
	readable := false
	err = raw.Control(func(fd uintptr) {
		var peeked [1]byte
		_, _, errno := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		readable = !errors.Is(errno, unix.EAGAIN)
	})
	return err == nil && readable
}

// noteBytes records that bytes have been read. Line ends before a request don't belong to it.
func (k *conn) noteBytes(read []byte) {
	begun := len(bytes.Trim(read, "\r\n")) > 0
	if p := k.current(); begun && (p == unused || p == waiting) {
		k.enter(inHeader)
	}
}

// enter begins a phase.
func (k *conn) enter(p phase) {
	k.mu.Lock()
	k.phase, k.since, k.yields = p, k.listener.now(), false
	k.mu.Unlock()
	k.arm()
}

// current returns the connection's phase.
func (k *conn) current() phase {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.phase
}

// left returns how long the connection may still stay in its phase, and whether that is limited. The
// caller must hold mu.
func (k *conn) left() (time.Duration, bool) {
	if k.yields && k.phase != inRequest {
		return 0, true
	}
	limit := k.listener.limit(k.phase)
	limited := limit > 0
	if k.listener.draining.Load() {
		if d, ok := drainLimit(k.phase); ok {
			limit, limited = d, true
		}
	}
	return k.since + limit - k.listener.now(), limited
}

// overdue reports whether the connection has been in its phase for too long.
func (k *conn) overdue() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	left, limited := k.left()
	return limited && left <= 0
}

// arm sets the read deadline of the connection's phase.
func (k *conn) arm() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.phase == ending {
		return
	}
	deadline := k.deadline
	if k.phase != inRequest {
		deadline = time.Time{}
	}
	if left, limited := k.left(); limited {
		deadline = time.Now().Add(left)
	}
	// This fails only on a closed connection, where reading fails too.
	_ = k.Conn.SetReadDeadline(deadline)
}

// SetReadDeadline sets the server's read deadline. It has no effect before the header of a request has
// been read.
func (k *conn) SetReadDeadline(t time.Time) error {
	k.mu.Lock()
	k.deadline = t
	k.mu.Unlock()
	k.arm()
	return nil
}

// CloseWrite ends what the VM sends. The server does so before it closes a connection whose caller may
// still be sending.
func (k *conn) CloseWrite() error {
	if c, ok := k.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (k *conn) Close() error {
	err := k.Conn.Close()
	k.listener.remove(k)
	return err
}
