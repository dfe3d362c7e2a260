package telemetry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/trace"

	"quetzalhold/result"
	"quetzalhold/settings"
)

// Gateway is the metrics of an entry VM on the users' platform.
type Gateway struct {
	requests   metric.Int64Counter
	attempts   metric.Int64Counter
	latency    metric.Float64Histogram
	streams    metric.Int64Counter
	storeCalls metric.Int64Counter
	idleClosed metric.Int64Counter
	storeTime  metric.Float64Histogram
	handler    http.Handler
	meter      metric.Meter
}

// NewGatewayTracer returns the tracer of an entry VM on the users' platform, and the
// function that pushes the remaining spans and stops it. The tracer is nil if the
// settings do not enable tracing.
func NewGatewayTracer(s *settings.Gateway, opts ...Option) (trace.Tracer, func(context.Context) error, error) {
	var o options
	for _, f := range opts {
		f(&o)
	}
	if s.OTLP == "" && o.spans == nil {
		return nil, func(context.Context) error { return nil }, nil
	}
	p, err := newTracerProvider(s.OTLP, s.TraceShare, resource.NewSchemaless(
		attribute.String("service.name", scope),
		attribute.String("service.instance.id", s.ID),
		attribute.String("quetzalhold.domain", string(s.Domain)),
	), o)
	if err != nil {
		return nil, nil, err
	}
	return p.Tracer(scope), p.Shutdown, nil
}

// Gauges holds functions that are called when the metrics are scraped.
type Gauges struct {
	Servers      func() int
	Members      func() int
	Version      func() int64         // of the configuration in force; 0 for none
	StoreAge     func() time.Duration // since this entry VM was last known to be up to date with the store
	DroppedLines func() int64
	CutOff       func() bool // reports whether no server is reached
	Taken        func() int  // requests of other entry VMs in flight
	Limited      func() int  // servers to which requests need a permit
}

// NewGateway returns metrics that are scraped from [Gateway.Handler].
func NewGateway(g Gauges) (*Gateway, error) {
	scrape, handler, err := newPrometheusReader()
	if err != nil {
		return nil, err
	}
	m := sdkmetric.NewMeterProvider(sdkmetric.WithReader(scrape)).Meter(scope)
	t := &Gateway{handler: handler, meter: m}
	for _, c := range []struct {
		into       *metric.Int64Counter
		name, unit string
		text       string
	}{
		{&t.requests, "quetzalhold.gateway.requests", "{request}", "Ended requests by service and result code."},
		{&t.attempts, "quetzalhold.gateway.attempts", "{attempt}", "Attempts that ended requests have used, by service."},
		{&t.streams, "quetzalhold.gateway.takeovers", "{takeover}", "Streams sent to an engine, by reason."},
		{&t.storeCalls, "quetzalhold.gateway.store.calls", "{call}", "Calls to the platform's store by result code, a watch as one."},
		{&t.idleClosed, "quetzalhold.gateway.idle.closed", "{connection}", "Callers' connections closed because they were idle for too long."},
	} {
		if *c.into, err = m.Int64Counter(c.name, metric.WithUnit(c.unit), metric.WithDescription(c.text)); err != nil {
			return nil, fmt.Errorf("instrument %s: %w", c.name, err)
		}
	}
	for _, h := range []struct {
		into *metric.Float64Histogram
		name string
		text string
	}{
		{&t.latency, "quetzalhold.gateway.latency", "Time from a request to its end, by service."},
		{&t.storeTime, "quetzalhold.gateway.store.latency", "Time of calls to the platform's store, watches included."},
	} {
		*h.into, err = m.Float64Histogram(h.name, metric.WithUnit("s"), metric.WithDescription(h.text), metric.WithExplicitBucketBoundaries(latencyBuckets...))
		if err != nil {
			return nil, fmt.Errorf("instrument %s: %w", h.name, err)
		}
	}
	return t, t.observe(m, g)
}

// observe registers the gauges.
func (t *Gateway) observe(m metric.Meter, g Gauges) error {
	for _, x := range []struct {
		name, unit, text string
		read             func() int64
	}{
		{"quetzalhold.gateway.servers", "{server}", "Backend servers that are known.", func() int64 { return int64(g.Servers()) }},
		{"quetzalhold.gateway.members", "{vm}", "Entry VMs that are known.", func() int64 { return int64(g.Members()) }},
		{"quetzalhold.gateway.configuration", "{version}", "Version of the configuration in force.", g.Version},
		{"quetzalhold.gateway.news.age", "ms", "Age of what is known of the store.", func() int64 { return g.StoreAge().Milliseconds() }},
		{"quetzalhold.gateway.cutoff", "1", "1 while no server is reached and requests are handed to other entry VMs.", func() int64 {
			if g.CutOff() {
				return 1
			}
			return 0
		}},
		{"quetzalhold.gateway.taken", "{request}", "Requests in flight that other entry VMs have handed over.", func() int64 { return int64(g.Taken()) }},
		{"quetzalhold.gateway.servers.limited", "{server}", "Backend servers to which requests need a permit.", func() int64 { return int64(g.Limited()) }},
		{"quetzalhold.gateway.log.dropped", "{line}", "Log lines dropped because the writer was slow.", g.DroppedLines},
	} {
		_, err := m.Int64ObservableGauge(x.name, metric.WithUnit(x.unit), metric.WithDescription(x.text),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(x.read())
				return nil
			}))
		if err != nil {
			return fmt.Errorf("instrument %s: %w", x.name, err)
		}
	}
	return nil
}

// Handler serves the metrics for scraping.
func (t *Gateway) Handler() http.Handler { return t.handler }

// RequestEnded records a request that ended and how many attempts it has used.
func (t *Gateway) RequestEnded(service string, c result.Code, took time.Duration, attempts int) {
	s := attribute.String("service", service)
	t.requests.Add(context.Background(), 1, metric.WithAttributes(s, attribute.Int("code", int(c))))
	t.attempts.Add(context.Background(), int64(attempts), metric.WithAttributes(s))
	t.latency.Record(context.Background(), took.Seconds(), metric.WithAttributes(s))
}

// StreamSent counts a stream that was sent to an engine, by reason.
func (t *Gateway) StreamSent(why string) {
	t.streams.Add(context.Background(), 1, metric.WithAttributes(attribute.String("why", why)))
}

// StoreCall records a call to the store.
func (t *Gateway) StoreCall(c result.Code, took time.Duration) {
	t.storeCalls.Add(context.Background(), 1, code(c))
	t.storeTime.Record(context.Background(), took.Seconds())
}

// IdleClosed counts callers' connections that were closed because they were idle.
func (t *Gateway) IdleClosed(n int) { t.idleClosed.Add(context.Background(), int64(n)) }
