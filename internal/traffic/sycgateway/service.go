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

// serviceCall runs one request to a plain service, with as many attempts as
// allowed.
type serviceCall struct {
	// x is the HTTP exchange of the request.
	x *exchange
	// plan decides after each failed attempt whether another one follows.
	plan *sycattempt.Plan
	// kind tells whether the request may run more than once.
	kind sycattempt.Kind
	// ticket is the claim of a request with an Idempotency-Key. It is nil if there
	// is none or the claim has ended.
	ticket sycclaim.Ticket
	// header holds the request's headers as sent to the service.
	header http.Header
	// requestTarget is the escaped path and query sent to the service.
	requestTarget string
	// grant permits the current attempt. It is nil between attempts.
	grant sycwork.Grant
	// excluded names the endpoints whose attempts failed.
	excluded []string
	// silenceTimer cancels an attempt if the endpoint sends nothing for maxSilence. It
	// is stopped once a response is streamed to the client, because the client then
	// determines the pace.
	silenceTimer *time.Timer
	// maxSilence limits the endpoint's silence in the current attempt.
	maxSilence time.Duration
}

// serveService serves a request on a service route.
func (x *exchange) serveService(ctx context.Context) error {
	call := &serviceCall{x: x, kind: sycattempt.AtMostOnce}
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

// prepare builds the header and target that are sent to the service. They contain
// neither the client's key nor headers that only the gateway may set. A key in the
// path or the body is rejected.
func (c *serviceCall) prepare() error {
	x := c.x
	scrub := sycauth.NewScrubber(x.identity, x.config.Owner)
	if scrub.PathHasKey(x.r.URL.Path) || scrub.BodyHasKey(x.body) {
		return sycapi.Invalid(http.StatusBadRequest, "misplaced_key", "a key must be sent in the Authorization header only")
	}
	c.header = sycproxy.FilterRequestHeader(x.r.Header)
	scrub.ScrubHeader(c.header)
	if customer := x.customer(); customer != "" {
		c.header.Set(sycapi.HeaderCustomer, customer)
	}
	c.requestTarget = x.escapedSubpath()
	if query := scrub.ScrubQuery(x.r.URL.RawQuery); query != "" {
		c.requestTarget += "?" + query
	}
	return nil
}

// escapedSubpath returns the path below the route's prefix, escaped as the client
// sent it.
func (x *exchange) escapedSubpath() string {
	prefix := strings.TrimSuffix(x.route.Prefix(), "/")
	if rest, ok := strings.CutPrefix(x.r.URL.EscapedPath(), prefix); ok && strings.HasPrefix(rest, "/") {
		return rest
	}
	return x.subpath
}

// run makes the attempts and then ends the claim, if any.
func (c *serviceCall) run(ctx context.Context) error {
	defer c.endGrant(sycwork.Result{Outcome: sycwork.Cancelled})
	if c.ticket != nil {
		// A request with a claim runs to its end even if the client disconnects,
		// because the client may repeat the request to get the result.
		detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.x.deadline)
		defer cancel()
		ctx = detached
	}
	err := c.runAttempts(ctx)
	c.endClaim()
	return err
}

// runAttempts makes attempts until the response is complete or the plan gives up.
func (c *serviceCall) runAttempts(ctx context.Context) error {
	for {
		err := c.runAttempt(ctx)
		if err == nil {
			return nil
		}
		if errors.Is(err, errClientGone) {
			c.plan.RecordFailure(sycattempt.Lost)
			return clientGone()
		}
		action := c.plan.Decide(c.x.g.now(), c.planEvent(ctx, err), c.spendRetry)
		c.abandonEndpoint(err)
		if action.Step == sycattempt.GiveUp || !sycpause.For(ctx, action.Wait) {
			return c.finalFailure(ctx, err)
		}
	}
}

// spendRetry takes a retry from the retry budgets. It takes none if no endpoint was
// selected.
func (c *serviceCall) spendRetry() bool {
	if c.grant == nil {
		return true
	}
	return c.x.spendRetry(c.grant.Target().Endpoint)
}

// runAttempt selects an endpoint and makes one attempt there.
func (c *serviceCall) runAttempt(ctx context.Context) error {
	if err := c.selectEndpoint(ctx); err != nil {
		return err
	}
	attempt := uuid.NewString()
	return c.x.traceAttempt(ctx, c.grant.Target().Endpoint, attempt,
		func(ctx context.Context) error { return c.send(ctx, attempt) })
}

// selectEndpoint selects the endpoint of the next attempt.
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

// Errors of attempts whose connection worked.
var (
	// errCrossed means that the response carries the ID of another attempt.
	errCrossed = errors.New("the response belongs to another attempt")
	// errRefused means that the service stated that it did not run the request.
	errRefused = errors.New("the service did not run the request")
	// errUnknownLength means that the response has neither a length nor chunks, so
	// that a response cut short would look complete.
	errUnknownLength = errors.New("the response has neither a length nor chunks")
)

// send sends the request to the selected endpoint and the response to the client.
func (c *serviceCall) send(ctx context.Context, attempt string) error {
	header := c.header.Clone()
	header.Set(sycapi.HeaderAttempt, attempt)
	sent := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.silenceTimer = c.startSilenceTimer(cancel, sent)
	defer c.silenceTimer.Stop()
	answer, err := c.x.g.client.Do(ctx, sycproxy.Request{
		Method:        c.x.r.Method,
		URL:           c.grant.Target().Address + c.requestTarget,
		Header:        header,
		Body:          c.x.body,
		NewConnection: c.kind == sycattempt.AtMostOnce,
		Guard:         c.sendGuard(),
	})
	if err != nil {
		return err
	}
	if err := checkResponse(answer, attempt); err != nil {
		answer.Discard()
		return err
	}
	c.grant.FirstToken()
	c.restartSilenceTimer()
	if err := c.relay(answer); err != nil {
		answer.Discard()
		return err
	}
	_ = answer.Body.Close()
	c.endGrant(sycwork.Result{Outcome: sycwork.Succeeded, FirstToken: time.Since(sent)})
	return nil
}

// startSilenceTimer starts the timer that cancels a silent attempt at the request's
// deadline. The first attempt of a repeatable request gets only half of the
// remaining time, which leaves time for another one.
func (c *serviceCall) startSilenceTimer(cancel func(), now time.Time) *time.Timer {
	c.maxSilence = c.x.deadline.Sub(now)
	if c.kind == sycattempt.Repeatable && len(c.excluded) == 0 {
		c.maxSilence /= 2
	}
	return time.AfterFunc(c.maxSilence, cancel)
}

// restartSilenceTimer records that the endpoint has sent something.
func (c *serviceCall) restartSilenceTimer() { c.silenceTimer.Reset(c.maxSilence) }

// sendGuard returns the check that is made right before the first byte of an
// attempt is sent: the claim must still permit the request. It is nil if there is
// no claim.
func (c *serviceCall) sendGuard() func() bool {
	if c.ticket == nil {
		return nil
	}
	return c.ticket.Start
}

// endGrant reports the attempt's result to the grant. It does nothing if there is
// no grant.
func (c *serviceCall) endGrant(r sycwork.Result) {
	if c.grant == nil {
		return
	}
	c.grant.Done(r)
	c.grant = nil
}

// abandonEndpoint excludes the current endpoint, whose attempt failed with err, from
// later attempts and ends the grant.
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
