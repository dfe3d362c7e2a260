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
)

// The pace of watching the store.
const (
	// watchWait is how long a watch waits for a change. A connection that has gone
	// silent is noticed a little later, which is within the bounds of leaving
	// servers and configurations.
	watchWait = time.Second
	// watchRetryWait is how long it waits after a failed call: the next call is to
	// show soon whether the store is back.
	watchRetryWait = 50 * time.Millisecond
	// watchInterval is the least time between two calls of a watch: changes come in
	// bursts, and each call is priced.
	watchInterval = 800 * time.Millisecond
	// The pauses after a failed call.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// minStandbyBackoff is the least pause of an entry VM that is not the first of its
	// failure domain: while the store is away the first one tries for all, and the
	// others only in case the store turns that one away. Together they try every
	// politeShare, however many they are.
	minStandbyBackoff = 2 * time.Second
	standbyInterval   = 900 * time.Millisecond
	// storePollInterval is how often the other watches look whether the store is back
	// while the watch of servers tries.
	storePollInterval = 100 * time.Millisecond
)

// storeHealth knows how this entry VM stands with the store, or with whom it asks
// for news instead. Its zero value knows nothing.
type storeHealth struct {
	mu     sync.Mutex
	okAt   map[platform.Kind]time.Time // of the last call that succeeded
	recoveredAt time.Time                   // when it was last found back
	down   bool
}

// recordSuccess notes a call that succeeded, and returns since when all kinds are known.
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

// setDown takes over whether the store is away and reports whether that is new.
func (h *storeHealth) setDown(now time.Time, away bool) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down && !away {
		h.recoveredAt = now
	}
	changed = h.down != away
	h.down = away
	return changed
}

// isDown reports whether the store was last found away.
func (h *storeHealth) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// missingEntryGrace is how long after the store's return an entry that is missing is kept:
// live servers whose entries lapsed meanwhile are back in about two seconds.
const missingEntryGrace = 2500 * time.Millisecond

// removalTime returns when a server counts as gone whose entry is missing now.
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
	tried := make(chan struct{}) // closed after the first call
	go d.watchKind(ctx, platform.Servers, d.applyServerList, d.applyServerChange, func() { close(tried) })
	go func() {
		if d.table.Load() != nil {
			d.awaitFirstCall(ctx, tried, d.standbyBackoff())
		}
		d.watchKind(ctx, platform.Configuration, d.applyConfigList, d.applyConfigChange, func() {})
	}()
	go func() {
		d.awaitFirstCall(ctx, tried, orderWatchWait)
		d.watchMoves(ctx)
	}()
	go d.decideMoves(ctx)
}

// awaitFirstCall waits until the first call has been tried, and the store is there or limit
// is over: what can wait does not try a store that is away.
func (d *Daemon) awaitFirstCall(ctx context.Context, tried <-chan struct{}, limit time.Duration) {
	select {
	case <-tried:
		d.awaitStore(ctx, limit)
	case <-ctx.Done():
	}
}

// standbyBackoff returns the pause between tries of a store that is away, of an entry VM
// that is not the first of its failure domain.
func (d *Daemon) standbyBackoff() time.Duration {
	return max(minStandbyBackoff, time.Duration(len(d.members.InDomain()))*standbyInterval)
}

// watchKind lists a kind of objects and watches it from there on. It calls tried after
// the first call.
func (d *Daemon) watchKind(ctx context.Context, k platform.Kind, list func(platform.Page), change func(platform.Change), tried func()) {
	backoff := minBackoff
	var once sync.Once
	wait := func() {
		if !d.members.First() {
			backoff = d.standbyBackoff()
		}
		limit := max(minStandbyBackoff, backoff)
		// The loop sees the end of ctx.
		_ = clock.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
		if k != platform.Servers {
			d.awaitStore(ctx, limit)
		}
	}
	for ctx.Err() == nil {
		page, err := d.store.List(ctx, k, false)
		d.recordStoreCall(ctx, k, err)
		once.Do(tried)
		if err != nil {
			wait()
			continue
		}
		list(page)
		rev := page.Revision
		watch := watchWait
		for ctx.Err() == nil {
			start := time.Now()
			c, err := d.store.Watch(ctx, k, rev, watch)
			d.recordStoreCall(ctx, k, err)
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
				change(ch)
			}
			rev = max(rev, c.Revision)
			if k == platform.Servers {
				d.changes.Known(rev)
			}
			_ = clock.Until(ctx, start.Add(watchInterval)) // the loop sees the end of ctx
		}
	}
}

// awaitStore waits until the store is back, as far as other watches know, but not
// longer than limit: theirs may fail for reasons of their own.
func (d *Daemon) awaitStore(ctx context.Context, limit time.Duration) {
	until := time.Now().Add(limit)
	for ctx.Err() == nil && d.health.isDown() && time.Now().Before(until) {
		_ = clock.Sleep(ctx, storePollInterval) // the loop sees the end of ctx
	}
}

// recordStoreCall takes over a call's outcome.
func (d *Daemon) recordStoreCall(ctx context.Context, k platform.Kind, err error) {
	if ctx.Err() != nil || result.CodeOf(err) == result.HistoryGone {
		return
	}
	now := time.Now()
	if err == nil {
		d.changes.Fresh(d.health.recordSuccess(k, now))
	}
	d.recordReachability(now, "store", err)
}

// recordReachability logs when the store, or whom is asked instead, is lost or regained.
func (d *Daemon) recordReachability(now time.Time, source string, err error) {
	d.changes.SetAway(err != nil)
	if !d.health.setDown(now, err != nil) {
		return
	}
	if err != nil {
		d.log.Warn("store lost", zap.String("source", source), zap.Error(err))
	} else {
		d.log.Info("store regained", zap.String("source", source))
	}
}

func (d *Daemon) applyServerList(page platform.Page) {
	var servers []backend.Server
	for i := range page.Objects {
		if s, ok := d.readServer(&page.Objects[i]); ok {
			servers = append(servers, s)
		}
	}
	now := time.Now()
	goneAt := d.health.removalTime(now)
	applied, removed := d.replaceServers(now, goneAt, page.Revision, servers)
	d.log.Info("servers listed", zap.Int("servers", len(servers)), zap.Int("applied", len(applied)), zap.Any("removed", removed), zap.Time("goneAt", goneAt))
}

// signalLoaded lets requests in once a configuration and servers are known.
func (d *Daemon) signalLoaded() {
	if d.table.Load() != nil && d.pool.Size() > 0 {
		d.loadedOnce.Do(func() { close(d.loaded) })
	}
}

// replaceServers makes a list the entries that stand as of a revision, and passes on
// what that changes.
func (d *Daemon) replaceServers(now, goneAt time.Time, rev backend.Revision, list []backend.Server) (applied, removed []engine.ServerID) {
	applied, removed = d.pool.Replace(now, goneAt, rev, list)
	d.publishServers(now, goneAt, applied, removed)
	d.changes.Known(rev)
	d.signalLoaded()
	return applied, removed
}

// publishServers adds what a list changed to the news.
func (d *Daemon) publishServers(now, goneAt time.Time, applied, removed []engine.ServerID) {
	for _, id := range applied {
		if v, ok := d.pool.View(id, now); ok {
			d.changes.Add(feed.Word{Server: v.Server})
		}
	}
	for _, id := range removed {
		if v, ok := d.pool.View(id, now); ok {
			d.changes.Add(feed.GoneWord(id, v.Revision, now, goneAt))
		}
	}
}

func (d *Daemon) readServer(o *platform.Object) (backend.Server, bool) {
	s, err := platform.ReadServer(o)
	if err != nil {
		d.log.Warn("entry ignored", zap.String("server", o.Name()), zap.Error(err))
		return s, false
	}
	return s, true
}

func (d *Daemon) applyServerChange(c platform.Change) {
	now := time.Now()
	if s, ok := d.readServer(&c.Object); ok && !c.Removed {
		d.applyServer(s, "store")
		return
	}
	id, rev := engine.ServerID(c.Object.Name()), c.Object.Revision()
	if v, ok := d.pool.View(id, now); ok && rev == 0 {
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
		d.log.Error("configuration refused", zap.Error(err))
		return
	}
	d.applyConfig(config, "store")
}

// applyConfig puts a configuration in force unless a newer one is.
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
