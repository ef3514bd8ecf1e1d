package sycplace

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycthrottle"
)

const (
	// maxNotices limits the endpoints whose notices are kept. The oldest are dropped.
	maxNotices = 4096
	// maxPause limits the pause that an endpoint may ask for, so that a wrong value doesn't
	// take it away for good. After a pause that was limited the endpoint gets one request at a
	// time until it has served one.
	maxPause = 5 * time.Minute
)

// Notice is what an endpoint's answer says about the endpoint itself.
type Notice struct {
	// Leaving is set if the endpoint drains.
	Leaving bool
	// Pause is how long the endpoint wants no requests from this VM, 0 if it takes them.
	Pause time.Duration
	// Limit is the limit that the endpoint names, in requests a second from all VMs together, 0
	// if it names none.
	Limit float64
	// Unlimited is set if the answer names no limit, and would if the endpoint had one.
	Unlimited bool
	// UnreadLimit is the limit's text if it can't be read. Such a limit changes nothing.
	UnreadLimit string
	// Waited is the time from when the request was sent, or earlier, until its answer came.
	Waited time.Duration
}

// IsNews reports whether the notice may say something new of an endpoint that had no limit.
func (n Notice) IsNews() bool { return n.Leaving || n.Pause > 0 || n.Limit > 0 || n.UnreadLimit != "" }

// noticed is what the answers of one incarnation of an endpoint have said about it.
type noticed struct {
	incarnation int64
	// leaving never returns to false: an endpoint that drains ends.
	leaving bool
	// pausedUntil is the end of the pause that the endpoint asked for.
	pausedUntil time.Duration
	// single is set if the pause was limited to maxPause: until the endpoint has served a
	// request it gets one at a time.
	single bool
	// throttle keeps the limit that the endpoint names, nil if it has never named one.
	throttle *sycthrottle.Throttle
	// unread is set once the endpoint has named a limit that can't be read.
	unread bool
}

// notices holds what endpoints have said about themselves. It outlasts an endpoint's record,
// which may be dropped and written again while the endpoint drains.
type notices struct {
	// byID holds the newest incarnation's notices of each endpoint, by ID.
	byID map[string]*noticed
	// order lists the keys of byID, the oldest first.
	order []string
	// throttled holds those of byID that have a throttle.
	throttled map[string]*noticed
}

// of returns the notices of an incarnation of an endpoint, nil if there are none.
func (n *notices) of(id string, incarnation int64) *noticed {
	if known := n.byID[id]; known != nil && known.incarnation == incarnation {
		return known
	}
	return nil
}

// keep returns the notices of an incarnation of an endpoint, and forgets those of others.
func (n *notices) keep(id string, incarnation int64) *noticed {
	if known := n.of(id, incarnation); known != nil {
		return known
	}
	if _, present := n.byID[id]; !present {
		n.order = append(n.order, id)
	}
	if len(n.order) > maxNotices {
		delete(n.byID, n.order[0])
		delete(n.throttled, n.order[0])
		n.order = n.order[1:]
	}
	known := &noticed{incarnation: incarnation}
	n.byID[id] = known
	delete(n.throttled, id)
	return known
}

// ApplyNotice applies a notice in an answer of an endpoint's incarnation, and returns what of it
// was news. A notice of another incarnation than the one in the registry is ignored.
//
// An endpoint that has said that it leaves gets no new requests, whatever the registry says of
// the same incarnation later. One that asked for a pause gets none until its end. One that names a
// limit gets no more from all VMs together. None of this counts for the endpoint's health.
func (s *Selector) ApplyNotice(now time.Duration, id string, incarnation int64, n Notice) Notice {
	e := s.endpoints[id]
	if e != nil && e.record.Incarnation != incarnation {
		return Notice{}
	}
	news := s.observeLimit(now, id, incarnation, n)
	if !n.Leaving && n.Pause == 0 {
		return news
	}
	known := s.notices.keep(id, incarnation)
	news.Leaving = n.Leaving && !known.leaving && (e == nil || !e.record.Leaving)
	known.leaving = known.leaving || n.Leaving
	if pause := min(n.Pause, maxPause); pause > 0 && now+pause > known.pausedUntil {
		news.Pause = pause
		known.pausedUntil = now + pause
		known.single = known.single || n.Pause > maxPause
	}
	if news.Leaving || news.Pause > 0 {
		s.generation.Add(1)
	}
	if e != nil {
		e.record.Leaving = e.record.Leaving || known.leaving
	}
	return news
}

// withNotices returns a registry record with what the endpoint has said about itself.
func (s *Selector) withNotices(record Endpoint) Endpoint {
	if known := s.notices.of(record.ID, record.Incarnation); known != nil {
		record.Leaving = record.Leaving || known.leaving
	}
	return record
}

// admits reports whether an endpoint may get a new request: it is usable, isn't evacuated, no
// later one has its address, it hasn't asked for a pause, and its limit allows one.
func (s *Selector) admits(now time.Duration, e *endpoint) bool {
	if s.isEvacuated(e) || s.hasSuccessor(e) || s.pause(now, e) > 0 {
		return false
	}
	_, ok := s.limitWait(now, e)
	return ok && e.usable(now)
}

// pause returns what is left of the pause that an endpoint has asked for.
func (s *Selector) pause(now time.Duration, e *endpoint) time.Duration {
	known := s.notices.of(e.record.ID, e.record.Incarnation)
	switch {
	case known == nil:
		return 0
	case known.pausedUntil > now:
		return known.pausedUntil - now
	case known.single && len(e.attempts) > 0:
		return noEndpointRetry
	default:
		return 0
	}
}

// endSingle lets an endpoint that has served a request get several at a time again.
func (s *Selector) endSingle(e *endpoint) {
	if known := s.notices.of(e.record.ID, e.record.Incarnation); known != nil {
		known.single = false
	}
}

// PauseLeft returns the time until the first endpoint that serves a request ends its pause and its
// limit allows a request, 0 if there is one without either. It includes the endpoints that the request
// excludes, since it is meant for the caller's next request.
func (s *Selector) PauseLeft(now time.Duration, r *Request) time.Duration {
	left, _ := s.firstLeft(now, r)
	return left
}

// firstLeft is PauseLeft. Limited is set if the first endpoint only has to be allowed by its limit.
func (s *Selector) firstLeft(now time.Duration, r *Request) (first time.Duration, limited bool) {
	found := false
	for _, e := range s.order {
		if e.record.Leaving || !e.serves(r) || s.isEvacuated(e) {
			continue
		}
		left := s.pause(now, e)
		after, allowed := s.limitWait(now, e)
		if left == 0 && allowed {
			return 0, false
		}
		isLimited := left == 0
		if !allowed {
			left = max(left, after, minReturn)
		}
		if !found || left < first {
			first, limited, found = left, isLimited, true
		}
	}
	return first, limited
}

// noCandidate returns the refusal of a request for which there is no candidate.
func (s *Selector) noCandidate(now time.Duration, r *Request) *Refusal {
	left, limited := s.firstLeft(now, r)
	switch {
	case s.onlyEvacuated(r):
		return &Refusal{Reason: Evacuated, After: evacuatedRetry}
	case limited:
		return s.limitedRefusal(now, r, left)
	case left > 0:
		return &Refusal{Reason: Paused, After: left}
	}
	return &Refusal{Reason: NoEndpoint, After: noEndpointRetry}
}

// serves reports whether the endpoint belongs to the request's service and has its model.
func (e *endpoint) serves(r *Request) bool {
	if e.record.Service != r.Service {
		return false
	}
	if r.Model == "" || len(e.record.Weights) == 0 {
		return true
	}
	_, loaded := e.record.Weights[r.Model]
	return loaded
}
