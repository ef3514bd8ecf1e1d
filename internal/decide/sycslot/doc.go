// Package sycslot decides which slots' tokens a VM accrues.
//
// A slot belongs to the VM that its failure domain's slot table names, or to
// the VM that a holder record names in its place. A VM that comes to want a
// slot, or more of one, starts to accrue it only once every other VM of its
// domain, but for those that the platform has removed, has reported that it
// acts on a state at least as new as the one that gives the slot away, and
// once it is itself as new as all those reports. A VM that loses a slot stops
// at once. So no two VMs accrue the same slot, however late either reads.
//
// The package is pure: it takes states and reports and holds no clock.
package sycslot

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
)

// Peer is what is known of another VM.
type Peer struct {
	Address       string
	FailureDomain string
	// Reported is set when the other fields hold a report of the VM.
	Reported   bool
	ConfigNext uint64
	SystemNext uint64
}

// View is what a VM knows when it decides on its slots.
type View struct {
	Config *sycconfig.State
	System *sycconfig.State
	// Peers holds all other VMs. Complete tells that it holds every VM of the
	// failure domain that registered before this one; no slot is begun before.
	Peers    []Peer
	Complete bool
	// GoneSince reports whether the platform has removed the VM at an address, and
	// no later VM there can act on a state older than the given offsets.
	GoneSince func(address string, configNext, systemNext uint64) bool
	// Removed tells that the platform has removed this VM, which then accrues
	// nothing.
	Removed bool
}

// Settings tunes a Machine.
type Settings struct {
	// TakeoverStep is the wait between the VMs that may claim a slot.
	TakeoverStep time.Duration
}

// Defaults returns the settings with unset fields filled in.
func (s Settings) Defaults() Settings {
	if s.TakeoverStep == 0 {
		s.TakeoverStep = time.Second
	}
	return s
}

// tenure is a slot that this VM is to accrue.
type tenure struct {
	// fraction accrues now; it is at most wanted.
	fraction syclimit.Fraction
	// wanted is what the state gives, from the slot as it stands there.
	wanted syclimit.Fraction
	slot   slot
	// wide is set when the domain's share grew, which concerns all domains.
	wide bool
	// config and system are offsets after the last change of the slot. The
	// other VMs must report them before wanted accrues.
	config uint64
	system uint64
}
