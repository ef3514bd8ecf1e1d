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
	// lateWeights are the weights of the version that can't be loaded in time.
	lateWeights = "late"
	// lateName is the name of the version with lateWeights.
	lateName = "late"
	// lateDeadline is the time from the publication of the version with lateWeights to
	// the deadline of its rollout.
	lateDeadline = 4 * time.Second
	// raceRounds is how many changes two operators race to publish.
	raceRounds = 8
	// aloneDuration is how long requests are sent to the VMs of a failure domain that is
	// cut off from everything else.
	aloneDuration = 3 * time.Second
	// aloneRateFactor multiplies the customers' arrival rates for these requests.
	aloneRateFactor = 0.5
)

// cutFirstDomain cuts the first failure domain off from the others, or reconnects it if
// on is false.
func (r *run) cutFirstDomain(on bool) {
	domains := r.Domains()
	for _, other := range domains[1:] {
		r.CutDomains(domains[0], other, on)
	}
}

// urlsOf lists the base URLs for callers of a failure domain's VMs.
func (r *run) urlsOf(domain string) []string {
	var urls []string
	for _, router := range r.Routers() {
		if router.FailureDomain() == domain {
			urls = append(urls, router.URL())
		}
	}
	return urls
}

// customerFloods sends 12 times a customer's usual requests to one VM of a failure domain
// that is cut off from the others. The customer must not exceed its rate and burst.
func customerFloods() Scenario {
	// customer is the customer's index in the workload.
	const customer = 1
	return Scenario{
		name:     "customer floods one VM of a cut domain",
		reserved: []int{customer},
		steps: []step{{500 * time.Millisecond, func(ctx context.Context, r *run) error {
			r.cutFirstDomain(true)
			defer r.cutFirstDomain(false)
			_, err := r.sendLoad(ctx, sycload.Options{
				Workload:   r.workload.Only(r.CustomerNames()[customer]),
				Routers:    r.urlsOf(r.Domains()[0])[:1],
				Duration:   3 * time.Second,
				RateFactor: 12,
			})
			return err
		}}},
	}
}

// vmsReplaced replaces all VMs of the last failure domain and every second VM of the
// other domains by VMs at new addresses. The rate slots of the old VMs must be taken over.
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

// awaitSlots waits until the fractions of every customer's rate that the VMs may grant add
// up to 1, which means that each rate slot has a holder. It checks that this takes no longer
// than awaitTimeout.
func (r *run) awaitSlots(ctx context.Context) {
	complete := waitFor(ctx, func(ctx context.Context) bool {
		sum := 0.0
		for _, router := range r.Routers() {
			status, ok := router.Status(ctx)
			if !ok {
				return false
			}
			sum += status.RateSlots.Fraction
		}
		return sum > 1-fractionRounding
	})
	r.ledger.Check(sycoracle.SlotsReturn, complete, "the slots of replaced VMs did not accrue after %s", awaitTimeout)
}

// storeOut makes the platform's store of weights fail and publishes a version whose
// weights engines would have to load from it. The version must be rolled back by its
// deadline, and requests must still be served.
func storeOut() Scenario {
	// mark is the name of the mark for the version's deadline.
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
			sycoracle.CheckDeadline(r.ledger, r.outcome(lateName), sycrollout.StateRolledBack, r.timeOf(mark))
			sycoracle.CheckServed(r.ledger, r.result.Exchanges())
		}},
	}
}

// operatorsRace has two operators change the same object repeatedly, each time with the
// same expected generation, while the log loses responses to appends. One of the two
// operations must be accepted each time, and both operators must learn the result.
func operatorsRace() Scenario {
	return Scenario{name: "operators race", steps: []step{
		{200 * time.Millisecond, func(ctx context.Context, r *run) error {
			var allAttempts []sycoracle.Submission
			for round := range raceRounds {
				r.Platform().SetFaults(sycplatform.Faults{LoseAppends: round%2 + 1})
				attempts, err := r.raceRound(ctx, round)
				if err != nil {
					return err
				}
				sycoracle.CheckRace(r.ledger, attempts)
				allAttempts = append(allAttempts, attempts...)
			}
			r.Platform().SetFaults(sycplatform.Faults{})
			sycoracle.CheckLog(r.ledger, r.Platform().Records(sycconfig.ConfigStream), allAttempts)
			return nil
		}},
	}}
}

// raceRound has two operators change the first customer concurrently. Both expect the
// generation that the customer has after the earlier rounds. It returns each operator's
// operation with the result.
func (r *run) raceRound(ctx context.Context, round int) ([]sycoracle.Submission, error) {
	const operators = 2
	customer := r.workload.Customers()[0]
	attempts := make([]sycoracle.Submission, operators)
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

// bytesLost discards the bytes that VMs of the first failure domain send on their
// connections to the other domains, and then the bytes that they would receive on them.
// Meanwhile the platform's VM list fails.
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

// domainAlone cuts the first failure domain off from the others and from the platform.
// Its VMs must still serve requests of every customer.
func domainAlone() Scenario {
	// overRate is the index of the customer that sends more than its rate. It's left out
	// of the run's load, where it would use up its permits before the cut.
	const overRate = 4
	return Scenario{
		name:     "domain alone",
		reserved: []int{overRate},
		steps: []step{{time.Second, func(ctx context.Context, r *run) error {
			domain := r.Domains()[0]
			r.cutFirstDomain(true)
			r.SetPlatformLink(domain, sycfault.Fault{Cut: true})
			defer r.SetPlatformLink(domain, sycfault.Fault{})
			defer r.cutFirstDomain(false)
			result, err := r.sendLoad(ctx, sycload.Options{
				Workload:   r.workload,
				Routers:    r.urlsOf(domain),
				Duration:   aloneDuration,
				RateFactor: aloneRateFactor,
			})
			sycoracle.CheckServed(r.ledger, result.Exchanges())
			return err
		}}},
	}
}

// cacheEventsLost makes engines slow, loses 30% of their cache events and crashes some of
// them every second, so that the VMs' view of the cached blocks is often wrong.
func cacheEventsLost() Scenario {
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
	// customer is the index of the customer whose requests are sent while engines crash.
	const customer = 0
	return Scenario{name: "cache events lost, engines empty", reserved: []int{customer}, steps: []step{
		{0, func(ctx context.Context, r *run) error {
			for _, e := range r.Engines() {
				e.SetFaults(sycengine.Faults{EventLoss: 0.3, Slow: 4})
			}
			_, err := r.sendLoad(ctx, sycload.Options{
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
