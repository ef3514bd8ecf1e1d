// Package sycpoll decides which VM of a failure domain polls which engine's load.
//
// A poll asks an engine for a load report. The VMs of a failure domain divide the
// polls among them: for each engine, rendezvous hashing gives each VM a rank. The
// VM of rank 0 polls the engine and sends its reports to the other VMs in digests,
// messages that the VMs exchange regularly. The other VMs are standbys. They poll the
// engine only if no newer report has come for some time, which grows with the rank.
// A VM that can reach an engine therefore never has a report of it that is older than
// Settings.Bound, also if digests are lost, a VM's process is paused, or the VMs'
// rosters (the lists of VMs that each VM knows) differ.
//
// An engine of the VM's own failure domain is called near, an engine of another
// domain far. An own poll is a poll by the VM that the Plan belongs to.
//
// The package has no clock and does no I/O: the caller passes the time and the
// outcomes of polls. A time is a duration since a fixed start on the caller's
// monotonic clock.
package sycpoll

import "time"

// Settings configures a Plan. Defaults fills in fields that are zero.
type Settings struct {
	// Period is the time between polls of a near engine that has work.
	Period time.Duration
	// FarPeriod is the time between polls of a far engine that has work.
	FarPeriod time.Duration
	// IdlePeriod is the time between polls of an engine without work.
	IdlePeriod time.Duration
	// NearPollRate limits the polls of all near engines by all VMs of the failure
	// domain together, in polls a second. With many engines the periods are longer.
	NearPollRate float64
	// FarPollRate limits the polls of all far engines in the same way.
	FarPollRate float64
	// StandbyDelay is how long after the end of an engine's period without a newer
	// report the VM of rank 1 polls the engine.
	StandbyDelay time.Duration
	// Stagger is added to StandbyDelay for each further rank.
	Stagger time.Duration
	// MaxStaggers limits how many times Stagger is added.
	MaxStaggers int
	// ContactInterval is the longest time between own polls of an engine, also of
	// an engine that other VMs poll. These polls show a VM whether it can reach the
	// engine, and the round-trip time.
	ContactInterval time.Duration
	// ContactRate limits the polls that are due because of ContactInterval, in polls
	// a second of this VM. With many engines the interval is longer.
	ContactRate float64
	// PollRate limits all own polls, in polls a second.
	PollRate float64
	// Burst limits the own polls that start at the same time.
	Burst float64
}

// Defaults returns s with every field that is zero set to its default.
func (s Settings) Defaults() Settings {
	setDefault(&s.Period, 200*time.Millisecond)
	setDefault(&s.FarPeriod, 400*time.Millisecond)
	setDefault(&s.IdlePeriod, time.Second)
	setDefault(&s.NearPollRate, 200)
	setDefault(&s.FarPollRate, 50)
	setDefault(&s.StandbyDelay, 750*time.Millisecond)
	setDefault(&s.Stagger, 250*time.Millisecond)
	setDefault(&s.MaxStaggers, 4)
	setDefault(&s.ContactInterval, time.Minute)
	setDefault(&s.ContactRate, 5)
	setDefault(&s.PollRate, 50)
	setDefault(&s.Burst, 10)
	return s
}

// setDefault sets field to value if field is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Bound returns the greatest age of the newest report of any engine at a VM. It holds
// if there are near and far engines in the given numbers, the VM can reach all of
// them, and each poll ends within the duration poll.
func (s Settings) Bound(near, far int, poll time.Duration) time.Duration {
	longest := max(s.Period, s.FarPeriod, s.IdlePeriod, roundTime(near, s.NearPollRate), roundTime(far, s.FarPollRate))
	wait := time.Duration((1+jitter/2)*float64(longest)) + s.StandbyDelay + time.Duration(s.MaxStaggers)*s.Stagger
	return wait + roundTime(near+far, s.PollRate) + 2*poll
}

// roundTime returns the time to poll a number of engines once, at rate polls a second.
func roundTime(engines int, rate float64) time.Duration {
	return time.Duration(float64(engines) / rate * float64(time.Second))
}
