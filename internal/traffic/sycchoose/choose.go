// Package sycchoose lets traffic goroutines ask the control loop for an
// endpoint. The decisions are those of package sycdispatch.
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

// TickPeriod is the time between looks at deadlines and at the configuration
// while requests wait, idlePeriod while none does.
const (
	TickPeriod = 20 * time.Millisecond
	idlePeriod = 100 * time.Millisecond
)

// statsPeriod is the time between updates of the gauges.
const statsPeriod = time.Second

// keepsWaiting bounds the fetches that wait for a store; further ones are dropped.
const keepsWaiting = 64

// DefaultWait bounds the wait of requests that bring no deadline.
const DefaultWait = 30 * time.Second

// Options configures a chooser. Config and Versions are called from many goroutines.
type Options struct {
	Loop *sycloop.Loop
	// Config returns the present configuration; nil while there is none.
	Config        func() *sycconfig.State
	FailureDomain string
	// Policy is one of the names of package sycroute; empty stands for "prefix".
	Policy string
	// Seed makes the choices of VMs differ from one another.
	Seed uint64
	// Versions returns the shares of a model's versions; nil serves the
	// versions whose record says that they need no rollout.
	Versions func(model string) []sycwork.VersionShare
}

// Chooser implements sycwork.Chooser.
type Chooser struct {
	loop     *sycloop.Loop
	config   func() *sycconfig.State
	versions func(model string) []sycwork.VersionShare
	ids      atomic.Uint64
	// dispatcher, waiting and tick belong to the loop.
	dispatcher machine
	waiting    map[uint64]chan sycdispatch.Decision
	tick       *sycloop.Task
	gauges     *gauges
	keeps      chan sycdispatch.StoreFetch
	// urgent has a token while other VMs should be told of this VM's load.
	urgent chan struct{}
}

// New returns a chooser that decides on the loop.
func New(o Options) *Chooser {
	c := &Chooser{
		loop:     o.Loop,
		config:   o.Config,
		versions: o.Versions,
		waiting:  map[uint64]chan sycdispatch.Decision{},
		gauges:   shown,
		urgent:   make(chan struct{}, 1),
		keeps:    make(chan sycdispatch.StoreFetch, keepsWaiting),
	}
	if c.versions == nil {
		c.versions = c.initialVersions
	}
	c.dispatcher = newMachine(o.Policy, sycdispatch.Options{
		FailureDomain: o.FailureDomain,
		Seed:          o.Seed,
		Versions:      c.versions,
	})
	c.tick = c.loop.NewTask(idlePeriod, func(now time.Duration) {
		c.act(now, func(d machine) { d.Tick(now) })
	})
	c.tick.Start()
	c.loop.Every(statsPeriod, func(time.Duration) { c.gauges.set(c.dispatcher.Stats()) })
	return c
}

// Endpoints returns what is known of all endpoints, by name. It must not be
// called on the loop.
func (c *Chooser) Endpoints() (list []sycdispatch.EndpointStatus) {
	c.loop.Do(func(now time.Duration) { list = c.dispatcher.Endpoints(now) })
	return list
}

// staleTries is the number of times that a request whose versions got out of
// use while it waited is submitted again.
const staleTries = 3

// Choose waits until an endpoint has room for the request. It fails with
// *sycwork.Refusal, which always means that the request was not run.
func (c *Chooser) Choose(ctx context.Context, w sycwork.Work) (sycwork.Grant, error) {
	if c.config() == nil {
		return nil, notReady()
	}
	for range staleTries {
		d, err := c.ask(ctx, c.request(w))
		switch {
		case err != nil:
			return nil, err
		case d.Refusal != nil:
			return nil, d.Refusal
		case d.Target != nil:
			return &grant{chooser: c, id: d.ID, target: *d.Target}, nil
		}
	}
	return nil, changed()
}

// ask submits a request and waits for its decision.
func (c *Chooser) ask(ctx context.Context, r *sycdispatch.Request) (sycdispatch.Decision, error) {
	answer := make(chan sycdispatch.Decision, 1)
	posted := c.loop.Post(func(now time.Duration) {
		c.waiting[r.ID] = answer
		c.act(now, func(d machine) { d.Submit(now, r) })
		decisionTime.Update((c.loop.Now() - now).Seconds())
	})
	if !posted {
		return sycdispatch.Decision{}, notReady()
	}
	select {
	case d := <-answer:
		return d, nil
	case <-ctx.Done():
		c.cancel(r.ID)
		return sycdispatch.Decision{}, cancelled()
	}
}

// cancel removes a request whose caller no longer waits; an endpoint that
// was granted meanwhile is released.
func (c *Chooser) cancel(id uint64) {
	c.loop.Post(func(now time.Duration) {
		delete(c.waiting, id)
		c.act(now, func(d machine) { d.Cancel(now, id) })
	})
}

// act runs an event on the loop and hands out the decisions that follow.
func (c *Chooser) act(now time.Duration, event func(machine)) {
	c.dispatcher.Configure(now, c.config())
	event(c.dispatcher)
	for _, d := range c.dispatcher.Take() {
		count(d)
		answer := c.waiting[d.ID]
		delete(c.waiting, d.ID)
		if answer != nil {
			answer <- d
		}
	}
	c.pace()
	if c.dispatcher.Urgent() {
		c.MarkUrgent()
	}
	for _, k := range c.dispatcher.TakeStoreFetches() {
		select {
		case c.keeps <- k:
		default:
			droppedKeeps.Inc()
		}
	}
}

// pace has the tick come often while requests wait.
func (c *Chooser) pace() {
	if len(c.waiting) > 0 {
		c.tick.SetPeriod(TickPeriod)
		return
	}
	c.tick.SetPeriod(idlePeriod)
}

// request turns work into a request; hashing the prompt is done here, on the
// traffic goroutine.
func (c *Chooser) request(w sycwork.Work) *sycdispatch.Request {
	r := &sycdispatch.Request{
		ID:           c.ids.Add(1),
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

func (c *Chooser) deadline(t time.Time) time.Duration {
	now := c.loop.Now()
	if t.IsZero() {
		return now + DefaultWait
	}
	return now + time.Until(t)
}

func notReady() error {
	return &sycwork.Refusal{
		Reason:     sycwork.NotReady,
		Message:    "this VM has no configuration yet; the request was not run",
		RetryAfter: time.Second,
	}
}

func changed() error {
	return &sycwork.Refusal{
		Reason:     sycwork.NoEndpoint,
		Message:    "the model's versions are changing; the request was not run",
		RetryAfter: time.Second,
	}
}

func cancelled() error {
	return &sycwork.Refusal{
		Reason:     sycwork.Overloaded,
		Message:    "the caller stopped waiting for an endpoint; the request was not run",
		RetryAfter: time.Second,
	}
}
