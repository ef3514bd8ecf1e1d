package sycrelease_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrelease"
)

// timeLimit is the time within which the moves of these tests must end.
const timeLimit = 16 * time.Second

// goodEvidence is the evidence of a release with three endpoints and no failures.
func goodEvidence(requests uint64) sycrelease.Evidence {
	return sycrelease.Evidence{Endpoints: 3, Requests: requests}
}

func TestStages(t *testing.T) {
	tests := []struct {
		name     string
		at       time.Duration
		evidence sycrelease.Evidence
		share    float64
		state    sycrelease.State
		// fullSince is when the release got all requests, 0 if it never did.
		fullSince time.Duration
	}{
		{"no endpoints yet", time.Second, sycrelease.Evidence{}, 0, sycrelease.Running, 0},
		{"trial", 2 * time.Second, goodEvidence(0), 0.08, sycrelease.Running, 0},
		{"long trial", 9 * time.Second, goodEvidence(1000), 0.08, sycrelease.Running, 0},
		{"half of the requests", 10 * time.Second, goodEvidence(1000), 0.5, sycrelease.Running, 0},
		{"all requests", 11 * time.Second, goodEvidence(1000), 1, sycrelease.Running, 0},
		{"not proved", 11 * time.Second, goodEvidence(2), 0.08, sycrelease.Running, 0},
		{"suspected on trial", 11 * time.Second, sycrelease.Evidence{Endpoints: 3, Requests: 30, Suspected: true}, 0.08, sycrelease.Running, 0},
		{"suspected with all requests", 11 * time.Second, sycrelease.Evidence{Endpoints: 3, Requests: 30, Suspected: true}, 1, sycrelease.Running, 10 * time.Second},
		{"too late to complete", 13 * time.Second, goodEvidence(2), 0, sycrelease.RolledBack, 0},
		{"just in time to complete", 13 * time.Second, goodEvidence(1000), 1, sycrelease.Running, 12600 * time.Millisecond},
		{"suspected until the end", 15 * time.Second, sycrelease.Evidence{Endpoints: 3, Requests: 30, Suspected: true}, 0, sycrelease.RolledBack, 0},
		{"completed", 15 * time.Second, goodEvidence(1000), 1, sycrelease.Completed, 11 * time.Second},
		{"completed late", 20 * time.Second, goodEvidence(1000), 1, sycrelease.Completed, 11 * time.Second},
		{"never proved", 15 * time.Second, goodEvidence(2), 0, sycrelease.RolledBack, 11 * time.Second},
		{"all requests for too short a time", 15 * time.Second, goodEvidence(1000), 0, sycrelease.RolledBack, 14 * time.Second},
		{"never had all requests", 15 * time.Second, goodEvidence(1000), 0, sycrelease.RolledBack, 0},
		{"failed", 4 * time.Second, sycrelease.Evidence{Endpoints: 3, Requests: 30, FailureReason: "fails"}, 0, sycrelease.RolledBack, 0},
		{"failed late", 12 * time.Second, sycrelease.Evidence{Endpoints: 3, Requests: 30, FailureReason: "fails"}, 0, sycrelease.RolledBack, 11 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := sycrelease.New(0, timeLimit, 0.1)
			if tt.fullSince > 0 {
				m.SetShare(tt.fullSince, 1)
			}
			must.InDelta(t, tt.share, m.Next(tt.at, tt.evidence), 1e-9)
			must.Eq(t, tt.state, m.State())
		})
	}
}

// TestFinalStateStays guards against a rolled back move that another VM's decision or a
// later evaluation completes.
func TestFinalStateStays(t *testing.T) {
	m := sycrelease.New(0, timeLimit, 0.1)
	m.Next(time.Second, sycrelease.Evidence{FailureReason: "fails"})
	must.Eq(t, "fails", m.Reason())
	must.Eq(t, 0.0, m.Next(15*time.Second, goodEvidence(1000)))
	m.AdoptState(sycrelease.Completed)
	must.Eq(t, sycrelease.RolledBack, m.State())
}

// TestLateFaultStaysBelowGrantedShare guards against a release that fails late in its
// trial and has had more requests by then than the granted share allows. The fault is
// seen two seconds after it begins.
func TestLateFaultStaysBelowGrantedShare(t *testing.T) {
	for fault := time.Second; fault < 9*time.Second; fault += time.Second {
		m := sycrelease.New(0, timeLimit, 0.1)
		candidate, total := 0.0, 0.0
		for now := time.Duration(0); now < timeLimit; now += 100 * time.Millisecond {
			e := goodEvidence(uint64(candidate))
			if now > fault+2*time.Second {
				e.FailureReason = "slow"
			}
			total += 10
			candidate += 10 * m.Next(now, e)
		}
		must.LessEq(t, 0.1*total+50, candidate)
		must.Eq(t, sycrelease.RolledBack, m.State())
	}
}

// TestLeaderFailsDuringMove guards against a move that completes although the release had
// all requests for too short a time: the VM that decides fails at any time of the move, and
// another takes over 3.5 seconds later.
func TestLeaderFailsDuringMove(t *testing.T) {
	const gap, tick = 3500 * time.Millisecond, 100 * time.Millisecond
	for _, within := range []time.Duration{5 * time.Second, 16 * time.Second} {
		for fails := time.Duration(0); fails < within; fails += tick {
			m := sycrelease.New(0, within, 0.1)
			share, fullShareTime := 0.0, time.Duration(0)
			for now := time.Duration(0); m.State() == sycrelease.Running; now += tick {
				must.Less(t, within+gap, now)
				if now < fails || now >= fails+gap {
					share = m.Next(now, goodEvidence(100))
				}
				m.SetShare(now, share)
				if share == 1 && m.State() == sycrelease.Running {
					fullShareTime += tick
				}
			}
			if m.State() == sycrelease.Completed {
				must.GreaterEq(t, within/16, fullShareTime, must.Sprint(within, fails))
			}
		}
	}
}
