package sycgateway_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// clientTraceID is the trace ID that the client sends.
const clientTraceID = "0af7651916cd43dd8448eb211c80319c"

// TestEachHopHasASpan checks that the client's trace contains a span of the gateway
// for each request and each attempt, and that the endpoint receives the attempt's
// span as its parent.
func TestEachHopHasASpan(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	before := otel.GetTracerProvider()
	otel.SetTracerProvider(trace.NewTracerProvider(trace.WithSpanProcessor(recorder)))
	defer otel.SetTracerProvider(before)
	s, e := newService(t), newEngine(t)
	r := newTestGateway(t, nil, serviceTarget("service1", s.URL()), engineTarget("e1", e.URL()))
	parent := "00-" + clientTraceID + "-b7ad6b7169203331-01"
	_ = readBody(t, r.post(t, "/slots/x", "", "traceparent", parent))
	_ = readBody(t, r.post(t, "/v1/completions", completionBody("p", false), "traceparent", parent))
	endpointHeaders := []http.Header{receivedCalls(s)[0].Header, e.Requests()[0].Header}
	r.server.Close()
	names := map[string]int{}
	spans := map[string]bool{}
	for _, span := range recorder.Ended() {
		must.Eq(t, clientTraceID, span.SpanContext().TraceID().String())
		names[span.Name()]++
		if span.Name() == "gateway.attempt" {
			spans[span.SpanContext().SpanID().String()] = true
		}
	}
	must.Eq(t, map[string]int{"gateway.request": 2, "gateway.attempt": 2}, names)
	for _, h := range endpointHeaders {
		parts := strings.Split(h.Get("Traceparent"), "-")
		must.Len(t, 4, parts)
		must.Eq(t, clientTraceID, parts[1])
		must.True(t, spans[parts[2]])
	}
}
