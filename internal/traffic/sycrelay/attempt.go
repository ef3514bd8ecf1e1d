package sycrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
	"sycamorecart.example/sycamorecart/internal/traffic/sycwire"
)

const (
	// leastLeft is the least time for which a request is sent.
	leastLeft = 5 * time.Millisecond
	// maxCorrections bounds how often an endpoint is tried again with other weights.
	maxCorrections = 2
	// maxUnreachable bounds the endpoints tried without reaching one.
	maxUnreachable = 4
	// refusedReturn is when a request may come back that endpoints have not run.
	refusedReturn = 100 * time.Millisecond
	// leastUrgent is the highest number of a priority.
	leastUrgent = 9
)

// result is how an attempt ended that has not answered the caller.
type result struct {
	done bool
	// arrived reports whether the request reached the endpoint.
	arrived bool
	// sameEndpoint means that the endpoint may be tried again, which counts as no
	// further endpoint.
	sameEndpoint bool
	reason       string
}

// attempt sends the request to the target once.
func (x *exchange) attempt(ctx context.Context) result {
	target := x.target
	started := time.Now()
	left := time.Until(x.until)
	if left < leastLeft {
		x.finished(sycplace.Cancelled, started)
		return result{reason: "no_time"}
	}
	x.attempts++
	x.tried = append(x.tried, target.Endpoint.ID)
	x.logSent(left)
	ctx, watch := x.watch(ctx)
	defer watch.stop()
	answer, err := x.relay.client.Do(ctx, &sycwire.Request{
		Address: target.Endpoint.Address,
		Method:  x.call.Method,
		Target:  x.call.Target,
		Host:    x.call.Host,
		Header: x.relay.codec.Outgoing(x.call, Forward{
			Endpoint:  target.Endpoint.ID,
			Customer:  x.customer,
			Salt:      sycplace.Salt(x.wall(), target.Weights),
			Weights:   target.Weights,
			FetchFrom: target.FetchFrom,
			Priority:  min(x.priority, leastUrgent),
			Remaining: left,
			LastEvent: x.lastEvent,
		}),
		Body: x.body,
		Own:  func(h http.Header) bool { return x.relay.codec.IsAnswerTo(x.call, h) },
	})
	if err != nil {
		return x.unanswered(ctx, err, started)
	}
	defer func() { _ = answer.Close() }()
	switch x.relay.codec.Disposition(target.Endpoint.ID, answer.Status, answer.Header) {
	case NotRun:
		_, _ = io.Copy(io.Discard, answer)
		x.finished(sycplace.AtCapacity, started)
		return result{arrived: true, reason: "endpoint_full"}
	case Moved:
		x.finished(sycplace.Moved, started)
		x.relay.client.Forget(target.Endpoint.Address)
		return result{arrived: true, reason: "endpoint_moved"}
	case OtherWeights:
		return x.otherWeights(answer, started)
	}
	x.ran = true
	watch.heard()
	if x.started && answer.Status != http.StatusOK {
		x.finished(sycplace.Failed, started)
		return result{arrived: true, reason: "resume_failed"}
	}
	if x.route.Kind == sycsite.Stream && answer.Status == http.StatusOK {
		return x.stream(answer, watch, started)
	}
	watch.pause()
	return x.whole(answer, started)
}

// logSent logs what decided the present attempt.
func (x *exchange) logSent(left time.Duration) {
	t := x.target
	fields := logrus.Fields{
		"id": x.call.ID, "attempt": x.attempts, "route": x.route.Name, "service": x.service, "config": x.config.Version(),
		"endpoint": t.Endpoint.ID, "address": t.Endpoint.Address, "load": t.Load.Requests,
		"expected": t.Expected.Round(time.Millisecond).String(), "left": left.Round(time.Millisecond).String(),
	}
	if x.call.Model != "" {
		fields["weights"], fields["waiting"], fields["tokens"] = t.Weights, t.Load.Tokens, x.call.Tokens
		fields["shared"], fields["held"], fields["fetched"] = t.SharedTokens, t.CachedTokens, t.FetchTokens
	}
	if x.lastEvent != "" {
		fields["after_event"] = x.lastEvent
	}
	x.relay.log.WithFields(fields).Info("relay: request sent")
}

// otherWeights has the same endpoint tried again with the weights that it has;
// it has not run the request.
func (x *exchange) otherWeights(answer *sycwire.Answer, started time.Time) result {
	_, _ = io.Copy(io.Discard, answer)
	x.finished(sycplace.Cancelled, started)
	e := x.target.Endpoint
	version := x.relay.codec.Weights(answer.Header)
	x.relay.log.WithFields(logrus.Fields{
		"id": x.call.ID, "endpoint": e.ID, "expected": x.target.Weights, "has": version,
	}).Info("relay: endpoint has other weights")
	if version > 0 {
		x.relay.fleet.UpdateWeights(e.ID, e.Incarnation, x.call.Model, version)
	}
	return result{arrived: true, sameEndpoint: version > 0, reason: "other_weights"}
}

func (x *exchange) unanswered(ctx context.Context, err error, started time.Time) result {
	var send *sycwire.SendError
	sent := !errors.As(err, &send) || send.Sent
	switch {
	case ctx.Err() != nil && x.ctx.Err() != nil:
		x.ran = x.ran || sent
		x.finished(sycplace.Cancelled, started)
		return result{arrived: sent, reason: "caller_gone"}
	case !sent && ctx.Err() == nil:
		x.finished(sycplace.Unreachable, started)
		return result{reason: "endpoint_unreachable"}
	default:
		x.ran = x.ran || sent
		x.finished(sycplace.Failed, started)
		return result{arrived: sent, reason: "endpoint_silent"}
	}
}

func (x *exchange) finished(o sycplace.Outcome, started time.Time) {
	x.relay.fleet.FinishAttempt(x.request.ID, o, x.route.Name, time.Since(started))
}

// next places another attempt if the request may have one.
func (x *exchange) next(ctx context.Context, last result) bool {
	if ctx.Err() != nil || last.reason == "no_time" {
		return false
	}
	if x.ran && !x.route.Repeats() {
		return false
	}
	if last.sameEndpoint && x.corrections < maxCorrections {
		x.corrections++
		x.attempts--
		x.tried = x.tried[:len(x.tried)-1]
	} else if x.attempts >= x.route.Attempts && last.arrived {
		return false
	}
	if !last.arrived {
		// The request has not been sent, so that it counts as no attempt.
		x.attempts--
		if len(x.tried) >= maxUnreachable {
			return false
		}
	}
	x.place()
	target := x.relay.fleet.Retry(x.request, x.route.Name, last.arrived)
	if target == nil {
		return false
	}
	x.target = target
	return true
}

// giveUp answers a request that no endpoint has answered.
func (x *exchange) giveUp(ctx context.Context, last result) {
	if x.ctx.Err() != nil {
		x.finish("caller_gone", 0)
		panic(http.ErrAbortHandler)
	}
	if x.started {
		x.finish("broken_off/"+last.reason, 0)
		panic(http.ErrAbortHandler)
	}
	if !x.ran {
		x.relay.fleet.Refund(x.customer, x.cost)
		x.refuse(http.StatusServiceUnavailable, last.reason, refusedReturn)
		return
	}
	if x.failure != nil {
		x.passOn(x.failure)
		return
	}
	if ctx.Err() != nil {
		x.fail(http.StatusGatewayTimeout, "timeout")
		return
	}
	x.fail(http.StatusBadGateway, last.reason)
}
