// Package sycchoose lets the goroutines that serve requests ask for an endpoint. A Chooser
// passes each request to the control loop, where package sycdispatch decides on it, and
// returns the decision.
//
// An attempt is one try of a request at one endpoint. A pool is the set of requests that
// compete for the same endpoints. A digest is a VM's load on endpoints and its customers'
// usage of pools. The VMs of a failure domain exchange digests.
//
// A prefill is an engine's computation of a prompt, which is over at the first output token.
// A KV store is an endpoint that stores cached blocks of engines. In a store fetch, it fetches
// blocks from an engine.
package sycchoose

import (
	"context"
	"sync/atomic"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
)

const (
	// TickPeriod is the time between checks of deadlines and of the configuration while
	// requests wait.
	TickPeriod = 20 * time.Millisecond
	// idlePeriod is the time between these checks while no request waits.
	idlePeriod = 100 * time.Millisecond
)

// statsPeriod is the time between updates of the gauges.
const statsPeriod = time.Second

// maxStoreFetches limits the store fetches that wait to be sent, for all KV stores
// together. Further fetches are dropped.
const maxStoreFetches = 64

// DefaultWait is the longest wait for an endpoint of requests without a deadline.
const DefaultWait = 30 * time.Second

// Options configures a Chooser. Config and Versions are called concurrently.
type Options struct {
	// Loop is the control loop, on which all decisions run.
	Loop *sycloop.Loop
	// Config returns the present configuration, nil while there is none.
	Config func() *sycconfig.State
	// FailureDomain is the failure domain of this VM.
	FailureDomain string
	// Policy names the policy that selects endpoints, one of the names in package
	// sycroute. Any other value stands for sycroute.NamePrefix.
	Policy string
	// Seed is the seed of random choices. It should differ between VMs.
	Seed uint64
	// Versions returns the traffic shares of a model's versions. If it is nil, requests go
	// to the versions whose record marks them as initial, which need no rollout.
	Versions func(model string) []sycwork.VersionShare
}

// Chooser selects an endpoint for each attempt. It implements sycwork.Chooser and
// sycfeed.Sink.
type Chooser struct {
	// loop is the control loop.
	loop *sycloop.Loop
	// config and versions are the functions Config and Versions of the Options.
	config   func() *sycconfig.State
	versions func(model string) []sycwork.VersionShare
	// lastID is the ID of the newest request.
	lastID atomic.Uint64
	// dispatcher, waiting and tick must be accessed on the loop only. dispatcher decides
	// which endpoint a request gets and when.
	dispatcher dispatcher
	// waiting maps the IDs of waiting requests to the channels for their decisions.
	waiting map[uint64]chan sycdispatch.Decision
	// tick runs the dispatcher's time-based work.
	tick *sycloop.Task
	// gauges are updated from the dispatcher's totals every statsPeriod.
	gauges *gauges
	// storeFetches queues the fetches that KV stores should do, at most maxStoreFetches.
	storeFetches chan sycdispatch.StoreFetch
	// urgent holds a value while this VM's digest should be sent at once.
	urgent chan struct{}
}

// New returns a Chooser that decides on the loop o.Loop.
func New(o Options) *Chooser {
	c := &Chooser{
		loop:         o.Loop,
		config:       o.Config,
		versions:     o.Versions,
		waiting:      map[uint64]chan sycdispatch.Decision{},
		gauges:       processGauges,
		urgent:       make(chan struct{}, 1),
		storeFetches: make(chan sycdispatch.StoreFetch, maxStoreFetches),
	}
	if c.versions == nil {
		c.versions = c.initialVersions
	}
	c.dispatcher = newDispatcher(o.Policy, sycdispatch.Options{
		FailureDomain: o.FailureDomain,
		Seed:          o.Seed,
		Versions:      c.versions,
	})
	c.tick = c.loop.NewTask(idlePeriod, func(now time.Duration) {
		c.act(now, func(d dispatcher) { d.Tick(now) })
	})
	c.tick.Start()
	c.loop.Every(statsPeriod, func(time.Duration) { c.gauges.set(c.dispatcher.Stats()) })
	return c
}

// Endpoints returns the status of all endpoints, sorted by name. It must not be called on
// the loop.
func (c *Chooser) Endpoints() (list []sycdispatch.EndpointStatus) {
	c.loop.Do(func(now time.Duration) { list = c.dispatcher.Endpoints(now) })
	return list
}

// maxSubmits limits how often a request is submitted. It is submitted again if all its
// versions stopped getting requests while it waited.
const maxSubmits = 3

// Choose waits until an endpoint has room for the request. The error is always a
// *sycwork.Refusal, which means that the request was not run.
func (c *Chooser) Choose(ctx context.Context, w sycwork.Work) (sycwork.Grant, error) {
	if c.config() == nil {
		return nil, notReady()
	}
	for range maxSubmits {
		d, err := c.awaitDecision(ctx, c.request(w))
		switch {
		case err != nil:
			return nil, err
		case d.Refusal != nil:
			return nil, d.Refusal
		case d.Target != nil:
			return &grant{chooser: c, id: d.ID, target: *d.Target}, nil
		}
	}
	return nil, versionsChanging()
}

// awaitDecision submits a request to the dispatcher and waits for the decision.
func (c *Chooser) awaitDecision(ctx context.Context, r *sycdispatch.Request) (sycdispatch.Decision, error) {
	decided := make(chan sycdispatch.Decision, 1)
	posted := c.loop.Post(func(now time.Duration) {
		c.waiting[r.ID] = decided
		c.act(now, func(d dispatcher) { d.Submit(now, r) })
		decisionTime.Update((c.loop.Now() - now).Seconds())
	})
	if !posted {
		return sycdispatch.Decision{}, notReady()
	}
	select {
	case d := <-decided:
		return d, nil
	case <-ctx.Done():
		c.cancel(r.ID)
		return sycdispatch.Decision{}, cancelled()
	}
}

// cancel removes a request whose caller no longer waits. If it has got an endpoint in the
// meantime, the endpoint is released.
func (c *Chooser) cancel(id uint64) {
	c.loop.Post(func(now time.Duration) {
		delete(c.waiting, id)
		c.act(now, func(d dispatcher) { d.Cancel(now, id) })
	})
}

// act passes an event to the dispatcher, then sends the resulting decisions to the waiting
// requests and queues the store fetches. It must be called on the loop.
func (c *Chooser) act(now time.Duration, event func(dispatcher)) {
	c.dispatcher.Configure(now, c.config())
	event(c.dispatcher)
	for _, d := range c.dispatcher.Take() {
		count(d)
		decided := c.waiting[d.ID]
		delete(c.waiting, d.ID)
		if decided != nil {
			decided <- d
		}
	}
	c.setTickPeriod()
	if c.dispatcher.Urgent() {
		c.MarkUrgent()
	}
	for _, f := range c.dispatcher.TakeStoreFetches() {
		select {
		case c.storeFetches <- f:
		default:
			droppedFetches.Inc()
		}
	}
}

// setTickPeriod sets the period of the tick, which is shorter while requests wait.
func (c *Chooser) setTickPeriod() {
	if len(c.waiting) > 0 {
		c.tick.SetPeriod(TickPeriod)
		return
	}
	c.tick.SetPeriod(idlePeriod)
}

// request converts work to the dispatcher's request. It hashes the prompt, so it is called
// on the goroutine that serves the request and not on the loop.
func (c *Chooser) request(w sycwork.Work) *sycdispatch.Request {
	r := &sycdispatch.Request{
		ID:           c.lastID.Add(1),
		Customer:     w.Customer,
		Service:      w.Service,
		Model:        w.Model,
		Exclude:      w.Exclude,
		PromptTokens: sycblock.Tokens(w.Prompt),
		MaxTokens:    w.MaxTokens,
		Pinned:       w.Weights != "",
		Deadline:     c.deadline(w.Deadline),
	}
	if w.Model == "" {
		return r
	}
	for _, v := range c.candidates(w) {
		salt := sycblock.Salt(w.Customer, w.Model, v.Adapter, v.Weights)
		r.Options = append(r.Options, sycdispatch.Option{
			Version: v,
			Salt:    salt,
			Chain:   sycblock.Chain(salt, w.Prompt),
		})
	}
	return r
}

// deadline converts a deadline to a time on the loop. The zero deadline stands for
// DefaultWait from now.
func (c *Chooser) deadline(t time.Time) time.Duration {
	now := c.loop.Now()
	if t.IsZero() {
		return now + DefaultWait
	}
	return now + time.Until(t)
}

// notReady returns the refusal of a request while there is no configuration.
func notReady() error {
	return &sycwork.Refusal{
		Reason:     sycwork.NotReady,
		Message:    "this VM has no configuration yet; the request was not run",
		RetryAfter: time.Second,
	}
}

// versionsChanging returns the refusal of a request that was submitted maxSubmits times.
func versionsChanging() error {
	return &sycwork.Refusal{
		Reason:     sycwork.NoEndpoint,
		Message:    "the model's versions are changing; the request was not run",
		RetryAfter: time.Second,
	}
}

// cancelled returns the refusal of a request whose caller stopped waiting.
func cancelled() error {
	return &sycwork.Refusal{
		Reason:     sycwork.Overloaded,
		Message:    "the caller stopped waiting for an endpoint; the request was not run",
		RetryAfter: time.Second,
	}
}
