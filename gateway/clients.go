package gateway

import (
	"cmp"

	"go.uber.org/zap"

	"quetzalhold/connlimit"
	"quetzalhold/settings"
	"quetzalhold/telemetry"
)

// initClients sets up the limits of clients. Those over all connections are those of the settings at the start.
func (d *Daemon) initClients(s *settings.Gateway) error {
	l := connlimit.DefaultLimits(connlimit.Bytes(s.MemoryMB)*megabyte, s.MaxFDs)
	l.HeadMemory = cmp.Or(connlimit.Bytes(s.Clients.HeadMemoryMB)*megabyte, l.HeadMemory)
	l.Connections = cmp.Or(s.Clients.IdleConnections, l.Connections)
	d.clients.Limits = l
	d.relay.UnfinishedBodies = l.Connections
	closed, err := d.metrics.WatchClients(telemetry.ClientGauges{
		Heads:   func() int64 { return int64(d.clients.Heads()) },
		Waiting: d.clients.Waiting,
	})
	if err != nil {
		return err
	}
	d.clients.Closed = func(r connlimit.Reason) { closed(r.String()) }
	d.clients.Report = func(r connlimit.Report) {
		d.log.Warn("connections of clients closed", zap.Stringer("reason", r.Reason), zap.Int("count", r.Count),
			zap.Int64("largestHead", int64(r.Largest)), zap.Int64("heads", int64(r.Heads)), zap.Int("waiting", r.Waiting))
	}
	return nil
}

// configuredHeaders returns the limit of the configuration in force on headers; 0 for none.
func (d *Daemon) configuredHeaders() connlimit.Bytes {
	if t := d.table.Load(); t != nil {
		return connlimit.Bytes(t.Limits.HeaderBytes)
	}
	return 0
}

// callerHead returns the limit in force on the heads of callers.
func (d *Daemon) callerHead() connlimit.Bytes {
	limit := cmp.Or(d.configuredHeaders(), connlimit.Bytes(d.settings.Load().Clients.HeadBytes), connlimit.CallerHead)
	return connlimit.HeadLimit(limit)
}

// peerHead returns the limit in force on the heads of other entry VMs. They hand over callers' headers, and report the
// state of many servers in a query, up to the limit of net/http that older builds have.
func (d *Daemon) peerHead() connlimit.Bytes {
	return connlimit.HeadLimit(connlimit.CallerHead + d.configuredHeaders())
}

// probeHead returns the limit on the heads of probes and scrapes.
func (d *Daemon) probeHead() connlimit.Bytes { return connlimit.HeadLimit(connlimit.ProbeHead) }
