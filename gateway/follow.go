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
	// retryWait is how long it waits after a failed call: the next call is to
	// show soon whether the store is back.
	retryWait = 50 * time.Millisecond
	// watchPace is the least time between two calls of a watch: changes come in
	// bursts, and each call is priced.
	watchPace = 800 * time.Millisecond
	// The pauses after a failed call.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// politeBackoff is the least pause of an entry VM that is not the first of its
	// failure domain: while the store is away the first one tries for all, and the
	// others only in case the store turns that one away. Together they try every
	// politeShare, however many they are.
	politeBackoff = 2 * time.Second
	politeShare   = 900 * time.Millisecond
	// awayPause is how often the other watches look whether the store is back
	// while the watch of servers tries.
	awayPause = 100 * time.Millisecond
)

// storeHealth knows how this entry VM stands with the store, or with whom it asks
// for news instead. Its zero value knows nothing.
type storeHealth struct {
	mu     sync.Mutex
	okAt   map[platform.Kind]time.Time // of the last call that succeeded
	backAt time.Time                   // when it was last found back
	away   bool
}

// ok notes a call that succeeded, and returns since when all kinds are known.
func (h *storeHealth) ok(k platform.Kind, now time.Time) time.Time {
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

// note takes over whether the store is away and reports whether that is new.
func (h *storeHealth) note(now time.Time, away bool) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.away && !away {
		h.backAt = now
	}
	changed = h.away != away
	h.away = away
	return changed
}

// isAway reports whether the store was last found away.
func (h *storeHealth) isAway() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.away
}

// lapseFor is how long after the store's return an entry that is missing is kept:
// live servers whose entries lapsed meanwhile are back in about two seconds.
const lapseFor = 2500 * time.Millisecond

// goneAt returns when a server counts as gone whose entry is missing now.
func (h *storeHealth) goneAt(now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.away {
		return now.Add(lapseFor)
	}
	if until := h.backAt.Add(lapseFor); until.After(now) {
		return until
	}
	return now
}

// watch keeps the pool and the configuration up to date from the store until ctx
// ends. It returns at once.
func (d *Daemon) watch(ctx context.Context) {
	tried := make(chan struct{}) // closed after the first call
	go d.watchKind(ctx, platform.Servers, d.listServers, d.changeServer, func() { close(tried) })
	go func() {
		if d.table.Load() != nil {
			d.awaitTry(ctx, tried, d.politePause())
		}
		d.watchKind(ctx, platform.Configuration, d.listConfigs, d.changeConfig, func() {})
	}()
	go func() {
		d.awaitTry(ctx, tried, moveWait)
		d.watchMoves(ctx)
	}()
	go d.decideMoves(ctx)
}

// awaitTry waits until the first call has been tried, and the store is there or limit
// is over: what can wait does not try a store that is away.
func (d *Daemon) awaitTry(ctx context.Context, tried <-chan struct{}, limit time.Duration) {
	select {
	case <-tried:
		d.awaitStore(ctx, limit)
	case <-ctx.Done():
	}
}

// politePause returns the pause between tries of a store that is away, of an entry VM
// that is not the first of its failure domain.
func (d *Daemon) politePause() time.Duration {
	return max(politeBackoff, time.Duration(len(d.members.InDomain()))*politeShare)
}

// watchKind lists a kind of objects and watches it from there on. It calls tried after
// the first call.
func (d *Daemon) watchKind(ctx context.Context, k platform.Kind, list func(platform.Page), change func(platform.Change), tried func()) {
	backoff := minBackoff
	var once sync.Once
	wait := func() {
		if !d.members.RanksFirst() {
			backoff = d.politePause()
		}
		limit := max(politeBackoff, backoff)
		// The loop sees the end of ctx.
		_ = clock.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
		if k != platform.Servers {
			d.awaitStore(ctx, limit)
		}
	}
	for ctx.Err() == nil {
		page, err := d.store.List(ctx, k, false)
		d.noteStore(ctx, k, err)
		once.Do(tried)
		if err != nil {
			wait()
			continue
		}
		list(page)
		rev := page.Revision
		watch := watchWait
		for ctx.Err() == nil {
			begun := time.Now()
			c, err := d.store.Watch(ctx, k, rev, watch)
			d.noteStore(ctx, k, err)
			if result.CodeOf(err) == result.HistoryGone {
				break
			}
			if err != nil {
				watch = retryWait
				wait()
				continue
			}
			backoff, watch = minBackoff, watchWait
			for _, ch := range c.Changes {
				change(ch)
			}
			rev = max(rev, c.Revision)
			if k == platform.Servers {
				d.news.Known(rev)
			}
			_ = clock.Until(ctx, begun.Add(watchPace)) // the loop sees the end of ctx
		}
	}
}

// awaitStore waits until the store is back, as far as other watches know, but not
// longer than limit: theirs may fail for reasons of their own.
func (d *Daemon) awaitStore(ctx context.Context, limit time.Duration) {
	until := time.Now().Add(limit)
	for ctx.Err() == nil && d.health.isAway() && time.Now().Before(until) {
		_ = clock.Sleep(ctx, awayPause) // the loop sees the end of ctx
	}
}

// noteStore takes over a call's outcome.
func (d *Daemon) noteStore(ctx context.Context, k platform.Kind, err error) {
	if ctx.Err() != nil || result.CodeOf(err) == result.HistoryGone {
		return
	}
	now := time.Now()
	if err == nil {
		d.news.Fresh(d.health.ok(k, now))
	}
	d.noteAway(now, "store", err)
}

// noteAway logs when the store, or whom is asked instead, is lost or regained.
func (d *Daemon) noteAway(now time.Time, source string, err error) {
	d.news.SetAway(err != nil)
	if !d.health.note(now, err != nil) {
		return
	}
	if err != nil {
		d.log.Warn("store lost", zap.String("source", source), zap.Error(err))
	} else {
		d.log.Info("store regained", zap.String("source", source))
	}
}

func (d *Daemon) listServers(page platform.Page) {
	var servers []backend.Server
	for i := range page.Objects {
		if s, ok := d.readServer(&page.Objects[i]); ok {
			servers = append(servers, s)
		}
	}
	now := time.Now()
	goneAt := d.health.goneAt(now)
	applied, removed := d.replaceServers(now, goneAt, page.Revision, servers)
	d.log.Info("servers listed", zap.Int("servers", len(servers)), zap.Int("applied", len(applied)), zap.Any("removed", removed), zap.Time("goneAt", goneAt))
}

// noteBegun lets requests in once a configuration and servers are known.
func (d *Daemon) noteBegun() {
	if d.table.Load() != nil && d.pool.Size() > 0 {
		d.begunOnce.Do(func() { close(d.begun) })
	}
}

// replaceServers makes a list the entries that stand as of a revision, and passes on
// what that changes.
func (d *Daemon) replaceServers(now, goneAt time.Time, rev backend.Revision, list []backend.Server) (applied, removed []engine.ServerID) {
	applied, removed = d.pool.Replace(now, goneAt, rev, list)
	d.tell(now, goneAt, applied, removed)
	d.news.Known(rev)
	d.noteBegun()
	return applied, removed
}

// tell adds what a list changed to the news.
func (d *Daemon) tell(now, goneAt time.Time, applied, removed []engine.ServerID) {
	for _, id := range applied {
		if v, ok := d.pool.View(id, now); ok {
			d.news.Add(feed.Update{Server: v.Server})
		}
	}
	for _, id := range removed {
		if v, ok := d.pool.View(id, now); ok {
			d.news.Add(feed.Removal(id, v.Revision, now, goneAt))
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

func (d *Daemon) changeServer(c platform.Change) {
	now := time.Now()
	if s, ok := d.readServer(&c.Object); ok && !c.Removed {
		d.applyServer(s, "store")
		return
	}
	id, rev := engine.ServerID(c.Object.Name()), c.Object.Revision()
	if v, ok := d.pool.View(id, now); ok && rev == 0 {
		rev = v.Revision // the event names no revision
	}
	d.dropServer(now, id, rev, d.health.goneAt(now), "store")
}

func (d *Daemon) listConfigs(page platform.Page) {
	for i := range page.Objects {
		d.changeConfig(platform.Change{Object: page.Objects[i]})
	}
}

func (d *Daemon) changeConfig(c platform.Change) {
	if c.Removed || !c.Object.IsConfiguration() {
		return
	}
	config, err := platform.ReadConfig(c.Object.Spec)
	if err != nil {
		d.log.Error("configuration refused", zap.Error(err))
		return
	}
	d.use(config, "store")
}

// use puts a configuration in force unless a newer one is.
func (d *Daemon) use(c routing.Config, from string) {
	t := routing.NewTable(c)
	for {
		old := d.table.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if d.table.CompareAndSwap(old, t) {
			d.news.SetConfig(&t.Config)
			d.noteBegun()
			d.log.Info("configuration in force", zap.Int64("version", int64(c.Version)), zap.String("from", from), zap.Int("routes", len(c.Routes)))
			return
		}
	}
}
