package backend

import (
	"math"
	"slices"
	"time"

	"quetzalhold/cost"
	"quetzalhold/engine"
)

// This file holds what replaces the constant weights of place.go and choice.go while servers of a service are known
// to differ in speed (Criteria.Cost is set).

// preferred returns a rendezvous hash with which a server ranks first for a share of the keys, as a multiple of the
// usual share. A share of 1 leaves the hash as it is.
func preferred(hash uint64, share float64) uint64 {
	if share == 1 || share <= 0 {
		return hash
	}
	const unit = 1 << 53 // the precision of float64
	return uint64(math.Pow(float64(hash>>11)/unit, 1/share)*(unit-1)) << 11
}

// isSlow reports whether the engine is known to be slower than the usual one.
func (r *Engine) isSlow() bool { return r.Speed.Factor()*cost.Different <= 1 }

// workLeft returns the tokens that the engine has to prefill before those of a new request: those of this entry VM's
// own prompts, and of others' as many as the report shows, each of the usual length. The one in prefill is half done
// on average.
func (r *Engine) workLeft(x *cost.Basis) engine.Tokens {
	others := max(0, r.Report.Waiting+r.Report.Prefilling-r.Load.Pending)
	left := r.Load.Prefill + engine.Tokens(others)*x.Prompt
	if r.Report.Prefilling > 0 {
		left -= min(left, x.Prompt) / 2
	}
	return left
}

// expected returns the expected time to the first event of a request at the engine.
func (r *Engine) expected(n *Criteria) time.Duration {
	left := n.Cost.Work.Prefill
	if r.Report != nil {
		left += r.workLeft(n.Cost)
	}
	return n.Cost.Prefill.Time(left)*1000/speedMillis(r.Speed) + r.DialTime
}

// speedMillis returns a speed in thousandths, at least 1.
func speedMillis(s cost.Speed) time.Duration { return max(1, time.Duration(s.Factor()*1000)) }

const (
	// imposedShare is the weight of the delay that a prompt imposes on each generation that runs at its engine. It
	// takes most of the time of the prefill; but generations whose events come late by less than a second are
	// still in time, while a first event that is late is lost.
	imposedShare = 0.05
	// lateShare is the part of the time until the first event is wanted up to which an expected time counts as
	// safe: estimates are off by a third when others' prompts arrive at the same time. What exceeds it counts
	// lateWeight times more.
	lateShare  = 0.4
	lateWeight = 2
	// kvWeight is the weight of the time for which the request occupies KV cache at an engine that is full: other
	// requests wait for it. It falls with the square of the share in use.
	kvWeight = 0.05
)

// nearMargin is by how much the cost of a near engine may exceed the time to prefill the prompt at the usual speed
// before engines in other regions are polled, whose reports take about 150 ms and whose answers 60 ms more.
const nearMargin = 300 * time.Millisecond

// costBySpeed returns the estimated delay of a request at an engine and of the generations that run there.
func (r *Engine) costBySpeed(n *Criteria) time.Duration {
	x, speed := n.Cost, speedMillis(r.Speed)
	c := r.expected(n)
	if r.Report == nil {
		return c + weightNoReport + time.Duration(r.Load.Requests)*weightGenerating
	}
	if !x.FirstBy.IsZero() {
		safe := time.Duration(lateShare * float64(x.FirstBy.Sub(n.Now)))
		c += lateWeight * max(0, c-max(0, safe))
	}
	own := x.Prefill.Time(x.Work.Prefill) * 1000 / speed
	c += time.Duration(imposedShare * float64(r.Report.Generating) * float64(own))
	if used := float64(r.Report.Used+n.Tokens) / float64(max(1, r.Report.Total)); used <= 1 {
		lifetime := own + x.Gap*time.Duration(x.Work.Output)/cost.TokensPerEvent*1000/speed
		c += time.Duration(kvWeight * used * used * float64(lifetime))
	} else {
		c += weightFull
	}
	if n.Model != nil && r.Report.Prefilling+r.Report.Generating+r.unreported() >= n.Model.Slots {
		c += weightFull
	}
	return c
}

// Engines whose cost exceeds the least one by no more than this share, or by nearlyEqualTime, are chosen among at
// random: reports are some hundred milliseconds old, and other entry VMs choose by the same ones.
const (
	nearlyEqualShare = 0.1
	nearlyEqualTime  = 60 * time.Millisecond
)

// easyShare is the part of the time until the first event is wanted up to which expected times count as equal: all of
// them are safe. Short prompts so go to slow engines too, which keeps what is known of these up to date and leaves the
// fast ones to long prompts.
const easyShare = 0.15

// easy returns the cost up to which engines count as equal.
func (n *Criteria) easy() time.Duration {
	if n.Cost.FirstBy.IsZero() {
		return 0
	}
	return time.Duration(easyShare * float64(max(0, n.Cost.FirstBy.Sub(n.Now))))
}

// pickNearlyEqual moves a random one of the engines whose cost is nearly the least to the front of a list in the order
// of their cost, and sets the expected time of all.
func pickNearlyEqual(n *Criteria, order []Engine) {
	least := order[0].cost(n)
	limit := max(n.easy(), least+max(nearlyEqualTime, time.Duration(nearlyEqualShare*float64(least))))
	equal := 1
	for equal < len(order) && order[equal].cost(n) <= limit {
		equal++
	}
	if equal > 1 {
		i := n.Cost.Random(equal)
		chosen := order[i]
		copy(order[1:i+1], order[:i])
		order[0] = chosen
	}
	for i := range order {
		order[i].Expected = order[i].expected(n)
	}
}

// choosePlainByCost picks a server with nearly the shortest expected time of a call: that of the call and of those
// before it, from the usual time of a call and the server's speed.
func choosePlainByCost(n *Criteria, all []candidate) Choice {
	times := make([]time.Duration, len(all))
	for i := range all {
		times[i] = all[i].callTime(n)
	}
	// Less than the cost of leaving the failure domain, so that equal servers outside of it are no choice.
	limit := slices.Min(times) + crossDomainCost/2
	var equal []int
	for i, t := range times {
		if t <= limit {
			equal = append(equal, i)
		}
	}
	return all[equal[n.Cost.Random(len(equal))]].Choice
}

// callTime returns the expected time of a call at the server.
func (c *candidate) callTime(n *Criteria) time.Duration {
	slots := max(1, c.Slots)
	call := n.Cost.Call * 1000 / speedMillis(c.Speed)
	// As in plainWait, a part of the load counts before all slots are taken.
	took := c.distance + call + time.Duration(max(0, c.Load.Requests+1-slots))*call/time.Duration(slots) +
		time.Duration(c.Load.Requests)*call/time.Duration(4*slots)
	if c.Limited {
		took += limitedCost
	}
	return took
}
