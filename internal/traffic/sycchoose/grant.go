package sycchoose

import (
	"sync/atomic"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// grant is the right to run one attempt.
type grant struct {
	chooser *Chooser
	id      uint64
	target  sycwork.Target
	first   atomic.Bool
	done    atomic.Bool
}

// Target returns the chosen endpoint.
func (g *grant) Target() sycwork.Target { return g.target }

// FirstToken tells that the prefill is over.
func (g *grant) FirstToken() {
	if g.first.Swap(true) {
		return
	}
	g.post(func(now time.Duration, d machine) { d.FirstToken(now, g.id) })
}

// Done releases the endpoint; calls after the first do nothing.
func (g *grant) Done(r sycwork.Result) {
	if g.done.Swap(true) {
		return
	}
	g.post(func(now time.Duration, d machine) { d.Finish(now, g.id, r) })
}

func (g *grant) post(event func(time.Duration, machine)) {
	c := g.chooser
	c.loop.Post(func(now time.Duration) {
		c.act(now, func(d machine) { event(now, d) })
	})
}
