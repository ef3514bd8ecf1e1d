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

// tracer keeps the trace that its call was handled in.
type tracer struct{ seen chan oteltrace.TraceID }

func (h tracer) Outcome(ctx context.Context, _ *sycpeerpb.OutcomeRequest) (*sycpeerpb.OutcomeReply, error) {
	h.seen <- oteltrace.SpanContextFromContext(ctx).TraceID()
	return &sycpeerpb.OutcomeReply{}, nil
}

func TestTraceContinuesAtThePeer(t *testing.T) {
	former := otel.GetTracerProvider()
	provider := trace.NewTracerProvider()
	otel.SetTracerProvider(provider)
	t.Cleanup(func() {
		otel.SetTracerProvider(former)
		must.NoError(t, provider.Shutdown(context.Background()))
	})
	handler := tracer{seen: make(chan oteltrace.TraceID, 1)}
	server := serve(t, sycpeer.ServerOptions{Handlers: sycpeer.Handlers{Outcome: handler}})
	client := newClient(t, sycpeer.ClientOptions{})
	ctx, span := provider.Tracer("test").Start(t.Context(), "request")
	defer span.End()
	_, err := client.Outcome(ctx, server.Address(), &sycpeerpb.OutcomeRequest{})
	must.NoError(t, err)
	must.Eq(t, span.SpanContext().TraceID(), <-handler.seen)
}
