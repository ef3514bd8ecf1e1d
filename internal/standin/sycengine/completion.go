package sycengine

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uptrace/bunrouter"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
)

const defaultMaxTokens = 16

type completion struct {
	Model     string      `json:"model"`
	Weights   string      `json:"weights"`
	Adapter   string      `json:"adapter"`
	Prompt    string      `json:"prompt"`
	MaxTokens int         `json:"max_tokens"`
	Salt      string      `json:"cache_salt"`
	Priority  int         `json:"priority"`
	Attempt   string      `json:"attempt"`
	Stream    string      `json:"stream"`
	Start     int         `json:"start"`
	TextSoFar string      `json:"text_so_far"`
	Route     string      `json:"route"`
	Import    *importFrom `json:"import"`
}

// Outcomes of requests in the log.
const (
	OutcomeRun     = "run"
	OutcomeRefused = "refused"
	OutcomeFailed  = "failed"
)

// Request is an entry of the request log.
type Request struct {
	Time        time.Time   `json:"time"`
	Incarnation string      `json:"incarnation"`
	Attempt     string      `json:"attempt"`
	Stream      string      `json:"stream"`
	Salt        string      `json:"cache_salt"`
	Model       string      `json:"model"`
	Weights     string      `json:"weights"`
	Adapter     string      `json:"adapter"`
	Route       string      `json:"route"`
	Priority    int         `json:"priority"`
	Start       int         `json:"start"`
	MaxTokens   int         `json:"max_tokens"`
	PromptBytes int         `json:"prompt_bytes"`
	PromptHash  uint64      `json:"prompt_hash"`
	Header      http.Header `json:"header"`
	// Outcome is OutcomeRun, OutcomeRefused or OutcomeFailed.
	Outcome string `json:"outcome"`
}

// Requests returns the requests received, also by earlier incarnations.
func (e *Engine) Requests() []Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Request{}, e.requests...)
}

// PromptHash is the hash under which a prompt stands in the request log.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

func (e *Engine) record(l *life, q completion, header http.Header, outcome string) {
	e.requests = append(e.requests, Request{
		Time:        time.Now(),
		Incarnation: l.incarnation,
		Attempt:     q.Attempt,
		Stream:      q.Stream,
		Salt:        q.Salt,
		Model:       q.Model,
		Weights:     q.Weights,
		Adapter:     q.Adapter,
		Route:       q.Route,
		Priority:    q.Priority,
		Start:       q.Start,
		MaxTokens:   q.MaxTokens,
		PromptBytes: len(q.Prompt),
		PromptHash:  PromptHash(q.Prompt),
		Header:      header.Clone(),
		Outcome:     outcome,
	})
}

// verdict is what becomes of a request before any of it runs.
type verdict struct {
	// status is 0 where the request runs.
	status        int
	code, message string
	// ran is set where the request may have run although it failed.
	ran bool
	// hang is set where the request gets no answer.
	hang bool
	// echo is the attempt id that the answer carries.
	echo string
	late time.Duration
	// sequence is set where the request runs.
	sequence *sequence
}

func refused(status int, code, message string) verdict {
	return verdict{status: status, code: code, message: message}
}

func (e *Engine) postCompletion(w http.ResponseWriter, r bunrouter.Request) error {
	var q completion
	if err := decode(w, r, &q); err != nil {
		return refuse(w, http.StatusBadRequest, "bad_request", err.Error())
	}
	if q.MaxTokens <= 0 {
		q.MaxTokens = defaultMaxTokens
	}
	l := e.present()
	e.importBlocks(r.Context(), l, q)
	v := e.begin(l, &q, r.Header)
	switch {
	case v.hang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case v.ran:
		return fail(w, v.status, v.code, v.message)
	case v.status != 0:
		w.Header().Set("Sycamorecart-Attempt", q.Attempt)
		return refuse(w, v.status, v.code, v.message)
	}
	if !sycpause.For(r.Context(), v.late) {
		return nil
	}
	return e.follow(r.Context(), w, l, v.sequence, v.echo, q.Start)
}

// begin decides on a request, records it and puts it into the batch.
func (e *Engine) begin(l *life, q *completion, header http.Header) verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.judge(l, q)
	outcome := OutcomeRun
	switch {
	case v.ran:
		outcome = OutcomeFailed
	case v.status != 0:
		outcome = OutcomeRefused
	}
	e.record(l, *q, header, outcome)
	return v
}

func (e *Engine) judge(l *life, q *completion) verdict {
	if l.ctx.Err() != nil {
		return verdict{hang: true}
	}
	if e.faults.Refuse {
		return refused(http.StatusServiceUnavailable, "unavailable", "the engine takes no requests")
	}
	if v := e.resolve(l, q); v.status != 0 {
		return v
	}
	failure := e.failure(l, q.Weights, q.Route)
	if failure != nil && failure.Mode == ModeError {
		return verdict{status: http.StatusInternalServerError, code: "failed", message: "the engine failed", ran: true}
	}
	s := newSequence(*q, q.Weights)
	v := verdict{echo: q.Attempt, late: time.Duration(e.faults.Late), sequence: s}
	applyFailure(&v, failure)
	if e.takeNoAnswer() {
		v.hang = true
	}
	if e.takeCross() {
		v.echo = "other-" + q.Attempt
		s.seed = answerSeed(v.echo)
	}
	if !e.enqueue(l, s) {
		return refused(http.StatusTooManyRequests, "full", "too many requests wait")
	}
	return v
}

func applyFailure(v *verdict, f *Failure) {
	if f == nil {
		return
	}
	s := v.sequence
	switch f.Mode {
	case ModeCut:
		s.cutAt = s.start + (s.end-s.start+1)/2
	case ModeSlow:
		s.slow = max(1, f.Factor)
	case ModeHang:
		v.hang = true
	}
}

// resolve checks that the role allows requests and that the model, weights and adapter are loaded and fills in
// weights that the request leaves open.
func (e *Engine) resolve(l *life, q *completion) verdict {
	if l.role != roleBoth {
		return refused(http.StatusConflict, "wrong_role", "engines of this role run no whole requests")
	}
	var ready []string
	for key, state := range l.loaded {
		if key.model == q.Model && state == stateReady {
			ready = append(ready, key.weights)
		}
	}
	if len(ready) == 0 {
		return refused(http.StatusNotFound, "model_not_loaded", "the model isn't loaded")
	}
	if q.Weights == "" {
		q.Weights = slices.Min(ready)
	}
	if !slices.Contains(ready, q.Weights) {
		return refused(http.StatusConflict, "wrong_weights", "other weights are loaded")
	}
	if q.Adapter != "" && !l.adapters[adapterKey{q.Model, q.Weights, q.Adapter}] {
		return refused(http.StatusNotFound, "adapter_not_loaded", "the adapter isn't loaded")
	}
	return verdict{}
}

// loadedAdapters lists the adapters on the weights, sorted.
func (l *life) loadedAdapters(key weightsKey) []string {
	var names []string
	for a := range maps.Keys(l.adapters) {
		if a.model == key.model && a.weights == key.weights {
			names = append(names, a.adapter)
		}
	}
	slices.Sort(names)
	return names
}
