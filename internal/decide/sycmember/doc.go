// Package sycmember keeps the roster: the VMs of the fleet that one VM knows.
//
// The roster has two sources. The platform's list names the VMs that the
// platform runs, but changes show in it only after a lag. An introduction is a
// message in which a VM names itself to another VM, which answers with a Report
// (the call Hello of the peers' protocol).
//
// A VM that the list shows may still be dead. A VM that the list hasn't shown
// for longer than the lag, and that sent no message meanwhile, counts as gone:
// the platform has removed it. A VM introduces itself to every VM of its own
// failure domain, but only to a few VMs of each other domain (its relays), so
// that no VM talks to the whole fleet.
//
// The package has no clock and does no I/O: the caller passes the time and the
// messages. A time is a duration since a fixed start on the caller's monotonic
// clock.
package sycmember

import "time"

// VM identifies a VM and the process that runs on it.
type VM struct {
	// Address is the peer address, which identifies the VM in the fleet.
	Address string
	// FailureDomain names the VM's failure domain, a group of machines that can fail
	// together.
	FailureDomain string
	// Incarnation identifies the process: each start at the same address has
	// another value. It is empty if unknown.
	Incarnation string
	// Leaving is set while the VM shuts down.
	Leaving bool
}

// Report is a VM's answer to an introduction: its own state, and other VMs that
// it knows.
type Report struct {
	// VM is the sender of the report.
	VM VM
	// ConfigNext is the offset after the newest record of the configuration
	// stream that the sender has applied.
	ConfigNext uint64
	// SystemNext is the offset after the newest record of the system stream
	// that the sender has applied.
	SystemNext uint64
	// Known holds other VMs on the sender's roster.
	Known []VM
}

// Member is another VM on the roster, with what this VM has received from it.
type Member struct {
	// vm is the member as the list and its own messages describe it.
	vm VM
	// report is the last report of the member's current process; valid if
	// hasReport is set. Its Known is left out.
	report Report
	// hasReport is set once the member's current process has sent a report.
	hasReport bool
	// offsetReports holds the offsets of the current process's reports, oldest
	// first. Reports that repeat the offsets of the report before are left out.
	offsetReports []offsetReport
	// lastSeen is when the last introduction or report came from the member;
	// valid if seen is set.
	lastSeen time.Duration
	// seen is set once an introduction or report came from the member.
	seen bool
	// processSince is when the first message of the member's current process
	// came. The answer to an introduction that was sent earlier may come from
	// the process before.
	processSince time.Duration
	// absent is set while the newest reading of the platform's list doesn't show
	// the member.
	absent bool
	// absentFrom is the time of the first reading in a row without the member; valid
	// if absent is set.
	absentFrom time.Duration
	// absentTo is the time of the newest reading without the member; valid if absent
	// is set.
	absentTo time.Duration
	// nextIntroduction is when this VM may introduce itself to the member again.
	nextIntroduction time.Duration
}

// offsetReport holds the offsets of a Report and the time of its receipt.
type offsetReport struct {
	// at is when the report was received.
	at time.Duration
	// configNext and systemNext are the report's ConfigNext and SystemNext.
	configNext uint64
	systemNext uint64
}

// VM returns the member's address, failure domain and process.
func (m *Member) VM() VM { return m.vm }

// Reported returns the offsets of the last report from the member's current
// process. ok is false if that process has sent no report.
func (m *Member) Reported() (configNext, systemNext uint64, ok bool) {
	return m.report.ConfigNext, m.report.SystemNext, m.hasReport
}

// Settings configures a Roster. Defaults fills in fields that are zero.
type Settings struct {
	// IntroductionInterval is the shortest time between introductions to one VM.
	IntroductionInterval time.Duration
	// IntroductionRate limits the introductions that a VM sends, in messages a
	// second. With many VMs to introduce itself to, it waits longer than
	// IntroductionInterval between two introductions to the same VM.
	IntroductionRate float64
	// SilentIntervals is how long a VM may send nothing before it is no longer
	// live, as a multiple of the time between introductions to it.
	SilentIntervals float64
	// ListLag is the longest time until a change of the fleet shows in the
	// platform's list.
	ListLag time.Duration
	// Relays is the number of VMs of each other failure domain that a VM
	// introduces itself to.
	Relays int
	// SmallFleet is the number of known VMs from which on a fleet isn't small. In
	// a small fleet each VM introduces itself to all others, reads the log, and
	// names all VMs in its reports.
	SmallFleet int
	// LogReaders is the number of VMs of a failure domain that read the log on
	// behalf of the domain, unless the fleet is small.
	LogReaders int
	// KnownPerReply limits the VMs in Report.Known, unless the fleet is small.
	KnownPerReply int
	// MaxMembers limits the members of a roster. Further VMs are ignored.
	MaxMembers int
}

// Defaults returns s with every field that is zero set to its default.
func (s Settings) Defaults() Settings {
	setDefault(&s.IntroductionInterval, time.Second)
	setDefault(&s.IntroductionRate, 10)
	setDefault(&s.SilentIntervals, 3)
	setDefault(&s.ListLag, 5*time.Second)
	setDefault(&s.Relays, 2)
	setDefault(&s.SmallFleet, 16)
	setDefault(&s.LogReaders, 2)
	setDefault(&s.KnownPerReply, 4)
	setDefault(&s.MaxMembers, 4096)
	return s
}

// setDefault sets field to value if field is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
