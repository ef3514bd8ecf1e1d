package syclimit

import (
	"slices"
	"time"
)

// step is a fraction that has accrued without interruption since a time.
type step struct {
	fraction Fraction
	since    time.Duration
}

// steps is a VM's fraction as a stack of parts, oldest first.
type steps []step

// total returns the sum of all fractions.
func (s steps) total() Fraction {
	var sum Fraction
	for _, st := range s {
		sum += st.fraction
	}
	return sum
}

// change returns the steps after the total has changed. An increase begins to
// accrue now. A decrease is taken from the newest parts.
func (s steps) change(now time.Duration, total Fraction) steps {
	next := slices.Clone(s)
	more := total - next.total()
	if more > 0 {
		return append(next, step{fraction: more, since: now})
	}
	for more < 0 && len(next) > 0 {
		last := &next[len(next)-1]
		part := min(-more, last.fraction)
		last.fraction -= part
		more += part
		if last.fraction == 0 {
			next = next[:len(next)-1]
		}
	}
	return next
}

// accrued returns the permits that have accrued on this VM for a customer that
// never sent it a request. errorBound is the largest relative clock error.
func (s steps) accrued(now time.Duration, l Limit, errorBound float64) MicroPermits {
	var sum MicroPermits
	for _, st := range s {
		span := now - max(st.since, l.since)
		slow := time.Duration(float64(span) * (1 - errorBound))
		sum += min(st.fraction.Of(accrual(l.rate, slow)), st.fraction.Of(l.burst))
	}
	return sum
}
