package sycdispatch

import "time"

// historyWindow is how long past loads are kept. Load reports arrive with less delay
// than this.
const historyWindow = 5 * time.Second

// load is the load on an endpoint: its requests and the prompt tokens that it still
// has to compute for them.
type load struct {
	// requests is the number of requests at the endpoint, running or waiting there.
	requests int
	// prefillTokens is the number of prompt tokens still to be computed for them.
	prefillTokens int
}

// plus returns the sum of two loads.
func (l load) plus(m load) load {
	return load{requests: l.requests + m.requests, prefillTokens: l.prefillTokens + m.prefillTokens}
}

// excessOver returns how much l exceeds m. Each part is at least 0.
func (l load) excessOver(m load) load {
	return load{requests: max(l.requests-m.requests, 0), prefillTokens: max(l.prefillTokens-m.prefillTokens, 0)}
}

// sample is a value that applies from the time at until the next sample.
type sample[T any] struct {
	// at is when the value took effect.
	at time.Duration
	// value is the value from then on.
	value T
}

// history holds the recent values of a quantity that changes over time, for at least
// historyWindow.
type history[T any] struct {
	// samples are ordered by time.
	samples []sample[T]
}

// record sets the value from now on and drops samples that are no longer needed.
func (h *history[T]) record(now time.Duration, value T) {
	old := 0
	for old+1 < len(h.samples) && h.samples[old+1].at < now-historyWindow {
		old++
	}
	h.samples = append(h.samples[old:], sample[T]{at: now, value: value})
}

// at returns the value at time t, or the zero value if t is before the first sample.
func (h *history[T]) at(t time.Duration) T {
	var value T
	for i := len(h.samples) - 1; i >= 0; i-- {
		if h.samples[i].at <= t {
			return h.samples[i].value
		}
	}
	return value
}
