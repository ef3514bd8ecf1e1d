package sycwire

import (
	"bufio"
	"context"
	"errors"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 4 << 10
	// maxRequests limits how many requests with an ID are sent on a connection, so that the IDs
	// take a bounded amount of memory.
	maxRequests = 1024
)

var (
	// connNumber is the number of the newest connection.
	connNumber atomic.Uint64
	// idSeed is the seed of the hashes of IDs.
	idSeed = maphash.MakeSeed()
)

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	// reader buffers what the endpoint sends.
	reader *bufio.Reader
	// limit limits what reader reads from the endpoint.
	limit *limitedReader
	// number identifies the connection in this process.
	number uint64
	// responses is how many final responses have arrived on the connection, with those that were
	// discarded.
	responses int
	// ids holds the hashes of the IDs of all requests that were sent on the connection, at most
	// maxRequests. A copy of the response to each of them may still arrive, and only its ID tells
	// it apart, so no ID is sent twice on a connection.
	ids []uint64
	// anonymous is set once a response without an ID has arrived on the connection that was taken
	// for the one to a request of class. Nothing tells a copy of it apart, so from then on the
	// connection takes only requests of that class, none if it is empty.
	anonymous bool
	class     Class
	// expires is when the idle connection must no longer be reused, by the client's clock.
	expires time.Duration
}

// dial opens a connection to the address.
func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: c.settings.Connect, Control: c.setUserTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	connsOpened.Inc()
	limit := &limitedReader{in: raw}
	return &conn{
		Conn: raw, reader: bufio.NewReaderSize(limit, readBufferSize), limit: limit,
		number: connNumber.Add(1), expires: c.now() + c.settings.IdleTime,
	}, nil
}

// setResetOnClose sets whether closing the connection resets it, which drops what hasn't been received.
func (k *conn) setResetOnClose(reset bool) {
	linger := -1
	if reset {
		linger = 0
	}
	if tcp, ok := k.Conn.(*net.TCPConn); ok {
		// This fails only on a closed connection.
		_ = tcp.SetLinger(linger)
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func (c *Client) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// An error is ignored, because each request's own deadline still applies.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.settings.Unacknowledged.Milliseconds()))
	})
}

// describe returns the connection's description.
func (k *conn) describe() Connection { return Connection{Number: k.number, Responses: k.responses} }

// admits reports whether a late copy of any response on the connection would be told apart from the
// response to a request.
func (k *conn) admits(r *Request) bool {
	if k.anonymous && (k.class == "" || k.class != r.class()) {
		return false
	}
	return r.ID == "" || !slices.Contains(k.ids, maphash.String(idSeed, r.ID))
}

// recordSent records that a request is sent on the connection.
func (k *conn) recordSent(r *Request) {
	if r.ID != "" {
		k.ids = append(k.ids, maphash.String(idSeed, r.ID))
	}
}

// recordResponse records that a response was taken for the one to a request.
func (k *conn) recordResponse(r *Request, h http.Header) {
	if r.Identify == nil || r.Identify(h).ID == "" {
		k.anonymous, k.class = true, r.class()
	}
}

// isSpent reports whether the connection takes no further request.
func (k *conn) isSpent() bool { return len(k.ids) >= maxRequests || k.anonymous && k.class == "" }

// reusable reports whether the connection is still open and has no unread bytes.
func (k *conn) reusable() bool {
	if k.reader.Buffered() > 0 {
		return false
	}
	raw, err := k.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	var peeked [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, errno := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errors.Is(errno, unix.EAGAIN)
		return true
	})
	return err == nil && reusable
}
