package sycloopback

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// ServeRaw starts a server whose responses a test writes itself, so that they may break the rules of HTTP, and returns
// its address. Answer is called with the first request of each connection, whose body isn't read yet. The connection is
// closed when answer returns or the test ends, which waits for answer.
func ServeRaw(t testing.TB, answer func(conn *net.TCPConn, request *http.Request)) string {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	var connections sync.WaitGroup
	ended := make(chan struct{})
	connections.Go(func() {
		for {
			conn, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			connections.Go(func() {
				answered := make(chan struct{})
				connections.Go(func() {
					select {
					case <-ended:
					case <-answered:
					}
					_ = conn.Close()
				})
				defer close(answered)
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn, request)
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		close(ended)
		connections.Wait()
	})
	return listener.Addr().String()
}
