package syclimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minRetry and maxRetry bound Reject.RetryAfter.
	minRetry = 10 * time.Millisecond
	maxRetry = time.Minute
	// maxRetryStep bounds the steps, doubling from MaxWait, in which retryAfter
	// searches for the time.
	maxRetryStep = 8 * time.Second
	// minTickWait is the shortest time that Next lets pass until the next Tick.
	minTickWait = time.Millisecond
)

// serve brings a customer up to date. It grants waiting requests their permits,
// rejects those that can't get one in time, asks peers for what is missing, and
// returns and reports loans.
func (m *Machine) serve(now time.Duration, c *customer) []Action {
	m.accrue(now, c)
	c.bucket.expireBorrowed(now)
	actions := m.grant(now, c)
	c.settleLoans(now, c.bucket.convertBorrowed(m.capacity(now, c.bucket.limit)))
	if c.lenders == nil && m.shortfall(c) > 0 {
		c.setPeers(m.peers, m.settings)
	}
	actions = append(actions, m.rejectHopeless(now, c)...)
	actions = append(actions, m.ask(now, c)...)
	if len(c.waiting) == 0 {
		actions = append(actions, m.rebalance(now, c)...)
	}
	m.returnLoans(now, c)
	actions = append(actions, m.reportSettled(now, c)...)
	m.dropInactive()
	return actions
}

// grant admits waiting requests in order of arrival while a permit is
// available.
func (m *Machine) grant(now time.Duration, c *customer) []Action {
	var actions []Action
	for len(c.waiting) > 0 && c.bucket.available() >= Permit && c.bucket.limit.burst > 0 {
		w := c.waiting[0]
		c.waiting = c.waiting[1:]
		if w.deadline < now {
			actions = append(actions, m.rejection(now, c, w, 0, TimedOut))
			continue
		}
		c.settleLoans(now, c.bucket.spend())
		actions = append(actions, Grant{Customer: c.name, Request: w.request, Waited: now - w.arrived})
	}
	return actions
}

// rejectHopeless rejects waiting requests that probably won't get a permit by
// their deadline.
func (m *Machine) rejectHopeless(now time.Duration, c *customer) []Action {
	var actions []Action
	kept := c.waiting[:0]
	for _, w := range c.waiting {
		need := Permit * MicroPermits(len(kept)+1)
		switch {
		case w.deadline <= now:
			actions = append(actions, m.rejection(now, c, w, len(kept), TimedOut))
		case c.bucket.available()+m.expectedGain(now, w.deadline, c) < need:
			actions = append(actions, m.rejection(now, c, w, len(kept), OverRate))
		default:
			kept = append(kept, w)
		}
	}
	c.waiting = kept
	return actions
}

// rejection returns the rejection of a request that has a number of requests
// before it.
func (m *Machine) rejection(now time.Duration, c *customer, w waiter, position int, cause Cause) Action {
	if c.bucket.limit.burst < Permit || c.bucket.limit.rate == 0 {
		cause = NoLimit
	} else if m.fraction == 0 && len(c.lenders) == 0 {
		cause = NoSlots
	}
	return Reject{Customer: c.name, Request: w.request, Cause: cause, RetryAfter: m.retryAfter(now, c, position)}
}

// expectedGain returns what this VM will probably accrue or borrow between now
// and a later time.
func (m *Machine) expectedGain(now, at time.Duration, c *customer) MicroPermits {
	sum := accrual(m.fraction.Of(c.bucket.limit.rate), at-now)
	for _, l := range c.lenders {
		sum += l.supply(now, at, c.bucket.limit, m.settings)
	}
	return sum
}

// retryAfter returns the time until a permit is expected for a request that has
// a number of requests before it.
func (m *Machine) retryAfter(now time.Duration, c *customer, before int) time.Duration {
	need := Permit*MicroPermits(before+1) - c.bucket.available()
	step := m.settings.MaxWait
	for wait := step; wait < maxRetry; wait += step {
		have := m.expectedGain(now, now+wait, c)
		if have >= need {
			part := mulDiv(uint64(wait), uint64(max(need, 0)), uint64(have))
			return max(time.Duration(part), minRetry)
		}
		step = min(2*step, maxRetryStep)
	}
	return maxRetry
}

// ask requests loans until the shortfall is covered. It asks peers of the same
// failure domain first, then those that probably have most.
func (m *Machine) ask(now time.Duration, c *customer) []Action {
	missing := m.shortfall(c)
	if missing <= 0 {
		return nil
	}
	asksLeft := m.settings.MaxAsks
	for _, l := range c.lenders {
		missing -= l.expectedAnswer(now, c.bucket.limit, m.settings)
		asksLeft -= len(l.pending)
	}
	var actions []Action
	ranked := m.rankLenders(now, c)
	for i, l := range ranked {
		if missing <= 0 || asksLeft <= 0 || !m.mayAsk(now) {
			break
		}
		if !l.worthAsking(now, missing, c.bucket.limit, m.settings) {
			continue
		}
		estimate := l.estimate(now, c.bucket.limit, m.settings)
		m.askBudget -= Permit
		m.lastID++
		amount := m.askAmount(c, l, missing, min(len(ranked)-i, asksLeft))
		actions = append(actions, l.ask(now, c.name, m.lastID, amount))
		missing -= min(estimate, amount)
		asksLeft--
	}
	return actions
}

// askAmount returns the amount to request from one of several lenders. It is
// the whole shortfall if the lender may lend a full permit. If not, it is an
// even part and half as much again, so that some lenders aren't emptied while
// others reach their capacity.
func (m *Machine) askAmount(c *customer, l *lender, missing MicroPermits, lenders int) MicroPermits {
	if peerLendable(l.peer, c.bucket.limit, m.settings) >= Permit {
		return missing
	}
	return min(missing, missing*3/2/MicroPermits(lenders)+1)
}

// mayAsk refills the ask budget, which holds at most a quarter second's worth,
// and reports whether it allows another ask.
func (m *Machine) mayAsk(now time.Duration) bool {
	rate := toMicroPermits(m.settings.AskRate)
	m.askBudget = min(m.askBudget+accrual(rate, now-m.askBudgetAt), max(rate/4, Permit))
	m.askBudgetAt = now
	return m.askBudget >= Permit
}

// shortfall returns the permits that waiting requests and those expected in the
// next AskInterval lack. Without waiting requests it is 0 while more than half
// of the expected need is available.
func (m *Machine) shortfall(c *customer) MicroPermits {
	demand := m.expectedDemand(c)
	if len(c.waiting) == 0 && c.bucket.available() > demand/2 {
		return 0
	}
	return Permit*MicroPermits(len(c.waiting)) + demand - c.bucket.available()
}

// expectedDemand returns what requests in the next AskInterval will probably
// need beyond what accrues on this VM.
func (m *Machine) expectedDemand(c *customer) MicroPermits {
	own := m.fraction.Of(c.bucket.limit.rate)
	return max(c.demand(m.settings.AskInterval)-accrual(own, m.settings.AskInterval), 0)
}

// rankLenders returns the lenders that may be asked: peers of the same failure
// domain first, and within each group those that probably have most.
func (m *Machine) rankLenders(now time.Duration, c *customer) []*lender {
	var list []*lender
	for _, l := range c.lenders {
		if l.canAsk(now, m.settings) {
			list = append(list, l)
		}
	}
	slices.SortStableFunc(list, func(a, b *lender) int {
		if a.peer.SameDomain != b.peer.SameDomain {
			return domainRank(b) - domainRank(a)
		}
		return cmp.Compare(b.estimate(now, c.bucket.limit, m.settings), a.estimate(now, c.bucket.limit, m.settings))
	})
	return list
}

// domainRank returns 1 for a peer of the same failure domain, else 0.
func domainRank(l *lender) int {
	if l.peer.SameDomain {
		return 1
	}
	return 0
}

// Next returns when Tick should run next. It returns false if no customer is
// active.
func (m *Machine) Next(now time.Duration) (time.Duration, bool) {
	if len(m.active) == 0 {
		return 0, false
	}
	next := now + m.settings.MaxWait
	for _, c := range m.active {
		next = min(next, m.nextServe(now, c))
	}
	return max(next, now+minTickWait), true
}

// nextServe returns the earliest time at which serving a customer may have an
// effect.
func (m *Machine) nextServe(now time.Duration, c *customer) time.Duration {
	next := now + m.settings.AskInterval/4
	if len(c.waiting) == 0 {
		return now + min(m.settings.ReturnAfter, m.settings.ReportAfter)
	}
	for _, w := range c.waiting {
		next = min(next, w.deadline)
	}
	speed := m.fraction.Of(c.bucket.limit.rate)
	if missing := Permit - c.bucket.available(); missing > 0 && speed > 0 {
		next = min(next, now+time.Duration(mulDiv(uint64(missing), uint64(time.Second), uint64(speed))))
	}
	return next
}

// activate adds a customer to those that Tick serves.
func (m *Machine) activate(c *customer) {
	if !slices.Contains(m.active, c) {
		m.active = append(m.active, c)
	}
}

// dropInactive removes the customers that Tick need not serve.
func (m *Machine) dropInactive() {
	m.active = slices.DeleteFunc(m.active, func(c *customer) bool {
		return len(c.waiting) == 0 && len(c.bucket.borrowed) == 0 && !c.hasUnreported()
	})
}
