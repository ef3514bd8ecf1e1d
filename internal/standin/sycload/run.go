package sycload

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
)

// Values of Options that are used for fields that aren't set.
const (
	// DefaultDuration is the time in which requests are sent.
	DefaultDuration = 20 * time.Second
	// DefaultMaxRequests is the largest number of requests of a run.
	DefaultMaxRequests = 20000
	// DefaultTimeout limits one HTTP request.
	DefaultTimeout = 30 * time.Second
	// DefaultModel is the model that requests ask for.
	DefaultModel = "chat"
)

// Options configures a run: the traffic, and the routers that receive it.
type Options struct {
	// Workload has the customers and their traffic.
	Workload Workload
	// Routers are the base URLs of the entry VMs, the VMs that receive the customers'
	// requests.
	Routers []string
	// Available reports whether a router may receive new requests, like a load
	// balancer's health checks. If nil, all routers may.
	Available func(router string) bool
	// Keys maps each customer's name to the secret of its key.
	Keys map[string]string
	// Model is the model that requests ask for.
	Model string
	// Adapters maps names of weights to the adapter that engines with these weights
	// use, which the expected responses depend on. Other weights use no adapter.
	Adapters map[string]string
	// BookPath is the path that bookings are posted to. If empty, no bookings are sent.
	BookPath string
	// Documents are used in the prompts instead of generated documents, if there are
	// any.
	Documents []string
	// Seed is the seed of the arrivals: equal options give equal requests.
	Seed uint64
	// Duration is the time in which requests are sent. The run ends when the last
	// request has ended.
	Duration time.Duration
	// MaxRequests limits the number of requests.
	MaxRequests int
	// RateFactor multiplies all arrival rates. The customers' rate limits don't change.
	RateFactor float64
	// Timeout limits one HTTP request, including its response body.
	Timeout time.Duration
	// Label names the run in reports.
	Label string
	// Progress is called every progressPeriod with the counts so far, if it isn't nil.
	Progress func(Progress)
}

// Progress counts the requests of a run so far.
type Progress struct {
	// Planned is the number of requests that the whole run sends.
	Planned int
	// Sent is the number of requests sent so far.
	Sent int
	// Answered is the number of requests that have ended, with any verdict.
	Answered int
	// Wrong is the number of requests with verdict Wrong.
	Wrong int
}

// Defaults returns the options with the default value in each numeric field that is 0
// and in an empty Model.
func (o Options) Defaults() Options {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.MaxRequests == 0 {
		o.MaxRequests = DefaultMaxRequests
	}
	if o.RateFactor == 0 {
		o.RateFactor = 1
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Model == "" {
		o.Model = DefaultModel
	}
	return o
}

// Validate returns an error if a run with the options isn't possible.
func (o Options) Validate() error {
	if len(o.Workload.customers) == 0 {
		return eris.New("load: no workload")
	}
	if len(o.Routers) == 0 {
		return eris.New("load: no routers")
	}
	for _, c := range o.Workload.customers {
		if o.Keys[c.name] == "" {
			return eris.Errorf("load: no key for customer %s", c.name)
		}
	}
	if o.RateFactor <= 0 || o.Duration <= 0 || o.MaxRequests <= 0 {
		return eris.New("load: rate, duration and number of requests must be above 0")
	}
	return nil
}

// runner sends the planned requests of one run.
type runner struct {
	options Options
	client  *http.Client
	// start is the start of the run, from which the times of arrivals count.
	start time.Time
	// planned is the number of planned requests.
	planned int
	// tally counts the outcomes.
	tally *tally
}

// Run sends the requests of the workload and returns what it measured. When ctx ends,
// it stops sending and returns the result so far.
func Run(ctx context.Context, o Options) (Result, error) {
	o = o.Defaults()
	if err := o.Validate(); err != nil {
		return Result{}, err
	}
	plan := newPlan(o)
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	defer transport.CloseIdleConnections()
	start := time.Now()
	r := &runner{
		options: o,
		client:  &http.Client{Transport: transport, Timeout: o.Timeout},
		start:   start,
		planned: len(plan),
		tally:   newTally(o.Workload.customers, start),
	}
	r.send(ctx, plan)
	return r.tally.result(o), nil
}

// send sends each arrival's request at its planned time, whether or not earlier
// requests have ended, and then waits until all have ended.
func (r *runner) send(ctx context.Context, plan []arrival) {
	var group errgroup.Group
	reporterDone := make(chan struct{})
	defer func() { <-reporterDone }()
	progress, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		defer close(reporterDone)
		r.report(progress)
	}()
	for i := range plan {
		a := &plan[i]
		if !sycpause.For(ctx, time.Until(r.start.Add(a.at))) {
			break
		}
		group.Go(func() error {
			r.sendArrival(ctx, a)
			return nil
		})
	}
	_ = group.Wait()
}

// sendArrival sends the request of an arrival, waits until the exchange has ended and
// records it in the tally.
func (r *runner) sendArrival(ctx context.Context, a *arrival) {
	r.tally.recordSent(a)
	if a.kind == booking {
		r.tally.recordBooking(a, r.book(ctx, a))
		return
	}
	x := newModelExchange(r, a)
	reusable := r.tally.addPrompt(a.customer, x.prompt)
	o := x.run(ctx)
	o.promptHash = sycengine.PromptHash(x.prompt)
	r.tally.recordResponse(a, o, reusable)
}

// progressPeriod is the time between two calls of Options.Progress.
const progressPeriod = time.Second

// report calls Options.Progress until ctx ends.
func (r *runner) report(ctx context.Context) {
	if r.options.Progress == nil {
		return
	}
	for sycpause.For(ctx, progressPeriod) {
		p := r.tally.progress()
		p.Planned = r.planned
		r.options.Progress(p)
	}
}
