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
		// all is since when the release has had all requests, if it had them before.
		all time.Duration
	}{
		{"no endpoints yet", time.Second, sycrelease.Evidence{}, 0, sycrelease.Running, 0},
		{"trial", 2 * time.Second, good(0), 0.08, sycrelease.Running, 0},
		{"long trial", 9 * time.Second, good(1000), 0.08, sycrelease.Running, 0},
		{"half", 10 * time.Second, good(1000), 0.5, sycrelease.Running, 0},
		{"all", 11 * time.Second, good(1000), 1, sycrelease.Running, 0},
		{"not proved", 11 * time.Second, good(2), 0.08, sycrelease.Running, 0},
		{"suspect on trial", 11 * time.Second, sycrelease.Evidence{Endpoints: 3, Requests: 30, Suspected: true}, 0.08, sycrelease.Running, 0},
		{"suspect with all requests", 11 * time.Second, sycrelease.Evidence{Endpoints: 3, Requests: 30, Suspected: true}, 1, sycrelease.Running, 10 * time.Second},
		{"too late to be done", 13 * time.Second, good(2), 0, sycrelease.RolledBack, 0},
		{"just in time to be done", 13 * time.Second, good(1000), 1, sycrelease.Running, 12600 * time.Millisecond},
		{"suspect to the end", 15 * time.Second, sycrelease.Evidence{Endpoints: 3, Requests: 30, Suspected: true}, 0, sycrelease.RolledBack, 0},
		{"done", 15 * time.Second, good(1000), 1, sycrelease.Completed, 11 * time.Second},
		{"done late", 20 * time.Second, good(1000), 1, sycrelease.Completed, 11 * time.Second},
		{"never proved", 15 * time.Second, good(2), 0, sycrelease.RolledBack, 11 * time.Second},
		{"had all for too short", 15 * time.Second, good(1000), 0, sycrelease.RolledBack, 14 * time.Second},
		{"never had all", 15 * time.Second, good(1000), 0, sycrelease.RolledBack, 0},
		{"bad", 4 * time.Second, sycrelease.Evidence{Endpoints: 3, Requests: 30, FailureReason: "fails"}, 0, sycrelease.RolledBack, 0},
		{"bad late", 12 * time.Second, sycrelease.Evidence{Endpoints: 3, Requests: 30, FailureReason: "fails"}, 0, sycrelease.RolledBack, 11 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := sycrelease.New(0, within, 0.1)
			if tt.all > 0 {
				m.SetShare(tt.all, 1)
			}
			must.InDelta(t, tt.share, m.Next(tt.at, tt.evidence), 1e-9)
			must.Eq(t, tt.state, m.State())
		})
	}
}

func TestDecidedStays(t *testing.T) {
	m := sycrelease.New(0, within, 0.1)
	m.Next(time.Second, sycrelease.Evidence{FailureReason: "fails"})
	must.Eq(t, "fails", m.Reason())
	must.Eq(t, 0.0, m.Next(15*time.Second, good(1000)))
	m.AdoptState(sycrelease.Completed)
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
				e.FailureReason = "slow"
			}
			all += 10
			got += 10 * m.Next(now, e)
		}
		must.LessEq(t, 0.1*all+50, got)
		must.Eq(t, sycrelease.RolledBack, m.State())
	}
}

// TestNobodyDecidesForAWhile has the VM that decides fail at any time of the move, and
// another go on seconds later: a release is done only if it had all requests for long.
func TestNobodyDecidesForAWhile(t *testing.T) {
	const gap, tick = 3500 * time.Millisecond, 100 * time.Millisecond
	for _, within := range []time.Duration{5 * time.Second, 16 * time.Second} {
		for fails := time.Duration(0); fails < within; fails += tick {
			m := sycrelease.New(0, within, 0.1)
			share, all := 0.0, time.Duration(0)
			for now := time.Duration(0); m.State() == sycrelease.Running; now += tick {
				must.Less(t, within+gap, now)
				if now < fails || now >= fails+gap {
					share = m.Next(now, good(100))
				}
				m.SetShare(now, share)
				if share == 1 && m.State() == sycrelease.Running {
					all += tick
				}
			}
			if m.State() == sycrelease.Completed {
				must.GreaterEq(t, within/16, all, must.Sprint(within, fails))
			}
		}
	}
}
