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

func anyFaults(t *rapid.T) faults {
	return faults{
		vms:     rapid.IntRange(1, 8).Draw(t, "vms"),
		near:    rapid.IntRange(1, 3).Draw(t, "near"),
		rate:    rapid.SampledFrom([]float64{0.5, 5, 50}).Draw(t, "rate"),
		burst:   rapid.SampledFrom([]float64{1, 5, 37.5}).Draw(t, "burst"),
		load:    rapid.SampledFrom([]float64{0.1, 3, 30, 100}).Draw(t, "load"),
		skew:    rapid.Bool().Draw(t, "skew"),
		delay:   rapid.SampledFrom([]time.Duration{time.Millisecond, 20 * time.Millisecond, time.Second}).Draw(t, "delay"),
		loss:    rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "loss"),
		repeat:  rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "repeat"),
		drift:   0.0005,
		pauses:  rapid.IntRange(0, 6).Draw(t, "pauses"),
		crashes: rapid.IntRange(0, 6).Draw(t, "crashes"),
		herd:    rapid.Bool().Draw(t, "herd"),
		cut:     rapid.Bool().Draw(t, "cut"),
		moves:   rapid.IntRange(0, 10).Draw(t, "moves"),
		flashes: rapid.IntRange(0, 10).Draw(t, "flashes"),
		changes: rapid.IntRange(0, 2).Draw(t, "changes"),
		length:  12 * time.Second,
	}
}

func TestNoWindowIsOverspent(t *testing.T) { rapid.Check(t, noWindowIsOverspent) }

// FuzzNoWindowIsOverspent lets the fuzzer pick the faults and their seed.
func FuzzNoWindowIsOverspent(f *testing.F) {
	for seed := range uint64(32) {
		f.Add(randomBytes(seed))
	}
	f.Fuzz(rapid.MakeFuzz(noWindowIsOverspent))
}

func noWindowIsOverspent(t *rapid.T) {
	f := anyFaults(t)
	figures := newFleet(f, rapid.Uint64().Draw(t, "seed")).run()
	if over := overspend(figures.spends, f.rate, f.burst); over > 1e-6 {
		t.Fatalf("a window is overspent by %f requests", over)
	}
	burst := syclimit.NewLimit(f.rate, f.burst, 0).Burst()
	if figures.most > burst {
		t.Fatalf("%d micro-tokens are held, more than the burst of %d", figures.most, burst)
	}
}

// randomBytes returns the bytes from which a run draws its choices.
func randomBytes(seed uint64) []byte {
	const draws = 1024
	rng := rand.New(rand.NewPCG(seed, 2))
	var data []byte
	for range draws {
		data = binary.LittleEndian.AppendUint64(data, rng.Uint64())
	}
	return data
}

// The audit must see lenders that create tokens or hide them from it.
func TestAuditSeesCreatedTokens(t *testing.T) {
	cases := []struct {
		name string
		lend func(syclimit.Loan) syclimit.Loan
	}{
		{name: "loan larger than its debit", lend: func(l syclimit.Loan) syclimit.Loan {
			l.Amount *= 2
			return l
		}},
		{name: "loan valid after its release", lend: func(l syclimit.Loan) syclimit.Loan {
			l.Valid *= 4
			return l
		}},
	}
	f := faults{
		vms: 4, rate: 5, burst: 5, load: 3, flashes: 20, skew: true,
		loss: 0.1, delay: 400 * time.Millisecond, length: time.Minute,
	}
	limit := syclimit.NewLimit(f.rate, f.burst, 0).Burst()
	must.LessEq(t, limit, newFleet(f, 1).run().most)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f.lend = c.lend
			must.Greater(t, limit, newFleet(f, 1).run().most)
		})
	}
}
