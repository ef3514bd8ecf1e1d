package sycoracle

import (
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
	"sycamorecart.example/sycamorecart/internal/standin/sycservice"
)

// shareSlack covers the rounding of fractions.
const shareSlack = 1e-6

// CheckShares checks that the VMs of a failure domain accrue no more together
// than the domain's share. The fractions must have been in force at one moment.
func CheckShares(l *Ledger, domain string, fractions []float64, share float64) {
	sum := 0.0
	for _, f := range fractions {
		sum += f
	}
	l.Check(SlotHeldOnce, sum <= share+shareSlack, "the VMs of %s accrued %.4f of every rate; %.4f is theirs: %v", domain, sum, share, fractions)
}

// CheckOrders checks that the fencing numbers of the orders to all engines never
// decrease.
func CheckOrders(l *Ledger, orders []sycengine.Order) {
	orders = slices.Clone(orders)
	slices.SortStableFunc(orders, func(a, b sycengine.Order) int { return a.Time.Compare(b.Time) })
	highest := uint64(0)
	for _, o := range orders {
		l.Check(OrdersFenced, o.Fence >= highest, "an order to %s %s came under fencing number %d after %d", o.Kind, o.Weights, o.Fence, highest)
		highest = max(highest, o.Fence)
	}
}

// Outcome is the end of a rollout as the log has it.
type Outcome struct {
	State  string
	Reason string
	// At is the log's time of the record; zero where there is none.
	At time.Time
}

// CheckDeadline checks that a rollout ended in a state by its deadline and that
// the record says why.
func CheckDeadline(l *Ledger, o Outcome, state string, deadline time.Time) {
	l.Check(DeadlineHeld, !o.At.IsZero() && !o.At.After(deadline), "the rollout's end was recorded at %s, its deadline was %s", o.At, deadline)
	l.Check(DeadlineHeld, o.State == state, "the rollout ended as %q, not %q", o.State, state)
	l.Check(DeadlineHeld, o.Reason != "", "the record gives no reason")
}

// Attempt is one operator's operation in a race and what the operator was told.
type Attempt struct {
	ID       string
	Accepted bool
	Reason   string
}

// CheckRace checks that one operator of a race was told that it won and the
// others why not.
func CheckRace(l *Ledger, attempts []Attempt) {
	accepted := 0
	for _, a := range attempts {
		if a.Accepted {
			accepted++
			continue
		}
		l.Check(OneWinner, a.Reason != "", "operation %s was refused without a reason", a.ID)
	}
	l.Check(OneWinner, accepted == 1, "%d of %d operators were told that they won", accepted, len(attempts))
}

// CheckLog folds the records of a stream and checks that no id took effect twice,
// and that what operators were told is what the log holds.
func CheckLog(l *Ledger, records []sycplatform.Record, attempts []Attempt) {
	state := sycconfig.NewState()
	applied := map[string]int{}
	for _, r := range records {
		next, result := state.Apply(r.Offset, r.Data)
		state = next
		if result.Accepted() {
			applied[result.ID()]++
		}
	}
	for _, a := range attempts {
		l.Check(OneWinner, applied[a.ID] <= 1, "operation %s took effect %d times", a.ID, applied[a.ID])
		l.Check(OneWinner, a.Accepted == (applied[a.ID] > 0), "operation %s took effect %d times, its operator was told %t", a.ID, applied[a.ID], a.Accepted)
	}
}

// CheckNotLate checks that no call for the slots reached a service after the time
// at which its claim's start had lapsed.
func CheckNotLate(l *Ledger, calls []sycservice.Call, slots []string, lapsed time.Time) {
	for _, c := range calls {
		if !slices.Contains(slots, slotOf(c)) {
			continue
		}
		l.Check(AtMostOnce, c.Time.Before(lapsed), "slot %s was booked %s after its claim had lapsed", slotOf(c), c.Time.Sub(lapsed))
	}
}

// CheckServed checks that no request was lost, and that each customer of the
// exchanges got an answer.
func CheckServed(l *Ledger, exchanges []sycload.Exchange) {
	right := map[string]int{}
	for _, x := range exchanges {
		l.Check(ServesThrough, x.Verdict() != sycload.Failed, "%s: %s", x.Customer(), x.Reason())
		right[x.Customer()] += 0
		if x.Verdict() == sycload.Right {
			right[x.Customer()]++
		}
	}
	for customer, n := range right {
		l.Check(ServesThrough, n > 0, "%s got no answer", customer)
	}
}
