// Package sycquota limits what each customer may use over all VMs together, in
// the unit of cost that the caller chooses.
//
// Each VM keeps one token bucket per customer with the limit of the whole fleet.
// A bucket is charged at once for what this VM admits, and for what other VMs
// admitted when their reports arrive. A member, which is another VM of the fleet,
// that sends no reports may be serving behind a partition. Every bucket is
// therefore charged an even part of its rate for each silent member. The VMs
// behind the partition do the same, so the parts that VMs on all sides of a
// partition may spend never add up to more than the rate. Usage can exceed the
// rate only by what is admitted before other VMs receive the reports, and before
// a member counts as silent.
package sycquota

import (
	"math"
	"time"
)

// SilentAfter is the time without a report after which a member counts as
// silent, so that its part of each rate is charged. It is more than two periods of
// the reports.
const SilentAfter = 700 * time.Millisecond

// Limit is a customer's rate and burst over all VMs.
type Limit struct {
	Customer string
	// Rate is the cost that accrues per second. The customer is unlimited at 0 or
	// below.
	Rate float64
	// Burst is the most cost that may be saved up.
	Burst float64
}

// Headroom is the usage beyond the limits that is tolerated in any window of a
// given length.
type Headroom struct {
	// Window is the length of the windows. At 0 there is no headroom.
	Window time.Duration
	// Slack is the cost that each customer is allowed in each window beyond its rate
	// and burst.
	Slack float64
}

const (
	// slackForCustomers is the part of the slack that is added to customers'
	// rates. The rest covers what VMs admit before they receive each other's
	// reports.
	slackForCustomers = 0.6
	// reportDelay is the assumed time until the other VMs have received the report
	// of an admission. What the rate accrues in this time is kept back from the
	// slack for customers.
	reportDelay = 300 * time.Millisecond
)

// widen returns the limit with its rate raised by the part of the slack that
// customers may use.
func (h Headroom) widen(l Limit) Limit {
	spare := slackForCustomers*h.Slack - l.Rate*reportDelay.Seconds()
	if h.Window <= 0 || spare <= 0 || l.Rate <= 0 {
		return l
	}
	l.Rate += spare / h.Window.Seconds()
	return l
}

// Usage is a VM's report on one customer.
type Usage struct {
	Customer string
	// Spent is the total cost that the VM has admitted since it started.
	Spent float64
	// Level is the cost that the VM's bucket could still admit.
	Level float64
}

// bucket is the token bucket of one customer.
type bucket struct {
	limit Limit
	// level is the cost that may still be admitted, at most limit.Burst. It falls
	// below 0 when reports show that other VMs spent more than was left here.
	level float64
	// accruedAt is the time up to which level has accrued.
	accruedAt time.Duration
	// spent is the total cost that this VM has admitted.
	spent float64
	// active is when the customer was last charged. Nothing reads it.
	active time.Duration
}

// member is another VM of the fleet.
type member struct {
	// incarnation identifies the member's process. It is empty until the first
	// report.
	incarnation string
	// lastReport is when the last report arrived, or when the member was added.
	lastReport time.Duration
	// spent is the total cost in the member's last report, by customer.
	spent map[string]float64
	// charged is the cost, by customer, that was charged here for this member's
	// silence since its last report. The next report refunds it.
	charged map[string]float64
}

// Limiter holds one VM's buckets for all customers.
type Limiter struct {
	// buckets holds the buckets by customer.
	buckets map[string]*bucket
	// members holds the other VMs of the fleet by name.
	members  map[string]*member
	headroom Headroom
	// synced is true when new buckets may start full: at the first start of a
	// deployment, or once another VM has reported its levels.
	synced bool
}

// New returns a limiter without customers. At the first start of a deployment
// buckets start full. Otherwise they start empty until another VM reports its
// levels.
func New(firstStart bool, h Headroom) *Limiter {
	return &Limiter{
		buckets:  map[string]*bucket{},
		members:  map[string]*member{},
		synced:   firstStart,
		headroom: h,
	}
}

// Configure replaces the customers' limits and drops customers without one.
func (r *Limiter) Configure(now time.Duration, limits []Limit) {
	configured := map[string]bool{}
	for _, l := range limits {
		configured[l.Customer] = true
		l = r.headroom.widen(l)
		b := r.buckets[l.Customer]
		if b == nil {
			b = &bucket{accruedAt: now}
			if r.synced {
				b.level = l.Burst
			}
			r.buckets[l.Customer] = b
		}
		r.advance(now, b)
		b.limit = l
		b.level = min(b.level, l.Burst)
	}
	for name := range r.buckets {
		if !configured[name] {
			delete(r.buckets, name)
		}
	}
}

// SetMembers sets the names of the other VMs of the fleet.
func (r *Limiter) SetMembers(now time.Duration, names []string) {
	current := map[string]bool{}
	for _, name := range names {
		current[name] = true
		if r.members[name] == nil {
			r.members[name] = &member{lastReport: now, spent: map[string]float64{}, charged: map[string]float64{}}
		}
	}
	for name := range r.members {
		if !current[name] {
			delete(r.members, name)
		}
	}
}

// Admit charges a request to its customer if enough is left. If not, it returns
// the time after which enough may have accrued, at most a minute.
func (r *Limiter) Admit(now time.Duration, customer string, cost float64) (after time.Duration, ok bool) {
	b := r.buckets[customer]
	if b == nil || b.limit.Rate <= 0 {
		return 0, true
	}
	r.advance(now, b)
	need := min(cost, b.limit.Burst)
	if b.level < need {
		seconds := (need - b.level) / b.limit.Rate
		return time.Duration(math.Min(seconds, 60) * float64(time.Second)), false
	}
	b.level -= cost
	b.spent += cost
	b.active = now
	return 0, true
}

// State returns a customer's limit, the level of its bucket on this VM and the
// number of VMs in the fleet, for logs.
func (r *Limiter) State(customer string) (limit Limit, level float64, vms int) {
	vms = 1 + len(r.members)
	if b := r.buckets[customer]; b != nil {
		limit, level = b.limit, b.level
	}
	return limit, level, vms
}

// CountExhausted returns the number of limited customers whose bucket on this VM
// is empty.
func (r *Limiter) CountExhausted(now time.Duration) int {
	n := 0
	for _, b := range r.buckets {
		r.advance(now, b)
		if b.limit.Rate > 0 && b.level <= 0 {
			n++
		}
	}
	return n
}

// Refund cancels the charge of a request that has not run.
func (r *Limiter) Refund(customer string, cost float64) {
	b := r.buckets[customer]
	if b == nil || b.limit.Rate <= 0 {
		return
	}
	b.level = min(b.level+cost, b.limit.Burst)
	b.spent -= cost
}

// Receive applies the report of another VM. The report of a VM that is no member
// is ignored.
func (r *Limiter) Receive(now time.Duration, name, incarnation string, usage []Usage) {
	m := r.members[name]
	if m == nil {
		return
	}
	first := m.incarnation == ""
	if m.incarnation != incarnation {
		m.incarnation = incarnation
		m.spent = map[string]float64{}
	}
	for _, b := range r.buckets {
		r.advance(now, b)
	}
	m.lastReport = now
	for _, u := range usage {
		b := r.buckets[u.Customer]
		if b == nil {
			continue
		}
		delta := u.Spent - m.spent[u.Customer]
		m.spent[u.Customer] = u.Spent
		if first {
			// The member's level already includes what it spent before its first
			// report to this VM.
			delta = 0
		}
		b.level = min(b.level-delta, b.limit.Burst)
		if delta > 0 {
			b.active = now
		}
		if !r.synced {
			b.level = min(max(u.Level, b.level), b.limit.Burst)
		}
	}
	for customer, charged := range m.charged {
		if b := r.buckets[customer]; b != nil {
			b.level = min(b.level+charged, b.limit.Burst)
		}
	}
	clear(m.charged)
	r.synced = r.synced || len(usage) > 0
}

// Report returns the usage of all limited customers, to send to the other VMs.
func (r *Limiter) Report(now time.Duration) []Usage {
	out := make([]Usage, 0, len(r.buckets))
	for name, b := range r.buckets {
		if b.limit.Rate <= 0 {
			continue
		}
		r.advance(now, b)
		out = append(out, Usage{Customer: name, Spent: b.spent, Level: b.level})
	}
	return out
}

// advance accrues a bucket up to now and charges it the parts of silent members.
// The bucket holds at most the reachable VMs' fraction of the burst.
func (r *Limiter) advance(now time.Duration, b *bucket) {
	elapsed := (now - b.accruedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	part := b.limit.Rate / float64(len(r.members)+1)
	b.level += b.limit.Rate * elapsed
	for _, m := range r.members {
		silent := min(now-m.lastReport-SilentAfter, now-b.accruedAt).Seconds()
		if silent > 0 {
			b.level -= part * silent
			m.charged[b.limit.Customer] += part * silent
		}
	}
	b.level = min(b.level, b.limit.Burst*r.reachable(now))
	b.accruedAt = now
}

// reachable returns the fraction of the fleet's VMs that aren't silent, this VM
// included.
func (r *Limiter) reachable(now time.Duration) float64 {
	n := 1
	for _, m := range r.members {
		if now-m.lastReport <= SilentAfter {
			n++
		}
	}
	return float64(n) / float64(len(r.members)+1)
}
