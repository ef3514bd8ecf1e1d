//go:build knownred

package sycversion_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
)

// TestKnownRedKilledLeader kills the leader during a canary. Another VM must finish the
// rollout, and no engine may accept an order of the former leader after one of the new leader.
func TestKnownRedKilledLeader(t *testing.T) {
	t.Parallel()
	site := newSite(t)
	publish(t, site, longDeadline)
	for len(site.RolloutRecords()) < 2 {
		must.NoError(t, t.Context().Err())
		time.Sleep(50 * time.Millisecond)
	}
	former := site.leader(t)
	former.Kill()
	var urls []string
	for _, r := range site.Routers() {
		if r != former {
			urls = append(urls, r.URL())
		}
	}
	last := sendTraffic(t, site, urls)
	must.Eq(t, sycrollout.StateDone, last.State, must.Sprint(last.Reason, last.Evidence))
	fences := []uint64{}
	for _, r := range site.RolloutRecords() {
		fences = append(fences, r.Fields().Fence)
	}
	must.True(t, slices.IsSorted(fences))
	must.NotEq(t, former, site.leader(t))
	for _, e := range site.Engines() {
		must.True(t, slices.IsSortedFunc(e.Orders(), func(a, b sycengine.Order) int { return cmp.Compare(a.Fence, b.Fence) }))
	}
}

// TestKnownRedSlowAfterDone makes a version slow after its rollout was recorded as done. The
// version must still be rolled back, so that its predecessor gets the requests.
func TestKnownRedSlowAfterDone(t *testing.T) {
	t.Parallel()
	testFaultAfterDone(t, sycengine.Failure{Weights: "w2", Share: 1, Mode: sycengine.ModeSlow, Factor: 24})
}
