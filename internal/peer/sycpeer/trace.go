package sycpeer

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"storj.io/drpc/drpcmetadata"
)

// tracerName is the instrumentation name of this package's spans.
const tracerName = "sycamorecart/peer"

// propagator encodes the trace context as in W3C Trace Context.
var propagator propagation.TraceContext

// startClientSpan starts the span of a call at the client, and puts the trace
// context into the call's metadata for the server.
func startClientSpan(ctx context.Context, call string) (context.Context, trace.Span) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "peer "+call, trace.WithSpanKind(trace.SpanKindClient))
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return drpcmetadata.AddPairs(ctx, carrier), span
}

// startServerSpan starts the span of a call at the server, as a child of the
// client's span if the call's metadata has a trace context.
func startServerSpan(ctx context.Context, call string) (context.Context, trace.Span) {
	if pairs, ok := drpcmetadata.Get(ctx); ok {
		ctx = propagator.Extract(ctx, propagation.MapCarrier(pairs))
	}
	return otel.Tracer(tracerName).Start(ctx, "peer "+call, trace.WithSpanKind(trace.SpanKindServer))
}
