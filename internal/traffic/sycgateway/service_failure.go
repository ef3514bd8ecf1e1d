package sycgateway

import (
	"context"
	"errors"
	"net/http"

	"sycamorecart.example/sycamorecart/internal/decide/sycattempt"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
	"sycamorecart.example/sycamorecart/internal/traffic/sycproxy"
)

// planEvent returns the plan's event for the error of an attempt. Unless the
// request is known not to have run, the event is Lost.
func (c *serviceCall) planEvent(ctx context.Context, err error) sycattempt.Event {
	var selErr *selectionError
	if errors.As(err, &selErr) {
		return sycattempt.NoTarget
	}
	var denied *sycapi.Failure
	if errors.As(err, &denied) {
		return sycattempt.Cancelled
	}
	if errors.Is(err, errRefused) {
		return sycattempt.Refused
	}
	var send *sycproxy.SendError
	if errors.As(err, &send) && !send.Sent {
		if ctx.Err() != nil {
			return sycattempt.Expired
		}
		return sycattempt.Unsent
	}
	return sycattempt.Lost
}

// finalFailure returns the failure shown to the client after the last attempt
// failed with err.
func (c *serviceCall) finalFailure(ctx context.Context, err error) error {
	outcome := sycapi.Unknown
	if c.plan.NotRun() {
		outcome = sycapi.NotRun
	}
	var denied *sycapi.Failure
	if errors.As(err, &denied) {
		denied.Outcome = outcome
		return denied
	}
	var selErr *selectionError
	if errors.As(err, &selErr) {
		return c.x.refusalFailure(ctx, selErr.cause, c.plan.NotRun())
	}
	notTaken := outcome == sycapi.NotRun && !clientLeft(ctx)
	if ctx.Err() != nil && !notTaken {
		return c.x.contextFailure(ctx, outcome)
	}
	if notTaken {
		return &sycapi.Failure{
			Status:     http.StatusServiceUnavailable,
			Code:       string(sycwork.NoEndpoint),
			Message:    "no endpoint took the request",
			Outcome:    outcome,
			RetryAfter: defaultRetryAfter,
		}
	}
	return &sycapi.Failure{
		Status:  http.StatusBadGateway,
		Code:    codeOutcomeUnknown,
		Message: "the service may have run the request, but its answer did not arrive whole",
		Outcome: outcome,
	}
}
