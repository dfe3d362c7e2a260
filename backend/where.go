package backend

import (
	"cmp"
	"slices"
	"time"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Omission -linecomment -output=omission_string.go

// Omission is why a choice does not consider a server.
type Omission int

// The reasons, in the order in which they are checked.
const (
	NotOmitted  Omission = iota // considered
	Removed                     // removed
	Replaced                    // replaced by a later start
	Misdirected                 // another server answers at its address
	Leaving                     // leaving
	Draining                    // draining
	NotAllowed                  // version not allowed
	Refusing                    // refuses requests
	NoPermit                    // no permit
	NoRoom                      // no room
	Suspected                   // suspect
)

// LeftOut is a server that a choice does not consider.
type LeftOut struct {
	Server
	Reason Omission
	Until  time.Time // when the reason ends; zero if that is unknown
}

// LeftOut returns the servers of a service that a choice does not consider, each with the first reason that applies,
// in the order of their ids.
func (p *Pool) LeftOut(n Criteria) []LeftOut {
	g := p.group(n.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	atOnce := p.mostAtOnce(g, &n)
	var list, suspect []LeftOut
	considered := false
	for _, st := range g.servers {
		x := LeftOut{Server: st.Server}
		x.Reason, x.Until = st.omission(&n)
		switch {
		case x.Reason != NotOmitted:
		case g.limitedTo(n.Now, st) != Unlimited && !slices.ContainsFunc(st.limit.permits, n.Now.Before):
			x.Reason = NoPermit
		case atOnce != nil && st.load.Requests >= atOnce(st.Slots):
			x.Reason = NoRoom
		case st.suspect(n.Now) || n.Once && st.unanswered:
			x.Reason = Suspected
			suspect = append(suspect, x)
			continue
		default:
			considered = true
			continue
		}
		list = append(list, x)
	}
	if considered {
		list = append(list, suspect...) // they are considered only if there are no others
	}
	slices.SortFunc(list, func(a, b LeftOut) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// omission returns why the server may take no such requests, as far as its own state shows.
func (st *state) omission(n *Criteria) (why Omission, until time.Time) {
	switch {
	case !st.removeAt.IsZero() && !n.Now.Before(st.removeAt):
		return Removed, time.Time{}
	case st.replaced || st.superseded:
		return Replaced, time.Time{}
	case n.Now.Before(st.misdirectedUntil):
		return Misdirected, st.misdirectedUntil
	case st.Leaving:
		return Leaving, time.Time{}
	case st.Draining:
		return Draining, time.Time{}
	case n.Allowed != nil && !n.Allowed(st.Version):
		return NotAllowed, time.Time{}
	case n.Now.Before(st.retryAt):
		return Refusing, st.retryAt
	}
	return NotOmitted, time.Time{}
}

// Delay returns the estimated delay by which engines are compared in a placement.
func (r *Engine) Delay(n Criteria) time.Duration { return r.cost(&n) }

// Considered is a server that a choice for a call considers.
type Considered struct {
	Choice
	// Expected is the expected wait of the call; while servers of the service are known to differ in speed, its
	// expected time.
	Expected time.Duration
}

// Considered returns the servers that a choice for a call considers, the one with the shortest expected time first.
func (p *Pool) Considered(n Criteria) []Considered {
	n.DryRun = true
	var list []Considered
	for _, c := range p.candidates(&n) {
		x := Considered{Choice: c.Choice, Expected: c.plainWait()}
		if n.Cost != nil {
			x.Expected = c.callTime(&n)
		}
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b Considered) int {
		return cmp.Or(cmp.Compare(a.Expected, b.Expected), cmp.Compare(a.ID, b.ID))
	})
	return list
}
