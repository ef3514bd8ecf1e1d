package sycplace

import "time"

const (
	// faultPause is the longest time for which an endpoint that refuses connections is avoided while others can take the
	// request. Each VM avoids it for between half of that and all of it, so that one tries again before the others.
	faultPause = time.Second
	// movedPause is the same for an endpoint at whose address another one answers. Only a new record shows where it is.
	movedPause = 5 * time.Second
	// faultReportPause is the least time between two reports of a VM on the same endpoint.
	faultReportPause = 300 * time.Millisecond
)

// Fault is what a VM tells the others of an incarnation of an endpoint that takes no requests.
type Fault struct {
	Endpoint    string
	Incarnation int64
	// Moved is set if another endpoint has answered at the address. Otherwise the connection was refused.
	Moved bool
}

// observeFault records that an attempt has found a fault, and keeps it for TakeFaults.
func (s *Selector) observeFault(now time.Duration, e *endpoint, moved bool) {
	s.avoidFaulty(now, e, moved)
	if now < e.reportedFault+faultReportPause && e.reportedFault > 0 {
		return
	}
	e.reportedFault = now
	s.faults = append(s.faults, Fault{Endpoint: e.record.ID, Incarnation: e.record.Incarnation, Moved: moved})
}

// TakeFaults returns the faults that this VM's attempts have found since the last call.
func (s *Selector) TakeFaults() []Fault {
	out := s.faults
	s.faults = nil
	return out
}

// ReceiveFault applies a fault that another VM has found, and reports whether it is about an endpoint that this VM
// knows. It is no proof, since the other VM's link may be at fault: this VM tries again after a pause, or at once if no
// other endpoint can take a request.
func (s *Selector) ReceiveFault(now time.Duration, f Fault) bool {
	e := s.endpoints[f.Endpoint]
	if e == nil || e.record.Incarnation != f.Incarnation {
		return false
	}
	s.avoidFaulty(now, e, f.Moved)
	e.reportedFault = now
	if !f.Moved {
		s.suspectRestart(now, e)
	}
	return true
}

// avoidFaulty keeps requests off an endpoint for a time, while others can take them.
func (s *Selector) avoidFaulty(now time.Duration, e *endpoint, moved bool) {
	pause := faultPause
	if moved {
		pause = movedPause
		s.setMisplaced(e, true)
	}
	jitter := time.Duration(float64(pause) / 2 * float64((s.hash^e.hash)%1024) / 1024)
	e.faultUntil = max(e.faultUntil, now+pause/2+jitter)
}
