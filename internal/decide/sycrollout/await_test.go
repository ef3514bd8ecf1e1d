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
	// answerTimes is how many times as long as its first token a whole answer takes.
	answerTimes = 40
	// awaitGap is the time between two requests.
	awaitGap = 25 * time.Millisecond
	// awaitRun is how long requests come after the fault.
	awaitRun = 20 * time.Second
)

// answers makes requests whose first tokens and ends come later, in the order of time.
type answers struct {
	rng    *rand.Rand
	ledger *sycrollout.Ledger
	nextID uint64
	// open holds what is still to come.
	open []answer
}

type answer struct {
	id                 uint64
	cell               sycrollout.Cell
	since, first, ends time.Duration
	hasFirst           bool
	took               time.Duration
}

func (as *answers) begin(now time.Duration, s sycrollout.Subject, factor float64) {
	doublings := as.rng.IntN(3)
	cell := sycrollout.Cell{Version: s.Version, Generation: s.Generation, Route: "chat", Size: sycrollout.SizeClass(smallPrompt << doublings)}
	base := float64(40*time.Millisecond) * math.Exp2(float64(doublings))
	first := time.Duration(factor * base * math.Exp(0.5*as.rng.NormFloat64()))
	as.nextID++
	as.ledger.Begin(now, as.nextID, cell)
	as.open = append(as.open, answer{id: as.nextID, cell: cell, since: now, first: now + first, ends: now + answerTimes*first})
}

// advance counts what has come until now.
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

// send sends a request to either version by the stage's share, and tells whether the new one
// got it; it is slower by a factor.
func (as *answers) send(now time.Duration, stage *sycrollout.Stage, factor float64) bool {
	if share := stage.Share(); share < 1 && as.rng.Float64() >= share {
		as.begin(now, oldVersion, 1)
		return false
	}
	as.begin(now, newVersion, factor)
	return true
}

// fullShare sends requests to the old version, and begins the stage in which the new one
// gets all.
func (as *answers) fullShare() (now time.Duration, stage *sycrollout.Stage) {
	for ; now < awaitRun; now += awaitGap {
		as.advance(now)
		as.begin(now, oldVersion, 1)
	}
	return now, sycrollout.NewStage(newVersion, oldVersion, 1, as.ledger.Sum())
}

// run sends requests to the new version at the full share; it returns when it was found
// bad, 0 if it was not, and how many it got.
func (as *answers) run(factor float64) (found time.Duration, got int) {
	now, stage := as.fullShare()
	for end := now + awaitRun; now < end; now += awaitGap {
		as.advance(now)
		if as.send(now, stage, factor) {
			got++
		}
		if now%tick != 0 {
			continue
		}
		if whole, lately := stage.Judge(now, as.ledger); whole.Failed || lately.Failed {
			return now - awaitRun, got
		}
	}
	return 0, got
}

// TestSlowFirstTokensAreSeenWhileAwaited lets a version turn slow: it is found before its
// first answer ends, and a version that is as fast as its predecessor is kept.
func TestSlowFirstTokensAreSeenWhileAwaited(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		factor float64
		// most is the largest number of requests until the version is found; 0 means
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

// TestStallIsNoFault holds all first tokens up for a while, now and then, as a busy
// machine does: a good version that shares the requests is kept.
func TestStallIsNoFault(t *testing.T) {
	t.Parallel()
	const (
		every = 3 * time.Second
		stall = 500 * time.Millisecond
	)
	for _, share := range []int{10, 2} {
		for seed := range uint64(20) {
			as := &answers{rng: rand.New(rand.NewPCG(seed, 2)), ledger: sycrollout.NewLedger()}
			stage := sycrollout.NewStage(newVersion, oldVersion, 1/float64(share), nil)
			held := time.Duration(0)
			for now := time.Duration(0); now < 2*awaitRun; now += awaitGap {
				if now%every == 0 {
					held = now + stall
				}
				if now >= held {
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
				whole, lately := stage.Judge(now, as.ledger)
				must.False(t, whole.Failed || lately.Failed, must.Sprintf("share 1/%d, seed %d, after %s: %s%s", share, seed, now, whole.Reason, lately.Reason))
			}
		}
	}
}

// TestOwnStallIsNoFault holds this VM up at the full share, where the predecessor gets no
// requests that would be as late: what it was held up is no slowness of the version.
func TestOwnStallIsNoFault(t *testing.T) {
	t.Parallel()
	const (
		every = 3 * time.Second
		stall = 2 * time.Second
	)
	tests := []struct {
		name   string
		factor float64
		told   bool
		// doubted says whether a trial is begun, bad whether the version is taken back.
		doubted, bad bool
	}{
		{"as fast", 1, true, false, false},
		{"24 times as slow", 24, true, true, true},
		// The stalls of this test are long enough to matter.
		{"as fast, stalls not known", 1, false, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			doubts, found := 0, 0
			for seed := range uint64(20) {
				as := &answers{rng: rand.New(rand.NewPCG(seed, 4)), ledger: sycrollout.NewLedger()}
				doubted, bad := as.stalled(tt.factor, every, stall, tt.told)
				if doubted {
					doubts++
				}
				if bad {
					found++
				}
			}
			t.Logf("%d doubted, %d found bad", doubts, found)
			must.Eq(t, tt.doubted, doubts > 0)
			must.Eq(t, tt.bad, found == 20)
			must.Eq(t, tt.bad, found > 0)
		})
	}
}

// stalled sends requests to the new version at the full share, and to the old one before;
// it reports whether the version was doubted, and whether it was found bad.
func (as *answers) stalled(factor float64, every, stall time.Duration, told bool) (doubted, bad bool) {
	now, stage := as.fullShare()
	for end := now + awaitRun; now < end; now += awaitGap {
		if now%every == 0 {
			// Requests go on to come, but nothing is looked at.
			for till := now + stall; now < till; now += awaitGap {
				as.send(now, stage, factor)
			}
			if told {
				as.ledger.RecordPause(stall)
			}
		}
		as.advance(now)
		as.send(now, stage, factor)
		if now%tick != 0 {
			continue
		}
		whole, lately := stage.Judge(now, as.ledger)
		doubted = doubted || whole.ReevaluationReason != ""
		if whole.Failed || lately.Failed {
			return doubted, true
		}
	}
	return doubted, false
}

// TestLateFirstTokenCountsOnce counts a first token while it is awaited, and not again at
// the end, also where only the end is told.
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

// TestTrialCountsOnlyItsOwn ends requests in a trial that were under way before it: they say
// nothing of it, and the trial goes on until as many of its own have shown the version's times.
func TestTrialCountsOnlyItsOwn(t *testing.T) {
	t.Parallel()
	const under = 60
	as := &answers{rng: rand.New(rand.NewPCG(5, 5)), ledger: sycrollout.NewLedger()}
	now, stage := as.fullShare()
	cell := sycrollout.Cell{Version: newVersion.Version, Generation: newVersion.Generation, Route: "chat"}
	for i := range uint64(under) {
		as.ledger.Begin(now, 1e6+i, cell)
	}
	stage.Reevaluate(now, as.ledger, "seen by another VM")
	for begun := now; now < begun+awaitRun/2; now += awaitGap {
		as.advance(now)
		as.begin(now, oldVersion, 1)
		if now == begun+awaitRun/4 {
			for i := range uint64(under) {
				as.ledger.End(now, 1e6+i, cell, sycrollout.Sample{FirstToken: time.Minute})
			}
		}
		whole, lately := stage.Judge(now, as.ledger)
		must.False(t, whole.Failed || lately.Failed, must.Sprint(whole.Reason, lately.Reason))
		must.True(t, stage.Reevaluating(), must.Sprintf("after %s", now-begun))
	}
	for end := now + awaitRun; now < end; now += awaitGap {
		as.advance(now)
		as.send(now, stage, 1)
		stage.Judge(now, as.ledger)
	}
	must.False(t, stage.Reevaluating())
}
