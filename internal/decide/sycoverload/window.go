package sycoverload

import "time"

// window holds what was measured in a span of time.
type window struct {
	// began is when the window began.
	began time.Duration
	// arrivals and accepted count the requests that have arrived and that were accepted.
	arrivals, accepted int
	// processor is the shortest wait for the processor. It is valid if arrivals isn't 0.
	processor time.Duration
	// selections counts the requests that got a selection, and selection is the shortest
	// wait for one.
	selections int
	selection  time.Duration
	// withObjective counts the requests that have an objective, and objectives is the sum of
	// these.
	withObjective int
	objectives    time.Duration
}

// isFull reports whether the window shows whether the VM is overloaded.
func (w *window) isFull(now time.Duration) bool {
	length := now - w.began
	return length >= minWindow && w.arrivals >= minArrivals || length >= maxWindow
}

// observeArrival adds a request that has arrived.
func (w *window) observeArrival(r Request) {
	if w.arrivals == 0 || r.Waited < w.processor {
		w.processor = r.Waited
	}
	w.arrivals++
	if r.Objective > 0 {
		w.withObjective++
		w.objectives += r.Objective
	}
}

// observeSelection adds a request that has its selection.
func (w *window) observeSelection(wait time.Duration) {
	if w.selections == 0 || wait < w.selection {
		w.selection = wait
	}
	w.selections++
}

// delay returns the shortest wait of a request. The oldest is how long the oldest request has
// waited for its selection, which counts if no request got one.
func (w *window) delay(oldest time.Duration) time.Duration {
	if w.selections == 0 {
		return w.processor + oldest
	}
	return w.processor + w.selection
}

// tolerated returns how long requests may wait.
func (w *window) tolerated() time.Duration {
	if w.withObjective == 0 {
		return defaultTolerated
	}
	return time.Duration(toleratedPart * float64(w.objectives) / float64(w.withObjective))
}
