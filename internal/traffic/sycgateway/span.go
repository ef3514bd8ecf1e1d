package sycgateway

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// traceAttempt calls run in a trace span that records the endpoint, the attempt's
// ID, attrs and the error.
func (x *exchange) traceAttempt(ctx context.Context, endpoint, attempt string, run func(context.Context) error, attrs ...attribute.KeyValue) error {
	ctx, span := x.g.tracer.Start(ctx, "gateway.attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(
		attribute.String("endpoint", endpoint),
		attribute.String("attempt", attempt),
	)
	span.SetAttributes(attrs...)
	err := run(ctx)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return err
}
