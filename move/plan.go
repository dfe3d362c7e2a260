// Package move moves traffic from one version of a deployment to another: which
// share of requests the new version gets, whether what it showed is as good as
// the old one, and when the move is finished or taken back. It does no I/O: it
// takes instants and typed inputs and returns typed decisions.
package move

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhold/engine"
	"quetzalhold/objects"
	"quetzalhold/result"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Action,Reason -linecomment -output=move_string.go

// Kind is the kind of the platform's objects that hold moves; each has the name
// of its deployment.
const Kind objects.Kind = "move"

// State is how a move stands.
type State string

// The states.
const (
	Started   State = "started"
	Finished  State = "finished"
	RolledBack State = "takenBack"
)

// Plan is the aggregate of a move, as it is kept in the platform. Only the
// holder of the lease on moves changes it once it has started, and operators
// that take it back.
type Plan struct {
	Deployment string         `json:"deployment"`
	From       engine.Version `json:"from"`
	To         engine.Version `json:"to"`
	Start      time.Time      `json:"start"`
	FinishBy   time.Time      `json:"finishBy"`
	EarlyShare float64        `json:"earlyShare"` // 0.05 if 0
	// MaxExposure is the part of all requests of the move's whole time that a bad
	// version may get, also one that turns bad late; 0 for no such bound. Where it
	// is set, From may be empty: every version but To.
	MaxExposure float64   `json:"maxExposure,omitempty"`
	Step        int       `json:"step"`
	SteppedAt   time.Time `json:"steppedAt"`
	State       State     `json:"state"`
	Reason      string    `json:"reason,omitempty"`
	EndedAt     time.Time `json:"endedAt"`
}

// The shares of the new version. What is left to the old one at the last step
// shows what the new one is compared with.
const (
	defaultEarlyShare = 0.05
	lastShare         = 0.95
	maxEarlyShare     = 0.25
)

// laterShares are the shares of the steps after the first.
var laterShares = []float64{0.25, 0.5, lastShare}

// lastStep is the step at which the new version has its full share.
var lastStep = len(laterShares)

// LastStep returns the step at which the new version has its full share.
func LastStep() int { return lastStep }

// UnmarshalJSON decodes and checks the plan.
func (p *Plan) UnmarshalJSON(b []byte) error {
	type plain Plan
	if err := json.Unmarshal(b, (*plain)(p)); err != nil {
		return result.Wrap(result.WrongType, err, "move")
	}
	return p.Check()
}

// Check returns the first fault of the plan.
func (p *Plan) Check() error {
	switch {
	case p.Deployment == "":
		return result.New(result.MissingField, "empty").On("deployment")
	case p.From == "" && !p.limited() || p.To == "" || p.From == p.To:
		return result.New(result.OutOfRange, "from %q to %q", p.From, p.To).On("to")
	case !p.FinishBy.After(p.Start.Add(p.minLength())):
		return result.New(result.OutOfRange, "a move takes %s or more", p.minLength()).On("finishBy")
	case p.MaxExposure < 0 || p.MaxExposure > 1:
		return result.New(result.OutOfRange, "want 0 to 1").On("maxExposure")
	case p.EarlyShare < 0 || p.EarlyShare > maxEarlyShare:
		return result.New(result.OutOfRange, "want 0 to %v", maxEarlyShare).On("earlyShare")
	case p.Step < 0 || p.Step > lastStep:
		return result.New(result.OutOfRange, "step %d", p.Step).On("step")
	case p.State != Started && p.State != Finished && p.State != RolledBack:
		return result.New(result.OutOfRange, "state %q", p.State).On("state")
	}
	return nil
}

// limited reports whether a bad version may get only a part of all requests.
func (p *Plan) limited() bool { return p.MaxExposure > 0 }

// The least lengths of moves.
const (
	minLength        = 30 * time.Second
	minLimitedLength = 2 * limitedMargin
)

func (p *Plan) minLength() time.Duration {
	if p.limited() {
		return minLimitedLength
	}
	return minLength
}

// limitedEarly is the first share of a limited move, as a part of its bound: the rest
// is for the larger shares at the end.
const limitedEarly = 0.8

// limitedFrom are the parts of the time until the end is decided, from which on a limited
// move may take its later steps. With them, a version that turns bad after its last step
// has got limitedEarly of the bound and some 2% of all requests.
var limitedFrom = []float64{0.95, 0.975, 0.99}

// mayRaise reports whether the time of the next step has come.
func (p *Plan) mayRaise(now time.Time) bool {
	decided := p.FinishBy.Add(-p.margin())
	from := p.Start.Add(time.Duration(limitedFrom[p.Step] * float64(decided.Sub(p.Start))))
	return !now.Before(from)
}

// margin is how long before finishBy the end is decided.
func (p *Plan) margin() time.Duration {
	if p.limited() {
		return limitedMargin
	}
	return finishMargin
}

// Share returns the share of requests that the new version gets at now. bad says
// that it is known to be bad, which counts at once. An entry VM that has not
// heard of the end by finishBy goes back to the old version: it may be cut off.
func (p *Plan) Share(now time.Time, bad bool) float64 {
	switch {
	case p.State == Finished:
		return 1
	case p.State == RolledBack, bad, now.Before(p.Start), !now.Before(p.FinishBy):
		return 0
	case p.Step == 0 && p.limited():
		return limitedEarly * p.MaxExposure
	case p.Step == 0 && p.EarlyShare > 0:
		return p.EarlyShare
	case p.Step == 0:
		return defaultEarlyShare
	}
	return laterShares[p.Step-1]
}

// hashRange is the number of values that a request's hash is reduced to.
const hashRange = 1 << 20

// Version returns the version that a request goes to, alike at every entry VM.
// A request that gets the new version at some share gets it at every larger one.
func (p *Plan) Version(r engine.RequestID, now time.Time, bad bool) engine.Version {
	at := xxhash.Sum64String(fmt.Sprintf("%s/%s/%s", p.Deployment, p.To, r)) % hashRange
	if float64(at)/hashRange < p.Share(now, bad) {
		return p.To
	}
	return p.From
}

// dwell returns the least time at a step.
func (p *Plan) dwell() time.Duration { return p.FinishBy.Sub(p.Start) / dwellParts }

// The pace of a move.
const (
	dwellParts = 12
	// finishMargin is how long before finishBy the end is decided, so that all
	// entry VMs hear of it in time.
	finishMargin = 6 * time.Second
	// limitedMargin is the same where the old servers stop with the end.
	limitedMargin = 3 * time.Second
)

// Action is what becomes of a move.
type Action int

// The actions.
const (
	Keep     Action = iota // keep
	Raise                  // raise
	Finish                 // finish
	RollBack               // take back
)

// Reason says why.
type Reason int

// The reasons.
const (
	NoReason       Reason = iota // none
	TooSoon                      // the step is young
	MoreEvidence                 // more requests are needed
	GoodSoFar                    // as good as the old version so far
	GoodThroughout               // as good as the old version at its full share
	WorseThanOld                     // worse than the old version
	TimedOut                    // not enough evidence in time
)

// Decision is what to do with a move.
type Decision struct {
	Action Action
	Why    Reason
	Detail string // the evidence, for people
}

// Decide decides about a started move at now.
func (p *Plan) Decide(now time.Time, e *Evidence) Decision {
	if v := e.Alarm(); v.Raised {
		return Decision{Action: RollBack, Why: WorseThanOld, Detail: v.String()}
	}
	late := !now.Before(p.FinishBy.Add(-p.margin()))
	switch {
	case !now.Before(p.FinishBy):
		// Every entry VM went back already.
		return Decision{Action: RollBack, Why: TimedOut, Detail: e.Summary()}
	case late && (p.Step == lastStep || p.limited() && e.Shown()):
		return Decision{Action: Finish, Why: GoodThroughout, Detail: e.Summary()}
	case late:
		return Decision{Action: RollBack, Why: TimedOut, Detail: e.Summary()}
	case p.Step == lastStep:
		return Decision{Why: GoodSoFar}
	case p.limited() && !p.mayRaise(now):
		return Decision{Why: TooSoon}
	case p.limited() && !e.Shown():
		return Decision{Why: MoreEvidence}
	case p.limited():
		return Decision{Action: Raise, Why: GoodSoFar, Detail: e.Summary()}
	case now.Before(later(p.SteppedAt, p.Start).Add(p.dwell())):
		return Decision{Why: TooSoon}
	case !e.Enough(now.Sub(later(p.SteppedAt, p.Start)) > waitDwells*p.dwell()):
		return Decision{Why: MoreEvidence}
	}
	return Decision{Action: Raise, Why: GoodSoFar, Detail: e.Summary()}
}

// waitDwells is after how many times the least time at a step the share rises
// although a route with little traffic has shown little: a larger share is what
// brings its samples.
const waitDwells = 2

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Apply returns the plan after a decision.
func (p Plan) Apply(now time.Time, d Decision) Plan {
	switch d.Action {
	case Raise:
		p.Step++
		p.SteppedAt = now
	case Finish:
		p.State = Finished
	case RollBack:
		p.State = RolledBack
	case Keep:
		return p
	}
	p.Reason = d.Why.String()
	if d.Detail != "" {
		p.Reason += ": " + d.Detail
	}
	if p.State != Started {
		p.EndedAt = now
	}
	return p
}
