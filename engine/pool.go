package engine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhold/names"
)

// poolShards is the number of shards of a Pool.
const poolShards = 16

// maxCachedBlocks limits the blocks tracked of one engine's prefix cache.
const maxCachedBlocks = 1 << 14

// State is what this entry VM knows about one engine.
type State struct {
	Server
	Report        LoadReport
	ReportedAt    time.Time // when Report arrived; zero if none did
	LastSeen      time.Time // when anything was last received from it
	SuspectAt     time.Time // when it last failed to respond in time or refused a connection
	RefusedAt     time.Time // when it last refused work
	Listed        bool      // it is in the platform's list
	Draining      bool      // it takes no new work, by its own report, the list or another entry VM
	DrainingSince time.Time // when this entry VM learned that

	inFlight         Tokens // tokens reserved for this entry VM's streams and not yet received
	streams          int    // number of this entry VM's streams
	blocks           map[BlockHash]struct{}
	cacheSeq         uint64
	cacheIncarnation Incarnation
}

// Pool holds the state of all engines that this entry VM knows. It is divided into
// shards, each with its own lock. The zero value is empty and ready to use.
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

// update calls f with the server's state while it holds the lock of the shard. It
// does nothing if the server is unknown.
func (p *Pool) update(id ServerID, f func(*State)) {
	sh := p.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if st := sh.servers[id]; st != nil {
		f(st)
	}
}

// SetServers applies the platform's list of engines. A server that is no longer
// listed gets no new work; the state of one with a newer incarnation is reset.
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
		st.reset(s.Incarnation)
		st.Server = s
	}
	st.Listed = true
	if st.Incarnation == s.Incarnation {
		// A stale list must not end the draining that the server itself has
		// reported.
		st.drainIf(s.Leaving, now)
	}
}

// reset clears the state for a new incarnation of the server. Tokens of streams of
// the previous incarnation stay reserved until they are released.
func (st *State) reset(inc Incarnation) {
	st.Incarnation = inc
	st.Draining = false
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

// Servers returns the listed engines, sorted by id.
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

// Lookup returns the server with the id, including one that is draining.
func (p *Pool) Lookup(id ServerID) (Server, bool) {
	var s Server
	ok := false
	p.update(id, func(st *State) { s, ok = st.Server, true })
	return s, ok
}

// MarkSeen records that something was received from the server at now.
func (p *Pool) MarkSeen(id ServerID, now time.Time) {
	p.update(id, func(st *State) { st.LastSeen = latest(st.LastSeen, now) })
}

// LastSeen returns when something was last received from the server.
func (p *Pool) LastSeen(id ServerID) time.Time {
	var at time.Time
	p.update(id, func(st *State) { at = st.LastSeen })
	return at
}

// MarkSuspect records that the server failed to respond in time, or refused a
// connection, at now. It is suspect until something is received from it later.
func (p *Pool) MarkSuspect(id ServerID, now time.Time) {
	p.update(id, func(st *State) { st.SuspectAt = now })
}

// MarkRefused records that the server refused work at now. If draining, it gets no
// more work in this incarnation.
func (p *Pool) MarkRefused(id ServerID, now time.Time, draining bool) {
	p.update(id, func(st *State) {
		st.RefusedAt = now
		st.drainIf(draining, now)
	})
}

// ApplyReport stores a load report that arrived at now. A report of an older
// incarnation is ignored; one of a newer incarnation resets the state first.
func (p *Pool) ApplyReport(r LoadReport, now time.Time) {
	p.update(r.Server, func(st *State) {
		switch {
		case r.Incarnation < st.Incarnation:
			return
		case r.Incarnation > st.Incarnation:
			st.reset(r.Incarnation)
		}
		st.Report = r
		st.ReportedAt = now
		st.LastSeen = latest(st.LastSeen, now)
		st.drainIf(r.Draining, now)
	})
}

// drainIf marks the server as draining if draining is set. It never clears the
// mark.
func (st *State) drainIf(draining bool, now time.Time) {
	if draining && !st.Draining {
		st.Draining = true
		st.DrainingSince = now
	}
}

// MarkDraining records that, according to another entry VM, an incarnation of the
// server is draining.
func (p *Pool) MarkDraining(id ServerID, inc Incarnation, now time.Time) {
	p.update(id, func(st *State) { st.drainIf(inc == st.Incarnation, now) })
}

// DrainingAfter returns the servers that this entry VM found to be draining after t.
func (p *Pool) DrainingAfter(t time.Time) []Server {
	var all []Server
	for i := range p.shards {
		sh := &p.shards[i]
		sh.mu.Lock()
		for _, st := range sh.servers {
			if st.Draining && st.DrainingSince.After(t) {
				all = append(all, st.Server)
			}
		}
		sh.mu.Unlock()
	}
	return all
}

// Reserve adds a new stream with n tokens to the server's in-flight work.
func (p *Pool) Reserve(id ServerID, n Tokens) {
	p.update(id, func(st *State) {
		st.inFlight += n
		st.streams++
	})
}

// Received subtracts n received tokens from the server's in-flight work.
func (p *Pool) Received(id ServerID, n Tokens) {
	p.update(id, func(st *State) { st.inFlight -= n })
}

// Release removes a stream, of which n tokens were not received, from the server's
// in-flight work.
func (p *Pool) Release(id ServerID, n Tokens) {
	p.update(id, func(st *State) {
		st.inFlight -= n
		st.streams--
	})
}

// CacheSeq returns the sequence number of the last cache event of the server that was
// applied.
func (p *Pool) CacheSeq(id ServerID) uint64 {
	var seq uint64
	p.update(id, func(st *State) { seq = st.cacheSeq })
	return seq
}

// ApplyCacheEvents applies cache events of the server. After a gap in the events or a
// restart of the server, the blocks recorded before are discarded: wrong cache
// contents cost more than unknown ones.
func (p *Pool) ApplyCacheEvents(id ServerID, evs CacheEvents) {
	p.update(id, func(st *State) {
		if evs.Incarnation != st.cacheIncarnation {
			st.blocks = nil
			st.cacheSeq = 0
			st.cacheIncarnation = evs.Incarnation
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
	if ev.Seq != st.cacheSeq+1 || st.blocks == nil || len(st.blocks) > maxCachedBlocks {
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

// Candidate is what [Chooser.Choose] knows about an engine that could take a request.
type Candidate struct {
	ID         ServerID
	Domain     names.ID
	InFlight   Tokens    // of this entry VM's streams, exact
	Streams    int       // number of this entry VM's streams, exact
	Reported   Tokens    // pending tokens in the last load report
	ReportedAt time.Time // when that report arrived; zero if none did
	Cached     Tokens    // prompt tokens in its prefix cache, by the cache events received
	SuspectAt  time.Time
	LastSeen   time.Time
	RefusedAt  time.Time
}

// Candidates returns, in any order, the listed engines that are not draining and have
// the version and adapter loaded. An engine without a load report is assumed to have
// every version.
func (p *Pool) Candidates(want LoadedModel, prompt []BlockHash) []Candidate {
	var all []Candidate
	for i := range p.shards {
		sh := &p.shards[i]
		sh.mu.Lock()
		if all == nil {
			all = make([]Candidate, 0, poolShards*(len(sh.servers)+1))
		}
		for _, st := range sh.servers {
			if st.Listed && !st.Draining && st.hasLoaded(want) {
				all = append(all, st.candidate(prompt))
			}
		}
		sh.mu.Unlock()
	}
	return all
}

func (st *State) hasLoaded(want LoadedModel) bool {
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
		SuspectAt:  st.SuspectAt,
		LastSeen:   st.LastSeen,
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
