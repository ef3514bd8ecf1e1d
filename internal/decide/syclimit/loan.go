package syclimit

import (
	"slices"
	"time"
)

// Lend answers a peer's request for tokens; the loan is debited. Requests of
// this VM that wait go first. A repeated request is answered with nothing.
func (m *Machine) Lend(now time.Duration, r LoanRequest, l Limit) Loan {
	c := m.open(now, r.Customer, l)
	b := &c.bucket
	m.accrue(now, c)
	for _, s := range r.Settled {
		b.settle(loanKey{borrower: r.Borrower, incarnation: r.Incarnation, id: s.ID}, s.Returned)
	}
	b.clip(m.limit(now, b.limit))
	free := m.lendableNow(now, c)
	key := loanKey{borrower: r.Borrower, incarnation: r.Incarnation, id: r.ID}
	amount := max(min(free, r.Amount), 0)
	amount += m.surplus(c, free-amount, r.Shortage)
	if amount <= 0 || b.hasLent(key) {
		return Loan{Spare: max(free, 0)}
	}
	b.lend(lentLoan{key: key, amount: amount, release: now + m.settings.WithClockError(m.settings.LoanValid)})
	return Loan{Amount: amount, Valid: m.settings.LoanValid, Spare: max(b.own-Permit*MicroPermits(len(c.waiting)), 0)}
}

// lendableNow is what this VM can lend: nothing while its predecessor's loans
// may be held.
func (m *Machine) lendableNow(now time.Duration, c *customer) MicroPermits {
	if now < m.quiet {
		return 0
	}
	b := &c.bucket
	free := b.own - Permit*MicroPermits(len(c.waiting))
	return min(free, m.lendLimit(b.limit)-b.lent)
}

// Answer takes a loan for a request that this VM sent. One that comes late,
// twice or unasked is dropped.
func (m *Machine) Answer(now time.Duration, peer, name string, id uint64, loan Loan) []Action {
	c, l := m.lender(peer, name)
	if l == nil {
		return nil
	}
	r, ok := l.end(id)
	if !ok {
		return nil
	}
	m.accrue(now, c)
	c.bucket.expire(now)
	l.answered(now, r, loan, c.bucket.limit, m.settings)
	expires := r.sent + min(loan.Valid, m.settings.LoanValid)
	if loan.Amount > 0 && now < expires {
		c.bucket.hold(heldLoan{lender: peer, id: id, amount: loan.Amount, taken: now, expires: expires})
		m.attend(c)
	}
	return m.serve(now, c)
}

// AskFailed ends a request that got no answer.
func (m *Machine) AskFailed(now time.Duration, peer, name string, id uint64) []Action {
	c, l := m.lender(peer, name)
	if l == nil {
		return nil
	}
	r, ok := l.end(id)
	if !ok {
		return nil
	}
	l.failed(now, r, m.settings)
	return m.serve(now, c)
}

func (m *Machine) lender(peer, name string) (*customer, *lender) {
	c, ok := m.customers[name]
	if !ok {
		return nil, nil
	}
	return c, c.lender(peer)
}

// giveBack returns loans that were not needed soon after they came, and those
// that would expire soon, so that nothing is lost.
func (m *Machine) giveBack(now time.Duration, c *customer) {
	c.settle(now, c.bucket.take(func(l heldLoan) bool {
		unneeded := len(c.waiting) == 0 && l.taken < now-m.settings.ReturnAfter
		return unneeded || l.expires <= now+m.settings.ReturnAfter
	}))
}

// report tells lenders of loans that are over, returned ones at once and spent
// ones when no request for a loan has done so soon.
func (m *Machine) report(now time.Duration, c *customer) []Action {
	var actions []Action
	for _, l := range c.lenders {
		if !returns(l.settled) && (len(l.settled) == 0 || now-l.settledAt < m.settings.ReportAfter) {
			continue
		}
		m.lastID++
		actions = append(actions, Ask{Peer: l.peer.Address, ID: m.lastID, Customer: c.name, Settled: l.report()})
	}
	return actions
}

func returns(list []Settled) bool {
	return slices.ContainsFunc(list, func(s Settled) bool { return s.Returned > 0 })
}
