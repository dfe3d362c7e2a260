package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/routing"
)

// handleRestart is called when c's address seems to be answered by another start of a
// server than the one in the pool. While the store is reachable, the entry of the new
// start comes from there; while it is unreachable, handleRestart queries the server's
// identity. Only engines are added this way, and only if exactly one service has
// engines: the address of a plain server may by now belong to another service, and only
// the entry would show that.
func (d *Daemon) handleRestart(c backend.Choice) {
	if !d.health.isDown() {
		return
	}
	t := d.table.Load()
	if t == nil {
		return
	}
	s, ok := soleEngineService(t)
	if !ok || s.Name != c.Service {
		return
	}
	if _, busy := d.identifying.LoadOrStore(c.Address, true); busy {
		return
	}
	go func() {
		defer d.identifying.Delete(c.Address)
		d.guard("identification of a server", func() { d.identify(c, s.HealthPath) })
	}()
}

// soleEngineService returns the service that has engines if there is exactly one.
func soleEngineService(t *routing.Table) (*routing.Service, bool) {
	var found *routing.Service
	for i := range t.Services {
		if t.Services[i].Model == nil {
			continue
		}
		if found != nil {
			return nil, false
		}
		found = &t.Services[i]
	}
	return found, found != nil
}

// identifyTimeout bounds the two calls that query a server's identity.
const identifyTimeout = 400 * time.Millisecond

// identify queries the identity of the server at c's address and adds the server to the
// pool.
func (d *Daemon) identify(c backend.Choice, healthPath string) {
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	s := c.Server
	rep, err := d.relay.Report(ctx, c)
	if err == nil {
		s.ID, err = d.relay.Identify(ctx, c, healthPath)
	}
	if err != nil {
		d.log.Info("restarted server not identified", zap.String("address", c.Address), zap.Error(err))
		return
	}
	if !rep.Ready || rep.Start <= c.Start || s.ID == "" || s.ID == c.ID {
		return
	}
	s.Start, s.Revision = rep.Start, backend.Revision{}
	if d.pool.Apply(s) {
		d.log.Info("restarted server added while the store is unreachable", zap.String("server", string(s.ID)),
			zap.String("before", string(c.ID)), zap.String("address", s.Address), zap.Uint64("start", uint64(s.Start)))
	}
}
