package sycwire_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/traffic/sycwire"
)

// endpoint is an endpoint whose answers are raw bytes.
type endpoint struct {
	net.Listener
	// conns counts the accepted connections.
	conns atomic.Int32
}

// startEndpoint starts an endpoint. Answer is called for each request with its connection, which
// is closed if it returns false.
func startEndpoint(t *testing.T, answer func(conn *net.TCPConn) bool) *endpoint {
	t.Helper()
	return startEndpointWith(t, func(conn *net.TCPConn, _ *http.Request) bool { return answer(conn) })
}

// startEndpointWith starts an endpoint like startEndpoint, whose answers depend on their request.
func startEndpointWith(t *testing.T, answer func(conn *net.TCPConn, r *http.Request) bool) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &endpoint{Listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.conns.Add(1)
			go e.serve(conn.(*net.TCPConn), answer)
		}
	}()
	return e
}

// serve answers the requests on a connection.
func (*endpoint) serve(conn *net.TCPConn, answer func(conn *net.TCPConn, r *http.Request) bool) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if !answer(conn, request) {
			return
		}
	}
}

// newClient returns a client with default settings.
func newClient(t *testing.T) *sycwire.Client {
	t.Helper()
	client := sycwire.New(sycwire.Defaults())
	t.Cleanup(func() { _ = client.Close() })
	return client
}

// request returns a request to an endpoint.
func request(e *endpoint) *sycwire.Request {
	return &sycwire.Request{Address: e.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h"}
}

// TestEndOfABody guards against an answer that looks complete although it broke off, and against one
// that looks broken off although its end was its connection's.
func TestEndOfABody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name   string
		answer string
		// reset is set if the connection is reset after the answer, else it is closed.
		reset    bool
		complete bool
	}{
		{"length", head + "Content-Length: 4\r\n\r\nbody", false, true},
		{"length, closed early", head + "Content-Length: 5\r\n\r\nbody", false, false},
		{"length, reset early", head + "Content-Length: 5\r\n\r\nbody", true, false},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false, true},
		{"chunks, closed between two", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", false, false},
		{"chunks, closed before the last line", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", false, false},
		{"chunks, reset", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", true, false},
		{"neither", head + "\r\nbody", false, true},
		{"neither, kept by its header", head + "Connection: keep-alive\r\n\r\nbody", false, true},
		{"neither, reset", head + "\r\nbody", true, false},
		{"neither, reset before the body", head + "\r\n", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := startEndpoint(t, func(conn *net.TCPConn) bool {
				_, _ = io.WriteString(conn, tt.answer)
				if tt.reset {
					_ = conn.SetLinger(0)
				}
				return false
			})
			client := newClient(t)
			answer, err := client.Do(t.Context(), request(e))
			if tt.reset && err != nil {
				// The reset came before the head was read.
				return
			}
			must.NoError(t, err)
			must.Eq(t, strings.HasPrefix(tt.name, "neither"), answer.EndsWithConnection)
			body, err := io.ReadAll(answer)
			must.Eq(t, tt.complete, err == nil)
			if tt.complete {
				must.Eq(t, "body", string(body))
			}
			must.NoError(t, answer.Close())
		})
	}
}

// TestConnectionThatEndsAnAnswerIsNotReused guards against a next request on a connection whose
// last answer has no end but the connection's.
func TestConnectionThatEndsAnAnswerIsNotReused(t *testing.T) {
	answers := make(chan string, 3)
	answers <- "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nkept"
	answers <- "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\nlast"
	answers <- "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew"
	e := startEndpoint(t, func(conn *net.TCPConn) bool {
		answer := <-answers
		_, _ = io.WriteString(conn, answer)
		return strings.Contains(answer, "Length")
	})
	client := newClient(t)
	for i, want := range []string{"kept", "last", "new"} {
		answer, err := client.Do(t.Context(), request(e))
		must.NoError(t, err)
		body, err := io.ReadAll(answer)
		must.NoError(t, err)
		must.Eq(t, want, string(body))
		must.NoError(t, answer.Close())
		must.Eq(t, int32(1+i/2), e.conns.Load())
	}
}

// TestWithheldRequestIsNotSent guards against a byte that reaches an endpoint after the caller of Do
// has withdrawn the request, on a new connection or on one that is used again.
func TestWithheldRequestIsNotSent(t *testing.T) {
	var received atomic.Int32
	e := startEndpoint(t, func(conn *net.TCPConn) bool {
		received.Add(1)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	client := newClient(t)
	for range 2 {
		r := request(e)
		r.Proceed = func(sycwire.Connection) bool { return false }
		_, err := client.Do(t.Context(), r)
		must.ErrorIs(t, err, sycwire.ErrWithheld)
		var send *sycwire.SendError
		must.True(t, errors.As(err, &send))
		must.False(t, send.Sent)
		r.Proceed = func(sycwire.Connection) bool { return true }
		answer, err := client.Do(t.Context(), r)
		must.NoError(t, err)
		answer.Discard()
		must.NoError(t, answer.Close())
	}
	must.Eq(t, 2, received.Load())
}
