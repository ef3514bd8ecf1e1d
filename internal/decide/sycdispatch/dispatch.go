// Package sycdispatch assigns waiting requests to endpoints. It holds the state of
// one VM for this: the request queues, the load and health of the endpoints, and the
// blocks that each endpoint is believed to have cached.
//
// A Dispatcher is a pure state machine. The caller passes in every event with the
// current time, which is monotonic, and the decisions depend on nothing else. Its
// methods must not be called concurrently. The VM's event loop calls them.
//
// A pool is the set of requests that compete for the same endpoints. An attempt is
// one try of a request at one endpoint. A chain is the list of hashes of a prompt's
// blocks, see package sycblock. Work is the cost of a request in prompt tokens. VMs
// of a failure domain, a set of VMs and endpoints that can fail together, exchange
// digests of their load.
//
// An engine is an endpoint that runs models. A plain service is a service whose
// endpoints run no models. A version of a model is a set of weights, with or
// without an adapter, that gets a share of the model's requests. A cache salt keeps
// cached blocks apart by customer and version, see sycblock.Salt. Prefill is the
// computation of a prompt's uncached tokens before the first token of the answer. A
// KV store is an endpoint that keeps copies of blocks that engines have cached.
package sycdispatch

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycqueue"
	"sycamorecart.example/sycamorecart/internal/decide/sycroute"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// sweepEntries is the number of entries of one endpoint's cached blocks that a tick
// checks for expiry.
const sweepEntries = 4096

// Options configures a Dispatcher.
type Options struct {
	// FailureDomain is the failure domain of this VM.
	FailureDomain string
	// Seed differs between VMs and varies their decisions, so that they don't all
	// select the same endpoint or version at once.
	Seed uint64
	// Limits bounds the number of waiting requests in the queue of each pool.
	Limits sycqueue.Limits
	// Versions returns the current traffic shares of a model's versions.
	Versions func(model string) []sycwork.VersionShare
}

// Dispatcher queues requests and assigns each to an endpoint that its policy P
// selects.
type Dispatcher[P sycroute.Policy] struct {
	// options are the options passed to New.
	options Options
	// policy selects an endpoint among the candidates for a request.
	policy P
	// config is the last configuration passed to Configure.
	config *sycconfig.State
	// endpoints holds the configured endpoints by name.
	endpoints map[string]*endpoint
	// byName lists the endpoints sorted by name, so that decisions don't depend on
	// map order.
	byName []*endpoint
	// initialVersions holds, by version name, whether the version serves from the
	// start, without a rollout.
	initialVersions map[string]bool
	// pools holds the pools by name.
	pools map[string]*pool
	// running holds this VM's attempts that have not ended, by request ID.
	running map[uint64]*attempt
	// queued holds the waiting requests by request ID.
	queued map[uint64]queuedRequest
	// peers holds the last digest of each other VM, by the name of its process.
	peers map[string]*peer
	// overallSpeed is the prefill speed of an endpoint, estimated from the attempts
	// at all endpoints together.
	overallSpeed *sycroute.Speed
	// hotPrefixes counts how often prompt prefixes are used. From it follow a
	// prompt's group and the number of endpoints that the group needs.
	hotPrefixes *sycroute.PrefixCounter
	// outputLengths holds the average output length of each customer.
	outputLengths outputLengths
	// versionCredits holds the credit of each version by name, see drawByCredit.
	versionCredits map[string]float64
	// sweepIndex is the index in byName of the endpoint that was swept last.
	sweepIndex int
	// candidateSet holds the candidates of the decision in progress. It is reused to
	// avoid allocations.
	candidateSet candidateSet
	// promptMatches holds the prompt matches of the decision in progress. It is
	// reused to avoid allocations.
	promptMatches promptMatches
	// decisions collects the decisions for Take.
	decisions []Decision
	// storeFetches collects the fetches for TakeStoreFetches.
	storeFetches []StoreFetch
	// digestUrgent is true if a long prefill has started since the last call of
	// Urgent.
	digestUrgent bool
}

// queuedRequest is a waiting request's entry in the queue of its pool.
type queuedRequest struct {
	// pool is the pool in whose queue the request waits.
	pool *pool
	// entry is the request's entry in that queue.
	entry *sycqueue.Entry[*Request]
}

// New returns a Dispatcher without endpoints. Configure adds them.
func New[P sycroute.Policy](o Options, policy P) *Dispatcher[P] {
	return &Dispatcher[P]{
		options:         o,
		policy:          policy,
		config:          sycconfig.NewState(),
		endpoints:       map[string]*endpoint{},
		initialVersions: map[string]bool{},
		pools:           map[string]*pool{},
		running:         map[uint64]*attempt{},
		queued:          map[uint64]queuedRequest{},
		peers:           map[string]*peer{},
		overallSpeed:    sycroute.NewSpeed(),
		hotPrefixes:     sycroute.NewPrefixCounter(),
		versionCredits:  map[string]float64{},
	}
}

// Configure applies a new configuration. Endpoints that are no longer in it, or that
// are marked as leaving, get no further requests. A nil or unchanged configuration
// is ignored.
func (d *Dispatcher[P]) Configure(now time.Duration, s *sycconfig.State) {
	if s == nil || s == d.config {
		return
	}
	d.config = s
	known := d.endpoints
	d.endpoints = make(map[string]*endpoint, len(known))
	d.byName = d.byName[:0]
	for _, o := range s.Endpoints() {
		record := o.Value()
		e := known[record.Name()]
		if e == nil || e.record.Address() != record.Address() {
			e = newEndpoint(record, d.options.Seed, d.overallSpeed.Estimate())
		}
		e.record = record
		d.endpoints[record.Name()] = e
		d.byName = append(d.byName, e)
	}
	clear(d.initialVersions)
	for _, o := range s.Versions() {
		d.initialVersions[o.Value().Name()] = o.Value().Initial()
	}
	d.dispatchAll(now)
}

// Submit adds a request. This or a later call of Take returns its decision.
func (d *Dispatcher[P]) Submit(now time.Duration, r *Request) {
	if refusal := d.checkServable(now, r); refusal != nil {
		d.refuse(r.ID, refusal)
		return
	}
	r.drawnVersion = d.drawVersion(r)
	d.promptMatches.valid = false
	p := d.pool(r.poolName())
	d.enqueue(now, p, r)
	d.dispatch(now, p)
}

// Cancel removes a waiting request from its queue, or ends the attempt of a running
// one as cancelled.
func (d *Dispatcher[P]) Cancel(now time.Duration, id uint64) {
	if w, ok := d.queued[id]; ok {
		w.pool.queue.Remove(w.entry)
		delete(d.queued, id)
		return
	}
	d.Finish(now, id, sycwork.Result{Outcome: sycwork.Cancelled})
}

// FirstToken records that an attempt's first token has arrived now, so its prefill
// is over. Unknown IDs are ignored.
func (d *Dispatcher[P]) FirstToken(now time.Duration, id uint64) {
	a := d.running[id]
	if a == nil {
		return
	}
	d.observeFirstToken(now, a, now-a.started)
	d.dispatchAll(now)
}

// Finish ends a request's running attempt with its result. Unknown IDs are ignored.
func (d *Dispatcher[P]) Finish(now time.Duration, id uint64, r sycwork.Result) {
	a := d.running[id]
	if a == nil {
		return
	}
	delete(d.running, id)
	a.endpoint.release(now, a)
	d.updateHealth(now, a, r)
	switch r.Outcome {
	case sycwork.Succeeded:
		if r.FirstToken > 0 {
			d.observeFirstToken(now, a, r.FirstToken)
		}
		d.observeResult(now, a, r)
	case sycwork.Failed, sycwork.Refused:
		a.pool.queue.Correct(a.request.Customer, -a.chargedWork)
	case sycwork.Cancelled:
	}
	d.dispatchAll(now)
}

// Tick does the work that is due by time: it refuses requests whose deadline has
// passed, expires digests and cached blocks, and updates health and rates. The
// caller calls it regularly.
func (d *Dispatcher[P]) Tick(now time.Duration) {
	d.expireDigests(now)
	d.sweep(now)
	for _, e := range d.byName {
		e.health.Observe(now, sychealth.Elapsed)
	}
	for _, name := range d.poolNames() {
		p := d.pools[name]
		for _, e := range p.queue.Expired(now) {
			d.refuseQueued(now, p, e)
		}
		p.queue.Forget(maxCustomers)
		d.dispatch(now, p)
		p.measure(now)
	}
}

// sweep removes expired cached blocks of one endpoint. Successive calls go through
// all endpoints in turn.
func (d *Dispatcher[P]) sweep(now time.Duration) {
	if len(d.byName) == 0 {
		return
	}
	d.sweepIndex = (d.sweepIndex + 1) % len(d.byName)
	d.byName[d.sweepIndex].cache.Sweep(now, sweepEntries)
}

// Take returns the decisions made since the last call and clears the list.
func (d *Dispatcher[P]) Take() []Decision {
	out := d.decisions
	d.decisions = nil
	return out
}

// refuse adds a decision that refuses a request.
func (d *Dispatcher[P]) refuse(id uint64, r *sycwork.Refusal) {
	d.decisions = append(d.decisions, Decision{ID: id, Refusal: r})
}
