package sycdispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// rollout returns a rig with two versions on four engines that serve both.
func rollout(t *testing.T, seed uint64, share float64) *rig {
	r := newRig(t, seed)
	r.engines(4, 8)
	for _, name := range []string{"e0", "e1", "e2", "e3"} {
		r.Report(r.now, r.now, name, sycdispatch.Report{
			Incarnation: "i",
			Ready:       []sycdispatch.Loaded{{Model: "m", Weights: "w1"}, {Model: "m", Weights: "w2"}},
		})
	}
	r.shares = []sycwork.VersionShare{
		{Version: "v1", Weights: "w1", Share: 1 - share},
		{Version: "v2", Weights: "w2", Share: share},
	}
	return r
}

// versions sends n requests one after the other and counts their versions.
func (r *rig) versions(n int) map[string]int {
	got := map[string]int{}
	for range n {
		d := r.place("a", "x")
		got[d.Target.Version]++
		r.finish(d, time.Millisecond)
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
				r := rollout(t, seed*100, tt.share)
				got := r.versions(1000)["v2"]
				must.Between(t, tt.want-1, got, tt.want+1)
			}
		})
	}
}

func TestVetoedVersionGetsNothing(t *testing.T) {
	r := rollout(t, 1, 0.5)
	must.Greater(t, 0, r.versions(10)["v2"])
	r.shares[1].Vetoed = true
	must.Eq(t, map[string]int{"v1": 20}, r.versions(20))
}

func TestVetoReachesWaitingRequests(t *testing.T) {
	r := rollout(t, 1, 0.5)
	var running []sycdispatch.Decision
	for len(running) < 32 {
		running = append(running, r.place("a", "x"))
	}
	for range 10 {
		_, ok := r.ask("a", "x")
		must.False(t, ok)
	}
	r.shares[1].Vetoed = true
	for _, d := range running {
		r.finish(d, time.Millisecond)
	}
	decisions := r.Take()
	must.Len(t, 10, decisions)
	for _, d := range decisions {
		must.Eq(t, "v1", d.Target.Version)
	}
}

func TestOverloadAddsNothingToNewVersion(t *testing.T) {
	r := rollout(t, 1, 0.1)
	for _, name := range []string{"e0", "e1", "e2"} {
		r.report(name, "i", 0)
	}
	r.Report(r.now, r.now, "e3", sycdispatch.Report{
		Incarnation: "i", Ready: []sycdispatch.Loaded{{Model: "m", Weights: "w2"}},
	})
	got := map[string]int{}
	for range 60 {
		if d, ok := r.ask("a", "x"); ok {
			got[d.Target.Version]++
		}
	}
	must.Eq(t, 24, got["v1"])
	must.LessEq(t, 6, got["v2"])
}

func TestRetryTakesTheLargestShare(t *testing.T) {
	r := rollout(t, 1, 0.4)
	for range 20 {
		d := r.elsewhere("e0", "a", "x")
		must.Eq(t, "v1", d.Target.Version)
		r.finish(d, time.Millisecond)
	}
}

func TestStaleRequestIsGivenBack(t *testing.T) {
	r := newRig(t, 1)
	r.engines(1, 1)
	first := r.place("a", "x")
	_, ok := r.ask("a", "x")
	must.False(t, ok)
	r.shares = []sycwork.VersionShare{{Version: "v3", Weights: "w3", Share: 1}}
	r.finish(first, time.Millisecond)
	decisions := r.Take()
	must.Len(t, 1, decisions)
	must.False(t, decisions[0].Stale && decisions[0].Target != nil)
}
