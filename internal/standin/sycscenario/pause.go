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
	// claimStart is how long a VM may start a call that it has claimed, and
	// claimMargin is waited beyond it.
	claimStart  = 5 * time.Second
	claimMargin = time.Second
	// slowLog delays appends, so that a VM can be paused while its claims are
	// under way.
	slowLog      = 400 * time.Millisecond
	pausedClaims = 6
	// claimSpacing is the time between the bookings.
	claimSpacing = 30 * time.Millisecond
	// brackets is how often fractions are read after a VM goes on.
	brackets = 5
	// bracketPause is the time between two of them.
	bracketPause = 100 * time.Millisecond
	// quietRate and quietBurst let a burst accrue during the pause.
	quietRate   = 20
	quietBurst  = 200
	floodLength = 500 * time.Millisecond
	floodMost   = 400
	// leaderCustomer sends for leaderLoad while the leader is paused, which is
	// longer than its lease.
	leaderCustomer = 0
	leaderLoad     = 14 * time.Second
	// afterPause is how long the former leader is watched.
	afterPause = 1500 * time.Millisecond
)

// holderPaused pauses a VM while claims of it are under way, until the platform
// has removed it, another VM accrues its slot, every claim has lapsed and a key
// has been revoked. Then it goes on.
func holderPaused() Scenario {
	const (
		index = 1
		// booker books before the pause, quiet saves its burst up until it is
		// over, and the key of revoked is revoked meanwhile.
		booker, quiet, revoked = 2, 3, 4
		markPast               = "holder: knows the revocation"
	)
	var slots []string
	for i := range pausedClaims {
		slots = append(slots, fmt.Sprintf("paused-%d", i))
	}
	pause := func(ctx context.Context, r *run) error {
		router := r.Routers()[index]
		bookings, err := r.pauseInClaims(ctx, router, r.CustomerNames()[booker], slots)
		if err != nil {
			return err
		}
		began := time.Now()
		r.Platform().RemoveVM(router.PeerAddress())
		if !await(ctx, func(ctx context.Context) bool { return r.claimed(ctx, router) }) {
			return eris.New("no VM has taken over the paused one's slot")
		}
		if err := r.revoke(ctx, "revoked during the pause", r.CustomerNames()[revoked]); err != nil {
			return err
		}
		if !sycpause.For(ctx, time.Until(began.Add(claimStart+claimMargin))) {
			return ctx.Err()
		}
		r.mark("holder goes on")
		r.readBrackets(ctx, router, router.Continue)
		if err := r.floodVM(ctx, router, r.CustomerNames()[quiet]); err != nil {
			return err
		}
		if err := bookings.Wait(); err != nil {
			return err
		}
		return r.refusesRevoked(ctx, router, r.CustomerNames()[revoked], markPast)
	}
	return Scenario{
		name:     "slot holder paused",
		reserved: []int{revoked, quiet, booker},
		adapt: func(w sycload.Workload) sycload.Workload {
			return w.Limited(w.Customers()[quiet].Name(), quietRate, quietBurst)
		},
		steps: []step{{500 * time.Millisecond, pause}},
		checks: []func(*run){func(r *run) {
			var calls []sycservice.Call
			for _, w := range r.Workers() {
				calls = append(calls, w.Calls()...)
			}
			sycoracle.CheckNotLate(r.ledger, calls, slots, r.marked("holder goes on"))
			sycoracle.CheckRevoked(r.ledger, r.probes, r.CustomerNames()[revoked], r.marked(markPast), 0)
		}},
	}
}

// pauseInClaims sends bookings to a VM and pauses it while their claims are on
// the way to the log, the first one's in an append of its own. All but that are
// booked again elsewhere. The group waits for the bookings' answers.
func (r *run) pauseInClaims(ctx context.Context, router *sycdeploy.Router, customer string, slots []string) (*errgroup.Group, error) {
	r.Platform().SetFaults(sycplatform.Faults{Log: sycplatform.Fault{Slow: sycrecord.Duration(slowLog)}})
	defer r.Platform().SetFaults(sycplatform.Faults{})
	var group errgroup.Group
	paused := make(chan struct{})
	defer close(paused)
	for i, slot := range slots {
		group.Go(func() error {
			if i == 0 {
				r.probed(r.book(ctx, router, customer, slot))
				return nil
			}
			r.bookTwice(ctx, router, customer, slot, paused)
			return nil
		})
		sycpause.For(ctx, claimSpacing)
	}
	if !sycpause.For(ctx, slowLog/2) {
		return &group, ctx.Err()
	}
	router.Pause()
	if !sycpause.For(ctx, 2*slowLog) {
		return &group, ctx.Err()
	}
	return &group, nil
}

// bookTwice books a slot through a VM and, once that is paused, again through
// another. What the caller learnt counts as refused only if both were.
func (r *run) bookTwice(ctx context.Context, router *sycdeploy.Router, customer, slot string, paused <-chan struct{}) {
	var group errgroup.Group
	var first, repeat sycload.ExchangeFields
	group.Go(func() error {
		first = r.book(ctx, router, customer, slot)
		return nil
	})
	<-paused
	repeat = r.book(ctx, r.Routers()[0], customer, slot)
	_ = group.Wait()
	if first.Verdict == sycload.Refused {
		first.Verdict = repeat.Verdict
	}
	first.Reason += ", repeat: " + repeat.Reason
	r.probed(first)
}

// claimed reports whether the other VMs of a VM's failure domain accrue all of
// the domain's share.
func (r *run) claimed(ctx context.Context, paused *sycdeploy.Router) bool {
	fractions, ok := r.fractions(ctx, paused)
	sum := 0.0
	for _, f := range fractions {
		sum += f
	}
	const rounding = 1e-6
	return ok && sum > r.DomainFraction(paused.FailureDomain())-rounding
}

// fractions reads what the other VMs of a VM's failure domain accrue.
func (r *run) fractions(ctx context.Context, except *sycdeploy.Router) (list []float64, ok bool) {
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

// readBrackets reads a VM's fraction between two readings of the others' that
// agree, first while goOn lets it go on.
func (r *run) readBrackets(ctx context.Context, router *sycdeploy.Router, goOn func()) {
	for range brackets {
		before, ok := r.fractions(ctx, router)
		if !ok {
			continue
		}
		answer := make(chan sycdeploy.Status, 1)
		var group errgroup.Group
		group.Go(func() error {
			defer close(answer)
			if status, ok := router.Status(ctx); ok {
				answer <- status
			}
			return nil
		})
		sycpause.For(ctx, bracketPause)
		goOn()
		goOn = func() {}
		_ = group.Wait()
		own, answered := <-answer
		after, ok := r.fractions(ctx, router)
		if answered && ok && fmt.Sprint(before) == fmt.Sprint(after) {
			domain := router.FailureDomain()
			sycoracle.CheckShares(r.ledger, domain, append(before, own.RateSlots.Fraction), r.DomainFraction(domain))
		}
		sycpause.For(ctx, bracketPause)
	}
}

// floodVM sends all that a customer has saved up, and more, to one VM.
func (r *run) floodVM(ctx context.Context, router *sycdeploy.Router, customer string) error {
	_, err := r.load(ctx, sycload.Options{
		Workload:    r.workload.Only(customer),
		Routers:     []string{router.URL()},
		Duration:    floodLength,
		MaxRequests: floodMost,
		RateFactor:  200,
	})
	return err
}

// refusesRevoked books with a revoked key at a VM that has applied everything.
func (r *run) refusesRevoked(ctx context.Context, router *sycdeploy.Router, customer, mark string) error {
	waiting, cancel := context.WithTimeout(ctx, inForceBound)
	defer cancel()
	end := r.ConfigEnd()
	err := r.AwaitApplied(waiting, end)
	r.ledger.Check(sycoracle.ConfigHolds, err == nil, "offset %d was not in force after %s: %v", end, inForceBound, err)
	r.mark(mark)
	for range pausedClaims {
		r.probed(r.book(ctx, router, customer, "revoked"))
	}
	return nil
}

// leaderPaused rolls a bad version out and pauses the VM that leads it, once the
// version gets its first share, until another has led it to its end. Then the
// former leader goes on.
func leaderPaused() Scenario {
	s := badVersion()
	s.name = "leader paused"
	s.steps = append(s.steps, step{0, func(ctx context.Context, r *run) error {
		var group errgroup.Group
		group.Go(func() error {
			_, err := r.load(ctx, sycload.Options{
				Workload:   r.workload.Only(r.CustomerNames()[leaderCustomer]),
				Routers:    r.URLs(),
				Duration:   leaderLoad,
				RateFactor: 2,
			})
			return err
		})
		return errors.Join(r.pauseLeader(ctx), group.Wait())
	}})
	s.reserved = []int{leaderCustomer}
	s.checks = append(s.checks, func(r *run) {
		sycoracle.CheckOrders(r.ledger, r.orders())
		sycoracle.CheckDeadline(r.ledger, r.outcome(badName), sycrollout.StateRolledBack, r.marked(badName).Add(badDeadline))
	})
	return s
}

func (r *run) pauseLeader(ctx context.Context) error {
	if !await(ctx, func(context.Context) bool { return r.reached(badName, sycrollout.StateCanary) }) {
		return eris.New("the bad version got no share")
	}
	leader := r.leader()
	if leader == nil {
		return eris.New("no VM leads the rollout")
	}
	leader.Pause()
	defer leader.Continue()
	if !await(ctx, func(context.Context) bool { return r.outcome(badName) != sycoracle.Outcome{} }) {
		return eris.New("no VM has finished the paused leader's rollout")
	}
	leader.Continue()
	if !sycpause.For(ctx, afterPause) {
		return ctx.Err()
	}
	return r.AwaitApplied(ctx, r.ConfigEnd())
}

// leader is the VM that the lease in force names.
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

// orders lists the orders that all engines received.
func (r *run) orders() []sycengine.Order {
	var list []sycengine.Order
	for _, e := range r.Engines() {
		list = append(list, e.Orders()...)
	}
	return list
}
