package sycplace

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycsuspect"
)

// Request is a request for which an endpoint is selected.
type Request struct {
	// ID identifies the request's next attempt: each attempt of this VM has another ID.
	ID uint64
	// Service is the name of the service that must serve the request.
	Service string
	// Model is the model that the request names. It is empty for plain services, the
	// services whose endpoints are not engines.
	Model string
	// Blocks is the prompt. The last block is the request's own, other requests may
	// share the blocks before it.
	Blocks []Block
	// Prompt identifies the prompt and its blocks by their content, whatever their cache
	// scope.
	Prompt sycsuspect.Prompt
	// Tokens is the number of prompt tokens.
	Tokens int
	// BodyBytes is the size of the request's body, in bytes.
	BodyBytes int
	// Exclude lists the IDs of endpoints that must not be selected, since the request
	// was tried there.
	Exclude []string
	// Priority is the urgency of the request; 0 is the most urgent.
	Priority int
	// Remaining is the time to the request's deadline.
	Remaining time.Duration
	// Resumable requests may be resumed at another endpoint after a failure.
	Resumable bool
	// Objective is the target for the time to the first byte from now on. It is 0 or less
	// if there is no target or it has been missed.
	Objective time.Duration
	// Age is how long before this call arrived the caller seems to have sent the request for the first time, 0 if it is new.
	Age time.Duration
	// Begins is set while nothing of the request has run, so that it may be refused.
	Begins bool
	// ServiceTime is how long a plain service takes for a request; 0 if unknown.
	ServiceTime time.Duration
}

// Target is the endpoint selected for a request.
type Target struct {
	// Endpoint is the endpoint's record.
	Endpoint Endpoint
	// Weights is the version of the model's weights that the endpoint has loaded.
	Weights int64
	// Announced is the newest announced version of the model's weights, and AnnouncedAge
	// the time since its announcement. Both are 0 if none was announced.
	Announced    int64
	AnnouncedAge time.Duration
	// CachedTokens is the length of the prompt's prefix that the endpoint is believed
	// to have cached.
	CachedTokens int
	// FetchFrom is the address of an engine from which the endpoint should fetch
	// cached blocks; empty if it shouldn't. FetchTokens is the number of tokens that
	// the engine has cached beyond CachedTokens.
	FetchFrom   string
	FetchTokens int
	// SharedTokens is the number of prompt tokens that other requests may share.
	SharedTokens int
	// Generation is the selector's when it selected the endpoint.
	Generation uint64
	// Load is the endpoint's load from all VMs before the request.
	Load Load
	// Expected is the predicted time to the first byte of the answer.
	Expected time.Duration
	// Limit is the limit that the endpoint has named, in requests a second, 0 if there is none, and
	// LimitLeft what is left of it on this VM, in requests.
	Limit, LimitLeft float64
}

// FirstByteTimeout returns how long the caller waits for the first byte of an answer
// before it sends the request to another endpoint, if it may be repeated.
func (t *Target) FirstByteTimeout() time.Duration { return overdueAfter(t.Expected) }

// Reason says why no endpoint was selected for a request.
type Reason string

// Reasons of refusals.
const (
	// NoEndpoint means that no endpoint of the service may get the request.
	NoEndpoint Reason = "no_endpoint"
	// Paused means that all endpoints of the service have asked for a pause.
	Paused Reason = "paused"
	// Limited means that the limits of the service's endpoints allow no request of this VM now.
	Limited Reason = "limited"
	// Evacuated means that the failure domains of all endpoints of the service are evacuated.
	Evacuated Reason = "evacuated"
	// Outdated means that no request may begin any more on the weights that the engines have.
	Outdated Reason = "outdated"
	// Full means that the endpoints can't start the request in time.
	Full Reason = "full"
)

// Refusal is the answer to a request for which no endpoint was selected.
type Refusal struct {
	Reason Reason
	// After is the time after which the request may be retried.
	After time.Duration
	// Endpoints is how many endpoints were considered.
	Endpoints int
}

// Outcome says how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	// Served means that the endpoint gave a complete answer.
	Served Outcome = iota
	// Failed means that the answer was an error, was broken off or was invalid.
	Failed
	// Unreachable means that no connection could be made.
	Unreachable
	// Refused means that the endpoint's machine has refused the connection: no process listens there.
	Refused
	// AtCapacity means that the endpoint refused the request for lack of capacity.
	AtCapacity
	// Moved means that a different endpoint now has the address.
	Moved
	// Cancelled means that nothing waits for the answer any more.
	Cancelled
	// Silent means that the answer was given up after a silence, since another endpoint had
	// accepted the request. The endpoint may be sound.
	Silent
)
