// Package sycfeed holds the state of a replicated topic: the newest record of each key of
// a log.
//
// A VM gets records by reading the log and from other VMs. A record replaces another one
// of the same key only if its position is later, whatever its source. A record without a
// value deletes its key.
//
// The package has no clock and does no I/O: the caller passes the time, as a duration
// since a fixed start on its monotonic clock, and the records.
package sycfeed

import (
	"slices"
	"time"
)

// Record is one record of the log.
type Record struct {
	// Position is the record's place in the log.
	Position Position
	// Key names the entry that the record sets or deletes.
	Key string
	// Value is the content of the entry. It is empty in the deletion of a key.
	Value []byte
}

// Change is a record that became the newest of its key.
type Change struct {
	Record
	// Deleted is set if the record deletes its key.
	Deleted bool
}

// maxDeletions limits the deletions that a Topic stores. Over the lifetime of a VM more keys
// are deleted than this, and no VM sends records of keys that were deleted long ago.
const maxDeletions = 2000

// Topic is the state of one replicated topic. It is not safe for concurrent use.
type Topic struct {
	// next is the position before which every record has been seen.
	next Position
	// records holds the newest record of each key, including deletions.
	records map[string]Record
	// deletions is the number of deletions in records.
	deletions int
	// discardedTo is the latest position of a deletion that was discarded from records. It
	// is before next. An unknown key with a record up to this position has been deleted.
	discardedTo Position
	// delay is the configured delay of deletions.
	delay DeletionDelay
	// outageEnded is when the log last became readable again after an outage.
	outageEnded time.Duration
	// delayUntil is the time up to which deletions are delayed after that outage.
	delayUntil time.Duration
	// delayed holds the delayed deletions by key.
	delayed map[string]delayedDeletion
}

// DeletionDelay sets how long deletions are delayed after an outage of the log. During an
// outage the owners of keys can't write, so keys may be deleted whose owners still exist.
// A deletion is discarded if the key's owner writes it again during the delay.
type DeletionDelay struct {
	// AfterOutage is how long after the end of the outage deletions are delayed, so that
	// the owners can write their keys again.
	AfterOutage time.Duration
	// NewDeletion limits the delay of a deletion that comes after the end of the outage,
	// since such a deletion is probably not caused by the outage.
	NewDeletion time.Duration
}

// delayedDeletion is a deletion that is applied at the time due.
type delayedDeletion struct {
	record Record
	// due is when the deletion is applied.
	due time.Duration
}

// New returns a topic without records.
func New(delay DeletionDelay) *Topic {
	return &Topic{records: map[string]Record{}, discardedTo: Position{Offset: -1}, delay: delay, delayed: map[string]delayedDeletion{}}
}

// Next returns the position from which on the log must be read.
func (t *Topic) Next() Position { return t.next }

// OutageEnded records that the log became readable again after an outage, and starts the
// delay of deletions.
func (t *Topic) OutageEnded(now time.Duration) {
	t.outageEnded, t.delayUntil = now, now+t.delay.AfterOutage
}

// deletionDue returns when a deletion that comes now is applied. A deletion that comes at the
// time at which the outage ended may have been made during the outage, and is delayed until
// delayUntil. A later one is delayed until then or for NewDeletion, whichever is shorter.
func (t *Topic) deletionDue(now time.Duration) time.Duration {
	if now == t.outageEnded {
		return t.delayUntil
	}
	return min(t.delayUntil, now+t.delay.NewDeletion)
}

// Apply applies records and returns those that became the newest of their keys. next is the
// position before which the caller has passed every record. A deletion that must be delayed
// is stored and not returned.
func (t *Topic) Apply(now time.Duration, records []Record, next Position) []Change {
	var out []Change
	for _, r := range records {
		old, known := t.records[r.Key]
		if known && !old.Position.Before(r.Position) || !known && !t.discardedTo.Before(r.Position) {
			continue
		}
		if len(r.Value) == 0 && known && len(old.Value) > 0 && now < t.delayUntil {
			if d, isDelayed := t.delayed[r.Key]; !isDelayed || d.record.Position.Before(r.Position) {
				t.delayed[r.Key] = delayedDeletion{record: r, due: t.deletionDue(now)}
			}
			continue
		}
		if d, isDelayed := t.delayed[r.Key]; isDelayed && d.record.Position.Before(r.Position) {
			delete(t.delayed, r.Key)
		}
		out = append(out, t.set(r))
	}
	t.next = latest(t.next, next)
	t.discardDeletions()
	return out
}

// discardDeletions removes the older half of the stored deletions before next if there are
// too many. Before next every key that exists has a stored record, so a record of an unknown
// key at a position up to discardedTo is known to be deleted.
func (t *Topic) discardDeletions() {
	if t.deletions <= maxDeletions {
		return
	}
	var positions []Position
	for _, r := range t.records {
		if len(r.Value) == 0 && r.Position.Before(t.next) {
			positions = append(positions, r.Position)
		}
	}
	slices.SortFunc(positions, Position.Compare)
	if len(positions) < 2 {
		return
	}
	t.discardedTo = latest(t.discardedTo, positions[len(positions)/2-1])
	for key, r := range t.records {
		if len(r.Value) == 0 && !t.discardedTo.Before(r.Position) {
			delete(t.records, key)
			t.deletions--
		}
	}
}

// Replace applies the newest records of all keys that exist at the position next. Keys that
// are missing from them were deleted before next. It returns the changes like
// Apply.
func (t *Topic) Replace(now time.Duration, records []Record, next Position) []Change {
	present := map[string]bool{}
	for _, r := range records {
		present[r.Key] = true
	}
	for key, r := range t.records {
		if !present[key] && len(r.Value) > 0 && r.Position.Before(next) {
			records = append(records, Record{Position: latest(next.Plus(-1), r.Position.Plus(1)), Key: key})
		}
	}
	return t.Apply(now, records, next)
}

// ApplyDelayed applies the delayed deletions that are due, and returns them.
func (t *Topic) ApplyDelayed(now time.Duration) []Change {
	var out []Change
	for key, d := range t.delayed {
		if now < d.due {
			continue
		}
		delete(t.delayed, key)
		if t.records[key].Position.Before(d.record.Position) {
			out = append(out, t.set(d.record))
		}
	}
	return out
}

// set stores r as the newest record of its key.
func (t *Topic) set(r Record) Change {
	if old, known := t.records[r.Key]; known && len(old.Value) == 0 {
		t.deletions--
	}
	if len(r.Value) == 0 {
		t.deletions++
	}
	t.records[r.Key] = r
	return Change{Record: r, Deleted: len(r.Value) == 0}
}

// Since returns the newest records and the delayed deletions at the position from or later,
// ordered by position.
func (t *Topic) Since(from Position) []Record {
	var out []Record
	for _, r := range t.records {
		if !r.Position.Before(from) {
			out = append(out, r)
		}
	}
	for _, d := range t.delayed {
		if !d.record.Position.Before(from) {
			out = append(out, d.record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return a.Position.Compare(b.Position) })
	return out
}

// latest returns the later one of two positions.
func latest(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}
