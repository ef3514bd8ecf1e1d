// Package sycattempt decides what follows a failed attempt.
//
// An attempt is one try to have a request served by one endpoint. After a failure the
// request is tried at another endpoint, its stream of tokens is resumed, or it ends with
// an error that says whether the request may have run. Retry budgets limit the load that
// retries add.
//
// The package has no clock and does no I/O: the caller passes the time, as a duration
// since a fixed start on its monotonic clock, and the failures.
package sycattempt

import (
	"math/rand/v2"
	"time"
)

// Kind says how often a request may run, and whether its answer can be resumed.
type Kind int

// Kinds of requests.
const (
	// Generation is a request to an engine for a stream of tokens. It may be tried again
	// until the first byte of the answer went to the caller. After that the stream is
	// resumed from the last token received.
	Generation Kind = iota
	// Repeatable is a request that may run any number of times.
	Repeatable
	// AtMostOnce is a request that must not run a second time.
	AtMostOnce
)

// Event is the way in which an attempt failed.
type Event int

// Failures of attempts.
const (
	// Unsent means that no byte of this attempt can have reached an endpoint.
	Unsent Event = iota
	// Refused means that the endpoint answered that it did not run the request, and that
	// this answer can be trusted.
	Refused
	// Broken means that the connection broke or the answer was malformed. The endpoint
	// may still have the request's work, so that it can be resumed there.
	Broken
	// Lost means that the request may have run at the endpoint, and that the endpoint
	// can't resume it.
	Lost
	// NoTarget means that no endpoint could be selected for the next attempt.
	NoTarget
	// Cancelled means that the caller ended the request.
	Cancelled
	// Expired means that the request's deadline has passed.
	Expired
)

// Step is what the caller of Plan.Decide must do after a failed attempt.
type Step int

// Steps after a failed attempt.
const (
	// GiveUp ends the request with an error. Action.NotRun says whether the error can
	// promise that the request did not run.
	GiveUp Step = iota
	// TryOther starts an attempt at another endpoint. The answer continues after the last
	// token received. The first attempt of a request counts as this step too.
	TryOther
	// Resume asks the same endpoint for the rest of the answer.
	Resume
	// Restart discards the tokens received and starts an attempt from the beginning, for
	// which any endpoint may be selected.
	Restart
)

// Action is the decision about a request after a failed attempt.
type Action struct {
	// Step is what to do.
	Step Step
	// Wait is the time to wait before the step.
	Wait time.Duration
	// NotRun is set, with GiveUp only, if the request certainly did not run anywhere.
	NotRun bool
}

// Settings limits the attempts of one request.
type Settings struct {
	// MaxFailures limits the failures of endpoints since the last token was received. A
	// failure to resume at the same endpoint doesn't count.
	MaxFailures int
	// MaxAttempts limits all attempts of the request.
	MaxAttempts int
	// MaxResumes limits how often in a row one endpoint is asked to resume, so that
	// another endpoint is tried if this one breaks off again and again.
	MaxResumes int
	// BaseWait limits the wait before the first retry. The limit doubles with each
	// failure, up to MaxWait, and the wait is drawn evenly from zero to the limit.
	BaseWait time.Duration
	// MaxWait limits the wait before any retry.
	MaxWait time.Duration
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{MaxFailures: 8, MaxAttempts: 24, MaxResumes: 3, BaseWait: 20 * time.Millisecond, MaxWait: 200 * time.Millisecond}
}

// maxDoublings limits how often BaseWait is doubled, so that it can't overflow.
const maxDoublings = 16

// Plan holds the state of one request's attempts. It is not safe for concurrent use.
type Plan struct {
	kind     Kind
	settings Settings
	// deadline is when the request must have ended.
	deadline time.Duration
	// random draws the waits before retries.
	random *rand.Rand
	// failures counts the failures since the last token was received, without failures
	// to resume at the same endpoint.
	failures int
	// attempts counts all failed attempts.
	attempts int
	// mayHaveRun is set once an attempt may have run; it is never cleared.
	mayHaveRun bool
	// delivered is set once a byte of the answer went to the caller.
	delivered bool
	// position is the number of tokens received; it decreases only on Restart.
	position int
	// resuming is set if the last step was Resume and no token was received since.
	resuming bool
	// resumes counts how often the current endpoint was asked to resume.
	resumes int
}

// New returns the plan of a request that must end by the deadline. The seed determines
// the random waits.
func New(kind Kind, seed uint64, deadline time.Duration, s Settings) *Plan {
	return &Plan{
		kind:     kind,
		settings: s,
		deadline: deadline,
		random:   rand.New(rand.NewPCG(seed, uint64(kind))),
	}
}

// Progress records the number of tokens received so far.
func (p *Plan) Progress(position int) {
	if position <= p.position {
		return
	}
	p.position = position
	p.mayHaveRun = true
	p.failures = 0
	p.resuming = false
}

// Delivered records that a byte of the answer went to the caller.
func (p *Plan) Delivered() {
	p.delivered = true
	p.mayHaveRun = true
}

// RecordFailure records that the request may have run, if the failure e allows that.
// Decide calls it too, so it is only needed for a failure after which nothing is decided.
func (p *Plan) RecordFailure(e Event) {
	if e == Broken || e == Lost {
		p.mayHaveRun = true
	}
}

// NotRun reports whether the request certainly did not run anywhere so far.
func (p *Plan) NotRun() bool { return !p.mayHaveRun }

// Decide returns what follows an attempt that failed at the time now. If the next step
// is a retry that adds load, Decide calls spend, and gives up if spend returns false
// because a retry budget is used up.
func (p *Plan) Decide(now time.Duration, e Event, spend func() bool) Action {
	p.RecordFailure(e)
	if !p.resuming {
		p.failures++
	}
	p.attempts++
	step := p.step(e)
	if step == GiveUp || p.exhausted() {
		return p.giveUp()
	}
	if p.addsLoad(e, step) && !spend() {
		return p.giveUp()
	}
	wait := p.wait(step)
	if now+wait >= p.deadline {
		return p.giveUp()
	}
	p.enter(step)
	return Action{Step: step, Wait: wait}
}

// step returns the step that the kind of the request and the failure call for, before
// limits and budgets are applied.
func (p *Plan) step(e Event) Step {
	switch e {
	case Cancelled, Expired:
		return GiveUp
	case NoTarget:
		return p.restartOrGiveUp()
	case Unsent, Refused:
		return p.tryOther()
	}
	switch p.kind {
	case Generation:
		if e == Broken && !p.resuming && p.resumes < p.settings.MaxResumes {
			return Resume
		}
		return TryOther
	case Repeatable:
		return p.tryOther()
	}
	return GiveUp
}

// tryOther returns the step after a failure for which another endpoint may run the
// request from its start. An answer that the caller has a part of can't be replaced,
// unless it is a generation, which is resumed.
func (p *Plan) tryOther() Step {
	if p.kind != Generation && p.delivered {
		return GiveUp
	}
	return TryOther
}

// restartOrGiveUp returns the step if no endpoint can resume the request. A partial answer
// of which the caller has received nothing is discarded, because an engine with other
// weights may serve the request from its start.
func (p *Plan) restartOrGiveUp() Step {
	if p.kind == Generation && p.position > 0 && !p.delivered {
		return Restart
	}
	return GiveUp
}

// exhausted reports whether the limits on failures or attempts are reached.
func (p *Plan) exhausted() bool {
	return p.failures >= p.settings.MaxFailures || p.attempts >= p.settings.MaxAttempts
}

// addsLoad reports whether a step makes an endpoint do work a second time. A step that
// resumes an answer, or follows an attempt that was never sent, does not.
func (p *Plan) addsLoad(e Event, step Step) bool {
	if step == Resume || e == Unsent {
		return false
	}
	return p.position == 0
}

// wait returns the time to wait before a step.
func (p *Plan) wait(step Step) time.Duration {
	if step == Resume {
		return 0
	}
	limit := p.settings.BaseWait << min(p.failures-1, maxDoublings)
	limit = min(limit, p.settings.MaxWait)
	return time.Duration(p.random.Int64N(int64(limit) + 1))
}

// enter updates the state for the step that follows.
func (p *Plan) enter(step Step) {
	p.resuming = step == Resume
	if p.resuming {
		p.resumes++
		return
	}
	p.resumes = 0
	if step == Restart {
		p.position = 0
	}
}

// giveUp returns the action that ends the request.
func (p *Plan) giveUp() Action {
	return Action{Step: GiveUp, NotRun: !p.mayHaveRun}
}
