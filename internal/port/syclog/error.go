package syclog

import (
	"fmt"
	"time"
)

// LostError reports an append without a usable response. The log may have appended
// the entries, so the caller must read the stream from its last offset before it
// appends them again.
type LostError struct {
	// Stream is the name of the stream.
	Stream string
	// Err is the cause.
	Err error
}

// Error returns a message with the stream and the cause.
func (e *LostError) Error() string {
	return fmt.Sprintf("append to %s: outcome unknown: %v", e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// UnavailableError reports a read or append that had no effect, because the log
// couldn't be reached, was out of service or limited the rate of requests.
type UnavailableError struct {
	// Stream is the name of the stream.
	Stream string
	// Status is the HTTP status of the last response, 0 if there was none.
	Status int
	// RetryAfter is the wait that the log asked for, 0 if it asked for none.
	RetryAfter time.Duration
	// Err is the cause, nil if the log responded with Status.
	Err error
}

// Error returns a message with the stream and the cause or the status.
func (e *UnavailableError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("log stream %s: unavailable: %v", e.Stream, e.Err)
	}
	return fmt.Sprintf("log stream %s: unavailable: status %d", e.Stream, e.Status)
}

// Unwrap returns the cause, nil if the log responded with Status.
func (e *UnavailableError) Unwrap() error { return e.Err }

// RefusedError reports a read or append that the log will never accept, for example
// because a record is too large.
type RefusedError struct {
	// Stream is the name of the stream.
	Stream string
	// Status is the HTTP status of the response.
	Status int
	// Message is the beginning of the response's body.
	Message string
}

// Error returns a message with the stream, the status and the log's message.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("log stream %s: refused with status %d: %s", e.Stream, e.Status, e.Message)
}
