// Package admit decides which streams wait at their entry VM before they are sent to an engine, in which
// order they start, and which are rejected at once. Engines prefill prompts in the order in which they
// accepted them, so only streams that wait at an entry VM can still change places. It does no I/O: its
// decisions depend only on an instant and typed inputs.
package admit

import (
	"math"
	"time"

	"quetzalhold/cost"
	"quetzalhold/engine"
	"quetzalhold/result"
	"quetzalhold/routing"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Action,Reason -linecomment -output=enum_string.go

// Rank orders streams by urgency: by the priority of the caller's organisation, or of the route if that has
// none; then by the priority of the route, as most organisations have the same one; then answers under way come
// first. 0 is the most urgent.
type Rank int

// Ranks is the number of ranks. Priorities above 9 count as 9, as in the urgency that engines are told.
const (
	Ranks      = 2 * priorities * priorities
	priorities = 10
)

// NewRank returns the rank of a stream with the priority that is in force for its caller, on a route with a
// priority.
func NewRank(caller, route routing.Priority, underWay bool) Rank {
	r := 2 * (priorities*level(caller) + level(route))
	if !underWay {
		r++
	}
	return r
}

func level(p routing.Priority) Rank { return Rank(min(max(p, 0), priorities-1)) }

// UnderWay reports whether streams of the rank resume an answer.
func (r Rank) UnderWay() bool { return r%2 == 0 }

// Priority returns the priority that is in force for the callers of the rank's streams.
func (r Rank) Priority() routing.Priority { return routing.Priority(r / 2 / priorities) }

// Stream is what admission needs to know of a stream.
type Stream struct {
	Rank
	Organisation routing.Organisation
	Tokens       engine.Tokens // of its prompt
	CameAt       time.Time
	WantedAt     time.Time // when its first event is wanted; zero if there is no objective
	Deadline     time.Time
	// Need is the least time that such a stream takes; 0 if it is unknown.
	Need time.Duration
}

// Action is what happens to a stream that waits.
type Action int

// The actions.
const (
	Start  Action = iota // start
	Reject               // reject
)

// Reason is why a stream starts or is rejected.
type Reason int

// The reasons.
const (
	NoWindow    Reason = iota // the window is not known
	NoPressure                // the service is not under pressure
	UnderWay                  // the answer is under way
	OnlyPending               // no other stream is pending
	WithinShare               // the share has room
	Guaranteed                // the part of its rank is due
	WaitTooLong               // the expected wait is too long
	NoTimeLeft                // too little time is left
)

// Decision is what a stream's wait ends with.
type Decision struct {
	*Ticket
	Action Action
	Reason Reason
	// ExpectedWait is what the wait was expected to be, with Ahead tokens before it that start at a Rate.
	ExpectedWait time.Duration
	Ahead        engine.Tokens
	Rate         cost.Rate
	// RetryAt is when a rejected caller is to come back.
	RetryAt time.Time
}

// RankDemand is what streams of a rank need, in tokens of their prompts.
type RankDemand struct {
	Rank    Rank          `json:"rank"`
	Pending engine.Tokens `json:"pending"`           // sent to an engine that has sent no event yet
	Waiting engine.Tokens `json:"waiting,omitempty"` // can still have their first event in time
	Late    engine.Tokens `json:"late,omitempty"`    // wait and will be late
	// Ended and InTime count the streams lately whose outcome is known, and those among them that were in
	// time; older ones count less.
	Ended  float64 `json:"ended,omitempty"`
	InTime float64 `json:"inTime,omitempty"`
}

// Demand is what an entry VM, or a failure domain, needs of a service.
type Demand struct {
	Service routing.ServiceName `json:"service"`
	// Window is the estimate of the window of the whole service; 0 if it is unknown.
	Window engine.Tokens `json:"window,omitempty"`
	// Share is what is granted at present.
	Share engine.Tokens `json:"share,omitempty"`
	// FirstEvents is how long streams took lately.
	FirstEvents FirstEvents  `json:"firstEvents,omitzero"`
	Ranks       []RankDemand `json:"ranks,omitempty"`
}

// Sum is the demand of a failure domain.
type Sum struct {
	Demand
	// Silent is the number of the domain's entry VMs that report no demand.
	Silent int `json:"silent,omitempty"`
}

// Share is the number of prompt tokens of a rank that may be pending at an entry VM.
type Share struct {
	Rank   Rank          `json:"rank"`
	Tokens engine.Tokens `json:"tokens"`
	// Least is the part that the rank gets whatever the more urgent ones need.
	Least engine.Tokens `json:"least,omitempty"`
}

// Grant is an entry VM's part of the window of a service.
type Grant struct {
	Service  routing.ServiceName `json:"service"`
	Window   engine.Tokens       `json:"window"` // of the whole service; 0 if it is unknown
	Pressure bool                `json:"pressure,omitempty"`
	// FirstEvents is how long streams took lately at all entry VMs.
	FirstEvents FirstEvents `json:"firstEvents,omitzero"`
	Shares      []Share     `json:"shares,omitempty"` // limit what is pending under pressure
	// Held are ranks that were in time nearly as often lately as a more urgent one that waits, or more often. They get no more
	// than their least shares while others wait.
	Held []Rank `json:"held,omitempty"`
}

// total returns the tokens of all ranks.
func (g *Grant) total() engine.Tokens {
	n := engine.Tokens(0)
	for _, s := range g.Shares {
		n += s.Tokens
	}
	return n
}

// MaxTokens bounds the numbers of tokens in messages, so that their sums stay in range.
const MaxTokens engine.Tokens = 1 << 40

// Check returns the first reason why the demand is invalid, or nil.
func (d *Demand) Check() error {
	if d.Service == "" || !inRange(d.Window, d.Share) || !d.FirstEvents.valid() || len(d.Ranks) > Ranks {
		return result.New(result.OutOfRange, "service %q, window %d, share %d, %d ranks", d.Service, d.Window, d.Share, len(d.Ranks)).WithField("admit")
	}
	for _, r := range d.Ranks {
		if r.Rank < 0 || r.Rank >= Ranks || !inRange(r.Pending, r.Waiting, r.Late) || !isCount(r.Ended) || !isCount(r.InTime) {
			return result.New(result.OutOfRange, "%+v of service %q", r, d.Service).WithField("admit")
		}
	}
	return nil
}

// maxMembers bounds the number of entry VMs of a failure domain in messages.
const maxMembers = 1 << 20

// Check returns the first reason why the sum is invalid, or nil.
func (s *Sum) Check() error {
	if s.Silent < 0 || s.Silent > maxMembers {
		return result.New(result.OutOfRange, "%d silent of service %q", s.Silent, s.Service).WithField("admit")
	}
	return s.Demand.Check()
}

// Check returns the first reason why the grant is invalid, or nil.
func (g *Grant) Check() error {
	if g.Service == "" || !inRange(g.Window) || !g.FirstEvents.valid() || len(g.Shares) > Ranks || len(g.Held) > Ranks {
		return result.New(result.OutOfRange, "service %q, window %d, %d shares", g.Service, g.Window, len(g.Shares)).WithField("grants")
	}
	for _, r := range g.Held {
		if r < 0 || r >= Ranks {
			return result.New(result.OutOfRange, "rank %d of service %q", r, g.Service).WithField("grants")
		}
	}
	for _, s := range g.Shares {
		if s.Rank < 0 || s.Rank >= Ranks || !inRange(s.Tokens, s.Least) {
			return result.New(result.OutOfRange, "%+v of service %q", s, g.Service).WithField("grants")
		}
	}
	return nil
}

func isCount(x float64) bool { return x >= 0 && x <= math.MaxInt32 }

func (f *FirstEvents) valid() bool {
	return f.Count >= 0 && f.Count <= maxMembers && f.Mean >= 0 && f.Mean <= time.Hour
}

func inRange(list ...engine.Tokens) bool {
	for _, n := range list {
		if n < 0 || n > MaxTokens {
			return false
		}
	}
	return true
}

// InForce reports whether streams of a service wait in order: whether it has engines, and routes that differ in
// priority. All streams of other services are sent at once.
func InForce(t *routing.Table, n routing.ServiceName) bool {
	s, ok := t.Service(n)
	return ok && s.Model != nil && t.PrioritiesDiffer(n)
}
