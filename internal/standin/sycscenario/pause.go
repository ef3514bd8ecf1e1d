package sycscenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
	"sycamorecart.example/sycamorecart/internal/standin/sycoracle"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
	"sycamorecart.example/sycamorecart/internal/standin/sycservice"
)

const (
	// claimStart is the longest time from claiming a call to sending it, the default of
	// sycclaims.Options.StartTimeout. When it has passed, the VM may no longer send the call.
	claimStart = 5 * time.Second
	// claimMargin is added to claimStart before a paused VM is resumed, so that it
	// may certainly send none of the claimed calls.
	claimMargin = time.Second
	// slowAppend delays appends to the log, so that a VM can be paused while its claims
	// are on the way to the log.
	slowAppend = 400 * time.Millisecond
	// pausedBookings is the number of bookings that are sent to a VM before it's paused.
	pausedBookings = 6
	// bookingInterval is the time between two of these bookings.
	bookingInterval = 30 * time.Millisecond
	// fractionChecks is how many times checkFractions compares the VMs' fractions.
	fractionChecks = 5
	// fractionCheckPause is how long checkFractions waits in each comparison after it has
	// begun the paused VM's status request, before it resumes the VM or reads the other
	// VMs' status again. It is also the time between two comparisons.
	fractionCheckPause = 100 * time.Millisecond
	// fractionRounding is the rounding error allowed in a sum of fractions.
	fractionRounding = 1e-6
	// quietRate is the rate, in requests a second, of the customer that sends nothing until
	// the paused VM is resumed.
	quietRate = 20
	// quietBurst is that customer's burst, in requests.
	quietBurst = 200
	// floodDuration is how long floodVM sends requests.
	floodDuration = 500 * time.Millisecond
	// maxFloodRequests limits the number of requests that floodVM sends. It's twice
	// quietBurst.
	maxFloodRequests = 400
	// leaderCustomer is the index of the customer that sends requests while the leader is
	// paused.
	leaderCustomer = 0
	// leaderLoadDuration is how long these requests are sent. It's longer than the leader's
	// lease, so that another VM becomes the leader meanwhile.
	leaderLoadDuration = 14 * time.Second
	// formerLeaderWait is how long the resumed former leader may send orders before the
	// scenario ends.
	formerLeaderWait = 1500 * time.Millisecond
)

// holderPaused pauses a VM, the holder of a rate slot, while its claims are on the way to
// the log. Meanwhile the platform removes the VM from the VM list, other VMs take over its
// slot, a key is revoked, and the time in which the VM may send the claimed calls passes.
// The resumed VM must not send these calls, use its former slot or accept the revoked key.
func holderPaused() Scenario {
	const (
		// index is the paused VM's index in Routers.
		index = 1
		// booker is the index of the customer that books before the pause.
		booker = 2
		// quiet is the index of the customer that sends nothing until the VM is resumed,
		// so that permits for a large burst accrue during the pause.
		quiet = 3
		// revoked is the index of the customer whose key is revoked during the pause.
		revoked = 4
		// resumedMark is the name of the mark for the time at which the VM is resumed.
		resumedMark = "holder goes on"
		// appliedMark is the name of the mark for the time at which the resumed VM has
		// applied the revocation.
		appliedMark = "holder: knows the revocation"
	)
	var slots []string
	for i := range pausedBookings {
		slots = append(slots, fmt.Sprintf("paused-%d", i))
	}
	pause := func(ctx context.Context, r *run) error {
		router := r.Routers()[index]
		bookings, err := r.pauseDuringClaims(ctx, router, r.CustomerNames()[booker], slots)
		if err != nil {
			return err
		}
		pausedAt := time.Now()
		r.Platform().RemoveVM(router.PeerAddress())
		if !waitFor(ctx, func(ctx context.Context) bool { return r.takenOver(ctx, router) }) {
			return eris.New("no VM has taken over the paused VM's rate slot")
		}
		if err := r.revoke(ctx, "revoked during the pause", r.CustomerNames()[revoked]); err != nil {
			return err
		}
		if !sycpause.For(ctx, time.Until(pausedAt.Add(claimStart+claimMargin))) {
			return ctx.Err()
		}
		r.mark(resumedMark)
		r.checkFractions(ctx, router, router.Continue)
		if err := r.floodVM(ctx, router, r.CustomerNames()[quiet]); err != nil {
			return err
		}
		if err := bookings.Wait(); err != nil {
			return err
		}
		return r.bookWithRevokedKey(ctx, router, r.CustomerNames()[revoked], appliedMark)
	}
	return Scenario{
		name:     "slot holder paused",
		reserved: []int{revoked, quiet, booker},
		adapt: func(w sycload.Workload) sycload.Workload {
			return w.WithLimit(w.Customers()[quiet].Name(), quietRate, quietBurst)
		},
		steps: []step{{500 * time.Millisecond, pause}},
		checks: []func(*run){func(r *run) {
			var calls []sycservice.Call
			for _, w := range r.Workers() {
				calls = append(calls, w.Calls()...)
			}
			sycoracle.CheckClaimExpiry(r.ledger, calls, slots, r.timeOf(resumedMark))
			sycoracle.CheckRevoked(r.ledger, r.probes, r.CustomerNames()[revoked], r.timeOf(appliedMark), 0)
		}},
	}
}

// pauseDuringClaims sends bookings to a VM and pauses it while their claims are on the way
// to the log. The first booking's claim is in an append by itself. After the pause has
// begun, every booking but the first is repeated at another VM. The returned group waits
// for the responses to all bookings.
func (r *run) pauseDuringClaims(ctx context.Context, router *sycdeploy.Router, customer string, slots []string) (*errgroup.Group, error) {
	r.Platform().SetFaults(sycplatform.Faults{Log: sycplatform.Fault{Slow: sycrecord.Duration(slowAppend)}})
	defer r.Platform().SetFaults(sycplatform.Faults{})
	var group errgroup.Group
	paused := make(chan struct{})
	defer close(paused)
	for i, slot := range slots {
		group.Go(func() error {
			if i == 0 {
				r.addProbe(r.book(ctx, router, customer, slot))
				return nil
			}
			r.bookTwice(ctx, router, customer, slot, paused)
			return nil
		})
		sycpause.For(ctx, bookingInterval)
	}
	if !sycpause.For(ctx, slowAppend/2) {
		return &group, ctx.Err()
	}
	router.Pause()
	if !sycpause.For(ctx, 2*slowAppend) {
		return &group, ctx.Err()
	}
	return &group, nil
}

// bookTwice books a slot at a VM and, when paused is closed, again at another VM with the
// same idempotency key. It records one probe for both: the result is that of the first
// booking, or that of the repeated one if the first was refused.
func (r *run) bookTwice(ctx context.Context, router *sycdeploy.Router, customer, slot string, paused <-chan struct{}) {
	var group errgroup.Group
	var first, repeated sycload.ExchangeFields
	group.Go(func() error {
		first = r.book(ctx, router, customer, slot)
		return nil
	})
	<-paused
	repeated = r.book(ctx, r.Routers()[0], customer, slot)
	_ = group.Wait()
	if first.Verdict == sycload.Refused {
		first.Verdict = repeated.Verdict
	}
	first.Reason += ", repeat: " + repeated.Reason
	r.addProbe(first)
}

// takenOver reports whether the other VMs of a paused VM's failure domain have taken over
// its rate slot: their fractions of every customer's rate add up to the whole domain's.
func (r *run) takenOver(ctx context.Context, paused *sycdeploy.Router) bool {
	fractions, ok := r.otherFractions(ctx, paused)
	sum := 0.0
	for _, f := range fractions {
		sum += f
	}
	return ok && sum > r.DomainFraction(paused.FailureDomain())-fractionRounding
}

// otherFractions requests from each other VM of a VM's failure domain the fraction of
// every customer's rate that it may grant. It returns false if one doesn't respond.
func (r *run) otherFractions(ctx context.Context, except *sycdeploy.Router) (list []float64, ok bool) {
	for _, router := range r.Routers() {
		if router == except || router.FailureDomain() != except.FailureDomain() {
			continue
		}
		status, ok := router.Status(ctx)
		if !ok {
			return nil, false
		}
		list = append(list, status.RateSlots.Fraction)
	}
	return list, true
}

// checkFractions checks several times that the VMs of a paused VM's failure domain together
// have no more than the domain's fraction of every customer's rate. It calls resume to
// resume the VM while the VM's first status request is waiting, so that the VM responds as
// soon as it runs again.
//
// The VMs' status can't be read at one moment. So it requests the VM's status between two
// readings of the other VMs, and compares the fractions only if both readings agree.
func (r *run) checkFractions(ctx context.Context, router *sycdeploy.Router, resume func()) {
	for range fractionChecks {
		before, ok := r.otherFractions(ctx, router)
		if !ok {
			continue
		}
		response := make(chan sycdeploy.Status, 1)
		var group errgroup.Group
		group.Go(func() error {
			defer close(response)
			if status, ok := router.Status(ctx); ok {
				response <- status
			}
			return nil
		})
		sycpause.For(ctx, fractionCheckPause)
		resume()
		resume = func() {}
		_ = group.Wait()
		own, responded := <-response
		after, ok := r.otherFractions(ctx, router)
		if responded && ok && fmt.Sprint(before) == fmt.Sprint(after) {
			domain := router.FailureDomain()
			sycoracle.CheckFractions(r.ledger, domain, append(before, own.RateSlots.Fraction), r.DomainFraction(domain))
		}
		sycpause.For(ctx, fractionCheckPause)
	}
}

// floodVM sends more requests of a customer to one VM than the customer's burst allows.
func (r *run) floodVM(ctx context.Context, router *sycdeploy.Router, customer string) error {
	_, err := r.sendLoad(ctx, sycload.Options{
		Workload:    r.workload.Only(customer),
		Routers:     []string{router.URL()},
		Duration:    floodDuration,
		MaxRequests: maxFloodRequests,
		RateFactor:  200,
	})
	return err
}

// bookWithRevokedKey waits until every VM has applied the whole configuration, sets the
// mark to that time and then sends bookings with a customer's revoked key to a VM. It checks
// that the wait is no longer than maxApply.
func (r *run) bookWithRevokedKey(ctx context.Context, router *sycdeploy.Router, customer, mark string) error {
	applyCtx, cancel := context.WithTimeout(ctx, maxApply)
	defer cancel()
	end := r.ConfigEnd()
	err := r.AwaitApplied(applyCtx, end)
	r.ledger.Check(sycoracle.ConfigHolds, err == nil, "offset %d was not in force after %s: %v", end, maxApply, err)
	r.mark(mark)
	for range pausedBookings {
		r.addProbe(r.book(ctx, router, customer, "revoked"))
	}
	return nil
}

// leaderPaused rolls out the bad version and pauses the leader, the VM that controls
// rollouts, when the version has got its first traffic share. It resumes that VM when
// another VM has become the leader and ended the rollout. Engines must not receive orders
// of the former leader after orders of the new one.
func leaderPaused() Scenario {
	s := badVersion()
	s.name = "leader paused"
	s.steps = append(s.steps, step{0, func(ctx context.Context, r *run) error {
		var group errgroup.Group
		group.Go(func() error {
			_, err := r.sendLoad(ctx, sycload.Options{
				Workload:   r.workload.Only(r.CustomerNames()[leaderCustomer]),
				Routers:    r.URLs(),
				Duration:   leaderLoadDuration,
				RateFactor: 2,
			})
			return err
		})
		return errors.Join(r.pauseLeader(ctx), group.Wait())
	}})
	s.reserved = []int{leaderCustomer}
	s.checks = append(s.checks, func(r *run) {
		sycoracle.CheckOrders(r.ledger, r.orders())
		sycoracle.CheckDeadline(r.ledger, r.outcome(badName), sycrollout.StateRolledBack, r.timeOf(badName).Add(badDeadline))
	})
	return s
}

// pauseLeader pauses the leader during the bad version's canary step and resumes it when
// the rollout has ended. Then it waits for the former leader's late orders.
func (r *run) pauseLeader(ctx context.Context) error {
	if !waitFor(ctx, func(context.Context) bool { return r.hasReached(badName, sycrollout.StateCanary) }) {
		return eris.New("the bad version got no traffic share")
	}
	leader := r.leader()
	if leader == nil {
		return eris.New("no VM leads the rollout")
	}
	leader.Pause()
	defer leader.Continue()
	if !waitFor(ctx, func(context.Context) bool { return r.outcome(badName) != sycoracle.Outcome{} }) {
		return eris.New("no VM has ended the rollout of the paused leader")
	}
	leader.Continue()
	if !sycpause.For(ctx, formerLeaderWait) {
		return ctx.Err()
	}
	return r.AwaitApplied(ctx, r.ConfigEnd())
}

// leader returns the VM that the newest accepted lease record names, or nil if there is no
// such VM.
func (r *run) leader() *sycdeploy.Router {
	address := ""
	for op := range r.systemOperations(sycrecord.KindLease) {
		var fields sycrecord.LeaseFields
		if json.Unmarshal(op.Spec, &fields) == nil {
			address = fields.Address
		}
	}
	for _, router := range r.Routers() {
		if router.PeerAddress() == address {
			return router
		}
	}
	return nil
}

// orders lists the orders (commands to load or drop weights, for example) that the engines
// have received from VMs.
func (r *run) orders() []sycengine.Order {
	var list []sycengine.Order
	for _, e := range r.Engines() {
		list = append(list, e.Orders()...)
	}
	return list
}
