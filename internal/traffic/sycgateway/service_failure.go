package sycgateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycattempt"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
	"sycamorecart.example/sycamorecart/internal/traffic/sycproxy"
)

// event translates a failed attempt for the plan.
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

// givenUp is the final answer after the last attempt failed.
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
	if ctx.Err() != nil {
		return c.x.contextFailure(ctx, outcome)
	}
	if outcome == sycapi.NotRun {
		return &sycapi.Failure{
			Status:     http.StatusServiceUnavailable,
			Code:       string(sycwork.NoEndpoint),
			Message:    "no endpoint took the request",
			Outcome:    outcome,
			RetryAfter: time.Second,
		}
	}
	return &sycapi.Failure{
		Status:  http.StatusBadGateway,
		Code:    codeOutcomeUnknown,
		Message: "the service may have run the request, but its answer did not arrive whole",
		Outcome: outcome,
	}
}
