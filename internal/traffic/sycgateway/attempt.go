package sycgateway

import (
	"context"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/traffic/sycstream"
)

// newStreamCall returns the engine call for target t. An engine shares cached
// blocks only between requests with the same cache salt. The gateway computes the
// salt itself, so that a wrong salt from the selection can't give one customer the
// cached blocks of another. An import of blocks cached under a different salt is
// dropped.
func (gen *generator) newStreamCall(t sycwork.Target) sycstream.Request {
	salt := sycblock.Salt(gen.x.customer(), gen.req.Model(), t.Adapter, t.Weights)
	if t.Salt != salt {
		t.Import = nil
	}
	t.Salt = salt
	return sycstream.Request{
		Target:    t,
		Model:     gen.req.Model(),
		Route:     gen.x.route.Name(),
		Prompt:    gen.req.Prompt(),
		MaxTokens: gen.req.MaxTokens(),
		Stream:    uuid.NewString(),
		Start:     gen.next,
		PriorText: gen.text.String(),
	}
}

// runAttempt makes one attempt at the selected engine: it sends the call and reads
// the tokens. With resume set it continues the stream that the engine already has.
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

// readStream opens the engine's stream and passes its tokens to the sink until the
// stream ends or fails.
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

// openStream starts a stream at the engine or, with resume set, resumes the
// existing one. Resuming fails if the engine's incarnation has changed.
func (gen *generator) openStream(ctx context.Context, resume bool) (*sycstream.Stream, error) {
	if resume {
		return gen.x.g.engines.Resume(ctx, gen.call, gen.incarnation)
	}
	return gen.x.g.engines.Start(ctx, gen.call)
}

// handleToken records one token and passes it to the sink unless the client already
// has it. more reports whether further bytes of the stream have arrived.
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

// finish handles the last event of the stream: it ends the grant, counts the tokens
// and lets the sink complete the response.
func (gen *generator) finish(t sycstream.Token) error {
	usage := t.Usage
	gen.meter.usage = usage
	gen.engineRunning = false
	gen.endGrant(sycwork.Succeeded)
	usage.Completion = t.Index
	// A resumed call's usage doesn't describe the whole request, so the prompt's
	// length is estimated from its text.
	if gen.call.Start > 0 {
		usage.Prompt = sycblock.Tokens(gen.req.Prompt())
	}
	usage.Cached = min(usage.Cached, usage.Prompt)
	promptTokensTotal.Add(usage.Prompt)
	cachedTokensTotal.Add(usage.Cached)
	outputTokensTotal.Add(usage.Completion)
	return gen.sink.finish(t.Reason, usage)
}

// streamID returns the value of the Sycamorecart-Stream header, with which the
// client can resume the stream through any VM.
func (gen *generator) streamID() string {
	return sycstream.ID{
		Endpoint: gen.call.Target.Endpoint,
		Stream:   gen.call.Stream,
		Weights:  gen.call.Target.Weights,
		Adapter:  gen.call.Target.Adapter,
		Digest:   gen.requestDigest(),
	}.String()
}

// requestDigest returns the hash of the request that is part of the stream's ID. It
// prevents the stream from being resumed by a different request.
func (gen *generator) requestDigest() string {
	return sycstream.Digest(gen.x.route.Name(), gen.req.Model(), gen.req.Prompt(), gen.req.MaxTokens())
}
