package sycfeed

import (
	"context"
	"net/http"
	"time"

	"gopkg.in/tomb.v2"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

const (
	// resyncPause is the shortest time between two complete lists of an endpoint.
	resyncPause = 500 * time.Millisecond
	// storePeriod is the time between two lists of a store of kept KV cache.
	storePeriod = 2 * time.Second
	// retryPause is the pause after a failed call.
	retryPause = 250 * time.Millisecond
)

// follower reads the events and lists of one endpoint until it is closed.
type follower struct {
	tomb    tomb.Tomb
	feed    *Feed
	client  *http.Client
	sink    Sink
	name    string
	address string
}

// newFollower starts the calls that the endpoint's type answers.
func newFollower(feed *Feed, record sycrecord.Endpoint) *follower {
	f := &follower{
		feed:    feed,
		client:  feed.client,
		sink:    feed.options.Sink,
		name:    record.Name(),
		address: record.Address(),
	}
	ctx := f.tomb.Context(context.Background())
	f.tomb.Go(func() error {
		if record.Type() == sycrecord.EndpointKVStore {
			f.followStore(ctx)
			return nil
		}
		f.followEvents(ctx)
		return nil
	})
	return f
}

// close stops the calls and waits for them.
func (f *follower) close() {
	f.tomb.Kill(nil)
	_ = f.tomb.Wait()
}

func (f *follower) followEvents(ctx context.Context) {
	position := f.sink.Position(f.name)
	for ctx.Err() == nil {
		var err error
		if position.Resync || position.Incarnation == "" {
			position, err = f.resync(ctx)
			pause(ctx, resyncPause)
		} else {
			position, err = f.events(ctx, position)
		}
		if err != nil {
			f.doubt(ctx)
			pause(ctx, retryPause)
			position = f.sink.Position(f.name)
		}
	}
}

func (f *follower) resync(ctx context.Context) (sycdispatch.Position, error) {
	answer, err := get[cacheAnswer](ctx, f.client, f.address+"/v1/cache", listTimeout)
	if err != nil {
		return sycdispatch.Position{}, err
	}
	resyncs.Inc()
	return f.sink.Resync(f.name, answer.Incarnation, answer.Next, answer.Blocks), nil
}

func (f *follower) events(ctx context.Context, p sycdispatch.Position) (sycdispatch.Position, error) {
	answer, err := get[eventsAnswer](ctx, f.client, eventsURL(f.address, p), eventsWait+pollTimeout)
	if err != nil {
		return sycdispatch.Position{}, err
	}
	eventCount.Add(len(answer.Events))
	return f.sink.Events(f.name, answer.batch()), nil
}

// doubt has the load polled at once: an engine that crashes ends the call that
// it holds for events.
func (f *follower) doubt(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	f.feed.options.Loop.Do(func(time.Duration) { f.feed.doubt(f.name) })
}

func (f *follower) followStore(ctx context.Context) {
	for ctx.Err() == nil {
		if _, err := f.resync(ctx); unreachable(err) {
			f.feed.options.Loop.Do(func(now time.Duration) { f.sink.Unreachable(now, f.name) })
		}
		pause(ctx, storePeriod)
	}
}

// pause waits for the time or the end of the context.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
