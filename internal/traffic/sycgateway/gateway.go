// Package sycgateway serves callers: it authenticates requests, admits them,
// sends them to endpoints and returns whole answers or says plainly why not.
package sycgateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/uptrace/bunrouter"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/semaphore"
	"gopkg.in/tomb.v2"
	"sycamorecart.example/sycamorecart/internal/decide/sycattempt"
	"sycamorecart.example/sycamorecart/internal/decide/sycclaim"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/ground/sycdial"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
	"sycamorecart.example/sycamorecart/internal/traffic/sycproxy"
	"sycamorecart.example/sycamorecart/internal/traffic/sycstream"
)

// Claims lets a call run at most once over all VMs. Claim waits until it is
// decided who runs the call. It returns a ticket to the one that runs it, the
// first answer to a repeat, or *sycclaim.Error.
type Claims interface {
	Claim(ctx context.Context, c sycclaim.Call) (sycclaim.Ticket, *sycclaim.Answer, error)
}

// Options are the parts that a gateway works with.
type Options struct {
	// Config returns the state in force; it is asked for each request.
	Config func() *sycconfig.State
	// Ready reports whether the VM may take requests; nil means always.
	Ready   func() bool
	Chooser sycwork.Chooser
	Limiter sycwork.Limiter
	// Claims may be nil; calls that need it are then refused.
	Claims Claims
	// VM is this VM's id, as it shows in traces.
	VM string
	// Dial opens connections to endpoints; nil dials from any address.
	Dial   sycdial.Func
	Limits Limits
}

// Gateway is the handler for callers.
type Gateway struct {
	options Options
	limits  Limits
	router  http.Handler
	client  *sycproxy.Client
	engines *sycstream.Engines
	// bodies bounds the bytes of request bodies held together.
	bodyBytes *semaphore.Weighted
	start     time.Time
	tracer    trace.Tracer

	tomb        tomb.Tomb
	cancelQueue chan sycstream.Call

	// mu guards the budgets.
	mu              sync.Mutex
	customerRetries *sycattempt.Budgets
	endpointRetries *sycattempt.Budgets
}

var supportedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// New returns a gateway.
func New(o Options) *Gateway {
	settings := sycproxy.Defaults()
	settings.Connect = o.Limits.Connect
	settings.Dial = o.Dial
	client := sycproxy.NewClient(settings)
	g := &Gateway{
		options:         o,
		limits:          o.Limits,
		client:          client,
		engines:         sycstream.NewEngines(client, sycstream.Timeouts{First: o.Limits.FirstToken, Between: o.Limits.BetweenTokens}),
		bodyBytes:       semaphore.NewWeighted(o.Limits.Bodies),
		start:           time.Now(),
		tracer:          otel.Tracer("sycamorecart"),
		customerRetries: sycattempt.NewBudgets(o.Limits.Retries),
		endpointRetries: sycattempt.NewBudgets(o.Limits.Retries),
		cancelQueue:     make(chan sycstream.Call, cancelQueueLen),
	}
	for range cancelWorkers {
		g.tomb.Go(func() error {
			for {
				select {
				case <-g.tomb.Dying():
					return nil
				case call := <-g.cancelQueue:
					g.sendCancel(call)
				}
			}
		})
	}
	router := bunrouter.New()
	for _, method := range supportedMethods {
		router.Handle(method, "/*path", g.serve)
	}
	g.router = router
	return g
}

// Close stops the gateway's goroutines and closes its idle connections. The
// server is shut down before.
func (g *Gateway) Close() error {
	g.tomb.Kill(nil)
	err := g.tomb.Wait()
	g.client.Close()
	return err
}

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f := g.validateRequest(r); f != nil {
		id := uuid.NewString()
		w.Header().Set(sycapi.HeaderRequestID, id)
		// What follows a malformed request on its connection can't be trusted.
		w.Header().Set("Connection", "close")
		f.Write(w, id)
		requestsTotal("none", f.Code).Inc()
		return
	}
	g.router.ServeHTTP(w, r)
}

func (g *Gateway) now() time.Duration { return time.Since(g.start) }

// serve runs one request within its span and writes its failure, if any.
func (g *Gateway) serve(w http.ResponseWriter, r bunrouter.Request) error {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := g.tracer.Start(ctx, "gateway.request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	x := &exchange{
		g:       g,
		w:       w,
		r:       r.Request,
		id:      uuid.NewString(),
		arrival: time.Now(),
		config:  g.options.Config(),
		span:    span,
	}
	defer x.releaseBody()
	w.Header().Set(sycapi.HeaderRequestID, x.id)
	err := x.run(ctx)
	x.reportResult(err)
	return err
}

// report writes a failure and counts the request.
func (x *exchange) reportResult(err error) {
	code := "ok"
	defer func() {
		requestsTotal(x.route.Name(), code).Inc()
		x.span.SetAttributes(
			attribute.String("request.id", x.id),
			attribute.String("route", x.route.Name()),
			attribute.String("vm", x.g.options.VM),
			attribute.String("code", code),
		)
	}()
	if err == nil {
		return
	}
	f := toFailure(err)
	code = f.Code
	if f.Code == codeCancelled {
		// A return would end the answer cleanly, and a caller that has only
		// stopped sending would take it for a whole one.
		panic(http.ErrAbortHandler)
	}
	if f.Status >= http.StatusInternalServerError {
		logrus.Warnf("gateway: request %s on route %q failed: %s", x.id, x.route.Name(), f.Code)
	}
	if !x.responseStarted {
		f.Write(x.w, x.id)
		return
	}
	x.abortResponse(f)
}

// failure turns any error into one that can be shown to the caller.
func toFailure(err error) *sycapi.Failure {
	var f *sycapi.Failure
	if errors.As(err, &f) {
		return f
	}
	return &sycapi.Failure{
		Status:  http.StatusInternalServerError,
		Code:    "internal",
		Message: "the request failed inside the gateway",
		Outcome: sycapi.Unknown,
	}
}
