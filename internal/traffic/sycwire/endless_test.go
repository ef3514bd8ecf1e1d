package sycwire_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/traffic/sycwire"
)

// endlessBytes is how many bytes an endpoint sends that never stops by itself.
const endlessBytes = 32 << 20

// TestEndlessResponseIsGivenUp guards against a client that reads, and keeps, whatever an endpoint
// sends until the endpoint stops.
func TestEndlessResponseIsGivenUp(t *testing.T) {
	const stray = "HTTP/1.1 200 OK\r\nId: other\r\n"
	tests := []struct {
		name string
		// first is sent once, again until the connection is closed.
		first, again string
	}{
		{"status line", "HTTP/1.1 200 ", strings.Repeat("x", 4096)},
		{"header", "HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 4096)},
		{"headers", "HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 512)},
		{"informational responses", "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 128)},
		{"no lines", "", strings.Repeat("\x00", 4096)},
		{"body of another response", stray + "\r\n", strings.Repeat("x", 4096)},
		{"chunks of another response", stray + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sent := make(chan int, 1)
			e := startEndpoint(t, func(conn *net.TCPConn) bool {
				_, err := io.WriteString(conn, tt.first)
				count := 0
				for err == nil && count < endlessBytes {
					_, err = io.WriteString(conn, tt.again)
					count += len(tt.again)
				}
				sent <- count
				return false
			})
			r := request(e)
			r.Identify = func(h http.Header) sycwire.Identity { return sycwire.Identity{ID: h.Get("Id")} }
			_, err := newClient(t).Do(t.Context(), r)
			var send *sycwire.SendError
			must.True(t, errors.As(err, &send))
			must.True(t, send.Sent)
			// The client has closed the connection, and the endpoint couldn't send all.
			must.Less(t, endlessBytes, <-sent)
		})
	}
}

// TestDiscardEnds guards against a discarded body that is waited for until the endpoint ends it,
// and against a short one that costs the connection.
func TestDiscardEnds(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		// endless is set if the endpoint then sends bytes until the connection is closed, silent
		// if it then sends nothing.
		endless, silent bool
	}{
		{"empty", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", false, false},
		{"short", "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nbody", false, false},
		{"chunks", "HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false, false},
		{"endless", "HTTP/1.1 503 Full\r\n\r\n", true, false},
		{"silent", "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nbo", false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			over := make(chan struct{})
			t.Cleanup(func() { close(over) })
			e := startEndpoint(t, func(conn *net.TCPConn) bool {
				_, err := io.WriteString(conn, tt.answer)
				for tt.endless && err == nil {
					_, err = io.WriteString(conn, strings.Repeat("x", 4096))
				}
				if tt.silent {
					<-over
				}
				return err == nil
			})
			client := newClient(t)
			answer, err := client.Do(t.Context(), request(e))
			must.NoError(t, err)
			answer.Discard()
			must.NoError(t, answer.Close())
			answer, err = client.Do(t.Context(), request(e))
			must.NoError(t, err)
			must.NoError(t, answer.Close())
			kept := e.conns.Load() == 1
			must.Eq(t, !tt.endless && !tt.silent, kept)
		})
	}
}
