package sycgateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
)

// readBody reads the request's body. It fails if the body exceeds Limits.Body or if
// all bodies in memory would exceed Limits.Bodies.
func (x *exchange) readBody() error {
	limit := x.g.limits.Body
	if x.r.ContentLength > limit {
		return x.bodyTooLarge()
	}
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(x.g.limits.BodyRead))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := x.readLimited(limit)
	if err != nil {
		return err
	}
	x.body = body
	return nil
}

// readStep is how many bytes are reserved and read at a time if the request doesn't
// state the length of its body.
const readStep = 32 << 10

// readLimited reads a body of at most limit bytes. It reserves the bytes in the
// gateway's budget before it allocates them.
func (x *exchange) readLimited(limit int64) ([]byte, error) {
	size := x.r.ContentLength
	if size == 0 {
		return nil, nil
	}
	step := size
	if step < 0 {
		step = min(readStep, limit+1)
	}
	var body []byte
	for {
		if int64(len(body)) > limit {
			return nil, x.bodyTooLarge()
		}
		if !x.g.bodyBytes.TryAcquire(step) {
			return nil, &sycapi.Failure{
				Status:     http.StatusServiceUnavailable,
				Code:       string(sycwork.Overloaded),
				Message:    "too many request bodies are held at the moment",
				Outcome:    sycapi.NotRun,
				RetryAfter: defaultRetryAfter,
			}
		}
		x.reservedBytes += step
		part := make([]byte, step)
		n, err := io.ReadFull(x.r.Body, part)
		if body == nil {
			body = part[:n]
		} else {
			body = append(body, part[:n]...)
		}
		if size >= 0 && err == nil {
			return body, nil
		}
		if errors.Is(err, io.EOF) || (size < 0 && errors.Is(err, io.ErrUnexpectedEOF) && x.bodyEnded()) {
			return body, nil
		}
		if err != nil {
			return nil, sycapi.Invalid(http.StatusBadRequest, "incomplete_body", "the body broke off")
		}
	}
}

// bodyEnded reports whether a chunked body is complete. It tells a complete body
// from one whose connection broke off, which io.ReadFull reports with the same
// error.
func (x *exchange) bodyEnded() bool {
	_, err := x.r.Body.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// bodyTooLarge returns the failure for a body over the limit. It closes the
// connection, so that the rest of the body needn't be read.
func (x *exchange) bodyTooLarge() *sycapi.Failure {
	x.w.Header().Set("Connection", "close")
	return sycapi.Invalid(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than %d bytes", x.g.limits.Body)
}

// releaseBody returns the body's reserved bytes to the gateway's budget.
func (x *exchange) releaseBody() {
	if x.reservedBytes > 0 {
		x.g.bodyBytes.Release(x.reservedBytes)
	}
}
