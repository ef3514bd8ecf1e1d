package sycengine

import (
	"strings"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
)

// sequence is one request in the queue or batch, with the tokens of its response.
// Its fields are guarded by Engine.mu.
type sequence struct {
	// id is the stream id that the request names.
	id string
	// salt is the cache salt.
	salt string
	// weights is the version of the model's weights on which the sequence runs.
	weights string
	// priority orders the queue, lower numbers first.
	priority int
	// chain holds the hashes of the prompt's blocks.
	chain []uint64
	// prefill is the number of tokens to compute before the first token is generated.
	// While the sequence waits, it counts only the tokens of the prior text, which an
	// earlier attempt generated.
	prefill int
	// prompt is the number of tokens of the prompt.
	prompt int
	// cached is the number of prompt tokens whose blocks were cached at the admission
	// to the batch.
	cached int
	// seed is the seed from which the tokens are derived.
	seed uint64
	// start is the index of the first token to generate.
	start int
	// tokens holds the generated tokens, from index start on.
	tokens []string
	// end is the index of the terminal event, which follows the last token.
	end int
	// done is set when the response is complete.
	done bool
	// interrupted is set when the response ends without a terminal event.
	interrupted bool
	// stepsPerToken is the number of the batch's steps in which the sequence generates
	// one token, at least 1.
	stepsPerToken int
	// decodeSteps counts the batch's steps since the sequence's prefill was done.
	decodeSteps int
	// interruptAt is the index at which a fault interrupts the response, or negative
	// if none does.
	interruptAt int
	// endedAt is when the response was complete or interrupted.
	endedAt time.Time
	// updated is closed and replaced at each change of the response.
	updated chan struct{}
}

// newSequence returns the sequence of a request that runs on the given weights.
func newSequence(q completionRequest, weights string) *sequence {
	s := &sequence{
		id:            q.Stream,
		salt:          q.Salt,
		weights:       weights,
		priority:      q.Priority,
		chain:         sycblock.Chain(q.Salt, q.Prompt),
		prompt:        sycblock.Tokens(q.Prompt),
		prefill:       sycblock.Tokens(q.TextSoFar),
		seed:          answerSeed(weights, q.Adapter, q.Prompt),
		start:         q.Start,
		end:           max(q.MaxTokens, q.Start),
		stepsPerToken: 1,
		interruptAt:   -1,
		updated:       make(chan struct{}),
	}
	if !s.matchesPrior(q.TextSoFar) {
		// A request resumed with wrong prior text must get wrong tokens, so that a
		// test notices it.
		s.seed = answerSeed(weights, q.Adapter, q.Prompt, q.TextSoFar)
	}
	return s
}

// matchesPrior reports whether the text is that of the tokens before start.
func (s *sequence) matchesPrior(text string) bool {
	var expected strings.Builder
	for i := range s.start {
		expected.WriteString(answerToken(s.seed, i))
	}
	return expected.String() == text
}

// finished reports whether the response is complete or interrupted.
func (s *sequence) finished() bool { return s.done || s.interrupted }

// notify wakes the handlers that wait for a change of the response.
func (s *sequence) notify() {
	close(s.updated)
	s.updated = make(chan struct{})
}

// nextIndex returns the index of the next token to generate.
func (s *sequence) nextIndex() int { return s.start + len(s.tokens) }

// decode generates the next token and ends the response after its last one.
func (s *sequence) decode(now time.Time) {
	if s.nextIndex() < s.end {
		s.tokens = append(s.tokens, answerToken(s.seed, s.nextIndex()))
	}
	s.interrupted = s.interruptAt >= 0 && s.nextIndex() >= s.interruptAt
	s.done = !s.interrupted && s.nextIndex() >= s.end
	if s.finished() {
		s.endedAt = now
	}
	s.notify()
}

// abort interrupts the response unless it has ended.
func (s *sequence) abort(now time.Time) {
	if s.finished() {
		return
	}
	s.interrupted = true
	s.endedAt = now
	s.notify()
}
