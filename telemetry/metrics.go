package telemetry

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"quetzalhold/result"
)

// Metrics is the metrics of an entry VM.
type Metrics struct {
	requests   metric.Int64Counter
	tokens     metric.Int64Counter
	open       metric.Int64UpDownCounter
	steps      metric.Int64Counter
	violations metric.Int64Counter
	first      metric.Float64Histogram
	gap        metric.Float64Histogram
	resume     metric.Float64Histogram
	calls      metric.Int64Counter
	platform   metric.Int64Counter
	bookings   metric.Int64Counter
}

// latencyBuckets are the upper bounds of the latency buckets, in seconds.
var latencyBuckets = []float64{.01, .025, .064, .1, .25, .5, .75, .99, 1.5, 2, 3, 5, 10, 30}

func newMetrics(m metric.Meter) (*Metrics, error) {
	var mt Metrics
	var err error
	counter := func(name, unit, text string) metric.Int64Counter {
		c, e := m.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(text))
		if e != nil && err == nil {
			err = fmt.Errorf("instrument %s: %w", name, e)
		}
		return c
	}
	histogram := func(name, text string) metric.Float64Histogram {
		h, e := m.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(text),
			metric.WithExplicitBucketBoundaries(latencyBuckets...))
		if e != nil && err == nil {
			err = fmt.Errorf("instrument %s: %w", name, e)
		}
		return h
	}
	mt.requests = counter("quetzalhold.requests", "{request}", "Ended requests by result code.")
	mt.tokens = counter("quetzalhold.tokens", "{token}", "Tokens delivered to callers.")
	mt.steps = counter("quetzalhold.attempt.steps", "{step}", "Steps of attempts by what happened.")
	mt.violations = counter("quetzalhold.invariant.violations", "{violation}", "Broken internal checks.")
	mt.calls = counter("quetzalhold.service.calls", "{call}", "Calls to plain services by result code.")
	mt.platform = counter("quetzalhold.platform.calls", "{call}", "Calls to the platform, a watch as one, by priority and whether the budget had room.")
	mt.bookings = counter("quetzalhold.bookings", "{booking}", "Bookings with a key by result code.")
	mt.first = histogram("quetzalhold.first.token", "Time from request to first token.")
	mt.gap = histogram("quetzalhold.token.gap", "Time between two tokens of an answer.")
	mt.resume = histogram("quetzalhold.resume", "Time from the last token before a loss to the next.")
	var e error
	mt.open, e = m.Int64UpDownCounter("quetzalhold.answers.open",
		metric.WithUnit("{answer}"), metric.WithDescription("Answers under way."))
	if e != nil && err == nil {
		err = fmt.Errorf("instrument answers.open: %w", e)
	}
	return &mt, err
}

func code(c result.Code) metric.MeasurementOption {
	return metric.WithAttributes(attribute.Int("code", int(c)))
}

// RequestEnded counts a request that ended.
func (m *Metrics) RequestEnded(c result.Code) { m.requests.Add(context.Background(), 1, code(c)) }

// ServiceCall counts a call to a plain service.
func (m *Metrics) ServiceCall(c result.Code) { m.calls.Add(context.Background(), 1, code(c)) }

// PlatformCall counts a call to the platform, or one that the call budget did not allow.
func (m *Metrics) PlatformCall(priority string, allowed bool) {
	m.platform.Add(context.Background(), 1,
		metric.WithAttributes(attribute.String("priority", priority), attribute.Bool("room", allowed)))
}

// Booking counts a booking that has a key.
func (m *Metrics) Booking(c result.Code) { m.bookings.Add(context.Background(), 1, code(c)) }

// AnswerOpened counts an answer that begins.
func (m *Metrics) AnswerOpened() { m.open.Add(context.Background(), 1) }

// AnswerClosed counts an answer that ends.
func (m *Metrics) AnswerClosed() { m.open.Add(context.Background(), -1) }

// Step counts a step of an attempt.
func (m *Metrics) Step(what string) {
	m.steps.Add(context.Background(), 1, metric.WithAttributes(attribute.String("what", what)))
}

// Violation counts a broken internal check.
func (m *Metrics) Violation() { m.violations.Add(context.Background(), 1) }

// FirstToken records an answer's first token and the time to it.
func (m *Metrics) FirstToken(d time.Duration) {
	m.tokens.Add(context.Background(), 1)
	m.first.Record(context.Background(), d.Seconds())
}

// TokenGap records a further token and the time since the one before it.
func (m *Metrics) TokenGap(d time.Duration) {
	m.tokens.Add(context.Background(), 1)
	m.gap.Record(context.Background(), d.Seconds())
}

// StreamResumed records the time from the last token before a loss to the next.
func (m *Metrics) StreamResumed(d time.Duration) { m.resume.Record(context.Background(), d.Seconds()) }
