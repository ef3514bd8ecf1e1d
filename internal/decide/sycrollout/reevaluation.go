package sycrollout

import "time"

// At the traffic share 1 the predecessor gets no requests, and its earlier durations say
// little once the load or the machines have changed. A version that seems slow compared with
// them is therefore not rolled back at once. It is re-evaluated side by side: the predecessor
// gets most of the requests again, and both versions are compared over the same time.

const (
	// reevaluationShare is the candidate's traffic share during a re-evaluation.
	reevaluationShare = 0.1
	// reevaluationDelay is the time after the beginning of a re-evaluation in which
	// nothing is counted for it. The other VMs begin theirs in this time, and still
	// report earlier requests.
	reevaluationDelay = 1500 * time.Millisecond
)

// reevaluation is the state of a stage's re-evaluations. A re-evaluation compares a
// version side by side with its predecessor, after the version seemed slow at the
// traffic share 1.
type reevaluation struct {
	// reason says why the present re-evaluation began. It is empty if there is none.
	reason string
	// startedAt is when the present re-evaluation began.
	startedAt time.Duration
	// baseline holds the sums after reevaluationDelay, from which on requests count for
	// the re-evaluation. It is nil until then.
	baseline Totals
	// reference holds the sums at the last re-evaluation's baseline. At the traffic
	// share 1 the version's durations are compared with those of the predecessor that
	// were counted after it. While it is nil, before the first re-evaluation's baseline,
	// all of the predecessor's durations are used.
	reference Totals
	// passedTotals holds the sums when the version last passed a re-evaluation, or at
	// the beginning of the stage if that is later. Earlier durations are not evaluated
	// again. It is nil before the first pass.
	passedTotals Totals
	// passedAt is when the version last passed a re-evaluation.
	passedAt time.Duration
}

// judgeDurations evaluates the durations of a version at the traffic share 1. It begins
// a re-evaluation if the version seems slow, or continues the present re-evaluation.
func (s *Stage) judgeDurations(now time.Duration, ledger *Ledger, sum Totals, sinceBegin *Verdict) {
	switch {
	case !s.Reevaluating():
		s.Reevaluate(now, ledger, s.suspectedSlow(now, ledger, sum))
	case s.reevaluation.baseline != nil:
		s.judgeReevaluation(now, sum, sinceBegin)
	case now-s.reevaluation.startedAt >= reevaluationDelay:
		s.reevaluation.baseline, s.reevaluation.reference = sum, sum
	}
}

// judgeReevaluation ends the re-evaluation as soon as the version has failed it or
// minRequests of its first tokens were compared without a failure.
func (s *Stage) judgeReevaluation(now time.Duration, sum Totals, sinceBegin *Verdict) {
	v := compare(sum.Since(s.reevaluation.baseline), s.candidate, s.predecessor, criteria{deviations: reevaluationDeviations})
	switch {
	case v.Failed:
		sinceBegin.Failed, sinceBegin.Reason = true, v.Reason
	case v.ComparedFirstTokens >= minRequests:
		s.reevaluation.reason = ""
		s.reevaluation.passedTotals, s.reevaluation.passedAt = sum, now
	}
}

// Reevaluate begins a re-evaluation for a reason, if the traffic share is 1 and no
// other re-evaluation is unfinished. It does nothing if the reason is empty.
func (s *Stage) Reevaluate(now time.Duration, ledger *Ledger, reason string) {
	if reason == "" || s.Reevaluating() || s.share < 1 {
		return
	}
	s.reevaluation.reason, s.reevaluation.startedAt, s.reevaluation.baseline = reason, now, nil
	ledger.ignorePendingTimes()
}

// Reevaluating reports whether a re-evaluation has begun and is unfinished.
func (s *Stage) Reevaluating() bool { return s.reevaluation.reason != "" }

// suspicion is a span of recent evidence by which a version may be suspected to be slow, and
// the deviations for it.
type suspicion struct {
	window     time.Duration
	deviations float64
}

// suspicions are the spans of recent evidence by which a version may be suspected.
var suspicions = [...]suspicion{
	{Window, suspectedDeviations},
	{ShortWindow, suspectedDeviations},
	{newestWindow, newestDeviations},
}

// suspectedSlow says why the version seems slow compared with the predecessor's earlier
// durations. It returns an empty text if the version doesn't.
func (s *Stage) suspectedSlow(now time.Duration, ledger *Ledger, sum Totals) string {
	since := s.baseline
	if s.reevaluation.passedTotals != nil {
		since = s.reevaluation.passedTotals
	}
	earlier := sum.Since(s.reevaluation.reference)
	reason := s.slowReason(sum.Since(since), earlier, suspectedDeviations)
	for _, by := range suspicions {
		if reason != "" {
			break
		}
		if s.reevaluation.passedTotals == nil || now-s.reevaluation.passedAt > by.window+readingPeriod {
			reason = s.slowReason(ledger.Recent(sum, now, by.window), earlier, by.deviations)
		}
	}
	return reason
}

// slowReason says why the version seems slow by its durations in t, compared with the
// predecessor's in earlier. It returns an empty text if the version doesn't.
func (s *Stage) slowReason(t, earlier Totals, deviations float64) string {
	s.addPredecessor(t, earlier)
	return compare(t, s.candidate, s.predecessor, criteria{slack: earlierReferenceSlack, deviations: deviations}).Reason
}
