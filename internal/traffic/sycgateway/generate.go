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
	token(t sycstream.Token, more bool) error
	finish(reason string, u sycapi.Usage) error
}

// generation runs one generation request over as many attempts as it takes.
type generation struct {
	x    *exchange
	req  *sycapi.Request
	plan *sycattempt.Plan
	out  sink

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
	working bool
	// pinned restricts later attempts to the weights that answered first.
	pinned  string
	adapter string
	result  meter
}

// generate answers a generation request.
func (x *exchange) generate(ctx context.Context, req *sycapi.Request) error {
	gen := &generation{x: x, req: req, plan: x.plan(sycattempt.Generation)}
	gen.out = x.newSink(gen)
	step := sycattempt.Elsewhere
	joined, err := gen.rejoin()
	if err != nil {
		return err
	}
	if joined {
		step = sycattempt.ResumeSame
	}
	return gen.run(ctx, step)
}

// run makes attempts until the answer is whole or given up.
func (gen *generation) run(ctx context.Context, step sycattempt.Step) error {
	defer gen.leave(sycwork.Cancelled)
	for {
		err := gen.step(ctx, step)
		if err == nil {
			return nil
		}
		event := gen.event(err)
		gen.plan.Note(event)
		if ctx.Err() != nil || errors.Is(err, errCallerGone) {
			return gen.stop(ctx)
		}
		action := gen.plan.On(gen.x.g.now(), event, gen.spend)
		if action.Step == sycattempt.GiveUp {
			gen.cancelEngine()
			gen.leave(outcome(err))
			return gen.givenUp(ctx, err, action.NotRun)
		}
		step = action.Step
		if step != sycattempt.ResumeSame {
			gen.abandon(err)
		}
		if !sycpause.For(ctx, action.Wait) {
			return gen.stop(ctx)
		}
	}
}

// stop ends a request whose caller went away or whose time is over.
func (gen *generation) stop(ctx context.Context) error {
	gen.cancelEngine()
	told := sycapi.Unknown
	if gen.plan.NotRun() {
		told = sycapi.NotRun
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		gen.leave(sycwork.Failed)
	}
	return gen.x.ended(ctx, told)
}

// spend asks the budgets for a retry. A stream that another VM began is not
// retried but admitted as a new request.
func (gen *generation) spend() bool {
	if !gen.admitted {
		return true
	}
	return gen.x.spend(gen.call.Target.Endpoint)
}

// step makes one attempt.
func (gen *generation) step(ctx context.Context, step sycattempt.Step) error {
	if step == sycattempt.ResumeSame {
		resumesTotal.Inc()
		return gen.attempt(ctx, true)
	}
	if step == sycattempt.Restart {
		gen.restart()
	}
	if err := gen.admit(ctx); err != nil {
		return err
	}
	if err := gen.choose(ctx); err != nil {
		return err
	}
	if gen.next > 0 {
		resumesTotal.Inc()
	}
	return gen.attempt(ctx, false)
}

// restart drops a partial answer that the caller has seen nothing of.
func (gen *generation) restart() {
	gen.next = 0
	gen.text.Reset()
	gen.pinned, gen.adapter = "", ""
}

// admit takes the request's token once. Rejoining a stream that an engine
// still has takes none.
func (gen *generation) admit(ctx context.Context) error {
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
func (gen *generation) abandon(err error) {
	if gen.call.Target.Endpoint != "" {
		gen.excluded = append(gen.excluded, gen.call.Target.Endpoint)
	}
	gen.cancelEngine()
	gen.leave(outcome(err))
}

// leave reports the end of the present grant.
func (gen *generation) leave(o sycwork.Outcome) {
	if gen.grant == nil {
		return
	}
	gen.grant.Done(gen.result.result(o, gen.incarnation))
	gen.grant = nil
}

// choose picks the endpoint of the next attempt.
func (gen *generation) choose(ctx context.Context) error {
	x := gen.x
	if err := x.stillAllowed(); err != nil {
		return err
	}
	grant, err := x.choose(ctx, sycwork.Work{
		Customer:  x.customer(),
		Route:     x.route.Name(),
		Model:     gen.req.Model(),
		Prompt:    gen.req.Prompt(),
		MaxTokens: gen.req.MaxTokens(),
		Weights:   gen.pinned,
		Exclude:   gen.excluded,
		Deadline:  x.deadline,
	})
	if err != nil {
		return &noTarget{cause: err}
	}
	target := grant.Target()
	if gen.pinned != "" && (target.Weights != gen.pinned || target.Adapter != gen.adapter) {
		grant.Done(sycwork.Result{Outcome: sycwork.Cancelled})
		return &noTarget{cause: &sycwork.Refusal{Reason: sycwork.NoEndpoint, Message: "no endpoint has the weights of the stream"}}
	}
	gen.grant = grant
	gen.incarnation = ""
	gen.result = meter{}
	gen.call = gen.newCall(target)
	return nil
}
