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
	relay  *Relay
	call   *Call
	route  string
	target *sycplace.Target
	// request holds the criteria by which the target was selected.
	request *sycplace.Request
	// ctx is the attempt's context, which cancel ends.
	ctx    context.Context
	cancel context.CancelFunc
	// started is when the attempt started.
	started time.Time
	// sent is closed right before the request's first byte is sent, and done once answer or err is
	// set.
	sent, done chan struct{}
	// mu guards abandoned and the end of send.
	mu sync.Mutex
	// answer and err are the result of send, set before done is closed.
	answer *sycwire.Response
	err    error
	// abandoned is set once the answer isn't needed.
	abandoned bool
}

// newStandby selects the endpoint of a standby, none of those that have rejected the stream, and begins
// to send the request there. The stream is to go on after its last event. It returns nil if there is no
// endpoint.
func (x *exchange) newStandby(rejectedBy []string) *standby {
	request := *x.request
	request.ID = x.relay.fleet.NewID()
	request.Exclude = slices.Concat(x.tried, rejectedBy)
	request.Resumable = x.staysResumable()
	request.Remaining = time.Until(x.deadline)
	request.Objective = x.route.Objective - time.Since(x.arrived)
	target, _ := x.relay.fleet.Retry(&request, x.route.Name, true)
	if target == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(x.ctx, x.deadline)
	s := &standby{
		relay: x.relay, call: x.call, route: x.route.Name, target: target, request: &request, ctx: ctx, cancel: cancel,
		started: time.Now(), sent: make(chan struct{}), done: make(chan struct{}),
	}
	x.logSent(target, x.attempts+1)
	outgoing := x.outgoing(target, &request)
	permitted := outgoing.Proceed
	outgoing.Proceed = func() bool {
		defer close(s.sent)
		return permitted()
	}
	go s.send(outgoing)
	return s
}

// send sends the request and waits for the answer's header.
func (s *standby) send(r *sycwire.Request) {
	answer, err := s.relay.client.Do(s.ctx, r)
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
	return s.err == nil && s.answer.Status == http.StatusOK &&
		s.relay.codec.Disposition(s.target.Endpoint.ID, s.answer.Status, s.answer.Header) == Answered
}

// abandon ends the attempt, whose answer isn't needed.
func (s *standby) abandon() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
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
		_ = s.answer.Close()
	}
	s.relay.fleet.FinishAttempt(s.request.ID, sycplace.Cancelled, s.route, time.Since(s.started))
}

// reject finishes an attempt whose endpoint can't resume the stream, and logs why. It reports whether the
// request reached the endpoint.
func (s *standby) reject() (arrived bool) {
	fields := logrus.Fields{"id": s.call.ID, "endpoint": s.target.Endpoint.ID}
	var outcome sycplace.Outcome
	if s.err != nil {
		outcome, arrived = s.failure()
		fields["error"] = s.err.Error()
	} else {
		outcome, arrived = s.rejection(), true
		fields["status"] = s.answer.Status
		_ = s.answer.Close()
	}
	s.cancel()
	s.relay.fleet.FinishAttempt(s.request.ID, outcome, s.route, time.Since(s.started))
	s.relay.log.WithFields(fields).Info("relay: stream not resumed elsewhere, its endpoint keeps it")
	return arrived
}

// failure returns the outcome of an attempt that got no answer, and whether it reached its endpoint.
func (s *standby) failure() (outcome sycplace.Outcome, arrived bool) {
	var send *sycwire.SendError
	switch {
	case errors.Is(s.err, sycwire.ErrWithheld):
		return sycplace.Cancelled, false
	case errors.As(s.err, &send) && !send.Sent:
		return sycplace.Unreachable, false
	}
	return sycplace.Failed, true
}

// rejection returns the outcome of an attempt whose answer isn't the stream.
func (s *standby) rejection() sycplace.Outcome {
	switch s.relay.codec.Disposition(s.target.Endpoint.ID, s.answer.Status, s.answer.Header) {
	case NotRun:
		return sycplace.AtCapacity
	case Moved:
		return sycplace.Moved
	case OtherWeights:
		return sycplace.Cancelled
	}
	return sycplace.Failed
}

// adoptStandby makes a standby the present attempt, once the attempt before has ended, and passes on its
// answer.
func (x *exchange) adoptStandby(s *standby) result {
	x.target, x.request, x.heard = s.target, s.request, s.started
	x.attempts++
	x.tried = append(x.tried, s.target.Endpoint.ID)
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
	x.tried = append(x.tried, rejectedBy...)
	x.attempts += arrivals
	return s
}

// dropStandby ends the standby of the last attempt, which isn't needed.
func (x *exchange) dropStandby() {
	if s := x.takeStandby(); s != nil {
		s.abandon()
	}
}
