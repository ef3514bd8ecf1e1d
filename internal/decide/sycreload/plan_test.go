package sycreload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycreload"
)

const announced = 60 * time.Millisecond

// TestQuickNames plays three versions named 3.2 s apart on 12 engines whose runs
// take half a second to end and whose loads take 0.45 s, and checks that no
// engine is left two versions behind for 8 seconds, and that most keep serving.
func TestQuickNames(t *testing.T) {
	type engine struct {
		version int64
		freeAt  time.Duration
		loaded  time.Duration
		target  int64
	}
	names := map[time.Duration]int64{2 * time.Second: 2, 5200 * time.Millisecond: 3, 8400 * time.Millisecond: 4}
	namedAt := map[int64]time.Duration{}
	engines := make([]*engine, 12)
	for i := range engines {
		engines[i] = &engine{version: 1}
	}
	p := sycreload.New()
	newest := int64(1)
	for now := time.Duration(0); now < 16*time.Second; now += 50 * time.Millisecond {
		if v, ok := names[now]; ok {
			newest, namedAt[v] = v, now
		}
		var list []sycreload.Engine
		out := 0
		for i, e := range engines {
			id := fmt.Sprint(i)
			if e.target > 0 && now >= e.loaded {
				e.version, e.target = e.target, 0
				p.Done(now, id, true)
			}
			if p.Cordoned(id) {
				out++
			}
			requests := 0
			if now < e.freeAt || !p.Cordoned(id) {
				requests = 3
			}
			list = append(list, sycreload.Engine{ID: id, Behind: newest - e.version, Requests: requests})
			if next, named := namedAt[e.version+1]; named {
				must.Less(t, 8*time.Second, now-next, must.Sprintf("engine %d has version %d at %v", i, e.version, now))
			}
		}
		must.LessEq(t, 4, out)
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

func TestNext(t *testing.T) {
	busy := func(id string) sycreload.Engine { return sycreload.Engine{ID: id, Behind: 1, Requests: 2} }
	idle := func(id string) sycreload.Engine { return sycreload.Engine{ID: id, Behind: 1} }
	fixed := func(id string) sycreload.Engine {
		return sycreload.Engine{ID: id, Behind: 1, Requests: 2, Unresumable: 1}
	}
	tests := []struct {
		name   string
		second []sycreload.Engine
		at     time.Duration
		want   []sycreload.Action
	}{
		{"not announced yet", []sycreload.Engine{idle("a"), busy("b"), busy("c")}, announced - 1, nil},
		{"runs have ended", []sycreload.Engine{idle("a"), busy("b"), busy("c")}, announced, []sycreload.Action{{ID: "a", Load: true}}},
		{"runs take long", []sycreload.Engine{busy("a"), busy("b"), busy("c")}, 1300 * time.Millisecond, []sycreload.Action{{ID: "a", Load: true, Interrupt: true}, {ID: "b", Load: true, Interrupt: true}}},
		{"some can't go on", []sycreload.Engine{fixed("a"), fixed("b"), busy("c")}, 1300 * time.Millisecond, nil},
		{"some can't go on for long", []sycreload.Engine{fixed("a"), fixed("b"), busy("c")}, 2 * time.Second, []sycreload.Action{{ID: "a", Load: true}, {ID: "b", Load: true}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := sycreload.New()
			first := []sycreload.Engine{busy("a"), busy("b"), busy("c")}
			must.Eq(t, []sycreload.Action{{ID: "a"}, {ID: "b"}}, p.Next(0, announced, first))
			must.Eq(t, tt.want, p.Next(tt.at, announced, tt.second))
		})
	}
}

func TestFailedEngineIsLeftAlone(t *testing.T) {
	p := sycreload.New()
	list := []sycreload.Engine{{ID: "a", Behind: 1}}
	p.Next(0, 0, list)
	p.Done(0, "a", false)
	must.Nil(t, p.Next(100*time.Millisecond, 0, list))
	must.SliceNotEmpty(t, p.Next(time.Second, 0, list))
}
