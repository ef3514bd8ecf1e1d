package sycplace

// SuccessionChange says what has changed between two endpoints whose records have the same address.
type SuccessionChange string

// Changes between two such endpoints.
const (
	// LaterStarted means that the former one has ended.
	LaterStarted SuccessionChange = "later_started"
	// LaterElsewhere means that the former one goes on, since something at the address has answered that it isn't the later.
	LaterElsewhere SuccessionChange = "later_elsewhere"
	// LaterGone means that the former one goes on, since the later one's record is gone or has another address.
	LaterGone SuccessionChange = "later_gone"
)

// Succession is a change in what this VM believes of two endpoints whose records have or had the same address.
type Succession struct {
	Change SuccessionChange
	// Former started first, Later last.
	Former, Later Endpoint
}

// TakeSuccessions returns the successions since the last call.
func (s *Selector) TakeSuccessions() []Succession {
	out := s.successions
	s.successions = nil
	return out
}

// indexAddresses finds the endpoint that has started last at each address, without those that aren't there.
func (s *Selector) indexAddresses() {
	clear(s.latest)
	for _, e := range s.order {
		if known := s.latest[e.record.Address]; !e.misplaced && (known == nil || known.record.Incarnation < e.record.Incarnation) {
			s.latest[e.record.Address] = e
		}
	}
	for _, e := range s.order {
		s.noteSuccessor(e)
	}
}

// noteSuccessor records for TakeSuccessions whether an endpoint has a successor, if that has changed.
func (s *Selector) noteSuccessor(e *endpoint) {
	switch has := s.hasSuccessor(e); {
	case has && e.successor == nil:
		e.successor = s.latest[e.record.Address]
		s.successions = append(s.successions, Succession{LaterStarted, e.record, e.successor.record})
	case has:
		e.successor = s.latest[e.record.Address]
	case !has && e.successor != nil:
		change := LaterGone
		if e.successor.misplaced {
			change = LaterElsewhere
		}
		s.successions = append(s.successions, Succession{change, e.record, e.successor.record})
		e.successor = nil
	}
}

// hasSuccessor reports whether another endpoint has started later at an endpoint's address, so that this one has ended. Its
// record may have been written late.
func (s *Selector) hasSuccessor(e *endpoint) bool {
	if e.record.Address == "" {
		return false
	}
	latest := s.latest[e.record.Address]
	return latest != nil && latest.record.Incarnation > e.record.Incarnation
}

// setMisplaced records whether something else than an endpoint has answered at its address, or the endpoint itself. Until it
// answers there, or starts again, a misplaced one ends no other endpoint, whatever its record says.
func (s *Selector) setMisplaced(e *endpoint, misplaced bool) {
	if e.misplaced != misplaced {
		e.misplaced = misplaced
		s.indexAddresses()
	}
}
