package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/clock"
	"quetzalhold/engine"
	"quetzalhold/move"
	"quetzalhold/platform"
	"quetzalhold/result"
	"quetzalhold/routing"
)

// Timing of the checks for orders.
const (
	// orderListInterval and orderListCalls are the interval between the calls for a list of orders,
	// and their number: a kept connection may have gone silent.
	orderListInterval = 300 * time.Millisecond
	orderListCalls    = 3
	// orderCheckLimit is how long an entry VM that starts waits for a list of orders, and
	// orderCheckTime how long the watch of servers does: others may have left meanwhile.
	orderCheckLimit = 1500 * time.Millisecond
	orderCheckTime  = 500 * time.Millisecond
)

// orderChecks are requests to list the orders of version moves now. The zero value has none.
type orderChecks struct {
	mu      sync.Mutex
	waiting []chan<- error
	asked   chan struct{} // closed when a list is asked for
}

// wake asks for a list; its outcome is sent to done, unless done is nil.
func (o *orderChecks) wake(done chan<- error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if done != nil {
		o.waiting = append(o.waiting, done)
	}
	if o.asked != nil {
		close(o.asked)
		o.asked = nil
	}
}

// begin returns who has asked for a list so far, and a channel that is closed when the next one does.
func (o *orderChecks) begin() (waiting []chan<- error, asked <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	waiting, o.waiting = o.waiting, nil
	if o.asked == nil {
		o.asked = make(chan struct{})
	}
	return waiting, o.asked
}

// watchMoves follows the operator's orders to move services until ctx ends.
func (d *Daemon) watchMoves(ctx context.Context) {
	var era backend.Era
	var relistAt time.Time // until then orders that the list lacks are kept; zero unless the store was just restored
	for ctx.Err() == nil {
		waiting, asked := d.orders.begin()
		page, err := clock.Hedge(ctx, orderListInterval, orderListCalls, func(ctx context.Context) (platform.Page, error) {
			return d.store.List(ctx, platform.Moves, false)
		})
		rev := page.Revision
		if err == nil {
			switch now := time.Now(); {
			case era < rev.Era && len(d.moves.list(now)) > 0:
				relistAt = now.Add(restoredOrderHold)
			case !now.Before(relistAt):
				relistAt = time.Time{}
			}
			era = rev.Era
			d.applyMoveList(page, relistAt.IsZero())
			d.moves.setListed(time.Now())
		}
		for _, done := range waiting {
			done <- err
		}
		for err == nil && ctx.Err() == nil && (relistAt.IsZero() || time.Now().Before(relistAt)) && !isClosed(asked) {
			wait := orderWatchWait
			if len(d.moves.active()) > 0 {
				wait = watchWait // a connection that has gone silent is noticed sooner
			}
			start := time.Now()
			var c platform.Changes
			c, err = d.watchUntil(ctx, asked, rev, wait)
			for _, ch := range c.Changes {
				d.applyMoveChange(ch, false)
			}
			rev = backend.Latest(rev, c.Revision)
			if err == nil {
				// A watch that ends at once must not be repeated at once.
				_ = clock.Until(ctx, start.Add(watchInterval)) // the loop condition checks ctx
			}
		}
		if ctx.Err() == nil && err != nil && result.CodeOf(err) != result.HistoryGone && !isClosed(asked) {
			d.log.Info("orders of version moves not received", zap.Error(err))
			_ = clock.Sleep(ctx, maxBackoff) // the loop condition checks ctx
			d.awaitStore(ctx, orderWatchWait)
		}
	}
}

// watchUntil watches the orders until a list is asked for.
func (d *Daemon) watchUntil(ctx context.Context, asked <-chan struct{}, rev backend.Revision, wait time.Duration) (platform.Changes, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-asked:
			cancel()
		case <-ctx.Done():
		}
	}()
	return d.store.Watch(ctx, platform.Moves, rev, wait)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// renewWatches replaces calls that may wait long, and kept connections, after calls to the store have
// failed: connections may have gone silent, of which only those with short calls show it soon.
func (d *Daemon) renewWatches() {
	d.store.CloseIdle()
	d.orders.wake(nil)
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
