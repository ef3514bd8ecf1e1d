package sycchoose

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
)

// The methods in this file implement sycfeed.Sink. The methods up to Silent must be called on
// the loop. The others wait for the loop, so they must be called on other goroutines.

// Report applies a load report that this VM polled from an endpoint. age is the age of the
// report when it arrived.
func (c *Chooser) Report(now time.Duration, name string, age time.Duration, r sycdispatch.Report) {
	c.act(now, func(d dispatcher) { d.Report(now, now-age, name, r) })
}

// Relayed applies a load report that another VM polled from an endpoint, and reports whether
// it did. It ignores the report while the endpoint is out of service on this VM, because
// only a response to this VM's own poll ends that.
func (c *Chooser) Relayed(now time.Duration, name string, age time.Duration, r sycdispatch.Report) (applied bool) {
	c.act(now, func(d dispatcher) { applied = d.Relayed(now, now-age, name, r) })
	return applied
}

// RoundTrip records the duration of a poll of an endpoint.
func (c *Chooser) RoundTrip(name string, took time.Duration) {
	c.dispatcher.RoundTrip(name, took)
}

// Unreachable records that this VM could not connect to an endpoint.
func (c *Chooser) Unreachable(now time.Duration, name string) {
	c.act(now, func(d dispatcher) { d.Unreachable(now, name) })
}

// Silent records that an endpoint accepts connections but doesn't respond.
func (c *Chooser) Silent(now time.Duration, name string) {
	c.act(now, func(d dispatcher) { d.Silent(now, name) })
}

// StoreFetches returns the channel of fetches that KV stores should do.
func (c *Chooser) StoreFetches() <-chan sycdispatch.StoreFetch { return c.storeFetches }

// ConfirmStored records the blocks that a KV store has after a fetch.
func (c *Chooser) ConfirmStored(name, incarnation string, blocks []uint64) {
	c.loop.Do(func(now time.Duration) { c.dispatcher.ConfirmStored(now, name, incarnation, blocks) })
}

// Position returns where the reading of an endpoint's cache events continues.
func (c *Chooser) Position(name string) (p sycdispatch.Position) {
	c.loop.Do(func(time.Duration) { p = c.dispatcher.Position(name) })
	return p
}

// Events applies a batch of an engine's cache events and returns where to continue reading.
func (c *Chooser) Events(name string, b sycdispatch.Batch) (p sycdispatch.Position) {
	c.loop.Do(func(now time.Duration) { p = c.dispatcher.Events(now, name, b) })
	return p
}

// Resync replaces the reported blocks of an endpoint by its complete list, taken at sequence
// number next, and returns where to continue reading events.
func (c *Chooser) Resync(name, incarnation string, next uint64, blocks []uint64) (p sycdispatch.Position) {
	c.loop.Do(func(now time.Duration) { p = c.dispatcher.Resync(now, name, incarnation, next, blocks) })
	return p
}
