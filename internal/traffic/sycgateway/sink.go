package sycgateway

import (
	"net/http"
	"time"

	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
	"sycamorecart.example/sycamorecart/internal/traffic/sycsse"
	"sycamorecart.example/sycamorecart/internal/traffic/sycstream"
)

// responseIDPrefix starts the IDs of responses, as OpenAI-compatible clients
// expect.
const responseIDPrefix = "chatcmpl-"

// newSink returns an eventSink for a streamed response and a bufferedSink for any
// other.
func (x *exchange) newSink(gen *generator) sink {
	answer := sycapi.NewEncoder(gen.req, responseIDPrefix+x.id, x.arrival.Unix())
	if gen.req.Streamed() {
		return &eventSink{gen: gen, answer: answer, control: http.NewResponseController(x.w)}
	}
	return &bufferedSink{gen: gen, answer: answer}
}

// extendWriteDeadline gives the client Limits.Write from now to accept the next
// write.
func (x *exchange) extendWriteDeadline() {
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(x.g.limits.Write))
}

// bufferedSink sends the response as one JSON object once the generation has ended.
type bufferedSink struct {
	// gen is the generator that writes to the sink.
	gen *generator
	// answer encodes the response in the format of the client's API.
	answer *sycapi.Encoder
}

// writeToken does nothing, because the generator keeps the text.
func (s *bufferedSink) writeToken(sycstream.Token, bool) error { return nil }

// finish writes the whole response.
func (s *bufferedSink) finish(reason string, u sycapi.Usage) error {
	body, err := s.answer.EncodeResponse(s.gen.text.String(), reason, u)
	if err != nil {
		return err
	}
	s.gen.setHeaders()
	return s.gen.x.writeResponse(http.StatusOK, "application/json", body)
}

// eventSink sends the tokens to the client as server-sent events.
type eventSink struct {
	// gen is the generator that writes to the sink.
	gen *generator
	// answer encodes the response in the format of the client's API.
	answer *sycapi.Encoder
	// control sets the write deadline and flushes the response.
	control *http.ResponseController
	// buffer holds encoded events that are not sent yet.
	buffer []byte
}

// maxBuffered is the size in bytes from which an eventSink sends its buffer
// although further tokens have arrived.
const maxBuffered = 2 << 10

// writeToken adds the token's event to the buffer. It sends the buffer if no
// further bytes have arrived from the engine or the buffer is full.
func (s *eventSink) writeToken(t sycstream.Token, more bool) error {
	s.buffer = sycsse.AppendStart(s.buffer, t.Index, "")
	s.buffer = s.answer.AppendToken(s.buffer, t.Index, t.Text)
	s.buffer = sycsse.AppendEnd(s.buffer)
	if more && len(s.buffer) < maxBuffered {
		return nil
	}
	return s.flush()
}

// finish sends the final events: the finish reason, the usage and [DONE]. The usage
// gets an event of its own if the client asked for it.
func (s *eventSink) finish(reason string, u sycapi.Usage) error {
	usageEvent := s.gen.req.IncludeUsage()
	s.buffer = sycsse.AppendStart(s.buffer, sycsse.NoID, "")
	s.buffer = s.answer.AppendFinish(s.buffer, reason, u, !usageEvent)
	s.buffer = sycsse.AppendEnd(s.buffer)
	if usageEvent {
		s.buffer = sycsse.AppendStart(s.buffer, sycsse.NoID, "")
		s.buffer = s.answer.AppendUsage(s.buffer, u)
		s.buffer = sycsse.AppendEnd(s.buffer)
	}
	s.buffer = sycsse.Append(s.buffer, sycsse.NoID, "", []byte("[DONE]"))
	return s.flush()
}

// flush sends the buffer. The client has Limits.Write to accept it.
func (s *eventSink) flush() error {
	x := s.gen.x
	if !x.responseStarted {
		x.responseStarted = true
		x.eventStream = true
		s.gen.plan.Delivered()
		s.gen.setHeaders()
		h := x.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		x.w.WriteHeader(http.StatusOK)
	}
	_ = s.control.SetWriteDeadline(time.Now().Add(x.g.limits.Write))
	if _, err := x.w.Write(s.buffer); err != nil {
		return errClientGone
	}
	s.buffer = s.buffer[:0]
	if err := s.control.Flush(); err != nil {
		return errClientGone
	}
	return nil
}

// setHeaders sets the response headers that name the weights and the stream. The
// client can resume the stream by its ID.
func (gen *generator) setHeaders() {
	h := gen.x.w.Header()
	h.Set(sycapi.HeaderWeights, gen.call.Target.Weights)
	h.Set(sycapi.HeaderStream, gen.streamID())
}

// errorEventTimeout is how long a client may take to accept the error event of a
// response that broke off.
const errorEventTimeout = time.Second

// abortResponse makes the failure of a started response visible to the client. It
// sends an error event if the response is an event stream, and then breaks the
// connection without ending the response.
func (x *exchange) abortResponse(f *sycapi.Failure) {
	brokenStreamsTotal.Inc()
	if x.eventStream {
		control := http.NewResponseController(x.w)
		_ = control.SetWriteDeadline(time.Now().Add(errorEventTimeout))
		_, _ = x.w.Write(sycsse.Append(nil, sycsse.NoID, "error", f.Body(x.id)))
		_ = control.Flush()
	}
	panic(http.ErrAbortHandler)
}
