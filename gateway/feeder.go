package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/clock"
	"quetzalhold/engine"
	"quetzalhold/feed"
	"quetzalhold/platform"
	"quetzalhold/result"
)

// The pace of asking other entry VMs.
const (
	// askWait is how long an asked entry VM waits for news.
	askWait = 500 * time.Millisecond
	// maxAge is the age up to which another entry VM's news count as fresh: a
	// watch that waits in vain, and an asker in between.
	maxAge = 2200 * time.Millisecond
	// watcherPause is how often an entry VM that watches the store looks whether
	// it still has to.
	watcherPause = 300 * time.Millisecond
	// joinLimit is how long an entry VM that begins waits to learn of the others,
	// and beginLimit how long it asks them before it watches the store itself:
	// all may have begun at once, within beginTogether.
	joinLimit     = 700 * time.Millisecond
	beginLimit    = time.Second
	beginPause    = 30 * time.Millisecond
	beginTogether = 350 * time.Millisecond
)

// errStale says that another entry VM has no fresh news.
var errStale = errors.New("no fresh news")

// follow keeps the pool and the configuration up to date until ctx ends: from the
// best-ranked entry VM of the failure domain, and from the store where there is
// none better.
func (d *Daemon) follow(ctx context.Context) {
	begun := time.Now()
	joined := make(chan struct{})
	go d.join(ctx, joined)
	select {
	case <-joined:
	case <-time.After(joinLimit):
	case <-ctx.Done():
	}
	var stop context.CancelFunc
	var q feed.Question
	for ctx.Err() == nil {
		now := time.Now()
		feeder, ok := d.members.Feeder(now)
		switch {
		case ok:
			wait := askWait
			if stop != nil {
				wait = 0 // the answer tells whether the watch is needed any longer
			}
			if d.ask(ctx, feeder, &q, wait) {
				if stop != nil {
					stop()
					stop = nil
					d.log.Info("news come from another entry VM", zap.String("from", string(feeder.ID)))
				}
				d.noteAway(time.Now(), string(feeder.ID), nil)
				continue
			}
			if time.Since(begun) < beginLimit {
				// It has begun at the same moment.
				d.members.Heard(now, feeder)
				_ = clock.Sleep(ctx, beginPause) // the loop sees the end of ctx
				continue
			}
			if stop == nil && time.Since(d.news.FreshAt()) > maxAge {
				stop = d.startWatching(ctx)
			}
		case stop == nil:
			stop = d.startWatching(ctx)
		default:
			d.watched(ctx, now)
		}
	}
}

// watched does what is due now and then at an entry VM that watches the store.
func (d *Daemon) watched(ctx context.Context, now time.Time) {
	d.askElsewhere(ctx)
	own := d.usage(now)
	if sum, tellers := d.members.Usage(now, own); tellers > 1 {
		d.setOthers(now, sum, own)
	}
	_ = clock.Sleep(ctx, watcherPause) // the loop sees the end of ctx
}

// startWatching watches the store until the function that it returns is called.
func (d *Daemon) startWatching(ctx context.Context) context.CancelFunc {
	ctx, stop := context.WithCancel(ctx)
	d.log.Info("watching the store", zap.Int("members", d.members.Count()))
	d.watch(ctx)
	return stop
}

// ask asks a member for news since q and takes them over. It reports whether they
// are fresh.
func (d *Daemon) ask(ctx context.Context, m feed.Member, q *feed.Question, wait time.Duration) bool {
	q.Asker, q.Config = d.members.Self, 0
	if t := d.table.Load(); t != nil {
		q.Config = t.Version
	}
	q.Wait, q.Usage, q.Hung, q.Ran = wait, d.usage(time.Now()), d.drainHung(), d.drainRan()
	a, err := d.client.Ask(ctx, m, *q)
	now := time.Now()
	if err == nil && (a.Away || a.Age() > maxAge) {
		err = errStale
	}
	if ctx.Err() != nil {
		return false
	}
	switch {
	case errors.Is(err, errStale):
		d.members.Stale(now, m.ID)
		// A newer configuration and a verdict hold without the store.
		if a.Config != nil {
			d.use(*a.Config, string(a.Self.ID))
		}
		d.takeMoves(now, a.Moves, false, string(a.Self.ID))
	case err != nil:
		d.members.Failed(now, m.ID)
		d.putBack(q.Ran)
	}
	if err != nil {
		d.log.Info("no news from entry VM", zap.String("from", string(m.ID)), zap.Int64("ageMs", a.AgeMs), zap.Bool("away", a.Away), zap.Error(err))
		return false
	}
	d.members.Heard(now, a.Self)
	d.members.Note(now, a.Members...)
	d.takeNews(now, &a)
	if a.Self.Domain == d.members.Self.Domain {
		d.setOthers(now, a.Usage, q.Usage)
	}
	d.news.Fresh(now.Add(-a.Age()))
	*q = q.Changed(&a)
	return true
}

// takeNews applies another entry VM's answer.
func (d *Daemon) takeNews(now time.Time, a *feed.Answer) {
	if a.Config != nil {
		d.use(*a.Config, string(a.Self.ID))
	}
	if a.MovesSeq > 0 {
		d.takeMoves(now, a.Moves, true, string(a.Self.ID))
	}
	if a.Whole {
		servers := make([]backend.Server, 0, len(a.Words))
		for i := range a.Words {
			servers = append(servers, a.Words[i].Server)
		}
		// What may have lapsed is among the words.
		applied, removed := d.replaceServers(now, now, a.Revision, servers)
		for _, w := range a.Words {
			if w.Gone {
				d.dropServer(now, w.Server.ID, w.Server.Revision, w.GoneAt(now), string(a.Self.ID))
			}
		}
		d.log.Info("servers taken over", zap.String("from", string(a.Self.ID)), zap.Int("servers", len(servers)), zap.Int("applied", len(applied)), zap.Int("removed", len(removed)))
		return
	}
	for _, w := range a.Words {
		switch {
		case w.Hung:
			d.pool.Hung(w.Server.ID, w.Server.Start, now)
		case w.Gone:
			d.dropServer(now, w.Server.ID, w.Server.Revision, w.GoneAt(now), string(a.Self.ID))
		default:
			d.applyServer(w.Server, string(a.Self.ID))
		}
	}
	d.news.Known(a.Revision)
}

// maxHung bounds the hung servers that wait to be told of.
const maxHung = 64

// foundHung notes a server that a request found to hang, to tell the others of the
// failure domain.
func (d *Daemon) foundHung(c backend.Choice) {
	h := feed.Hung{ID: c.ID, Start: c.Start}
	d.news.Add(h.Word())
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.hung) < maxHung {
		d.hung = append(d.hung, h)
	}
}

// drainHung returns the hung servers to tell of.
func (d *Daemon) drainHung() []feed.Hung {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.hung
	d.hung = nil
	return h
}

// takeHung takes over the hung servers that another entry VM found.
func (d *Daemon) takeHung(list []feed.Hung) {
	now := time.Now()
	for _, h := range list {
		d.pool.Hung(h.ID, h.Start, now)
		d.news.Add(h.Word())
		d.log.Info("server hangs", zap.String("server", string(h.ID)), zap.Uint64("start", uint64(h.Start)))
	}
}

// askElsewhere asks an entry VM of any failure domain where the store is away
// from this one: it may have turned away just some.
func (d *Daemon) askElsewhere(ctx context.Context) {
	if !d.health.isAway() {
		return
	}
	if m, ok := d.members.Elsewhere(time.Now()); ok {
		var q feed.Question
		d.ask(ctx, m, &q, 0)
	}
}

// join makes this entry VM known and learns of the others, from the store or,
// where it is away, from the seeds. It closes joined when it knows of them.
func (d *Daemon) join(ctx context.Context, joined chan<- struct{}) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := d.register(ctx)
		if err == nil {
			close(joined)
			return
		}
		d.log.Info("not joined yet", zap.Error(err))
		for _, s := range d.settings.Load().Seeds {
			q := feed.Question{}
			d.ask(ctx, feed.Member{ID: feed.MemberID(s), Address: s}, &q, 0)
		}
		_ = clock.Sleep(ctx, backoff) // the loop sees the end of ctx
		backoff = min(2*backoff, maxBackoff)
	}
}

// register reads the entries of all entry VMs and greets those that are new. Where
// this one's is missing it writes it, and reads again what others that begin at the
// same time have written.
func (d *Daemon) register(ctx context.Context) error {
	listed, err := d.readEntries(ctx, true)
	if err != nil || listed {
		return err
	}
	self := d.members.Self
	err = d.store.Create(ctx, platform.EntryVMs, string(self.ID), self)
	if err != nil && result.CodeOf(err) != result.VersionConflict { // the list may be old
		return err
	}
	_ = clock.Sleep(ctx, beginTogether) // the call sees the end of ctx
	_, err = d.readEntries(ctx, false)
	return err
}

// readEntries takes over the entries of all entry VMs and reports whether this
// one's is among them. A stale list is cheap, and suffices where all have been
// there before.
func (d *Daemon) readEntries(ctx context.Context, stale bool) (listed bool, err error) {
	page, err := d.store.List(ctx, platform.EntryVMs, stale)
	if err != nil {
		return false, err
	}
	self := d.members.Self
	var all []feed.Member
	for i := range page.Objects {
		var m feed.Member
		if err := json.Unmarshal(page.Objects[i].Spec, &m); err != nil {
			d.log.Warn("entry of an entry VM ignored", zap.String("name", page.Objects[i].Name()), zap.Error(err))
			continue
		}
		if m.ID == self.ID && m != self {
			// It came back with another address.
			if err := d.store.Delete(ctx, platform.EntryVMs, string(self.ID)); err != nil && result.CodeOf(err) != result.ObjectMissing {
				return false, err
			}
			continue
		}
		listed = listed || m == self
		all = append(all, m)
	}
	d.greet(ctx, d.members.Note(time.Now(), all...))
	return listed, nil
}

// greet makes this entry VM known to those of its failure domain.
func (d *Daemon) greet(ctx context.Context, list []feed.Member) {
	for _, m := range list {
		if m.Domain != d.members.Self.Domain {
			continue
		}
		go func() {
			if a, err := d.client.Ask(ctx, m, feed.Question{Asker: d.members.Self, Begun: true}); err == nil {
				d.members.Heard(time.Now(), a.Self)
			}
		}()
	}
}

// applyServer takes over a server's entry.
func (d *Daemon) applyServer(s backend.Server, from string) {
	if !d.pool.Apply(s) {
		return
	}
	d.noteBegun()
	d.news.Add(feed.Word{Server: s})
	d.log.Info("server", zap.String("server", string(s.ID)), zap.String("service", string(s.Service)), zap.String("address", s.Address),
		zap.Uint64("start", uint64(s.Start)), zap.String("version", string(s.Version)), zap.Bool("draining", s.Draining), zap.String("from", from))
}

// dropServer takes over that a server's entry is gone.
func (d *Daemon) dropServer(now time.Time, id engine.ServerID, rev backend.Revision, at time.Time, from string) {
	if !d.pool.Remove(id, rev, at) {
		return
	}
	d.news.Add(feed.GoneWord(id, rev, now, at))
	d.log.Info("server entry removed", zap.String("server", string(id)), zap.Time("goneAt", at), zap.String("from", from))
}
