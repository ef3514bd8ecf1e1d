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
	// restartBound is how long a restarted VM may take until it serves.
	restartBound = 10 * time.Second
	// inForceBound is how long a change may take until every VM has applied it.
	inForceBound = 20 * time.Second
	// leavingGrace is how long a leaving engine may get requests after that.
	leavingGrace = 2 * time.Second
	// badShare is the largest share that a bad version may get.
	badShare = 0.15
	// badDeadline is that of a bad version, counted from its record.
	badDeadline = time.Minute
	badBake     = 500 * time.Millisecond
	// badGrace is how long a bad version may get requests after its rollback.
	badGrace   = 2 * time.Second
	badWeights = "bad"
	badName    = "bad"
)

// publish publishes a change, waits until every VM has applied it and notes
// that time.
func (r *run) publish(ctx context.Context, mark string, operation sycrecord.Operation) error {
	next, err := r.Publish(ctx, operation)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, inForceBound)
	defer cancel()
	err = r.AwaitApplied(ctx, next)
	r.ledger.Check(sycoracle.ConfigHolds, err == nil, "offset %d was not in force after %s: %v", next, inForceBound, err)
	r.mark(mark)
	return nil
}

// calm has no faults.
func calm() Scenario { return Scenario{name: "calm"} }

// enginesCrash makes engines lose everything, one of them twice.
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

// herd kills every second VM at once and starts all of them together.
func herd() Scenario {
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

// restart starts a VM and checks how soon it is ready.
func restart(ctx context.Context, r *run, router *sycdeploy.Router) error {
	return readyAgain(ctx, r, router, (*sycdeploy.Router).Start)
}

// replace replaces a VM and checks how soon the new one is ready.
func replace(ctx context.Context, r *run, router *sycdeploy.Router) error {
	return readyAgain(ctx, r, router, (*sycdeploy.Router).Replace)
}

func readyAgain(ctx context.Context, r *run, router *sycdeploy.Router, start func(*sycdeploy.Router) error) error {
	began := time.Now()
	if err := start(router); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err := router.AwaitReady(ctx)
	sycoracle.CheckRestart(r.ledger, time.Since(began), restartBound)
	return err
}

// drains shuts VMs down gracefully and starts them again.
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

// domainsCut cuts the first failure domain off from the others, and heals it.
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

// platformCut cuts the first failure domain off from the platform, and heals it.
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

// logFails makes the log lose answers, then fail, then hang.
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

// keyRevoked revokes the key of the first customer.
func keyRevoked() Scenario {
	const mark = "revoked"
	return Scenario{
		name: "key revoked",
		steps: []step{{1500 * time.Millisecond, func(ctx context.Context, r *run) error {
			return r.revoke(ctx, mark, r.CustomerNames()[0])
		}}},
		checks: []func(*run){func(r *run) {
			sycoracle.CheckRevoked(r.ledger, r.result.Exchanges(), r.CustomerNames()[0], r.marked(mark), 0)
		}},
	}
}

// revoke publishes that a customer's key is revoked and notes when every VM has
// applied that.
func (r *run) revoke(ctx context.Context, mark, customer string) error {
	hash := sha256.Sum256([]byte(r.Keys()[customer]))
	return r.publish(ctx, mark, sycdeploy.Put(sycrecord.KindKey, "key-"+customer, sycrecord.KeyFields{
		Customer:  customer,
		SHA256:    hex.EncodeToString(hash[:]),
		Withdrawn: true,
	}))
}

// engineLeaves marks an engine as leaving.
func engineLeaves() Scenario {
	const mark = "left"
	const index = 1
	return Scenario{
		name: "engine leaves",
		steps: []step{{1500 * time.Millisecond, func(ctx context.Context, r *run) error {
			return r.publish(ctx, mark, r.EngineRecord(r.Engines()[index], true))
		}}},
		checks: []func(*run){func(r *run) {
			sycoracle.CheckLeaving(r.ledger, r.Engines()[index].Requests(), r.marked(mark), leavingGrace)
		}},
	}
}

// badVersion rolls out a version that fails every request.
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
			sycoracle.CheckBadVersion(r.ledger, requests, badWeights, badShare, r.rolledBack(badName), badGrace)
		}},
	}
}

// rolledBack is when the log says that a version was rolled back; it is the
// zero time where it says nothing of the kind.
func (r *run) rolledBack(version string) time.Time {
	if o := r.outcome(version); o.State == sycrollout.StateRolledBack {
		return o.At
	}
	return time.Time{}
}

// outcome is the first end of a version's rollout that the log holds.
func (r *run) outcome(version string) sycoracle.Outcome {
	for _, p := range r.progress(version) {
		if p.State == sycrollout.StateRolledBack || p.State == sycrollout.StateDone {
			return p
		}
	}
	return sycoracle.Outcome{}
}

// reached reports whether a version's rollout has been in a state.
func (r *run) reached(version, state string) bool {
	return slices.ContainsFunc(r.progress(version), func(p sycoracle.Outcome) bool { return p.State == state })
}

// progress lists the states of a version's rollout that the log holds.
func (r *run) progress(version string) []sycoracle.Outcome {
	var list []sycoracle.Outcome
	for op, at := range r.systemOperations(sycrecord.KindRollout) {
		var fields sycrecord.RolloutFields
		if op.Name == version && json.Unmarshal(op.Spec, &fields) == nil {
			list = append(list, sycoracle.Outcome{State: fields.State, Reason: fields.Reason, At: at})
		}
	}
	return list
}

// systemOperations lists the operations of a kind that VMs appended and that took
// effect, with the log's times.
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

// answersCross makes engines and services answer late, crossed or not at all.
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

// Scenarios lists each fault alone.
func Scenarios() []Scenario {
	return []Scenario{
		calm(), enginesCrash(), herd(), drains(), domainsCut(), platformCut(), logFails(),
		keyRevoked(), engineLeaves(), badVersion(), answersCross(),
		holderPaused(), leaderPaused(), customerFloods(), vmsReplaced(), storeOut(),
		operatorsRace(), bytesLost(), domainAlone(), cacheUncertain(),
	}
}

// Pairs lists scenarios of two faults together.
func Pairs() []Scenario {
	return []Scenario{
		together(enginesCrash(), herd()),
		together(domainsCut(), logFails()),
		together(keyRevoked(), platformCut()),
		together(badVersion(), herd()),
		together(answersCross(), domainsCut()),
		together(leaderPaused(), logFails()),
		together(vmsReplaced(), keyRevoked()),
	}
}
