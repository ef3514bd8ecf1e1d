package sycgateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycattempt"
	"sycamorecart.example/sycamorecart/internal/decide/sycclaim"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
)

const (
	// headerIdempotencyKey names the header with which a client marks repeats of
	// the same request.
	headerIdempotencyKey = "Idempotency-Key"
	// maxIdempotencyKeyLen is the maximum length of an idempotency key, in bytes.
	maxIdempotencyKeyLen = 255
	// claimRetryAfter is how long a client should wait before it retries while
	// claims are unavailable.
	claimRetryAfter = time.Second
)

// idempotencyKey returns the request's idempotency key. It is empty if the client
// sent none.
func (x *exchange) idempotencyKey() (string, error) {
	values := x.r.Header.Values(headerIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxIdempotencyKeyLen {
		return "", sycapi.Invalid(http.StatusBadRequest, "invalid_idempotency_key", "send one Idempotency-Key of 1 to %d characters", maxIdempotencyKeyLen)
	}
	return values[0], nil
}

// claim claims the right to run a request that has an Idempotency-Key and whose
// route forbids repeats. It reports true if the request was answered with an
// earlier request's answer, so that it must not run.
func (c *serviceCall) claim(ctx context.Context) (bool, error) {
	x := c.x
	key, err := x.idempotencyKey()
	if err != nil || key == "" || c.kind != sycattempt.AtMostOnce {
		return false, err
	}
	if x.g.options.Claims == nil {
		failure := claimFailure(&sycclaim.Error{Reason: sycclaim.Unavailable, RetryAfter: claimRetryAfter})
		failure.Outcome = sycapi.NotRun
		return false, failure
	}
	ticket, first, err := x.g.options.Claims.Claim(ctx, sycclaim.Call{
		Customer: x.customer(),
		Route:    x.route.Name(),
		Key:      key,
		Digest:   sycclaim.Digest(x.r.Method, x.r.URL.EscapedPath(), x.r.URL.RawQuery, x.body),
	})
	if err != nil {
		return false, x.claimError(ctx, err)
	}
	if first != nil {
		return true, x.replay(first)
	}
	c.ticket = ticket
	return false, nil
}

// replay answers a repeated request with the answer of the first one.
func (x *exchange) replay(first *sycclaim.Answer) error {
	x.w.Header().Set(sycapi.HeaderReplayed, "true")
	if x.r.Method == http.MethodHead || first.Status == http.StatusNoContent {
		x.responseStarted = true
		x.w.WriteHeader(first.Status)
		return nil
	}
	return x.writeResponse(first.Status, first.ContentType, first.Body)
}

// claimError returns the failure for an error of Claims.
func (x *exchange) claimError(ctx context.Context, err error) error {
	var refused *sycclaim.Error
	if errors.As(err, &refused) {
		return claimFailure(refused)
	}
	return x.contextFailure(ctx, sycapi.Unknown)
}

// claimFailure returns the failure for a request that was not run because of its
// claim. The outcome is that of the key: it is unknown if an earlier request with the
// same key may have run, since a caller that reads "not run" may send its call under a
// new key. Without a claim nobody knows whether there was an earlier request.
func claimFailure(e *sycclaim.Error) *sycapi.Failure {
	f := &sycapi.Failure{
		Status:     http.StatusConflict,
		Code:       string(e.Reason),
		Message:    e.Error(),
		Outcome:    sycapi.Unknown,
		RetryAfter: e.RetryAfter,
	}
	switch e.Reason {
	case sycclaim.Mismatch:
		f.Status = http.StatusUnprocessableEntity
		f.Outcome = sycapi.NotRun
	case sycclaim.Unavailable:
		f.Status = http.StatusServiceUnavailable
	}
	return f
}

// recordAnswer records the service's answer for repeats of the request. It does
// nothing if the request has no claim.
func (c *serviceCall) recordAnswer(a sycclaim.Answer) {
	if c.ticket == nil {
		return
	}
	c.ticket.Done(a)
	c.ticket = nil
}

// endClaim ends a claim for which no answer was recorded. It releases the claim if
// the request certainly didn't run, and otherwise records that the outcome is
// unknown.
func (c *serviceCall) endClaim() {
	if c.ticket == nil {
		return
	}
	if c.plan.NotRun() {
		c.ticket.Release()
	} else {
		c.ticket.Lose()
	}
	c.ticket = nil
}
