package sycrollout_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
)

// probation is the length of the probation in these tests.
const probation = sycrecord.Duration(time.Minute)

// onProbation returns a system state in which v2 is done and on probation.
func onProbation(t *testing.T) *sycconfig.State {
	t.Helper()
	return apply(t, sycconfig.NewState(), sycrecord.KindRollout, "v2", sycrecord.RolloutFields{
		Generation: 1,
		State:      sycrollout.StateDone,
		Share:      1,
		Probation:  probation,
	})
}

// withThird returns a config state with a version v3 that waits for v2. Its deadline is
// a time after noon.
func withThird(t *testing.T, deadline time.Duration) *sycconfig.State {
	t.Helper()
	return apply(t, versions(t), sycrecord.KindVersion, "v3", sycrecord.VersionFields{
		Model:    "m",
		Weights:  "w3",
		Deadline: noon.Add(deadline),
		Bake:     sycrecord.Duration(5 * time.Second),
	})
}

func TestProbation(t *testing.T) {
	seen := sycrollout.Verdict{Requests: 50}
	failed := sycrollout.Verdict{Failed: true, Reason: "route chat: too slow", Requests: 50}
	tests := []struct {
		name   string
		config *sycconfig.State
		change func(v *sycrollout.View)
		want   string
	}{
		{"continues", versions(t), func(*sycrollout.View) {}, ""},
		{"continues after the deadline", versions(t), func(v *sycrollout.View) { v.Wall = noon.Add(time.Hour) }, ""},
		{"failed", versions(t), func(v *sycrollout.View) { v.Recent = failed }, sycrollout.StateRolledBack},
		{"failed after the deadline", versions(t), func(v *sycrollout.View) { v.Recent, v.Wall = failed, noon.Add(time.Hour) }, sycrollout.StateRolledBack},
		{"vetoed by a VM", versions(t), func(v *sycrollout.View) { v.Veto = "seen by another VM" }, sycrollout.StateRolledBack},
		{"over", versions(t), func(v *sycrollout.View) { v.InState = time.Minute }, sycrollout.StateDone},
		{"lasted without enough requests", versions(t), func(v *sycrollout.View) { v.InState, v.Stage.Requests = time.Hour, 29 }, ""},
		{"next version has time", withThird(t, time.Hour), func(*sycrollout.View) {}, ""},
		{"next version can't wait", withThird(t, 30*time.Second), func(*sycrollout.View) {}, sycrollout.StateDone},
		{"failed although the next version can't wait", withThird(t, 30*time.Second), func(v *sycrollout.View) { v.Recent = failed }, sycrollout.StateRolledBack},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := sycrollout.View{
				Wall:    noon,
				Lineup:  sycrollout.NewLineup("m", tt.config, onProbation(t)),
				InState: 10 * time.Second,
				Stage:   seen,
				Engines: 10,
				Ready:   10,
			}
			tt.change(&v)
			next, moved := sycrollout.Decide(v)
			must.Eq(t, tt.want != "", moved)
			if moved {
				must.Eq(t, tt.want, next.State)
				must.Zero(t, next.Probation)
				must.NotEq(t, "", next.Reason)
			}
		})
	}
}

func TestDoneBeginsProbation(t *testing.T) {
	v := sycrollout.View{
		Wall: noon,
		Lineup: sycrollout.NewLineup("m", versions(t), apply(t, sycconfig.NewState(), sycrecord.KindRollout, "v2",
			sycrecord.RolloutFields{Generation: 1, State: sycrollout.StateStepping, Share: 1})),
		InState: 6 * time.Second,
		Stage:   sycrollout.Verdict{Requests: 50},
		Engines: 10,
		Ready:   10,
	}
	next, moved := sycrollout.Decide(v)
	must.True(t, moved)
	must.Eq(t, sycrollout.StateDone, next.State)
	must.Eq(t, sycrecord.Duration(100*time.Second), next.Probation)
}

// TestPredecessorStaysLoaded checks the traffic shares and orders during a probation,
// in which the predecessor must stay loaded and a veto must give it all requests.
func TestPredecessorStaysLoaded(t *testing.T) {
	l := sycrollout.NewLineup("m", withThird(t, time.Hour), onProbation(t))
	must.Eq(t, "v1", l.Base.Value().Name())
	must.Eq(t, "v2", l.Candidate.Value().Name())
	must.Eq(t, "v3", l.Next.Value().Name())
	tests := []struct {
		name   string
		vetoed bool
		want   float64
	}{
		{"in use after its deadline", false, 1},
		{"vetoed after its deadline", true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			shares := l.Shares(noon.Add(time.Hour), 1, func(sycrollout.Subject) bool { return tt.vetoed })
			must.Len(t, 2, shares)
			must.Eq(t, 1-tt.want, shares[0].Share)
			must.Eq(t, tt.want, shares[1].Share)
		})
	}
	engines := []sycrollout.EngineState{{Endpoint: "a", Ready: []string{"w1", "w2"}}, {Endpoint: "b"}}
	must.Eq(t, []sycrollout.Order{
		{Endpoint: "b", Kind: "load", Model: "m", Weights: "w2"},
		{Endpoint: "b", Kind: "load", Model: "m", Weights: "w1"},
	}, sycrollout.Orders("m", l, engines))
}

// TestNoRequestsSeen guards against a rollout that proceeds although no request of the
// version has ended while its traffic share amounted to some. The deadline is near in
// all cases.
func TestNoRequestsSeen(t *testing.T) {
	tests := []struct {
		name string
		old  uint64
		left time.Duration
		want string
	}{
		{"no traffic", 0, 15 * time.Second, sycrollout.StateStepping},
		{"its share came to less than a few requests", 60, 15 * time.Second, sycrollout.StateStepping},
		{"its share came to requests", 200, 15 * time.Second, ""},
		{"its share came to requests, and no time is left", 200, 5 * time.Second, sycrollout.StateRolledBack},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := sycrollout.View{
				Wall: noon.Add(time.Minute - tt.left),
				Lineup: sycrollout.NewLineup("m", versions(t), apply(t, sycconfig.NewState(), sycrecord.KindRollout, "v2",
					sycrecord.RolloutFields{Generation: 1, State: sycrollout.StateCanary, Share: 0.05})),
				InState: 20 * time.Second,
				Stage:   sycrollout.Verdict{PredecessorRequests: tt.old},
				Engines: 10,
				Ready:   10,
			}
			next, moved := sycrollout.Decide(v)
			must.Eq(t, tt.want != "", moved)
			if moved {
				must.Eq(t, tt.want, next.State)
			}
			if tt.want == sycrollout.StateRolledBack {
				must.StrContains(t, next.Reason, "its share came to about 10 requests")
			}
		})
	}
}
