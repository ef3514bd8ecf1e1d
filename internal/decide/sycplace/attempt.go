package sycplace

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
)

const (
	// fullPause is how long an endpoint that was full is left alone.
	fullPause = 60 * time.Millisecond
	// overdueTimes and overdueMore say when an answer is overdue: so many times what
	// was expected, and this much more.
	overdueTimes = 3
	overdueMore  = 500 * time.Millisecond
	// heldGrace is how long after a hold broken answers are still put down to it.
	heldGrace = 500 * time.Millisecond
)

// attempt is a request under way.
type attempt struct {
	endpoint *endpoint
	request  *Request
	started  time.Duration
	missing  int
	expected time.Duration
	answered bool
	// load is what was under way at the endpoint when the attempt began.
	load  Load
	first time.Duration
	// overdue is set once the answer is overdue.
	overdue bool
}

// Evidence is an attempt as evidence about its endpoint; its outcome counts once it has
// ended.
type Evidence struct {
	Service string
	Release string
	Outcome Outcome
	// Requests and Tokens are what was under way at the endpoint when the attempt
	// began, its own prompt included.
	Requests int
	Tokens   int
	// FirstToken is the time to the first byte of the answer, 0 if none came.
	FirstToken time.Duration
}

// ObserveFirstByte tells that the first byte of an answer has come.
func (p *Selector) ObserveFirstByte(now time.Duration, id uint64) {
	a := p.attempts[id]
	if a == nil || a.answered {
		return
	}
	a.answered = true
	a.first = now - a.started
	a.endpoint.heard = now
	a.endpoint.learn(now-a.started, a.expected)
}

// AttemptEvidence returns what is known of an attempt under way, as evidence about its endpoint.
func (p *Selector) AttemptEvidence(id uint64) (Evidence, bool) {
	a := p.attempts[id]
	if a == nil {
		return Evidence{}, false
	}
	return a.evidence(), true
}

func (a *attempt) evidence() Evidence {
	return Evidence{
		Service:    a.request.Service,
		Release:    a.endpoint.record.Release,
		Requests:   a.load.Requests,
		Tokens:     a.load.Tokens + a.missing,
		FirstToken: a.first,
	}
}

// Finish ends an attempt, and returns what it says about its endpoint.
func (p *Selector) Finish(now time.Duration, id uint64, o Outcome) Evidence {
	a := p.attempts[id]
	if a == nil {
		return Evidence{Outcome: Cancelled}
	}
	ended := a.evidence()
	ended.Outcome = o
	delete(p.attempts, id)
	delete(a.endpoint.attempts, id)
	switch o {
	case Served:
		a.endpoint.health.Observe(now, sychealth.Success)
	case Failed:
		if now < p.held[a.endpoint.record.ID]+heldGrace {
			// Broken off by an order.
			ended.Outcome = Cancelled
			return ended
		}
		a.endpoint.health.Observe(now, sychealth.Failure)
	case Unreachable:
		a.endpoint.health.Observe(now, sychealth.Unreachable)
	case AtCapacity:
		a.endpoint.fullUntil = now + fullPause
	case Moved:
		a.endpoint.health.Observe(now, sychealth.Unreachable)
	case Cancelled:
	}
	return ended
}

// Tick judges endpoints by the answers that are awaited: one from which nothing
// has come since an overdue request was sent to it counts as unreachable.
func (p *Selector) Tick(now time.Duration) {
	for _, e := range p.order {
		for _, a := range e.attempts {
			if a.answered || a.overdue || now-a.started < overdueTimes*a.expected+overdueMore {
				continue
			}
			a.overdue = true
			if e.heard > a.started {
				e.health.Observe(now, sychealth.Slow)
				continue
			}
			e.health.Observe(now, sychealth.Unreachable)
		}
	}
}
