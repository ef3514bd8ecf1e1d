package sycrollout

import (
	"fmt"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// After the last stage a version serves all requests, and its predecessor stays loaded
// for a probation, so that a version whose faults show late can still be rolled back.

// RecordState returns the state that a progress record has for a state of the chart.
func RecordState(state string) string {
	if state == StateProbation {
		return StateDone
	}
	return state
}

// probationLength returns the length of the probation to record. It is 0 if there is no
// predecessor to roll back to.
func (v View) probationLength() sycrecord.Duration {
	if !v.Lineup.HasBase {
		return 0
	}
	return sycrecord.Duration(v.Lineup.Candidate.Value().Probation())
}

// settled reports whether the probation is over: it has lasted its length, has seen
// enough requests, and no re-evaluation is unfinished. It is over at once if the next
// version is due.
func (v View) settled() bool {
	if v.nextVersionDue() {
		return true
	}
	return v.probationLeft() <= 0 && v.Stage.Requests >= minRequests && v.Stage.ReevaluationReason == ""
}

// probationLeft returns how much of the probation's length is left.
func (v View) probationLeft() time.Duration {
	return time.Duration(v.Lineup.Progress.Probation) - v.InState
}

// nextVersionDue reports whether the time left before the next version's deadline is at
// most nextVersionReserve times as long as its rollout needs. The load time of the
// candidate's weights is assumed for the next version's too.
func (v View) nextVersionDue() bool {
	if !v.Lineup.HasNext {
		return false
	}
	next := View{
		Wall:     v.Wall,
		Lineup:   Lineup{Candidate: v.Lineup.Next, HasCandidate: true},
		Engines:  v.Engines,
		LoadTime: v.LoadTime,
	}
	return next.timeLeft() <= nextVersionReserve*next.timeNeeded()
}

// probationWaitReason returns a sentence that says how long the predecessor stays
// loaded, or for how many requests.
func (v View) probationWaitReason() string {
	base := v.Lineup.Base.Value().Name()
	if left := v.probationLeft(); left > 0 {
		return fmt.Sprintf("%s stays loaded %s longer", base, left.Round(time.Second))
	}
	return fmt.Sprintf("%s stays loaded until %d requests are seen; %d were", base, minRequests, v.Stage.Requests)
}

// doneReason returns the reason to record for a version that has passed its last stage.
func (v View) doneReason() string {
	reason := "every step passed"
	if v.Stage.Requests < minRequests {
		reason += fmt.Sprintf("; %d requests were seen in the last", v.Stage.Requests)
	}
	if v.probationLength() > 0 {
		reason += fmt.Sprintf("; %s stays loaded for %s", v.Lineup.Base.Value().Name(), time.Duration(v.probationLength()))
	}
	return reason
}

// probationEndReason returns the reason to record for the end of a probation.
func (v View) probationEndReason() string {
	reason := fmt.Sprintf("%d requests since it was done gave no sign of a fault", v.Stage.Requests)
	if v.nextVersionDue() {
		reason += fmt.Sprintf("; %s is next", v.Lineup.Next.Value().Name())
	}
	return reason
}

// requestsMissing reports whether no request of the version has ended in the stage
// although its traffic share amounted to at least minExpectedRequests. The version's
// requests may hang.
func (v View) requestsMissing() bool {
	return v.Stage.Requests == 0 && v.expectedRequests() >= minExpectedRequests
}

// expectedRequests returns the number of requests that the version's traffic share
// amounts to, as estimated from the predecessor's ended requests.
func (v View) expectedRequests() int {
	share := v.Lineup.Progress.Share
	if share <= 0 || share >= 1 {
		return 0
	}
	return int(float64(v.Stage.PredecessorRequests) * share / (1 - share))
}
