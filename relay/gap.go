package relay

import (
	"time"

	"go.uber.org/zap"
)

// doubt is an event before which one may be missing.
type doubt struct {
	event   event
	verdict idVerdict // what it counts as if no other engine shows it
}

// handleGap handles an event of the current run before which one may be missing. Another engine, if there is one, shows
// whether that is so. It returns false if the request has ended.
func (s *streamRun) handleGap(d *doubt) bool {
	switch {
	case s.cur.falls:
		d.verdict = idMissing // the run's events are out of order
		return s.decideAlone(d, "ids fell")
	case d.verdict == idMissing && s.relay.routeIDs.hasOdd(s.route.Name):
		d.verdict = idDoubt // a single run has shown such a rise too
	}
	if prevented := s.askOther(d); prevented != "" {
		return s.decideAlone(d, prevented)
	}
	return true
}

// decideAlone decides about an event of the current run as no other engine shows whether one is missing before it. An answer that
// its engine still sends is not given up for a guess. It returns false if the request has ended.
func (s *streamRun) decideAlone(d *doubt, why string) bool {
	e := &d.event
	if d.verdict == idMissing {
		s.logGap("event missing", e, zap.String("why", why))
		s.cur.observed.report(ServerAnswer{Failed: true})
		return s.failOver("event missing")
	}
	s.logGap("event passed on, one may be missing before it", e, zap.String("why", why))
	s.ids.uneven, s.exception = true, s.cur.to.ID
	s.relay.routeIDs.addOdd(s.route.Name, s.exception)
	s.cur.state.LastEventAt = time.Now()
	return s.accept(e)
}

func (s *streamRun) logGap(what string, e *event, more zap.Field) {
	s.logEvent(what, s.cur.to.ID, zap.String("route", string(s.route.Name)), zap.String("event", e.id.text), zap.String("lastEvent", s.position.last.text), more)
}

// askOther sends the stream to another engine, which is to show whether an event is missing. The current run stays open
// meanwhile. It returns what prevents that.
func (s *streamRun) askOther(d *doubt) (prevented string) {
	if !s.mayReplace() {
		return "no further attempt"
	}
	from := s.cur
	p, memory, prevented := s.placeBeside()
	if prevented != "" {
		return prevented
	}
	s.logGap("event may be missing", &d.event, zap.String("asked", string(p.Run.ID)))
	s.sends++
	s.handover = handover{held: from, doubt: d}
	s.open("event may be missing", p, memory)
	s.handover.until = s.cur.state.FirstEventBy
	return ""
}

// handleProof handles a part of the run that is to show whether an event is missing. It returns false if the request has
// ended.
func (s *streamRun) handleProof(p part) bool {
	d := s.handover.doubt
	switch {
	case p.connected:
		return true
	case p.ended:
		s.endBeside(p)
		return s.decideAlone(d, "the other run has ended")
	case p.head != nil:
		return s.handlePart(p)
	}
	e := &p.event
	if !e.dispatches() {
		s.cur.state.heard(time.Now())
		return true
	}
	s.countEvent(time.Now())
	if e.id.isNone() {
		s.cur.begins = append(s.cur.begins, *e)
		if len(s.cur.begins) > maxBegins {
			return s.dropProof("the other run has no ids")
		}
		return true
	}
	s.cur.follow(e)
	fromLast, ok := e.id.compare(s.position.last)
	fromDoubted, _ := e.id.compare(d.event.id)
	switch {
	case !ok:
		return s.dropProof("the other run has ids of another kind")
	case fromLast <= 0:
		s.dropRepeated(e)
		return true
	case fromDoubted > 0 && !s.ids.isStep(s.position.last, e.id):
		return s.dropProof("the other run has fewer events")
	}
	return s.settle(e, fromDoubted == 0)
}

// settle goes on with the current run, whose event shows that the held one has left some out, or that none is missing. Two
// engines must not work on a stream for long, so that the held one is stopped in either case. It returns false if the request
// has ended.
func (s *streamRun) settle(e *event, uneven bool) bool {
	held := s.handover.held
	by := zap.Strings("engines", []string{string(held.to.ID), string(s.cur.to.ID)})
	if uneven {
		s.logGap("ids of events rise unevenly", e, by)
		s.relay.routeIDs.setUneven(s.route.Name)
		s.ids.uneven = true
	} else {
		s.logGap("event missing", &s.handover.doubt.event, by)
		held.observed.report(ServerAnswer{Failed: true})
		held.ending.failed = true
	}
	s.takeOver()
	s.cur.state.LastEventAt = time.Now()
	return s.accept(e)
}

// dropProof goes on with the held run, as the other one does not show whether an event is missing. It returns false if the request
// has ended.
func (s *streamRun) dropProof(why string) bool {
	d := s.handover.doubt
	s.returnToHeld()
	return s.decideAlone(d, why)
}

// returnToHeld ends the current run in favour of the held one.
func (s *streamRun) returnToHeld() {
	s.stopRun(s.cur, s.handover.held)
	s.tried = append(s.tried, s.cur.to.ID)
	s.goBack()
	s.cur.state.LastEventAt = time.Now()
}
