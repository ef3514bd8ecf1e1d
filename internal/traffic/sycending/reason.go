package sycending

import "fmt"

// Reason is why a caller's connection was closed before the caller had a complete answer.
type Reason string

// Reasons.
const (
	// CallerGone means that the caller closed or reset its connection, or stopped sending its request.
	CallerGone Reason = "caller_gone"
	// BrokenOff means that the endpoint broke off an answer that had begun, and no other continued it.
	BrokenOff Reason = "broken_off"
	// Deadline means that the call's deadline passed within an answer.
	Deadline Reason = "deadline"
	// DrainCut means that this VM stopped before the request had ended.
	DrainCut Reason = "drain_cut"
	// Panic means that a panic under the request was recovered within an answer.
	Panic Reason = "panic"
	// Internal means that this VM closed the connection and no code stated why.
	Internal Reason = "internal"
)

// DrainCutError is the cause of the cancellation of requests that still run when this VM stops.
type DrainCutError struct {
	// Running is the number of requests that ran.
	Running int
}

// Error says that the VM stops.
func (e *DrainCutError) Error() string {
	return fmt.Sprintf("stopped with %d requests running", e.Running)
}
