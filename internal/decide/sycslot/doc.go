// Package sycslot decides which rate slots a VM accrues.
//
// A rate slot is a named fraction of every customer's rate and burst. The slot
// table of each failure domain assigns its slots to VMs. A slot's holder is the VM
// that may accrue it: the VM in the table, called the slot's home, or the VM in a
// holder record, which is written when another VM takes the slot over.
//
// No two VMs accrue the same slot, however late either of them reads the log. A VM
// that loses a slot stops at once. A VM that gains a slot, or a larger fraction of
// one, starts to accrue it only when two conditions hold. Every other VM of the
// domain that the platform hasn't removed has reported that it applied the records
// that take the slot away, and this VM has applied all records that those reports
// cover. If the fraction of a whole failure domain grows, the VMs of all domains must
// report, as another domain's fraction may shrink for it.
//
// The package is pure: it takes states and reports and reads no clock.
package sycslot

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
)

// Peer is another VM with the log offsets that it last reported.
type Peer struct {
	Address       string
	FailureDomain string
	// Reported is true if the VM has reported its offsets.
	Reported bool
	// ConfigNext and SystemNext are the offsets after the last records of the
	// config and system streams that the VM has applied.
	ConfigNext uint64
	SystemNext uint64
}

// View is the input from which a VM decides which of its slots to accrue.
type View struct {
	// Config and System are the states that this VM has applied from the config and
	// system streams.
	Config *sycconfig.State
	System *sycconfig.State
	// Peers holds all other known VMs.
	Peers []Peer
	// Complete is true if Peers holds every VM of the failure domain that
	// registered in the platform's list of VMs before this VM. No slot starts to
	// accrue before that, because a VM that isn't in Peers might still accrue it.
	// VMs that registered later needn't be known: they start no slot before this VM
	// has answered an introduction of theirs, which adds them to Peers, or is gone.
	Complete bool
	// GoneSince reports whether the platform has removed the VM at an address and
	// no later VM at that address can act on a state older than the given offsets.
	GoneSince func(address string, configNext, systemNext uint64) bool
	// Removed is true if the platform has removed this VM, which then accrues
	// nothing.
	Removed bool
}

// Settings holds the timing of takeovers.
type Settings struct {
	// TakeoverStep is how long a VM waits before a takeover, multiplied by the number
	// of VMs that may take the slot over before it.
	TakeoverStep time.Duration
}

// Defaults returns the settings with unset fields set to their defaults.
func (s Settings) Defaults() Settings {
	if s.TakeoverStep == 0 {
		s.TakeoverStep = time.Second
	}
	return s
}

// heldSlot is a slot that this VM holds and how much of it accrues.
type heldSlot struct {
	// fraction accrues now. It is at most assigned.
	fraction syclimit.Fraction
	// assigned is the fraction that the state assigns to this VM for the slot.
	assigned syclimit.Fraction
	// slot is the slot in the state from which assigned was computed.
	slot slot
	// needsAllDomains is true if the domain's fraction grew since the slot last
	// accrued in full. The VMs of all failure domains must then confirm it.
	needsAllDomains bool
	// config and system are the streams' offsets at which this VM applied the last
	// change of the slot. The other VMs must report at least these offsets before
	// assigned accrues in full.
	config uint64
	system uint64
}
