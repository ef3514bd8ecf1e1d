package sycdrain_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"sycamorecart.example/sycamorecart/internal/traffic/sycdrain"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startServer starts a server whose handler sends half of its response, sends on
// entered, and sends the other half once end is closed.
func startServer(t *testing.T, d *sycdrain.Drain, end <-chan struct{}, entered chan<- struct{}) (*http.Server, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: d.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first ")
		_ = http.NewResponseController(w).Flush()
		entered <- struct{}{}
		<-end
		_, _ = io.WriteString(w, "last")
	}))}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return server, "http://" + listener.Addr().String()
}

// result is the outcome of one request.
type result struct {
	// body is the part of the response's body that was read.
	body string
	// closed is true if the response had "Connection: close".
	closed bool
	err    error
}

// get sends a request and reads the whole response.
func get(client *http.Client, url string) result {
	resp, err := client.Get(url)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return result{body: string(body), closed: resp.Close, err: err}
}

// TestShutdownInterruptsNothing checks that running requests get their whole response
// when the servers shut down.
func TestShutdownInterruptsNothing(t *testing.T) {
	const requests = 20
	end, entered := make(chan struct{}), make(chan struct{}, requests)
	d := sycdrain.New(0)
	server, url := startServer(t, d, end, entered)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	results := make(chan result, requests)
	for range requests {
		go func() { results <- get(client, url) }()
	}
	for range requests {
		<-entered
	}
	must.Eq(t, requests, d.Active())
	stopped := make(chan error, 1)
	go func() { stopped <- d.Shutdown(context.Background(), server) }()
	for !d.Draining() {
		time.Sleep(time.Millisecond)
	}
	close(end)
	wrong := 0
	for range requests {
		r := <-results
		if r.err != nil || r.body != "first last" {
			wrong++
		}
	}
	must.NoError(t, <-stopped)
	t.Logf("requests running at shutdown: %d sent, %d with a wrong response", requests, wrong)
	must.Eq(t, 0, wrong)
}

// TestDrainingServesWithConnectionClose checks that a draining VM still serves new
// requests and asks their callers to close the connection.
func TestDrainingServesWithConnectionClose(t *testing.T) {
	end, entered := make(chan struct{}), make(chan struct{}, 2)
	close(end)
	d := sycdrain.New(time.Hour)
	server, url := startServer(t, d, end, entered)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	must.False(t, get(client, url).closed)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- d.Shutdown(ctx, server) }()
	for !d.Draining() {
		time.Sleep(time.Millisecond)
	}
	r := get(client, url)
	must.NoError(t, r.err)
	must.True(t, r.closed)
	cancel()
	must.NoError(t, <-stopped)
}

// TestShutdownReportsInterruptedRequests checks that a shutdown whose context has ended
// interrupts the running request and counts it.
func TestShutdownReportsInterruptedRequests(t *testing.T) {
	end, entered := make(chan struct{}), make(chan struct{}, 1)
	d := sycdrain.New(0)
	server, url := startServer(t, d, end, entered)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	interrupted := make(chan result, 1)
	go func() { interrupted <- get(client, url) }()
	<-entered
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err := d.Shutdown(ctx, server)
	var interruptedErr *sycdrain.InterruptedError
	must.True(t, errors.As(err, &interruptedErr))
	must.Eq(t, 1, interruptedErr.Requests)
	must.Error(t, (<-interrupted).err)
	close(end)
}

// TestInterruptedErrorText checks that the error tells a timeout from a second signal.
func TestInterruptedErrorText(t *testing.T) {
	cases := []struct {
		cause error
		text  string
	}{
		{context.DeadlineExceeded, "drain: cut 3 requests when the drain's timeout was over"},
		{context.Canceled, "drain: cut 3 requests at a second signal"},
	}
	for _, c := range cases {
		must.EqError(t, &sycdrain.InterruptedError{Requests: 3, Err: c.cause}, c.text)
	}
}
