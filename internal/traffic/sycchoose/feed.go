package sycchoose

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
)

// The methods in this file implement sycfeed.Sink. Those up to Silent must be
// called on the loop; the others are called from the goroutines that follow
// endpoints and wait for the loop.

// Report takes a load report that was age old when it arrived.
func (c *Chooser) Report(now time.Duration, name string, age time.Duration, r sycdispatch.Report) {
	c.act(now, func(d machine) { d.Report(now, now-age, name, r) })
}

// Relayed takes a report that another VM got; false leaves it out, because the
// endpoint is out of service here.
func (c *Chooser) Relayed(now time.Duration, name string, age time.Duration, r sycdispatch.Report) (taken bool) {
	c.act(now, func(d machine) { taken = d.Relayed(now, now-age, name, r) })
	return taken
}

// RoundTrip takes the time that a poll of an endpoint took.
func (c *Chooser) RoundTrip(name string, took time.Duration) {
	c.dispatcher.RoundTrip(name, took)
}

// Unreachable tells that no connection to an endpoint could be made.
func (c *Chooser) Unreachable(now time.Duration, name string) {
	c.act(now, func(d machine) { d.Unreachable(now, name) })
}

// Silent tells that an endpoint takes connections but doesn't answer.
func (c *Chooser) Silent(now time.Duration, name string) {
	c.act(now, func(d machine) { d.Silent(now, name) })
}

// StoreFetches yields what stores of kept KV cache should fetch.
func (c *Chooser) StoreFetches() <-chan sycdispatch.StoreFetch { return c.keeps }

// ConfirmStored takes what a store holds after a fetch.
func (c *Chooser) ConfirmStored(name, incarnation string, blocks []uint64) {
	c.loop.Do(func(now time.Duration) { c.dispatcher.ConfirmStored(now, name, incarnation, blocks) })
}

// Position returns where the reading of an endpoint's events goes on.
func (c *Chooser) Position(name string) (p sycdispatch.Position) {
	c.loop.Do(func(time.Duration) { p = c.dispatcher.Position(name) })
	return p
}

// Events takes a batch of an engine's events and returns where to go on.
func (c *Chooser) Events(name string, b sycdispatch.Batch) (p sycdispatch.Position) {
	c.loop.Do(func(now time.Duration) { p = c.dispatcher.Events(now, name, b) })
	return p
}

// Resync takes the complete list of an endpoint's blocks and returns where to go on.
func (c *Chooser) Resync(name, incarnation string, next uint64, blocks []uint64) (p sycdispatch.Position) {
	c.loop.Do(func(now time.Duration) { p = c.dispatcher.Resync(now, name, incarnation, next, blocks) })
	return p
}
