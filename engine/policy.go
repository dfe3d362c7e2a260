package engine

import (
	"cmp"
	"time"
)

// Policy holds the limits by which a silent or failed stream is judged. Its
// zero value uses the defaults.
type Policy struct {
	// SuspectAfter is the silence in the middle of a stream that makes its
	// connection suspect.
	SuspectAfter time.Duration
	// OpenAfter is how long a connection may take until the engine has
	// confirmed the stream.
	OpenAfter time.Duration
	// ProbeAfter is how long an engine may take to confirm a stream that is
	// attached to again while nothing else is heard from it.
	ProbeAfter time.Duration
	// Resume is the time within which output has to go on after a loss.
	Resume time.Duration
	// PrefillRate is the speed, in tokens a second, at which an engine is
	// believed to read a prompt.
	PrefillRate float64
	// FirstTokenSlack is added to the expected time of a first token before
	// its stream is suspect.
	FirstTokenSlack time.Duration
	// MaxLive is the number of attempts that may be live at once.
	MaxLive int
	// MaxAttempts is the number of attempts that one run may make.
	MaxAttempts int
}

// The defaults of Policy.
const (
	defaultSuspectAfter    = 300 * time.Millisecond
	defaultOpenAfter       = 400 * time.Millisecond
	defaultProbeAfter      = 200 * time.Millisecond
	defaultResume          = 2 * time.Second
	defaultPrefillRate     = 8000
	defaultFirstTokenSlack = 600 * time.Millisecond
	defaultMaxLive         = 3
	defaultMaxAttempts     = 64
	// gapFactor is how many usual token gaps count as silence.
	gapFactor = 8
	// openMargin is kept free of the resume time for the way to the next
	// engine and back.
	openMargin = 150 * time.Millisecond
	// maxDoublings bounds the growth of the wait between takeovers.
	maxDoublings = 5
)

// WithDefaults returns p with its zero fields set to the defaults.
func (p Policy) WithDefaults() Policy {
	p.SuspectAfter = cmp.Or(p.SuspectAfter, defaultSuspectAfter)
	p.OpenAfter = cmp.Or(p.OpenAfter, defaultOpenAfter)
	p.ProbeAfter = cmp.Or(p.ProbeAfter, defaultProbeAfter)
	p.Resume = cmp.Or(p.Resume, defaultResume)
	p.FirstTokenSlack = cmp.Or(p.FirstTokenSlack, defaultFirstTokenSlack)
	p.PrefillRate = cmp.Or(p.PrefillRate, defaultPrefillRate)
	p.MaxLive = cmp.Or(p.MaxLive, defaultMaxLive)
	p.MaxAttempts = cmp.Or(p.MaxAttempts, defaultMaxAttempts)
	return p
}

// PrefillTime returns how long an engine is believed to need for n tokens.
func (p Policy) PrefillTime(n Tokens) time.Duration {
	return time.Duration(float64(n) / p.PrefillRate * float64(time.Second))
}

// ConnectionView is what is known about the newest live attempt.
type ConnectionView struct {
	Connection
	BegunAt  time.Time
	OpenedAt time.Time // when the engine confirmed the stream; zero if not yet
	LastReceived  time.Time // when anything came last; zero if nothing did
	FirstBy  time.Time // when the first token is expected at the latest
	Probed   bool      // its stream was attached to again since its last token
	// ServerHeardAt is when anything came last from the server, on any of
	// this entry VM's streams.
	ServerHeardAt time.Time
}

// View is what a decision about a running generation rests on.
type View struct {
	Now        time.Time
	ProgressAt time.Time     // the last token, or the run's begin before the first
	Started    bool          // the answer has tokens, here or at an earlier entry VM
	TokenGap        time.Duration // the usual time between tokens; 0 if unknown
	ResumeCost time.Duration // believed time of a new attempt to its first token
	Attempts   int           // made in this run
	Takeovers  int           // attempts on other servers since the last token
	RetryAt    time.Time     // no attempt on another server before; zero if any time
	Newest     *ConnectionView
}

// Action is what a decision asks for.
type Action int

//go:generate go tool -modfile=../tools/go.mod stringer -type=Action -linecomment -output=action_string.go

// The actions.
const (
	Wait     Action = iota // wait
	Reattach               // reattach
	NewAttempt                   // next attempt
	GiveUp                 // give up
)

// Decision is what to do now. For Wait, At is when to decide again unless
// something happens first; for Reattach, Target is the attempt to replace.
type Decision struct {
	Action Action
	At     time.Time
	Target Connection
	Reason    Reason
}

// Reason says why a decision was taken.
type Reason int

//go:generate go tool -modfile=../tools/go.mod stringer -type=Reason -linecomment -output=reason_string.go

// The reasons.
const (
	NoReason         Reason = iota // none
	NoLiveAttempt                    // no attempt is live
	ConnectionSilent               // the connection is silent while its server is heard
	ServerSilent                   // nothing is heard from the server
	NotOpened                      // the engine did not confirm the stream
	FirstTokenLate                 // the first token is late
	ResumeTimeoutNear                 // the time for output to go on is nearly over
	ProbeUnanswered                // the engine did not confirm the attachment
	TooManyAttempts                // every permitted attempt was made
	Backoff                        // servers refused; waiting before the next try
)

// Decide judges a running generation. It is a pure function of p and v.
//
// Evidence decides, not one timeout. A stream that falls silent is attached to
// again on a new connection, which needs no second prefill; where only the
// connection was lost, output goes on. The same call is the probe of a server
// from which nothing else is heard: while it stays unanswered, another server
// takes over at once. From a server that answers, the stream is awaited until
// the resume time is nearly over. Whichever delivers first goes on.
func (p Policy) Decide(v View) Decision {
	if v.Newest == nil {
		return p.next(v, NoLiveAttempt)
	}
	due, why := p.suspectAt(v)
	if v.Now.Before(due) {
		return Decision{Action: Wait, At: due}
	}
	if !v.Newest.Probed && v.Attempts < p.MaxAttempts {
		return Decision{Action: Reattach, Target: v.Newest.Connection, Reason: why}
	}
	due, why = p.takeoverAt(v)
	if v.Now.Before(due) {
		return Decision{Action: Wait, At: due}
	}
	return p.next(v, why)
}

// next starts an attempt on another server, unless it has to wait or to give
// up.
func (p Policy) next(v View, why Reason) Decision {
	switch {
	case v.Attempts >= p.MaxAttempts:
		return Decision{Action: GiveUp, Reason: TooManyAttempts}
	case v.Now.Before(v.RetryAt):
		return Decision{Action: Wait, At: v.RetryAt, Reason: Backoff}
	}
	return Decision{Action: NewAttempt, Reason: why}
}

// suspectAt returns when the newest attempt becomes suspect unless it is heard
// before, and what will then have been found.
func (p Policy) suspectAt(v View) (time.Time, Reason) {
	c := v.Newest
	switch {
	case c.OpenedAt.IsZero() && c.Probed:
		return c.BegunAt.Add(p.ProbeAfter), ProbeUnanswered
	case c.OpenedAt.IsZero():
		return c.BegunAt.Add(p.OpenAfter), NotOpened
	case c.LastReceived.IsZero() && c.FirstBy.After(c.OpenedAt):
		return c.FirstBy, FirstTokenLate
	}
	at := later(c.LastReceived, c.OpenedAt).Add(max(p.SuspectAfter, gapFactor*v.TokenGap))
	if c.ServerHeardAt.After(c.LastReceived) {
		return at, ConnectionSilent
	}
	return at, ServerSilent
}

// takeoverAt returns when another server takes over from the newest attempt,
// which is suspect and was attached to again.
func (p Policy) takeoverAt(v View) (time.Time, Reason) {
	c := v.Newest
	probeEnd := c.BegunAt.Add(p.ProbeAfter)
	if c.OpenedAt.IsZero() && !c.ServerHeardAt.After(c.BegunAt) {
		return probeEnd, ProbeUnanswered
	}
	base := v.ProgressAt
	if !v.Started {
		base = later(base, c.FirstBy)
	}
	// Each takeover that brought no token doubles the wait, so that slow
	// engines are not loaded further by attempts that they cannot serve.
	wait := p.Resume<<min(v.Takeovers, maxDoublings) - openMargin - v.ResumeCost
	return later(base.Add(wait), probeEnd), ResumeTimeoutNear
}

// later returns the later instant.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
