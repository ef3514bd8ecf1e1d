package syclimit

import "time"

const (
	// leastShortage is the shortage, as a part of the cap, for which a peer is
	// asked to share what it has.
	leastShortage = 4
	// leastSurplus is the smallest part of its cap that a VM lends for a shortage.
	leastSurplus = 6
	// leastCap is the smallest cap for which tokens are shared before they are needed.
	leastCap = Permit / 8
)

// share asks a peer that probably has more for a part of it, so that tokens do
// not reach the cap of one VM while another is short.
func (m *Machine) share(now time.Duration, c *customer) []Action {
	whole := m.fraction.Of(c.bucket.limit.burst)
	shortage := whole - c.bucket.lent - c.bucket.available()
	if whole < leastCap || shortage < whole/leastShortage || now < m.quiet {
		return nil
	}
	if c.lenders == nil {
		c.setPeers(m.peers, m.settings)
	}
	l := m.fullest(now, c)
	if l == nil || !m.mayAsk(now) {
		return nil
	}
	m.asks -= Permit
	m.lastID++
	return []Action{l.share(now, c.name, m.lastID, shortage)}
}

// fullest returns the lender that probably has most; nil while one is asked, or
// if none is worth asking.
func (m *Machine) fullest(now time.Duration, c *customer) *lender {
	var best *lender
	most := MicroPermits(-1)
	for _, l := range c.lenders {
		if len(l.pending) > 0 {
			return nil
		}
		if now < l.level || now < l.dryUntil {
			continue
		}
		if has := l.estimate(now, c.bucket.limit, m.settings); has > most {
			best, most = l, has
		}
	}
	return best
}

// surplus is the part of what is free that leaves this VM as short of its cap as
// a borrower with a like cap.
func (m *Machine) surplus(c *customer, free, shortage MicroPermits) MicroPermits {
	whole := m.fraction.Of(c.bucket.limit.burst)
	more := min((c.bucket.own+shortage-whole)/2, shortage, free)
	if more < whole/leastSurplus {
		return 0
	}
	return more
}

// share starts a request for a part of what the peer has more.
func (l *lender) share(now time.Duration, customer string, id uint64, shortage MicroPermits) Ask {
	l.pending = append(l.pending, request{id: id, sent: now, wanted: shortage, share: true})
	return Ask{Peer: l.peer.Address, ID: id, Customer: customer, Shortage: shortage, Settled: l.report()}
}

// shared updates the estimate from the answer to a request to share.
func (l *lender) shared(now time.Duration, loan Loan, s Settings) {
	l.left = loan.Spare
	l.asOf = now
	if loan.Amount > 0 {
		l.levelFor = 0
		return
	}
	l.levelFor = min(max(2*l.levelFor, s.MinBackoff), s.MaxBackoff)
	l.level = now + l.levelFor
}
