// Package sycstream speaks the engines' protocol: it starts, resumes and
// cancels token streams and checks that every event belongs to the attempt.
package sycstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
	"sycamorecart.example/sycamorecart/internal/traffic/sycproxy"
	"sycamorecart.example/sycamorecart/internal/traffic/sycsse"
)

// Fault says in which way an attempt at an engine failed.
type Fault int

// Faults of attempts.
const (
	// Connect means that no byte of the request left.
	Connect Fault = iota
	// Interrupted means that the answer broke off or never began.
	Interrupted
	// Refused means that the engine says that it ran nothing.
	Refused
	// Failed means that the engine answered with an error and may have run.
	Failed
	// Gone means that the engine doesn't have the stream.
	Gone
	// Mismatched means that the answer belongs to another attempt.
	Mismatched
	// WrongVersion means that the answer comes from other weights or another incarnation.
	WrongVersion
	// Stalled means that nothing arrived for too long.
	Stalled
)

var faultNames = [...]string{"connect", "cut", "refused", "failed", "gone", "crossed", "older", "stalled"}

// String returns the fault's name.
func (f Fault) String() string { return faultNames[f] }

// Error is a failed attempt.
type Error struct {
	Fault Fault
	// Status is the engine's HTTP status, if it answered.
	Status int
	// Code is the engine's error code, if it gave one.
	Code       string
	RetryAfter time.Duration
	Err        error
}

// Error describes the failure.
func (e *Error) Error() string {
	if e.Err != nil {
		return e.Fault.String() + ": " + e.Err.Error()
	}
	return fmt.Sprintf("%s: status %d, code %q", e.Fault, e.Status, e.Code)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Call is what an engine is asked to generate.
type Call struct {
	Target    sycwork.Target
	Model     string
	Route     string
	Prompt    string
	MaxTokens int
	// Attempt and Stream name this attempt and the engine's stream; no two
	// attempts share a name.
	Attempt string
	Stream  string
	// Start is the index of the first token wanted and TextSoFar the text of
	// the tokens before it.
	Start     int
	PriorText string
}

type wireCall struct {
	Model     string          `json:"model"`
	Weights   string          `json:"weights"`
	Adapter   string          `json:"adapter"`
	Prompt    string          `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Salt      string          `json:"cache_salt"`
	Priority  int             `json:"priority"`
	Attempt   string          `json:"attempt"`
	Stream    string          `json:"stream"`
	Start     int             `json:"start"`
	TextSoFar string          `json:"text_so_far"`
	Route     string          `json:"route"`
	Import    *sycwork.Import `json:"import,omitempty"`
}

// Timeouts bounds the silence of an engine.
type Timeouts struct {
	// First bounds the time to the first event.
	First time.Duration
	// Between bounds the time between events.
	Between time.Duration
}

// Engines talks to engines.
type Engines struct {
	client   *sycproxy.Client
	timeouts Timeouts
}

// NewEngines returns a client of engines.
func NewEngines(c *sycproxy.Client, t Timeouts) *Engines {
	return &Engines{client: c, timeouts: t}
}

// Start begins a stream. It fails with *Error.
func (e *Engines) Start(ctx context.Context, c Call) (*Stream, error) {
	body, err := json.Marshal(wireCall{
		Model:     c.Model,
		Weights:   c.Target.Weights,
		Adapter:   c.Target.Adapter,
		Prompt:    c.Prompt,
		MaxTokens: c.MaxTokens,
		Salt:      c.Target.Salt,
		Priority:  c.Target.Priority,
		Attempt:   c.Attempt,
		Stream:    c.Stream,
		Start:     c.Start,
		TextSoFar: c.PriorText,
		Route:     c.Route,
		Import:    c.Target.Import,
	})
	if err != nil {
		return nil, &Error{Fault: Connect, Err: err}
	}
	header := http.Header{
		"Content-Type":       {"application/json"},
		"Accept":             {"text/event-stream"},
		sycapi.HeaderAttempt: {c.Attempt},
	}
	return e.open(ctx, sycproxy.Call{
		Method: http.MethodPost,
		URL:    c.Target.Address + "/v1/completions",
		Header: header,
		Body:   body,
	}, expected{attempt: c.Attempt, weights: c.Target.Weights, next: c.Start})
}

// Resume continues a stream that the engine has, from the token at the index
// on. The incarnation must be the engine's still; empty accepts any.
func (e *Engines) Resume(ctx context.Context, c Call, incarnation string) (*Stream, error) {
	query := url.Values{
		"from":       {strconv.Itoa(c.Start)},
		"cache_salt": {c.Target.Salt},
		"attempt":    {c.Attempt},
	}
	header := http.Header{
		"Accept":             {"text/event-stream"},
		sycapi.HeaderAttempt: {c.Attempt},
	}
	return e.open(ctx, sycproxy.Call{
		Method: http.MethodGet,
		URL:    c.Target.Address + "/v1/streams/" + url.PathEscape(c.Stream) + "?" + query.Encode(),
		Header: header,
	}, expected{attempt: c.Attempt, weights: c.Target.Weights, incarnation: incarnation, next: c.Start, resumed: true})
}

// Cancel stops a stream at the engine and reports whether the engine knew it.
func (e *Engines) Cancel(ctx context.Context, c Call) (bool, error) {
	query := url.Values{"cache_salt": {c.Target.Salt}}
	answer, err := e.client.Do(ctx, sycproxy.Call{
		Method: http.MethodDelete,
		URL:    c.Target.Address + "/v1/streams/" + url.PathEscape(c.Stream) + "?" + query.Encode(),
		Header: http.Header{},
	})
	if err != nil {
		return false, err
	}
	defer answer.Body.Close()
	return answer.StatusCode < http.StatusMultipleChoices, nil
}

func (e *Engines) open(ctx context.Context, call sycproxy.Call, want expected) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	watch := time.AfterFunc(e.timeouts.First, func() { cancel(errStalled) })
	answer, err := e.client.Do(ctx, call)
	if err != nil {
		watch.Stop()
		defer cancel(nil)
		return nil, sendError(ctx, err)
	}
	if err := want.check(answer); err != nil {
		watch.Stop()
		answer.Discard()
		cancel(nil)
		return nil, err
	}
	data := bytes.NewReader(nil)
	return &Stream{
		ctx:      ctx,
		cancel:   cancel,
		watch:    watch,
		timeouts: e.timeouts,
		answer:   answer,
		events:   sycsse.NewReader(answer.Body),
		want:     want,
		decoder:  json.NewDecoder(data),
		data:     data,
		quoted:   strconv.AppendQuote(nil, want.attempt),
	}, nil
}

var errStalled = errors.New("the endpoint was silent for too long")

func sendError(ctx context.Context, err error) *Error {
	var send *sycproxy.SendError
	if errors.As(err, &send) && !send.Sent {
		return &Error{Fault: Connect, Err: err}
	}
	if errors.Is(context.Cause(ctx), errStalled) {
		return &Error{Fault: Stalled, Err: errStalled}
	}
	return &Error{Fault: Interrupted, Err: err}
}

// expected is what an answer must show to be taken as the attempt's own.
type expected struct {
	attempt     string
	weights     string
	incarnation string
	next        int
	resumed     bool
}

func (x expected) check(a *sycproxy.Response) *Error {
	echo := a.Header.Get(sycapi.HeaderAttempt)
	if a.StatusCode != http.StatusOK {
		return x.refusal(a, echo)
	}
	if echo != x.attempt {
		return &Error{Fault: Mismatched, Status: a.StatusCode}
	}
	if got := a.Header.Get(sycapi.HeaderWeights); x.weights != "" && got != x.weights {
		return &Error{Fault: WrongVersion, Status: a.StatusCode}
	}
	if x.incarnation != "" && a.Header.Get(headerIncarnation) != x.incarnation {
		return &Error{Fault: WrongVersion, Status: a.StatusCode}
	}
	return nil
}

const headerIncarnation = "Sycamorecart-Incarnation"

type wireError struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// maxErrorBody bounds the bytes read of an engine's error.
const maxErrorBody = 4 << 10

// refusal tells a trusted refusal from an error that may have run. A refusal
// that names another attempt says nothing about this one.
func (x expected) refusal(a *sycproxy.Response, echo string) *Error {
	if echo != "" && echo != x.attempt {
		return &Error{Fault: Mismatched, Status: a.StatusCode}
	}
	e := &Error{Fault: Failed, Status: a.StatusCode}
	var wire wireError
	data, err := io.ReadAll(io.LimitReader(a.Body, maxErrorBody))
	if err == nil && json.Unmarshal(data, &wire) == nil {
		e.Code = wire.Error.Code
	}
	e.RetryAfter = retryAfter(a.Header)
	if x.resumed && a.StatusCode == http.StatusNotFound {
		e.Fault = Gone
		return e
	}
	if a.Header.Get(sycapi.HeaderNotRun) == "true" && echo == x.attempt {
		e.Fault = Refused
	}
	return e
}

// maxRetryAfter bounds the wait that an engine may ask for.
const maxRetryAfter = time.Minute

func retryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || s <= 0 {
		return 0
	}
	if s > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(s * float64(time.Second))
}
