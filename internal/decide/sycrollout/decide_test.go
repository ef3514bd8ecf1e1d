package sycrollout_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
)

// noon is the leader's wall-clock time in these tests.
var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// apply applies a record that puts a named object, and checks that it is accepted.
func apply(t *testing.T, s *sycconfig.State, kind sycrecord.Kind, name string, fields any) *sycconfig.State {
	t.Helper()
	spec, err := json.Marshal(fields)
	must.NoError(t, err)
	data, err := json.Marshal(sycrecord.Operation{
		Schema: sycrecord.NewestSchema,
		ID:     fmt.Sprintf("op-%d", s.Next()),
		Verb:   sycrecord.Put,
		Kind:   kind,
		Name:   name,
		Spec:   spec,
	})
	must.NoError(t, err)
	next, result := s.Apply(s.Next(), data)
	must.True(t, result.Accepted(), must.Sprint(result.Reason()))
	return next
}

// versions returns a config state with the initial version v1 and the version v2, whose
// rollout must end within a minute after noon.
func versions(t *testing.T) *sycconfig.State {
	t.Helper()
	config := sycconfig.NewState()
	config = apply(t, config, sycrecord.KindVersion, "v1", sycrecord.VersionFields{Model: "m", Weights: "w1", Initial: true})
	return apply(t, config, sycrecord.KindVersion, "v2", sycrecord.VersionFields{
		Model:    "m",
		Weights:  "w2",
		Deadline: noon.Add(time.Minute),
		Canary:   0.05,
		Steps:    []float64{0.25, 1},
		Bake:     sycrecord.Duration(5 * time.Second),
	})
}

func TestDecide(t *testing.T) {
	failed := sycrollout.Verdict{Failed: true, Reason: "route chat: too slow", Requests: 50}
	good := sycrollout.Verdict{Requests: 50}
	tests := []struct {
		name   string
		state  string
		share  float64
		change func(v *sycrollout.View)
		want   string
		next   float64
	}{
		{"no engine yet", "", 0, func(v *sycrollout.View) { v.Engines = 0 }, "", 0},
		{"starts", "", 0, nil, sycrollout.StatePreparing, 0},
		{"deadline passed before the start", "", 0, func(v *sycrollout.View) { v.Wall = noon.Add(time.Minute) }, sycrollout.StateRolledBack, 0},
		{"not loaded", sycrollout.StatePreparing, 0, nil, "", 0},
		{"loaded", sycrollout.StatePreparing, 0, func(v *sycrollout.View) { v.Ready = 1 }, sycrollout.StateCanary, 0.05},
		{"loads take too long", sycrollout.StatePreparing, 0, func(v *sycrollout.View) { v.LoadTime = 20 * time.Second }, sycrollout.StateRolledBack, 0},
		{"baking", sycrollout.StateCanary, 0.05, func(v *sycrollout.View) { v.Ready, v.InState = 10, 4*time.Second }, "", 0},
		{"canary passed", sycrollout.StateCanary, 0.05, func(v *sycrollout.View) { v.Ready = 10 }, sycrollout.StateStepping, 0.25},
		{"engines for the next step lack", sycrollout.StateCanary, 0.05, func(v *sycrollout.View) { v.Ready = 2 }, "", 0},
		{"too few requests yet", sycrollout.StateCanary, 0.05, func(v *sycrollout.View) { v.Ready, v.Stage.Requests = 10, 3 }, "", 0},
		{"few requests for long", sycrollout.StateCanary, 0.05, func(v *sycrollout.View) { v.Ready, v.Stage.Requests, v.InState = 10, 3, 20*time.Second }, "", 0},
		{"few requests and little time", sycrollout.StateCanary, 0.05, func(v *sycrollout.View) { v.Ready, v.Stage.Requests, v.Wall = 10, 3, noon.Add(45*time.Second) }, sycrollout.StateStepping, 0.25},
		{"failed since the stage began", sycrollout.StateCanary, 0.05, func(v *sycrollout.View) { v.Ready, v.Stage = 10, failed }, sycrollout.StateRolledBack, 0},
		{"failed lately", sycrollout.StateStepping, 0.25, func(v *sycrollout.View) { v.Ready, v.Recent = 10, failed }, sycrollout.StateRolledBack, 0},
		{"vetoed by a VM", sycrollout.StateStepping, 0.25, func(v *sycrollout.View) { v.Ready, v.Veto = 10, "seen by another VM" }, sycrollout.StateRolledBack, 0},
		{"last step begins", sycrollout.StateStepping, 0.25, func(v *sycrollout.View) { v.Ready = 10 }, sycrollout.StateStepping, 1},
		{"failed at the full share", sycrollout.StateStepping, 1, func(v *sycrollout.View) { v.Ready, v.Stage = 10, failed }, sycrollout.StateRolledBack, 0},
		{"done", sycrollout.StateStepping, 1, func(v *sycrollout.View) { v.Ready = 10 }, sycrollout.StateDone, 1},
		{"deadline", sycrollout.StateStepping, 0.25, func(v *sycrollout.View) { v.Ready, v.Wall = 10, noon.Add(time.Minute) }, sycrollout.StateRolledBack, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			system := sycconfig.NewState()
			if tt.state != "" {
				system = apply(t, system, sycrecord.KindRollout, "v2", sycrecord.RolloutFields{Generation: 1, State: tt.state, Share: tt.share})
			}
			v := sycrollout.View{
				Wall:    noon,
				Lineup:  sycrollout.NewLineup("m", versions(t), system),
				InState: 6 * time.Second,
				Stage:   good,
				Engines: 10,
			}
			if tt.change != nil {
				tt.change(&v)
			}
			next, moved := sycrollout.Decide(v)
			must.Eq(t, tt.want != "", moved)
			if moved {
				must.Eq(t, tt.want, next.State)
				must.Eq(t, tt.next, next.Share)
				must.NotEq(t, "", next.Reason)
			}
		})
	}
}

func TestLineupFollowsRecords(t *testing.T) {
	tests := []struct {
		name       string
		generation uint64
		state      string
		base       string
		candidate  string
	}{
		{"no record", 0, "", "v1", "v2"},
		{"in progress", 1, sycrollout.StateCanary, "v1", "v2"},
		{"done", 1, sycrollout.StateDone, "v2", ""},
		{"rolled back", 1, sycrollout.StateRolledBack, "v1", ""},
		{"rolled back in an earlier generation", 7, sycrollout.StateRolledBack, "v1", "v2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			system := sycconfig.NewState()
			if tt.state != "" {
				system = apply(t, system, sycrecord.KindRollout, "v2", sycrecord.RolloutFields{Generation: tt.generation, State: tt.state})
			}
			l := sycrollout.NewLineup("m", versions(t), system)
			must.Eq(t, tt.base, l.Base.Value().Name())
			must.Eq(t, tt.candidate, l.Candidate.Value().Name())
			must.Eq(t, tt.candidate != "", l.HasCandidate)
		})
	}
}

func TestVetoStopsTheShare(t *testing.T) {
	system := apply(t, sycconfig.NewState(), sycrecord.KindRollout, "v2", sycrecord.RolloutFields{Generation: 1, State: sycrollout.StateCanary, Share: 0.05})
	l := sycrollout.NewLineup("m", versions(t), system)
	tests := []struct {
		name   string
		wall   time.Time
		vetoed bool
		want   float64
	}{
		{"in use", noon, false, 0.05},
		{"vetoed", noon, true, 0},
		{"past its deadline", noon.Add(2 * time.Minute), false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			shares := l.Shares(tt.wall, 1, func(sycrollout.Subject) bool { return tt.vetoed })
			must.Len(t, 2, shares)
			must.Eq(t, 1-tt.want, shares[0].Share)
			must.Eq(t, tt.want, shares[1].Share)
			must.Eq(t, tt.want == 0, shares[1].Vetoed)
		})
	}
}

func TestOrders(t *testing.T) {
	system := apply(t, sycconfig.NewState(), sycrecord.KindRollout, "v2", sycrecord.RolloutFields{Generation: 1, State: sycrollout.StatePreparing})
	preparing := sycrollout.NewLineup("m", versions(t), system)
	done := sycrollout.NewLineup("m", versions(t), apply(t, sycconfig.NewState(), sycrecord.KindRollout, "v2", sycrecord.RolloutFields{Generation: 1, State: sycrollout.StateDone, Share: 1}))
	tests := []struct {
		name    string
		lineup  sycrollout.Lineup
		engines []sycrollout.EngineState
		want    []sycrollout.Order
	}{
		{
			"first engine loads", preparing,
			[]sycrollout.EngineState{{Endpoint: "a", Ready: []string{"w1"}}, {Endpoint: "b", Ready: []string{"w1"}}},
			[]sycrollout.Order{{Endpoint: "a", Kind: "load", Model: "m", Weights: "w2"}},
		},
		{
			"already loading", preparing,
			[]sycrollout.EngineState{{Endpoint: "a", Ready: []string{"w1"}, Loading: []string{"w2"}}},
			nil,
		},
		{
			"engine back empty", preparing,
			[]sycrollout.EngineState{{Endpoint: "a"}, {Endpoint: "b", Ready: []string{"w1"}}},
			[]sycrollout.Order{{Endpoint: "a", Kind: "load", Model: "m", Weights: "w1"}, {Endpoint: "a", Kind: "load", Model: "m", Weights: "w2"}},
		},
		{
			"predecessor is dropped once its successor is there", done,
			[]sycrollout.EngineState{{Endpoint: "a", Ready: []string{"w1", "w2"}}, {Endpoint: "b", Ready: []string{"w1"}}},
			[]sycrollout.Order{{Endpoint: "b", Kind: "load", Model: "m", Weights: "w2"}, {Endpoint: "a", Kind: "drop", Model: "m", Weights: "w1"}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			must.Eq(t, tt.want, sycrollout.Orders("m", tt.lineup, tt.engines))
		})
	}
}
