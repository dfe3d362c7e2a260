package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/move"
	"quetzalhold/platform"
	"quetzalhold/routing"
)

// Timing of the checks for orders.
const (
	// orderCheckLimit is how long an entry VM that starts waits for a list of orders, and
	// orderCheckTime how long the watch of servers does: others may have left meanwhile.
	orderCheckLimit = 1500 * time.Millisecond
	orderCheckTime  = 500 * time.Millisecond
)

// watchMoves follows the operator's orders to move services until ctx ends.
func (d *Daemon) watchMoves(ctx context.Context) {
	var era backend.Era
	var relistAt time.Time // until then orders that the list lacks are kept; zero unless the store was just restored
	d.watchRare(ctx, &rareWatch{
		kind: platform.Moves, what: "orders of version moves", requests: &d.orders,
		list: func(page platform.Page) time.Time {
			switch now := time.Now(); {
			case era < page.Revision.Era && len(d.moves.list(now)) > 0:
				relistAt = now.Add(restoredOrderHold)
			case !now.Before(relistAt):
				relistAt = time.Time{}
			}
			era = page.Revision.Era
			d.applyMoveList(page, relistAt.IsZero())
			d.moves.setListed(time.Now())
			return relistAt
		},
		change: func(c platform.Change) { d.applyMoveChange(c, false) },
		wait: func() time.Duration {
			if len(d.moves.active()) > 0 {
				return watchWait // a connection that has gone silent is noticed sooner
			}
			return orderWatchWait
		},
	})
}

// checkOrders waits until the orders were listed.
func (d *Daemon) checkOrders(ctx context.Context) error {
	done := make(chan error, 1)
	d.orders.wake(done)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// heldServers are the entries of servers whose version is new to their service, until the orders were
// listed since: one of them may be for that version, and its channel may have gone silent.
type heldServers map[engine.ServerID]backend.Server

// isUnordered reports whether a server's version is new to its service, which has servers of another
// version, and no order for it is known.
func (d *Daemon) isUnordered(s *backend.Server, now time.Time) bool {
	is := func(v engine.Version) bool { return v == s.Version }
	return !s.Draining && !d.moves.isOrdered(s.Service, s.Version) && !d.pool.HasUsable(s.Service, now, is) &&
		d.pool.HasUsable(s.Service, now, func(v engine.Version) bool { return !is(v) })
}

// holds keeps a server's entry back if its version is unordered. It reports whether it does.
func (d *Daemon) holds(held heldServers, s *backend.Server) bool {
	delete(held, s.ID)
	if !d.isUnordered(s, time.Now()) {
		return false
	}
	held[s.ID] = *s
	return true
}

// release applies the entries that were held back, once the orders were listed.
func (d *Daemon) release(ctx context.Context, held heldServers) {
	if len(held) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderCheckTime)
	defer cancel()
	err := d.checkOrders(ctx)
	d.log.Info("orders listed for servers of a new version", zap.Int("servers", len(held)), zap.Error(err))
	if err != nil {
		return // they wait for the next call of the watch
	}
	for _, s := range held {
		d.applyServer(s, "store")
	}
	clear(held)
}

// checkVersions lists the orders if the first list of servers has several versions of a service.
func (d *Daemon) checkVersions(ctx context.Context, list []backend.Server) {
	first := make(map[routing.ServiceName]engine.Version)
	unordered := func(s backend.Server) bool {
		v, ok := first[s.Service]
		first[s.Service] = s.Version
		return ok && v != s.Version && !d.moves.isOrdered(s.Service, s.Version) && !d.moves.isOrdered(s.Service, v)
	}
	if !slices.ContainsFunc(list, unordered) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderCheckLimit)
	defer cancel()
	if err := d.checkOrders(ctx); err != nil {
		d.log.Info("orders not known for several versions", zap.Error(err))
	}
}

// isOrdered reports whether a service has a move to a version.
func (m *moves) isOrdered(service routing.ServiceName, v engine.Version) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	sm := m.all[service]
	return sm != nil && sm.plan.To == v
}

// withdraw keeps requests from the version of a move that another order replaces, or whose order is gone,
// if the version is known to be bad: its servers may be there for a while. The caller holds m.mu.
func (m *moves) withdraw(service routing.ServiceName, sm *serviceMove, replaced bool) {
	if sm.isBad() || replaced && sm.plan.State == move.Started {
		m.withdrawVersion(service, sm.plan.To)
	}
}

// withdrawVersion keeps requests from a version until it is ordered. The caller holds m.mu.
func (m *moves) withdrawVersion(service routing.ServiceName, v engine.Version) {
	if m.withdrawn == nil {
		m.withdrawn = make(map[routing.ServiceName]map[engine.Version]bool)
	}
	if m.withdrawn[service] == nil {
		m.withdrawn[service] = make(map[engine.Version]bool)
	}
	m.withdrawn[service][v] = true
}

// withdrawnOf returns the versions of a service that were withdrawn.
func (m *moves) withdrawnOf(service routing.ServiceName) []engine.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.withdrawn[service]))
}

// unlessWithdrawn returns a function that allows the versions that were not withdrawn; nil for all if
// there are no others.
func (d *Daemon) unlessWithdrawn(service routing.ServiceName, now time.Time) func(engine.Version) bool {
	withdrawn := d.moves.withdrawn[service]
	if len(withdrawn) == 0 {
		return nil
	}
	withdrawn = maps.Clone(withdrawn)
	allowed := func(v engine.Version) bool { return !withdrawn[v] }
	if !d.pool.HasUsable(service, now, allowed) {
		return nil
	}
	return allowed
}
