// Package sycrollout decides how a model moves to a new version: which share
// of the traffic the version gets, whether it is good, and when the rollout is
// done or rolled back.
package sycrollout

import (
	_ "embed"
	"fmt"
	"math"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycchart"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// States of the rollout chart.
const (
	StatePending    = "pending"
	StatePreparing  = "preparing"
	StateCanary     = "canary"
	StateStepping   = "stepping"
	StateDone       = "done"
	StateRolledBack = "rolled_back"
	// StateProbation is recorded as StateDone with the length of the probation.
	StateProbation = "probation"
)

const (
	// finishMargin is kept before the deadline for the last record's append.
	finishMargin = 2 * time.Second
	// minRequests is the evidence that a stage needs, unless time runs short.
	minRequests = 30
	// spareTime and spareDivisor set the time kept in reserve by a stage that
	// waits for requests: a fixed part, and a part of what later stages need.
	spareTime    = time.Second
	spareDivisor = 4
	// minMissed is the number of requests that must have been a version's share for
	// a stage without any to count as a fault.
	minMissed = 5
	// nextSlack is how many times its own length a next version must have left
	// for a probation to go on.
	nextSlack = 2
	// loadParallel is the number of engines that load weights together.
	loadParallel = 2
)

//go:embed rollout.xml
var chartFile []byte

// View is what the leader knows of a rollout when it decides.
type View struct {
	// Wall is the leader's wall clock, which deadlines are compared with.
	Wall   time.Time
	Lineup Lineup
	// InState is how long the present state and share have lasted.
	InState time.Duration
	// Stage and Recent judge the version since the stage began and lately.
	Stage  Verdict
	Recent Verdict
	// Veto is the reason why some VM stopped using the version; empty for none.
	Veto string
	// Engines counts the model's live engines, Ready those with the version loaded.
	Engines int
	Ready   int
	// LoadTime is the time that engines took to load it; 0 if unknown.
	LoadTime time.Duration
}

var chart = sycchart.MustParse(chartFile, sycchart.Guards[View]{
	"expired":    View.expired,
	"turn":       func(v View) bool { return v.Engines > 0 },
	"infeasible": View.infeasible,
	"loaded":     func(v View) bool { return v.readyFor(v.nextShare()) },
	"bad":        func(v View) bool { return v.fault() != "" },
	"proven":     func(v View) bool { return v.proven() && v.readyFor(v.nextShare()) },
	"settled":    View.settled,
	"finished":   func(v View) bool { return v.Lineup.Progress.Share >= 1 && v.proven() && v.readyFor(1) },
})

// Decide returns the progress to record next, and whether there is any.
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
		next.Reason = v.reason()
	case StateProbation:
		next.State = StateDone
		next.Share = 1
		next.Reason = v.passed()
		next.Probation = v.probation()
	case StateDone:
		next.Share = 1
		next.Reason = v.settledReason()
	case StatePreparing:
		next.Reason = "weights are being loaded"
	default:
		next.Share = v.nextShare()
		next.Reason = fmt.Sprintf("%d requests gave no sign of a fault", v.Stage.Requests)
	}
	return next, true
}

// Waiting says in a sentence what a rollout waits for.
func Waiting(v View) string {
	next := v.nextShare()
	switch {
	case v.Stage.ReevaluationReason != "":
		return "it is compared side by side with its predecessor: " + v.Stage.ReevaluationReason
	case v.Lineup.Progress.State == StateProbation:
		return v.waitingToSettle()
	case v.Engines == 0:
		return "no engine of the model is live"
	case !v.readyFor(next):
		return fmt.Sprintf("%d of %d engines needed for a share of %g have the weights", v.Ready, v.needed(next), next)
	case v.InState < v.bake():
		return fmt.Sprintf("the stage lasts %s longer", (v.bake() - v.InState).Round(time.Millisecond))
	case v.unseen():
		return fmt.Sprintf("its share came to about %d requests, and none has ended", v.missed())
	case !v.enough():
		return fmt.Sprintf("%d of %d requests were seen in this stage", v.Stage.Requests, minRequests)
	}
	return "the next record"
}

func (v View) left() time.Duration {
	return v.Lineup.Candidate.Value().Deadline().Sub(v.Wall) - finishMargin
}

func (v View) expired() bool { return v.left() <= 0 }

func (v View) bake() time.Duration { return v.Lineup.Candidate.Value().Bake() }

// fault says why the version is bad; empty if nothing shows it.
func (v View) fault() string {
	switch {
	case v.Stage.Failed:
		return v.Stage.Reason
	case v.Recent.Failed:
		return v.Recent.Reason
	}
	return v.Veto
}

func (v View) reason() string {
	if fault := v.fault(); fault != "" {
		return fault
	}
	if v.expired() {
		return fmt.Sprintf("the deadline %s came first: %s", v.Lineup.Candidate.Value().Deadline().Format(time.RFC3339), Waiting(v))
	}
	return fmt.Sprintf("the deadline cannot be met: %s are left and %s are needed; %s",
		v.left().Round(time.Millisecond), v.timeNeeded().Round(time.Millisecond), Waiting(v))
}

// shares lists the shares that are still to come, the present one first.
func (v View) shares() []float64 {
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

// nextShare is the share after the present one.
func (v View) nextShare() float64 {
	shares := v.shares()
	if v.Lineup.Progress.Share == 0 || len(shares) == 1 {
		return shares[0]
	}
	return shares[1]
}

// needed is the number of engines that a share of the traffic needs.
func (v View) needed(share float64) int {
	return EnginesFor(share, v.Engines)
}

// EnginesFor is the number of engines that must have a version loaded before
// it gets a share of the traffic: its part of them, and at least one.
func EnginesFor(share float64, engines int) int {
	return min(max(int(math.Ceil(share*float64(engines))), 1), engines)
}

func (v View) readyFor(share float64) bool {
	return v.Engines > 0 && v.Ready >= v.needed(share)
}

// timeNeeded estimates the time to the end of the rollout if all goes well.
func (v View) timeNeeded() time.Duration {
	stages := len(v.shares())
	bakes := time.Duration(stages) * v.bake()
	if v.Lineup.Progress.Share > 0 {
		bakes -= min(v.InState, v.bake())
	}
	rounds := (v.Engines - v.Ready + loadParallel - 1) / loadParallel
	loads := time.Duration(max(rounds, 0)) * v.LoadTime
	return max(bakes, loads)
}

func (v View) infeasible() bool { return v.timeNeeded() > v.left() }

// enough reports whether the stage has seen enough requests. A stage waits for
// them as long as the stages after it can still bake before the deadline, and
// to the end if it has seen none although there were requests.
func (v View) enough() bool {
	if v.Stage.Requests >= minRequests {
		return true
	}
	if v.unseen() {
		return false
	}
	after := time.Duration(len(v.shares())-1) * v.bake()
	return v.left() <= after+after/spareDivisor+spareTime
}

func (v View) proven() bool {
	return v.fault() == "" && v.Stage.ReevaluationReason == "" && v.InState >= v.bake() && v.enough()
}
