package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"quetzalhold/clock"
	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/objects"
	"quetzalhold/operator"
	"quetzalhold/quarantine"
)

// Message is a heartbeat or the response to one.
type Message struct {
	From     Member           `json:"from"`
	Updates  []Member         `json:"words,omitempty"`
	Digest   operator.Digest  `json:"digest"` // of the sender's configuration
	Draining []DrainingServer `json:"leaving,omitempty"`
	CrashReport
}

// CrashReport is what an entry VM knows of requests that crash servers.
type CrashReport struct {
	// Crashes are held against the requests during which they happened.
	Crashes []quarantine.Crash `json:"crashes,omitempty"`
	// Cleared are crashes that are no longer held against a request, since it was answered.
	Cleared []quarantine.Name `json:"cleared,omitempty"`
}

// DrainingServer is a backend server that is draining: it accepts no new work.
type DrainingServer struct {
	ID          engine.ServerID    `json:"id"`
	Incarnation engine.Incarnation `json:"incarnation"`
}

// Gossip exchanges heartbeats with other entry VMs: in each period one with a
// random member of the failure domain, and on a delegate one more with an entry
// VM of another domain. Membership updates and a digest of the configuration
// travel in the heartbeats, whose number and size do not grow with the fleet.
// They also carry the requests that crash servers, and go out of turn when those change.
// All exported fields but Seeds, Crashes and RecordCrashes must be set before Run.
type Gossip struct {
	// Members is the membership of this entry VM's failure domain.
	Members *Membership
	// Client calls the other entry VMs.
	Client *Client
	// Store is the configuration.
	Store *operator.Store
	// Apply applies those of the objects from other entry VMs that are newer than
	// the ones in Store, and returns them.
	Apply func([]objects.Object) []objects.Object
	// Draining returns the backend servers that were recently found to be draining.
	Draining func() []DrainingServer
	// RecordDraining records draining servers that other entry VMs reported.
	RecordDraining func([]DrainingServer)
	// Crashes returns what to report of crashes; nil reports nothing.
	Crashes func() CrashReport
	// RecordCrashes records what another entry VM reported of crashes; nil ignores it.
	RecordCrashes func(CrashReport)
	// Seeds are addresses of entry VMs of any domain, which get a heartbeat while
	// no other living member is known.
	Seeds []Address

	mu     sync.Mutex
	listed []Address              // the platform's list for this domain, without this entry VM
	others map[names.ID][]Address // the platform's list for each other domain
}

// Parameters of gossip.
const (
	heartbeatPeriod  = time.Second
	heartbeatTimeout = 700 * time.Millisecond
	// pushFanout is the number of members to which a new object is pushed at once.
	pushFanout = 3
	// In one of reviveOneIn periods on average, a listed member that is not alive
	// gets a heartbeat, so that the two sides of a healed partition find each
	// other.
	reviveOneIn = 4
)

// SetEntries applies the platform's list of entry VMs.
func (g *Gossip) SetEntries(now time.Time, list []Member) {
	g.Members.Seed(now, list)
	self := g.Members.Self()
	others := make(map[names.ID][]Address)
	var listed []Address
	for _, m := range list {
		switch {
		case m.Address == self.Address:
		case m.Domain == self.Domain:
			listed = append(listed, m.Address)
		default:
			others[m.Domain] = append(others[m.Domain], m.Address)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listed = listed
	g.others = others
}

// Run sends heartbeats until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	for ctx.Err() == nil {
		begin := time.Now()
		g.Members.Advance(begin)
		var wg sync.WaitGroup
		for _, a := range g.targets() {
			wg.Go(func() { g.sendHeartbeat(ctx, a) })
		}
		wg.Wait()
		// Jitter keeps entry VMs from sending heartbeats in lockstep.
		pause := heartbeatPeriod/2 + rand.N(heartbeatPeriod)
		_ = clock.Until(ctx, begin.Add(pause)) // the loop sees the end of ctx
	}
}

// targets returns the entry VMs that get a heartbeat in this period.
func (g *Gossip) targets() []Address {
	t := g.Members.Pick(1)
	if len(t) == 0 && len(g.Seeds) > 0 {
		t = append(t, g.Seeds[rand.IntN(len(g.Seeds))])
	}
	if a, ok := g.randomFailed(); ok && rand.IntN(reviveOneIn) == 0 {
		t = append(t, a)
	}
	if a, ok := g.randomRemote(); ok && g.Members.Has(Delegate) {
		t = append(t, a)
	}
	return t
}

// randomFailed returns a random listed member of this domain that is not alive.
func (g *Gossip) randomFailed() (Address, bool) {
	alive := make(map[Address]bool)
	for _, m := range g.Members.Alive() {
		alive[m.Address] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var failed []Address
	for _, a := range g.listed {
		if !alive[a] {
			failed = append(failed, a)
		}
	}
	if len(failed) == 0 {
		return "", false
	}
	return failed[rand.IntN(len(failed))], true
}

// randomRemote returns a random entry VM of a random other domain.
func (g *Gossip) randomRemote() (Address, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.others) == 0 {
		return "", false
	}
	domains := make([]names.ID, 0, len(g.others))
	for d := range g.others {
		domains = append(domains, d)
	}
	list := g.others[domains[rand.IntN(len(domains))]]
	return list[rand.IntN(len(list))], true
}

// dutyCandidates returns, for each other domain, the two entry VMs most likely to
// hold part i of a duty that is divided among all members. It ranks the platform's
// list, since this entry VM does not know which members of the other domains are
// alive.
func (g *Gossip) dutyCandidates(d Duty, i int) [][]Address {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all [][]Address
	for _, list := range g.others {
		sorted := slices.Clone(list)
		rank(d, sorted)
		n := len(sorted)
		all = append(all, []Address{sorted[i%n], sorted[(i+1)%n]})
	}
	return all
}

// Peers returns the addresses of all other entry VMs that the platform
// lists.
func (g *Gossip) Peers() []Address {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := slices.Clone(g.listed)
	for _, list := range g.others {
		all = append(all, list...)
	}
	return all
}

// Domains returns the number of failure domains that the platform lists, this one
// included.
func (g *Gossip) Domains() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return 1 + len(g.others)
}

// sendHeartbeat exchanges heartbeats with the entry VM at a and, if the
// configurations differ, objects.
func (g *Gossip) sendHeartbeat(ctx context.Context, a Address) {
	limited, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := g.Client.Heartbeat(limited, a, g.messageTo(a))
	if err != nil {
		// It may be the pooled connection that is silent, not the member: retry once
		// on a new connection.
		g.Client.CloseIdle()
		again, stop := context.WithTimeout(ctx, heartbeatTimeout)
		defer stop()
		reply, err = g.Client.Probe(again, a, g.messageTo(a))
	}
	if err != nil {
		if ctx.Err() == nil {
			g.Members.MarkSuspect(time.Now(), a)
		}
		return
	}
	g.merge(reply)
	if reply.Digest != g.Store.Digest() {
		g.reconcile(ctx, a)
	}
}

// messageTo returns a message to a member. If that member is not believed to be
// alive, the message says so, so that the member can refute it.
func (g *Gossip) messageTo(to Address) Message {
	m := Message{
		From:     g.Members.Self(),
		Updates:  append(g.Members.Updates(), g.Members.FailureUpdate(to)...),
		Digest:   g.Store.Digest(),
		Draining: g.Draining(),
	}
	if g.Crashes != nil {
		m.CrashReport = g.Crashes()
	}
	return m
}

// merge records what a message of another entry VM reports.
func (g *Gossip) merge(m Message) {
	g.Members.Merge(time.Now(), append(m.Updates, m.From))
	g.RecordDraining(m.Draining)
	if g.RecordCrashes != nil {
		g.RecordCrashes(m.CrashReport)
	}
}

// Announce sends heartbeats out of turn, to a few random members of this domain and one entry VM of
// each other domain. It returns without waiting for their responses.
func (g *Gossip) Announce(ctx context.Context) {
	for _, a := range append(g.Members.Pick(pushFanout), g.oneOfEachDomain()...) {
		go g.sendHeartbeat(ctx, a)
	}
}

// oneOfEachDomain returns a random entry VM of each other domain.
func (g *Gossip) oneOfEachDomain() []Address {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []Address
	for _, list := range g.others {
		all = append(all, list[rand.IntN(len(list))])
	}
	return all
}

// HandleHeartbeat handles a heartbeat of another entry VM and returns the response.
func (g *Gossip) HandleHeartbeat(m Message) Message {
	g.merge(m)
	return g.messageTo(m.From.Address)
}

// reconcile makes the configurations of this entry VM and the one at a equal: both
// get the newer version of each object.
func (g *Gossip) reconcile(ctx context.Context, a Address) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	theirs, err := g.Client.Versions(ctx, a, g.Store.Digests())
	if err != nil {
		return
	}
	diff := g.Store.Compare(theirs)
	if len(diff.RemoteNewer) > 0 {
		if objs, err := g.Client.Fetch(ctx, a, diff.RemoteNewer); err == nil {
			g.Accept(ctx, objs)
		}
	}
	if len(diff.RemoteOlder) > 0 {
		// If the push fails, the next heartbeat tries again.
		_ = g.Client.Push(ctx, a, g.Store.Select(diff.RemoteOlder))
	}
}

// Accept applies the objects from another entry VM that are newer than those in
// Store and pushes them on to other members.
func (g *Gossip) Accept(ctx context.Context, objs []objects.Object) {
	if newer := g.Apply(objs); len(newer) > 0 {
		g.Push(ctx, newer)
	}
}

// Push sends new objects to a few random members of this domain. It returns
// without waiting for their responses.
func (g *Gossip) Push(ctx context.Context, objs []objects.Object) {
	ctx = context.WithoutCancel(ctx)
	for _, a := range g.Members.Pick(pushFanout) {
		go func() {
			limited, cancel := context.WithTimeout(ctx, heartbeatTimeout)
			defer cancel()
			// A member that misses the push gets the object when the digests in a
			// heartbeat differ.
			_ = g.Client.Push(limited, a, slices.Clone(objs))
		}()
	}
}
