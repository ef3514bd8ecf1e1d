package sycwire

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBufferSize is the size of a connection's read buffer in bytes.
const readBufferSize = 4 << 10

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	// reader buffers what the endpoint sends.
	reader *bufio.Reader
	// limit limits what reader reads from the endpoint.
	limit *limitedReader
	// answered is set once the endpoint has sent a final response on the connection.
	answered bool
	// expires is when the idle connection must no longer be reused.
	expires time.Time
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
	return &conn{Conn: raw, reader: bufio.NewReaderSize(limit, readBufferSize), limit: limit}, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func (c *Client) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// An error is ignored, because each request's own deadline still applies.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.settings.Unacknowledged.Milliseconds()))
	})
}

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
