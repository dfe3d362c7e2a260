package backend

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhold/cost"
	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/routing"
)

// Criteria is the criteria by which a server is chosen for a request.
type Criteria struct {
	Now     time.Time
	Service routing.ServiceName
	Domain  names.ID // failure domain of this entry VM
	// Region returns a failure domain's region.
	Region func(names.ID) names.ID
	// Exclude lists servers that must not be chosen.
	Exclude []engine.ServerID
	// Only lists the servers that may be chosen; nil allows all.
	Only []engine.ServerID
	// Avoid is a failure domain whose servers are chosen only if there are no others; empty
	// for none.
	Avoid names.ID
	// NearOnly excludes servers in other regions and in the failure domain to avoid.
	NearOnly bool
	// Once says that the request must not be repeated. Servers that have left one unanswered and have not been
	// checked since are chosen only if there are no others.
	Once bool
	// Allowed reports whether a server of a version may take the request; nil allows all.
	Allowed func(engine.Version) bool
	// AffinityKey identifies the request's prompt: requests with the same key prefer the same
	// engine, which may have the prompt in its prefix cache.
	AffinityKey string
	// Tokens is the KV cache that the request occupies; 0 for requests to plain services.
	Tokens engine.Tokens
	Model  *routing.Model // nil for plain services
	// Cost is set while servers of the service are known to differ in speed. Without it all count as equal.
	Cost *cost.Basis
	// DryRun says that no request follows the choice: it does not count as one that lacked a permit.
	DryRun bool
}

// Nearby returns the criteria restricted to near servers.
func (n Criteria) Nearby() Criteria {
	n.NearOnly = true
	return n
}

// Without returns the criteria with the servers of list excluded.
func (n Criteria) Without(list []Choice) Criteria {
	n.Exclude = slices.Clone(n.Exclude)
	for i := range list {
		n.Exclude = append(n.Exclude, list[i].ID)
	}
	return n
}

// Choice is a chosen server, with the state that the choice was based on.
type Choice struct {
	Server
	DialTime   time.Duration // usual time to open a connection; 0 if unknown
	Load       Load          // load that this entry VM has in flight there
	Considered int           // number of servers that were considered
	Suspect    bool          // the server failed recently, as did all others
	Limited    bool          // a request to the server needs a permit
	Peer       bool          // not a server but another entry VM, which sends the request on
	Speed      cost.Speed    // 0 while no servers of the service are known to differ
}

// candidate is a server considered by one choice.
type candidate struct {
	Choice
	weight   uint64 // rendezvous hash of the affinity key and this server
	avoided  bool
	distance time.Duration
}

// Choose picks a server, or returns false if there is none.
func (p *Pool) Choose(n Criteria) (Choice, bool) {
	all := p.candidates(&n)
	if len(all) == 0 {
		return Choice{}, false
	}
	if n.Model != nil {
		return chooseEngine(&n, all), true
	}
	if n.Cost != nil {
		return choosePlainByCost(&n, all), true
	}
	return choosePlain(all, p.Seed), true
}

// candidates returns the servers that may take the request. Suspect servers are returned only
// if there are no others.
func (p *Pool) candidates(n *Criteria) []candidate {
	g := p.group(n.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	var healthy, suspect []candidate
	atOnce := p.mostAtOnce(g, n)
	for _, st := range g.servers {
		if !st.eligible(n) || n.Now.Before(st.retryAt) || slices.Contains(n.Exclude, st.ID) {
			continue
		}
		if !g.hasRoom(n.Now, st) {
			if !n.DryRun {
				p.lack(st)
			}
			continue
		}
		if atOnce != nil && st.load.Requests >= atOnce(st.Slots) {
			continue
		}
		c := candidate{
			Choice:   Choice{Server: st.Server, DialTime: st.dial, Load: st.load, Suspect: st.suspect(n.Now) || n.Once && st.unanswered, Limited: g.limitedTo(n.Now, st) != Unlimited},
			avoided:  n.Avoid != "" && st.Domain == n.Avoid,
			distance: distance(n, st.Domain),
		}
		if n.NearOnly && (c.avoided || c.distance >= crossRegionCost) {
			continue
		}
		if n.AffinityKey != "" {
			c.weight = xxhash.Sum64String(n.AffinityKey + "/" + string(st.ID))
		}
		if n.Cost != nil {
			c.Speed = n.Cost.Speed(st.ID, st.Start)
			c.weight = preferred(c.weight, n.Cost.Preference(c.Speed))
		}
		if c.Suspect {
			suspect = append(suspect, c)
		} else {
			healthy = append(healthy, c)
		}
	}
	if len(healthy) == 0 {
		healthy = suspect
	}
	for i := range healthy {
		healthy[i].Considered = len(healthy)
	}
	return healthy
}

// mostAtOnce returns a function that bounds the requests in flight at a server with some slots; nil
// if there is no bound.
func (p *Pool) mostAtOnce(g *group, n *Criteria) func(slots int) int {
	if n.Model != nil || !g.crowd.brittle(n.Now) {
		return nil
	}
	entryVMs := 1
	if p.EntryVMs != nil {
		entryVMs = p.EntryVMs()
	}
	return func(slots int) int { return mostAtOnce(slots, entryVMs) }
}

// eligible reports whether the server may take such requests at all.
func (st *state) eligible(n *Criteria) bool {
	return st.active(n.Now) && !st.Draining && (n.Allowed == nil || n.Allowed(st.Version)) &&
		(n.Only == nil || slices.Contains(n.Only, st.ID))
}

// Sample returns up to n servers of a service, or of all services if it is empty, of different services and
// failure domains if possible.
func (p *Pool) Sample(now time.Time, service routing.ServiceName, n int) []Choice {
	type place struct {
		service routing.ServiceName
		domain  names.ID
	}
	places := make(map[place][]Choice)
	for _, g := range p.groupsOf(service) {
		g.mu.Lock()
		for _, st := range g.servers {
			if st.active(now) {
				k := place{st.Service, st.Domain}
				places[k] = append(places[k], Choice{Server: st.Server, DialTime: st.dial})
			}
		}
		g.mu.Unlock()
	}
	var list []Choice
	for len(list) < n && len(places) > 0 {
		for k, all := range places {
			if len(list) == n {
				break
			}
			i := rand.IntN(len(all))
			list = append(list, all[i])
			if places[k] = slices.Delete(all, i, i+1); len(places[k]) == 0 {
				delete(places, k)
			}
		}
	}
	return list
}

// RetryAt returns the instant at which the first server accepts requests again, if all servers
// that may take the request have refused others until some instant or have no room under their
// limits. Exclude has no effect.
func (p *Pool) RetryAt(n Criteria) (time.Time, bool) {
	g := p.group(n.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	var first time.Time
	for _, st := range g.servers {
		if !st.eligible(&n) {
			continue
		}
		at := st.retryAt
		if !g.hasRoom(n.Now, st) {
			at = later(at, n.Now.Add(g.limitedTo(n.Now, st).roomIn()))
		}
		if !n.Now.Before(at) {
			return time.Time{}, false
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// Cost of leaving the failure domain or the region, expressed as waiting time: about one round
// trip.
const (
	crossDomainCost = 3 * time.Millisecond
	crossRegionCost = 60 * time.Millisecond
)

func distance(n *Criteria, d names.ID) time.Duration {
	switch {
	case d == n.Domain:
		return 0
	case n.Region != nil && n.Region(d) == n.Region(n.Domain):
		return crossDomainCost
	}
	return crossRegionCost
}

// limitedCost is the cost of using a permit of a server with a limit, expressed as waiting time.
// Below that of leaving the region, so that what such servers take is used.
const limitedCost = 20 * time.Millisecond

// plainCallTime is the assumed duration of a plain call in one of a server's slots.
const plainCallTime = 40 * time.Millisecond

// choosePlain picks the server with the shortest expected wait. Entry VMs with different seeds choose
// differently among equal ones.
func choosePlain(all []candidate, seed string) Choice {
	best := slices.MinFunc(all, func(a, b candidate) int {
		if c := cmp.Compare(a.plainWait(), b.plainWait()); c != 0 || seed == "" {
			return cmp.Or(c, cmp.Compare(a.ID, b.ID))
		}
		return cmp.Compare(xxhash.Sum64String(seed+"/"+string(a.ID)), xxhash.Sum64String(seed+"/"+string(b.ID)))
	})
	return best.Choice
}

// plainWait returns the expected wait of a call at the server.
func (c *candidate) plainWait() time.Duration {
	slots := max(1, c.Slots)
	queued := max(0, c.Load.Requests+1-slots)
	// Part of the load counts even before all slots are taken, because other entry VMs use
	// the slots too.
	cost := c.distance
	if c.Limited {
		cost += limitedCost
	}
	return cost + time.Duration(queued)*plainCallTime/time.Duration(slots) +
		time.Duration(c.Load.Requests)*plainCallTime/time.Duration(4*slots)
}

// An engine whose load exceeds loadFactor times the mean plus loadSlack is passed over even if
// the prompt hashes to it.
const (
	loadFactor = 1.25
	loadSlack  = 1
)

// chooseEngine picks the engine that the affinity key hashes to, among the engines that are not
// much more loaded than the mean and have KV cache left. A caller that reconnects through
// another entry VM thus reaches the engine that has already prefilled its prompt, unless that
// engine is loaded or gone.
func chooseEngine(n *Criteria, all []candidate) Choice {
	requests := 0
	for i := range all {
		requests += all[i].Load.Requests
	}
	limit := int(loadFactor*float64(requests)/float64(len(all))) + loadSlack
	fits := func(c *candidate) bool {
		return c.Load.Tokens+n.Tokens <= n.Model.KVTokens && c.Load.Requests < n.Model.Slots
	}
	// rank returns a lower number for a better engine. KV cache and slots matter most, then
	// the failure domain to avoid, then the load limit; the key's hash breaks ties.
	rank := func(c *candidate) int {
		r := 0
		if c.Load.Requests > limit || c.Limited {
			r++
		}
		if c.avoided {
			r += 2
		}
		if !fits(c) {
			r += 4
		}
		return r
	}
	best := slices.MinFunc(all, func(a, b candidate) int {
		ra, rb := rank(&a), rank(&b)
		if ra != rb {
			return cmp.Compare(ra, rb)
		}
		if ra != 0 && a.Load.Requests != b.Load.Requests {
			return cmp.Compare(a.Load.Requests, b.Load.Requests)
		}
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID))
	})
	return best.Choice
}
