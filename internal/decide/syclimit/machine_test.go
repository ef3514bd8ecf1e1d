package syclimit_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
)

const (
	// lendDivisor is the inverse of the default of Settings.LendFraction.
	lendDivisor = 2
	burst       = 32 * syclimit.Permit
)

// loanRequest returns the request of one borrower for a loan.
func loanRequest(id uint64, amount syclimit.MicroPermits) syclimit.LoanRequest {
	return syclimit.LoanRequest{Borrower: "b", Incarnation: "1", ID: id, Customer: customer, Amount: amount}
}

// A VM that gains a fraction must leave room for the loans of the VM that lost it.
// If not, both together could spend more than the burst.
func TestGainLeavesRoomForLoans(t *testing.T) {
	cases := []struct {
		name  string
		burst float64
		lent  syclimit.MicroPermits
	}{
		{name: "half may be lent", burst: 32, lent: 16 * syclimit.Permit},
		{name: "full loan burst is above half", burst: 10, lent: 8 * syclimit.Permit},
		{name: "all may be lent", burst: 8, lent: 8 * syclimit.Permit},
		{name: "one permit", burst: 1, lent: syclimit.Permit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			limit := syclimit.NewLimit(1000, c.burst, 0)
			total := limit.Burst()
			from := syclimit.New(syclimit.Settings{}, 0, 1)
			to := syclimit.New(syclimit.Settings{}, 0, 1)
			from.SetFraction(0, syclimit.FullFraction)
			now := 10 * time.Second
			loan := from.Lend(now, loanRequest(1, total), limit)
			must.Eq(t, c.lent, loan.Amount)
			from.SetFraction(now, 0)
			to.SetFraction(now, syclimit.FullFraction)
			to.Lend(now, loanRequest(2, 0), limit)
			now += loan.Valid
			own, _, _ := to.Permits(now-1, customer)
			must.LessEq(t, total, own+loan.Amount)
			must.Zero(t, to.Lend(now-1, loanRequest(3, total), limit).Amount)
			own, _, _ = to.Permits(now+time.Second, customer)
			must.Eq(t, total, own)
		})
	}
}

// A VM that gains a small fraction must keep its own permits and leave room for the
// loans of the fraction's earlier owner.
func TestGainKeepsOwnPermits(t *testing.T) {
	limit := syclimit.NewLimit(0.01, 8, 0)
	m := syclimit.New(syclimit.Settings{}, 0, 1)
	m.SetFraction(0, syclimit.FullFraction/2)
	now := 10 * time.Hour
	m.Lend(now, loanRequest(1, 0), limit)
	m.SetFraction(now, syclimit.FullFraction*5/8)
	own, _, _ := m.Permits(now, customer)
	must.LessEq(t, own, 4*syclimit.Permit-100)
	m.SetFraction(now, syclimit.FullFraction*6/8)
	own, _, _ = m.Permits(now+300*time.Millisecond, customer)
	must.LessEq(t, 4*syclimit.Permit, own) // room is left for both gained fractions
}

// A loan must be debited once, also if the request is repeated, and the lender must
// fill up again after the loan is settled or has expired.
func TestLoansAreDebitedOnceAndReleased(t *testing.T) {
	limit := syclimit.NewLimit(1000, 32, 0)
	cases := []struct {
		name string
		then func(m *syclimit.Machine, now time.Duration) time.Duration
		lent syclimit.MicroPermits
		own  syclimit.MicroPermits
	}{
		{name: "held", lent: burst / lendDivisor, own: burst / lendDivisor, then: func(_ *syclimit.Machine, now time.Duration) time.Duration {
			return now + 300*time.Millisecond
		}},
		{name: "requested again", lent: burst / lendDivisor, own: burst / lendDivisor, then: func(m *syclimit.Machine, now time.Duration) time.Duration {
			m.Lend(now, loanRequest(1, burst), limit)
			return now
		}},
		{name: "spent", own: burst, then: func(m *syclimit.Machine, now time.Duration) time.Duration {
			r := loanRequest(2, 0)
			r.Settled = []syclimit.Settled{{ID: 1}}
			m.Lend(now, r, limit)
			return now + 300*time.Millisecond
		}},
		{name: "returned", own: burst, then: func(m *syclimit.Machine, now time.Duration) time.Duration {
			r := loanRequest(2, 0)
			r.Settled = []syclimit.Settled{{ID: 1, Returned: burst / lendDivisor}, {ID: 1, Returned: burst / lendDivisor}}
			m.Lend(now, r, limit)
			return now
		}},
		{name: "expired", own: burst, then: func(_ *syclimit.Machine, now time.Duration) time.Duration {
			return now + 10*time.Second
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := syclimit.New(syclimit.Settings{}, 0, 1)
			m.SetFraction(0, syclimit.FullFraction)
			now := 10 * time.Second
			must.Eq(t, burst/lendDivisor, m.Lend(now, loanRequest(1, burst), limit).Amount)
			own, _, lent := m.Permits(c.then(m, now), customer)
			must.Eq(t, c.lent, lent)
			must.Eq(t, c.own, own)
		})
	}
}

// asks returns the Ask actions of a list.
func asks(actions []syclimit.Action) []syclimit.Ask {
	var list []syclimit.Ask
	for _, a := range actions {
		if ask, ok := a.(syclimit.Ask); ok {
			list = append(list, ask)
		}
	}
	return list
}

// machineWithPeer returns a machine that accrues half of everything, with a peer that
// accrues the other half.
func machineWithPeer() *syclimit.Machine {
	m := syclimit.New(syclimit.Settings{}, 0, 1)
	m.SetFraction(0, syclimit.FullFraction/2)
	m.SetPeers(0, []syclimit.Peer{{Address: "peer", Fraction: syclimit.FullFraction / 2}})
	return m
}

// The unspent rest of a loan must become the borrower's own permits instead of
// expiring, and the loan must be reported as ended so that the lender fills up again.
func TestUnspentLoanIsConvertedAndReported(t *testing.T) {
	limit := syclimit.NewLimit(0.001, 8, 0)
	m := machineWithPeer()
	now := time.Minute
	ask := asks(m.Admit(now, 1, customer, limit, time.Hour))
	must.Len(t, 1, ask)
	reports := asks(m.Answer(now, "peer", customer, ask[0].ID, syclimit.Loan{Amount: 3 * syclimit.Permit / 2, Valid: 400 * time.Millisecond}))
	must.Len(t, 1, reports)
	must.Eq(t, []syclimit.Settled{{ID: ask[0].ID}}, reports[0].Settled)
	own, borrowed, _ := m.Permits(now+10*time.Second, customer)
	must.LessEq(t, own, syclimit.Permit/2)
	must.Zero(t, borrowed)
}

// A loan must not raise a VM's own and lent permits above its capacity.
func TestLoanLeavesRoomForLentPermits(t *testing.T) {
	const capacity, spent = 4 * syclimit.Permit, 2
	limit := syclimit.NewLimit(1000, 8, 0)
	m := machineWithPeer()
	now := time.Minute
	must.Eq(t, capacity/2, m.Lend(now, loanRequest(1, capacity/2), limit).Amount)
	for i := range uint64(spent) {
		m.Admit(now, i, customer, limit, time.Hour)
	}
	ask := asks(m.Admit(now, spent, customer, limit, time.Hour))
	must.Len(t, 1, ask)
	m.Answer(now, "peer", customer, ask[0].ID, syclimit.Loan{Amount: 2 * capacity, Valid: 400 * time.Millisecond})
	own, borrowed, lent := m.Permits(now, customer)
	must.Eq(t, capacity, own+lent)
	must.Eq(t, 2*capacity-syclimit.Permit-own, borrowed)
}

// A loan of less than a permit must be returned before it expires if the rest of the
// permit doesn't arrive.
func TestLoanIsReturnedBeforeItExpires(t *testing.T) {
	limit := syclimit.NewLimit(0.001, 1, 0)
	m := syclimit.New(syclimit.Settings{}, 0, 1)
	m.SetPeers(0, []syclimit.Peer{{Address: "near", SameDomain: true, Fraction: syclimit.FullFraction / 2}, {Address: "far", Fraction: syclimit.FullFraction / 2}})
	now := time.Minute
	ask := asks(m.Admit(now, 1, customer, limit, time.Hour))
	must.Len(t, 2, ask)
	m.Answer(now, "near", customer, ask[0].ID, syclimit.Loan{Amount: syclimit.Permit / 2, Valid: 400 * time.Millisecond})
	var settled []syclimit.Settled
	for _, a := range asks(m.Tick(now + 350*time.Millisecond)) {
		settled = append(settled, a.Settled...)
	}
	must.Eq(t, []syclimit.Settled{{ID: ask[0].ID, Returned: syclimit.Permit / 2}}, settled)
}

// Rebalancing must leave the lender at least as full as the borrower, and must not
// lend if the lender is as short or shorter.
func TestRebalancingLeavesBothEquallyShort(t *testing.T) {
	limit := syclimit.NewLimit(0.1, 8, 0)
	cases := []struct {
		name     string
		spent    int
		shortage syclimit.MicroPermits
		lent     syclimit.MicroPermits
	}{
		{name: "full", shortage: 2 * syclimit.Permit, lent: syclimit.Permit},
		{name: "less short", spent: 1, shortage: 3 * syclimit.Permit, lent: syclimit.Permit},
		{name: "as short", spent: 2, shortage: 2 * syclimit.Permit},
		{name: "shorter", spent: 3, shortage: 2 * syclimit.Permit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := machineWithPeer()
			now := time.Hour
			for i := range c.spent {
				m.Admit(now, uint64(i), customer, limit, 2*time.Hour)
			}
			r := loanRequest(1, 0)
			r.Shortage = c.shortage
			must.Eq(t, c.lent, m.Lend(now, r, limit).Amount)
		})
	}
}

// Rebalancing must not lend more than LendFraction allows for all loans.
func TestRebalancingStaysWithinLendFraction(t *testing.T) {
	limit := syclimit.NewLimit(0.1, 32, 0)
	m := machineWithPeer()
	must.Eq(t, burst/4, m.Lend(time.Hour, loanRequest(1, burst/4), limit).Amount)
	r := loanRequest(2, 0)
	r.Shortage = burst / 2
	must.Zero(t, m.Lend(time.Hour, r, limit).Amount)
}

// A VM that falls a quarter below its capacity must ask a peer to rebalance, before a
// request lacks a permit.
func TestShortVMAsksToRebalance(t *testing.T) {
	limit := syclimit.NewLimit(0.1, 16, 0)
	m := machineWithPeer()
	must.SliceEmpty(t, asks(m.Admit(time.Hour, 1, customer, limit, 2*time.Hour)))
	ask := asks(m.Admit(time.Hour, 2, customer, limit, 2*time.Hour))
	must.Len(t, 1, ask)
	must.Zero(t, ask[0].Amount)
	must.Eq(t, 2*syclimit.Permit, ask[0].Shortage)
}

// A request must be rejected with the cause that applies, and only if it would wait
// too long.
func TestRejections(t *testing.T) {
	cases := []struct {
		name     string
		fraction syclimit.Fraction
		limit    syclimit.Limit
		requests int
		rejected int
		cause    syclimit.Cause
	}{
		{name: "within the burst", fraction: syclimit.FullFraction, limit: syclimit.NewLimit(1, 8, 0), requests: 8},
		{name: "over the rate", fraction: syclimit.FullFraction, limit: syclimit.NewLimit(1, 8, 0), requests: 12, rejected: 4, cause: syclimit.OverRate},
		{name: "permit comes within the wait", fraction: syclimit.FullFraction, limit: syclimit.NewLimit(10, 8, 0), requests: 12},
		{name: "more than the queue", fraction: syclimit.FullFraction, limit: syclimit.NewLimit(1e6, 8, 0), requests: 300, rejected: 36, cause: syclimit.QueueFull},
		{name: "no slots", limit: syclimit.NewLimit(10, 8, 0), requests: 1, rejected: 1, cause: syclimit.NoSlots},
		{name: "no limit", fraction: syclimit.FullFraction, requests: 1, rejected: 1, cause: syclimit.NoLimit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := syclimit.New(syclimit.Settings{}, 0, 1)
			m.SetFraction(0, c.fraction)
			rejected := 0
			for i := range c.requests {
				for _, a := range m.Admit(time.Minute, uint64(i), customer, c.limit, time.Hour) {
					if r, ok := a.(syclimit.Reject); ok {
						rejected++
						must.Eq(t, c.cause, r.Cause)
						must.Positive(t, r.RetryAfter)
					}
				}
			}
			must.Eq(t, c.rejected, rejected)
		})
	}
}

// A caller that retries after RetryAfter must get a permit.
func TestRetryAfterIsLongEnough(t *testing.T) {
	limit := syclimit.NewLimit(0.5, 1, 0)
	m := syclimit.New(syclimit.Settings{}, 0, 1)
	m.SetFraction(0, syclimit.FullFraction)
	now := time.Minute
	must.Len(t, 1, m.Admit(now, 1, customer, limit, time.Hour))
	rejection, ok := m.Admit(now, 2, customer, limit, time.Hour)[0].(syclimit.Reject)
	must.True(t, ok)
	must.LessEq(t, 2100*time.Millisecond, rejection.RetryAfter)
	now += rejection.RetryAfter
	actions := m.Admit(now, 3, customer, limit, time.Hour)
	for len(actions) == 0 && now < 2*time.Minute {
		now += 10 * time.Millisecond
		actions = m.Tick(now)
	}
	_, ok = actions[0].(syclimit.Grant)
	must.True(t, ok)
}

func TestGrantsAreFirstInFirstOut(t *testing.T) {
	limit := syclimit.NewLimit(20, 1, 0)
	m := syclimit.New(syclimit.Settings{}, 0, 1)
	m.SetFraction(0, syclimit.FullFraction)
	now := time.Minute
	var granted []uint64
	collect := func(actions []syclimit.Action) {
		for _, a := range actions {
			if g, ok := a.(syclimit.Grant); ok {
				granted = append(granted, g.Request)
			}
		}
	}
	for i := range uint64(6) {
		collect(m.Admit(now, i, customer, limit, time.Hour))
	}
	m.Cancel(customer, 3)
	for range 100 {
		now += 5 * time.Millisecond
		collect(m.Tick(now))
	}
	must.Eq(t, []uint64{0, 1, 2, 4, 5}, granted)
}

func TestInvalidSettingsAreListedTogether(t *testing.T) {
	must.NoError(t, syclimit.Settings{}.Defaults().Validate())
	bad := syclimit.Settings{}.Defaults()
	bad.LendFraction, bad.QueueLength = 2, -1
	err := bad.Validate()
	must.ErrorContains(t, err, "lend fraction")
	must.ErrorContains(t, err, "queue length")
}
