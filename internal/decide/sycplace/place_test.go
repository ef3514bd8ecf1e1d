package sycplace_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
)

const model = "m"

func newPlacer(engines int) *sycplace.Selector { return placerWithin(engines, 8*time.Second) }

// placerWithin returns a placer that must have left older weights within a time.
func placerWithin(engines int, within time.Duration) *sycplace.Selector {
	p := sycplace.New(sycplace.Settings{
		WeightsWithin:   within,
		FailureDomain:   "z0",
		Seed:            1,
		TokensPerSecond: 60000,
		FirstToken:      20 * time.Millisecond,
	})
	p.CacheTokens("llm", 100000)
	for i := range engines {
		p.Put(engine(i, 1))
	}
	return p
}

func engine(i int, weights int64) sycplace.Endpoint {
	return sycplace.Endpoint{
		ID:            fmt.Sprint("e", i),
		Service:       "llm",
		Address:       fmt.Sprintf("10.0.0.%d:80", i),
		FailureDomain: "z0",
		Release:       "v1",
		Slots:         64,
		Weights:       map[string]int64{model: weights},
	}
}

func request(id uint64, subject uint64) *sycplace.Request {
	return &sycplace.Request{
		ID:        id,
		Service:   "llm",
		Model:     model,
		Blocks:    []sycplace.Block{{Hash: 1, Tokens: 500}, {Hash: 100 + subject, Tokens: 4000}, {Hash: 10000 + id, Tokens: 1000}},
		Tokens:    5500,
		Remaining: 5 * time.Second,
		Objective: 800 * time.Millisecond,
	}
}

func place(t *testing.T, p *sycplace.Selector, now time.Duration, r *sycplace.Request) *sycplace.Target {
	t.Helper()
	target, refusal := p.Select(now, r)
	must.Nil(t, refusal)
	return target
}

func TestPromptGoesWhereItIsKept(t *testing.T) {
	p := newPlacer(8)
	first := place(t, p, 0, request(1, 7))
	must.Eq(t, 0, first.CachedTokens)
	p.Finish(time.Second, 1, sycplace.Served)
	second := place(t, p, time.Second, request(2, 7))
	must.Eq(t, first.Endpoint.ID, second.Endpoint.ID)
	must.Eq(t, 4500, second.CachedTokens)
}

func TestVMsAgreeOnTheHomeOfANewPrompt(t *testing.T) {
	for subject := range uint64(20) {
		a, b := newPlacer(8), newPlacer(8)
		must.Eq(t, place(t, a, 0, request(1, subject)).Endpoint.ID, place(t, b, 0, request(2, subject)).Endpoint.ID)
	}
}

func TestBusyHomeIsLeftAndItsPartsFetched(t *testing.T) {
	p := newPlacer(4)
	home := place(t, p, 0, request(1, 7)).Endpoint
	for id := range uint64(40) {
		target := place(t, p, 0, request(10+id, 7))
		if target.Endpoint.ID == home.ID {
			continue
		}
		must.Eq(t, home.Address, target.FetchFrom)
		must.Eq(t, 4500, target.FetchTokens)
		return
	}
	t.Fatal("all went to one engine")
}

func TestNothingIsFetchedFromOtherWeights(t *testing.T) {
	p := newPlacer(2)
	home := place(t, p, 0, request(1, 7)).Endpoint
	p.UpdateWeights(home.ID, 0, map[string]int64{model: 2})
	for id := range uint64(20) {
		must.Eq(t, "", place(t, p, 0, request(10+id, id)).FetchFrom)
		p.Finish(0, 10+id, sycplace.Cancelled)
	}
}

func TestNewWeightsForgetWhatWasKept(t *testing.T) {
	p := newPlacer(1)
	place(t, p, 0, request(1, 7))
	p.Put(engine(0, 2))
	must.Eq(t, 0, place(t, p, 0, request(2, 7)).CachedTokens)
	p.Put(engine(0, 1))
	must.Eq(t, 2, place(t, p, 0, request(3, 7)).Weights, must.Sprint("an older record changes nothing"))
}

func TestOldWeightsAreLeftInTime(t *testing.T) {
	tests := []struct {
		name   string
		within time.Duration
		names  map[int64]time.Duration
		at     time.Duration
		old    bool
	}{
		{"just named", 8 * time.Second, map[int64]time.Duration{2: 0}, 100 * time.Millisecond, true},
		{"long named", 8 * time.Second, map[int64]time.Duration{2: 0}, 7 * time.Second, false},
		{"named again lately", 8 * time.Second, map[int64]time.Duration{2: 0, 3: 6 * time.Second}, 7 * time.Second, false},
		{"named for most of a short time", 4 * time.Second, map[int64]time.Duration{2: 0}, 3500 * time.Millisecond, false},
		{"named for a part of a long time", 20 * time.Second, map[int64]time.Duration{2: 0}, 7 * time.Second, true},
		{"no bound", 0, map[int64]time.Duration{2: 0}, time.Hour, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := placerWithin(2, tt.within)
			for version := int64(2); version < 4; version++ {
				if at, named := tt.names[version]; named {
					p.AnnounceWeights(at, model, version)
				}
			}
			p.Put(engine(0, 3))
			old := false
			for id := range uint64(40) {
				old = old || place(t, p, tt.at, request(id, id)).Endpoint.ID == "e1"
				p.Finish(tt.at, id, sycplace.Cancelled)
			}
			must.Eq(t, tt.old, old)
		})
	}
}

func TestRestartedVMTakesTheNewestThereAre(t *testing.T) {
	p := newPlacer(3)
	p.Put(engine(2, 2))
	p.AnnounceWeights(-time.Hour, model, 3)
	for id := range uint64(20) {
		must.Eq(t, "e2", place(t, p, 0, request(id, id)).Endpoint.ID)
		p.Finish(0, id, sycplace.Cancelled)
	}
}

func TestHeldAndLeavingEndpoints(t *testing.T) {
	p := newPlacer(3)
	p.Cordon("e0", time.Second)
	leaving := engine(1, 1)
	leaving.Leaving = true
	p.Put(leaving)
	for id := range uint64(20) {
		must.Eq(t, "e2", place(t, p, 0, request(id, id)).Endpoint.ID)
		p.Finish(0, id, sycplace.Cancelled)
	}
	p.Drop("e2")
	must.Eq(t, "e0", place(t, p, 0, request(99, 1)).Endpoint.ID, must.Sprint("a held endpoint is better than none"))
	p.Drop("e0")
	_, refusal := p.Select(0, request(100, 1))
	must.Eq(t, sycplace.NoEndpoint, refusal.Reason)
}

func TestUnreachableEndpointIsLeft(t *testing.T) {
	p := newPlacer(2)
	bad := place(t, p, 0, request(1, 7)).Endpoint.ID
	p.Finish(0, 1, sycplace.Unreachable)
	for id := range uint64(10) {
		must.NotEq(t, bad, place(t, p, 0, request(10+id, 7)).Endpoint.ID)
	}
}

func TestSilentEndpointIsLeftWhileAnswersAreAwaited(t *testing.T) {
	p := newPlacer(2)
	bad := place(t, p, 0, request(1, 7)).Endpoint.ID
	p.Tick(300 * time.Millisecond)
	must.Eq(t, "healthy", p.State(bad))
	p.Tick(2 * time.Second)
	must.Eq(t, "out", p.State(bad))
	for id := range uint64(5) {
		must.NotEq(t, bad, place(t, p, 2*time.Second, request(10+id, 7)).Endpoint.ID)
	}
}

func TestSlowEndpointThatAnswersOthersIsNotSilent(t *testing.T) {
	p := newPlacer(1)
	place(t, p, 0, request(1, 7))
	place(t, p, 0, request(2, 8))
	p.ObserveFirstByte(time.Second, 2)
	p.Tick(2 * time.Second)
	must.Eq(t, "healthy", p.State("e0"))
}

func TestBreakOffByAnOrderIsNoFault(t *testing.T) {
	p := newPlacer(1)
	for id := range uint64(10) {
		place(t, p, 0, request(id, 7))
	}
	p.Cordon("e0", time.Second)
	for id := range uint64(10) {
		must.Eq(t, sycplace.Cancelled, p.Finish(time.Second, id, sycplace.Failed).Outcome)
	}
	must.Eq(t, "healthy", p.State("e0"))
}

func TestLoadOfOtherVMsCounts(t *testing.T) {
	p := newPlacer(2)
	p.ApplyPeerReport(0, "vm2", []sycplace.Load{{Endpoint: "e0", Requests: 30, Tokens: 100000}}, nil)
	for id := range uint64(5) {
		must.Eq(t, "e1", place(t, p, 0, request(id, 50+id)).Endpoint.ID)
	}
	must.Eq(t, 30, p.Load(0, "e0").Requests)
	must.Eq(t, 0, p.Load(2*time.Second, "e0").Requests, must.Sprint("old news counts no more"))
}

func TestPlainServiceIsRefusedWhenFull(t *testing.T) {
	p := newPlacer(0)
	p.Put(sycplace.Endpoint{ID: "a", Service: "app", Slots: 2})
	var refusal *sycplace.Refusal
	for id := uint64(0); refusal == nil; id++ {
		must.Less(t, 10, id)
		_, refusal = p.Select(0, &sycplace.Request{ID: id, Service: "app", Remaining: time.Second, ServiceTime: 50 * time.Millisecond})
	}
	must.Eq(t, sycplace.Full, refusal.Reason)
	must.Positive(t, refusal.After)
}

// TestOverloadRefusesTheLessUrgent plays twice the load that two engines can
// read, and checks that the most urgent kind is served in time, that the other
// fills what is left, and that long prompts are refused no more often than short
// ones.
func TestOverloadRefusesTheLessUrgent(t *testing.T) {
	const step = 10 * time.Millisecond
	p := newPlacer(2)
	type run struct {
		id  uint64
		end time.Duration
	}
	var runs []run
	free := map[string]time.Duration{}
	served, asked := map[string]int{}, map[string]int{}
	id := uint64(0)
	for now := time.Duration(0); now < 20*time.Second; now += step {
		for len(runs) > 0 && runs[0].end <= now {
			p.ObserveFirstByte(now, runs[0].id)
			p.Finish(now, runs[0].id, sycplace.Served)
			runs = runs[1:]
		}
		id++
		r := request(id, id)
		kind := "short"
		switch {
		case id%4 == 0:
			kind, r.Priority, r.Objective = "urgent", 0, 400*time.Millisecond
			r.Blocks, r.Tokens = nil, 1500
		case id%8 == 1:
			kind, r.Priority, r.Blocks, r.Tokens = "long", 1, nil, 9000
		default:
			r.Priority, r.Blocks, r.Tokens = 1, nil, 2000
		}
		asked[kind]++
		target, refusal := p.Select(now, r)
		if refusal != nil {
			must.Positive(t, refusal.After)
			continue
		}
		served[kind]++
		start := max(free[target.Endpoint.ID], now)
		end := start + time.Duration(float64(r.Tokens)/60000*float64(time.Second))
		free[target.Endpoint.ID] = end
		if kind == "urgent" {
			must.Less(t, 500*time.Millisecond, end-now, must.Sprintf("request %d", id))
		}
		runs = append(runs, run{id, end})
		slices.SortFunc(runs, func(a, b run) int { return int(a.end - b.end) })
	}
	part := func(kind string) float64 { return float64(served[kind]) / float64(asked[kind]) }
	must.Greater(t, 0.95, part("urgent"), must.Sprint(served, asked))
	must.Less(t, 0.9, part("short"), must.Sprint(served, asked))
	must.Greater(t, part("short")/2, part("long"), must.Sprint(served, asked))
}

func TestPolicies(t *testing.T) {
	tests := []struct {
		policy string
		// engines is how many engines 12 requests on one prompt go to.
		engines int
	}{{sycplace.PolicyExpected, 1}, {sycplace.PolicyRendezvous, 1}, {sycplace.PolicyRoundRobin, 4}, {sycplace.PolicyLeastLoaded, 1}}
	for _, tt := range tests {
		t.Run(tt.policy, func(t *testing.T) {
			p := sycplace.New(sycplace.Settings{FailureDomain: "z0", TokensPerSecond: 60000, Policy: tt.policy})
			p.CacheTokens("llm", 100000)
			for i := range 4 {
				p.Put(engine(i, 1))
			}
			used := map[string]bool{}
			for id := range uint64(12) {
				used[place(t, p, 0, request(id, 7)).Endpoint.ID] = true
				p.Finish(0, id, sycplace.Served)
			}
			must.MapLen(t, tt.engines, used)
		})
	}
}

func TestSplit(t *testing.T) {
	tests := []struct {
		share    float64
		min, max int
	}{{0, 0, 0}, {0.08, 60, 100}, {0.5, 450, 550}, {1, 1000, 1000}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.share), func(t *testing.T) {
			p := newPlacer(2)
			fresh := engine(1, 1)
			fresh.Release = "v2"
			p.Put(fresh)
			p.SetTrafficShare("llm", "v2", tt.share)
			got := 0
			for id := range uint64(1000) {
				if place(t, p, 0, request(5000+id, 1)).Endpoint.ID == "e1" {
					got++
				}
				p.Finish(0, 5000+id, sycplace.Served)
			}
			must.Between(t, tt.min, got, tt.max)
		})
	}
}
