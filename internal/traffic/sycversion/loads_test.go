package sycversion

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
)

// TestLoadsAreTimedByReports times loads by what engines reported while this VM looked.
func TestLoadsAreTimedByReports(t *testing.T) {
	t.Parallel()
	const second = time.Second
	report := func(state string) sycrollout.EngineState {
		e := sycrollout.EngineState{Endpoint: "e1"}
		switch state {
		case "loading":
			e.Loading = []string{"w2"}
		case "ready":
			e.Ready = []string{"w2"}
		}
		return e
	}
	type look struct {
		at    time.Duration
		state string
	}
	tests := []struct {
		name  string
		looks []look
		want  time.Duration
	}{
		{"not there", []look{{2 * second, "loading"}}, 0},
		{"watched", []look{{2 * second, "loading"}, {4 * second, "loading"}, {4*second + TickPeriod/2, "ready"}}, 3*second + TickPeriod/2},
		{"not led for long", []look{{2 * second, "loading"}, {60 * second, "ready"}}, second + TickPeriod},
		{"never seen loading", []look{{60 * second, "ready"}}, TickPeriod},
		{"ready again and again", []look{{2 * second, "loading"}, {60 * second, "ready"}, {90 * second, "ready"}}, second + TickPeriod},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			m := &Manager{loads: map[loadKey]loadTime{{"e1", "w2"}: {ordered: second, loading: second}}}
			for _, l := range tt.looks {
				m.timeLoads(l.at, []sycrollout.EngineState{report(l.state)})
			}
			must.Eq(t, tt.want, m.typicalLoad("w2"))
		})
	}
}

// TestOneSlowLoadIsNoRule takes the median of the engines' times.
func TestOneSlowLoadIsNoRule(t *testing.T) {
	t.Parallel()
	m := &Manager{loads: map[loadKey]loadTime{
		{"e1", "w2"}: {took: 30 * time.Second},
		{"e2", "w2"}: {took: time.Second},
		{"e3", "w2"}: {took: 2 * time.Second},
		{"e4", "w2"}: {},
		{"e1", "w1"}: {took: time.Minute},
	}}
	must.Eq(t, 2*time.Second, m.typicalLoad("w2"))
	must.Zero(t, m.typicalLoad("w3"))
}
