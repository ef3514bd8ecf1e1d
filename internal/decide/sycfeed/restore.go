package sycfeed

import (
	"bytes"
	"math"
	"slices"
	"time"
)

// keptMargin is how many offsets before the last record that a restored log seems to share with the
// log before a deletion may lie that it lacks.
const keptMargin = 256

// Replace applies the newest records of all keys that exist at the position next, as read from
// the log. Keys that are missing from them were deleted before next, or are lost if this is the
// first snapshot in a new era. tail holds the log's records from the position on that Probe
// named. Replace returns the changes like Apply.
func (t *Topic) Replace(now time.Duration, records []Record, next Position, tail ...Record) []Change {
	if next.Era > t.snapshot.Era {
		return t.restore(now, records, next, tail)
	}
	t.listed = map[string][]byte{}
	for i, r := range records {
		t.listed[r.Key] = r.Value
		if next.Era > 0 {
			records[i].Position, _ = t.place(r, t.next.Offset)
		}
	}
	for key, r := range t.records {
		_, isListed := t.listed[key]
		kept := t.delay.KeepLost && r.Position.Era < next.Era
		if !isListed && len(r.Value) > 0 && r.Position.Before(next) && !kept {
			records = append(records, Record{Position: latest(next.Plus(-1), r.Position.Plus(1)), Key: key})
		}
	}
	t.snapshot = next
	if next.Era == 0 {
		// Nothing is lost.
		t.asking.until = now
	}
	return t.applySnapshot(next, func() []Change { return t.Read(now, records, next) })
}

// SnapshotEra returns the era of this VM's last snapshot.
func (t *Topic) SnapshotEra() int64 { return t.snapshot.Era }

// Probe reports whether the records of a snapshot of a new era don't show where the log differs
// from that of the era before, and from which position on the log must be read to know.
func (t *Topic) Probe(records []Record, next Position) (from Position, needed bool) {
	last, known := t.history.lastKnown(next.Era)
	if next.Era <= t.snapshot.Era || !known {
		return Position{}, false
	}
	fresh := t.history.firstNew(records)
	for _, r := range records {
		needed = needed || r.Position.Offset > last && r.Position.Offset < fresh
	}
	return Position{Era: next.Era, Offset: last}, needed
}

// restore applies this VM's first snapshot of a new era, whose newest records were read up to
// the position next.
func (t *Topic) restore(now time.Duration, records []Record, next Position, tail []Record) []Change {
	t.now, t.before = now, t.Told()
	fresh := t.history.firstNew(slices.Concat(records, tail))
	kept := t.history.lastOld(records) - keptMargin
	t.fresh = t.before == Position{} && t.asking.until > 0
	if len(t.records) == 0 && !t.fresh {
		fresh = 0
	}
	t.beginHistory(next.Era)
	t.learnEra(now, next.Era)
	clear(t.guesses)
	clear(t.rivals)
	t.listed = map[string][]byte{}
	var out []Change
	for _, r := range records {
		t.listed[r.Key] = r.Value
		inferred := Record{Position: next.Plus(-1), Key: r.Key, Value: r.Value, Inferred: true}
		old, known := t.records[r.Key]
		if t.revoke(old, inferred) || t.keeps(old, inferred) {
			continue
		}
		position, certain := t.place(r, fresh)
		if !certain {
			t.guesses[r.Key] = r
		}
		r.Position = position
		if certain {
			t.history.add(r, next.Era)
		}
		if known && !old.Position.Before(position) || !known && !t.discardedTo.Before(position) {
			t.infer(old, inferred, !certain)
			continue
		}
		delete(t.delayed, r.Key)
		if change := t.set(r); !change.Repeats || position.Era == next.Era {
			out = append(out, change)
		}
	}
	for key, old := range t.records {
		inferred := Record{Position: next.Plus(-1), Key: key, Inferred: true}
		_, isListed := t.listed[key]
		switch {
		case isListed:
		case len(old.Value) == 0 && old.Position.Offset > kept && old.Position.Before(inferred.Position):
			// The log may lack the deletion, and others may take the key for one that it holds.
			delete(t.delayed, key)
			t.set(inferred)
		default:
			t.infer(old, inferred, false)
		}
	}
	t.next, t.snapshot, t.deletionsFrom = latest(t.next, next), next, latest(t.deletionsFrom, next)
	t.asking.begin(now, t.before)
	return out
}

// beginHistory records the era of the first snapshot of a VM that starts with its deployment. Logs count their
// eras from 0 or from 1. A VM that starts later can't tell whether there were eras before.
func (t *Topic) beginHistory(era int64) {
	if t.snapshot.Era == 0 && len(t.history.prints) == 0 && !t.fresh {
		t.history.first = era
	}
}

// guess returns the position that a record has at least, whichever era it is of.
func (r Record) guess() Position { return Position{Offset: r.Position.Offset} }

// place returns the position of a record in a snapshot, and whether that is certain. All records
// from the offset fresh on are new in the snapshot's era.
func (t *Topic) place(r Record, fresh int64) (p Position, certain bool) {
	old, known := t.history.find(r)
	held, isHeld := t.records[r.Key]
	switch {
	case r.Position.Offset >= fresh:
		return r.Position, true
	case known:
		return old, true
	case isHeld && held.Position.Offset == r.Position.Offset && bytes.Equal(held.Value, r.Value):
		return held.Position, true
	}
	return r.guess(), false
}

// resolve applies what another VM's records show of the last snapshot: their positions in its era
// aren't before the first of that.
func (t *Topic) resolve(now time.Duration, records []Record, next Position) []Change {
	if len(t.guesses) == 0 {
		return nil
	}
	fresh := int64(math.MaxInt64)
	if next.Era == t.snapshot.Era {
		fresh = next.Offset
	}
	for _, r := range records {
		if r.Position.Era == t.snapshot.Era && !r.Inferred {
			fresh = min(fresh, r.Position.Offset)
		}
	}
	var out []Change
	for key, r := range t.guesses {
		if r.Position.Offset < fresh {
			continue
		}
		delete(t.guesses, key)
		delete(t.rivals, key)
		if held := t.records[key]; held.Position == r.guess() && bytes.Equal(held.Value, r.Value) {
			t.records[key] = r
			continue
		}
		out = append(out, t.apply(now, r)...)
	}
	return out
}

// settleGuesses ends the uncertainty about the last snapshot, since nobody has known better: its
// records are the log's as of its end.
func (t *Topic) settleGuesses(now time.Duration) []Change {
	out := t.admitRivals(now)
	guesses := t.guesses
	t.guesses, t.fresh = map[string]Record{}, false
	for key, r := range guesses {
		if d, isDelayed := t.delayed[key]; isDelayed {
			d.uncertain = false
			t.delayed[key] = d
		}
		inferred := Record{Position: t.snapshot.Plus(-1), Key: key, Value: r.Value, Inferred: true}
		if t.records[key].Position == r.guess() {
			t.set(inferred)
			continue
		}
		out = append(out, t.apply(now, inferred)...)
	}
	return out
}

// admitRivals applies the records of other VMs that were held back.
func (t *Topic) admitRivals(now time.Duration) []Change {
	guesses, rivals := t.guesses, t.rivals
	t.guesses, t.rivals = map[string]Record{}, map[string]Record{}
	var out []Change
	for _, r := range rivals {
		out = append(out, t.apply(now, r)...)
	}
	t.guesses = guesses
	return out
}

// revoke takes back a delayed change of a key of an earlier era, if the log now holds again what
// this VM holds, and reports whether it did. The record is sent to other VMs, which may have inferred the same.
func (t *Topic) revoke(old, inferred Record) bool {
	d, isDelayed := t.delayed[inferred.Key]
	if !isDelayed || !d.record.Position.Before(inferred.Position) || !bytes.Equal(old.Value, inferred.Value) {
		return false
	}
	delete(t.delayed, inferred.Key)
	t.set(inferred)
	return true
}

// infer postpones what a snapshot of a new era says of a key whose newest record it doesn't
// hold. It is uncertain if the snapshot's record may be newer.
func (t *Topic) infer(old, inferred Record, uncertain bool) {
	key := inferred.Key
	if !old.Position.Before(inferred.Position) || bytes.Equal(old.Value, inferred.Value) {
		return
	}
	if t.delay.KeepLost && !uncertain {
		if len(old.Value) > 0 {
			t.lost[key] = true
		}
		return
	}
	t.postpone(delayedChange{record: inferred, due: t.inferredDue(old), uncertain: uncertain})
}
