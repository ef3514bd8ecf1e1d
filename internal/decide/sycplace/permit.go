package sycplace

import (
	"maps"
	"slices"
	"time"
)

// Generation returns a number that changes whenever an earlier selection may no longer hold. Unlike
// the other methods it may be called by any goroutine.
func (s *Selector) Generation() uint64 { return s.generation.Load() }

// withdraws reports whether a change of an endpoint's record may end a selection of it.
func withdraws(old, update Endpoint) bool {
	return old.Incarnation != update.Incarnation || old.Address != update.Address ||
		update.Leaving && !old.Leaving || !maps.Equal(old.Weights, update.Weights)
}

// Permits reports whether a request may still be sent to the target selected for it: it is the same
// incarnation with the same weights, which may still begin requests, doesn't leave, isn't evacuated, hasn't
// asked for a pause and its limit allows the request. A target that has got a cordon since is permitted only while no other endpoint can
// take the request.
func (s *Selector) Permits(now time.Duration, r *Request, t *Target) bool {
	e := s.endpoints[t.Endpoint.ID]
	if e == nil || e.record.Leaving || e.record.Incarnation != t.Endpoint.Incarnation || e.record.Address != t.Endpoint.Address || s.isEvacuated(e) {
		return false
	}
	if known := s.notices.of(e.record.ID, e.record.Incarnation); known != nil && known.pausedUntil > now {
		return false
	}
	if a := s.attempts[r.ID]; a != nil && a.endpoint == e && !s.takeLimit(now, a) {
		return false
	}
	if e.record.Weights[r.Model] != t.Weights || len(s.withoutExpired(now, r.Model, []*endpoint{e})) == 0 {
		return false
	}
	if now >= s.cordons[e.record.ID] {
		return true
	}
	others, refusal := s.candidates(now, r)
	return refusal != nil || slices.Contains(others, e)
}
