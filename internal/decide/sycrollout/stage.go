package sycrollout

import "time"

// Stage judges a version in one stage of its rollout.
type Stage struct {
	candidate   Subject
	predecessor Subject
	share       float64
	// baseline holds the counts from before the stage.
	baseline Totals
	// trial is used at the full share only.
	trial trial
}

// NewStage begins a stage with the counts so far; share is the version's share
// of the traffic in it.
func NewStage(candidate, predecessor Subject, share float64, sum Totals) *Stage {
	return &Stage{
		candidate:   candidate,
		predecessor: predecessor,
		share:       share,
		baseline:    sum,
	}
}

// Next begins a further stage at the same share.
func (s *Stage) Next(sum Totals) *Stage {
	next := *s
	next.baseline = sum
	if next.trial.passed != nil {
		next.trial.passed = sum
	}
	return &next
}

// Share is the version's share of the traffic at present.
func (s *Stage) Share() float64 {
	if s.Reevaluating() {
		return trialShare
	}
	return s.share
}

// Judge compares the versions and returns the verdicts on the whole stage and
// on its last seconds.
func (s *Stage) Judge(now time.Duration, ledger *Ledger) (whole, lately Verdict) {
	ledger.countLate(now, s.candidate, s.predecessor, s.trial.reference)
	ledger.TakeReading(now)
	sum := ledger.Sum()
	by := measure{confidence: confidence, failures: true}
	if s.share >= 1 {
		by.confidence = 0
	}
	whole = s.compare(sum.Since(s.baseline), sum, by)
	for _, window := range []time.Duration{Window, ShortWindow} {
		lately = s.compare(ledger.Recent(sum, now, window), sum, by)
		if lately.Failed {
			break
		}
	}
	if s.share >= 1 && !whole.Failed && !lately.Failed {
		s.judgeTimes(now, ledger, sum, &whole)
	}
	whole.ReevaluationReason = s.trial.doubt
	return whole, lately
}

func (s *Stage) compare(t, sum Totals, by measure) Verdict {
	if s.share >= 1 {
		s.refer(t, sum)
	}
	return compare(t, s.candidate, s.predecessor, by)
}

// refer puts the predecessor's counts of earlier times into t: at the full share it gets no
// more requests that the version's could be compared with.
func (s *Stage) refer(t, earlier Totals) {
	for cell, counts := range earlier {
		if cell.subject() == s.predecessor {
			t[cell] = counts
		}
	}
}
