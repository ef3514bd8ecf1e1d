// Package sycrelease decides how a service moves from the endpoints of one
// release to those of another by a deadline. A release is a version of a
// service's software.
//
// A release is on trial first: it gets a small traffic share for almost all of
// the time, since a fault may show late. In the last seconds before the deadline
// a release that has proved itself gets half and then all of the requests. The
// endpoints of the former release get no more requests shortly before the move
// completes, because they are stopped once it is reported as completed.
package sycrelease

import "time"

// State is the state of a move. Completed and RolledBack are final.
type State string

// States of a move, as they are named in the log.
const (
	// Running is the state until the move ends.
	Running State = "running"
	// Completed is the state of a move whose release gets all requests for good.
	Completed State = "completed"
	// RolledBack is the state of a move whose release gets no requests any more.
	RolledBack State = "rolled_back"
)

const (
	// trialPart is the part of the granted share that a release gets on trial. The
	// rest is a margin for requests that are counted differently elsewhere.
	trialPart = 0.8
	// halfShareBefore is the time before the deadline at which a proved release gets
	// half of the requests.
	halfShareBefore = 6500 * time.Millisecond
	// fullShareBefore is the time before the deadline at which a proved release gets
	// all of the requests.
	fullShareBefore = 5500 * time.Millisecond
	// completeBefore is the time before the deadline at which the move completes.
	// From fullShareBefore until then the former endpoints finish their requests.
	completeBefore = 1200 * time.Millisecond
	// minFullShareTime is how long a release must have had all requests before its
	// move completes. On trial it gets few requests, so that a fault that appears
	// under load doesn't show. A release that can't reach this time any more is
	// rolled back at once.
	minFullShareTime = (fullShareBefore - completeBefore) / 2
	// minTrialPart is the part of a move's time limit that is always left to the
	// trial. The last stages of a move with a short time limit are shortened for it.
	minTrialPart = 0.4
	// minProofRequests is the number of a release's requests that must have ended before
	// it is proved, which lets it get more than its share on trial. A proved release also
	// has endpoints, and its evidence has no FailureReason.
	minProofRequests = 8
)

// Evidence is what the deciding VM knows of a release, including the counts of other VMs.
type Evidence struct {
	// Endpoints is the number of the release's endpoints that may get requests.
	Endpoints int
	// Requests is the number of the release's requests that have ended.
	Requests uint64
	// FailureReason is the reason of the verdict failed, which a comparison with the
	// former release gives (package sycrollout). It is empty for any other verdict.
	FailureReason string
	// Suspected is set while more of the release's requests fail than of the former
	// release's, but too few for the verdict failed.
	Suspected bool
}

// Move decides the traffic share and the outcome of one service's move to another release.
type Move struct {
	// requestedAt is when the move was requested.
	requestedAt time.Duration
	// timeLimit is how long after requestedAt the deadline is.
	timeLimit time.Duration
	// grantedShare is the largest traffic share of a release that isn't proved, 0 to 1.
	grantedShare float64
	state        State
	// reason says why the move was rolled back.
	reason string
	// share is the release's present traffic share, 0 to 1.
	share float64
	// fullShareSince is when the share last became 1. It has no meaning below that.
	fullShareSince time.Duration
}

// New returns a running move that was requested at a time and must end within a time
// limit. The granted share is the largest traffic share of a release that isn't proved.
func New(requestedAt, timeLimit time.Duration, grantedShare float64) *Move {
	return &Move{requestedAt: requestedAt, timeLimit: timeLimit, grantedShare: grantedShare, state: Running}
}

// State returns the move's state.
func (m *Move) State() State { return m.state }

// Reason says why this VM rolled the move back. It is empty in any other case.
func (m *Move) Reason() string { return m.reason }

// AdoptState sets the state that another VM has decided, unless the move has ended here.
func (m *Move) AdoptState(s State) {
	if m.state == Running {
		m.state = s
	}
}

// SetShare sets the release's traffic share from now on, whichever VM decided it.
func (m *Move) SetShare(now time.Duration, share float64) {
	if share == 1 && m.share != 1 {
		m.fullShareSince = now
	}
	m.share = share
}

// TrialShare returns the traffic share that a release gets on trial.
func (m *Move) TrialShare() float64 { return trialPart * m.grantedShare }

// Next decides the move's state from the evidence, and returns the release's next
// traffic share. The caller applies the share and reports it by SetShare.
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
	left := m.requestedAt + m.timeLimit - now
	proved := e.Endpoints > 0 && e.Requests >= minProofRequests
	switch {
	case m.fullShareTime(now)+left-m.scaled(completeBefore) < m.scaled(minFullShareTime):
		m.finish(false)
		return 0
	case left <= m.scaled(completeBefore):
		m.finish(proved)
		return m.Next(now, e)
	case e.Endpoints == 0:
		return 0
	}
	share := m.TrialShare()
	switch {
	case proved && left <= m.scaled(fullShareBefore):
		share = 1
	case proved && left <= m.scaled(halfShareBefore):
		share = 0.5
	}
	if e.Suspected {
		return min(share, max(m.share, m.TrialShare()))
	}
	return share
}

// fullShareTime returns how long the release has had all requests until now, 0 if it
// has fewer at present.
func (m *Move) fullShareTime(now time.Duration) time.Duration {
	if m.share < 1 {
		return 0
	}
	return now - m.fullShareSince
}

// finish completes the move of a proved release, and rolls back any other.
func (m *Move) finish(proved bool) {
	if proved {
		m.state = Completed
		return
	}
	m.state, m.reason = RolledBack, "the release had no endpoints, or too few requests or too little time to prove itself"
}

// scaled shortens a time before the deadline for a move with a short time limit, so
// that the last stages leave minTrialPart of the limit to the trial.
func (m *Move) scaled(d time.Duration) time.Duration {
	longest := time.Duration((1 - minTrialPart) * float64(m.timeLimit))
	if longest < halfShareBefore {
		return time.Duration(float64(d) * float64(longest) / float64(halfShareBefore))
	}
	return d
}
