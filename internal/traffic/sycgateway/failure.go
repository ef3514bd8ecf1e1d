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

// givenUp is the final answer after the last attempt failed.
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

func engineFailure(fault *sycstream.Error, notRun bool) *sycapi.Failure {
	f := &sycapi.Failure{
		Status:     http.StatusBadGateway,
		Code:       "endpoint_failed",
		Message:    "the endpoints failed to answer: " + fault.Fault.String(),
		Outcome:    sycapi.Unknown,
		RetryAfter: max(fault.RetryAfter, time.Second),
	}
	if notRun {
		f.Status = http.StatusServiceUnavailable
		f.Code = string(sycwork.NoEndpoint)
		f.Outcome = sycapi.NotRun
	}
	return f
}

// noTarget is a failure to choose an endpoint.
type selectionError struct {
	cause error
}

// Error describes the failure.
func (e *selectionError) Error() string { return "no endpoint: " + e.cause.Error() }

// Unwrap returns the chooser's error.
func (e *selectionError) Unwrap() error { return e.cause }

// errCallerGone means that the caller doesn't take its answer any more.
var errClientGone = errors.New("the caller went away")

// outcome tells the chooser how an attempt failed.
func attemptOutcome(err error) sycwork.Outcome {
	var fault *sycstream.Error
	if errors.As(err, &fault) && fault.Fault == sycstream.Refused {
		return sycwork.Refused
	}
	return sycwork.Failed
}

// event translates a failed attempt for the plan.
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
	case sycstream.Connect:
		return sycattempt.Unsent
	case sycstream.Refused:
		gen.engineRunning = false
		return sycattempt.Refused
	case sycstream.Gone:
		gen.engineRunning = false
		return sycattempt.Lost
	case sycstream.Cut:
		return sycattempt.Broken
	case sycstream.Crossed:
		// What the engine has under this stream's name may be another's.
		crossedResponsesTotal.Inc()
	}
	return sycattempt.Lost
}
