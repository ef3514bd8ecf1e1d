package syclimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minRetry and maxRetry bound RetryAfter.
	minRetry = 10 * time.Millisecond
	maxRetry = time.Minute
	// minWake is the shortest wait between two services of a customer.
	minWake = time.Millisecond
)

// serve grants what can be granted, refuses what cannot be expected in time
// and asks peers for the rest.
func (m *Machine) serve(now time.Duration, c *customer) []Action {
	m.accrue(now, c)
	c.bucket.expire(now)
	actions := m.grant(now, c)
	c.settle(now, c.bucket.absorb(m.limit(now, c.bucket.limit)))
	if c.lenders == nil && m.missing(c) > 0 {
		c.setPeers(m.peers, m.settings)
	}
	actions = append(actions, m.refuse(now, c)...)
	actions = append(actions, m.ask(now, c)...)
	if len(c.waiting) == 0 {
		actions = append(actions, m.share(now, c)...)
	}
	m.giveBack(now, c)
	actions = append(actions, m.report(now, c)...)
	m.dropServed()
	return actions
}

func (m *Machine) grant(now time.Duration, c *customer) []Action {
	var actions []Action
	for len(c.waiting) > 0 && c.bucket.available() >= Permit && c.bucket.limit.burst > 0 {
		w := c.waiting[0]
		c.waiting = c.waiting[1:]
		if w.deadline < now {
			actions = append(actions, m.refusal(now, c, w, 0, TimedOut))
			continue
		}
		c.settle(now, c.bucket.spend())
		actions = append(actions, Grant{Customer: c.name, Request: w.request, Waited: now - w.arrived})
	}
	return actions
}

// refuse ends the requests that will not get a token by their deadline.
func (m *Machine) refuse(now time.Duration, c *customer) []Action {
	var actions []Action
	kept := c.waiting[:0]
	for _, w := range c.waiting {
		need := Permit * MicroPermits(len(kept)+1)
		switch {
		case w.deadline <= now:
			actions = append(actions, m.refusal(now, c, w, len(kept), TimedOut))
		case c.bucket.available()+m.expected(now, w.deadline, c) < need:
			actions = append(actions, m.refusal(now, c, w, len(kept), OverRate))
		default:
			kept = append(kept, w)
		}
	}
	c.waiting = kept
	return actions
}

func (m *Machine) refusal(now time.Duration, c *customer, w waiter, position int, cause Cause) Action {
	if c.bucket.limit.burst < Permit || c.bucket.limit.rate == 0 {
		cause = NoLimit
	} else if m.fraction == 0 && len(c.lenders) == 0 {
		cause = NoSlots
	}
	return Reject{Customer: c.name, Request: w.request, Cause: cause, RetryAfter: m.retryAfter(now, c, position)}
}

// expected is what this VM will probably gain between now and a later time.
func (m *Machine) expected(now, at time.Duration, c *customer) MicroPermits {
	sum := gained(m.fraction.Of(c.bucket.limit.rate), at-now)
	for _, l := range c.lenders {
		sum += l.supply(now, at, c.bucket.limit, m.settings)
	}
	return sum
}

// retryAfter is when a token is expected for a request that has a number of
// others before it.
func (m *Machine) retryAfter(now time.Duration, c *customer, before int) time.Duration {
	need := Permit*MicroPermits(before+1) - c.bucket.available()
	step := m.settings.MaxWait
	for wait := step; wait < maxRetry; wait += step {
		have := m.expected(now, now+wait, c)
		if have >= need {
			part := scale(uint64(wait), uint64(max(need, 0)), uint64(have))
			return max(time.Duration(part), minRetry)
		}
		step = min(2*step, 8*time.Second)
	}
	return maxRetry
}

// ask requests loans from the peers that probably have most, the near ones
// first, until what is missing is covered.
func (m *Machine) ask(now time.Duration, c *customer) []Action {
	missing := m.missing(c)
	if missing <= 0 {
		return nil
	}
	width := m.settings.MaxAsks
	for _, l := range c.lenders {
		missing -= l.expected(now, c.bucket.limit, m.settings)
		width -= len(l.pending)
	}
	var actions []Action
	ranked := m.ranked(now, c)
	for i, l := range ranked {
		if missing <= 0 || width <= 0 || !m.mayAsk(now) {
			break
		}
		if !l.worthwhile(now, missing, c.bucket.limit, m.settings) {
			continue
		}
		estimate := l.estimate(now, c.bucket.limit, m.settings)
		m.asks -= Permit
		m.lastID++
		part := m.part(c, l, missing, min(len(ranked)-i, width))
		actions = append(actions, l.ask(now, c.name, m.lastID, part))
		missing -= min(estimate, part)
		width--
	}
	return actions
}

// part is what to ask of one of several lenders: all that is missing, or, where
// one cannot lend a token, an even part and half as much again, so that some are
// not emptied while others reach their caps.
func (m *Machine) part(c *customer, l *lender, missing MicroPermits, lenders int) MicroPermits {
	if lendable(l.peer, c.bucket.limit, m.settings) >= Permit {
		return missing
	}
	return min(missing, missing*3/2/MicroPermits(lenders)+1)
}

// mayAsk reports whether the budget allows another request for a loan.
func (m *Machine) mayAsk(now time.Duration) bool {
	rate := toMicro(m.settings.AskRate)
	m.asks = min(m.asks+gained(rate, now-m.asksAt), max(rate/4, Permit))
	m.asksAt = now
	return m.asks >= Permit
}

// missing is what the waiting requests, and those that will probably come in
// the next interval, lack. Without waiting ones it is 0 while half is there.
func (m *Machine) missing(c *customer) MicroPermits {
	ahead := m.ahead(c)
	if len(c.waiting) == 0 && c.bucket.available() > ahead/2 {
		return 0
	}
	return Permit*MicroPermits(len(c.waiting)) + ahead - c.bucket.available()
}

// ahead is what requests will probably need in the next interval beyond what
// accrues here.
func (m *Machine) ahead(c *customer) MicroPermits {
	own := m.fraction.Of(c.bucket.limit.rate)
	return max(c.demand(m.settings.AskInterval)-gained(own, m.settings.AskInterval), 0)
}

// ranked returns the lenders that may be asked, best first.
func (m *Machine) ranked(now time.Duration, c *customer) []*lender {
	var list []*lender
	for _, l := range c.lenders {
		if l.askable(now, m.settings) {
			list = append(list, l)
		}
	}
	slices.SortStableFunc(list, func(a, b *lender) int {
		if a.peer.SameDomain != b.peer.SameDomain {
			return near(b) - near(a)
		}
		return cmp.Compare(b.estimate(now, c.bucket.limit, m.settings), a.estimate(now, c.bucket.limit, m.settings))
	})
	return list
}

func near(l *lender) int {
	if l.peer.SameDomain {
		return 1
	}
	return 0
}

// Next returns when Tick should run; false if nothing waits.
func (m *Machine) Next(now time.Duration) (time.Duration, bool) {
	if len(m.short) == 0 {
		return 0, false
	}
	next := now + m.settings.MaxWait
	for _, c := range m.short {
		next = min(next, m.wake(now, c))
	}
	return max(next, now+minWake), true
}

// wake is when a customer's service may have something new to do.
func (m *Machine) wake(now time.Duration, c *customer) time.Duration {
	next := now + m.settings.AskInterval/4
	if len(c.waiting) == 0 {
		return now + min(m.settings.ReturnAfter, m.settings.ReportAfter)
	}
	for _, w := range c.waiting {
		next = min(next, w.deadline)
	}
	speed := m.fraction.Of(c.bucket.limit.rate)
	if missing := Permit - c.bucket.available(); missing > 0 && speed > 0 {
		next = min(next, now+time.Duration(scale(uint64(missing), uint64(time.Second), uint64(speed))))
	}
	return next
}

// attend puts a customer among those that Tick serves.
func (m *Machine) attend(c *customer) {
	if !slices.Contains(m.short, c) {
		m.short = append(m.short, c)
	}
}

// dropServed removes the customers that Tick need not serve.
func (m *Machine) dropServed() {
	m.short = slices.DeleteFunc(m.short, func(c *customer) bool {
		return len(c.waiting) == 0 && len(c.bucket.held) == 0 && !c.unreported()
	})
}
