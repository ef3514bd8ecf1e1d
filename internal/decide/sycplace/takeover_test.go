package sycplace_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
)

// TestRequestsThatNobodyGoesOnWith guards against a VM that tells the holder of the duties that its requests at an engine can
// be broken off, while no other engine could go on with them as far as that VM knows.
func TestRequestsThatNobodyGoesOnWith(t *testing.T) {
	engine := func(id, domain string) sycplace.Endpoint {
		return sycplace.Endpoint{
			ID: id, Service: "chat", Address: id, FailureDomain: domain, Slots: 64, Incarnation: 1, Weights: map[string]int64{"m": 1},
		}
	}
	const now = time.Minute
	tests := []struct {
		name string
		// change happens while the request runs at engine a; engine b is the other one.
		change func(s *sycplace.Selector)
		moves  bool
	}{
		{"sound", func(*sycplace.Selector) {}, true},
		{"gone", func(s *sycplace.Selector) { s.Drop("b") }, false},
		{"cordoned", func(s *sycplace.Selector) { s.Cordon("b", now, now+time.Second) }, false},
		{"evacuated", func(s *sycplace.Selector) { s.SetEvacuated(now, "z1", true) }, false},
		{"leaves", func(s *sycplace.Selector) {
			b := engine("b", "z1")
			b.Leaving = true
			s.Put(b)
		}, false},
		{"asks for a pause", func(s *sycplace.Selector) { s.ApplyNotice(now, "b", 1, sycplace.Notice{Pause: time.Second}) }, false},
		{"another model", func(s *sycplace.Selector) {
			s.Drop("b")
			b := engine("b", "z1")
			b.Weights = map[string]int64{"other": 1}
			s.Put(b)
		}, false},
		{"weights too old to begin", func(s *sycplace.Selector) { s.AnnounceWeights(now-8*time.Second, now-8*time.Second, "m", 2) }, false},
		{"out of reach", func(s *sycplace.Selector) {
			for id := range uint64(20) {
				_, _ = s.Select(now, &sycplace.Request{ID: 100 + id, Service: "chat", Model: "m", Exclude: []string{"a"}, Remaining: time.Minute})
				s.Finish(now, 100+id, sycplace.Unreachable)
			}
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := sycplace.New(sycplace.Settings{FailureDomain: "z0", TokensPerSecond: 60000, WeightsWithin: 8 * time.Second})
			s.Put(engine("a", "z0"))
			s.Put(engine("b", "z1"))
			r := &sycplace.Request{ID: 1, Service: "chat", Model: "m", Tokens: 10, Exclude: []string{"b"}, Remaining: time.Minute, Resumable: true}
			_, refusal := s.Select(now, r)
			must.Nil(t, refusal)
			tt.change(s)
			must.Eq(t, tt.moves, s.CanMove(now, "a"))
			nonResumable := 1
			if tt.moves {
				nonResumable = 0
			}
			s.HoldRequests(now, func(string) float64 { return 9 })
			must.Eq(t, nonResumable, s.OwnLoads()[0].NonResumable)
			must.Eq(t, nonResumable, s.Load("a").NonResumable)
		})
	}
}

// TestInterruptsLeaveRetries guards against an order that breaks off more requests than may be sent again, all of which are then
// cut, and against engines with a cordon that each count on the same retries.
func TestInterruptsLeaveRetries(t *testing.T) {
	tests := []struct {
		name     string
		spare    float64
		cordoned []string
		// held are the engines whose requests must not be broken off.
		held []string
	}{
		{"enough for both", 6, []string{"a", "b"}, nil},
		{"enough for one", 5, []string{"a", "b"}, []string{"b"}},
		{"enough for the cordoned one", 3, []string{"b"}, nil},
		{"not enough", 2.9, []string{"a", "b"}, []string{"a", "b"}},
		{"less than none", -1, []string{"a"}, []string{"a"}},
		{"no cordon", 0, nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const now = time.Minute
			s := sycplace.New(sycplace.Settings{FailureDomain: "z0", TokensPerSecond: 60000})
			for _, engine := range []string{"a", "b", "c", "idle"} {
				s.Put(sycplace.Endpoint{ID: engine, Service: "chat", Address: engine, Slots: 64, Incarnation: 1, Weights: map[string]int64{"m": 1}})
			}
			id := uint64(0)
			for _, engine := range []string{"a", "b", "c"} {
				for range 3 {
					id++
					r := &sycplace.Request{ID: id, Service: "chat", Model: "m", Remaining: time.Minute, Resumable: true}
					for _, other := range []string{"a", "b", "c", "idle"} {
						if other != engine {
							r.Exclude = append(r.Exclude, other)
						}
					}
					_, refusal := s.Select(now, r)
					must.Nil(t, refusal)
				}
			}
			for _, engine := range tt.cordoned {
				s.Cordon(engine, now, now+time.Second)
			}
			s.HoldRequests(now, func(string) float64 { return tt.spare })
			var held []string
			for _, engine := range []string{"a", "b", "c"} {
				if s.Load(engine).NonResumable > 0 {
					held = append(held, engine)
				}
			}
			must.Eq(t, tt.held, held)
		})
	}
}
