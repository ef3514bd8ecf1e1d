package syclimit

import (
	"time"
)

// Machine limits the requests of all customers on one VM. It isn't safe for
// concurrent use, and its times must not decrease.
type Machine struct {
	settings Settings
	// priorLoansEnd is when all loans have expired that an earlier owner of
	// this VM's fraction granted: an earlier process at this address or another
	// VM.
	priorLoansEnd time.Duration
	// gainedFraction is the sum of the fractions whose earlier owners may still
	// have loans out. The VM leaves room for these loans until priorLoansEnd. A
	// gain after that starts the sum anew.
	gainedFraction Fraction
	// steps splits fraction by the time at which each part began to accrue.
	steps steps
	// fraction is the sum of steps.
	fraction Fraction
	// peers are the VMs that this VM may borrow from.
	peers []Peer
	// lastID is the ID of the last ask.
	lastID uint64
	// askBudget is the number of asks that may be sent at askBudgetAt, in
	// micro-permits: an ask costs one Permit.
	askBudget MicroPermits
	// askBudgetAt is when askBudget was last refilled.
	askBudgetAt time.Duration
	// customers holds, by name, the customers with state. A state is created by
	// a request or a peer's loan request, and dropped when idle. active holds
	// those that Tick serves, because they have waiting requests, borrowed loans
	// or unreported ended loans, in the order in which they became active.
	customers map[string]*customer
	active    []*customer
	// sweptAt is when idle customers were last dropped.
	sweptAt time.Duration
}

// New returns a machine that accrues nothing and has no peers. Earlier
// processes of this address must have ended by start. The first ask has the ID
// firstID+1, and later ones count up from it. The processes of an address must not
// use the same IDs.
func New(s Settings, start time.Duration, firstID uint64) *Machine {
	s = s.Defaults()
	return &Machine{
		settings:      s,
		priorLoansEnd: start + s.WithClockError(s.LoanValid),
		lastID:        firstID,
		customers:     map[string]*customer{},
		sweptAt:       start,
	}
}

// Admit queues a request for a permit. Its Grant or Reject is among the actions
// returned by this or a later call. The request waits until deadline, but at
// most MaxWait.
func (m *Machine) Admit(now time.Duration, request uint64, name string, l Limit, deadline time.Duration) []Action {
	c := m.ensureCustomer(now, name, l)
	c.recordArrival(now)
	if len(c.waiting) >= m.settings.QueueLength {
		return []Action{Reject{Customer: name, Request: request, Cause: QueueFull, RetryAfter: m.retryAfter(now, c, len(c.waiting))}}
	}
	m.activate(c)
	c.waiting = append(c.waiting, waiter{
		request:  request,
		arrived:  now,
		deadline: min(now+m.settings.MaxWait, deadline),
	})
	return m.serve(now, c)
}

// Cancel removes a waiting request whose caller has gone.
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
	m.dropInactive()
}

// Tick serves the active customers and drops idle ones.
func (m *Machine) Tick(now time.Duration) []Action {
	var actions []Action
	for _, c := range append([]*customer(nil), m.active...) {
		actions = append(actions, m.serve(now, c)...)
	}
	m.sweep(now)
	return actions
}

// SetFraction changes the part of every customer's rate and burst that this VM
// accrues. A decrease clips all own permits at once. After an increase the VM
// leaves room for the loans of the VM that accrued the part before.
func (m *Machine) SetFraction(now time.Duration, total Fraction) []Action {
	if total == m.fraction {
		return nil
	}
	for _, c := range m.customers {
		m.accrue(now, c)
	}
	if total > m.fraction {
		m.reserveForPriorLoans(now, total-m.fraction)
	}
	m.steps = m.steps.change(now, total)
	m.fraction = total
	for _, c := range m.customers {
		c.bucket.clip(m.capacity(now, c.bucket.limit))
	}
	return m.Tick(now)
}

// reserveForPriorLoans leaves room for the loans of the VM or process that
// accrued a gained part before.
func (m *Machine) reserveForPriorLoans(now time.Duration, part Fraction) {
	if now >= m.priorLoansEnd {
		m.gainedFraction = 0
	}
	m.gainedFraction += part
	m.priorLoansEnd = max(m.priorLoansEnd, now+m.settings.WithClockError(m.settings.LoanValid))
}

// SetPeers changes the VMs that this VM may borrow from.
func (m *Machine) SetPeers(now time.Duration, peers []Peer) []Action {
	m.peers = append([]Peer(nil), peers...)
	for _, c := range m.customers {
		if c.lenders != nil {
			c.setPeers(m.peers, m.settings)
		}
	}
	return m.Tick(now)
}

// SetLimit changes the limit of a customer with state. ok is false for a
// deleted customer, whose limit becomes zero.
func (m *Machine) SetLimit(now time.Duration, name string, l Limit, ok bool) []Action {
	c, found := m.customers[name]
	if !found {
		return nil
	}
	if !ok {
		l = Limit{}
	}
	m.applyLimit(now, c, l)
	return m.serve(now, c)
}

// Customers returns the number of customers with state.
func (m *Machine) Customers() int { return len(m.customers) }

// EachCustomer calls f with the name of each customer with state, in no
// particular order.
func (m *Machine) EachCustomer(f func(name string)) {
	for name := range m.customers {
		f(name)
	}
}

// Fraction returns the part of every customer's rate and burst that this VM
// accrues.
func (m *Machine) Fraction() Fraction { return m.fraction }

// Permits returns a customer's permits on this VM: own ones, borrowed ones, and
// those lent to peers.
func (m *Machine) Permits(now time.Duration, name string) (own, borrowed, lent MicroPermits) {
	c, ok := m.customers[name]
	if !ok {
		return 0, 0, 0
	}
	m.accrue(now, c)
	c.bucket.expireBorrowed(now)
	return c.bucket.own, c.bucket.borrowedTotal(), c.bucket.lent
}

// ensureCustomer returns a customer's state with the given limit applied. It
// creates the state if there is none.
func (m *Machine) ensureCustomer(now time.Duration, name string, l Limit) *customer {
	c, ok := m.customers[name]
	if ok {
		m.applyLimit(now, c, l)
		return c
	}
	c = &customer{name: name, lastUsed: now}
	c.bucket = bucket{limit: l, accruedAt: now, own: m.steps.accrued(now, l, m.settings.ClockError)}
	c.bucket.clip(m.capacity(now, l))
	m.customers[name] = c
	return c
}

// applyLimit accrues at the old limit and clips to the new one.
func (m *Machine) applyLimit(now time.Duration, c *customer, l Limit) {
	m.accrue(now, c)
	if c.bucket.limit.rate == l.rate && c.bucket.limit.burst == l.burst {
		return
	}
	c.bucket.limit = l
	c.bucket.clip(m.capacity(now, l))
	c.bucket.trimBorrowed(l.burst)
}

// accrue adds a customer's permits of the time up to now.
func (m *Machine) accrue(now time.Duration, c *customer) {
	c.bucket.accrue(now, m.speed(c.bucket.limit), m.capacity(now, c.bucket.limit))
}

// speed returns a customer's accrual on this VM in nano-permits per second. It
// is reduced by the clock error, so that a fast clock doesn't exceed the rate.
func (m *Machine) speed(l Limit) uint64 {
	nano := mulDiv(uint64(l.rate)*nanoPerMicro, uint64(m.fraction), uint64(FullFraction))
	return uint64(float64(nano) * (1 - m.settings.ClockError))
}

// roundingSlack exceeds the difference, in micro-permits, between rounding
// several gained fractions one by one and rounding their sum.
const roundingSlack MicroPermits = 16

// capacity returns the most permits of a customer, own and lent together, that
// this VM may have: its fraction of the burst. Until priorLoansEnd it leaves
// room for the loans that the earlier owners of the gained fraction granted.
func (m *Machine) capacity(now time.Duration, l Limit) MicroPermits {
	full := m.fraction.Of(l.burst)
	if now < m.priorLoansEnd && m.gainedFraction > 0 {
		return max(full-m.gainedFraction.Of(m.settings.lendable(l.burst))-roundingSlack, 0)
	}
	return full
}

// maxLent returns the most permits of a customer that this VM may have out on
// loan.
func (m *Machine) maxLent(l Limit) MicroPermits {
	return m.fraction.Of(m.settings.lendable(l.burst))
}

// sweep drops idle customers, at most four times per IdleTimeout.
func (m *Machine) sweep(now time.Duration) {
	if now-m.sweptAt < m.settings.IdleTimeout/4 {
		return
	}
	m.sweptAt = now
	for name, c := range m.customers {
		m.accrue(now, c)
		c.bucket.expireBorrowed(now)
		if c.idle(now, m.settings, m.capacity(now, c.bucket.limit)) {
			delete(m.customers, name)
		}
	}
}
