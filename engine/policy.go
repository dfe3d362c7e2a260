package engine

import (
	"cmp"
	"time"
)

// Policy holds the parameters of the failure detector of streams. The zero value
// uses the defaults.
type Policy struct {
	// SuspectAfter is how long a stream that has begun may be silent before its
	// connection is suspect.
	SuspectAfter time.Duration
	// OpenTimeout is the time in which an engine must confirm a new stream.
	OpenTimeout time.Duration
	// ProbeTimeout is the time in which an engine must confirm the attachment to
	// an existing stream if nothing else is received from it.
	ProbeTimeout time.Duration
	// ResumeTimeout is the time in which output must continue after a failure.
	ResumeTimeout time.Duration
	// PrefillRate is the estimated prefill speed of an engine in tokens per
	// second.
	PrefillRate float64
	// FirstTokenSlack is added to the time limit for the first token that is
	// derived from the engine's estimated cost; after it, the stream is suspect.
	FirstTokenSlack time.Duration
	// MaxLive is the maximum number of live attempts.
	MaxLive int
	// MaxAttempts is the maximum number of attempts of one run.
	MaxAttempts int
}

// The defaults of Policy.
const (
	defaultSuspectAfter    = 300 * time.Millisecond
	defaultOpenTimeout     = 400 * time.Millisecond
	defaultProbeTimeout    = 200 * time.Millisecond
	defaultResumeTimeout   = 2 * time.Second
	defaultPrefillRate     = 8000
	defaultFirstTokenSlack = 600 * time.Millisecond
	defaultMaxLive         = 3
	defaultMaxAttempts     = 64
	// gapFactor is the number of average token gaps after which a stream counts
	// as silent.
	gapFactor = 8
	// resumeMargin is the part of ResumeTimeout reserved for the round trip to the
	// next engine.
	resumeMargin = 150 * time.Millisecond
	// maxDoublings bounds the exponential backoff between takeovers.
	maxDoublings = 5
)

// WithDefaults returns p with its zero fields set to the defaults.
func (p Policy) WithDefaults() Policy {
	p.SuspectAfter = cmp.Or(p.SuspectAfter, defaultSuspectAfter)
	p.OpenTimeout = cmp.Or(p.OpenTimeout, defaultOpenTimeout)
	p.ProbeTimeout = cmp.Or(p.ProbeTimeout, defaultProbeTimeout)
	p.ResumeTimeout = cmp.Or(p.ResumeTimeout, defaultResumeTimeout)
	p.FirstTokenSlack = cmp.Or(p.FirstTokenSlack, defaultFirstTokenSlack)
	p.PrefillRate = cmp.Or(p.PrefillRate, defaultPrefillRate)
	p.MaxLive = cmp.Or(p.MaxLive, defaultMaxLive)
	p.MaxAttempts = cmp.Or(p.MaxAttempts, defaultMaxAttempts)
	return p
}

// PrefillTime returns the estimated time an engine needs to prefill n tokens.
func (p Policy) PrefillTime(n Tokens) time.Duration {
	return time.Duration(float64(n) / p.PrefillRate * float64(time.Second))
}

// ConnectionView is the state of the newest live attempt.
type ConnectionView struct {
	Connection
	StartedAt    time.Time
	OpenedAt     time.Time // when the engine confirmed the stream; zero if not yet
	LastReceived time.Time // when the last event was received on it; zero if none was
	FirstTokenBy time.Time // time limit for the first token
	Probed       bool      // since its last token, an attempt has attached to its stream again
	// ServerLastSeen is when this entry VM last received anything from the server,
	// on any connection.
	ServerLastSeen time.Time
}

// View is the state of a running generation that a decision is based on.
type View struct {
	Now        time.Time
	ProgressAt time.Time     // time of the last token, or start of the run if there is none
	Started    bool          // the answer has tokens, from this or an earlier entry VM
	TokenGap   time.Duration // moving average of the time between tokens; 0 if unknown
	ResumeCost time.Duration // estimated time of a new attempt to its first token
	Attempts   int           // attempts made in this run
	Takeovers  int           // takeovers by other servers since the last token
	RetryAt    time.Time     // earliest time of an attempt on another server; zero for no limit
	Newest     *ConnectionView
}

// Action is the action to take.
type Action int

//go:generate go tool -modfile=../tools/go.mod stringer -type=Action -linecomment -output=action_string.go

// The actions.
const (
	Wait       Action = iota // wait
	Reattach                 // reattach
	NewAttempt               // next attempt
	GiveUp                   // give up
)

// Decision is the result of [Policy.Decide]. For Wait, At is when to decide again if
// no event arrives earlier; for Reattach, Target is the attempt to replace.
type Decision struct {
	Action Action
	At     time.Time
	Target Connection
	Reason Reason
}

// Reason is the reason for a decision.
type Reason int

//go:generate go tool -modfile=../tools/go.mod stringer -type=Reason -linecomment -output=reason_string.go

// The reasons.
const (
	NoReason          Reason = iota // none
	NoLiveAttempt                   // no attempt is live
	ConnectionSilent                // the connection is silent while its server is heard
	ServerSilent                    // nothing is heard from the server
	NotOpened                       // the engine did not confirm the stream
	FirstTokenLate                  // the first token is late
	ResumeTimeoutNear               // the time for output to go on is nearly over
	ProbeUnanswered                 // the engine did not confirm the attachment
	TooManyAttempts                 // every permitted attempt was made
	Backoff                         // servers refused; waiting before the next try
)

// Decide decides how to continue a running generation. It is a pure function of p
// and v.
//
// A silent stream does not fail after a single timeout. First, a new attempt attaches
// to the stream on a new connection, which needs no second prefill; if only the
// connection had failed, output continues there. The attachment is also a probe of
// the server: if the server does not confirm it within ProbeTimeout and nothing else
// is received from it, another server takes over at once. If the server does
// respond, Decide waits for the stream until ResumeTimeout has nearly passed before
// another server takes over. All these attempts stay live, and the first to deliver
// a token continues the answer.
func (p Policy) Decide(v View) Decision {
	if v.Newest == nil {
		return p.next(v, NoLiveAttempt)
	}
	due, reason := p.suspectAt(v)
	if v.Now.Before(due) {
		return Decision{Action: Wait, At: due}
	}
	if !v.Newest.Probed && v.Attempts < p.MaxAttempts {
		return Decision{Action: Reattach, Target: v.Newest.Connection, Reason: reason}
	}
	due, reason = p.takeoverAt(v)
	if v.Now.Before(due) {
		return Decision{Action: Wait, At: due}
	}
	return p.next(v, reason)
}

// next decides to start an attempt on another server, unless it must wait for the
// backoff or has made all permitted attempts.
func (p Policy) next(v View, reason Reason) Decision {
	switch {
	case v.Attempts >= p.MaxAttempts:
		return Decision{Action: GiveUp, Reason: TooManyAttempts}
	case v.Now.Before(v.RetryAt):
		return Decision{Action: Wait, At: v.RetryAt, Reason: Backoff}
	}
	return Decision{Action: NewAttempt, Reason: reason}
}

// suspectAt returns when the newest attempt becomes suspect if nothing is received
// on it earlier, and the reason that applies then.
func (p Policy) suspectAt(v View) (time.Time, Reason) {
	c := v.Newest
	switch {
	case c.OpenedAt.IsZero() && c.Probed:
		return c.StartedAt.Add(p.ProbeTimeout), ProbeUnanswered
	case c.OpenedAt.IsZero():
		return c.StartedAt.Add(p.OpenTimeout), NotOpened
	case c.LastReceived.IsZero() && c.FirstTokenBy.After(c.OpenedAt):
		return c.FirstTokenBy, FirstTokenLate
	}
	at := latest(c.LastReceived, c.OpenedAt).Add(max(p.SuspectAfter, gapFactor*v.TokenGap))
	if c.ServerLastSeen.After(c.LastReceived) {
		return at, ConnectionSilent
	}
	return at, ServerSilent
}

// takeoverAt returns when another server takes over from the newest attempt, which
// is suspect and has been probed by attaching to its stream again.
func (p Policy) takeoverAt(v View) (time.Time, Reason) {
	c := v.Newest
	probeEnd := c.StartedAt.Add(p.ProbeTimeout)
	if c.OpenedAt.IsZero() && !c.ServerLastSeen.After(c.StartedAt) {
		return probeEnd, ProbeUnanswered
	}
	base := v.ProgressAt
	if !v.Started {
		base = latest(base, c.FirstTokenBy)
	}
	// Each takeover since the last token doubles the wait, so that slow engines
	// are not loaded with attempts that they cannot serve.
	wait := p.ResumeTimeout<<min(v.Takeovers, maxDoublings) - resumeMargin - v.ResumeCost
	return latest(base.Add(wait), probeEnd), ResumeTimeoutNear
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
