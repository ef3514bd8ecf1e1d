package sycrollout_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
)

func TestAdapterOrders(t *testing.T) {
	config := apply(t, sycconfig.NewState(), sycrecord.KindVersion, "v1", sycrecord.VersionFields{Model: "m", Weights: "w1", Adapter: "a1", Initial: true})
	config = apply(t, config, sycrecord.KindVersion, "v2", sycrecord.VersionFields{Model: "m", Weights: "w1", Adapter: "a2", Deadline: noon, Canary: 0.5, Steps: []float64{1}})
	lineup := func(f sycrecord.RolloutFields) sycrollout.Lineup {
		f.Generation = 1
		return sycrollout.NewLineup("m", config, apply(t, sycconfig.NewState(), sycrecord.KindRollout, "v2", f))
	}
	first := sycrollout.Adapter{Weights: "w1", Name: "a1"}
	second := sycrollout.Adapter{Weights: "w1", Name: "a2"}
	engine := func(adapters ...sycrollout.Adapter) []sycrollout.EngineState {
		return []sycrollout.EngineState{{Endpoint: "a", Ready: []string{"w1"}, Adapters: adapters}}
	}
	order := func(kind, adapter string) sycrollout.Order {
		return sycrollout.Order{Endpoint: "a", Kind: kind, Model: "m", Weights: "w1", Adapter: adapter}
	}
	preparing := lineup(sycrecord.RolloutFields{State: sycrollout.StatePreparing})
	tests := []struct {
		name    string
		lineup  sycrollout.Lineup
		engines []sycrollout.EngineState
		want    []sycrollout.Order
	}{
		{"weights first", preparing, []sycrollout.EngineState{{Endpoint: "a"}}, []sycrollout.Order{order(sycrollout.OrderLoad, "")}},
		{"weights are being loaded", preparing, []sycrollout.EngineState{{Endpoint: "a", Loading: []string{"w1"}}}, nil},
		{
			"both adapters", preparing, engine(),
			[]sycrollout.Order{order(sycrollout.OrderLoadAdapter, "a1"), order(sycrollout.OrderLoadAdapter, "a2")},
		},
		{"the other is loaded", preparing, engine(first), []sycrollout.Order{order(sycrollout.OrderLoadAdapter, "a2")}},
		{"complete", preparing, engine(first, second), nil},
		{"both kept in the probation", lineup(sycrecord.RolloutFields{State: sycrollout.StateDone, Share: 1, Probation: probation}), engine(first, second), nil},
		{
			"dropped when no version needs it", lineup(sycrecord.RolloutFields{State: sycrollout.StateDone, Share: 1}), engine(first, second),
			[]sycrollout.Order{order(sycrollout.OrderDropAdapter, "a1")},
		},
		{
			"kept until the successor is loaded", lineup(sycrecord.RolloutFields{State: sycrollout.StateDone, Share: 1}), engine(first),
			[]sycrollout.Order{order(sycrollout.OrderLoadAdapter, "a2")},
		},
		{
			"dropped when rolled back", lineup(sycrecord.RolloutFields{State: sycrollout.StateRolledBack}), engine(first, second),
			[]sycrollout.Order{order(sycrollout.OrderDropAdapter, "a2")},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			must.Eq(t, tt.want, sycrollout.Orders("m", tt.lineup, tt.engines))
		})
	}
}

func TestRoleOrders(t *testing.T) {
	tests := []struct {
		name             string
		wanted, reported string
		unfenced         bool
		want             string
	}{
		{"any role is wanted", "", "both", false, ""},
		{"reported as wanted", "decode", "decode", false, ""},
		{"another reported", "decode", "both", false, "decode"},
		{"not reported", "both", "", false, "both"},
		{"any role is wanted, fencing number is unknown", "", "both", true, "both"},
		{"reported as wanted, fencing number is unknown", "decode", "decode", true, "decode"},
		{"engine without roles", "", "", true, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engine := sycrollout.EngineRole{Endpoint: "a", Wanted: tt.wanted, Reported: tt.reported, Unfenced: tt.unfenced}
			var want []sycrollout.Order
			if tt.want != "" {
				want = []sycrollout.Order{{Endpoint: "a", Kind: sycrollout.OrderRole, Role: tt.want}}
			}
			must.Eq(t, want, sycrollout.RoleOrders([]sycrollout.EngineRole{engine}))
		})
	}
}
