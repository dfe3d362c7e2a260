package backend

import (
	"cmp"
	"slices"
	"time"

	"quetzalhold/engine"
)

// Report is what an engine says of its own load; a little old when it arrives.
type Report struct {
	Ready      bool               `json:"ready"`      // it takes requests
	Start      engine.Incarnation `json:"start"`      // 0 if it does not say
	Waiting    int                `json:"waiting"`    // requests that have not begun
	Prefilling int                `json:"prefilling"` // requests whose prompt is being read
	Generating int                `json:"generating"` // requests that produce tokens
	Used       engine.Tokens      `json:"used"`       // memory that cannot yield
	Total      engine.Tokens      `json:"total"`
}

// Engine is an engine that stands for choice, with its report if it came.
type Engine struct {
	Choice
	Report *Report
	// Rank is its place in the order that the subject hashes to, from 0.
	Rank int
}

// Placement is where a generation runs and where its running copy is kept.
type Placement struct {
	Run   Engine
	Replica  *Engine // nil if no engine is left for one
	Polled int       // engines that were asked for reports
	Reports int       // reports that came
}

// Candidates returns up to k engines for a request, in the order that its subject
// hashes to: entry VMs that place the same prompt ask the same few engines.
// Engines in other failure domains are taken as well, so that a copy finds
// a place outside of the run's.
func (p *Pool) Candidates(n Criteria, k int) []Choice {
	all := p.group(n.Service).candidates(&n)
	slices.SortFunc(all, func(a, b candidate) int {
		if a.avoided != b.avoided {
			if a.avoided {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID))
	})
	list := make([]Choice, 0, k)
	for i := range all {
		if len(list) == k {
			break
		}
		last := len(list) == k-1
		if last && i+1 < len(all) && oneDomain(list) && all[i].Domain == list[0].Domain {
			continue // the last place is for another domain
		}
		list = append(list, all[i].Choice)
	}
	return list
}

func oneDomain(list []Choice) bool {
	for i := range list {
		if list[i].Domain != list[0].Domain {
			return false
		}
	}
	return len(list) > 0
}

// The weights of an engine's load, as believed time that a new generation is
// delayed or delays others.
const (
	// weightWaiting and weightPrefilling are about one prompt of 8,000 tokens at
	// 8 tokens a millisecond.
	weightWaiting    = 1100 * time.Millisecond
	weightPrefilling = 1000 * time.Millisecond
	// weightGenerating is what a running generation loses while a prompt is
	// prefilled beside it: most of the time that takes.
	weightGenerating = 700 * time.Millisecond
	// weightFull is for an engine without memory or slots left: the request
	// waits until a whole generation has ended.
	weightFull = 10 * time.Second
	// weightUnheard is for an engine whose report did not come: it may be dark.
	weightUnheard = 30 * time.Second
	// weightRank prefers the engine that the subject hashes to among equals.
	weightRank = 50 * time.Millisecond
)

// unreported returns how many of this entry VM's own prompts the engine's report is too
// old to count.
func (r *Engine) unreported() int {
	return max(0, r.Load.Pending-r.Report.Waiting-r.Report.Prefilling)
}

// cost is the believed delay of a request at an engine.
func (r *Engine) cost(n *Criteria) time.Duration {
	c := time.Duration(r.Rank) * weightRank
	if r.Report == nil {
		return c + weightUnheard + time.Duration(r.Load.Requests)*weightGenerating
	}
	c += time.Duration(r.Report.Waiting)*weightWaiting +
		time.Duration(r.Report.Prefilling+r.unreported())*weightPrefilling +
		time.Duration(r.Report.Generating)*weightGenerating
	running := r.Report.Prefilling + r.Report.Generating + r.unreported()
	if r.Report.Used+n.Tokens > r.Report.Total || n.Model != nil && running >= n.Model.Slots {
		c += weightFull
	}
	return c
}

// nearEnough is the cost up to which a near engine is taken without asking those in
// other regions: at most one generation runs there. Their reports take longer to come
// than they save.
const nearEnough = weightGenerating + 300*time.Millisecond

// LightlyLoaded reports whether the engine that was picked for the run is so little loaded
// that others need not be asked.
func (p *Placement) LightlyLoaded(n Criteria) bool {
	return p.Run.Report != nil && p.Run.cost(&n) <= nearEnough
}

// Place picks the engine for a generation and the one for its running copy,
// outside of the first one's failure domain where that is possible. It reports
// false if there is no engine.
func Place(n Criteria, list []Engine) (Placement, bool) {
	if len(list) == 0 {
		return Placement{}, false
	}
	order := slices.Clone(list)
	slices.SortStableFunc(order, func(a, b Engine) int { return cmp.Or(cmp.Compare(a.cost(&n), b.cost(&n)), cmp.Compare(a.ID, b.ID)) })
	p := Placement{Run: order[0], Polled: len(list)}
	for i := range order {
		if order[i].Report != nil {
			p.Reports++
		}
		if i > 0 && p.Replica == nil && order[i].Domain != p.Run.Domain {
			p.Replica = &order[i]
		}
	}
	if p.Replica == nil && len(order) > 1 {
		p.Replica = &order[1]
	}
	return p, true
}
