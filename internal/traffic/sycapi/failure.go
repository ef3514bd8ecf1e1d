// Package sycapi decodes requests and encodes responses in the format of the OpenAI
// API. It does no I/O apart from writing error responses.
package sycapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Names of the headers that the gateway reads or sets on requests and responses.
const (
	// HeaderRequestID names the caller's request.
	HeaderRequestID = "X-Request-Id"
	// HeaderAttempt names the attempt, which is one try at one endpoint.
	HeaderAttempt = "Sycamorecart-Attempt"
	// HeaderCustomer names the customer that the request acts for.
	HeaderCustomer = "Sycamorecart-Customer"
	// HeaderOutcome tells the caller whether a failed request may have run.
	HeaderOutcome = "Sycamorecart-Outcome"
	// HeaderWeights names the version of the weights that generate the tokens.
	HeaderWeights = "Sycamorecart-Weights"
	// HeaderStream carries the id of a stream, which a caller sends back to resume it.
	HeaderStream = "Sycamorecart-Stream"
	// HeaderNotRun is "true" if the endpoint confirms that it ran nothing.
	HeaderNotRun = "Sycamorecart-Not-Run"
	// HeaderReplayed marks a stored response to an earlier request with the same
	// Idempotency-Key.
	HeaderReplayed = "Sycamorecart-Replayed"
	// HeaderPrefix begins the names of all headers that only the gateway may set.
	HeaderPrefix = "Sycamorecart-"
)

// Outcome tells the caller whether a failed request may have run.
type Outcome string

// Values of the Sycamorecart-Outcome header.
const (
	// NotRun means that the request certainly had no effect.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run, completely or in part.
	Unknown Outcome = "unknown"
)

// Failure is an error response to the caller.
type Failure struct {
	// Status is the HTTP status.
	Status int
	// Code identifies the error for programs. Codes don't change between versions.
	Code string
	// Message describes the error for people.
	Message string
	// Param is the path of the invalid field in the request body, such as
	// "messages[0].role"; empty if no field is at fault.
	Param string
	// Outcome tells whether the request may have run.
	Outcome Outcome
	// RetryAfter is how long the caller should wait before it retries, or 0 if a
	// retry is of no use.
	RetryAfter time.Duration
}

// Error returns Message.
func (f *Failure) Error() string { return f.Message }

// Invalid returns a Failure for a request that the gateway rejects without running it.
func Invalid(status int, code, format string, args ...any) *Failure {
	return &Failure{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Outcome: NotRun}
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	// Error holds the error itself. The OpenAI API nests it in an object.
	Error errorFields `json:"error"`
}

// errorFields holds the fields of an error in the OpenAI API's format.
type errorFields struct {
	// Message describes the error for people.
	Message string `json:"message"`
	// Type is the class of error, such as "rate_limit_error".
	Type string `json:"type"`
	// Param is the path of the invalid field in the request body, if any.
	Param string `json:"param,omitempty"`
	// Code identifies the error for programs.
	Code string `json:"code"`
	// RequestID is the id of the caller's request, as in HeaderRequestID.
	RequestID string `json:"request_id"`
}

// Body encodes the failure as the JSON body of an error response.
func (f *Failure) Body(requestID string) []byte {
	data, err := json.Marshal(errorBody{errorFields{
		Message:   f.Message,
		Type:      f.errorType(),
		Param:     f.Param,
		Code:      f.Code,
		RequestID: requestID,
	}})
	if err != nil {
		return []byte(`{"error":{"code":"internal"}}`)
	}
	return data
}

// Write sends the failure as the response, with status, headers and body.
func (f *Failure) Write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderOutcome, string(f.Outcome))
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(seconds(f.RetryAfter), 10))
	}
	if f.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	body := append(f.Body(requestID), '\n')
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.Status)
	_, _ = w.Write(body)
}

// errorType returns the OpenAI API's error type for the status.
func (f *Failure) errorType() string {
	switch {
	case f.Status == http.StatusUnauthorized:
		return "authentication_error"
	case f.Status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case f.Status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// seconds returns d in whole seconds, rounded up so that a caller never retries too
// early.
func seconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
