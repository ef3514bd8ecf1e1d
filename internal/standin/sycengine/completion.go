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

// defaultMaxTokens limits the response of a request without max_tokens.
const defaultMaxTokens = 16

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	Model string `json:"model"`
	// Weights is the version of the model's weights to run on. If it is empty, the
	// engine selects one that is loaded.
	Weights string `json:"weights"`
	// Adapter is the adapter to apply to the weights, or empty for none.
	Adapter string `json:"adapter"`
	Prompt  string `json:"prompt"`
	// MaxTokens is the length of the whole response in tokens, including the tokens
	// before Start.
	MaxTokens int `json:"max_tokens"`
	// Salt is the cache salt. Requests share cached blocks only under the same salt.
	Salt string `json:"cache_salt"`
	// Priority orders the queue, lower numbers first.
	Priority int `json:"priority"`
	// Attempt identifies the try at this engine and is repeated in the response.
	Attempt string `json:"attempt"`
	// Stream is the id under which the response can be read again or canceled.
	Stream string `json:"stream"`
	// Start is the index of the first token to generate. It is above 0 if the
	// request resumes a response that another attempt began.
	Start int `json:"start"`
	// TextSoFar is the text of the tokens before Start.
	TextSoFar string `json:"text_so_far"`
	// Route names the route by which the router received the request.
	Route string `json:"route"`
	// Import is set if the engine should fetch cached blocks before the prefill.
	Import *importSource `json:"import"`
}

// Outcomes of requests in the request log.
const (
	// OutcomeRun marks a request that was queued, or that arrived at a crashed
	// instance and got no response.
	OutcomeRun = "run"
	// OutcomeRefused marks a request that was refused before any of it ran.
	OutcomeRefused = "refused"
	// OutcomeFailed marks a request that got status 500 by a Failure in ModeError.
	OutcomeFailed = "failed"
)

// Request is an entry of the request log, which holds every decoded completion
// request that the engine received.
type Request struct {
	// Time is when the engine queued, refused or failed the request.
	Time time.Time `json:"time"`
	// Incarnation is the engine's incarnation that received the request.
	Incarnation string `json:"incarnation"`
	// Attempt identifies the router's try at this engine.
	Attempt string `json:"attempt"`
	// Stream is the id under which the response can be read again or canceled.
	Stream string `json:"stream"`
	// Salt is the cache salt of the request.
	Salt  string `json:"cache_salt"`
	Model string `json:"model"`
	// Weights is the version of the model's weights on which the request ran, or the
	// requested one if it was refused before the engine selected one.
	Weights string `json:"weights"`
	// Adapter is the adapter applied to the weights, or empty for none.
	Adapter string `json:"adapter"`
	// Route names the route by which the router received the request.
	Route string `json:"route"`
	// Priority orders the queue, lower numbers first.
	Priority int `json:"priority"`
	// Start is the index of the first token to generate, above 0 in a request that
	// resumes a response.
	Start int `json:"start"`
	// MaxTokens is the length of the whole response in tokens, including the tokens
	// before Start.
	MaxTokens int `json:"max_tokens"`
	// PromptBytes is the length of the prompt in bytes.
	PromptBytes int `json:"prompt_bytes"`
	// PromptHash is the prompt's hash by the function PromptHash.
	PromptHash uint64 `json:"prompt_hash"`
	// Header holds the HTTP headers of the request.
	Header http.Header `json:"header"`
	// Outcome is OutcomeRun, OutcomeRefused or OutcomeFailed.
	Outcome string `json:"outcome"`
}

// Requests returns the request log in order of arrival, with the requests that
// earlier incarnations received.
func (e *Engine) Requests() []Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Request{}, e.requests...)
}

// PromptHash returns the hash by which the request log identifies a prompt.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// recordRequest appends a request to the request log. The caller holds mu.
func (e *Engine) recordRequest(inst *instance, q completionRequest, header http.Header, outcome string) {
	e.requests = append(e.requests, Request{
		Time:        time.Now(),
		Incarnation: inst.incarnation,
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

// decision holds how the engine treats a request, decided before any of it runs.
type decision struct {
	// status is the HTTP status of an error response, or 0 if there is none.
	status int
	// code and message describe the error in the response's body.
	code, message string
	// ran is set for an error response that must not claim that nothing ran, as a
	// refusal does.
	ran bool
	// noResponse is set if the engine never responds.
	noResponse bool
	// attempt is the attempt id that the response carries.
	attempt string
	// delay is the time by which the response is delayed after the request is queued.
	delay time.Duration
	// sequence is the queued sequence, or nil if the request doesn't run.
	sequence *sequence
}

// newRefusal returns the decision to refuse a request before any of it runs.
func newRefusal(status int, code, message string) decision {
	return decision{status: status, code: code, message: message}
}

// postCompletion serves a completion request and streams its response.
func (e *Engine) postCompletion(w http.ResponseWriter, r bunrouter.Request) error {
	var q completionRequest
	if err := decode(w, r, &q); err != nil {
		return refuse(w, http.StatusBadRequest, "bad_request", err.Error())
	}
	if q.MaxTokens <= 0 {
		q.MaxTokens = defaultMaxTokens
	}
	inst := e.currentInstance()
	e.importBlocks(r.Context(), inst, q)
	v := e.submit(inst, &q, r.Header)
	switch {
	case v.noResponse:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case v.ran:
		return fail(w, v.status, v.code, v.message)
	case v.status != 0:
		w.Header().Set("Sycamorecart-Attempt", q.Attempt)
		return refuse(w, v.status, v.code, v.message)
	}
	if !sycpause.For(r.Context(), v.delay) {
		return nil
	}
	return e.streamResponse(r.Context(), w, inst, v.sequence, v.attempt, q.Start)
}

// submit queues a request, refuses it or lets it fail, as decide says, and adds it to
// the request log.
func (e *Engine) submit(inst *instance, q *completionRequest, header http.Header) decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.decide(inst, q)
	outcome := OutcomeRun
	switch {
	case v.ran:
		outcome = OutcomeFailed
	case v.status != 0:
		outcome = OutcomeRefused
	}
	e.recordRequest(inst, *q, header, outcome)
	return v
}

// decide checks a request against the instance's state and the faults and queues
// it unless it is refused or fails. The caller holds mu.
func (e *Engine) decide(inst *instance, q *completionRequest) decision {
	if inst.ctx.Err() != nil {
		return decision{noResponse: true}
	}
	if e.faults.Refuse {
		return newRefusal(http.StatusServiceUnavailable, "unavailable", "the engine takes no requests")
	}
	if v := e.resolveWeights(inst, q); v.status != 0 {
		return v
	}
	failure := e.selectFailure(inst, q.Weights, q.Route)
	if failure != nil && failure.Mode == ModeError {
		return decision{status: http.StatusInternalServerError, code: "failed", message: "the engine failed", ran: true}
	}
	s := newSequence(*q, q.Weights)
	v := decision{attempt: q.Attempt, delay: time.Duration(e.faults.Late), sequence: s}
	applyFailure(&v, failure)
	if e.consumeNoAnswer() {
		v.noResponse = true
	}
	if e.consumeCross() {
		v.attempt = "other-" + q.Attempt
		s.seed = answerSeed(v.attempt)
	}
	if !e.enqueue(inst, s) {
		return newRefusal(http.StatusTooManyRequests, "full", "too many requests wait")
	}
	return v
}

// applyFailure makes the decision's sequence fail in the failure's mode.
func applyFailure(v *decision, f *Failure) {
	if f == nil {
		return
	}
	s := v.sequence
	switch f.Mode {
	case ModeCut:
		s.interruptAt = s.start + (s.end-s.start+1)/2
	case ModeSlow:
		s.stepsPerToken = max(1, f.Factor)
	case ModeHang:
		v.noResponse = true
	}
}

// resolveWeights checks that the engine's role allows whole requests and that the
// model, weights and adapter are loaded. If the request names no weights, it sets
// the first loaded version by name. The caller holds mu.
func (e *Engine) resolveWeights(inst *instance, q *completionRequest) decision {
	if inst.role != roleBoth {
		return newRefusal(http.StatusConflict, "wrong_role", "engines of this role run no whole requests")
	}
	var ready []string
	for key, state := range inst.loaded {
		if key.model == q.Model && state == stateReady {
			ready = append(ready, key.weights)
		}
	}
	if len(ready) == 0 {
		return newRefusal(http.StatusNotFound, "model_not_loaded", "the model isn't loaded")
	}
	if q.Weights == "" {
		q.Weights = slices.Min(ready)
	}
	if !slices.Contains(ready, q.Weights) {
		return newRefusal(http.StatusConflict, "wrong_weights", "other weights are loaded")
	}
	if q.Adapter != "" && !inst.adapters[adapterKey{q.Model, q.Weights, q.Adapter}] {
		return newRefusal(http.StatusNotFound, "adapter_not_loaded", "the adapter isn't loaded")
	}
	return decision{}
}

// loadedAdapters returns the sorted names of the adapters loaded on the weights.
func (inst *instance) loadedAdapters(key weightsKey) []string {
	var names []string
	for a := range maps.Keys(inst.adapters) {
		if a.model == key.model && a.weights == key.weights {
			names = append(names, a.adapter)
		}
	}
	slices.Sort(names)
	return names
}
