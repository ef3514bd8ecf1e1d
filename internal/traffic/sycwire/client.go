// Package sycwire is an HTTP/1.1 client for endpoints. It keeps idle connections
// for reuse and sends each request at most once.
//
// The package never retries a request. Before it reuses an idle connection, it
// checks that the endpoint hasn't closed it and that no unsolicited bytes have
// arrived on it, since a request on such a connection could be lost or get the
// response to another request.
//
// A faulty endpoint may send a copy of a response late, where the next response is expected.
// So a connection is reused for a request only if a late copy of any response that came on it
// before would be told apart from the one to the request: by its ID, or else by its content.
package sycwire

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"sycamorecart.example/sycamorecart/internal/ground/sycclock"
)

// Settings limits a client's connections.
type Settings struct {
	// Connect limits the time to open a connection.
	Connect time.Duration
	// Unacknowledged is how long sent data may stay unacknowledged before the
	// kernel closes the connection (TCP_USER_TIMEOUT).
	Unacknowledged time.Duration
	// IdlePerAddress limits the number of idle connections to each address.
	IdlePerAddress int
	// IdleTime is how long an idle connection may be reused if the endpoint's
	// Keep-Alive header names no timeout.
	IdleTime time.Duration
}

// Defaults returns settings that suit a small VM.
func Defaults() Settings {
	return Settings{
		Connect:        600 * time.Millisecond,
		Unacknowledged: 2 * time.Second,
		IdlePerAddress: 16,
		IdleTime:       8 * time.Second,
	}
}

// ErrWithheld means that Request.Proceed has stopped a request. Nothing was sent.
var ErrWithheld = errors.New("withheld")

// SendError reports that a request got no response.
type SendError struct {
	// Sent is true if any byte of the request may have been sent. If it's false,
	// the endpoint certainly hasn't run the request.
	Sent bool
	// Err is the cause.
	Err error
}

// Error returns the cause and whether the request may have been sent.
func (e *SendError) Error() string {
	if e.Sent {
		return "no response: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Client sends requests and pools idle connections by address. It is safe for
// concurrent use.
type Client struct {
	settings Settings
	// now returns the time of a clock that also advances while the machine is suspended.
	now func() time.Duration
	// mu guards idle and closed.
	mu sync.Mutex
	// idle holds the idle connections by address. The most recently used
	// connection is last and is reused first.
	idle map[string][]*conn
	// closed is true once Close was called; connections are then no longer kept.
	closed bool
}

// New returns a client that has no open connections yet.
func New(s Settings) *Client {
	return &Client{settings: s, now: sycclock.Now, idle: map[string][]*conn{}}
}

// Close closes all idle connections. Connections in use are closed once their
// response is closed.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address := range c.idle {
		c.closeIdleLocked(address)
	}
	return nil
}

// Forget closes the idle connections to an address, for example because another endpoint now
// has the address.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdleLocked(address)
}

// closeIdleLocked closes the idle connections to an address. The caller holds mu.
func (c *Client) closeIdleLocked(address string) {
	for _, k := range c.idle[address] {
		_ = k.Close()
	}
	delete(c.idle, address)
}

// Do sends a request and returns its response once the headers have arrived. Its
// errors are of type *SendError. If ctx ends before the response is closed, reads
// and writes on the connection fail.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	k, err := c.acquire(ctx, r)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	panics := true
	defer func() {
		if panics {
			_ = k.Close()
		}
	}()
	response, err := c.use(ctx, k, r)
	panics = false
	return response, err
}

// use is Do on a connection, which it keeps or closes if there is no response.
func (c *Client) use(ctx context.Context, k *conn, r *Request) (*Response, error) {
	if ctx.Err() != nil {
		// Nothing was sent, so the connection is as it was, here and below.
		c.keep(r.Address, k)
		return nil, &SendError{Err: ctx.Err()}
	}
	if r.Proceed != nil && !r.Proceed(k.describe()) {
		c.keep(r.Address, k)
		return nil, &SendError{Err: ErrWithheld}
	}
	if r.Revocable {
		k.setResetOnClose(true)
		defer k.setResetOnClose(false)
	}
	stop := context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	response, err := c.roundTrip(k, r)
	if err != nil {
		stop()
		_ = k.Close()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, &SendError{Sent: true, Err: err}
	}
	response.stopCancel = stop
	return response, nil
}

// roundTrip sends a request on the connection and reads the headers of the
// matching response.
func (c *Client) roundTrip(k *conn, r *Request) (*Response, error) {
	k.recordSent(r)
	sent, err := k.write(r)
	if err != nil {
		return nil, err
	}
	// http.ReadResponse needs only the method, which says whether there is a body.
	request := &http.Request{Method: r.Method}
	for range maxStrayResponses + 1 {
		response, err := k.readHead(request)
		if err != nil {
			return nil, err
		}
		reason := k.checkStray(r, response.Header)
		k.responses++
		if reason != notStray {
			k.recordStray(r, response, reason)
			if err := discardStray(response.Body); err != nil {
				return nil, err
			}
			continue
		}
		k.recordResponse(r, response.Header)
		return &Response{
			Status: response.StatusCode,
			Header: response.Header,
			Length: response.ContentLength,

			EndsWithConnection: endsWithConnection(response),

			body:      response.Body,
			client:    c,
			conn:      k,
			keepAlive: !response.Close,
			upload:    sent,
			address:   r.Address,
		}, nil
	}
	return nil, errors.New("too many responses to other requests")
}
