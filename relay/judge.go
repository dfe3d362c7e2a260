package relay

import (
	"cmp"
	"time"
)

// Judge detects failed streams by how long they are silent and by probes of their servers. Its
// zero value uses the default timeouts.
type Judge struct {
	// ProbeAfter is how long a stream may be silent between two events before its server is
	// probed.
	ProbeAfter time.Duration
	// ProbeEvery is the interval between probes. Before the first event, when silence is no
	// evidence of a failure, it is also the delay before the first probe.
	ProbeEvery time.Duration
	// StalledAfter is how long a stream may be silent, although its server answers probes,
	// before it fails over to a server that holds a copy of the KV cache: the connection or
	// the run may be lost.
	StalledAfter time.Duration
	// GiveUpAfter replaces StalledAfter where no server holds a copy, so that another server
	// has to read the whole prompt again.
	GiveUpAfter time.Duration
	// IdleAfter is how long a server that was sent the request may report that it has no work
	// at all. It allows for reports that are out of date.
	IdleAfter time.Duration
}

// The default timeouts of Judge.
const (
	// Events are 30 to 160 ms apart, the latter while the engine prefills another prompt.
	defaultProbeAfter = 150 * time.Millisecond
	defaultProbeEvery = 300 * time.Millisecond
	// Callers count an answer as late after a gap of about 700 ms; failover to a copy takes up
	// to 200 ms.
	defaultStalledAfter = 450 * time.Millisecond
	defaultGiveUpAfter  = 2500 * time.Millisecond
	// Reports are some hundred milliseconds old.
	defaultIdleAfter = 600 * time.Millisecond
)

// Silence is the state of the current run of a stream, on which the detector decides.
type Silence struct {
	Now     time.Time
	SentAt  time.Time
	HeardAt time.Time // of the last event; zero before the first one
	// FirstBy is when the first event is due. After it another server is tried even if this
	// one answers probes.
	FirstBy time.Time
	// IdleAt is when the server last reported that it has no work at all; zero if it never
	// did.
	IdleAt time.Time
	// ProbedAt is when the server was last probed, zero if it was not. ProbeBy is when the
	// answer is due, and ProbeOK reports whether it came.
	ProbedAt time.Time
	ProbeBy  time.Time
	ProbeOK  bool
	// ServerLost reports whether the server is known to have failed or to be removed.
	ServerLost bool
	// Copy reports whether another server holds a copy of the run's KV cache.
	Copy bool
	// Continued reports whether the run resumes from a copy of the KV cache, so that its first
	// event comes soon.
	Continued bool
}

// Verdict is what to do about a stream. For Await, At is when to decide again unless something
// happens before.
type Verdict struct {
	Action Action
	At     time.Time
	Why    string
}

// reasonIdle is the reason for a failover from a server that was sent the request but reports
// no work at all.
const reasonIdle = "server does not work on it"

// Decide returns what to do about a stream. It is a pure function.
func (j Judge) Decide(s Silence) Verdict {
	probing := !s.ProbedAt.IsZero() && !s.ProbeOK
	if probing && !s.Now.Before(s.ProbeBy) {
		return Verdict{Action: TakeOver, Why: "probe not answered"}
	}
	since, probeAfter, limit := s.HeardAt, cmp.Or(j.ProbeAfter, defaultProbeAfter), cmp.Or(j.GiveUpAfter, defaultGiveUpAfter)
	switch {
	case s.HeardAt.IsZero() && s.Continued:
		since = s.SentAt
	case s.HeardAt.IsZero():
		since, probeAfter, limit = s.SentAt, cmp.Or(j.ProbeEvery, defaultProbeEvery), s.FirstBy.Sub(s.SentAt)
	case s.Copy:
		limit = cmp.Or(j.StalledAfter, defaultStalledAfter)
	}
	if s.HeardAt.IsZero() && s.IdleAt.Sub(s.SentAt) >= cmp.Or(j.IdleAfter, defaultIdleAfter) {
		return Verdict{Action: TakeOver, Why: reasonIdle}
	}
	if s.ServerLost && s.Now.Sub(since) >= probeAfter {
		return Verdict{Action: TakeOver, Why: "server known to be lost"}
	}
	end := since.Add(limit)
	if !s.Now.Before(end) {
		return Verdict{Action: TakeOver, Why: "silent though probes are answered"}
	}
	probeAt := since.Add(probeAfter)
	if s.ProbedAt.After(since) {
		probeAt = s.ProbedAt.Add(cmp.Or(j.ProbeEvery, defaultProbeEvery))
	}
	switch {
	case probing:
		return Verdict{Action: Await, At: earlier(s.ProbeBy, end)}
	case !s.Now.Before(probeAt):
		return Verdict{Action: Probe, Why: "silent"}
	}
	return Verdict{Action: Await, At: earlier(probeAt, end)}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
