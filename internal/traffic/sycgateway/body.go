package sycgateway

import (
	"errors"
	"net"
	"net/http"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
	"sycamorecart.example/sycamorecart/internal/traffic/sycbudget"
)

// readBody reads the request's body. It fails if the body exceeds Limits.Body or if
// all bodies in memory would exceed Limits.Bodies.
func (x *exchange) readBody() error {
	limit := x.g.limits.Body
	if x.r.ContentLength > limit {
		return x.bodyTooLarge()
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(x.g.limits.BodyRead))
	host, _, _ := net.SplitHostPort(x.r.RemoteAddr)
	x.transfer = x.g.budget.Open(func() { _ = control.SetReadDeadline(time.Now()) }, host)
	body, err := x.transfer.ReadAll(x.r.Context(), http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength)
	var tooLarge *http.MaxBytesError
	var short *sycbudget.ShortError
	if errors.As(err, &short) {
		// net/http must not wait for the rest of the body.
		_ = control.SetReadDeadline(time.Now())
		return x.noMemory()
	}
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case errors.As(err, &tooLarge):
		return x.bodyTooLarge()
	case err != nil:
		return sycapi.Invalid(http.StatusBadRequest, "incomplete_body", "the body broke off")
	}
	x.body = body
	return nil
}

// noMemory returns the failure for a body for which there is no memory. It closes the
// connection, so that the rest of the body needn't be read.
func (x *exchange) noMemory() *sycapi.Failure {
	x.releaseBody()
	x.w.Header().Set("Connection", "close")
	return &sycapi.Failure{
		Status:     http.StatusServiceUnavailable,
		Code:       string(sycwork.Overloaded),
		Message:    "too many request bodies are held at the moment",
		Outcome:    sycapi.NotRun,
		RetryAfter: defaultRetryAfter,
	}
}

// bodyTooLarge returns the failure for a body over the limit. It closes the
// connection, so that the rest of the body needn't be read.
func (x *exchange) bodyTooLarge() *sycapi.Failure {
	x.w.Header().Set("Connection", "close")
	return sycapi.Invalid(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than %d bytes", x.g.limits.Body)
}

// releaseBody returns the body's memory to the gateway's budget.
func (x *exchange) releaseBody() {
	if x.transfer != nil {
		x.transfer.Close()
	}
}
