// Package sycscenario runs deployments with real router processes through
// faults and checks the properties that must hold.
package sycscenario

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
	"sycamorecart.example/sycamorecart/internal/standin/sycoracle"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
)

const (
	// DefaultDuration is how long requests are sent in a scenario.
	DefaultDuration = 6 * time.Second
	// startTimeout bounds the start of a deployment.
	startTimeout = time.Minute
	// engineSpeed makes engines faster, so that a run is short.
	engineSpeed = 4
	// balancerPeriod is how often the balancer checks the VMs, and drainSettle how
	// long a leaving VM stays open for it to notice.
	balancerPeriod = 100 * time.Millisecond
	drainSettle    = 800 * time.Millisecond
	// warmUp is how long VMs run before the load, for bursts to accrue.
	warmUp = 2500 * time.Millisecond
	// listLag is how old the VM list's answers are.
	listLag = 500 * time.Millisecond
)

// Options says what to run scenarios with.
type Options struct {
	// Binary is the router program.
	Binary string
	// Workload is the deployment.
	Workload sycload.Workload
	Seed     uint64
	// Duration is how long requests are sent; the faults' times follow it.
	Duration time.Duration
	// Output receives the routers' logs; nil discards them.
	Output io.Writer
}

// step is something done at a time of the run.
type step struct {
	// at is counted from the start of a load of DefaultDuration.
	at time.Duration
	do func(ctx context.Context, r *run) error
}

// Scenario is a sequence of faults during a load.
type Scenario struct {
	name  string
	steps []step
	// adapt changes the workload before the deployment starts; nil keeps it.
	adapt func(sycload.Workload) sycload.Workload
	// reserved lists the customers, by index, whose requests only the steps send.
	reserved []int
	// checks look at what is special to the scenario, after the load.
	checks []func(r *run)
}

// Name is the scenario's name.
func (s Scenario) Name() string { return s.name }

// run is a scenario in progress.
type run struct {
	*sycdeploy.Deployment
	ledger   *sycoracle.Ledger
	result   sycload.Result
	workload sycload.Workload
	seed     uint64

	mu sync.Mutex
	// marks holds when something happened, by name.
	marks map[string]time.Time
	// loads holds the results of the loads that the steps sent.
	loads []sycload.Result
	// probes are the exchanges that the steps made one by one.
	probes []sycload.Exchange
}

// mark notes that something happens now.
func (r *run) mark(name string) { r.markAt(name, time.Now()) }

// markAt notes the time of something.
func (r *run) markAt(name string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks[name] = at
}

func (r *run) marked(name string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.marks[name]
}

// Domains lists the names of the failure domains.
func (r *run) Domains() []string {
	var names []string
	for _, d := range r.workload.Domains() {
		names = append(names, d.Name())
	}
	return names
}

// customers names the customers at the indexes.
func (r *run) customers(indexes ...int) []string {
	all := r.CustomerNames()
	var names []string
	for _, i := range indexes {
		names = append(names, all[i])
	}
	return names
}

// CustomerNames lists the customers.
func (r *run) CustomerNames() []string {
	var names []string
	for _, c := range r.workload.Customers() {
		names = append(names, c.Name())
	}
	return names
}

// together runs the steps of several scenarios at the same times.
func together(list ...Scenario) Scenario {
	var joined Scenario
	for i, s := range list {
		if i > 0 {
			joined.name += " + "
		}
		joined.name += s.name
		joined.steps = append(joined.steps, s.steps...)
		joined.checks = append(joined.checks, s.checks...)
		joined.reserved = append(joined.reserved, s.reserved...)
	}
	joined.adapt = func(w sycload.Workload) sycload.Workload {
		for _, s := range list {
			w = s.workload(w)
		}
		return w
	}
	return joined
}

// workload is the scenario's form of a workload.
func (s Scenario) workload(w sycload.Workload) sycload.Workload {
	if s.adapt == nil {
		return w
	}
	return s.adapt(w)
}

// Run runs a scenario and returns the ledger of its checks.
func Run(ctx context.Context, s Scenario, o Options) (ledger *sycoracle.Ledger, result sycload.Result, err error) {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	o.Workload = s.workload(o.Workload)
	deployment, err := deploy(ctx, o)
	if err != nil {
		return nil, result, err
	}
	defer func() { err = errors.Join(err, deployment.Close()) }()
	r := &run{
		Deployment: deployment,
		workload:   o.Workload,
		seed:       o.Seed,
		ledger:     sycoracle.NewLedger(),
		marks:      map[string]time.Time{},
	}
	r.watchKeys()
	if err := r.drive(ctx, s, o); err != nil {
		return nil, result, err
	}
	for _, load := range r.loads {
		r.result = r.result.With(load)
	}
	r.evidence(o).CheckAll(r.ledger)
	for _, check := range s.checks {
		check(r)
	}
	return r.ledger, r.result, nil
}

func deploy(ctx context.Context, o Options) (*sycdeploy.Deployment, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return sycdeploy.New(ctx, sycdeploy.Options{
		Workload: o.Workload,
		Binary:   o.Binary,
		Settings: map[string]string{
			"platform.list_lag": listLag.String(),
			"drain.settle":      drainSettle.String(),
		},
		Platform: sycplatform.Options{ListLag: listLag},
		Engine:   sycengine.Options{Speed: engineSpeed},
		Seed:     o.Seed,
		WarmUp:   warmUp,
		Output:   o.Output,
	})
}

// drive sends the load while it takes the steps and samples the VMs' status.
func (r *run) drive(ctx context.Context, s Scenario, o Options) error {
	sampling, stop := context.WithCancel(ctx)
	defer stop()
	var samples []sycoracle.Applied
	var watcher errgroup.Group
	watcher.Go(func() error {
		samples = r.sample(sampling)
		return nil
	})
	group, ctx := errgroup.WithContext(ctx)
	start := time.Now()
	for _, st := range s.steps {
		group.Go(func() error {
			at := time.Duration(float64(st.at) * float64(o.Duration) / float64(DefaultDuration))
			if !sycpause.For(ctx, time.Until(start.Add(at))) {
				return ctx.Err()
			}
			return eris.Wrapf(st.do(ctx, r), "scenario %s", s.name)
		})
	}
	balancer := sycdeploy.NewBalancer(r.Deployment, balancerPeriod)
	defer balancer.Close()
	group.Go(func() (err error) {
		r.result, err = sycload.Run(ctx, sycload.Options{
			Workload:  o.Workload.Without(r.customers(s.reserved...)...),
			Routers:   r.URLs(),
			Available: balancer.Available,
			Keys:      r.Keys(),
			BookPath:  sycdeploy.BookPath,
			Seed:      o.Seed,
			Duration:  o.Duration,
		})
		return err
	})
	err := group.Wait()
	stop()
	_ = watcher.Wait()
	sycoracle.CheckConfig(r.ledger, samples)
	return err
}

// watchKeys lets the endpoints look out for callers' keys.
func (r *run) watchKeys() {
	for _, secret := range r.Keys() {
		for _, e := range r.Engines() {
			e.Watch(secret)
		}
		for _, w := range r.Workers() {
			w.Watch(secret)
		}
	}
}

func (r *run) evidence(o Options) sycoracle.Evidence {
	evidence := sycoracle.Evidence{Customers: o.Workload.Customers(), Exchanges: slices.Concat(r.result.Exchanges(), r.probes)}
	for _, e := range r.Engines() {
		evidence.Requests = append(evidence.Requests, e.Requests()...)
		evidence.Sightings += e.Sightings()
	}
	for _, w := range r.Workers() {
		evidence.Calls = append(evidence.Calls, w.Calls()...)
		evidence.Sightings += w.Sightings()
	}
	return evidence
}
