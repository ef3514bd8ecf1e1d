package sycrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/traffic/sycwire"
)

// minStandbyTime is the least time to the deadline at which a standby is still begun.
const minStandbyTime = 250 * time.Millisecond

// standby is an attempt to resume a stream at another endpoint while its present endpoint is silent. The
// present attempt ends only once the other endpoint has sent an event that takes the stream further: until
// then the present one may be the only one that can complete the stream.
type standby struct {
	// exchange is a copy of the call's, with the standby as the present attempt. Only the standby
	// uses it.
	exchange *exchange
	// ctx is the attempt's context, which cancel ends.
	ctx    context.Context
	cancel context.CancelFunc
	// started is when the endpoint was selected.
	started time.Time
	// done is closed once answer, events and err are set.
	done chan struct{}
	// onSend is called right before the request's first byte is sent.
	onSend func()
	// mu guards isSent, abandoned, overdue and the end of send.
	mu sync.Mutex
	// isSent is set right before the request's first byte is sent.
	isSent bool
	// answer and err are the result of the request. Events has read the answer up to the first event that
	// takes the stream further, the answer's end or an error; it is nil if the answer isn't a stream's.
	answer *sycwire.Response
	events *eventReader
	err    error
	// rejected is set if the endpoint has stated that it hasn't run the request.
	rejected bool
	// resumes is set if the endpoint has sent an event that takes the stream further, or the stream's end.
	resumes bool
	// abandoned is set once the answer isn't needed.
	abandoned bool
	// overdue is set if the attempt is abandoned because its endpoint has sent no event for too long.
	overdue bool
}

// newStandby selects the endpoint of a standby, none of those that have rejected the stream. Arrivals is
// how many of these the request reached. It returns nil if there is no endpoint, or no time for one.
func (x *exchange) newStandby(rejectedBy []string, arrivals int) *standby {
	if time.Until(x.deadline) < minStandbyTime {
		return nil
	}
	own, request := *x, *x.request
	own.attempts += arrivals
	own.request, own.timeout, own.ran, own.answering = &request, nil, true, true
	request.ID = x.relay.fleet.NewID()
	request.Exclude = slices.Concat(x.tried, rejectedBy)
	request.Resumable = own.staysResumable()
	request.Remaining = time.Until(x.deadline)
	request.Objective = x.route.Objective - time.Since(x.arrived)
	own.target, _ = x.relay.fleet.Retry(&request, x.route.Name, true)
	if own.target == nil {
		return nil
	}
	own.attempts++
	own.slot = &slot{}
	ctx, cancel := context.WithDeadline(x.ctx, x.deadline)
	return &standby{
		exchange: &own, ctx: ctx, cancel: cancel, started: time.Now(),
		done: make(chan struct{}),
	}
}

// begin begins to send the request. The stream is to continue after an event. OnSend is called right before
// the request's first byte is sent.
func (s *standby) begin(lastEvent string, onSend func()) {
	x := s.exchange
	x.lastEvent, s.onSend = lastEvent, onSend
	go s.send(lastEvent)
}

// proceed records that the request is sent from now on. It returns false if the standby was abandoned.
func (s *standby) proceed() bool {
	s.mu.Lock()
	s.isSent = s.isSent || !s.abandoned
	isSent := s.isSent
	s.mu.Unlock()
	if isSent {
		s.onSend()
	}
	return isSent
}

// send sends the request and reads the answer up to the first event that takes the stream further.
func (s *standby) send(lastEvent string) {
	defer s.exchange.catchPanic(placeStandby)
	answer, events, resumes, err := s.resume(lastEvent)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer, s.events, s.err, s.resumes = answer, events, err, resumes
	close(s.done)
	if s.abandoned {
		s.discard()
	}
}

// resume sends the request and reads the begin of the answer. A panic becomes a *PanicError.
func (s *standby) resume(lastEvent string) (answer *sycwire.Response, events *eventReader, resumes bool, err error) {
	x := s.exchange
	defer func() {
		if value := recover(); value != nil {
			x.reportPanic(placeStandby, value)
			if answer != nil {
				_ = answer.Close()
			}
			answer, events, resumes, err = nil, nil, false, &PanicError{Value: value}
		}
	}()
	answer, err = x.relay.client.Do(s.ctx, x.outgoing(s.proceed))
	if err != nil {
		return nil, nil, false, err
	}
	disposition := x.disposition(answer)
	if answer.Status != http.StatusOK || disposition != Answered {
		s.rejected = disposition == NotRun || disposition == OtherWeights && !x.contradictsWeights(answer)
		return answer, nil, false, nil
	}
	events = newEventReader(answer)
	failure := events.readAhead(lastEvent)
	// The end of a connection doesn't prove that the stream has ended.
	return answer, events, failure == nil || errors.Is(failure, io.EOF) && !answer.EndsWithConnection, nil
}

// logDecision logs what became of the standby.
func (s *standby) logDecision(decision string) {
	x := s.exchange
	x.relay.log.WithFields(logrus.Fields{
		"id": x.call.ID, "endpoint": x.target.Endpoint.ID, "after_event": x.lastEvent,
		"took": time.Since(s.started).Round(time.Millisecond).String(),
	}).Info("relay: standby " + decision)
}

// hasEnded reports whether the endpoint has resumed the stream or failed.
func (s *standby) hasEnded() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// patience returns how long the endpoint may take to resume the stream while a further one could be asked.
func (s *standby) patience() time.Duration {
	return max(s.exchange.target.FirstByteTimeout(), maxStreamPause)
}

// abandon ends the attempt, whose answer isn't needed, and reports whether the request has been sent. Overdue
// is set if the endpoint has sent no event for too long.
func (s *standby) abandon(overdue bool) (sent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel()
	s.abandoned, s.overdue = true, overdue
	select {
	case <-s.done:
		s.discard()
	default:
		// The goroutine of send discards the answer.
	}
	return s.isSent
}

// discard finishes an attempt whose answer isn't needed. The caller holds mu, and done is closed.
func (s *standby) discard() {
	outcome := sycplace.Cancelled
	if s.overdue {
		outcome = sycplace.Silent
	}
	defer s.exchange.finishAttempt(outcome, s.started)
	if s.answer != nil {
		defer func() { _ = s.answer.Close() }()
		s.exchange.applyNotice(s.answer, s.started)
	}
}

// withdraw finishes an attempt that hasn't begun to send.
func (s *standby) withdraw() {
	s.cancel()
	s.exchange.finishAttempt(sycplace.Cancelled, s.started)
}

// arrived reports whether the request may have reached an endpoint that has rejected it.
func (s *standby) arrived() bool {
	var send *sycwire.SendError
	return !errors.As(s.err, &send) || send.Sent
}

// reject finishes an attempt whose endpoint can't resume the stream.
func (s *standby) reject() {
	defer s.cancel()
	defer s.exchange.releaseSlot()
	if s.answer != nil {
		defer func() { _ = s.answer.Close() }()
	}
	var why result
	switch {
	case s.ctx.Err() != nil:
		// The time was over, or the caller has left, before the endpoint could resume the stream.
		why = result{arrived: s.arrived(), reason: "no_time"}
		s.mu.Lock()
		s.discard()
		s.mu.Unlock()
	case s.err != nil:
		why = s.exchange.handleNoAnswer(s.ctx, s.err, s.started)
	case s.events != nil:
		s.exchange.applyNotice(s.answer, s.started)
		why = s.exchange.abortAttempt(s.answer, s.events.failure(), s.started)
	default:
		why, _ = s.exchange.handleRejection(s.answer, s.started)
	}
	s.exchange.relay.log.WithFields(logrus.Fields{
		"id": s.exchange.call.ID, "endpoint": s.exchange.target.Endpoint.ID, "reason": why.reason, "arrived": why.arrived,
	}).Info("relay: stream not resumed elsewhere, its endpoint keeps it")
}

// adoptStandby makes a standby the present attempt, once the attempt before has ended, and passes on its
// answer.
func (x *exchange) adoptStandby(s *standby) result {
	x.target, x.request, x.slot, x.heard = s.exchange.target, s.exchange.request, s.exchange.slot, s.started
	x.attempts++
	x.tried = append(x.tried, x.target.Endpoint.ID)
	x.timeout = x.newTimeout(s.cancel)
	defer x.timeout.stop()
	<-s.done
	return x.receive(s.ctx, s.answer, s.events, s.err, s.started)
}

// takeStandby returns the standby of the attempt that has ended, nil if there is none. Endpoints that
// have rejected the stream count as tried.
func (x *exchange) takeStandby() *standby {
	if x.timeout == nil {
		return nil
	}
	s, rejectedBy, arrivals, rejections := x.timeout.takeStandby()
	if len(rejectedBy) > 0 {
		// The present attempt's endpoint stays the last one.
		x.tried = slices.Insert(x.tried, max(len(x.tried)-1, 0), rejectedBy...)
	}
	x.attempts += arrivals
	x.uncounted += rejections
	return s
}

// dropStandby ends the standby of the last attempt, which isn't needed.
func (x *exchange) dropStandby() {
	if s := x.takeStandby(); s != nil && s.abandon(false) {
		x.attempts++
	}
}
