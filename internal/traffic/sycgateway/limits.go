package sycgateway

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/decide/sycattempt"
)

// Limits bounds the resources and the time that requests take on one VM.
type Limits struct {
	// Body is the maximum size of a request's body, in bytes.
	Body int64
	// Bodies is the maximum size of all request bodies in memory, in bytes.
	Bodies int64
	// Headers is the maximum number of header fields of a request.
	Headers int
	// HeaderBytes is the maximum size of a request's header, in bytes.
	HeaderBytes int
	// Answer is the maximum size, in bytes, of a service's response that is
	// buffered until it is complete. Longer responses are streamed to the client.
	Answer int
	// DefaultTokens is the maximum output of a generation request that sets no
	// maximum, in tokens.
	DefaultTokens int
	// MaxTokens is the largest maximum output that a request may set, in tokens.
	MaxTokens int
	// Messages is the maximum number of messages in a chat request.
	Messages int
	// ModelTimeout is the timeout of requests on model routes that set none.
	ModelTimeout time.Duration
	// ServiceTimeout is the timeout of requests on service routes that set none.
	ServiceTimeout time.Duration
	// FirstToken is how long the gateway waits for an engine's first token before
	// the attempt fails.
	FirstToken time.Duration
	// BetweenTokens is how long the gateway waits for each later token.
	BetweenTokens time.Duration
	// Write is how long a client may take to accept one write of its response.
	Write time.Duration
	// HeaderRead is how long a client may take to send a request's header.
	HeaderRead time.Duration
	// BodyRead is how long a client may take to send a request's body.
	BodyRead time.Duration
	// Idle is how long a client's connection stays open between requests.
	Idle time.Duration
	// Connect is the timeout for opening a connection to an endpoint.
	Connect time.Duration
	// Cancel is the timeout for cancelling a stream at its engine, including all
	// tries.
	Cancel time.Duration
	// Attempts limits the attempts of each request.
	Attempts sycattempt.Settings
	// Retries is the retry budget of each customer and each endpoint.
	Retries sycattempt.Allowance
}

// Defaults returns limits that suit a small VM.
func Defaults() Limits {
	return Limits{
		Body:           8 << 20,
		Bodies:         128 << 20,
		Headers:        100,
		HeaderBytes:    32 << 10,
		Answer:         256 << 10,
		DefaultTokens:  256,
		MaxTokens:      16384,
		Messages:       4096,
		ModelTimeout:   5 * time.Minute,
		ServiceTimeout: 30 * time.Second,
		FirstToken:     15 * time.Second,
		BetweenTokens:  5 * time.Second,
		Write:          20 * time.Second,
		HeaderRead:     10 * time.Second,
		BodyRead:       30 * time.Second,
		Idle:           60 * time.Second,
		Connect:        time.Second,
		Cancel:         time.Second,
		Attempts:       sycattempt.Defaults(),
		// Allows 10 retries plus 20 % of the requests in each window of 10 seconds.
		Retries: sycattempt.Allowance{RetryFraction: 0.2, Floor: 10},
	}
}

// Validate returns an error that lists all limits that are out of range.
func (l Limits) Validate() error {
	positive := []struct {
		name  string
		value int64
	}{
		{"body", l.Body},
		{"bodies", l.Bodies},
		{"headers", int64(l.Headers)},
		{"header bytes", int64(l.HeaderBytes)},
		{"answer", int64(l.Answer)},
		{"default tokens", int64(l.DefaultTokens)},
		{"max tokens", int64(l.MaxTokens)},
		{"messages", int64(l.Messages)},
		{"model timeout", int64(l.ModelTimeout)},
		{"service timeout", int64(l.ServiceTimeout)},
		{"first token", int64(l.FirstToken)},
		{"between tokens", int64(l.BetweenTokens)},
		{"write", int64(l.Write)},
		{"header read", int64(l.HeaderRead)},
		{"body read", int64(l.BodyRead)},
		{"idle", int64(l.Idle)},
		{"connect", int64(l.Connect)},
		{"cancel", int64(l.Cancel)},
		{"tries", int64(l.Attempts.MaxFailures)},
		{"total tries", int64(l.Attempts.MaxAttempts)},
	}
	var faults []error
	for _, p := range positive {
		if p.value <= 0 {
			faults = append(faults, eris.Errorf("%s must be above 0, not %d", p.name, p.value))
		}
	}
	if l.Bodies < l.Body {
		faults = append(faults, eris.New("bodies must be at least body"))
	}
	if l.DefaultTokens > l.MaxTokens {
		faults = append(faults, eris.New("default tokens must be at most max tokens"))
	}
	return errors.Join(faults...)
}
