package relay

import (
	"cmp"
	"time"
)

// Detector detects failed streams by how long they are silent and by probes of their servers.
// Its zero value uses the default timeouts.
type Detector struct {
	// ProbeAfter is how long a stream may be silent between two events before its server is
	// probed.
	ProbeAfter time.Duration
	// ProbeEvery is the interval between probes. Before the first event, when silence is no
	// evidence of a failure, it is also the delay before the first probe.
	ProbeEvery time.Duration
	// FailOverAfter is how long a stream may be silent, although its server answers probes,
	// before it fails over to a server that holds a copy of the KV cache: the connection or
	// the run may be lost.
	FailOverAfter time.Duration
	// RestartAfter replaces FailOverAfter where no server holds a copy, so that another server
	// has to read the whole prompt again.
	RestartAfter time.Duration
	// IdleAfter is how long a server that was sent the request may report that it has no work
	// at all. It allows for reports that are out of date.
	IdleAfter time.Duration
	// ReportEvery is the interval between probes that request a load report, which costs more
	// than opening a connection.
	ReportEvery time.Duration
}

// The default timeouts of Detector.
const (
	// Events are 30 to 160 ms apart, the latter while the engine prefills another prompt.
	defaultProbeAfter = 150 * time.Millisecond
	defaultProbeEvery = 300 * time.Millisecond
	// Callers count an answer as late after a gap of about 700 ms; failover to a copy takes up
	// to 200 ms.
	defaultFailOverAfter = 450 * time.Millisecond
	defaultRestartAfter  = 2500 * time.Millisecond
	// Reports are some hundred milliseconds old.
	defaultIdleAfter   = 600 * time.Millisecond
	defaultReportEvery = 1200 * time.Millisecond
)

// StreamState is the state of the current run of a stream, on which the detector decides.
type StreamState struct {
	Now         time.Time
	SentAt      time.Time
	LastEventAt time.Time // zero before the first event
	// FirstEventBy is when the first event is due. After it another server is tried even if
	// this one answers probes.
	FirstEventBy time.Time
	// IdleAt is when the server last reported that it has no work at all; zero if it never
	// did.
	IdleAt time.Time
	// Unheard reports whether the server has reported events of the run, of which none has come:
	// the connection is silent for good.
	Unheard bool
	// ProbedAt is when the server was last probed, zero if it was not. ProbeDue is when the
	// answer is due, and ProbeOK reports whether it came.
	ProbedAt time.Time
	ProbeDue time.Time
	ProbeOK  bool
	// ReportAt is when the last probe for a load report was sent; zero if there was none.
	ReportAt time.Time
	// ServerFailed reports whether the server is known to have failed or to be removed.
	ServerFailed bool
	// FailedAt is when something at the server failed last, maybe another run; zero if nothing has.
	FailedAt time.Time
	// Peer reports whether the run is at another entry VM, which finds out whether its server
	// fails. Only whether that entry VM answers probes counts here.
	Peer bool
	// HasCopy reports whether another server holds a copy of the run's KV cache.
	HasCopy bool
	// FromCopy reports whether the run resumes from a copy of the KV cache, so that its first
	// event comes soon.
	FromCopy bool
}

// probeFailed reports whether the last probe was not answered in time.
func (s *StreamState) probeFailed(now time.Time) bool {
	return !s.ProbedAt.IsZero() && !s.ProbeOK && !now.Before(s.ProbeDue)
}

// heard records that the server has sent something that does not show that it proceeds: it answers, as to a probe.
func (s *StreamState) heard(now time.Time) { s.ProbedAt, s.ProbeOK = now, true }

// Decision is what to do about a stream. For Await, CheckAt is when to decide again unless
// something happens before.
type Decision struct {
	Action  Action
	CheckAt time.Time
	Reason  string
	// Report is set if the probe is to request a load report.
	Report bool
}

// peerLimit exceeds the time that any request takes.
const peerLimit = time.Hour

// reasonIdle is the reason for a failover from a server that was sent the request but reports
// no work at all.
const reasonIdle = "server does not work on it"

// reasonUnheard is the reason for a failover from a run whose events do not come.
const reasonUnheard = "its events do not come"

// reasonSilent is the reason for a failover from a server that is reachable, as far as is known,
// but sends no event in time.
const reasonSilent = "silent though probes are answered"

// Decide returns what to do about a stream. It is a pure function.
func (d Detector) Decide(s StreamState) Decision {
	if s.probeFailed(s.Now) {
		return Decision{Action: FailOver, Reason: "probe not answered"}
	}
	since, probeAfter, limit := s.LastEventAt, cmp.Or(d.ProbeAfter, defaultProbeAfter), cmp.Or(d.RestartAfter, defaultRestartAfter)
	switch {
	case s.Peer:
		since, limit = later(s.SentAt, s.LastEventAt), peerLimit
	case s.LastEventAt.IsZero() && s.FromCopy:
		since = s.SentAt
	case s.LastEventAt.IsZero():
		since, probeAfter, limit = s.SentAt, cmp.Or(d.ProbeEvery, defaultProbeEvery), s.FirstEventBy.Sub(s.SentAt)
	case s.HasCopy:
		limit = cmp.Or(d.FailOverAfter, defaultFailOverAfter)
	}
	if s.LastEventAt.IsZero() && s.IdleAt.Sub(s.SentAt) >= cmp.Or(d.IdleAfter, defaultIdleAfter) {
		return Decision{Action: FailOver, Reason: reasonIdle}
	}
	if s.LastEventAt.IsZero() && s.Unheard {
		return Decision{Action: FailOver, Reason: reasonUnheard}
	}
	waiting := s.LastEventAt.IsZero() && !s.FromCopy
	switch {
	case !s.ServerFailed || s.Now.Sub(since) < probeAfter:
	case !waiting || s.FailedAt.IsZero():
		return Decision{Action: FailOver, Reason: "server known to be lost"}
	case s.ProbedAt.Before(s.FailedAt):
		// A run that has not begun can't be told to stop if the server is alive.
		return Decision{Action: Probe, Reason: "server may be lost"}
	}
	end := since.Add(limit)
	if !s.Now.Before(end) {
		return Decision{Action: FailOver, Reason: reasonSilent}
	}
	probeAt := since.Add(probeAfter)
	if s.ProbedAt.After(since) {
		probeAt = s.ProbedAt.Add(cmp.Or(d.ProbeEvery, defaultProbeEvery))
	}
	switch {
	case !s.ProbedAt.IsZero() && !s.ProbeOK:
		return Decision{Action: Await, CheckAt: earlier(s.ProbeDue, end)}
	case !s.Now.Before(probeAt):
		return Decision{Action: Probe, Reason: "silent", Report: d.needsReport(s)}
	}
	return Decision{Action: Await, CheckAt: earlier(probeAt, end)}
}

// needsReport reports whether to ask the server for its load: before the first event, only that
// shows whether it works on the request.
func (d Detector) needsReport(s StreamState) bool {
	return s.LastEventAt.IsZero() && s.Now.Sub(s.SentAt) >= cmp.Or(d.IdleAfter, defaultIdleAfter) &&
		s.Now.Sub(s.ReportAt) >= cmp.Or(d.ReportEvery, defaultReportEvery)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
