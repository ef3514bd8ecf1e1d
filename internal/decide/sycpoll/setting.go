// Package sycpoll decides which VM of a failure domain polls which engine's load.
//
// The VMs share the polls: the first by rendezvous rank polls an engine and
// passes its reports on, the others poll it only when they have heard no newer
// report for some time, which grows with the rank. A VM that can reach an
// engine so has a report of it that is never older than Settings.Bound, also
// when digests are lost, a VM is paused or rosters disagree.
//
// The package is pure: it takes the time and events and holds no clock.
package sycpoll

import "time"

// Settings tunes a Plan.
type Settings struct {
	// Period is the time between polls of an engine of the own failure domain
	// that has work, FarPeriod of one of another domain.
	Period    time.Duration
	FarPeriod time.Duration
	// IdlePeriod is the time between polls of an engine without work.
	IdlePeriod time.Duration
	// DomainPollRate and FarReports bound the polls a second of the engines of the own
	// and of other failure domains by all VMs together, by longer periods where
	// there are many engines.
	DomainPollRate float64
	FarPollRate    float64
	// StandbyDelay is how much older than its period a report may get before the
	// second VM polls the engine itself, and Stagger what each further rank adds.
	StandbyDelay time.Duration
	Stagger      time.Duration
	// MaxStaggers is the rank from which on patience grows no more.
	MaxStaggers int
	// ContactInterval is the longest time between own polls of an engine, by which a VM
	// knows that it can reach it and how long the way is; where there are many
	// engines, ContactRate bounds these polls a second.
	ContactInterval time.Duration
	ContactRate     float64
	// PollRate bounds the polls a second, Burst those at once.
	PollRate float64
	Burst    float64
}

// Defaults returns the settings with unset fields filled in.
func (s Settings) Defaults() Settings {
	setDefault(&s.Period, 200*time.Millisecond)
	setDefault(&s.FarPeriod, 400*time.Millisecond)
	setDefault(&s.IdlePeriod, time.Second)
	setDefault(&s.DomainPollRate, 200)
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

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Bound is the oldest that a report gets at a VM that can reach all of a number
// of engines of its own and of other failure domains, and whose polls end within
// the given time.
func (s Settings) Bound(near, far int, poll time.Duration) time.Duration {
	longest := max(s.Period, s.FarPeriod, s.IdlePeriod, every(near, s.DomainPollRate), every(far, s.FarPollRate))
	wait := time.Duration((1+jitter/2)*float64(longest)) + s.StandbyDelay + time.Duration(s.MaxStaggers)*s.Stagger
	return wait + every(near+far, s.PollRate) + 2*poll
}

// every is the time in which a number of engines is polled once at a rate a second.
func every(engines int, rate float64) time.Duration {
	return time.Duration(float64(engines) / rate * float64(time.Second))
}
