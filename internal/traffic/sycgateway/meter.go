package sycgateway

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
)

// meter times an attempt. Time that the caller takes to accept tokens is left
// out, so that a slow caller doesn't make an engine look slow.
type meter struct {
	sent    time.Time
	waiting time.Time
	first   time.Duration
	// between is the time spent waiting for the tokens after the first.
	between time.Duration
	tokens  int
	usage   sycapi.Usage
}

// begin marks the sending of the first request of the attempt.
func (m *meter) begin() {
	if m.sent.IsZero() {
		m.sent = time.Now()
	}
}

// wait marks the start of a read.
func (m *meter) wait() { m.waiting = time.Now() }

// token marks the arrival of a token and reports whether it was the first.
func (m *meter) token() bool {
	now := time.Now()
	m.tokens++
	if m.tokens == 1 {
		m.first = now.Sub(m.sent)
		firstTokenSeconds.Update(m.first.Seconds())
		return true
	}
	gap := now.Sub(m.waiting)
	m.between += gap
	betweenTokensSeconds.Update(gap.Seconds())
	return false
}

func (m *meter) result(o sycwork.Outcome, incarnation string) sycwork.Result {
	r := sycwork.Result{
		Outcome:      o,
		FirstToken:   m.first,
		PromptTokens: m.usage.Prompt,
		CachedTokens: m.usage.Cached,
		OutputTokens: m.tokens,
		Incarnation:  incarnation,
	}
	if m.tokens > 1 {
		r.BetweenTokens = m.between / time.Duration(m.tokens-1)
	}
	return r
}
