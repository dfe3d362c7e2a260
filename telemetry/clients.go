package telemetry

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// ClientGauges holds functions about connections of clients that are called when the metrics are scraped.
type ClientGauges struct {
	Heads   func() int64 // memory of unfinished heads, in bytes
	Waiting func() int   // connections without a complete request
}

// newClients adds the metrics of connections of clients. It returns a function that counts a connection that was
// closed.
func newClients(m metric.Meter, g ClientGauges) (closed func(reason string), err error) {
	c, err := m.Int64Counter("quetzalhold.clients.closed", metric.WithUnit("{connection}"),
		metric.WithDescription("Connections of clients closed to keep a limit, by reason."))
	if err != nil {
		return nil, fmt.Errorf("instrument clients.closed: %w", err)
	}
	for _, x := range []struct {
		name, unit, text string
		read             func() int64
	}{
		{"quetzalhold.clients.heads", "By", "Memory of unfinished request heads.", g.Heads},
		{"quetzalhold.clients.waiting", "{connection}", "Connections without a complete request.", func() int64 { return int64(g.Waiting()) }},
	} {
		_, err := m.Int64ObservableGauge(x.name, metric.WithUnit(x.unit), metric.WithDescription(x.text),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(x.read())
				return nil
			}))
		if err != nil {
			return nil, fmt.Errorf("instrument %s: %w", x.name, err)
		}
	}
	return func(reason string) {
		c.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
	}, nil
}

// WatchClients adds the metrics of connections of clients. It returns a function that counts a connection that was
// closed.
func (t *Gateway) WatchClients(g ClientGauges) (closed func(reason string), err error) {
	return newClients(t.meter, g)
}

// WatchClients adds the metrics of connections of clients. It returns a function that counts a connection that was
// closed.
func (t *Telemetry) WatchClients(g ClientGauges) (closed func(reason string), err error) {
	return newClients(t.meter, g)
}
