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
	"maps"
	"math"
	"slices"
	"time"
)

// SilentAfter is the age of the newest usage known of a member after which the member
// counts as silent, so that its part of each rate is charged.
const SilentAfter = 700 * time.Millisecond

// Limit is a customer's rate and burst over all VMs.
type Limit struct {
	Customer string
	// Rate is the cost that accrues per second. The customer is unlimited at 0 or
	// below.
	Rate float64
	// Burst is the most cost that may be saved up.
	Burst float64
	// Least is the cost that may be saved up however many members are silent. It lets requests
	// pass whose cost can't be divided among the VMs.
	Least float64
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
	// minReportDelay is the least time that is assumed until the other VMs have received
	// the report of an admission. What the rate accrues in this time is kept back from the
	// slack for customers.
	minReportDelay = 300 * time.Millisecond
	// spendingMemory is the time over which the spending of other VMs is averaged.
	spendingMemory = time.Second
	// droppedMemory is how long a customer that the configuration no longer names is remembered. What it
	// has spent must still count if a later configuration names it again.
	droppedMemory = 10 * time.Minute
	// maxReserve limits the reserve for what other VMs haven't reported yet, as a part of
	// the burst.
	maxReserve = 0.5
)

// widen returns the limit with its rate raised by the part of the slack that
// customers may use.
func (h Headroom) widen(l Limit, delay time.Duration) Limit {
	spare := slackForCustomers*h.Slack - l.Rate*(minReportDelay+delay).Seconds()
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
}

// Level is what is left of one customer's limit on a VM.
type Level struct {
	Customer string
	// Left is the cost that the VM's bucket could still admit.
	Left float64
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
	// othersSpent is what other VMs' reports have charged, which decays with
	// spendingMemory.
	othersSpent float64
	// active is when the customer was last charged. Nothing reads it.
	active time.Duration
	// dropped is set while the configuration doesn't name the customer, since droppedAt.
	dropped   bool
	droppedAt time.Duration
}

// Limiter holds one VM's buckets for all customers.
type Limiter struct {
	// buckets holds the buckets by customer.
	buckets map[string]*bucket
	// members holds the other VMs of the fleet by name, without those that are leaving.
	members map[string]*member
	// leaving holds the other VMs that are leaving. They have no part of the rates, but may
	// still report what they admit.
	leaving map[string]*member
	// silent holds the members that were silent when they were last checked. No other
	// becomes silent before checkAt.
	silent   []*member
	checkAt  time.Duration
	headroom Headroom
	// relayDelay is how long the reports of other VMs are under way beyond one exchange.
	relayDelay time.Duration
	// synced is true when new buckets may start full: at the first start of a
	// deployment, or once this VM has taken over another VM's levels.
	synced bool
}

// New returns a limiter without customers. At the first start of a deployment
// buckets start full. Otherwise they start empty until another VM reports its
// levels.
func New(firstStart bool, h Headroom) *Limiter {
	return &Limiter{
		buckets:  map[string]*bucket{},
		members:  map[string]*member{},
		leaving:  map[string]*member{},
		synced:   firstStart,
		headroom: h,
	}
}

// Configure replaces the customers' limits. Customers without one keep their former limit until they are
// forgotten, droppedMemory later.
func (r *Limiter) Configure(now time.Duration, limits []Limit) {
	configured := map[string]bool{}
	for _, l := range limits {
		configured[l.Customer] = true
		l = r.headroom.widen(l, r.relayDelay)
		b := r.buckets[l.Customer]
		if b == nil {
			b = &bucket{accruedAt: now}
			if r.synced {
				b.level = l.Burst
			}
			r.buckets[l.Customer] = b
		}
		r.advance(now, b)
		b.limit, b.dropped = l, false
		b.level = min(b.level, l.Burst)
	}
	for name, b := range r.buckets {
		switch {
		case configured[name]:
		case !b.dropped:
			b.dropped, b.droppedAt = true, now
		case now-b.droppedAt > droppedMemory:
			r.forget(name)
		}
	}
}

// forget removes a customer and what other VMs have reported of it.
func (r *Limiter) forget(customer string) {
	delete(r.buckets, customer)
	for _, members := range []map[string]*member{r.members, r.leaving} {
		for _, m := range members {
			delete(m.spent, customer)
			delete(m.charged, customer)
		}
	}
}

// SetRelayDelay sets how long the reports of other VMs are under way beyond one exchange. It
// applies to limits that are configured later and to admissions at once.
func (r *Limiter) SetRelayDelay(delay time.Duration) { r.relayDelay = delay }

// reserve returns what other VMs have probably spent and not reported yet, of a bucket from
// which a cost is needed. Customers that stay within their limits hardly notice it.
func (r *Limiter) reserve(b *bucket, need float64) float64 {
	unreported := b.othersSpent * float64(r.relayDelay) / float64(spendingMemory)
	return max(min(unreported, maxReserve*b.limit.Burst, b.limit.Burst-need), 0)
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
	need += r.reserve(b, need)
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

// CountExhausted returns the number of limited customers of the configuration whose bucket on this VM
// is empty.
func (r *Limiter) CountExhausted(now time.Duration) int {
	n := 0
	for _, b := range r.buckets {
		r.advance(now, b)
		if !b.dropped && b.limit.Rate > 0 && b.level <= 0 {
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

// Receive applies the usage of another VM's process, of any customers. The usage of a VM that
// is neither a member nor leaving is ignored. What a process spent before this VM first heard of the member isn't
// charged, since the levels already include it.
func (r *Limiter) Receive(now time.Duration, name, incarnation string, usage []Usage) {
	m := r.reporter(name)
	if m == nil {
		return
	}
	first := m.incarnation == ""
	m.setIncarnation(incarnation)
	for _, u := range usage {
		b := r.buckets[u.Customer]
		switch {
		case first:
			m.spent[u.Customer] = u.Spent
			continue
		case b == nil:
			continue
		}
		r.advance(now, b)
		delta := u.Spent - m.spent[u.Customer]
		m.spent[u.Customer] = u.Spent
		b.level = min(b.level-delta, b.limit.Burst)
		if delta > 0 {
			b.active = now
			b.othersSpent += delta
		}
	}
}

// Heard records that the usage of a member's process up to a time has been received, and
// refunds what was charged for the member's silence before.
func (r *Limiter) Heard(now, at time.Duration, name, incarnation string) {
	m := r.reporter(name)
	if m == nil || at <= m.heardAt && m.incarnation == incarnation {
		return
	}
	m.setIncarnation(incarnation)
	if now-m.heardAt <= SilentAfter && len(m.charged) == 0 {
		m.heardAt = max(m.heardAt, at)
		return
	}
	for _, b := range r.buckets {
		r.advance(now, b)
	}
	m.heardAt = max(m.heardAt, at)
	r.checkAt = 0
	if now-m.heardAt > SilentAfter {
		return
	}
	for customer, charged := range m.charged {
		if b := r.buckets[customer]; b != nil {
			b.level = min(b.level+charged, b.limit.Burst)
		}
	}
	clear(m.charged)
}

// Synced reports whether this VM's buckets need no levels of another VM.
func (r *Limiter) Synced() bool { return r.synced }

// Sync takes over another VM's levels, unless the buckets are synced.
func (r *Limiter) Sync(now time.Duration, levels []Level) {
	if r.synced {
		return
	}
	for _, l := range levels {
		if b := r.buckets[l.Customer]; b != nil {
			r.advance(now, b)
			b.level = min(max(l.Left, b.level), b.limit.Burst)
		}
	}
	r.synced = len(levels) > 0
}

// Report returns this VM's usage of all limited customers, ordered by customer, to send to
// the other VMs.
func (r *Limiter) Report() []Usage {
	out := make([]Usage, 0, len(r.buckets))
	for _, name := range slices.Sorted(maps.Keys(r.buckets)) {
		if b := r.buckets[name]; b.limit.Rate > 0 {
			out = append(out, Usage{Customer: name, Spent: b.spent})
		}
	}
	return out
}

// Levels returns what is left of all limits, ordered by customer, for a VM that starts. It is
// empty until this VM is synced.
func (r *Limiter) Levels(now time.Duration) []Level {
	if !r.synced {
		return nil
	}
	var out []Level
	for _, name := range slices.Sorted(maps.Keys(r.buckets)) {
		if b := r.buckets[name]; b.limit.Rate > 0 {
			r.advance(now, b)
			out = append(out, Level{Customer: name, Left: b.level})
		}
	}
	return out
}

// advance accrues a bucket up to now and charges it the parts of silent members.
// The bucket holds at most the reachable VMs' fraction of the burst, or the limit's Least.
func (r *Limiter) advance(now time.Duration, b *bucket) {
	elapsed := (now - b.accruedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	r.checkSilence(now)
	b.othersSpent *= math.Exp(-elapsed / spendingMemory.Seconds())
	part := b.limit.Rate / float64(len(r.members)+1)
	b.level += b.limit.Rate * elapsed
	for _, m := range r.silent {
		silent := min(now-m.heardAt-SilentAfter, now-b.accruedAt).Seconds()
		if silent > 0 {
			b.level -= part * silent
			m.charged[b.limit.Customer] += part * silent
		}
	}
	reachable := float64(len(r.members)+1-len(r.silent)) / float64(len(r.members)+1)
	b.level = min(b.level, max(b.limit.Burst*reachable, b.limit.Least))
	b.accruedAt = now
}

// checkSilence updates the silent members, if another may have become silent.
func (r *Limiter) checkSilence(now time.Duration) {
	if now < r.checkAt {
		return
	}
	r.silent = r.silent[:0]
	r.checkAt = now + SilentAfter
	for _, m := range r.members {
		if now-m.heardAt > SilentAfter {
			r.silent = append(r.silent, m)
			continue
		}
		r.checkAt = min(r.checkAt, m.heardAt+SilentAfter+1)
	}
}
