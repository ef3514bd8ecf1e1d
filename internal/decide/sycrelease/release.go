// Package sycrelease decides how a service moves to the endpoints of another
// release by a deadline.
//
// The release gets a small share of the requests for almost the whole time, since
// a fault may show late, and all of them in the last seconds if it has proved
// itself; the former endpoints are left before the move is reported as done,
// because they are stopped then.
package sycrelease

import "time"

// State is the state of a move.
type State string

// States of moves.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

const (
	// trialPart is the part of the granted share that a release gets on trial; the
	// rest is for requests that are counted otherwise.
	trialPart = 0.8
	// halfBefore, allBefore and doneBefore are the times before the deadline at
	// which a proved release gets half and all of the requests, and at which the
	// move is done. Between the last two the former endpoints finish what they have.
	halfBefore = 6500 * time.Millisecond
	allBefore  = 5500 * time.Millisecond
	doneBefore = 1200 * time.Millisecond
	// leastAll is how long a release must have had all requests to be done: on trial few
	// reach it, and a fault that shows under load doesn't show. One that can't have them
	// for as long any more is taken back at once.
	leastAll = (allBefore - doneBefore) / 2
	// shortest is the part of the time that is left to the trial when the deadline
	// is near.
	shortest = 0.4
	// leastProof is the least number of requests that prove a release.
	leastProof = 8
)

// Evidence is what is known of a release.
type Evidence struct {
	// Endpoints is how many endpoints of the release may get requests.
	Endpoints int
	// Requests is how many requests of it have ended.
	Requests uint64
	// FailureReason says why the release is bad; empty if it is not known to be.
	FailureReason string
	// Suspected is set while the release is not known to be bad, but may well be.
	Suspected bool
}

// Move is one service's move.
type Move struct {
	asked  time.Duration
	within time.Duration
	// granted is the part of the requests that an unproved release may get.
	granted float64
	state   State
	reason  string
	// share is the release's present one; it has had all requests since allSince, if it is 1.
	share    float64
	allSince time.Duration
}

// New returns a move that was asked for at a time and is to end within another.
func New(asked, within time.Duration, granted float64) *Move {
	return &Move{asked: asked, within: within, granted: granted, state: Running}
}

// State is the move's state.
func (m *Move) State() State { return m.state }

// Reason says why the move was taken back.
func (m *Move) Reason() string { return m.reason }

// AdoptState sets the state that another VM has decided.
func (m *Move) AdoptState(s State) {
	if m.state == Running {
		m.state = s
	}
}

// SetShare tells which share of the requests the release has from now on, whoever decided it.
func (m *Move) SetShare(now time.Duration, share float64) {
	if share == 1 && m.share != 1 {
		m.allSince = now
	}
	m.share = share
}

// TrialShare is the share of the requests that a release gets on trial.
func (m *Move) TrialShare() float64 { return trialPart * m.granted }

// Next decides from the evidence, and returns the release's share of the requests.
func (m *Move) Next(now time.Duration, e Evidence) float64 {
	if m.state == Running && e.FailureReason != "" {
		m.state, m.reason = RolledBack, e.FailureReason
	}
	switch m.state {
	case RolledBack:
		return 0
	case Completed:
		return 1
	}
	left := m.asked + m.within - now
	proved := e.Endpoints > 0 && e.Requests >= leastProof
	switch {
	case m.hadAll(now)+left-m.before(doneBefore) < m.before(leastAll):
		m.end(false)
		return 0
	case left <= m.before(doneBefore):
		m.end(proved)
		return m.Next(now, e)
	case e.Endpoints == 0:
		return 0
	}
	share := m.TrialShare()
	switch {
	case proved && left <= m.before(allBefore):
		share = 1
	case proved && left <= m.before(halfBefore):
		share = 0.5
	}
	if e.Suspected {
		return min(share, max(m.share, m.TrialShare()))
	}
	return share
}

// hadAll is for how long the release has had all requests.
func (m *Move) hadAll(now time.Duration) time.Duration {
	if m.share < 1 {
		return 0
	}
	return now - m.allSince
}

func (m *Move) end(proved bool) {
	if proved {
		m.state = Completed
		return
	}
	m.state, m.reason = RolledBack, "the release had no endpoints, or too few requests or too little time to prove itself"
}

// before shortens the last stages of a move whose deadline is near.
func (m *Move) before(d time.Duration) time.Duration {
	most := time.Duration((1 - shortest) * float64(m.within))
	if most < halfBefore {
		return time.Duration(float64(d) * float64(most) / float64(halfBefore))
	}
	return d
}
