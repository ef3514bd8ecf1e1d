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
	// resyncPause is the pause after a fetch of an engine's complete list of cached blocks.
	resyncPause = 500 * time.Millisecond
	// storePeriod is the pause between fetches of a KV store's list of cached blocks.
	storePeriod = 2 * time.Second
	// retryPause is the pause after a failed call to an engine.
	retryPause = 250 * time.Millisecond
)

// follower reads the cache events of one engine, or the cache lists of one KV store, until it
// is closed.
type follower struct {
	tomb tomb.Tomb
	// feed is the Feed that started the follower. client and sink are the Feed's.
	feed   *Feed
	client *http.Client
	sink   Sink
	// name is the endpoint's name, address its base URL.
	name    string
	address string
}

// newFollower starts a follower of the endpoint with the given record, which is an engine or
// a KV store.
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

// close stops the follower's calls and waits for them to end.
func (f *follower) close() {
	f.tomb.Kill(nil)
	_ = f.tomb.Wait()
}

// followEvents reads an engine's cache events. It fetches the complete list first, and again
// when events were missed.
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
			f.pollNow(ctx)
			pause(ctx, retryPause)
			position = f.sink.Position(f.name)
		}
	}
}

// resync fetches the complete list of cached blocks and returns where to read events from.
func (f *follower) resync(ctx context.Context) (sycdispatch.Position, error) {
	response, err := get[cacheResponse](ctx, f.client, f.address+"/v1/cache", listTimeout)
	if err != nil {
		return sycdispatch.Position{}, err
	}
	resyncs.Inc()
	return f.sink.Resync(f.name, response.Incarnation, response.Next, response.Blocks), nil
}

// events fetches the cache events from a position on and returns where to continue.
func (f *follower) events(ctx context.Context, p sycdispatch.Position) (sycdispatch.Position, error) {
	response, err := get[eventsResponse](ctx, f.client, eventsURL(f.address, p), eventsWait+pollTimeout)
	if err != nil {
		return sycdispatch.Position{}, err
	}
	eventCount.Add(len(response.Events))
	return f.sink.Events(f.name, response.batch()), nil
}

// pollNow has this VM poll the engine's load at once. It is called when a call failed,
// because the call for events breaks when the engine crashes.
func (f *follower) pollNow(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	f.feed.options.Loop.Do(func(time.Duration) { f.feed.pollNow(f.name) })
}

// followStore fetches a KV store's list of cached blocks every storePeriod.
func (f *follower) followStore(ctx context.Context) {
	for ctx.Err() == nil {
		if _, err := f.resync(ctx); unreachable(err) {
			f.feed.options.Loop.Do(func(now time.Duration) { f.sink.Unreachable(now, f.name) })
		}
		pause(ctx, storePeriod)
	}
}

// pause waits for a duration or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
