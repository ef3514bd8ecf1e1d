package sycrollout_test

import (
	"fmt"
	"math"
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
		case canaryTime:
			stage = sycrollout.NewStage(newVersion, oldVersion, 1, tr.ledger.Sum())
		case canaryTime + stepTime:
			stage = stage.Next(tr.ledger.Sum())
		}
		subject := newVersion
		if share := stage.Share(); share < 1 && tr.rng.IntN(int(math.Round(1/share))) > 0 {
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
		if stageVerdict.Failed || lately.Failed {
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
				stretch(s, rise, rise)
			}
		}
		found, _ := tr.rollout(0, time.Minute/perMinute)
		must.Zero(t, found, must.Sprintf("seed %d", seed))
	}
}

// TestMachineSlowsAfterDone makes all answers longer by so much that the version seems bad
// against its predecessor's earlier ones, once and for good or now and then: it is kept if
// its predecessor's are as long now, and found if it is slow beside them.
func TestMachineSlowsAfterDone(t *testing.T) {
	t.Parallel()
	const factor = 6
	machines := []struct {
		name  string
		slows func(at time.Duration) float64
	}{
		{"for good", func(time.Duration) float64 { return factor }},
		{"now and then", func(at time.Duration) float64 {
			if at/(5*time.Second)%3 == 0 {
				return factor
			}
			return 1
		}},
	}
	for _, m := range machines {
		for _, bad := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, bad %t", m.name, bad), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(20) {
					tr := newTraffic(seed)
					tr.machine = func(at time.Duration) float64 {
						if at < canaryTime+stepTime {
							return 1
						}
						return m.slows(at)
					}
					tr.bend = func(at time.Duration, _ sycrollout.Cell, s *sycrollout.Sample, _ float64) {
						if bad && at >= canaryTime+2*stepTime {
							s.FirstToken *= 8
						}
					}
					found, _ := tr.rollout(0, time.Minute/perMinute)
					must.Eq(t, bad, found > 0, must.Sprintf("seed %d: found after %s", seed, found))
				}
			})
		}
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

// TestDoubtOfAnother begins a trial that another VM has begun, where there is no share yet
// for the predecessor, and ends it once both are seen to be as fast.
func TestDoubtOfAnother(t *testing.T) {
	t.Parallel()
	tests := []struct {
		share, doubted float64
	}{
		{0.5, 0.5},
		{1, 1.0 / canaryPart},
	}
	for _, tt := range tests {
		tr := newTraffic(1)
		stage := sycrollout.NewStage(newVersion, oldVersion, tt.share, nil)
		stage.Reevaluate(0, tr.ledger, "another VM saw it")
		must.Eq(t, tt.doubted, stage.Share())
		for at := time.Duration(0); at < runTime; at += tick {
			tr.request(at, oldVersion)
			tr.request(at, newVersion)
			whole, lately := stage.Judge(at, tr.ledger)
			must.False(t, whole.Failed || lately.Failed)
			if at < time.Second {
				must.Eq(t, tt.doubted, stage.Share())
			}
		}
		must.Eq(t, tt.share, stage.Share())
	}
}
