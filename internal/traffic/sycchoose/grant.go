package sycchoose

import (
	"sync/atomic"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// grant is the permission to run one attempt. It implements sycwork.Grant.
type grant struct {
	chooser *Chooser
	// id is the ID of the request at the dispatcher.
	id uint64
	// target is the selected endpoint.
	target sycwork.Target
	// prefillDone is set by the first call of FirstToken.
	prefillDone atomic.Bool
	// done is set by the first call of Done.
	done atomic.Bool
}

// Target returns the selected endpoint.
func (g *grant) Target() sycwork.Target { return g.target }

// FirstToken records that the attempt's first token has arrived, so its prefill is over.
// Calls after the first do nothing.
func (g *grant) FirstToken() {
	if g.prefillDone.Swap(true) {
		return
	}
	g.post(func(now time.Duration, d dispatcher) { d.FirstToken(now, g.id) })
}

// Done records the attempt's result and releases the endpoint. Calls after the first do
// nothing.
func (g *grant) Done(r sycwork.Result) {
	if g.done.Swap(true) {
		return
	}
	g.post(func(now time.Duration, d dispatcher) { d.Finish(now, g.id, r) })
}

// post passes an event to the dispatcher on the loop.
func (g *grant) post(event func(time.Duration, dispatcher)) {
	c := g.chooser
	c.loop.Post(func(now time.Duration) {
		c.act(now, func(d dispatcher) { event(now, d) })
	})
}
