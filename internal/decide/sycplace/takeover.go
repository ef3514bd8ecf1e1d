package sycplace

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sychealth"
)

// TakesOver reports whether an endpoint could go on now with requests of others that serve the same, as far as this VM
// knows, but for a cordon: it runs, isn't evacuated or cold, hasn't asked for a pause, and requests may begin on its weights.
func (s *Selector) TakesOver(now time.Duration, id string) bool {
	e := s.endpoints[id]
	return e != nil && s.takesOver(now, e)
}

// takesOver is TakesOver for an endpoint.
func (s *Selector) takesOver(now time.Duration, e *endpoint) bool {
	runs := !e.record.Leaving && !e.misplaced && e.health.State() != sychealth.Out && !s.hasSuccessor(e)
	return runs && !s.isEvacuated(e) && !e.isCold(now) && s.pause(now, e) == 0 && !s.expired(now, e)
}

// CanMove reports whether another endpoint without a cordon could go on now with an endpoint's requests.
func (s *Selector) CanMove(now time.Duration, id string) bool {
	e := s.endpoints[id]
	return e != nil && s.canMove(now, e)
}

// canMove is CanMove for an endpoint.
func (s *Selector) canMove(now time.Duration, e *endpoint) bool {
	for _, other := range s.order {
		if other != e && other.servesLike(e) && now >= s.cordons[other.record.ID] && s.takesOver(now, other) {
			return true
		}
	}
	return false
}

// HoldRequests decides which engines must not break off this VM's requests, until the next call: those whose requests no other
// endpoint could go on with, and those beyond the retries that orders may use up. Spare returns the number of these for a service.
// Only engines with a cordon are interrupted, so that they share the retries.
func (s *Selector) HoldRequests(now time.Duration, spare func(service string) float64) {
	left := map[string]float64{}
	for _, e := range s.order {
		e.held = len(e.attempts) > 0 && len(e.record.Weights) > 0 && !s.canMove(now, e)
		if e.held || len(e.attempts) == 0 || now >= s.cordons[e.record.ID] {
			continue
		}
		service, needed := e.record.Service, float64(e.ownLoad.Requests)
		if _, known := left[service]; !known {
			left[service] = spare(service)
		}
		if needed > left[service] {
			e.held = true
			continue
		}
		left[service] -= needed
	}
}

// servesLike reports whether the endpoint serves what another one does: the same service and the same models.
func (e *endpoint) servesLike(other *endpoint) bool {
	if e.record.Service != other.record.Service || len(e.record.Weights) != len(other.record.Weights) {
		return false
	}
	for model := range other.record.Weights {
		if _, loaded := e.record.Weights[model]; !loaded {
			return false
		}
	}
	return true
}
