package sycthrottle

import (
	"slices"
	"time"
)

const (
	// maxWarmupSenders limits how many VMs send to an endpoint during its cold time, so that a part of the rate is worth a
	// request within a short cold time.
	maxWarmupSenders = 5
	// warmupStep is the time between two doublings of the rate and of the number of senders. The first is at the end of the
	// cold time.
	warmupStep = 250 * time.Millisecond
	// warmupSteps is how often they double before the rate no longer applies.
	warmupSteps = 5
)

// Warmup keeps the rate at which all VMs together may send requests to an endpoint while it is cold.
//
// Few VMs send, each with a fixed part of the rate and a token bucket that holds one request and begins empty. So all
// of them together exceed the rate by a request each at most, whatever they know of each other. After the cold time
// the rate and the number of senders double in steps, and then no longer apply.
type Warmup struct {
	// self is this VM's address. Endpoint and failureDomain are the endpoint's.
	self, endpoint, failureDomain string
	// rate is how many requests a second the endpoint tolerates, and slack how many more.
	rate, slack float64
	// until is the end of the cold time.
	until time.Duration
	// vms holds the VMs of the fleet.
	vms []VM
	// ranked lists the VMs' indexes in vms by their rank for the endpoint, and rank is this VM's place there, -1 if it has none.
	ranked []int
	rank   int
	// level is how many requests are left in this VM's bucket as of a time, at most 1.
	level float64
	asOf  time.Duration
}

// NewWarmup returns the warmup of an endpoint that is cold until a time. It tolerates a rate in requests a second and
// slack requests more. Self is this VM's address.
func NewWarmup(now, until time.Duration, self, endpoint, failureDomain string, rate, slack float64, vms []VM) *Warmup {
	w := &Warmup{self: self, endpoint: endpoint, failureDomain: failureDomain, rate: rate, slack: slack, until: until, asOf: now}
	w.SetVMs(now, vms)
	return w
}

// SetVMs replaces the VMs of the fleet, without those that are leaving.
func (w *Warmup) SetVMs(now time.Duration, vms []VM) {
	sent := w.sends(now)
	// Which VMs run changes often and doesn't concern the ranks. Ranking 300 VMs for each of 90 cold endpoints takes milliseconds.
	if !slices.EqualFunc(w.vms, vms, sameRank) || w.ranked == nil {
		w.ranked = rankNear(w.endpoint, w.failureDomain, vms)
		w.rank = slices.IndexFunc(w.ranked, func(i int) bool { return vms[i].Address == w.self })
	}
	w.vms = vms
	if !sent {
		w.level, w.asOf = 0, now
	}
}

// Until returns the end of the cold time.
func (w *Warmup) Until() time.Duration { return w.until }

// SetUntil changes the end of the cold time.
func (w *Warmup) SetUntil(now, until time.Duration) {
	if !w.sends(now) || w.Over(now) {
		w.level, w.asOf = 0, now
	}
	w.until = until
}

// SetRate changes the rate that the endpoint tolerates.
func (w *Warmup) SetRate(now time.Duration, rate float64) {
	w.refill(now)
	w.rate = rate
}

// base returns how many VMs send during the cold time. Each may have a request in its bucket, so that there are no
// more than the endpoint tolerates beyond the rate, but one at least.
func (w *Warmup) base() int { return min(max(int(w.slack), 1), maxWarmupSenders) }

// step returns how often the rate has doubled at a time.
func (w *Warmup) step(now time.Duration) int {
	if now < w.until {
		return 0
	}
	return int(min((now-w.until)/warmupStep, warmupSteps)) + 1
}

// Over reports whether the rate no longer applies at a time.
func (w *Warmup) Over(now time.Duration) bool { return w.step(now) > warmupSteps }

// senders returns how many VMs send at a time.
func (w *Warmup) senders(now time.Duration) int { return min(w.base()<<w.step(now), len(w.ranked)) }

// sends reports whether this VM is a sender. If all senders are silent, the highest ranked VM that runs takes their
// place.
func (w *Warmup) sends(now time.Duration) bool {
	count := w.senders(now)
	if w.rank >= 0 && w.rank < count {
		return true
	}
	first := slices.IndexFunc(w.ranked, func(i int) bool { return w.vms[i].Runs })
	return first >= count && first == w.rank
}

// part returns this VM's part of the rate, in requests a second.
func (w *Warmup) part(now time.Duration) float64 {
	total := w.rate * float64(int(1)<<w.step(now))
	return total / float64(max(w.senders(now), 1))
}

// refill adds to the bucket what has accrued.
func (w *Warmup) refill(now time.Duration) {
	if now > w.asOf {
		w.level = min(w.level+w.part(now)*(now-w.asOf).Seconds(), 1)
		w.asOf = now
	}
}

// Wait returns the time until this VM may send a request, and whether it may now. A VM that isn't a sender has an empty
// bucket, and may ask again after the cold time, when the number of senders has grown.
func (w *Warmup) Wait(now time.Duration) (after time.Duration, ok bool) {
	if w.Over(now) {
		return 0, true
	}
	if !w.sends(now) {
		w.level, w.asOf = 0, now
		return max(w.until-now, warmupStep), false
	}
	w.refill(now)
	if w.level >= 1 {
		return 0, true
	}
	return time.Duration((1 - w.level) / w.part(now) * float64(time.Second)), false
}

// Take charges the bucket for a request that is to be sent, and reports whether it may be.
func (w *Warmup) Take(now time.Duration) bool {
	if w.Over(now) {
		return true
	}
	if _, ok := w.Wait(now); !ok {
		return false
	}
	w.level--
	return true
}

// Return cancels the charge of a request that wasn't sent.
func (w *Warmup) Return() { w.level = min(w.level+1, 1) }

// Rate returns the rate in requests a second, 0 once it no longer applies.
func (w *Warmup) Rate(now time.Duration) float64 {
	if w.Over(now) {
		return 0
	}
	return w.rate
}
