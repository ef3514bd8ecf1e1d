package sycgateway

import (
	"context"
	"errors"
	"net/http"

	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
)

// refusalFailure returns the failure for an error of the rate limiter or the
// selection. notRun reports that no attempt can have run.
func (x *exchange) refusalFailure(ctx context.Context, err error, notRun bool) *sycapi.Failure {
	outcome := sycapi.Unknown
	if notRun {
		outcome = sycapi.NotRun
	}
	var refused *sycwork.Refusal
	if errors.As(err, &refused) {
		return &sycapi.Failure{
			Status:     refusalStatus(refused.Reason),
			Code:       string(refused.Reason),
			Message:    refused.Message,
			Outcome:    outcome,
			RetryAfter: refused.RetryAfter,
		}
	}
	return x.contextFailure(ctx, outcome)
}

// refusalStatus returns the HTTP status for the reason of a refusal.
func refusalStatus(r sycwork.Reason) int {
	switch r {
	case sycwork.OverRate:
		return http.StatusTooManyRequests
	case sycwork.UnknownName:
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// contextFailure returns the failure of a request whose context is done: a timeout
// if the deadline has passed, otherwise a cancellation by the client.
func (x *exchange) contextFailure(ctx context.Context, outcome sycapi.Outcome) *sycapi.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &sycapi.Failure{
			Status:  http.StatusGatewayTimeout,
			Code:    codeTimeout,
			Message: "the request did not end within its route's timeout",
			Outcome: outcome,
		}
	}
	return &sycapi.Failure{
		Status:  statusClientClosed,
		Code:    codeCancelled,
		Message: "the client closed the connection",
		Outcome: outcome,
	}
}

// clientLeft reports whether the context of a request is done because its client closed the
// connection, and not because its deadline has passed.
func clientLeft(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// statusClientClosed is the status of requests whose client closed the connection.
// It is never sent. 499 is the status that nginx logs for them.
const statusClientClosed = 499
