// Package syclimit limits the requests of each customer to its rate and burst over
// all VMs together.
//
// It is a distributed token bucket. A permit admits one request. Every VM accrues a
// fixed fraction of each customer's permits, given by the rate slots that it holds
// (package sycslot). The VM's capacity is its fraction of the burst. A VM that runs
// short borrows from a peer, which debits the permits and lowers its own capacity by
// the loan. The lender gets the capacity back when the borrower has reported that the
// loan ended, or when the borrower can no longer spend it. Permits that the borrower
// doesn't spend at once become its own, within its own capacity.
//
// So the permits that all VMs hold or have in transit never exceed the burst, and in
// a window of length t the VMs spend at most burst + rate*t. A lost message loses
// permits and never duplicates them.
//
// A Machine holds the permits of one VM. To keep waits short it also rebalances: a VM
// that is well below its capacity borrows from a fuller one before a request lacks a
// permit.
//
// The package is pure: it takes the time and events and returns actions.
package syclimit

import (
	"math"
	"math/bits"
	"time"
)

// MicroPermits is an amount of permits in millionths of a Permit.
type MicroPermits int64

// Permit is the cost of one request.
const Permit MicroPermits = 1_000_000

// Fraction is a part of a customer's rate and burst, in parts per billion.
type Fraction int64

// FullFraction is the fraction that covers the entire rate and burst.
const FullFraction Fraction = 1_000_000_000

// NewFraction converts a part between 0 and 1. It rounds down, so that the sum
// of fractions never exceeds the sum of the parts.
func NewFraction(part float64) Fraction {
	if !(part > 0) {
		return 0
	}
	return Fraction(math.Floor(min(part, 1) * float64(FullFraction)))
}

// Of returns the fraction of an amount, rounded down.
func (f Fraction) Of(m MicroPermits) MicroPermits {
	return MicroPermits(mulDiv(uint64(max(m, 0)), uint64(max(f, 0)), uint64(FullFraction)))
}

// mulDiv returns a*b/c rounded down, or the largest MicroPermits value on
// overflow.
func mulDiv(a, b, c uint64) uint64 {
	hi, lo := bits.Mul64(a, b)
	if hi >= c {
		return math.MaxInt64
	}
	q, _ := bits.Div64(hi, lo, c)
	return min(q, math.MaxInt64)
}

// maxRequests bounds rates, in requests per second, and bursts, in requests.
const maxRequests = 1e9

// Limit is a customer's rate and burst over all VMs.
type Limit struct {
	// rate is in micro-permits per second.
	rate MicroPermits
	// burst is the most permits that all VMs together hold.
	burst MicroPermits
	// since is when this VM first applied the limit. A customer without state
	// has accrued permits since then at the earliest.
	since time.Duration
}

// NewLimit returns a limit from a rate in requests per second and a burst in
// requests. since is when this VM first applied it.
func NewLimit(rate, burst float64, since time.Duration) Limit {
	return Limit{rate: toMicroPermits(rate), burst: toMicroPermits(burst), since: since}
}

// toMicroPermits converts a number of requests, at most maxRequests, to
// permits.
func toMicroPermits(requests float64) MicroPermits {
	if !(requests > 0) {
		return 0
	}
	return MicroPermits(math.Floor(min(requests, maxRequests) * float64(Permit)))
}

// Rate returns the rate in micro-permits per second.
func (l Limit) Rate() MicroPermits { return l.rate }

// Burst returns the most permits that all VMs together hold.
func (l Limit) Burst() MicroPermits { return l.burst }
