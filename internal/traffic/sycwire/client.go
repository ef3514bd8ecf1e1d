// Package sycwire sends HTTP/1.1 requests to endpoints over connections that it
// keeps, exactly once each.
//
// Nothing is sent again by the package itself. A kept connection is looked at
// before it is used, so that one that has been closed, or on which bytes lie
// that nobody asked for, gets no request.
package sycwire

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
)

const (
	// readBuffer is the size of a connection's read buffer.
	readBuffer = 4 << 10
	// largeBody is the size from which on a body is written while the answer is
	// awaited, since it may be answered before it was read.
	largeBody = 16 << 10
	// strays is how many answers to other requests are passed over.
	strays = 2
	// keepMargin is how long before an endpoint's own time-out an idle connection
	// is given up.
	keepMargin = 500 * time.Millisecond
	// informational is the end of the statuses that come before an answer.
	informational = 200
)

var (
	connsOpened = metrics.GetOrCreateCounter(`sycamorecart_endpoint_connections_total{event="opened"}`)
	connsReused = metrics.GetOrCreateCounter(`sycamorecart_endpoint_connections_total{event="reused"}`)
	connsStale  = metrics.GetOrCreateCounter(`sycamorecart_endpoint_connections_total{event="stale"}`)
)

// Settings bounds the connections.
type Settings struct {
	// Connect bounds the time to open a connection.
	Connect time.Duration
	// Unacknowledged is when the kernel gives up data that is not acknowledged.
	Unacknowledged time.Duration
	// IdlePerAddress bounds the idle connections kept to each address.
	IdlePerAddress int
	// IdleTime is how long they are kept if the endpoint names no time.
	IdleTime time.Duration
}

// Defaults returns the settings that fit a small VM.
func Defaults() Settings {
	return Settings{
		Connect:        600 * time.Millisecond,
		Unacknowledged: 2 * time.Second,
		IdlePerAddress: 16,
		IdleTime:       8 * time.Second,
	}
}

// Request is a request to an address.
type Request struct {
	Address string
	Method  string
	// Target is the raw path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches tells whether an answer belongs to the request; nil takes any.
	Matches func(http.Header) bool
}

// SendError is a request that got no answer.
type SendError struct {
	// Sent reports whether any byte of the request can have left.
	Sent bool
	Err  error
}

// Error describes the failure.
func (e *SendError) Error() string {
	if e.Sent {
		return "no answer: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Client sends requests. It is safe for concurrent use.
type Client struct {
	settings Settings
	mu       sync.Mutex
	// idle holds the kept connections of each address, the one used last at the end.
	idle   map[string][]*conn
	closed bool
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	expires time.Time
}

// New returns a client without connections.
func New(s Settings) *Client {
	return &Client{settings: s, idle: map[string][]*conn{}}
}

// Close ends all idle connections.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address := range c.idle {
		c.dropLocked(address)
	}
	return nil
}

// Forget ends the idle connections to an address.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropLocked(address)
}

func (c *Client) dropLocked(address string) {
	for _, k := range c.idle[address] {
		_ = k.Close()
	}
	delete(c.idle, address)
}

// Response is the answer to a request; Close must follow.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1.
	Length int64
	body   io.ReadCloser
	client *Client
	conn   *conn
	keep   bool
	// written is closed when the whole request has been written.
	written <-chan struct{}
	stop    func() bool
	ended   bool
	address string
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.ended = true
	}
	return n, err
}

// Close keeps the connection if the body was read to its end, and else ends it,
// which stops the endpoint's work.
func (a *Response) Close() error {
	reusable := a.stop() && a.ended && a.keep
	if reusable && a.written != nil {
		select {
		case <-a.written:
		default:
			reusable = false
		}
	}
	if !reusable {
		return a.conn.Close()
	}
	a.client.put(a.address, a.conn, a.Header)
	return nil
}

// Do sends a request and returns the head of its answer. It fails with
// *SendError. When the context ends, the connection is ended.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	k, err := c.take(ctx, r.Address)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	if ctx.Err() != nil {
		_ = k.Close()
		return nil, &SendError{Err: ctx.Err()}
	}
	stop := context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	answer, err := c.exchange(k, r)
	if err != nil {
		stop()
		_ = k.Close()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, &SendError{Sent: true, Err: err}
	}
	answer.stop = stop
	return answer, nil
}

func (c *Client) exchange(k *conn, r *Request) (*Response, error) {
	written, err := k.write(r)
	if err != nil {
		return nil, err
	}
	plain := &http.Request{Method: r.Method}
	for range strays + 1 {
		response, err := http.ReadResponse(k.reader, plain)
		for err == nil && response.StatusCode < informational {
			response, err = http.ReadResponse(k.reader, plain)
		}
		if err != nil {
			return nil, err
		}
		if r.Matches != nil && !r.Matches(response.Header) {
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return nil, err
			}
			continue
		}
		return &Response{
			Status:  response.StatusCode,
			Header:  response.Header,
			Length:  response.ContentLength,
			body:    response.Body,
			client:  c,
			conn:    k,
			keep:    !response.Close,
			written: written,
			address: r.Address,
		}, nil
	}
	return nil, errors.New("answers belong to other requests")
}

// write sends the request. A large body is sent in the background; the channel
// is then closed at its end.
func (k *conn) write(r *Request) (<-chan struct{}, error) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if err := r.Header.Write(&head); err != nil {
		return nil, err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.Body))
	}
	head.WriteString("\r\n")
	if len(r.Body) <= largeBody {
		head.Write(r.Body)
		_, err := k.Write(head.Bytes())
		return nil, err
	}
	if _, err := k.Write(head.Bytes()); err != nil {
		return nil, err
	}
	written := make(chan struct{})
	go func() {
		// A failed write leaves the channel open, so that the connection is not kept.
		if _, err := k.Write(r.Body); err == nil {
			close(written)
		}
	}()
	return written, nil
}

// take returns a sound idle connection or opens one.
func (c *Client) take(ctx context.Context, address string) (*conn, error) {
	for {
		k := c.pop(address)
		if k == nil {
			return c.dial(ctx, address)
		}
		if time.Now().Before(k.expires) && k.quiet() {
			connsReused.Inc()
			return k, nil
		}
		connsStale.Inc()
		_ = k.Close()
	}
}

func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	k := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return k
}

func (c *Client) put(address string, k *conn, header http.Header) {
	keep := c.settings.IdleTime
	if named, ok := keepAlive(header); ok {
		keep = named - keepMargin
	}
	k.expires = time.Now().Add(keep)
	c.mu.Lock()
	defer c.mu.Unlock()
	if keep <= 0 || c.closed || len(c.idle[address]) >= c.settings.IdlePerAddress {
		_ = k.Close()
		return
	}
	c.idle[address] = append(c.idle[address], k)
}

// keepAlive reads the time-out in whole seconds that an endpoint names.
func keepAlive(header http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: c.settings.Connect, Control: c.control, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	connsOpened.Inc()
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

func (c *Client) control(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without the option each request's own deadline still holds.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.settings.Unacknowledged.Milliseconds()))
	})
}

// quiet reports whether the connection is open and nothing lies on it.
func (k *conn) quiet() bool {
	if k.reader.Buffered() > 0 {
		return false
	}
	raw, err := k.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, errno := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(errno, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
