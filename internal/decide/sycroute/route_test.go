package sycroute_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycroute"
)

func TestSpeedFollowsObservationsButNotOutliers(t *testing.T) {
	s := sycroute.NewSpeed()
	for i := range 200 {
		tokens := float64(i%20) * 500
		s.Observe(tokens, 30*time.Millisecond+time.Duration(tokens*50)*time.Microsecond)
	}
	must.Between(t, 480*time.Millisecond, s.Estimate().FirstToken(10_000), 580*time.Millisecond)
	s.Observe(1000, time.Minute)
	must.Less(t, 2*time.Second, s.Estimate().FirstToken(1000))
}

func TestReplicasFollowLoad(t *testing.T) {
	tests := []struct {
		name string
		rate float64
		want int
	}{
		{"idle", 0, 1},
		{"low rate", 4, 1},
		{"high rate", 40, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			must.Eq(t, tt.want, sycroute.Replicas(tt.rate, time.Second, 16))
		})
	}
}

func TestGroupIsTheSharedPrefix(t *testing.T) {
	c := sycroute.NewPrefixCounter()
	shared := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	one := append(append([]uint64{}, shared...), 11, 12, 13, 14, 15, 16, 17, 18)
	two := append(append([]uint64{}, shared...), 21, 22, 23, 24, 25, 26, 27, 28)
	must.Eq(t, c.Group(one, 0), c.Group(two, 0))
	c.Record(0, one)
	must.Eq(t, 8, c.Group(two, 0))
	must.Eq(t, 0, c.Group(nil, 0))
	must.Positive(t, c.Rate(time.Second, 8))
	must.Zero(t, c.Rate(time.Minute, 8))
}

func TestPolicies(t *testing.T) {
	speed := sycroute.NewSpeed().Estimate()
	candidate := func(name string, hash uint64, inFlight int, cached float64) sycroute.Candidate {
		return sycroute.Candidate{
			Name: name, Hash: hash, InFlight: inFlight, HasRoom: true, SameDomain: true,
			PrefillTokens: 6400, CachedBlocks: cached, Speed: speed,
		}
	}
	query := sycroute.Query{ID: 1, Tokens: 6400, Blocks: 100, Group: 7, Replicas: 1}
	full := candidate("a", 1, 9, 100)
	full.HasRoom, full.RoomWait = false, 10*time.Millisecond
	longFull := full
	longFull.RoomWait = time.Minute
	pending := candidate("a", 1, 1, 0)
	pending.PendingBlocks, pending.PendingWait = 100, 300*time.Millisecond
	importing := candidate("b", 2, 0, 0)
	importing.Source = &sycroute.ImportSource{CachedBlocks: 100, PerBlock: 200 * time.Microsecond}
	tests := []struct {
		name       string
		policy     sycroute.Policy
		candidates []sycroute.Candidate
		want       int
		imports    bool
	}{
		{"cached blocks", &sycroute.Prefix{}, []sycroute.Candidate{candidate("a", 1, 5, 100), candidate("b", 2, 0, 0)}, 0, false},
		{"endpoint with cached blocks soon has room", &sycroute.Prefix{}, []sycroute.Candidate{full, candidate("b", 2, 0, 0)}, -1, false},
		{"endpoint with cached blocks stays full", &sycroute.Prefix{}, []sycroute.Candidate{longFull, candidate("b", 2, 0, 0)}, 1, false},
		{"import instead of waiting for room", &sycroute.Prefix{}, []sycroute.Candidate{longFull, importing}, 1, true},
		{"blocks pending at another endpoint", &sycroute.Prefix{}, []sycroute.Candidate{pending, candidate("b", 2, 0, 0)}, -1, false},
		{"no endpoint has room", &sycroute.Prefix{}, []sycroute.Candidate{full}, -1, false},
		{"least loaded", sycroute.LeastLoaded{}, []sycroute.Candidate{candidate("a", 1, 5, 100), candidate("b", 2, 0, 0)}, 1, false},
		{"round robin skips the full", &sycroute.RoundRobin{}, []sycroute.Candidate{full, candidate("b", 2, 0, 0)}, 1, false},
		{"rendezvous", sycroute.Rendezvous{}, []sycroute.Candidate{candidate("a", 1, 5, 0), full}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			choice := tt.policy.Pick(query, tt.candidates)
			must.Eq(t, tt.want, choice.Index)
			must.Eq(t, tt.imports, choice.Import)
		})
	}
}
