package sycplace

import (
	"time"
)

// Request is a request to be placed.
type Request struct {
	ID      uint64
	Service string
	// Model is empty for plain services.
	Model string
	// Blocks is the prompt; the last part is the request's own.
	Blocks []Block
	Tokens int
	// Exclude names endpoints that were tried.
	Exclude []string
	// Priority is the urgency of the request's kind; 0 is the most urgent.
	Priority int
	// Remaining is the time to the request's deadline.
	Remaining time.Duration
	// Resumable requests may go on at another endpoint.
	Resumable bool
	// Objective is the time to the first byte that callers hope for.
	Objective time.Duration
	// ServiceTime is how long a request to the plain service takes, 0 if unknown.
	ServiceTime time.Duration
}

// Target is where a request goes.
type Target struct {
	Endpoint Endpoint
	// Weights is the version of the request's model there.
	Weights int64
	// CachedTokens is the number of prompt tokens that are believed to be kept there.
	CachedTokens int
	// FetchFrom is the address of an engine that keeps more of the prompt, if the
	// endpoint should fetch it from there, and Fetched the tokens that it keeps more.
	FetchFrom   string
	FetchTokens int
	// SharedTokens is the number of prompt tokens that other requests may share.
	SharedTokens int
	// Load is what was under way there.
	Load Load
	// Expected is the time to the first byte of the answer.
	Expected time.Duration
}

// FirstByteTimeout is how long the first byte of an answer may take until the request, if
// it may be repeated, is better sent elsewhere.
func (t *Target) FirstByteTimeout() time.Duration { return overdueTimes*t.Expected + overdueMore }

// Reason says why a request was not placed.
type Reason string

// Reasons of refusals.
const (
	// NoEndpoint means that the service has no endpoint that may get work.
	NoEndpoint Reason = "no_endpoint"
	// Full means that the endpoints can't start the request in time.
	Full Reason = "full"
)

// Refusal says that a request was not placed.
type Refusal struct {
	Reason Reason
	// After is the time after which it may come again.
	After time.Duration
	// Endpoints is how many endpoints were considered.
	Endpoints int
}

// Outcome says how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	// Served is a complete answer.
	Served Outcome = iota
	// Failed is an answer that says so, was broken off or made no sense.
	Failed
	// Unreachable means that no connection could be made.
	Unreachable
	// AtCapacity means that the endpoint had no room.
	AtCapacity
	// Moved means that another endpoint has the address.
	Moved
	// Cancelled is an attempt that nobody waits for.
	Cancelled
)
