package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/routing"
)

// Criteria is what a request asks of a server.
type Criteria struct {
	Now     time.Time
	Service routing.ServiceName
	Domain  names.ID // of this entry VM
	// Region returns a failure domain's region.
	Region func(names.ID) names.ID
	// Exclude are servers that the request must not go to.
	Exclude []engine.ServerID
	// Avoid is a failure domain that counts only where there is no other; empty
	// for none.
	Avoid names.ID
	// NearOnly leaves out what is in another region or to be avoided.
	NearOnly bool
	// Allowed reports whether a version may take the request; nil allows all.
	Allowed func(engine.Version) bool
	// AffinityKey is what an engine may have in its prefix cache.
	AffinityKey string
	// Tokens is the memory that the request takes; 0 for plain requests.
	Tokens engine.Tokens
	Model  *routing.Model // nil for plain services
}

// Nearby returns the need of a server that is near.
func (n Criteria) Nearby() Criteria {
	n.NearOnly = true
	return n
}

// Without returns the need of a server that is none of list.
func (n Criteria) Without(list []Choice) Criteria {
	n.Exclude = slices.Clone(n.Exclude)
	for i := range list {
		n.Exclude = append(n.Exclude, list[i].ID)
	}
	return n
}

// Choice is the server picked and why.
type Choice struct {
	Server
	DialTime    time.Duration // usual time to open a connection; 0 if unknown
	Load    Load          // of this entry VM
	Considered   int           // servers that stood for choice
	Suspect bool          // only suspect servers were left
}

// candidate is a server as one choice sees it.
type candidate struct {
	Choice
	weight  uint64 // its rendezvous weight for the subject
	avoided bool
	far     time.Duration
}

// Choose picks a server, or reports false if there is none.
func (p *Pool) Choose(n Criteria) (Choice, bool) {
	all := p.group(n.Service).candidates(&n)
	if len(all) == 0 {
		return Choice{}, false
	}
	if n.Model != nil {
		return chooseEngine(&n, all), true
	}
	return choosePlain(all), true
}

// candidates returns the servers that may take the request: suspect ones only
// where there is no other.
func (g *group) candidates(n *Criteria) []candidate {
	g.mu.Lock()
	defer g.mu.Unlock()
	var sound, suspect []candidate
	for _, st := range g.servers {
		if !st.standing(n.Now) || st.Draining || slices.Contains(n.Exclude, st.ID) || n.Allowed != nil && !n.Allowed(st.Version) {
			continue
		}
		c := candidate{
			Choice:  Choice{Server: st.Server, DialTime: st.dial, Load: st.work, Suspect: st.suspect(n.Now)},
			avoided: n.Avoid != "" && st.Domain == n.Avoid,
			far:     distance(n, st.Domain),
		}
		if n.NearOnly && (c.avoided || c.far >= priceRegion) {
			continue
		}
		if n.AffinityKey != "" {
			c.weight = xxhash.Sum64String(n.AffinityKey + "/" + string(st.ID))
		}
		if c.Suspect {
			suspect = append(suspect, c)
		} else {
			sound = append(sound, c)
		}
	}
	if len(sound) == 0 {
		sound = suspect
	}
	for i := range sound {
		sound[i].Considered = len(sound)
	}
	return sound
}

// The prices of leaving the failure domain or the region, as waiting time: about
// a round trip.
const (
	priceDomain = 3 * time.Millisecond
	priceRegion = 60 * time.Millisecond
)

func distance(n *Criteria, d names.ID) time.Duration {
	switch {
	case d == n.Domain:
		return 0
	case n.Region != nil && n.Region(d) == n.Region(n.Domain):
		return priceDomain
	}
	return priceRegion
}

// plainTime is the believed time of a plain call in a server's slot.
const plainTime = 40 * time.Millisecond

// choosePlain picks the server with the least believed wait.
func choosePlain(all []candidate) Choice {
	wait := func(c *candidate) time.Duration {
		slots := max(1, c.Slots)
		queued := max(0, c.Load.Requests+1-slots)
		// A part of the load counts even before all slots are taken: other
		// entry VMs use them too.
		return c.far + time.Duration(queued)*plainTime/time.Duration(slots) +
			time.Duration(c.Load.Requests)*plainTime/time.Duration(4*slots)
	}
	best := slices.MinFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(wait(&a), wait(&b)), cmp.Compare(a.ID, b.ID))
	})
	return best.Choice
}

// The bounds on an engine's load beyond the mean, within which the engine that
// a prompt hashes to gets the request.
const (
	loadFactor = 1.25
	loadSlack  = 1
)

// chooseEngine picks the engine that the subject hashes to, among those that are
// not much more loaded than the mean and have memory left. A caller that comes
// back through another entry VM finds the engine that read its prompt, unless
// that one is loaded or gone.
func chooseEngine(n *Criteria, all []candidate) Choice {
	requests := 0
	for i := range all {
		requests += all[i].Load.Requests
	}
	limit := int(loadFactor*float64(requests)/float64(len(all))) + loadSlack
	fits := func(c *candidate) bool {
		return c.Load.Tokens+n.Tokens <= n.Model.KVTokens && c.Load.Requests < n.Model.Slots
	}
	// rank orders by what matters most: memory, domain, load within the limit,
	// then the subject's hash.
	rank := func(c *candidate) int {
		r := 0
		if c.Load.Requests > limit {
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
