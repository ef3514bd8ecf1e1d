package sycdispatch

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
	"sycamorecart.example/sycamorecart/internal/decide/sycprefix"
)

// Batch is an answer of an engine's event stream.
type Batch struct {
	Incarnation string
	// First is the oldest sequence number that the engine keeps, Next the one
	// after the newest that it told.
	First  uint64
	Next   uint64
	Events []sycprefix.Event
}

// Position is where the reading of an engine's events goes on.
type Position struct {
	Incarnation string
	From        uint64
	// Resync asks for the complete list of blocks first.
	Resync bool
}

// Report takes a load report that shows the endpoint as it was at the given time.
func (d *Dispatcher[P]) Report(now, at time.Duration, name string, r Report) {
	e := d.endpoints[name]
	if e == nil {
		return
	}
	e.take(at, r)
	e.health.Observe(now, sychealth.Answered)
	d.dispatchAll(now)
}

// Relayed takes a report that another VM got. It is left out, with false, while
// the endpoint is out of service here, which only its answer to this VM ends.
func (d *Dispatcher[P]) Relayed(now, at time.Duration, name string, r Report) bool {
	e := d.endpoints[name]
	if e == nil || e.health.State() == sychealth.Out {
		return false
	}
	e.take(at, r)
	d.dispatchAll(now)
	return true
}

// RoundTrip takes the time that a poll of the endpoint took.
func (d *Dispatcher[P]) RoundTrip(name string, took time.Duration) {
	e := d.endpoints[name]
	if e == nil {
		return
	}
	if e.network == 0 || took < e.network {
		e.network = took
		return
	}
	e.network += (took - e.network) / 64
}

// Unreachable tells that nothing listens at the endpoint's address.
func (d *Dispatcher[P]) Unreachable(now time.Duration, name string) {
	if e := d.endpoints[name]; e != nil {
		e.lose(now)
	}
}

// Silent tells that the endpoint takes connections but doesn't answer. It may
// still hold its cache.
func (d *Dispatcher[P]) Silent(now time.Duration, name string) {
	if e := d.endpoints[name]; e != nil {
		e.health.Observe(now, sychealth.Unreachable)
	}
}

// Events takes a batch of an engine's events and returns where to go on.
func (d *Dispatcher[P]) Events(now time.Duration, name string, b Batch) Position {
	e := d.endpoints[name]
	if e == nil {
		return Position{}
	}
	e.cache.Apply(now, b.Incarnation, b.First, b.Next, b.Events)
	return e.position()
}

// Resync takes the complete list of an endpoint's blocks and returns where to
// read events on.
func (d *Dispatcher[P]) Resync(now time.Duration, name, incarnation string, next uint64, blocks []uint64) Position {
	e := d.endpoints[name]
	if e == nil {
		return Position{}
	}
	e.cache.Resync(now, incarnation, next, blocks)
	e.health.Observe(now, sychealth.Answered)
	return e.position()
}

// Position returns where the reading of an engine's events goes on.
func (d *Dispatcher[P]) Position(name string) Position {
	e := d.endpoints[name]
	if e == nil {
		return Position{}
	}
	return e.position()
}

func (e *endpoint) position() Position {
	return Position{
		Incarnation: e.cache.Incarnation(),
		From:        e.cache.Next(),
		Resync:      !e.cache.Synced(),
	}
}
