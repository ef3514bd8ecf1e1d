// Package sycrollout decides how a model moves to a new version: which traffic
// share the version gets, whether its requests show a fault, and when its rollout
// is done or rolled back.
//
// A version is a set of weights, with or without an adapter, that serves a model.
// A rollout moves the traffic from the model's present version, the base or
// predecessor, to a new one, the candidate. It does so in stages, each with a
// larger traffic share: a small one, the canary, then steps up to 1. Each stage
// lasts at least the bake time that the version's record sets.
//
// Every VM counts its attempts by version in a Ledger and merges the counts of
// its peers. A Stage compares the candidate's counts with its predecessor's and
// gives a Verdict. The leader, which is the VM that holds the lease for rollouts,
// calls Decide and records the progress in the log. Ledger and Stage also compare
// the releases of services. A release's first token is the first byte of an answer.
package sycrollout

import (
	_ "embed"
	"fmt"
	"math"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycchart"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// States of a rollout. They are the states of the chart in rollout.xml and have the same
// names in the progress records, except that records name StateProbation as StateDone.
const (
	// StatePending is the state of a version whose rollout hasn't started.
	StatePending = "pending"
	// StatePreparing lasts while engines load the version for its canary.
	StatePreparing = "preparing"
	// StateCanary is the first stage, in which the version gets its smallest traffic
	// share.
	StateCanary = "canary"
	// StateStepping covers all stages after the canary. The rollout stays in it from
	// stage to stage, until the stage at the traffic share 1 is passed.
	StateStepping = "stepping"
	// StateDone is final: the version serves the model, and no probation is left.
	StateDone = "done"
	// StateRolledBack is final: the version gets no traffic.
	StateRolledBack = "rolled_back"
	// StateProbation is the time after the last stage in which the predecessor stays
	// loaded, so that the version can still be rolled back. Its record has the state
	// StateDone and a RolloutFields.Probation above 0.
	StateProbation = "probation"
)

const (
	// finishMargin is the time kept before the deadline for appending the last progress
	// record.
	finishMargin = 2 * time.Second
	// minRequests is the number of the version's ended requests that a stage needs as
	// evidence, unless the deadline is near. A probation needs as many, and a
	// re-evaluation as many first tokens.
	minRequests = 30
	// reserveTime is the fixed part of the reserve. A stage with fewer than minRequests
	// waits for more only until the time left is just enough for the bake times of the
	// later stages and the reserve.
	reserveTime = time.Second
	// reserveDivisor gives the other part of the reserve: the bake times of the later
	// stages, divided by reserveDivisor.
	reserveDivisor = 4
	// minExpectedRequests is the number of requests from which on a stage is expected to
	// have seen one end: if the version's traffic share amounted to at least as many and
	// none has ended, the version's requests may hang, and the stage can't pass.
	minExpectedRequests = 5
	// nextVersionReserve is a multiple of the time that the next version's rollout
	// needs. A probation continues only while more time than this is left before the
	// next version's deadline.
	nextVersionReserve = 2
	// maxParallelLoads is the number of loads of weights that may run at the same time,
	// over all engines of a model.
	maxParallelLoads = 2
)

// chartFile is the XML of the rollout's state chart.
//
//go:embed rollout.xml
var chartFile []byte

// View holds what the leader knows of a rollout when it decides on the next progress
// record.
type View struct {
	// Wall is the leader's wall-clock time, which deadlines are compared with.
	Wall time.Time
	// Lineup has the versions and the candidate's recorded progress.
	Lineup Lineup
	// InState is how long the present state and traffic share have lasted.
	InState time.Duration
	// Stage is the verdict on the candidate since the stage began.
	Stage Verdict
	// Recent is the verdict on the candidate in the last seconds, see Stage.Judge.
	Recent Verdict
	// Veto is the reason why a VM stopped using the candidate by itself. It is empty if
	// no VM did.
	Veto string
	// Engines is the number of the model's live engines.
	Engines int
	// Ready is the number of live engines that have loaded the candidate.
	Ready int
	// LoadTime is the median of the times that single engines took to load the
	// candidate's weights, 0 if none is known.
	LoadTime time.Duration
}

// chart is the rollout's state chart, with a condition on a View for each guard that
// rollout.xml names.
var chart = sycchart.MustParse(chartFile, sycchart.Guards[View]{
	"expired":    View.expired,
	"turn":       func(v View) bool { return v.Engines > 0 },
	"infeasible": View.infeasible,
	"loaded":     func(v View) bool { return v.readyFor(v.nextShare()) },
	"bad":        func(v View) bool { return v.failureReason() != "" },
	"proven":     func(v View) bool { return v.proven() && v.readyFor(v.nextShare()) },
	"settled":    View.settled,
	"finished":   func(v View) bool { return v.Lineup.Progress.Share >= 1 && v.proven() && v.readyFor(1) },
})

// Decide returns the progress that the leader must record next, and whether there is
// any to record.
func Decide(v View) (sycrecord.RolloutFields, bool) {
	now := v.Lineup.Progress
	state, moved := chart.Fire(now.State, "tick", v)
	if !moved {
		return now, false
	}
	next := sycrecord.RolloutFields{
		Generation: v.Lineup.Candidate.Generation(),
		State:      state,
		Evidence:   v.Stage.Evidence,
	}
	switch state {
	case StateRolledBack:
		next.Reason = v.rollbackReason()
	case StateProbation:
		next.State = StateDone
		next.Share = 1
		next.Reason = v.doneReason()
		next.Probation = v.probationLength()
	case StateDone:
		next.Share = 1
		next.Reason = v.probationEndReason()
	case StatePreparing:
		next.Reason = "weights are being loaded"
	default:
		next.Share = v.nextShare()
		next.Reason = fmt.Sprintf("%d requests gave no sign of a fault", v.Stage.Requests)
	}
	return next, true
}

// Waiting returns a sentence for operators that says what the rollout waits for.
func Waiting(v View) string {
	next := v.nextShare()
	switch {
	case v.Stage.ReevaluationReason != "":
		return "it is compared side by side with its predecessor: " + v.Stage.ReevaluationReason
	case v.Lineup.Progress.State == StateProbation:
		return v.probationWaitReason()
	case v.Engines == 0:
		return "no engine of the model is live"
	case !v.readyFor(next):
		return fmt.Sprintf("%d of %d engines needed for a share of %g have the weights", v.Ready, v.enginesNeeded(next), next)
	case v.InState < v.bakeTime():
		return fmt.Sprintf("the stage lasts %s longer", (v.bakeTime() - v.InState).Round(time.Millisecond))
	case v.requestsMissing():
		return fmt.Sprintf("its share came to about %d requests, and none has ended", v.expectedRequests())
	case !v.enoughRequests():
		return fmt.Sprintf("%d of %d requests were seen in this stage", v.Stage.Requests, minRequests)
	}
	return "the next record"
}

// timeLeft returns the time until finishMargin before the candidate's deadline.
func (v View) timeLeft() time.Duration {
	return v.Lineup.Candidate.Value().Deadline().Sub(v.Wall) - finishMargin
}

// expired reports whether no time is left before the candidate's deadline, less
// finishMargin.
func (v View) expired() bool { return v.timeLeft() <= 0 }

// bakeTime returns the shortest time that each stage lasts.
func (v View) bakeTime() time.Duration { return v.Lineup.Candidate.Value().Bake() }

// failureReason says why the candidate failed, by a verdict or by a VM's veto. It is
// empty if the candidate didn't fail.
func (v View) failureReason() string {
	switch {
	case v.Stage.Failed:
		return v.Stage.Reason
	case v.Recent.Failed:
		return v.Recent.Reason
	}
	return v.Veto
}

// rollbackReason returns the reason to record for a rollback.
func (v View) rollbackReason() string {
	if failure := v.failureReason(); failure != "" {
		return failure
	}
	if v.expired() {
		return fmt.Sprintf("the deadline %s came first: %s", v.Lineup.Candidate.Value().Deadline().Format(time.RFC3339), Waiting(v))
	}
	return fmt.Sprintf("the deadline cannot be met: %s are left and %s are needed; %s",
		v.timeLeft().Round(time.Millisecond), v.timeNeeded().Round(time.Millisecond), Waiting(v))
}

// remainingShares returns the traffic shares of the present stage and of those after
// it. Before the canary it returns the shares of all stages.
func (v View) remainingShares() []float64 {
	version := v.Lineup.Candidate.Value()
	list := []float64{version.Canary()}
	for _, s := range version.Steps() {
		if s > list[len(list)-1] {
			list = append(list, s)
		}
	}
	if list[len(list)-1] < 1 {
		list = append(list, 1)
	}
	for len(list) > 1 && list[0] < v.Lineup.Progress.Share {
		list = list[1:]
	}
	return list
}

// nextShare returns the traffic share of the next stage. In the last stage it returns
// the present one.
func (v View) nextShare() float64 {
	shares := v.remainingShares()
	if v.Lineup.Progress.Share == 0 || len(shares) == 1 {
		return shares[0]
	}
	return shares[1]
}

// enginesNeeded returns the number of engines that must have loaded the candidate
// before it gets a traffic share.
func (v View) enginesNeeded(share float64) int {
	return EnginesFor(share, v.Engines)
}

// EnginesFor returns the number of engines that must have loaded a version before it
// gets a traffic share: the same share of the engines, rounded up, and at least one if
// there are any.
func EnginesFor(share float64, engines int) int {
	return min(max(int(math.Ceil(share*float64(engines))), 1), engines)
}

// readyFor reports whether enough engines have loaded the candidate for a traffic
// share.
func (v View) readyFor(share float64) bool {
	return v.Engines > 0 && v.Ready >= v.enginesNeeded(share)
}

// timeNeeded estimates how long the rollout still takes if no fault shows. It is the
// bake time of the remaining stages, or the time to load the weights, on
// maxParallelLoads engines at a time, if that is longer.
func (v View) timeNeeded() time.Duration {
	stages := len(v.remainingShares())
	bakes := time.Duration(stages) * v.bakeTime()
	if v.Lineup.Progress.Share > 0 {
		bakes -= min(v.InState, v.bakeTime())
	}
	rounds := (v.Engines - v.Ready + maxParallelLoads - 1) / maxParallelLoads
	loads := time.Duration(max(rounds, 0)) * v.LoadTime
	return max(bakes, loads)
}

// infeasible reports whether the rollout can't be done before its deadline.
func (v View) infeasible() bool { return v.timeNeeded() > v.timeLeft() }

// enoughRequests reports whether the stage has enough ended requests as evidence. A
// stage with too few waits for more as long as the later stages can still bake before
// the deadline. A stage in which no request has ended, although its traffic share
// amounted to at least minExpectedRequests, waits until the deadline.
func (v View) enoughRequests() bool {
	if v.Stage.Requests >= minRequests {
		return true
	}
	if v.requestsMissing() {
		return false
	}
	after := time.Duration(len(v.remainingShares())-1) * v.bakeTime()
	return v.timeLeft() <= after+after/reserveDivisor+reserveTime
}

// proven reports whether the stage is passed: it has lasted its bake time and has
// enough requests, no failure, and no unfinished re-evaluation.
func (v View) proven() bool {
	return v.failureReason() == "" && v.Stage.ReevaluationReason == "" && v.InState >= v.bakeTime() && v.enoughRequests()
}
