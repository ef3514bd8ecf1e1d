package sycplace

import "time"

// CanSelect reports whether Select would find an endpoint for a request. It begins no attempt.
func (s *Selector) CanSelect(now time.Duration, r *Request) bool {
	candidates, refusal := s.candidates(now, r)
	if refusal != nil {
		return false
	}
	_, estimate := s.cheapest(now, r, candidates)
	return !estimate.full
}
