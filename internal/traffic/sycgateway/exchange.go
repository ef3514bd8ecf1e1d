package sycgateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/trace"
	"sycamorecart.example/sycamorecart/internal/decide/sycattempt"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
	"sycamorecart.example/sycamorecart/internal/traffic/sycauth"
)

const (
	codeCancelled = "cancelled"
	codeTimeout   = "timeout"
	codeUnknown   = "outcome_unknown"
)

// exchange is one caller's request and its answer.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	id      string
	arrival time.Time
	config  *sycconfig.State
	span    trace.Span

	route sycrecord.Route
	// rest is the path below the route's prefix; it starts with a slash.
	rest     string
	identity sycauth.Identity
	body     []byte
	// held is the number of bytes taken from the budget of bodies.
	held     int64
	deadline time.Time
	// begun is set once the status line of the answer may have left.
	begun bool
	// events is set when the answer is an event stream of the gateway's own.
	events bool
	// counted is set once the request shows in the budgets for retries.
	counted bool
}

// run takes the request through its steps.
func (x *exchange) run(ctx context.Context) error {
	if x.g.options.Ready != nil && !x.g.options.Ready() {
		return notReady()
	}
	if err := x.match(); err != nil {
		return err
	}
	if err := x.authenticate(); err != nil {
		return err
	}
	if err := x.readBody(); err != nil {
		return err
	}
	x.deadline = x.arrival.Add(x.timeout())
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	if x.route.Type() == sycrecord.RouteModel {
		return x.serveModel(ctx)
	}
	return x.serveService(ctx)
}

func notReady() *sycapi.Failure {
	return &sycapi.Failure{
		Status:     http.StatusServiceUnavailable,
		Code:       string(sycwork.NotReady),
		Message:    "this VM is not ready",
		Outcome:    sycapi.NotRun,
		RetryAfter: time.Second,
	}
}

func (x *exchange) match() error {
	path := x.r.URL.Path
	object, ok := x.config.Route(path)
	if !ok {
		return sycapi.Invalid(http.StatusNotFound, "route_not_found", "no route serves this path")
	}
	x.route = object.Value()
	x.rest = strings.TrimPrefix(path, strings.TrimSuffix(x.route.Prefix(), "/"))
	if x.rest == "" {
		x.rest = "/"
	}
	if x.rest[0] != '/' {
		return sycapi.Invalid(http.StatusNotFound, "route_not_found", "no route serves this path")
	}
	return nil
}

// authenticate finds the caller's customer. Open routes run for no customer,
// whatever key comes along.
func (x *exchange) authenticate() error {
	identity, err := sycauth.Identify(x.r.Header, x.config.Owner)
	if err == nil {
		x.identity = identity
		return nil
	}
	var fault *sycauth.Error
	if !errors.As(err, &fault) {
		return err
	}
	if fault.Reason == sycauth.TwoKeys {
		return sycapi.Invalid(http.StatusBadRequest, string(fault.Reason), "%s", fault.Error())
	}
	if x.route.Open() {
		return nil
	}
	return sycapi.Invalid(http.StatusUnauthorized, string(fault.Reason), "%s", fault.Error())
}

// customer is empty on open routes.
func (x *exchange) customer() string {
	if x.route.Open() {
		return ""
	}
	return x.identity.Customer()
}

// stillAllowed checks the key again, against the configuration now in force.
func (x *exchange) stillAllowed() error {
	if x.route.Open() {
		return nil
	}
	if x.identity.Valid(x.g.options.Config().Owner) {
		return nil
	}
	return sycapi.Invalid(http.StatusUnauthorized, string(sycauth.UnknownKey), "the key was withdrawn")
}

func (x *exchange) timeout() time.Duration {
	if d := x.route.Timeout(); d > 0 {
		return d
	}
	if x.route.Type() == sycrecord.RouteModel {
		return x.g.limits.ModelTimeout
	}
	return x.g.limits.ServiceTimeout
}

// admit takes the request's token from its customer's rate.
func (x *exchange) admit(ctx context.Context) error {
	customer := x.customer()
	if customer == "" {
		return nil
	}
	if err := x.g.options.Limiter.Admit(ctx, customer); err != nil {
		return x.refusal(ctx, err, true)
	}
	return nil
}

// readBody reads the body within the bounds of one request and of all.
func (x *exchange) readBody() error {
	limit := x.g.limits.Body
	if x.r.ContentLength > limit {
		return x.tooLarge()
	}
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(x.g.limits.BodyRead))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := x.readBounded(limit)
	if err != nil {
		return err
	}
	x.body = body
	return nil
}

const readStep = 32 << 10

func (x *exchange) readBounded(limit int64) ([]byte, error) {
	size := x.r.ContentLength
	if size == 0 {
		return nil, nil
	}
	step := size
	if step < 0 {
		step = min(readStep, limit+1)
	}
	var body []byte
	for {
		if int64(len(body)) > limit {
			return nil, x.tooLarge()
		}
		if !x.g.bodies.TryAcquire(step) {
			return nil, &sycapi.Failure{
				Status:     http.StatusServiceUnavailable,
				Code:       string(sycwork.Overloaded),
				Message:    "too many request bodies are held at the moment",
				Outcome:    sycapi.NotRun,
				RetryAfter: time.Second,
			}
		}
		x.held += step
		part := make([]byte, step)
		n, err := io.ReadFull(x.r.Body, part)
		if body == nil {
			body = part[:n]
		} else {
			body = append(body, part[:n]...)
		}
		if size >= 0 && err == nil {
			return body, nil
		}
		if errors.Is(err, io.EOF) || (size < 0 && errors.Is(err, io.ErrUnexpectedEOF) && x.bodyEnded()) {
			return body, nil
		}
		if err != nil {
			return nil, sycapi.Invalid(http.StatusBadRequest, "incomplete_body", "the body broke off")
		}
	}
}

// bodyEnded tells the end of a body in chunks from a connection that broke off.
func (x *exchange) bodyEnded() bool {
	_, err := x.r.Body.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

func (x *exchange) tooLarge() *sycapi.Failure {
	x.w.Header().Set("Connection", "close")
	return sycapi.Invalid(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than %d bytes", x.g.limits.Body)
}

// release gives back what the exchange holds.
func (x *exchange) release() {
	if x.held > 0 {
		x.g.bodies.Release(x.held)
	}
}

// plan returns the decisions about the request's attempts.
func (x *exchange) plan(kind sycattempt.Kind) *sycattempt.Plan {
	deadline := x.deadline.Sub(x.g.start)
	return sycattempt.New(kind, rand.Uint64(), deadline, x.g.limits.Attempts)
}

// choose picks an endpoint. Endpoints that failed are tried again only when
// there is no other.
func (x *exchange) choose(ctx context.Context, work sycwork.Work) (sycwork.Grant, error) {
	chooser := x.g.options.Chooser
	grant, err := chooser.Choose(ctx, work)
	var refused *sycwork.Refusal
	if errors.As(err, &refused) && refused.Reason == sycwork.NoEndpoint && len(work.Exclude) > 0 {
		work.Exclude = nil
		grant, err = chooser.Choose(ctx, work)
	}
	if err != nil {
		return nil, err
	}
	x.countRequest(grant.Target().Endpoint)
	return grant, nil
}

// countRequest counts the request in the budgets for retries.
func (x *exchange) countRequest(endpoint string) {
	if x.counted {
		return
	}
	x.counted = true
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.customers.Get(now, x.customer()).Request(now)
	g.endpoints.Get(now, endpoint).Request(now)
}

// spend takes a retry from the budgets of the customer and of the endpoint
// that failed.
func (x *exchange) spend(endpoint string) bool {
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	customer := g.customers.Get(now, x.customer())
	target := g.endpoints.Get(now, endpoint)
	if !customer.Allows(now) || !target.Allows(now) {
		deniedRetriesTotal.Inc()
		return false
	}
	customer.Spend(now)
	target.Spend(now)
	retriesTotal.Inc()
	return true
}

// refusal turns an error of the limiter or the chooser into a failure.
func (x *exchange) refusal(ctx context.Context, err error, notRun bool) *sycapi.Failure {
	outcome := sycapi.Unknown
	if notRun {
		outcome = sycapi.NotRun
	}
	var refused *sycwork.Refusal
	if errors.As(err, &refused) {
		return &sycapi.Failure{
			Status:     refusalStatus(refused.Reason),
			Code:       string(refused.Reason),
			Message:    refused.Message,
			Outcome:    outcome,
			RetryAfter: refused.RetryAfter,
		}
	}
	return x.ended(ctx, outcome)
}

func refusalStatus(r sycwork.Reason) int {
	switch r {
	case sycwork.OverRate:
		return http.StatusTooManyRequests
	case sycwork.UnknownName:
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// ended describes a request whose context is done.
func (x *exchange) ended(ctx context.Context, outcome sycapi.Outcome) *sycapi.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &sycapi.Failure{
			Status:  http.StatusGatewayTimeout,
			Code:    codeTimeout,
			Message: "the request did not end within its route's timeout",
			Outcome: outcome,
		}
	}
	return &sycapi.Failure{
		Status:  statusClientClosed,
		Code:    codeCancelled,
		Message: "the caller went away",
		Outcome: outcome,
	}
}

// statusClientClosed never reaches anybody; it marks cancelled requests.
const statusClientClosed = 499
