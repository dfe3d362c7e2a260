package telemetry

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"quetzalhold/connlimit"
)

// watchClients adds the metrics of the connections of clients that a limiter closes, and logs them.
func watchClients(m metric.Meter, l *connlimit.Limiter, log *zap.Logger) error {
	c, err := m.Int64Counter("quetzalhold.clients.closed", metric.WithUnit("{connection}"),
		metric.WithDescription("Connections of clients closed to keep a limit, by reason."))
	if err != nil {
		return fmt.Errorf("instrument clients.closed: %w", err)
	}
	for _, x := range []struct {
		name, unit, text string
		read             func() int64
	}{
		{"quetzalhold.clients.heads", "By", "Memory of unfinished request heads.", func() int64 { return int64(l.Heads()) }},
		{"quetzalhold.clients.waiting", "{connection}", "Connections without a complete request.", func() int64 { return int64(l.Waiting()) }},
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
	l.Closed = func(r connlimit.Reason) {
		c.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", r.String())))
	}
	l.Report = func(r connlimit.Report) {
		log.Warn("connections of clients closed", zap.Stringer("reason", r.Reason), zap.Int("count", r.Count),
			zap.Int64("largestHead", int64(r.Largest)), zap.Int64("heads", int64(r.Heads)), zap.Int("waiting", r.Waiting))
	}
	return nil
}

// WatchClients adds the metrics of the connections of clients that a limiter closes, and logs them.
func (t *Gateway) WatchClients(l *connlimit.Limiter, log *zap.Logger) error {
	return watchClients(t.meter, l, log)
}

// WatchClients adds the metrics of the connections of clients that a limiter closes, and logs them.
func (t *Telemetry) WatchClients(l *connlimit.Limiter) error { return watchClients(t.meter, l, t.Log) }
