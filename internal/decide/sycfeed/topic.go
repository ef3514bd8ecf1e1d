// Package sycfeed holds the state of a replicated topic: the newest record of each key of
// a log.
//
// A VM gets records by reading the log and from other VMs. A record replaces another one
// of the same key only if its position is later, whatever its source. A record without a
// value deletes its key.
//
// The log may be restored from an older copy, which begins a new era. Records that the copy
// shares with the log before keep the positions that they had, so that a record which the
// copy lacks is still newer than the one that the copy holds of its key: what was
// acknowledged stays until it is written again. A snapshot of the restored log also shows
// what it lacks. That is inferred, applied after a delay, and sent to other VMs.
//
// The package has no clock and does no I/O: the caller passes the time, as a duration
// since a fixed start on its monotonic clock, and the records.
package sycfeed

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// maxDeletions limits the deletions that a Topic stores. Over the lifetime of a VM more keys
// are deleted than this, and no VM sends records of keys that were deleted long ago.
const maxDeletions = 2000

// Topic is the state of one replicated topic. It is not safe for concurrent use.
type Topic struct {
	// next is the position before which every record has been seen.
	next Position
	// records holds the newest record of each key, including deletions.
	records map[string]Record
	// deletionsFrom is the position from which on records has every deletion. Deletions before it may
	// be missing, since a snapshot doesn't show them or they were discarded. It is at most next. An
	// unknown key with a record of the same era before it has been deleted.
	deletionsFrom Position
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
	// delayed holds the delayed changes by key.
	delayed map[string]delayedChange
	// outdated reports whether a record's content says that it is older than what is held, nil if
	// contents have no order.
	outdated func(held, r Record) bool
	// history is what this VM read of the log in all eras.
	history history
	// era is the latest era that this VM has learned of.
	era int64
	// snapshot is the position up to which this VM's last snapshot was taken, and before where
	// its next was then.
	snapshot, before Position
	// listed holds the values of the last snapshot by key.
	listed map[string][]byte
	// guesses holds the records of the last snapshot of which this VM couldn't tell whether they
	// are new in its era, by key, with the positions that they have if they are.
	guesses map[string]Record
	// fresh is set if this VM knew nothing before its last snapshot, of a restored log, and hasn't
	// heard from others what they knew.
	fresh bool
	// rivals holds the newest records of other VMs that may be newer than the guesses or not.
	rivals map[string]Record
	// restoredAt is when this VM learned of the present era.
	restoredAt time.Duration
	// lost holds the keys whose newest record the restored log lacks.
	lost map[string]bool
	// recent holds when inferred records became the newest of their keys in the last time.
	recent map[string]time.Duration
	// now is the time of the last call that has changed the state.
	now time.Duration
	// asking is what is asked of other VMs.
	asking asking
}

// New returns a topic without records.
func New(delay DeletionDelay) *Topic {
	return &Topic{
		records: map[string]Record{}, discardedTo: Position{Offset: -1}, delay: delay, delayed: map[string]delayedChange{},
		history: newHistory(), guesses: map[string]Record{}, rivals: map[string]Record{}, lost: map[string]bool{}, recent: map[string]time.Duration{},
	}
}

// OrderBy sets the function that reports whether a record's content says that it is older than what
// is held of its key. Such a record of a later era changes nothing. OrderBy is called before all
// other methods.
func (t *Topic) OrderBy(outdated func(held, r Record) bool) { t.outdated = outdated }

// keeps reports whether what is held stays, since a record of a later era has older content. Then
// the log lacks what is held.
func (t *Topic) keeps(held, r Record) bool {
	if t.outdated == nil || len(held.Value) == 0 || len(r.Value) == 0 || held.Position.Era >= r.Position.Era || !t.outdated(held, r) {
		return false
	}
	t.lost[r.Key] = true
	return true
}

// Next returns the position from which on the log must be read.
func (t *Topic) Next() Position { return t.next }

// Told returns the position of which this VM may report to others that it has passed every record
// before. It isn't Next while some records of the last snapshot have no certain position, or while
// this VM, which knew nothing before, may lack deletions.
func (t *Topic) Told() Position {
	if t.fresh || len(t.guesses) > 0 {
		return t.before
	}
	return t.next
}

// Lacks reports whether the restored log lacks the newest record of a key, as far as this VM knows.
func (t *Topic) Lacks(key string) bool { return t.lost[key] }

// Lost returns how many records this VM holds that the restored log lacks, as far as it knows.
func (t *Topic) Lost() int { return len(t.lost) }

// OutageEnded records that the log became readable again after an outage, and starts the
// delay of deletions.
func (t *Topic) OutageEnded(now time.Duration) {
	t.outageEnded, t.delayUntil = now, now+t.delay.AfterOutage
}

// learnEra records that this VM has learned of an era, which may be new.
func (t *Topic) learnEra(now time.Duration, era int64) {
	if era <= t.era {
		return
	}
	t.OutageEnded(now)
	t.era, t.restoredAt = era, now
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

// inferredDue returns when an inferred record is applied that replaces another one: after the
// restore's delay, which is longer if it revives a key.
func (t *Topic) inferredDue(old Record) time.Duration {
	if len(old.Value) == 0 {
		return t.restoredAt + t.delay.Revival
	}
	return t.restoredAt + t.delay.AfterRestore
}

// Read applies records that were read from the log, and returns the changes like Apply.
func (t *Topic) Read(now time.Duration, records []Record, next Position) []Change {
	for _, r := range records {
		t.history.add(r, r.Position.Era)
	}
	return t.Apply(now, records, next)
}

// Apply applies records and returns those that became the newest of their keys. next is the
// position before which the caller has passed every record. A deletion or an inferred record
// that must be delayed is stored and not returned.
func (t *Topic) Apply(now time.Duration, records []Record, next Position) []Change {
	t.now = now
	t.learnEra(now, next.Era)
	out := t.resolve(now, records, next)
	for _, r := range records {
		t.learnEra(now, r.Position.Era)
		out = append(out, t.apply(now, r)...)
	}
	if t.next == (Position{}) {
		t.deletionsFrom = latest(t.deletionsFrom, next)
	}
	t.next = latest(t.next, next)
	t.discardDeletions()
	return out
}

// apply applies a record and returns the change, if there is one now.
func (t *Topic) apply(now time.Duration, r Record) []Change {
	old, known := t.records[r.Key]
	r = t.supersede(old, r)
	if known && !old.Position.Before(r.Position) || !known && t.wasDeleted(r.Position) || t.keeps(old, r) {
		return nil
	}
	if g, isGuess := t.guesses[r.Key]; isGuess && r.Position.Before(g.Position) && old.Position == g.guess() {
		if t.rivals[r.Key].Position.Before(r.Position) {
			t.rivals[r.Key] = r
		}
		return nil
	}
	d, isDelayed := t.delayed[r.Key]
	switch {
	case known && bytes.Equal(old.Value, r.Value) && (r.Inferred || r.Position.Era < t.next.Era):
		if isDelayed && d.record.Position.Before(r.Position) {
			delete(t.delayed, r.Key)
		}
		t.set(r)
		return nil
	case r.Inferred && known && now < t.inferredDue(old):
		if !isDelayed || d.record.Position.Before(r.Position) {
			t.postpone(delayedChange{record: r, due: t.inferredDue(old)})
		}
		return nil
	case !r.Inferred && len(r.Value) == 0 && known && len(old.Value) > 0 && now < t.delayUntil:
		if !isDelayed || d.record.Position.Before(r.Position) {
			t.delayed[r.Key] = delayedChange{record: r, due: t.deletionDue(now)}
		}
		return nil
	}
	if isDelayed && d.record.Position.Before(r.Position) {
		delete(t.delayed, r.Key)
	}
	change := t.set(r)
	if r.Position.Era < t.next.Era && !r.Inferred {
		t.applyLate(old, r)
	}
	return []Change{change}
}

// wasDeleted reports whether an unknown key that has a record at a position has been deleted since. A record
// of an earlier era may be one that only its log held.
func (t *Topic) wasDeleted(at Position) bool {
	return !t.discardedTo.Before(at) || at.Era == t.deletionsFrom.Era && at.Before(t.deletionsFrom)
}

// supersede returns a record of another VM, or what the last snapshot says of its key if that is
// certainly newer: that it was deleted, or that it is as this VM holds it.
func (t *Topic) supersede(old, r Record) Record {
	isSame := r.Position.Era == t.snapshot.Era
	if !r.Position.Before(t.snapshot.Plus(-1)) || !isSame && !r.Inferred {
		return r
	}
	value, isListed := t.listed[r.Key]
	if !isListed && isSame && len(r.Value) > 0 || isListed && bytes.Equal(value, old.Value) && !bytes.Equal(value, r.Value) {
		return Record{Position: t.snapshot.Plus(-1), Key: r.Key, Value: value, Inferred: true}
	}
	return r
}

// applyLate records that a record of an earlier era became the newest of its key. The log of the
// present era lacks it, else it would have come with that.
func (t *Topic) applyLate(old, r Record) {
	if _, isDelayed := t.delayed[r.Key]; !isDelayed && !t.delay.KeepLost && len(r.Value)+len(old.Value) > 0 {
		inferred := Record{Position: t.next.Plus(-1), Key: r.Key, Value: old.Value, Inferred: true}
		t.delayed[r.Key] = delayedChange{record: inferred, due: t.inferredDue(r)}
	}
	t.lost[r.Key] = true
}

// postpone stores an inferred record for later. The newest record of its key is lost.
func (t *Topic) postpone(d delayedChange) {
	t.delayed[d.record.Key] = d
	t.lost[d.record.Key] = true
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
	t.deletionsFrom = latest(t.deletionsFrom, t.discardedTo.Plus(1))
	for key, r := range t.records {
		if len(r.Value) == 0 && !t.discardedTo.Before(r.Position) {
			delete(t.records, key)
			t.deletions--
		}
	}
}

// ApplyDelayed applies the delayed changes that are due, and returns them.
func (t *Topic) ApplyDelayed(now time.Duration) []Change {
	t.now = now
	maps.DeleteFunc(t.recent, func(_ string, at time.Duration) bool { return now > at+askingTime })
	var out []Change
	if !t.Asks(now) {
		out = t.admitRivals(now)
	}
	if now >= t.restoredAt+t.delay.AfterRestore {
		out = append(out, t.settleGuesses(now)...)
	}
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
	old, known := t.records[r.Key]
	if known && len(old.Value) == 0 {
		t.deletions--
	}
	if len(r.Value) == 0 {
		t.deletions++
	}
	t.records[r.Key] = r
	delete(t.lost, r.Key)
	if r.Inferred {
		t.recent[r.Key] = t.now
	}
	repeats := known && old.Position.Era < r.Position.Era && bytes.Equal(old.Value, r.Value)
	return Change{Record: r, Deleted: len(r.Value) == 0, Repeats: repeats}
}

// Since returns the newest records and the certain delayed changes at the position from or later,
// ordered by position.
func (t *Topic) Since(from Position) []Record {
	var out []Record
	for key, r := range t.records {
		if g, isGuess := t.guesses[key]; !r.Position.Before(from) && !(isGuess && r.Position == g.guess()) {
			out = append(out, r)
		}
	}
	for _, d := range t.delayed {
		if !d.uncertain && !d.record.Position.Before(from) {
			out = append(out, d.record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return a.Position.Compare(b.Position) })
	return out
}

// Uncertain returns the records of the last snapshot that may be newer than what this VM holds of
// their keys or not.
func (t *Topic) Uncertain() []Record {
	var out []Record
	for _, d := range t.delayed {
		if d.uncertain {
			out = append(out, d.record)
		}
	}
	return out
}

// latest returns the later one of two positions.
func latest(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}
