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
	// coldPrompt is the length of all prompts in tokens.
	coldPrompt = 4600
	// coldPart is the number of a prompt's tokens that an engine has cached when its
	// first requests have ended.
	coldPart = 2496
	// coldGap is the time between two requests.
	coldGap = 25 * time.Millisecond
)

// coldEngine simulates an engine whose caches fill with the requests that it gets.
type coldEngine struct {
	rng *rand.Rand
	// seen is the number of requests so far.
	seen int
	// factor is how many times as long as usual first tokens take.
	factor float64
}

// answer returns the cell of a request, without its version, and the time to its first
// token: a fixed time, plus a time for each token that isn't cached.
func (e *coldEngine) answer() (cell sycrollout.Cell, first time.Duration) {
	cached := 0
	switch {
	case e.seen >= 4 && e.rng.IntN(2) == 0:
		cached = coldPrompt - 100
	case e.seen >= 2:
		cached = coldPart
	case e.rng.IntN(2) == 0:
		cached = 960
	}
	e.seen++
	computed := coldPrompt - cached + e.rng.IntN(90)
	cell = sycrollout.Cell{Route: "chat", Size: sycrollout.SizeClass(computed), Imported: cached > 0 && e.rng.IntN(2) == 0}
	took := 8*time.Millisecond + time.Duration(computed)*16*time.Microsecond
	return cell, time.Duration(e.factor * float64(took) * math.Exp(0.1*e.rng.NormFloat64()))
}

// TestColdCachesAreNoFault guards against a good version that fails because its engines
// start without caches, so that they compute more before first tokens than the
// predecessor's. This holds for first tokens that are counted at the end and for those
// counted while they are awaited. A version that is itself slower must be found.
func TestColdCachesAreNoFault(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		factor float64
		failed bool
	}{
		{"as fast", 1, false},
		{"eight times as slow", 8, true},
	}
	for _, tt := range tests {
		for _, share := range []float64{0.1, 0.5, 1} {
			t.Run(tt.name, func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(40) {
					rng := rand.New(rand.NewPCG(seed, 3))
					failed, reason := coldRollout(rng, share, tt.factor)
					must.Eq(t, tt.failed, failed, must.Sprintf("share %g, seed %d: %s", share, seed, reason))
				}
			})
		}
	}
}

// coldRollout sends requests to both versions, each on engines of its own, and returns
// whether the new version failed and why.
func coldRollout(rng *rand.Rand, share, factor float64) (failed bool, reason string) {
	ledger := sycrollout.NewLedger()
	warm := &coldEngine{rng: rng, seen: 100, factor: 1}
	var open []answer
	next := uint64(0)
	send := func(now time.Duration, s sycrollout.Subject, e *coldEngine) {
		cell, first := e.answer()
		cell.Version, cell.Generation = s.Version, s.Generation
		next++
		begun := cell
		begun.Size, begun.Imported = sycrollout.SizeClass(coldPrompt+100), false
		ledger.Begin(now, next, begun)
		open = append(open, answer{id: next, cell: cell, first: now + first, took: first})
	}
	advance := func(now time.Duration) {
		kept := open[:0]
		for _, a := range open {
			if a.first > now {
				kept = append(kept, a)
				continue
			}
			ledger.RecordFirstToken(now, a.id)
			ledger.End(now, a.id, a.cell, sycrollout.Sample{FirstToken: a.took})
		}
		open = kept
	}
	now := time.Duration(0)
	for ; now < phaseTime/2; now += coldGap {
		advance(now)
		send(now, oldVersion, warm)
	}
	stage := sycrollout.NewStage(newVersion, oldVersion, share, ledger.Sum())
	engines := []*coldEngine{{rng: rng, factor: factor}, {rng: rng, factor: factor}, {rng: rng, factor: factor}}
	for end := now + phaseTime; now < end; now += coldGap {
		advance(now)
		if rng.Float64() < stage.Share() {
			send(now, newVersion, engines[rng.IntN(len(engines))])
		} else {
			send(now, oldVersion, warm)
		}
		if now%tick != 0 {
			continue
		}
		if sinceBegin, recent := stage.Judge(now, ledger); sinceBegin.Failed || recent.Failed {
			return true, sinceBegin.Reason + recent.Reason
		}
	}
	return false, ""
}

// TestClassNumbers checks that each class has a number of its own, and that unknown
// numbers are rejected.
func TestClassNumbers(t *testing.T) {
	t.Parallel()
	seen := map[uint32]bool{}
	for load := range 3 {
		for size := range sycrollout.SizeClasses {
			for _, imported := range []bool{false, true} {
				cell := sycrollout.Cell{Load: load, Size: size, Imported: imported}
				class := cell.Class()
				must.False(t, seen[class])
				seen[class] = true
				var back sycrollout.Cell
				must.True(t, back.SetClass(class))
				must.Eq(t, cell, back)
			}
		}
	}
	// Earlier releases use the numbers below 30.
	for _, class := range []uint32{0, 29, 30 + uint32(len(seen)), 1 << 31} {
		var cell sycrollout.Cell
		must.False(t, cell.SetClass(class), must.Sprint(class))
	}
}

func TestSizeClasses(t *testing.T) {
	t.Parallel()
	tests := []struct{ tokens, want int }{
		{-1, 0},
		{0, 0},
		{127, 0},
		{128, 1},
		{152, 1},
		{153, 2},
		{256, 5},
		{4096, 21},
		{1 << 15, sycrollout.SizeClasses - 1},
		{1 << 30, sycrollout.SizeClasses - 1},
	}
	for _, tt := range tests {
		must.Eq(t, tt.want, sycrollout.SizeClass(tt.tokens), must.Sprint(tt.tokens))
	}
}
