// Package syctrace sets up the export of spans, one for each hop of a request.
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

// FlushTimeout bounds the export of the last spans when the program stops.
const FlushTimeout = 2 * time.Second

// Options say where spans go.
type Options struct {
	// Export is "none", "log" or "otlp".
	Export string
	// Endpoint is the URL that spans are sent to by OTLP over HTTP.
	Endpoint string
	// Sample is the fraction of traces that start here and are recorded, 0 to 1.
	Sample float64
	// VM is the peer address of this VM.
	VM string
}

// Provider owns the export of spans.
type Provider struct {
	provider *trace.TracerProvider
}

// Setup installs the global tracer provider and the W3C propagation.
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

// Close exports what is left and stops.
func (p *Provider) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), FlushTimeout)
	defer cancel()
	return p.provider.Shutdown(ctx)
}

// logExporter writes one log line for each span.
type logExporter struct{}

// ExportSpans implements trace.SpanExporter.
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

// Shutdown implements trace.SpanExporter.
func (logExporter) Shutdown(context.Context) error { return nil }
