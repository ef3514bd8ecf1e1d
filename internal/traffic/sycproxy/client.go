package sycproxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/propagation"
	"sycamorecart.example/sycamorecart/internal/ground/sycdial"
	"sycamorecart.example/sycamorecart/internal/traffic/sycwire"
)

// Settings limits a client's connections to endpoints.
type Settings struct {
	// Dial opens connections. If it's nil, the operating system chooses the local
	// address.
	Dial sycdial.Func
	// Connect limits the time to open a connection.
	Connect time.Duration
	// IdlePerEndpoint limits the number of idle connections to each endpoint.
	IdlePerEndpoint int
	// Idle limits the number of idle connections to all endpoints together.
	Idle int
	// IdleTime is how long an idle connection is kept open.
	IdleTime time.Duration
	// MaxHeaderBytes limits the size of a response's headers.
	MaxHeaderBytes int64
}

// Defaults returns settings that suit a small VM.
func Defaults() Settings {
	return Settings{
		Connect:         time.Second,
		IdlePerEndpoint: 64,
		Idle:            1024,
		IdleTime:        30 * time.Second,
		MaxHeaderBytes:  64 << 10,
	}
}

// SendError reports that a request got no response.
type SendError struct {
	// Sent is true if any byte of the request may have been sent. If it's false,
	// the endpoint certainly hasn't run the request.
	Sent bool
	// Err is the cause.
	Err error
}

// Error returns the cause's text.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Request describes one HTTP request to an endpoint.
type Request struct {
	// Method is the HTTP method.
	Method string
	// URL is the absolute URL at the endpoint.
	URL string
	// Header holds the headers to send. Do may add to it.
	Header http.Header
	// Body is the whole request body; empty for none.
	Body []byte
	// NewConnection sends the request on a new connection, so that it can't be lost
	// on an idle connection that the endpoint is closing.
	NewConnection bool
	// Guard is called right before the first byte is sent. If it returns false, the
	// request isn't sent. Nil allows every request.
	Guard func() bool
}

// Client sends requests to endpoints and keeps idle connections for reuse. It is
// safe for concurrent use.
type Client struct {
	// pooled reuses connections.
	pooled *http.Transport
	// unpooled opens a new connection for each request and closes it afterwards.
	unpooled *http.Transport
}

// NewClient returns a client with the given settings.
func NewClient(s Settings) *Client {
	return &Client{pooled: newTransport(s, false), unpooled: newTransport(s, true)}
}

// newTransport returns a transport whose connections count the bytes that they
// send. With newConnections, it opens a new connection for each request.
func newTransport(s Settings, newConnections bool) *http.Transport {
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
			return newConn(c), nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      newConnections,
		MaxIdleConns:           s.Idle,
		MaxIdleConnsPerHost:    s.IdlePerEndpoint,
		IdleConnTimeout:        s.IdleTime,
		MaxResponseHeaderBytes: s.MaxHeaderBytes,
		ForceAttemptHTTP2:      false,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// requestBody is a request's body. The transport can't rewind it to send it again.
// Its memory is released once it has been read, long before the response ends.
type requestBody struct {
	// unread is the part of the body that the transport hasn't read yet.
	unread []byte
	// ended is set once the transport has read all of it.
	ended atomic.Bool
}

// Read copies the next part of the body into p.
func (b *requestBody) Read(p []byte) (int, error) {
	if len(b.unread) == 0 {
		b.unread = nil
		return 0, io.EOF
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	b.ended.Store(len(b.unread) == 0)
	return n, nil
}

// Close implements io.Closer and does nothing.
func (b *requestBody) Close() error { return nil }

// Do sends a request and returns the response once its headers have arrived. Its errors are of type *SendError. The caller must close the
// response's body or call Discard.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	var tracker sendTracker
	tracker.guard = r.Guard
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: tracker.gotConn})
	body := &requestBody{unread: r.Body}
	body.ended.Store(len(r.Body) == 0)
	req, err := newRequest(ctx, r, body)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	t := c.pooled
	if r.NewConnection {
		t = c.unpooled
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return nil, &SendError{Sent: tracker.seal(), Err: eris.Wrap(err, "endpoint")}
	}
	out := &Response{Response: resp, tracker: &tracker}
	if !sycwire.IsStatus(resp.StatusCode) {
		out.Discard()
		return nil, &SendError{Sent: true, Err: &sycwire.StatusError{Status: resp.StatusCode}}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		resp.Body = &unframedBody{ReadCloser: resp.Body, request: body, conn: tracker.conn}
	}
	return out, nil
}

// newRequest returns the http.Request for r, with the trace context of ctx in its
// headers.
func newRequest(ctx context.Context, r Request, body *requestBody) (*http.Request, error) {
	// The transport retries a request when a reused connection fails, if GetBody is
	// set or Body is nil. So GetBody stays nil, and Body is set even if it's empty.
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, body)
	if err != nil {
		return nil, eris.Wrap(err, "endpoint request")
	}
	req.GetBody = nil
	if len(r.Body) > 0 {
		req.ContentLength = int64(len(r.Body))
	}
	if r.Header != nil {
		req.Header = r.Header
	}
	// An empty User-Agent keeps the transport from adding its own.
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "")
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

// sendTracker records on which connection a request is sent, to find out whether any
// of its bytes were sent.
type sendTracker struct {
	// guard is the request's Guard.
	guard func() bool
	// mu guards conn and sealed.
	mu sync.Mutex
	// conn is nil until the transport has chosen a connection.
	conn *conn
	// sealed is true once the request has failed. A connection that the transport
	// chooses later must not send it.
	sealed bool
}

// gotConn is called by the transport when it has chosen a connection.
func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = c
	c.startRequest(t.guard)
	if t.sealed {
		c.seal()
	}
}

// seal stops the request from sending any more bytes and reports whether any may
// have been sent.
func (t *sendTracker) seal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sealed = true
	if t.conn == nil {
		return false
	}
	return t.conn.seal()
}

// Response is an endpoint's HTTP response.
type Response struct {
	*http.Response
	// tracker knows the connection that the response arrives on.
	tracker *sendTracker
}

// Discard closes the response and its connection. It is used when the connection
// must not be reused, since it may hold unread bytes or another request's response.
func (r *Response) Discard() {
	r.tracker.mu.Lock()
	c := r.tracker.conn
	r.tracker.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
	_ = r.Body.Close()
}
