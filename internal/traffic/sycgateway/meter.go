package sycgateway

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
)

// meter times an attempt. Time that the caller takes to accept tokens is left
// out, so that a slow caller doesn't make an engine look slow.
type meter struct {
	sent       time.Time
	readStart  time.Time
	firstToken time.Duration
	// between is the time spent waiting for the tokens after the first.
	betweenTokens time.Duration
	tokens        int
	usage         sycapi.Usage
}

// begin marks the sending of the first request of the attempt.
func (m *meter) markSent() {
	if m.sent.IsZero() {
		m.sent = time.Now()
	}
}

// wait marks the start of a read.
func (m *meter) startRead() { m.readStart = time.Now() }

// token marks the arrival of a token and reports whether it was the first.
func (m *meter) recordToken() bool {
	now := time.Now()
	m.tokens++
	if m.tokens == 1 {
		m.firstToken = now.Sub(m.sent)
		firstTokenSeconds.Update(m.firstToken.Seconds())
		return true
	}
	gap := now.Sub(m.readStart)
	m.betweenTokens += gap
	betweenTokensSeconds.Update(gap.Seconds())
	return false
}

func (m *meter) result(o sycwork.Outcome, incarnation string) sycwork.Result {
	r := sycwork.Result{
		Outcome:      o,
		FirstToken:   m.firstToken,
		PromptTokens: m.usage.Prompt,
		CachedTokens: m.usage.Cached,
		OutputTokens: m.tokens,
		Incarnation:  incarnation,
	}
	if m.tokens > 1 {
		r.BetweenTokens = m.betweenTokens / time.Duration(m.tokens-1)
	}
	return r
}
