package sycversion_test

import (
	"cmp"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
)

// countRequests returns the number of requests that engines received for the second version.
func (s *simulatedSite) countRequests() int {
	second := 0
	for _, e := range s.engines {
		for _, r := range e.Requests() {
			if r.Weights == "w2" {
				second++
			}
		}
	}
	return second
}

// TestSimulatedFaultAfterDone makes a version fail or slow after its rollout was recorded as
// done. The version must be rolled back, and may get few requests until then. Like other
// simulated cases it computes without a pause, and isn't parallel, so that the sites in real
// time don't run beside it. In seed 27 the good answers before the fault are many.
func TestSimulatedFaultAfterDone(t *testing.T) {
	for _, failure := range []sycengine.Failure{failingVersion, slowVersion} {
		for _, seed := range []uint64{7, 8, 27} {
			synctest.Test(t, func(t *testing.T) { testSimulatedFault(t, failure, seed) })
		}
	}
}

// testSimulatedFault runs a case of TestSimulatedFaultAfterDone in a bubble.
func testSimulatedFault(t *testing.T, failure sycengine.Failure, seed uint64) {
	t.Helper()
	site := newSimulatedSite(t)
	last := site.sendUntilEnd(t, site.vms, seed)
	must.Eq(t, sycrollout.StateDone, last.State, must.Sprint(last.Reason, last.Evidence))
	must.Zero(t, site.failed)
	for _, e := range site.engines {
		e.SetFaults(sycengine.Faults{Failures: []sycengine.Failure{failure}})
	}
	before := site.countRequests()
	site.send(t, site.vms, sycload.Options{
		Seed: seed + 1, Duration: rolloutTimeout / 2, RateFactor: rateAfterFault, MaxRequests: requestsAfterFault,
	})
	got := site.countRequests() - before
	last = site.awaitState(sycrollout.StateRolledBack)
	t.Logf("seed %d, %s: %d of %d requests went to the version after it became faulty; %s", seed, failure.Mode, got, requestsAfterFault, last.Reason)
	must.Eq(t, sycrollout.StateRolledBack, last.State)
	must.LessEq(t, maxFaultyShare, float64(got)/requestsAfterFault)
	if failure.Mode == sycengine.ModeError {
		must.Eq(t, got, site.failed)
		return
	}
	must.Zero(t, site.failed)
}

// TestSimulatedKilledLeader kills the leader during a canary. Another VM must complete the
// rollout, and no engine may accept an order of the former leader after one of the new leader.
func TestSimulatedKilledLeader(t *testing.T) {
	for _, seed := range []uint64{7, 17, 27, 37} {
		synctest.Test(t, func(t *testing.T) {
			site := newSimulatedSite(t)
			for len(site.store.records()) < 2 {
				time.Sleep(50 * time.Millisecond)
			}
			former := site.leader()
			former.kill(t)
			others := slices.DeleteFunc(slices.Clone(site.vms), func(vm *simulatedVM) bool { return vm == former })
			last := site.sendUntilEnd(t, others, seed)
			must.Eq(t, sycrollout.StateDone, last.State, must.Sprint(last.Reason, last.Evidence))
			var fences []uint64
			for _, r := range site.store.records() {
				fences = append(fences, r.Fence)
			}
			must.True(t, slices.IsSorted(fences))
			must.Less(t, last.Fence, fences[0])
			for _, e := range site.engines {
				must.True(t, slices.IsSortedFunc(e.Orders(), func(a, b sycengine.Order) int { return cmp.Compare(a.Fence, b.Fence) }))
			}
			must.Zero(t, site.failed)
		})
	}
}
