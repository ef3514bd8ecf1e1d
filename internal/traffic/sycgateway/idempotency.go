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
	headerIdempotencyKey = "Idempotency-Key"
	maxIdempotencyKeyLen = 255
	// claimRetry is when a caller may come back while claims can't be made.
	claimRetryAfter = time.Second
)

// idempotencyKey returns the caller's key; empty when there is none.
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

// claim makes sure that a call with an Idempotency-Key runs at most once over
// all VMs. It reports whether the request is answered already.
func (c *serviceCall) claim(ctx context.Context) (bool, error) {
	x := c.x
	key, err := x.idempotencyKey()
	if err != nil || key == "" || c.kind != sycattempt.Once {
		return false, err
	}
	if x.g.options.Claims == nil {
		return false, claimFailure(&sycclaim.Error{Reason: sycclaim.Unavailable, RetryAfter: claimRetryAfter})
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

// replay answers a repeat with the first outcome.
func (x *exchange) replay(first *sycclaim.Answer) error {
	x.w.Header().Set(sycapi.HeaderReplayed, "true")
	if x.r.Method == http.MethodHead || first.Status == http.StatusNoContent {
		x.responseStarted = true
		x.w.WriteHeader(first.Status)
		return nil
	}
	return x.writeResponse(first.Status, first.ContentType, first.Body)
}

func (x *exchange) claimError(ctx context.Context, err error) error {
	var refused *sycclaim.Error
	if errors.As(err, &refused) {
		return claimFailure(refused)
	}
	return x.contextFailure(ctx, sycapi.NotRun)
}

// claimFailure answers a call that was not run. Its outcome is unknown where
// an earlier request with the same key may have run.
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
		f.Outcome = sycapi.NotRun
	}
	return f
}

// done records the outcome of the claim.
func (c *serviceCall) recordAnswer(a sycclaim.Answer) {
	if c.ticket == nil {
		return
	}
	c.ticket.Done(a)
	c.ticket = nil
}

// settle ends a claim whose call brought no answer.
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
