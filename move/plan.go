// Package move decides about moves, which shift traffic gradually from one version of
// a deployment to another: which share of requests the new version gets, whether it
// is as good as the old one, and when the move is finished or rolled back. It does no
// I/O: it takes times and typed inputs and returns typed decisions.
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

// Kind is the kind of the platform's objects that contain moves. The name of such an
// object is that of the deployment.
const Kind objects.Kind = "move"

// State is the state of a move.
type State string

// The states.
const (
	Started    State = "started"
	Finished   State = "finished"
	RolledBack State = "takenBack"
)

// Plan is the aggregate of a move, as stored in the platform. Once it has started,
// only the holder of the lease on moves changes it, or an operator who rolls it back.
type Plan struct {
	Deployment string         `json:"deployment"`
	From       engine.Version `json:"from"`
	To         engine.Version `json:"to"`
	Start      time.Time      `json:"start"`
	FinishBy   time.Time      `json:"finishBy"`
	EarlyShare float64        `json:"earlyShare"` // 0.05 if 0
	// MaxExposure is the maximum fraction of all requests during the whole move
	// that a bad version may get, even if it turns bad late; 0 for no limit. A move
	// with it is called limited. Its From may be empty, which stands for every
	// version but To.
	MaxExposure float64   `json:"maxExposure,omitempty"`
	Step        int       `json:"step"`
	SteppedAt   time.Time `json:"steppedAt"`
	State       State     `json:"state"`
	Reason      string    `json:"reason,omitempty"`
	EndedAt     time.Time `json:"endedAt"`
}

// The shares of the new version. At the last step the old version keeps a share so
// that the new one can still be compared with it.
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

// Check returns an error for the first invalid field of the plan.
func (p *Plan) Check() error {
	switch {
	case p.Deployment == "":
		return result.New(result.MissingField, "empty").WithField("deployment")
	case p.From == "" && !p.limited() || p.To == "" || p.From == p.To:
		return result.New(result.OutOfRange, "from %q to %q", p.From, p.To).WithField("to")
	case !p.FinishBy.After(p.Start.Add(p.minLength())):
		return result.New(result.OutOfRange, "a move takes %s or more", p.minLength()).WithField("finishBy")
	case p.MaxExposure < 0 || p.MaxExposure > 1:
		return result.New(result.OutOfRange, "want 0 to 1").WithField("maxExposure")
	case p.EarlyShare < 0 || p.EarlyShare > maxEarlyShare:
		return result.New(result.OutOfRange, "want 0 to %v", maxEarlyShare).WithField("earlyShare")
	case p.Step < 0 || p.Step > lastStep:
		return result.New(result.OutOfRange, "step %d", p.Step).WithField("step")
	case p.State != Started && p.State != Finished && p.State != RolledBack:
		return result.New(result.OutOfRange, "state %q", p.State).WithField("state")
	}
	return nil
}

// limited reports whether MaxExposure limits the requests of a bad version.
func (p *Plan) limited() bool { return p.MaxExposure > 0 }

// The minimum durations of moves.
const (
	minLength        = 30 * time.Second
	minLimitedLength = 6 * time.Second
)

func (p *Plan) minLength() time.Duration {
	if p.limited() {
		return minLimitedLength
	}
	return minLength
}

// limitedFirstPart is the first share of a limited move, as a fraction of
// MaxExposure. The rest is reserved for the larger shares at the end.
const limitedFirstPart = 0.8

// limitedStepTimes are the earliest times of the later steps of a limited move, as
// fractions of the time until the end is decided. With them, a version that turns bad
// after the last step has received limitedFirstPart of MaxExposure and about 2% of all
// requests.
var limitedStepTimes = []float64{0.95, 0.975, 0.99}

// mayRaise reports whether a limited move may take its next step at now.
func (p *Plan) mayRaise(now time.Time) bool {
	earliest := p.Start.Add(time.Duration(limitedStepTimes[p.Step] * float64(p.decideAt().Sub(p.Start))))
	return !now.Before(earliest)
}

// decideAt returns when the end of the move is decided.
func (p *Plan) decideAt() time.Time { return p.FinishBy.Add(-p.endMargin()) }

// lastDecideAt returns until when the decision about a limited move waits for more answers, if those that have come
// leave it open.
func (p *Plan) lastDecideAt() time.Time { return p.FinishBy.Add(-lastEndMargin) }

// endMargin returns how long before FinishBy the end of the move is decided.
func (p *Plan) endMargin() time.Duration {
	if p.limited() {
		return limitedEndMargin
	}
	return finishMargin
}

// Share returns the share of requests that the new version gets at now. If bad, the
// caller knows that the new version is bad, and the share is 0 at once. An entry VM
// that has not received the end of the move by FinishBy returns to the old version,
// since it may be partitioned.
func (p *Plan) Share(now time.Time, bad bool) float64 {
	switch {
	case p.State == Finished:
		return 1
	case p.State == RolledBack, bad, now.Before(p.Start), !now.Before(p.FinishBy):
		return 0
	case p.Step == 0 && p.limited():
		return limitedFirstPart * p.MaxExposure
	case p.Step == 0 && p.EarlyShare > 0:
		return p.EarlyShare
	case p.Step == 0:
		return defaultEarlyShare
	}
	return laterShares[p.Step-1]
}

// hashRange is the number of buckets that requests are hashed to.
const hashRange = 1 << 20

// Version returns the version for a request. Every entry VM returns the same one, and
// a request that gets the new version at some share gets it at every larger share.
func (p *Plan) Version(r engine.RequestID, now time.Time, bad bool) engine.Version {
	return p.versionAt(r, p.Share(now, bad))
}

// RouteVersion is Version for a request on a route where the first shares differ by route, as
// [Plan.FirstShares] returns them. None are used shortly before the end is decided.
func (p *Plan) RouteVersion(r engine.RequestID, route Route, first FirstShares, now time.Time, bad bool) engine.Version {
	share := p.Share(now, bad)
	switch of, ok := first.ByRoute[route]; {
	case !ok || p.State != Started || share == 0:
	case p.Step > 0:
		share = max(share, of)
	case now.Before(p.lastSendAt()):
		share = of
	default:
		share = 0
	}
	return p.versionAt(r, share)
}

func (p *Plan) versionAt(r engine.RequestID, share float64) engine.Version {
	bucket := xxhash.Sum64String(fmt.Sprintf("%s/%s/%s", p.Deployment, p.To, r)) % hashRange
	if float64(bucket)/hashRange < share {
		return p.To
	}
	return p.From
}

// minDwell returns the minimum time at a step.
func (p *Plan) minDwell() time.Duration { return p.FinishBy.Sub(p.Start) / dwellParts }

// The timing of a move.
const (
	dwellParts = 12
	// finishMargin is how long before FinishBy the end is decided, so that it
	// reaches all entry VMs in time.
	finishMargin = 6 * time.Second
	// limitedEndMargin is the same for limited moves, where the old servers stop
	// at the end.
	limitedEndMargin = 1600 * time.Millisecond
	// lastEndMargin is the same where more answers are waited for.
	lastEndMargin = 800 * time.Millisecond
)

// The times at which the evidence of a move is exchanged and evaluated.
const (
	// DecideInterval is the interval between them.
	DecideInterval = time.Second
	// lastExchange is how long before the end of a limited move is decided the evidence is exchanged once more.
	lastExchange = 300 * time.Millisecond
	// lastReport is how long before that entry VMs report what they have counted.
	lastReport = 100 * time.Millisecond
)

// NextReport returns when an entry VM that reports its counts periodically does so after now.
func (p *Plan) NextReport(now time.Time, interval time.Duration) time.Time {
	return p.next(now, interval, lastExchange+lastReport)
}

// NextDecision returns when the evidence of a started move is to be exchanged and evaluated after now.
func (p *Plan) NextDecision(now time.Time) time.Time {
	return p.next(now, DecideInterval, lastExchange, 0)
}

// next returns when something periodic is due after now. In a limited move it is also due some times before each
// instant at which the end may be decided.
func (p *Plan) next(now time.Time, interval time.Duration, before ...time.Duration) time.Time {
	next := now.Add(interval)
	if !p.limited() {
		return next
	}
	for _, end := range []time.Time{p.decideAt(), p.lastDecideAt()} {
		for _, d := range before {
			if at := end.Add(-d); now.Before(at) {
				next = earliest(next, at)
			}
		}
	}
	return next
}

// Action is the action that a decision asks for.
type Action int

// The actions.
const (
	Keep     Action = iota // keep
	Raise                  // raise
	Finish                 // finish
	RollBack               // take back
)

// Reason is the reason for a decision.
type Reason int

// The reasons.
const (
	NoReason       Reason = iota // none
	TooSoon                      // the step is young
	MoreEvidence                 // more requests are needed
	GoodSoFar                    // as good as the old version so far
	GoodThroughout               // as good as the old version at its full share
	WorseThanOld                 // worse than the old version
	TimedOut                     // not enough evidence in time
)

// Decision is the result of [Plan.Decide].
type Decision struct {
	Action Action
	Reason Reason
	Detail string // description of the evidence for operators
}

// Decide decides how a started move continues at now.
func (p *Plan) Decide(now time.Time, e *Evidence) Decision {
	if v := e.Alarm(); v.Raised {
		return Decision{Action: RollBack, Reason: WorseThanOld, Detail: v.String()}
	}
	late := !now.Before(p.decideAt())
	doubt := ""
	if p.limited() {
		if bad := e.Bad(); bad != "" {
			return Decision{Action: RollBack, Reason: WorseThanOld, Detail: bad}
		}
		if late && now.Before(p.lastDecideAt()) && e.Open() {
			return Decision{Reason: MoreEvidence}
		}
		doubt = e.Doubt()
	}
	switch {
	case late && doubt != "":
		return Decision{Action: RollBack, Reason: WorseThanOld, Detail: doubt}
	case !now.Before(p.FinishBy):
		// Every entry VM has already returned to the old version.
		return Decision{Action: RollBack, Reason: TimedOut, Detail: e.Summary()}
	case late && (p.Step == lastStep || p.limited() && e.EnoughLimited()):
		return Decision{Action: Finish, Reason: GoodThroughout, Detail: e.Summary()}
	case late:
		return Decision{Action: RollBack, Reason: TimedOut, Detail: e.Summary()}
	case p.Step == lastStep:
		return Decision{Reason: GoodSoFar}
	case p.limited() && !p.mayRaise(now):
		return Decision{Reason: TooSoon}
	case p.limited() && (!e.EnoughLimited() || doubt != "" || e.Open()):
		return Decision{Reason: MoreEvidence}
	case p.limited():
		return Decision{Action: Raise, Reason: GoodSoFar, Detail: e.Summary()}
	case now.Before(latest(p.SteppedAt, p.Start).Add(p.minDwell())):
		return Decision{Reason: TooSoon}
	case !e.Enough(now.Sub(latest(p.SteppedAt, p.Start)) > maxDwells*p.minDwell()):
		return Decision{Reason: MoreEvidence}
	}
	return Decision{Action: Raise, Reason: GoodSoFar, Detail: e.Summary()}
}

// maxDwells is the time at a step, in units of minDwell, after which the share rises
// even if a route has few requests of the new version: a larger share gets it more.
const maxDwells = 2

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Apply returns the plan changed as the decision asks.
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
	p.Reason = d.Reason.String()
	if d.Detail != "" {
		p.Reason += ": " + d.Detail
	}
	if p.State != Started {
		p.EndedAt = now
	}
	return p
}
