package sycversion

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
)

// TestLoadsAreTimedByReports measures load times from the reports that this VM read. A VM
// that wasn't the leader for a time has read none, and must not count that time.
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
	type reading struct {
		at    time.Duration
		state string
	}
	tests := []struct {
		name  string
		reads []reading
		want  time.Duration
	}{
		{"not ready", []reading{{2 * second, "loading"}}, 0},
		{"read all the time", []reading{{2 * second, "loading"}, {4 * second, "loading"}, {4*second + TickPeriod/2, "ready"}}, 3*second + TickPeriod/2},
		{"not the leader for a long time", []reading{{2 * second, "loading"}, {60 * second, "ready"}}, second + TickPeriod},
		{"never read as loading", []reading{{60 * second, "ready"}}, TickPeriod},
		{"ready in several reports", []reading{{2 * second, "loading"}, {60 * second, "ready"}, {90 * second, "ready"}}, second + TickPeriod},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			m := &Manager{loads: map[loadKey]loadTime{{"e1", "w2"}: {orderedAt: second, lastLoading: second}}}
			for _, r := range tt.reads {
				m.recordLoadTimes(r.at, []sycrollout.EngineState{report(r.state)})
			}
			must.Eq(t, tt.want, m.medianLoadTime("w2"))
		})
	}
}

// TestMedianLoadTime has one engine load much slower than the others, which must not
// determine the load time.
func TestMedianLoadTime(t *testing.T) {
	t.Parallel()
	m := &Manager{loads: map[loadKey]loadTime{
		{"e1", "w2"}: {duration: 30 * time.Second},
		{"e2", "w2"}: {duration: time.Second},
		{"e3", "w2"}: {duration: 2 * time.Second},
		{"e4", "w2"}: {},
		{"e1", "w1"}: {duration: time.Minute},
	}}
	must.Eq(t, 2*time.Second, m.medianLoadTime("w2"))
	must.Zero(t, m.medianLoadTime("w3"))
}
