package sycreload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycreload"
)

// groupEngine is an engine of a simulated group, which always has resumable requests unless it loads.
type groupEngine struct {
	sycreload.Engine
	version int64
	// loaded is when the load of target ends; target is 0 if the engine doesn't load.
	loaded time.Duration
	target int64
	// failed is set while the engine isn't in use.
	failed bool
}

// listed returns the engine as the plan gets it, for the newest version.
func (e *groupEngine) listed(newest int64) sycreload.Engine {
	out := e.Engine
	out.Behind, out.Requests = newest-e.version, 3
	return out
}

// canTakeOver reports whether another engine could go on with an engine's requests.
func canTakeOver(p *sycreload.Plan, engines []*groupEngine, id, group string) bool {
	for _, e := range engines {
		if e.ID != id && e.Group == group && !e.failed && !e.Unavailable && e.target == 0 && !p.Cordoned(e.ID) {
			return true
		}
	}
	return false
}

// TestNoLastEngineIsInterrupted guards against an order that breaks off the requests of an engine while no other of its group
// can go on with them, and against engines that get no new weights in time by that. Versions follow each other at 3.2 s.
func TestNoLastEngineIsInterrupted(t *testing.T) {
	tests := []struct {
		name string
		// sizes are the sizes of the groups.
		sizes []int
		// unavailable is how many engines of each group can't take over requests.
		unavailable int
		// fails is set if an engine of each group fails for a second, again and again.
		fails bool
	}{
		{"one engine", []int{1}, 0, false},
		{"two engines", []int{2}, 0, false},
		{"three engines", []int{3}, 0, false},
		{"five engines", []int{5}, 0, false},
		{"nine engines", []int{9}, 0, false},
		{"two beside nine", []int{2, 9}, 0, false},
		{"two beside two", []int{2, 2}, 0, false},
		{"one of two is unavailable", []int{2}, 1, false},
		{"two of three are unavailable", []int{3}, 2, false},
		{"one of two fails", []int{2}, 0, true},
		{"one of five fails", []int{5}, 0, true},
	}
	const (
		period, step, load = 3200 * time.Millisecond, 50 * time.Millisecond, 600 * time.Millisecond
		versions           = 5
		// bound is the time within which an engine that hasn't failed has a version or a newer one.
		bound = 8 * time.Second
	)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var engines []*groupEngine
			for g, size := range tt.sizes {
				for i := range size {
					engines = append(engines, &groupEngine{
						Engine:  sycreload.Engine{ID: fmt.Sprint(g, "-", i), Group: fmt.Sprint(g), Unavailable: i < tt.unavailable},
						version: 1,
					})
				}
			}
			p := sycreload.New()
			interrupted := 0
			for now := time.Duration(0); now < versions*period; now += step {
				newest := 2 + int64(now/period)
				var list []sycreload.Engine
				for i, e := range engines {
					if e.target > 0 && now >= e.loaded {
						e.version, e.target = e.target, 0
						p.Done(now, e.ID, true)
					}
					e.failed = tt.fails && i == int(now/time.Second)%len(engines)
					if !e.failed {
						list = append(list, e.listed(newest))
					}
					if due := time.Duration(e.version-1)*period + bound; !tt.fails {
						must.Less(t, due, now, must.Sprintf("engine %s has version %d", e.ID, e.version))
					}
				}
				for _, a := range p.Next(now, announced, list) {
					if !a.Load {
						continue
					}
					for _, e := range engines {
						if e.ID != a.ID {
							continue
						}
						if a.Interrupt {
							interrupted++
							must.True(t, canTakeOver(p, engines, e.ID, e.Group), must.Sprintf("engine %s at %v", e.ID, now))
						}
						e.loaded, e.target = now+load, newest
					}
				}
			}
			if tt.sizes[0] > 1 && tt.unavailable == 0 && !tt.fails {
				must.Positive(t, interrupted)
			}
		})
	}
}
