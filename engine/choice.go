package engine

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"quetzalhold/names"
)

// Chooser picks an engine for a request. Its zero value uses the defaults.
type Chooser struct {
	// Sample is the number of random candidates that are compared.
	Sample int
	// ReportHalfLife is the age at which a load report counts half.
	ReportHalfLife time.Duration
	// RefusalPause is how long an engine that refused work is passed over.
	RefusalPause time.Duration
	// TokenTime is the believed time of an engine for one pending token.
	TokenTime time.Duration
	// PrefillRate is the believed speed of prefill in tokens a second.
	PrefillRate float64
	// CrossDomain and CrossRegion are the prices of leaving the domain or the
	// region, as waiting time.
	CrossDomain time.Duration
	CrossRegion time.Duration
	// RegionOf returns the region of a failure domain; nil puts each domain
	// in a region of its own.
	RegionOf func(names.ID) names.ID
	// Rand returns a random number in [0, n); nil uses math/rand/v2.
	Rand func(n int) int
}

// The defaults of Chooser.
const (
	defaultSample         = 3
	defaultReportHalfLife = 2 * time.Second
	defaultRefusalPause   = 500 * time.Millisecond
	defaultTokenTime      = 500 * time.Microsecond
	defaultCrossDomain    = 5 * time.Millisecond
	defaultCrossRegion    = 400 * time.Millisecond
)

func (c Chooser) withDefaults() Chooser {
	c.Sample = cmp.Or(c.Sample, defaultSample)
	c.ReportHalfLife = cmp.Or(c.ReportHalfLife, defaultReportHalfLife)
	c.RefusalPause = cmp.Or(c.RefusalPause, defaultRefusalPause)
	c.TokenTime = cmp.Or(c.TokenTime, defaultTokenTime)
	c.PrefillRate = cmp.Or(c.PrefillRate, defaultPrefillRate)
	c.CrossDomain = cmp.Or(c.CrossDomain, defaultCrossDomain)
	c.CrossRegion = cmp.Or(c.CrossRegion, defaultCrossRegion)
	if c.Rand == nil {
		c.Rand = rand.IntN
	}
	return c
}

// Requirements is what a request asks of an engine.
type Requirements struct {
	Now     time.Time
	Domain  names.ID // of this entry VM
	Prefill Tokens   // of the prompt and what was delivered already
	Exclude []ServerID
}

// Choice is the engine picked and why.
type Choice struct {
	ID     ServerID
	Cost   time.Duration // believed wait until the first token
	Cached Tokens        // believed to be in its prefix cache
	Among  int           // candidates compared
}

// Choose picks the cheapest of a few random candidates, so that many entry VMs
// with the same view do not all pick the same engine. Engines that are silent
// or refused work just now count only where there is no other; the excluded
// ones never do. It reports false if there is none.
func (c Chooser) Choose(n Requirements, all []Candidate) (Choice, bool) {
	c = c.withDefaults()
	good := make([]int, 0, len(all))
	var doubtful []int
	for i := range all {
		switch {
		case excluded(n.Exclude, all[i].ID):
		case c.doubtful(n.Now, all[i]):
			doubtful = append(doubtful, i)
		default:
			good = append(good, i)
		}
	}
	if len(good) == 0 {
		good = doubtful
	}
	if len(good) == 0 {
		return Choice{}, false
	}
	return c.cheapest(n, all, c.nearest(n, all, good)), true
}

func excluded(list []ServerID, id ServerID) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}

func (c Chooser) doubtful(now time.Time, cand Candidate) bool {
	silent := cand.SilentAt.After(cand.LastSeen)
	refused := !cand.RefusedAt.IsZero() && now.Before(cand.RefusedAt.Add(c.RefusalPause))
	return silent || refused
}

// nearest samples half of the picks from this entry VM's region where it has
// any, so that a fleet that is mostly elsewhere does not hide it. Picks are
// indices of all.
func (c Chooser) nearest(n Requirements, all []Candidate, from []int) []int {
	if len(from) <= c.Sample {
		return from
	}
	var near []int
	for _, i := range from {
		if c.region(all[i].Domain) == c.region(n.Domain) {
			near = append(near, i)
		}
	}
	picks := c.sample(nil, from)
	return c.sample(picks, near)
}

// sample appends distinct random members of from to picks. It reorders from.
func (c Chooser) sample(picks, from []int) []int {
	for i := 0; i < c.Sample && i < len(from); i++ {
		j := i + c.Rand(len(from)-i)
		from[i], from[j] = from[j], from[i]
		picks = append(picks, from[i])
	}
	return picks
}

func (c Chooser) cheapest(n Requirements, all []Candidate, picks []int) Choice {
	best := Choice{Cost: math.MaxInt64, Among: len(picks)}
	for _, i := range picks {
		cand := all[i]
		if cost := c.cost(n, cand); cost < best.Cost {
			best.ID = cand.ID
			best.Cost = cost
			best.Cached = cand.Cached
		}
	}
	return best
}

// cost returns the believed wait until the candidate's first token plus the
// price of the way there. This entry VM's own work is known exactly; a report
// counts for what exceeds it, less with age.
func (c Chooser) cost(n Requirements, cand Candidate) time.Duration {
	pending := float64(cand.InFlight)
	if !cand.ReportedAt.IsZero() {
		age := n.Now.Sub(cand.ReportedAt)
		weight := math.Exp2(-float64(age) / float64(c.ReportHalfLife))
		pending += weight * max(0, float64(cand.Reported-cand.InFlight))
	}
	wait := time.Duration(pending * float64(c.TokenTime))
	left := max(0, float64(n.Prefill-cand.Cached))
	prefill := time.Duration(left / c.PrefillRate * float64(time.Second))
	return wait + prefill + c.crossing(n.Domain, cand.Domain)
}

func (c Chooser) crossing(from, to names.ID) time.Duration {
	switch {
	case from == to:
		return 0
	case c.region(from) == c.region(to):
		return c.CrossDomain
	}
	return c.CrossRegion
}

func (c Chooser) region(d names.ID) names.ID {
	if c.RegionOf == nil {
		return d
	}
	return c.RegionOf(d)
}
