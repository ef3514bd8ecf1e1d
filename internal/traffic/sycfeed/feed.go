// Package sycfeed polls the endpoints' load, cache events and cache lists and
// hands them to a sink. It decides nothing.
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
	// keepers is the number of fetches of stores that run together.
	keepers = 2
	// configPeriod is the time between looks at the configuration.
	configPeriod = 200 * time.Millisecond
)

var (
	polls      = metrics.NewCounter("sycamorecart_feed_polls_total")
	relayed    = metrics.NewCounter("sycamorecart_feed_relayed_reports_total")
	pollErrors = metrics.NewCounter("sycamorecart_feed_poll_errors_total")
	resyncs    = metrics.NewCounter("sycamorecart_feed_resyncs_total")
	eventCount = metrics.NewCounter("sycamorecart_feed_events_total")
)

// Sink takes what was read of endpoints, which are named by their records.
type Sink interface {
	// The methods up to Silent are called on the control loop.

	// Report takes a load report that was age old when it arrived.
	Report(now time.Duration, name string, age time.Duration, r sycdispatch.Report)
	// Relayed takes a report that another VM got; false leaves it out, because
	// only an answer to this VM itself counts.
	Relayed(now time.Duration, name string, age time.Duration, r sycdispatch.Report) bool
	// RoundTrip takes the time that a poll took.
	RoundTrip(name string, took time.Duration)
	// Unreachable tells that no connection could be made.
	Unreachable(now time.Duration, name string)
	// Silent tells that connections are taken but polls not answered.
	Silent(now time.Duration, name string)

	// The others are called from many goroutines.

	// Position, Events and Resync return where the reading of events goes on.
	Position(name string) sycdispatch.Position
	Events(name string, b sycdispatch.Batch) sycdispatch.Position
	Resync(name, incarnation string, next uint64, blocks []uint64) sycdispatch.Position
	// StoreFetches yields what stores of kept KV cache should fetch from engines, and
	// ConfirmStored takes what a store holds after it.
	StoreFetches() <-chan sycdispatch.StoreFetch
	ConfirmStored(name, incarnation string, blocks []uint64)
}

// Options configures a feed.
type Options struct {
	// Loop owns the decisions of whom to poll.
	Loop *sycloop.Loop
	Sink Sink
	// Config returns the present configuration; nil while there is none.
	Config func() *sycconfig.State
	// Transport makes the connections; nil takes a transport of the feed's own.
	Transport http.RoundTripper
	// Self is the VM's address, and FailureDomain where it is.
	Self          string
	FailureDomain string
	// Members returns the addresses of the other VMs of the failure domain that
	// are in touch. It is called on the control loop; nil stands for none.
	Members func(now time.Duration) []string
	// Urgent asks for a digest before its time; it may be nil.
	Urgent func()
	// Polls tunes the sharing of polls.
	Polls sycpoll.Settings
}

// Feed follows all engines and stores of kept KV cache of the configuration.
type Feed struct {
	tomb    tomb.Tomb
	options Options
	client  *http.Client
	// wake has a token while the polls that are due may have changed.
	wake chan struct{}
	// seen and followers belong to the feed's goroutine.
	seen      *sycconfig.State
	followers map[string]*follower
	// plan, addresses, newest and news belong to the control loop; newest holds
	// the newest reports.
	plan      *sycpoll.Plan
	addresses map[string]string
	newest    map[string]sycdispatch.Report
	news      news
}

// New starts to follow the configuration's endpoints.
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
		news:      newNews(),
		newest:    map[string]sycdispatch.Report{},
	}
	f.tomb.Go(func() error {
		defer f.stop()
		f.run(f.tomb.Context(context.Background()))
		return nil
	})
	for range keepers {
		f.tomb.Go(func() error {
			f.keepAll()
			return nil
		})
	}
	return f
}

// Close stops all polls and waits for them.
func (f *Feed) Close() error {
	f.tomb.Kill(nil)
	err := f.tomb.Wait()
	f.client.CloseIdleConnections()
	return err
}

func (f *Feed) stop() {
	for _, follower := range f.followers {
		follower.tomb.Kill(nil)
	}
	for _, follower := range f.followers {
		follower.close()
	}
}

// run follows the configuration and polls what is due.
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
		if state := f.options.Config(); state != nil && state != f.seen {
			f.seen = state
			f.follow(state)
		}
		timer.Reset(min(f.pollDue(ctx), configPeriod))
	}
}

// wakeUp has the polls that are due looked at anew.
func (f *Feed) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// follow starts followers of new endpoints and stops those of gone ones.
func (f *Feed) follow(state *sycconfig.State) {
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
	f.options.Loop.Do(func(time.Duration) { f.plans(engines, wanted) })
	for _, o := range state.Endpoints() {
		record := o.Value()
		if wanted[record.Name()] != "" && f.followers[record.Name()] == nil {
			f.followers[record.Name()] = newFollower(f, record)
		}
	}
}

// plans takes the engines to poll; it runs on the control loop.
func (f *Feed) plans(engines []sycpoll.Engine, addresses map[string]string) {
	f.plan.Follow(engines)
	for name, address := range f.addresses {
		if addresses[name] != address {
			f.plan.Renew(name)
			delete(f.newest, name)
			delete(f.news.told, name)
			delete(f.news.reports, name)
		}
	}
	f.addresses = addresses
}
