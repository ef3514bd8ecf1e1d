// Package sycapi reads requests and writes answers in the shape of the OpenAI
// API, without sending or receiving anything itself.
package sycapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Names of the headers that the gateway reads and writes.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttempt   = "Sycamorecart-Attempt"
	HeaderCustomer  = "Sycamorecart-Customer"
	HeaderOutcome   = "Sycamorecart-Outcome"
	HeaderWeights   = "Sycamorecart-Weights"
	HeaderStream    = "Sycamorecart-Stream"
	HeaderNotRun    = "Sycamorecart-Not-Run"
	HeaderReplayed  = "Sycamorecart-Replayed"
	HeaderPrefix    = "Sycamorecart-"
)

// Outcome tells the caller whether a failed request may have run.
type Outcome string

// Values of the Sycamorecart-Outcome header.
const (
	// NotRun means that the request certainly had no effect.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run, wholly or in part.
	Unknown Outcome = "unknown"
)

// Failure is an answer that is not the one the caller asked for.
type Failure struct {
	// Status is the HTTP status.
	Status int
	// Code is stable and meant for programs; Message is meant for people.
	Code    string
	Message string
	// Param names the place in the request body that is at fault, if any.
	Param   string
	Outcome Outcome
	// RetryAfter is 0 when a retry is of no use.
	RetryAfter time.Duration
}

// Error returns the message.
func (f *Failure) Error() string { return f.Message }

// Invalid returns a failure for a request that the gateway does not accept.
func Invalid(status int, code, format string, args ...any) *Failure {
	return &Failure{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Outcome: NotRun}
}

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message   string `json:"message"`
	Type      string `json:"type"`
	Param     string `json:"param,omitempty"`
	Code      string `json:"code"`
	RequestID string `json:"request_id"`
}

// Body encodes the failure as a JSON object.
func (f *Failure) Body(requestID string) []byte {
	data, err := json.Marshal(errorBody{errorFields{
		Message:   f.Message,
		Type:      f.kind(),
		Param:     f.Param,
		Code:      f.Code,
		RequestID: requestID,
	}})
	if err != nil {
		return []byte(`{"error":{"code":"internal"}}`)
	}
	return data
}

// Write sends the failure.
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

func (f *Failure) kind() string {
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

// seconds rounds up, so that a caller never comes back too early.
func seconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
