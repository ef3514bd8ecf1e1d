package sycpoll

import (
	"slices"
	"time"
)

// PollResult says what the caller must do after an own poll.
type PollResult struct {
	// Apply is set if the report is the newest and the caller must apply it.
	Apply bool
	// Silent is set if the engine has left several polls in a row unanswered. A
	// warning from another VM counts as one of them.
	Silent bool
	// Warn is set if the caller must warn the other VMs that this VM can't reach the
	// engine, so that they poll it at once.
	Warn bool
}

// Ended records the outcome of an own poll that Due requested. The report r is used
// if the outcome is Answered.
func (p *Plan) Ended(_ time.Duration, name string, o Outcome, r Report) PollResult {
	e := p.find(name)
	if e == nil || !e.polling {
		return PollResult{}
	}
	e.polling = false
	if o == Answered {
		e.unreachable = false
		e.failures = 0
		e.answers = min(e.answers+1, firstPolls)
		if e.overtaken(r) {
			return PollResult{}
		}
		e.apply(e.pollBegan, r)
		return PollResult{Apply: true}
	}
	v := PollResult{Warn: !e.unreachable}
	e.unreachable = true
	if o == Unanswered {
		e.failures = min(e.failures+1, silentPolls)
		v.Silent = e.failures >= silentPolls
	}
	return v
}

// apply stores the newest report, whose poll began at the given time.
func (e *engine) apply(at time.Duration, r Report) {
	if e.reported && e.newest.Incarnation != r.Incarnation {
		e.former = append(e.former, e.newest.Incarnation)
		e.former = e.former[max(len(e.former)-maxFormer, 0):]
	}
	e.reported = true
	e.newest = r
	e.newestAt = at
}

// overtaken reports whether a newer report than r, the answer to the own poll, came
// from another VM during the poll.
func (e *engine) overtaken(r Report) bool {
	if slices.Contains(e.former, r.Incarnation) {
		return true
	}
	return e.reported && e.pollBegan <= e.newestAt && r.Incarnation == e.newest.Incarnation && r.AsOf < e.newest.AsOf
}

// ApplyReport stores a report that another VM polled, and whose age is the time since
// that poll. It returns false if the report is ignored: because it is not newer than
// the newest one, or because this VM can't reach the engine itself.
func (p *Plan) ApplyReport(now time.Duration, name string, age time.Duration, r Report) bool {
	e := p.find(name)
	if e == nil || e.unreachable || age < 0 || !e.newer(now-age, r) {
		return false
	}
	e.apply(max(now-age, e.newestAt), r)
	return true
}

// newer reports whether r, polled at the given time, is newer than the newest report.
// Reports of the same incarnation are ordered by the engine's clock, other reports by
// the time of the poll.
func (e *engine) newer(at time.Duration, r Report) bool {
	switch {
	case !e.reported:
		return true
	case r.Incarnation == e.newest.Incarnation:
		return r.AsOf > e.newest.AsOf
	case slices.Contains(e.former, r.Incarnation):
		return false
	default:
		return at > e.newestAt
	}
}

// PollSoon makes an own poll of the engine due at once. The caller uses it when it
// doubts its report of the engine, for example after a connection to the engine broke.
// It does nothing while the last own poll of the engine has failed.
func (p *Plan) PollSoon(name string) {
	if e := p.find(name); e != nil && !e.unreachable {
		e.pollSoon = true
	}
}

// ApplyWarning records another VM's warning that it can't reach the engine. It makes an
// own poll due at once. The warning counts as one unanswered poll, so the engine counts as
// silent if the next own poll is unanswered too. Further warnings before an own poll is
// answered don't add to the count. ApplyWarning does nothing while the last own poll of the
// engine has failed, whether it was refused or unanswered.
func (p *Plan) ApplyWarning(name string) {
	if e := p.find(name); e != nil && !e.unreachable {
		e.pollSoon = true
		e.failures = max(e.failures, silentPolls-1)
	}
}
