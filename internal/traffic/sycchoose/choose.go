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
	"sycamorecart.example/sycamorecart/internal/operate/sycloop"
)

// TickPeriod is the time between looks at deadlines and at the configuration.
const TickPeriod = 20 * time.Millisecond

// DefaultWait bounds the wait of requests that bring no deadline.
const DefaultWait = 30 * time.Second

// Options configures a chooser. Config and Versions are called from many goroutines.
type Options struct {
	Loop *sycloop.Loop
	// Config returns the present configuration; nil while there is none.
	Config        func() *sycconfig.State
	FailureDomain string
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
	// dispatcher and waiting belong to the loop.
	dispatcher *sycdispatch.Dispatcher
	waiting    map[uint64]chan sycdispatch.Decision
}

// New returns a chooser that decides on the loop.
func New(o Options) *Chooser {
	c := &Chooser{
		loop:     o.Loop,
		config:   o.Config,
		versions: o.Versions,
		waiting:  map[uint64]chan sycdispatch.Decision{},
	}
	if c.versions == nil {
		c.versions = c.initialVersions
	}
	c.dispatcher = sycdispatch.New(sycdispatch.Options{
		FailureDomain: o.FailureDomain,
		Seed:          o.Seed,
		Versions:      c.versions,
	})
	c.loop.Every(TickPeriod, func(now time.Duration) {
		c.act(now, func(d *sycdispatch.Dispatcher) { d.Tick(now) })
	})
	return c
}

// Choose waits until an endpoint has room for the request. It fails with
// *sycwork.Refusal, which always means that the request was not run.
func (c *Chooser) Choose(ctx context.Context, w sycwork.Work) (sycwork.Grant, error) {
	if c.config() == nil {
		return nil, notReady()
	}
	r := c.request(w)
	answer := make(chan sycdispatch.Decision, 1)
	posted := c.loop.Post(func(now time.Duration) {
		c.waiting[r.ID] = answer
		c.act(now, func(d *sycdispatch.Dispatcher) { d.Submit(now, r) })
	})
	if !posted {
		return nil, notReady()
	}
	select {
	case d := <-answer:
		return c.granted(d)
	case <-ctx.Done():
		c.cancel(r.ID)
		return nil, cancelled()
	}
}

func (c *Chooser) granted(d sycdispatch.Decision) (sycwork.Grant, error) {
	if d.Refusal != nil {
		return nil, d.Refusal
	}
	return &grant{chooser: c, id: d.ID, target: *d.Target}, nil
}

// cancel withdraws a request whose caller no longer waits; an endpoint that
// was granted meanwhile is released.
func (c *Chooser) cancel(id uint64) {
	c.loop.Post(func(now time.Duration) {
		delete(c.waiting, id)
		c.act(now, func(d *sycdispatch.Dispatcher) { d.Cancel(now, id) })
	})
}

// act runs an event on the loop and hands out the decisions that follow.
func (c *Chooser) act(now time.Duration, event func(*sycdispatch.Dispatcher)) {
	c.dispatcher.Configure(now, c.config())
	event(c.dispatcher)
	for _, d := range c.dispatcher.Take() {
		answer := c.waiting[d.ID]
		delete(c.waiting, d.ID)
		if answer != nil {
			answer <- d
		}
	}
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

func cancelled() error {
	return &sycwork.Refusal{
		Reason:     sycwork.Overloaded,
		Message:    "the caller stopped waiting for an endpoint; the request was not run",
		RetryAfter: time.Second,
	}
}
