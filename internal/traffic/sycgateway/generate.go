package sycgateway

import (
	"context"
	"errors"
	"strings"

	"sycamorecart.example/sycamorecart/internal/decide/sycattempt"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
	"sycamorecart.example/sycamorecart/internal/traffic/sycstream"
)

// sink writes the response to a generation request.
type sink interface {
	// writeToken writes the next token. more reports whether further bytes of the
	// stream have arrived, so that the sink may write several tokens together.
	writeToken(t sycstream.Token, more bool) error
	// finish completes the response with the reason why the generation ended and
	// the token counts.
	finish(reason string, u sycapi.Usage) error
}

// generator runs one generation request, with as many attempts as needed.
type generator struct {
	// x is the HTTP exchange of the request.
	x *exchange
	// req is the parsed request.
	req *sycapi.Request
	// plan decides after each failed attempt how the request continues.
	plan *sycattempt.Plan
	// sink writes the response to the client.
	sink sink

	// grant permits the attempts at the selected engine. It is nil between engines
	// and while the gateway resumes a stream that the client got from an earlier
	// request.
	grant sycwork.Grant
	// call is the current stream's request to its engine.
	call sycstream.Request
	// incarnation is an ID of the current engine's process, as given in its
	// response. It is empty before the response.
	incarnation string
	// excluded names the endpoints whose attempts failed.
	excluded []string
	// next is the index of the first token that the gateway doesn't have yet.
	next int
	// text holds the output before the token at next.
	text strings.Builder
	// skip is the index of the first token that the client doesn't have. Earlier
	// tokens aren't sent to it.
	skip int
	// admitted is set once the request has taken its permit from the rate limiter.
	admitted bool
	// engineRunning is set while an engine may be generating for this request.
	engineRunning bool
	// pinnedWeights and pinnedAdapter name the weights and adapter that attempts
	// must use: those of the first response or of the stream that the client
	// resumes. pinnedWeights is empty if any may be used.
	pinnedWeights string
	pinnedAdapter string
	// meter measures the request under the current grant.
	meter meter
}

// generate serves a generation request.
func (x *exchange) generate(ctx context.Context, req *sycapi.Request) error {
	gen := &generator{x: x, req: req, plan: x.newPlan(sycattempt.Generation)}
	gen.sink = x.newSink(gen)
	step := sycattempt.TryOther
	resumable, err := gen.prepareResume()
	if err != nil {
		return err
	}
	if resumable {
		step = sycattempt.Resume
	}
	return gen.run(ctx, step)
}

// run makes attempts, starting with step, until the response is complete or the
// plan gives up.
func (gen *generator) run(ctx context.Context, step sycattempt.Step) error {
	defer gen.endGrant(sycwork.Cancelled)
	for {
		err := gen.runStep(ctx, step)
		if err == nil {
			return nil
		}
		event := gen.planEvent(err)
		gen.plan.RecordFailure(event)
		if ctx.Err() != nil || errors.Is(err, errClientGone) {
			return gen.endRequest(ctx, err)
		}
		action := gen.plan.Decide(gen.x.g.now(), event, gen.spendRetry)
		if action.Step == sycattempt.GiveUp {
			gen.cancelStream()
			gen.endGrant(attemptOutcome(err))
			return gen.finalFailure(ctx, err, action.NotRun)
		}
		step = action.Step
		if step != sycattempt.Resume {
			gen.abandonEndpoint(err)
		}
		if !sycpause.For(ctx, action.Wait) {
			return gen.endRequest(ctx, err)
		}
	}
}

// endRequest cancels the engine's stream and returns the failure of a request whose
// client is gone or whose deadline has passed. err is the error of its last attempt. A
// request that no engine had taken by its deadline fails as if no attempt were left.
func (gen *generator) endRequest(ctx context.Context, err error) error {
	gen.cancelStream()
	var fault *sycstream.Error
	if gen.plan.NotRun() && !clientLeft(ctx) && errors.As(err, &fault) {
		gen.endGrant(sycwork.Failed)
		return engineFailure(fault, true)
	}
	outcome := sycapi.Unknown
	if gen.plan.NotRun() {
		outcome = sycapi.NotRun
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		gen.endGrant(sycwork.Failed)
	}
	return gen.x.contextFailure(ctx, outcome)
}

// spendRetry takes a retry from the retry budgets. A failed resume of an earlier
// request's stream takes none, because the next attempt is admitted as a new
// request.
func (gen *generator) spendRetry() bool {
	if !gen.admitted {
		return true
	}
	return gen.x.spendRetry(gen.call.Target.Endpoint)
}

// runStep makes one attempt, of the kind that the plan's step states.
func (gen *generator) runStep(ctx context.Context, step sycattempt.Step) error {
	if step == sycattempt.Resume {
		streamResumesTotal.Inc()
		return gen.runAttempt(ctx, true)
	}
	if step == sycattempt.Restart {
		gen.restart()
	}
	if err := gen.admit(ctx); err != nil {
		return err
	}
	if err := gen.selectEndpoint(ctx); err != nil {
		return err
	}
	if gen.next > 0 {
		streamResumesTotal.Inc()
	}
	return gen.runAttempt(ctx, false)
}

// restart discards output of which the client has seen nothing, so that the next
// attempt may use any weights.
func (gen *generator) restart() {
	gen.next = 0
	gen.text.Reset()
	gen.pinnedWeights, gen.pinnedAdapter = "", ""
}

// admit takes the request's permit from the rate limiter, once per request.
// Resuming a stream that the engine still has doesn't need a permit.
func (gen *generator) admit(ctx context.Context) error {
	if gen.admitted {
		return nil
	}
	if err := gen.x.admit(ctx); err != nil {
		return err
	}
	gen.admitted = true
	return nil
}

// abandonEndpoint excludes the current endpoint from later attempts, cancels its
// stream and ends the grant. err is the failed attempt's error, from which the outcome
// that is reported to the grant follows.
func (gen *generator) abandonEndpoint(err error) {
	if gen.call.Target.Endpoint != "" {
		gen.excluded = append(gen.excluded, gen.call.Target.Endpoint)
	}
	gen.cancelStream()
	gen.endGrant(attemptOutcome(err))
}

// endGrant reports the result to the grant. It does nothing if there is no grant.
func (gen *generator) endGrant(o sycwork.Outcome) {
	if gen.grant == nil {
		return
	}
	gen.grant.Done(gen.meter.result(o, gen.incarnation))
	gen.grant = nil
}

// selectEndpoint selects the endpoint of the next attempt and prepares the engine
// call. It fails if the endpoint doesn't have the pinned weights and adapter.
func (gen *generator) selectEndpoint(ctx context.Context) error {
	x := gen.x
	if err := x.recheckKey(); err != nil {
		return err
	}
	grant, err := x.selectEndpoint(ctx, sycwork.Work{
		Customer:  x.customer(),
		Route:     x.route.Name(),
		Model:     gen.req.Model(),
		Prompt:    gen.req.Prompt(),
		MaxTokens: gen.req.MaxTokens(),
		Weights:   gen.pinnedWeights,
		Exclude:   gen.excluded,
		Deadline:  x.deadline,
	})
	if err != nil {
		return &selectionError{cause: err}
	}
	target := grant.Target()
	if gen.pinnedWeights != "" && (target.Weights != gen.pinnedWeights || target.Adapter != gen.pinnedAdapter) {
		grant.Done(sycwork.Result{Outcome: sycwork.Cancelled})
		return &selectionError{cause: &sycwork.Refusal{Reason: sycwork.NoEndpoint, Message: "no endpoint has the weights of the stream"}}
	}
	gen.grant = grant
	gen.incarnation = ""
	gen.meter = meter{}
	gen.call = gen.newStreamCall(target)
	return nil
}
