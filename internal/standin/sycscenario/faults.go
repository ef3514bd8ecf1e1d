package sycscenario

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"iter"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycfault"
	"sycamorecart.example/sycamorecart/internal/standin/sycoracle"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
	"sycamorecart.example/sycamorecart/internal/standin/sycservice"
)

const (
	// maxRestart is how long a restarted or replaced VM may take until it's ready.
	maxRestart = 10 * time.Second
	// maxApply is how long it may take until every VM has applied a published change.
	maxApply = 20 * time.Second
	// leavingGrace is how long an engine may still get requests after every VM has
	// applied that it's leaving.
	leavingGrace = 2 * time.Second
	// maxBadShare is the largest fraction of all requests that may run on the bad version.
	maxBadShare = 0.15
	// badDeadline is the time from the bad version's publication to the deadline of its
	// rollout.
	badDeadline = time.Minute
	// badBake is the bake time of the rollouts: the shortest time that each of their
	// stages lasts.
	badBake = 500 * time.Millisecond
	// badGrace is how long the bad version may still get requests after the log has the
	// record of its rollback.
	badGrace = 2 * time.Second
	// badWeights are the weights of the bad version.
	badWeights = "bad"
	// badName is the name of the bad version, and of the mark for the time at which every
	// VM had applied its record.
	badName = "bad"
)

// publish publishes a change of the configuration, waits until every VM has applied it
// and sets the mark to that time. It checks that this takes no longer than maxApply.
func (r *run) publish(ctx context.Context, mark string, operation sycrecord.Operation) error {
	next, err := r.Publish(ctx, operation)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, maxApply)
	defer cancel()
	err = r.AwaitApplied(ctx, next)
	r.ledger.Check(sycoracle.ConfigHolds, err == nil, "offset %d was not in force after %s: %v", next, maxApply, err)
	r.mark(mark)
	return nil
}

// noFaults sends the load without any fault.
func noFaults() Scenario { return Scenario{name: "calm"} }

// enginesCrash crashes engines, so that they lose their requests and cached blocks. One
// of them crashes twice.
func enginesCrash() Scenario {
	crash := func(indexes ...int) func(context.Context, *run) error {
		return func(_ context.Context, r *run) error {
			for _, i := range indexes {
				r.Engines()[i%len(r.Engines())].Crash()
			}
			return nil
		}
	}
	return Scenario{name: "engines crash", steps: []step{
		{time.Second, crash(0, 4)},
		{2500 * time.Millisecond, crash(0, 1, 7)},
	}}
}

// herdRestarts kills every second VM and then starts all the killed VMs at the same time.
func herdRestarts() Scenario {
	return Scenario{name: "herd restarts", steps: []step{
		{1500 * time.Millisecond, func(ctx context.Context, r *run) error {
			var killed []*sycdeploy.Router
			for i, router := range r.Routers() {
				if i%2 == 0 {
					router.Kill()
					killed = append(killed, router)
				}
			}
			var group errgroup.Group
			for _, router := range killed {
				group.Go(func() error { return restart(ctx, r, router) })
			}
			return group.Wait()
		}},
	}}
}

// restart starts a VM that was killed or stopped and checks how soon it is ready.
func restart(ctx context.Context, r *run, router *sycdeploy.Router) error {
	return checkReadyAfter(ctx, r, router, (*sycdeploy.Router).Start)
}

// replace replaces a VM by one at a new address and checks how soon that is ready.
func replace(ctx context.Context, r *run, router *sycdeploy.Router) error {
	return checkReadyAfter(ctx, r, router, (*sycdeploy.Router).Replace)
}

// checkReadyAfter calls start, waits until the VM is ready and checks that both together
// took no longer than maxRestart.
func checkReadyAfter(ctx context.Context, r *run, router *sycdeploy.Router, start func(*sycdeploy.Router) error) error {
	began := time.Now()
	if err := start(router); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err := router.AwaitReady(ctx)
	sycoracle.CheckRestart(r.ledger, time.Since(began), maxRestart)
	return err
}

// drains shuts VMs down gracefully, one after another, and starts them again. No request
// may be interrupted by that.
func drains() Scenario {
	drain := func(i int) func(context.Context, *run) error {
		return func(ctx context.Context, r *run) error {
			router := r.Routers()[i%len(r.Routers())]
			if err := router.Stop(); err != nil {
				r.ledger.Check(sycoracle.DrainWhole, false, "%s", err)
			}
			return restart(ctx, r, router)
		}
	}
	return Scenario{
		name: "drains",
		steps: []step{
			{500 * time.Millisecond, drain(0)},
			{1500 * time.Millisecond, drain(3)},
			{1500 * time.Millisecond, drain(5)},
		},
		checks: []func(*run){func(r *run) { sycoracle.CheckDrain(r.ledger, r.result.Exchanges()) }},
	}
}

// domainsCut cuts the first failure domain off from the others and later reconnects it.
func domainsCut() Scenario {
	cut := func(on bool) func(context.Context, *run) error {
		return func(_ context.Context, r *run) error {
			domains := r.Domains()
			for _, other := range domains[1:] {
				r.CutDomains(domains[0], other, on)
			}
			return nil
		}
	}
	return Scenario{name: "domains cut", steps: []step{
		{time.Second, cut(true)},
		{4 * time.Second, cut(false)},
	}}
}

// platformCut cuts the first failure domain off from the platform and later reconnects it.
func platformCut() Scenario {
	link := func(f sycfault.Fault) func(context.Context, *run) error {
		return func(_ context.Context, r *run) error {
			r.SetPlatformLink(r.Domains()[0], f)
			return nil
		}
	}
	return Scenario{name: "domain cut from platform", steps: []step{
		{time.Second, link(sycfault.Fault{Cut: true})},
		{4 * time.Second, link(sycfault.Fault{})},
	}}
}

// logFails makes the platform's log lose the responses to appends, then fail every
// request, then hang, and at last lose responses again.
func logFails() Scenario {
	set := func(f sycplatform.Faults) func(context.Context, *run) error {
		return func(_ context.Context, r *run) error {
			r.Platform().SetFaults(f)
			return nil
		}
	}
	return Scenario{name: "log fails", steps: []step{
		{500 * time.Millisecond, set(sycplatform.Faults{LoseAppends: 5})},
		{2 * time.Second, set(sycplatform.Faults{Log: sycplatform.Fault{Out: true}})},
		{3 * time.Second, set(sycplatform.Faults{Log: sycplatform.Fault{Hang: true}})},
		{4 * time.Second, set(sycplatform.Faults{LoseAppends: 3})},
	}}
}

// keyRevoked revokes the first customer's API key. Once every VM has applied that,
// requests with the key must be refused.
func keyRevoked() Scenario {
	// mark is the name of the mark for the time at which every VM had applied the change.
	const mark = "revoked"
	return Scenario{
		name: "key revoked",
		steps: []step{{1500 * time.Millisecond, func(ctx context.Context, r *run) error {
			return r.revoke(ctx, mark, r.CustomerNames()[0])
		}}},
		checks: []func(*run){func(r *run) {
			sycoracle.CheckRevoked(r.ledger, r.result.Exchanges(), r.CustomerNames()[0], r.timeOf(mark), 0)
		}},
	}
}

// revoke publishes that a customer's API key is revoked and sets the mark to the time at
// which every VM has applied that.
func (r *run) revoke(ctx context.Context, mark, customer string) error {
	r.markWithdrawn(customer)
	hash := sha256.Sum256([]byte(r.Keys()[customer]))
	return r.publish(ctx, mark, sycdeploy.Put(sycrecord.KindKey, "key-"+customer, sycrecord.KeyFields{
		Customer:  customer,
		SHA256:    hex.EncodeToString(hash[:]),
		Withdrawn: true,
	}))
}

// markWithdrawn records that the withdrawal of a customer's key is about to be published.
func (r *run) markWithdrawn(customer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawn[customer] = time.Now()
}

// engineLeaves publishes that an engine is leaving. Once every VM has applied that, the
// engine must get no new requests.
func engineLeaves() Scenario {
	// mark is the name of the mark for the time at which every VM had applied the change.
	const mark = "left"
	// index is the leaving engine's index in Engines.
	const index = 1
	return Scenario{
		name: "engine leaves",
		steps: []step{{1500 * time.Millisecond, func(ctx context.Context, r *run) error {
			return r.publish(ctx, mark, r.EngineRecord(r.Engines()[index], true))
		}}},
		checks: []func(*run){func(r *run) {
			sycoracle.CheckLeaving(r.ledger, r.Engines()[index].Requests(), r.timeOf(mark), leavingGrace)
		}},
	}
}

// badVersion rolls out a version whose requests all fail. It must get only a small part
// of the requests and be rolled back.
func badVersion() Scenario {
	return Scenario{
		name: "bad version",
		steps: []step{{0, func(ctx context.Context, r *run) error {
			fault := sycengine.Failure{Weights: badWeights, Share: 1, Mode: sycengine.ModeError}
			for _, e := range r.Engines() {
				e.SetFaults(sycengine.Faults{Failures: []sycengine.Failure{fault}})
			}
			return r.publish(ctx, badName, sycdeploy.Put(sycrecord.KindVersion, badName, sycrecord.VersionFields{
				Model:    sycdeploy.Model,
				Weights:  badWeights,
				Deadline: time.Now().Add(badDeadline),
				Canary:   0.1,
				Steps:    []float64{0.5, 1},
				Bake:     sycrecord.Duration(badBake),
			}))
		}}},
		checks: []func(*run){func(r *run) {
			var requests []sycengine.Request
			for _, e := range r.Engines() {
				requests = append(requests, e.Requests()...)
			}
			sycoracle.CheckBadVersion(r.ledger, requests, badWeights, maxBadShare, r.rolledBackAt(badName), badGrace)
		}},
	}
}

// rolledBackAt returns the log's time of the record that a version was rolled back. It
// returns the zero time if the version's rollout hasn't ended or was completed.
func (r *run) rolledBackAt(version string) time.Time {
	if o := r.outcome(version); o.State == sycrollout.StateRolledBack {
		return o.At
	}
	return time.Time{}
}

// outcome returns the first record in the log that a version's rollout was completed or
// rolled back, or the zero Outcome if there is none.
func (r *run) outcome(version string) sycoracle.Outcome {
	for _, p := range r.rolloutStates(version) {
		if p.State == sycrollout.StateRolledBack || p.State == sycrollout.StateDone {
			return p
		}
	}
	return sycoracle.Outcome{}
}

// hasReached reports whether the log has a record that a version's rollout was in a state.
func (r *run) hasReached(version, state string) bool {
	return slices.ContainsFunc(r.rolloutStates(version), func(p sycoracle.Outcome) bool { return p.State == state })
}

// rolloutStates lists the recorded states of a version's rollout in the order of the log.
func (r *run) rolloutStates(version string) []sycoracle.Outcome {
	var list []sycoracle.Outcome
	for op, at := range r.systemOperations(sycrecord.KindRollout) {
		var fields sycrecord.RolloutFields
		if op.Name == version && json.Unmarshal(op.Spec, &fields) == nil {
			list = append(list, sycoracle.Outcome{State: fields.State, Reason: fields.Reason, At: at})
		}
	}
	return list
}

// systemOperations iterates over the accepted operations of a kind in the log's system
// stream, which VMs append to, with the log's time of each record.
func (r *run) systemOperations(kind sycrecord.Kind) iter.Seq2[sycrecord.Operation, time.Time] {
	return func(yield func(sycrecord.Operation, time.Time) bool) {
		state := sycconfig.NewState()
		for _, record := range r.Platform().Records(sycconfig.SystemStream) {
			var result sycconfig.Result
			state, result = state.Apply(record.Offset, record.Data)
			var op sycrecord.Operation
			if !result.Accepted() || json.Unmarshal(record.Data, &op) != nil || op.Kind != kind {
				continue
			}
			if !yield(op, record.Time) {
				return
			}
		}
	}
}

// answersCross makes engines and workers respond late, with the response to another
// request, with an error or not at all.
func answersCross() Scenario {
	return Scenario{name: "answers cross", steps: []step{
		{500 * time.Millisecond, func(_ context.Context, r *run) error {
			for _, e := range r.Engines() {
				e.SetFaults(sycengine.Faults{Cross: 2, Late: sycrecord.Duration(50 * time.Millisecond)})
			}
			for _, w := range r.Workers() {
				w.SetFaults(sycservice.Faults{Cross: 1, Lose: 1, Fail: 1, Late: sycrecord.Duration(50 * time.Millisecond)})
			}
			return nil
		}},
	}}
}

// Scenarios lists the scenarios with one kind of fault each, and the one without faults.
func Scenarios() []Scenario {
	return []Scenario{
		noFaults(), enginesCrash(), herdRestarts(), drains(), domainsCut(), platformCut(), logFails(),
		keyRevoked(), engineLeaves(), badVersion(), answersCross(),
		holderPaused(), leaderPaused(), customerFloods(), vmsReplaced(), storeOut(),
		operatorsRace(), bytesLost(), domainAlone(), cacheEventsLost(),
	}
}

// Pairs lists the scenarios that combine two of Scenarios in one run.
func Pairs() []Scenario {
	return []Scenario{
		combine(enginesCrash(), herdRestarts()),
		combine(domainsCut(), logFails()),
		combine(keyRevoked(), platformCut()),
		combine(badVersion(), herdRestarts()),
		combine(answersCross(), domainsCut()),
		combine(leaderPaused(), logFails()),
		combine(vmsReplaced(), keyRevoked()),
	}
}
