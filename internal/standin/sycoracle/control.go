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

// fractionTolerance allows for floating-point rounding in a sum of fractions.
const fractionTolerance = 1e-6

// CheckFractions checks the parts of every customer's rate at which the VMs of a
// failure domain accrue permits. Together they may be at most allowed, the domain's
// fraction of the rate. All fractions must have been in force at the same moment.
func CheckFractions(l *Ledger, domain string, fractions []float64, allowed float64) {
	sum := 0.0
	for _, f := range fractions {
		sum += f
	}
	l.Check(SlotHeldOnce, sum <= allowed+fractionTolerance, "the VMs of %s accrued %.4f of every rate; %.4f is theirs: %v", domain, sum, allowed, fractions)
}

// CheckOrders checks the orders (commands) that all engines received. Sorted by the
// time of receipt, their fencing numbers must never decrease.
func CheckOrders(l *Ledger, orders []sycengine.Order) {
	orders = slices.Clone(orders)
	slices.SortStableFunc(orders, func(a, b sycengine.Order) int { return a.Time.Compare(b.Time) })
	highest := uint64(0)
	for _, o := range orders {
		l.Check(OrdersFenced, o.Fence >= highest, "an order to %s %s came under fencing number %d after %d", o.Kind, o.Weights, o.Fence, highest)
		highest = max(highest, o.Fence)
	}
}

// Outcome is the final state of a rollout as recorded in the platform's log.
type Outcome struct {
	// State is the rollout's final state, such as "rolled_back".
	State string
	// Reason is the explanation in the record.
	Reason string
	// At is when the log appended the record, or zero if the log has none.
	At time.Time
}

// CheckDeadline checks that a rollout ended in the given state by its deadline and
// that its record gives a reason.
func CheckDeadline(l *Ledger, o Outcome, state string, deadline time.Time) {
	l.Check(DeadlineHeld, !o.At.IsZero() && !o.At.After(deadline), "the rollout's end was recorded at %s, its deadline was %s", o.At, deadline)
	l.Check(DeadlineHeld, o.State == state, "the rollout ended as %q, not %q", o.State, state)
	l.Check(DeadlineHeld, o.Reason != "", "the record gives no reason")
}

// Submission is one of several conflicting operations that operators submit at the
// same time, with the response that its operator received.
type Submission struct {
	// ID is the operation's id in the log.
	ID string
	// Accepted reports whether the response said that the operation was accepted.
	Accepted bool
	// Reason is why the operation was rejected.
	Reason string
}

// CheckRace checks that exactly one of the conflicting operations was reported to
// its operator as accepted, and that each rejected one came with a reason.
func CheckRace(l *Ledger, submissions []Submission) {
	accepted := 0
	for _, s := range submissions {
		if s.Accepted {
			accepted++
			continue
		}
		l.Check(OneWinner, s.Reason != "", "operation %s was refused without a reason", s.ID)
	}
	l.Check(OneWinner, accepted == 1, "%d of %d operators were told that they won", accepted, len(submissions))
}

// CheckLog applies the records of a log stream to an empty configuration. It checks
// that no submitted operation took effect twice, and that each operator was told
// "accepted" exactly if the operation took effect.
func CheckLog(l *Ledger, records []sycplatform.Record, submissions []Submission) {
	state := sycconfig.NewState()
	applied := map[string]int{}
	for _, r := range records {
		next, result := state.Apply(r.Offset, r.Data)
		state = next
		if result.Accepted() {
			applied[result.ID()]++
		}
	}
	for _, s := range submissions {
		l.Check(OneWinner, applied[s.ID] <= 1, "operation %s took effect %d times", s.ID, applied[s.ID])
		l.Check(OneWinner, s.Accepted == (applied[s.ID] > 0), "operation %s took effect %d times, its operator was told %t", s.ID, applied[s.ID], s.Accepted)
	}
}

// CheckClaimExpiry checks that no call that books one of the slots reached a service at
// or after lapsed, the time from which the call's claim (the record that decides an
// idempotent call) no longer lets a VM start the call.
func CheckClaimExpiry(l *Ledger, calls []sycservice.Call, slots []string, lapsed time.Time) {
	for _, c := range calls {
		if !slices.Contains(slots, bookedSlot(c)) {
			continue
		}
		l.Check(AtMostOnce, c.Time.Before(lapsed), "slot %s was booked %s after its claim had lapsed", bookedSlot(c), c.Time.Sub(lapsed))
	}
}

// CheckServed checks that no exchange failed, and that each customer that sent a
// request received at least one correct response.
func CheckServed(l *Ledger, exchanges []sycload.Exchange) {
	correct := map[string]int{}
	for _, x := range exchanges {
		l.Check(ServesThrough, x.Verdict() != sycload.Failed, "%s: %s", x.Customer(), x.Reason())
		correct[x.Customer()] += 0
		if x.Verdict() == sycload.Right {
			correct[x.Customer()]++
		}
	}
	for customer, n := range correct {
		l.Check(ServesThrough, n > 0, "%s got no answer", customer)
	}
}
