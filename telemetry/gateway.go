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
	opened     metric.Int64Counter
	reused     metric.Int64Counter
	rejections metric.Int64Counter
	waits      metric.Float64Histogram
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
	CutOff       func() bool  // reports whether no server is reached
	Taken        func() int   // requests of other entry VMs in flight
	Held         func() int64 // bytes held for callers that read slowly
	Limited      func() int   // servers to which requests need a permit
	Admitted     func() []Admission
	// Speeds returns the number of servers that are known to be slow and fast.
	Speeds func() (slow, fast int)
	// Prefill returns the usual prefill rates of services, in tokens a second.
	Prefill func() map[string]float64
}

// Admission is the state of the streams of a service that wait in order; the numbers are prompt tokens.
type Admission struct {
	Service string
	Waiting map[int]int64 // streams by priority
	Pending int64
	Share   int64 // of this entry VM; 0 without pressure
	Window  int64 // of the service; 0 if unknown
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
		{&t.opened, "quetzalhold.gateway.connections.opened", "{connection}", "Connections opened to servers, by purpose."},
		{&t.reused, "quetzalhold.gateway.connections.reused", "{request}", "Requests to servers on connections that were kept, by purpose."},
		{&t.rejections, "quetzalhold.gateway.admission.rejections", "{stream}", "Streams rejected because of the wait, by service, priority and reason."},
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
		{&t.waits, "quetzalhold.gateway.admission.waits", "How long streams waited before they were sent, by service and priority."},
		{&t.storeTime, "quetzalhold.gateway.store.latency", "Time of calls to the platform's store, watches included."},
	} {
		*h.into, err = m.Float64Histogram(h.name, metric.WithUnit("s"), metric.WithDescription(h.text), metric.WithExplicitBucketBoundaries(latencyBuckets...))
		if err != nil {
			return nil, fmt.Errorf("instrument %s: %w", h.name, err)
		}
	}
	if err := observeAdmission(m, g.Admitted); err != nil {
		return nil, err
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
		{"quetzalhold.gateway.held", "By", "Bytes of streams held for callers that read slowly.", g.Held},
		{"quetzalhold.gateway.servers.limited", "{server}", "Backend servers to which requests need a permit.", func() int64 { return int64(g.Limited()) }},
		{"quetzalhold.gateway.servers.slow", "{server}", "Backend servers that are known to be slow.", func() int64 {
			slow, _ := g.Speeds()
			return int64(slow)
		}},
		{"quetzalhold.gateway.servers.fast", "{server}", "Backend servers that are known to be fast.", func() int64 {
			_, fast := g.Speeds()
			return int64(fast)
		}},
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
	_, err := m.Float64ObservableGauge("quetzalhold.gateway.prefill", metric.WithUnit("{token}/s"), metric.WithDescription("Usual prefill rate of an engine, by service."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for service, rate := range g.Prefill() {
				o.Observe(rate, metric.WithAttributes(attribute.String("service", service)))
			}
			return nil
		}))
	if err != nil {
		return fmt.Errorf("instrument quetzalhold.gateway.prefill: %w", err)
	}
	return nil
}

// observeAdmission registers the gauges of the streams that wait in order.
func observeAdmission(m metric.Meter, read func() []Admission) error {
	if read == nil {
		return nil
	}
	waiting, err := m.Int64ObservableGauge("quetzalhold.gateway.admission.waiting", metric.WithUnit("{stream}"), metric.WithDescription("Streams that wait before they are sent, by service and priority."))
	if err != nil {
		return fmt.Errorf("instrument admission.waiting: %w", err)
	}
	tokens, err := m.Int64ObservableGauge("quetzalhold.gateway.admission.tokens", metric.WithUnit("{token}"), metric.WithDescription("Prompt tokens by service and what: pending, share under pressure, window."))
	if err != nil {
		return fmt.Errorf("instrument admission.tokens: %w", err)
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, a := range read() {
			s := attribute.String("service", a.Service)
			for p, n := range a.Waiting {
				o.ObserveInt64(waiting, n, metric.WithAttributes(s, attribute.Int("priority", p)))
			}
			for what, n := range map[string]int64{"pending": a.Pending, "share": a.Share, "window": a.Window} {
				o.ObserveInt64(tokens, n, metric.WithAttributes(s, attribute.String("what", what)))
			}
		}
		return nil
	}, waiting, tokens)
	if err != nil {
		return fmt.Errorf("observe admission: %w", err)
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

// Connection counts a connection to a server by purpose: one that was opened, or the use of one that was kept.
func (t *Gateway) Connection(purpose string, reused bool) {
	by := metric.WithAttributes(attribute.String("purpose", purpose))
	if reused {
		t.reused.Add(context.Background(), 1, by)
		return
	}
	t.opened.Add(context.Background(), 1, by)
}

// StreamWaited records how long a stream waited before it was sent or rejected.
func (t *Gateway) StreamWaited(service string, priority int, waited time.Duration) {
	t.waits.Record(context.Background(), waited.Seconds(), metric.WithAttributes(attribute.String("service", service), attribute.Int("priority", priority)))
}

// StreamRejected counts a stream that was rejected because of the wait.
func (t *Gateway) StreamRejected(service string, priority int, why string) {
	t.rejections.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.Int("priority", priority), attribute.String("why", why)))
}

// StoreCall records a call to the store.
func (t *Gateway) StoreCall(c result.Code, took time.Duration) {
	t.storeCalls.Add(context.Background(), 1, code(c))
	t.storeTime.Record(context.Background(), took.Seconds())
}

// IdleClosed counts callers' connections that were closed because they were idle.
func (t *Gateway) IdleClosed(n int) { t.idleClosed.Add(context.Background(), int64(n)) }
