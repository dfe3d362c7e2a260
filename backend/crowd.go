package backend

import (
	"math"
	"time"

	"quetzalhold/engine"
	"quetzalhold/routing"
)

// crowd is what this entry VM knows of the load on the servers of a service that are brittle: they
// fall over if they have to refuse many requests. The zero value is a service whose servers are not.
type crowd struct {
	brittleAt time.Time // when an answer last showed it
	// share is the part of what they can answer that the servers get after one of them refused a
	// request, as of shareAt; zero if none did. It grows until it is no limit any more.
	share     float64
	shareAt   time.Time
	loweredAt time.Time // when a refusal last lowered it, at any entry VM
	// took is the usual time of an answer; zero if there was none, as at engines.
	took time.Duration
}

// Load on servers that are brittle.
const (
	// brittleFor is how long servers count as brittle after an answer that shows it.
	brittleFor = 15 * time.Second
	// crowdedShare is the first share after a refusal. A further refusal multiplies it by
	// crowdedFactor, once in crowdedStep.
	crowdedShare  = 0.5
	crowdedFactor = 0.8
	minShare      = 0.1
	crowdedStep   = 500 * time.Millisecond
	// Without refusals the share is multiplied by growth in every growthStep, until it is above
	// maxShare.
	growth     = 1.15
	growthStep = time.Second
	maxShare   = 3
	// tookWeight is the divisor by which one answer counts in the usual time.
	tookWeight = 8
)

func (c *crowd) brittle(now time.Time) bool {
	return !c.brittleAt.IsZero() && now.Sub(c.brittleAt) < brittleFor
}

// currentShare returns the part of what servers can answer that they get; 0 if it is not limited.
func (c *crowd) currentShare(now time.Time) float64 {
	if c.share == 0 {
		return 0
	}
	share := c.share * math.Pow(growth, float64(now.Sub(c.shareAt))/float64(growthStep))
	if share > maxShare {
		return 0
	}
	return share
}

// rate returns the limit of a server that has so many slots.
func (c *crowd) rate(now time.Time, slots int) Rate {
	share := c.currentShare(now)
	if share == 0 || c.took == 0 {
		return Unlimited
	}
	return max(MinRate, Rate(share*float64(max(1, slots))/c.took.Seconds())).Bounded()
}

// refused records that a server has refused a request for want of room that was sent at an instant.
// Requests that were sent before the share was lowered do not lower it again.
func (c *crowd) refused(now, sentAt time.Time) {
	share := c.currentShare(now)
	switch {
	case share == 0:
		c.share, c.shareAt, c.loweredAt = crowdedShare, now, now
	case sentAt.Sub(c.loweredAt) >= crowdedStep:
		c.share, c.shareAt, c.loweredAt = max(minShare, min(crowdedShare, share*crowdedFactor)), now, now
	}
}

// Crowd is a service whose servers get only a part of what they can answer.
type Crowd struct {
	Service routing.ServiceName `json:"service"`
	Share   float64             `json:"share"`
	// AgeMs is the time in milliseconds since a refusal lowered it.
	AgeMs int64 `json:"ageMs"`
}

// Crowds returns the services whose servers get only a part of what they can answer.
func (p *Pool) Crowds(now time.Time) []Crowd {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var list []Crowd
	for n, g := range p.groups {
		g.mu.Lock()
		if share := g.crowd.currentShare(now); share > 0 {
			list = append(list, Crowd{Service: n, Share: share, AgeMs: now.Sub(g.crowd.loweredAt).Milliseconds()})
		}
		g.mu.Unlock()
	}
	return list
}

// ApplyCrowds records what other entry VMs know of the load on servers. The lowest share counts.
func (p *Pool) ApplyCrowds(now time.Time, list []Crowd) {
	for _, x := range list {
		g := p.group(x.Service)
		g.mu.Lock()
		if known := g.crowd.currentShare(now); known == 0 || x.Share < known {
			g.crowd.share, g.crowd.shareAt = max(minShare, x.Share), now
		}
		g.crowd.loweredAt = later(g.crowd.loweredAt, now.Add(-time.Duration(x.AgeMs)*time.Millisecond))
		g.mu.Unlock()
	}
}

// answered records how long an answer took.
func (c *crowd) answered(took time.Duration) {
	if c.took == 0 {
		c.took = took
	}
	c.took += (took - c.took) / tookWeight
}

// mostAtOnce returns the requests that this entry VM may have in flight at a brittle server, which
// all entry VMs together are not to fill beyond its slots.
func mostAtOnce(slots, entryVMs int) int { return max(1, slots/max(1, entryVMs)) }

// RecordBrittle records that a server's answer shows that the servers of its service are brittle.
func (p *Pool) RecordBrittle(id engine.ServerID, now time.Time) {
	if g := p.groupOf(id); g != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.crowd.brittleAt = now
	}
}

// RecordRefusal records that a server has refused a request for want of room that was sent at an
// instant. It reports whether the load on the servers of its service is limited from now on, and was
// not before.
func (p *Pool) RecordRefusal(id engine.ServerID, now, sentAt time.Time) bool {
	g := p.groupOf(id)
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.crowd.brittle(now) {
		return false
	}
	before := g.crowd.currentShare(now)
	g.crowd.refused(now, sentAt)
	return before == 0
}

// RecordAnswer records how long a server of a service took to answer.
func (p *Pool) RecordAnswer(n routing.ServiceName, took time.Duration) {
	g := p.group(n)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crowd.answered(took)
}
