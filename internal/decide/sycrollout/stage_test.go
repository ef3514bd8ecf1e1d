package sycrollout_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
)

const (
	canaryTime = 20 * time.Second
	stepTime   = 20 * time.Second
	// runTime is the length of a run, most of which comes after the last step.
	runTime = 2 * time.Minute
	// canaryPart gives the new version one request in so many at the canary.
	canaryPart = 10
)

// rollout sends requests through a canary, a step at the full share and the
// probation. It returns when the version was found bad, 0 if it never was, and
// how many requests it got from the time of the fault on.
func (tr *traffic) rollout(fault, gap time.Duration) (found time.Duration, exposed int) {
	stage := sycrollout.NewStage(newVersion, oldVersion, 1.0/canaryPart, tr.ledger.Sum())
	const judgeEvery = 2 * tick
	for at := time.Duration(0); at < runTime; at += gap {
		switch at {
		case canaryTime, canaryTime + stepTime:
			stage = sycrollout.NewStage(newVersion, oldVersion, 1, tr.ledger.Sum())
		}
		subject := newVersion
		if at < canaryTime && tr.rng.IntN(canaryPart) > 0 {
			subject = oldVersion
		}
		tr.request(at, subject)
		if subject == newVersion && at >= fault {
			exposed++
		}
		if at%judgeEvery != 0 {
			continue
		}
		stageVerdict, lately := stage.Judge(at, tr.ledger)
		if stageVerdict.Bad || lately.Bad {
			return at, exposed
		}
	}
	return 0, exposed
}

func TestLateFaultIsFound(t *testing.T) {
	t.Parallel()
	times := []struct {
		name  string
		fault time.Duration
	}{
		{"at the last step", canaryTime + time.Second},
		{"late in the last step", canaryTime + stepTime - time.Second},
		{"just after done", canaryTime + stepTime + time.Second},
		{"long after done", 100 * time.Second},
	}
	faults := []struct {
		name string
		bend func(s *sycrollout.Sample, chance float64)
	}{
		{"fails", func(s *sycrollout.Sample, _ float64) { s.Failed = true }},
		{"fails one in three", func(s *sycrollout.Sample, chance float64) { s.Failed = s.Failed || chance < 0.33 }},
		{"slow", func(s *sycrollout.Sample, _ float64) { s.FirstToken *= 5 }},
		{"tokens far apart", func(s *sycrollout.Sample, _ float64) { s.BetweenTokens *= 3 }},
	}
	for _, when := range times {
		for _, what := range faults {
			t.Run(what.name+" "+when.name, func(t *testing.T) {
				t.Parallel()
				most := 0
				for seed := range uint64(10) {
					tr := newTraffic(seed)
					tr.bend = func(at time.Duration, _ sycrollout.Cell, s *sycrollout.Sample, chance float64) {
						if at >= when.fault {
							what.bend(s, chance)
						}
					}
					found, exposed := tr.rollout(when.fault, time.Minute/perMinute)
					t.Logf("seed %d: found after %s, %d requests", seed, found-when.fault, exposed)
					must.Greater(t, when.fault, found, must.Sprintf("seed %d: %d requests", seed, exposed))
					most = max(most, exposed)
				}
				must.LessEq(t, mostExposed, most)
			})
		}
	}
}

// TestLoadRisesAfterDone makes answers longer by as much as the load can within
// a class: the predecessor would have been as slow.
func TestLoadRisesAfterDone(t *testing.T) {
	t.Parallel()
	const rise = 1.45
	for seed := range uint64(20) {
		tr := newTraffic(seed)
		tr.bend = func(at time.Duration, _ sycrollout.Cell, s *sycrollout.Sample, _ float64) {
			if at > canaryTime+stepTime {
				s.FirstToken = time.Duration(float64(s.FirstToken) * rise)
				s.BetweenTokens = time.Duration(float64(s.BetweenTokens) * rise)
			}
		}
		found, _ := tr.rollout(0, time.Minute/perMinute)
		must.Zero(t, found, must.Sprintf("seed %d", seed))
	}
}

func TestGoodVersionIsKeptAfterDone(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		gap  time.Duration
	}{
		{"20 requests a second", time.Second / 20},
		{"2 requests a second", time.Second / 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			bad := 0
			for seed := range uint64(60) {
				found, _ := newTraffic(seed).rollout(0, tt.gap)
				if found > 0 {
					bad++
				}
			}
			must.Zero(t, bad)
		})
	}
}
