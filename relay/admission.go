package relay

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"quetzalhold/admit"
	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/platform"
	"quetzalhold/result"
	"quetzalhold/routing"
)

// admission holds the streams that wait before they are sent, for services for which package admit is in
// force. The zero value is ready for use.
type admission struct {
	mu    sync.Mutex
	lines map[routing.ServiceName]*line
}

// line is the queue of a service, with the callers that wait for its decisions.
type line struct {
	relay   *Relay
	service routing.ServiceName

	mu         sync.Mutex
	queue      admit.Queue
	waiters    map[*admit.Ticket]chan admit.Decision
	measuredAt time.Time
}

const (
	// admissionCheck is how often waiting streams check whether time alone changes a decision.
	admissionCheck = 100 * time.Millisecond
	// measureInterval is how often the window is estimated again.
	measureInterval = 200 * time.Millisecond
)

// line returns the queue of a service; nil if admission is not in force for it.
func (r *Relay) line(n routing.ServiceName) *line {
	t := r.Table()
	if t == nil || !admit.InForce(t, n) {
		return nil
	}
	r.admission.mu.Lock()
	defer r.admission.mu.Unlock()
	l := r.admission.lines[n]
	if l == nil {
		l = &line{relay: r, service: n, waiters: make(map[*admit.Ticket]chan admit.Decision)}
		if r.admission.lines == nil {
			r.admission.lines = make(map[routing.ServiceName]*line)
		}
		r.admission.lines[n] = l
	}
	return l
}

// allLines returns the queues of all services.
func (r *Relay) allLines() []*line {
	r.admission.mu.Lock()
	defer r.admission.mu.Unlock()
	list := make([]*line, 0, len(r.admission.lines))
	for _, l := range r.admission.lines {
		list = append(list, l)
	}
	return list
}

// Demands returns what the streams of this entry VM need of the services for which admission is in force.
func (r *Relay) Demands(now time.Time) []admit.Demand {
	t := r.Table()
	if t == nil {
		return nil
	}
	var list []admit.Demand
	for i := range t.Services {
		n := t.Services[i].Name
		l := r.line(n)
		if l == nil {
			continue
		}
		l.mu.Lock()
		l.measure(now)
		d := l.queue.Demand(now)
		l.mu.Unlock()
		d.Service = n
		list = append(list, d)
	}
	return list
}

// ApplyGrants puts the shares in force that were granted on the report of an instant.
func (r *Relay) ApplyGrants(now, reportedAt time.Time, grants []admit.Grant) {
	for _, g := range grants {
		if l := r.line(g.Service); l != nil {
			l.mu.Lock()
			l.deliver(l.queue.SetGrant(now, reportedAt, g))
			l.mu.Unlock()
		}
	}
}

// Waiting returns the number of streams that wait before they are sent.
func (r *Relay) Waiting() int {
	n := 0
	for _, l := range r.allLines() {
		l.mu.Lock()
		n += l.queue.Waiting()
		l.mu.Unlock()
	}
	return n
}

// Admission returns the state of the queues of all services.
func (r *Relay) Admission(now time.Time) []admit.Status {
	var list []admit.Status
	for _, l := range r.allLines() {
		l.mu.Lock()
		s := l.queue.Status(now)
		l.mu.Unlock()
		s.Service = l.service
		list = append(list, s)
	}
	return list
}

// measure estimates the window again, unless it was estimated lately. Without a window all streams start.
func (l *line) measure(now time.Time) {
	if !l.measuredAt.IsZero() && now.Sub(l.measuredAt) < measureInterval {
		return
	}
	l.measuredAt = now
	window, entryVMs := engine.Tokens(0), 1
	if rate, ok := l.relay.Costs.Rates().Prefill(l.service); ok && l.relay.line(l.service) != nil {
		window = admit.Window(l.relay.Pool.Usable(l.service, now), rate, l.queue.Usual())
	}
	if l.relay.Pool.EntryVMs != nil {
		entryVMs = l.relay.Pool.EntryVMs()
	}
	l.queue.Estimate(window, entryVMs)
}

// deliver tells waiting callers the decisions.
func (l *line) deliver(list []admit.Decision) {
	for _, d := range list {
		if c := l.waiters[d.Ticket]; c != nil {
			delete(l.waiters, d.Ticket)
			c <- d // has room for the one decision
		}
	}
}

// enter adds a stream that has come. The channel gets the decision about it.
func (l *line) enter(now time.Time, s admit.Stream) (*admit.Ticket, <-chan admit.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.measure(now)
	t, list := l.queue.Add(now, s)
	c := make(chan admit.Decision, 1)
	l.waiters[t] = c
	l.deliver(list)
	return t, c
}

// putBack lets a stream wait again for which there was no room.
func (l *line) putBack(now time.Time, t *admit.Ticket) <-chan admit.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := make(chan admit.Decision, 1)
	l.waiters[t] = c
	l.deliver(l.queue.Return(now, t))
	return c
}

// first records the first event of a pending stream.
func (l *line) first(now time.Time, t *admit.Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(l.queue.First(now, t))
}

// leave records that a stream has ended, whether it waited or not.
func (l *line) leave(now time.Time, t *admit.Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiters, t)
	l.deliver(l.queue.End(now, t))
}

// advance decides what follows from the time that has passed. The least time that a waiting stream takes may have
// become known.
func (l *line) advance(now time.Time, t *admit.Ticket, need func() time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.measure(now)
	if t.Need == 0 {
		l.queue.SetNeed(t, need())
	}
	l.deliver(l.queue.Advance(now))
}

func (l *line) underPressure(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.UnderPressure(now)
}

// underPressure reports whether admission is in force for a service and its streams need more than the engines
// can prefill at once.
func (r *Relay) underPressure(n routing.ServiceName, now time.Time) bool {
	l := r.line(n)
	return l != nil && l.underPressure(now)
}

// queueTurn is a stream's place in the queue of its service. The zero value has none.
type queueTurn struct {
	line    *line
	ticket  *admit.Ticket
	decided <-chan admit.Decision // nil unless it waits
	pending bool                  // its last run has sent no event yet
	waited  time.Duration         // in all
}

// end leaves the queue.
func (t *queueTurn) end() {
	if t.ticket != nil {
		t.line.leave(time.Now(), t.ticket)
	}
}

// admitStream returns what admission needs to know of the stream.
func (s *streamRun) admitStream(underWay bool) admit.Stream {
	a := admit.Stream{
		Rank: admit.NewRank(s.priority, s.route.Priority, underWay), Organisation: s.organisation, Tokens: s.msg.params.PromptTokens,
		CameAt: s.startedAt, Deadline: s.deadline,
	}
	if s.route.LatencyTarget > 0 {
		a.WantedAt = s.startedAt.Add(s.route.LatencyTarget)
	}
	a.Need = s.leastTime()
	return a
}

// leastTime returns the least time that the stream takes; 0 if it is unknown.
func (s *streamRun) leastTime() time.Duration {
	if need, ok := s.relay.stats.RecentTime(s.route.Name, s.events()); ok {
		return need
	}
	return s.relay.leastTime(s.service, s.events())
}

// leastTime returns the least time that streams of any route to a service take to resume after so many events; 0 if
// it is unknown. It stands in for that of a route of which there are too few samples here.
func (r *Relay) leastTime(n routing.ServiceName, had int64) time.Duration {
	t := r.Table()
	if t == nil {
		return 0
	}
	least := time.Duration(0)
	for i := range t.Routes {
		x := &t.Routes[i]
		if !x.LeadsTo(n) {
			continue
		}
		if need, ok := r.stats.MinTime(x.Name, had); ok && (least == 0 || need < least) {
			least = need
		}
	}
	return least
}

// awaitTurn waits until a new stream may be sent. One that was sent before, resumes an answer or has waited at
// another entry VM does not wait. It returns false if it has ended the request.
func (s *streamRun) awaitTurn() bool {
	if s.turn.ticket == nil {
		if s.sends > 0 || s.resumes() || s.from != "" {
			return true
		}
		if s.turn.line = s.relay.line(s.service); s.turn.line == nil {
			return true
		}
		s.turn.ticket, s.turn.decided = s.turn.line.enter(time.Now(), s.admitStream(false))
	}
	if s.turn.decided == nil {
		return true
	}
	d, ok := s.awaitDecision()
	if !ok {
		return false
	}
	s.turn.decided = nil
	if d.Action == admit.Reject {
		s.rejectWait(d)
		return false
	}
	s.turn.pending = true
	return true
}

// awaitDecision waits for the decision about the stream. It returns false if it has ended the request.
func (s *streamRun) awaitDecision() (admit.Decision, bool) {
	select {
	case d := <-s.turn.decided:
		return d, true
	default:
	}
	r, since := s.relay, time.Now()
	if r.StreamWaits != nil {
		r.StreamWaits()
	}
	t := time.NewTicker(admissionCheck)
	defer t.Stop()
	for {
		select {
		case d := <-s.turn.decided:
			s.turn.waited += time.Since(since)
			s.logWait(d)
			return d, true
		case <-t.C:
			if r.Draining != nil && r.Draining() {
				r.refuse(s.w, s.job, result.New(result.Stopping, "no time for a stream that waits").AsNotRun().WithRetryAt(time.Now().Add(retryDelay)))
				return admit.Decision{}, false
			}
			s.turn.line.advance(time.Now(), s.turn.ticket, s.leastTime)
		case <-s.ctx.Done():
			s.endCancelled()
			return admit.Decision{}, false
		}
	}
}

// logWait logs that the stream has waited.
func (s *streamRun) logWait(d admit.Decision) {
	if s.relay.StreamWaited != nil {
		s.relay.StreamWaited(s.service, d.Rank, s.turn.waited)
	}
	s.logEvent("stream waited", "", zap.Int("rank", int(d.Rank)), zap.Duration("waited", s.turn.waited), zap.Int("position", d.Position),
		zap.Stringer("action", d.Action), zap.Stringer("why", d.Reason), zap.Int("noRoom", d.NoRoom))
}

// rejectWait rejects the stream, which has not been sent.
func (s *streamRun) rejectWait(d admit.Decision) {
	if s.relay.StreamRejected != nil {
		s.relay.StreamRejected(s.service, d.Rank, d.Reason)
	}
	left := time.Until(s.deadline)
	s.logEvent("stream rejected", "", zap.Int("rank", int(d.Rank)), zap.Stringer("why", d.Reason), zap.Duration("expectedWait", d.ExpectedWait),
		zap.Int64("tokensAhead", int64(d.Ahead)), zap.Float64("tokensPerSecond", float64(d.Rate)), zap.Duration("left", left),
		zap.Duration("needed", d.Need), zap.Int("position", d.Position), zap.Duration("retryAfter", time.Until(d.RetryAt)))
	s.clearHead()
	s.relay.refuse(s.w, s.job, result.New(result.WaitTooLong, "%v left, %v needed after a wait of %v", left.Round(time.Millisecond), d.Need.Round(time.Millisecond),
		d.ExpectedWait.Round(time.Millisecond)).AsNotRun().WithRetryAt(d.RetryAt))
}

// awaitRoom lets a new stream wait again if none of the engines considered has room for its KV cache. It
// reports whether it does.
func (s *streamRun) awaitRoom(p *backend.Placement) bool {
	if !s.turn.pending || s.sends > 0 || p.Run.Peer || hasRoom(&p.Run, s.tokens, 1, s.turn.line.underPressure(time.Now())) {
		return false
	}
	s.turn.pending, s.turn.decided = false, s.turn.line.putBack(time.Now(), s.turn.ticket)
	return true
}

// hasRoom reports whether an engine has room for n streams of so many tokens, as far as its report shows. The
// report does not count what prompts that wait there will use; under pressure they count as n does.
func hasRoom(e *backend.Engine, tokens engine.Tokens, n int, pressure bool) bool {
	if e.Report == nil || e.Report.Total == 0 {
		return true
	}
	if pressure {
		n += e.Report.Waiting
	}
	return e.Report.Used+tokens*engine.Tokens(n) <= e.Report.Total
}

// replicaRoom is the number of streams for which there is room at an engine that gets a replica under pressure:
// room that replicas take is missing for streams.
const replicaRoom = 3

// limitReplica removes the replica of a placement at an engine without room: it takes as much room as the stream
// itself. Under pressure a report has to show room for several. It reports whether the stream gets no replica
// because of pressure.
func (s *streamRun) limitReplica(p *backend.Placement) bool {
	l := s.relay.line(s.service)
	if l == nil || p.Replica == nil {
		return false
	}
	pressure, room := l.underPressure(time.Now()), 1
	if pressure {
		room = replicaRoom
	}
	if pressure && p.Replica.Report == nil || !hasRoom(p.Replica, s.tokens, room, pressure) {
		p.Replica = nil
		return pressure
	}
	return false
}

// withoutCopies reports whether no copies of a run's KV cache are ordered now.
func (s *streamRun) withoutCopies(r *run) bool {
	if !r.noCopies {
		return false
	}
	r.noCopies = s.relay.underPressure(s.service, time.Now())
	return r.noCopies
}

// beginPending counts the stream as pending while its current run has sent no event. A run that starts from a
// copy has no prompt to prefill.
func (s *streamRun) beginPending(memory *platform.KVCopy) {
	if s.turn.pending {
		return
	}
	if s.turn.line = s.relay.line(s.service); s.turn.line == nil {
		return
	}
	s.turn.end()
	a := s.admitStream(true)
	if memory != nil {
		a.Tokens = 0
	}
	s.turn.ticket, _ = s.turn.line.enter(time.Now(), a)
	s.turn.pending = true
}

// endPending records that the current run has sent an event.
func (s *streamRun) endPending(now time.Time) {
	if s.turn.pending {
		s.turn.pending = false
		s.turn.line.first(now, s.turn.ticket)
	}
}
