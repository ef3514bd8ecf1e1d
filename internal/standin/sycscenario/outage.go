package sycscenario

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/operate/sycpublish"
	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycfault"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
	"sycamorecart.example/sycamorecart/internal/standin/sycoracle"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
)

const (
	// lateWeights can't be loaded before lateDeadline.
	lateWeights  = "late"
	lateName     = "late"
	lateDeadline = 4 * time.Second
	// raceRounds is how often two operators race.
	raceRounds = 8
	// aloneLength is how long a cut-off domain's callers send.
	aloneLength = 3 * time.Second
	aloneRate   = 0.5
)

// cut cuts the first failure domain off from the others, or ends that.
func (r *run) cut(on bool) {
	domains := r.Domains()
	for _, other := range domains[1:] {
		r.CutDomains(domains[0], other, on)
	}
}

// urlsOf lists the callers' URLs of a failure domain's VMs.
func (r *run) urlsOf(domain string) []string {
	var urls []string
	for _, router := range r.Routers() {
		if router.FailureDomain() == domain {
			urls = append(urls, router.URL())
		}
	}
	return urls
}

// customerFloods sends several times a customer's rate to one VM of a failure
// domain that is cut off from the others.
func customerFloods() Scenario {
	const customer = 1
	return Scenario{
		name:     "customer floods one VM of a cut domain",
		reserved: []int{customer},
		steps: []step{{500 * time.Millisecond, func(ctx context.Context, r *run) error {
			r.cut(true)
			defer r.cut(false)
			_, err := r.load(ctx, sycload.Options{
				Workload:   r.workload.Only(r.CustomerNames()[customer]),
				Routers:    r.urlsOf(r.Domains()[0])[:1],
				Duration:   3 * time.Second,
				RateFactor: 12,
			})
			return err
		}}},
	}
}

// vmsReplaced kills all VMs of the last failure domain and every second of the
// others, and starts others at new addresses in their place.
func vmsReplaced() Scenario {
	return Scenario{name: "VMs replaced", steps: []step{
		{time.Second, func(ctx context.Context, r *run) error {
			domains := r.Domains()
			var group errgroup.Group
			for i, router := range r.Routers() {
				if i%2 == 1 && router.FailureDomain() != domains[len(domains)-1] {
					continue
				}
				group.Go(func() error { return replace(ctx, r, router) })
			}
			if err := group.Wait(); err != nil {
				return err
			}
			r.awaitSlots(ctx)
			return nil
		}},
	}}
}

// awaitSlots waits until all slots accrue again and checks that none does twice.
func (r *run) awaitSlots(ctx context.Context) {
	whole := await(ctx, func(ctx context.Context) bool {
		sum := 0.0
		for _, router := range r.Routers() {
			status, ok := router.Status(ctx)
			if !ok {
				return false
			}
			sum += status.RateSlots.Fraction
		}
		return sum > 1-1e-6
	})
	r.ledger.Check(sycoracle.SlotsReturn, whole, "the slots of replaced VMs did not accrue after %s", awaitTimeout)
}

// storeOut publishes a version whose weights can't be loaded before its deadline.
func storeOut() Scenario {
	const mark = "late version"
	return Scenario{
		name: "weight store out",
		steps: []step{{0, func(ctx context.Context, r *run) error {
			r.Platform().SetFaults(sycplatform.Faults{Store: sycplatform.Fault{Out: true}})
			deadline := time.Now().Add(lateDeadline)
			r.markAt(mark, deadline)
			_, err := r.Publish(ctx, sycdeploy.Put(sycrecord.KindVersion, lateName, sycrecord.VersionFields{
				Model:    sycdeploy.Model,
				Weights:  lateWeights,
				Deadline: deadline,
				Canary:   0.1,
				Steps:    []float64{1},
				Bake:     sycrecord.Duration(badBake),
			}))
			if err != nil {
				return err
			}
			sycpause.For(ctx, time.Until(deadline))
			return nil
		}}},
		checks: []func(*run){func(r *run) {
			sycoracle.CheckDeadline(r.ledger, r.outcome(lateName), sycrollout.StateRolledBack, r.marked(mark))
			sycoracle.CheckServed(r.ledger, r.result.Exchanges())
		}},
	}
}

// operatorsRace lets two operators change the same object with the same expected
// generation, again and again, through a log that loses answers.
func operatorsRace() Scenario {
	return Scenario{name: "operators race", steps: []step{
		{200 * time.Millisecond, func(ctx context.Context, r *run) error {
			var all []sycoracle.Attempt
			for round := range raceRounds {
				r.Platform().SetFaults(sycplatform.Faults{LoseAppends: round%2 + 1})
				attempts, err := r.race(ctx, round)
				if err != nil {
					return err
				}
				sycoracle.CheckRace(r.ledger, attempts)
				all = append(all, attempts...)
			}
			r.Platform().SetFaults(sycplatform.Faults{})
			sycoracle.CheckLog(r.ledger, r.Platform().Records(sycconfig.ConfigStream), all)
			return nil
		}},
	}}
}

// race lets two operators publish the round's change of a customer.
func (r *run) race(ctx context.Context, round int) ([]sycoracle.Attempt, error) {
	const operators = 2
	customer := r.workload.Customers()[0]
	attempts := make([]sycoracle.Attempt, operators)
	group, ctx := errgroup.WithContext(ctx)
	for i := range operators {
		group.Go(func() error {
			session := sycpublish.Open(r.Platform().URL())
			defer session.Close()
			if err := session.WaitReady(ctx); err != nil {
				return err
			}
			expect := uint64(round + 1)
			op := sycdeploy.Put(sycrecord.KindCustomer, customer.Name(), sycrecord.CustomerFields{
				Rate: customer.Rate(), Burst: customer.Burst(), Weight: float64(i + 1),
			})
			op.ID = fmt.Sprintf("race-%d-%d", round, i)
			op.Expect = &expect
			attempts[i].ID = op.ID
			return session.Publish(ctx, []sycrecord.Operation{op}, func(result sycconfig.Result) {
				attempts[i].Accepted, attempts[i].Reason = result.Accepted(), result.Reason()
			})
		})
	}
	return attempts, group.Wait()
}

// bytesLost loses the bytes of one direction between failure domains while the VM
// list is out, the other direction afterwards.
func bytesLost() Scenario {
	lose := func(f sycfault.Fault) func(context.Context, *run) error {
		return func(_ context.Context, r *run) error {
			domains := r.Domains()
			for _, other := range domains[1:] {
				r.SetLink(domains[0], other, f)
			}
			return nil
		}
	}
	return Scenario{name: "bytes lost one way, list out", steps: []step{
		{0, func(_ context.Context, r *run) error {
			r.Platform().SetFaults(sycplatform.Faults{List: sycplatform.Fault{Out: true}})
			return nil
		}},
		{time.Second, lose(sycfault.Fault{LoseToTarget: true})},
		{2500 * time.Millisecond, lose(sycfault.Fault{LoseToClient: true})},
		{4 * time.Second, lose(sycfault.Fault{})},
	}}
}

// domainAlone cuts the first failure domain off from the others and from the
// platform; its callers still get answers.
func domainAlone() Scenario {
	// The customer that sends more than its rate would spend its tokens before.
	const over = 4
	return Scenario{
		name:     "domain alone",
		reserved: []int{over},
		steps: []step{{time.Second, func(ctx context.Context, r *run) error {
			domain := r.Domains()[0]
			r.cut(true)
			r.SetPlatformLink(domain, sycfault.Fault{Cut: true})
			defer r.SetPlatformLink(domain, sycfault.Fault{})
			defer r.cut(false)
			result, err := r.load(ctx, sycload.Options{
				Workload:   r.workload,
				Routers:    r.urlsOf(domain),
				Duration:   aloneLength,
				RateFactor: aloneRate,
			})
			sycoracle.CheckServed(r.ledger, result.Exchanges())
			return err
		}}},
	}
}

// cacheUncertain loses cache events and crashes engines again and again, while the
// documents in demand change.
func cacheUncertain() Scenario {
	crash := func(first int) func(context.Context, *run) error {
		return func(_ context.Context, r *run) error {
			for i, e := range r.Engines() {
				if i%3 == first {
					e.Crash()
				}
			}
			return nil
		}
	}
	const customer = 0
	return Scenario{name: "cache events lost, engines empty", reserved: []int{customer}, steps: []step{
		{0, func(ctx context.Context, r *run) error {
			for _, e := range r.Engines() {
				e.SetFaults(sycengine.Faults{EventLoss: 0.3, Slow: 4})
			}
			_, err := r.load(ctx, sycload.Options{
				Workload:   r.workload.Only(r.CustomerNames()[customer]),
				Routers:    r.URLs(),
				Duration:   5 * time.Second,
				RateFactor: 2,
			})
			return err
		}},
		{time.Second, crash(0)},
		{2 * time.Second, crash(1)},
		{3 * time.Second, crash(0)},
		{4 * time.Second, crash(2)},
	}}
}
