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

// Defaults of the options.
const (
	DefaultDuration    = 20 * time.Second
	DefaultMaxRequests = 20000
	DefaultTimeout     = 30 * time.Second
	DefaultModel       = "chat"
)

// Options says what to send where.
type Options struct {
	Workload Workload
	// Routers are the base URLs of the entry VMs.
	Routers []string
	// Available reports whether a router may get new requests, as a balancer's
	// health checks do; nil allows all.
	Available func(router string) bool
	// Keys gives the secret of each customer's key.
	Keys map[string]string
	// Model is the model asked for.
	Model string
	// Adapters gives the adapter that answers on weights are made with; weights that
	// it doesn't name have none.
	Adapters map[string]string
	// BookPath is the path that bookings are posted to; empty sends none.
	BookPath string
	// Documents replace the synthetic documents of the prompts.
	Documents []string
	Seed      uint64
	// Duration is that of the arrivals; a run ends when the last is answered.
	Duration time.Duration
	// MaxRequests bounds the number of arrivals.
	MaxRequests int
	// RateFactor multiplies all arrival rates, but no limit.
	RateFactor float64
	// Timeout bounds one request.
	Timeout time.Duration
	// Label names the run in reports.
	Label string
	// Progress is called about every second; nil for none.
	Progress func(Progress)
}

// Progress counts the requests of a run so far.
type Progress struct {
	Planned  int
	Sent     int
	Answered int
	Wrong    int
}

// Defaults fills in what is not set.
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

// Validate reports options that can't be run.
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

// runner is a run in progress.
type runner struct {
	options Options
	client  *http.Client
	start   time.Time
	planned int
	tally   *tally
}

// Run sends the workload and returns what was measured. It ends early, with
// what was measured so far, when the context ends.
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

// send starts each arrival at its time and waits for all answers.
func (r *runner) send(ctx context.Context, plan []arrival) {
	var group errgroup.Group
	reported := make(chan struct{})
	defer func() { <-reported }()
	progress, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		defer close(reported)
		r.report(progress)
	}()
	for i := range plan {
		a := &plan[i]
		if !sycpause.For(ctx, time.Until(r.start.Add(a.at))) {
			break
		}
		group.Go(func() error {
			r.exchange(ctx, a)
			return nil
		})
	}
	_ = group.Wait()
}

func (r *runner) exchange(ctx context.Context, a *arrival) {
	r.tally.sent(a)
	if a.form == booking {
		r.tally.booked(a, r.book(ctx, a))
		return
	}
	x := newExchange(r, a)
	reusable := r.tally.reusable(a.customer, x.prompt)
	o := x.run(ctx)
	o.prompt = sycengine.PromptHash(x.prompt)
	r.tally.answered(a, o, reusable)
}

const progressPeriod = time.Second

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
