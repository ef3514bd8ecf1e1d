package sycpeer_test

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeer"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// traceHandler handles Outcome calls and sends the trace ID of each to seen.
type traceHandler struct{ seen chan oteltrace.TraceID }

func (h traceHandler) Outcome(ctx context.Context, _ *sycpeerpb.OutcomeRequest) (*sycpeerpb.OutcomeReply, error) {
	h.seen <- oteltrace.SpanContextFromContext(ctx).TraceID()
	return &sycpeerpb.OutcomeReply{}, nil
}

func TestTraceContinuesAtThePeer(t *testing.T) {
	previous := otel.GetTracerProvider()
	provider := trace.NewTracerProvider()
	otel.SetTracerProvider(provider)
	t.Cleanup(func() {
		otel.SetTracerProvider(previous)
		must.NoError(t, provider.Shutdown(context.Background()))
	})
	handler := traceHandler{seen: make(chan oteltrace.TraceID, 1)}
	server := serve(t, sycpeer.ServerOptions{Handlers: sycpeer.Handlers{Outcome: handler}})
	client := newClient(t, sycpeer.ClientOptions{})
	ctx, span := provider.Tracer("test").Start(t.Context(), "request")
	defer span.End()
	_, err := client.Outcome(ctx, server.Address(), &sycpeerpb.OutcomeRequest{})
	must.NoError(t, err)
	must.Eq(t, span.SpanContext().TraceID(), <-handler.seen)
}
