package sycengine

import (
	"strings"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
)

// sequence is one request in the batch and the buffer of its answer. Its
// fields are guarded by Engine.mu.
type sequence struct {
	id       string
	salt     string
	weights  string
	priority int
	chain    []uint64
	// prefill is the number of tokens still to be computed before the answer goes
	// on; while the sequence waits, only those of the text so far.
	prefill int
	prompt  int
	cached  int
	seed    uint64
	start   int
	// tokens are those generated, from index start on.
	tokens []string
	// end is the index of the terminal event.
	end  int
	done bool
	// cut is set when the answer breaks off after the tokens so far.
	cut bool
	// slow is the number of steps that a step of this sequence takes; at least 1.
	slow int
	// skipped counts the steps since the last one of this sequence.
	skipped int
	// cutAt is the index at which the answer breaks off; below 0 it doesn't.
	cutAt   int
	endedAt time.Time
	// grown is closed and replaced at each change.
	grown chan struct{}
}

func newSequence(q completion, weights string) *sequence {
	s := &sequence{
		id:       q.Stream,
		salt:     q.Salt,
		weights:  weights,
		priority: q.Priority,
		chain:    sycblock.Chain(q.Salt, q.Prompt),
		prompt:   sycblock.Tokens(q.Prompt),
		prefill:  sycblock.Tokens(q.TextSoFar),
		seed:     answerSeed(weights, q.Adapter, q.Prompt),
		start:    q.Start,
		end:      max(q.MaxTokens, q.Start),
		slow:     1,
		cutAt:    -1,
		grown:    make(chan struct{}),
	}
	if !s.continues(q.TextSoFar) {
		// A wrong continuation must show in the text.
		s.seed = answerSeed(weights, q.Adapter, q.Prompt, q.TextSoFar)
	}
	return s
}

// continues reports whether the text is that of the tokens before start.
func (s *sequence) continues(text string) bool {
	var expected strings.Builder
	for i := range s.start {
		expected.WriteString(answerToken(s.seed, i))
	}
	return expected.String() == text
}

// finished reports whether the sequence will not change any more.
func (s *sequence) finished() bool { return s.done || s.cut }

func (s *sequence) changed() {
	close(s.grown)
	s.grown = make(chan struct{})
}

// next is the index of the next token to generate.
func (s *sequence) next() int { return s.start + len(s.tokens) }

// decode generates one token or ends the answer.
func (s *sequence) decode(now time.Time) {
	if s.next() < s.end {
		s.tokens = append(s.tokens, answerToken(s.seed, s.next()))
	}
	s.cut = s.cutAt >= 0 && s.next() >= s.cutAt
	s.done = !s.cut && s.next() >= s.end
	if s.finished() {
		s.endedAt = now
	}
	s.changed()
}

// abort ends the answer without a terminal event.
func (s *sequence) abort(now time.Time) {
	if s.finished() {
		return
	}
	s.cut = true
	s.endedAt = now
	s.changed()
}
