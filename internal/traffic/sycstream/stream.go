package sycstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
	"sycamorecart.example/sycamorecart/internal/traffic/sycproxy"
	"sycamorecart.example/sycamorecart/internal/traffic/sycsse"
)

// Token is one event of a stream: a token, or the end when Done is set.
type Token struct {
	Index  int
	Text   string
	Done   bool
	Reason string
	Usage  sycapi.Usage
}

// wireToken is reused for all events of a stream. Its attempt is compared as
// it was sent, in quotes, so that it needs no string of its own.
type wireToken struct {
	Attempt json.RawMessage `json:"attempt"`
	Index   int             `json:"index"`
	Text    string          `json:"text"`
	Done    bool            `json:"done"`
	Reason  string          `json:"finish_reason"`
	Usage   wireUsage       `json:"usage"`
}

// reset clears the fields but keeps the room for the attempt.
func (t *wireToken) reset() {
	*t = wireToken{Attempt: t.Attempt[:0]}
}

type wireUsage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Cached     int `json:"cached_tokens"`
}

// Stream is an engine's answer under way.
type Stream struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watch    *time.Timer
	timeouts Timeouts
	answer   *sycproxy.Response
	events   *sycsse.Reader
	// want.next is the index that the next token must have.
	want expected
	// quoted is want.attempt as it appears in events.
	quoted []byte
	wire   wireToken
	// decoder reads from data, which holds one event at a time. What it leaves
	// of an event spoils the next one, which then counts as a cut.
	decoder *json.Decoder
	data    *bytes.Reader
	done    bool
}

// Incarnation is the engine's, as it answered.
func (s *Stream) Incarnation() string { return s.answer.Header.Get(headerIncarnation) }

// Weights is the weight version that the engine answers with.
func (s *Stream) Weights() string { return s.answer.Header.Get(sycapi.HeaderWeights) }

// Buffered reports whether more bytes of the stream have already arrived.
func (s *Stream) Buffered() bool { return s.events.Buffered() }

// Next returns the next token. It fails with *Error when the stream breaks off
// before its end, and with io.EOF after the end.
func (s *Stream) Next() (Token, error) {
	if s.done {
		return Token{}, io.EOF
	}
	event, err := s.events.Next()
	if err != nil {
		return Token{}, s.broken(err)
	}
	s.watch.Reset(s.timeouts.Between)
	wire := &s.wire
	wire.reset()
	s.data.Reset(event.Data)
	if err := s.decoder.Decode(wire); err != nil {
		return Token{}, &Error{Fault: Interrupted, Err: err}
	}
	if !bytes.Equal(wire.Attempt, s.quoted) || wire.Index != s.want.next {
		return Token{}, &Error{Fault: Mismatched}
	}
	if wire.Done {
		s.done = true
	} else {
		s.want.next++
	}
	return Token{
		Index:  wire.Index,
		Text:   wire.Text,
		Done:   wire.Done,
		Reason: wire.Reason,
		Usage:  sycapi.Usage(wire.Usage),
	}, nil
}

func (s *Stream) broken(err error) *Error {
	if errors.Is(context.Cause(s.ctx), errStalled) {
		return &Error{Fault: Stalled, Err: errStalled}
	}
	return &Error{Fault: Interrupted, Err: err}
}

// Pause stops the watch over the engine's silence while the gateway isn't reading.
func (s *Stream) Pause() { s.watch.Stop() }

// Continue starts the watch again.
func (s *Stream) Continue() { s.watch.Reset(s.timeouts.Between) }

// Close ends the reading. A stream that was read to its end leaves its
// connection for other requests; any other has it closed.
func (s *Stream) Close() {
	s.watch.Stop()
	if s.done {
		// The terminal event is followed only by the end of the body.
		_, _ = io.CopyN(io.Discard, s.answer.Body, 1)
		_ = s.answer.Body.Close()
	} else {
		s.answer.Discard()
	}
	s.cancel(nil)
}
