// Package sycreload plans how engines load the newest weights of their models while
// the other engines keep serving.
//
// An engine is first cordoned: it gets no new requests, so that its running requests
// end. Then it's ordered to load the weights. Few engines load at the same time, since
// concurrent loads slow each other down. A few more are cordoned meanwhile, so that
// they have no requests left when it's their turn. The engines with the oldest weights
// go first, so that none falls behind when new versions follow each other quickly.
//
// Engines of a group can go on with each other's requests. No engine is made to break off its requests unless another one
// of its group can go on with them: one that is available, neither cordoned nor loading.
package sycreload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxLoadingFraction limits the fraction of all engines that load weights at the same time. At least minLoading
	// may, but no more than maxGroupLoading of a group, or one.
	maxLoadingFraction = 0.2
	maxGroupLoading    = 1.0 / 3
	minLoading         = 2
	// maxCordonedFraction limits the fraction of all engines, and of a group, that are cordoned, which includes those that
	// load. At least minLoading may always be, but no more than maxGroupCordoned of a group, or one: the others get the
	// requests of all.
	maxCordonedFraction = 0.34
	maxGroupCordoned    = 0.5
	// interruptAfter is how long an engine whose requests can all resume on other
	// engines stays cordoned before these requests are interrupted for the load.
	interruptAfter = 1200 * time.Millisecond
	// loadAnywayAfter is how long an engine with requests that can't resume elsewhere
	// stays cordoned before it's ordered to load. The engine then finishes its requests
	// before it loads.
	loadAnywayAfter = 1600 * time.Millisecond
	// retryDelay is how long no load is planned on an engine after a failed one.
	retryDelay = 700 * time.Millisecond
)

// Engine is the state of an engine that may need newer weights.
type Engine struct {
	// ID is the engine's endpoint ID.
	ID string
	// Group names the engines that can go on with each other's requests.
	Group string
	// Unavailable is set if the engine can't go on with requests of others, whether or not it is cordoned.
	Unavailable bool
	// Behind is the number of versions by which the engine's weights are older than the
	// newest.
	Behind int64
	// Requests is the number of requests that all VMs together have in progress on the
	// engine.
	Requests int
	// NonResumable is the number of those requests that can't resume on another engine.
	NonResumable int
	// Expired is set if the engine's weights were replaced so long ago that no request may begin there.
	Expired bool
}

// Action is a step that the caller takes with one engine.
type Action struct {
	// ID is the engine's endpoint ID.
	ID string
	// Load tells the caller to order the engine to load the newest weights. Otherwise
	// the caller cordons the engine.
	Load bool
	// Interrupt tells the caller to have the engine interrupt its requests for the
	// load, so that they resume on other engines.
	Interrupt bool
}

// Plan tracks the cordons and loads of all engines. Times are readings of the caller's
// monotonic clock.
type Plan struct {
	// cordonedSince holds the time at which each cordoned engine was cordoned, by ID.
	cordonedSince map[string]time.Duration
	// loading holds the IDs of the engines that were ordered to load.
	loading map[string]bool
	// retryAt holds the time before which no load is planned on an engine whose last
	// load failed, by ID.
	retryAt map[string]time.Duration
}

// New returns a plan without cordons and loads.
func New() *Plan {
	return &Plan{cordonedSince: map[string]time.Duration{}, loading: map[string]bool{}, retryAt: map[string]time.Duration{}}
}

// Cordoned reports whether the plan keeps new requests off an engine.
func (p *Plan) Cordoned(id string) bool {
	_, cordoned := p.cordonedSince[id]
	return cordoned
}

// CordonedCount returns the number of engines that are cordoned, those that load included.
func (p *Plan) CordonedCount() int { return len(p.cordonedSince) }

// LoadingCount returns the number of engines that were ordered to load and haven't ended.
func (p *Plan) LoadingCount() int { return len(p.loading) }

// Next returns the actions that are due now. Engines lists all engines that take part.
// Announced is the time it takes until all VMs know of a new cordon and keep to it. No
// engine is ordered to load before its cordon has lasted that long.
func (p *Plan) Next(now, announced time.Duration, engines []Engine) []Action {
	p.prune(engines)
	var due []Engine
	for _, e := range engines {
		if e.Behind > 0 && now >= p.retryAt[e.ID] && !p.loading[e.ID] {
			due = append(due, e)
		}
	}
	slices.SortStableFunc(due, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(b.Behind, a.Behind), cmp.Compare(a.Requests, b.Requests))
	})
	groups := p.group(engines)
	var actions []Action
	for _, e := range due {
		if !p.mayCordon(e, groups[e.Group], limitOf(maxCordonedFraction, len(engines))) {
			continue
		}
		p.cordonedSince[e.ID] = now
		groups[e.Group].cordon(e)
		actions = append(actions, Action{ID: e.ID})
	}
	for _, e := range due {
		g := groups[e.Group]
		since, cordoned := p.cordonedSince[e.ID]
		if !cordoned || len(p.loading) >= limitOf(maxLoadingFraction, len(engines)) {
			continue
		}
		if (g.loading >= g.loadLimit() || now < since+announced) && !e.Expired {
			continue
		}
		interrupt := e.Requests > 0 && e.NonResumable == 0 && g.standing > 0
		mustWait := e.Requests > 0 && !interrupt
		if interrupt && now < since+interruptAfter || mustWait && now < since+loadAnywayAfter {
			continue
		}
		p.loading[e.ID] = true
		g.loading++
		actions = append(actions, Action{ID: e.ID, Load: true, Interrupt: interrupt})
	}
	return actions
}

// mayCordon reports whether an engine may be cordoned now. Limit is that of all engines together.
func (p *Plan) mayCordon(e Engine, g *group, limit int) bool {
	_, cordoned := p.cordonedSince[e.ID]
	switch {
	case cordoned:
		return false
	case e.Expired:
		// A cordon costs nothing at an engine that gets no requests anyway.
		return true
	case len(p.cordonedSince) >= limit || g.cordoned >= g.cordonLimit():
		return false
	}
	// One engine of a group may be cordoned even if no other is available, since new weights can't wait for ever.
	return g.cordoned == 0 || g.standingWithout(e) > 0
}

// limitOf returns the limit that is a fraction of a number of engines.
func limitOf(fraction float64, engines int) int {
	return max(minLoading, int(fraction*float64(engines)))
}

// prune removes the cordons of engines that are up to date or no longer listed, unless
// they're loading, and the retry times of engines that are no longer listed.
func (p *Plan) prune(engines []Engine) {
	behind := map[string]bool{}
	for _, e := range engines {
		behind[e.ID] = e.Behind > 0
	}
	for id := range p.cordonedSince {
		if !behind[id] && !p.loading[id] {
			delete(p.cordonedSince, id)
		}
	}
	for id := range p.retryAt {
		if _, known := behind[id]; !known {
			delete(p.retryAt, id)
		}
	}
}

// Done ends the load of an engine and removes its cordon. The load succeeded if ok is
// set. Otherwise the plan tries again after retryDelay.
func (p *Plan) Done(now time.Duration, id string, ok bool) {
	delete(p.loading, id)
	delete(p.cordonedSince, id)
	if !ok {
		p.retryAt[id] = now + retryDelay
	}
}

// Stop removes the cordons of all engines that aren't loading. The caller stops the plan
// while this VM doesn't hold the lease that lets it order engines.
func (p *Plan) Stop() {
	for id := range p.cordonedSince {
		if !p.loading[id] {
			delete(p.cordonedSince, id)
		}
	}
}
