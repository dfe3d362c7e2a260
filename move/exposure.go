package move

import (
	"math"
	"time"
)

// Baseline counts the requests of a service by route over the last seconds, so that a move knows from its
// start which traffic there is and how often the old version fails. The zero value has none.
type Baseline struct {
	current, previous baselinePeriod
}

// baselinePeriod is the part of a baseline that is dropped together.
type baselinePeriod struct {
	since  time.Time
	routes map[Route]baselineCount
}

// baselineCount is a number of requests, and the answers and failures of the old version among them.
type baselineCount struct{ n, old, failed int }

// baselineTime is how long a baseline goes back at least.
const baselineTime = 15 * time.Second

// Add adds a request. The failures of a version that a move is under way to are not counted.
func (b *Baseline) Add(now time.Time, r Route, isNew, failed bool) {
	if b.current.routes == nil || now.Sub(b.current.since) >= baselineTime {
		b.previous, b.current = b.current, baselinePeriod{since: now, routes: make(map[Route]baselineCount)}
	}
	c := b.current.routes[r]
	c.n++
	if !isNew {
		c.old++
		if failed {
			c.failed++
		}
	}
	b.current.routes[r] = c
}

// Counts returns the answers of the old version, as counts from before a move.
func (b *Baseline) Counts() []Count {
	var list []Count
	for r, c := range b.sum() {
		if c.old > 0 {
			list = append(list, Count{Route: r, N: c.old, Failed: c.failed, Before: true})
		}
	}
	return list
}

func (b *Baseline) sum() map[Route]baselineCount {
	all := make(map[Route]baselineCount)
	for _, p := range []baselinePeriod{b.previous, b.current} {
		for r, c := range p.routes {
			s := all[r]
			s.n, s.old, s.failed = s.n+c.n, s.old+c.old, s.failed+c.failed
			all[r] = s
		}
	}
	return all
}

// since returns when the baseline begins.
func (b *Baseline) since() time.Time {
	if !b.previous.since.IsZero() {
		return b.previous.since
	}
	return b.current.since
}

// The first shares of a limited move.
const (
	// maxRouteShare leaves enough requests of a route to the old version to compare with.
	maxRouteShare = 0.5
	// minSharePeriod is the shortest time over which what is left is spread.
	minSharePeriod = time.Second
	// minBaseline is the number of requests from which on traffic is known well enough.
	minBaseline = 5
	// sharesInterval is how long first shares are good for, and burstInterval in the burst.
	sharesInterval, burstInterval = time.Second, 50 * time.Millisecond
)

// The burst of a limited move: for a moment the new version gets most requests, as it will once the move
// is finished. It may be good only while it has little to do.
const (
	// burstShare leaves some requests to the old version, as the last step does.
	burstShare = lastShare
	// burstPart is the part of the requests of the first step that are sent in the burst.
	burstPart = 0.36
	// burstBegin is when it begins, as a fraction of the time until the end is decided: answers must
	// come by then.
	burstBegin = 0.6
	// minSteadyPart is the least part of a route's requests that are sent outside the burst.
	minSteadyPart = 0.1
)

// FirstShares are the shares of the new version in the first step of a limited move. The zero value is
// unknown shares.
type FirstShares struct {
	// ByRoute is nil if the traffic is not known.
	ByRoute map[Route]float64
	Kept    float64   // part of the allowance that is kept for the burst
	Until   time.Time // when they are to be worked out again
}

// FirstShares returns the first shares of a limited move, by route, for the requests that pass an entry VM with an
// allowance. Each route gets a part of it by how many answers tell a bad version from the old one: with the same
// share of all, a route with little traffic would show nothing. Some are kept for the burst.
func (p *Plan) FirstShares(now time.Time, b *Baseline, allowed *Allowance) FirstShares {
	f := FirstShares{Until: now.Add(sharesInterval)}
	a := p.firstStep(now, b, allowed)
	if !p.limited() || a.total < minBaseline || a.rate <= 0 {
		return f
	}
	f.ByRoute = make(map[Route]float64, len(a.routes))
	begin := p.Start.Add(time.Duration(burstBegin * float64(p.decideAt().Sub(p.Start))))
	end := begin.Add(time.Duration(burstPart * a.budget / (burstShare * a.rate) * float64(time.Second)))
	if now.Before(begin) {
		f.Kept, f.Until = burstPart, earliest(f.Until, begin)
	} else if now.Before(end) {
		f.Until = earliest(now.Add(burstInterval), end)
		share := a.inBurst(allowed.Sent())
		for r := range a.routes {
			f.ByRoute[r] = share
		}
		return f
	}
	left := max(minSharePeriod, p.firstStepEnd().Sub(now)).Seconds()
	for r, part := range a.steadyParts() {
		n := (1-burstPart)*a.budget*part - float64(allowed.sent[r])
		if !now.Before(end) {
			n = (a.budget - float64(allowed.Sent())) * part
		}
		traffic := a.rate * left * float64(a.routes[r].n) / float64(a.total)
		f.ByRoute[r] = max(0, min(maxRouteShare, n/traffic))
	}
	return f
}

// firstStep is the traffic of a service that passes an entry VM, and what a new version gets of it in the
// first step of a limited move.
type firstStep struct {
	routes map[Route]baselineCount
	total  int               // requests of the baseline
	rate   float64           // requests a second; 0 if it is not known
	needed map[Route]float64 // answers that tell a bad version, this entry VM's part of them
	budget float64           // requests of the new version
}

func (p *Plan) firstStep(now time.Time, b *Baseline, allowed *Allowance) firstStep {
	a := firstStep{routes: b.sum(), needed: make(map[Route]float64)}
	sum := 0.0
	for r, c := range a.routes {
		a.total += c.n
		a.needed[r] = answersNeeded(c) / float64(allowed.entries())
		sum += a.needed[r]
	}
	if over := now.Sub(b.since()); over > 0 {
		a.rate = float64(a.total) / over.Seconds()
	}
	permitted := p.MaxExposure * a.rate * latest(now, p.firstStepEnd()).Sub(p.Start).Seconds()
	a.budget = limitedFirstPart * permitted
	if lacks := answersMargin*sum - a.budget; lacks > 0 {
		a.budget += min(lacks, allowed.slack+permitted-a.budget)
	}
	return a
}

// answerTime is how long it takes until an answer is known where the end is decided.
const answerTime = 500 * time.Millisecond

// firstStepEnd returns by when the first step of a limited move has sent its requests: the answers to later ones
// are not known when the end is decided. If that waits, those that are permitted meanwhile are sent until lastSendAt.
func (p *Plan) firstStepEnd() time.Time { return p.decideAt().Add(-answerTime) }

// lastSendAt returns when the first step sends its last requests.
func (p *Plan) lastSendAt() time.Time { return p.lastDecideAt().Add(-answerTime) }

// inBurst returns the share of the new version in the burst, unless the budget is used up.
func (a *firstStep) inBurst(sent int) float64 {
	if float64(sent) >= a.budget {
		return 0
	}
	return burstShare
}

// steadyParts returns the parts of the routes in the requests outside the burst, by what the burst leaves to be
// needed.
func (a *firstStep) steadyParts() map[Route]float64 {
	parts, sum := make(map[Route]float64, len(a.routes)), 0.0
	for r, c := range a.routes {
		burst := burstPart * a.budget * float64(c.n) / float64(a.total)
		parts[r] = max(minSteadyPart*a.needed[r], a.needed[r]-burst)
		sum += parts[r]
	}
	for r := range parts {
		parts[r] /= sum
	}
	return parts
}

// Parameters of answersNeeded.
const (
	// minAnswers is enough to see whether a version is slow.
	minAnswers = 24
	// answersMargin allows for answers that come after the end is decided, and for entry VMs that get fewer requests.
	answersMargin = 1.8
	// failExcess is the least excess of a bad version's rate of failures that is to be found.
	failExcess = 0.25
	// Quantiles of the normal distribution for a chance of 1 in 300 to take a good version for a bad one, and of 1 in 50
	// to miss a bad one.
	falseQuantile, missQuantile = 2.75, 2.05
)

// answersNeeded returns how many answers of a route tell a bad version from one that fails as often as
// the old one did.
func answersNeeded(c baselineCount) float64 {
	o := rates{n: float64(c.old), failed: float64(c.failed)}
	p0 := min(0.5, max(minFailRate, o.meanRate()))
	p1 := max(badFailRate, p0+failExcess)
	d := falseQuantile*math.Sqrt(p0*(1-p0)) + missQuantile*math.Sqrt(p1*(1-p1))
	return max(minAnswers, d*d/((p1-p0)*(p1-p0)))
}
