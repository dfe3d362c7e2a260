package entry

import "quetzalhold/connlimit"

// initClients sets up the limits of clients. The limits of the process are unknown to it.
func (d *Daemon) initClients() error {
	s := d.settings.Clients
	d.clients.Limits = connlimit.Limits{HeadMemory: connlimit.Bytes(s.HeadMemoryMB) * 1_000_000, Connections: s.IdleConnections}.Or(connlimit.DefaultLimits(0, 0))
	return d.telemetry.WatchClients(&d.clients)
}

// headLimit returns the limit on the bytes read for a head.
func (d *Daemon) headLimit() connlimit.Bytes {
	if h := d.settings.Clients.HeadBytes; h > 0 {
		return connlimit.HeadLimit(connlimit.Bytes(h))
	}
	return connlimit.HeadLimit(headerReadFactor * connlimit.Bytes(d.settings.Limits.WithDefaults().MaxHeaderBytes))
}
