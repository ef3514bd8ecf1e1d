// Package sycfeed holds the newest record of each key of a log, as read from
// the log itself or told by other VMs. Offsets decide: a record never replaces
// a newer one, whoever told it.
package sycfeed

import (
	"slices"
	"time"
)

// Record is one entry of the log.
type Record struct {
	Offset int64
	Key    string
	// Value is empty for a key that was dropped.
	Value []byte
}

// Change is a record that replaced what was known of its key.
type Change struct {
	Record
	// Deleted means that the key is gone.
	Deleted bool
}

// mostDropped is how many dropped keys are remembered: more come in the lifetime of a VM,
// and what was dropped long ago is told by nobody.
const mostDropped = 2000

// Topic is the state of one log.
type Topic struct {
	// next is the offset up to which every record has been seen.
	next    int64
	records map[string]Record
	// dropped counts the records of dropped keys. Those up to the offset forgotten, which
	// is below next, are not remembered.
	dropped   int
	forgotten int64
	hold      DeletionDelay
	// returned is when the log last answered again after an outage, and holdUntil the end
	// of the time for which drops wait then.
	returned  time.Duration
	holdUntil time.Duration
	held      map[string]held
}

// DeletionDelay keeps dropped keys for a while after an outage, since a log that was out drops keys
// whose owners could not write.
type DeletionDelay struct {
	// AfterOutage is how long after its return the owners may take to write again.
	AfterOutage time.Duration
	// NewDeletion bounds the wait of a drop that comes after the return, and is news.
	NewDeletion time.Duration
}

type held struct {
	record Record
	due    time.Duration
}

// New returns an empty feed.
func New(hold DeletionDelay) *Topic {
	return &Topic{records: map[string]Record{}, forgotten: -1, hold: hold, held: map[string]held{}}
}

// Next is the offset from which on records are to be read.
func (f *Topic) Next() int64 { return f.next }

// OutageEnded tells that the log answers again after an outage.
func (f *Topic) OutageEnded(now time.Duration) { f.returned, f.holdUntil = now, now+f.hold.AfterOutage }

// due is when a drop that is met now is carried out.
func (f *Topic) due(now time.Duration) time.Duration {
	if now == f.returned {
		return f.holdUntil
	}
	return min(f.holdUntil, now+f.hold.NewDeletion)
}

// Apply takes in records up to the offset next, and returns what changed.
func (f *Topic) Apply(now time.Duration, records []Record, next int64) []Change {
	var out []Change
	for _, r := range records {
		old, known := f.records[r.Key]
		if known && old.Offset >= r.Offset || !known && r.Offset <= f.forgotten {
			continue
		}
		if len(r.Value) == 0 && known && len(old.Value) > 0 && now < f.holdUntil {
			if h, waits := f.held[r.Key]; !waits || h.record.Offset < r.Offset {
				f.held[r.Key] = held{record: r, due: f.due(now)}
			}
			continue
		}
		if h, waits := f.held[r.Key]; waits && h.record.Offset < r.Offset {
			delete(f.held, r.Key)
		}
		out = append(out, f.set(r))
	}
	f.next = max(f.next, next)
	f.forget()
	return out
}

// forget drops the older half of the dropped keys when there are too many. Every key that
// lives has a record here, so that an unknown one at such an offset was dropped.
func (f *Topic) forget() {
	if f.dropped <= mostDropped {
		return
	}
	var offsets []int64
	for _, r := range f.records {
		if len(r.Value) == 0 && r.Offset < f.next {
			offsets = append(offsets, r.Offset)
		}
	}
	slices.Sort(offsets)
	if len(offsets) < 2 {
		return
	}
	f.forgotten = max(f.forgotten, offsets[len(offsets)/2-1])
	for key, r := range f.records {
		if len(r.Value) == 0 && r.Offset <= f.forgotten {
			delete(f.records, key)
			f.dropped--
		}
	}
}

// Replace takes in the newest records of all keys; keys that are missing from
// them were dropped at some offset below next.
func (f *Topic) Replace(now time.Duration, records []Record, next int64) []Change {
	present := map[string]bool{}
	for _, r := range records {
		present[r.Key] = true
	}
	for key, r := range f.records {
		if !present[key] && len(r.Value) > 0 && r.Offset < next {
			records = append(records, Record{Offset: max(next-1, r.Offset+1), Key: key})
		}
	}
	return f.Apply(now, records, next)
}

// ApplyDelayed carries out the drops whose time of waiting has passed.
func (f *Topic) ApplyDelayed(now time.Duration) []Change {
	var out []Change
	for key, h := range f.held {
		if now < h.due {
			continue
		}
		delete(f.held, key)
		if f.records[key].Offset < h.record.Offset {
			out = append(out, f.set(h.record))
		}
	}
	return out
}

func (f *Topic) set(r Record) Change {
	if old, known := f.records[r.Key]; known && len(old.Value) == 0 {
		f.dropped--
	}
	if len(r.Value) == 0 {
		f.dropped++
	}
	f.records[r.Key] = r
	return Change{Record: r, Deleted: len(r.Value) == 0}
}

// Since returns the records at an offset or later, in their order.
func (f *Topic) Since(from int64) []Record {
	var out []Record
	for _, r := range f.records {
		if r.Offset >= from {
			out = append(out, r)
		}
	}
	for _, h := range f.held {
		if h.record.Offset >= from {
			out = append(out, h.record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return int(a.Offset - b.Offset) })
	return out
}
