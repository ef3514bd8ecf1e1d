package syclimit

import "time"

// Peer is another VM that accrues tokens.
type Peer struct {
	Address string
	// Near is set for peers of the same failure domain.
	Near bool
	// Fraction is the part of every customer's tokens that the peer accrues.
	Fraction Fraction
}

// growthMemory is the time over which a peer's grants tell how fast it gains
// tokens that it does not need itself.
const growthMemory = 2 * time.Second

// maxSettled bounds the spent loans that wait to be reported to one peer.
const maxSettled = 64

// lender is what a customer's bucket knows of a peer that may lend to it.
type lender struct {
	peer Peer
	// left is the estimate of what the peer could lend at asOf.
	left Micro
	asOf time.Duration
	// growth is the estimated gain in micro-tokens a second.
	growth Micro
	// pending is the id of the request under way, 0 if none is.
	pending uint64
	sent    time.Duration
	wanted  Micro
	// dryUntil is when the peer is next worth asking.
	dryUntil time.Duration
	dry      time.Duration
	// settled lists spent loans that the peer has not been told of.
	settled []uint64
}

// newLender assumes that an unknown peer has accrued its fraction undisturbed.
func newLender(p Peer, l Limit, s Settings) *lender {
	return &lender{peer: p, left: lendable(p, l, s), growth: p.Fraction.Of(l.rate)}
}

func lendable(p Peer, l Limit, s Settings) Micro {
	return NewFraction(s.LendShare).Of(p.Fraction.Of(l.burst))
}

// estimate is what the peer can probably lend at a time.
func (l *lender) estimate(at time.Duration, limit Limit, s Settings) Micro {
	if at < l.dryUntil {
		return 0
	}
	gain := gained(l.growth, at-l.asOf)
	return min(l.left+gain, lendable(l.peer, limit, s))
}

// supply is what the peer can probably lend in the time from now to at.
func (l *lender) supply(now, at time.Duration, limit Limit, s Settings) Micro {
	start := max(now, l.dryUntil)
	if at <= start {
		return 0
	}
	if now < l.dryUntil {
		return gained(l.growth, at-start)
	}
	return l.estimate(now, limit, s) + gained(l.growth, at-now)
}

func gained(rate Micro, span time.Duration) Micro {
	if span <= 0 {
		return 0
	}
	return Micro(scale(uint64(rate), uint64(min(span, maxStep)), uint64(time.Second)))
}

// answered updates the estimate from a loan.
func (l *lender) answered(now time.Duration, loan Loan, limit Limit, s Settings) {
	span := l.sent - l.asOf
	l.pending = 0
	l.left = loan.Left
	full := l.peer.Fraction.Of(limit.rate)
	l.growth = min(full, l.observed(loan, span, full))
	l.asOf = now
	if loan.Amount > 0 {
		l.dry = 0
		return
	}
	l.backOff(now, s)
}

// observed is the gain that the peer's answers show.
func (l *lender) observed(loan Loan, span time.Duration, full Micro) Micro {
	if loan.Amount >= l.wanted || loan.Left > 0 || l.asOf == 0 || span > growthMemory {
		return full
	}
	if span <= 0 {
		return l.growth
	}
	gain := Micro(scale(uint64(loan.Amount), uint64(time.Second), uint64(span)))
	return max((gain+l.growth)/2, full/64)
}

// failed marks the peer as not worth asking for a while.
func (l *lender) failed(now time.Duration, s Settings) {
	l.pending = 0
	l.left = 0
	l.asOf = now
	l.backOff(now, s)
}

func (l *lender) backOff(now time.Duration, s Settings) {
	l.dry = min(max(2*l.dry, s.MinDry), s.MaxDry)
	l.dryUntil = now + l.dry
}

// spent notes a loan to report with the next request.
func (l *lender) spent(id uint64) {
	if len(l.settled) < maxSettled {
		l.settled = append(l.settled, id)
	}
}

// ask starts a request.
func (l *lender) ask(now time.Duration, customer string, id uint64, amount Micro) Ask {
	l.pending = id
	l.sent = now
	l.wanted = amount
	settled := l.settled
	l.settled = nil
	return Ask{Peer: l.peer.Address, ID: id, Customer: customer, Amount: amount, Settled: settled}
}
