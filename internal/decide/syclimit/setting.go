package syclimit

import (
	"time"

	"github.com/rotisserie/eris"
)

// Settings tunes a Machine. All VMs use the same ClockError.
type Settings struct {
	// MaxWait is the longest time that a request waits for a token.
	MaxWait time.Duration
	// QueueLength bounds the waiting requests of one customer.
	QueueLength int
	// LoanValid is how long a loan may be held, from the sending of its request.
	LoanValid time.Duration
	// LendFraction is the part of a VM's cap that may be out on loan. A restarted
	// VM leaves that part empty until its predecessor's loans have ended.
	LendFraction float64
	// FullLoanBurst is the burst, over all VMs, up to which the whole of it may be
	// out on loan, so that any VM can gather a token.
	FullLoanBurst MicroPermits
	// ClockError bounds the relative error of a VM's clock rate.
	ClockError float64
	// ReturnAfter is how long a loan that is not needed is kept.
	ReturnAfter time.Duration
	// ReportAfter is the longest time that a spent loan waits to be reported.
	ReportAfter time.Duration
	// AskInterval is the time that a request for a loan plans for.
	AskInterval time.Duration
	// MinBackoff and MaxDry bound the wait before a peer that had nothing to lend
	// is asked again.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// MaxAsks bounds the requests for loans that one customer has under way.
	MaxAsks int
	// AskRate bounds the requests for loans a second that this VM sends, for all
	// customers.
	AskRate float64
	// IdleTimeout is how long a customer without requests keeps its state.
	IdleTimeout time.Duration
}

// Defaults returns the settings with unset fields filled in.
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

// Validate returns all faults of the settings at once.
func (s Settings) Validate() error {
	var faults []string
	check := func(ok bool, fault string) {
		if !ok {
			faults = append(faults, fault)
		}
	}
	check(s.MaxWait >= 0, "hold must not be negative")
	check(s.QueueLength > 0, "queue length must be above 0")
	check(s.LoanValid > 0, "loan validity must be above 0")
	check(s.LendFraction > 0 && s.LendFraction <= 1, "lend share must be above 0 and at most 1")
	check(s.FullLoanBurst >= 0, "burst lent whole must not be negative")
	check(s.ClockError >= 0 && s.ClockError < 0.5, "clock error must be at least 0 and below 0.5")
	check(s.ReturnAfter > 0, "return time must be above 0")
	check(s.ReportAfter > 0, "report time must be above 0")
	check(s.AskInterval > 0, "ask interval must be above 0")
	check(s.MinBackoff > 0 && s.MinBackoff <= s.MaxBackoff, "dry waits must be above 0 and in order")
	check(s.MaxAsks > 0, "ask width must be above 0")
	check(s.AskRate > 0, "ask rate must be above 0")
	check(s.IdleTimeout > 0, "idle time must be above 0")
	if len(faults) == 0 {
		return nil
	}
	return eris.Errorf("limit settings: %q", faults)
}

// lendable is the part of a burst that all VMs together may have out on loan. It
// grows with the burst, so that who follows a higher one leaves room enough.
func (s Settings) lendable(burst MicroPermits) MicroPermits {
	return max(NewFraction(s.LendFraction).Of(burst), min(burst, s.FullLoanBurst))
}

// WithClockError returns the time to wait on one VM's clock until the span has surely
// passed on the clock of any other.
func (s Settings) WithClockError(span time.Duration) time.Duration {
	return time.Duration(float64(span)*(1+s.ClockError)/(1-s.ClockError)) + 1
}
