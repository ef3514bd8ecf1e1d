// Package syctrace configures OpenTelemetry tracing: which traces are recorded, and
// where their spans are exported. A request has one span for each hop.
package syctrace

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// FlushTimeout limits the time that Provider.Close takes to export the last spans.
const FlushTimeout = 2 * time.Second

// Options configures the tracing of a VM.
type Options struct {
	// Export says where spans are exported: "none" for nowhere, "log" for one log
	// line per span, or "otlp" for the URL Endpoint.
	Export string
	// Endpoint is the URL to which spans are sent by OTLP over HTTP.
	Endpoint string
	// Sample is the fraction, from 0 to 1, of the traces started by this VM that
	// are recorded. A trace started by a caller is recorded if the caller records it.
	Sample float64
	// VM is the peer address of this VM, exported as service.instance.id.
	VM string
}

// Provider exports spans until it's closed.
type Provider struct {
	// provider is OpenTelemetry's provider, which creates and exports the spans.
	provider *trace.TracerProvider
}

// Setup installs the global tracer provider, and the propagation of trace contexts
// by W3C Trace Context headers. The caller must close the returned provider.
func Setup(ctx context.Context, o Options) (*Provider, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exporter, err := newExporter(ctx, o)
	if err != nil {
		return nil, err
	}
	options := []trace.TracerProviderOption{
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(o.Sample))),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "sycamorecart"),
			attribute.String("service.instance.id", o.VM),
		)),
	}
	if exporter != nil {
		options = append(options, trace.WithBatcher(exporter))
	}
	provider := trace.NewTracerProvider(options...)
	otel.SetTracerProvider(provider)
	return &Provider{provider: provider}, nil
}

// newExporter returns the exporter that the options name, nil for "none".
func newExporter(ctx context.Context, o Options) (trace.SpanExporter, error) {
	switch o.Export {
	case "none":
		return nil, nil
	case "log":
		return logExporter{}, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(o.Endpoint))
	if err != nil {
		return nil, eris.Wrapf(err, "trace endpoint %s", o.Endpoint)
	}
	return exporter, nil
}

// Close exports the spans not yet exported, for up to FlushTimeout, and stops the
// export.
func (p *Provider) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), FlushTimeout)
	defer cancel()
	return p.provider.Shutdown(ctx)
}

// logExporter writes one log line for each span.
type logExporter struct{}

// ExportSpans implements trace.SpanExporter. It logs the spans.
func (logExporter) ExportSpans(_ context.Context, spans []trace.ReadOnlySpan) error {
	for _, s := range spans {
		fields := logrus.Fields{
			"trace":    s.SpanContext().TraceID().String(),
			"span":     s.SpanContext().SpanID().String(),
			"parent":   s.Parent().SpanID().String(),
			"duration": s.EndTime().Sub(s.StartTime()).String(),
		}
		for _, a := range s.Attributes() {
			fields[string(a.Key)] = a.Value.Emit()
		}
		logrus.WithFields(fields).Infof("trace: %s", s.Name())
	}
	return nil
}

// Shutdown implements trace.SpanExporter. It has nothing to release.
func (logExporter) Shutdown(context.Context) error { return nil }
