package sycslot_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
)

// steps is the length of a run.
const steps = 1500

func TestNoSlotAccruesTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 5).Draw(t, "vms")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), vms)
		for range steps {
			if sum := f.advance(); sum > syclimit.Whole {
				t.Fatalf("at %s all VMs accrue %d parts in %d", f.now, sum, syclimit.Whole)
			}
		}
	})
}

// The audit must see VMs that start without asking others.
func TestAuditSeesHastyStarts(t *testing.T) {
	f := newFleet(1, 4)
	f.trust = true
	var most syclimit.Fraction
	for range steps {
		most = max(most, f.advance())
	}
	must.Greater(t, syclimit.Whole, most)
}

// Slots must be accrued nearly all the time, and those of lost VMs claimed.
func TestSlotsFindHolders(t *testing.T) {
	var sum, possible float64
	claimed := 0
	for seed := range uint64(20) {
		f := newFleet(seed, 4)
		for range steps {
			sum += float64(f.advance())
			possible += tableSum(f)
		}
		claimed += f.claimed
	}
	t.Logf("accrued %.3f of what the tables give, %d claims", sum/possible, claimed)
	must.Greater(t, 0.5, sum/possible)
	must.Greater(t, 0, claimed)
}

func tableSum(f *fleet) float64 {
	sum := 0.0
	for _, o := range f.config.states[f.config.end()].Slots() {
		for _, s := range o.Value().Slots() {
			sum += s.Fraction
		}
	}
	return sum * float64(syclimit.Whole)
}
