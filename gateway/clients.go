package gateway

import (
	"cmp"

	"quetzalhold/connlimit"
	"quetzalhold/settings"
)

// initClients sets up the limits of clients. Those over all connections are those of the settings at the start.
func (d *Daemon) initClients(s *settings.Gateway) error {
	set := connlimit.Limits{HeadMemory: connlimit.Bytes(s.Clients.HeadMemoryMB) * megabyte, Connections: s.Clients.IdleConnections}
	d.clients.Limits = set.Or(connlimit.DefaultLimits(connlimit.Bytes(s.MemoryMB)*megabyte, s.MaxFDs))
	d.relay.UnfinishedBodies = d.clients.Limits.Connections
	return d.metrics.WatchClients(&d.clients, d.log)
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
