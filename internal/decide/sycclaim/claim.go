// Package sycclaim folds the claims stream: which VM may run a request that
// must run at most once, and how it went.
package sycclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"
)

// Call is a request that may run at most once.
type Call struct {
	// Customer and Route are the scope of the key; Customer is empty on open routes.
	Customer string
	Route    string
	// Key is the caller's Idempotency-Key.
	Key string
	// Digest covers the method, path and body; repeats must have the same.
	Digest string
}

// Name is the name of the call's claim. It doesn't show the key.
func (c Call) Name() string { return digest(c.Customer, c.Route, c.Key) }

// Digest hashes the parts of a request that repeats must have in common.
func Digest(method, path, query string, body []byte) string {
	return digest(method, path, query, string(body))
}

const digestBytes = 16

func digest(parts ...string) string {
	h := sha256.New()
	for _, part := range parts {
		h.Write([]byte(strconv.Itoa(len(part))))
		h.Write([]byte{':'})
		h.Write([]byte(part))
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// Answer is the outcome of a call that ran.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Ticket is the right to run one call.
type Ticket interface {
	// Start reports whether the call may still be sent. It is asked right
	// before the first byte leaves.
	Start() bool
	// Done records the outcome. It doesn't wait.
	Done(Answer)
	// Release gives the claim up; the call must certainly not have run.
	Release()
	// Lose records that the outcome will never be known.
	Lose()
}

// Reason says why a call may not run now.
type Reason string

// Reasons for not running a call.
const (
	// Mismatch means that the key was used for a different request.
	Mismatch Reason = "idempotency_key_reused"
	// Running means that the first request with the key hasn't ended.
	Running Reason = "still_running"
	// OutcomeUnknown means that the first request may have run.
	OutcomeUnknown Reason = "outcome_unknown"
	// NotKept means that the first request ran and its answer is no longer held.
	NotKept Reason = "answer_not_kept"
	// Unavailable means that no claim could be made; the call did not run.
	Unavailable Reason = "claims_unavailable"
)

// Error is a call that was not run by this request.
type Error struct {
	Reason Reason
	// Status is the first request's status on NotKept.
	Status     int
	RetryAfter time.Duration
}

// Error describes the reason.
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
	return "no claim could be made for this Idempotency-Key; the request was not run"
}
