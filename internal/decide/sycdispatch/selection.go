package sycdispatch

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycqueue"
	"sycamorecart.example/sycamorecart/internal/decide/sycroute"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

const (
	// NoEndpointRetry is the longest time after which the caller may retry a request
	// that no endpoint could serve.
	NoEndpointRetry = 2 * time.Second
	// maxOutageWait is the remaining time out of service up to which requests wait
	// for an endpoint.
	maxOutageWait = time.Second
	// maxVerifications limits how often a selection is repeated because the selected
	// endpoint turned out to have fewer blocks cached than assumed.
	maxVerifications = 3
)

// checkServable returns a refusal if no endpoint can serve the request now or within
// maxOutageWait, and nil otherwise.
func (d *Dispatcher[P]) checkServable(now time.Duration, r *Request) *sycwork.Refusal {
	if r.Model != "" && len(r.Options) == 0 {
		return &sycwork.Refusal{
			Reason:  sycwork.UnknownName,
			Message: "no version serves the model",
		}
	}
	retry := NoEndpointRetry
	for _, o := range r.candidateOptions() {
		for _, e := range d.byName {
			if !d.canServe(e, r, o) {
				continue
			}
			out := e.health.OutUntil() - now
			if e.health.State() != sychealth.Out || out < maxOutageWait {
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

// candidateOptions returns the request's options. A request to a plain service has a
// single empty option.
func (r *Request) candidateOptions() []Option {
	if r.Model == "" {
		return []Option{{}}
	}
	return r.Options
}

// dispatchAll calls dispatch for all pools, sorted by name.
func (d *Dispatcher[P]) dispatchAll(now time.Duration) {
	for _, name := range d.poolNames() {
		d.dispatch(now, d.pools[name])
	}
}

// dispatch starts waiting requests of a pool in fair order until no further one can
// start.
func (d *Dispatcher[P]) dispatch(now time.Duration, p *pool) {
	if p.queue.Len() == 0 {
		p.backlogged = false
		return
	}
	fraction := d.fairFraction(p)
	defer func() { d.promptMatches.valid = false }()
	for p.queue.Next(func(e *sycqueue.Entry[*Request]) bool { return d.startQueued(now, p, e, fraction) }) {
		if len(d.peers) > 0 {
			fraction = d.fairFraction(p)
		}
	}
}

// startQueued starts a waiting request if the policy selects an endpoint for one of
// its options. It reports whether the request leaves the queue, which is also true
// for a stale one.
func (d *Dispatcher[P]) startQueued(now time.Duration, p *pool, entry *sycqueue.Entry[*Request], fraction float64) bool {
	r := entry.Value()
	options := r.candidateOptions()
	if r.Model != "" {
		options = d.allowedOptions(r)
	}
	if len(options) == 0 {
		delete(d.queued, r.ID)
		p.queue.Correct(r.Customer, -entry.Work())
		d.decisions = append(d.decisions, Decision{ID: r.ID, Stale: true})
		return true
	}
	for _, o := range options {
		d.collectCandidates(now, r, o, fraction)
		if len(d.candidateSet.candidates) == 0 {
			continue
		}
		choice := d.selectEndpoint(now, r, o)
		if choice.Index >= 0 {
			delete(d.queued, r.ID)
			d.startAttempt(now, p, entry, o, choice)
			return true
		}
	}
	return false
}

// selectEndpoint asks the policy for an endpoint and verifies that the endpoint has
// the blocks cached that the choice relies on.
func (d *Dispatcher[P]) selectEndpoint(now time.Duration, r *Request, o Option) sycroute.Choice {
	set := &d.candidateSet
	query := d.query(now, r, o)
	for range maxVerifications {
		choice := d.policy.Pick(query, set.candidates)
		if choice.Index < 0 {
			return choice
		}
		e := set.endpoints[choice.Index]
		m := e.cache.Verify(now, o.Chain, set.matches[choice.Index])
		if m == set.matches[choice.Index] {
			return choice
		}
		set.matches[choice.Index] = m
		set.candidates[choice.Index].CachedBlocks = expectedBlocks(m, e.predictionHitRate)
	}
	return d.policy.Pick(query, set.candidates)
}

// query describes the request to the policy, with the number of replicas that its
// prompt's prefix should have.
func (d *Dispatcher[P]) query(now time.Duration, r *Request, o Option) sycroute.Query {
	concurrency, duration := 0, time.Duration(0)
	for i := range d.candidateSet.matches {
		concurrency += d.candidateSet.endpoints[i].concurrency()
		duration += d.candidateSet.endpoints[i].requestDuration
	}
	n := len(d.candidateSet.matches)
	q := sycroute.Query{
		ID:       r.ID,
		Seed:     d.options.Seed,
		Tokens:   r.PromptTokens,
		Blocks:   len(o.Chain),
		Group:    d.hotPrefixes.Group(o.Chain, d.candidateSet.sharedBlocks),
		Replicas: 1,
	}
	if q.Group != 0 {
		q.Replicas = sycroute.Replicas(d.hotPrefixes.Rate(now, q.Group), duration/time.Duration(n), concurrency/n)
	}
	return q
}

// startAttempt starts an attempt of the request at the chosen candidate and adds the
// decision.
func (d *Dispatcher[P]) startAttempt(now time.Duration, p *pool, entry *sycqueue.Entry[*Request], o Option, choice sycroute.Choice) {
	set := &d.candidateSet
	r := entry.Value()
	e := set.endpoints[choice.Index]
	candidate := set.candidates[choice.Index]
	a := &attempt{
		request:             r,
		pool:                p,
		endpoint:            e,
		option:              o,
		started:             now,
		chargedWork:         entry.Work(),
		cachedBlocks:        set.matches[choice.Index].Depth,
		sharedBlocks:        set.sharedBlocks,
		predictedFirstToken: choice.FirstToken,
	}
	target := d.target(now, e, r, o)
	if choice.Import {
		blocks := set.importBlocks(choice.Index, o.Chain)
		a.importedBlocks = len(blocks)
		target.Import = &sycwork.Import{
			From:        set.source.record.Address(),
			Incarnation: set.source.cache.Incarnation(),
			Blocks:      blocks,
		}
	}
	a.ownPrefillTokens = max(r.PromptTokens-tokens(a.cachedBlocks+a.importedBlocks), 1)
	a.prefillTokens = candidate.PrefillTokens - float64(r.PromptTokens-a.ownPrefillTokens)
	e.attempts = append(e.attempts, a)
	e.recordLoad(now)
	d.running[r.ID] = a
	d.digestUrgent = d.digestUrgent || a.ownPrefillTokens >= tokens(urgentPrefillBlocks)
	d.hotPrefixes.Record(now, o.Chain)
	d.decisions = append(d.decisions, Decision{
		ID:             r.ID,
		Target:         target,
		Waited:         now - entry.Arrived(),
		CachedTokens:   tokens(a.cachedBlocks),
		ImportedTokens: tokens(a.importedBlocks),
	})
}

// target returns the description of the endpoint for the caller that sends the
// request.
func (d *Dispatcher[P]) target(now time.Duration, e *endpoint, r *Request, o Option) *sycwork.Target {
	priority := 0
	if c, ok := d.config.Customer(r.Customer); ok {
		priority = c.Value().Priority()
	}
	l := e.totalLoad(now)
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
		Backlog:       l.prefillTokens,
	}
}
