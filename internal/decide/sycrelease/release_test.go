package sycrelease_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrelease"
)

const within = 16 * time.Second

func good(requests uint64) sycrelease.Evidence {
	return sycrelease.Evidence{Endpoints: 3, Requests: requests}
}

func TestStages(t *testing.T) {
	tests := []struct {
		name     string
		at       time.Duration
		evidence sycrelease.Evidence
		share    float64
		state    sycrelease.State
	}{
		{"no endpoints yet", time.Second, sycrelease.Evidence{}, 0, sycrelease.Running},
		{"trial", 2 * time.Second, good(0), 0.08, sycrelease.Running},
		{"long trial", 9 * time.Second, good(1000), 0.08, sycrelease.Running},
		{"half", 10 * time.Second, good(1000), 0.5, sycrelease.Running},
		{"all", 11 * time.Second, good(1000), 1, sycrelease.Running},
		{"not proved", 11 * time.Second, good(2), 0.08, sycrelease.Running},
		{"done", 15 * time.Second, good(1000), 1, sycrelease.Completed},
		{"never proved", 15 * time.Second, good(2), 0, sycrelease.RolledBack},
		{"bad", 4 * time.Second, sycrelease.Evidence{Endpoints: 3, Requests: 30, Bad: "fails"}, 0, sycrelease.RolledBack},
		{"bad late", 12 * time.Second, sycrelease.Evidence{Endpoints: 3, Requests: 30, Bad: "fails"}, 0, sycrelease.RolledBack},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := sycrelease.New(0, within, 0.1)
			must.InDelta(t, tt.share, m.Next(tt.at, tt.evidence), 1e-9)
			must.Eq(t, tt.state, m.State())
		})
	}
}

func TestDecidedStays(t *testing.T) {
	m := sycrelease.New(0, within, 0.1)
	m.Next(time.Second, sycrelease.Evidence{Bad: "fails"})
	must.Eq(t, "fails", m.Reason())
	must.Eq(t, 0.0, m.Next(15*time.Second, good(1000)))
	m.Decided(sycrelease.Completed)
	must.Eq(t, sycrelease.RolledBack, m.State())
}

// TestLateFaultStaysBelowTheGrant plays a release that turns bad at any time of
// the trial, and counts its part of all requests.
func TestLateFaultStaysBelowTheGrant(t *testing.T) {
	for bad := time.Second; bad < 9*time.Second; bad += time.Second {
		m := sycrelease.New(0, within, 0.1)
		got, all := 0.0, 0.0
		for now := time.Duration(0); now < within; now += 100 * time.Millisecond {
			e := good(uint64(got))
			if now > bad+2*time.Second {
				e.Bad = "slow"
			}
			all += 10
			got += 10 * m.Next(now, e)
		}
		must.LessEq(t, 0.1*all+50, got)
		must.Eq(t, sycrelease.RolledBack, m.State())
	}
}
