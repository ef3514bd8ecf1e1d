package sycserver_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"sycamorecart.example/sycamorecart/internal/standin/sycserver"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// newServer starts a server that echoes request bodies and closes it with the test.
func newServer(t *testing.T) *sycserver.Server {
	t.Helper()
	server, err := sycserver.New("", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, server.Close()) })
	return server
}

func TestDownResetsAndUpServes(t *testing.T) {
	server := newServer(t)
	client := http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	get := func() error {
		response, err := client.Get(server.URL())
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	must.NoError(t, get())
	server.Down()
	must.Error(t, get())
	server.Up()
	must.NoError(t, get())
}

func TestWatchSeesTexts(t *testing.T) {
	tests := []struct {
		name string
		// writes are sent on the connection one by one.
		writes []string
		// want is the expected number of sightings.
		want int
	}{
		{"absent", []string{"GET /nothing HTTP/1.1\r\n"}, 0},
		{"in a header", []string{"GET / HTTP/1.1\r\nX: secret\r\n"}, 1},
		{"over two writes", []string{"GET /?k=sec", "ret HTTP/1.1\r\n"}, 1},
		{"twice", []string{"GET /secret HTTP/1.1\r\n", "X: secret\r\n"}, 2},
		{"once in overlapping tails", []string{"GET /secret", "s", "s", " HTTP/1.1\r\n"}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := newServer(t)
			server.Watch("secret", "longer-than-that")
			conn, err := net.Dial("tcp", server.Address())
			must.NoError(t, err)
			defer conn.Close()
			for _, data := range tt.writes {
				_, err := io.WriteString(conn, data)
				must.NoError(t, err)
			}
			_, err = io.WriteString(conn, "Host: x\r\nConnection: close\r\n\r\n")
			must.NoError(t, err)
			response, err := io.ReadAll(conn)
			must.NoError(t, err)
			must.True(t, strings.HasPrefix(string(response), "HTTP/1.1 200"))
			must.Eq(t, tt.want, server.Sightings())
		})
	}
}
