package sycrollout

import "time"

// Stage compares a version with its predecessor in one stage of its rollout, a period
// with one traffic share.
type Stage struct {
	// candidate is the version whose rollout has the stage, predecessor the one that it
	// replaces.
	candidate   Subject
	predecessor Subject
	// share is the candidate's traffic share in the stage, 0 to 1.
	share float64
	// baseline holds the sums over all VMs at the beginning of the stage.
	baseline Totals
	// reevaluation is the side-by-side comparison at the traffic share 1. It isn't used
	// at smaller shares.
	reevaluation reevaluation
}

// NewStage begins a stage in which the candidate gets a traffic share. The sum is that
// over all VMs at present.
func NewStage(candidate, predecessor Subject, share float64, sum Totals) *Stage {
	return &Stage{
		candidate:   candidate,
		predecessor: predecessor,
		share:       share,
		baseline:    sum,
	}
}

// Next returns a further stage at the same traffic share, such as the probation after the
// last stage. It takes over an unfinished re-evaluation.
func (s *Stage) Next(sum Totals) *Stage {
	next := *s
	next.baseline = sum
	if next.reevaluation.passedTotals != nil {
		next.reevaluation.passedTotals = sum
	}
	return &next
}

// Share returns the candidate's present traffic share, which is lower during a
// re-evaluation than in the rest of the stage.
func (s *Stage) Share() float64 {
	if s.Reevaluating() {
		return reevaluationShare
	}
	return s.share
}

// Judge compares the versions. It returns the verdict on the time since the stage began
// and a recent verdict, which is on the last Window or, if that shows no fault, on the
// last ShortWindow.
func (s *Stage) Judge(now time.Duration, ledger *Ledger) (sinceBegin, recent Verdict) {
	ledger.countLateFirstTokens(now, s.candidate, s.predecessor, s.reevaluation.reference)
	ledger.TakeReading(now)
	sum := ledger.Sum()
	by := criteria{deviations: failedDeviations, failures: true}
	if s.share >= 1 {
		by.deviations = 0
	}
	sinceBegin = s.compare(sum.Since(s.baseline), sum, by)
	for _, window := range []time.Duration{Window, ShortWindow} {
		recent = s.compare(ledger.Recent(sum, now, window), sum, by)
		if recent.Failed {
			break
		}
	}
	if s.share >= 1 && !sinceBegin.Failed && !recent.Failed {
		s.judgeDurations(now, ledger, sum, &sinceBegin)
	}
	sinceBegin.ReevaluationReason = s.reevaluation.reason
	return sinceBegin, recent
}

// compare gives the verdict on the counts in t, which were added in the time that is
// judged. sum holds all counts of the ledger. At the traffic share 1 the predecessor's
// counts are taken from sum in place of t. by sets what the versions are compared by.
func (s *Stage) compare(t, sum Totals, by criteria) Verdict {
	if s.share >= 1 {
		s.addPredecessor(t, sum)
	}
	return compare(t, s.candidate, s.predecessor, by)
}

// addPredecessor copies the predecessor's earlier counts to t. At the traffic share 1
// the predecessor gets no more requests that the candidate's could be compared with.
func (s *Stage) addPredecessor(t, earlier Totals) {
	for cell, counts := range earlier {
		if cell.subject() == s.predecessor {
			t[cell] = counts
		}
	}
}
