package relay

import (
	"cmp"
	"time"
)

// Detector holds the limits by which a silent stream is judged. Its zero value uses
// the defaults.
type Detector struct {
	// ProbeAfter is the silence in the middle of a stream that makes its server
	// doubtful.
	ProbeAfter time.Duration
	// ProbeEvery is the pace of probes before the first event, when silence is
	// no evidence.
	ProbeEvery time.Duration
	// StalledAfter is the silence of a stream whose server answers probes after
	// which a copy takes over: the connection or the run may be lost.
	StalledAfter time.Duration
	// GiveUpAfter is such a silence where there is no copy, so that another
	// server has to read the whole prompt again.
	GiveUpAfter time.Duration
	// IdleAfter is how long a server may report no work at all while it has a
	// request: its reports lag.
	IdleAfter time.Duration
}

// The defaults of Judge.
const (
	// Events follow each other in 30 to 160 ms, the latter while the engine
	// prefills another prompt.
	defaultProbeAfter = 150 * time.Millisecond
	defaultProbeEvery = 300 * time.Millisecond
	// Callers count an answer as late after a gap of about 700 ms; a takeover
	// by copy takes up to 200 ms.
	defaultStalledAfter = 450 * time.Millisecond
	defaultGiveUpAfter  = 2500 * time.Millisecond
	// Reports are some hundred milliseconds old.
	defaultIdleAfter = 600 * time.Millisecond
)

// StreamState is what is known of a stream from which nothing comes.
type StreamState struct {
	Now     time.Time
	SentAt  time.Time
	LastEventAt time.Time // of its last event; zero before the first one
	// FirstBy is when the first event is expected at the latest; after it another
	// server is tried although this one answers probes.
	FirstBy time.Time
	// IdleAt is when the server last reported no work at all; zero if it did not.
	IdleAt time.Time
	// ProbedAt is when its server was last probed, zero if it was not, and
	// ProbeBy when the probe's answer is due. ProbeOK says that it came.
	ProbedAt time.Time
	ProbeBy  time.Time
	ProbeOK  bool
	// ServerLost says that the server is known to be lost or gone.
	ServerLost bool
	// Copy says that another server has a running copy.
	Copy bool
	// Continued says that the run goes on from a copy, so that its first event
	// is not far.
	Continued bool
}

// Decision is what to do about a stream. For Await, At is when to judge again
// unless something happens first.
type Decision struct {
	Action Action
	At     time.Time
	Why    string
}

// whyIdle is the reason of a takeover from a server that has a request and reports
// no work at all.
const whyIdle = "server does not work on it"

// Decide judges a silent stream. It is a pure function.
func (j Detector) Decide(s StreamState) Decision {
	probing := !s.ProbedAt.IsZero() && !s.ProbeOK
	if probing && !s.Now.Before(s.ProbeBy) {
		return Decision{Action: FailOver, Why: "probe not answered"}
	}
	since, probeAfter, limit := s.LastEventAt, cmp.Or(j.ProbeAfter, defaultProbeAfter), cmp.Or(j.GiveUpAfter, defaultGiveUpAfter)
	switch {
	case s.LastEventAt.IsZero() && s.Continued:
		since = s.SentAt
	case s.LastEventAt.IsZero():
		since, probeAfter, limit = s.SentAt, cmp.Or(j.ProbeEvery, defaultProbeEvery), s.FirstBy.Sub(s.SentAt)
	case s.Copy:
		limit = cmp.Or(j.StalledAfter, defaultStalledAfter)
	}
	if s.LastEventAt.IsZero() && s.IdleAt.Sub(s.SentAt) >= cmp.Or(j.IdleAfter, defaultIdleAfter) {
		return Decision{Action: FailOver, Why: whyIdle}
	}
	if s.ServerLost && s.Now.Sub(since) >= probeAfter {
		return Decision{Action: FailOver, Why: "server known to be lost"}
	}
	end := since.Add(limit)
	if !s.Now.Before(end) {
		return Decision{Action: FailOver, Why: "silent though probes are answered"}
	}
	probeAt := since.Add(probeAfter)
	if s.ProbedAt.After(since) {
		probeAt = s.ProbedAt.Add(cmp.Or(j.ProbeEvery, defaultProbeEvery))
	}
	switch {
	case probing:
		return Decision{Action: Await, At: earlier(s.ProbeBy, end)}
	case !s.Now.Before(probeAt):
		return Decision{Action: Probe, Why: "silent"}
	}
	return Decision{Action: Await, At: earlier(probeAt, end)}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
