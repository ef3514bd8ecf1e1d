package sycdispatch

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycqueue"
	"sycamorecart.example/sycamorecart/internal/decide/sycroute"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

const (
	// NoEndpointRetry is the time after which a request that found no endpoint
	// may be tried again.
	NoEndpointRetry = 2 * time.Second
	// longOut is the time out from which on requests don't wait for an endpoint.
	longOut = time.Second
	// verifyTries is the number of times that a choice is corrected after its
	// match turned out to be shorter.
	verifyTries = 3
)

// impossible returns the refusal of a request that no endpoint can run soon.
func (d *Dispatcher[P]) impossible(now time.Duration, r *Request) *sycwork.Refusal {
	if r.Model != "" && len(r.Options) == 0 {
		return &sycwork.Refusal{
			Reason:  sycwork.UnknownName,
			Message: "no version serves the model",
		}
	}
	retry := NoEndpointRetry
	for _, o := range r.choices() {
		for _, e := range d.order {
			if !d.fits(e, r, o) {
				continue
			}
			out := e.health.Until() - now
			if e.health.State() != sychealth.Out || out < longOut {
				return nil
			}
			retry = min(retry, out)
		}
	}
	return &sycwork.Refusal{
		Reason:     sycwork.NoEndpoint,
		Message:    "no endpoint is available; the request was not run",
		RetryAfter: retry,
	}
}

// choices returns the request's options; a request for a plain service has one
// without a version.
func (r *Request) choices() []Option {
	if r.Model == "" {
		return []Option{{}}
	}
	return r.Options
}

func (d *Dispatcher[P]) dispatchAll(now time.Duration) {
	for _, name := range d.poolNames() {
		d.dispatch(now, d.pools[name])
	}
}

// dispatch starts waiting requests in fair order until none can be placed.
func (d *Dispatcher[P]) dispatch(now time.Duration, p *pool) {
	if p.queue.Len() == 0 {
		p.waited = false
		return
	}
	part := d.entitlement(p)
	defer func() { d.matched.valid = false }()
	for p.queue.Next(func(e *sycqueue.Entry[*Request]) bool { return d.place(now, p, e, part) }) {
		if len(d.peers) > 0 {
			part = d.entitlement(p)
		}
	}
}

// place gives a request an endpoint, if the policy finds one that has room.
func (d *Dispatcher[P]) place(now time.Duration, p *pool, entry *sycqueue.Entry[*Request], part float64) bool {
	r := entry.Value()
	options := r.choices()
	if r.Model != "" {
		options = d.optionsFor(r)
	}
	if len(options) == 0 {
		delete(d.waiting, r.ID)
		p.queue.Correct(r.Customer, -entry.Work())
		d.out = append(d.out, Decision{ID: r.ID, Stale: true})
		return true
	}
	for _, o := range options {
		d.gather(now, r, o, part)
		if len(d.field.candidates) == 0 {
			continue
		}
		choice := d.pick(now, r, o)
		if choice.Index >= 0 {
			delete(d.waiting, r.ID)
			d.start(now, p, entry, o, choice)
			return true
		}
	}
	return false
}

// pick asks the policy and verifies what it relies on.
func (d *Dispatcher[P]) pick(now time.Duration, r *Request, o Option) sycroute.Choice {
	f := &d.field
	query := d.query(now, r, o)
	for range verifyTries {
		choice := d.policy.Pick(query, f.candidates)
		if choice.Index < 0 {
			return choice
		}
		e := f.endpoints[choice.Index]
		m := e.cache.Verify(now, o.Chain, f.matches[choice.Index])
		if m == f.matches[choice.Index] {
			return choice
		}
		f.matches[choice.Index] = m
		f.candidates[choice.Index].Held = expected(m, e.trust)
	}
	return d.policy.Pick(query, f.candidates)
}

func (d *Dispatcher[P]) query(now time.Duration, r *Request, o Option) sycroute.Query {
	slots, stay := 0, time.Duration(0)
	for i := range d.field.matches {
		slots += d.field.endpoints[i].slots()
		stay += d.field.endpoints[i].stay
	}
	n := len(d.field.matches)
	q := sycroute.Query{
		ID:       r.ID,
		Seed:     d.options.Seed,
		Tokens:   r.PromptTokens,
		Blocks:   len(o.Chain),
		Group:    d.hot.Group(o.Chain, d.field.shared),
		Replicas: 1,
	}
	if q.Group != 0 {
		q.Replicas = sycroute.Replicas(d.hot.Rate(now, q.Group), stay/time.Duration(n), slots/n)
	}
	return q
}

// start begins an attempt at the chosen candidate.
func (d *Dispatcher[P]) start(now time.Duration, p *pool, entry *sycqueue.Entry[*Request], o Option, choice sycroute.Choice) {
	f := &d.field
	r := entry.Value()
	e := f.endpoints[choice.Index]
	candidate := f.candidates[choice.Index]
	a := &attempt{
		request:   r,
		pool:      p,
		endpoint:  e,
		option:    o,
		started:   now,
		work:      entry.Work(),
		held:      f.matches[choice.Index].Depth,
		shared:    f.shared,
		predicted: choice.FirstToken,
	}
	target := d.target(now, e, r, o)
	if choice.Import {
		blocks := f.imported(choice.Index, o.Chain)
		a.imported = len(blocks)
		target.Import = &sycwork.Import{
			From:        f.source.record.Address(),
			Incarnation: f.source.cache.Incarnation(),
			Blocks:      blocks,
		}
	}
	a.missing = max(r.PromptTokens-tokens(a.held+a.imported), 1)
	a.computed = candidate.Prefill - float64(r.PromptTokens-a.missing)
	e.attempts = append(e.attempts, a)
	e.note(now)
	d.running[r.ID] = a
	d.urgent = d.urgent || a.missing >= tokens(urgentBlocks)
	d.hot.Count(now, o.Chain)
	d.out = append(d.out, Decision{
		ID:             r.ID,
		Target:         target,
		Waited:         now - entry.Arrived(),
		CachedTokens:   tokens(a.held),
		ImportedTokens: tokens(a.imported),
	})
}

func (d *Dispatcher[P]) target(now time.Duration, e *endpoint, r *Request, o Option) *sycwork.Target {
	priority := 0
	if c, ok := d.config.Customer(r.Customer); ok {
		priority = c.Value().Priority()
	}
	l := e.load(now)
	return &sycwork.Target{
		Endpoint:      e.record.Name(),
		Address:       e.record.Address(),
		FailureDomain: e.record.FailureDomain(),
		Weights:       o.Version.Weights,
		Adapter:       o.Version.Adapter,
		Version:       o.Version.Version,
		Salt:          o.Salt,
		Priority:      priority,
		Requests:      l.requests,
		Backlog:       l.prefill,
	}
}
