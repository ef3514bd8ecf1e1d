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

// Token is one event of a stream: an output token, or the end of the stream if Done
// is set.
type Token struct {
	// Index is the position of the token in the output, from 0 on. In the last
	// event, it's the index that a further token would have.
	Index int
	// Text is the token's text.
	Text string
	// Done marks the last event, which has no text.
	Done bool
	// Reason is the finish reason, which says why the output ended. It's only set in
	// the last event.
	Reason string
	// Usage counts the request's tokens. It is only set in the last event.
	Usage sycapi.Usage
}

// tokenEvent is the JSON data of an event. Stream reuses one value for all events.
type tokenEvent struct {
	// Attempt is the attempt's name in its JSON form, with quotes, so that decoding
	// it allocates no string.
	Attempt json.RawMessage `json:"attempt"`
	// Index is the token's position in the output.
	Index int `json:"index"`
	// Text is the token's text; empty in the last event.
	Text string `json:"text"`
	// Done marks the last event.
	Done bool `json:"done"`
	// Reason says why the output ended. It's only set in the last event.
	Reason string `json:"finish_reason"`
	// Usage holds the token counts. It's only set in the last event.
	Usage usageFields `json:"usage"`
}

// reset clears the fields but keeps the memory of Attempt for the next event.
func (t *tokenEvent) reset() {
	*t = tokenEvent{Attempt: t.Attempt[:0]}
}

// usageFields is the JSON form of sycapi.Usage in an engine's events. It counts the
// tokens of the prompt, of the output, and those of the prompt that were cached.
type usageFields struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Cached     int `json:"cached_tokens"`
}

// Stream reads the tokens of an engine's response as they arrive. It isn't safe for
// concurrent use.
type Stream struct {
	// ctx is the context of the request; cancel ends the request.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// silenceTimer cancels ctx if the engine sends nothing for too long.
	silenceTimer *time.Timer
	// timeouts limits the engine's silence.
	timeouts Timeouts
	response *sycproxy.Response
	// events reads the events in the response's body.
	events *sycsse.Reader
	// want holds what every event must match.
	want expected
	// quotedAttempt is the JSON form of want.attempt, as it appears in events.
	quotedAttempt []byte
	// decoded is the event that was decoded last.
	decoded tokenEvent
	// decoder reads from data, which holds one event at a time. If an event has
	// more than one JSON value, the rest makes decoding the next event fail, and
	// the stream counts as interrupted.
	decoder *json.Decoder
	// data holds the data of the event that is being decoded.
	data *bytes.Reader
	// done is true once the last event has been read.
	done bool
}

// Incarnation returns the engine's incarnation from the response's headers.
func (s *Stream) Incarnation() string { return s.response.Header.Get(headerIncarnation) }

// Weights returns the version of the weights that generate the stream, from the
// response's headers.
func (s *Stream) Weights() string { return s.response.Header.Get(sycapi.HeaderWeights) }

// Buffered reports whether bytes of the stream have been received that Next hasn't
// used yet.
func (s *Stream) Buffered() bool { return s.events.Buffered() }

// Next returns the next event, the last of which has Done set. After that it
// returns io.EOF. Any other error is of type *Error: the stream was interrupted,
// stalled, or sent an event that doesn't match the attempt.
func (s *Stream) Next() (Token, error) {
	if s.done {
		return Token{}, io.EOF
	}
	event, err := s.events.Next()
	if err != nil {
		return Token{}, s.readError(err)
	}
	s.silenceTimer.Reset(s.timeouts.Between)
	decoded := &s.decoded
	decoded.reset()
	s.data.Reset(event.Data)
	if err := s.decoder.Decode(decoded); err != nil {
		return Token{}, &Error{Fault: Interrupted, Err: err}
	}
	if !bytes.Equal(decoded.Attempt, s.quotedAttempt) || decoded.Index != s.want.next {
		return Token{}, &Error{Fault: Mismatched}
	}
	if decoded.Done {
		s.done = true
	} else {
		s.want.next++
	}
	return Token{
		Index:  decoded.Index,
		Text:   decoded.Text,
		Done:   decoded.Done,
		Reason: decoded.Reason,
		Usage:  sycapi.Usage(decoded.Usage),
	}, nil
}

// readError classifies an error of reading the response.
func (s *Stream) readError(err error) *Error {
	if errors.Is(context.Cause(s.ctx), errStalled) {
		return &Error{Fault: Stalled, Err: errStalled}
	}
	return &Error{Fault: Interrupted, Err: err}
}

// Pause stops the silence timer, so that the time in which the gateway isn't reading
// doesn't count as the engine's silence.
func (s *Stream) Pause() { s.silenceTimer.Stop() }

// Continue starts the silence timer again after Pause.
func (s *Stream) Continue() { s.silenceTimer.Reset(s.timeouts.Between) }

// Close releases the stream's resources. The connection is kept for other requests
// if the stream was read to its end, and closed otherwise.
func (s *Stream) Close() {
	s.silenceTimer.Stop()
	if s.done {
		// Nothing follows the last event, so this read only reaches the end of the
		// body, without which the connection wouldn't be reused.
		_, _ = io.CopyN(io.Discard, s.response.Body, 1)
		_ = s.response.Body.Close()
	} else {
		s.response.Discard()
	}
	s.cancel(nil)
}
