package sycrelay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/traffic/sycwire"
)

// rejectionTime is how long an endpoint has to reject a request that is to resume a stream at it. An
// endpoint that hasn't rejected the request by then has accepted it, and the endpoint before it must
// stop soon: two of them must not run the request for long.
const rejectionTime = 250 * time.Millisecond

// standby is an attempt to resume a stream at another endpoint while its present endpoint is silent. The
// present attempt ends only once the other endpoint has accepted the request, since it may be the only
// one that can complete the stream.
type standby struct {
	// exchange is a copy of the call's, with the standby as the present attempt. Only the standby
	// uses it.
	exchange *exchange
	// ctx is the attempt's context, which cancel ends.
	ctx    context.Context
	cancel context.CancelFunc
	// started is when the endpoint was selected.
	started time.Time
	// sent is closed right before the request's first byte is sent, done once answer or err is set, and
	// settled once it is decided whether the present attempt ends.
	sent, done, settled chan struct{}
	// mu guards isSent, abandoned and the end of send.
	mu sync.Mutex
	// isSent is set with sent.
	isSent bool
	// answer and err are the result of send, set before done is closed.
	answer *sycwire.Response
	err    error
	// abandoned is set once the answer isn't needed.
	abandoned bool
}

// newStandby selects the endpoint of a standby, none of those that have rejected the stream. Arrivals is
// how many of these the request reached. It returns nil if there is no endpoint, or no time for one.
func (x *exchange) newStandby(rejectedBy []string, arrivals int) *standby {
	if time.Until(x.deadline) < rejectionTime {
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
	ctx, cancel := context.WithDeadline(x.ctx, x.deadline)
	return &standby{
		exchange: &own, ctx: ctx, cancel: cancel, started: time.Now(),
		sent: make(chan struct{}), done: make(chan struct{}), settled: make(chan struct{}),
	}
}

// begin begins to send the request. The stream is to continue after an event.
func (s *standby) begin(lastEvent string) {
	x := s.exchange
	x.lastEvent = lastEvent
	go s.send(x.outgoing(s.proceed))
}

// proceed records that the request is sent from now on. It returns false if the standby was abandoned.
func (s *standby) proceed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.abandoned {
		return false
	}
	s.isSent = true
	close(s.sent)
	return true
}

// abandonUnsent abandons the standby if nothing has been sent, and reports whether it has.
func (s *standby) abandonUnsent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isSent {
		s.abandonLocked()
	}
	return s.abandoned
}

// send sends the request and waits for the answer's header.
func (s *standby) send(r *sycwire.Request) {
	answer, err := s.exchange.relay.client.Do(s.ctx, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer, s.err = answer, err
	close(s.done)
	if s.abandoned {
		s.discard()
	}
}

// accepted waits until the endpoint has rejected the request or the time for that is over, and reports
// whether the stream may be left to it.
func (s *standby) accepted() bool {
	select {
	case <-s.sent:
	case <-s.done:
	}
	select {
	case <-s.done:
	case <-time.After(rejectionTime):
		return true
	}
	return s.err == nil && s.answer.Status == http.StatusOK && s.exchange.disposition(s.answer) == Answered
}

// logDecision logs what became of the standby, and whether its answer has begun.
func (s *standby) logDecision(decision string) {
	begun := false
	select {
	case <-s.done:
		begun = true
	default:
	}
	x := s.exchange
	x.relay.log.WithFields(logrus.Fields{
		"id": x.call.ID, "endpoint": x.target.Endpoint.ID, "after_event": x.lastEvent, "begun": begun,
		"took": time.Since(s.started).Round(time.Millisecond).String(),
	}).Info("relay: standby " + decision)
}

// abandon ends the attempt, whose answer isn't needed.
func (s *standby) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandonLocked()
}

// abandonLocked is abandon for a caller that holds mu.
func (s *standby) abandonLocked() {
	s.cancel()
	s.abandoned = true
	select {
	case <-s.done:
		s.discard()
	default:
		// The goroutine of send discards the answer.
	}
}

// discard finishes an attempt whose answer isn't needed. The caller holds mu, and done is closed.
func (s *standby) discard() {
	if s.answer != nil {
		s.exchange.applyNotice(s.answer)
		_ = s.answer.Close()
	}
	s.exchange.finishAttempt(sycplace.Cancelled, s.started)
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
	var why result
	if s.err != nil {
		why = s.exchange.handleNoAnswer(s.ctx, s.err, s.started)
	} else {
		why, _ = s.exchange.handleRejection(s.answer, s.started)
		_ = s.answer.Close()
	}
	s.cancel()
	s.exchange.relay.log.WithFields(logrus.Fields{
		"id": s.exchange.call.ID, "endpoint": s.exchange.target.Endpoint.ID, "reason": why.reason, "arrived": why.arrived,
	}).Info("relay: stream not resumed elsewhere, its endpoint keeps it")
}

// adoptStandby makes a standby the present attempt, once the attempt before has ended, and passes on its
// answer.
func (x *exchange) adoptStandby(s *standby) result {
	x.target, x.request, x.heard = s.exchange.target, s.exchange.request, s.started
	x.attempts++
	x.tried = append(x.tried, x.target.Endpoint.ID)
	x.timeout = x.newTimeout(s.cancel)
	defer x.timeout.stop()
	<-s.done
	return x.receive(s.ctx, s.answer, s.err, s.started)
}

// takeStandby returns the standby of the attempt that has ended, nil if there is none. Endpoints that
// have rejected the stream count as tried.
func (x *exchange) takeStandby() *standby {
	if x.timeout == nil {
		return nil
	}
	s, rejectedBy, arrivals := x.timeout.takeStandby()
	if len(rejectedBy) > 0 {
		// The present attempt's endpoint stays the last one.
		x.tried = slices.Insert(x.tried, len(x.tried)-1, rejectedBy...)
	}
	x.attempts += arrivals
	return s
}

// dropStandby ends the standby of the last attempt, which isn't needed.
func (x *exchange) dropStandby() {
	if s := x.takeStandby(); s != nil {
		s.abandon()
	}
}
