package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
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

// Timing of the polls among entry VMs.
const (
	// pollWait is how long a polled entry VM may hold the request while it has no
	// changes.
	pollWait = 500 * time.Millisecond
	// maxAge is the age up to which another entry VM's state counts as fresh. It allows
	// for a watch call that ends without a change, and for a poll between the two entry
	// VMs.
	maxAge = 2200 * time.Millisecond
	// watcherInterval is how often an entry VM that watches the store checks whether it
	// still has to.
	watcherInterval = 300 * time.Millisecond
	// joinTimeout is how long a starting entry VM waits to learn of the others.
	// startupGrace is how long after the start it goes on polling one that has no fresh
	// state, with startupRetryDelay between the polls, before it watches the store
	// itself: all may have started at once, within startSkew.
	joinTimeout       = 700 * time.Millisecond
	startupGrace      = time.Second
	startupRetryDelay = 100 * time.Millisecond
	startSkew         = 350 * time.Millisecond
	// firstPollLimit is how long an entry VM that knows nothing waits for another one's list of
	// servers before it watches the store beside: the other one's link may be slow, and many may
	// wait for it.
	firstPollLimit = time.Second
)

// errStale means that another entry VM has no fresh state: what it has is too old, or
// it has lost its source.
var errStale = errors.New("entry VM has no fresh state")

// follow keeps the pool and the configuration up to date until ctx ends: from its
// upstream, the best-ranked entry VM of the failure domain, or from the store if no
// better-ranked entry VM has fresh state.
func (d *Daemon) follow(ctx context.Context) {
	start := time.Now()
	joined := make(chan struct{})
	telemetry.Go(d.log, "join", func() { d.join(ctx, joined) })
	select {
	case <-joined:
	case <-time.After(joinTimeout):
	case <-ctx.Done():
	}
	var stop context.CancelFunc
	var p position
	for ctx.Err() == nil {
		now := time.Now()
		upstream, ok := d.members.Upstream(now)
		switch {
		case ok:
			wait := d.moves.nextReport(now, pollWait).Sub(now)
			if stop != nil {
				wait = 0 // the answer only shows whether the watch is still needed
			}
			fresh, stopWatch := d.pollOrWatch(ctx, upstream, &p, wait, stop != nil)
			if stopWatch != nil {
				stop = stopWatch
			}
			if fresh {
				if stop != nil {
					stop()
					stop = nil
					d.log.Info("following another entry VM", zap.String("from", string(upstream.ID)))
				}
				d.recordReachability(time.Now(), string(upstream.ID), nil)
				continue
			}
			if time.Since(start) < startupGrace {
				// It may have started at the same moment: poll it again.
				d.members.MarkFresh(now, upstream)
				// The loop condition checks ctx.
				_ = clock.Sleep(ctx, startupRetryDelay/2+rand.N(startupRetryDelay))
				continue
			}
			if stop == nil && time.Since(d.changes.FreshAt()) > maxAge {
				stop = d.startWatching(ctx)
			}
		case stop == nil:
			stop = d.startWatching(ctx)
		default:
			d.watcherTick(ctx)
		}
	}
}

// watcherTick does the periodic work of an entry VM that watches the store, and waits
// for watcherInterval.
func (d *Daemon) watcherTick(ctx context.Context) {
	d.pollAnyDomain(ctx)
	_ = clock.Sleep(ctx, watcherInterval) // the loop condition checks ctx
}

// startWatching watches the store until the function that it returns is called.
func (d *Daemon) startWatching(ctx context.Context) context.CancelFunc {
	ctx, stop := context.WithCancel(ctx)
	d.log.Info("watching the store", zap.Int("members", d.members.Count()))
	d.watch(ctx)
	return stop
}

// position is a request for the changes since a position in the log of an entry VM.
type position struct {
	feed.Request
	of feed.MemberID // empty for none
}

// pollOrWatch is like poll. If this entry VM knows nothing yet, does not watch the store and m takes long
// to answer, pollOrWatch starts to watch the store and returns the function that ends that.
func (d *Daemon) pollOrWatch(ctx context.Context, m feed.Member, p *position, wait time.Duration, watching bool) (fresh bool, stop context.CancelFunc) {
	if watching || d.isLoaded() {
		return d.poll(ctx, m, p, wait), nil
	}
	started := make(chan context.CancelFunc, 1)
	late := time.AfterFunc(firstPollLimit, func() {
		stop, _ := telemetry.GuardValue(d.log, "start of watches", func() (context.CancelFunc, error) { return d.startWatching(ctx), nil })
		started <- stop // nil if it has not started
	})
	fresh = d.poll(ctx, m, p, wait)
	if late.Stop() {
		return fresh, nil
	}
	return fresh, <-started
}

// poll asks member m for the changes since p and applies them. It reports whether m's
// state is fresh; p advances only then.
func (d *Daemon) poll(ctx context.Context, m feed.Member, p *position, wait time.Duration) bool {
	if p.of != m.ID && !d.probe(ctx, m) {
		return false
	}
	q := &p.Request
	q.From, q.Config = d.members.Self, d.configVersion()
	q.Wait, q.Counts = wait, d.drainCounts()
	reports := d.drainReports()
	q.Hung, q.Leaving, q.ServerLimits = reports.hung, reports.leaving, feed.ServerLimits(time.Now(), reports.limits)
	q.NewCrashes, q.ClearedCrashes = d.quarantine.Report(maxCrashReports)
	a, err := d.client.Fetch(ctx, m, *q)
	now := time.Now()
	if err == nil && !d.isFresh(&a) {
		err = errStale
	}
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		if !errors.Is(err, errStale) {
			d.requeueCounts(q.Counts)
			d.requeueReports(reports)
		}
		p.of = "" // it may have started again
		d.pollFailed(now, m, &a, err)
		return false
	}
	d.members.MarkFresh(now, a.Self)
	d.members.Add(now, a.Members...)
	d.guard("update from "+string(m.ID), func() { d.applyUpdate(now, &a) })
	d.moves.setListed(now)
	d.changes.SetFreshAt(now.Add(-a.Age()))
	*p = position{q.Next(&a), m.ID}
	return true
}

// probe asks member m briefly for its state before it is asked for the list of all servers. It reports
// whether to ask for that, which is not so while m is starting. Of several dozen entry VMs that start together, one has to tell all others
// that it has no fresh state yet; with a list each time, that takes seconds on a slow link, and delays
// its own calls.
func (d *Daemon) probe(ctx context.Context, m feed.Member) bool {
	a, err := d.client.Fetch(ctx, m, feed.Request{From: d.members.Self, Config: d.configVersion(), Brief: true})
	switch {
	case ctx.Err() != nil:
		return false
	case err != nil:
	case a.NeverFresh() && !d.health.isDown():
		err = errStale
	default:
		return true // what it knows is of use even if it has lost the store
	}
	d.pollFailed(time.Now(), m, &a, err)
	return false
}

// isFresh reports whether another entry VM's state is up to date.
func (d *Daemon) isFresh(a *feed.Response) bool {
	return !a.Disconnected && a.Age() <= maxAge && a.Revision.Era >= d.changes.Revision().Era
}

// pollFailed records that member m has not answered, or that its state is not fresh as err says, and
// applies what is valid of its answer.
func (d *Daemon) pollFailed(now time.Time, m feed.Member, a *feed.Response, err error) {
	d.log.Info("no fresh state from entry VM", zap.String("from", string(m.ID)), zap.Int64("ageMs", a.AgeMs), zap.Bool("away", a.Disconnected), zap.Error(err))
	if !errors.Is(err, errStale) {
		d.members.MarkFailed(now, m.ID)
		return
	}
	d.members.MarkStale(now, m.ID)
	// A newer configuration and what is known of version moves are valid even if
	// m has lost the store.
	if a.Config != nil {
		d.applyConfig(*a.Config, string(a.Self.ID))
	}
	d.applyMoves(now, a.Moves, false, string(a.Self.ID))
	d.applyCrashes(a.Crashes, false, a.Self)
	d.members.Add(now, a.Members...)
	if !d.isLoaded() && a.Full {
		// Servers that may have left meanwhile are better than none.
		d.guard("update from "+string(m.ID), func() { d.applyUpdate(now, a) })
	}
}

// configVersion returns the version of the configuration in force; 0 for none.
func (d *Daemon) configVersion() routing.Version {
	if t := d.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// applyUpdate applies another entry VM's answer.
func (d *Daemon) applyUpdate(now time.Time, a *feed.Response) {
	if a.Config != nil {
		d.applyConfig(*a.Config, string(a.Self.ID))
	}
	if a.MovesSeq > 0 {
		d.applyMoves(now, a.Moves, true, string(a.Self.ID))
	}
	if a.CrashesSeq > 0 {
		d.applyCrashes(a.Crashes, true, a.Self)
	}
	if a.Full {
		servers := make([]backend.Server, 0, len(a.Updates))
		for i := range a.Updates {
			servers = append(servers, a.Updates[i].Server)
		}
		// Servers that are missing here are removed at once: those whose entries may
		// only have expired during an outage are in the list, with a time of removal.
		applied, removed := d.replaceServers(now, now, a.Revision, servers)
		for _, w := range a.Updates {
			if w.Removed {
				d.removeServer(now, w.Server.ID, w.Server.Revision, w.RemoveAt(now), string(a.Self.ID))
			}
			d.applyNamedLimit(now, &w, string(a.Self.ID))
		}
		d.log.Info("full server list applied", zap.String("from", string(a.Self.ID)), zap.Int("servers", len(servers)), zap.Int("applied", len(applied)), zap.Int("removed", len(removed)))
		return
	}
	for _, w := range a.Updates {
		switch {
		case w.Hung:
			d.pool.MarkHung(w.Server.ID, w.Server.Start, now)
		case w.Removed:
			d.removeServer(now, w.Server.ID, w.Server.Revision, w.RemoveAt(now), string(a.Self.ID))
		default:
			d.applyServer(w.Server, string(a.Self.ID))
			d.applyNamedLimit(now, &w, string(a.Self.ID))
		}
	}
	d.changes.SetRevision(a.Revision)
}

// serverReports is what servers were found to be or have said here, to be reported with the next
// poll of another entry VM.
type serverReports struct {
	hung    []feed.ServerStart
	leaving []feed.ServerStart // have said that they are leaving
	limits  []backend.RateLimit
}

// maxReports bounds the reports of each kind that are queued for the next poll.
const maxReports = 64

// reportHung records a server that a request found to be hung, so that it is reported
// to the other entry VMs of the failure domain.
func (d *Daemon) reportHung(c backend.Choice) {
	s := feed.ServerStart{ID: c.ID, Start: c.Start}
	d.changes.Add(time.Now(), s.HungUpdate())
	d.requeueReports(serverReports{hung: []feed.ServerStart{s}})
}

// reportLeaving records a server whose answer said that it is leaving, so that it is
// reported to the other entry VMs of the failure domain.
func (d *Daemon) reportLeaving(c backend.Choice) {
	d.publishServer(c.ID)
	d.requeueReports(serverReports{leaving: []feed.ServerStart{{ID: c.ID, Start: c.Start}}})
}

// reportLimit records that a server's answer has shown another limit, so that it is reported to
// the other entry VMs of the failure domain.
func (d *Daemon) reportLimit(l backend.RateLimit) {
	d.publishServer(l.Server)
	d.requeueReports(serverReports{limits: []backend.RateLimit{l}})
}

// applyLimits applies the limits that servers have named to another entry VM.
func (d *Daemon) applyLimits(list []feed.ServerLimit) {
	now := time.Now()
	for _, l := range list {
		d.applyLimit(l.At(now, l.ID, l.Start), "report")
	}
}

// applyNamedLimit applies the limit that an update states, if any.
func (d *Daemon) applyNamedLimit(now time.Time, w *feed.Update, from string) {
	if w.Limit != nil {
		d.applyLimit(w.Limit.At(now, w.Server.ID, w.Server.Start), from)
	}
}

func (d *Daemon) applyLimit(l backend.RateLimit, from string) {
	if d.pool.SetLimit(l) {
		d.publishServer(l.Server)
		d.log.Info("server limit", zap.String("server", string(l.Server)), zap.Uint64("start", uint64(l.Start)), zap.Float64("perSecond", float64(l.Rate)), zap.String("from", from))
	}
}

// publishServer publishes the current state of a server to other entry VMs.
func (d *Daemon) publishServer(id engine.ServerID) {
	now := time.Now()
	if v, ok := d.pool.View(id, now); ok {
		d.changes.Add(now, feed.ServerUpdate(now, &v))
	}
}

// drainReports returns the queued reports and empties the queues.
func (d *Daemon) drainReports() serverReports {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.reports
	d.reports = serverReports{}
	return all
}

// requeueReports queues reports for the next poll. The latest are dropped if there are too
// many.
func (d *Daemon) requeueReports(more serverReports) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &d.reports
	r.hung = appendUpTo(r.hung, more.hung)
	r.leaving = appendUpTo(r.leaving, more.leaving)
	r.limits = appendUpTo(r.limits, more.limits)
}

// appendUpTo appends to a queue of reports as many as fit.
func appendUpTo[T any](queue, more []T) []T {
	return append(queue, more[:min(len(more), maxReports-len(queue))]...)
}

// applyLeaving applies the reports of leaving servers from another entry VM.
func (d *Daemon) applyLeaving(list []feed.ServerStart) {
	for _, s := range list {
		if d.pool.MarkLeaving(s.ID, s.Start) {
			d.publishServer(s.ID)
			d.log.Info("server reported as leaving", zap.String("server", string(s.ID)), zap.Uint64("start", uint64(s.Start)))
		}
	}
}

// fetchConfig fetches the configuration of another entry VM, which has a newer one. The
// store may have been restored from a copy that lacks it.
func (d *Daemon) fetchConfig(from feed.Member) {
	if !d.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	telemetry.Go(d.log, "newer configuration", func() {
		defer d.fetchingConfig.Store(false)
		a, err := d.client.Fetch(context.Background(), from, feed.Request{From: d.members.Self, Config: d.configVersion(), Brief: true})
		if err != nil {
			d.log.Info("newer configuration not fetched", zap.String("from", string(from.ID)), zap.Error(err))
			return
		}
		if a.Config != nil {
			d.applyConfig(*a.Config, string(a.Self.ID))
		}
	})
}

// applyHung applies the reports of hung servers from another entry VM.
func (d *Daemon) applyHung(list []feed.ServerStart) {
	now := time.Now()
	for _, h := range list {
		d.pool.MarkHung(h.ID, h.Start, now)
		d.changes.Add(now, h.HungUpdate())
		d.log.Info("server reported as hung", zap.String("server", string(h.ID)), zap.Uint64("start", uint64(h.Start)))
	}
}

// pollAnyDomain polls an entry VM of any failure domain while this one cannot reach the
// store: the store may be refusing only some entry VMs.
func (d *Daemon) pollAnyDomain(ctx context.Context) {
	if !d.health.isDown() {
		return
	}
	if m, ok := d.members.Random(time.Now()); ok {
		d.poll(ctx, m, &position{}, 0)
	}
}

// join registers this entry VM and learns of the others, from the store or, while that
// is unreachable, from the seeds. It closes joined once it is registered and knows the
// others.
func (d *Daemon) join(ctx context.Context, joined chan<- struct{}) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := d.register(ctx)
		if err == nil {
			close(joined)
			return
		}
		d.log.Info("not registered in the store yet", zap.Error(err))
		for _, s := range d.settings.Load().Seeds {
			d.poll(ctx, feed.Member{ID: feed.MemberID(s), Address: s}, &position{}, 0)
		}
		_ = clock.Sleep(ctx, backoff) // the loop condition checks ctx
		backoff = min(2*backoff, maxBackoff)
	}
}

// register reads the entries of all entry VMs and announces this one to those that are
// new. If this one's entry is missing, register writes it and reads again, to find the
// entries that others starting at the same time have written.
func (d *Daemon) register(ctx context.Context) error {
	listed, err := d.readEntries(ctx, true)
	if err != nil || listed {
		return err
	}
	self := d.members.Self
	err = d.store.Create(ctx, platform.EntryVMs, string(self.ID), self)
	// On a conflict the entry exists, and the list was stale.
	if err != nil && result.CodeOf(err) != result.VersionConflict {
		return err
	}
	_ = clock.Sleep(ctx, startSkew) // the next call checks ctx
	_, err = d.readEntries(ctx, false)
	return err
}

// readEntries records the members from the entries of all entry VMs and reports whether
// this one's is among them. A stale list is cheap, and suffices if all entry VMs were
// registered before.
func (d *Daemon) readEntries(ctx context.Context, stale bool) (listed bool, err error) {
	page, err := d.list(ctx, platform.EntryVMs, stale)
	if err != nil {
		return false, err
	}
	self := d.members.Self
	var all []feed.Member
	for i := range page.Objects {
		var m feed.Member
		if err := json.Unmarshal(page.Objects[i].Spec, &m); err != nil {
			d.log.Warn("malformed entry of an entry VM ignored", zap.String("name", page.Objects[i].Name()), zap.Error(err))
			continue
		}
		if m.ID == self.ID && m != self {
			// This entry VM restarted with another address: delete the old entry.
			if err := d.store.Delete(ctx, platform.EntryVMs, string(self.ID)); err != nil && result.CodeOf(err) != result.ObjectMissing {
				return false, err
			}
			continue
		}
		listed = listed || m == self
		all = append(all, m)
	}
	d.announce(ctx, d.members.Add(time.Now(), all...))
	return listed, nil
}

// announce makes this entry VM known to those of list that are in its failure domain.
func (d *Daemon) announce(ctx context.Context, list []feed.Member) {
	for _, m := range list {
		if m.Domain != d.members.Self.Domain {
			continue
		}
		telemetry.Go(d.log, "announcement", func() {
			if a, err := d.client.Fetch(ctx, m, feed.Request{From: d.members.Self, Starting: true, Brief: true}); err == nil {
				d.members.MarkFresh(time.Now(), a.Self)
			}
		})
	}
}

// applyServer applies a server's entry to the pool and publishes it to other entry VMs.
func (d *Daemon) applyServer(s backend.Server, from string) {
	if !d.pool.Apply(s) {
		return
	}
	d.signalLoaded()
	d.publishServer(s.ID)
	d.log.Info("server", zap.String("server", string(s.ID)), zap.String("service", string(s.Service)), zap.String("address", s.Address),
		zap.Uint64("start", uint64(s.Start)), zap.String("version", string(s.Version)), zap.Bool("draining", s.Draining), zap.String("from", from))
}

// removeServer records that a server's entry is missing, so that the server counts as
// removed from at on, and publishes that to other entry VMs.
func (d *Daemon) removeServer(now time.Time, id engine.ServerID, rev backend.Revision, at time.Time, from string) {
	if !d.pool.Remove(id, rev, at) {
		return
	}
	d.changes.Add(now, feed.Removal(id, rev, now, at))
	d.log.Info("server entry removed", zap.String("server", string(id)), zap.Time("goneAt", at), zap.String("from", from))
}
