package backend

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"quetzalhold/engine"
)

// Rate is a number of requests a second.
type Rate float64

const (
	// Unlimited is the rate of servers that have not named a limit.
	Unlimited Rate = 0
	// MinRate is the lowest limit: a server that names a lower one must be asked now and then,
	// because only its answers show that the limit has ended.
	MinRate Rate = 0.05
	// MaxRate is the highest limit. All entry VMs together send less to one server, so that a higher limit is none.
	MaxRate Rate = 1e6
)

// Bounded returns the limit that is kept for a rate that a server has named.
func (r Rate) Bounded() Rate {
	if r == Unlimited || !(r <= MaxRate) { // NaN is no limit either
		return Unlimited
	}
	return max(MinRate, r)
}

// maxInterval is above the time between two permits of the lowest limit, in any number of failure domains.
const maxInterval = 24 * time.Hour

// interval returns the time between two permits of one of some failure domains that share a limit. It is positive.
func (r Rate) interval(domains int) time.Duration {
	if !(r >= MinRate) { // NaN too
		r = MinRate
	}
	seconds := float64(max(1, domains)) / float64(permitShare*min(r, MaxRate))
	return time.Duration(min(seconds, maxInterval.Seconds()) * float64(time.Second))
}

// RateLimit is the limit that a start of a server has named in its answers.
type RateLimit struct {
	Server engine.ServerID
	Start  engine.Incarnation
	Rate   Rate
	At     time.Time // when an answer showed it
}

// rateLimit is what this entry VM knows about the limit of a server's start, and its permits to
// send requests there. The zero value is no limit.
type rateLimit struct {
	rate    Rate
	heardAt time.Time   // when an answer showed it
	permits []time.Time // ends of the permits, in order
	wanted  int         // requests that took or lacked a permit since the last demand
}

// limitedTo returns the rate to which requests for a server are limited: what it has named, or what
// the load on the servers of its service requires.
func (g *group) limitedTo(now time.Time, st *state) Rate {
	named, crowded := st.limit.rate, g.crowd.rate(now, st.Slots)
	if named == Unlimited || crowded == Unlimited {
		return max(named, crowded)
	}
	return min(named, crowded)
}

// hasRoom reports whether a request may be sent to a server.
func (g *group) hasRoom(now time.Time, st *state) bool {
	return g.limitedTo(now, st) == Unlimited || st.limit.hasPermit(now)
}

// hasPermit reports whether there is a permit. It drops those that have ended.
func (l *rateLimit) hasPermit(now time.Time) bool {
	i := 0
	for i < len(l.permits) && !now.Before(l.permits[i]) {
		i++
	}
	l.permits = slices.Delete(l.permits, 0, i)
	return len(l.permits) > 0
}

// The bounds of the time after which callers are told to come back to servers without room.
const (
	minRoomIn = 300 * time.Millisecond
	maxRoomIn = 2 * time.Second
)

// roomIn returns how long a server with a limit takes to have room for a further request.
func (r Rate) roomIn() time.Duration {
	return min(max(time.Duration(float64(time.Second)/float64(r)), minRoomIn), maxRoomIn)
}

// SetLimit records a limit and reports whether it has changed. What an earlier answer showed has no
// effect.
func (p *Pool) SetLimit(l RateLimit) bool {
	changed := false
	l.Rate = l.Rate.Bounded()
	p.withState(l.Server, func(st *state) {
		known := &st.limit
		if st.Start != l.Start || l.At.Before(known.heardAt) || l.Rate == Unlimited && known.rate == Unlimited {
			return
		}
		changed = known.rate != l.Rate
		known.rate, known.heardAt = l.Rate, l.At
	})
	return changed
}

// Limited reports whether a server has named a limit.
func (p *Pool) Limited(id engine.ServerID) bool {
	limited := false
	p.withState(id, func(st *state) { limited = st.limit.rate != Unlimited })
	return limited
}

// LimitedServers returns the number of servers to which requests are limited.
func (p *Pool) LimitedServers(now time.Time) int {
	n := 0
	for _, g := range p.allGroups() {
		g.mu.Lock()
		for _, st := range g.servers {
			if st.active(now) && g.limitedTo(now, st) != Unlimited {
				n++
			}
		}
		g.mu.Unlock()
	}
	return n
}

// LimitOf returns the rate to which requests for a server are limited.
func (p *Pool) LimitOf(id engine.ServerID, now time.Time) Rate {
	g := p.groupOf(id)
	if g == nil {
		return Unlimited
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if st := g.servers[id]; st != nil {
		return g.limitedTo(now, st)
	}
	return Unlimited
}

// Take reports whether a request may be sent to a server, and if so uses up a permit where its limit
// requires one. None is sent before the end of the time for which the server refuses requests, however it was chosen.
func (p *Pool) Take(id engine.ServerID, now time.Time) bool {
	g := p.groupOf(id)
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	st := g.servers[id]
	switch {
	case st == nil:
		return true
	case now.Before(st.retryAt):
		return false
	case g.limitedTo(now, st) == Unlimited:
		return true
	case !st.limit.hasPermit(now):
		return false
	}
	st.limit.permits = slices.Delete(st.limit.permits, 0, 1)
	st.limit.wanted++
	return true
}

// lack records that a request lacked a permit for a server.
func (p *Pool) lack(st *state) {
	st.limit.wanted++
	if p.OnShort != nil {
		p.OnShort()
	}
}

// Demand is the number of permits that an entry VM asks for.
type Demand struct {
	Server engine.ServerID
	Start  engine.Incarnation
	Rate   Rate // the server's limit
	Count  int
}

// Permit allows an entry VM to send a number of requests to a server.
type Permit struct {
	Server engine.ServerID    `json:"server"`
	Start  engine.Incarnation `json:"start"`
	Count  int                `json:"count"`
}

// maxDemand bounds the permits that are asked for at once.
const maxDemand = 64

// Demands returns the permits that were needed since the last call and are not in hand.
func (p *Pool) Demands(now time.Time) []Demand {
	var all []Demand
	for _, g := range p.allGroups() {
		g.mu.Lock()
		for _, st := range g.servers {
			l, rate := &st.limit, g.limitedTo(now, st)
			if rate == Unlimited || l.wanted == 0 {
				continue
			}
			l.hasPermit(now) // drops those that have ended
			if n := min(l.wanted, maxDemand) - len(l.permits); n > 0 {
				all = append(all, Demand{Server: st.ID, Start: st.Start, Rate: rate, Count: n})
			}
			l.wanted = 0
		}
		g.mu.Unlock()
	}
	return all
}

func (p *Pool) allGroups() []*group {
	p.mu.RLock()
	defer p.mu.RUnlock()
	all := make([]*group, 0, len(p.groups))
	for _, g := range p.groups {
		all = append(all, g)
	}
	return all
}

// permitValidFor is how long a permit can be used after it was asked for.
const permitValidFor = 500 * time.Millisecond

// AddPermits adds permits that were asked for at an instant.
func (p *Pool) AddPermits(askedAt time.Time, list []Permit) {
	for _, x := range list {
		p.withState(x.Server, func(st *state) {
			for range min(x.Count, maxDemand) {
				if st.Start == x.Start {
					st.limit.permits = append(st.limit.permits, askedAt.Add(permitValidFor))
				}
			}
		})
	}
}

// Permits hands out permits to the entry VMs of a failure domain, which has an equal part of each
// server's limit with the other ones. The zero value is ready for use.
type Permits struct {
	mu   sync.Mutex
	next map[serverStart]time.Time // when the next permit for a server is due
}

type serverStart struct {
	id    engine.ServerID
	start engine.Incarnation
}

const (
	// permitShare is the part of a limit that is handed out. It leaves room for requests that
	// are sent before an entry VM knows of the limit.
	permitShare = 0.9
	// permitBacklog is the time over which permits may add up that nobody has asked for: entry VMs
	// ask once in a while.
	permitBacklog = 250 * time.Millisecond
	// permitsKept is how long a server is remembered for which no permit is asked for.
	permitsKept = time.Minute
)

// Grant returns the permits that are due of those asked for by one of the failure domains, which are
// domains in number. In any time no more are handed out than are due in it and permitBacklog, and one.
func (p *Permits) Grant(now time.Time, domains int, demands []Demand) []Permit {
	if len(demands) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next == nil {
		p.next = make(map[serverStart]time.Time)
	}
	for k, at := range p.next {
		if now.Sub(at) > permitsKept {
			delete(p.next, k)
		}
	}
	var list []Permit
	for _, d := range demands {
		interval := d.Rate.interval(domains)
		k := serverStart{d.Server, d.Start}
		next, ok := p.next[k]
		if !ok {
			// Failure domains that begin at the same moment are not to go on in step.
			next = now.Add(rand.N(interval))
		}
		next = later(next, now.Add(-permitBacklog))
		n := 0
		for ; n < min(d.Count, maxDemand) && !next.After(now); n++ {
			next = next.Add(interval)
		}
		p.next[k] = next
		if n > 0 {
			list = append(list, Permit{Server: d.Server, Start: d.Start, Count: n})
		}
	}
	return list
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
