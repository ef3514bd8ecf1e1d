package sycgateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"sycamorecart.example/sycamorecart/internal/decide/sycattempt"
	"sycamorecart.example/sycamorecart/internal/decide/sycclaim"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
	"sycamorecart.example/sycamorecart/internal/traffic/sycauth"
	"sycamorecart.example/sycamorecart/internal/traffic/sycproxy"
)

// serviceCall runs one request to a plain service.
type serviceCall struct {
	x      *exchange
	plan   *sycattempt.Plan
	kind   sycattempt.Kind
	ticket sycclaim.Ticket
	header http.Header
	// target is the escaped path and query that the service gets.
	requestTarget string
	grant         sycwork.Grant
	excluded      []string
	// watch ends an attempt whose endpoint is silent. It stops once an answer
	// is passed on, at the caller's pace.
	silenceTimer *time.Timer
}

// serveService answers a request on a service route.
func (x *exchange) serveService(ctx context.Context) error {
	call := &serviceCall{x: x, kind: sycattempt.Once}
	if x.route.Repeatable() {
		call.kind = sycattempt.Repeatable
	}
	call.plan = x.newPlan(call.kind)
	if err := call.prepare(); err != nil {
		return err
	}
	if err := x.admit(ctx); err != nil {
		return err
	}
	answered, err := call.claim(ctx)
	if answered || err != nil {
		return err
	}
	return call.run(ctx)
}

// prepare builds what the service gets: nothing of the caller's key, and
// nothing that only the gateway may say.
func (c *serviceCall) prepare() error {
	x := c.x
	scrub := sycauth.NewScrubber(x.identity, x.config.Owner)
	if scrub.Path(x.r.URL.Path) || scrub.Body(x.body) {
		return sycapi.Invalid(http.StatusBadRequest, "misplaced_key", "a key must be sent in the Authorization header only")
	}
	c.header = sycproxy.Forwarded(x.r.Header)
	scrub.Header(c.header)
	if customer := x.customer(); customer != "" {
		c.header.Set(sycapi.HeaderCustomer, customer)
	}
	c.requestTarget = x.escapedSubpath()
	if query := scrub.Query(x.r.URL.RawQuery); query != "" {
		c.requestTarget += "?" + query
	}
	return nil
}

// escapedRest is the path below the route's prefix, as the caller escaped it.
func (x *exchange) escapedSubpath() string {
	prefix := strings.TrimSuffix(x.route.Prefix(), "/")
	if rest, ok := strings.CutPrefix(x.r.URL.EscapedPath(), prefix); ok && strings.HasPrefix(rest, "/") {
		return rest
	}
	return x.subpath
}

// run makes attempts until the answer is whole or given up.
func (c *serviceCall) run(ctx context.Context) error {
	defer c.endGrant(sycwork.Result{Outcome: sycwork.Cancelled})
	if c.ticket != nil {
		// A caller that goes away may repeat the request and ask how it went.
		detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.x.deadline)
		defer cancel()
		ctx = detached
	}
	err := c.runAttempts(ctx)
	c.endClaim()
	return err
}

func (c *serviceCall) runAttempts(ctx context.Context) error {
	for {
		err := c.runAttempt(ctx)
		if err == nil {
			return nil
		}
		if errors.Is(err, errClientGone) {
			c.plan.Note(sycattempt.Lost)
			return clientGone()
		}
		action := c.plan.On(c.x.g.now(), c.planEvent(ctx, err), c.spendRetry)
		c.abandonEndpoint(err)
		if action.Step == sycattempt.GiveUp || !sycpause.For(ctx, action.Wait) {
			return c.finalFailure(ctx, err)
		}
	}
}

func (c *serviceCall) spendRetry() bool {
	if c.grant == nil {
		return true
	}
	return c.x.spendRetry(c.grant.Target().Endpoint)
}

// step makes one attempt.
func (c *serviceCall) runAttempt(ctx context.Context) error {
	if err := c.selectEndpoint(ctx); err != nil {
		return err
	}
	attempt := uuid.NewString()
	return c.x.traceAttempt(ctx, c.grant.Target().Endpoint, attempt,
		func(ctx context.Context) error { return c.send(ctx, attempt) })
}

func (c *serviceCall) selectEndpoint(ctx context.Context) error {
	x := c.x
	if err := x.recheckKey(); err != nil {
		return err
	}
	grant, err := x.selectEndpoint(ctx, sycwork.Work{
		Customer: x.customer(),
		Route:    x.route.Name(),
		Service:  x.route.Service(),
		Exclude:  c.excluded,
		Deadline: x.deadline,
	})
	if err != nil {
		return &selectionError{cause: err}
	}
	c.grant = grant
	return nil
}

// Faults of service calls that are not errors of the connection.
var (
	errCrossed       = errors.New("the answer belongs to another attempt")
	errRefused       = errors.New("the service did not run the request")
	errUnknownLength = errors.New("the answer does not say where it ends")
)

// send makes the call and passes the answer on.
func (c *serviceCall) send(ctx context.Context, attempt string) error {
	header := c.header.Clone()
	header.Set(sycapi.HeaderAttempt, attempt)
	sent := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.silenceTimer = c.startSilenceTimer(cancel, sent)
	defer c.silenceTimer.Stop()
	answer, err := c.x.g.client.Do(ctx, sycproxy.Call{
		Method: c.x.r.Method,
		URL:    c.grant.Target().Address + c.requestTarget,
		Header: header,
		Body:   c.x.body,
		Fresh:  c.kind == sycattempt.Once,
		Guard:  c.sendGuard(),
	})
	if err != nil {
		return err
	}
	if err := checkResponse(answer, attempt); err != nil {
		answer.Discard()
		return err
	}
	c.grant.FirstToken()
	if err := c.relay(answer); err != nil {
		answer.Discard()
		return err
	}
	_ = answer.Body.Close()
	c.endGrant(sycwork.Result{Outcome: sycwork.Succeeded, FirstToken: time.Since(sent)})
	return nil
}

// watchSilence leaves time for another attempt where one is allowed: an
// endpoint that has gone silent gets half of the time.
func (c *serviceCall) startSilenceTimer(cancel func(), now time.Time) *time.Timer {
	maxWait := c.x.deadline.Sub(now)
	if c.kind == sycattempt.Repeatable && len(c.excluded) == 0 {
		maxWait /= 2
	}
	return time.AfterFunc(maxWait, cancel)
}

func (c *serviceCall) sendGuard() func() bool {
	if c.ticket == nil {
		return nil
	}
	return c.ticket.Start
}

// leave reports the end of the present grant.
func (c *serviceCall) endGrant(r sycwork.Result) {
	if c.grant == nil {
		return
	}
	c.grant.Done(r)
	c.grant = nil
}

func (c *serviceCall) abandonEndpoint(err error) {
	if c.grant == nil {
		return
	}
	c.excluded = append(c.excluded, c.grant.Target().Endpoint)
	outcome := sycwork.Failed
	if errors.Is(err, errRefused) {
		outcome = sycwork.Refused
	}
	c.endGrant(sycwork.Result{Outcome: outcome})
}
