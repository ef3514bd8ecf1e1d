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
)

const (
	codeCancelled      = "cancelled"
	codeTimeout        = "timeout"
	codeOutcomeUnknown = "outcome_unknown"
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
	subpath  string
	identity sycauth.Identity
	body     []byte
	// held is the number of bytes taken from the budget of bodies.
	reservedBytes int64
	deadline      time.Time
	// begun is set once the status line of the answer may have left.
	responseStarted bool
	// events is set when the answer is an event stream of the gateway's own.
	eventStream bool
	// counted is set once the request shows in the budgets for retries.
	retryCounted bool
}

// run takes the request through its steps.
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

func notReady() *sycapi.Failure {
	return &sycapi.Failure{
		Status:     http.StatusServiceUnavailable,
		Code:       string(sycwork.NotReady),
		Message:    "this VM is not ready",
		Outcome:    sycapi.NotRun,
		RetryAfter: time.Second,
	}
}

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
func (x *exchange) recheckKey() error {
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
		return x.refusalFailure(ctx, err, true)
	}
	return nil
}

// plan returns the decisions about the request's attempts.
func (x *exchange) newPlan(kind sycattempt.Kind) *sycattempt.Plan {
	deadline := x.deadline.Sub(x.g.start)
	return sycattempt.New(kind, rand.Uint64(), deadline, x.g.limits.Attempts)
}

// choose picks an endpoint. Endpoints that failed are tried again only when
// there is no other.
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
