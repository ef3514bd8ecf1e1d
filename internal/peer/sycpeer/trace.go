package sycpeer

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"storj.io/drpc/drpcmetadata"
)

// tracerName names the instrumentation in spans.
const tracerName = "sycamorecart/peer"

var propagator propagation.TraceContext

// startClientSpan starts the span of an outgoing call and puts its context
// into the call's metadata.
func startClientSpan(ctx context.Context, call string) (context.Context, trace.Span) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "peer "+call, trace.WithSpanKind(trace.SpanKindClient))
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return drpcmetadata.AddPairs(ctx, carrier), span
}

// startServerSpan continues the trace that the call's metadata names.
func startServerSpan(ctx context.Context, call string) (context.Context, trace.Span) {
	if pairs, ok := drpcmetadata.Get(ctx); ok {
		ctx = propagator.Extract(ctx, propagation.MapCarrier(pairs))
	}
	return otel.Tracer(tracerName).Start(ctx, "peer "+call, trace.WithSpanKind(trace.SpanKindServer))
}
