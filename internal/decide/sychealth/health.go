// Package sychealth tracks the health of an endpoint by the outcomes of its attempts.
// An attempt is one try of a request at one endpoint.
//
// A healthy endpoint gets requests. A suspect one gets them too, but callers prefer
// others. An endpoint that is out gets none until a pause has passed. Then it is
// probing and gets a single request at a time.
package sychealth

import (
	"math/rand/v2"
	"time"
)

// State is the state of an endpoint's health.
type State string

// States of health.
const (
	// Healthy endpoints get requests.
	Healthy State = "healthy"
	// Suspect endpoints get requests, but callers prefer healthy ones.
	Suspect State = "suspect"
	// Out endpoints get no requests.
	Out State = "out"
	// Probing endpoints get one request at a time, to find out if they work again.
	Probing State = "probing"
)

// Event is an observation that may change an endpoint's state.
type Event string

// Events of an endpoint.
const (
	// Success is an attempt that succeeded in time.
	Success Event = "success"
	// Slow is an attempt that took far longer than predicted but did not fail.
	Slow Event = "slow"
	// Failure is an attempt that failed after it reached the endpoint.
	Failure Event = "failure"
	// Unreachable means that no connection could be made.
	Unreachable Event = "unreachable"
	// PollAnswered means that the endpoint answered a status poll. It ends the
	// pause of an endpoint that went out as unreachable.
	PollAnswered Event = "answered"
	// Elapsed asks whether the time of a pause or suspicion is over. If so, an
	// endpoint that is out becomes probing, and a suspect one becomes healthy.
	Elapsed Event = "elapsed"
)

const (
	// failuresToOut is the number of failures without a success between them that take
	// an endpoint out.
	failuresToOut = 3
	// slowsToOut is the number of slow attempts, without a success between them, that
	// take a suspect endpoint out.
	slowsToOut = 8
	// slowsToSuspect is the number of slow attempts, without a success between them,
	// that make a healthy endpoint suspect.
	slowsToSuspect = 3
	// successesToHealthy is the number of successes in a row that make a suspect endpoint
	// healthy.
	successesToHealthy = 3
	// minPause and maxPause limit how long an endpoint stays out before a probe. Jitter
	// shortens each pause to between half and all of its length.
	minPause = 250 * time.Millisecond
	maxPause = 10 * time.Second
	// suspectTimeout is how long an endpoint stays suspect if no event makes it healthy
	// or takes it out before.
	suspectTimeout = 5 * time.Second
)

// Health is the state machine of one endpoint's health.
type Health struct {
	state State
	// random draws the jitter of pauses, so that VMs don't probe at the same time.
	random *rand.Rand
	// failures counts the events Failure and Unreachable since the last success.
	failures int
	// slows counts slow attempts since the last success or since the endpoint became
	// suspect.
	slows int
	// successes counts successes since the last attempt that failed or was slow, or
	// since the endpoint went out.
	successes int
	// nextPause is the length of the next pause before jitter. It doubles each time the
	// endpoint goes out, up to maxPause, until it is healthy again.
	nextPause time.Duration
	// until is when the current pause or suspicion ends.
	until time.Duration
	// unreachable is true if the endpoint last went out by the event Unreachable.
	// PollAnswered then ends its pause early.
	unreachable bool
	// reason is the event that led to the current state.
	reason string
}

// New returns the health of an endpoint without observations, which is healthy. The
// seed determines the jitter of pauses.
func New(seed uint64) *Health {
	return &Health{
		state:     State(chart.Initial()),
		random:    rand.New(rand.NewPCG(seed, 0)),
		nextPause: minPause,
	}
}

// State returns the current state.
func (h *Health) State() State { return h.state }

// OutUntil returns when the pause of an endpoint that is out ends.
func (h *Health) OutUntil() time.Duration { return h.until }

// Reason returns the event that led to the current state; empty if there was none.
func (h *Health) Reason() string { return h.reason }

// Observe applies an event and reports whether it caused a state transition.
func (h *Health) Observe(now time.Duration, e Event) bool {
	h.count(e)
	next, changed := chart.Fire(string(h.state), string(e), guardContext{health: h, now: now})
	if changed {
		h.enter(now, State(next), e)
	}
	return changed
}

// Admits reports whether the endpoint may get a request now. It ends a pause or
// suspicion that is over. InFlight is the number of this VM's attempts at the endpoint:
// a probing endpoint gets one at a time.
func (h *Health) Admits(now time.Duration, inFlight int) bool {
	if h.state == Healthy {
		return true
	}
	h.Observe(now, Elapsed)
	switch h.state {
	case Out:
		return false
	case Probing:
		return inFlight == 0
	default:
		return true
	}
}

// count updates the counts of failed, slow and successful attempts.
func (h *Health) count(e Event) {
	switch e {
	case Success:
		h.successes++
		h.failures, h.slows = 0, 0
	case Slow:
		h.slows++
		h.successes = 0
	case Failure, Unreachable:
		h.failures++
		h.successes = 0
	case PollAnswered, Elapsed:
	}
}

// enter sets the state and starts its pause or suspicion.
func (h *Health) enter(now time.Duration, to State, e Event) {
	h.state = to
	h.reason = string(e)
	switch to {
	case Out:
		h.unreachable = e == Unreachable
		jitter := time.Duration(h.random.Int64N(int64(h.nextPause)/2 + 1))
		h.until = now + h.nextPause/2 + jitter
		h.nextPause = min(2*h.nextPause, maxPause)
		h.successes = 0
	case Suspect:
		h.slows = 0
		h.until = now + suspectTimeout
	case Healthy:
		h.nextPause = minPause
	case Probing:
	}
}
