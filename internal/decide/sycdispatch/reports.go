package sycdispatch

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycprefix"
)

// Batch is a response of an engine's stream of cache events.
type Batch struct {
	// Incarnation identifies the engine's process that the events belong to.
	Incarnation string
	// First is the oldest sequence number that the engine still keeps.
	First uint64
	// Next is the sequence number after the newest event in the batch.
	Next uint64
	// Events are the cache events up to Next, in order.
	Events []sycprefix.Event
}

// Position is where the reading of an engine's cache events continues.
type Position struct {
	// Incarnation identifies the engine's process whose events are read.
	Incarnation string
	// From is the sequence number of the next event to read.
	From uint64
	// Resync is true if the reader must first fetch the complete list of cached
	// blocks, because it has none of this incarnation or events were missed since.
	Resync bool
}

// Report applies a load report that this VM polled. It shows the endpoint at the
// time at.
func (d *Dispatcher[P]) Report(now, at time.Duration, name string, r Report) {
	e := d.endpoints[name]
	if e == nil {
		return
	}
	e.applyReport(at, r)
	e.health.Observe(now, sychealth.PollAnswered)
	d.dispatchAll(now)
}

// Relayed applies a load report that another VM polled, and reports whether it did.
// It ignores the report while the endpoint is out of service on this VM, because
// only a response to this VM's own poll ends that.
func (d *Dispatcher[P]) Relayed(now, at time.Duration, name string, r Report) bool {
	e := d.endpoints[name]
	if e == nil || e.health.State() == sychealth.Out {
		return false
	}
	e.applyReport(at, r)
	d.dispatchAll(now)
	return true
}

// RoundTrip records the duration of a poll of the endpoint. A shorter one than the
// estimate replaces it, a longer one raises it slowly.
func (d *Dispatcher[P]) RoundTrip(name string, took time.Duration) {
	e := d.endpoints[name]
	if e == nil {
		return
	}
	if e.roundTrip == 0 || took < e.roundTrip {
		e.roundTrip = took
		return
	}
	e.roundTrip += (took - e.roundTrip) / 64
}

// Unreachable records that no connection to the endpoint could be made, because
// nothing listens at its address. Its cached blocks are forgotten.
func (d *Dispatcher[P]) Unreachable(now time.Duration, name string) {
	if e := d.endpoints[name]; e != nil {
		e.markUnreachable(now)
	}
}

// Silent records that the endpoint accepts connections but doesn't respond. It
// counts as unreachable for its health. Its cached blocks are kept, since its
// process may still run.
func (d *Dispatcher[P]) Silent(now time.Duration, name string) {
	if e := d.endpoints[name]; e != nil {
		e.health.Observe(now, sychealth.Unreachable)
	}
}

// Events applies a batch of an engine's cache events and returns where to continue
// reading.
func (d *Dispatcher[P]) Events(now time.Duration, name string, b Batch) Position {
	e := d.endpoints[name]
	if e == nil {
		return Position{}
	}
	e.cache.Apply(now, b.Incarnation, b.First, b.Next, b.Events)
	return e.position()
}

// Resync replaces the reported blocks of an endpoint by its complete list, taken at
// sequence number next, and returns where to continue reading events.
func (d *Dispatcher[P]) Resync(now time.Duration, name, incarnation string, next uint64, blocks []uint64) Position {
	e := d.endpoints[name]
	if e == nil {
		return Position{}
	}
	e.cache.Resync(now, incarnation, next, blocks)
	e.health.Observe(now, sychealth.PollAnswered)
	return e.position()
}

// Position returns where the reading of an engine's cache events continues.
func (d *Dispatcher[P]) Position(name string) Position {
	e := d.endpoints[name]
	if e == nil {
		return Position{}
	}
	return e.position()
}

// position returns where the reading of the engine's cache events continues.
func (e *endpoint) position() Position {
	return Position{
		Incarnation: e.cache.Incarnation(),
		From:        e.cache.NextSeq(),
		Resync:      !e.cache.Synced(),
	}
}
