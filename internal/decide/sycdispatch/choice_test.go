package sycdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// TestVMsAgreeOnColdPrefixesAndSpreadThem checks that all VMs select the same
// endpoint for a prefix that isn't cached anywhere, and that different prefixes are
// spread over the endpoints.
func TestVMsAgreeOnColdPrefixesAndSpreadThem(t *testing.T) {
	homes := map[string]int{}
	for i := range 40 {
		prompt := promptText(fmt.Sprint("plan", i), 30)
		var home string
		for seed := range uint64(4) {
			r := newRig(t, seed)
			r.addEngines(8, 16)
			d := r.mustSelect("a", prompt+promptText(fmt.Sprint("tail", seed), 2))
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

// TestHerdWithLaggingLoadDoesNotPileUp guards against all VMs sending their requests
// to the one idle engine while they don't know of each other's load yet.
func TestHerdWithLaggingLoadDoesNotPileUp(t *testing.T) {
	const vms, rounds, engines = 8, 4, 10
	counts := map[string]int{}
	for seed := range uint64(vms) {
		r := newRig(t, seed)
		r.addEngines(engines, 16)
		for i := range engines {
			running := 6
			if i == 3 {
				running = 0
			}
			r.reportLoad(fmt.Sprint("e", i), "i", running)
		}
		for i := range rounds {
			d := r.mustSelect("a", promptText(fmt.Sprint("own", seed, i), 1))
			counts[d.Target.Endpoint]++
		}
	}
	for name, n := range counts {
		must.LessEq(t, vms*rounds/3, n, must.Sprint(name))
	}
}

// TestHotPrefixSpreadsAndShrinksBack checks that a prefix used by many requests
// spreads over several engines, and that few engines are used for it once the load
// is gone.
func TestHotPrefixSpreadsAndShrinksBack(t *testing.T) {
	prompt := promptText("hot", 60)
	r := newRig(t, 1)
	r.addEngines(8, 8)
	for i := range 8 {
		r.reportLoad(fmt.Sprint("e", i), "i", 0)
	}
	r.reportCached("e2", "i", "a", prompt)
	runRequests := func(n, concurrent int, gap time.Duration) map[string]int {
		counts := map[string]int{}
		var running []sycdispatch.Decision
		for i := range n {
			r.Submit(r.now, r.request("a", prompt+promptText(fmt.Sprint("tail", i), 1)))
			for _, d := range r.Take() {
				counts[d.Target.Endpoint]++
				running = append(running, d)
				r.now += 10 * time.Millisecond
				r.FirstToken(r.now, d.ID)
			}
			r.now += gap
			if len(running) > concurrent {
				r.Finish(r.now, running[0].ID, sycwork.Result{Outcome: sycwork.Succeeded})
				running = running[1:]
			}
		}
		for len(running) > 0 {
			r.Finish(r.now, running[0].ID, sycwork.Result{Outcome: sycwork.Succeeded})
			running = append(running[1:], r.Take()...)
		}
		return counts
	}
	hot := runRequests(200, 10, 20*time.Millisecond)
	must.Greater(t, 2, len(hot))
	r.now += time.Minute
	for i := range 8 {
		r.Resync(r.now, fmt.Sprint("e", i), "i", 1, nil)
	}
	r.Resync(r.now, "e2", "i", 2, chainOf("a", prompt))
	must.LessEq(t, 2, len(runRequests(10, 0, time.Second)))
}

// TestNearEndpointsFirst fills an endpoint of the VM's own failure domain and one of
// another domain, and checks that both get requests up to their concurrency. The order
// is not checked.
func TestNearEndpointsFirst(t *testing.T) {
	r := newRig(t, 1)
	r.addEngine("far", "elsewhere", 4)
	r.addEngine("near", "near", 4)
	r.RoundTrip("far", 3*time.Millisecond)
	r.RoundTrip("near", 100*time.Microsecond)
	counts := map[string]int{}
	for i := range 8 {
		counts[r.mustSelect("a", promptText(fmt.Sprint("p", i), 2)).Target.Endpoint]++
	}
	must.Eq(t, map[string]int{"near": 4, "far": 4}, counts)
}

func TestLeavingEndpointGetsNothing(t *testing.T) {
	r := newRig(t, 1)
	r.addEngines(2, 4)
	prompt := promptText("p", 20)
	r.reportCached("e0", "i", "a", prompt)
	must.Eq(t, "e0", r.mustSelect("a", prompt).Target.Endpoint)
	r.publish("endpoint", "e0", `{"address":"http://e0:80","failure_domain":"near","type":"engine","models":["m"],"max_concurrent":4,"leaving":true}`)
	for range 4 {
		must.Eq(t, "e1", r.mustSelect("a", prompt).Target.Endpoint)
	}
	_, now := r.submit("a", prompt)
	must.False(t, now)
}

func TestReadiness(t *testing.T) {
	r := newRig(t, 1)
	r.addEngines(2, 4)
	must.NotEq(t, "", r.mustSelect("a", "restarted router").Target.Endpoint)
	r.Report(r.now, r.now, "e0", sycdispatch.Report{Incarnation: "i"})
	r.reportLoad("e1", "i", 0)
	for range 3 {
		must.Eq(t, "e1", r.mustSelect("a", "x").Target.Endpoint)
	}
	r.versionShares = []sycwork.VersionShare{{Version: "v2", Weights: "w2", Share: 1}}
	d, ok := r.submit("a", "x")
	must.True(t, ok)
	must.Eq(t, sycwork.NoEndpoint, d.Refusal.Reason)
}

func TestFailingEndpointIsLeftAndProbed(t *testing.T) {
	r := newRig(t, 1)
	r.addEngines(2, 64)
	for range 3 {
		d := r.selectExcluding("e1", "a", "x")
		r.Finish(r.now, d.ID, sycwork.Result{Outcome: sycwork.Failed})
	}
	for range 20 {
		d := r.mustSelect("a", "x")
		must.Eq(t, "e1", d.Target.Endpoint)
	}
	r.now += 10 * time.Second
	probes := 0
	for range 20 {
		if r.mustSelect("a", "x").Target.Endpoint == "e0" {
			probes++
		}
	}
	must.Eq(t, 1, probes)
}

// TestSameEventsSameDecisions checks that the decisions depend on nothing but the
// events and the seed.
func TestSameEventsSameDecisions(t *testing.T) {
	run := func() []string {
		r := newRig(t, 7)
		r.addEngines(5, 3)
		var chosen []string
		for i := range 40 {
			prompt := promptText(fmt.Sprint("plan", i%4), 20) + promptText(fmt.Sprint("tail", i), 1)
			d, ok := r.submit(fmt.Sprint("c", i%3), prompt)
			r.now += 30 * time.Millisecond
			if ok {
				chosen = append(chosen, d.Target.Endpoint)
				r.succeed(d, 10*time.Millisecond)
			}
		}
		return chosen
	}
	must.Eq(t, run(), run())
}
