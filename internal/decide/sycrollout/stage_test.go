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
	// canaryTime is the length of the canary stage.
	canaryTime = 20 * time.Second
	// stepTime is the length of the stage at the traffic share 1 before the version is
	// done.
	stepTime = 20 * time.Second
	// runTime is the length of a run, most of which comes after the version is done.
	runTime = 2 * time.Minute
	// canaryDivisor is 1 divided by the new version's traffic share in the canary
	// stage.
	canaryDivisor = 10
)

// rollout sends requests through a canary stage, a stage at the traffic share 1 and the
// probation. It returns when the version failed, 0 if it didn't, and how many requests
// it got from the time of the fault on.
func (tr *traffic) rollout(fault, gap time.Duration) (found time.Duration, exposed int) {
	stage := sycrollout.NewStage(newVersion, oldVersion, 1.0/canaryDivisor, tr.ledger.Sum())
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
		stageVerdict, recent := stage.Judge(at, tr.ledger)
		if stageVerdict.Failed || recent.Failed {
			return at, exposed
		}
	}
	return 0, exposed
}

// TestLateFaultIsFound guards against faults that show only at the traffic share 1 or
// after the version is done, and are missed or found after too many requests.
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
		name  string
		alter func(s *sycrollout.Sample, chance float64)
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
					tr.alter = func(at time.Duration, _ sycrollout.Cell, s *sycrollout.Sample, chance float64) {
						if at >= when.fault {
							what.alter(s, chance)
						}
					}
					found, exposed := tr.rollout(when.fault, time.Minute/requestsPerMinute)
					t.Logf("seed %d: found after %s, %d requests", seed, found-when.fault, exposed)
					must.Greater(t, when.fault, found, must.Sprintf("seed %d: %d requests", seed, exposed))
					most = max(most, exposed)
				}
				must.LessEq(t, maxExposed, most)
			})
		}
	}
}

// TestLoadRisesAfterDone guards against a good version that fails because the load
// rises within its class. Answers take longer by as much as such a rise can cause, and
// the predecessor's would have too.
func TestLoadRisesAfterDone(t *testing.T) {
	t.Parallel()
	const rise = 1.45
	for seed := range uint64(20) {
		tr := newTraffic(seed)
		tr.alter = func(at time.Duration, _ sycrollout.Cell, s *sycrollout.Sample, _ float64) {
			if at > canaryTime+stepTime {
				stretch(s, rise, rise)
			}
		}
		found, _ := tr.rollout(0, time.Minute/requestsPerMinute)
		must.Zero(t, found, must.Sprintf("seed %d", seed))
	}
}

// TestMachineSlowsAfterDone guards against a good version that fails because the
// machine becomes slow, permanently or now and then. All answers become so much longer
// that the version seems slow against its predecessor's earlier ones. It must be kept
// if its predecessor's are as long now, and found if it is slow beside them.
func TestMachineSlowsAfterDone(t *testing.T) {
	t.Parallel()
	const factor = 6
	machines := []struct {
		name     string
		slowdown func(at time.Duration) float64
	}{
		{"permanently", func(time.Duration) float64 { return factor }},
		{"now and then", func(at time.Duration) float64 {
			if at/(5*time.Second)%3 == 0 {
				return factor
			}
			return 1
		}},
	}
	for _, m := range machines {
		for _, faulty := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, faulty %t", m.name, faulty), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(20) {
					tr := newTraffic(seed)
					tr.slowdown = func(at time.Duration) float64 {
						if at < canaryTime+stepTime {
							return 1
						}
						return m.slowdown(at)
					}
					tr.alter = func(at time.Duration, _ sycrollout.Cell, s *sycrollout.Sample, _ float64) {
						if faulty && at >= canaryTime+2*stepTime {
							s.FirstToken *= 8
						}
					}
					found, _ := tr.rollout(0, time.Minute/requestsPerMinute)
					must.Eq(t, faulty, found > 0, must.Sprintf("seed %d: found after %s", seed, found))
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
			failed := 0
			for seed := range uint64(60) {
				found, _ := newTraffic(seed).rollout(0, tt.gap)
				if found > 0 {
					failed++
				}
			}
			must.Zero(t, failed)
		})
	}
}

// TestReevaluationByPeer checks a re-evaluation that another VM has begun: it changes
// the traffic share only where the version has all requests, and ends once both
// versions are seen to be as fast.
func TestReevaluationByPeer(t *testing.T) {
	t.Parallel()
	tests := []struct {
		share, reevaluated float64
	}{
		{0.5, 0.5},
		{1, 1.0 / canaryDivisor},
	}
	for _, tt := range tests {
		tr := newTraffic(1)
		stage := sycrollout.NewStage(newVersion, oldVersion, tt.share, nil)
		stage.Reevaluate(0, tr.ledger, "another VM saw it")
		must.Eq(t, tt.reevaluated, stage.Share())
		for at := time.Duration(0); at < runTime; at += tick {
			tr.request(at, oldVersion)
			tr.request(at, newVersion)
			sinceBegin, recent := stage.Judge(at, tr.ledger)
			must.False(t, sinceBegin.Failed || recent.Failed)
			if at < time.Second {
				must.Eq(t, tt.reevaluated, stage.Share())
			}
		}
		must.Eq(t, tt.share, stage.Share())
	}
}
