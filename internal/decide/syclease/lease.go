// Package syclease decides who may act for a time, from lease records in a log of which
// each names its place, so that of two appends for the same place one is refused.
//
// A holder counts its lease from before the append that granted it; everybody else counts
// from reading the record. The holder therefore stops before anybody else may start,
// however late an append takes effect, as long as clocks run at rates within the margin.
package syclease

import "time"

const (
	// marginPercent is added to another VM's lease before it counts as over; it bounds how
	// much faster one VM's clock may run than another's.
	marginPercent = 10
	// renewalDivisor sets the time between renewals as a part of the duration.
	renewalDivisor = 3
	// failedPause is the time between a failed append and the next.
	failedPause = 300 * time.Millisecond
)

// Options configure a Lease.
type Options struct {
	// Self names one start of this VM.
	Self string
	// Duration is how long a lease lasts. Times are of a clock that goes on while the
	// machine is suspended.
	Duration time.Duration
	// Delay is this VM's place among those that ask for a free lease.
	Delay time.Duration
	// LimitedRetention is set if the log keeps its records for some time only: a VM that finds none
	// can't know who held the lease before.
	LimitedRetention bool
}

// Record is one lease record of the log.
type Record struct {
	// Number is the record's place among the lease records, from 1.
	Number uint64
	// Fence is a number that rises from record to record.
	Fence uint64
	// Holder is the Self of the VM that wrote it, Proposal the number that the VM gave it.
	Holder   string
	Proposal uint64
	// Duration is 0 if it is that of the reader's options.
	Duration time.Duration
	// Released gives the lease up.
	Released bool
}

// Lease follows one lease on behalf of one VM.
type Lease struct {
	options Options
	newest  Record
	// last is the number of the last record of the log, as far as it is known.
	last uint64
	// known is false until the log was read to its end once.
	known  bool
	readAt time.Duration
	// term is the fence of the first of the records in a row of the newest holder.
	term uint64
	// proposedAt is when this VM began each append since the newest record. An append that
	// was given up may still be granted late, so each keeps its time.
	proposedAt map[uint64]time.Duration
	proposals  uint64
	// grantedAt is the start of the append that granted the newest record; it is
	// meaningful only while granted is true.
	grantedAt time.Duration
	granted   bool
	pending   bool
	// askAgain is the earliest time of the next append, after one that failed.
	askAgain time.Duration
	resigned bool
}

// New returns a lease of which nothing is known yet.
func New(o Options) *Lease {
	return &Lease{options: o, known: !o.LimitedRetention, proposedAt: map[uint64]time.Duration{}}
}

// LastNumber is the number of the last record known of; the next append is for the one after it.
func (l *Lease) LastNumber() uint64 { return l.last }

// Newest is the newest record read.
func (l *Lease) Newest() Record { return l.newest }

// Apply takes in a record. Older ones than the newest change nothing.
func (l *Lease) Apply(now time.Duration, r Record) {
	if r.Number <= l.last {
		return
	}
	inRow := r.Holder == l.newest.Holder && !l.newest.Released && r.Number == l.newest.Number+1
	if !inRow {
		l.term = r.Fence
	}
	l.newest, l.last, l.readAt = r, r.Number, now
	l.granted = false
	if r.Holder == l.options.Self && !r.Released {
		l.grantedAt, l.granted = l.proposedAt[r.Proposal]
	}
	// Every earlier proposal was for a number that is taken now.
	clear(l.proposedAt)
}

// ReachedEnd tells that the log has no records beyond a number.
func (l *Lease) ReachedEnd(now time.Duration, number uint64) {
	if !l.known {
		l.readAt = now
	}
	l.known = true
	l.last = max(l.last, number)
}

// Holds reports whether this VM may act now, and the fencing number to act with.
func (l *Lease) Holds(now time.Duration) (fence uint64, ok bool) {
	if !l.granted || l.resigned || now >= l.grantedAt+l.options.Duration {
		return 0, false
	}
	return l.newest.Fence, true
}

// Term is the lowest fencing number of this VM's present holding, which is above all numbers
// of former holders. It is meaningful only while the VM holds the lease.
func (l *Lease) Term() uint64 { return l.term }

// Due reports whether this VM should append a record now: to renew its lease in good time,
// or to take over a free one.
func (l *Lease) Due(now time.Duration) bool {
	if l.pending || l.resigned || !l.known || now < l.askAgain {
		return false
	}
	if _, ok := l.Holds(now); ok {
		return now >= l.grantedAt+l.options.Duration/renewalDivisor
	}
	return now >= l.freeAt()+l.options.Delay
}

// freeAt is when the former holder's lease has surely ended.
func (l *Lease) freeAt() time.Duration {
	duration := l.newest.Duration
	if duration == 0 {
		duration = l.options.Duration
	}
	switch {
	case l.newest.Released:
		return l.readAt
	case l.newest.Number == 0 && !l.options.LimitedRetention:
		return 0
	}
	return l.readAt + duration + duration*marginPercent/100
}

// Propose notes that an append for the number after Last starts now, and returns the
// proposal number of its record.
func (l *Lease) Propose(now time.Duration) (proposal uint64) {
	l.pending = true
	l.proposals++
	l.proposedAt[l.proposals] = now
	return l.proposals
}

// Settled tells that the last append was granted, or refused or given up; it is then not
// tried again at once.
func (l *Lease) Settled(now time.Duration, granted bool) {
	l.pending = false
	if !granted {
		l.askAgain = now + failedPause
	}
}

// Resign ends this VM's holding for good and reports whether it held the lease: then a record
// that releases it is to be appended once the VM has nothing under way.
func (l *Lease) Resign(now time.Duration) (held bool) {
	_, held = l.Holds(now)
	l.resigned = true
	return held
}

// Released reports whether this VM's newest record gave the lease up.
func (l *Lease) Released() bool { return l.newest.Holder == l.options.Self && l.newest.Released }
