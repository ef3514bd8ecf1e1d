package sycplace

import (
	"slices"
	"time"
)

const (
	// penaltyAge is how long after newer weights were announced engines with older
	// ones get a penalty in their score.
	penaltyAge = 1300 * time.Millisecond
	// avoidFraction is the fraction of Settings.WeightsWithin after which engines with
	// older weights get no requests while others can take them.
	avoidFraction = 0.75
	// rejectFraction is the fraction of Settings.WeightsWithin after which engines with
	// older weights get no requests at all. The rest is the time until a request has begun.
	rejectFraction = 0.9
	// noEndpointRetry is the time after which a request that found no endpoint may be
	// retried.
	noEndpointRetry = 500 * time.Millisecond
)

// Select chooses an endpoint for a request and begins an attempt there.
func (s *Selector) Select(now time.Duration, r *Request) (*Target, *Refusal) {
	candidates, refusal := s.candidates(now, r)
	if refusal != nil {
		return nil, refusal
	}
	best, bestEstimate := s.choose(now, r, candidates)
	load := best.load()
	if bestEstimate.full {
		return nil, &Refusal{Reason: Full, After: s.returnAfter(r, bestEstimate.after), Endpoints: len(candidates)}
	}
	target := &Target{
		Endpoint:     best.record,
		Weights:      best.record.Weights[r.Model],
		CachedTokens: best.cachedTokens,
		SharedTokens: sharedTokens(r.Blocks),
		Generation:   s.Generation(),
		Load:         load,
		Expected:     bestEstimate.expected,
	}
	if list := s.announced[r.Model]; len(list) > 0 {
		newest := list[len(list)-1]
		target.Announced, target.AnnouncedAge = newest.version, now-newest.at
	}
	if bestEstimate.source != nil {
		target.FetchFrom, target.FetchTokens = bestEstimate.source.record.Address, bestEstimate.fetchTokens
	}
	a := &attempt{
		endpoint:       best,
		request:        r,
		started:        now,
		uncachedTokens: max(r.Tokens-best.cachedTokens-bestEstimate.fetchTokens, 0),
		expected:       bestEstimate.expected,
		transfer:       bestEstimate.transfer,
		load:           load,
	}
	if !s.takeLimit(now, a) {
		return nil, s.limitedRefusal(now, r, 0)
	}
	if a.throttle != nil {
		target.Limit, target.LimitLeft = a.throttle.Rate(), a.throttle.Level()
	}
	best.sentRequests++
	best.begin(a)
	s.attempts[r.ID] = a
	if len(r.Blocks) > 0 {
		best.cache.addSent(now, r.Blocks)
		s.sentPrompts = append(s.sentPrompts, SentPrompt{Endpoint: best.record.ID, Blocks: r.Blocks})
	}
	return target, nil
}

// cheapest returns the candidate with the lowest score of those that aren't full for the request, and its estimate. If all are full,
// it returns the one that will first not be.
func (s *Selector) cheapest(now time.Duration, r *Request, candidates []*endpoint) (*endpoint, estimate) {
	s.matchPrompt(r)
	from := newSources(r, s.order, s.evacuated)
	var best *endpoint
	var bestEstimate estimate
	for _, e := range candidates {
		est := s.assess(now, r, e, from)
		if best == nil || est.isBetter(bestEstimate) {
			best, bestEstimate = e, est
		}
	}
	return best, bestEstimate
}

// assess returns the estimate of a request at a candidate, with its score by the policy and whether it is full.
func (s *Selector) assess(now time.Duration, r *Request, e *endpoint, from sources) estimate {
	est := s.estimate(now, r, e, from.find(r, e))
	est.score = s.policyScore(r, e, est)
	est.after, est.full = s.full(r, e, est)
	return est
}

// matchPrompt sets cachedTokens of each engine of the service for the request's prompt.
func (s *Selector) matchPrompt(r *Request) {
	for _, e := range s.order {
		if e.record.Service == r.Service {
			e.cachedTokens = e.cache.prefixTokens(r.Blocks)
		}
	}
}

// candidates returns the endpoints that may get the request. It leaves out endpoints
// with outdated weights, under a cordon or at capacity, unless no others remain.
func (s *Selector) candidates(now time.Duration, r *Request) ([]*endpoint, *Refusal) {
	all := make([]*endpoint, 0, len(s.order))
	for _, e := range s.order {
		if !e.serves(r) || slices.Contains(r.Exclude, e.record.ID) || !s.admits(now, e) {
			continue
		}
		all = append(all, e)
	}
	all = s.split.filter(r, all)
	if len(all) == 0 {
		return nil, s.noCandidate(now, r)
	}
	all = s.withoutExpired(now, r.Model, all)
	if len(all) == 0 {
		return nil, &Refusal{Reason: Outdated, After: noEndpointRetry}
	}
	all = s.preferNewer(now, r.Model, all)
	all = prefer(all, func(e *endpoint) bool { return now >= s.cordons[e.record.ID] })
	all = prefer(all, func(e *endpoint) bool { return now >= max(e.avoidUntil, e.faultUntil) })
	return all, nil
}

// prefer returns the endpoints that satisfy the condition, or all if none does. It reuses
// the memory of the list.
func prefer(all []*endpoint, condition func(*endpoint) bool) []*endpoint {
	out := all[:0]
	for _, e := range all {
		if condition(e) {
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		return all
	}
	return out
}

// withoutExpired leaves out engines on whose weights no request may begin any more.
func (s *Selector) withoutExpired(now time.Duration, model string, all []*endpoint) []*endpoint {
	if s.settings.WeightsWithin == 0 || len(s.announced[model]) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(e *endpoint) bool { return s.isExpired(now, model, e) })
}

// isExpired reports whether no request for a model may begin at an engine any more, since its weights were replaced too
// long ago.
func (s *Selector) isExpired(now time.Duration, model string, e *endpoint) bool {
	if s.settings.WeightsWithin == 0 {
		return false
	}
	rejectAge := time.Duration(rejectFraction * float64(s.settings.WeightsWithin))
	replaced := s.replaced(model, e)
	return replaced != nil && now-replaced.learnedAt >= rejectAge
}

// replaced returns the first announcement of newer weights than the engine's, nil if there is
// none.
func (s *Selector) replaced(model string, e *endpoint) *announcement {
	for i, a := range s.announced[model] {
		if a.version > e.record.Weights[model] {
			return &s.announced[model][i]
		}
	}
	return nil
}

// preferNewer leaves out engines whose weights were superseded too long ago. If all
// were, it returns the engines with the newest weights among them. A VM that has just
// started needs this, since it has not seen when the versions were announced.
func (s *Selector) preferNewer(now time.Duration, model string, all []*endpoint) []*endpoint {
	if s.settings.WeightsWithin == 0 {
		return all
	}
	avoidAge := time.Duration(avoidFraction * float64(s.settings.WeightsWithin))
	newest := int64(0)
	for _, e := range all {
		newest = max(newest, e.record.Weights[model])
	}
	return prefer(all, func(e *endpoint) bool {
		return !s.outdated(now, model, e, avoidAge) || e.record.Weights[model] == newest
	})
}

// outdated reports whether newer weights than the engine's were announced at least
// the given time ago.
func (s *Selector) outdated(now time.Duration, model string, e *endpoint, age time.Duration) bool {
	replaced := s.replaced(model, e)
	return replaced != nil && now-replaced.at >= age
}
