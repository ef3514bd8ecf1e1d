package syclimit

import (
	"slices"
	"time"
)

// Lend answers a peer's request for a loan and debits the amount. This VM's
// waiting requests come first. A request that already got a loan gets nothing
// when it is repeated.
func (m *Machine) Lend(now time.Duration, r LoanRequest, l Limit) Loan {
	c := m.ensureCustomer(now, r.Customer, l)
	b := &c.bucket
	m.accrue(now, c)
	for _, s := range r.Settled {
		b.settle(loanKey{borrower: r.Borrower, incarnation: r.Incarnation, id: s.ID}, s.Returned)
	}
	b.clip(m.capacity(now, b.limit))
	free := m.lendableNow(now, c)
	key := loanKey{borrower: r.Borrower, incarnation: r.Incarnation, id: r.ID}
	amount := max(min(free, r.Amount), 0)
	amount += m.surplus(c, free-amount, r.Shortage)
	if amount <= 0 || b.hasLent(key) {
		return Loan{Spare: max(free, 0)}
	}
	b.lend(lentLoan{key: key, amount: amount, expires: now + m.settings.WithClockError(m.settings.LoanValid)})
	return Loan{Amount: amount, Valid: m.settings.LoanValid, Spare: max(b.own-Permit*MicroPermits(len(c.waiting)), 0)}
}

// lendableNow returns what this VM can lend to a peer. It lends nothing until
// priorLoansEnd.
func (m *Machine) lendableNow(now time.Duration, c *customer) MicroPermits {
	if now < m.priorLoansEnd {
		return 0
	}
	b := &c.bucket
	free := b.own - Permit*MicroPermits(len(c.waiting))
	return min(free, m.maxLent(b.limit)-b.lent)
}

// Answer applies a peer's loan for an ask that this VM sent. An answer that is
// late, repeated or to no ask is dropped.
func (m *Machine) Answer(now time.Duration, peer, name string, id uint64, loan Loan) []Action {
	c, l := m.lender(peer, name)
	if l == nil {
		return nil
	}
	ask, ok := l.endAsk(id)
	if !ok {
		return nil
	}
	m.accrue(now, c)
	c.bucket.expireBorrowed(now)
	l.recordAnswer(now, ask, loan, c.bucket.limit, m.settings)
	expires := ask.sent + min(loan.Valid, m.settings.LoanValid)
	if loan.Amount > 0 && now < expires {
		c.bucket.addBorrowed(borrowedLoan{lender: peer, id: id, amount: loan.Amount, received: now, expires: expires})
		m.activate(c)
	}
	return m.serve(now, c)
}

// AskFailed ends an ask that got no answer.
func (m *Machine) AskFailed(now time.Duration, peer, name string, id uint64) []Action {
	c, l := m.lender(peer, name)
	if l == nil {
		return nil
	}
	ask, ok := l.endAsk(id)
	if !ok {
		return nil
	}
	l.recordFailure(now, ask, m.settings)
	return m.serve(now, c)
}

func (m *Machine) lender(peer, name string) (*customer, *lender) {
	c, ok := m.customers[name]
	if !ok {
		return nil, nil
	}
	return c, c.lender(peer)
}

// returnLoans returns loans to their lenders that weren't needed for
// ReturnAfter, and those that would expire within it, so that their permits
// aren't lost.
func (m *Machine) returnLoans(now time.Duration, c *customer) {
	c.settleLoans(now, c.bucket.removeBorrowed(func(l borrowedLoan) bool {
		unneeded := len(c.waiting) == 0 && l.received < now-m.settings.ReturnAfter
		return unneeded || l.expires <= now+m.settings.ReturnAfter
	}))
}

// reportSettled reports ended loans to their lenders: at once if permits are
// returned, and after ReportAfter if all are spent and no other ask has carried
// the report.
func (m *Machine) reportSettled(now time.Duration, c *customer) []Action {
	var actions []Action
	for _, l := range c.lenders {
		if !anyReturned(l.settled) && (len(l.settled) == 0 || now-l.settledAt < m.settings.ReportAfter) {
			continue
		}
		m.lastID++
		actions = append(actions, Ask{Peer: l.peer.Address, ID: m.lastID, Customer: c.name, Settled: l.takeSettled()})
	}
	return actions
}

func anyReturned(list []Settled) bool {
	return slices.ContainsFunc(list, func(s Settled) bool { return s.Returned > 0 })
}
