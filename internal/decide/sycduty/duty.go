// Package sycduty decides which VM holds the fleet's duties, such as giving
// orders to endpoints, from a log that takes a record only at its end.
//
// A holder counts its lease from before the append that granted it; the others
// count it from when they read the record. So the holder stops before anybody
// else starts, however late an append takes effect: a late append either finds
// that the log has grown, and is refused, or extends its writer's lease in the
// eyes of the others only.
package sycduty

import "time"

const (
	// marginPercent is added to another VM's lease before it counts as over.
	marginPercent = 10
	// renewalDivisor sets the time between renewals as a part of the lease.
	renewalDivisor = 3
	// failedPause is the time between a failed append and the next.
	failedPause = 300 * time.Millisecond
)

// Record is one entry of the duty log.
type Record struct {
	// Holder is the incarnation of a VM.
	Holder string `json:"holder"`
	// Released gives the lease up.
	Released bool `json:"released,omitempty"`
}

// Lease follows the duty log on behalf of one VM. All times are of a clock that
// goes on while the machine is suspended.
type Lease struct {
	self     string
	duration time.Duration
	// end is the offset after the newest record read, and of the next append.
	end int64
	// read is false until the log was read to its end once.
	read   bool
	newest Record
	// term is the offset of the first of the records in a row of the newest
	// holder; it rises with every change of holder.
	term   int64
	readAt time.Duration
	// proposedAt is when the append began that is expected at offset proposedEnd.
	proposedAt  time.Duration
	proposedEnd int64
	// grantedAt is meaningful only while the newest record is this VM's.
	grantedAt time.Duration
	pending   bool
	// askAgain is the earliest time of the next append, after one that failed.
	askAgain time.Duration
	resigned bool
	// delay is this VM's place among those that ask for a free lease.
	delay time.Duration
}

// New returns the lease of the VM with that incarnation, which asks for a free
// lease after a delay, so that not all VMs ask at once.
func New(self string, duration, delay time.Duration) *Lease {
	return &Lease{self: self, duration: duration, delay: delay, proposedEnd: -1}
}

// End is the offset from which on the log is to be read.
func (l *Lease) End() int64 { return l.end }

// Read takes in the record at an offset.
func (l *Lease) Read(now time.Duration, offset int64, r Record) {
	if offset < l.end {
		return
	}
	if r.Holder != l.newest.Holder || l.newest.Released {
		l.term = offset
	}
	l.newest = r
	l.end = offset + 1
	l.readAt = now
	if r.Holder != l.self {
		return
	}
	if l.proposedEnd == offset {
		l.grantedAt = l.proposedAt
		return
	}
	// An append that was given up has been granted late: its time is unknown.
	l.grantedAt = now - l.duration
}

// Reached tells that the log has no records beyond an offset.
func (l *Lease) Reached(now time.Duration, end int64) {
	if !l.read {
		l.readAt = now
	}
	l.read = true
	l.end = max(l.end, end)
}

// Holds reports whether this VM may act now, and the token to act with.
func (l *Lease) Holds(now time.Duration) (token int64, ok bool) {
	if l.newest.Holder != l.self || l.newest.Released || l.resigned || now >= l.grantedAt+l.duration {
		return 0, false
	}
	return l.term, true
}

// Due reports whether this VM should append a record now.
func (l *Lease) Due(now time.Duration) bool {
	if l.pending || l.resigned || !l.read || now < l.askAgain {
		return false
	}
	if _, ok := l.Holds(now); ok {
		return now >= l.grantedAt+l.duration/renewalDivisor
	}
	if l.newest.Released {
		return now >= l.readAt+l.delay
	}
	// The former holder may act until the end of its lease, and a new VM knows
	// nothing of what came before.
	return now >= l.readAt+l.duration+l.duration*marginPercent/100+l.delay
}

// Propose returns the record to append and the offset at which it is expected.
func (l *Lease) Propose(now time.Duration) (r Record, at int64) {
	l.pending = true
	if l.proposedEnd != l.end {
		// An earlier append at the same place may be the one that is granted.
		l.proposedAt, l.proposedEnd = now, l.end
	}
	return Record{Holder: l.self}, l.end
}

// Settled tells that the last append was granted, or refused or given up; it is
// then not tried again at once.
func (l *Lease) Settled(now time.Duration, granted bool) {
	l.pending = false
	if !granted {
		l.askAgain = now + failedPause
	}
}

// Resign ends this VM's holding for good. It returns the record to append once
// the VM has nothing under way, if the VM held the lease.
func (l *Lease) Resign(now time.Duration) (r Record, at int64, held bool) {
	_, held = l.Holds(now)
	l.resigned = true
	return Record{Holder: l.self, Released: true}, l.end, held
}

// Holder is the newest holder of the lease.
func (l *Lease) Holder() string { return l.newest.Holder }

// Released reports whether this VM's newest record gave the lease up.
func (l *Lease) Released() bool { return l.newest.Holder == l.self && l.newest.Released }
