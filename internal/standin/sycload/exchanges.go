package sycload

import "time"

// Exchange is one request of a run and what became of it.
type Exchange struct {
	customer string
	planned  time.Time
	ended    time.Time
	prompt   uint64
	slot     string
	verdict  verdict
	reason   string
	weights  string
}

// Customer is the customer that sent the request.
func (e Exchange) Customer() string { return e.customer }

// Planned is when the request was to be sent.
func (e Exchange) Planned() time.Time { return e.planned }

// Ended is when its answer ended.
func (e Exchange) Ended() time.Time { return e.ended }

// PromptHash is the hash of the prompt as engines log it; 0 for bookings. No two
// requests of a run have the same prompt.
func (e Exchange) PromptHash() uint64 { return e.prompt }

// Slot is the slot that a booking books; empty for other requests.
func (e Exchange) Slot() string { return e.slot }

// Right reports whether the answer was whole and as expected.
func (e Exchange) Right() bool { return e.verdict == right }

// Wrong reports whether the answer seemed whole and was not the expected one.
func (e Exchange) Wrong() bool { return e.verdict == wrong }

// Refused reports whether the answer said that the request was not run.
func (e Exchange) Refused() bool { return e.verdict == refused }

// Failed reports whether there was no whole answer and the outcome is unknown.
func (e Exchange) Failed() bool { return e.verdict == failed }

// Reason is the status and code of a refusal, or the description of a fault.
func (e Exchange) Reason() string { return e.reason }

// Weights are those that the router says the answer came from.
func (e Exchange) Weights() string { return e.weights }

// Exchanges lists the requests of a run in the order of their ends. A result
// that was read back from a file has none.
func (r Result) Exchanges() []Exchange { return r.exchanges }
