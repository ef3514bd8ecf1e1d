// Package sycstream is a client for the engines' streaming API. It starts, resumes
// and cancels token streams and checks that every event belongs to the attempt
// that asked for it.
//
// A token stream is the output of one generation request, which the engine sends
// as server-sent events, one token each. An attempt is one try at one engine: it
// starts a stream or resumes one that the engine has already.
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

// Fault classifies how an attempt at an engine failed.
type Fault int

// The faults of an attempt.
const (
	// NotSent means that no byte of the request was sent, such as after a failed
	// connect.
	NotSent Fault = iota
	// Interrupted means that the response ended early, was malformed or never began.
	Interrupted
	// Refused means that the engine rejected the request and confirmed that it
	// ran nothing.
	Refused
	// Failed means that the engine responded with an error and may have run the
	// request.
	Failed
	// Gone means that the engine doesn't have the stream that was to be resumed.
	Gone
	// Mismatched means that the response or an event belongs to another attempt, or
	// that a token has the wrong index.
	Mismatched
	// WrongVersion means that the response comes from other weights or from another
	// incarnation of the engine than expected.
	WrongVersion
	// Stalled means that the engine sent nothing for longer than a timeout.
	Stalled
)

// faultNames holds the names of the faults in the order of the constants. They are
// part of error messages to callers.
var faultNames = [...]string{"connect", "cut", "refused", "failed", "gone", "crossed", "older", "stalled"}

// String returns the fault's name as it appears in error messages.
func (f Fault) String() string { return faultNames[f] }

// Error describes a failed attempt.
type Error struct {
	// Fault is the kind of failure.
	Fault Fault
	// Status is the engine's HTTP status, or 0 without a response or for a fault
	// found in an event.
	Status int
	// Code is the engine's error code, or empty if it gave none.
	Code string
	// RetryAfter is the wait that the engine asked for, or 0 if it asked for none.
	RetryAfter time.Duration
	// Err is the cause, or nil if the response itself shows the fault.
	Err error
}

// Error returns the fault with its cause, or with the engine's status and code.
func (e *Error) Error() string {
	if e.Err != nil {
		return e.Fault.String() + ": " + e.Err.Error()
	}
	return fmt.Sprintf("%s: status %d, code %q", e.Fault, e.Status, e.Code)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request describes the output tokens that an attempt asks an engine for.
type Request struct {
	// Target is the engine that was selected for the attempt.
	Target sycwork.Target
	// Model is the name of the model that the caller asked for.
	Model string
	// Route is the name of the route that the caller's request matched.
	Route string
	// Prompt is the prompt as one text.
	Prompt string
	// MaxTokens limits the number of output tokens.
	MaxTokens int
	// Attempt is the attempt's name, which the engine repeats in the response's
	// headers and in every event. No two attempts have the same name.
	Attempt string
	// Stream is the name of the stream at the engine.
	Stream string
	// Start is the index of the first output token that the attempt asks for.
	Start int
	// PriorText is the text of the output tokens before Start.
	PriorText string
}

// startRequest is the JSON body of the request that starts a stream.
type startRequest struct {
	Model string `json:"model"`
	// Weights and Adapter are the versions that generate the tokens.
	Weights string `json:"weights"`
	Adapter string `json:"adapter"`
	Prompt  string `json:"prompt"`
	// MaxTokens limits the number of output tokens.
	MaxTokens int `json:"max_tokens"`
	// Salt is the cache salt. The engine shares cached prompt blocks only between
	// requests with the same salt.
	Salt string `json:"cache_salt"`
	// Priority orders the engine's queue; requests with lower values run first.
	Priority int `json:"priority"`
	// Attempt and Stream are the names of the attempt and of the new stream.
	Attempt string `json:"attempt"`
	Stream  string `json:"stream"`
	// Start is the index of the first output token to send.
	Start int `json:"start"`
	// TextSoFar is the text of the output tokens before Start.
	TextSoFar string `json:"text_so_far"`
	// Route is the name of the route that the caller's request matched.
	Route string `json:"route"`
	// Import names cached prompt blocks to fetch from another engine before the
	// prefill; nil for none.
	Import *sycwork.Import `json:"import,omitempty"`
}

// Timeouts limits how long an engine may send nothing.
type Timeouts struct {
	// First limits the time from the request to the first event.
	First time.Duration
	// Between limits the time between two events.
	Between time.Duration
}

// Engines is a client for the streaming API of all engines.
type Engines struct {
	client *sycproxy.Client
	// timeouts limits the engines' silence.
	timeouts Timeouts
}

// NewEngines returns a client that sends requests through c and limits the engines'
// silence to t.
func NewEngines(c *sycproxy.Client, t Timeouts) *Engines {
	return &Engines{client: c, timeouts: t}
}

// Start starts a stream at the engine. Its errors are of type *Error.
func (e *Engines) Start(ctx context.Context, r Request) (*Stream, error) {
	body, err := json.Marshal(startRequest{
		Model:     r.Model,
		Weights:   r.Target.Weights,
		Adapter:   r.Target.Adapter,
		Prompt:    r.Prompt,
		MaxTokens: r.MaxTokens,
		Salt:      r.Target.Salt,
		Priority:  r.Target.Priority,
		Attempt:   r.Attempt,
		Stream:    r.Stream,
		Start:     r.Start,
		TextSoFar: r.PriorText,
		Route:     r.Route,
		Import:    r.Target.Import,
	})
	if err != nil {
		return nil, &Error{Fault: NotSent, Err: err}
	}
	header := http.Header{
		"Content-Type":       {"application/json"},
		"Accept":             {"text/event-stream"},
		sycapi.HeaderAttempt: {r.Attempt},
	}
	return e.open(ctx, sycproxy.Request{
		Method: http.MethodPost,
		URL:    r.Target.Address + "/v1/completions",
		Header: header,
		Body:   body,
	}, expected{attempt: r.Attempt, weights: r.Target.Weights, next: r.Start})
}

// Resume reads a stream that the engine already has, from the token at r.Start on.
// It fails if the engine's incarnation differs from the given one; an empty
// incarnation accepts any. Its errors are of type *Error.
func (e *Engines) Resume(ctx context.Context, r Request, incarnation string) (*Stream, error) {
	query := url.Values{
		"from":       {strconv.Itoa(r.Start)},
		"cache_salt": {r.Target.Salt},
		"attempt":    {r.Attempt},
	}
	header := http.Header{
		"Accept":             {"text/event-stream"},
		sycapi.HeaderAttempt: {r.Attempt},
	}
	return e.open(ctx, sycproxy.Request{
		Method: http.MethodGet,
		URL:    r.Target.Address + "/v1/streams/" + url.PathEscape(r.Stream) + "?" + query.Encode(),
		Header: header,
	}, expected{attempt: r.Attempt, weights: r.Target.Weights, incarnation: incarnation, next: r.Start, resumed: true})
}

// Cancel stops a stream at the engine and reports whether the engine had it.
func (e *Engines) Cancel(ctx context.Context, r Request) (bool, error) {
	query := url.Values{"cache_salt": {r.Target.Salt}}
	response, err := e.client.Do(ctx, sycproxy.Request{
		Method: http.MethodDelete,
		URL:    r.Target.Address + "/v1/streams/" + url.PathEscape(r.Stream) + "?" + query.Encode(),
		Header: http.Header{},
	})
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	return response.StatusCode < http.StatusMultipleChoices, nil
}

// open sends a request, checks the response's headers against want and returns the
// stream in the response's body. The request is cancelled if the engine stays silent
// for longer than the timeouts.
func (e *Engines) open(ctx context.Context, r sycproxy.Request, want expected) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	silenceTimer := time.AfterFunc(e.timeouts.First, func() { cancel(errStalled) })
	response, err := e.client.Do(ctx, r)
	if err != nil {
		silenceTimer.Stop()
		defer cancel(nil)
		return nil, sendError(ctx, err)
	}
	if err := want.check(response); err != nil {
		silenceTimer.Stop()
		response.Discard()
		cancel(nil)
		return nil, err
	}
	data := bytes.NewReader(nil)
	return &Stream{
		ctx:           ctx,
		cancel:        cancel,
		silenceTimer:  silenceTimer,
		timeouts:      e.timeouts,
		response:      response,
		events:        sycsse.NewReader(response.Body),
		want:          want,
		decoder:       json.NewDecoder(data),
		data:          data,
		quotedAttempt: strconv.AppendQuote(nil, want.attempt),
	}, nil
}

// errStalled is the cause with which the silence timer cancels a stream's context.
var errStalled = errors.New("the endpoint was silent for too long")

// sendError classifies the error of a request that got no response.
func sendError(ctx context.Context, err error) *Error {
	var send *sycproxy.SendError
	if errors.As(err, &send) && !send.Sent {
		return &Error{Fault: NotSent, Err: err}
	}
	if errors.Is(context.Cause(ctx), errStalled) {
		return &Error{Fault: Stalled, Err: errStalled}
	}
	return &Error{Fault: Interrupted, Err: err}
}

// expected holds what a response must show to be accepted as the attempt's own.
type expected struct {
	// attempt is the attempt's name, which the headers and every event must repeat.
	attempt string
	// weights is the version of the weights that the headers must name; empty
	// accepts any.
	weights string
	// incarnation is the engine's incarnation that the headers must name; empty
	// accepts any.
	incarnation string
	// next is the index that the next event must have.
	next int
	// resumed is true if the attempt resumes a stream.
	resumed bool
}

// check returns the fault that the response's status and headers show, or nil.
func (x expected) check(r *sycproxy.Response) *Error {
	echo := r.Header.Get(sycapi.HeaderAttempt)
	if r.StatusCode != http.StatusOK {
		return x.refusal(r, echo)
	}
	if echo != x.attempt {
		return &Error{Fault: Mismatched, Status: r.StatusCode}
	}
	if got := r.Header.Get(sycapi.HeaderWeights); x.weights != "" && got != x.weights {
		return &Error{Fault: WrongVersion, Status: r.StatusCode}
	}
	if x.incarnation != "" && r.Header.Get(headerIncarnation) != x.incarnation {
		return &Error{Fault: WrongVersion, Status: r.StatusCode}
	}
	return nil
}

// headerIncarnation carries the engine's incarnation, an id that changes whenever
// the engine restarts.
const headerIncarnation = "Sycamorecart-Incarnation"

// errorResponse is the JSON body of an engine's error.
type errorResponse struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// maxErrorBody limits the bytes that are read of an engine's error response.
const maxErrorBody = 4 << 10

// refusal classifies an error response. It is Refused only if the engine confirms
// in a header that it ran nothing and repeats the attempt's name. A response with
// another attempt's name says nothing about this attempt and is Mismatched.
func (x expected) refusal(r *sycproxy.Response, echo string) *Error {
	if echo != "" && echo != x.attempt {
		return &Error{Fault: Mismatched, Status: r.StatusCode}
	}
	e := &Error{Fault: Failed, Status: r.StatusCode}
	var body errorResponse
	data, err := io.ReadAll(io.LimitReader(r.Body, maxErrorBody))
	if err == nil && json.Unmarshal(data, &body) == nil {
		e.Code = body.Error.Code
	}
	e.RetryAfter = retryAfter(r.Header)
	if x.resumed && r.StatusCode == http.StatusNotFound {
		e.Fault = Gone
		return e
	}
	if r.Header.Get(sycapi.HeaderNotRun) == "true" && echo == x.attempt {
		e.Fault = Refused
	}
	return e
}

// maxRetryAfter is the longest wait accepted from an engine's Retry-After header.
const maxRetryAfter = time.Minute

// retryAfter returns the wait in the Retry-After header, at most maxRetryAfter, or
// 0 if there is none. It reads seconds, with fractions, but no dates.
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
