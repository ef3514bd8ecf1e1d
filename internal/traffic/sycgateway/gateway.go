// Package sycgateway serves the HTTP requests of clients: it authenticates and
// admits them, sends them to endpoints and returns the responses.
//
// A client is the HTTP client that sent the request. An attempt is one try to run
// the request at one endpoint, under a grant from the selection of endpoints. A
// response that breaks off never looks complete to the client, and each failure
// states whether the request may have run. A public route is one that needs no key.
//
// A model request is a generation request that engines answer with a stream of
// tokens. If a stream fails, the gateway resumes it at the same engine or continues
// it at another one with the same weights. A request to a plain service is tried
// again only if it is known not to have run or if its route allows repeats. Model
// requests come by model routes, requests to plain services by service routes.
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
	"gopkg.in/tomb.v2"
	"sycamorecart.example/sycamorecart/internal/decide/sycattempt"
	"sycamorecart.example/sycamorecart/internal/decide/sycclaim"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/ground/sycdial"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
	"sycamorecart.example/sycamorecart/internal/traffic/sycbudget"
	"sycamorecart.example/sycamorecart/internal/traffic/sycproxy"
	"sycamorecart.example/sycamorecart/internal/traffic/sycstream"
)

// Claims ensures that a request with an Idempotency-Key runs at most once on all
// VMs. Claim waits until it is decided which request runs. It returns a ticket to
// the request that runs, the first answer to a repeated request, or
// *sycclaim.Error.
type Claims interface {
	Claim(ctx context.Context, c sycclaim.Call) (sycclaim.Ticket, *sycclaim.Answer, error)
}

// Options holds the settings and dependencies of a gateway.
type Options struct {
	// Config returns the configuration in force. It is called for each request and
	// before each attempt.
	Config func() *sycconfig.State
	// Ready reports whether the VM accepts requests. If it is nil, the VM always
	// does.
	Ready func() bool
	// Chooser selects the endpoint of each attempt.
	Chooser sycwork.Chooser
	// Limiter limits the rate of each customer's requests.
	Limiter sycwork.Limiter
	// Claims decides which request with an Idempotency-Key runs. If it is nil,
	// requests that need a claim are refused.
	Claims Claims
	// VM is this VM's ID, which is recorded in traces.
	VM string
	// Dial opens connections to endpoints. If it is nil, the system chooses the
	// local address.
	Dial sycdial.Func
	// Limits bounds the resources that requests use.
	Limits Limits
}

// Gateway is the HTTP handler for clients' requests.
type Gateway struct {
	// options holds the dependencies passed to New.
	options Options
	// limits is options.Limits.
	limits Limits
	// router accepts the supported methods on all paths and passes them to serve.
	router http.Handler
	// client sends requests to endpoints.
	client *sycproxy.Client
	// engines starts, resumes and cancels streams at engines.
	engines *sycstream.Engines
	// budget bounds the memory of all request bodies.
	budget *sycbudget.Budget
	// start is when the gateway was created. Plans and retry budgets use times
	// relative to it.
	start time.Time
	// tracer starts the trace spans of requests and attempts.
	tracer trace.Tracer

	// tomb runs the workers that send cancellations.
	tomb tomb.Tomb
	// cancelQueue holds the streams that are to be cancelled at their engines.
	cancelQueue chan sycstream.Request

	// mu guards customerRetries and endpointRetries.
	mu sync.Mutex
	// customerRetries and endpointRetries hold the retry budgets of each customer
	// and each endpoint.
	customerRetries *sycattempt.Budgets
	endpointRetries *sycattempt.Budgets
}

// supportedMethods lists the HTTP methods that the gateway accepts.
var supportedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// New returns a gateway and starts its workers. The caller must call Close.
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
		budget:          sycbudget.New(o.Limits.Bodies),
		start:           time.Now(),
		tracer:          otel.Tracer("sycamorecart"),
		customerRetries: sycattempt.NewBudgets(o.Limits.Retries),
		endpointRetries: sycattempt.NewBudgets(o.Limits.Retries),
		cancelQueue:     make(chan sycstream.Request, cancelQueueLen),
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

// Close stops the gateway's goroutines and closes its idle connections. The HTTP
// server must be shut down first.
func (g *Gateway) Close() error {
	g.tomb.Kill(nil)
	err := g.tomb.Wait()
	g.client.Close()
	return err
}

// ServeHTTP serves one request. Requests that fail validateRequest are answered
// before routing.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f := g.validateRequest(r); f != nil {
		id := uuid.NewString()
		w.Header().Set(sycapi.HeaderRequestID, id)
		// After a malformed request the gateway can't tell where the next one
		// starts.
		w.Header().Set("Connection", "close")
		f.Write(w, id)
		requestsTotal("none", f.Code).Inc()
		return
	}
	g.router.ServeHTTP(w, r)
}

// now returns the time since the gateway was created.
func (g *Gateway) now() time.Duration { return time.Since(g.start) }

// serve runs one request in a trace span and writes its failure, if any.
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

// reportResult counts the request and, if it failed, writes the failure to the
// client. It panics with http.ErrAbortHandler to break the connection if a response
// that has started can't be completed or the client is gone.
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
		// Returning would end the response normally. A client that has only closed
		// its sending side would take the response for complete.
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

// toFailure returns the *sycapi.Failure in err. Any other error becomes an internal
// error, so that its text isn't shown to the client.
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
