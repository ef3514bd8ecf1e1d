package sycengine

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// Modes of a Failure.
const (
	// ModeError responds with status 500.
	ModeError = "error"
	// ModeCut interrupts the response halfway.
	ModeCut = "cut"
	// ModeSlow runs the request slower by the factor Failure.Factor.
	ModeSlow = "slow"
	// ModeHang runs the request but never responds.
	ModeHang = "hang"
)

// Failure makes a fraction of the matching requests fail.
type Failure struct {
	// Weights and Route restrict the failure to requests with these weights and this
	// route. An empty value matches every request.
	Weights string `json:"weights,omitempty"`
	Route   string `json:"route,omitempty"`
	// Share is the probability that a matching request fails, 0 to 1.
	Share float64 `json:"share"`
	// After is the time between SetFaults and the first failure.
	After sycrecord.Duration `json:"after,omitempty"`
	// MinBatch is the minimum number of running and waiting requests at which
	// requests fail.
	MinBatch int `json:"min_batch,omitempty"`
	// Mode is ModeError, ModeCut, ModeSlow or ModeHang.
	Mode string `json:"mode"`
	// Factor is the factor by which ModeSlow slows a request down.
	Factor int `json:"factor,omitempty"`
}

// Faults describes the faults that the engine simulates.
type Faults struct {
	// Slow multiplies the duration of every step. Values up to 1 have no effect.
	Slow float64 `json:"slow,omitempty"`
	// Refuse makes the engine respond to every request with status 503 before
	// anything runs.
	Refuse bool `json:"refuse,omitempty"`
	// Cross is the number of coming responses that carry another attempt's id and
	// text, as if the engine had mixed up two responses.
	Cross int `json:"cross,omitempty"`
	// NoAnswer is the number of coming requests that run but get no response.
	NoAnswer int `json:"no_answer,omitempty"`
	// Late delays every response by this time after its request was queued.
	Late sycrecord.Duration `json:"late,omitempty"`
	// EventLoss is the fraction of cache events that is never published, 0 to 1. The
	// higher of this value and Options.EventLoss applies.
	EventLoss float64 `json:"event_loss,omitempty"`
	// Failures are tried in order for each request, and the first that hits applies.
	Failures []Failure `json:"failures,omitempty"`
}

// SetFaults replaces all faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.faultsSetAt = time.Now()
}

// Faults returns the current faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// selectFailure returns the first failure that hits a request with the given
// weights and route, or nil. The caller holds mu.
func (e *Engine) selectFailure(inst *instance, weights, route string) *Failure {
	for i := range e.faults.Failures {
		f := &e.faults.Failures[i]
		if e.matches(inst, f, weights, route) && e.rng.Float64() < f.Share {
			return f
		}
	}
	return nil
}

// matches reports whether a failure applies to a request with the given weights and
// route at present, whatever the failure's Share. The caller holds mu.
func (e *Engine) matches(inst *instance, f *Failure, weights, route string) bool {
	if f.Weights != "" && f.Weights != weights {
		return false
	}
	if f.Route != "" && f.Route != route {
		return false
	}
	if time.Since(e.faultsSetAt) < time.Duration(f.After) {
		return false
	}
	return len(inst.running)+len(inst.waiting) >= f.MinBatch
}

// consumeCross reports whether the next response is crossed, and counts Faults.Cross
// down. The caller holds mu.
func (e *Engine) consumeCross() bool { return consume(&e.faults.Cross) }

// consumeNoAnswer reports whether the next request gets no response, and counts
// Faults.NoAnswer down. The caller holds mu.
func (e *Engine) consumeNoAnswer() bool { return consume(&e.faults.NoAnswer) }

// consume decrements a positive count and reports whether it was positive.
func consume(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
