package sycrelay

import (
	"context"
	"errors"
	"math"
	"net/http"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
	"sycamorecart.example/sycamorecart/internal/traffic/sycwire"
)

const (
	// minRemaining is the least time to the deadline at which a request is still sent.
	minRemaining = 5 * time.Millisecond
	// maxUncounted limits the attempts that don't count since the endpoint had other weights than expected, and separately
	// those that don't count since their selection no longer held before they were sent.
	maxUncounted = 2
	// maxUnreachable is the number of tried endpoints after which an attempt that didn't
	// reach its endpoint is the call's last.
	maxUnreachable = 12
	// maxRejected limits the attempts that don't count as such since the endpoint has stated that it hasn't run
	// the request, or another one has answered at its address. For a stream that has begun it limits those between two
	// pauses.
	maxRejected = 4
	// notRunRetryAfter is the least time after which a caller may try a request again that no
	// endpoint has run.
	notRunRetryAfter = 100 * time.Millisecond
	// lowestPriority is the number of the least urgent priority.
	lowestPriority = 9
	// reasonNoTime is the reason of an attempt for which no time was left.
	reasonNoTime = "no_time"
)

// result is how an attempt ended.
type result struct {
	// done is set if the caller has got the answer. The other fields are then empty.
	done bool
	// arrived reports whether the request reached the endpoint.
	arrived bool
	// rejected is set if the endpoint has stated that it hasn't run the request, or another one has answered at its address.
	rejected bool
	// sameEndpoint is set if the same endpoint may be tried again. That doesn't count as a
	// further attempt.
	sameEndpoint bool
	// reason says why the attempt failed.
	reason string
}

// attempt sends the request to the target once, and passes on the answer if there is one.
func (x *exchange) attempt(ctx context.Context) result {
	started := time.Now()
	x.heard = started
	if time.Until(x.deadline) < minRemaining {
		x.finishAttempt(sycplace.Cancelled, started)
		return result{reason: reasonNoTime}
	}
	x.attempts++
	x.tried = append(x.tried, x.target.Endpoint.ID)
	ctx, x.timeout = x.startTimeout(ctx)
	defer x.timeout.stop()
	answer, err := x.relay.client.Do(ctx, x.outgoing(nil))
	return x.receive(ctx, answer, nil, err, started)
}

// outgoing returns the request as it is sent to the target. A stream is to continue after its last event.
// Proceed is asked last whether the request may be sent; nil always allows it.
func (x *exchange) outgoing(proceed func() bool) *sycwire.Request {
	target, selected, slot := x.target, x.request, x.slot
	return &sycwire.Request{
		Address: target.Endpoint.Address,
		Method:  x.call.Method,
		Target:  x.call.Target,
		Host:    x.call.Host,
		Header: x.relay.codec.Outgoing(x.call, Forward{
			Endpoint:  target.Endpoint.ID,
			Customer:  x.customer,
			Salt:      sycplace.Salt(x.cacheScope(), target.Weights),
			Weights:   target.Weights,
			FetchFrom: target.FetchFrom,
			Priority:  min(x.priority, lowestPriority),
			Remaining: time.Until(x.deadline),
			LastEvent: x.lastEvent,
		}),
		Body: x.body,
		ID:   x.call.ID,
		Proceed: func(c sycwire.Connection) bool {
			if !x.relay.fleet.Permits(selected, target) || proceed != nil && !proceed() {
				return false
			}
			slot.sent.Store(true)
			x.logSent(c)
			return true
		},
		Identify: x.relay.codec.Identify,
	}
}

// receive passes on the answer to an attempt that started at a time. Events has read the
// begin of the answer, and is nil if nothing has been read of it. Err says why there is no answer.
func (x *exchange) receive(ctx context.Context, answer *sycwire.Response, events *eventReader, err error, started time.Time) result {
	if err != nil {
		return x.handleNoAnswer(ctx, err, started)
	}
	defer func() { _ = answer.Close() }()
	if why, rejected := x.handleRejection(answer, started); rejected {
		return why
	}
	x.heard = time.Now()
	x.timeout.admitHead()
	if x.route.Kind == sycsite.Stream && answer.Status == http.StatusOK {
		if events == nil {
			events = newEventReader(answer)
		}
		return x.relayStream(answer, events, started)
	}
	x.timeout.suspend()
	return x.relayBuffered(answer, started)
}

// disposition returns what an answer says about the request.
func (x *exchange) disposition(answer *sycwire.Response) Disposition {
	return x.relay.codec.Disposition(x.target.Endpoint.ID, answer.Status, answer.Header)
}

// handleRejection learns from an answer, and finishes the attempt if the answer isn't what the caller is to
// get or, for a stream that has begun, its rest.
func (x *exchange) handleRejection(answer *sycwire.Response, started time.Time) (why result, rejected bool) {
	x.applyNotice(answer, started)
	switch x.disposition(answer) {
	case NotRun:
		answer.Discard()
		x.finishAttempt(sycplace.AtCapacity, started)
		return result{arrived: true, rejected: true, reason: "endpoint_full"}, true
	case Moved:
		x.finishAttempt(sycplace.Moved, started)
		x.relay.client.Forget(x.target.Endpoint.Address)
		return result{arrived: true, rejected: true, reason: "endpoint_moved"}, true
	case OtherWeights:
		return x.handleOtherWeights(answer, started), true
	case Unproven:
		return x.handleUnproven(answer, started), true
	}
	x.ran = true
	if x.answering && answer.Status != http.StatusOK {
		x.finishAttempt(sycplace.Failed, started)
		return result{arrived: true, reason: "resume_failed"}, true
	}
	return result{}, false
}

// logSent logs that the request is sent to the target on a connection, with the data by which the target
// was selected.
func (x *exchange) logSent(c sycwire.Connection) {
	t := x.target
	fields := logrus.Fields{
		"id": x.call.ID, "attempt": x.attempts, "route": x.route.Name, "service": x.service, "config": x.config.Version(),
		"endpoint": t.Endpoint.ID, "address": t.Endpoint.Address, "load": t.Load.Requests,
		"expected": t.Expected.Round(time.Millisecond).String(), "left": time.Until(x.deadline).Round(time.Millisecond).String(),
		"waited": time.Since(x.arrived).Round(time.Millisecond).String(), "conn": c.Number, "answers": c.Responses,
	}
	if x.call.Model != "" {
		fields["weights"], fields["waiting"], fields["tokens"] = t.Weights, t.Load.Tokens, x.call.Tokens
		fields["announced"], fields["announced_age"] = t.Announced, t.AnnouncedAge.Round(time.Millisecond).String()
		fields["shared"], fields["held"], fields["fetched"] = t.SharedTokens, t.CachedTokens, t.FetchTokens
	}
	if t.Limit > 0 {
		fields["limit"], fields["limit_left"] = t.Limit, math.Round(t.LimitLeft*100)/100
	}
	if x.lastEvent != "" {
		fields["after_event"] = x.lastEvent
	}
	x.relay.log.WithFields(fields).Info("relay: request sent")
}

// handleOtherWeights records the weights that an endpoint has loaded instead of those asked
// for. The endpoint has not run the request, which may be sent to it again with its weights.
// An answer that names just the weights asked for contradicts itself, and proves nothing.
func (x *exchange) handleOtherWeights(answer *sycwire.Response, started time.Time) result {
	if x.contradictsWeights(answer) {
		return x.handleUnproven(answer, started)
	}
	version := x.relay.codec.Weights(answer.Header)
	answer.Discard()
	x.finishAttempt(sycplace.Cancelled, started)
	e := x.target.Endpoint
	x.relay.log.WithFields(logrus.Fields{
		"id": x.call.ID, "endpoint": e.ID, "expected": x.target.Weights, "has": version,
	}).Info("relay: endpoint has other weights")
	if version > 0 {
		x.relay.fleet.UpdateWeights(e.ID, e.Incarnation, x.call.Model, version)
	}
	return result{arrived: true, rejected: true, sameEndpoint: version > 0, reason: "other_weights"}
}

// contradictsWeights reports whether an answer that states other weights than asked for names just these.
func (x *exchange) contradictsWeights(answer *sycwire.Response) bool {
	version := x.relay.codec.Weights(answer.Header)
	return version > 0 && version == x.target.Weights
}

// handleUnproven finishes an attempt whose answer doesn't prove what its status says to callers. The request
// may have run or still run.
func (x *exchange) handleUnproven(answer *sycwire.Response, started time.Time) result {
	x.ran = true
	answer.Abandon()
	outcome := sycplace.Served
	if answer.Status >= http.StatusInternalServerError || answer.Status < http.StatusMultipleChoices {
		outcome = sycplace.Failed
	}
	x.finishAttempt(outcome, started)
	x.relay.log.WithFields(logrus.Fields{
		"id": x.call.ID, "endpoint": x.target.Endpoint.ID, "status": answer.Status,
	}).Info("relay: answer proves nothing about the request")
	return result{arrived: true, reason: "endpoint_unclear"}
}

// handleNoAnswer finishes an attempt that got no answer.
func (x *exchange) handleNoAnswer(ctx context.Context, err error, started time.Time) result {
	var send *sycwire.SendError
	var panicked *PanicError
	sent := !errors.As(err, &send) || send.Sent
	switch {
	case errors.As(err, &panicked):
		x.ran = true
		x.finishAttempt(sycplace.Cancelled, started)
		return result{arrived: true, reason: reasonPanic}
	case ctx.Err() != nil && x.ctx.Err() != nil:
		x.ran = x.ran || sent
		x.finishAttempt(sycplace.Cancelled, started)
		return result{arrived: sent, reason: "caller_gone"}
	case errors.Is(err, sycwire.ErrWithheld):
		// The endpoint may be selected again, for example with its newer weights.
		x.finishAttempt(sycplace.Cancelled, started)
		return result{sameEndpoint: true, reason: "selection_withdrawn"}
	case !sent && ctx.Err() == nil && errors.Is(err, syscall.ECONNREFUSED):
		x.finishAttempt(sycplace.Refused, started)
		return result{reason: "endpoint_unreachable"}
	case !sent && ctx.Err() == nil:
		x.finishAttempt(sycplace.Unreachable, started)
		return result{reason: "endpoint_unreachable"}
	default:
		x.ran = x.ran || sent
		x.recordBreak(err, false, started)
		x.finishAttempt(x.breakOutcome(err), started)
		return result{arrived: sent, reason: "endpoint_silent"}
	}
}

// finishAttempt reports the outcome of the attempt that started at a time.
func (x *exchange) finishAttempt(o sycplace.Outcome, started time.Time) {
	if x.slot != nil && !x.slot.sent.Load() {
		x.relay.fleet.Withdraw(x.request.ID)
	}
	x.slot = nil
	x.relay.fleet.FinishAttempt(x.request.ID, o, x.route.Name, time.Since(started))
}

// nextAttempt selects the target of another attempt after a failed one. A stream that has begun may wait for that. It returns false if the call may have no further attempt.
func (x *exchange) nextAttempt(ctx context.Context, last result) bool {
	if !x.countAttempt(ctx, last) {
		return false
	}
	if x.rejections >= maxRejected && x.mayReturn() && !x.awaitReturn(ctx) {
		return false
	}
	for !x.selectNext(last.arrived) {
		if !x.awaitReturn(ctx) {
			return false
		}
	}
	return true
}

// countAttempt counts a failed attempt, unless it doesn't count. It returns false if the call may have no further one.
func (x *exchange) countAttempt(ctx context.Context, last result) bool {
	if ctx.Err() != nil || last.reason == reasonNoTime {
		return false
	}
	if x.ran && !x.route.Repeats() {
		return false
	}
	switch {
	case last.sameEndpoint && !last.arrived && x.withdrawn < maxUncounted:
		x.withdrawn++
		x.tried = x.tried[:len(x.tried)-1]
	case last.sameEndpoint && last.arrived && x.uncounted < maxUncounted:
		x.uncounted++
		x.attempts--
		x.tried = x.tried[:len(x.tried)-1]
	case last.rejected && x.rejections < maxRejected:
		x.rejections++
		x.attempts--
	case x.attempts >= x.route.Attempts && last.arrived:
		return false
	}
	if !last.arrived {
		// The request hasn't been sent, so this doesn't count as an attempt.
		x.attempts--
		if len(x.tried) >= maxUnreachable {
			return false
		}
	}
	return true
}

// selectNext selects the target of the next attempt, and reports whether there is one. Arrived is set if the last one
// reached its endpoint.
func (x *exchange) selectNext(arrived bool) bool {
	x.newRequest()
	target, verdict := x.relay.fleet.Retry(x.request, x.route.Name, arrived)
	if x.verdict = verdict; verdict != nil {
		x.logVerdict(verdict)
	}
	if target == nil {
		return false
	}
	x.target, x.slot = target, &slot{}
	return true
}

// giveUp ends a call after its last attempt failed. A call that has got a part of an answer is
// aborted, so that the caller notices that the rest is missing.
func (x *exchange) giveUp(ctx context.Context, last result) {
	if x.ctx.Err() != nil {
		x.abort(x.goneReason(), "", 0)
	}
	if x.answering {
		x.abort(x.breakReason(ctx, last), last.reason, 0)
	}
	if !x.ran {
		x.refund()
		if x.verdict != nil {
			x.refuseSuspect(x.verdict)
			return
		}
		x.refuse(http.StatusServiceUnavailable, last.reason, max(notRunRetryAfter, x.relay.fleet.PauseLeft(x.request)))
		return
	}
	if x.failure != nil {
		x.relayFailure(x.failure)
		return
	}
	if ctx.Err() != nil {
		x.fail(http.StatusGatewayTimeout, "timeout")
		return
	}
	x.fail(http.StatusBadGateway, last.reason)
}
