package sycrollout_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
)

const (
	// answerTimes is how many times as long as the time to its first token an answer
	// takes.
	answerTimes = 40
	// requestGap is the time between two requests.
	requestGap = 25 * time.Millisecond
	// phaseTime is how long requests are sent before and after the new version gets all
	// of them.
	phaseTime = 20 * time.Second
)

// answers sends requests whose first tokens and ends come later, and reports all three
// to a ledger in the order of time.
type answers struct {
	rng    *rand.Rand
	ledger *sycrollout.Ledger
	nextID uint64
	// open holds the answers that haven't ended.
	open []answer
}

// answer is an answer that hasn't ended.
type answer struct {
	id   uint64
	cell sycrollout.Cell
	// since, first and ends are when the request was sent, its first token came and its
	// answer ended.
	since, first, ends time.Duration
	// hasFirst is set once the first token was reported.
	hasFirst bool
	// took is the time to the first token as it was observed.
	took time.Duration
}

// begin sends a request to a version. Its answer takes a random time, longer by the
// factor.
func (as *answers) begin(now time.Duration, s sycrollout.Subject, factor float64) {
	doublings := as.rng.IntN(3)
	cell := sycrollout.Cell{Version: s.Version, Generation: s.Generation, Route: "chat", Size: sycrollout.SizeClass(smallPrompt << doublings)}
	base := float64(40*time.Millisecond) * math.Exp2(float64(doublings))
	first := time.Duration(factor * base * math.Exp(0.5*as.rng.NormFloat64()))
	as.nextID++
	as.ledger.Begin(now, as.nextID, cell)
	as.open = append(as.open, answer{id: as.nextID, cell: cell, since: now, first: now + first, ends: now + answerTimes*first})
}

// advance reports the first tokens and ends that have come until now.
func (as *answers) advance(now time.Duration) {
	kept := as.open[:0]
	for _, a := range as.open {
		if !a.hasFirst && a.first <= now {
			a.hasFirst = true
			a.took = now - a.since
			as.ledger.RecordFirstToken(now, a.id)
		}
		if a.ends > now {
			kept = append(kept, a)
			continue
		}
		as.ledger.End(now, a.id, a.cell, sycrollout.Sample{FirstToken: a.took})
	}
	as.open = kept
}

// send sends a request to one of the versions by the stage's traffic share, and reports
// whether the new one got it. The new version is slower by the factor.
func (as *answers) send(now time.Duration, stage *sycrollout.Stage, factor float64) bool {
	if share := stage.Share(); share < 1 && as.rng.Float64() >= share {
		as.begin(now, oldVersion, 1)
		return false
	}
	as.begin(now, newVersion, factor)
	return true
}

// startFullShare sends requests to the old version for a phase, and then begins the
// stage in which the new version gets all.
func (as *answers) startFullShare() (now time.Duration, stage *sycrollout.Stage) {
	for ; now < phaseTime; now += requestGap {
		as.advance(now)
		as.begin(now, oldVersion, 1)
	}
	return now, sycrollout.NewStage(newVersion, oldVersion, 1, as.ledger.Sum())
}

// run sends requests to the new version at the traffic share 1. It returns how long
// after the stage began the version failed, 0 if it didn't, and how many requests it
// got.
func (as *answers) run(factor float64) (found time.Duration, got int) {
	now, stage := as.startFullShare()
	for end := now + phaseTime; now < end; now += requestGap {
		as.advance(now)
		if as.send(now, stage, factor) {
			got++
		}
		if now%tick != 0 {
			continue
		}
		if sinceBegin, recent := stage.Judge(now, as.ledger); sinceBegin.Failed || recent.Failed {
			return now - phaseTime, got
		}
	}
	return 0, got
}

// TestSlowFirstTokensAreSeenWhileAwaited guards against a slow version that is found
// only once its first answers end. A version that is as fast as its predecessor is
// kept.
func TestSlowFirstTokensAreSeenWhileAwaited(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		factor float64
		// most is the largest number of requests until the version is found. 0 means
		// that it must be kept.
		most int
	}{
		{"as fast", 1, 0},
		{"24 times as slow", 24, 60},
		{"hangs", 1e4, 60},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20) {
				as := &answers{rng: rand.New(rand.NewPCG(seed, 1)), ledger: sycrollout.NewLedger()}
				found, got := as.run(tt.factor)
				t.Logf("seed %d: found after %s, %d requests", seed, found, got)
				must.Eq(t, tt.most > 0, found > 0, must.Sprintf("seed %d", seed))
				if tt.most > 0 {
					must.LessEq(t, tt.most, got, must.Sprintf("seed %d", seed))
				}
			}
		})
	}
}

// TestDelayOfBothVersionsIsNoFault guards against a good version that fails because a
// busy machine delays the first tokens of both versions now and then.
func TestDelayOfBothVersionsIsNoFault(t *testing.T) {
	t.Parallel()
	const (
		every = 3 * time.Second
		pause = 500 * time.Millisecond
	)
	for _, share := range []int{10, 2} {
		for seed := range uint64(20) {
			as := &answers{rng: rand.New(rand.NewPCG(seed, 2)), ledger: sycrollout.NewLedger()}
			stage := sycrollout.NewStage(newVersion, oldVersion, 1/float64(share), nil)
			delayedUntil := time.Duration(0)
			for now := time.Duration(0); now < 2*phaseTime; now += requestGap {
				if now%every == 0 {
					delayedUntil = now + pause
				}
				if now >= delayedUntil {
					as.advance(now)
				}
				subject := oldVersion
				if as.rng.IntN(share) == 0 {
					subject = newVersion
				}
				as.begin(now, subject, 1)
				if now%tick != 0 {
					continue
				}
				sinceBegin, recent := stage.Judge(now, as.ledger)
				must.False(t, sinceBegin.Failed || recent.Failed, must.Sprintf("share 1/%d, seed %d, after %s: %s%s", share, seed, now, sinceBegin.Reason, recent.Reason))
			}
		}
	}
}

// TestProcessPauseIsNoFault guards against a good version that fails because this VM's
// process is paused. At the traffic share 1 the predecessor gets no requests that would
// be as late, so that the recorded pauses must be left out of the durations.
func TestProcessPauseIsNoFault(t *testing.T) {
	t.Parallel()
	const (
		every = 3 * time.Second
		pause = 2 * time.Second
	)
	tests := []struct {
		name         string
		factor       float64
		recordPauses bool
		// reevaluated says whether a re-evaluation begins, failed whether the version
		// fails.
		reevaluated, failed bool
	}{
		{"as fast", 1, true, false, false},
		{"24 times as slow", 24, true, true, true},
		// This case shows that the pauses are long enough to matter.
		{"as fast, pauses not recorded", 1, false, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			reevaluations, found := 0, 0
			for seed := range uint64(20) {
				as := &answers{rng: rand.New(rand.NewPCG(seed, 4)), ledger: sycrollout.NewLedger()}
				reevaluated, failed := as.runWithPauses(tt.factor, every, pause, tt.recordPauses)
				if reevaluated {
					reevaluations++
				}
				if failed {
					found++
				}
			}
			t.Logf("%d re-evaluated, %d failed", reevaluations, found)
			must.Eq(t, tt.reevaluated, reevaluations > 0)
			must.Eq(t, tt.failed, found == 20)
			must.Eq(t, tt.failed, found > 0)
		})
	}
}

// runWithPauses sends requests to the old version, then to the new one at the traffic
// share 1 with pauses of this VM's process. It reports whether the version was
// re-evaluated, and whether it failed.
func (as *answers) runWithPauses(factor float64, every, pause time.Duration, recordPauses bool) (reevaluated, failed bool) {
	now, stage := as.startFullShare()
	for end := now + phaseTime; now < end; now += requestGap {
		if now%every == 0 {
			// Requests are sent during the pause, but nothing is reported.
			for till := now + pause; now < till; now += requestGap {
				as.send(now, stage, factor)
			}
			if recordPauses {
				as.ledger.RecordPause(pause)
			}
		}
		as.advance(now)
		as.send(now, stage, factor)
		if now%tick != 0 {
			continue
		}
		sinceBegin, recent := stage.Judge(now, as.ledger)
		reevaluated = reevaluated || sinceBegin.ReevaluationReason != ""
		if sinceBegin.Failed || recent.Failed {
			return reevaluated, true
		}
	}
	return reevaluated, false
}

// TestLateFirstTokenCountsOnce guards against a first token that is counted while it is
// awaited and again at the end, also where only the end is reported.
func TestLateFirstTokenCountsOnce(t *testing.T) {
	t.Parallel()
	for _, arrives := range []bool{true, false} {
		ledger := sycrollout.NewLedger()
		old := sycrollout.Cell{Version: oldVersion.Version, Generation: oldVersion.Generation, Route: "chat"}
		for range 20 {
			ledger.Record(old, sycrollout.Sample{FirstToken: 50 * time.Millisecond})
		}
		cell := sycrollout.Cell{Version: newVersion.Version, Generation: newVersion.Generation, Route: "chat"}
		ledger.Begin(0, 1, cell)
		sycrollout.NewStage(newVersion, oldVersion, 0.5, nil).Judge(time.Second, ledger)
		counts := ledger.Own()[cell]
		must.Eq(t, 1, counts.FirstToken.Total())
		if arrives {
			ledger.RecordFirstToken(2*time.Second, 1)
		}
		ledger.End(3*time.Second, 1, cell, sycrollout.Sample{FirstToken: 2 * time.Second})
		counts = ledger.Own()[cell]
		must.Eq(t, 1, counts.Requests)
		must.Eq(t, 1, counts.FirstToken.Total())
	}
}

// TestReevaluationCountsOnlyItsOwnRequests guards against a re-evaluation that is
// decided by requests from before it. Many end during it, and it must continue until as
// many of its own have shown the version's durations.
func TestReevaluationCountsOnlyItsOwnRequests(t *testing.T) {
	t.Parallel()
	const pendingRequests = 60
	as := &answers{rng: rand.New(rand.NewPCG(5, 5)), ledger: sycrollout.NewLedger()}
	now, stage := as.startFullShare()
	cell := sycrollout.Cell{Version: newVersion.Version, Generation: newVersion.Generation, Route: "chat"}
	for i := range uint64(pendingRequests) {
		as.ledger.Begin(now, 1e6+i, cell)
	}
	stage.Reevaluate(now, as.ledger, "seen by another VM")
	for start := now; now < start+phaseTime/2; now += requestGap {
		as.advance(now)
		as.begin(now, oldVersion, 1)
		if now == start+phaseTime/4 {
			for i := range uint64(pendingRequests) {
				as.ledger.End(now, 1e6+i, cell, sycrollout.Sample{FirstToken: time.Minute})
			}
		}
		sinceBegin, recent := stage.Judge(now, as.ledger)
		must.False(t, sinceBegin.Failed || recent.Failed, must.Sprint(sinceBegin.Reason, recent.Reason))
		must.True(t, stage.Reevaluating(), must.Sprintf("after %s", now-start))
	}
	for end := now + phaseTime; now < end; now += requestGap {
		as.advance(now)
		as.send(now, stage, 1)
		stage.Judge(now, as.ledger)
	}
	must.False(t, stage.Reevaluating())
}
