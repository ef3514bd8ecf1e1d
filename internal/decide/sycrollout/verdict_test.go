package sycrollout_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
)

var (
	// oldVersion is the predecessor in these tests.
	oldVersion = sycrollout.Subject{Version: "v1", Generation: 1}
	// newVersion is the candidate in these tests.
	newVersion = sycrollout.Subject{Version: "v2", Generation: 1}
)

// traffic counts samples of both versions on two routes in a ledger.
type traffic struct {
	rng    *rand.Rand
	ledger *sycrollout.Ledger
	// alter changes the samples of the new version, nil changes none. Its chance
	// argument is a random number from 0 to 1.
	alter func(at time.Duration, cell sycrollout.Cell, s *sycrollout.Sample, chance float64)
	// slowdown returns the factor by which all durations of both versions are longer;
	// nil stands for 1.
	slowdown func(at time.Duration) float64
}

// request counts a random sample of a version.
func (tr *traffic) request(at time.Duration, subject sycrollout.Subject) {
	cell := sycrollout.Cell{
		Version:    subject.Version,
		Generation: subject.Generation,
		Route:      []string{"chat", "lookup"}[tr.rng.IntN(2)],
		Load:       tr.rng.IntN(3),
	}
	doublings := tr.rng.IntN(3)
	cell.Size = sycrollout.SizeClass(smallPrompt << doublings)
	base := float64(20*time.Millisecond) * math.Exp2(float64(doublings)) * (1 + float64(cell.Load))
	s := sycrollout.Sample{
		Failed:        tr.rng.Float64() < 0.005,
		FirstToken:    time.Duration(base * math.Exp(0.5*tr.rng.NormFloat64())),
		BetweenTokens: time.Duration(float64(12*time.Millisecond) * math.Exp(0.2*tr.rng.NormFloat64())),
	}
	if subject == newVersion && tr.alter != nil {
		tr.alter(at, cell, &s, tr.rng.Float64())
	}
	if tr.slowdown != nil {
		factor := tr.slowdown(at)
		stretch(&s, factor, factor)
	}
	tr.ledger.Record(cell, s)
}

// stretch multiplies a sample's durations by factors.
func stretch(s *sycrollout.Sample, first, between float64) {
	s.FirstToken = time.Duration(first * float64(s.FirstToken))
	s.BetweenTokens = time.Duration(between * float64(s.BetweenTokens))
}

const (
	// smallPrompt is the number of tokens of the smallest prompts.
	smallPrompt = 512
	// requestsPerMinute is the traffic of a run, of which the new version gets a tenth.
	requestsPerMinute = 1200
	// maxExposed is the largest number of requests that a faulty version may get after
	// its fault begins: one in twenty of a minute's requests.
	maxExposed = requestsPerMinute / 20
	// tick is the time between two evaluations.
	tick = 250 * time.Millisecond
)

// run sends a minute's requests. It returns when the new version failed, 0 if it
// didn't, and how many requests it got from the time of the fault on.
func (tr *traffic) run(fault time.Duration) (found time.Duration, exposed int) {
	for at := time.Duration(0); at < time.Minute; at += time.Minute / requestsPerMinute {
		subject := oldVersion
		if tr.rng.IntN(10) == 0 {
			subject = newVersion
			if at >= fault {
				exposed++
			}
		}
		tr.request(at, subject)
		if at%tick != 0 {
			continue
		}
		tr.ledger.TakeReading(at)
		recent := tr.ledger.Recent(tr.ledger.Sum(), at, sycrollout.Window)
		if sycrollout.Compare(recent, newVersion, oldVersion).Failed || sycrollout.Compare(tr.ledger.Sum(), newVersion, oldVersion).Failed {
			return at, exposed
		}
	}
	return 0, exposed
}

// newTraffic returns traffic in which 400 requests of the old version were counted.
func newTraffic(seed uint64) *traffic {
	tr := &traffic{rng: rand.New(rand.NewPCG(seed, 0)), ledger: sycrollout.NewLedger()}
	for range 400 {
		tr.request(0, oldVersion)
	}
	return tr
}

func TestGoodVersionIsKept(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		found, _ := newTraffic(seed).run(0)
		must.Zero(t, found, must.Sprintf("seed %d", seed))
	}
}

// TestSlightlySlowerVersionIsKept guards against a version that fails because its times
// between tokens are three tenths longer. The load of a machine that engines share can
// lengthen them as much.
func TestSlightlySlowerVersionIsKept(t *testing.T) {
	t.Parallel()
	const slower = 1.3
	for seed := range uint64(60) {
		tr := newTraffic(seed)
		tr.alter = func(_ time.Duration, _ sycrollout.Cell, s *sycrollout.Sample, _ float64) {
			stretch(s, 1, slower)
		}
		found, _ := tr.run(0)
		must.Zero(t, found, must.Sprintf("seed %d", seed))
	}
}

func TestBadVersionIsFound(t *testing.T) {
	t.Parallel()
	const late = 20 * time.Second
	tests := []struct {
		name  string
		fault time.Duration
		alter func(at time.Duration, cell sycrollout.Cell, s *sycrollout.Sample, chance float64)
	}{
		{"fails always", 0, func(_ time.Duration, _ sycrollout.Cell, s *sycrollout.Sample, _ float64) {
			s.Failed = true
		}},
		{"fails one in three", 0, func(_ time.Duration, _ sycrollout.Cell, s *sycrollout.Sample, chance float64) {
			s.Failed = s.Failed || chance < 0.33
		}},
		{"three times as slow", 0, func(_ time.Duration, _ sycrollout.Cell, s *sycrollout.Sample, _ float64) {
			s.FirstToken *= 3
		}},
		{"tokens twice as far apart", 0, func(_ time.Duration, _ sycrollout.Cell, s *sycrollout.Sample, _ float64) {
			s.BetweenTokens *= 2
		}},
		{"fails on one route", 0, func(_ time.Duration, cell sycrollout.Cell, s *sycrollout.Sample, chance float64) {
			s.Failed = s.Failed || cell.Route == "lookup" && chance < 0.5
		}},
		{"slow under load", 0, func(_ time.Duration, cell sycrollout.Cell, s *sycrollout.Sample, _ float64) {
			if cell.Load == sycrollout.LoadHigh {
				s.FirstToken *= 4
			}
		}},
		{"fails later", late, func(at time.Duration, _ sycrollout.Cell, s *sycrollout.Sample, _ float64) {
			s.Failed = s.Failed || at > late
		}},
		{"slow later", late, func(at time.Duration, _ sycrollout.Cell, s *sycrollout.Sample, _ float64) {
			if at > late {
				s.FirstToken *= 5
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10) {
				tr := newTraffic(seed)
				tr.alter = tt.alter
				found, exposed := tr.run(tt.fault)
				must.Greater(t, tt.fault, found, must.Sprintf("seed %d: %d requests", seed, exposed))
				must.LessEq(t, maxExposed, exposed, must.Sprintf("seed %d", seed))
			}
		})
	}
}

func TestMergeIsIdempotent(t *testing.T) {
	t.Parallel()
	cell := sycrollout.Cell{Version: "v2", Generation: 1, Route: "chat"}
	counts := func(n uint64) sycrollout.Counts { return sycrollout.Counts{Requests: n} }
	tests := []struct {
		name string
		send []uint64
		want uint64
	}{
		{"once", []uint64{5}, 5},
		{"repeated", []uint64{5, 5}, 5},
		{"reordered", []uint64{7, 5}, 7},
		{"lost and caught up", []uint64{1, 9}, 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ledger := sycrollout.NewLedger()
			ledger.Record(cell, sycrollout.Sample{})
			for _, n := range tt.send {
				ledger.Merge("peer", cell, counts(n))
			}
			must.Eq(t, tt.want+1, ledger.Sum()[cell].Requests)
		})
	}
}

// TestSuspected checks when failed requests make a version suspected, where they are
// too few for the verdict failed.
func TestSuspected(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name                   string
		failed, requests       int
		oldFailed, oldRequests int
		want                   bool
	}{
		{"none failed", 0, 8, 0, 60, false},
		{"one failed", 1, 8, 0, 60, false},
		{"most failed, as did many of the predecessor's", 6, 8, 13, 64, true},
		{"as many failed as of the predecessor's", 2, 8, 13, 64, false},
		{"some failed of many", 3, 90, 0, 300, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ledger := sycrollout.NewLedger()
			record := func(s sycrollout.Subject, failed, requests int) {
				for i := range requests {
					cell := sycrollout.Cell{Version: s.Version, Generation: s.Generation, Route: []string{"a", "b"}[i%2]}
					ledger.Record(cell, sycrollout.Sample{Failed: i < failed, FirstToken: time.Millisecond})
				}
			}
			record(oldVersion, tt.oldFailed, tt.oldRequests)
			record(newVersion, tt.failed, tt.requests)
			v := sycrollout.Compare(ledger.Sum(), newVersion, oldVersion)
			must.False(t, v.Failed, must.Sprint(v.Reason))
			must.Eq(t, tt.want, v.Suspected)
		})
	}
}
