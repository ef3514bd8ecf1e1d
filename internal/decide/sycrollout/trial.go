package sycrollout

import "time"

// At the full share the predecessor gets no requests, and what it took earlier says little
// once the load or the machines have changed. A version that seems slow against it is
// therefore not taken back at once: its predecessor gets most of the requests again, and both
// are compared side by side.

const (
	// trialShare is a version's share of the traffic in a trial.
	trialShare = 0.1
	// trialSettles is how long after its begin a trial counts nothing: the others begin
	// theirs, and tell of requests from before.
	trialSettles = 1500 * time.Millisecond
)

// trial compares a version side by side that seemed slow at the full share.
type trial struct {
	// doubt says why there is one under way; it is empty for none.
	doubt string
	since time.Duration
	// baseline holds the counts from before the trial; it is nil until they have settled.
	baseline Totals
	// reference holds the counts from before the last trial: the predecessor's since then
	// are what times at the full share are compared with. It is nil before the first.
	reference Totals
	// passed holds the counts until the last trial that was passed, at the time passedAt;
	// times from before are not judged again. It is nil before the first.
	passed   Totals
	passedAt time.Duration
}

// judgeTimes judges the times of a version at the full share.
func (s *Stage) judgeTimes(now time.Duration, ledger *Ledger, sum Totals, whole *Verdict) {
	switch {
	case !s.Reevaluating():
		s.Reevaluate(now, ledger, s.seemsSlow(now, ledger, sum))
	case s.trial.baseline != nil:
		s.judgeTrial(now, sum, whole)
	case now-s.trial.since >= trialSettles:
		s.trial.baseline, s.trial.reference = sum, sum
	}
}

// judgeTrial ends the trial as soon as it has shown enough.
func (s *Stage) judgeTrial(now time.Duration, sum Totals, whole *Verdict) {
	v := compare(sum.Since(s.trial.baseline), s.candidate, s.predecessor, measure{confidence: trialConfidence})
	switch {
	case v.Failed:
		whole.Failed, whole.Reason = true, v.Reason
	case v.Timed >= minRequests:
		s.trial.doubt = ""
		s.trial.passed, s.trial.passedAt = sum, now
	}
}

// Reevaluate begins a trial for a reason, if the version has all requests.
func (s *Stage) Reevaluate(now time.Duration, ledger *Ledger, reason string) {
	if reason == "" || s.Reevaluating() || s.share < 1 {
		return
	}
	s.trial.doubt, s.trial.since, s.trial.baseline = reason, now, nil
	ledger.untime()
}

// Reevaluating reports whether a trial is under way.
func (s *Stage) Reevaluating() bool { return s.trial.doubt != "" }

// seemsSlow says why the version seems slow against its predecessor's earlier times; empty
// if it doesn't.
func (s *Stage) seemsSlow(now time.Duration, ledger *Ledger, sum Totals) string {
	by := measure{slack: laterSlack, confidence: doubtConfidence}
	since := s.baseline
	if s.trial.passed != nil {
		since = s.trial.passed
	}
	spans := []Totals{sum.Since(since)}
	for _, window := range []time.Duration{Window, ShortWindow} {
		if s.trial.passed == nil || now-s.trial.passedAt > window+readingPeriod {
			spans = append(spans, ledger.Recent(sum, now, window))
		}
	}
	earlier := sum.Since(s.trial.reference)
	for _, t := range spans {
		s.refer(t, earlier)
		if v := compare(t, s.candidate, s.predecessor, by); v.Failed {
			return v.Reason
		}
	}
	return ""
}
