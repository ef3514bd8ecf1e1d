// Package syclease decides which VM holds a lease, from the lease records in a log.
//
// The holder of a lease is the only VM that may act in some matter for a time. A VM
// takes or renews the lease by appending a record. Each append names the number that its
// record must get, so that of two appends for the same number the log refuses one.
//
// The holder counts the lease's duration from before it started the append that granted
// the lease. Every other VM counts from when it read the record. The holder therefore
// stops before another VM may take the lease, however late an append takes effect, as
// long as the rates of the VMs' clocks differ by no more than a margin.
//
// The log may be restored from an older copy, which begins a new era. Then records that granted the
// lease may be gone, and their offsets are given out again. In a new era nobody holds the lease:
// its holder stops as soon as it learns of the era, and every VM waits until the lease of a holder
// that hasn't learned of it has surely ended. Numbers and fencing numbers of an era are higher than
// those of the eras before.
//
// The package has no clock and does no I/O: the caller passes the time, the records and
// the results of appends.
package syclease

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
)

const (
	// offsetBits is the number of the low bits of a number or fencing number that hold the
	// offset. The bits above hold the era. With an era below 2^21 they are 53 bits together,
	// which a JSON number holds without loss.
	offsetBits = 32

	// marginPercent is the part of a lease's duration, in percent, that a VM waits after
	// the end of another VM's lease. It bounds how much faster one VM's clock may run
	// than another's.
	marginPercent = 10
	// renewalDivisor sets when the holder renews: after the duration divided by it.
	renewalDivisor = 3
	// retryDelay is the time between a failed append and the next append.
	retryDelay = 300 * time.Millisecond
)

// NumberAt returns the number of the record at a position in the log.
func NumberAt(p sycfeed.Position) uint64 { return FenceAt(p) + 1 }

// FenceAt returns the fencing number of the record at a position in the log.
func FenceAt(p sycfeed.Position) uint64 { return uint64(p.Era)<<offsetBits + uint64(p.Offset) }

// PositionOf returns the position of the record with a fencing number.
func PositionOf(fence uint64) sycfeed.Position {
	return sycfeed.Position{Era: eraOf(fence), Offset: int64(fence & (1<<offsetBits - 1))}
}

// eraOf returns the era of a number or fencing number.
func eraOf(number uint64) int64 { return int64(number >> offsetBits) }

// Options configures a Lease.
type Options struct {
	// Self identifies the process of this VM: each start of the VM has another value.
	Self string
	// Duration is how long a lease lasts. The caller must pass times of a clock that
	// keeps running while the machine is suspended.
	Duration time.Duration
	// Delay is how long this VM waits before it asks for a lease that is free. The VMs'
	// delays differ, so that they don't all ask at the same time.
	Delay time.Duration
	// LimitedRetention is set if the log keeps its records for a limited time only. If
	// a VM finds no record in such a log, it can't know who held the lease before, and
	// waits as if it had just read another VM's record.
	LimitedRetention bool
}

// Record is one lease record of the log.
type Record struct {
	// Number is the record's place among the lease records, see NumberAt. In era 0 it
	// counts from 1.
	Number uint64
	// Fence is the fencing number, which increases from record to record. A holder sends
	// it with its actions, so that actions of a former holder can be rejected.
	Fence uint64
	// Holder is the Options.Self of the VM that appended the record.
	Holder string
	// Proposal is the number that the holder gave to the append, see Lease.Propose.
	Proposal uint64
	// Duration is how long the lease lasts. If it is 0, the Options.Duration of the VM
	// that reads the record applies.
	Duration time.Duration
	// Released is set if the record gives up the lease.
	Released bool
}

// Lease holds the state of one lease as one VM knows it. It is not safe for concurrent
// use.
type Lease struct {
	options Options
	// newest is the newest record applied.
	newest Record
	// last is the number of the last record that the log is known to have had.
	last uint64
	// ready is set once the former holder's lease can be judged: after the log was read
	// to its end, or from the start if the log keeps all records.
	ready bool
	// readAt is when newest was read or, if that was later, when the log was first read to
	// its end.
	readAt time.Duration
	// restoredAt is when the era of last became known, valid if that isn't era 0.
	restoredAt time.Duration
	// term is the fence of the first record in the unbroken series of records, ending
	// with newest, that have the same holder.
	term uint64
	// proposedAt holds the start time of each append since the newest record, by proposal
	// number. An append that was given up may still take effect, so its time is kept too.
	proposedAt map[uint64]time.Duration
	// proposals is the number of the last proposal.
	proposals uint64
	// grantedAt is when the append of newest started; valid if granted is set.
	grantedAt time.Duration
	// granted is set if newest came from a known append of this VM and isn't a release.
	granted bool
	// pending is set while an append is running.
	pending bool
	// retryAt is the earliest time of the next append after a failed one.
	retryAt time.Duration
	// resigned is set once this VM has given up the lease for good.
	resigned bool
}

// New returns a lease to which no record has been applied.
func New(o Options) *Lease {
	return &Lease{options: o, ready: !o.LimitedRetention, proposedAt: map[uint64]time.Duration{}}
}

// LastNumber returns the number of the last record that the log is known to have had. The
// next append must be for the number after it.
func (l *Lease) LastNumber() uint64 { return l.last }

// Next returns the position after LastNumber, from which on to read the log and at which to append.
func (l *Lease) Next() sycfeed.Position { return PositionOf(l.last) }

// Restored records that the log is known to be in an era. If the era is new, nobody holds the lease,
// no append that has started grants it any more, and the log must be read from its start.
func (l *Lease) Restored(now time.Duration, era int64) {
	if era <= eraOf(l.last) {
		return
	}
	l.last, l.newest, l.restoredAt, l.readAt = FenceAt(sycfeed.Position{Era: era}), Record{}, now, now
	l.granted, l.ready = false, !l.options.LimitedRetention
	clear(l.proposedAt)
}

// Newest returns the newest record applied in the present era.
func (l *Lease) Newest() Record { return l.newest }

// Apply applies a record that was read from the log at the time now. Records up to
// LastNumber change nothing.
func (l *Lease) Apply(now time.Duration, r Record) {
	if r.Number <= l.last {
		return
	}
	l.Restored(now, eraOf(r.Number))
	sameSeries := r.Holder == l.newest.Holder && !l.newest.Released && r.Number == l.newest.Number+1
	if !sameSeries {
		l.term = r.Fence
	}
	l.newest, l.last, l.readAt = r, r.Number, now
	l.granted = false
	if r.Holder == l.options.Self && !r.Released {
		l.grantedAt, l.granted = l.proposedAt[r.Proposal]
	}
	// Every earlier append was for a number that now belongs to a record.
	clear(l.proposedAt)
}

// ReachedEnd records that the log was read to its end, which is the record number. A read of a former
// era changes nothing.
func (l *Lease) ReachedEnd(now time.Duration, number uint64) {
	l.Restored(now, eraOf(number))
	if eraOf(number) < eraOf(l.last) {
		return
	}
	if !l.ready {
		l.readAt = now
	}
	l.ready = true
	l.last = max(l.last, number)
}

// KnowsEnd reports whether the log was read to its end in the present era. In a log of limited retention
// this VM asks for the lease only then.
func (l *Lease) KnowsEnd() bool { return l.ready }

// Holds reports whether this VM holds the lease now, and returns the fencing number to
// act with.
func (l *Lease) Holds(now time.Duration) (fence uint64, ok bool) {
	if !l.granted || l.resigned || now >= l.grantedAt+l.options.Duration {
		return 0, false
	}
	return l.newest.Fence, true
}

// Term returns the fencing number with which this VM's current holding of the lease began.
// All fencing numbers of former holders are lower. It is meaningful only while the VM
// holds the lease.
func (l *Lease) Term() uint64 { return l.term }

// Due reports whether this VM should append a record now, either to renew its lease
// before it ends or to take a lease that is free.
func (l *Lease) Due(now time.Duration) bool {
	if l.pending || l.resigned || !l.ready || now < l.retryAt {
		return false
	}
	if _, ok := l.Holds(now); ok {
		return now >= l.grantedAt+l.options.Duration/renewalDivisor
	}
	return now >= l.freeAt()+l.options.Delay
}

// freeAt returns the time from which on the newest record's lease and all leases of former eras have
// surely ended.
func (l *Lease) freeAt() time.Duration {
	former := time.Duration(0)
	if eraOf(l.last) > 0 {
		former = l.restoredAt + withMargin(l.options.Duration)
	}
	duration := l.newest.Duration
	if duration == 0 {
		duration = l.options.Duration
	}
	switch {
	case l.newest.Released:
		return max(l.readAt, former)
	case l.newest.Number == 0 && !l.options.LimitedRetention:
		return former
	}
	return max(l.readAt+withMargin(duration), former)
}

// withMargin returns how long to wait for the end of a lease of another VM.
func withMargin(duration time.Duration) time.Duration {
	return duration + duration*marginPercent/100
}

// Propose records that an append for the number after LastNumber starts now, and returns
// the proposal number that its record must contain.
func (l *Lease) Propose(now time.Duration) (proposal uint64) {
	l.pending = true
	l.proposals++
	l.proposedAt[l.proposals] = now
	return l.proposals
}

// Settled records that the last append has ended. granted is false if the log refused the
// append or the caller gave it up. The next append is then delayed.
func (l *Lease) Settled(now time.Duration, granted bool) {
	l.pending = false
	if !granted {
		l.retryAt = now + retryDelay
	}
}

// Resign ends this VM's holding for good, and reports whether it held the lease. If so, the
// caller must append a record with Released set once it has no more actions running.
func (l *Lease) Resign(now time.Duration) (held bool) {
	_, held = l.Holds(now)
	l.resigned = true
	return held
}

// Released reports whether the newest record is this VM's release of the lease.
func (l *Lease) Released() bool { return l.newest.Holder == l.options.Self && l.newest.Released }
