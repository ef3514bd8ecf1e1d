package sycplace

import (
	"maps"
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycthrottle"
)

const (
	// maxReturn limits the time after which a caller is asked back to endpoints with limits.
	maxReturn = 5 * time.Second
	// minReturn is the same least time, for example if another VM may send a request at once.
	minReturn = 100 * time.Millisecond
)

// LimitReport is what a VM tells the others of the limit of an endpoint's incarnation.
type LimitReport struct {
	Endpoint    string
	Incarnation int64
	sycthrottle.Report
}

// throttle returns what keeps the limit of an endpoint's incarnation. It is nil if the endpoint has never named
// one.
func (s *Selector) throttle(e *endpoint) *sycthrottle.Throttle {
	if known := s.notices.of(e.record.ID, e.record.Incarnation); known != nil {
		return known.throttle
	}
	return nil
}

// keepThrottle returns what keeps the limit of an endpoint's incarnation, from now on.
func (s *Selector) keepThrottle(now time.Duration, id string, incarnation int64) *sycthrottle.Throttle {
	known := s.notices.keep(id, incarnation)
	if known.throttle == nil {
		known.throttle = sycthrottle.New(now, s.settings.Address, id, s.vms)
		if e := s.endpoints[id]; e != nil {
			known.throttle.SetFailureDomain(now, e.record.FailureDomain)
		}
		s.notices.throttled[id] = known
	}
	return known.throttle
}

// observeLimit applies what an answer says of its endpoint's limit, and returns what of it is news.
func (s *Selector) observeLimit(now time.Duration, id string, incarnation int64, n Notice) Notice {
	known := s.notices.of(id, incarnation)
	var throttle *sycthrottle.Throttle
	if known != nil {
		throttle = known.throttle
	}
	var news Notice
	switch {
	case n.UnreadLimit != "":
		if known = s.notices.keep(id, incarnation); !known.unread {
			known.unread, news.UnreadLimit = true, n.UnreadLimit
		}
		return news
	case n.Limit > 0:
		throttle = s.keepThrottle(now, id, incarnation)
	case !n.Unlimited || throttle == nil:
		return news
	}
	switch throttle.Observe(now, now-n.Waited, n.Limit) {
	case sycthrottle.Named, sycthrottle.Changed:
		news.Limit = n.Limit
		s.generation.Add(1)
	case sycthrottle.Lifted:
		news.Unlimited = true
	}
	return news
}

// ReceiveLimit applies another VM's report of an endpoint's limit and returns what it changes. A report on an
// incarnation before the one in the registry is ignored.
func (s *Selector) ReceiveLimit(now time.Duration, address, incarnation string, r LimitReport) sycthrottle.Change {
	if e := s.endpoints[r.Endpoint]; e != nil && r.Incarnation < e.record.Incarnation {
		return sycthrottle.Unchanged
	}
	if known := s.notices.byID[r.Endpoint]; known != nil && r.Incarnation < known.incarnation {
		return sycthrottle.Unchanged
	}
	change := s.keepThrottle(now, r.Endpoint, r.Incarnation).Receive(now, address, incarnation, r.Report)
	if change == sycthrottle.Named || change == sycthrottle.Changed {
		s.generation.Add(1)
	}
	return change
}

// TakeLimitReports returns this VM's reports on endpoints' limits that have changed since the last call, ordered
// by endpoint.
func (s *Selector) TakeLimitReports() []LimitReport {
	var out []LimitReport
	for _, id := range slices.Sorted(maps.Keys(s.notices.throttled)) {
		known := s.notices.throttled[id]
		if report, changed := known.throttle.TakeReport(); changed {
			out = append(out, LimitReport{Endpoint: id, Incarnation: known.incarnation, Report: report})
		}
	}
	return out
}

// SetVMs replaces the VMs that may share endpoints' limits.
func (s *Selector) SetVMs(now time.Duration, vms []sycthrottle.VM) {
	s.vms = vms
	for _, known := range s.notices.throttled {
		known.throttle.SetVMs(now, vms)
	}
	for _, e := range s.order {
		if e.warmup != nil {
			e.warmup.SetVMs(now, vms)
		}
	}
}

// HeardVM records that what a VM's process has reported up to a time has been received.
func (s *Selector) HeardVM(now, at time.Duration, address, incarnation string) {
	for _, known := range s.notices.throttled {
		known.throttle.Heard(now, at, address, incarnation)
	}
}

// CountLimited returns how many endpoints have a limit.
func (s *Selector) CountLimited() int {
	n := 0
	for id, known := range s.notices.throttled {
		if e := s.endpoints[id]; e != nil && e.record.Incarnation == known.incarnation && known.throttle.Rate() > 0 {
			n++
		}
	}
	return n
}

// limitWait returns the time until an endpoint's limit allows a request, and whether it allows one of this VM now. The
// limit is what the endpoint has named and what it tolerates while it is cold.
func (s *Selector) limitWait(now time.Duration, e *endpoint) (after time.Duration, ok bool) {
	after, ok = e.coldWait(now)
	throttle := s.throttle(e)
	if throttle == nil {
		return after, ok
	}
	throttle.SetFailureDomain(now, e.record.FailureDomain)
	named, allowed := throttle.Wait(now)
	return max(after, named), ok && allowed
}

// takeLimit charges an attempt to its endpoint's limit, and reports whether the limit allows it.
func (s *Selector) takeLimit(now time.Duration, a *attempt) bool {
	charged := a.warmup
	if !takeCold(now, a) {
		return false
	}
	throttle := s.throttle(a.endpoint)
	switch {
	case throttle == nil || a.throttle == throttle || throttle.Rate() == 0:
		return true
	case !throttle.Take(now):
		if a.warmup != charged {
			a.warmup.Return()
			a.warmup = charged
		}
		return false
	}
	a.throttle = throttle
	return true
}

// Withdraw cancels what an attempt was charged to its endpoint's limit, since it won't be sent.
func (s *Selector) Withdraw(id uint64) {
	a := s.attempts[id]
	if a == nil {
		return
	}
	if a.throttle != nil {
		a.throttle.Return()
		a.throttle = nil
	}
	if a.warmup != nil {
		a.warmup.Return()
		a.warmup = nil
	}
}

// limitedRefusal returns the refusal of a request for which only endpoints are left whose limits are used up.
// Callers are asked back one after the other, so that as many come as all VMs together may send.
func (s *Selector) limitedRefusal(now time.Duration, r *Request, after time.Duration) *Refusal {
	rate := 0.0
	for _, e := range s.order {
		if !e.serves(r) || e.record.Leaving || s.isEvacuated(e) {
			continue
		}
		if throttle := s.throttle(e); throttle != nil {
			rate += throttle.Rate()
		}
		if e.warmup != nil {
			rate += e.warmup.Rate(now)
		}
	}
	at := max(now+max(after, minReturn), s.returns[r.Service])
	if rate > 0 {
		step := float64(max(len(s.vms), 1)) / rate
		s.returns[r.Service] = min(at+time.Duration(step*float64(time.Second)), now+maxReturn)
	}
	return &Refusal{Reason: Limited, After: at - now}
}
