package engine

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"quetzalhold/names"
)

// Chooser selects an engine for a request. The zero value uses the defaults.
type Chooser struct {
	// SampleSize is the number of candidates to sample at random, and the number
	// to sample again within this entry VM's region.
	SampleSize int
	// ReportHalfLife is the age at which the weight of a load report is one half.
	ReportHalfLife time.Duration
	// RefusalPause is how long an engine that refused work is avoided.
	RefusalPause time.Duration
	// TokenTime is the estimated time an engine needs for one pending token.
	TokenTime time.Duration
	// PrefillRate is the estimated prefill speed in tokens per second.
	PrefillRate float64
	// CrossDomainCost and CrossRegionCost are the costs, expressed as waiting
	// time, of an engine in another failure domain of the region and of one in
	// another region.
	CrossDomainCost time.Duration
	CrossRegionCost time.Duration
	// RegionOf returns the region of a failure domain; if nil, each domain is
	// treated as a region of its own.
	RegionOf func(names.ID) names.ID
	// Rand returns a random number in [0, n); if nil, math/rand/v2 is used.
	Rand func(n int) int
}

// The defaults of Chooser.
const (
	defaultSampleSize      = 3
	defaultReportHalfLife  = 2 * time.Second
	defaultRefusalPause    = 500 * time.Millisecond
	defaultTokenTime       = 500 * time.Microsecond
	defaultCrossDomainCost = 5 * time.Millisecond
	defaultCrossRegionCost = 400 * time.Millisecond
)

func (c Chooser) withDefaults() Chooser {
	c.SampleSize = cmp.Or(c.SampleSize, defaultSampleSize)
	c.ReportHalfLife = cmp.Or(c.ReportHalfLife, defaultReportHalfLife)
	c.RefusalPause = cmp.Or(c.RefusalPause, defaultRefusalPause)
	c.TokenTime = cmp.Or(c.TokenTime, defaultTokenTime)
	c.PrefillRate = cmp.Or(c.PrefillRate, defaultPrefillRate)
	c.CrossDomainCost = cmp.Or(c.CrossDomainCost, defaultCrossDomainCost)
	c.CrossRegionCost = cmp.Or(c.CrossRegionCost, defaultCrossRegionCost)
	if c.Rand == nil {
		c.Rand = rand.IntN
	}
	return c
}

// Requirements describes the request that an engine is chosen for.
type Requirements struct {
	Now     time.Time
	Domain  names.ID   // the failure domain of this entry VM
	Prefill Tokens     // tokens of the prompt and of the answer delivered so far
	Exclude []ServerID // engines that must not be chosen
}

// Choice is the selected engine and the estimates behind the selection.
type Choice struct {
	ID       ServerID
	Cost     time.Duration // estimated time to the first token, plus the locality cost
	Cached   Tokens        // prompt tokens estimated to be in its prefix cache
	Compared int           // number of candidates compared
}

// Choose returns the cheapest of a few random candidates. Sampling keeps entry VMs
// that see the same loads from all choosing the same engine. Engines that are
// suspect or refused work recently are considered only if there is no other;
// excluded ones never are. It returns false if no candidate is left.
func (c Chooser) Choose(n Requirements, all []Candidate) (Choice, bool) {
	c = c.withDefaults()
	eligible := make([]int, 0, len(all))
	var unhealthy []int
	for i := range all {
		switch {
		case contains(n.Exclude, all[i].ID):
		case c.unhealthy(n.Now, all[i]):
			unhealthy = append(unhealthy, i)
		default:
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		eligible = unhealthy
	}
	if len(eligible) == 0 {
		return Choice{}, false
	}
	return c.cheapest(n, all, c.pick(n, all, eligible)), true
}

func contains(list []ServerID, id ServerID) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}

func (c Chooser) unhealthy(now time.Time, cand Candidate) bool {
	suspect := cand.SuspectAt.After(cand.LastSeen)
	refused := !cand.RefusedAt.IsZero() && now.Before(cand.RefusedAt.Add(c.RefusalPause))
	return suspect || refused
}

// pick returns the candidates to compare, as indices of all. It samples once from
// all of from and once from those in this entry VM's region, so that engines of the
// region are compared even if most of the fleet is elsewhere.
func (c Chooser) pick(n Requirements, all []Candidate, from []int) []int {
	if len(from) <= c.SampleSize {
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

// sample appends up to c.SampleSize distinct random elements of from to picks. It
// reorders from.
func (c Chooser) sample(picks, from []int) []int {
	for i := 0; i < c.SampleSize && i < len(from); i++ {
		j := i + c.Rand(len(from)-i)
		from[i], from[j] = from[j], from[i]
		picks = append(picks, from[i])
	}
	return picks
}

func (c Chooser) cheapest(n Requirements, all []Candidate, picks []int) Choice {
	best := Choice{Cost: math.MaxInt64, Compared: len(picks)}
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

// cost returns the estimated time to the candidate's first token plus the locality
// cost. The tokens pending for this entry VM are known exactly. A load report adds
// the pending tokens in excess of those, with a weight that decays with its age.
func (c Chooser) cost(n Requirements, cand Candidate) time.Duration {
	pending := float64(cand.InFlight)
	if !cand.ReportedAt.IsZero() {
		age := n.Now.Sub(cand.ReportedAt)
		weight := math.Exp2(-float64(age) / float64(c.ReportHalfLife))
		pending += weight * max(0, float64(cand.Reported-cand.InFlight))
	}
	wait := time.Duration(pending * float64(c.TokenTime))
	uncached := max(0, float64(n.Prefill-cand.Cached))
	prefill := time.Duration(uncached / c.PrefillRate * float64(time.Second))
	return wait + prefill + c.localityCost(n.Domain, cand.Domain)
}

func (c Chooser) localityCost(from, to names.ID) time.Duration {
	switch {
	case from == to:
		return 0
	case c.region(from) == c.region(to):
		return c.CrossDomainCost
	}
	return c.CrossRegionCost
}

func (c Chooser) region(d names.ID) names.ID {
	if c.RegionOf == nil {
		return d
	}
	return c.RegionOf(d)
}
