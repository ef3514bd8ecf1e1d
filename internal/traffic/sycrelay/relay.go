package sycrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
	"sycamorecart.example/sycamorecart/internal/peer/sycfleet"
	"sycamorecart.example/sycamorecart/internal/traffic/sycwire"
)

const (
	// unknownRetry is when a caller may come back to a VM that knows no
	// configuration yet.
	unknownRetry = 300 * time.Millisecond
	// leastLeft is the least time for which a request is sent.
	leastLeft = 5 * time.Millisecond
	// defaultTimeout bounds requests whose route and caller name no time.
	defaultTimeout = time.Minute
)

// Options configures a Relay.
type Options struct {
	Fleet  Fleet
	Codec  Codec
	Client *sycwire.Client
}

// Relay serves callers.
type Relay struct {
	fleet    Fleet
	codec    Codec
	client   *sycwire.Client
	log      *logrus.Entry
	draining atomic.Bool
}

// New returns a relay.
func New(o Options) *Relay {
	return &Relay{fleet: o.Fleet, codec: o.Codec, client: o.Client, log: logrus.WithField("part", "relay")}
}

// Drain tells callers from now on to open their next connection elsewhere.
func (r *Relay) Drain() { r.draining.Store(true) }

// exchange is one caller's request under way.
type exchange struct {
	relay    *Relay
	writer   http.ResponseWriter
	call     *Call
	config   *sycsite.Config
	route    *sycsite.Route
	service  string
	customer string
	isolated bool
	priority int
	cost     float64
	body     []byte
	arrived  time.Time
	// until is when the request must have been answered.
	until time.Time
	ctx   context.Context
	// request is the placement of the present attempt.
	request *sycplace.Request
	// attempts counts the endpoints that the request was sent to.
	attempts int
	tried    []string
	// corrections counts the tries after a wrong belief about weights.
	corrections int
	// ran is true once an endpoint may have run the request.
	ran bool
	// started is true once bytes of an answer have gone to the caller.
	started bool
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
	events    int
	firstByte time.Duration
	target    *sycplace.Target
	// note holds what decided a refusal.
	note logrus.Fields
}

// ServeHTTP answers a caller's request.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	x := &exchange{relay: r, writer: w, arrived: time.Now(), ctx: req.Context()}
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	call, err := r.codec.Parse(req)
	if err != nil {
		x.call = &Call{}
		x.fail(http.StatusBadRequest, err.Error())
		return
	}
	x.call = call
	if !x.admit() {
		return
	}
	if !x.readBody(req) {
		return
	}
	x.run()
}

// admit finds the request's route and customer, or answers why it has none.
func (x *exchange) admit() bool {
	x.config = x.relay.fleet.Config()
	if x.config == nil {
		x.refuse(http.StatusServiceUnavailable, "no_configuration", unknownRetry)
		return false
	}
	x.route = x.config.Match(x.call.Host, x.call.Path)
	if x.route == nil {
		x.fail(http.StatusNotFound, "no_route")
		return false
	}
	x.priority = x.route.Priority
	if !x.authorize() {
		return false
	}
	x.service = x.route.Pick(float64(xxhash.Sum64String(x.call.ID)>>11) / (1 << 53))
	x.lastEvent = x.call.LastEvent
	left := defaultTimeout
	if x.call.Patience > 0 {
		left = x.call.Patience
	}
	if x.route.Timeout > 0 {
		left = min(left, x.route.Timeout)
	}
	x.until = x.arrived.Add(left)
	return true
}

func (x *exchange) authorize() bool {
	if x.route.Open || !x.config.Keyed() {
		return true
	}
	customer := x.config.Holder(x.call.Key)
	if customer == nil {
		x.fail(http.StatusUnauthorized, "unknown_key")
		return false
	}
	x.customer, x.isolated = customer.Name, customer.Isolated
	if customer.HasPriority {
		x.priority = customer.Priority
	}
	x.cost = 1
	if customer.ByTokens {
		x.cost = float64(customer.DefaultTokens)
		if x.call.Sized {
			x.cost = float64(x.call.Tokens + x.call.OutputTokens)
		}
	}
	return true
}

func (x *exchange) readBody(req *http.Request) bool {
	limit := int64(x.config.Limits().BodyBytes)
	if limit <= 0 {
		limit = 4 << 20
	}
	if req.ContentLength > limit {
		x.fail(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.writer, req.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		x.fail(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	if err != nil {
		x.finish("caller_gone", 0)
		panic(http.ErrAbortHandler)
	}
	x.body = body
	return true
}

// run sends the request to endpoints until one has answered or none may.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadline(x.ctx, x.until)
	defer cancel()
	x.place()
	verdict := x.relay.fleet.Admit(sycfleet.Admission{
		Customer: x.customer,
		Cost:     x.cost,
		Route:    x.route.Name,
		Request:  x.request,
	})
	switch {
	case verdict.LimitedFor > 0:
		x.note = logrus.Fields{
			"cost": x.cost, "rate": verdict.Limit.Rate, "burst": verdict.Limit.Burst, "level": int(verdict.Level),
			"retry_after": verdict.LimitedFor.String(),
		}
		x.refuse(http.StatusTooManyRequests, "limit", verdict.LimitedFor)
		return
	case verdict.Refusal != nil:
		x.note = logrus.Fields{"endpoints": verdict.Refusal.Endpoints, "retry_after": verdict.Refusal.After.String()}
		x.refuse(http.StatusServiceUnavailable, string(verdict.Refusal.Reason), verdict.Refusal.After)
		return
	}
	x.target = verdict.Target
	for {
		result := x.attempt(ctx)
		if result.done {
			return
		}
		x.relay.log.WithFields(logrus.Fields{
			"id": x.call.ID, "endpoint": x.target.Endpoint.ID, "reason": result.reason, "arrived": result.arrived,
			"events": x.events, "attempt": x.attempts,
		}).Warn("relay: attempt failed")
		if !x.next(ctx, result) {
			x.giveUp(ctx, result)
			return
		}
	}
}

// place prepares the next attempt's placement.
func (x *exchange) place() {
	x.request = &sycplace.Request{
		ID:        x.relay.fleet.NewID(),
		Service:   x.service,
		Model:     x.call.Model,
		Parts:     x.parts(),
		Tokens:    x.call.Tokens,
		Exclude:   x.tried,
		Left:      time.Until(x.until),
		Resumable: x.route.Repeats(),
		Objective: x.route.Objective - time.Since(x.arrived),
	}
}

// parts returns the prompt's parts, hashed so that parts match only under the
// same salt and after the same parts.
func (x *exchange) parts() []sycplace.Part {
	if len(x.call.Pieces) == 0 {
		return nil
	}
	out := make([]sycplace.Part, 0, len(x.call.Pieces))
	digest := xxhash.New()
	_, _ = digest.WriteString(x.salt())
	for _, p := range x.call.Pieces {
		_, _ = digest.WriteString("/" + p.Name)
		out = append(out, sycplace.Part{Hash: digest.Sum64(), Tokens: p.Tokens})
	}
	return out
}

// salt names who may share the request's cached parts.
func (x *exchange) salt() string {
	wall := "shared"
	if x.isolated {
		wall = "only/" + x.customer
	}
	return strconv.FormatUint(xxhash.Sum64String(wall+"/"+x.call.Model), 16)
}

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
			Salt:      x.salt() + "." + strconv.FormatInt(target.Weights, 10),
			Weights:   target.Weights,
			Fetch:     target.Fetch,
			Priority:  min(x.priority, 9),
			Left:      left,
			LastEvent: x.lastEvent,
		}),
		Body: x.body,
		Own:  func(h http.Header) bool { return x.relay.codec.Own(x.call, h) },
	})
	if err != nil {
		return x.unanswered(ctx, err, started)
	}
	defer func() { _ = answer.Close() }()
	switch x.relay.codec.Disposition(target.Endpoint.ID, answer.Status, answer.Header) {
	case NotRun:
		_, _ = io.Copy(io.Discard, answer)
		x.finished(sycplace.WasFull, started)
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
	return x.whole(ctx, answer, started)
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
		fields["shared"], fields["held"], fields["fetched"] = t.Shared, t.Held, t.Fetched
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
		x.relay.fleet.Learned(e.ID, e.Born, x.call.Model, version)
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
	x.relay.fleet.Finished(x.request.ID, o, x.route.Name, time.Since(started))
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
	target := x.relay.fleet.Again(x.request, last.arrived)
	if target == nil {
		return false
	}
	x.target = target
	return true
}

// maxCorrections bounds how often an endpoint is tried again with other weights.
const maxCorrections = 2

// maxUnreachable bounds the endpoints tried without reaching one.
const maxUnreachable = 4

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
		x.refuse(http.StatusServiceUnavailable, last.reason, 100*time.Millisecond)
		return
	}
	if ctx.Err() != nil {
		x.fail(http.StatusGatewayTimeout, "timeout")
		return
	}
	x.fail(http.StatusBadGateway, last.reason)
}
