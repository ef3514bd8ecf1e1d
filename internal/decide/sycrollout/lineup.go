package sycrollout

import (
	"cmp"
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// Version is a version of a model: its record with the record's name, generation and
// log offset.
type Version = sycconfig.Object[sycrecord.Version]

// Lineup holds the versions of a model that its rollout involves, and the rollout's
// progress.
type Lineup struct {
	// Base is the version that serves the model, and the candidate's predecessor. It is
	// set only with HasBase.
	Base Version
	// HasBase is set if a version serves the model.
	HasBase bool
	// Candidate is the version whose rollout has started and not ended, or else starts
	// next. It is set only with HasCandidate.
	Candidate Version
	// HasCandidate is set if there is a version whose rollout has not ended.
	HasCandidate bool
	// Next is the version to roll out after the candidate. It is set only with HasNext,
	// during the candidate's probation.
	Next Version
	// HasNext is set if a further version waits for the end of a probation.
	HasNext bool
	// Progress is the candidate's recorded progress. Its state is StatePending if there
	// is no record.
	Progress sycrecord.RolloutFields
	// ProgressGeneration is the generation of the progress record, 0 if there is none.
	ProgressGeneration uint64
}

// Models returns the names of the models that have versions, sorted.
func Models(config *sycconfig.State) []string {
	var models []string
	for _, v := range config.Versions() {
		models = append(models, v.Value().Model())
	}
	slices.Sort(models)
	return slices.Compact(models)
}

// NewLineup derives a model's lineup from the states of the config and system streams.
func NewLineup(model string, config, system *sycconfig.State) Lineup {
	var l Lineup
	var doneAt uint64
	versions := versionsOf(model, config)
	for _, v := range versions {
		at, ok := servingOrder(v, system)
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

// servingOrder reports whether a version may be the base, and returns a number by which
// the last such version is found. The number is 0 for an initial version, otherwise the
// offset of the record that made the version done, plus 1.
func servingOrder(v Version, system *sycconfig.State) (uint64, bool) {
	if v.Value().Initial() {
		return 0, true
	}
	r, ok := system.Rollout(v.Value().Name())
	if !ok || r.Value().Fields().Generation != v.Generation() {
		return 0, false
	}
	return r.Offset() + 1, chartState(r.Value().Fields()) == StateDone
}

// progress returns a version's recorded progress and the record's generation. A record
// of an earlier generation of the version, or with a state that the chart doesn't have,
// counts as no progress; its generation is returned all the same.
func progress(v Version, system *sycconfig.State) (sycrecord.RolloutFields, uint64) {
	none := sycrecord.RolloutFields{Generation: v.Generation(), State: chart.Initial()}
	r, ok := system.Rollout(v.Value().Name())
	if !ok {
		return none, 0
	}
	fields := r.Value().Fields()
	fields.State = chartState(fields)
	if fields.Generation != v.Generation() || !chart.Has(fields.State) {
		return none, r.Generation()
	}
	return fields, r.Generation()
}

// chartState returns the state of the chart that a progress record stands for.
func chartState(f sycrecord.RolloutFields) string {
	if f.State == StateDone && f.Probation > 0 {
		return StateProbation
	}
	return f.State
}

// subject returns the subject that stands for a version in comparisons.
func subject(v Version) Subject {
	return Subject{Version: v.Value().Name(), Generation: v.Generation()}
}

// Subjects returns the subjects of the candidate and the base.
func (l Lineup) Subjects() (candidate, base Subject) {
	return subject(l.Candidate), subject(l.Base)
}

// Shares returns the traffic shares of the base and the candidate. The candidate gets
// at most maxShare, and nothing if it is vetoed or past its deadline.
func (l Lineup) Shares(wall time.Time, maxShare float64, vetoed func(Subject) bool) []sycwork.VersionShare {
	share := 0.0
	stopped := false
	if l.HasCandidate {
		stopped = vetoed(subject(l.Candidate)) || l.pastDeadline(wall)
		share = min(l.Progress.Share, maxShare)
	}
	if stopped {
		share = 0
	}
	var list []sycwork.VersionShare
	if l.HasBase {
		list = append(list, versionShare(l.Base, 1-share, false))
	}
	if l.HasCandidate && (share > 0 || stopped) {
		list = append(list, versionShare(l.Candidate, share, stopped))
	}
	return list
}

// pastDeadline reports whether the candidate's deadline has passed before the end of
// its last stage.
func (l Lineup) pastDeadline(wall time.Time) bool {
	return l.Progress.State != StateProbation && wall.After(l.Candidate.Value().Deadline())
}

// versionShare returns the traffic share of a version in the form that the selection of
// endpoints uses.
func versionShare(v Version, share float64, vetoed bool) sycwork.VersionShare {
	return sycwork.VersionShare{
		Version: v.Value().Name(),
		Weights: v.Value().Weights(),
		Adapter: v.Value().Adapter(),
		Share:   share,
		Vetoed:  vetoed,
	}
}
