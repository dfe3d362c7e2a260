package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/clock"
	"quetzalhold/engine"
	"quetzalhold/feed"
	"quetzalhold/platform"
	"quetzalhold/result"
	"quetzalhold/routing"
	"quetzalhold/telemetry"
)

// Timing of the watch of the store.
const (
	// watchWait is how long a watch call waits for a change. A connection that has gone
	// silent is noticed a little later, which is within the bounds for servers that
	// leave and for new configurations.
	watchWait = time.Second
	// watchRetryWait replaces watchWait after a failed call: the next call is to show
	// soon whether the store is back.
	watchRetryWait = 50 * time.Millisecond
	// watchInterval is the least time between two calls of a watch: changes come in
	// bursts, and each call is priced.
	watchInterval = 800 * time.Millisecond
	// The backoff after failed calls.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// minStandbyBackoff is the least backoff of an entry VM that is not the best-ranked
	// of its failure domain. While the store is unreachable, the best-ranked one
	// retries on behalf of all, and the others retry only in case the store refuses
	// that one. However many the others are, together they retry once every
	// standbyInterval.
	minStandbyBackoff = 2 * time.Second
	standbyInterval   = 900 * time.Millisecond
	// recoveryCheckInterval is how often the other watches check whether the store is back
	// while the watch of servers retries.
	recoveryCheckInterval = 100 * time.Millisecond
	// recoveryCheckLimit is how long they wait for that at most while there is no configuration.
	recoveryCheckLimit = 2 * time.Second
	// firstListInterval and firstListCalls are the interval between the calls for the first
	// list, and their number: as many as fit into the time limit of one call.
	firstListInterval = 400 * time.Millisecond
	firstListCalls    = 5
)

// storeHealth records whether this entry VM reaches the store, or the entry VM that it
// polls instead. The zero value has no calls recorded.
type storeHealth struct {
	mu          sync.Mutex
	okAt        map[platform.Kind]time.Time // of the last successful call
	recoveredAt time.Time                   // when it was last found reachable again, or restored
	down        bool
}

// recordSuccess records a successful call for kind k, and returns the earlier of the
// last successes for servers and for the configuration: as of then both are known.
func (h *storeHealth) recordSuccess(k platform.Kind, now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.okAt == nil {
		h.okAt = make(map[platform.Kind]time.Time)
	}
	h.okAt[k] = now
	oldest := now
	for _, k := range []platform.Kind{platform.Servers, platform.Configuration} {
		if h.okAt[k].Before(oldest) {
			oldest = h.okAt[k]
		}
	}
	return oldest
}

// setDown records whether the store is unreachable and reports whether that changed.
func (h *storeHealth) setDown(now time.Time, down bool) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down && !down {
		h.recoveredAt = now
	}
	changed = h.down != down
	h.down = down
	return changed
}

// recordRestore records that the store was found restored from an older copy. Entries are
// missing then as after an outage.
func (h *storeHealth) recordRestore(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recoveredAt = now
}

// isDown reports whether the store was last found unreachable.
func (h *storeHealth) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// missingEntryGrace is how long after the store's return a missing entry is kept: live
// servers whose entries expired during the outage have written them again within about
// two seconds.
const missingEntryGrace = 2500 * time.Millisecond

// removalTime returns when a server whose entry is missing now counts as removed.
func (h *storeHealth) removalTime(now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return now.Add(missingEntryGrace)
	}
	if until := h.recoveredAt.Add(missingEntryGrace); until.After(now) {
		return until
	}
	return now
}

// watch keeps the pool and the configuration up to date from the store until ctx
// ends. It returns at once.
func (d *Daemon) watch(ctx context.Context) {
	tried := make(chan struct{}) // closed after the first call for servers
	setTried := sync.OnceFunc(func() { close(tried) })
	held := make(heldServers)
	loop := func(what string, f func(context.Context)) { go telemetry.Loop(ctx, d.log, what, f) }
	loop("watch of servers", func(ctx context.Context) {
		d.watchKind(ctx, &kindWatch{
			kind: platform.Servers,
			list: func(p platform.Page) { d.applyServerList(ctx, p, held) }, change: func(c platform.Change) { d.applyServerChange(c, held) },
			tried: setTried, applied: func() { d.guard("servers of a new version", func() { d.release(ctx, held) }) },
		})
	})
	loop("watch of the configuration", func(ctx context.Context) {
		limit := d.standbyBackoff()
		if d.table.Load() == nil {
			limit = recoveryCheckLimit
		}
		d.awaitFirstCall(ctx, tried, limit)
		d.watchKind(ctx, &kindWatch{kind: platform.Configuration, list: d.applyConfigList, change: d.applyConfigChange, tried: func() {}, applied: func() {}})
	})
	loop("watch of version moves", func(ctx context.Context) {
		d.awaitFirstCall(ctx, tried, orderWatchWait)
		d.watchMoves(ctx)
	})
	loop("decisions about version moves", d.decideMoves)
	loop("watch of crashes", func(ctx context.Context) {
		d.awaitFirstCall(ctx, tried, orderWatchWait)
		d.watchCrashes(ctx)
	})
	loop("writes of crashes", d.writeCrashes)
}

// awaitFirstCall waits until tried is closed, and then until the store is reachable or
// limit has passed: calls that can wait are not sent to a store that is unreachable.
func (d *Daemon) awaitFirstCall(ctx context.Context, tried <-chan struct{}, limit time.Duration) {
	select {
	case <-tried:
		d.awaitStore(ctx, limit)
	case <-ctx.Done():
	}
}

// standbyBackoff returns the backoff of an entry VM that is not the best-ranked of its
// failure domain while the store is unreachable.
func (d *Daemon) standbyBackoff() time.Duration {
	return max(minStandbyBackoff, time.Duration(len(d.members.InDomain()))*standbyInterval)
}

// kindWatch is what is done with the objects of a kind.
type kindWatch struct {
	kind    platform.Kind
	list    func(platform.Page)
	change  func(platform.Change)
	tried   func() // called after the first call
	applied func() // called after each call that succeeded
}

// watchKind lists the objects of a kind and then watches the kind from the list's
// revision on.
func (d *Daemon) watchKind(ctx context.Context, w *kindWatch) {
	backoff := minBackoff
	var once sync.Once
	wait := func() {
		if !d.members.RanksFirst() && d.isLoaded() {
			backoff = d.standbyBackoff()
		}
		limit := max(minStandbyBackoff, backoff)
		// The loop condition checks ctx.
		_ = clock.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
		if w.kind != platform.Servers {
			d.awaitStore(ctx, limit)
		}
	}
	for ctx.Err() == nil {
		page, err := d.list(ctx, w.kind, false)
		d.recordStoreCall(ctx, w.kind, err)
		once.Do(w.tried)
		if err != nil {
			wait()
			continue
		}
		d.guard("list of "+string(w.kind), func() { w.list(page) })
		w.applied()
		rev := page.Revision
		watch := watchWait
		for ctx.Err() == nil {
			start := time.Now()
			c, err := d.store.Watch(ctx, w.kind, rev, watch)
			d.recordStoreCall(ctx, w.kind, err)
			if result.CodeOf(err) == result.HistoryGone {
				break
			}
			if err != nil {
				watch = watchRetryWait
				wait()
				continue
			}
			backoff, watch = minBackoff, watchWait
			for _, ch := range c.Changes {
				d.guard("change of "+string(w.kind), func() { w.change(ch) })
			}
			w.applied()
			rev = backend.Latest(rev, c.Revision)
			if w.kind == platform.Servers {
				d.changes.SetRevision(rev)
			}
			_ = clock.Until(ctx, start.Add(watchInterval)) // the loop condition checks ctx
		}
	}
}

// guard calls f. A panic of f is logged and has no further effect.
func (d *Daemon) guard(what string, f func()) {
	telemetry.Run(d.log, what, f)
}

// list lists the objects of a kind. As long as this entry VM knows nothing, it cannot serve, and
// the store may be silent: list then calls again without waiting for the earlier calls.
func (d *Daemon) list(ctx context.Context, k platform.Kind, stale bool) (platform.Page, error) {
	call := func(ctx context.Context) (platform.Page, error) {
		return telemetry.GuardValue(d.log, "list of "+string(k), func() (platform.Page, error) { return d.store.List(ctx, k, stale) })
	}
	if d.isLoaded() {
		return call(ctx)
	}
	return clock.Hedge(ctx, firstListInterval, firstListCalls, call)
}

// isLoaded reports whether a configuration and servers are known.
func (d *Daemon) isLoaded() bool { return isClosed(d.loaded) }

// awaitStore waits until the store is reachable as far as the other watches know, but
// not longer than limit: their calls may fail for reasons of their own.
func (d *Daemon) awaitStore(ctx context.Context, limit time.Duration) {
	until := time.Now().Add(limit)
	for ctx.Err() == nil && d.health.isDown() && time.Now().Before(until) {
		_ = clock.Sleep(ctx, recoveryCheckInterval) // the loop condition checks ctx
	}
}

// recordStoreCall records the outcome of a call to the store.
func (d *Daemon) recordStoreCall(ctx context.Context, k platform.Kind, err error) {
	if ctx.Err() != nil || result.CodeOf(err) == result.HistoryGone {
		return
	}
	now := time.Now()
	if err == nil {
		d.changes.SetFreshAt(d.health.recordSuccess(k, now))
	}
	d.recordReachability(now, "store", err)
}

// recordReachability records whether source, which is the store or the entry VM polled
// instead, is reachable, and logs when that changes.
func (d *Daemon) recordReachability(now time.Time, source string, err error) {
	d.changes.SetDisconnected(err != nil)
	if !d.health.setDown(now, err != nil) {
		return
	}
	if err != nil {
		d.log.Warn("store unreachable", zap.String("source", source), zap.Error(err))
	} else {
		d.log.Info("receiving changes again", zap.String("source", source))
		d.renewWatches()
	}
}

func (d *Daemon) applyServerList(ctx context.Context, page platform.Page, held heldServers) {
	var servers []backend.Server
	for i := range page.Objects {
		if s, ok := d.readServer(&page.Objects[i]); ok && !d.holds(held, &s) {
			servers = append(servers, s)
		}
	}
	if !d.isLoaded() {
		d.checkVersions(ctx, servers)
	}
	now := time.Now()
	if known := d.changes.Revision(); known.Era < page.Revision.Era && known.Number > 0 {
		d.health.recordRestore(now)
		d.log.Warn("the store was restored from an older copy", zap.Int64("era", int64(page.Revision.Era)), zap.Int64("eraBefore", int64(known.Era)),
			zap.Int64("revision", page.Revision.Number), zap.Int64("revisionBefore", known.Number))
		telemetry.Go(d.log, "entries of entry VMs", func() { d.restoreEntries(ctx) })
	}
	goneAt := d.health.removalTime(now)
	applied, removed := d.replaceServers(now, goneAt, page.Revision, servers)
	d.log.Info("servers listed", zap.Int("servers", len(servers)), zap.Int("applied", len(applied)), zap.Any("removed", removed), zap.Time("goneAt", goneAt))
}

// signalLoaded admits requests once a configuration and servers are known.
func (d *Daemon) signalLoaded() {
	if d.table.Load() != nil && d.pool.Size() > 0 {
		d.loadedOnce.Do(func() { close(d.loaded) })
	}
}

// replaceServers replaces the known entries by the list as of a revision and publishes
// what that changed. Servers that the list lacks count as removed from goneAt on.
func (d *Daemon) replaceServers(now, goneAt time.Time, rev backend.Revision, list []backend.Server) (applied, removed []engine.ServerID) {
	applied, removed = d.pool.Replace(now, goneAt, rev, list)
	d.publishServers(now, goneAt, applied, removed)
	d.changes.SetRevision(rev)
	d.signalLoaded()
	return applied, removed
}

// publishServers publishes to other entry VMs which servers a list added, changed or
// removed.
func (d *Daemon) publishServers(now, goneAt time.Time, applied, removed []engine.ServerID) {
	for _, id := range applied {
		if v, ok := d.pool.View(id, now); ok {
			d.changes.Add(now, feed.Update{Server: v.Server})
		}
	}
	for _, id := range removed {
		if v, ok := d.pool.View(id, now); ok {
			d.changes.Add(now, feed.Removal(id, v.Revision, now, goneAt))
		}
	}
}

// releaseHeldServers puts entries of a restored store into force that were held back and
// that their servers have not written again.
func (d *Daemon) releaseHeldServers(now time.Time) {
	for _, s := range d.pool.ReleaseHeld(now) {
		d.publishServer(s.ID)
		d.log.Info("entry of the restored store in force", zap.String("server", string(s.ID)), zap.Bool("draining", s.Draining))
	}
}

// restoreEntries writes again the entries of this failure domain's entry VMs that the
// restored store lacks.
func (d *Daemon) restoreEntries(ctx context.Context) {
	page, err := d.store.List(ctx, platform.EntryVMs, false)
	if err != nil {
		d.log.Warn("entries of entry VMs not checked after the store was restored", zap.Error(err))
		return
	}
	listed := make(map[string]bool, len(page.Objects))
	for i := range page.Objects {
		listed[page.Objects[i].Name()] = true
	}
	for _, m := range append(d.members.InDomain(), d.members.Self) {
		if listed[string(m.ID)] {
			continue
		}
		err := d.store.Create(ctx, platform.EntryVMs, string(m.ID), m)
		d.log.Info("entry of an entry VM written again", zap.String("member", string(m.ID)), zap.Error(err))
	}
}

func (d *Daemon) readServer(o *platform.Object) (backend.Server, bool) {
	s, err := platform.ReadServer(o)
	if err != nil {
		d.log.Warn("malformed server entry ignored", zap.String("server", o.Name()), zap.Error(err))
		return s, false
	}
	return s, true
}

func (d *Daemon) applyServerChange(c platform.Change, held heldServers) {
	now := time.Now()
	if s, ok := d.readServer(&c.Object); ok && !c.Removed {
		if !d.holds(held, &s) {
			d.applyServer(s, "store")
		}
		return
	}
	delete(held, engine.ServerID(c.Object.Name()))
	id, rev := engine.ServerID(c.Object.Name()), c.Object.Revision()
	if v, ok := d.pool.View(id, now); ok && rev.Number == 0 {
		rev = v.Revision // the event names no revision
	}
	d.removeServer(now, id, rev, d.health.removalTime(now), "store")
}

func (d *Daemon) applyConfigList(page platform.Page) {
	for i := range page.Objects {
		d.applyConfigChange(platform.Change{Object: page.Objects[i]})
	}
}

func (d *Daemon) applyConfigChange(c platform.Change) {
	if c.Removed || !c.Object.IsConfiguration() {
		return
	}
	config, err := platform.ReadConfig(c.Object.Spec)
	if err != nil {
		d.log.Error("invalid configuration ignored", zap.Error(err))
		return
	}
	d.applyConfig(config, "store")
}

// applyConfig puts a configuration in force unless the current one is as new.
func (d *Daemon) applyConfig(c routing.Config, from string) {
	t := routing.NewTable(c)
	for {
		old := d.table.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if d.table.CompareAndSwap(old, t) {
			d.changes.SetConfig(&t.Config)
			d.signalLoaded()
			d.log.Info("configuration in force", zap.Int64("version", int64(c.Version)), zap.String("from", from), zap.Int("routes", len(c.Routes)))
			return
		}
	}
}
