// Package sycattempt decides what follows a failed attempt: another one, a
// resumed stream, or a final answer that says truthfully whether the request
// may have run.
package sycattempt

import (
	"math/rand/v2"
	"time"
)

// Kind says how often a request may run.
type Kind int

// Kinds of requests.
const (
	// Generation may be tried again until its first byte went to the caller,
	// and is resumed after that.
	Generation Kind = iota
	// Repeatable may run any number of times.
	Repeatable
	// AtMostOnce may run at most once.
	AtMostOnce
)

// Event is how an attempt failed.
type Event int

// Events of attempts.
const (
	// Unsent means that no byte of this attempt can have reached an endpoint.
	Unsent Event = iota
	// Refused means that an endpoint trusted to know says that it ran nothing.
	Refused
	// Broken means that the connection or its answer failed; the endpoint may
	// still have the work.
	Broken
	// Lost means that the work may have run and that the endpoint can't go on with it.
	Lost
	// NoTarget means that no endpoint could be chosen for the next attempt.
	NoTarget
	// Cancelled means that the caller went away.
	Cancelled
	// Expired means that the deadline has passed.
	Expired
)

// Step is what to do next.
type Step int

// Steps after a failed attempt.
const (
	// GiveUp ends the request with Action.NotRun or an unknown outcome.
	GiveUp Step = iota
	// TryOther starts an attempt at another endpoint, from the position
	// reached so far.
	TryOther
	// Resume asks the same endpoint for the rest.
	Resume
	// Restart drops what was received and starts again with a free choice.
	Restart
)

// Action is a decision.
type Action struct {
	Step Step
	// Wait is the time to let pass before the step.
	Wait time.Duration
	// NotRun is set on GiveUp when the request certainly ran nowhere.
	NotRun bool
}

// Settings bounds the attempts of one request.
type Settings struct {
	// MaxFailures bounds the endpoints tried without progress between them.
	MaxFailures int
	// MaxAttempts bounds all attempts.
	MaxAttempts int
	// MaxResumes bounds how often one endpoint is asked to resume, so that an
	// endpoint that breaks off again and again is left.
	MaxResumes int
	// BaseWait and Max bound the wait, which grows twofold with each try and is
	// drawn evenly from zero to its bound.
	BaseWait time.Duration
	MaxWait  time.Duration
}

// Defaults returns the settings in use.
func Defaults() Settings {
	return Settings{MaxFailures: 8, MaxAttempts: 24, MaxResumes: 3, BaseWait: 20 * time.Millisecond, MaxWait: 200 * time.Millisecond}
}

// Plan follows one request. It is not safe for use by several goroutines.
type Plan struct {
	kind     Kind
	settings Settings
	deadline time.Duration
	random   *rand.Rand
	// tries counts the endpoints that failed since the last progress, total counts
	// all attempts.
	tries int
	total int
	// reached is set once any attempt may have run; it is never cleared.
	reached bool
	// delivered is set once a byte of the answer went to the caller.
	delivered bool
	// position is the number of tokens received; it decreases only on Restart.
	position int
	// resumed is set while the present endpoint was already asked to resume
	// without progress since, and resumes counts how often it was asked.
	resumed bool
	resumes int
}

// New returns the plan of a request that must end by the deadline.
func New(kind Kind, seed uint64, deadline time.Duration, s Settings) *Plan {
	return &Plan{
		kind:     kind,
		settings: s,
		deadline: deadline,
		random:   rand.New(rand.NewPCG(seed, uint64(kind))),
	}
}

// Progress tells how many tokens have been received.
func (p *Plan) Progress(position int) {
	if position <= p.position {
		return
	}
	p.position = position
	p.reached = true
	p.tries = 0
	p.resumed = false
}

// Delivered tells that a byte of the answer went to the caller.
func (p *Plan) Delivered() {
	p.delivered = true
	p.reached = true
}

// RecordFailure takes in what a failure says about whether the request ran.
func (p *Plan) RecordFailure(e Event) {
	if e == Broken || e == Lost {
		p.reached = true
	}
}

// NotRun reports whether the request certainly ran nowhere so far.
func (p *Plan) NotRun() bool { return !p.reached }

// Decide decides what follows a failed attempt. It calls spend for a retry that
// adds load, and gives up where spend refuses.
func (p *Plan) Decide(now time.Duration, e Event, spend func() bool) Action {
	p.RecordFailure(e)
	if !p.resumed {
		p.tries++
	}
	p.total++
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

func (p *Plan) step(e Event) Step {
	switch e {
	case Cancelled, Expired:
		return GiveUp
	case NoTarget:
		return p.withoutTarget()
	case Unsent, Refused:
		return p.elsewhere()
	}
	switch p.kind {
	case Generation:
		if e == Broken && !p.resumed && p.resumes < p.settings.MaxResumes {
			return Resume
		}
		return TryOther
	case Repeatable:
		return p.elsewhere()
	}
	return GiveUp
}

// elsewhere is for failures that left nothing behind at the endpoint.
func (p *Plan) elsewhere() Step {
	if p.kind != Generation && p.delivered {
		return GiveUp
	}
	return TryOther
}

// withoutTarget drops a partial answer that nobody has seen, since other
// weights may serve the request from its start.
func (p *Plan) withoutTarget() Step {
	if p.kind == Generation && p.position > 0 && !p.delivered {
		return Restart
	}
	return GiveUp
}

func (p *Plan) exhausted() bool {
	return p.tries >= p.settings.MaxFailures || p.total >= p.settings.MaxAttempts
}

// addsLoad tells retries that an endpoint does work for a second time from
// those that only move the first work, or carry on with it.
func (p *Plan) addsLoad(e Event, step Step) bool {
	if step == Resume || e == Unsent {
		return false
	}
	return p.position == 0
}

func (p *Plan) wait(step Step) time.Duration {
	if step == Resume {
		return 0
	}
	bound := p.settings.BaseWait << min(p.tries-1, 16)
	bound = min(bound, p.settings.MaxWait)
	return time.Duration(p.random.Int64N(int64(bound) + 1))
}

func (p *Plan) enter(step Step) {
	p.resumed = step == Resume
	if p.resumed {
		p.resumes++
		return
	}
	p.resumes = 0
	if step == Restart {
		p.position = 0
	}
}

func (p *Plan) giveUp() Action {
	return Action{Step: GiveUp, NotRun: !p.reached}
}
