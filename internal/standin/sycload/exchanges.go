package sycload

import "time"

// Verdict says how an exchange ended.
type Verdict int

// Verdicts.
const (
	// Right is a whole answer with every byte as expected.
	Right Verdict = iota
	// Wrong is an answer that claims to be whole and is not the expected one.
	Wrong
	// Refused is an answer that says that the request was not run.
	Refused
	// Failed is an answer of unknown outcome, or one that visibly broke off.
	Failed
)

// ExchangeFields are the fields of an exchange.
type ExchangeFields struct {
	Customer string
	// Planned is when the request was to be sent, Ended when its answer ended.
	Planned time.Time
	Ended   time.Time
	// PromptHash is the hash of the prompt as engines log it, unique in the run;
	// Slot is what a booking books. Exactly one is set.
	PromptHash uint64
	Slot       string
	Verdict    Verdict
	// Reason is the status and code of a refusal, or the description of a fault.
	Reason string
	// Weights are those that the router says the answer came from.
	Weights string
	// Resumes is how often the stream was resumed.
	Resumes int
}

// Exchange is one request of a run and what became of it.
type Exchange struct {
	fields ExchangeFields
}

// NewExchange returns an exchange with the given fields.
func NewExchange(f ExchangeFields) Exchange { return Exchange{fields: f} }

// Customer is the customer that sent the request.
func (e Exchange) Customer() string { return e.fields.Customer }

// Planned is when the request was to be sent.
func (e Exchange) Planned() time.Time { return e.fields.Planned }

// Ended is when its answer ended.
func (e Exchange) Ended() time.Time { return e.fields.Ended }

// PromptHash is the hash of the prompt as engines log it; 0 for bookings.
func (e Exchange) PromptHash() uint64 { return e.fields.PromptHash }

// Slot is the slot that a booking books; empty for other requests.
func (e Exchange) Slot() string { return e.fields.Slot }

// Verdict says how the exchange ended.
func (e Exchange) Verdict() Verdict { return e.fields.Verdict }

// Reason is the status and code of a refusal, or the description of a fault.
func (e Exchange) Reason() string { return e.fields.Reason }

// Weights are those that the router says the answer came from.
func (e Exchange) Weights() string { return e.fields.Weights }

// Began reports whether a model's answer had begun to arrive.
func (e Exchange) Began() bool { return e.fields.Weights != "" }

// Resumes is how often the stream was resumed.
func (e Exchange) Resumes() int { return e.fields.Resumes }

// Exchanges lists the requests of a run in the order of their ends. A result
// that was read back from a file has none.
func (r Result) Exchanges() []Exchange { return r.exchanges }
