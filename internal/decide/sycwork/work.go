// Package sycwork holds the types that pass between the gateway and the parts
// that decide: the work that a request brings, where it was sent and how it went.
package sycwork

import (
	"context"
	"time"
)

// Work describes a request that has passed authentication.
type Work struct {
	// Customer is empty on open routes.
	Customer string
	// Route is the name of the route's record.
	Route string
	// Service is set for plain services, Model for model routes; exactly one is.
	Service string
	Model   string
	// Prompt is the flattened prompt text of a model request.
	Prompt string
	// MaxTokens bounds the output of a model request.
	MaxTokens int
	// Weights restricts the choice to a version, for streams that resume; empty
	// leaves the choice free.
	Weights string
	// Exclude names endpoints that must not be chosen again.
	Exclude []string
	// Deadline is when the request is given up.
	Deadline time.Time
}

// Import names cached blocks to fetch from elsewhere before the prefill.
type Import struct {
	From        string   `json:"from"`
	Incarnation string   `json:"incarnation"`
	Blocks      []uint64 `json:"blocks"`
}

// VersionShare is a version's part of its model's traffic.
type VersionShare struct {
	Version string
	Weights string
	Adapter string
	// Share is between 0 and 1.
	Share float64
	// Vetoed means that this VM gives the version no new work.
	Vetoed bool
}

// Target is the endpoint chosen for one attempt.
type Target struct {
	Endpoint string
	// Address is the endpoint's base URL.
	Address string
	// FailureDomain is the endpoint's.
	FailureDomain string
	// Weights, Adapter and Version say what a model request runs on.
	Weights string
	Adapter string
	Version string
	// Salt is the cache salt for the engine.
	Salt string
	// Priority is passed to the engine; lower values run first.
	Priority int
	// Import is nil when nothing is worth fetching.
	Import *Import
	// Requests and Backlog estimate the endpoint's load without this attempt:
	// its requests and their prompt tokens that are still to be computed.
	Requests int
	Backlog  int
}

// Outcome says how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	// Succeeded means that the whole answer arrived.
	Succeeded Outcome = iota
	// Failed means that the endpoint failed or broke off.
	Failed
	// Refused means that the endpoint said that it did not run the request.
	Refused
	// Cancelled means that the caller went away.
	Cancelled
)

// Result is reported once for each attempt.
type Result struct {
	Outcome Outcome
	// Unreachable means that no connection to the endpoint could be made.
	Unreachable bool
	// FirstToken is the time from sending the attempt to its first token; 0 if none came.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens; 0 if there were fewer than two.
	BetweenTokens time.Duration
	// PromptTokens, CachedTokens and OutputTokens are as the engine reported them.
	PromptTokens int
	CachedTokens int
	OutputTokens int
	// Incarnation is the engine's, as it answered.
	Incarnation string
}

// Grant is the right to run one attempt on a target.
type Grant interface {
	Target() Target
	// FirstToken tells that the first token has arrived.
	FirstToken()
	// Done reports the attempt's end; calls after the first do nothing.
	Done(Result)
}

// Chooser picks endpoints. Choose waits in the customer's fair queue while the
// endpoints are full; it fails with *Refusal.
type Chooser interface {
	Choose(ctx context.Context, w Work) (Grant, error)
}

// Limiter admits requests within their customer's rate. Admit may hold the
// request briefly; it fails with *Refusal. A request is admitted once, however
// many attempts it takes.
type Limiter interface {
	Admit(ctx context.Context, customer string) error
}

// Reason is a stable code for a refusal.
type Reason string

// Reasons for refusals. All of them mean that the request was not run.
const (
	OverRate    Reason = "rate_limited"
	Overloaded  Reason = "overloaded"
	NoEndpoint  Reason = "no_endpoint"
	NotReady    Reason = "not_ready"
	UnknownName Reason = "model_not_found"
	// NoSlots means that no VM in reach accrues the customer's requests.
	NoSlots Reason = "no_slots"
)

// Refusal says why a request was not run and when it may be tried again.
type Refusal struct {
	Reason     Reason
	Message    string
	RetryAfter time.Duration
}

// Error returns the message.
func (r *Refusal) Error() string { return r.Message }
