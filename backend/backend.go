// Package backend tracks the backend servers of every service: which servers exist, what state
// each one is in, and which one is to handle a request. It does no I/O: its decisions depend
// only on an instant and typed inputs.
package backend

import (
	"cmp"
	"net/netip"
	"sync"
	"time"

	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/result"
	"quetzalhold/routing"
)

// Server is a backend server's entry in the store.
type Server struct {
	ID       engine.ServerID     `json:"id"`
	Service  routing.ServiceName `json:"service"`
	Address  string              `json:"address"`
	Domain   names.ID            `json:"domain"`
	Version  engine.Version      `json:"version"` // software version
	Start    engine.Incarnation  `json:"start"`
	Slots    int                 `json:"slots"`
	Draining bool                `json:"draining,omitempty"`
	// Leaving is set once an answer of this start of the server has said that it is
	// leaving. It stays set, whatever the entry says; Draining is then set too.
	Leaving bool `json:"leaving,omitempty"`
	// Sequence is the number of heartbeats that the server had sent since its start when it
	// wrote the entry.
	Sequence int64         `json:"sequence,omitempty"`
	ColdFor  time.Duration `json:"coldForNs,omitempty"` // remaining time in which the server is slow after its start
	// Revision is the store's revision at the entry's last change. Updates about a server
	// arrive over several paths; the one with the highest revision wins. It is zero for a
	// server without an entry.
	Revision
}

// Era counts how often the platform's store was restored from an older copy.
type Era int64

// Revision is a revision of the platform's store. It increases with every change. Since a
// restored store assigns the same numbers again, revisions are ordered by era first.
type Revision struct {
	Era    Era   `json:"era,omitempty"`
	Number int64 `json:"revision"`
}

// Compare returns -1, 0 or 1 if r comes before, is equal to or comes after o.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// Before reports whether r comes before o.
func (r Revision) Before(o Revision) bool { return r.Compare(o) < 0 }

// Latest returns the later of two revisions.
func Latest(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}

// Check returns the first reason why the server cannot be used, or nil.
func (s *Server) Check() error {
	a, err := netip.ParseAddrPort(s.Address)
	if err != nil {
		return result.Wrap(result.NotIPNumber, err, "address of %s", s.ID).WithField("address")
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return result.New(result.NotIPNumber, "address of %s: %s", s.ID, s.Address).WithField("address")
	}
	if s.Service == "" {
		return result.New(result.MissingField, "%s has no service", s.ID).WithField("service")
	}
	return nil
}

// Pool holds the backend servers of all services. The zero value is an empty pool. Its methods
// are safe for concurrent use.
type Pool struct {
	// OnShort is called if a request lacks a permit for a server with a limit; it may be nil, and
	// must not block.
	OnShort func()
	// Seed differs between entry VMs, so that they don't all choose the same of several equal servers.
	Seed string
	// EntryVMs returns the number of entry VMs; nil for one.
	EntryVMs func() int

	mu       sync.RWMutex
	groups   map[routing.ServiceName]*group
	services map[engine.ServerID]routing.ServiceName
}

// group holds the servers of one service under a lock of its own.
type group struct {
	mu      sync.Mutex
	servers map[engine.ServerID]*state
	crowd   crowd
}

// state is a server with what this entry VM knows about it.
type state struct {
	Server
	// removeAt is the time from which the server counts as removed; zero while its entry
	// exists.
	removeAt time.Time
	// replaced is set when this start of the server is known to have ended because a different
	// start answers at its address.
	replaced bool
	// superseded is set while the entry of a later start claims its address.
	superseded bool
	// misdirectedUntil is until when it is left out because a request for it was refused in the name of another.
	misdirectedUntil time.Time
	// held is an entry that was read after a restore of the store but is older than what is
	// known; nil if there is none. It is applied at heldUntil if the server has not written
	// another one by then.
	held      *Server
	heldUntil time.Time
	// retryAt is when the server accepts requests again, after it has refused one.
	retryAt time.Time
	// limit is the rate of requests that the server takes from all entry VMs.
	limit rateLimit
	// load is this entry VM's in-flight load at the server.
	load Load

	respondedAt time.Time // when something last arrived from the server
	failedAt    time.Time // time of the last failure; zero if the server has responded since
	failures    int       // consecutive failures
	// unanswered is set while nothing has arrived from the server since a request that it did not answer.
	unanswered bool
	checking   bool // its health is being checked
	// dial is the usual time to open a connection; zero if none has been opened yet.
	dial time.Duration
}

// Load is the in-flight requests at a server and the KV cache that they occupy there.
type Load struct {
	Requests int
	Pending  int // requests among them that have not produced output yet
	Tokens   engine.Tokens
	Prefill  engine.Tokens // prompt tokens of the pending requests that the server is to prefill
}

func (w *Load) add(o Load) {
	w.Requests += o.Requests
	w.Pending += o.Pending
	w.Tokens += o.Tokens
	w.Prefill += o.Prefill
}

func (p *Pool) group(n routing.ServiceName) *group {
	p.mu.RLock()
	g := p.groups[n]
	p.mu.RUnlock()
	if g != nil {
		return g
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if g = p.groups[n]; g != nil {
		return g
	}
	if p.groups == nil {
		p.groups = make(map[routing.ServiceName]*group)
		p.services = make(map[engine.ServerID]routing.ServiceName)
	}
	g = &group{servers: make(map[engine.ServerID]*state)}
	p.groups[n] = g
	return g
}

// groupOf returns the group that contains a server, or nil if the server is unknown.
func (p *Pool) groupOf(id engine.ServerID) *group {
	p.mu.RLock()
	defer p.mu.RUnlock()
	n, ok := p.services[id]
	if !ok {
		return nil
	}
	return p.groups[n]
}

// Apply stores a server's entry and reports whether the entry is new or differs from the
// previous one.
func (p *Pool) Apply(s Server) bool {
	g := p.group(s.Service)
	p.mu.Lock()
	old, known := p.services[s.ID]
	p.services[s.ID] = s.Service
	p.mu.Unlock()
	if known && old != s.Service {
		p.group(old).forget(s.ID)
	}
	return g.apply(s)
}

func (g *group) apply(s Server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	st := g.servers[s.ID]
	learned := false // that the server is leaving
	if st != nil && st.Start == s.Start {
		learned = s.Leaving && !st.Leaving
		s.Leaving = s.Leaving || st.Leaving
	}
	s.Draining = s.Draining || s.Leaving
	if learned {
		st.Leaving, st.Draining = true, true
	}
	switch {
	case st == nil:
		st = &state{Server: s}
		g.servers[s.ID] = st
	case s.Revision.Before(st.Revision) || s.Revision == st.Revision && !st.removeAt.IsZero():
		return learned // the entry is older than what is already known
	case st.outdates(s):
		st.held = &s
		return learned
	case st.Start < s.Start:
		// The server restarted under the same id and has lost all its state. In-flight
		// requests stay counted until they end.
		st.Server, st.removeAt, st.replaced, st.retryAt = s, time.Time{}, false, time.Time{}
		st.clearFailures()
		st.limit, st.superseded, st.misdirectedUntil = rateLimit{}, false, time.Time{}
	case st.Server == s:
		return learned
	default:
		// A server that has ended sends no heartbeats.
		st.superseded = st.superseded && s.Sequence <= st.Sequence
		st.Server, st.removeAt = s, time.Time{}
	}
	st.held, st.heldUntil = nil, time.Time{}
	g.supersede(s)
	return true
}

// outdates reports whether what is known about the server is newer than an entry of a later
// era: the store was restored from a copy that lacks the server's last writes. What a server
// writes is ordered by its start and its heartbeats. Where these are equal, an entry does not
// undo that the server is draining or removed.
func (st *state) outdates(s Server) bool {
	switch {
	case s.Revision.Era == st.Revision.Era || st.Revision.Number == 0:
		return false
	case s.Start != st.Start:
		return s.Start < st.Start
	case s.Sequence != st.Sequence:
		return s.Sequence < st.Sequence
	}
	return st.Draining && !s.Draining || !st.removeAt.IsZero()
}

// restoredEntryHold is how long an entry of a restored store that is older than what is known
// is held back. A live server has written its entry again by then, and the store has removed
// that of a dead one.
const restoredEntryHold = 10 * time.Second

// ReleaseHeld applies the entries of a restored store that were held back for
// restoredEntryHold, and returns the servers that this changed.
func (p *Pool) ReleaseHeld(now time.Time) []Server {
	var released []Server
	for _, id := range p.ids() {
		p.withState(id, func(st *state) {
			switch {
			case st.held == nil:
			case st.heldUntil.IsZero():
				st.heldUntil = now.Add(restoredEntryHold)
			case !now.Before(st.heldUntil):
				st.Server, st.removeAt = *st.held, time.Time{}
				st.held, st.heldUntil = nil, time.Time{}
				released = append(released, st.Server)
			}
		})
	}
	return released
}

// supersede marks earlier servers with the same address as superseded, because a later start now
// uses it.
func (g *group) supersede(s Server) {
	for _, st := range g.servers {
		if st.ID != s.ID && st.Address == s.Address && st.Start < s.Start {
			st.superseded = true
		}
	}
}

func (g *group) forget(id engine.ServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.servers, id)
}

// Remove records that a server's entry of revision rev was deleted. The server counts as
// removed from at on. Remove reports whether this changed anything.
func (p *Pool) Remove(id engine.ServerID, rev Revision, at time.Time) bool {
	g := p.groupOf(id)
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	st := g.servers[id]
	if st == nil || rev.Before(st.Revision) {
		return false
	}
	st.Revision, st.held, st.heldUntil = rev, nil, time.Time{}
	if !st.removeAt.IsZero() && !st.removeAt.After(at) {
		return false
	}
	st.removeAt = at
	return true
}

// Replace makes list the complete set of entries as of revision rev. Servers missing from list
// count as removed from goneAt on. Replace returns the ids of the changed servers.
func (p *Pool) Replace(now, goneAt time.Time, rev Revision, list []Server) (applied, removed []engine.ServerID) {
	listed := make(map[engine.ServerID]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		if p.Apply(s) {
			applied = append(applied, s.ID)
		}
	}
	for _, id := range p.ids() {
		v, ok := p.View(id, now)
		// A list from another entry VM lacks servers whose entries that one holds back: a server
		// that is removed already keeps the revision of its removal.
		if ok && !listed[id] && !v.Removed && !rev.Before(v.Revision) && p.Remove(id, rev, goneAt) {
			removed = append(removed, id)
		}
	}
	return applied, removed
}

func (p *Pool) ids() []engine.ServerID {
	p.mu.RLock()
	defer p.mu.RUnlock()
	all := make([]engine.ServerID, 0, len(p.services))
	for id := range p.services {
		all = append(all, id)
	}
	return all
}

// forgetAfter is how long a removed server is remembered, so that late updates about it are
// recognised as outdated. It is longer than any request takes.
const forgetAfter = time.Minute

// Expire forgets servers that were removed long ago.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range p.services {
		g := p.groups[n]
		g.mu.Lock()
		if st := g.servers[id]; st == nil || !st.removeAt.IsZero() && now.Sub(st.removeAt) > forgetAfter && st.load.Requests == 0 {
			delete(g.servers, id)
			delete(p.services, id)
		}
		g.mu.Unlock()
	}
}

// Size returns the number of known servers of all services.
func (p *Pool) Size() int { return len(p.ids()) }

// List returns the servers that have an entry and are not removed, to be sent to other entry
// VMs.
func (p *Pool) List(now time.Time) []View {
	var all []View
	for _, id := range p.ids() {
		if v, ok := p.View(id, now); ok && v.Revision.Number > 0 && (v.RemoveAt.IsZero() || now.Before(v.RemoveAt)) {
			all = append(all, v)
		}
	}
	return all
}

func (st *state) active(now time.Time) bool {
	return !st.replaced && !st.superseded && !now.Before(st.misdirectedUntil) && (st.removeAt.IsZero() || now.Before(st.removeAt))
}

// withState calls f with a server's state, holding the group's lock. It does nothing if the
// server is unknown.
func (p *Pool) withState(id engine.ServerID, f func(*state)) {
	g := p.groupOf(id)
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if st := g.servers[id]; st != nil {
		f(st)
	}
}

// HasUsable reports whether a service has a usable server whose version is allowed.
func (p *Pool) HasUsable(service routing.ServiceName, now time.Time, allowed func(engine.Version) bool) bool {
	g := p.group(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, st := range g.servers {
		if st.active(now) && !st.Draining && allowed(st.Version) {
			return true
		}
	}
	return false
}

// Begin adds w to a server's load when requests start there.
func (p *Pool) Begin(id engine.ServerID, w Load) {
	p.withState(id, func(st *state) { st.load.add(w) })
}

// End subtracts w from a server's load when requests end there.
func (p *Pool) End(id engine.ServerID, w Load) {
	p.withState(id, func(st *state) { st.load.add(Load{-w.Requests, -w.Pending, -w.Tokens, -w.Prefill}) })
}

// MarkResponsive records that a response or data arrived from a server, and resets its failures.
func (p *Pool) MarkResponsive(id engine.ServerID, now time.Time) {
	p.withState(id, func(st *state) {
		st.clearFailures()
		st.respondedAt = now
	})
}

// MarkUnanswered records that a server has not answered a request sent at an instant, in the time in which it
// should have or at all. It counts as failed if nothing else arrived from it since: a busy server answers other
// requests meanwhile. MarkUnanswered reports whether it counts as failed.
func (p *Pool) MarkUnanswered(id engine.ServerID, sentAt, now time.Time) bool {
	failed := false
	p.withState(id, func(st *state) {
		if failed = !st.respondedAt.After(sentAt); failed {
			st.unanswered = true
			st.fail(now)
		}
	})
	return failed
}

// NextCheck returns a server of a service that is to be checked before it gets requests which must not be
// repeated: the last one is unanswered, and its backoff is over. The check is to be concluded with EndCheck.
func (p *Pool) NextCheck(service routing.ServiceName, now time.Time) (Choice, bool) {
	g := p.group(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, st := range g.servers {
		if st.unanswered && !st.checking && st.active(now) && !st.Draining && !st.suspect(now) {
			st.checking = true
			return Choice{Server: st.Server, DialTime: st.dial}, true
		}
	}
	return Choice{}, false
}

// EndCheck records whether a server has passed its check. Its failures count until it answers a request.
func (p *Pool) EndCheck(id engine.ServerID, passed bool, now time.Time) {
	p.withState(id, func(st *state) {
		if st.checking = false; passed {
			st.unanswered = false
		} else {
			st.fail(now)
		}
	})
}

// RecordDial records how long it took to open a connection to a server.
func (p *Pool) RecordDial(id engine.ServerID, took time.Duration) {
	p.withState(id, func(st *state) {
		if st.dial == 0 {
			st.dial = took
		}
		// The usual time follows the minimum: a longer time is caused by load or packet loss.
		st.dial = min(took, st.dial+st.dial/dialDrift)
	})
}

// dialDrift is the divisor of the usual time to open a connection that limits its growth: with
// each connection it may grow by at most 1/16.
const dialDrift = 16

// MarkFailed records that a server failed or could not be reached.
func (p *Pool) MarkFailed(id engine.ServerID, now time.Time) {
	p.withState(id, func(st *state) { st.fail(now) })
}

func (st *state) clearFailures() {
	st.failedAt, st.failures, st.unanswered = time.Time{}, 0, false
}

func (st *state) fail(now time.Time) {
	if st.failedAt.IsZero() || now.Sub(st.failedAt) > firstBackoff {
		st.failures++
	}
	st.failedAt = now
}

// groupsOf returns the servers of a service, or of all services if it is empty.
func (p *Pool) groupsOf(service routing.ServiceName) []*group {
	if service == "" {
		return p.allGroups()
	}
	return []*group{p.group(service)}
}

// ForgetFailures forgets the failures of servers of a service, or of all services if it is empty, since an
// instant, which were not theirs.
func (p *Pool) ForgetFailures(service routing.ServiceName, since time.Time) {
	for _, g := range p.groupsOf(service) {
		g.mu.Lock()
		for _, st := range g.servers {
			if !st.failedAt.Before(since) {
				st.clearFailures()
			}
		}
		g.mu.Unlock()
	}
}

// MarkHung records that a start of a server accepts requests but does not process them. Such a
// server looks idle and would attract new requests at once, so it is avoided for longer than
// after an ordinary failure.
func (p *Pool) MarkHung(id engine.ServerID, start engine.Incarnation, now time.Time) {
	p.withState(id, func(st *state) {
		if st.Start == start {
			st.failures, st.failedAt = max(st.failures+1, hungFailures), now
		}
	})
}

// MarkLeaving records that an answer of a server's start said that it is leaving: the start gets
// no more requests. MarkLeaving reports whether that was not known yet.
func (p *Pool) MarkLeaving(id engine.ServerID, start engine.Incarnation) bool {
	changed := false
	p.withState(id, func(st *state) {
		if st.Start == start && !st.Leaving {
			st.Leaving, st.Draining, changed = true, true, true
		}
	})
	return changed
}

// Postpone records that a server's start refuses requests until an instant.
func (p *Pool) Postpone(id engine.ServerID, start engine.Incarnation, until time.Time) {
	p.withState(id, func(st *state) {
		if st.Start == start && until.After(st.retryAt) {
			st.retryAt = until
		}
	})
}

// MarkReplaced records that a server's current start has ended for good: a different start answers at
// its address.
func (p *Pool) MarkReplaced(id engine.ServerID) {
	p.withState(id, func(st *state) { st.replaced = true })
}

// misdirectedPause is how long a server is left out after a request for it was refused in the name of another one.
// The entry of a server that has ended is gone by then; while the store is down, one more request is refused.
const misdirectedPause = 5 * time.Second

// MarkMisdirected records that another server seems to answer at a server's address.
func (p *Pool) MarkMisdirected(id engine.ServerID, now time.Time) {
	p.withState(id, func(st *state) { st.misdirectedUntil = now.Add(misdirectedPause) })
}

// Backoff after failures. During the backoff a server gets requests only if no other server is
// left. Each consecutive failure doubles the backoff.
const (
	firstBackoff = 400 * time.Millisecond
	maxDoublings = 4
	// hungFailures is the least number of consecutive failures that a hung server counts for.
	hungFailures = 4
)

func (st *state) suspect(now time.Time) bool {
	if st.failedAt.IsZero() {
		return false
	}
	pause := firstBackoff << min(st.failures-1, maxDoublings)
	return now.Sub(st.failedAt) < pause
}

// View is a snapshot of what is known about one server.
type View struct {
	Server
	Removed  bool
	RemoveAt time.Time // zero while its entry exists
	FailedAt time.Time
	// RespondedAt is when something last arrived from the server; zero if nothing has.
	RespondedAt time.Time
	RetryAt     time.Time     // until then the server refuses requests; zero if it has refused none
	DialTime    time.Duration // usual time to open a connection; 0 if unknown
	Limit       Rate          // rate of requests that it takes from all entry VMs
	LimitAt     time.Time     // when an answer of the server last showed Limit; zero if none did
}

// View returns a snapshot of a server's state, and false if the server is unknown.
func (p *Pool) View(id engine.ServerID, now time.Time) (View, bool) {
	var v View
	found := false
	p.withState(id, func(st *state) {
		found = true
		v = View{Server: st.Server, Removed: !st.active(now), RemoveAt: st.removeAt, FailedAt: st.failedAt, RespondedAt: st.respondedAt, RetryAt: st.retryAt, DialTime: st.dial, Limit: st.limit.rate, LimitAt: st.limit.heardAt}
	})
	return v, found
}
