// Package sycreload plans how engines are brought to the newest weights while
// the others keep serving.
//
// An engine is first kept free of new requests, so that its runs end, and then
// ordered: few engines load at a time, since loads slow each other down, and a
// few more run empty meanwhile. The engines with the oldest weights go first, so
// that none is left behind when versions are named in quick succession.
package sycreload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// loadsAtOnce is how many engines load at the same time.
	loadsAtOnce = 2
	// heldPart is the part of the engines that may be out of service at a time.
	heldPart = 0.34
	// patience is how long an engine's runs may take to end before those that can
	// go on elsewhere are broken off.
	patience = 1200 * time.Millisecond
	// longPatience is how long the others may take; the engine is then ordered all
	// the same, and waits for them itself.
	longPatience = 1600 * time.Millisecond
	// failedPause is how long an engine that could not be ordered is left alone.
	failedPause = 700 * time.Millisecond
)

// Engine is an engine that may need newer weights.
type Engine struct {
	ID string
	// Behind is the number of versions that its weights are behind.
	Behind int64
	// Requests is what all VMs have under way there.
	Requests int
	// Unresumable is how many of them can't go on elsewhere.
	Unresumable int
}

// Action is something to be done with an engine.
type Action struct {
	ID string
	// Load asks to order the engine now; else requests are to be kept off it.
	Load bool
	// Interrupt asks to break off the engine's runs.
	Interrupt bool
}

// Plan follows the engines of one fleet.
type Plan struct {
	// held is since when engines are kept free of new requests.
	held    map[string]time.Duration
	loading map[string]bool
	failed  map[string]time.Duration
}

// New returns an empty plan.
func New() *Plan {
	return &Plan{held: map[string]time.Duration{}, loading: map[string]bool{}, failed: map[string]time.Duration{}}
}

// Cordoned reports whether requests are to be kept off an engine.
func (p *Plan) Cordoned(id string) bool {
	_, held := p.held[id]
	return held
}

// Next returns what is to be done now. Announced is what it takes until all VMs
// keep requests off an engine.
func (p *Plan) Next(now, announced time.Duration, engines []Engine) []Action {
	p.forget(engines)
	var due []Engine
	for _, e := range engines {
		if e.Behind > 0 && now >= p.failed[e.ID] && !p.loading[e.ID] {
			due = append(due, e)
		}
	}
	slices.SortStableFunc(due, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(b.Behind, a.Behind), cmp.Compare(a.Requests, b.Requests))
	})
	var out []Action
	limit := max(loadsAtOnce, int(heldPart*float64(len(engines))))
	for _, e := range due {
		if _, held := p.held[e.ID]; held || len(p.held) >= limit {
			continue
		}
		p.held[e.ID] = now
		out = append(out, Action{ID: e.ID})
	}
	for _, e := range due {
		since, held := p.held[e.ID]
		if !held || len(p.loading) >= loadsAtOnce || now < since+announced {
			continue
		}
		interrupt := e.Requests > 0 && e.Unresumable == 0
		if interrupt && now < since+patience || e.Unresumable > 0 && now < since+longPatience {
			continue
		}
		p.loading[e.ID] = true
		out = append(out, Action{ID: e.ID, Load: true, Interrupt: interrupt})
	}
	return out
}

// forget drops what is known of engines that are gone, or need nothing more.
func (p *Plan) forget(engines []Engine) {
	behind := map[string]bool{}
	for _, e := range engines {
		behind[e.ID] = e.Behind > 0
	}
	for id := range p.held {
		if !behind[id] && !p.loading[id] {
			delete(p.held, id)
		}
	}
	for id := range p.failed {
		if _, known := behind[id]; !known {
			delete(p.failed, id)
		}
	}
}

// Done tells that an ordered engine has its weights, or could not be ordered.
func (p *Plan) Done(now time.Duration, id string, ok bool) {
	delete(p.loading, id)
	delete(p.held, id)
	if !ok {
		p.failed[id] = now + failedPause
	}
}

// Stop forgets what was planned, when the VM no longer holds the duty.
func (p *Plan) Stop() {
	for id := range p.held {
		if !p.loading[id] {
			delete(p.held, id)
		}
	}
}
