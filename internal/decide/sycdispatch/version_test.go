package sycdispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// newRolloutRig returns a rig with four engines that serve two versions: v2 has the
// given traffic share, v1 the rest.
func newRolloutRig(t *testing.T, seed uint64, share float64) *rig {
	r := newRig(t, seed)
	r.addEngines(4, 8)
	for _, name := range []string{"e0", "e1", "e2", "e3"} {
		r.Report(r.now, r.now, name, sycdispatch.Report{
			Incarnation: "i",
			Ready:       []sycdispatch.Loaded{{Model: "m", Weights: "w1"}, {Model: "m", Weights: "w2"}},
		})
	}
	r.versionShares = []sycwork.VersionShare{
		{Version: "v1", Weights: "w1", Share: 1 - share},
		{Version: "v2", Weights: "w2", Share: share},
	}
	return r
}

// countVersions runs n requests one after the other and counts how many ran on each
// version.
func (r *rig) countVersions(n int) map[string]int {
	got := map[string]int{}
	for range n {
		d := r.mustSelect("a", "x")
		got[d.Target.Version]++
		r.succeed(d, time.Millisecond)
	}
	return got
}

func TestVersionsGetTheirShares(t *testing.T) {
	tests := []struct {
		name  string
		share float64
		want  int
	}{
		{"canary", 0.02, 20},
		{"step", 0.25, 250},
		{"half", 0.5, 500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(5) {
				r := newRolloutRig(t, seed*100, tt.share)
				got := r.countVersions(1000)["v2"]
				must.Between(t, tt.want-1, got, tt.want+1)
			}
		})
	}
}

func TestVetoedVersionGetsNothing(t *testing.T) {
	r := newRolloutRig(t, 1, 0.5)
	must.Greater(t, 0, r.countVersions(10)["v2"])
	r.versionShares[1].Vetoed = true
	must.Eq(t, map[string]int{"v1": 20}, r.countVersions(20))
}

// TestVetoReachesWaitingRequests checks that a request that waits for a version runs
// on another one if the version is vetoed meanwhile.
func TestVetoReachesWaitingRequests(t *testing.T) {
	r := newRolloutRig(t, 1, 0.5)
	var running []sycdispatch.Decision
	for len(running) < 32 {
		running = append(running, r.mustSelect("a", "x"))
	}
	for range 10 {
		_, ok := r.submit("a", "x")
		must.False(t, ok)
	}
	r.versionShares[1].Vetoed = true
	for _, d := range running {
		r.succeed(d, time.Millisecond)
	}
	decisions := r.Take()
	must.Len(t, 10, decisions)
	for _, d := range decisions {
		must.Eq(t, "v1", d.Target.Version)
	}
}

// TestOverloadAddsNothingToNewVersion checks that requests drawn for the old version
// don't run on a new one, even if only engines with the new one have room.
func TestOverloadAddsNothingToNewVersion(t *testing.T) {
	r := newRolloutRig(t, 1, 0.1)
	for _, name := range []string{"e0", "e1", "e2"} {
		r.reportLoad(name, "i", 0)
	}
	r.Report(r.now, r.now, "e3", sycdispatch.Report{
		Incarnation: "i", Ready: []sycdispatch.Loaded{{Model: "m", Weights: "w2"}},
	})
	got := map[string]int{}
	for range 60 {
		if d, ok := r.submit("a", "x"); ok {
			got[d.Target.Version]++
		}
	}
	must.Eq(t, 24, got["v1"])
	must.LessEq(t, 6, got["v2"])
}

func TestRetryTakesTheLargestShare(t *testing.T) {
	r := newRolloutRig(t, 1, 0.4)
	for range 20 {
		d := r.selectExcluding("e0", "a", "x")
		must.Eq(t, "v1", d.Target.Version)
		r.succeed(d, time.Millisecond)
	}
}

func TestStaleRequestIsReturned(t *testing.T) {
	r := newRig(t, 1)
	r.addEngines(1, 1)
	first := r.mustSelect("a", "x")
	_, ok := r.submit("a", "x")
	must.False(t, ok)
	r.versionShares = []sycwork.VersionShare{{Version: "v3", Weights: "w3", Share: 1}}
	r.succeed(first, time.Millisecond)
	decisions := r.Take()
	must.Len(t, 1, decisions)
	must.False(t, decisions[0].Stale && decisions[0].Target != nil)
}
