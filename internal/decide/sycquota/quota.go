// Package sycquota bounds what each customer may use over all VMs together.
//
// Each VM keeps a bucket a customer that stands for the whole fleet. It is
// charged at once for what the VM itself admits, and for what the others
// admitted when they tell so. A member that is silent is charged its even part
// of the rate, since it may be serving behind a partition, and is bound by the
// same rule there: so the parts that VMs on all sides of a partition may spend
// never add up to more than the rate. What goes beyond it is what is admitted
// before the others are told, and before a silence counts as one.
package sycquota

import (
	"math"
	"time"
)

// SilentAfter is how long a member may be unheard before it is charged its
// part of each rate: over two periods of the reports.
const SilentAfter = 700 * time.Millisecond

// Limit is a customer's rate and burst over all VMs.
type Limit struct {
	Customer string
	// Rate is a second.
	Rate  float64
	Burst float64
}

// Headroom is what a customer may use beyond its limit in a window.
type Headroom struct {
	Window time.Duration
	// Slack is beyond the rate and the burst in each window.
	Slack float64
}

const (
	// slackSpent is the part of the slack that is given to customers; the rest
	// is for what VMs admit before they hear of each other.
	slackSpent = 0.6
	// unheard is the time for which such admissions are reckoned with.
	unheard = 300 * time.Millisecond
)

// widen returns the limit with the headroom that can be given.
func (h Headroom) widen(l Limit) Limit {
	spare := slackSpent*h.Slack - l.Rate*unheard.Seconds()
	if h.Window <= 0 || spare <= 0 || l.Rate <= 0 {
		return l
	}
	l.Rate += spare / h.Window.Seconds()
	return l
}

// Usage is what a VM tells of a customer.
type Usage struct {
	Customer string
	// Spent counts all that the VM has admitted since it started.
	Spent float64
	// Level is what is left in the VM's bucket.
	Level float64
}

// bucket is one customer's.
type bucket struct {
	limit Limit
	// level is at most limit.Burst and falls below 0 when others have spent more
	// than was known.
	level float64
	at    time.Duration
	// spent counts what this VM has admitted.
	spent float64
	// active is when the customer was last charged.
	active time.Duration
}

// member is another VM.
type member struct {
	incarnation string
	heard       time.Duration
	// spent is the last total told of each customer, charged what was charged in
	// the member's silence since then.
	spent   map[string]float64
	charged map[string]float64
}

// Limiter holds the buckets of one VM.
type Limiter struct {
	buckets  map[string]*bucket
	members  map[string]*member
	headroom Headroom
	// learned is false until the VM knows what customers have left: at the first
	// start of a deployment, or when another VM has told it.
	learned bool
}

// New returns a fleet without customers. At the first start of a deployment
// buckets are full, else they are empty until another VM tells of its own.
func New(firstStart bool, h Headroom) *Limiter {
	return &Limiter{
		buckets:  map[string]*bucket{},
		members:  map[string]*member{},
		learned:  firstStart,
		headroom: h,
	}
}

// Configure takes over the customers' limits.
func (f *Limiter) Configure(now time.Duration, limits []Limit) {
	known := map[string]bool{}
	for _, l := range limits {
		known[l.Customer] = true
		l = f.headroom.widen(l)
		b := f.buckets[l.Customer]
		if b == nil {
			b = &bucket{at: now}
			if f.learned {
				b.level = l.Burst
			}
			f.buckets[l.Customer] = b
		}
		f.advance(now, b)
		b.limit = l
		b.level = min(b.level, l.Burst)
	}
	for name := range f.buckets {
		if !known[name] {
			delete(f.buckets, name)
		}
	}
}

// SetMembers sets who else belongs to the fleet.
func (f *Limiter) SetMembers(now time.Duration, names []string) {
	known := map[string]bool{}
	for _, name := range names {
		known[name] = true
		if f.members[name] == nil {
			f.members[name] = &member{heard: now, spent: map[string]float64{}, charged: map[string]float64{}}
		}
	}
	for name := range f.members {
		if !known[name] {
			delete(f.members, name)
		}
	}
}

// Admit charges a request to its customer if enough is left; else it returns
// the time after which there may be.
func (f *Limiter) Admit(now time.Duration, customer string, cost float64) (after time.Duration, ok bool) {
	b := f.buckets[customer]
	if b == nil || b.limit.Rate <= 0 {
		return 0, true
	}
	f.advance(now, b)
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

// State returns a customer's limit and what is left of it here, for logs.
func (f *Limiter) State(customer string) (limit Limit, level float64, reach int) {
	reach = 1 + len(f.members)
	if b := f.buckets[customer]; b != nil {
		limit, level = b.limit, b.level
	}
	return limit, level, reach
}

// CountExhausted counts the customers that have nothing left here.
func (f *Limiter) CountExhausted(now time.Duration) int {
	n := 0
	for _, b := range f.buckets {
		f.advance(now, b)
		if b.limit.Rate > 0 && b.level <= 0 {
			n++
		}
	}
	return n
}

// Refund takes back the charge of a request that has not run.
func (f *Limiter) Refund(customer string, cost float64) {
	b := f.buckets[customer]
	if b == nil || b.limit.Rate <= 0 {
		return
	}
	b.level = min(b.level+cost, b.limit.Burst)
	b.spent -= cost
}

// Receive takes in what another VM tells.
func (f *Limiter) Receive(now time.Duration, name, incarnation string, usage []Usage) {
	m := f.members[name]
	if m == nil {
		return
	}
	first := m.incarnation == ""
	if m.incarnation != incarnation {
		m.incarnation = incarnation
		m.spent = map[string]float64{}
	}
	for _, b := range f.buckets {
		f.advance(now, b)
	}
	m.heard = now
	for _, u := range usage {
		b := f.buckets[u.Customer]
		if b == nil {
			continue
		}
		delta := u.Spent - m.spent[u.Customer]
		m.spent[u.Customer] = u.Spent
		if first {
			// What was spent before this VM knew the other is in the other's level.
			delta = 0
		}
		b.level = min(b.level-delta, b.limit.Burst)
		if delta > 0 {
			b.active = now
		}
		if !f.learned {
			b.level = min(max(u.Level, b.level), b.limit.Burst)
		}
	}
	for customer, charged := range m.charged {
		if b := f.buckets[customer]; b != nil {
			b.level = min(b.level+charged, b.limit.Burst)
		}
	}
	clear(m.charged)
	f.learned = f.learned || len(usage) > 0
}

// Report returns what this VM tells the others.
func (f *Limiter) Report(now time.Duration) []Usage {
	out := make([]Usage, 0, len(f.buckets))
	for name, b := range f.buckets {
		if b.limit.Rate <= 0 {
			continue
		}
		f.advance(now, b)
		out = append(out, Usage{Customer: name, Spent: b.spent, Level: b.level})
	}
	return out
}

// advance lets the bucket accrue up to now, less the parts of silent members.
func (f *Limiter) advance(now time.Duration, b *bucket) {
	elapsed := (now - b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	share := b.limit.Rate / float64(len(f.members)+1)
	b.level += b.limit.Rate * elapsed
	for _, m := range f.members {
		silent := min(now-m.heard-SilentAfter, now-b.at).Seconds()
		if silent > 0 {
			b.level -= share * silent
			m.charged[b.limit.Customer] += share * silent
		}
	}
	b.level = min(b.level, b.limit.Burst*f.reach(now))
	b.at = now
}

// reach is the part of the members that can be heard, this VM included.
func (f *Limiter) reach(now time.Duration) float64 {
	heard := 1
	for _, m := range f.members {
		if now-m.heard <= SilentAfter {
			heard++
		}
	}
	return float64(heard) / float64(len(f.members)+1)
}
