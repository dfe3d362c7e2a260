package entry

import (
	"cmp"

	"go.uber.org/zap"

	"quetzalhold/connlimit"
	"quetzalhold/telemetry"
)

// initClients sets up the limits of clients. The limits of the process are unknown to it.
func (d *Daemon) initClients() error {
	l, s := connlimit.DefaultLimits(0, 0), d.settings.Clients
	l.HeadMemory = cmp.Or(connlimit.Bytes(s.HeadMemoryMB)*1_000_000, l.HeadMemory)
	l.Connections = cmp.Or(s.IdleConnections, l.Connections)
	d.clients.Limits = l
	closed, err := d.telemetry.WatchClients(telemetry.ClientGauges{
		Heads:   func() int64 { return int64(d.clients.Heads()) },
		Waiting: d.clients.Waiting,
	})
	if err != nil {
		return err
	}
	d.clients.Closed = func(r connlimit.Reason) { closed(r.String()) }
	d.clients.Report = func(r connlimit.Report) {
		d.telemetry.Log.Warn("connections of clients closed", zap.Stringer("reason", r.Reason), zap.Int("count", r.Count),
			zap.Int64("largestHead", int64(r.Largest)), zap.Int64("heads", int64(r.Heads)), zap.Int("waiting", r.Waiting))
	}
	return nil
}

// headLimit returns the limit on the bytes read for a head.
func (d *Daemon) headLimit() connlimit.Bytes {
	if h := d.settings.Clients.HeadBytes; h > 0 {
		return connlimit.HeadLimit(connlimit.Bytes(h))
	}
	return connlimit.HeadLimit(headerReadFactor * connlimit.Bytes(d.settings.Limits.WithDefaults().MaxHeaderBytes))
}
