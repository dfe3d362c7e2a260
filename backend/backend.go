// Package backend knows the backend servers of every service: which there are,
// what is believed of each, and which one takes a request. It does no I/O:
// its decisions take an instant and typed inputs.
package backend

import (
	"net/netip"
	"sync"
	"time"

	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/result"
	"quetzalhold/routing"
)

// Server is what a backend server's entry in the store says of it.
type Server struct {
	ID       engine.ServerID     `json:"id"`
	Service  routing.ServiceName `json:"service"`
	Address  string              `json:"address"`
	Domain   names.ID            `json:"domain"`
	Version  engine.Version      `json:"version"` // of its software
	Start    engine.Incarnation  `json:"start"`
	Slots    int                 `json:"slots"`
	Draining bool                `json:"draining,omitempty"`
	ColdFor  time.Duration       `json:"coldForNs,omitempty"` // how much longer it is slow after its start
	// Revision is the store's when the entry last changed; words about it that
	// come on several ways are told apart by it. 0 for a server without an entry.
	Revision Revision `json:"revision"`
}

// Revision counts the changes of the platform's store.
type Revision int64

// Check returns the first fault that keeps the server from being used.
func (s *Server) Check() error {
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		return result.Wrap(result.NotIPNumber, err, "address of %s", s.ID).On("address")
	}
	if s.Service == "" {
		return result.New(result.MissingField, "%s has no service", s.ID).On("service")
	}
	return nil
}

// Pool is the backend servers of all services. Its zero value knows none. Its
// methods may be called from any goroutine.
type Pool struct {
	mu     sync.RWMutex
	groups map[routing.ServiceName]*group
	homes  map[engine.ServerID]routing.ServiceName
}

// group is the servers of one service under their own lock.
type group struct {
	mu      sync.Mutex
	servers map[engine.ServerID]*state
}

// state is a server with what is believed of it.
type state struct {
	Server
	// goneAt is when the server counts as gone; zero while its entry stands.
	goneAt time.Time
	// ended says that this start is known to have ended: another one answers at
	// the address.
	ended bool
	// work is what this entry VM has under way there.
	work Load

	lostAt  time.Time // when it was last found lost; zero if not since it was heard
	strikes int       // losses in a row
	// dial is the usual time to open a connection; zero if none was opened.
	dial time.Duration
}

// Load is requests under way at a server, with the memory that they take there.
type Load struct {
	Requests int
	Pending  int // of the requests, those that nothing has come of yet
	Tokens   engine.Tokens
}

func (w *Load) add(o Load) {
	w.Requests += o.Requests
	w.Pending += o.Pending
	w.Tokens += o.Tokens
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
		p.homes = make(map[engine.ServerID]routing.ServiceName)
	}
	g = &group{servers: make(map[engine.ServerID]*state)}
	p.groups[n] = g
	return g
}

// home returns the group that a server belongs to, or nil.
func (p *Pool) home(id engine.ServerID) *group {
	p.mu.RLock()
	defer p.mu.RUnlock()
	n, ok := p.homes[id]
	if !ok {
		return nil
	}
	return p.groups[n]
}

// Apply takes over a server's entry and reports whether it is new or differs
// from the one before.
func (p *Pool) Apply(s Server) bool {
	g := p.group(s.Service)
	p.mu.Lock()
	old, known := p.homes[s.ID]
	p.homes[s.ID] = s.Service
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
	switch {
	case st == nil:
		st = &state{Server: s}
		g.servers[s.ID] = st
	case s.Revision < st.Revision || s.Revision == st.Revision && !st.goneAt.IsZero():
		return false // an older word than the one that is known
	case st.Start < s.Start:
		// It started again under its id and knows nothing of before. Work
		// under way stays counted until it ends.
		st.Server, st.goneAt, st.ended, st.lostAt, st.strikes = s, time.Time{}, false, time.Time{}, 0
	case st.Server == s:
		return false
	default:
		st.Server, st.goneAt = s, time.Time{}
	}
	g.supersede(s)
	return true
}

// supersede ends the servers that had the address before: a later start took it.
func (g *group) supersede(s Server) {
	for _, st := range g.servers {
		if st.ID != s.ID && st.Address == s.Address && st.Start < s.Start {
			st.ended = true
		}
	}
}

func (g *group) forget(id engine.ServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.servers, id)
}

// Remove notes that a server's entry of revision rev is gone; the server counts
// as gone from at on. It reports whether the entry was known.
func (p *Pool) Remove(id engine.ServerID, rev Revision, at time.Time) bool {
	g := p.home(id)
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	st := g.servers[id]
	if st == nil || rev < st.Revision || !st.goneAt.IsZero() && !st.goneAt.After(at) {
		return false
	}
	st.Revision, st.goneAt = rev, at
	return true
}

// Replace makes list the entries that stand as of revision rev; those that it
// lacks count as gone from goneAt on. It returns what changed.
func (p *Pool) Replace(now, goneAt time.Time, rev Revision, list []Server) (applied, removed []engine.ServerID) {
	listed := make(map[engine.ServerID]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		if p.Apply(s) {
			applied = append(applied, s.ID)
		}
	}
	for _, id := range p.standing() {
		v, ok := p.View(id, now)
		if ok && !listed[id] && v.Revision <= rev && p.Remove(id, v.Revision, goneAt) {
			removed = append(removed, id)
		}
	}
	return applied, removed
}

func (p *Pool) standing() []engine.ServerID {
	p.mu.RLock()
	defer p.mu.RUnlock()
	all := make([]engine.ServerID, 0, len(p.homes))
	for id := range p.homes {
		all = append(all, id)
	}
	return all
}

// forgetAfter is how long a server that is gone is remembered, so that late
// words of it are known for what they are. It is longer than any request.
const forgetAfter = time.Minute

// Expire forgets servers that are long gone.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range p.homes {
		g := p.groups[n]
		g.mu.Lock()
		if st := g.servers[id]; st == nil || !st.goneAt.IsZero() && now.Sub(st.goneAt) > forgetAfter && st.work.Requests == 0 {
			delete(g.servers, id)
			delete(p.homes, id)
		}
		g.mu.Unlock()
	}
}

// Size returns how many servers stand, of all services.
func (p *Pool) Size() int { return len(p.standing()) }

// List returns what is known of the servers whose entries stand, to pass it on.
func (p *Pool) List(now time.Time) []View {
	var all []View
	for _, id := range p.standing() {
		if v, ok := p.View(id, now); ok && v.Revision > 0 && (v.RemoveAt.IsZero() || now.Before(v.RemoveAt)) {
			all = append(all, v)
		}
	}
	return all
}

func (st *state) standing(now time.Time) bool {
	return !st.ended && (st.goneAt.IsZero() || now.Before(st.goneAt))
}

// with calls f with a server's state under its lock; not at all if the server
// is unknown.
func (p *Pool) with(id engine.ServerID, f func(*state)) {
	g := p.home(id)
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if st := g.servers[id]; st != nil {
		f(st)
	}
}

// HasUsable reports whether some server of a service stands whose version is allowed.
func (p *Pool) HasUsable(service routing.ServiceName, now time.Time, allowed func(engine.Version) bool) bool {
	g := p.group(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, st := range g.servers {
		if st.standing(now) && !st.Draining && allowed(st.Version) {
			return true
		}
	}
	return false
}

// Begin counts work that starts at a server.
func (p *Pool) Begin(id engine.ServerID, w Load) {
	p.with(id, func(st *state) { st.work.add(w) })
}

// End counts work that ended at a server.
func (p *Pool) End(id engine.ServerID, w Load) {
	p.with(id, func(st *state) { st.work.add(Load{-w.Requests, -w.Pending, -w.Tokens}) })
}

// MarkResponsive notes that something came from a server.
func (p *Pool) MarkResponsive(id engine.ServerID) {
	p.with(id, func(st *state) { st.lostAt, st.strikes = time.Time{}, 0 })
}

// RecordDial notes how long it took to open a connection to a server.
func (p *Pool) RecordDial(id engine.ServerID, took time.Duration) {
	p.with(id, func(st *state) {
		if st.dial == 0 {
			st.dial = took
		}
		// The usual time is the least: a longer one shows load or loss.
		st.dial = min(took, st.dial+st.dial/dialDrift)
	})
}

// dialDrift is the part of the usual time to open a connection by which it may
// grow with each connection.
const dialDrift = 16

// MarkFailed notes that a server was found lost.
func (p *Pool) MarkFailed(id engine.ServerID, now time.Time) {
	p.with(id, func(st *state) {
		if st.lostAt.IsZero() || now.Sub(st.lostAt) > firstPause {
			st.strikes++
		}
		st.lostAt = now
	})
}

// MarkHung notes that a server's start accepts requests and does not work on them. It
// looks idle, so that it would draw new work at once; it is passed over for longer.
func (p *Pool) MarkHung(id engine.ServerID, start engine.Incarnation, now time.Time) {
	p.with(id, func(st *state) {
		if st.Start == start {
			st.strikes, st.lostAt = max(st.strikes+1, hungStrikes), now
		}
	})
}

// MarkReplaced notes that a server's start has ended for good: another one has its
// address.
func (p *Pool) MarkReplaced(id engine.ServerID) {
	p.with(id, func(st *state) { st.ended = true })
}

// The pauses after a loss, in which a server gets work only where there is no
// other. Each loss in a row doubles the pause.
const (
	firstPause = 400 * time.Millisecond
	maxStrikes = 4
	// hungStrikes is how many losses a server that hangs counts for.
	hungStrikes = 4
)

func (st *state) suspect(now time.Time) bool {
	if st.lostAt.IsZero() {
		return false
	}
	pause := firstPause << min(st.strikes-1, maxStrikes)
	return now.Sub(st.lostAt) < pause
}

// View is what is believed of one server.
type View struct {
	Server
	Removed   bool
	RemoveAt time.Time // zero while its entry stands
	FailedAt time.Time
	DialTime   time.Duration // usual time to open a connection; 0 if unknown
}

// View returns what is believed of a server; false if it is unknown.
func (p *Pool) View(id engine.ServerID, now time.Time) (View, bool) {
	var v View
	found := false
	p.with(id, func(st *state) {
		found = true
		v = View{Server: st.Server, Removed: !st.standing(now), RemoveAt: st.goneAt, FailedAt: st.lostAt, DialTime: st.dial}
	})
	return v, found
}
