package sycengine_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
)

func TestResponsesAndResumption(t *testing.T) {
	engine := newEngine(t, sycengine.Options{})
	want := sycengine.Answer("w1", "", "hello", 12)
	must.NotEq(t, want, sycengine.Answer("w2", "", "hello", 12))
	tests := []struct {
		name  string
		start int
		text  string
		want  []string
	}{
		{"from the start", 0, "", want},
		{"resumed", 5, strings.Join(want[:5], ""), want[5:]},
		{"resumed after the last token", 12, strings.Join(want, ""), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newRequest("hello", 12)
			q.Start, q.TextSoFar = tt.start, tt.text
			r := run(t, engine, q)
			must.Eq(t, tt.want, r.tokens)
			must.True(t, r.last.Done)
			must.Eq(t, 12, r.last.Index)
			must.Eq(t, "a-1", r.header.Get("Sycamorecart-Attempt"))
		})
	}
	q := newRequest("hello", 12)
	q.Start, q.TextSoFar = 5, "something else"
	must.NotEq(t, want[5:], run(t, engine, q).tokens)
}

func TestCacheIsKeyedBySaltAndLimited(t *testing.T) {
	engine := newEngine(t, sycengine.Options{CacheBlocks: 4})
	prompt := strings.Repeat("p", 3*sycblock.BytesPerBlock)
	other := strings.Repeat("q", 3*sycblock.BytesPerBlock)
	tests := []struct {
		name, prompt, salt string
		// cached is the expected number of cached prompt tokens.
		cached int
	}{
		{"cold", prompt, "one", 0},
		{"warm", prompt, "one", 192},
		{"other customer", prompt, "two", 0},
		{"warm for the other customer", prompt, "two", 192},
		{"evicts", other, "two", 0},
		{"evicted", prompt, "one", 0},
	}
	for _, tt := range tests {
		q := newRequest(tt.prompt, 2)
		q.Salt = tt.salt
		r := run(t, engine, q)
		must.Eq(t, tt.cached, r.last.Usage.Cached, must.Sprint(tt.name))
		must.Eq(t, 192, r.last.Usage.Prompt)
	}
}

func TestRefusals(t *testing.T) {
	engine := newEngine(t, sycengine.Options{})
	tests := []struct {
		name   string
		change func(*completionRequest)
		status int
	}{
		{"unknown model", func(q *completionRequest) { q.Model = "x" }, http.StatusNotFound},
		{"wrong weights", func(q *completionRequest) { q.Weights = "w2" }, http.StatusConflict},
		{"unknown adapter", func(q *completionRequest) { q.Adapter = "x" }, http.StatusNotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newRequest("p", 2)
			tt.change(&q)
			r := run(t, engine, q)
			must.Eq(t, tt.status, r.status)
			must.Eq(t, "true", r.header.Get("Sycamorecart-Not-Run"))
		})
	}
	must.Len(t, len(tests), engine.Requests())
}

func TestCrashBreaksStreamAndEmptiesEngine(t *testing.T) {
	engine := newEngine(t, sycengine.Options{RestartDelay: time.Millisecond, Speed: 1})
	before := engine.Incarnation()
	response, err := post(t, engine.URL()+"/v1/completions", newRequest(strings.Repeat("p", 512), 100000))
	must.NoError(t, err)
	must.Eq(t, before, response.Header.Get("Sycamorecart-Incarnation"))
	engine.Crash()
	must.False(t, read(t, response).last.Done)
	var cache struct {
		Incarnation string
		Blocks      []uint64
	}
	waitFor(t, func() bool {
		response, err := http.Get(engine.URL() + "/v1/cache")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return json.NewDecoder(response.Body).Decode(&cache) == nil
	})
	must.NotEq(t, before, cache.Incarnation)
	must.SliceEmpty(t, cache.Blocks)
	must.Eq(t, http.StatusNotFound, get(t, engine.URL()+"/v1/streams/s-1?from=0&cache_salt=salt", nil))
}

// waitFor fails the test unless the condition is met within about 10 s.
func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for range 1000 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition was never met")
}

func TestStreamResumesAndCancels(t *testing.T) {
	engine := newEngine(t, sycengine.Options{Speed: 1})
	response, err := post(t, engine.URL()+"/v1/completions", newRequest("p", 40))
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	address := engine.URL() + "/v1/streams/s-1?from=7&attempt=a-2&cache_salt="
	must.Eq(t, http.StatusNotFound, get(t, address+"other", nil))
	response, err = http.Get(address + "salt")
	must.NoError(t, err)
	r := read(t, response)
	must.Eq(t, sycengine.Answer("w1", "", "p", 40)[7:], r.tokens)
	must.Eq(t, "a-2", r.last.Attempt)

	q := newRequest("p", 100000)
	q.Stream = "s-2"
	response, err = post(t, engine.URL()+"/v1/completions", q)
	must.NoError(t, err)
	cancel, err := http.NewRequest(http.MethodDelete, engine.URL()+"/v1/streams/s-2?cache_salt=salt", nil)
	must.NoError(t, err)
	canceled, err := http.DefaultClient.Do(cancel)
	must.NoError(t, err)
	must.NoError(t, canceled.Body.Close())
	must.Eq(t, http.StatusNoContent, canceled.StatusCode)
	must.False(t, read(t, response).last.Done)
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults sycengine.Faults
		check  func(*testing.T, result)
	}{
		{"refuses", sycengine.Faults{Refuse: true}, func(t *testing.T, r result) {
			must.Eq(t, http.StatusServiceUnavailable, r.status)
			must.Eq(t, "true", r.header.Get("Sycamorecart-Not-Run"))
		}},
		{"fails", withFailure(sycengine.Failure{Weights: "w1", Share: 1, Mode: sycengine.ModeError}), func(t *testing.T, r result) {
			must.Eq(t, http.StatusInternalServerError, r.status)
			must.Eq(t, "", r.header.Get("Sycamorecart-Not-Run"))
		}},
		{"interrupts", withFailure(sycengine.Failure{Route: "chat", Share: 1, Mode: sycengine.ModeCut}), func(t *testing.T, r result) {
			must.Len(t, 4, r.tokens)
			must.False(t, r.last.Done)
		}},
		{"slow but complete", withFailure(sycengine.Failure{Share: 1, Mode: sycengine.ModeSlow, Factor: 3}), checkComplete},
		{"other weights", withFailure(sycengine.Failure{Weights: "w2", Share: 1, Mode: sycengine.ModeError}), checkComplete},
		{"other route", withFailure(sycengine.Failure{Route: "x", Share: 1, Mode: sycengine.ModeError}), checkComplete},
		{"before the failure starts", withFailure(sycengine.Failure{After: sycrecord.Duration(time.Hour), Share: 1, Mode: sycengine.ModeError}), checkComplete},
		{"batch too small", withFailure(sycengine.Failure{MinBatch: 3, Share: 1, Mode: sycengine.ModeError}), checkComplete},
		{"late", sycengine.Faults{Late: sycrecord.Duration(time.Millisecond)}, checkComplete},
		{"crossed", sycengine.Faults{Cross: 1}, func(t *testing.T, r result) {
			must.NotEq(t, "a-1", r.header.Get("Sycamorecart-Attempt"))
			must.NotEq(t, sycengine.Answer("w1", "", "p", 8), r.tokens)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engine := newEngine(t, sycengine.Options{})
			response, err := post(t, engine.URL()+"/admin/faults", tt.faults)
			must.NoError(t, err)
			must.NoError(t, response.Body.Close())
			tt.check(t, run(t, engine, newRequest("p", 8)))
		})
	}
}

// withFailure returns faults with a single failure.
func withFailure(f sycengine.Failure) sycengine.Faults {
	return sycengine.Faults{Failures: []sycengine.Failure{f}}
}

// checkComplete checks that a response of 8 tokens to the prompt "p" is complete and
// right.
func checkComplete(t *testing.T, r result) {
	t.Helper()
	must.Eq(t, sycengine.Answer("w1", "", "p", 8), r.tokens)
	must.True(t, r.last.Done)
}

func TestLostEventsLeaveGaps(t *testing.T) {
	tests := []struct {
		name string
		// loss is Options.EventLoss.
		loss float64
		// want is the expected number of published events.
		want int
	}{
		{"none lost", 0, 3},
		{"all lost", 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engine := newEngine(t, sycengine.Options{EventLoss: tt.loss, EventDelay: time.Nanosecond})
			for i := range 3 {
				run(t, engine, newRequest(strings.Repeat(fmt.Sprint(i), 300), 1))
			}
			var got struct {
				Events []sycengine.Event
			}
			must.Eq(t, http.StatusOK, get(t, engine.URL()+"/v1/events?from=0", &got))
			must.Len(t, tt.want, got.Events)
			var cache struct{ Next uint64 }
			must.Eq(t, http.StatusOK, get(t, engine.URL()+"/v1/cache", &cache))
			must.Eq(t, 3, cache.Next)
		})
	}
}

func TestImportSkipsPrefill(t *testing.T) {
	source, target := newEngine(t, sycengine.Options{}), newEngine(t, sycengine.Options{})
	prompt := strings.Repeat("p", 4*sycblock.BytesPerBlock)
	run(t, source, newRequest(prompt, 1))
	tests := []struct {
		name, salt, incarnation string
		// cached is the expected number of cached prompt tokens.
		cached int
	}{
		{"other customer", "other", source.Incarnation(), 0},
		{"other incarnation", "salt", "gone", 0},
		{"cached", "salt", source.Incarnation(), 256},
	}
	for _, tt := range tests {
		q := newRequest(prompt, 1)
		q.Salt = tt.salt
		q.Import = map[string]any{
			"from": source.URL(), "incarnation": tt.incarnation,
			"blocks": sycblock.Chain(tt.salt, prompt),
		}
		must.Eq(t, tt.cached, run(t, target, q).last.Usage.Cached, must.Sprint(tt.name))
	}
}

func TestOrders(t *testing.T) {
	platform, err := sycplatform.New(sycplatform.Options{})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, platform.Close()) })
	tests := []struct {
		name string
		// checks is Options.ChecksFencing.
		checks bool
		// status is expected for an order with an old fencing number.
		status int
	}{
		{"fencing checked", true, http.StatusConflict},
		{"fencing ignored", false, http.StatusAccepted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engine := newEngine(t, sycengine.Options{Platform: platform.URL(), ChecksFencing: tt.checks})
			order := sycengine.Order{ID: "o", Fence: 5, Kind: "load", Model: "m", Weights: "w2"}
			must.Eq(t, http.StatusAccepted, send(t, engine, order))
			q := newRequest("p", 2)
			q.Weights = "w2"
			waitFor(t, func() bool { return run(t, engine, q).status == http.StatusOK })
			old := sycengine.Order{ID: "p", Fence: 4, Kind: "drop", Model: "m", Weights: "w2"}
			must.Eq(t, tt.status, send(t, engine, old))
			must.Eq(t, tt.checks, run(t, engine, q).status == http.StatusOK)
			must.Len(t, 2, engine.Orders())
		})
	}
}

// send sends an order and returns the response's status.
func send(t *testing.T, engine *sycengine.Engine, order sycengine.Order) int {
	t.Helper()
	response, err := post(t, engine.URL()+"/v1/orders", order)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	return response.StatusCode
}
