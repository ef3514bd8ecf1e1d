package sycoracle

import (
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
)

// admission bounds the time at which the rate limiter admitted a request. The exact
// time isn't recorded: it lies between planned and arrived.
type admission struct {
	// planned is when the caller was to send the request.
	planned time.Time
	// arrived is when the first endpoint that accepted the request received it.
	arrived time.Time
}

// checkRates checks that no customer exceeds its rate and burst in a time window of
// any length. A window counts only requests that must have been admitted inside it:
// they were planned and they arrived within it.
func (e Evidence) checkRates(l *Ledger) {
	admissions := e.admissions()
	for _, c := range e.Customers {
		checkRate(l, c, admissions[c.Name()])
	}
}

// admissions returns the admissions of the requests that an endpoint ran, by customer.
func (e Evidence) admissions() map[string][]admission {
	arrived := map[uint64]time.Time{}
	for _, r := range e.Requests {
		if r.Outcome != sycengine.OutcomeRefused {
			arrived[r.PromptHash] = earlier(arrived[r.PromptHash], r.Time)
		}
	}
	booked := map[string]time.Time{}
	for _, c := range e.Calls {
		if c.Ran {
			booked[bookedSlot(c)] = earlier(booked[bookedSlot(c)], c.Time)
		}
	}
	admissions := map[string][]admission{}
	for _, x := range e.Exchanges {
		at := arrived[x.PromptHash()]
		if x.Slot() != "" {
			at = booked[x.Slot()]
		}
		if !at.IsZero() {
			admissions[x.Customer()] = append(admissions[x.Customer()], admission{x.Planned(), at})
		}
	}
	return admissions
}

// earlier returns the earlier of two times, or b if a is zero.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// checkRate checks every window that starts when a request of the customer was
// planned and ends when another one arrived. It allows the burst plus the rate times
// the window's length.
func checkRate(l *Ledger, c sycload.Customer, admissions []admission) {
	slices.SortFunc(admissions, func(a, b admission) int { return a.arrived.Compare(b.arrived) })
	for _, first := range admissions {
		count := 0
		for _, a := range admissions {
			if a.planned.Before(first.planned) {
				continue
			}
			count++
			length := a.arrived.Sub(first.planned)
			allowed := c.Burst() + c.Rate()*length.Seconds()
			l.Check(RateHeld, float64(count) <= allowed,
				"%s ran %d requests within %s; %.1f are allowed", c.Name(), count, length, allowed)
		}
	}
}
