package sycgateway

import (
	"context"
	"errors"
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
	"sycamorecart.example/sycamorecart/internal/traffic/sycbudget"
)

// Failure codes of the gateway itself, as they appear in responses and metrics.
const (
	// codeCancelled means that the client closed the connection. It appears only in
	// metrics and traces.
	codeCancelled = "cancelled"
	// codeTimeout means that the request's deadline passed.
	codeTimeout = "timeout"
	// codeOutcomeUnknown means that a service may have run the request but no
	// complete response arrived.
	codeOutcomeUnknown = "outcome_unknown"
)

// exchange is one client's HTTP request with its response.
type exchange struct {
	// g is the gateway that serves the request.
	g *Gateway
	// w writes the response to the client.
	w http.ResponseWriter
	// r is the client's request.
	r *http.Request
	// id is the request's ID in the X-Request-Id header, error bodies and traces.
	id string
	// arrival is when the gateway received the request's headers. The deadline
	// counts from it.
	arrival time.Time
	// config is the configuration in force at the arrival.
	config *sycconfig.State
	// span is the trace span of the whole request.
	span trace.Span

	// route is the route that matches the path.
	route sycrecord.Route
	// subpath is the unescaped path below the route's prefix. It starts with a
	// slash.
	subpath string
	// identity is the customer and the key of the request. It is empty if a public
	// route got no valid key.
	identity sycauth.Identity
	// body is the request's body. It is nil after a model request was parsed.
	body []byte
	// transfer holds the memory of the body, nil if there is none.
	transfer *sycbudget.Transfer
	// deadline is the arrival plus the route's timeout.
	deadline time.Time
	// responseStarted is set once the response's status line may have been sent. A
	// failure can then be shown only by breaking the connection.
	responseStarted bool
	// eventStream is set if the response is an event stream, so that a failure can
	// be sent as an error event.
	eventStream bool
	// retryCounted is set once countRequest has counted the request in the retry
	// budgets.
	retryCounted bool
}

// run processes the request: it finds the route, authenticates the client, reads
// the body and serves the model or plain service.
func (x *exchange) run(ctx context.Context) error {
	if x.g.options.Ready != nil && !x.g.options.Ready() {
		return notReady()
	}
	if err := x.matchRoute(); err != nil {
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

// notReady returns the failure of requests that arrive while Options.Ready reports
// false.
func notReady() *sycapi.Failure {
	return &sycapi.Failure{
		Status:     http.StatusServiceUnavailable,
		Code:       string(sycwork.NotReady),
		Message:    "this VM is not ready",
		Outcome:    sycapi.NotRun,
		RetryAfter: defaultRetryAfter,
	}
}

// matchRoute sets the route and the subpath from the request's path.
func (x *exchange) matchRoute() error {
	path := x.r.URL.Path
	object, ok := x.config.Route(path)
	if !ok {
		return sycapi.Invalid(http.StatusNotFound, "route_not_found", "no route serves this path")
	}
	x.route = object.Value()
	x.subpath = strings.TrimPrefix(path, strings.TrimSuffix(x.route.Prefix(), "/"))
	if x.subpath == "" {
		x.subpath = "/"
	}
	if x.subpath[0] != '/' {
		return sycapi.Invalid(http.StatusNotFound, "route_not_found", "no route serves this path")
	}
	return nil
}

// authenticate identifies the customer by the request's key. On a public route a
// missing or invalid key is accepted, but two different keys are rejected on every
// route.
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

// customer returns the name of the request's customer. It is empty on public
// routes, even if the request has a valid key.
func (x *exchange) customer() string {
	if x.route.Open() {
		return ""
	}
	return x.identity.Customer()
}

// recheckKey checks before an attempt that the newest configuration still accepts
// the key, because the key may have been withdrawn since the request arrived.
func (x *exchange) recheckKey() error {
	if x.route.Open() {
		return nil
	}
	if x.identity.Valid(x.g.options.Config().Owner) {
		return nil
	}
	return sycapi.Invalid(http.StatusUnauthorized, string(sycauth.UnknownKey), "the key was withdrawn")
}

// timeout returns the route's timeout or, if the route sets none, the default for
// its type.
func (x *exchange) timeout() time.Duration {
	if d := x.route.Timeout(); d > 0 {
		return d
	}
	if x.route.Type() == sycrecord.RouteModel {
		return x.g.limits.ModelTimeout
	}
	return x.g.limits.ServiceTimeout
}

// admit takes the request's permit from the customer's rate limiter. Requests on
// public routes need none.
func (x *exchange) admit(ctx context.Context) error {
	customer := x.customer()
	if customer == "" {
		return nil
	}
	if err := x.g.options.Limiter.Admit(ctx, customer); err != nil {
		return x.refusalFailure(ctx, err, true)
	}
	return nil
}

// newPlan returns the request's plan, which decides after each failed attempt
// whether and how the request is tried again.
func (x *exchange) newPlan(kind sycattempt.Kind) *sycattempt.Plan {
	deadline := x.deadline.Sub(x.g.start)
	return sycattempt.New(kind, rand.Uint64(), deadline, x.g.limits.Attempts)
}

// selectEndpoint selects the endpoint of the next attempt. If only endpoints that
// failed before are left, it selects one of them.
func (x *exchange) selectEndpoint(ctx context.Context, work sycwork.Work) (sycwork.Grant, error) {
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
