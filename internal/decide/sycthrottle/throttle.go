// Package sycthrottle keeps the limit that an endpoint names for itself, a number of requests a second from all
// VMs of a fleet together.
//
// An endpoint in need names its limit in its answers for as long as the limit holds. VMs tell each other what
// endpoints have said, and how many requests they have sent to those with a limit.
//
// Few VMs send to such an endpoint: the highest ranked of its failure domain and of two others. Each of these
// senders keeps a token bucket with the whole limit, which is charged by what the others report and with even
// parts for those that are silent; see sycquota. A bucket holds one request at most and begins empty. So all
// senders together can exceed the limit only by a request each, and by what accrues until reports have arrived.
//
// The package has no clock and does no I/O: the caller passes the time, as a duration since a fixed start.
package sycthrottle

import (
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycquota"
)

const (
	// bucketName names the only bucket of a throttle's limiter.
	bucketName = "endpoint"
	// settleTime is how long after this VM came to know of a limit the first report of another VM only tells
	// what the VM had sent before.
	settleTime = time.Second
	// maxDebtTime and minDebt limit the charge by one report, to what accrues in this time and this many
	// requests, so that a mistaken one keeps requests off the endpoint for a short time only.
	maxDebtTime = 4 * time.Second
	minDebt     = 4
)

// Change is what news of an endpoint's limit have changed.
type Change string

// Changes of limits.
const (
	Unchanged Change = ""
	Named     Change = "named"
	Changed   Change = "changed"
	Lifted    Change = "lifted"
)

// Report is what a VM tells the others of an endpoint's limit.
type Report struct {
	// Rate is the limit that the VM knows of, in requests a second, 0 if it has been lifted.
	Rate float64
	// Number orders the limits of one endpoint: a later one has a higher number.
	Number int64
	// Sent counts the requests that the VM has sent to the endpoint under its limits.
	Sent int64
}

// reporter is a VM that has reported.
type reporter struct {
	// incarnation identifies the VM's process, which has sent this many requests.
	incarnation string
	sent        int64
	// charged counts those of them that were charged here.
	charged int64
}

// Throttle keeps the limit of one incarnation of an endpoint.
type Throttle struct {
	// self is this VM's address. Endpoint and failureDomain are the endpoint's.
	self, endpoint, failureDomain string
	// rate is the limit, 0 if there is none now, and number its number.
	rate   float64
	number int64
	// namedAt is when this VM last got news that the limit holds.
	namedAt time.Duration
	// knownAt is when this VM came to know of the endpoint's first limit.
	knownAt time.Duration
	// sent counts the requests that this VM has sent.
	sent int64
	// told is set once this VM has told the others of the limit, and changed if there is news to tell.
	told, changed bool
	// vms holds the VMs of the fleet.
	vms []VM
	// sends is set if this VM is a sender, and sharers holds the VMs that have a part of the limit.
	sends   bool
	sharers []string
	// reporters holds the VMs that have reported, by address.
	reporters map[string]*reporter
	// limiter holds the bucket, nil while there is no limit.
	limiter *sycquota.Limiter
}

// New returns a throttle without a limit, for an endpoint with an ID. Self is this VM's address.
func New(now time.Duration, self, endpoint string, vms []VM) *Throttle {
	return &Throttle{self: self, endpoint: endpoint, knownAt: now, vms: vms, reporters: map[string]*reporter{}}
}

// Rate returns the limit in requests a second, 0 if there is none now.
func (t *Throttle) Rate() float64 { return t.rate }

// Observe applies the limit that an answer of the endpoint names, 0 if it names none, and returns what that
// changes. A lower limit applies at once. A higher one or none applies only if the request was sent after the
// latest news that the present limit holds: answers may overtake each other.
func (t *Throttle) Observe(now, sentAt time.Duration, rate float64) Change {
	looser := rate == 0 || rate > t.rate
	switch {
	case rate == t.rate:
		// Without a limit nothing reads the time.
		t.namedAt = now
		return Unchanged
	case t.rate > 0 && looser && sentAt <= t.namedAt:
		return Unchanged
	}
	t.changed = true
	return t.set(now, rate, t.number+1)
}

// Receive applies the report of a process of another VM and returns what it changes. Of different limits with
// the same number the lowest applies.
func (t *Throttle) Receive(now time.Duration, address, incarnation string, r Report) Change {
	change := Unchanged
	isLower := t.rate == 0 && r.Rate > 0 || r.Rate > 0 && r.Rate < t.rate
	if r.Number > t.number || r.Number == t.number && isLower {
		change = t.set(now, r.Rate, r.Number)
		// What this VM has told before must not outlast the limit.
		t.changed = t.changed || t.told
	}
	known := t.reporters[address]
	isNew := known == nil
	if isNew {
		known = &reporter{incarnation: incarnation}
		t.reporters[address] = known
		if t.limiter != nil {
			t.applySharers(now)
		}
	}
	delta := known.count(incarnation, r.Sent)
	if t.limiter == nil || isNew && now-t.knownAt < settleTime {
		return change
	}
	before := known.charged
	known.charged += min(delta, int64(maxDebtTime.Seconds()*t.rate)+minDebt)
	// The first usage of a process is where its charges begin.
	for _, spent := range []int64{before, known.charged} {
		t.limiter.Receive(now, address, incarnation, []sycquota.Usage{{Customer: bucketName, Spent: float64(spent)}})
	}
	return change
}

// count records what a process has sent in all, and returns how many requests are new.
func (r *reporter) count(incarnation string, sent int64) int64 {
	if r.incarnation != incarnation {
		*r = reporter{incarnation: incarnation}
	}
	delta := sent - r.sent
	r.sent = sent
	return delta
}

// set puts a limit in force.
func (t *Throttle) set(now time.Duration, rate float64, number int64) Change {
	before := t.rate
	t.rate, t.number, t.namedAt = rate, number, now
	switch {
	case rate == 0:
		t.limiter = nil
		if before == 0 {
			return Unchanged
		}
		return Lifted
	case before == 0:
		t.limiter = sycquota.New(false, sycquota.Headroom{})
	}
	t.limiter.Configure(now, []sycquota.Limit{{Customer: bucketName, Rate: rate, Burst: 1, Least: 1}})
	if before > 0 {
		return Changed
	}
	t.applySenders(now)
	return Named
}

// SetVMs replaces the VMs of the fleet, without those that are leaving.
func (t *Throttle) SetVMs(now time.Duration, vms []VM) {
	t.vms = vms
	if t.limiter != nil {
		t.applySenders(now)
	}
}

// SetFailureDomain sets the endpoint's failure domain, which isn't known before its record is.
func (t *Throttle) SetFailureDomain(now time.Duration, failureDomain string) {
	if t.failureDomain == failureDomain {
		return
	}
	t.failureDomain = failureDomain
	if t.limiter != nil {
		t.applySenders(now)
	}
}

// applySenders decides which VMs send, and which ones have a part of the limit.
func (t *Throttle) applySenders(now time.Duration) {
	var senders []string
	senders, t.sharers = selectSenders(t.endpoint, t.failureDomain, t.vms)
	t.sends = slices.Contains(senders, t.self)
	t.applySharers(now)
}

// applySharers makes the bucket count the VMs that have a part of the limit, and those that have reported.
func (t *Throttle) applySharers(now time.Duration) {
	var members, others []string
	isMember := map[string]bool{t.self: true}
	for _, address := range t.sharers {
		if !isMember[address] {
			members = append(members, address)
		}
		isMember[address] = true
	}
	for address := range t.reporters {
		if !isMember[address] {
			others = append(others, address)
		}
	}
	t.limiter.SetMembers(now, members, others...)
}

// Heard records that the reports of a VM's process up to a time have been received.
func (t *Throttle) Heard(now, at time.Duration, address, incarnation string) {
	if t.limiter != nil {
		t.limiter.Heard(now, at, address, incarnation)
	}
}

// Wait returns the time until a request may be sent to the endpoint, and whether this VM may send one now. It is
// about the bucket alone if this VM is no sender.
func (t *Throttle) Wait(now time.Duration) (after time.Duration, ok bool) {
	if t.limiter == nil {
		return 0, true
	}
	after, ok = t.limiter.Admit(now, bucketName, 1)
	if ok {
		t.limiter.Refund(bucketName, 1)
	}
	return after, ok && t.sends
}

// Take charges the bucket for a request that is to be sent, and reports whether it may be.
func (t *Throttle) Take(now time.Duration) bool {
	if t.limiter == nil {
		return true
	}
	if !t.sends {
		return false
	}
	if _, ok := t.limiter.Admit(now, bucketName, 1); !ok {
		return false
	}
	t.sent++
	t.changed = true
	return true
}

// Return cancels the charge of a request that wasn't sent.
func (t *Throttle) Return() {
	if t.limiter == nil {
		return
	}
	t.limiter.Refund(bucketName, 1)
	t.sent--
	t.changed = true
}

// Level returns how many requests are left in the bucket as of the last use, 0 without a limit.
func (t *Throttle) Level() float64 {
	if t.limiter == nil {
		return 0
	}
	_, level, _ := t.limiter.State(bucketName)
	return level
}

// TakeReport returns this VM's report, and whether it has changed since the last call.
func (t *Throttle) TakeReport() (Report, bool) {
	changed := t.changed
	t.told, t.changed = t.told || changed, false
	return Report{Rate: t.rate, Number: t.number, Sent: t.sent}, changed
}
