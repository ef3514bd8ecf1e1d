// Package sycdispatch matches waiting requests with endpoints. It holds the
// queues, the load and the health of endpoints, and the index of cached
// prefixes of one VM.
//
// A Dispatcher is a pure state machine: it is told the time, which is
// monotonic, and every event, and its decisions depend on nothing else.
package sycdispatch

import (
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// Options configures a dispatcher.
type Options struct {
	FailureDomain string
	Seed          uint64
	// Versions returns the shares of a model's versions now.
	Versions func(model string) []sycwork.VersionShare
}

// Dispatcher decides where requests run.
type Dispatcher struct {
	options   Options
	config    *sycconfig.State
	endpoints map[string]*endpoint
	// order lists the endpoints by name, so that decisions don't depend on map order.
	order   []*endpoint
	pools   map[string]*pool
	running map[uint64]*attempt
	out     []Decision
}

// attempt is a request that was given an endpoint.
type attempt struct {
	request  *Request
	endpoint *endpoint
	target   sycwork.Target
	started  time.Duration
	// prefilled is set once the first token has arrived.
	prefilled bool
}

// pool holds the requests that wait for the same set of endpoints.
type pool struct {
	waiting []waiting
}

type waiting struct {
	request *Request
	arrived time.Duration
}

// New returns a dispatcher that knows no endpoints.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		options:   o,
		endpoints: map[string]*endpoint{},
		pools:     map[string]*pool{},
		running:   map[uint64]*attempt{},
	}
}

// Configure takes over a new configuration. Endpoints that left it or are
// leaving get no further work.
func (d *Dispatcher) Configure(now time.Duration, s *sycconfig.State) {
	if s == nil || s == d.config {
		return
	}
	d.config = s
	known := d.endpoints
	d.endpoints = make(map[string]*endpoint, len(known))
	d.order = d.order[:0]
	for _, o := range s.Endpoints() {
		record := o.Value()
		e := known[record.Name()]
		if e == nil || e.record.Address() != record.Address() {
			e = &endpoint{}
		}
		e.record = record
		d.endpoints[record.Name()] = e
		d.order = append(d.order, e)
	}
	d.dispatchAll(now)
}

// Submit adds a request. Its decision is returned by this or a later call of Take.
func (d *Dispatcher) Submit(now time.Duration, r *Request) {
	if refusal := d.impossible(r); refusal != nil {
		d.refuse(r.ID, refusal)
		return
	}
	p := d.pool(r.pool())
	p.waiting = append(p.waiting, waiting{request: r, arrived: now})
	d.dispatch(now, p)
}

// Cancel removes a request that still waits and ends one that runs.
func (d *Dispatcher) Cancel(now time.Duration, id uint64) {
	if _, ok := d.running[id]; ok {
		d.Finish(now, id, sycwork.Result{Outcome: sycwork.Cancelled})
		return
	}
	for _, p := range d.pools {
		p.waiting = slices.DeleteFunc(p.waiting, func(w waiting) bool { return w.request.ID == id })
	}
}

// Finish ends a running attempt; unknown ids are ignored.
func (d *Dispatcher) Finish(now time.Duration, id uint64, _ sycwork.Result) {
	a := d.running[id]
	if a == nil {
		return
	}
	delete(d.running, id)
	a.endpoint.inFlight--
	d.dispatchAll(now)
}

// Report takes a load report that describes the endpoint as it was at the given time.
func (d *Dispatcher) Report(now, at time.Duration, name string, r Report) {
	e := d.endpoints[name]
	if e == nil {
		return
	}
	e.reported = true
	e.report = r
	e.reportedAt = at
	d.dispatchAll(now)
}

// Tick refuses requests whose deadline has passed.
func (d *Dispatcher) Tick(now time.Duration) {
	for _, name := range d.poolNames() {
		p := d.pools[name]
		p.waiting = slices.DeleteFunc(p.waiting, func(w waiting) bool {
			if now < w.request.Deadline {
				return false
			}
			d.refuse(w.request.ID, overloaded(time.Second))
			return true
		})
	}
}

// Take returns the decisions made since the last call.
func (d *Dispatcher) Take() []Decision {
	out := d.out
	d.out = nil
	return out
}

func (d *Dispatcher) refuse(id uint64, r *sycwork.Refusal) {
	d.out = append(d.out, Decision{ID: id, Refusal: r})
}

func (d *Dispatcher) pool(name string) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{}
		d.pools[name] = p
	}
	return p
}

func overloaded(after time.Duration) *sycwork.Refusal {
	return &sycwork.Refusal{
		Reason:     sycwork.Overloaded,
		Message:    "all endpoints are busy; the request was not run",
		RetryAfter: after,
	}
}

// FirstToken tells that an attempt's prefill is over.
func (d *Dispatcher) FirstToken(_ time.Duration, id uint64) {
	if a := d.running[id]; a != nil {
		a.prefilled = true
	}
}
