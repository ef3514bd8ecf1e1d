// Package sycfeed polls the endpoints' load, cache events and cache lists and
// hands them to a sink. It decides nothing.
package sycfeed

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

const (
	// loadPeriod is the time between load polls of an endpoint while there are few.
	loadPeriod = 200 * time.Millisecond
	// loadPolls bounds the load polls a second of all endpoints together.
	loadPolls = 50
	// keepers is the number of fetches of stores that run together.
	keepers = 2
	// configPeriod is the time between looks at the configuration.
	configPeriod = 200 * time.Millisecond
)

var (
	pollErrors = metrics.NewCounter("sycamorecart_feed_poll_errors_total")
	resyncs    = metrics.NewCounter("sycamorecart_feed_resyncs_total")
	eventCount = metrics.NewCounter("sycamorecart_feed_events_total")
)

// Sink takes what was read of endpoints, which are named by their records. Its
// methods are called from many goroutines.
type Sink interface {
	// Report takes a load report that was age old when it arrived.
	Report(name string, age time.Duration, r sycdispatch.Report)
	// RoundTrip takes the time that a poll took.
	RoundTrip(name string, took time.Duration)
	// Unreachable tells that no connection could be made.
	Unreachable(name string)
	// Silent tells that connections are taken but polls not answered.
	Silent(name string)
	// Position, Events and Resync return where the reading of events goes on.
	Position(name string) sycdispatch.Position
	Events(name string, b sycdispatch.Batch) sycdispatch.Position
	Resync(name, incarnation string, next uint64, blocks []uint64) sycdispatch.Position
	// Keeps yields what stores of kept KV cache should fetch from engines, and
	// Kept takes what a store holds after it.
	Keeps() <-chan sycdispatch.Keep
	Kept(name, incarnation string, blocks []uint64)
}

// Options configures a feed.
type Options struct {
	Sink Sink
	// Config returns the present configuration; nil while there is none.
	Config func() *sycconfig.State
	// Transport makes the connections; nil takes a transport of the feed's own.
	Transport http.RoundTripper
}

// Feed follows all engines and stores of kept KV cache of the configuration.
type Feed struct {
	tomb    tomb.Tomb
	options Options
	client  *http.Client
	// followers belongs to the feed's goroutine.
	followers map[string]*follower
	following atomic.Int64
}

// New starts to follow the configuration's endpoints.
func New(o Options) *Feed {
	if o.Transport == nil {
		o.Transport = &http.Transport{
			MaxIdleConnsPerHost: 2,
			IdleConnTimeout:     time.Minute,
		}
	}
	f := &Feed{
		options:   o,
		client:    &http.Client{Transport: o.Transport},
		followers: map[string]*follower{},
	}
	f.tomb.Go(func() error {
		defer f.stop()
		ticker := time.NewTicker(configPeriod)
		defer ticker.Stop()
		var seen *sycconfig.State
		for {
			if state := o.Config(); state != nil && state != seen {
				seen = state
				f.follow(state)
			}
			select {
			case <-f.tomb.Dying():
				return nil
			case <-ticker.C:
			}
		}
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

// follow starts followers of new endpoints and stops those of gone ones.
func (f *Feed) follow(state *sycconfig.State) {
	wanted := map[string]string{}
	for _, o := range state.Endpoints() {
		if record := o.Value(); record.Type() != sycrecord.EndpointService {
			wanted[record.Name()] = record.Address()
		}
	}
	for name, follower := range f.followers {
		if wanted[name] != follower.address {
			follower.close()
			delete(f.followers, name)
		}
	}
	f.following.Store(int64(len(wanted)))
	for _, o := range state.Endpoints() {
		record := o.Value()
		if wanted[record.Name()] != "" && f.followers[record.Name()] == nil {
			f.followers[record.Name()] = newFollower(f.client, f.options.Sink, record, f.period)
		}
	}
}

// period is the time to the next load poll of an endpoint, with jitter.
func (f *Feed) period() time.Duration {
	period := max(loadPeriod, time.Duration(f.following.Load())*time.Second/loadPolls)
	return period*3/4 + rand.N(period/2)
}
