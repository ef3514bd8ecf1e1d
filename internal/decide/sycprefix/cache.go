// Package sycprefix tracks which prompt blocks the engines have cached.
//
// A block is a part of a prompt that engines cache as a unit. A prompt is given as a
// chain, the hashes of its blocks in order. The hash of a block covers all blocks
// before it, so equal hashes mean equal prefixes.
//
// A Cache holds an entry for each block that one engine is believed to have. An entry
// is confirmed if the engine reported the block, and predicted if this VM only sent a
// prompt with it. The engine's events arrive late and may be lost. All entries belong
// to one incarnation, one run of the engine: a new incarnation starts empty.
package sycprefix

import (
	"slices"
	"time"
)

const (
	// stampUnit is the resolution of an entry's time stamp.
	stampUnit = 128 * time.Millisecond
	// DefaultLimit limits the entries of an engine that has not reported the number of
	// blocks in its cache.
	DefaultLimit = 1 << 17
	// maxFormer limits how many former incarnations are remembered, to ignore their late
	// events.
	maxFormer = 4
)

// TTL is how long entries are valid after they were last renewed.
type TTL struct {
	// Confirmed is for blocks that the engine reported.
	Confirmed time.Duration
	// Predicted is for blocks that this VM sent and the engine has not reported.
	Predicted time.Duration
}

// Defaults returns the TTL with 5 minutes for Confirmed and 5 seconds for Predicted
// where they are 0.
func (t TTL) Defaults() TTL {
	if t.Confirmed == 0 {
		t.Confirmed = 5 * time.Minute
	}
	if t.Predicted == 0 {
		t.Predicted = 5 * time.Second
	}
	return t
}

// Op is the operation on an engine's cache that an event reports.
type Op int

// Operations on an engine's cache.
const (
	// Store means that the engine has cached the event's blocks.
	Store Op = iota
	// Evict means that the engine has evicted the event's blocks.
	Evict
	// Clear means that the engine has evicted all blocks.
	Clear
)

// Event is one event of an engine's cache.
type Event struct {
	// Seq is the event's sequence number. It counts up from 0 in each incarnation.
	Seq uint64
	// Op says what happened to the blocks.
	Op Op
	// Blocks holds the hashes of the blocks.
	Blocks []uint64
}

// Cache tracks the blocks that one engine has cached.
type Cache struct {
	ttl TTL
	// table holds the entries.
	table table
	// incarnation is the engine's current incarnation; empty until the first response.
	incarnation string
	// former holds the last incarnations before the current one, oldest first.
	former []string
	// nextSeq is the sequence number of the next event. It never decreases within an
	// incarnation.
	nextSeq uint64
	// synced is true from a Resync until an event is lost, the engine is unreachable or
	// its incarnation changes. While it is false, no entry counts as confirmed.
	synced bool
	// unreachable is true from MarkUnreachable until the next Resync or incarnation.
	unreachable bool
}

// NewCache returns an empty cache for an engine that has not responded yet.
func NewCache(ttl TTL) *Cache {
	return &Cache{ttl: ttl.Defaults(), table: newTable(DefaultLimit)}
}

// Incarnation returns the incarnation that the entries belong to; empty if the engine
// has not responded yet.
func (c *Cache) Incarnation() string { return c.incarnation }

// Synced reports whether a Resync was done in this incarnation and every event since was
// received. It is false after MarkUnreachable.
func (c *Cache) Synced() bool { return c.synced }

// NextSeq returns the sequence number of the first event that was not received yet.
func (c *Cache) NextSeq() uint64 { return c.nextSeq }

// Len returns the number of entries.
func (c *Cache) Len() int { return c.table.used }

// Bytes returns the size of the table of entries in bytes.
func (c *Cache) Bytes() int { return len(c.table.slots) * slotBytes }

// SetLimit limits the number of entries to the number of blocks in the engine's cache;
// 0 leaves the limit unchanged.
func (c *Cache) SetLimit(blocks int) {
	if blocks > 0 {
		c.table.limit = blocks
	}
}

// ObserveIncarnation records the incarnation in an engine's response and reports
// whether it is the current one. A new incarnation becomes the current one and drops
// all entries. A former one is ignored, since its response is late.
func (c *Cache) ObserveIncarnation(incarnation string) bool {
	if incarnation == "" || slices.Contains(c.former, incarnation) {
		return false
	}
	if incarnation == c.incarnation {
		return true
	}
	known := c.incarnation != ""
	if known {
		c.retireIncarnation()
	}
	c.incarnation = incarnation
	c.nextSeq = 0
	c.synced = false
	c.unreachable = false
	return true
}

// MarkUnreachable records that no connection to the engine can be made, and drops all
// entries. Events are ignored until the next Resync or incarnation.
func (c *Cache) MarkUnreachable() {
	c.table = newTable(c.table.limit)
	c.synced = false
	c.unreachable = true
}

// retireIncarnation moves the current incarnation to the former ones and drops all
// entries.
func (c *Cache) retireIncarnation() {
	c.former = append(c.former, c.incarnation)
	if len(c.former) > maxFormer {
		c.former = c.former[1:]
	}
	c.incarnation = ""
	c.table = newTable(c.table.limit)
}

// Apply applies a batch of events with the sequence numbers from first up to, but not
// including, next. Events that were received before are ignored. If an event is
// missing, the cache is no longer synced.
func (c *Cache) Apply(now time.Duration, incarnation string, first, next uint64, events []Event) {
	if !c.ObserveIncarnation(incarnation) || c.unreachable {
		return
	}
	if first > c.nextSeq {
		c.synced = false
	}
	stamp := stampAt(now)
	expected := max(first, c.nextSeq)
	for _, e := range events {
		if e.Seq < c.nextSeq {
			continue
		}
		if e.Seq > expected {
			c.synced = false
		}
		expected = e.Seq + 1
		c.applyEvent(stamp, e)
	}
	if next > expected {
		c.synced = false
	}
	c.nextSeq = max(c.nextSeq, next, expected)
}

// applyEvent updates the entries of an event's blocks.
func (c *Cache) applyEvent(stamp uint16, e Event) {
	switch e.Op {
	case Store:
		for _, b := range e.Blocks {
			c.table.insert(b, stamp, false)
		}
	case Evict:
		for _, b := range e.Blocks {
			c.table.remove(b)
		}
	case Clear:
		c.table = newTable(c.table.limit)
	}
}

// Resync replaces the confirmed entries by the engine's complete list of blocks before
// the event with sequence number next. Predictions that have not expired stay.
func (c *Cache) Resync(now time.Duration, incarnation string, next uint64, blocks []uint64) {
	if !c.ObserveIncarnation(incarnation) || next < c.nextSeq {
		return
	}
	old := c.table
	stamp := stampAt(now)
	c.table = newTable(old.limit)
	for _, slot := range old.slots {
		if slot != 0 && slotPredicted(slot) && !c.expired(slot, stamp) {
			c.table.insert(slot, slotStamp(slot), true)
		}
	}
	for _, b := range blocks {
		c.table.insert(b, stamp, false)
	}
	c.nextSeq = next
	c.synced = true
	c.unreachable = false
}

// Predict adds or renews entries for the blocks of a prompt that was sent to the engine.
func (c *Cache) Predict(now time.Duration, chain []uint64) {
	stamp := stampAt(now)
	for _, b := range chain {
		c.table.insert(b, stamp, true)
	}
}

// Confirm adds or renews confirmed entries for blocks that the engine has cached
// according to its answer to a request, outside its events.
func (c *Cache) Confirm(now time.Duration, incarnation string, chain []uint64) {
	if !c.ObserveIncarnation(incarnation) {
		return
	}
	stamp := stampAt(now)
	for _, b := range chain {
		c.table.insert(b, stamp, false)
	}
}

// Sweep removes the expired entries among the next n slots of the table. Repeated calls
// go round the whole table.
func (c *Cache) Sweep(now time.Duration, n int) {
	stamp := stampAt(now)
	c.table.sweep(n, func(slot uint64) bool { return c.expired(slot, stamp) })
}

// expired reports whether an entry is older than its TTL.
func (c *Cache) expired(slot uint64, stamp uint16) bool {
	ttl := c.ttl.Confirmed
	if slotPredicted(slot) {
		ttl = c.ttl.Predicted
	}
	return ageOf(slot, stamp) > uint16(ttl/stampUnit)
}

// stampAt returns a time as the stamp of an entry, see stampMask.
func stampAt(now time.Duration) uint16 {
	return uint16(now/stampUnit) & stampMask
}
