// Package syclease decides who may act for a time, from lease records in the
// system stream.
//
// A holder counts its lease from before the append that granted it; everybody
// else counts from reading the record. The holder therefore stops before
// anybody else may start, as long as clocks run at rates within the margin.
package syclease

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

const (
	// MarginPercent bounds how much faster one VM's clock may run than another's.
	MarginPercent = 5
	// renewalDivisor sets the time between renewals as a part of the duration.
	renewalDivisor = 3
)

// Tracker follows one lease on behalf of one VM.
type Tracker struct {
	address     string
	incarnation string
	duration    time.Duration

	// generation and fence are those of the newest lease record seen.
	generation uint64
	fence      uint64
	// term is the fence of the first of the records in a row that name this
	// incarnation, up to the newest; it is meaningful only while mine is true.
	term uint64
	// readAt is when the newest record was first seen.
	readAt time.Duration
	// readDuration is the duration written in the newest record.
	readDuration time.Duration
	// mine reports whether the newest record names this incarnation.
	mine bool
	// proposedAt is when this VM began each append since the last one granted. An
	// append that was given up may still be granted late, so each keeps its time.
	proposedAt map[uint64]time.Duration
	proposals  uint64
	// grantedAt is the start of the append that granted the newest record; it is
	// meaningful only while mine is true.
	grantedAt time.Duration
	pending   bool
}

// NewTracker returns a tracker for the VM with the given peer address and
// incarnation, which asks for leases of the given duration.
func NewTracker(address, incarnation string, duration time.Duration) *Tracker {
	return &Tracker{
		address:     address,
		incarnation: incarnation,
		duration:    duration,
		proposedAt:  map[uint64]time.Duration{},
	}
}

// Observe takes in the newest lease record of the folded state.
func (t *Tracker) Observe(now time.Duration, lease sycconfig.Object[sycrecord.Lease]) {
	if lease.Generation() <= t.generation {
		return
	}
	value := lease.Value()
	inRow := t.mine && lease.Generation() == t.generation+1
	t.generation = lease.Generation()
	t.fence = lease.Offset()
	t.readAt = now
	t.readDuration = time.Duration(value.Duration())
	t.mine = value.Address() == t.address && value.Incarnation() == t.incarnation
	if t.mine {
		t.grantedAt = t.proposedAt[value.Proposal()]
	}
	if !inRow {
		t.term = t.fence
	}
	// Every earlier proposal expected a generation that has passed.
	clear(t.proposedAt)
}

// Holds reports whether this VM may act now, and the fencing number to act with.
func (t *Tracker) Holds(now time.Duration) (fence uint64, ok bool) {
	if !t.mine || now >= t.grantedAt+t.duration {
		return 0, false
	}
	return t.fence, true
}

// Term is the lowest fencing number of this VM's present holding, which is above
// all numbers of former holders. It is meaningful only while the VM holds the lease.
func (t *Tracker) Term() uint64 { return t.term }

// Free reports whether the former holder's lease has surely ended.
func (t *Tracker) Free(now time.Duration) bool {
	if t.generation == 0 {
		return true
	}
	margin := t.readDuration * MarginPercent / 100
	return now >= t.readAt+t.readDuration+margin
}

// Due reports whether this VM should append a lease operation: to renew its
// lease in good time, or to take over a free one.
func (t *Tracker) Due(now time.Duration) bool {
	if t.pending {
		return false
	}
	if _, ok := t.Holds(now); ok {
		return now >= t.grantedAt+t.duration/renewalDivisor
	}
	return t.Free(now)
}

// Propose returns the operation to append and notes that its append starts now.
func (t *Tracker) Propose(now time.Duration) (fields sycrecord.LeaseFields, expect uint64) {
	t.pending = true
	t.proposals++
	t.proposedAt[t.proposals] = now
	fields = sycrecord.LeaseFields{
		Address:     t.address,
		Incarnation: t.incarnation,
		Duration:    sycrecord.Duration(t.duration),
		Proposal:    t.proposals,
	}
	return fields, t.generation
}

// Settled tells that the last proposal was accepted, refused or given up.
func (t *Tracker) Settled() { t.pending = false }
