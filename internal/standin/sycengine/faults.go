package sycengine

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// Modes of failure.
const (
	// ModeError answers 500.
	ModeError = "error"
	// ModeCut breaks the answer off half way.
	ModeCut = "cut"
	// ModeSlow runs the request slower by Failure.Factor.
	ModeSlow = "slow"
	// ModeHang never answers.
	ModeHang = "hang"
)

// Failure makes a share of the requests fail.
type Failure struct {
	// Weights and Route restrict the failure; empty ones match all.
	Weights string `json:"weights,omitempty"`
	Route   string `json:"route,omitempty"`
	// Share of the matching requests that fail, 0 to 1.
	Share float64 `json:"share"`
	// After is counted from the setting of the faults.
	After sycrecord.Duration `json:"after,omitempty"`
	// MinBatch is the number of running and waiting requests from which on
	// requests fail.
	MinBatch int    `json:"min_batch,omitempty"`
	Mode     string `json:"mode"`
	// Factor is how much slower ModeSlow runs.
	Factor int `json:"factor,omitempty"`
}

// Faults is what is wrong with the engine.
type Faults struct {
	// Slow multiplies the duration of every step; below 1 has no effect.
	Slow float64 `json:"slow,omitempty"`
	// Refuse answers 503 before anything runs.
	Refuse bool `json:"refuse,omitempty"`
	// Cross is the number of coming answers that carry another attempt's id.
	Cross int `json:"cross,omitempty"`
	// NoAnswer is the number of coming requests that run without an answer.
	NoAnswer int `json:"no_answer,omitempty"`
	// Late delays every answer by this time after it has begun to run.
	Late sycrecord.Duration `json:"late,omitempty"`
	// EventLoss is the share of cache events that is never published.
	EventLoss float64   `json:"event_loss,omitempty"`
	Failures  []Failure `json:"failures,omitempty"`
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.faultsFrom = time.Now()
}

// Faults returns the present faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// failure returns the failure that hits the request, if any. The caller holds mu.
func (e *Engine) failure(l *life, weights, route string) *Failure {
	for i := range e.faults.Failures {
		f := &e.faults.Failures[i]
		if e.matches(l, f, weights, route) && e.rng.Float64() < f.Share {
			return f
		}
	}
	return nil
}

func (e *Engine) matches(l *life, f *Failure, weights, route string) bool {
	if f.Weights != "" && f.Weights != weights {
		return false
	}
	if f.Route != "" && f.Route != route {
		return false
	}
	if time.Since(e.faultsFrom) < time.Duration(f.After) {
		return false
	}
	return len(l.running)+len(l.waiting) >= f.MinBatch
}

// takeCross and takeNoAnswer use up one of the coming faults. The caller holds mu.
func (e *Engine) takeCross() bool    { return takeOne(&e.faults.Cross) }
func (e *Engine) takeNoAnswer() bool { return takeOne(&e.faults.NoAnswer) }

func takeOne(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
