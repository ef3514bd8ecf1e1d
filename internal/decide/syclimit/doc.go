// Package syclimit decides which requests run inside their customer's rate and
// burst, with the tokens of one VM and those that it borrows from others.
//
// Every VM accrues a fixed fraction of each customer's tokens. A VM that runs
// short borrows: the lender debits the tokens and lowers its own cap by the
// loan until the borrower has reported it over or can no longer spend it. What
// the borrower does not spend at once becomes its own, within its own cap. So
// the tokens that all VMs hold or have in transit are at most the burst, and
// what they spend in a window of length t is at most burst + rate*t. A lost
// message loses tokens and never doubles them.
//
// The package is pure: it takes the time and events and returns actions.
package syclimit

import (
	"math"
	"math/bits"
	"time"
)

// MicroPermits is a number of micro-tokens. A request costs one Token.
type MicroPermits int64

// Permit is the cost of one request.
const Permit MicroPermits = 1_000_000

// Fraction is a part of a whole in parts per billion.
type Fraction int64

// FullFraction is the fraction of everything.
const FullFraction Fraction = 1_000_000_000

// NewFraction rounds a share between 0 and 1 down, so that fractions never sum
// to more than their shares do.
func NewFraction(share float64) Fraction {
	if !(share > 0) {
		return 0
	}
	return Fraction(math.Floor(min(share, 1) * float64(FullFraction)))
}

// Of returns the fraction of an amount, rounded down.
func (f Fraction) Of(m MicroPermits) MicroPermits {
	return MicroPermits(scale(uint64(max(m, 0)), uint64(max(f, 0)), uint64(FullFraction)))
}

// scale returns a*b/c rounded down, or the largest Micro on overflow.
func scale(a, b, c uint64) uint64 {
	hi, lo := bits.Mul64(a, b)
	if hi >= c {
		return math.MaxInt64
	}
	q, _ := bits.Div64(hi, lo, c)
	return min(q, math.MaxInt64)
}

// maxLimit bounds rates and bursts, in requests.
const maxLimit = 1e9

// Limit is a customer's rate and burst.
type Limit struct {
	// rate is in micro-tokens a second.
	rate  MicroPermits
	burst MicroPermits
	// since is when this VM first applied the limit; a customer without state
	// has accrued at most since then.
	since time.Duration
}

// NewLimit returns a limit from requests a second and requests; since is when
// this VM first applied it.
func NewLimit(rate, burst float64, since time.Duration) Limit {
	return Limit{rate: toMicro(rate), burst: toMicro(burst), since: since}
}

func toMicro(requests float64) MicroPermits {
	if !(requests > 0) {
		return 0
	}
	return MicroPermits(math.Floor(min(requests, maxLimit) * float64(Permit)))
}

// Rate is in micro-tokens a second.
func (l Limit) Rate() MicroPermits { return l.rate }

// Burst is the most tokens that all VMs hold together.
func (l Limit) Burst() MicroPermits { return l.burst }
