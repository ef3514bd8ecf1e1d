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

// steps is the length of a run.
const steps = 1500

func TestNoSlotAccruesTwice(t *testing.T) { rapid.Check(t, noSlotAccruesTwice) }

// FuzzNoSlotAccruesTwice lets the fuzzer pick the fleet and the seed of its faults.
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
			t.Fatalf("at %s all VMs accrue %d parts in %d", f.now, sum, syclimit.FullFraction)
		}
	}
}

// randomBytes returns the bytes from which a run draws its choices.
func randomBytes(seed uint64) []byte {
	const draws = 64
	rng := rand.New(rand.NewPCG(seed, 2))
	var data []byte
	for range draws {
		data = binary.LittleEndian.AppendUint64(data, rng.Uint64())
	}
	return data
}

// The audit must see VMs that break the rules.
func TestAuditSeesFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(f *fleet)
	}{
		{"starts without asking others", func(f *fleet) { f.trust = true }},
		{"goes on after a long pause", func(f *fleet) { f.forgetful = true }},
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

// Once the faults end, all slots must find holders, also those of lost VMs.
func TestSlotsFindHolders(t *testing.T) {
	cases := []struct {
		name string
		lost bool
	}{
		{name: "all VMs are back", lost: false},
		{name: "lost VMs stay away", lost: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(100) {
				f := newFleet(seed, 4)
				for range steps / 2 {
					f.advance()
				}
				f.settle(c.lost)
				if !f.anyUp() {
					continue
				}
				must.Less(t, steps, f.stepsUntilWhole())
			}
		})
	}
}

func (f *fleet) anyUp() bool {
	return slices.ContainsFunc(f.nodes, func(n *node) bool { return n.up })
}

// stepsUntilWhole returns how long it takes until all slots accrue.
func (f *fleet) stepsUntilWhole() int {
	for i := range steps {
		if f.advance() >= f.given() {
			return i
		}
	}
	return steps
}

// given is what the newest table gives to all slots.
func (f *fleet) given() syclimit.Fraction {
	var sum syclimit.Fraction
	for _, o := range f.config.states[f.config.end()].Slots() {
		for _, s := range o.Value().Slots() {
			sum += syclimit.NewFraction(s.Fraction)
		}
	}
	return sum
}
