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

// sink takes the answer to a generation request.
type sink interface {
	// token takes the next token; more tells that another one has already arrived.
	writeToken(t sycstream.Token, more bool) error
	finish(reason string, u sycapi.Usage) error
}

// generation runs one generation request over as many attempts as it takes.
type generator struct {
	x    *exchange
	req  *sycapi.Request
	plan *sycattempt.Plan
	sink sink

	grant sycwork.Grant
	// call names the engine's stream of the present grant.
	call sycstream.Call
	// incarnation is that of the engine that answers the present grant.
	incarnation string
	excluded    []string
	// next is the index of the first token not received yet, and text holds
	// the tokens before it.
	next int
	text strings.Builder
	// skip is the index of the first token that the caller doesn't have.
	skip int
	// admitted is set once the request's token was taken.
	admitted bool
	// working is set while an engine may be generating for this request.
	engineRunning bool
	// pinned restricts later attempts to the weights that answered first.
	pinnedWeights string
	pinnedAdapter string
	meter         meter
}

// generate answers a generation request.
func (x *exchange) generate(ctx context.Context, req *sycapi.Request) error {
	gen := &generator{x: x, req: req, plan: x.newPlan(sycattempt.Generation)}
	gen.sink = x.newSink(gen)
	step := sycattempt.Elsewhere
	resumable, err := gen.prepareResume()
	if err != nil {
		return err
	}
	if resumable {
		step = sycattempt.ResumeSame
	}
	return gen.run(ctx, step)
}

// run makes attempts until the answer is whole or given up.
func (gen *generator) run(ctx context.Context, step sycattempt.Step) error {
	defer gen.endGrant(sycwork.Cancelled)
	for {
		err := gen.runStep(ctx, step)
		if err == nil {
			return nil
		}
		event := gen.planEvent(err)
		gen.plan.Note(event)
		if ctx.Err() != nil || errors.Is(err, errClientGone) {
			return gen.endRequest(ctx)
		}
		action := gen.plan.On(gen.x.g.now(), event, gen.spendRetry)
		if action.Step == sycattempt.GiveUp {
			gen.cancelStream()
			gen.endGrant(attemptOutcome(err))
			return gen.finalFailure(ctx, err, action.NotRun)
		}
		step = action.Step
		if step != sycattempt.ResumeSame {
			gen.abandonEndpoint(err)
		}
		if !sycpause.For(ctx, action.Wait) {
			return gen.endRequest(ctx)
		}
	}
}

// stop ends a request whose caller went away or whose time is over.
func (gen *generator) endRequest(ctx context.Context) error {
	gen.cancelStream()
	outcome := sycapi.Unknown
	if gen.plan.NotRun() {
		outcome = sycapi.NotRun
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		gen.endGrant(sycwork.Failed)
	}
	return gen.x.contextFailure(ctx, outcome)
}

// spend asks the budgets for a retry. A stream that another VM began is not
// retried but admitted as a new request.
func (gen *generator) spendRetry() bool {
	if !gen.admitted {
		return true
	}
	return gen.x.spendRetry(gen.call.Target.Endpoint)
}

// step makes one attempt.
func (gen *generator) runStep(ctx context.Context, step sycattempt.Step) error {
	if step == sycattempt.ResumeSame {
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

// restart drops a partial answer that the caller has seen nothing of.
func (gen *generator) restart() {
	gen.next = 0
	gen.text.Reset()
	gen.pinnedWeights, gen.pinnedAdapter = "", ""
}

// admit takes the request's token once. Rejoining a stream that an engine
// still has takes none.
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

// abandon ends the present grant after a failure and tells the engine.
func (gen *generator) abandonEndpoint(err error) {
	if gen.call.Target.Endpoint != "" {
		gen.excluded = append(gen.excluded, gen.call.Target.Endpoint)
	}
	gen.cancelStream()
	gen.endGrant(attemptOutcome(err))
}

// leave reports the end of the present grant.
func (gen *generator) endGrant(o sycwork.Outcome) {
	if gen.grant == nil {
		return
	}
	gen.grant.Done(gen.meter.result(o, gen.incarnation))
	gen.grant = nil
}

// choose picks the endpoint of the next attempt.
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
