package sycplace

import "time"

// evacuatedRetry is the time after which a caller may try again whose request only evacuated endpoints
// could serve. Operators end an evacuation, so it takes seconds at least.
const evacuatedRetry = 2 * time.Second

// SetEvacuated begins or ends the evacuation of a failure domain, and reports whether that is a change. The
// endpoints of an evacuated domain get no new requests, and no engine fetches cached blocks from them.
// Requests that run there go on. At the end its endpoints count as cold.
func (s *Selector) SetEvacuated(now time.Duration, failureDomain string, evacuated bool) bool {
	if s.evacuated[failureDomain] == evacuated {
		return false
	}
	if evacuated {
		s.evacuated[failureDomain] = true
	} else {
		delete(s.evacuated, failureDomain)
		s.coolDomain(now, failureDomain)
	}
	s.generation.Add(1)
	return true
}

// CountEvacuated returns how many failure domains are evacuated.
func (s *Selector) CountEvacuated() int { return len(s.evacuated) }

// isEvacuated reports whether the endpoint's failure domain is evacuated.
func (s *Selector) isEvacuated(e *endpoint) bool { return s.evacuated[e.record.FailureDomain] }

// onlyEvacuated reports whether endpoints could serve a request if their failure domains weren't evacuated, and
// no others remain.
func (s *Selector) onlyEvacuated(r *Request) bool {
	found := false
	for _, e := range s.order {
		if e.record.Leaving || !e.serves(r) {
			continue
		}
		if !s.isEvacuated(e) {
			return false
		}
		found = true
	}
	return found
}
