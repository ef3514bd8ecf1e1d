// Package sychealth follows the health of an endpoint from how its attempts end.
//
// A healthy endpoint gets work, a suspect one gets it at a disadvantage, one
// that is out gets none until its pause has passed, and a probing one gets a
// single request at a time.
package sychealth

import (
	"math/rand/v2"
	"time"
)

// State is a state of an endpoint's health.
type State string

// States of health.
const (
	Healthy State = "healthy"
	Suspect State = "suspect"
	Out     State = "out"
	Probing State = "probing"
)

// Event is something that was observed of an endpoint.
type Event string

// Events that bear on health.
const (
	// Success is an attempt that ended well and in good time.
	Success Event = "success"
	// Slow is an attempt that ended well but took far longer than predicted.
	Slow Event = "slow"
	// Failure is an attempt that failed after it reached the endpoint.
	Failure Event = "failure"
	// Unreachable means that no connection could be made.
	Unreachable Event = "unreachable"
	// PollAnswered means that the endpoint answered a poll.
	PollAnswered Event = "answered"
	// Elapsed means that time has passed.
	Elapsed Event = "elapsed"
)

const (
	// failuresOut is the number of failures in a row that take a suspect endpoint out.
	failuresOut = 3
	// slowsOut is the number of slow attempts in a row that take a suspect endpoint out.
	slowsOut = 8
	// slowsSuspect is the number of slow attempts in a row that make an endpoint suspect.
	slowsSuspect = 3
	// successesHealthy is the number of successes in a row that clear a suspect endpoint.
	successesHealthy = 3
	// shortestPause and longestPause bound the time out before a probe.
	shortestPause = 250 * time.Millisecond
	longestPause  = 10 * time.Second
	// suspicion is how long an endpoint is suspect that gets no work.
	suspicion = 5 * time.Second
)

// Health is the health of one endpoint.
type Health struct {
	state  State
	random *rand.Rand
	// The streaks count events in a row; each ends when another kind comes.
	failures  int
	slows     int
	successes int
	// pause is the time out that comes next; it doubles with every failed probe.
	pause time.Duration
	// until is the end of the present time out or suspicion.
	until time.Duration
	// unreachable is true while the endpoint is out because nothing listens.
	unreachable bool
	reason      string
}

// New returns the health of an endpoint of which nothing bad is known.
func New(seed uint64) *Health {
	return &Health{
		state:  State(chart.Initial()),
		random: rand.New(rand.NewPCG(seed, 0)),
		pause:  shortestPause,
	}
}

// State is the present state.
func (h *Health) State() State { return h.state }

// OutUntil is the end of the time out of an endpoint that is out.
func (h *Health) OutUntil() time.Duration { return h.until }

// Reason says which event led to the present state.
func (h *Health) Reason() string { return h.reason }

// Observe takes an event and reports whether the state has changed.
func (h *Health) Observe(now time.Duration, e Event) bool {
	h.count(e)
	next, taken := chart.Fire(string(h.state), string(e), moment{health: h, now: now})
	if taken {
		h.enter(now, State(next), e)
	}
	return taken
}

// Admits reports whether the endpoint may get work now, with so many attempts of this VM
// under way there: one that is tried again gets one at a time.
func (h *Health) Admits(now time.Duration, underWay int) bool {
	if h.state == Healthy {
		return true
	}
	h.Observe(now, Elapsed)
	switch h.state {
	case Out:
		return false
	case Probing:
		return underWay == 0
	default:
		return true
	}
}

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

func (h *Health) enter(now time.Duration, to State, e Event) {
	h.state = to
	h.reason = string(e)
	switch to {
	case Out:
		h.unreachable = e == Unreachable
		jitter := time.Duration(h.random.Int64N(int64(h.pause)/2 + 1))
		h.until = now + h.pause/2 + jitter
		h.pause = min(2*h.pause, longestPause)
		h.successes = 0
	case Suspect:
		h.slows = 0
		h.until = now + suspicion
	case Healthy:
		h.pause = shortestPause
	case Probing:
	}
}
