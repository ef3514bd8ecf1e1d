// Package sycmember keeps the roster of VMs that one VM knows: from the
// platform's list, which lags, and from introductions, which VMs exchange.
//
// Being listed proves nothing; being absent from the list for longer than its
// lag, without a sign of life, means that the platform has removed the VM.
// Within a failure domain every VM introduces itself to every other; between
// domains only to a few relays, so that no VM talks to the whole fleet.
//
// The package is pure: it takes the time and events and holds no clock.
package sycmember

import "time"

// VM names a VM and its present process.
type VM struct {
	// Address is the peer address, which is the VM's id.
	Address       string
	FailureDomain string
	// Incarnation differs between the processes of an address; empty if unknown.
	Incarnation string
	Leaving     bool
}

// Report is what a VM says of itself and of others.
type Report struct {
	VM VM
	// ConfigNext and SystemNext are the offsets after the newest records on
	// whose state the VM acts.
	ConfigNext uint64
	SystemNext uint64
	Known      []VM
}

// Member is a VM on the roster.
type Member struct {
	vm VM
	// report is the last one of the present process; valid if known is set.
	report Report
	known  bool
	// advances are the reports of the present process that differed from the one
	// before, oldest first.
	advances []advance
	// heard is the time of the last sign of life; valid if alive is set.
	heard time.Duration
	alive bool
	// since is when the present process was first heard of. An answer to an
	// introduction that was sent earlier may be its predecessor's.
	since time.Duration
	// absentFrom and absentTo bound the readings of the list without the VM;
	// valid if absent is set.
	absent     bool
	absentFrom time.Duration
	absentTo   time.Duration
	// due is when the next introduction goes out.
	due time.Duration
}

// advance is a report with new offsets, and when it came.
type advance struct {
	at         time.Duration
	configNext uint64
	systemNext uint64
}

// VM names the member.
func (m *Member) VM() VM { return m.vm }

// Reported returns the offsets of the last report; false if there is none of
// the present process.
func (m *Member) Reported() (configNext, systemNext uint64, ok bool) {
	return m.report.ConfigNext, m.report.SystemNext, m.known
}

// Settings tunes a Roster.
type Settings struct {
	// IntroductionInterval is the shortest time between introductions to one VM.
	IntroductionInterval time.Duration
	// IntroductionRate bounds the introductions a second that one VM sends in steady
	// state, by a longer interval where there are many VMs.
	IntroductionRate float64
	// SilentIntervals is how long a VM may be silent before it counts as out of reach,
	// in intervals between introductions.
	SilentIntervals float64
	// ListLag bounds the age of what the platform's list shows.
	ListLag time.Duration
	// Relays is the number of VMs of each other failure domain that a VM
	// introduces itself to.
	Relays int
	// SmallFleet is the size of a fleet in which all VMs introduce themselves to all.
	SmallFleet int
	// LogReaders is the number of VMs of a failure domain that read the log for it in
	// a fleet that is not small.
	LogReaders int
	// KnownPerReply bounds the VMs that a report passes on in a fleet that is
	// not small; in a small one all are.
	KnownPerReply int
	// MaxMembers bounds the roster.
	MaxMembers int
}

// Defaults returns the settings with unset fields filled in.
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

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
