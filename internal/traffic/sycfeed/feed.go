// Package sycfeed reads the state of endpoints over HTTP and passes it to a Sink, which
// decides on it. It polls the engines' load reports, reads their cache events, and fetches
// the lists of blocks that engines and KV stores have cached. It also has KV stores fetch
// blocks from engines.
//
// The VMs of a failure domain share the polls: package sycpoll decides which VM polls which
// engine, and the VMs send each other the load reports that they polled. They send them in
// digests, the messages in which VMs regularly report to each other.
package sycfeed

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sycpoll"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
)

const (
	// storeFetchers is the number of store fetches that run at a time.
	storeFetchers = 2
	// configPeriod is the longest time between checks for a new configuration.
	configPeriod = 200 * time.Millisecond
)

var (
	// polls counts this VM's polls of load reports, pollErrors those that failed.
	polls      = metrics.NewCounter("sycamorecart_feed_polls_total")
	pollErrors = metrics.NewCounter("sycamorecart_feed_poll_errors_total")
	// relayed counts the load reports that other VMs polled and this VM used.
	relayed = metrics.NewCounter("sycamorecart_feed_relayed_reports_total")
	// resyncs counts the fetched lists of cached blocks.
	resyncs = metrics.NewCounter("sycamorecart_feed_resyncs_total")
	// eventCount counts the cache events that were read.
	eventCount = metrics.NewCounter("sycamorecart_feed_events_total")
)

// Sink receives what a Feed read from endpoints. name is the name of the endpoint's record.
type Sink interface {
	// The methods up to Silent are called on the control loop.

	// Report applies a load report that this VM polled. age is the age of the report when it
	// arrived.
	Report(now time.Duration, name string, age time.Duration, r sycdispatch.Report)
	// Relayed applies a load report that another VM polled, and reports whether it did. If
	// not, only a response to this VM's own poll counts, so the Feed polls the engine.
	Relayed(now time.Duration, name string, age time.Duration, r sycdispatch.Report) bool
	// RoundTrip records the duration of a poll.
	RoundTrip(name string, took time.Duration)
	// Unreachable records that no connection to the endpoint could be made.
	Unreachable(now time.Duration, name string)
	// Silent records that the endpoint accepts connections but doesn't respond to polls.
	Silent(now time.Duration, name string)

	// The other methods are called concurrently.

	// Position returns where the reading of an engine's cache events continues.
	Position(name string) sycdispatch.Position
	// Events applies a batch of cache events and returns where to continue reading.
	Events(name string, b sycdispatch.Batch) sycdispatch.Position
	// Resync replaces the reported blocks of an endpoint by its complete list, taken at
	// sequence number next, and returns where to continue reading cache events.
	Resync(name, incarnation string, next uint64, blocks []uint64) sycdispatch.Position
	// StoreFetches returns the channel of fetches that KV stores should do.
	StoreFetches() <-chan sycdispatch.StoreFetch
	// ConfirmStored records the blocks that a KV store has after a fetch.
	ConfirmStored(name, incarnation string, blocks []uint64)
}

// Options configures a Feed.
type Options struct {
	// Loop is the control loop, on which the Feed decides which engines to poll.
	Loop *sycloop.Loop
	// Sink receives what the Feed reads.
	Sink Sink
	// Config returns the present configuration, nil while there is none.
	Config func() *sycconfig.State
	// Transport sends the HTTP requests. If it is nil, the Feed uses a new transport.
	Transport http.RoundTripper
	// Self is the address of this VM, FailureDomain its failure domain.
	Self          string
	FailureDomain string
	// Members returns the addresses of the other VMs of the failure domain that have
	// reported lately. It is called on the control loop. If it is nil, there are none.
	Members func(now time.Duration) []string
	// Urgent requests that this VM's next digest be sent at once instead of at its regular
	// time. It may be nil.
	Urgent func()
	// Polls configures how the VMs share the polls.
	Polls sycpoll.Settings
}

// Feed reads the state of all engines and KV stores in the configuration.
type Feed struct {
	// tomb ends the Feed's goroutines.
	tomb    tomb.Tomb
	options Options
	// client sends all calls to endpoints.
	client *http.Client
	// wake holds a value while the due polls may have changed.
	wake chan struct{}
	// applied and followers must be accessed on the goroutine of run only. applied is the
	// configuration that was applied last.
	applied *sycconfig.State
	// followers maps the name of each engine and KV store to its follower.
	followers map[string]*follower
	// plan, addresses, newest and outbox must be accessed on the control loop only. plan
	// decides which engines this VM polls.
	plan *sycpoll.Plan
	// addresses maps the name of each engine and KV store to its base URL.
	addresses map[string]string
	// newest holds the newest load report of each engine.
	newest map[string]sycdispatch.Report
	// outbox holds what is to be sent to the other VMs of the failure domain.
	outbox outbox
}

// New starts a Feed.
func New(o Options) *Feed {
	if o.Transport == nil {
		o.Transport = &http.Transport{
			MaxIdleConnsPerHost: 2,
			IdleConnTimeout:     time.Minute,
		}
	}
	if o.Members == nil {
		o.Members = func(time.Duration) []string { return nil }
	}
	if o.Urgent == nil {
		o.Urgent = func() {}
	}
	f := &Feed{
		options:   o,
		client:    &http.Client{Transport: o.Transport},
		wake:      make(chan struct{}, 1),
		followers: map[string]*follower{},
		plan:      sycpoll.New(o.Self, o.Polls, rand.Uint64()),
		addresses: map[string]string{},
		outbox:    newOutbox(),
		newest:    map[string]sycdispatch.Report{},
	}
	f.tomb.Go(func() error {
		defer f.stop()
		f.run(f.tomb.Context(context.Background()))
		return nil
	})
	for range storeFetchers {
		f.tomb.Go(func() error {
			f.runStoreFetches()
			return nil
		})
	}
	return f
}

// Close stops all calls to endpoints and waits for them to end.
func (f *Feed) Close() error {
	f.tomb.Kill(nil)
	err := f.tomb.Wait()
	f.client.CloseIdleConnections()
	return err
}

// stop closes all followers. It cancels all of them before it waits for any.
func (f *Feed) stop() {
	for _, follower := range f.followers {
		follower.tomb.Kill(nil)
	}
	for _, follower := range f.followers {
		follower.close()
	}
}

// run applies new configurations and starts due polls until the context ends.
func (f *Feed) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-f.wake:
		}
		if state := f.options.Config(); state != nil && state != f.applied {
			f.applied = state
			f.updateFollowers(state)
		}
		timer.Reset(min(f.pollDue(ctx), configPeriod))
	}
}

// wakeUp has run check for due polls at once.
func (f *Feed) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// updateFollowers starts followers for new endpoints and closes those of endpoints that were
// removed or have a new address.
func (f *Feed) updateFollowers(state *sycconfig.State) {
	wanted := map[string]string{}
	var engines []sycpoll.Engine
	for _, o := range state.Endpoints() {
		record := o.Value()
		if record.Type() == sycrecord.EndpointService {
			continue
		}
		wanted[record.Name()] = record.Address()
		if record.Type() == sycrecord.EndpointEngine {
			engines = append(engines, sycpoll.Engine{
				Name: record.Name(),
				Far:  record.FailureDomain() != f.options.FailureDomain,
			})
		}
	}
	for name, follower := range f.followers {
		if wanted[name] != follower.address {
			follower.close()
			delete(f.followers, name)
		}
	}
	f.options.Loop.Do(func(time.Duration) { f.updatePlan(engines, wanted) })
	for _, o := range state.Endpoints() {
		record := o.Value()
		if wanted[record.Name()] != "" && f.followers[record.Name()] == nil {
			f.followers[record.Name()] = newFollower(f, record)
		}
	}
}

// updatePlan replaces the engines to poll and the addresses. It forgets the load reports of
// endpoints whose address has changed. It must be called on the control loop.
func (f *Feed) updatePlan(engines []sycpoll.Engine, addresses map[string]string) {
	f.plan.SetEngines(engines)
	for name, address := range f.addresses {
		if addresses[name] != address {
			f.plan.Reset(name)
			delete(f.newest, name)
			delete(f.outbox.sentStatic, name)
			delete(f.outbox.reports, name)
		}
	}
	f.addresses = addresses
}
