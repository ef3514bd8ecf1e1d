// Package sycwork defines the types that the gateway and the packages that decide on
// requests exchange: a request's properties, the endpoint selected for an attempt,
// and the attempt's result.
//
// An attempt is one try to run a request at one endpoint. A request can have
// several. A plain service is a service whose endpoints run no models. A version of
// a model is a set of weights, with or without an adapter.
package sycwork

import (
	"context"
	"time"
)

// Work describes an authenticated request for which an endpoint is to be selected.
type Work struct {
	// Customer is the name of the customer. It is empty on routes that need no
	// authentication.
	Customer string
	// Route is the name of the route's record.
	Route string
	// Service names the plain service of the route. It is empty for a route to a
	// model.
	Service string
	// Model names the model of the route. It is empty for a route to a plain
	// service.
	Model string
	// Prompt is the text of a model request's chat messages, see sycblock.Flatten.
	Prompt string
	// MaxTokens limits the output of a model request, in tokens.
	MaxTokens int
	// Weights names the weights that the request must run on, because it resumes a
	// stream. If it is empty, any version may be selected.
	Weights string
	// Exclude names endpoints that must not be selected, because attempts there
	// failed.
	Exclude []string
	// Deadline is when the request is refused if no endpoint was selected.
	Deadline time.Time
}

// Import lists blocks of the prompt that the endpoint should fetch from another
// endpoint's cache before the prefill. It is sent to the engine.
type Import struct {
	// From is the base URL of the endpoint that has the blocks cached.
	From string `json:"from"`
	// Incarnation identifies the process of that endpoint.
	Incarnation string `json:"incarnation"`
	// Blocks holds the hashes of the blocks, in the order of the prompt.
	Blocks []uint64 `json:"blocks"`
}

// VersionShare is the traffic share of one version of a model.
type VersionShare struct {
	// Version is the name of the version.
	Version string
	// Weights names the weights that serve the version.
	Weights string
	// Adapter names the adapter used with the weights. It is empty if there is none.
	Adapter string
	// Share is the traffic share, between 0 and 1.
	Share float64
	// Vetoed means that this VM sends the version no new requests.
	Vetoed bool
}

// Target is the endpoint selected for one attempt, with what the caller needs to
// send the request there.
type Target struct {
	// Endpoint is the endpoint's name.
	Endpoint string
	// Address is the endpoint's base URL.
	Address string
	// FailureDomain is the endpoint's failure domain.
	FailureDomain string
	// Weights names the weights that a model request runs on.
	Weights string
	// Adapter names the adapter that a model request runs with. It may be empty.
	Adapter string
	// Version names the version of the model that the request runs on.
	Version string
	// Salt is the cache salt passed to the engine, which separates cached blocks by
	// customer, model, adapter and weights.
	Salt string
	// Priority is the customer's priority, which is passed to the engine. The engine
	// runs requests with lower values first.
	Priority int
	// Import lists blocks that the engine should import before the prefill. It is
	// nil if there are none.
	Import *Import
	// Requests estimates the number of all VMs' requests at the endpoint when it was
	// selected, not including this attempt.
	Requests int
	// Backlog estimates the number of prompt tokens that the endpoint still had to
	// compute for these requests.
	Backlog int
}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	// Succeeded means that the complete response arrived.
	Succeeded Outcome = iota
	// Failed means that the endpoint returned an error or the response broke off.
	Failed
	// Refused means that the endpoint reported that it did not run the request.
	Refused
	// Cancelled means that the client of the request went away.
	Cancelled
)

// Result is the result of an attempt. It is reported once for each attempt.
type Result struct {
	// Outcome is how the attempt ended.
	Outcome Outcome
	// Unreachable means that no connection to the endpoint could be made.
	Unreachable bool
	// FirstToken is the time from sending the request to its first token. It is 0 if
	// none arrived.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens. It is 0 if there were fewer
	// than two.
	BetweenTokens time.Duration
	// PromptTokens is the length of the prompt that the engine reported, in tokens.
	PromptTokens int
	// CachedTokens is the number of prompt tokens that the engine reported as found
	// in its cache.
	CachedTokens int
	// OutputTokens is the length of the output that the engine reported, in tokens.
	OutputTokens int
	// Incarnation is the incarnation of the engine's process, as given in its
	// response.
	Incarnation string
}

// Grant permits the caller to run one attempt at the selected endpoint.
type Grant interface {
	// Target returns the selected endpoint.
	Target() Target
	// FirstToken records that the first token has arrived.
	FirstToken()
	// Done records the attempt's result. Calls after the first do nothing.
	Done(Result)
}

// Chooser selects endpoints. Choose waits in the customer's fair queue while the
// endpoints are full. It returns a *Refusal as its error if the request isn't run.
type Chooser interface {
	Choose(ctx context.Context, w Work) (Grant, error)
}

// Limiter limits the rate of each customer's requests. A permit admits one request.
// Admit may wait briefly for one and returns a *Refusal as its error if it gets
// none. It is called once per request, not once per attempt.
type Limiter interface {
	Admit(ctx context.Context, customer string) error
}

// Reason is a stable code for the reason of a refusal.
type Reason string

// Reasons for refusals. All of them mean that the request was not run.
const (
	// OverRate means that the customer exceeds its rate limit.
	OverRate Reason = "rate_limited"
	// Overloaded means that all endpoints are too busy to run the request in time.
	Overloaded Reason = "overloaded"
	// NoEndpoint means that no endpoint that can serve the request is in service.
	NoEndpoint Reason = "no_endpoint"
	// NotReady means that this VM takes no requests, because it is starting or
	// stopping.
	NotReady Reason = "not_ready"
	// UnknownName means that no version serves the requested model.
	UnknownName Reason = "model_not_found"
	// NoSlots means that no VM that this VM can reach holds a rate slot of the
	// customer, so that no permits are issued for it. A rate slot is a fraction of
	// every customer's rate, see package sycslot.
	NoSlots Reason = "no_slots"
)

// Refusal is the error for a request that was not run.
type Refusal struct {
	// Reason is the stable code of the reason.
	Reason Reason
	// Message describes the reason to the client.
	Message string
	// RetryAfter is how long the client should wait before it retries.
	RetryAfter time.Duration
}

// Error returns the message.
func (r *Refusal) Error() string { return r.Message }
