package sycproxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/propagation"
	"sycamorecart.example/sycamorecart/internal/ground/sycdial"
)

// Settings bounds the connections to endpoints.
type Settings struct {
	// Dial opens connections; nil dials from any address.
	Dial sycdial.Func
	// Connect bounds the time to open a connection.
	Connect time.Duration
	// IdlePerEndpoint and Idle bound the idle connections kept.
	IdlePerEndpoint int
	Idle            int
	// IdleTime is how long an idle connection is kept.
	IdleTime time.Duration
	// MaxHeaderBytes bounds the bytes of an answer's headers.
	MaxHeaderBytes int64
}

// Defaults returns the settings that fit a small VM.
func Defaults() Settings {
	return Settings{
		Connect:         time.Second,
		IdlePerEndpoint: 64,
		Idle:            1024,
		IdleTime:        30 * time.Second,
		MaxHeaderBytes:  64 << 10,
	}
}

// SendError is a request that got no answer.
type SendError struct {
	// Sent reports whether any byte of the request can have left.
	Sent bool
	Err  error
}

// Error describes the failure.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Call is one request to an endpoint.
type Call struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
	// NewConnection asks for a connection of its own, so that the request can't be
	// lost on an idle connection that the endpoint is closing.
	NewConnection bool
	// Guard is asked right before the first byte leaves; nil always allows.
	Guard func() bool
}

// Client sends requests to endpoints.
type Client struct {
	kept  *http.Transport
	fresh *http.Transport
}

// NewClient returns a client.
func NewClient(s Settings) *Client {
	return &Client{kept: transport(s, false), fresh: transport(s, true)}
}

func transport(s Settings, fresh bool) *http.Transport {
	dial := s.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &http.Transport{
		Proxy: nil,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, s.Connect)
			defer cancel()
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, eris.Wrap(err, "connect")
			}
			return &conn{Conn: c}, nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      fresh,
		MaxIdleConns:           s.Idle,
		MaxIdleConnsPerHost:    s.IdlePerEndpoint,
		IdleConnTimeout:        s.IdleTime,
		MaxResponseHeaderBytes: s.MaxHeaderBytes,
		ForceAttemptHTTP2:      false,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.kept.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// body is a request's body. The transport has no means to replay it, and it
// is let go once it has been read, long before the answer ends.
type body struct {
	left []byte
}

// Read gives the next part of the body.
func (b *body) Read(p []byte) (int, error) {
	if len(b.left) == 0 {
		b.left = nil
		return 0, io.EOF
	}
	n := copy(p, b.left)
	b.left = b.left[n:]
	return n, nil
}

// Close does nothing.
func (b *body) Close() error { return nil }

// Do sends a call and returns the answer once its headers have arrived. It
// fails with *SendError. The caller closes the answer.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	var sent tracker
	sent.guard = call.Guard
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sent.gotConn})
	req, err := newRequest(ctx, call)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	t := c.kept
	if call.NewConnection {
		t = c.fresh
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return nil, &SendError{Sent: sent.seal(), Err: eris.Wrap(err, "endpoint")}
	}
	return &Response{Response: resp, sent: &sent}, nil
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	// GetBody stays nil and Body is never nil: the transport resends requests
	// for which either doesn't hold when a kept connection dies.
	req, err := http.NewRequestWithContext(ctx, call.Method, call.URL, &body{left: call.Body})
	if err != nil {
		return nil, eris.Wrap(err, "endpoint request")
	}
	req.GetBody = nil
	if len(call.Body) > 0 {
		req.ContentLength = int64(len(call.Body))
	}
	if call.Header != nil {
		req.Header = call.Header
	}
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "")
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

// tracker follows the connection that a request got.
type tracker struct {
	guard func() bool
	mu    sync.Mutex
	conn  *conn
	// given is set once the request was given up; a connection that comes
	// later must not be used.
	given bool
}

func (t *tracker) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = c
	c.begin(t.guard)
	if t.given {
		c.seal()
	}
}

// seal makes sure that nothing more is sent and reports whether anything was.
func (t *tracker) seal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.given = true
	if t.conn == nil {
		return false
	}
	return t.conn.seal()
}

// Response is an endpoint's answer.
type Response struct {
	*http.Response
	sent *tracker
}

// Discard closes the answer and its connection, which may hold bytes that
// belong to another request.
func (a *Response) Discard() {
	a.sent.mu.Lock()
	c := a.sent.conn
	a.sent.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
	_ = a.Body.Close()
}
