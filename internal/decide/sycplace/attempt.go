package sycplace

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycthrottle"
)

const (
	// capacityPause is how long an endpoint that ended an attempt with AtCapacity
	// is avoided.
	capacityPause = 60 * time.Millisecond
	// overdueFactor and overdueExtra define when the first byte of an answer is
	// overdue: after overdueFactor times the expected time plus overdueExtra.
	overdueFactor = 3
	overdueExtra  = 500 * time.Millisecond
	// cordonGrace is how long after a cordon ends failed attempts are still put down
	// to the weights reload behind the cordon, and not to the endpoint's health.
	cordonGrace = 500 * time.Millisecond
	// silenceSpan is the time in which all answers that an endpoint left silent count as one silence.
	silenceSpan = time.Second
)

// overdueAfter returns the time after which a first byte that was expected after a time is overdue.
func overdueAfter(expected time.Duration) time.Duration { return overdueFactor*expected + overdueExtra }

// attempt is one try of a request at one endpoint that has not ended.
type attempt struct {
	endpoint *endpoint
	request  *Request
	// started is when the endpoint was selected.
	started time.Duration
	// uncachedTokens is the number of prompt tokens that the engine has to compute.
	uncachedTokens int
	// expected is the predicted time to the first byte of the answer, and transfer the part of it for fetched blocks.
	expected, transfer time.Duration
	// answered is true once the first byte of the answer has arrived.
	answered bool
	// load is the endpoint's load when the attempt began.
	load Load
	// firstByte is the measured time to the first byte; 0 before it arrives.
	firstByte time.Duration
	// overdue is true once Tick has found the first byte overdue.
	overdue bool
	// last is true once no other endpoint may get the request any more.
	last bool
	// throttle is what the attempt was charged to, nil if its endpoint has no limit.
	throttle *sycthrottle.Throttle
	// warmup is the same for what a cold endpoint tolerates.
	warmup *sycthrottle.Warmup
}

// Evidence is what one attempt shows about the release of its endpoint. Rollouts
// judge a release by it. Outcome is set only once the attempt has ended.
type Evidence struct {
	// Service and Release are those of the endpoint.
	Service string
	Release string
	// Outcome says how the attempt ended.
	Outcome Outcome
	// Requests and Tokens are the endpoint's load when the attempt began. Tokens
	// includes the prompt tokens that the attempt itself had to compute.
	Requests int
	Tokens   int
	// FirstToken is the time to the first byte of the answer, 0 if none came.
	FirstToken time.Duration
}

// ObserveFirstByte records that the first byte of an attempt's answer has arrived.
func (s *Selector) ObserveFirstByte(now time.Duration, id uint64) {
	a := s.attempts[id]
	if a == nil || a.answered {
		return
	}
	a.endpoint.answer(a)
	a.firstByte = now - a.started
	s.spill.observeFirstByte(now, a)
	a.endpoint.lastFirstByte = now
	// An endpoint that answers is there, whatever another VM has found.
	a.endpoint.faultUntil = 0
	s.observePunctuality(now, a, true)
	if a.request.Model == "" {
		a.endpoint.observeFirstByte(now-a.started, a.expected)
		return
	}
	s.observeCapacity(now, a)
}

// MarkLast records that no other endpoint may get an attempt's request any more, so that its endpoint
// isn't made to break it off.
func (s *Selector) MarkLast(id uint64) {
	if a := s.attempts[id]; a != nil {
		a.endpoint.markLast(a)
	}
}

// AttemptEvidence returns the evidence so far of an attempt that has not ended. It
// returns false if there is no such attempt.
func (s *Selector) AttemptEvidence(id uint64) (Evidence, bool) {
	a := s.attempts[id]
	if a == nil {
		return Evidence{}, false
	}
	return a.evidence(), true
}

// evidence returns the attempt's evidence without an outcome.
func (a *attempt) evidence() Evidence {
	return Evidence{
		Service:    a.request.Service,
		Release:    a.endpoint.record.Release,
		Requests:   a.load.Requests,
		Tokens:     a.load.Tokens + a.uncachedTokens,
		FirstToken: a.firstByte,
	}
}

// Finish ends an attempt, updates its endpoint's health by the outcome and returns
// the attempt's evidence. A failure during a cordon, or within cordonGrace after
// it, counts as Cancelled.
func (s *Selector) Finish(now time.Duration, id uint64, o Outcome) Evidence {
	a := s.attempts[id]
	if a == nil {
		return Evidence{Outcome: Cancelled}
	}
	ended := a.evidence()
	ended.Outcome = o
	delete(s.attempts, id)
	a.endpoint.end(a)
	if !a.answered && (o == Failed || o == Silent) {
		s.observePunctuality(now, a, false)
	}
	if (o == Failed || o == Silent) && now < s.cordons[a.endpoint.record.ID]+cordonGrace {
		// The weights reload behind the cordon broke the answer off.
		ended.Outcome = Cancelled
		return ended
	}
	s.spill.observeEnd(now, a, o)
	switch o {
	case Served:
		s.setMisplaced(a.endpoint, false)
		a.endpoint.health.Observe(now, sychealth.Success)
		s.endSingle(a.endpoint)
	case Failed:
		a.endpoint.health.Observe(now, sychealth.Failure)
	case Silent:
		a.endpoint.observeSilence(now)
	case Unreachable:
		a.endpoint.health.Observe(now, sychealth.Unreachable)
	case Refused:
		a.endpoint.health.Observe(now, sychealth.Unreachable)
		s.suspectRestart(now, a.endpoint)
		s.observeFault(now, a.endpoint, false)
	case AtCapacity:
		a.endpoint.avoidUntil = now + capacityPause
	case Moved:
		a.endpoint.health.Observe(now, sychealth.Unreachable)
		s.observeFault(now, a.endpoint, true)
	case Cancelled:
	}
	return ended
}

// observeSilence counts a silence as one slow attempt, however many answers were given up during it.
func (e *endpoint) observeSilence(now time.Duration) {
	if e.silentUntil > now {
		return
	}
	e.silentUntil = now + silenceSpan
	e.health.Observe(now, sychealth.Slow)
}

// Tick updates the health of endpoints whose answers are overdue. An endpoint that
// has begun no answer since the overdue attempt was sent counts as unreachable, any
// other as slow.
func (s *Selector) Tick(now time.Duration) {
	for _, e := range s.order {
		for _, a := range e.attempts {
			if a.answered || a.overdue || now-a.started < overdueAfter(a.expected) {
				continue
			}
			a.overdue = true
			if e.lastFirstByte > a.started {
				e.health.Observe(now, sychealth.Slow)
				continue
			}
			e.health.Observe(now, sychealth.Unreachable)
		}
	}
}
