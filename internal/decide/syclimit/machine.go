package syclimit

import (
	"time"
)

// Machine admits the requests of one VM. It must be driven from one goroutine
// with times that do not decrease.
type Machine struct {
	settings Settings
	// quiet is when the loans of those who accrued the fraction before, such as
	// this VM's predecessor, have surely ended.
	quiet time.Duration
	// gained is the fraction that those had; it counts until quiet.
	gained Fraction
	steps  steps
	// fraction is the total of steps.
	fraction Fraction
	peers    []Peer
	lastID   uint64
	// asks is what is left of the budget for requests for loans at asksAt.
	asks   MicroPermits
	asksAt time.Duration
	// customers holds those with state, short those with waiting requests or
	// loans, in the order in which they became so.
	customers map[string]*customer
	short     []*customer
	swept     time.Duration
}

// New returns a machine that accrues nothing and has no peers. The predecessor of this
// process on the same address must be gone at start. Ids of loans follow
// firstID, which must differ between the processes of an address.
func New(s Settings, start time.Duration, firstID uint64) *Machine {
	s = s.Defaults()
	return &Machine{
		settings:  s,
		quiet:     start + s.WithClockError(s.LoanValid),
		lastID:    firstID,
		customers: map[string]*customer{},
		swept:     start,
	}
}

// Admit asks for a token. Its Grant or Refuse is among the actions returned
// now or later; the deadline bounds the wait further than the hold does.
func (m *Machine) Admit(now time.Duration, request uint64, name string, l Limit, deadline time.Duration) []Action {
	c := m.open(now, name, l)
	c.noteArrival(now)
	if len(c.waiting) >= m.settings.QueueLength {
		return []Action{Reject{Customer: name, Request: request, Cause: QueueFull, RetryAfter: m.retryAfter(now, c, len(c.waiting))}}
	}
	m.attend(c)
	c.waiting = append(c.waiting, waiter{
		request:  request,
		arrived:  now,
		deadline: min(now+m.settings.MaxWait, deadline),
	})
	return m.serve(now, c)
}

// Cancel forgets a waiting request whose caller has gone.
func (m *Machine) Cancel(name string, request uint64) {
	c, ok := m.customers[name]
	if !ok {
		return
	}
	for i, w := range c.waiting {
		if w.request == request {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			break
		}
	}
	m.dropServed()
}

// Tick serves the waiting requests whose time has come.
func (m *Machine) Tick(now time.Duration) []Action {
	var actions []Action
	for _, c := range append([]*customer(nil), m.short...) {
		actions = append(actions, m.serve(now, c)...)
	}
	m.sweep(now)
	return actions
}

// SetFraction changes the part of every customer's rate and burst that this VM
// accrues. A smaller one clips all tokens at once. After a larger one the VM
// leaves room for the loans of whoever accrued the part before.
func (m *Machine) SetFraction(now time.Duration, total Fraction) []Action {
	if total == m.fraction {
		return nil
	}
	for _, c := range m.customers {
		m.accrue(now, c)
	}
	if total > m.fraction {
		m.gain(now, total-m.fraction)
	}
	m.steps = m.steps.change(now, total)
	m.fraction = total
	for _, c := range m.customers {
		c.bucket.clip(m.limit(now, c.bucket.limit))
	}
	return m.Tick(now)
}

// gain leaves room for the loans of whoever accrued a part before.
func (m *Machine) gain(now time.Duration, part Fraction) {
	if now >= m.quiet {
		m.gained = 0
	}
	m.gained += part
	m.quiet = max(m.quiet, now+m.settings.WithClockError(m.settings.LoanValid))
}

// SetPeers changes the VMs that may lend.
func (m *Machine) SetPeers(now time.Duration, peers []Peer) []Action {
	m.peers = append([]Peer(nil), peers...)
	for _, c := range m.customers {
		if c.lenders != nil {
			c.setPeers(m.peers, m.settings)
		}
	}
	return m.Tick(now)
}

// SetLimit changes the limit of a customer with state; ok is false for one
// that was deleted.
func (m *Machine) SetLimit(now time.Duration, name string, l Limit, ok bool) []Action {
	c, found := m.customers[name]
	if !found {
		return nil
	}
	if !ok {
		l = Limit{}
	}
	m.change(now, c, l)
	return m.serve(now, c)
}

// Customers returns the number of customers with state.
func (m *Machine) Customers() int { return len(m.customers) }

// EachCustomer calls f with each customer that has state, in no particular order.
func (m *Machine) EachCustomer(f func(name string)) {
	for name := range m.customers {
		f(name)
	}
}

// Fraction is the part of every customer's tokens that accrues now.
func (m *Machine) Fraction() Fraction { return m.fraction }

// Permits returns a customer's tokens: own and borrowed ones, and those on loan.
func (m *Machine) Permits(now time.Duration, name string) (own, borrowed, lent MicroPermits) {
	c, ok := m.customers[name]
	if !ok {
		return 0, 0, 0
	}
	m.accrue(now, c)
	c.bucket.expire(now)
	return c.bucket.own, c.bucket.borrowed(), c.bucket.lent
}

// open returns a customer's state with the given limit in force.
func (m *Machine) open(now time.Duration, name string, l Limit) *customer {
	c, ok := m.customers[name]
	if ok {
		m.change(now, c, l)
		return c
	}
	c = &customer{name: name, used: now}
	c.bucket = bucket{limit: l, at: now, own: m.steps.accrued(now, l, m.settings.ClockError)}
	c.bucket.clip(m.limit(now, l))
	m.customers[name] = c
	return c
}

// change accrues at the old limit and clips to the new one.
func (m *Machine) change(now time.Duration, c *customer, l Limit) {
	m.accrue(now, c)
	if c.bucket.limit.rate == l.rate && c.bucket.limit.burst == l.burst {
		return
	}
	c.bucket.limit = l
	c.bucket.clip(m.limit(now, l))
	c.bucket.trim(l.burst)
}

// accrue brings a customer's tokens up to a time.
func (m *Machine) accrue(now time.Duration, c *customer) {
	c.bucket.accrue(now, m.speed(c.bucket.limit), m.limit(now, c.bucket.limit))
}

// speed is the accrual in nano-tokens a second, slowed by the clock's error.
func (m *Machine) speed(l Limit) uint64 {
	nano := scale(uint64(l.rate)*nanoPerMicro, uint64(m.fraction), uint64(FullFraction))
	return uint64(float64(nano) * (1 - m.settings.ClockError))
}

// roundingSlack is more than the micro-tokens by which the rounding of several
// gained parts differs from that of their sum.
const roundingSlack MicroPermits = 16

// limit is the cap on own and lent tokens together. Until the loans of those who
// had the gained part have ended it leaves room for them.
func (m *Machine) limit(now time.Duration, l Limit) MicroPermits {
	whole := m.fraction.Of(l.burst)
	if now < m.quiet && m.gained > 0 {
		return max(whole-m.gained.Of(m.settings.lendable(l.burst))-roundingSlack, 0)
	}
	return whole
}

// lendLimit bounds what may be out on loan.
func (m *Machine) lendLimit(l Limit) MicroPermits {
	return m.fraction.Of(m.settings.lendable(l.burst))
}

// sweep drops idle customers now and then.
func (m *Machine) sweep(now time.Duration) {
	if now-m.swept < m.settings.IdleTimeout/4 {
		return
	}
	m.swept = now
	for name, c := range m.customers {
		m.accrue(now, c)
		c.bucket.expire(now)
		if c.idle(now, m.settings, m.limit(now, c.bucket.limit)) {
			delete(m.customers, name)
		}
	}
}
