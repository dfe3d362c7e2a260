package relay

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/platform"
)

// handover is the passage of a stream from a silent run to the current one. The silent run stays
// open for a moment: its engine may be sound, and the new one may refuse. The zero value is no
// handover.
type handover struct {
	held  *run      // the silent run
	until time.Time // when it is closed
	// doubt is set if the held run is not silent, but may have left out an event, which the current run is to show.
	doubt *doubt
}

// The timing of handovers.
const (
	// holdTime is how long a silent run stays open after the request was sent to another
	// engine. Engines refuse within it, and it leaves time to stop the silent run.
	holdTime = 200 * time.Millisecond
	// recheckDelay is when to decide again about a silent run that could not be replaced.
	recheckDelay = 200 * time.Millisecond
)

// turn is what a part of one of the two runs of a handover leads to.
type turn int

// The turns.
const (
	turnNone     turn = iota // both runs stay open
	turnTakeOver             // the silent run is closed
	turnGoBack               // the current run is closed and the silent one continues
	turnDrop                 // the silent run has ended
)

// onCurrent returns what follows a part of the current run: its first output completes the
// handover.
func (h handover) onCurrent(p part) turn {
	switch {
	case h.held == nil, p.connected:
		return turnNone
	case p.ended && p.err != nil:
		return turnGoBack
	}
	return turnTakeOver
}

// onHeld returns what follows a part of the silent run, which may be a repeated event. Those and comments do not show
// that it goes on.
func (h handover) onHeld(p part, repeated bool) turn {
	switch {
	case p.connected:
		return turnNone
	case p.ended && p.err != nil:
		return turnDrop
	case !p.ended && p.head == nil && (repeated || !p.event.dispatches()):
		return turnNone
	}
	return turnGoBack
}

// limit returns the decision about the current run with regard to the handover: there is no third
// run.
func (h handover) limit(v Decision) Decision {
	switch {
	case h.held == nil:
	case v.Action == FailOver:
		return Decision{Action: Await, CheckAt: h.until}
	case v.Action == Await:
		v.CheckAt = earlier(v.CheckAt, h.until)
	}
	return v
}

// expired reports whether the silent run is to be closed.
func (h handover) expired(now time.Time) bool {
	return h.held != nil && h.doubt == nil && !now.Before(h.until)
}

// isProofLate reports whether the held run is to go on, as the current one has not shown in time whether an event is missing.
func (h handover) isProofLate(now time.Time) bool { return h.doubt != nil && !now.Before(h.until) }

// parts returns the parts of the silent run's output.
func (h handover) parts() <-chan part {
	if h.held == nil || h.doubt != nil {
		return nil
	}
	return h.held.parts
}

// replace sends the stream to another engine while the current run, which is silent, stays open.
// Where no other engine or no retry is left, the run continues.
func (s *streamRun) replace(why string) {
	from := s.cur
	if why != reasonSilent && why != reasonIdle {
		s.observeCrash(from, nil)
	}
	p, memory, prevented := s.placeBeside()
	if prevented != "" {
		s.keep(prevented)
		return
	}
	if why == reasonSilent || why == reasonIdle {
		s.reportPartial(from, why == reasonIdle)
	} else {
		from.suspect = true
	}
	s.relay.markFailed(from.to, why == reasonIdle)
	s.countEmpty(from)
	s.sends++
	s.handover = handover{held: from, until: time.Now().Add(dialTimeout(p.Run.DialTime) + holdTime)}
	s.open(why, p, memory)
}

// placeBeside returns the placement of a run at another engine while the current one stays open, or what prevents it.
func (s *streamRun) placeBeside() (p backend.Placement, memory *platform.KVCopy, prevented string) {
	budget := s.relay.Budget(s.service)
	_, blocked := s.blocked()
	switch {
	case blocked || len(s.trials) > 0 && !s.sound:
		return p, nil, "request blocked"
	case s.sends >= maxSends:
		return p, nil, "too many sends"
	case !budget.Available(time.Now()):
		return p, nil, "retry budget spent"
	}
	s.reportAge = 0
	p, memory, ok := s.pick(time.Now(), s.cur, slices.Concat(s.tried, []engine.ServerID{s.cur.to.ID}))
	if !ok {
		s.tried = nil
		return p, nil, "no other engine"
	}
	// The current run's engine may be sound, and the other one may refuse late.
	if !budget.AllowSpare(time.Now()) {
		return p, nil, "retry budget spent"
	}
	return p, memory, ""
}

// keep continues a silent run that can't be replaced now.
func (s *streamRun) keep(why string) {
	s.cur.recheckAt = time.Now().Add(recheckDelay)
	if s.cur.keptFor != why {
		s.cur.keptFor = why
		s.logEvent("silent run continues", s.cur.to.ID, zap.String("why", why), zap.String("lastEvent", s.position.last.text))
	}
}

// endSilence records that the current run proceeds. Engines that refused to replace it while it was
// silent may accept the stream next time.
func (s *streamRun) endSilence() {
	if !s.cur.recheckAt.IsZero() {
		s.cur.recheckAt, s.cur.keptFor, s.tried = time.Time{}, "", nil
	}
}

// handleCurrent handles a part of the current run's output. It returns false if the request has
// ended.
func (s *streamRun) handleCurrent(p part) bool {
	if s.handover.doubt != nil {
		return s.handleProof(p)
	}
	if p.connected {
		s.handover.until = time.Now().Add(holdTime)
		return true
	}
	switch s.handover.onCurrent(p) {
	case turnTakeOver:
		s.takeOver()
	case turnGoBack:
		s.endBeside(p)
		s.cur.recheckAt = time.Now().Add(recheckDelay)
		return true
	}
	return s.handlePart(p)
}

// endBeside goes back to the held run as the current one has ended.
func (s *streamRun) endBeside(p part) {
	if p.err != nil {
		s.recordEnd(s.cur, p)
	}
	if p.outcome == NotRun {
		s.sends--
	}
	s.cur.done = p.outcome != Lost
	s.stopRun(s.cur, s.handover.held)
	s.tried = append(s.tried, s.cur.to.ID)
	s.goBack()
}

// handleHeld handles a part of the silent run's output. It returns false if the request has
// ended.
func (s *streamRun) handleHeld(p part) bool {
	switch s.handover.onHeld(p, s.position.has(p.event.id)) {
	case turnGoBack:
		s.logEvent("silent run goes on", s.handover.held.to.ID, zap.String("lastEvent", s.position.last.text))
		// The dropped run's connection may be silent too, so that its engine does not see it close.
		s.stopRun(s.cur, s.handover.held)
		s.goBack()
		return s.handlePart(p)
	case turnDrop:
		held := s.handover.held
		s.recordEnd(held, p)
		held.done = p.outcome != Lost
		s.closeHeld()
		s.stopRun(held, s.cur)
	}
	return true
}

// takeOver closes the silent run. Its engine is told to stop unless it leaves probes unanswered: it may
// not see the connection close.
func (s *streamRun) takeOver() {
	if !s.handover.held.state.probeFailed(time.Now()) {
		s.stopRun(s.handover.held, s.cur)
	}
	s.closeHeld()
}

// goBack closes the current run and continues the silent one.
func (s *streamRun) goBack() {
	s.close(s.cur)
	s.cur, s.handover = s.handover.held, handover{}
	s.cur.suspect = false // its server is alive
}

// closeHeld ends the handover, if there is one, in favour of the current run.
func (s *streamRun) closeHeld() {
	if r := s.handover.held; r != nil {
		s.tried = append(s.tried, r.to.ID)
		s.close(r)
		s.handover = handover{}
	}
}
