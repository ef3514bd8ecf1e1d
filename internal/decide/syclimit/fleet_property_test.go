package syclimit_test

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
)

// drawScenario draws the parameters of a run.
func drawScenario(t *rapid.T) scenario {
	return scenario{
		vms:           rapid.IntRange(1, 8).Draw(t, "vms"),
		domainSize:    rapid.IntRange(1, 3).Draw(t, "domainSize"),
		rate:          rapid.SampledFrom([]float64{0.5, 5, 50}).Draw(t, "rate"),
		burst:         rapid.SampledFrom([]float64{1, 5, 37.5}).Draw(t, "burst"),
		load:          rapid.SampledFrom([]float64{0.1, 3, 30, 100}).Draw(t, "load"),
		skew:          rapid.Bool().Draw(t, "skew"),
		delay:         rapid.SampledFrom([]time.Duration{time.Millisecond, 20 * time.Millisecond, time.Second}).Draw(t, "delay"),
		loss:          rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "loss"),
		duplicate:     rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "duplicate"),
		drift:         0.0005,
		pauses:        rapid.IntRange(0, 6).Draw(t, "pauses"),
		crashes:       rapid.IntRange(0, 6).Draw(t, "crashes"),
		restartAll:    rapid.Bool().Draw(t, "restartAll"),
		muteLastVM:    rapid.Bool().Draw(t, "muteLastVM"),
		fractionMoves: rapid.IntRange(0, 10).Draw(t, "fractionMoves"),
		spikes:        rapid.IntRange(0, 10).Draw(t, "spikes"),
		limitChanges:  rapid.IntRange(0, 2).Draw(t, "limitChanges"),
		length:        12 * time.Second,
	}
}

// TestNoWindowIsOverspent checks under random faults that no window admits more than
// burst + rate*length, and that VMs never hold more than the burst together.
func TestNoWindowIsOverspent(t *testing.T) { rapid.Check(t, noWindowIsOverspent) }

// FuzzNoWindowIsOverspent lets the fuzzer choose the faults and their seed.
func FuzzNoWindowIsOverspent(f *testing.F) {
	for seed := range uint64(32) {
		f.Add(randomBytes(seed))
	}
	f.Fuzz(rapid.MakeFuzz(noWindowIsOverspent))
}

func noWindowIsOverspent(t *rapid.T) {
	f := drawScenario(t)
	figures := newFleet(f, rapid.Uint64().Draw(t, "seed")).run()
	if over := overspend(figures.spends, f.rate, f.burst); over > 1e-6 {
		t.Fatalf("a window is overspent by %f requests", over)
	}
	burst := syclimit.NewLimit(f.rate, f.burst, 0).Burst()
	if figures.maxHeld > burst {
		t.Fatalf("VMs hold %d micro-permits, more than the burst of %d", figures.maxHeld, burst)
	}
}

// randomBytes returns a fuzz input, from which rapid draws the choices of a run.
func randomBytes(seed uint64) []byte {
	const draws = 1024
	rng := rand.New(rand.NewPCG(seed, 2))
	var data []byte
	for range draws {
		data = binary.LittleEndian.AppendUint64(data, rng.Uint64())
	}
	return data
}

// The sum of held permits must detect lenders that lend more than they debit, or for
// longer than they reserve.
func TestSumDetectsCreatedPermits(t *testing.T) {
	cases := []struct {
		name string
		lend func(syclimit.Loan) syclimit.Loan
	}{
		{name: "loan larger than its debit", lend: func(l syclimit.Loan) syclimit.Loan {
			l.Amount *= 2
			return l
		}},
		{name: "loan valid after the lender frees it", lend: func(l syclimit.Loan) syclimit.Loan {
			l.Valid *= 4
			return l
		}},
	}
	f := scenario{
		vms: 4, rate: 5, burst: 5, load: 3, spikes: 20, skew: true,
		loss: 0.1, delay: 400 * time.Millisecond, length: time.Minute,
	}
	limit := syclimit.NewLimit(f.rate, f.burst, 0).Burst()
	must.LessEq(t, limit, newFleet(f, 1).run().maxHeld)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f.alterLoan = c.lend
			must.Greater(t, limit, newFleet(f, 1).run().maxHeld)
		})
	}
}
