package sycrollout

import "time"

// Stage judges a version in one stage of its rollout.
type Stage struct {
	candidate   Subject
	predecessor Subject
	share       float64
	// baseline holds the counts from before the stage.
	baseline Totals
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

// Judge compares the versions and returns the verdicts on the whole stage and
// on its last seconds.
func (s *Stage) Judge(now time.Duration, ledger *Ledger) (whole, lately Verdict) {
	ledger.countLate(now, s.candidate, s.predecessor)
	ledger.Read(now)
	sum := ledger.Sum()
	whole = s.compare(sum.Since(s.baseline), sum)
	for _, window := range []time.Duration{Window, ShortWindow} {
		lately = s.compare(ledger.Recent(sum, now, window), sum)
		if lately.Bad {
			break
		}
	}
	return whole, lately
}

func (s *Stage) compare(t, sum Totals) Verdict {
	if s.share < 1 {
		return Compare(t, s.candidate, s.predecessor)
	}
	s.refer(t, sum)
	return compare(t, s.candidate, s.predecessor, laterSlack)
}

// refer puts all counts of the predecessor into t: at the full share it gets no
// more requests that the version's could be compared with.
func (s *Stage) refer(t, sum Totals) {
	for cell, counts := range sum {
		if (Subject{cell.Version, cell.Generation}) == s.predecessor {
			t[cell] = counts
		}
	}
}
