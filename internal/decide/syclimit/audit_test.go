package syclimit_test

import (
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
)

// outstanding returns the permits on all VMs and in transit, which can be spent
// without further accrual.
func (fl *fleet) outstanding() syclimit.MicroPermits {
	var sum syclimit.MicroPermits
	for _, v := range fl.vms {
		if !v.down {
			own, borrowed, _ := v.machine.Permits(v.local(), customer)
			sum += own + borrowed
		}
	}
	fl.transit = slices.DeleteFunc(fl.transit, func(t *transit) bool {
		return t.to.incarnation != t.incarnation || t.to.local() >= t.expires
	})
	for _, t := range fl.transit {
		sum += t.amount
	}
	return sum
}

// endTransit removes a loan that reached its borrower or can no longer be used.
func (fl *fleet) endTransit(v *vm, id uint64) {
	fl.transit = slices.DeleteFunc(fl.transit, func(t *transit) bool { return t.to == v && t.id == id })
}

// overspend returns the most requests by which any window exceeds
// burst + rate*length. It is negative if no window does.
func overspend(spends []time.Duration, rate, burst float64) float64 {
	lowest, worst := 0.0, -burst
	for i, at := range spends {
		level := float64(i) - rate*at.Seconds()
		if i == 0 || level < lowest {
			lowest = level
		}
		worst = max(worst, level-lowest+1-burst)
	}
	return worst
}
