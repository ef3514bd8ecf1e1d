package syclimit

import (
	"slices"
	"time"
)

// waiter is a request that waits for a permit.
type waiter struct {
	// request is the ID that was passed to Admit.
	request uint64
	arrived time.Duration
	// deadline is when the request is rejected if it still waits.
	deadline time.Duration
}

// customer is the state of one customer on this VM.
type customer struct {
	name   string
	bucket bucket
	// waiting is ordered by arrival.
	waiting []waiter
	// lenders is nil until the customer first runs short of permits on this VM.
	lenders []*lender
	// lastUsed is when the last request arrived, or when the state was created.
	lastUsed time.Duration
	// arrivalRate is the smoothed rate of requests, in micro-permits per
	// second.
	arrivalRate MicroPermits
	lastArrival time.Duration
}

// arrivalTimeConstant is the time over which arrivalRate is smoothed.
const arrivalTimeConstant = time.Second

// recordArrival updates the smoothed rate of requests.
func (c *customer) recordArrival(now time.Duration) {
	gap := now - c.lastArrival
	c.lastArrival = now
	c.lastUsed = now
	decay := max(arrivalTimeConstant-gap, 0)
	c.arrivalRate = accrual(c.arrivalRate, decay) + MicroPermits(mulDiv(uint64(Permit), uint64(time.Second), uint64(arrivalTimeConstant)))
}

// demand returns the permits that requests will probably need in a time span.
func (c *customer) demand(span time.Duration) MicroPermits { return accrual(c.arrivalRate, span) }

// settleLoans records borrowed loans that have ended, to report them to their
// lenders.
func (c *customer) settleLoans(now time.Duration, ended []borrowedLoan) {
	for _, l := range ended {
		if from := c.lender(l.lender); from != nil {
			from.addSettled(now, Settled{ID: l.id, Returned: l.amount})
		}
	}
}

// hasUnreported reports whether the end of a loan hasn't been reported to its lender
// yet.
func (c *customer) hasUnreported() bool {
	return slices.ContainsFunc(c.lenders, func(l *lender) bool { return len(l.settled) > 0 })
}

func (c *customer) lender(address string) *lender {
	i := slices.IndexFunc(c.lenders, func(l *lender) bool { return l.peer.Address == address })
	if i < 0 {
		return nil
	}
	return c.lenders[i]
}

// setPeers replaces the lenders. Peers that stay keep their estimates.
func (c *customer) setPeers(peers []Peer, s Settings) {
	lenders := make([]*lender, 0, len(peers))
	for _, p := range peers {
		l := c.lender(p.Address)
		if l == nil {
			l = newLender(p, c.bucket.limit, s)
		}
		l.peer = p
		lenders = append(lenders, l)
	}
	c.lenders = lenders
}

// idle reports whether the state can be dropped. That loses only a full set of
// own permits, which a new state starts with again.
func (c *customer) idle(now time.Duration, s Settings, capacity MicroPermits) bool {
	if len(c.waiting) > 0 || c.bucket.lent > 0 || len(c.bucket.borrowed) > 0 {
		return false
	}
	return c.bucket.own >= capacity && now-c.lastUsed > s.IdleTimeout
}
