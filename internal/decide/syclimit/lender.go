package syclimit

import (
	"slices"
	"time"
)

// Peer is another VM that accrues permits and may lend them.
type Peer struct {
	Address string
	// SameDomain is true if the peer is in this VM's failure domain.
	SameDomain bool
	// Fraction is the part of every customer's rate and burst that the peer
	// accrues.
	Fraction Fraction
}

const (
	// growthWindow is the longest time between two answers of a peer from which
	// its growth is estimated. After more, the peer's full rate is assumed.
	growthWindow = 2 * time.Second
	// minGrowthDivisor sets the smallest estimated growth: the peer's full rate
	// divided by it.
	minGrowthDivisor = 64
	// minAccrued is what a peer must have accrued since its last answer to be
	// asked again even if the estimate doesn't cover what is missing.
	minAccrued = Permit / 16
	// maxSettled bounds the ended loans that wait to be reported to one peer.
	// The lender frees any others when they expire.
	maxSettled = 64
	// maxPending bounds the asks to one peer for one customer that await an
	// answer.
	maxPending = 3
)

// pendingAsk is an Ask that has no answer yet.
type pendingAsk struct {
	id   uint64
	sent time.Duration
	// wanted is the Amount of the Ask, or its Shortage if it rebalances.
	wanted MicroPermits
	// rebalance is true for an ask that only rebalances permits, see
	// Machine.rebalance.
	rebalance bool
}

// lender is a peer that one customer may borrow from, with an estimate of what
// it can lend.
type lender struct {
	peer Peer
	// spare is what the peer could lend at estimatedAt.
	spare MicroPermits
	// estimatedAt is when the peer last answered or failed to answer. It is 0
	// before.
	estimatedAt time.Duration
	// growth is the estimated rate at which the peer gains permits that it
	// doesn't need itself, in micro-permits per second.
	growth MicroPermits
	// pending is ordered by time of sending.
	pending []pendingAsk
	// backoffUntil is when the peer may be asked again after it lent nothing or
	// failed, and backoff is the length of that wait.
	backoffUntil time.Duration
	backoff      time.Duration
	// rebalanceAfter is when the peer may be asked to rebalance again after it
	// had no surplus, and rebalanceBackoff is the length of that wait.
	rebalanceAfter   time.Duration
	rebalanceBackoff time.Duration
	// settled lists ended loans that haven't been reported to the peer.
	settled []Settled
	// settledAt is when the first loan was added to settled.
	settledAt time.Duration
}

// newLender returns a lender. It assumes that the peer has accrued its fraction
// and spent nothing.
func newLender(p Peer, l Limit, s Settings) *lender {
	return &lender{peer: p, spare: peerLendable(p, l, s), growth: p.Fraction.Of(l.rate)}
}

// peerLendable returns the most that a peer may have out on loan.
func peerLendable(p Peer, l Limit, s Settings) MicroPermits {
	return p.Fraction.Of(s.lendable(l.burst))
}

// estimate returns what the peer can probably lend at a time.
func (l *lender) estimate(at time.Duration, limit Limit, s Settings) MicroPermits {
	if at < l.backoffUntil {
		return 0
	}
	return min(l.spare+accrual(l.growth, at-l.estimatedAt), peerLendable(l.peer, limit, s))
}

// supply returns what the peer can probably lend between now and a later time.
func (l *lender) supply(now, at time.Duration, limit Limit, s Settings) MicroPermits {
	if now < l.backoffUntil {
		return accrual(l.growth, at-l.backoffUntil)
	}
	return l.estimate(now, limit, s) + accrual(l.growth, at-now)
}

// accrual returns what accrues at a rate per second over a time span of at most
// maxAccrual.
func accrual(rate MicroPermits, span time.Duration) MicroPermits {
	if span <= 0 {
		return 0
	}
	return MicroPermits(mulDiv(uint64(rate), uint64(min(span, maxAccrual)), uint64(time.Second)))
}

// expectedAnswer returns what the newest pending ask will probably bring, without
// those that only rebalance.
func (l *lender) expectedAnswer(now time.Duration, limit Limit, s Settings) MicroPermits {
	last, ok := l.lastAsk()
	if !ok {
		return 0
	}
	return min(l.estimate(now, limit, s), last.wanted)
}

// lastAsk returns the newest pending ask, without those that only rebalance.
func (l *lender) lastAsk() (pendingAsk, bool) {
	for _, a := range slices.Backward(l.pending) {
		if !a.rebalance {
			return a, true
		}
	}
	return pendingAsk{}, false
}

// canAsk reports whether the peer may be asked now. It may not during a
// backoff, with too many asks pending, or within AskInterval of a pending ask.
func (l *lender) canAsk(now time.Duration, s Settings) bool {
	if now < l.backoffUntil || len(l.pending) >= maxPending {
		return false
	}
	last, ok := l.lastAsk()
	return !ok || now-last.sent >= s.AskInterval
}

// worthAsking reports whether the peer probably has enough for another ask. It
// has if it accrued minAccrued since its last answer, at least half an
// AskInterval ago, or if the estimate covers what is missing. If much is
// missing, one permit or three quarters of what the peer may lend is enough,
// whichever is less, but at least a quarter.
func (l *lender) worthAsking(now time.Duration, missing MicroPermits, limit Limit, s Settings) bool {
	idle := now - l.estimatedAt
	if idle >= s.AskInterval/2 && accrual(l.peer.Fraction.Of(limit.rate), idle) >= minAccrued {
		return true
	}
	part := peerLendable(l.peer, limit, s)
	enough := max(part/4, min(part*3/4, Permit))
	return l.estimate(now, limit, s) >= max(min(missing, enough), 1)
}

// ask adds a pending ask for an amount and returns it.
func (l *lender) ask(now time.Duration, customer string, id uint64, amount MicroPermits) Ask {
	l.pending = append(l.pending, pendingAsk{id: id, sent: now, wanted: amount})
	return Ask{Peer: l.peer.Address, ID: id, Customer: customer, Amount: amount, Settled: l.takeSettled()}
}

// takeSettled returns the loans to report to the peer and clears them.
func (l *lender) takeSettled() []Settled {
	settled := l.settled
	l.settled = nil
	return settled
}

// endAsk removes a pending ask that was answered or failed.
func (l *lender) endAsk(id uint64) (pendingAsk, bool) {
	i := slices.IndexFunc(l.pending, func(a pendingAsk) bool { return a.id == id })
	if i < 0 {
		return pendingAsk{}, false
	}
	a := l.pending[i]
	l.pending = slices.Delete(l.pending, i, i+1)
	return a, true
}

// recordAnswer updates the estimate from the peer's answer.
func (l *lender) recordAnswer(now time.Duration, a pendingAsk, loan Loan, limit Limit, s Settings) {
	if a.rebalance {
		l.recordRebalance(now, loan, s)
		return
	}
	full := l.peer.Fraction.Of(limit.rate)
	l.growth = min(full, l.observedGrowth(a, loan, full))
	l.spare = loan.Spare
	l.estimatedAt = now
	if loan.Amount > 0 {
		l.backoff = 0
		return
	}
	l.backOff(now, s)
}

// observedGrowth returns the growth that an answer shows. It is the full rate
// unless the peer had less than was asked for soon after its last answer. Then
// the gain since that answer is averaged with the previous growth.
func (l *lender) observedGrowth(a pendingAsk, loan Loan, full MicroPermits) MicroPermits {
	span := a.sent - l.estimatedAt
	if loan.Amount >= a.wanted || loan.Spare > 0 || l.estimatedAt == 0 || span > growthWindow {
		return full
	}
	if span <= 0 {
		return l.growth
	}
	gain := MicroPermits(mulDiv(uint64(loan.Amount), uint64(time.Second), uint64(span)))
	return max((gain+3*l.growth)/4, full/minGrowthDivisor)
}

// recordFailure starts a backoff after an ask without an answer, unless the
// peer has answered another ask since.
func (l *lender) recordFailure(now time.Duration, a pendingAsk, s Settings) {
	if l.estimatedAt > a.sent {
		return
	}
	l.spare = 0
	l.estimatedAt = now
	l.backOff(now, s)
}

// backOff doubles the backoff within its bounds and starts it.
func (l *lender) backOff(now time.Duration, s Settings) {
	l.backoff = min(max(2*l.backoff, s.MinBackoff), s.MaxBackoff)
	l.backoffUntil = now + l.backoff
}

// addSettled stores an ended loan, to report it with the next ask.
func (l *lender) addSettled(now time.Duration, s Settled) {
	if len(l.settled) == 0 {
		l.settledAt = now
	}
	if len(l.settled) < maxSettled {
		l.settled = append(l.settled, s)
	}
}
