package engine

import (
	"cmp"
	"slices"
	"time"

	"quetzalhold/names"
)

// Estimate is a candidate with the estimates by which it is compared.
type Estimate struct {
	Candidate
	Cost    time.Duration // estimated time to the first token, plus the locality cost
	Avoided bool          // it is suspect or refused work recently: considered only if there is no other
}

// Estimates returns the estimates of all candidates, the cheapest first and those avoided last. Choose compares a few
// random ones of them.
func (c Chooser) Estimates(n Requirements, all []Candidate) []Estimate {
	c = c.withDefaults()
	list := make([]Estimate, 0, len(all))
	for _, x := range all {
		list = append(list, Estimate{Candidate: x, Cost: c.cost(n, x), Avoided: c.unhealthy(n.Now, x)})
	}
	slices.SortFunc(list, func(a, b Estimate) int {
		if a.Avoided != b.Avoided {
			if a.Avoided {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// LeftOut is an engine that is no candidate.
type LeftOut struct {
	ID     ServerID
	Domain names.ID
	Why    string
}

// LeftOut returns the engines that are no candidates for a version and adapter, each with the reason, in the order of
// their ids.
func (p *Pool) LeftOut(want LoadedModel) []LeftOut {
	var list []LeftOut
	for i := range p.shards {
		sh := &p.shards[i]
		sh.mu.Lock()
		for _, st := range sh.servers {
			why := ""
			switch {
			case !st.Listed:
				why = "removed"
			case st.Draining:
				why = "draining"
			case !st.hasLoaded(want):
				why = "version not loaded"
			default:
				continue
			}
			list = append(list, LeftOut{ID: st.ID, Domain: st.Domain, Why: why})
		}
		sh.mu.Unlock()
	}
	slices.SortFunc(list, func(a, b LeftOut) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
