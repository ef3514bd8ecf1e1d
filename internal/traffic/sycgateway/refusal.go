package sycgateway

import (
	"context"
	"errors"
	"net/http"

	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
)

// refusal turns an error of the limiter or the chooser into a failure.
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

func refusalStatus(r sycwork.Reason) int {
	switch r {
	case sycwork.OverRate:
		return http.StatusTooManyRequests
	case sycwork.UnknownName:
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// ended describes a request whose context is done.
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
		Message: "the caller went away",
		Outcome: outcome,
	}
}

// statusClientClosed never reaches anybody; it marks cancelled requests.
const statusClientClosed = 499
