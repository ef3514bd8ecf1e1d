package sycgateway

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/decide/sycattempt"
)

// Limits bounds what one VM takes from callers and endpoints.
type Limits struct {
	// Body bounds the bytes of one request's body.
	Body int64
	// Bodies bounds the bytes of all request bodies held together.
	Bodies int64
	// Headers bounds the number of header fields of a request, and HeaderBytes
	// their size.
	Headers     int
	HeaderBytes int
	// Answer bounds the bytes of a service's answer that are held back until
	// it is known to be whole; longer answers are passed on as they come.
	Answer int
	// DefaultTokens and MaxTokens bound the output of a generation request.
	DefaultTokens int
	MaxTokens     int
	// Messages bounds the turns of a chat.
	Messages int
	// ModelTimeout and ServiceTimeout apply to routes that name no timeout.
	ModelTimeout   time.Duration
	ServiceTimeout time.Duration
	// FirstToken and BetweenTokens bound the silence of an engine.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Write bounds the time that a caller takes to accept a piece of its answer.
	Write time.Duration
	// HeaderRead and Idle bound a caller's connection before and between requests.
	HeaderRead time.Duration
	BodyRead   time.Duration
	Idle       time.Duration
	// Connect bounds the time to open a connection to an endpoint.
	Connect time.Duration
	// Cancel bounds the time spent on telling an engine that a caller went away.
	Cancel time.Duration
	// Attempts bounds the attempts of each request, Retries those of each
	// customer and endpoint.
	Attempts sycattempt.Settings
	Retries  sycattempt.Allowance
}

// Defaults returns the limits that fit a small VM.
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
		Retries:        sycattempt.Allowance{Share: 0.2, Floor: 10},
	}
}

// Validate reports all limits that are out of range.
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
		{"tries", int64(l.Attempts.Tries)},
		{"total tries", int64(l.Attempts.Total)},
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
