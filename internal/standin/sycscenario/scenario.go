// Package sycscenario runs scenarios: it starts a deployment of router processes, sends a
// load of requests, injects faults meanwhile and checks the properties that must hold
// through all of them. The properties are declared in sycoracle.
//
// The load is the planned traffic of a workload, and a probe a booking that a scenario
// sends by itself. A mark is a named time in a run. A claim is the record in the log by
// which a VM reserves a call with an Idempotency-Key before it sends the call.
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
	// DefaultDuration is how long the load is sent if Options.Duration is 0.
	DefaultDuration = 6 * time.Second
	// startTimeout limits the start of a deployment and of a restarted VM.
	startTimeout = time.Minute
	// engineSpeed is the factor by which the engines' simulated time runs faster, so that a
	// run is short.
	engineSpeed = 4
	// balancerInterval is the time between the balancer's readiness checks of the VMs.
	balancerInterval = 100 * time.Millisecond
	// drainSettle is how long a VM that shuts down still accepts requests, so that the
	// balancer notices in time that it's no longer ready.
	drainSettle = 800 * time.Millisecond
	// warmUp is how long VMs run before the load, so that customers' token buckets fill up.
	warmUp = 2500 * time.Millisecond
	// listLag is how far the platform's VM list is behind: its responses are this old.
	listLag = 500 * time.Millisecond
)

// Options configures the run of a scenario.
type Options struct {
	// Binary is the path of the router program. If it's empty, the routers run in this
	// process, where they can't be paused.
	Binary string
	// Workload gives the deployment's size, its customers and the load.
	Workload sycload.Workload
	// Seed makes the load and the random choices of the stand-ins repeatable.
	Seed uint64
	// Duration is how long the load is sent. The times of the faults are scaled in
	// proportion to it. 0 means DefaultDuration.
	Duration time.Duration
	// Output receives the routers' logs; nil discards them.
	Output io.Writer
}

// step is an action at a given time of a run, such as injecting a fault.
type step struct {
	// at is the time from the start of the load to the action. It holds for a load of
	// DefaultDuration and is scaled for another.
	at time.Duration
	// do runs the action. An error ends the run.
	do func(ctx context.Context, r *run) error
}

// Scenario is a set of steps that inject faults while a load of requests is sent.
type Scenario struct {
	name string
	// steps run concurrently, each from its own time on.
	steps []step
	// adapt changes the workload before the deployment starts; nil keeps it.
	adapt func(sycload.Workload) sycload.Workload
	// reserved lists the indexes of customers that the run's load leaves out. Only steps
	// send requests of these customers.
	reserved []int
	// checks are checks of this scenario alone. They're called after the load.
	checks []func(r *run)
}

// Name returns the scenario's name, which is printed in reports.
func (s Scenario) Name() string { return s.name }

// run is one run of a scenario with its deployment.
type run struct {
	*sycdeploy.Deployment
	// ledger counts how often each property was checked and broken.
	ledger *sycoracle.Ledger
	// result is the result of the run's load, to which the steps' loads are added in the
	// end.
	result sycload.Result
	// workload is the deployment's workload, as changed by Scenario.adapt.
	workload sycload.Workload
	// seed is Options.Seed.
	seed uint64

	// mu guards the fields below, which concurrent steps write.
	mu sync.Mutex
	// marks maps the name of an event in the run to the time at which it happened.
	marks map[string]time.Time
	// loads holds the results of the loads that steps sent.
	loads []sycload.Result
	// probes are the bookings that steps sent by themselves.
	probes []sycload.Exchange
	// withdrawn maps a customer to the time at which the withdrawal of its key was about
	// to be published.
	withdrawn map[string]time.Time
}

// mark sets the named mark to the present time.
func (r *run) mark(name string) { r.markAt(name, time.Now()) }

// markAt sets the named mark to a time.
func (r *run) markAt(name string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks[name] = at
}

// timeOf returns the time of the named mark, the zero time if it wasn't set.
func (r *run) timeOf(name string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.marks[name]
}

// Domains lists the names of the workload's failure domains.
func (r *run) Domains() []string {
	var names []string
	for _, d := range r.workload.Domains() {
		names = append(names, d.Name())
	}
	return names
}

// customersAt returns the names of the customers at the indexes of the workload.
func (r *run) customersAt(indexes ...int) []string {
	all := r.CustomerNames()
	var names []string
	for _, i := range indexes {
		names = append(names, all[i])
	}
	return names
}

// CustomerNames lists the names of the workload's customers.
func (r *run) CustomerNames() []string {
	var names []string
	for _, c := range r.workload.Customers() {
		names = append(names, c.Name())
	}
	return names
}

// combine returns a scenario with the steps and checks of all the listed scenarios. Its
// name is made of theirs.
func combine(list ...Scenario) Scenario {
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
			w = s.adaptWorkload(w)
		}
		return w
	}
	return joined
}

// adaptWorkload returns the workload with the scenario's changes.
func (s Scenario) adaptWorkload(w sycload.Workload) sycload.Workload {
	if s.adapt == nil {
		return w
	}
	return s.adapt(w)
}

// Run runs a scenario in a new deployment. It returns the ledger with the results of all
// checks, and the result of the loads. A broken property is in the ledger and is no error.
func Run(ctx context.Context, s Scenario, o Options) (ledger *sycoracle.Ledger, result sycload.Result, err error) {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	o.Workload = s.adaptWorkload(o.Workload)
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
		withdrawn:  map[string]time.Time{},
	}
	r.watchKeys()
	if err := r.execute(ctx, s, o); err != nil {
		return nil, result, err
	}
	for _, load := range r.loads {
		r.result = r.result.Merge(load)
	}
	r.evidence(o).CheckAll(r.ledger)
	for _, check := range s.checks {
		check(r)
	}
	return r.ledger, r.result, nil
}

// deploy starts the deployment for a run.
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

// execute sends the run's load and runs the scenario's steps at their times. Meanwhile it
// samples the offset of the configuration stream that each VM has applied. In the end it
// checks that no VM's offset ever decreased while its process ran.
func (r *run) execute(ctx context.Context, s Scenario, o Options) error {
	sampling, stop := context.WithCancel(ctx)
	defer stop()
	var samples []sycoracle.Applied
	var watcher errgroup.Group
	watcher.Go(func() error {
		samples = r.sampleOffsets(sampling)
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
	balancer := sycdeploy.NewBalancer(r.Deployment, balancerInterval)
	defer balancer.Close()
	group.Go(func() (err error) {
		r.result, err = sycload.Run(ctx, sycload.Options{
			Workload:  o.Workload.Without(r.customersAt(s.reserved...)...),
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

// watchKeys makes engines and workers count how often they receive the secret of a
// customer's key, which routers must not forward.
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

// evidence collects what callers, engines and workers recorded during the run.
func (r *run) evidence(o Options) sycoracle.Evidence {
	evidence := sycoracle.Evidence{
		Customers: o.Workload.Customers(),
		Exchanges: slices.Concat(r.result.Exchanges(), r.probes),
		Withdrawn: r.withdrawn,
		Kills:     map[string][]time.Time{},
	}
	for _, router := range r.Routers() {
		evidence.Kills[router.URL()] = router.Kills()
	}
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
