package syclimit

import (
	"slices"
	"time"
)

// Peer is another VM that accrues tokens.
type Peer struct {
	Address string
	// SameDomain is set for peers of the same failure domain.
	SameDomain bool
	// Fraction is the part of every customer's tokens that the peer accrues.
	Fraction Fraction
}

const (
	// growthMemory is the time over which a peer's answers tell how fast it
	// gains tokens that it does not need itself.
	growthMemory = 2 * time.Second
	// leastGrowth is the smallest estimate, as a part of the peer's full rate.
	leastGrowth = 64
	// leastAccrued is the accrual for which a peer is asked again.
	leastAccrued = Permit / 16
	// maxSettled bounds the loans that wait to be reported to one peer.
	maxSettled = 64
	// maxPending bounds the requests to one peer for one customer.
	maxPending = 3
)

// request is a request for a loan that has no answer yet.
type request struct {
	id     uint64
	sent   time.Duration
	wanted MicroPermits
	// share is set when no request waited for the loan.
	share bool
}

// lender is what a customer's bucket knows of a peer that may lend to it.
type lender struct {
	peer Peer
	// left is the estimate of what the peer could lend at asOf.
	left MicroPermits
	asOf time.Duration
	// growth is the estimated gain in micro-tokens a second.
	growth MicroPermits
	// pending is in order of sending.
	pending []request
	// dryUntil is when the peer is next worth asking.
	dryUntil time.Duration
	dry      time.Duration
	// level is when the peer may next have more than this VM, levelFor the wait
	// after it had not.
	level    time.Duration
	levelFor time.Duration
	// settled lists loans that are no longer held and that the peer has not been
	// told of.
	settled []Settled
	// settledAt is when the first of settled was noted.
	settledAt time.Duration
}

// newLender assumes that an unknown peer has accrued its fraction undisturbed.
func newLender(p Peer, l Limit, s Settings) *lender {
	return &lender{peer: p, left: lendable(p, l, s), growth: p.Fraction.Of(l.rate)}
}

func lendable(p Peer, l Limit, s Settings) MicroPermits {
	return p.Fraction.Of(s.lendable(l.burst))
}

// estimate is what the peer can probably lend at a time.
func (l *lender) estimate(at time.Duration, limit Limit, s Settings) MicroPermits {
	if at < l.dryUntil {
		return 0
	}
	return min(l.left+gained(l.growth, at-l.asOf), lendable(l.peer, limit, s))
}

// supply is what the peer can probably lend in the time from now to at.
func (l *lender) supply(now, at time.Duration, limit Limit, s Settings) MicroPermits {
	if now < l.dryUntil {
		return gained(l.growth, at-l.dryUntil)
	}
	return l.estimate(now, limit, s) + gained(l.growth, at-now)
}

func gained(rate MicroPermits, span time.Duration) MicroPermits {
	if span <= 0 {
		return 0
	}
	return MicroPermits(scale(uint64(rate), uint64(min(span, maxStep)), uint64(time.Second)))
}

// expected is what the requests under way will probably bring.
func (l *lender) expected(now time.Duration, limit Limit, s Settings) MicroPermits {
	last, ok := l.lastNeeded()
	if !ok {
		return 0
	}
	return min(l.estimate(now, limit, s), last.wanted)
}

// lastNeeded is the newest request under way that was not made to share.
func (l *lender) lastNeeded() (request, bool) {
	for _, r := range slices.Backward(l.pending) {
		if !r.share {
			return r, true
		}
	}
	return request{}, false
}

// askable reports whether the peer may be asked now: it is not, while an
// answer may still be expected soon.
func (l *lender) askable(now time.Duration, s Settings) bool {
	if now < l.dryUntil || len(l.pending) >= maxPending {
		return false
	}
	last, ok := l.lastNeeded()
	return !ok || now-last.sent >= s.AskInterval
}

// worthwhile reports whether the peer probably has enough for another request:
// what is missing, a part of what it can lend, or what it accrues in half an ask
// interval if that matters.
func (l *lender) worthwhile(now time.Duration, missing MicroPermits, limit Limit, s Settings) bool {
	idle := now - l.asOf
	if idle >= s.AskInterval/2 && gained(l.peer.Fraction.Of(limit.rate), idle) >= leastAccrued {
		return true
	}
	part := lendable(l.peer, limit, s)
	enough := max(part/4, min(part*3/4, Permit))
	return l.estimate(now, limit, s) >= max(min(missing, enough), 1)
}

// ask starts a request.
func (l *lender) ask(now time.Duration, customer string, id uint64, amount MicroPermits) Ask {
	l.pending = append(l.pending, request{id: id, sent: now, wanted: amount})
	return Ask{Peer: l.peer.Address, ID: id, Customer: customer, Amount: amount, Settled: l.report()}
}

// report takes the loans to report out.
func (l *lender) report() []Settled {
	settled := l.settled
	l.settled = nil
	return settled
}

// end removes a request that was answered or failed.
func (l *lender) end(id uint64) (request, bool) {
	i := slices.IndexFunc(l.pending, func(r request) bool { return r.id == id })
	if i < 0 {
		return request{}, false
	}
	r := l.pending[i]
	l.pending = slices.Delete(l.pending, i, i+1)
	return r, true
}

// answered updates the estimate from a loan.
func (l *lender) answered(now time.Duration, r request, loan Loan, limit Limit, s Settings) {
	if r.share {
		l.shared(now, loan, s)
		return
	}
	full := l.peer.Fraction.Of(limit.rate)
	l.growth = min(full, l.observed(r, loan, full))
	l.left = loan.Spare
	l.asOf = now
	if loan.Amount > 0 {
		l.dry = 0
		return
	}
	l.backOff(now, s)
}

// observed is the gain that the peer's answers show.
func (l *lender) observed(r request, loan Loan, full MicroPermits) MicroPermits {
	span := r.sent - l.asOf
	if loan.Amount >= r.wanted || loan.Spare > 0 || l.asOf == 0 || span > growthMemory {
		return full
	}
	if span <= 0 {
		return l.growth
	}
	gain := MicroPermits(scale(uint64(loan.Amount), uint64(time.Second), uint64(span)))
	return max((gain+3*l.growth)/4, full/leastGrowth)
}

// failed marks the peer as not worth asking for a while, unless it has answered
// since.
func (l *lender) failed(now time.Duration, r request, s Settings) {
	if l.asOf > r.sent {
		return
	}
	l.left = 0
	l.asOf = now
	l.backOff(now, s)
}

func (l *lender) backOff(now time.Duration, s Settings) {
	l.dry = min(max(2*l.dry, s.MinBackoff), s.MaxBackoff)
	l.dryUntil = now + l.dry
}

// settle notes a loan to report with the next request.
func (l *lender) settle(now time.Duration, s Settled) {
	if len(l.settled) == 0 {
		l.settledAt = now
	}
	if len(l.settled) < maxSettled {
		l.settled = append(l.settled, s)
	}
}
