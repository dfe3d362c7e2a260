// Package telemetry provides the logs, traces and metrics of an entry VM. Logs are
// JSON lines. Traces and metrics are made with OpenTelemetry: metrics are scraped at
// /metrics, and both are pushed by OTLP over HTTP if an address is set.
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlpmetric/otlpmetrichttp"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"quetzalhold/names"
	"quetzalhold/settings"
)

// Telemetry is the logger, tracer and metrics of an entry VM. Use [New]; [Discard]
// returns one that exports nothing.
type Telemetry struct {
	Log     *zap.Logger
	Tracer  trace.Tracer
	Metrics *Metrics

	handler   http.Handler
	meter     metric.Meter
	shutdowns []func(context.Context) error
}

// scope is the name of the instrumentation scope in traces and metrics.
const scope = "quetzalhold"

// Option changes how New sets up traces.
type Option func(*options)

type options struct {
	spans sdktrace.SpanExporter
}

// WithSpans also exports every span to e as it ends.
func WithSpans(e sdktrace.SpanExporter) Option {
	return func(o *options) { o.spans = e }
}

// New returns the telemetry of an entry VM, with a logger that writes to w.
func New(s *settings.Entry, w io.Writer, opts ...Option) (*Telemetry, error) {
	var o options
	for _, f := range opts {
		f(&o)
	}
	res := resource.NewSchemaless(
		attribute.String("service.name", scope),
		attribute.String("service.instance.id", s.ID),
		attribute.String("quetzalhold.domain", string(s.DomainID())),
	)
	t := &Telemetry{Log: newLogger(s, w)}
	if err := t.setTraces(s, res, o); err != nil {
		return nil, err
	}
	if err := t.setMetrics(s, res); err != nil {
		return nil, err
	}
	return t, nil
}

// Discard returns telemetry that logs, traces and exports nothing. Its metrics can be
// recorded as usual.
func Discard() *Telemetry {
	provider := sdkmetric.NewMeterProvider()
	meter := provider.Meter(scope)
	m, err := newMetrics(meter)
	if err != nil {
		panic(err) // only for a malformed instrument name
	}
	return &Telemetry{
		Log:     zap.NewNop(),
		Tracer:  sdktrace.NewTracerProvider(sdktrace.WithSampler(sdktrace.NeverSample())).Tracer(scope),
		Metrics: m,
		handler: http.NotFoundHandler(),
		meter:   meter,
	}
}

func newLogger(s *settings.Entry, w io.Writer) *zap.Logger {
	return NewLog(w, s.Telemetry.LogLevel).With(
		zap.String("entry", s.ID),
		Name("domain", s.Registry(), names.Domain, s.DomainID(), s.DisplayScheme()),
	)
}

// Name returns a log field with the name of an object in scheme sc and its names in
// all schemes, so that a search for any of them finds the line.
func Name(key string, reg *names.Registry, k names.Kind, id names.ID, sc names.Scheme) zap.Field {
	if reg == nil {
		return zap.String(key, string(id))
	}
	n := reg.Names(k, id)
	return zap.Dict(key,
		zap.String("name", reg.Name(k, id, sc)),
		zap.String(names.ByCode.String(), string(n.Code)),
		zap.String(names.ByTitle.String(), n.Title),
		zap.String(names.ByLegacy.String(), n.Legacy),
	)
}

func (t *Telemetry) setTraces(s *settings.Entry, res *resource.Resource, o options) error {
	p, err := newTracerProvider(s.Telemetry.OTLP, s.Telemetry.TraceShare, res, o)
	if err != nil {
		return err
	}
	t.Tracer = p.Tracer(scope)
	t.shutdowns = append(t.shutdowns, p.Shutdown)
	return nil
}

// newTracerProvider returns a provider that samples a share of the requests and
// exports their spans by OTLP if an address is set.
func newTracerProvider(otlp string, share float64, res *resource.Resource, o options) (*sdktrace.TracerProvider, error) {
	opts := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(res),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(share))),
	}
	if o.spans != nil {
		opts = append(opts, sdktrace.WithSyncer(o.spans))
	}
	if otlp != "" {
		exp, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpoint(otlp), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, fmt.Errorf("trace exporter: %w", err)
		}
		opts = append(opts, sdktrace.WithBatcher(exp))
	}
	return sdktrace.NewTracerProvider(opts...), nil
}

// newPrometheusReader returns a metrics reader and the handler that serves what it
// reads, together with metrics of the Go runtime and the process.
func newPrometheusReader() (sdkmetric.Reader, http.Handler, error) {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	scrape, err := otelprom.New(otelprom.WithRegisterer(reg))
	if err != nil {
		return nil, nil, fmt.Errorf("metrics scraping: %w", err)
	}
	return scrape, promhttp.HandlerFor(reg, promhttp.HandlerOpts{}), nil
}

func (t *Telemetry) setMetrics(s *settings.Entry, res *resource.Resource) error {
	scrape, handler, err := newPrometheusReader()
	if err != nil {
		return err
	}
	opts := []sdkmetric.Option{sdkmetric.WithResource(res), sdkmetric.WithReader(scrape)}
	if s.Telemetry.OTLP != "" {
		exp, err := otlpmetrichttp.New(context.Background(),
			otlpmetrichttp.WithEndpoint(s.Telemetry.OTLP), otlpmetrichttp.WithInsecure())
		if err != nil {
			return fmt.Errorf("metrics exporter: %w", err)
		}
		opts = append(opts, sdkmetric.WithReader(sdkmetric.NewPeriodicReader(exp)))
	}
	p := sdkmetric.NewMeterProvider(opts...)
	t.shutdowns = append(t.shutdowns, p.Shutdown)
	t.handler = handler
	t.meter = p.Meter(scope)
	t.Metrics, err = newMetrics(t.meter)
	return err
}

// Handler serves the metrics for scraping.
func (t *Telemetry) Handler() http.Handler { return t.handler }

// Close pushes the remaining traces and metrics and stops the exporters.
func (t *Telemetry) Close(ctx context.Context) error {
	var errs []error
	for _, f := range t.shutdowns {
		errs = append(errs, f(ctx))
	}
	// Standard error cannot be synced on every system.
	_ = t.Log.Sync()
	return errors.Join(errs...)
}
