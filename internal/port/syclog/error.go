package syclog

import (
	"fmt"
	"time"
)

// LostError reports an append whose answer did not arrive: it may have taken
// effect. The caller reads on from its last offset before it appends again.
type LostError struct {
	Stream string
	Err    error
}

// Error names the stream and the cause.
func (e *LostError) Error() string {
	return fmt.Sprintf("append to %s: outcome unknown: %v", e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// UnavailableError reports a call that had no effect because the log could not
// be reached, was out of service or limited the rate.
type UnavailableError struct {
	Stream string
	// Status is the HTTP status of the last answer, 0 if there was none.
	Status int
	// RetryAfter is what the log asked for, 0 if it did not say.
	RetryAfter time.Duration
	Err        error
}

// Error names the stream and the last answer or cause.
func (e *UnavailableError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("log stream %s: unavailable: %v", e.Stream, e.Err)
	}
	return fmt.Sprintf("log stream %s: unavailable: status %d", e.Stream, e.Status)
}

// Unwrap returns the cause, nil if the log answered.
func (e *UnavailableError) Unwrap() error { return e.Err }

// RefusedError reports a call that the log will never accept, such as a record
// that is too large.
type RefusedError struct {
	Stream  string
	Status  int
	Message string
}

// Error names the stream, the status and the log's message.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("log stream %s: refused with status %d: %s", e.Stream, e.Status, e.Message)
}
