package sycplace_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
)

// told says that an engine keeps the shared parts of a subject's prompts.
func told(engine string, weights int64, r *sycplace.Request) sycplace.CacheReport {
	return sycplace.CacheReport{Endpoint: engine, Weights: weights, Cached: r.Blocks[:2]}
}

func TestToldPartsCount(t *testing.T) {
	later := 10 * time.Second
	tests := []struct {
		name string
		tell func(p *sycplace.Selector, sent *sycplace.Target, other string)
		// held is what the engine at which the next prompt arrives is believed to keep.
		held int
		// stays is whether that is the engine of the first prompt.
		stays bool
	}{
		{"nothing told", func(*sycplace.Selector, *sycplace.Target, string) {}, 4500, true},
		{"dropped and kept elsewhere", func(p *sycplace.Selector, sent *sycplace.Target, other string) {
			p.ApplyCacheReport(later, sycplace.CacheReport{Endpoint: sent.Endpoint.ID, Weights: 1, Evicted: []uint64{1, 107}})
			p.ApplyCacheReport(later, told(other, 1, request(1, 7)))
		}, 4500, false},
		{"dropped everywhere", func(p *sycplace.Selector, sent *sycplace.Target, _ string) {
			p.ApplyCacheReport(later, sycplace.CacheReport{Endpoint: sent.Endpoint.ID, Weights: 1, Evicted: []uint64{1, 107}})
		}, 0, true},
		{"dropped before it was sent again", func(p *sycplace.Selector, sent *sycplace.Target, _ string) {
			p.ApplyCacheReport(time.Second, sycplace.CacheReport{Endpoint: sent.Endpoint.ID, Weights: 1, Evicted: []uint64{1, 107}})
		}, 4500, true},
		{"told by an earlier start", func(p *sycplace.Selector, sent *sycplace.Target, _ string) {
			p.ApplyCacheReport(later, sycplace.CacheReport{Endpoint: sent.Endpoint.ID, Incarnation: 9, Weights: 1, Evicted: []uint64{1, 107}})
		}, 4500, true},
		{"dropped under other weights", func(p *sycplace.Selector, sent *sycplace.Target, _ string) {
			p.ApplyCacheReport(later, sycplace.CacheReport{Endpoint: sent.Endpoint.ID, Weights: 2, Evicted: []uint64{1, 107}})
		}, 4500, true},
		{"kept elsewhere, and soon dropped there", func(p *sycplace.Selector, sent *sycplace.Target, other string) {
			p.ApplyCacheReport(later, sycplace.CacheReport{Endpoint: sent.Endpoint.ID, Weights: 1, Evicted: []uint64{1, 107}})
			p.ApplyCacheReport(later, told(other, 1, request(1, 7)))
			p.ApplyCacheReport(later, sycplace.CacheReport{Endpoint: other, Weights: 1, Evicted: []uint64{1, 107}})
		}, 0, true},
		{"kept under other weights", func(p *sycplace.Selector, sent *sycplace.Target, other string) {
			p.ApplyCacheReport(later, sycplace.CacheReport{Endpoint: sent.Endpoint.ID, Weights: 1, Evicted: []uint64{1, 107}})
			p.ApplyCacheReport(later, told(other, 2, request(1, 7)))
		}, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPlacer(2)
			sent := place(t, p, 0, request(1, 7))
			p.Finish(time.Second, 1, sycplace.Served)
			other := "e0"
			if sent.Endpoint.ID == other {
				other = "e1"
			}
			tt.tell(p, sent, other)
			next := place(t, p, later, request(2, 7))
			must.Eq(t, tt.held, next.CachedTokens)
			must.Eq(t, tt.stays, next.Endpoint.ID == sent.Endpoint.ID)
		})
	}
}

// TestBeliefsAreHandedOn has a VM that has just started take over another's beliefs.
func TestBeliefsAreHandedOn(t *testing.T) {
	p, fresh := newPlacer(3), newPlacer(3)
	homes := map[uint64]string{}
	for subject := range uint64(6) {
		homes[subject] = place(t, p, 0, request(subject, subject)).Endpoint.ID
	}
	for _, b := range p.CacheReports() {
		fresh.ApplyCacheReport(time.Second, b)
	}
	for subject, home := range homes {
		target := place(t, fresh, time.Second, request(100+subject, subject))
		must.True(t, target.Endpoint.ID != home || target.CachedTokens == 4500)
		must.Eq(t, 4500, target.CachedTokens+target.FetchTokens)
	}
}

func TestSalts(t *testing.T) {
	wall := sycplace.CacheScope("c", true, "m")
	must.NotEq(t, wall, sycplace.CacheScope("c", false, "m"))
	must.NotEq(t, wall, sycplace.CacheScope("d", true, "m"))
	must.NotEq(t, wall, sycplace.CacheScope("c", true, "n"))
	got, weights, ok := sycplace.ParseSalt(sycplace.Salt(wall, 12))
	must.True(t, ok)
	must.Eq(t, wall, got)
	must.Eq(t, int64(12), weights)
	for _, salt := range []string{"", "s1", "5f.", "5f.x"} {
		_, _, ok := sycplace.ParseSalt(salt)
		must.False(t, ok, must.Sprint(salt))
	}
}

func TestGather(t *testing.T) {
	engine := sycplace.Endpoint{ID: "e", Incarnation: 5}
	kept := func(hash uint64, weights int64) sycplace.CacheEvent {
		return sycplace.CacheEvent{Block: sycplace.Block{Hash: hash, Tokens: 8}, Weights: weights}
	}
	gone := func(hash uint64, weights int64) sycplace.CacheEvent {
		e := kept(hash, weights)
		e.Evicted = true
		return e
	}
	part := []sycplace.Block{{Hash: 1, Tokens: 8}}
	tests := []struct {
		name   string
		events []sycplace.CacheEvent
		want   []sycplace.CacheReport
	}{
		{"none", nil, []sycplace.CacheReport{}},
		{"dropped, then kept", []sycplace.CacheEvent{gone(1, 3), kept(1, 3)}, []sycplace.CacheReport{{Endpoint: "e", Incarnation: 5, Weights: 3, Cached: part}}},
		{"kept, then dropped", []sycplace.CacheEvent{kept(1, 3), gone(1, 3)}, []sycplace.CacheReport{{Endpoint: "e", Incarnation: 5, Weights: 3, Evicted: []uint64{1}}}},
		{"under several weights", []sycplace.CacheEvent{gone(1, 3), kept(1, 4)}, []sycplace.CacheReport{
			{Endpoint: "e", Incarnation: 5, Weights: 3, Evicted: []uint64{1}},
			{Endpoint: "e", Incarnation: 5, Weights: 4, Cached: part},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { must.Eq(t, tt.want, sycplace.SummarizeEvents(engine, tt.events)) })
	}
}
