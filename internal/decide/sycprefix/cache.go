// Package sycprefix mirrors which prompt blocks the engines hold in their
// caches.
//
// The mirror of an engine is fed by the engine's cache events, which come late
// and with gaps, and by the router's own decisions, which enter as predictions.
// All of it is tied to the engine's incarnation: a new incarnation starts empty.
package sycprefix

import (
	"slices"
	"time"
)

const (
	// stampUnit is the resolution of an entry's age.
	stampUnit = 128 * time.Millisecond
	// DefaultLimit bounds the entries of an engine that has not told its size.
	DefaultLimit = 1 << 17
	// formerKept is the number of former incarnations whose late events are known as such.
	formerKept = 4
)

// TTL is how long entries are believed without being renewed.
type TTL struct {
	Confirmed time.Duration
	Predicted time.Duration
}

// Defaults fills in the lives that are not set.
func (l TTL) Defaults() TTL {
	if l.Confirmed == 0 {
		l.Confirmed = 5 * time.Minute
	}
	if l.Predicted == 0 {
		l.Predicted = 5 * time.Second
	}
	return l
}

// Op is what an event tells.
type Op int

// Operations on an engine's cache.
const (
	Store Op = iota
	Evict
	Clear
)

// Event is an entry of an engine's event stream.
type Event struct {
	Seq    uint64
	Op     Op
	Blocks []uint64
}

// Cache mirrors the cache of one engine.
type Cache struct {
	life  TTL
	table table
	// incarnation is empty until the engine has been heard.
	incarnation string
	former      []string
	// next is the sequence number of the next event; it only grows within an incarnation.
	next uint64
	// synced is false from a gap in the events until the next Resync. Without
	// it no entry counts as confirmed.
	synced bool
	// lost is true from Lost until the engine is heard of anew.
	lost bool
}

// NewCache returns the mirror of an engine that was not heard yet.
func NewCache(l TTL) *Cache {
	return &Cache{life: l.Defaults(), table: newTable(DefaultLimit)}
}

// Incarnation is the incarnation that the entries belong to.
func (c *Cache) Incarnation() string { return c.incarnation }

// Synced reports whether all events since the last complete list were seen.
func (c *Cache) Synced() bool { return c.synced }

// NextSeq is the sequence number of the next event that is wanted.
func (c *Cache) NextSeq() uint64 { return c.next }

// Len is the number of entries.
func (c *Cache) Len() int { return c.table.used }

// Bytes is the memory of the entries.
func (c *Cache) Bytes() int { return len(c.table.slots) * slotBytes }

// SetLimit bounds the number of entries to the engine's number of blocks.
func (c *Cache) SetLimit(blocks int) {
	if blocks > 0 {
		c.table.limit = blocks
	}
}

// ObserveIncarnation tells the incarnation with which the engine answered and reports
// whether it is the present one. Meeting a new one drops all entries; former
// ones, heard late, are ignored.
func (c *Cache) ObserveIncarnation(incarnation string) bool {
	if incarnation == "" || slices.Contains(c.former, incarnation) {
		return false
	}
	if incarnation == c.incarnation {
		return true
	}
	known := c.incarnation != ""
	if known {
		c.forget()
	}
	c.incarnation = incarnation
	c.next = 0
	c.synced = false
	c.lost = false
	return true
}

// MarkUnreachable tells that nothing listens at the engine's address; all entries are
// dropped at once. Events count again after the next Resync or incarnation.
func (c *Cache) MarkUnreachable() {
	c.table = newTable(c.table.limit)
	c.synced = false
	c.lost = true
}

func (c *Cache) forget() {
	c.former = append(c.former, c.incarnation)
	if len(c.former) > formerKept {
		c.former = c.former[1:]
	}
	c.incarnation = ""
	c.table = newTable(c.table.limit)
}

// Apply takes a batch of events that starts at sequence number first. Events
// that were seen before are ignored; a gap ends the trust in the entries.
func (c *Cache) Apply(now time.Duration, incarnation string, first, next uint64, events []Event) {
	if !c.ObserveIncarnation(incarnation) || c.lost {
		return
	}
	if first > c.next {
		c.synced = false
	}
	stamp := stampAt(now)
	expected := max(first, c.next)
	for _, e := range events {
		if e.Seq < c.next {
			continue
		}
		if e.Seq > expected {
			c.synced = false
		}
		expected = e.Seq + 1
		c.event(stamp, e)
	}
	if next > expected {
		c.synced = false
	}
	c.next = max(c.next, next, expected)
}

func (c *Cache) event(stamp uint16, e Event) {
	switch e.Op {
	case Store:
		for _, b := range e.Blocks {
			c.table.put(b, stamp, false)
		}
	case Evict:
		for _, b := range e.Blocks {
			c.table.remove(b)
		}
	case Clear:
		c.table = newTable(c.table.limit)
	}
}

// Resync replaces the confirmed entries by the engine's complete list, taken
// at sequence number next. Fresh predictions are kept.
func (c *Cache) Resync(now time.Duration, incarnation string, next uint64, blocks []uint64) {
	if !c.ObserveIncarnation(incarnation) || next < c.next {
		return
	}
	old := c.table
	stamp := stampAt(now)
	c.table = newTable(old.limit)
	for _, slot := range old.slots {
		if slot != 0 && slotPredicted(slot) && !c.expired(slot, stamp) {
			c.table.put(slot, slotStamp(slot), true)
		}
	}
	for _, b := range blocks {
		c.table.put(b, stamp, false)
	}
	c.next = next
	c.synced = true
	c.lost = false
}

// Predict adds the blocks of a prompt that was sent to the engine.
func (c *Cache) Predict(now time.Duration, chain []uint64) {
	stamp := stampAt(now)
	for _, b := range chain {
		c.table.put(b, stamp, true)
	}
}

// Confirm renews blocks that the engine said it had found in its cache.
func (c *Cache) Confirm(now time.Duration, incarnation string, chain []uint64) {
	if !c.ObserveIncarnation(incarnation) {
		return
	}
	stamp := stampAt(now)
	for _, b := range chain {
		c.table.put(b, stamp, false)
	}
}

// Sweep removes expired entries among the next n slots.
func (c *Cache) Sweep(now time.Duration, n int) {
	stamp := stampAt(now)
	c.table.sweep(n, func(slot uint64) bool { return c.expired(slot, stamp) })
}

func (c *Cache) expired(slot uint64, stamp uint16) bool {
	life := c.life.Confirmed
	if slotPredicted(slot) {
		life = c.life.Predicted
	}
	return ageOf(slot, stamp) > uint16(life/stampUnit)
}

func stampAt(now time.Duration) uint16 {
	return uint16(now/stampUnit) & stampMask
}
