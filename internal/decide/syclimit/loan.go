package syclimit

import "time"

// Lend answers a peer's request for tokens; the loan is debited. Requests of
// this VM that wait go first. A repeated request is answered with nothing.
func (m *Machine) Lend(now time.Duration, r LoanRequest, l Limit) Loan {
	c := m.open(now, r.Customer, l)
	b := &c.bucket
	for _, id := range r.Settled {
		b.settle(loanKey{borrower: r.Borrower, incarnation: r.Incarnation, id: id})
	}
	m.accrue(now, c)
	free := m.lendableNow(now, c)
	key := loanKey{borrower: r.Borrower, incarnation: r.Incarnation, id: r.ID}
	amount := min(free, r.Amount)
	if amount <= 0 || b.hasLent(key) {
		return Loan{Left: max(free, 0)}
	}
	b.lend(lentLoan{key: key, amount: amount, release: now + m.settings.Outlast(m.settings.LoanValid)})
	return Loan{Amount: amount, Valid: m.settings.LoanValid, Left: max(b.own-Token*Micro(len(c.waiting)), 0)}
}

// lendableNow is what this VM can lend: nothing while its predecessor's loans
// may be held.
func (m *Machine) lendableNow(now time.Duration, c *customer) Micro {
	if now < m.quiet {
		return 0
	}
	b := &c.bucket
	free := b.own - Token*Micro(len(c.waiting))
	return min(free, m.lendLimit(b.limit)-b.lent)
}

// Answer takes a loan for a request that this VM sent. One that comes late,
// twice or unasked is dropped.
func (m *Machine) Answer(now time.Duration, peer, name string, id uint64, loan Loan) []Action {
	c, l := m.pending(peer, name, id)
	if l == nil {
		return nil
	}
	m.accrue(now, c)
	c.bucket.expire(now)
	expires := l.sent + loan.Valid
	l.answered(now, loan, c.bucket.limit, m.settings)
	if loan.Amount > 0 && now < expires {
		c.bucket.hold(heldLoan{lender: peer, id: id, amount: loan.Amount, expires: expires})
	}
	return m.serve(now, c)
}

// AskFailed ends a request that got no answer.
func (m *Machine) AskFailed(now time.Duration, peer, name string, id uint64) []Action {
	c, l := m.pending(peer, name, id)
	if l == nil {
		return nil
	}
	l.failed(now, m.settings)
	return m.serve(now, c)
}

// pending returns the state of a request that is under way.
func (m *Machine) pending(peer, name string, id uint64) (*customer, *lender) {
	c, ok := m.customers[name]
	if !ok {
		return nil, nil
	}
	l := c.lender(peer)
	if l == nil || l.pending != id {
		return nil, nil
	}
	return c, l
}
