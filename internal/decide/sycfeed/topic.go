// Package sycfeed holds the state of a replicated topic: the newest record of each key of
// a log.
//
// A VM gets records by reading the log and from other VMs. A record replaces another one
// of the same key only if its offset is higher, whatever its source. A record without a
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
	// Offset is the record's position in the log.
	Offset int64
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
	// next is the offset before which every record has been seen.
	next int64
	// records holds the newest record of each key, including deletions.
	records map[string]Record
	// deletionsFrom is the offset from which on records has every deletion. Deletions before it may
	// be missing, since a snapshot doesn't show them or they were discarded. It is at most next. An
	// unknown key with a record before it has been deleted.
	deletionsFrom int64
	// deletions is the number of deletions in records.
	deletions int
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
	return &Topic{records: map[string]Record{}, delay: delay, delayed: map[string]delayedDeletion{}}
}

// Next returns the offset from which on the log must be read.
func (t *Topic) Next() int64 { return t.next }

// DeletionsFrom returns the offset from which on this topic has every deletion. A copy that ends before
// it can't be brought up to date with the records of Since alone.
func (t *Topic) DeletionsFrom() int64 { return t.deletionsFrom }

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
// offset before which the caller has passed every record. A deletion that must be delayed
// is stored and not returned.
func (t *Topic) Apply(now time.Duration, records []Record, next int64) []Change {
	var out []Change
	for _, r := range records {
		old, known := t.records[r.Key]
		if known && old.Offset >= r.Offset || !known && r.Offset < t.deletionsFrom {
			continue
		}
		if len(r.Value) == 0 && known && len(old.Value) > 0 && now < t.delayUntil {
			if d, isDelayed := t.delayed[r.Key]; !isDelayed || d.record.Offset < r.Offset {
				t.delayed[r.Key] = delayedDeletion{record: r, due: t.deletionDue(now)}
			}
			continue
		}
		if d, isDelayed := t.delayed[r.Key]; isDelayed && d.record.Offset < r.Offset {
			delete(t.delayed, r.Key)
		}
		out = append(out, t.set(r))
	}
	if t.next == 0 {
		t.deletionsFrom = max(t.deletionsFrom, next)
	}
	t.next = max(t.next, next)
	t.discardDeletions()
	return out
}

// discardDeletions removes the older half of the stored deletions before next if there are
// too many. Before next every key that exists has a stored record, so a record of an unknown
// key at an offset before deletionsFrom is known to be deleted.
func (t *Topic) discardDeletions() {
	if t.deletions <= maxDeletions {
		return
	}
	var offsets []int64
	for _, r := range t.records {
		if len(r.Value) == 0 && r.Offset < t.next {
			offsets = append(offsets, r.Offset)
		}
	}
	slices.Sort(offsets)
	if len(offsets) < 2 {
		return
	}
	t.deletionsFrom = max(t.deletionsFrom, offsets[len(offsets)/2-1]+1)
	for key, r := range t.records {
		if len(r.Value) == 0 && r.Offset < t.deletionsFrom {
			delete(t.records, key)
			t.deletions--
		}
	}
}

// Replace applies the newest records of all keys that exist at the offset next. Keys that
// are missing from them were deleted at an offset below next. It returns the changes like
// Apply.
func (t *Topic) Replace(now time.Duration, records []Record, next int64) []Change {
	present := map[string]bool{}
	for _, r := range records {
		present[r.Key] = true
	}
	for key, r := range t.records {
		if !present[key] && len(r.Value) > 0 && r.Offset < next {
			records = append(records, Record{Offset: max(next-1, r.Offset+1), Key: key})
		}
	}
	if next > t.next {
		// The records of this snapshot count, whatever the copy lacked.
		t.deletionsFrom = 0
	}
	out := t.Apply(now, records, next)
	t.deletionsFrom = max(t.deletionsFrom, next)
	return out
}

// ApplyDelayed applies the delayed deletions that are due, and returns them.
func (t *Topic) ApplyDelayed(now time.Duration) []Change {
	var out []Change
	for key, d := range t.delayed {
		if now < d.due {
			continue
		}
		delete(t.delayed, key)
		if t.records[key].Offset < d.record.Offset {
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

// Since returns the newest records and the delayed deletions at the offset from or later,
// ordered by offset.
func (t *Topic) Since(from int64) []Record {
	var out []Record
	for _, r := range t.records {
		if r.Offset >= from {
			out = append(out, r)
		}
	}
	for _, d := range t.delayed {
		if d.record.Offset >= from {
			out = append(out, d.record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return int(a.Offset - b.Offset) })
	return out
}
