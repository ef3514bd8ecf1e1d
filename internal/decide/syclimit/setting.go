package syclimit

import (
	"time"

	"github.com/rotisserie/eris"
)

// Settings holds the tunable values of a Machine. ClockError must be the same
// on all VMs.
type Settings struct {
	// MaxWait is the longest time that a request waits for a permit.
	MaxWait time.Duration
	// QueueLength bounds the waiting requests of one customer on this VM.
	QueueLength int
	// LoanValid is how long a loan may be spent, counted from when the borrower
	// sent its request.
	LoanValid time.Duration
	// LendFraction is the part of a VM's capacity that may be out on loan. A
	// restarted VM leaves that part empty until all loans of its earlier
	// process have expired.
	LendFraction float64
	// FullLoanBurst is the amount of a customer's burst, summed over all VMs,
	// that may be out on loan even if LendFraction allows less. A burst up to
	// this amount may be lent entirely, so that any VM can collect a full
	// permit.
	FullLoanBurst MicroPermits
	// ClockError bounds the relative error of the rate of a VM's clock.
	ClockError float64
	// ReturnAfter is how long a loan is kept while no request waits. A loan
	// that would expire within this time is returned too.
	ReturnAfter time.Duration
	// ReportAfter is the longest time until a fully spent loan is reported to
	// its lender.
	ReportAfter time.Duration
	// AskInterval is the time ahead for which an ask covers the expected
	// requests. It is also the shortest time until the peer is asked again
	// while the ask is pending.
	AskInterval time.Duration
	// MinBackoff and MaxBackoff bound the wait before a peer that had nothing
	// to lend, or that didn't answer, is asked again.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// MaxAsks bounds the pending asks of one customer on this VM.
	MaxAsks int
	// AskRate bounds the asks for permits that this VM sends per second, for
	// all customers together.
	AskRate float64
	// IdleTimeout is the shortest time that a customer without requests keeps
	// its state.
	IdleTimeout time.Duration
}

// Defaults returns the settings with unset fields set to their defaults.
func (s Settings) Defaults() Settings {
	setDefault(&s.MaxWait, 500*time.Millisecond)
	setDefault(&s.QueueLength, 256)
	setDefault(&s.LoanValid, 400*time.Millisecond)
	setDefault(&s.LendFraction, 0.5)
	setDefault(&s.FullLoanBurst, 8*Permit)
	setDefault(&s.ClockError, 0.0005)
	setDefault(&s.ReturnAfter, 100*time.Millisecond)
	setDefault(&s.ReportAfter, 50*time.Millisecond)
	setDefault(&s.AskInterval, 100*time.Millisecond)
	setDefault(&s.MinBackoff, 100*time.Millisecond)
	setDefault(&s.MaxBackoff, 1600*time.Millisecond)
	setDefault(&s.MaxAsks, 8)
	setDefault(&s.AskRate, 400)
	setDefault(&s.IdleTimeout, time.Minute)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns one error that lists all invalid settings.
func (s Settings) Validate() error {
	var faults []string
	check := func(ok bool, fault string) {
		if !ok {
			faults = append(faults, fault)
		}
	}
	check(s.MaxWait >= 0, "maximum wait must not be negative")
	check(s.QueueLength > 0, "queue length must be above 0")
	check(s.LoanValid > 0, "loan validity must be above 0")
	check(s.LendFraction > 0 && s.LendFraction <= 1, "lend fraction must be above 0 and at most 1")
	check(s.FullLoanBurst >= 0, "full loan burst must not be negative")
	check(s.ClockError >= 0 && s.ClockError < 0.5, "clock error must be at least 0 and below 0.5")
	check(s.ReturnAfter > 0, "return time must be above 0")
	check(s.ReportAfter > 0, "report time must be above 0")
	check(s.AskInterval > 0, "ask interval must be above 0")
	check(s.MinBackoff > 0 && s.MinBackoff <= s.MaxBackoff, "backoff bounds must be above 0 and in order")
	check(s.MaxAsks > 0, "number of asks must be above 0")
	check(s.AskRate > 0, "ask rate must be above 0")
	check(s.IdleTimeout > 0, "idle time must be above 0")
	if len(faults) == 0 {
		return nil
	}
	return eris.Errorf("limit settings: %q", faults)
}

// lendable returns the part of a burst that all VMs together may have out on
// loan. It grows with the burst, so that a VM that already applies a higher
// burst leaves enough room for loans.
func (s Settings) lendable(burst MicroPermits) MicroPermits {
	return max(NewFraction(s.LendFraction).Of(burst), min(burst, s.FullLoanBurst))
}

// WithClockError returns the time to wait on one VM's clock until the span has
// passed on the clock of every other VM.
func (s Settings) WithClockError(span time.Duration) time.Duration {
	return time.Duration(float64(span)*(1+s.ClockError)/(1-s.ClockError)) + 1
}
