package sycdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

func TestVMsAgreeOnColdPrefixesAndSpreadThem(t *testing.T) {
	homes := map[string]int{}
	for i := range 40 {
		prompt := text(fmt.Sprint("plan", i), 30)
		var home string
		for seed := range uint64(4) {
			r := newRig(t, seed)
			r.engines(8, 16)
			d := r.place("a", prompt+text(fmt.Sprint("tail", seed), 2))
			if home == "" {
				home = d.Target.Endpoint
			}
			must.Eq(t, home, d.Target.Endpoint)
		}
		homes[home]++
	}
	must.MapLen(t, 8, homes)
	for home, n := range homes {
		must.LessEq(t, 12, n, must.Sprint(home))
	}
}

func TestHerdWithLaggingLoadDoesNotPileUp(t *testing.T) {
	const vms, rounds, engines = 8, 4, 10
	got := map[string]int{}
	for seed := range uint64(vms) {
		r := newRig(t, seed)
		r.engines(engines, 16)
		for i := range engines {
			running := 6
			if i == 3 {
				running = 0
			}
			r.report(fmt.Sprint("e", i), "i", running)
		}
		for i := range rounds {
			d := r.place("a", text(fmt.Sprint("own", seed, i), 1))
			got[d.Target.Endpoint]++
		}
	}
	for name, n := range got {
		must.LessEq(t, vms*rounds/3, n, must.Sprint(name))
	}
}

func TestHotPrefixSpreadsAndShrinksBack(t *testing.T) {
	prompt := text("hot", 60)
	r := newRig(t, 1)
	r.engines(8, 8)
	for i := range 8 {
		r.report(fmt.Sprint("e", i), "i", 0)
	}
	r.holds("e2", "i", "a", prompt)
	used := func(n, together int, gap time.Duration) map[string]int {
		got := map[string]int{}
		var running []sycdispatch.Decision
		for i := range n {
			r.Submit(r.now, r.request("a", prompt+text(fmt.Sprint("tail", i), 1)))
			for _, d := range r.Take() {
				got[d.Target.Endpoint]++
				running = append(running, d)
				r.now += 10 * time.Millisecond
				r.FirstToken(r.now, d.ID)
			}
			r.now += gap
			if len(running) > together {
				r.Finish(r.now, running[0].ID, sycwork.Result{Outcome: sycwork.Succeeded})
				running = running[1:]
			}
		}
		for len(running) > 0 {
			r.Finish(r.now, running[0].ID, sycwork.Result{Outcome: sycwork.Succeeded})
			running = append(running[1:], r.Take()...)
		}
		return got
	}
	hot := used(200, 10, 20*time.Millisecond)
	must.Greater(t, 2, len(hot))
	r.now += time.Minute
	for i := range 8 {
		r.Resync(r.now, fmt.Sprint("e", i), "i", 1, nil)
	}
	r.Resync(r.now, "e2", "i", 2, chainOf("a", prompt))
	must.LessEq(t, 2, len(used(10, 0, time.Second)))
}

func TestNearEndpointsFirst(t *testing.T) {
	r := newRig(t, 1)
	r.engine("far", "elsewhere", 4)
	r.engine("near", "near", 4)
	r.RoundTrip("far", 3*time.Millisecond)
	r.RoundTrip("near", 100*time.Microsecond)
	got := map[string]int{}
	for i := range 8 {
		got[r.place("a", text(fmt.Sprint("p", i), 2)).Target.Endpoint]++
	}
	must.Eq(t, map[string]int{"near": 4, "far": 4}, got)
}

func TestLeavingEndpointGetsNothing(t *testing.T) {
	r := newRig(t, 1)
	r.engines(2, 4)
	prompt := text("p", 20)
	r.holds("e0", "i", "a", prompt)
	must.Eq(t, "e0", r.place("a", prompt).Target.Endpoint)
	r.put("endpoint", "e0", `{"address":"http://e0:80","failure_domain":"near","type":"engine","models":["m"],"max_concurrent":4,"leaving":true}`)
	for range 4 {
		must.Eq(t, "e1", r.place("a", prompt).Target.Endpoint)
	}
	_, now := r.ask("a", prompt)
	must.False(t, now)
}

func TestReadiness(t *testing.T) {
	r := newRig(t, 1)
	r.engines(2, 4)
	must.NotEq(t, "", r.place("a", "restarted router").Target.Endpoint)
	r.Report(r.now, r.now, "e0", sycdispatch.Report{Incarnation: "i"})
	r.report("e1", "i", 0)
	for range 3 {
		must.Eq(t, "e1", r.place("a", "x").Target.Endpoint)
	}
	r.shares = []sycwork.VersionShare{{Version: "v2", Weights: "w2", Share: 1}}
	d, ok := r.ask("a", "x")
	must.True(t, ok)
	must.Eq(t, sycwork.NoEndpoint, d.Refusal.Reason)
}

func TestFailingEndpointIsLeftAndProbed(t *testing.T) {
	r := newRig(t, 1)
	r.engines(2, 64)
	for range 3 {
		d := r.elsewhere("e1", "a", "x")
		r.Finish(r.now, d.ID, sycwork.Result{Outcome: sycwork.Failed})
	}
	for range 20 {
		d := r.place("a", "x")
		must.Eq(t, "e1", d.Target.Endpoint)
	}
	r.now += 10 * time.Second
	probes := 0
	for range 20 {
		if r.place("a", "x").Target.Endpoint == "e0" {
			probes++
		}
	}
	must.Eq(t, 1, probes)
}

func TestSameEventsSameDecisions(t *testing.T) {
	run := func() []string {
		r := newRig(t, 7)
		r.engines(5, 3)
		var chosen []string
		for i := range 40 {
			prompt := text(fmt.Sprint("plan", i%4), 20) + text(fmt.Sprint("tail", i), 1)
			d, ok := r.ask(fmt.Sprint("c", i%3), prompt)
			r.now += 30 * time.Millisecond
			if ok {
				chosen = append(chosen, d.Target.Endpoint)
				r.finish(d, 10*time.Millisecond)
			}
		}
		return chosen
	}
	must.Eq(t, run(), run())
}
