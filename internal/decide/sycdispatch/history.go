package sycdispatch

import "time"

// historyKept is how long changes of load are remembered; load reports lag by less.
const historyKept = 5 * time.Second

// load is work at an endpoint.
type load struct {
	requests int
	// prefill is the number of prompt tokens still to be computed.
	prefill int
}

func (l load) plus(m load) load {
	return load{requests: l.requests + m.requests, prefill: l.prefill + m.prefill}
}

// beyond is what l has more than m.
func (l load) beyond(m load) load {
	return load{requests: max(l.requests-m.requests, 0), prefill: max(l.prefill-m.prefill, 0)}
}

// sample is a value from a time on.
type sample[T any] struct {
	at    time.Duration
	value T
}

// history remembers a changing value for a limited time.
type history[T any] struct {
	// samples are ordered by time.
	samples []sample[T]
}

// add records the value from now on.
func (h *history[T]) add(now time.Duration, value T) {
	old := 0
	for old+1 < len(h.samples) && h.samples[old+1].at < now-historyKept {
		old++
	}
	h.samples = append(h.samples[old:], sample[T]{at: now, value: value})
}

// at returns the value at a time, the zero value before the first.
func (h *history[T]) at(t time.Duration) T {
	var value T
	for i := len(h.samples) - 1; i >= 0; i-- {
		if h.samples[i].at <= t {
			return h.samples[i].value
		}
	}
	return value
}
