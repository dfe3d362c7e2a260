package engine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhold/names"
)

// poolShards is the number of shards that a Pool's servers are spread over.
const poolShards = 16

// maxBelievedBlocks bounds the blocks remembered of one engine's prefix cache.
const maxBelievedBlocks = 1 << 14

// State is what this entry VM knows of one engine.
type State struct {
	Server
	Report     LoadReport
	ReportedAt time.Time // when Report arrived; zero if none did
	LastSeen    time.Time // when anything came last on any connection
	SilentAt   time.Time // when it last left a probe unanswered
	RefusedAt  time.Time // when it last refused work
	Listed     bool      // the platform's list has it
	Left       bool      // it said, or the list says, that it leaves
	LeftAt     time.Time // when that was found first

	inFlight Tokens // of this entry VM's streams, not yet received
	streams  int    // of this entry VM
	blocks   map[BlockHash]struct{}
	cacheSeq uint64
	cacheInc Incarnation
}

// Pool is what this entry VM knows of all engines. Its state is spread over
// shards, each under its own lock. The zero value is empty and ready to use.
type Pool struct {
	shards [poolShards]poolShard
}

type poolShard struct {
	mu      sync.Mutex
	servers map[ServerID]*State
}

func (p *Pool) shard(id ServerID) *poolShard {
	return &p.shards[xxhash.Sum64String(string(id))%poolShards]
}

// update runs f on the server's state under its shard's lock, unless the
// server is unknown.
func (p *Pool) update(id ServerID, f func(*State)) {
	sh := p.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if st := sh.servers[id]; st != nil {
		f(st)
	}
}

// SetServers takes over the platform's list of engines. A server that is no
// longer listed gets no new work; one with a new incarnation starts afresh.
func (p *Pool) SetServers(list []Server) {
	listed := make(map[ServerID]Server, len(list))
	for _, s := range list {
		listed[s.ID] = s
		p.add(s)
	}
	for i := range p.shards {
		p.shards[i].unlist(listed)
	}
}

func (p *Pool) add(s Server) {
	sh := p.shard(s.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.servers == nil {
		sh.servers = make(map[ServerID]*State)
	}
	now := time.Now()
	st := sh.servers[s.ID]
	switch {
	case st == nil:
		st = &State{Server: s}
		sh.servers[s.ID] = st
	case st.Incarnation < s.Incarnation:
		st.restart(s.Incarnation)
		st.Server = s
	}
	st.Listed = true
	if st.Incarnation == s.Incarnation {
		// A lagging list must not bring back a server that already said it
		// leaves.
		st.leave(s.Leaving, now)
	}
}

// restart makes the state that of a new incarnation. Streams of the one before
// stay reserved until they are released.
func (st *State) restart(inc Incarnation) {
	st.Incarnation = inc
	st.Left = false
	st.RefusedAt = time.Time{}
	st.Report = LoadReport{}
	st.ReportedAt = time.Time{}
	st.blocks = nil
}

func (sh *poolShard) unlist(listed map[ServerID]Server) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for id, st := range sh.servers {
		if _, ok := listed[id]; ok {
			continue
		}
		st.Listed = false
		if st.streams == 0 {
			delete(sh.servers, id)
		}
	}
}

// Servers returns the listed engines, ordered by id.
func (p *Pool) Servers() []Server {
	var all []Server
	for i := range p.shards {
		sh := &p.shards[i]
		sh.mu.Lock()
		for _, st := range sh.servers {
			if st.Listed {
				all = append(all, st.Server)
			}
		}
		sh.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Lookup returns the server, also one that is leaving.
func (p *Pool) Lookup(id ServerID) (Server, bool) {
	var s Server
	ok := false
	p.update(id, func(st *State) { s, ok = st.Server, true })
	return s, ok
}

// Heard notes that something came from the server at now.
func (p *Pool) Heard(id ServerID, now time.Time) {
	p.update(id, func(st *State) { st.LastSeen = later(st.LastSeen, now) })
}

// LastSeen returns when something came last from the server.
func (p *Pool) LastSeen(id ServerID) time.Time {
	var at time.Time
	p.update(id, func(st *State) { at = st.LastSeen })
	return at
}

// MarkSuspect notes that the server left a probe unanswered at now.
func (p *Pool) MarkSuspect(id ServerID, now time.Time) {
	p.update(id, func(st *State) { st.SilentAt = now })
}

// Refused notes that the server refused work at now. One that drains gets no
// more for the rest of its incarnation.
func (p *Pool) Refused(id ServerID, now time.Time, draining bool) {
	p.update(id, func(st *State) {
		st.RefusedAt = now
		st.leave(draining, now)
	})
}

// ApplyReport takes over a load report that arrived at now. A newer incarnation
// starts afresh.
func (p *Pool) ApplyReport(r LoadReport, now time.Time) {
	p.update(r.Server, func(st *State) {
		switch {
		case r.Incarnation < st.Incarnation:
			return
		case r.Incarnation > st.Incarnation:
			st.restart(r.Incarnation)
		}
		st.Report = r
		st.ReportedAt = now
		st.LastSeen = later(st.LastSeen, now)
		st.leave(r.Draining, now)
	})
}

// leave notes that the server takes no new work, if that is so.
func (st *State) leave(leaves bool, now time.Time) {
	if leaves && !st.Left {
		st.Left = true
		st.LeftAt = now
	}
}

// MarkDraining notes another entry VM's word that an incarnation of the server leaves.
func (p *Pool) MarkDraining(id ServerID, inc Incarnation, now time.Time) {
	p.update(id, func(st *State) { st.leave(inc == st.Incarnation, now) })
}

// DrainingAfter returns the servers found to be leaving after an instant.
func (p *Pool) DrainingAfter(t time.Time) []Server {
	var all []Server
	for i := range p.shards {
		sh := &p.shards[i]
		sh.mu.Lock()
		for _, st := range sh.servers {
			if st.Left && st.LeftAt.After(t) {
				all = append(all, st.Server)
			}
		}
		sh.mu.Unlock()
	}
	return all
}

// Reserve adds n tokens of a new stream to the server's work in flight.
func (p *Pool) Reserve(id ServerID, n Tokens) {
	p.update(id, func(st *State) {
		st.inFlight += n
		st.streams++
	})
}

// Received takes one received token off the server's work in flight.
func (p *Pool) Received(id ServerID, n Tokens) {
	p.update(id, func(st *State) { st.inFlight -= n })
}

// Release ends a stream with n tokens not received.
func (p *Pool) Release(id ServerID, n Tokens) {
	p.update(id, func(st *State) {
		st.inFlight -= n
		st.streams--
	})
}

// CacheSeq returns the cache event up to which the server's cache is known.
func (p *Pool) CacheSeq(id ServerID) uint64 {
	var seq uint64
	p.update(id, func(st *State) { seq = st.cacheSeq })
	return seq
}

// ApplyCacheEvents takes over the server's cache events. After a gap or a restart, what
// was believed before is dropped: a wrong belief costs more than none.
func (p *Pool) ApplyCacheEvents(id ServerID, evs CacheEvents) {
	p.update(id, func(st *State) {
		if evs.Incarnation != st.cacheInc {
			st.blocks = nil
			st.cacheSeq = 0
			st.cacheInc = evs.Incarnation
		}
		for _, ev := range evs.Events {
			st.applyCache(ev)
		}
	})
}

func (st *State) applyCache(ev CacheEvent) {
	if ev.Seq <= st.cacheSeq {
		return
	}
	if ev.Seq != st.cacheSeq+1 || st.blocks == nil || len(st.blocks) > maxBelievedBlocks {
		st.blocks = make(map[BlockHash]struct{})
	}
	st.cacheSeq = ev.Seq
	for _, b := range ev.Added {
		st.blocks[b] = struct{}{}
	}
	for _, b := range ev.Removed {
		delete(st.blocks, b)
	}
}

// Candidate is an engine that could take a request, as a choice sees it.
type Candidate struct {
	ID         ServerID
	Domain     names.ID
	InFlight   Tokens    // of this entry VM, exact
	Streams    int       // of this entry VM, exact
	Reported   Tokens    // pending by the last report
	ReportedAt time.Time // zero if there was no report
	Cached     Tokens    // of the prompt, by the events seen
	SilentAt   time.Time
	LastSeen    time.Time
	RefusedAt  time.Time
}

// Candidates returns the listed engines, not leaving, that hold the version
// and adapter, in any order. Engines that never reported are taken to hold every
// version.
func (p *Pool) Candidates(want LoadedModel, prompt []BlockHash) []Candidate {
	var all []Candidate
	for i := range p.shards {
		sh := &p.shards[i]
		sh.mu.Lock()
		if all == nil {
			all = make([]Candidate, 0, poolShards*(len(sh.servers)+1))
		}
		for _, st := range sh.servers {
			if st.Listed && !st.Left && st.holds(want) {
				all = append(all, st.candidate(prompt))
			}
		}
		sh.mu.Unlock()
	}
	return all
}

func (st *State) holds(want LoadedModel) bool {
	return st.ReportedAt.IsZero() || slices.Contains(st.Report.Versions, want)
}

func (st *State) candidate(prompt []BlockHash) Candidate {
	return Candidate{
		ID:         st.ID,
		Domain:     st.Domain,
		InFlight:   st.inFlight,
		Streams:    st.streams,
		Reported:   st.Report.Pending,
		ReportedAt: st.ReportedAt,
		Cached:     st.cachedTokens(prompt),
		SilentAt:   st.SilentAt,
		LastSeen:    st.LastSeen,
		RefusedAt:  st.RefusedAt,
	}
}

func (st *State) cachedTokens(prompt []BlockHash) Tokens {
	n := 0
	for _, b := range prompt {
		if _, ok := st.blocks[b]; !ok {
			break
		}
		n++
	}
	return Tokens(n * BlockWords)
}
