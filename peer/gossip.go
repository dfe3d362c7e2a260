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
)

// Message is a heartbeat or its answer.
type Message struct {
	From    Member          `json:"from"`
	Words   []Member        `json:"words,omitempty"`
	Digest  operator.Digest `json:"digest"` // of the sender's configuration
	Leaving []LeavingServer `json:"leaving,omitempty"`
}

// LeavingServer is a backend server that takes no new work.
type LeavingServer struct {
	ID          engine.ServerID    `json:"id"`
	Incarnation engine.Incarnation `json:"incarnation"`
}

// Gossip keeps an entry VM in touch with the others: one heartbeat a period to
// a random member of its failure domain, and for delegates one to another
// domain. What is known travels with them, so their number and size do not grow
// with the fleet. All exported fields but Seeds must be set before Run.
type Gossip struct {
	// Members is the membership of this entry VM's failure domain.
	Members *Membership
	// Client calls the other entry VMs.
	Client *Client
	// Store is the configuration.
	Store *operator.Store
	// Applied is told of objects that came from other entry VMs and are new.
	Applied func([]objects.Object)
	// Leaving returns the backend servers lately found to be leaving.
	Leaving func() []LeavingServer
	// NoteLeaving takes over such servers from others.
	NoteLeaving func([]LeavingServer)
	// Seeds are addresses to begin with, of any domain.
	Seeds []Address

	mu     sync.Mutex
	listed []Address              // of this domain
	others map[names.ID][]Address // of other domains
}

// The pace of gossip.
const (
	heartbeatPeriod         = time.Second
	heartbeatTimeout = 700 * time.Millisecond
	// pushFanout is to how many members a new object is pushed at once.
	pushFanout = 3
	// reviveOneIn is how seldom a listed member that is not alive gets a
	// heartbeat, so that the two sides of a healed cut find each other.
	reviveOneIn = 4
)

// SetEntries takes over the platform's list of entry VMs.
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
		// A random part keeps entry VMs from beating in step.
		pause := heartbeatPeriod/2 + rand.N(heartbeatPeriod)
		_ = clock.Until(ctx, begin.Add(pause)) // the loop sees the end of ctx
	}
}

// targets returns who gets a heartbeat this period.
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

// dutyCandidates returns, for each other domain, the two entry VMs most likely to have
// part i of a duty that is divided among all.
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

// Everyone returns the addresses of all other entry VMs that the platform
// lists.
func (g *Gossip) Everyone() []Address {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := slices.Clone(g.listed)
	for _, list := range g.others {
		all = append(all, list...)
	}
	return all
}

// Domains returns the number of failure domains that the platform lists.
func (g *Gossip) Domains() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return 1 + len(g.others)
}

// sendHeartbeat exchanges a heartbeat and, where the configurations differ, objects.
func (g *Gossip) sendHeartbeat(ctx context.Context, a Address) {
	limited, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := g.Client.Heartbeat(limited, a, g.messageTo(a))
	if err != nil {
		// The kept connection may have gone silent, not the member.
		g.Client.CloseIdle()
		again, stop := context.WithTimeout(ctx, heartbeatTimeout)
		defer stop()
		reply, err = g.Client.Probe(again, a, g.messageTo(a))
	}
	if err != nil {
		if ctx.Err() == nil {
			g.Members.Unanswered(time.Now(), a)
		}
		return
	}
	g.merge(reply)
	if reply.Digest != g.Store.Digest() {
		g.reconcile(ctx, a)
	}
}

// messageTo returns a messageTo to a member, with the word about that member
// itself if it is not believed alive: it may want to refute it.
func (g *Gossip) messageTo(to Address) Message {
	return Message{
		From:    g.Members.Self(),
		Words:   append(g.Members.Updates(), g.Members.Doubts(to)...),
		Digest:  g.Store.Digest(),
		Leaving: g.Leaving(),
	}
}

func (g *Gossip) merge(m Message) {
	g.Members.Merge(time.Now(), append(m.Words, m.From))
	g.NoteLeaving(m.Leaving)
}

// Answer answers another entry VM's heartbeat.
func (g *Gossip) Answer(m Message) Message {
	g.merge(m)
	return g.messageTo(m.From.Address)
}

// reconcile makes the configurations of two entry VMs equal, each object at the
// newer of its versions.
func (g *Gossip) reconcile(ctx context.Context, a Address) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	theirs, err := g.Client.Versions(ctx, a, g.Store.Digests())
	if err != nil {
		return
	}
	diff := g.Store.Compare(theirs)
	if len(diff.Newer) > 0 {
		if objs, err := g.Client.Fetch(ctx, a, diff.Newer); err == nil {
			g.Accept(ctx, objs)
		}
	}
	if len(diff.Older) > 0 {
		// The next heartbeat tries again.
		_ = g.Client.Push(ctx, a, g.Store.Select(diff.Older))
	}
}

// Accept takes over objects from another entry VM and pushes those that are new
// here on to others.
func (g *Gossip) Accept(ctx context.Context, objs []objects.Object) {
	fresh := g.Store.Fresh(objs)
	if len(fresh) == 0 {
		return
	}
	g.Applied(fresh)
	g.Push(ctx, fresh)
}

// Push sends new objects to a few members of this domain at once. It returns
// without waiting for them.
func (g *Gossip) Push(ctx context.Context, objs []objects.Object) {
	ctx = context.WithoutCancel(ctx)
	for _, a := range g.Members.Pick(pushFanout) {
		go func() {
			limited, cancel := context.WithTimeout(ctx, heartbeatTimeout)
			defer cancel()
			// Who misses a push gets the object by digest.
			_ = g.Client.Push(limited, a, slices.Clone(objs))
		}()
	}
}
