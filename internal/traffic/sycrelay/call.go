// Package sycrelay takes callers' requests, has them placed, passes them on to
// endpoints and passes the answers back, unchanged and whole or visibly broken.
package sycrelay

import (
	"net/http"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
	"sycamorecart.example/sycamorecart/internal/peer/sycfleet"
)

// Block is a part of a prompt as the caller names it.
type Block struct {
	Name   string
	Tokens int
}

// Call is a caller's request.
type Call struct {
	// ID is the caller's, new for each of its attempts.
	ID     string
	Method string
	// Host is without a port.
	Host string
	Path string
	// Target is the raw path and query.
	Target string
	// Header holds what is passed on.
	Header http.Header
	Key    string
	Model  string
	Blocks []Block
	// Tokens is the size of the prompt and OutputTokens the most of the answer.
	Tokens       int
	OutputTokens int
	// HasTokens reports whether the caller has told the two.
	HasTokens bool
	// Timeout is how long the caller waits; 0 if it doesn't tell.
	Timeout time.Duration
	// LastEvent is the id of the last event that the caller has.
	LastEvent string
}

// Forward is what the system adds to a request that it passes on.
type Forward struct {
	Endpoint string
	Customer string
	// Salt keeps the cached prompts of customers apart.
	Salt string
	// Weights is the version of the model's weights that the request must run on.
	Weights int64
	// FetchFrom is the address of an engine that keeps parts of the prompt, if any.
	FetchFrom string
	// Priority is from 0, the most urgent, to 9.
	Priority int
	// Remaining is the time for the answer.
	Remaining time.Duration
	// LastEvent is the id of the last event of a stream that goes on.
	LastEvent string
}

// Disposition is what an answer's head says of the request.
type Disposition int

// Dispositions of answers.
const (
	// Answered is an answer to the request.
	Answered Disposition = iota
	// NotRun means that the endpoint has no room and has not run the request.
	NotRun
	// Moved means that another endpoint has the address.
	Moved
	// OtherWeights means that the endpoint has other weights than were asked for.
	OtherWeights
)

// Codec translates between what callers and endpoints speak and the relay.
type Codec interface {
	// Parse reads a request's head. It fails with *BadRequestError.
	Parse(r *http.Request) (*Call, error)
	// Outgoing returns the header of a request to an endpoint.
	Outgoing(c *Call, f Forward) http.Header
	// IsAnswerTo tells whether an answer belongs to a call.
	IsAnswerTo(c *Call, answer http.Header) bool
	// Disposition tells what an endpoint has done with a request.
	Disposition(endpoint string, status int, answer http.Header) Disposition
	// Weights returns the version of the weights that an answer names, or 0.
	Weights(answer http.Header) int64
	// SetRetryAfter adds to the header of a refusal when the caller may come back.
	SetRetryAfter(h http.Header, after time.Duration)
}

// BadRequestError is a request that breaks the protocol.
type BadRequestError struct {
	Reason string
}

// Error gives the reason.
func (e *BadRequestError) Error() string { return "bad request: " + e.Reason }

// Fleet places requests and keeps the limits over all VMs.
type Fleet interface {
	Config() *sycsite.Config
	NewID() uint64
	Admit(a sycfleet.Admission) sycfleet.AdmissionResult
	Retry(r *sycplace.Request, route string, arrived bool) *sycplace.Target
	UpdateWeights(endpoint string, born int64, model string, version int64)
	Refund(customer string, cost float64)
	RecordFirstByte(id uint64)
	FinishAttempt(id uint64, o sycplace.Outcome, route string, took time.Duration)
}
