package sycoracle

import (
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
)

// span holds the moment at which a request was admitted: after the caller
// planned it and before an endpoint got it.
type span struct {
	planned time.Time
	arrived time.Time
}

// checkRates checks rate and burst over windows of every length. A window holds
// the requests that must have been admitted inside it.
func (e Evidence) checkRates(l *Ledger) {
	spans := e.spans()
	for _, c := range e.Customers {
		checkRate(l, c, spans[c.Name()])
	}
}

// spans lists the requests that ran, by customer.
func (e Evidence) spans() map[string][]span {
	arrived := map[uint64]time.Time{}
	for _, r := range e.Requests {
		if r.Outcome != sycengine.OutcomeRefused {
			arrived[r.PromptHash] = earlier(arrived[r.PromptHash], r.Time)
		}
	}
	booked := map[string]time.Time{}
	for _, c := range e.Calls {
		if c.Ran {
			booked[slotOf(c)] = earlier(booked[slotOf(c)], c.Time)
		}
	}
	spans := map[string][]span{}
	for _, x := range e.Exchanges {
		at := arrived[x.PromptHash()]
		if x.Slot() != "" {
			at = booked[x.Slot()]
		}
		if !at.IsZero() {
			spans[x.Customer()] = append(spans[x.Customer()], span{x.Planned(), at})
		}
	}
	return spans
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

func checkRate(l *Ledger, c sycload.Customer, spans []span) {
	slices.SortFunc(spans, func(a, b span) int { return a.arrived.Compare(b.arrived) })
	for _, first := range spans {
		count := 0
		for _, s := range spans {
			if s.planned.Before(first.planned) {
				continue
			}
			count++
			length := s.arrived.Sub(first.planned)
			allowed := c.Burst() + c.Rate()*length.Seconds()
			l.Check(RateHeld, float64(count) <= allowed,
				"%s ran %d requests within %s; %.1f are allowed", c.Name(), count, length, allowed)
		}
	}
}
