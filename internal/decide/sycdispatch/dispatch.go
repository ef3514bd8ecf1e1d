// Package sycdispatch matches waiting requests with endpoints. It holds the
// queues, the load and the health of endpoints, and the mirrors of their caches
// of one VM.
//
// A Dispatcher is a pure state machine: it is told the time, which is
// monotonic, and every event, and its decisions depend on nothing else.
package sycdispatch

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycqueue"
	"sycamorecart.example/sycamorecart/internal/decide/sycroute"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// sweepSlots is the number of cache entries whose age is checked in a tick.
const sweepSlots = 4096

// Options configures a dispatcher.
type Options struct {
	FailureDomain string
	Seed          uint64
	// Limits bounds each queue.
	Limits sycqueue.Limits
	// Versions returns the shares of a model's versions now.
	Versions func(model string) []sycwork.VersionShare
}

// Dispatcher decides where requests run, by a policy.
type Dispatcher[P sycroute.Policy] struct {
	options   Options
	policy    P
	config    *sycconfig.State
	endpoints map[string]*endpoint
	// order lists the endpoints by name, so that decisions don't depend on map order.
	order   []*endpoint
	initial map[string]bool
	pools   map[string]*pool
	running map[uint64]*attempt
	waiting map[uint64]waiting
	peers   map[string]*peer
	// typical is the speed of all endpoints together.
	typical *sycroute.Speed
	hot     *sycroute.Hot
	outputs outputs
	drawn   map[string]float64
	// swept is the place in order of the endpoint that was swept last.
	swept int
	// field is reused between decisions.
	field   field
	matched matched
	out     []Decision
	keeps   []StoreFetch
	// urgent is set by the start of a long prefill.
	urgent bool
}

// waiting is a request in a queue.
type waiting struct {
	pool  *pool
	entry *sycqueue.Entry[*Request]
}

// New returns a dispatcher that knows no endpoints.
func New[P sycroute.Policy](o Options, policy P) *Dispatcher[P] {
	return &Dispatcher[P]{
		options:   o,
		policy:    policy,
		config:    sycconfig.NewState(),
		endpoints: map[string]*endpoint{},
		initial:   map[string]bool{},
		pools:     map[string]*pool{},
		running:   map[uint64]*attempt{},
		waiting:   map[uint64]waiting{},
		peers:     map[string]*peer{},
		typical:   sycroute.NewSpeed(),
		hot:       sycroute.NewHot(),
		drawn:     map[string]float64{},
	}
}

// Configure takes over a new configuration. Endpoints that left it or are
// leaving get no further work.
func (d *Dispatcher[P]) Configure(now time.Duration, s *sycconfig.State) {
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
			e = newEndpoint(record, d.options.Seed, d.typical.Estimate())
		}
		e.record = record
		d.endpoints[record.Name()] = e
		d.order = append(d.order, e)
	}
	clear(d.initial)
	for _, o := range s.Versions() {
		d.initial[o.Value().Name()] = o.Value().Initial()
	}
	d.dispatchAll(now)
}

// Submit adds a request. Its decision is returned by this or a later call of Take.
func (d *Dispatcher[P]) Submit(now time.Duration, r *Request) {
	if refusal := d.impossible(now, r); refusal != nil {
		d.refuse(r.ID, refusal)
		return
	}
	r.drawn = d.draw(r)
	d.matched.valid = false
	p := d.pool(r.pool())
	d.enqueue(now, p, r)
	d.dispatch(now, p)
}

// Cancel removes a request that still waits and ends one that runs.
func (d *Dispatcher[P]) Cancel(now time.Duration, id uint64) {
	if w, ok := d.waiting[id]; ok {
		w.pool.queue.Remove(w.entry)
		delete(d.waiting, id)
		return
	}
	d.Finish(now, id, sycwork.Result{Outcome: sycwork.Cancelled})
}

// FirstToken tells that an attempt's prefill is over.
func (d *Dispatcher[P]) FirstToken(now time.Duration, id uint64) {
	a := d.running[id]
	if a == nil {
		return
	}
	d.firstToken(now, a, now-a.started)
	d.dispatchAll(now)
}

// Finish ends a running attempt; unknown ids are ignored.
func (d *Dispatcher[P]) Finish(now time.Duration, id uint64, r sycwork.Result) {
	a := d.running[id]
	if a == nil {
		return
	}
	delete(d.running, id)
	a.endpoint.release(now, a)
	d.judge(now, a, r)
	switch r.Outcome {
	case sycwork.Succeeded:
		if r.FirstToken > 0 {
			d.firstToken(now, a, r.FirstToken)
		}
		d.learn(now, a, r)
	case sycwork.Failed, sycwork.Refused:
		a.pool.queue.Correct(a.request.Customer, -a.work)
	case sycwork.Cancelled:
	}
	d.dispatchAll(now)
}

// Tick refuses requests whose deadline has passed and does what is due by time.
func (d *Dispatcher[P]) Tick(now time.Duration) {
	d.forgetPeers(now)
	d.sweep(now)
	for _, e := range d.order {
		e.health.Observe(now, sychealth.Elapsed)
	}
	for _, name := range d.poolNames() {
		p := d.pools[name]
		for _, e := range p.queue.Expired(now) {
			d.drop(now, p, e)
		}
		p.queue.Forget(customersKept)
		d.dispatch(now, p)
		p.measure(now)
	}
}

// sweep removes expired entries of one endpoint after the other.
func (d *Dispatcher[P]) sweep(now time.Duration) {
	if len(d.order) == 0 {
		return
	}
	d.swept = (d.swept + 1) % len(d.order)
	d.order[d.swept].cache.Sweep(now, sweepSlots)
}

// Take returns the decisions made since the last call.
func (d *Dispatcher[P]) Take() []Decision {
	out := d.out
	d.out = nil
	return out
}

func (d *Dispatcher[P]) refuse(id uint64, r *sycwork.Refusal) {
	d.out = append(d.out, Decision{ID: id, Refusal: r})
}
