package backend

import (
	"cmp"
	"slices"
	"time"

	"quetzalhold/engine"
)

// Report is an engine's report of its own load. It is slightly out of date when it arrives.
type Report struct {
	Ready      bool               `json:"ready"`      // the engine accepts requests
	Start      engine.Incarnation `json:"start"`      // 0 if not reported
	Waiting    int                `json:"waiting"`    // requests that are queued
	Prefilling int                `json:"prefilling"` // requests in prefill
	Generating int                `json:"generating"` // requests that are generating tokens
	Used       engine.Tokens      `json:"used"`       // KV cache in use that cannot be evicted
	Total      engine.Tokens      `json:"total"`
	// Events is how many events each run that generates has made.
	Events map[engine.RequestID]int64 `json:"-"`
}

// Engine is an engine considered for a placement, with its load report if one arrived.
type Engine struct {
	Choice
	Report *Report
	// Rank is the engine's position in the rendezvous order of the affinity key, from 0.
	Rank int
	// Expected is the expected time to the first event, as of the placement; 0 while no engines of the service are
	// known to differ in speed.
	Expected time.Duration
}

// Placement is the engine that runs a generation and the engine that keeps a replica of the
// generation's KV cache.
type Placement struct {
	Run     Engine
	Replica *Engine // nil if no other engine is available
	Polled  int     // number of engines polled for reports
	Reports int     // number of reports received
}

// Candidates returns up to k engines for a request, in the rendezvous order of its affinity key, so
// that all entry VMs that place the same prompt poll the same few engines. If possible, the
// list includes engines of more than one failure domain, so that the replica can be placed
// outside the failure domain of the generation.
func (p *Pool) Candidates(n Criteria, k int) []Choice {
	all := p.candidates(&n)
	slices.SortFunc(all, func(a, b candidate) int {
		if a.lastResort() != b.lastResort() {
			if a.lastResort() {
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
		lastPlace := len(list) == k-1
		if lastPlace && i+1 < len(all) && sameDomain(list) && all[i].Domain == list[0].Domain {
			continue // the last position is kept for another failure domain
		}
		list = append(list, all[i].Choice)
	}
	return list
}

// lastResort reports whether the engine is used only if there are no others.
func (c *candidate) lastResort() bool { return c.avoided || c.Limited }

func sameDomain(list []Choice) bool {
	for i := range list {
		if list[i].Domain != list[0].Domain {
			return false
		}
	}
	return len(list) > 0
}

// Weights of an engine's load: the estimated time by which a new generation is delayed or
// delays others.
const (
	// weightWaiting and weightPrefilling are about the time to prefill one prompt of 8,000
	// tokens at 8 tokens per millisecond.
	weightWaiting    = 1100 * time.Millisecond
	weightPrefilling = 1000 * time.Millisecond
	// weightGenerating is the delay of a running generation while a prompt is prefilled on the
	// same engine: most of the prefill time.
	weightGenerating = 700 * time.Millisecond
	// weightFull applies to an engine without KV cache or slots left: the request waits until
	// another generation has ended.
	weightFull = 10 * time.Second
	// weightNoReport applies to an engine whose report did not arrive: it may be unreachable.
	weightNoReport = 30 * time.Second
	// weightRank prefers the engine that the affinity key hashes to among equally loaded engines.
	weightRank = 50 * time.Millisecond
)

// unreported returns how many of this entry VM's own prompts at the engine are too recent to
// be included in its report.
func (r *Engine) unreported() int {
	return max(0, r.Load.Pending-r.Report.Waiting-r.Report.Prefilling)
}

// Idle reports whether the engine has no work at all and room for the request.
func (r *Engine) Idle(n Criteria) bool {
	return (n.Cost == nil || !r.isSlow() || r.cost(&n) <= n.easy()) && r.Report != nil && r.Report.Waiting+r.Report.Prefilling+r.Report.Generating+r.unreported() == 0 &&
		r.Report.Used+n.Tokens <= r.Report.Total
}

// cost returns the estimated delay of a request at an engine.
func (r *Engine) cost(n *Criteria) time.Duration {
	if n.Cost != nil {
		return r.costBySpeed(n)
	}
	c := time.Duration(r.Rank) * weightRank
	if r.Report == nil {
		return c + weightNoReport + time.Duration(r.Load.Requests)*weightGenerating
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

// nearCostLimit is the cost up to which a near engine is used without polling engines in other
// regions: at most one generation is running there. Waiting for reports from other regions
// would take longer than they could save.
const nearCostLimit = weightGenerating + 300*time.Millisecond

// LightlyLoaded reports whether the engine picked for the generation has so little load that no
// other engines need to be polled.
func (p *Placement) LightlyLoaded(n Criteria) bool {
	limit := nearCostLimit
	if n.Cost != nil {
		limit = nearMargin + n.Cost.Prefill.Time(n.Cost.Work.Prefill)
	}
	return p.Run.Report != nil && p.Run.cost(&n) <= limit
}

// PrefillsAtOnce reports whether the engine picked for the generation has room for it and no other prompts to
// prefill.
func (p *Placement) PrefillsAtOnce(n Criteria) bool {
	r := &p.Run
	return r.Report != nil && r.Report.Waiting+r.Report.Prefilling+r.unreported() == 0 && r.Report.Used+n.Tokens <= r.Report.Total
}

// Place picks the engine for a generation and the engine for its replica, which is in another
// failure domain if possible. It returns false if list is empty.
func Place(n Criteria, list []Engine) (Placement, bool) {
	if len(list) == 0 {
		return Placement{}, false
	}
	order := slices.Clone(list)
	slices.SortStableFunc(order, func(a, b Engine) int { return cmp.Or(cmp.Compare(a.cost(&n), b.cost(&n)), cmp.Compare(a.ID, b.ID)) })
	if n.Cost != nil {
		pickNearlyEqual(&n, order)
	}
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
