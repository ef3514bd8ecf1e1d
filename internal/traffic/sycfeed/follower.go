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
	// silentPolls is the number of unanswered polls in a row that count as silence.
	silentPolls = 2
)

// follower polls one endpoint until it is closed.
type follower struct {
	tomb    tomb.Tomb
	client  *http.Client
	sink    Sink
	name    string
	address string
}

// newFollower starts the polls that the endpoint's type answers.
func newFollower(client *http.Client, sink Sink, record sycrecord.Endpoint, period func() time.Duration) *follower {
	f := &follower{client: client, sink: sink, name: record.Name(), address: record.Address()}
	ctx := f.tomb.Context(context.Background())
	f.tomb.Go(func() error {
		if record.Type() == sycrecord.EndpointKVStore {
			f.followStore(ctx)
			return nil
		}
		f.tomb.Go(func() error {
			f.followLoad(ctx, period)
			return nil
		})
		f.followEvents(ctx)
		return nil
	})
	return f
}

// close stops the polls and waits for them.
func (f *follower) close() {
	f.tomb.Kill(nil)
	_ = f.tomb.Wait()
}

func (f *follower) followLoad(ctx context.Context, period func() time.Duration) {
	failed := 0
	for ctx.Err() == nil {
		if f.pollLoad(ctx) {
			failed = 0
		} else {
			failed++
		}
		if failed >= silentPolls && ctx.Err() == nil {
			f.sink.Silent(f.name)
		}
		pause(ctx, period())
	}
}

// pollLoad reports false when the endpoint didn't answer.
func (f *follower) pollLoad(ctx context.Context) bool {
	start := time.Now()
	answer, err := get[loadAnswer](ctx, f.client, f.address+"/v1/load", pollTimeout)
	switch {
	case ctx.Err() != nil:
		return true
	case unreachable(err):
		pollErrors.Inc()
		f.sink.Unreachable(f.name)
		return true
	case err != nil:
		pollErrors.Inc()
		return false
	}
	f.sink.RoundTrip(f.name, time.Since(start))
	report, age := answer.report(time.Now())
	f.sink.Report(f.name, age, report)
	return true
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

func (f *follower) followStore(ctx context.Context) {
	for ctx.Err() == nil {
		if _, err := f.resync(ctx); unreachable(err) {
			f.sink.Unreachable(f.name)
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
