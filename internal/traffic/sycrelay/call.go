// Package sycrelay is the HTTP proxy between callers and endpoints. It has an endpoint
// selected for each call, sends the request there and passes the answer back unchanged. An
// answer that breaks off is aborted, so that the caller notices.
//
// A call is a caller's request, an attempt one try at one endpoint. A call may have several
// attempts. A route maps calls for a host and path prefix to services. A service is a group
// of interchangeable endpoints.
package sycrelay

import (
	"net/http"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
	"sycamorecart.example/sycamorecart/internal/decide/sycsuspect"
	"sycamorecart.example/sycamorecart/internal/peer/sycfleet"
	"sycamorecart.example/sycamorecart/internal/traffic/sycwire"
)

// Block is a part of a prompt that engines cache as a unit.
type Block struct {
	// Name is the caller's name of the block, the same for the same content.
	Name string
	// Tokens is the number of the block's tokens.
	Tokens int
}

// Call is a caller's request.
type Call struct {
	// ID is the caller's ID of the request. When the caller tries again it uses another.
	ID string
	// Method is the HTTP method.
	Method string
	// Host is the requested host without a port.
	Host string
	// Path is the escaped path.
	Path string
	// Target is the raw path and query, which endpoints receive unchanged.
	Target string
	// Header holds the caller's headers that endpoints receive.
	Header http.Header
	// Key is the caller's API key, empty if there is none.
	Key string
	// Model is the model that the request names, empty for plain services.
	Model string
	// Blocks is the prompt.
	Blocks []Block
	// Tokens is the number of prompt tokens.
	Tokens int
	// OutputTokens is the greatest number of tokens of the answer.
	OutputTokens int
	// HasTokens is set if the caller has sent Tokens and OutputTokens.
	HasTokens bool
	// Timeout is how long the caller waits for the answer, 0 if the request doesn't say.
	Timeout time.Duration
	// LastEvent is the ID of the last event of a stream that the caller has received, empty
	// for a new stream.
	LastEvent string
}

// Forward holds what the relay adds to a request that it sends to an endpoint.
type Forward struct {
	// Endpoint is the ID of the endpoint.
	Endpoint string
	// Customer is the name of the customer, empty if the route needs no key.
	Customer string
	// Salt separates cached blocks in the engine: requests with different salts share none.
	Salt string
	// Weights is the version of the model's weights that the request must run on.
	Weights int64
	// FetchFrom is the address of an engine from which the endpoint should fetch cached blocks
	// of the prompt, empty if it shouldn't.
	FetchFrom string
	// Priority is the urgency of the request, from 0, the most urgent, to 9.
	Priority int
	// Remaining is the time to the call's deadline.
	Remaining time.Duration
	// LastEvent is the ID of the event after which the endpoint should resume a stream, empty
	// for a new stream.
	LastEvent string
}

// Disposition is what an answer's status and header say about the request.
type Disposition int

// Dispositions of answers.
const (
	// Answered means that the endpoint has run the request, whether it succeeded or not.
	Answered Disposition = iota
	// NotRun means that the endpoint is at capacity and has not run the request.
	NotRun
	// Moved means that another endpoint now has the address.
	Moved
	// OtherWeights means that the endpoint has loaded other weights than were asked for and
	// has not run the request.
	OtherWeights
	// Unproven means that the status says that the request was not run, or that it was run with success,
	// although the answer has nothing that proves it: the endpoint may have run the request. Callers must
	// not get the status.
	Unproven
)

// Codec translates between the relay and the protocols of callers and endpoints.
type Codec interface {
	// Parse reads a call from a request's line and header. It fails with *BadRequestError.
	Parse(r *http.Request) (*Call, error)
	// Outgoing returns the header of a call's request to an endpoint.
	Outgoing(c *Call, f Forward) http.Header
	// Identify returns which call an answer with a header belongs to, by the call's ID.
	Identify(answer http.Header) sycwire.Identity
	// Disposition returns what an endpoint has done with a request.
	Disposition(endpoint string, status int, answer http.Header) Disposition
	// Notice returns what an answer to a request to an endpoint says about the endpoint itself.
	Notice(endpoint string, status int, answer http.Header) sycplace.Notice
	// Weights returns the version of the weights that an answer's header names, or 0.
	Weights(answer http.Header) int64
	// SetRetryAfter sets in an answer's header after which time the caller may try again.
	SetRetryAfter(h http.Header, after time.Duration)
}

// BadRequestError means that a request violates the protocol.
type BadRequestError struct {
	// Reason says what is wrong.
	Reason string
}

// Error returns the reason.
func (e *BadRequestError) Error() string { return "bad request: " + e.Reason }

// Fleet selects endpoints and enforces customers' limits over all VMs.
type Fleet interface {
	// Config returns the configuration in force, nil before this VM has received one.
	Config() *sycsite.Config
	// ConfigAge returns how long ago that configuration came into force on this VM.
	ConfigAge() time.Duration
	// NewID returns the ID of a new attempt, unique on this VM.
	NewID() uint64
	// Admit charges a request to its customer and selects the endpoint of its first attempt.
	Admit(a sycfleet.Admission) sycfleet.AdmissionResult
	// Retry selects the endpoint of a further attempt, nil if there is none. Arrived is
	// set if the last attempt reached its endpoint. The verdict says why the prompt isn't sent
	// again, nil if that isn't the reason.
	Retry(r *sycplace.Request, route string, arrived bool) (*sycplace.Target, *sycsuspect.Verdict)
	// Permits reports whether a request may still be sent to the target selected for it.
	Permits(r *sycplace.Request, t *sycplace.Target) bool
	// CanRetry reports whether Retry would now find an endpoint for a request that has reached
	// one. It changes nothing.
	CanRetry(r *sycplace.Request) bool
	// UpdateWeights records which version of a model's weights an incarnation of an endpoint
	// has.
	UpdateWeights(endpoint string, incarnation int64, model string, version int64)
	// ApplyNotice records what an endpoint has said about itself. Source is the ID of the
	// request whose answer said it.
	ApplyNotice(source string, e sycplace.Endpoint, n sycplace.Notice)
	// Withdraw records that an attempt won't be sent. FinishAttempt follows.
	Withdraw(id uint64)
	// PauseLeft returns the time until the first endpoint that serves a request ends its pause and
	// its limit allows a request, 0 if there is one without either.
	PauseLeft(r *sycplace.Request) time.Duration
	// Refund cancels the charge of a request that hasn't run.
	Refund(customer string, cost float64)
	// RecordFirstByte records that the first byte of an attempt's answer has arrived.
	RecordFirstByte(id uint64)
	// RecordBreak records that an attempt's answer broke off because its endpoint seems to
	// have ended. Begun is set if the answer had begun. FinishAttempt follows.
	RecordBreak(id uint64, begun bool)
	// MarkLast records that no other endpoint may get an attempt's request any more.
	MarkLast(id uint64)
	// FinishAttempt records how an attempt ended and how long it took.
	FinishAttempt(id uint64, o sycplace.Outcome, route string, took time.Duration)
}
