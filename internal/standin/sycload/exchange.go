package sycload

import "time"

// Verdict is the checked outcome of an exchange.
type Verdict int

// The verdicts of an exchange.
const (
	// Right is a complete response whose every byte is as expected.
	Right Verdict = iota
	// Wrong is a response that claims to be complete and differs from the expected
	// response, or whose stream breaks the protocol.
	Wrong
	// Refused is a response that says that the request was not run.
	Refused
	// Failed means that there was no response, that the response doesn't say whether
	// the request ran, or that it was visibly interrupted.
	Failed
)

// Interruption says when a response was visibly interrupted.
type Interruption struct {
	// Router is the base URL of the router that had sent the response. It is empty if
	// no response was interrupted.
	Router string
	// Sent is when the response's request was sent.
	Sent time.Time
	// At is when the caller noticed the interruption.
	At time.Time
}

// ExchangeFields are the fields of an Exchange.
type ExchangeFields struct {
	// Customer is the name of the customer that sent the request.
	Customer string
	// Planned is the time at which the request was planned to be sent.
	Planned time.Time
	// Ended is when the response ended or the request failed.
	Ended time.Time
	// PromptHash is the hash of the prompt that engines write to their request log. It
	// is unique in the run, and 0 for a booking.
	PromptHash uint64
	// Slot is the name of what a booking books, unique in the run. It is empty for a
	// request to a model.
	Slot    string
	Verdict Verdict
	// Reason is the status and code of a refusal, or the description of a fault.
	Reason string
	// Weights are the weights that generated the response, as the router names them.
	// Empty if no response of a model began.
	Weights string
	// Resumes counts the responses, of any status, to attempts to resume the stream.
	Resumes int
	// Interruption is the last interruption of the response.
	Interruption Interruption
	// ResumedAt is when the last request was sent that a router accepted to resume the
	// stream. It is zero if there was none.
	ResumedAt time.Time
}

// Exchange is one request of a run, to a model or to book a slot, and its outcome.
type Exchange struct {
	fields ExchangeFields
}

// NewExchange returns an exchange with the given fields.
func NewExchange(f ExchangeFields) Exchange { return Exchange{fields: f} }

// Customer returns the name of the customer that sent the request.
func (e Exchange) Customer() string { return e.fields.Customer }

// Planned returns the time at which the request was planned to be sent.
func (e Exchange) Planned() time.Time { return e.fields.Planned }

// Ended returns when the response ended or the request failed.
func (e Exchange) Ended() time.Time { return e.fields.Ended }

// PromptHash returns the hash of the prompt that engines write to their request log,
// or 0 for a booking.
func (e Exchange) PromptHash() uint64 { return e.fields.PromptHash }

// Slot returns the name of what a booking books, or an empty string for a request to a
// model.
func (e Exchange) Slot() string { return e.fields.Slot }

// Verdict returns the checked outcome of the exchange.
func (e Exchange) Verdict() Verdict { return e.fields.Verdict }

// Reason returns the status and code of a refusal, or the description of a fault.
func (e Exchange) Reason() string { return e.fields.Reason }

// Weights returns the weights that generated the response, as the router names them.
func (e Exchange) Weights() string { return e.fields.Weights }

// ResponseBegan reports whether the response of a model had begun to arrive.
func (e Exchange) ResponseBegan() bool { return e.fields.Weights != "" }

// Resumes returns the number of responses, of any status, to attempts to resume the
// stream.
func (e Exchange) Resumes() int { return e.fields.Resumes }

// Interruption returns the last interruption of the response. It is zero if there was
// none.
func (e Exchange) Interruption() Interruption { return e.fields.Interruption }

// ResumedAt returns when the last request was sent that a router accepted to resume the
// stream, or zero if there was none.
func (e Exchange) ResumedAt() time.Time { return e.fields.ResumedAt }

// Exchanges returns the requests of a run in the order in which they ended. After
// Merge, those of the other run follow. A result that was read from a file has none.
func (r Result) Exchanges() []Exchange { return r.exchanges }
