// Package sycclaim computes the state of claims from the claims stream of the log.
//
// A call is a caller's request with an Idempotency-Key, which may run at most once.
// A claim is the right to run one call. A VM asks for it by appending a record to
// the claims stream: the claim with the lowest offset wins, and its VM is the
// holder. Later records of the holder say how the call ended. Every VM applies the
// same records in the same order and so reaches the same state.
package sycclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"
)

// Call identifies a request that may run at most once.
type Call struct {
	// Customer and Route are the scope of the key: the same key in another scope
	// names another call. Customer is empty on public routes, which need no API key.
	Customer string
	Route    string
	// Key is the value of the caller's Idempotency-Key header.
	Key string
	// Digest is the result of Digest for the request. All requests with the same
	// key must have the same digest.
	Digest string
}

// Name returns the name of the call's claim, a hash of the scope and the key. The
// key can't be read from it.
func (c Call) Name() string { return digest(c.Customer, c.Route, c.Key) }

// Digest returns a hash of the parts of a request that must be the same when the
// caller repeats the request with the same key.
func Digest(method, path, query string, body []byte) string {
	return digest(method, path, query, string(body))
}

// digestBytes is the length to which SHA-256 hashes are cut.
const digestBytes = 16

// digest returns the hash of the parts in hexadecimal. Each part is preceded by its
// length, so that different lists of parts never give the same input to the hash.
func digest(parts ...string) string {
	h := sha256.New()
	for _, part := range parts {
		h.Write([]byte(strconv.Itoa(len(part))))
		h.Write([]byte{':'})
		h.Write([]byte(part))
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// Answer is the HTTP response of a call that ran.
type Answer struct {
	// Status is the HTTP status code.
	Status int `json:"status"`
	// ContentType is the value of the Content-Type header.
	ContentType string `json:"content_type,omitempty"`
	// Body is the response body. It is empty if the claims stream or this VM doesn't
	// keep it.
	Body []byte `json:"body,omitempty"`
}

// Ticket is held by a request that won the claim of its call. The request reports
// through it whether the call is sent and how it ended.
type Ticket interface {
	// Start reports whether the call may still be sent to an endpoint. It must be
	// called right before the first byte is sent.
	Start() bool
	// Done records the answer of the call. It returns before the record is stored.
	Done(Answer)
	// Release gives up the claim, so that another request may run the call. It must
	// only be called if the call certainly did not run.
	Release()
	// Lose records that the call may have run and that its answer will never be known.
	Lose()
}

// Reason is the code, sent to the caller, for why a request did not run its call.
type Reason string

// Reasons for which a request does not run its call.
const (
	// Mismatch means that the Idempotency-Key was used before with a different request.
	Mismatch Reason = "idempotency_key_reused"
	// Running means that the first request with the key has not ended yet.
	Running Reason = "still_running"
	// OutcomeUnknown means that the first request with the key may or may not have run.
	OutcomeUnknown Reason = "outcome_unknown"
	// NotKept means that the first request with the key ran, and that the body of its
	// answer is no longer stored.
	NotKept Reason = "answer_not_kept"
	// Unavailable means that no claim could be recorded in the log, so that this
	// request did not run the call.
	Unavailable Reason = "claims_unavailable"
)

// Error is returned for a request that did not run its call.
type Error struct {
	// Reason says why the call was not run.
	Reason Reason
	// Status is the HTTP status of the first request's answer; set with NotKept.
	Status int
	// RetryAfter is how long the caller should wait before it repeats the request; 0 if
	// no time is known.
	RetryAfter time.Duration
}

// Error returns the message for the caller.
func (e *Error) Error() string {
	switch e.Reason {
	case Mismatch:
		return "the Idempotency-Key was used with a different request"
	case Running:
		return "the first request with this Idempotency-Key is still running"
	case OutcomeUnknown:
		return "the first request with this Idempotency-Key may have run; its outcome is unknown"
	case NotKept:
		return fmt.Sprintf("the first request with this Idempotency-Key ran with status %d; its answer is no longer held", e.Status)
	}
	return "no claim could be made for this Idempotency-Key; this request was not run, an earlier one with the key may have been"
}
