package syclimit

import "time"

const (
	// minShortageDivisor sets the smallest shortage for which a VM asks a peer
	// to rebalance: the asking VM's capacity divided by minShortageDivisor.
	minShortageDivisor = 4
	// minSurplusDivisor sets the smallest amount that a VM lends to rebalance:
	// the lending VM's capacity divided by minSurplusDivisor.
	minSurplusDivisor = 6
	// minRebalanceCapacity is the smallest capacity for which permits are
	// rebalanced.
	minRebalanceCapacity = Permit / 8
)

// rebalance asks the peer that probably has most for a part of its permits. So
// permits aren't lost at a VM whose bucket is full while another VM is short.
func (m *Machine) rebalance(now time.Duration, c *customer) []Action {
	capacity := m.fraction.Of(c.bucket.limit.burst)
	shortage := capacity - c.bucket.lent - c.bucket.available()
	if capacity < minRebalanceCapacity || shortage < capacity/minShortageDivisor || now < m.priorLoansEnd {
		return nil
	}
	if c.lenders == nil {
		c.setPeers(m.peers, m.settings)
	}
	l := m.richestLender(now, c)
	if l == nil || !m.mayAsk(now) {
		return nil
	}
	m.askBudget -= Permit
	m.lastID++
	return []Action{l.askRebalance(now, c.name, m.lastID, shortage)}
}

// richestLender returns the lender that probably has most. It returns nil while
// an ask is pending or if every lender is in a backoff.
func (m *Machine) richestLender(now time.Duration, c *customer) *lender {
	var best *lender
	most := MicroPermits(-1)
	for _, l := range c.lenders {
		if len(l.pending) > 0 {
			return nil
		}
		if now < l.rebalanceAfter || now < l.backoffUntil {
			continue
		}
		if has := l.estimate(now, c.bucket.limit, m.settings); has > most {
			best, most = l, has
		}
	}
	return best
}

// surplus returns how much of the free permits, which this VM could lend, to
// lend for a borrower's shortage. Afterwards both VMs are equally short, if
// their capacities are equal.
func (m *Machine) surplus(c *customer, free, shortage MicroPermits) MicroPermits {
	capacity := m.fraction.Of(c.bucket.limit.burst)
	more := min((c.bucket.own+shortage-capacity)/2, shortage, free)
	if more < capacity/minSurplusDivisor {
		return 0
	}
	return more
}

// askRebalance adds a pending ask for a part of the peer's surplus and returns
// it.
func (l *lender) askRebalance(now time.Duration, customer string, id uint64, shortage MicroPermits) Ask {
	l.pending = append(l.pending, pendingAsk{id: id, sent: now, wanted: shortage, rebalance: true})
	return Ask{Peer: l.peer.Address, ID: id, Customer: customer, Shortage: shortage, Settled: l.takeSettled()}
}

// recordRebalance updates the estimate from the answer to an ask to rebalance.
func (l *lender) recordRebalance(now time.Duration, loan Loan, s Settings) {
	l.spare = loan.Spare
	l.estimatedAt = now
	if loan.Amount > 0 {
		l.rebalanceBackoff = 0
		return
	}
	l.rebalanceBackoff = min(max(2*l.rebalanceBackoff, s.MinBackoff), s.MaxBackoff)
	l.rebalanceAfter = now + l.rebalanceBackoff
}
