package admit

import "math"

// perRank holds a number for each rank.
type perRank [Ranks]float64

func (p *perRank) sum() float64 {
	t := 0.0
	for _, x := range p {
		t += x
	}
	return t
}

// needs is the demand of all ranks.
type needs struct {
	pending perRank
	waiting perRank
	late    perRank
	ended   perRank
	inTime  perRank
}

func (n *needs) add(list []RankDemand) {
	for _, d := range list {
		n.pending[d.Rank] += float64(d.Pending)
		n.waiting[d.Rank] += float64(d.Waiting)
		n.late[d.Rank] += float64(d.Late)
		n.ended[d.Rank] += d.Ended
		n.inTime[d.Rank] += d.InTime
	}
}

// prompt returns what is pending at a rank or can be in time.
func (n *needs) prompt(r Rank) float64 { return n.pending[r] + n.waiting[r] }

// all returns what is needed at a rank.
func (n *needs) all(r Rank) float64 { return n.prompt(r) + n.late[r] }

func (n *needs) total() float64 { return n.pending.sum() + n.waiting.sum() + n.late.sum() }

// The parts of the window.
const (
	// floorShare is the part of the window that each rank with demand gets at least.
	floorShare = 0.05
	// floorLimit bounds what all ranks get in that way, however many there are.
	floorLimit = 0.15
	// heldMargin is by how much a rank has to be in time less often than a more urgent one, so as not to be held
	// back. Without it, the least urgent class of TestReplay was in time as often as the most urgent one.
	heldMargin = 0.05
)

// held reports for each rank whether it is held back: it was in time nearly as often as a more urgent one that
// waits, or more often. Patient streams would otherwise be in time more often than urgent ones, as they can wait for the end
// of an overload.
func (n *needs) held() [Ranks]bool {
	var list [Ranks]bool
	least := math.Inf(1)
	for r := range Rank(Ranks) {
		if r.UnderWay() || n.ended[r] == 0 {
			continue
		}
		share := n.inTime[r] / n.ended[r]
		list[r] = share > least-heldMargin
		if n.waiting[r]+n.late[r] > 0 {
			least = min(least, share)
		}
	}
	return list
}

// parts is how a window is divided by rank: among streams that can be in time, and those that will be late.
// least is what ranks get whatever the more urgent ones need.
type parts struct{ prompt, late, least perRank }

// divide divides a window by rank. What is under way has its demand, as it never waits. Each rank with demand
// gets at least floorShare. The rest goes to streams that can be in time, the most urgent first, then to the late ones, and at last to the
// ranks that are held back.
func divide(window float64, n *needs) parts {
	least := guarantees(window, n)
	p := parts{least: least}
	for r := range Rank(Ranks) {
		p.prompt[r] = min(least[r], n.prompt(r))
		p.late[r] = least[r] - p.prompt[r]
	}
	rest, held := max(0, window-least.sum()), n.held()
	for _, back := range []bool{false, true} {
		for r := range Rank(Ranks) {
			if held[r] == back {
				rest -= raise(&p.prompt[r], n.prompt(r), rest)
			}
		}
		for r := range Rank(Ranks) {
			if held[r] == back {
				rest -= raise(&p.late[r], n.late[r], rest)
			}
		}
	}
	return p
}

// raise raises x towards a limit by at most rest, and returns by how much.
func raise(x *float64, limit, rest float64) float64 {
	more := max(0, min(rest, limit-*x))
	*x += more
	return more
}

// guarantees returns what each rank gets at least.
func guarantees(window float64, n *needs) perRank {
	var least perRank
	underWay, fresh := 0.0, 0.0
	for r := range Rank(Ranks) {
		if r.UnderWay() {
			least[r] = n.all(r)
			underWay += least[r]
			continue
		}
		least[r] = min(n.all(r), floorShare*window)
		fresh += least[r]
	}
	left := min(max(window-underWay, floorShare*window), floorLimit*window)
	if fresh <= left {
		return least
	}
	for r := range Rank(Ranks) {
		if !r.UnderWay() {
			least[r] *= left / fresh
		}
	}
	return least
}
