package sycgateway

import (
	"context"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/traffic/sycstream"
)

// newCall makes the salt itself, so that no other part can mix up customers.
func (gen *generator) newStreamCall(t sycwork.Target) sycstream.Call {
	salt := sycblock.Salt(gen.x.customer(), gen.req.Model(), t.Adapter, t.Weights)
	if t.Salt != salt {
		t.Import = nil
	}
	t.Salt = salt
	return sycstream.Call{
		Target:    t,
		Model:     gen.req.Model(),
		Route:     gen.x.route.Name(),
		Prompt:    gen.req.Prompt(),
		MaxTokens: gen.req.MaxTokens(),
		Stream:    uuid.NewString(),
		Start:     gen.next,
		TextSoFar: gen.text.String(),
	}
}

// attempt sends one request to the chosen engine and reads its tokens.
func (gen *generator) runAttempt(ctx context.Context, resume bool) error {
	gen.call.Attempt = uuid.NewString()
	gen.call.Start = gen.next
	return gen.x.traceAttempt(ctx, gen.call.Target.Endpoint, gen.call.Attempt,
		func(ctx context.Context) error { return gen.readStream(ctx, resume) },
		attribute.String("weights", gen.call.Target.Weights),
		attribute.Int("start", gen.next),
		attribute.Bool("resume", resume),
	)
}

func (gen *generator) readStream(ctx context.Context, resume bool) error {
	gen.meter.markSent()
	gen.engineRunning = true
	stream, err := gen.openStream(ctx, resume)
	if err != nil {
		return err
	}
	defer stream.Close()
	gen.incarnation = stream.Incarnation()
	gen.pinnedWeights, gen.pinnedAdapter = gen.call.Target.Weights, gen.call.Target.Adapter
	for {
		gen.meter.startRead()
		token, err := stream.Next()
		if err != nil {
			return err
		}
		if token.Done {
			return gen.finish(token)
		}
		stream.Pause()
		if err := gen.handleToken(token, stream.Buffered()); err != nil {
			return err
		}
		stream.Continue()
	}
}

func (gen *generator) openStream(ctx context.Context, resume bool) (*sycstream.Stream, error) {
	if resume {
		return gen.x.g.engines.Resume(ctx, gen.call, gen.incarnation)
	}
	return gen.x.g.engines.Start(ctx, gen.call)
}

// take passes one token on.
func (gen *generator) handleToken(t sycstream.Token, more bool) error {
	if gen.meter.recordToken() && gen.grant != nil {
		gen.grant.FirstToken()
	}
	gen.next = t.Index + 1
	gen.text.WriteString(t.Text)
	gen.plan.Progress(gen.next)
	if t.Index < gen.skip {
		return nil
	}
	return gen.sink.writeToken(t, more)
}

// finish passes the end of the answer on.
func (gen *generator) finish(t sycstream.Token) error {
	usage := t.Usage
	gen.meter.usage = usage
	gen.engineRunning = false
	gen.endGrant(sycwork.Succeeded)
	usage.Completion = t.Index
	if gen.call.Start > 0 {
		usage.Prompt = sycblock.Tokens(gen.req.Prompt())
	}
	usage.Cached = min(usage.Cached, usage.Prompt)
	promptTokensTotal.Add(usage.Prompt)
	cachedTokensTotal.Add(usage.Cached)
	outputTokensTotal.Add(usage.Completion)
	return gen.sink.finish(t.Reason, usage)
}

// streamID is the name by which the caller finds the answer again.
func (gen *generator) streamID() string {
	return sycstream.ID{
		Endpoint: gen.call.Target.Endpoint,
		Stream:   gen.call.Stream,
		Weights:  gen.call.Target.Weights,
		Adapter:  gen.call.Target.Adapter,
		Digest:   gen.requestDigest(),
	}.String()
}

func (gen *generator) requestDigest() string {
	return sycstream.Digest(gen.x.route.Name(), gen.req.Model(), gen.req.Prompt(), gen.req.MaxTokens())
}
