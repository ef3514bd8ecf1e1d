package sycreload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycreload"
)

// announced is the time until all VMs know of a cordon.
const announced = 60 * time.Millisecond

// TestVersionsInQuickSuccession publishes three versions of weights at intervals of
// 3.2 s to 12 engines whose requests take 0.5 s to end and whose loads take 0.6 s. It
// checks that every engine has a version, or a newer one, within 8 s of its
// publication, and that at most 4 engines are cordoned at a time.
func TestVersionsInQuickSuccession(t *testing.T) {
	type engine struct {
		version int64
		// freeAt is when the requests of a cordoned engine end.
		freeAt time.Duration
		// loaded is when the load of target ends; target is 0 if the engine isn't loading.
		loaded time.Duration
		target int64
	}
	published := map[time.Duration]int64{2 * time.Second: 2, 5200 * time.Millisecond: 3, 8400 * time.Millisecond: 4}
	publishedAt := map[int64]time.Duration{}
	engines := make([]*engine, 12)
	for i := range engines {
		engines[i] = &engine{version: 1}
	}
	p := sycreload.New()
	newest := int64(1)
	for now := time.Duration(0); now < 16*time.Second; now += 50 * time.Millisecond {
		if v, ok := published[now]; ok {
			newest, publishedAt[v] = v, now
		}
		var list []sycreload.Engine
		cordoned := 0
		for i, e := range engines {
			id := fmt.Sprint(i)
			if e.target > 0 && now >= e.loaded {
				e.version, e.target = e.target, 0
				p.Done(now, id, true)
			}
			if p.Cordoned(id) {
				cordoned++
			}
			requests := 0
			if now < e.freeAt || !p.Cordoned(id) {
				requests = 3
			}
			list = append(list, sycreload.Engine{ID: id, Behind: newest - e.version, Requests: requests})
			if next, ok := publishedAt[e.version+1]; ok {
				must.Less(t, 8*time.Second, now-next, must.Sprintf("engine %d has version %d at %v", i, e.version, now))
			}
		}
		must.LessEq(t, 4, cordoned)
		for _, a := range p.Next(now, announced, list) {
			var i int
			_, _ = fmt.Sscan(a.ID, &i)
			if !a.Load {
				engines[i].freeAt = now + 500*time.Millisecond
				continue
			}
			engines[i].loaded, engines[i].target = now+600*time.Millisecond, newest
		}
	}
	for _, e := range engines {
		must.Eq(t, 4, e.version)
	}
}

// TestNext cordons two of six engines with requests in progress and checks which actions are
// due at a later time, depending on the requests that are left.
func TestNext(t *testing.T) {
	busy := func(id string) sycreload.Engine { return sycreload.Engine{ID: id, Behind: 1, Requests: 2} }
	idle := func(id string) sycreload.Engine { return sycreload.Engine{ID: id, Behind: 1} }
	nonResumable := func(id string) sycreload.Engine {
		return sycreload.Engine{ID: id, Behind: 1, Requests: 2, NonResumable: 1}
	}
	tests := []struct {
		name string
		// later lists the engines at the time at.
		later []sycreload.Engine
		at    time.Duration
		want  []sycreload.Action
	}{
		{"cordon not announced yet", []sycreload.Engine{idle("a"), busy("b"), busy("c")}, announced - 1, nil},
		{"requests have ended", []sycreload.Engine{idle("a"), busy("b"), busy("c")}, announced, []sycreload.Action{{ID: "a", Load: true}}},
		{"requests take long", []sycreload.Engine{busy("a"), busy("b"), busy("c")}, 1300 * time.Millisecond, []sycreload.Action{{ID: "a", Load: true, Interrupt: true}, {ID: "b", Load: true, Interrupt: true}}},
		{"some can't resume", []sycreload.Engine{nonResumable("a"), nonResumable("b"), busy("c")}, 1300 * time.Millisecond, nil},
		{"some can't resume and take long", []sycreload.Engine{nonResumable("a"), nonResumable("b"), busy("c")}, 2 * time.Second, []sycreload.Action{{ID: "a", Load: true}, {ID: "b", Load: true}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := sycreload.New()
			others := []sycreload.Engine{busy("d"), busy("e"), busy("f")}
			first := append([]sycreload.Engine{busy("a"), busy("b"), busy("c")}, others...)
			must.Eq(t, []sycreload.Action{{ID: "a"}, {ID: "b"}}, p.Next(0, announced, first))
			must.Eq(t, tt.want, p.Next(tt.at, announced, append(tt.later, others...)))
		})
	}
}

// TestExpiredEnginesLoadAtOnce guards against engines that get no requests, since their weights were replaced too long ago, and
// wait for a cordon that others have.
func TestExpiredEnginesLoadAtOnce(t *testing.T) {
	p := sycreload.New()
	list := []sycreload.Engine{
		{ID: "a", Behind: 1, Requests: 2}, {ID: "b", Behind: 1, Requests: 2}, {ID: "c", Behind: 1, Requests: 2}, {ID: "d", Behind: 1, Requests: 2},
	}
	must.Eq(t, []sycreload.Action{{ID: "a"}, {ID: "b"}}, p.Next(0, announced, list))
	list[2].Expired, list[2].Requests = true, 0
	must.Eq(t, []sycreload.Action{{ID: "c"}, {ID: "c", Load: true}}, p.Next(1, announced, list))
}

// TestFailedLoadIsRetriedLater checks that an engine whose load failed is planned again
// after a delay and not before, so that a broken engine isn't ordered continuously.
func TestFailedLoadIsRetriedLater(t *testing.T) {
	p := sycreload.New()
	list := []sycreload.Engine{{ID: "a", Behind: 1}}
	p.Next(0, 0, list)
	p.Done(0, "a", false)
	must.Nil(t, p.Next(100*time.Millisecond, 0, list))
	must.SliceNotEmpty(t, p.Next(time.Second, 0, list))
}

// TestLargeFleetLoadsInTime guards against engines that get new weights too late, or never, since
// there are many of them.
func TestLargeFleetLoadsInTime(t *testing.T) {
	const (
		// bound is the time within which all engines must have new weights.
		bound = 10 * time.Second
		// drained is how long a cordoned engine's requests take to end, and loading how
		// long an engine takes to load.
		drained = 700 * time.Millisecond
		loading = 700 * time.Millisecond
	)
	for _, count := range []int{9, 36, 60, 90, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			p := sycreload.New()
			cordonedAt, loadedAt := map[string]time.Duration{}, map[string]time.Duration{}
			outdated := count
			for now := time.Duration(0); outdated > 0; now += 100 * time.Millisecond {
				must.Less(t, bound, now, must.Sprintf("%d engines still have old weights", outdated))
				var engines []sycreload.Engine
				for i := range count {
					id := fmt.Sprint(i)
					e := sycreload.Engine{ID: id, Behind: 1, Requests: 3}
					if at, ok := loadedAt[id]; ok && now >= at {
						if p.Cordoned(id) {
							p.Done(now, id, true)
							outdated--
						}
						e.Behind = 0
					}
					if at, ok := cordonedAt[id]; ok && now >= at+drained {
						e.Requests = 0
					}
					engines = append(engines, e)
				}
				for _, a := range p.Next(now, announced, engines) {
					if a.Load {
						loadedAt[a.ID] = now + loading
						continue
					}
					cordonedAt[a.ID] = now
				}
				must.LessEq(t, max(2, 0.34*float64(count)), float64(p.CordonedCount()))
				must.LessEq(t, max(2, 0.2*float64(count)), float64(p.LoadingCount()))
			}
		})
	}
}
