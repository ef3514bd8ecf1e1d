package sycslot_test

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
)

// steps is the number of steps of a simulation.
const steps = 1500

// TestNoSlotAccruesTwice checks that under random faults the fractions of all VMs
// never add up to more than FullFraction.
func TestNoSlotAccruesTwice(t *testing.T) { rapid.Check(t, noSlotAccruesTwice) }

// FuzzNoSlotAccruesTwice lets the fuzzer choose the number of VMs and the seed of
// the faults.
func FuzzNoSlotAccruesTwice(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(randomBytes(seed))
	}
	f.Fuzz(rapid.MakeFuzz(noSlotAccruesTwice))
}

func noSlotAccruesTwice(t *rapid.T) {
	vms := rapid.IntRange(1, 5).Draw(t, "vms")
	f := newFleet(rapid.Uint64().Draw(t, "seed"), vms)
	for range steps {
		if sum := f.advance(); sum > syclimit.FullFraction {
			t.Fatalf("after %s all VMs together accrue %d of %d", f.now, sum, syclimit.FullFraction)
		}
	}
}

// randomBytes returns a fuzz input, from which rapid draws the choices of a run.
func randomBytes(seed uint64) []byte {
	const draws = 64
	rng := rand.New(rand.NewPCG(seed, 2))
	var data []byte
	for range draws {
		data = binary.LittleEndian.AppendUint64(data, rng.Uint64())
	}
	return data
}

// The check of the sum must detect VMs that accrue slots too early or too long.
func TestSumDetectsDoubleAccrual(t *testing.T) {
	cases := []struct {
		name  string
		fault func(f *fleet)
	}{
		{"starts without confirmation", func(f *fleet) { f.skipConfirm = true }},
		{"resumes after a long pause", func(f *fleet) { f.ignorePauses = true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var most syclimit.Fraction
			for seed := range uint64(20) {
				f := newFleet(seed, 4)
				c.fault(f)
				for range steps {
					most = max(most, f.advance())
				}
			}
			must.Greater(t, syclimit.FullFraction, most)
		})
	}
}

// Once the faults end, every slot must accrue in full again, also those of crashed
// VMs that stay down.
func TestSlotsFindHolders(t *testing.T) {
	cases := []struct {
		name     string
		stayDown bool
	}{
		{name: "all VMs restart", stayDown: false},
		{name: "crashed VMs stay down", stayDown: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(100) {
				f := newFleet(seed, 4)
				for range steps / 2 {
					f.advance()
				}
				f.endFaults(c.stayDown)
				if !f.anyUp() {
					continue
				}
				must.Less(t, steps, f.stepsUntilFull())
			}
		})
	}
}

func (f *fleet) anyUp() bool {
	return slices.ContainsFunc(f.nodes, func(n *node) bool { return n.up })
}

// stepsUntilFull returns the number of steps until all slots accrue in full, or
// steps if they don't.
func (f *fleet) stepsUntilFull() int {
	for i := range steps {
		if f.advance() >= f.tableTotal() {
			return i
		}
	}
	return steps
}

// tableTotal returns the sum of all slots' fractions in the newest slot table.
func (f *fleet) tableTotal() syclimit.Fraction {
	var sum syclimit.Fraction
	for _, o := range f.config.states[f.config.end()].Slots() {
		for _, s := range o.Value().Slots() {
			sum += syclimit.NewFraction(s.Fraction)
		}
	}
	return sum
}
