package sycfleet

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
)

// orderedEngines are engines that accept every order and record it.
type orderedEngines struct {
	Engines
	orders []Order
}

// Order records an order.
func (e *orderedEngines) Order(_ context.Context, _ sycplace.Endpoint, o Order) (bool, error) {
	e.orders = append(e.orders, o)
	return true, nil
}

// TestLastAttemptIsNotInterrupted guards against an order that breaks off a request whose last attempt has begun since the plan,
// or that no other engine can go on with since then.
func TestLastAttemptIsNotInterrupted(t *testing.T) {
	tests := []struct {
		name string
		// change happens between the plan and the order.
		change    func(f *Fleet)
		interrupt bool
	}{
		{"nothing changes", func(*Fleet) {}, true},
		{"the attempt is now the last", func(f *Fleet) { f.MarkLast(1) }, false},
		{"the other engine has got a cordon", func(f *Fleet) {
			f.loop.Do(func(now time.Duration) { f.selector.Cordon("other", now, now+time.Minute) })
		}, false},
		{"the other engine has left", func(f *Fleet) { f.loop.Do(func(time.Duration) { f.selector.Drop("other") }) }, false},
		{"the attempt ends", func(f *Fleet) { f.FinishAttempt(1, sycplace.Served, "r", time.Second) }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNetwork(t, 1)
			f, engines := n.vms[0], &orderedEngines{}
			f.options.Engines = engines
			f.loop.Do(func(now time.Duration) {
				n.now = now
				n.grant(0)
				f.selector.Put(sycplace.Endpoint{ID: "other", Service: "s", Slots: 64, Weights: map[string]int64{"m": 1}})
				target, _ := f.selector.Select(now, &sycplace.Request{
					ID: 1, Service: "s", Model: "m", Tokens: 50, Remaining: time.Minute, Resumable: true, Exclude: []string{"other"},
				})
				must.NotNil(t, target)
				must.Eq(t, 0, f.selector.Load("e").NonResumable)
			})
			tt.change(f)
			// The loop does control work first.
			f.loop.Do(func(time.Duration) {})
			must.NoError(t, f.sendOrder(sycplace.Endpoint{ID: "e"}, Order{Weights: Weights{Model: "m", Version: 2}, Interrupt: true}))
			must.Len(t, 1, engines.orders)
			must.Eq(t, tt.interrupt, engines.orders[0].Interrupt)
		})
	}
}
