package sycgateway

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
)

// meter measures the latency and the token counts of a request under one grant:
// those of its first attempt and of the resumes at the same engine. The time that
// the client takes to accept tokens isn't counted, so that a slow client doesn't
// make an engine look slow.
type meter struct {
	// sent is when the first attempt under the grant was sent. Resuming the stream
	// at the same engine doesn't change it.
	sent time.Time
	// readStart is when the gateway started to wait for the next token.
	readStart time.Time
	// firstToken is the time from sent to the first token.
	firstToken time.Duration
	// betweenTokens is the total time spent waiting for the tokens after the first.
	betweenTokens time.Duration
	// tokens is the number of tokens received under the grant.
	tokens int
	// usage holds the token counts that the engine reported at the end.
	usage sycapi.Usage
}

// markSent records the time of the first attempt. Later calls do nothing.
func (m *meter) markSent() {
	if m.sent.IsZero() {
		m.sent = time.Now()
	}
}

// startRead records that the gateway starts to wait for a token.
func (m *meter) startRead() { m.readStart = time.Now() }

// recordToken records the arrival of a token and reports whether it was the first.
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

// result returns the result that is reported to the grant, with outcome o.
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
