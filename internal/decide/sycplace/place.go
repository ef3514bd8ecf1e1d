package sycplace

import (
	"slices"
	"time"
)

const (
	// oldAfter is the age of newer weights from which on engines with older ones
	// are at a disadvantage, and neverPart the part of Settings.WeightsWithin after
	// which they get no requests while others can.
	oldAfter  = 1300 * time.Millisecond
	neverPart = 0.75
	// noneRetry is the time after which a request that found no endpoint may come again.
	noneRetry = 500 * time.Millisecond
)

// Select chooses an endpoint and begins an attempt there.
func (p *Selector) Select(now time.Duration, r *Request) (*Target, *Refusal) {
	candidates, refusal := p.candidates(now, r)
	if refusal != nil {
		return nil, refusal
	}
	p.match(r)
	var best *endpoint
	var bestOffer offer
	for _, e := range candidates {
		o := p.offer(now, r, e)
		o.score = p.rate(now, r, e, o)
		if best == nil || o.score < bestOffer.score {
			best, bestOffer = e, o
		}
	}
	load := best.load(now)
	if after, full := p.full(r, best, load, bestOffer.expected); full {
		return nil, &Refusal{Reason: Full, After: after, Endpoints: len(candidates)}
	}
	target := &Target{
		Endpoint:     best.record,
		Weights:      best.record.Weights[r.Model],
		CachedTokens: best.held,
		SharedTokens: sharedTokens(r.Blocks),
		Load:         load,
		Expected:     bestOffer.expected,
	}
	if bestOffer.source != nil {
		target.FetchFrom, target.FetchTokens = bestOffer.source.record.Address, bestOffer.fetched
	}
	a := &attempt{
		endpoint: best,
		request:  r,
		started:  now,
		missing:  max(r.Tokens-best.held-bestOffer.fetched, 0),
		expected: bestOffer.expected,
		load:     load,
	}
	best.sent++
	best.attempts[r.ID] = a
	p.attempts[r.ID] = a
	if len(r.Blocks) > 0 {
		best.cache.add(now, r.Blocks)
		p.sent = append(p.sent, SentPrompt{Endpoint: best.record.ID, Blocks: r.Blocks})
	}
	return target, nil
}

// match notes how much of the prompt each engine of the service keeps.
func (p *Selector) match(r *Request) {
	if len(r.Blocks) == 0 {
		return
	}
	for _, e := range p.order {
		if e.record.Service == r.Service {
			e.held = e.cache.held(r.Blocks)
		}
	}
}

// candidates lists the endpoints that may get the request, the better ones only
// if there are any.
func (p *Selector) candidates(now time.Duration, r *Request) ([]*endpoint, *Refusal) {
	var all []*endpoint
	for _, e := range p.order {
		if e.record.Service != r.Service || slices.Contains(r.Exclude, e.record.ID) || !e.usable(now) {
			continue
		}
		if r.Model != "" && len(e.record.Weights) > 0 {
			if _, loaded := e.record.Weights[r.Model]; !loaded {
				continue
			}
		}
		all = append(all, e)
	}
	all = p.split.filter(r, all)
	if len(all) == 0 {
		return nil, &Refusal{Reason: NoEndpoint, After: noneRetry}
	}
	all = p.preferNewer(now, r.Model, all)
	all = prefer(all, func(e *endpoint) bool { return now >= p.held[e.record.ID] })
	all = prefer(all, func(e *endpoint) bool { return now >= e.fullUntil })
	return all, nil
}

// prefer returns the endpoints that fit, or all if none does.
func prefer(all []*endpoint, fits func(*endpoint) bool) []*endpoint {
	var out []*endpoint
	for _, e := range all {
		if fits(e) {
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		return all
	}
	return out
}

// preferNewer leaves out engines whose weights were replaced too long ago. Where
// that is all of them, as for a VM that has not seen the names come, it leaves
// those with the newest weights.
func (p *Selector) preferNewer(now time.Duration, model string, all []*endpoint) []*endpoint {
	if p.settings.WeightsWithin == 0 {
		return all
	}
	never := time.Duration(neverPart * float64(p.settings.WeightsWithin))
	newest := int64(0)
	for _, e := range all {
		newest = max(newest, e.record.Weights[model])
	}
	return prefer(all, func(e *endpoint) bool {
		return !p.outdated(now, model, e, never) || e.record.Weights[model] == newest
	})
}

// outdated reports whether an engine has older weights than some that were named
// that long ago.
func (p *Selector) outdated(now time.Duration, model string, e *endpoint, age time.Duration) bool {
	for _, n := range p.named[model] {
		if n.version > e.record.Weights[model] {
			return now-n.at >= age
		}
	}
	return false
}
