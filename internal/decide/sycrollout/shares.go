package sycrollout

import (
	"cmp"
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// Version is a version with its generation.
type Version = sycconfig.Object[sycrecord.Version]

// Lineup is the state of a model's versions.
type Lineup struct {
	// Base is the version that serves the model; it has no value without one.
	Base    Version
	HasBase bool
	// Candidate is the version whose rollout is under way or next.
	Candidate    Version
	HasCandidate bool
	// Next is the version after the candidate; it is known during a probation only.
	Next    Version
	HasNext bool
	// Progress is the candidate's recorded progress, in the state "pending" if there is none.
	Progress sycrecord.RolloutFields
	// ProgressGeneration is the generation of the progress record, 0 if there is none.
	ProgressGeneration uint64
}

// Models lists the models that have versions, in order.
func Models(config *sycconfig.State) []string {
	var models []string
	for _, v := range config.Versions() {
		models = append(models, v.Value().Model())
	}
	slices.Sort(models)
	return slices.Compact(models)
}

// NewLineup works out a model's lineup from the folded streams.
func NewLineup(model string, config, system *sycconfig.State) Lineup {
	var l Lineup
	var doneAt uint64
	versions := versionsOf(model, config)
	for _, v := range versions {
		at, ok := servesSince(v, system)
		if ok && (!l.HasBase || at >= doneAt) {
			l.Base, l.HasBase, doneAt = v, true, at
		}
	}
	for _, v := range versions {
		fields, generation := progress(v, system)
		if v.Value().Initial() || chart.Final(fields.State) {
			continue
		}
		if l.HasCandidate {
			l.Next, l.HasNext = v, true
			return l
		}
		l.Candidate, l.HasCandidate = v, true
		l.Progress, l.ProgressGeneration = fields, generation
		if fields.State != StateProbation {
			return l
		}
	}
	return l
}

// versionsOf returns a model's versions in the order of their publication.
func versionsOf(model string, config *sycconfig.State) []Version {
	var list []Version
	for _, v := range config.Versions() {
		if v.Value().Model() == model {
			list = append(list, v)
		}
	}
	slices.SortStableFunc(list, func(a, b Version) int {
		return cmp.Compare(a.Offset(), b.Offset())
	})
	return list
}

// servesSince returns a number that orders the versions that may serve: 0 for
// initial ones, else from the offset of the record that made the version done.
func servesSince(v Version, system *sycconfig.State) (uint64, bool) {
	if v.Value().Initial() {
		return 0, true
	}
	r, ok := system.Rollout(v.Value().Name())
	if !ok || r.Value().Fields().Generation != v.Generation() {
		return 0, false
	}
	return r.Offset() + 1, stateOf(r.Value().Fields()) == StateDone
}

// progress returns a version's recorded progress; a record of an earlier
// generation of the version counts as none.
func progress(v Version, system *sycconfig.State) (sycrecord.RolloutFields, uint64) {
	none := sycrecord.RolloutFields{Generation: v.Generation(), State: chart.Initial()}
	r, ok := system.Rollout(v.Value().Name())
	if !ok {
		return none, 0
	}
	fields := r.Value().Fields()
	fields.State = stateOf(fields)
	if fields.Generation != v.Generation() || !chart.Has(fields.State) {
		return none, r.Generation()
	}
	return fields, r.Generation()
}

// stateOf is the state of the chart that a record stands for.
func stateOf(f sycrecord.RolloutFields) string {
	if f.State == StateDone && f.Probation > 0 {
		return StateProbation
	}
	return f.State
}

// subject returns the version as a subject of evidence.
func subject(v Version) Subject {
	return Subject{Version: v.Value().Name(), Generation: v.Generation()}
}

// Subjects returns the candidate and the base as subjects of evidence.
func (l Lineup) Subjects() (candidate, base Subject) {
	return subject(l.Candidate), subject(l.Base)
}

// Shares splits the model's traffic between the base and the candidate, which gets at most
// a given share. A vetoed candidate, and one past its deadline, gets nothing.
func (l Lineup) Shares(wall time.Time, most float64, vetoed func(Subject) bool) []sycwork.VersionShare {
	share := 0.0
	stopped := false
	if l.HasCandidate {
		stopped = vetoed(subject(l.Candidate)) || l.late(wall)
		share = min(l.Progress.Share, most)
	}
	if stopped {
		share = 0
	}
	var list []sycwork.VersionShare
	if l.HasBase {
		list = append(list, newShare(l.Base, 1-share, false))
	}
	if l.HasCandidate && (share > 0 || stopped) {
		list = append(list, newShare(l.Candidate, share, stopped))
	}
	return list
}

// late reports whether the candidate is past its deadline without being done.
func (l Lineup) late(wall time.Time) bool {
	return l.Progress.State != StateProbation && wall.After(l.Candidate.Value().Deadline())
}

func newShare(v Version, share float64, vetoed bool) sycwork.VersionShare {
	return sycwork.VersionShare{
		Version: v.Value().Name(),
		Weights: v.Value().Weights(),
		Adapter: v.Value().Adapter(),
		Share:   share,
		Vetoed:  vetoed,
	}
}
