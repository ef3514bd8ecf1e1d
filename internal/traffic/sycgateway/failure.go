package sycgateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycattempt"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
	"sycamorecart.example/sycamorecart/internal/traffic/sycstream"
)

// defaultRetryAfter is how long a client should wait before it retries a request
// that this VM or the endpoints couldn't serve.
const defaultRetryAfter = time.Second

// finalFailure returns the failure shown to the client after the last attempt
// failed with err. notRun reports that no attempt can have run.
func (gen *generator) finalFailure(ctx context.Context, err error, notRun bool) error {
	var denied *sycapi.Failure
	if errors.As(err, &denied) {
		return denied
	}
	var selErr *selectionError
	if errors.As(err, &selErr) {
		return gen.x.refusalFailure(ctx, selErr.cause, notRun)
	}
	var fault *sycstream.Error
	if !errors.As(err, &fault) {
		return err
	}
	return engineFailure(fault, notRun)
}

// engineFailure returns the failure shown to the client for an engine's error. Its
// RetryAfter is the time that the engine asked for, but at least defaultRetryAfter.
func engineFailure(fault *sycstream.Error, notRun bool) *sycapi.Failure {
	f := &sycapi.Failure{
		Status:     http.StatusBadGateway,
		Code:       "endpoint_failed",
		Message:    "the endpoints failed to answer: " + fault.Fault.String(),
		Outcome:    sycapi.Unknown,
		RetryAfter: max(fault.RetryAfter, defaultRetryAfter),
	}
	if notRun {
		f.Status = http.StatusServiceUnavailable
		f.Code = string(sycwork.NoEndpoint)
		f.Outcome = sycapi.NotRun
	}
	return f
}

// selectionError is the error of an attempt for which no endpoint could be
// selected.
type selectionError struct {
	// cause is the error of sycwork.Chooser, usually a *sycwork.Refusal.
	cause error
}

// Error returns the text of the selection's error.
func (e *selectionError) Error() string { return "no endpoint: " + e.cause.Error() }

// Unwrap returns the selection's error.
func (e *selectionError) Unwrap() error { return e.cause }

// errClientGone is returned when a write to the client fails, because the client
// closed the connection or reads too slowly.
var errClientGone = errors.New("the client closed the connection")

// attemptOutcome returns the outcome of a failed attempt, as it is reported to the
// selection.
func attemptOutcome(err error) sycwork.Outcome {
	var fault *sycstream.Error
	if errors.As(err, &fault) && fault.Fault == sycstream.Refused {
		return sycwork.Refused
	}
	return sycwork.Failed
}

// planEvent returns the plan's event for the error of an attempt. If the engine
// reported that it isn't running the stream, planEvent also clears engineRunning.
func (gen *generator) planEvent(err error) sycattempt.Event {
	var selErr *selectionError
	if errors.As(err, &selErr) {
		return sycattempt.NoTarget
	}
	var fault *sycstream.Error
	if !errors.As(err, &fault) {
		return sycattempt.Expired
	}
	switch fault.Fault {
	case sycstream.NotSent:
		return sycattempt.Unsent
	case sycstream.Refused:
		gen.engineRunning = false
		return sycattempt.Refused
	case sycstream.Gone:
		gen.engineRunning = false
		return sycattempt.Lost
	case sycstream.Interrupted:
		return sycattempt.Broken
	case sycstream.Mismatched:
		// The stream that the engine has under this name may be another request's,
		// so it must not be resumed.
		crossedResponsesTotal.Inc()
	}
	return sycattempt.Lost
}
