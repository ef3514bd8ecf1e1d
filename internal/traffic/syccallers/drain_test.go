package syccallers

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// drain drains the listener in the background. The result arrives in the channel.
func (r *rig) drain(ctx context.Context) chan error {
	r.closing.Store(true)
	result := make(chan error, 1)
	go func() { result <- r.listener.Drain(ctx) }()
	r.eventually("the drain has begun", r.listener.draining.Load)
	return result
}

// TestDrainAnswersWhatHasArrived guards against a drain that closes a connection on which a request has arrived.
func TestDrainAnswersWhatHasArrived(t *testing.T) {
	const text = "POST /next HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	tests := []struct {
		name string
		// prepare makes a request arrive on a connection that has been used once.
		prepare func(r *rig, c *client)
		// finish sends the rest of the request once the drain has begun.
		finish func(c *client)
	}{
		{"read as the drain begins", func(_ *rig, c *client) {
			f := func() { _, _ = io.WriteString(c.Conn, text) }
			c.raw.crossing.Store(&f)
		}, func(*client) {}},
		{"not read when the drain begins", func(_ *rig, c *client) { c.raw.unread.Store(c.arrival(text)) }, func(*client) {}},
		{"a part read", func(_ *rig, c *client) {
			<-c.raw.got
			c.send(text[:30])
			<-c.raw.got
		}, func(c *client) { c.send(text[30:]) }},
		{"the header read", func(r *rig, c *client) {
			c.send(text[:len(text)-4])
			must.Eq(r.t, "/next", <-r.entered)
		}, func(c *client) { c.send(text[len(text)-4:]) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, Limits{Idle: time.Hour, Header: time.Hour})
			c := r.dial()
			c.exchange("/first")
			must.Eq(t, "/first", <-r.entered)
			c.awaitIdle()
			tt.prepare(r, c)
			r.elapsed.Add(int64(time.Minute))
			result := r.drain(t.Context())
			tt.finish(c)
			must.Eq(t, "/nextbody", c.receive())
			c.requireClosed()
			must.NoError(t, <-result)
		})
	}
}

// TestDrainEndsIdleConnections guards against a drain that waits for connections without a request, or cuts one that runs.
func TestDrainEndsIdleConnections(t *testing.T) {
	r := newRig(t, Limits{Idle: time.Hour, Header: time.Hour})
	used, unused, held := r.dial(), r.dial(), r.dial()
	used.exchange("/used")
	must.Eq(t, "/used", <-r.entered)
	held.send(request("/held", ""))
	must.Eq(t, "/held", <-r.entered)
	result := r.drain(t.Context())
	used.requireClosed()
	unused.requireClosed()
	select {
	case err := <-result:
		t.Fatal("drained with a request under way", err)
	default:
	}
	close(r.proceed)
	must.Eq(t, "/held", held.receive())
	must.NoError(t, <-result)
}

// TestDrainEndsWithItsContext guards against a drain that waits for a request for longer than allowed.
func TestDrainEndsWithItsContext(t *testing.T) {
	r := newRig(t, Limits{})
	held := r.dial()
	held.send(request("/held", ""))
	must.Eq(t, "/held", <-r.entered)
	ctx, cancel := context.WithCancel(t.Context())
	result := r.drain(ctx)
	cancel()
	must.ErrorIs(t, <-result, context.Canceled)
	close(r.proceed)
	must.Eq(t, "/held", held.receive())
}
