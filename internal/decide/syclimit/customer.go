package syclimit

import (
	"slices"
	"time"
)

// waiter is a request that waits for a token.
type waiter struct {
	request  uint64
	arrived  time.Duration
	deadline time.Duration
}

// customer is one customer's state on this VM.
type customer struct {
	name   string
	bucket bucket
	// waiting is in order of arrival.
	waiting []waiter
	// lenders is nil until the customer first runs short here.
	lenders []*lender
	used    time.Duration
	// arrivals is the smoothed rate of requests, in micro-tokens a second.
	arrivals    MicroPermits
	lastArrival time.Duration
}

// arrivalMemory is the time constant of the smoothed rate of requests.
const arrivalMemory = time.Second

// noteArrival updates the smoothed rate of requests.
func (c *customer) noteArrival(now time.Duration) {
	gap := now - c.lastArrival
	c.lastArrival = now
	c.used = now
	decay := max(arrivalMemory-gap, 0)
	c.arrivals = gained(c.arrivals, decay) + MicroPermits(scale(uint64(Permit), uint64(time.Second), uint64(arrivalMemory)))
}

// demand is the number of tokens that requests will probably need in a span.
func (c *customer) demand(span time.Duration) MicroPermits { return gained(c.arrivals, span) }

// settle notes loans that are over, with what is left of them, for their lenders.
func (c *customer) settle(now time.Duration, over []heldLoan) {
	for _, l := range over {
		if from := c.lender(l.lender); from != nil {
			from.settle(now, Settled{ID: l.id, Returned: l.amount})
		}
	}
}

// unreported reports whether a lender has not been told of a loan that is over.
func (c *customer) unreported() bool {
	return slices.ContainsFunc(c.lenders, func(l *lender) bool { return len(l.settled) > 0 })
}

func (c *customer) lender(address string) *lender {
	i := slices.IndexFunc(c.lenders, func(l *lender) bool { return l.peer.Address == address })
	if i < 0 {
		return nil
	}
	return c.lenders[i]
}

// setPeers replaces the lenders and keeps what is known of those that stay.
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

// idle reports whether dropping the state loses nothing but own tokens, which
// accrue again from the same start.
func (c *customer) idle(now time.Duration, s Settings, limit MicroPermits) bool {
	if len(c.waiting) > 0 || c.bucket.lent > 0 || len(c.bucket.held) > 0 {
		return false
	}
	return c.bucket.own >= limit && now-c.used > s.IdleTimeout
}
