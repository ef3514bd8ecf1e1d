package sycrollout

import (
	"fmt"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// After the last step a version is done, and its predecessor stays loaded for a
// probation, so that a version that turns bad can still be rolled back.

// RecordState is the state that the record of a chart's state names.
func RecordState(state string) string {
	if state == StateProbation {
		return StateDone
	}
	return state
}

// probation is the length of the probation to record; 0 without a predecessor.
func (v View) probation() sycrecord.Duration {
	if !v.Lineup.HasBase {
		return 0
	}
	return sycrecord.Duration(v.Lineup.Candidate.Value().Probation())
}

// settled reports whether the probation is over: it has lasted and has seen
// enough requests without a doubt, or the next version can't wait.
func (v View) settled() bool {
	if v.nextIsDue() {
		return true
	}
	return v.probationLeft() <= 0 && v.Stage.Requests >= minRequests && v.Stage.ReevaluationReason == ""
}

func (v View) probationLeft() time.Duration {
	return time.Duration(v.Lineup.Progress.Probation) - v.InState
}

// nextIsDue reports whether the next version needs the rest of its time.
func (v View) nextIsDue() bool {
	if !v.Lineup.HasNext {
		return false
	}
	next := View{
		Wall:     v.Wall,
		Lineup:   Lineup{Candidate: v.Lineup.Next, HasCandidate: true},
		Engines:  v.Engines,
		LoadTime: v.LoadTime,
	}
	return next.left() <= nextSlack*next.timeNeeded()
}

func (v View) waitingToSettle() string {
	base := v.Lineup.Base.Value().Name()
	if left := v.probationLeft(); left > 0 {
		return fmt.Sprintf("%s stays loaded %s longer", base, left.Round(time.Second))
	}
	return fmt.Sprintf("%s stays loaded until %d requests are seen; %d were", base, minRequests, v.Stage.Requests)
}

// passed is the reason of a version that is done.
func (v View) passed() string {
	reason := "every step passed"
	if v.Stage.Requests < minRequests {
		reason += fmt.Sprintf("; %d requests were seen in the last", v.Stage.Requests)
	}
	if v.probation() > 0 {
		reason += fmt.Sprintf("; %s stays loaded for %s", v.Lineup.Base.Value().Name(), time.Duration(v.probation()))
	}
	return reason
}

func (v View) settledReason() string {
	reason := fmt.Sprintf("%d requests since it was done gave no sign of a fault", v.Stage.Requests)
	if v.nextIsDue() {
		reason += fmt.Sprintf("; %s is next", v.Lineup.Next.Value().Name())
	}
	return reason
}

// unseen reports whether a stage has seen no request of the version although its
// share of the traffic came to some: they may hang.
func (v View) unseen() bool {
	return v.Stage.Requests == 0 && v.missed() >= minMissed
}

// missed is how many requests the version's share came to, by those of its
// predecessor.
func (v View) missed() int {
	share := v.Lineup.Progress.Share
	if share <= 0 || share >= 1 {
		return 0
	}
	return int(float64(v.Stage.OldRequests) * share / (1 - share))
}
