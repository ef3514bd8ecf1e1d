package sycgateway

import (
	"net/http"
	"time"

	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
	"sycamorecart.example/sycamorecart/internal/traffic/sycsse"
	"sycamorecart.example/sycamorecart/internal/traffic/sycstream"
)

// idPrefix begins the ids of answers, as callers of this API expect.
const responseIDPrefix = "chatcmpl-"

func (x *exchange) newSink(gen *generator) sink {
	answer := sycapi.NewAnswer(gen.req, responseIDPrefix+x.id, x.arrival.Unix())
	if gen.req.Streamed() {
		return &eventSink{gen: gen, answer: answer, control: http.NewResponseController(x.w)}
	}
	return &bufferedSink{gen: gen, answer: answer}
}

// allowWrite gives the caller time to accept the next piece.
func (x *exchange) extendWriteDeadline() {
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(x.g.limits.Write))
}

// wholeSink gathers the answer and sends it in one piece.
type bufferedSink struct {
	gen    *generator
	answer *sycapi.Answer
}

// token does nothing: the generation keeps the text.
func (s *bufferedSink) writeToken(sycstream.Token, bool) error { return nil }

func (s *bufferedSink) finish(reason string, u sycapi.Usage) error {
	body, err := s.answer.Whole(s.gen.text.String(), reason, u)
	if err != nil {
		return err
	}
	s.gen.setHeaders()
	return s.gen.x.writeResponse(http.StatusOK, "application/json", body)
}

// eventSink passes each token on as an event.
type eventSink struct {
	gen     *generator
	answer  *sycapi.Answer
	control *http.ResponseController
	buffer  []byte
}

// maxHeld bounds the bytes that wait for tokens which have already arrived.
const maxBuffered = 2 << 10

func (s *eventSink) writeToken(t sycstream.Token, more bool) error {
	s.buffer = sycsse.AppendStart(s.buffer, t.Index, "")
	s.buffer = s.answer.AppendToken(s.buffer, t.Index, t.Text)
	s.buffer = sycsse.AppendEnd(s.buffer)
	if more && len(s.buffer) < maxBuffered {
		return nil
	}
	return s.flush()
}

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

// flush sends what is held. The caller has the write limit to accept it.
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

// headers tells the caller what answers and how to find the stream again.
func (gen *generator) setHeaders() {
	h := gen.x.w.Header()
	h.Set(sycapi.HeaderWeights, gen.call.Target.Weights)
	h.Set(sycapi.HeaderStream, gen.streamID())
}

// breakOff makes a cut visible: an error event, then a connection that ends
// without the end of the answer.
func (x *exchange) abortResponse(f *sycapi.Failure) {
	brokenStreamsTotal.Inc()
	if x.eventStream {
		control := http.NewResponseController(x.w)
		_ = control.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = x.w.Write(sycsse.Append(nil, sycsse.NoID, "error", f.Body(x.id)))
		_ = control.Flush()
	}
	panic(http.ErrAbortHandler)
}
