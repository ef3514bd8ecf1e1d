package sycproxy_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"sycamorecart.example/sycamorecart/internal/traffic/sycproxy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// closingServer responds to the first request on each connection and closes the
// connection without a response to the second.
type closingServer struct {
	listener net.Listener
	// requests counts the requests that the server has read.
	requests atomic.Int32
}

// newClosingServer starts a closingServer that stops at the end of the test.
func newClosingServer(t *testing.T) *closingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &closingServer{listener: listener}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { s.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return s
}

// serve reads requests from a connection and responds to the first of them.
func (s *closingServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.requests.Add(1)
		if n > 0 {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// url returns the server's base URL.
func (s *closingServer) url() string { return "http://" + s.listener.Addr().String() + "/" }

// TestNeverRetries guards against requests that are sent twice. The standard
// transport retries a request with an Idempotency-Key if the endpoint closes the
// reused connection without a response. The first subtest shows that it does, and
// the others that the client doesn't.
func TestNeverRetries(t *testing.T) {
	header := func() http.Header { return http.Header{"Idempotency-Key": {"k"}} }
	t.Run("standard transport", func(t *testing.T) {
		server := newClosingServer(t)
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		for range 2 {
			req, err := http.NewRequest(http.MethodPost, server.url(), strings.NewReader("x"))
			must.NoError(t, err)
			req.Header = header()
			resp, err := transport.RoundTrip(req)
			must.NoError(t, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		must.Eq(t, int32(3), server.requests.Load())
	})
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		for _, body := range []string{"", "x"} {
			t.Run(method+" "+body, func(t *testing.T) {
				server := newClosingServer(t)
				c := sycproxy.NewClient(sycproxy.Defaults())
				defer c.Close()
				request := sycproxy.Request{Method: method, URL: server.url(), Header: header(), Body: []byte(body)}
				response, err := c.Do(context.Background(), request)
				must.NoError(t, err)
				_, _ = io.Copy(io.Discard, response.Body)
				must.NoError(t, response.Body.Close())
				request.Header = header()
				_, err = c.Do(context.Background(), request)
				var sendErr *sycproxy.SendError
				must.True(t, errors.As(err, &sendErr))
				must.True(t, sendErr.Sent)
				must.Eq(t, int32(2), server.requests.Load())
			})
		}
	}
}

// TestReportsUnsentRequests checks that Sent is false for requests of which no byte was
// sent. Such a request certainly had no effect at the endpoint.
func TestReportsUnsentRequests(t *testing.T) {
	// Nothing listens at port 1, and no process gets it by chance.
	const closed = "http://127.0.0.1:1"
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	server := newClosingServer(t)
	cases := []struct {
		name  string
		ctx   context.Context
		url   string
		guard func() bool
	}{
		{"nobody listens", context.Background(), closed, nil},
		{"cancelled before sending", cancelled, server.url(), nil},
		{"guard returns false", context.Background(), server.url(), func() bool { return false }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := sycproxy.NewClient(sycproxy.Defaults())
			defer client.Close()
			_, err := client.Do(c.ctx, sycproxy.Request{Method: http.MethodPost, URL: c.url, Body: []byte("x"), Guard: c.guard})
			var sendErr *sycproxy.SendError
			must.True(t, errors.As(err, &sendErr))
			must.False(t, sendErr.Sent)
		})
	}
	must.Eq(t, int32(0), server.requests.Load())
}

// TestHeaders checks which headers are forwarded and returned, and which names count
// as forgeable.
func TestHeaders(t *testing.T) {
	in := http.Header{
		"Connection":            {"close, X-Private"},
		"X-Private":             {"1"},
		"Te":                    {"trailers"},
		"Upgrade":               {"h2c"},
		"Transfer-Encoding":     {"chunked"},
		"Sycamorecart-Customer": {"forged"},
		"Traceparent":           {"00-0-0-0"},
		"Content-Type":          {"text/plain"},
	}
	must.Eq(t, http.Header{"Content-Type": {"text/plain"}}, sycproxy.FilterRequestHeader(in))
	out := sycproxy.FilterResponseHeader(http.Header{"X-Request-Id": {"1"}, "Sycamorecart-Outcome": {"not-run"}, "Etag": {"e"}, "Keep-Alive": {"1"}})
	must.Eq(t, http.Header{"Etag": {"e"}}, out)
	must.True(t, sycproxy.HasForgeableName(http.Header{"Sycamorecart_customer": {"x"}}))
	must.False(t, sycproxy.HasForgeableName(http.Header{"Sycamorecart-Customer": {"x"}}))
}
