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

// serve starts a server whose handler ends when the channel is closed.
func serve(t *testing.T, d *sycdrain.Drain, end <-chan struct{}, entered chan<- struct{}) (*http.Server, string) {
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

type answer struct {
	body   string
	closed bool
	err    error
}

func get(client *http.Client, url string) answer {
	resp, err := client.Get(url)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{body: string(body), closed: resp.Close, err: err}
}

func TestShutdownCutsNothing(t *testing.T) {
	const requests = 20
	end, entered := make(chan struct{}), make(chan struct{}, requests)
	d := sycdrain.New(0)
	server, url := serve(t, d, end, entered)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	answers := make(chan answer, requests)
	for range requests {
		go func() { answers <- get(client, url) }()
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
		a := <-answers
		if a.err != nil || a.body != "first last" {
			wrong++
		}
	}
	must.NoError(t, <-stopped)
	t.Logf("requests under way at shutdown: %d tried, %d wrong", requests, wrong)
	must.Eq(t, 0, wrong)
}

func TestDrainingStillServesAndTellsToClose(t *testing.T) {
	end, entered := make(chan struct{}), make(chan struct{}, 2)
	close(end)
	d := sycdrain.New(time.Hour)
	server, url := serve(t, d, end, entered)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	must.False(t, get(client, url).closed)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- d.Shutdown(ctx, server) }()
	for !d.Draining() {
		time.Sleep(time.Millisecond)
	}
	a := get(client, url)
	must.NoError(t, a.err)
	must.True(t, a.closed)
	cancel()
	must.NoError(t, <-stopped)
}

func TestShutdownSaysWhatItCut(t *testing.T) {
	end, entered := make(chan struct{}), make(chan struct{}, 1)
	d := sycdrain.New(0)
	server, url := serve(t, d, end, entered)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	cut := make(chan answer, 1)
	go func() { cut <- get(client, url) }()
	<-entered
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err := d.Shutdown(ctx, server)
	var fault *sycdrain.CutError
	must.True(t, errors.As(err, &fault))
	must.Eq(t, 1, fault.Requests)
	must.Error(t, (<-cut).err)
	close(end)
}

func TestCutErrorSaysWhy(t *testing.T) {
	cases := []struct {
		cause error
		says  string
	}{
		{context.DeadlineExceeded, "drain: cut 3 requests when the drain's timeout was over"},
		{context.Canceled, "drain: cut 3 requests at a second signal"},
	}
	for _, c := range cases {
		must.EqError(t, &sycdrain.CutError{Requests: 3, Err: c.cause}, c.says)
	}
}
