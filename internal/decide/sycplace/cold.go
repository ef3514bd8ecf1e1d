package sycplace

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycthrottle"
)

const (
	// maxColdTime limits how long an endpoint may say that it stays cold, so that a wrong value doesn't keep load off it
	// for good. A service's own time may be longer.
	maxColdTime = time.Minute
	// restartMargin is the time until the record of an endpoint that has started again has reached all VMs.
	restartMargin = time.Second
)

// ColdReason says why an endpoint counts as cold.
type ColdReason string

// Reasons for which endpoints count as cold.
const (
	// ColdByRecord means that the endpoint's record says so.
	ColdByRecord ColdReason = "record"
	// ColdByIncarnation means that the endpoint has started and doesn't say for how long it stays cold.
	ColdByIncarnation ColdReason = "incarnation"
	// ColdByRefusal means that the endpoint has refused a connection, so that it may have started again.
	ColdByRefusal ColdReason = "refused"
	// ColdByEvacuation means that the endpoint got no requests during an evacuation.
	ColdByEvacuation ColdReason = "evacuation"
)

// ColdLimit is how long the endpoints of a service are cold after their start, and how many requests a second
// from all VMs together each tolerates meanwhile, 0 if any number.
type ColdLimit struct {
	Start time.Duration
	Rate  float64
}

// ColdChange is an endpoint that has become cold or warm.
type ColdChange struct {
	Endpoint string
	// Cold is set if it is cold now, for the time For and by a reason.
	Cold   bool
	For    time.Duration
	Reason ColdReason
	// Rate is what it tolerates, in requests a second.
	Rate float64
}

// SetColdLimit sets how the endpoints of a service are treated after their start, also those whose records this VM
// has already.
func (s *Selector) SetColdLimit(now time.Duration, service string, limit ColdLimit) {
	if limit.Rate <= 0 {
		delete(s.coldLimits, service)
		for _, e := range s.order {
			if e.record.Service == service {
				e.warmup = nil
			}
		}
		return
	}
	if s.coldLimits[service] == limit {
		return
	}
	s.coldLimits[service] = limit
	for _, e := range s.order {
		if e.record.Service != service {
			continue
		}
		if e.warmup != nil {
			e.warmup.SetRate(now, limit.Rate)
			continue
		}
		length, reason := s.coldTime(e)
		s.cool(now, e, e.coldAsOf+length-now, reason)
	}
}

// HasColdLimits reports whether the endpoints of any service are treated specially after their start.
func (s *Selector) HasColdLimits() bool { return len(s.coldLimits) > 0 }

// TakeColdChanges returns the endpoints that have become cold or warm since the last call.
func (s *Selector) TakeColdChanges(now time.Duration) []ColdChange {
	for _, e := range s.order {
		if e.warmup != nil && e.warmup.Over(now) {
			e.warmup = nil
			s.coldChanges = append(s.coldChanges, ColdChange{Endpoint: e.record.ID})
		}
	}
	out := s.coldChanges
	s.coldChanges = nil
	return out
}

// isCold reports whether the endpoint tolerates only few requests.
func (e *endpoint) isCold(now time.Duration) bool { return e.warmup != nil && !e.warmup.Over(now) }

// CountCold returns how many endpoints are cold or get their load back in steps.
func (s *Selector) CountCold() int {
	n := 0
	for _, e := range s.order {
		if e.warmup != nil {
			n++
		}
	}
	return n
}

// coldTime returns for how long an endpoint that has started is cold by its record.
func (s *Selector) coldTime(e *endpoint) (time.Duration, ColdReason) {
	if e.record.ColdKnown {
		return e.record.ColdFor, ColdByRecord
	}
	return s.coldLimits[e.record.Service].Start, ColdByIncarnation
}

// ObserveCold applies what the latest record of an endpoint says of its cold time. IsNew is set if this VM didn't know
// the endpoint's incarnation before.
func (s *Selector) ObserveCold(now time.Duration, id string, isNew bool) {
	e := s.endpoints[id]
	if e == nil {
		return
	}
	if isNew || e.record.ColdKnown {
		e.coldAsOf = now
	}
	if e.mayHaveRestarted && now < e.restartAt+restartMargin {
		// The record may have been written before the endpoint's end.
		return
	}
	e.mayHaveRestarted = false
	length, reason := s.coldTime(e)
	switch {
	case isNew || e.record.ColdKnown && length > 0:
		s.cool(now, e, length, reason)
	case e.record.ColdKnown && e.warmup != nil:
		// It says that it is warm. Load still returns in steps.
		e.warmup.SetUntil(now, min(e.warmup.Until(), now))
	}
}

// cool makes an endpoint count as cold for a time, if its service has a limit for that. Only a record shortens the time.
func (s *Selector) cool(now time.Duration, e *endpoint, length time.Duration, reason ColdReason) {
	limit, limited := s.coldLimits[e.record.Service]
	if !limited || length <= 0 {
		return
	}
	length = min(length, max(maxColdTime, limit.Start))
	until := now + length
	switch {
	case e.warmup == nil || e.warmup.Over(now):
		e.warmup = sycthrottle.NewWarmup(now, until, s.settings.Address, e.record.ID, e.record.FailureDomain, limit.Rate, s.settings.ColdSlack, s.vms)
		s.generation.Add(1)
	case reason == ColdByRecord || until > e.warmup.Until():
		e.warmup.SetUntil(now, until)
		if reason == ColdByRefusal {
			return
		}
	default:
		return
	}
	s.coldChanges = append(s.coldChanges, ColdChange{Endpoint: e.record.ID, Cold: true, For: length, Reason: reason, Rate: limit.Rate})
}

// suspectRestart makes an endpoint that refuses connections count as cold: it has started again when it accepts them.
// Refusals that follow don't prolong the time in which its records are doubted: a record after that time is from a process
// that has outlived the first refusal.
func (s *Selector) suspectRestart(now time.Duration, e *endpoint) {
	if !e.mayHaveRestarted {
		e.mayHaveRestarted, e.restartAt = true, now
	}
	s.cool(now, e, s.coldLimits[e.record.Service].Start+restartMargin, ColdByRefusal)
}

// coolDomain makes the endpoints of a failure domain whose evacuation has ended count as cold.
func (s *Selector) coolDomain(now time.Duration, failureDomain string) {
	for _, e := range s.order {
		if e.record.FailureDomain == failureDomain {
			s.cool(now, e, s.coldLimits[e.record.Service].Start, ColdByEvacuation)
		}
	}
}

// coldWait returns the time until a cold endpoint may get a request from this VM, and whether it may now.
func (e *endpoint) coldWait(now time.Duration) (after time.Duration, ok bool) {
	if e.warmup == nil {
		return 0, true
	}
	return e.warmup.Wait(now)
}

// takeCold charges an attempt to what its endpoint tolerates, and reports whether it may be sent.
func takeCold(now time.Duration, a *attempt) bool {
	w := a.endpoint.warmup
	switch {
	case w == nil || a.warmup == w:
		return true
	case !w.Take(now):
		return false
	}
	a.warmup = w
	return true
}
