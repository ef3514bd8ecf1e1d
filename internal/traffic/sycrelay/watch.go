package sycrelay

import (
	"context"
	"time"
)

// silence is how long a stream that may go on elsewhere may pause.
const silence = 1100 * time.Millisecond

// watch ends an attempt on whose answer it is not worth to wait any longer, if
// the request may be sent elsewhere.
type watch struct {
	cancel context.CancelFunc
	// timer is nil if the request must stay where it is.
	timer *time.Timer
}

// watch returns the context of the next attempt. Before the first byte the
// attempt may take as long as the target's patience, after it only pauses count.
func (x *exchange) watch(ctx context.Context) (context.Context, *watch) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{cancel: cancel}
	if x.route.Repeats() && x.attempts < x.route.Attempts {
		w.timer = time.AfterFunc(x.target.FirstByteTimeout(), cancel)
	}
	return ctx, w
}

// heard tells that a part of the answer has come.
func (w *watch) heard() {
	if w.timer != nil {
		w.timer.Reset(silence)
	}
}

// pause stops the watch while the caller is slow to take what has come.
func (w *watch) pause() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// stop ends the watch and its context's timers; reads that are under way end.
func (w *watch) stop() {
	w.pause()
	w.cancel()
}
