package relay

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/http1"
	"quetzalhold/platform"
	"quetzalhold/quarantine"
	"quetzalhold/result"
	"quetzalhold/telemetry"
)

// run is one attempt at a stream: one connection to one engine.
type run struct {
	to      backend.Choice
	lent    int             // attempts that another entry VM may have used; 0 if it was sent to an engine
	handed  HandoverID      // by which it was handed to the other entry VM
	unknown bool            // the other entry VM's answer was lost, so that it is not known what it has spent
	replica *backend.Choice // holds the replica of the KV cache; nil for none
	work    backend.Load
	cancel  context.CancelFunc
	sentAt  time.Time
	ctx     context.Context // ends with the run
	parts   chan part
	started bool // it has sent an event
	done    bool // its engine has ended it

	answered bool // it has sent its head
	headAt   time.Time
	openEnd  bool // its head states no end, so that it looks complete whenever it breaks off between events
	events   int  // events sent, repeated ones included and comments not
	partial  bool // it broke off within an event
	// resumes is set if it is to go on with a stream that has begun.
	resumes   bool
	proceeded bool // it has sent an event that no run before has sent
	repeats   bool // it has sent an event that the caller has
	noCopies  bool // it got no replica because of pressure

	last    eventID // the last id that it has sent, of a repeated event too
	lastRaw []byte  // the event with that id
	falls   bool    // an id was lower than the one before, or the same
	// begins are the events without an id with which it began. They are held until one with an id shows that it goes
	// on with the stream.
	begins []event

	state        StreamState
	probeResults chan probeResult
	recheckAt    time.Time // until then it is not replaced
	keptFor      string    // why it was not replaced, as last logged

	checkpoints   chan checkpoint // outcomes of its checkpoints
	checkpoint    *checkpoint     // the last one that succeeded
	checkpointing bool
	triedAt       time.Time
	noCheckpoint  []engine.ServerID // servers at which a checkpoint failed

	ending ending
	meter  *meter // measures its engine; nil if it was sent to another entry VM

	observed *observation
	timed    bool // its times can be compared with those of other streams: it is the first send of a whole stream
	suspect  bool // its server is thought to be lost
}

// part is a part of a run's output: that its connection is open, the response head, an event, or
// the end.
type part struct {
	connected bool           // nothing else is set
	head      *http.Response // set once, before the events
	event     event
	// ended reports that this is the last part; err is nil only after a complete stream.
	ended   bool
	partial bool // it ended within an event
	outcome Outcome
	err     error
	spent   string // what another entry VM states of the attempts lent to it
}

// streamRun is a stream in flight to a caller.
type streamRun struct {
	*job
	w         http.ResponseWriter
	ctx       context.Context
	cur       *run
	handover  handover
	headSent  bool      // the response head was sent to the caller
	backlog   *backlog  // of what the caller has not read; nil before the first event, or if nothing is read ahead
	firstAt   time.Time // when the first event was sent to the caller
	emptyRuns int       // consecutive runs without an event
	position  position
	delivered int64   // events sent to the caller
	before    int64   // events that it had received before it resumed; allEvents if that is unknown
	firstID   eventID // of the events sent
	ids       eventIDs
	exception engine.ServerID // has sent ids that rose by several steps, though no other engine has shown why
	ran       attempts
	rounds    int
	emptyEnds int    // runs that were to go on and have ended without more
	lateSends int    // sends permitted beyond maxSends, for an answer under way
	failure   *reply // a failure that a server answered with
	// handedCopy is the copy of the KV cache from which another entry VM is to continue; nil for none.
	handedCopy *AdmittedCopy
	// retryAt is when the first engine accepts requests again; zero unless all refuse them.
	retryAt time.Time
	turn    queueTurn
}

// maxBufferedParts is how many parts of a run are buffered for the caller.
const maxBufferedParts = 16

// serveStream answers a request with a stream.
func (r *Relay) serveStream(w http.ResponseWriter, j *job) {
	ctx, cancel := context.WithDeadline(j.msg.Context(), j.deadline)
	defer cancel()
	s := &streamRun{job: j, w: w, ctx: ctx, ids: eventIDs{uneven: r.routeIDs.areUneven(j.route.Name)}}
	j.spent = func() Spent { return Spent{Attempts: s.ran.spent(), Servers: s.ran.ids()} }
	s.position.last = parseEventID(j.msg.params.LastEvent)
	s.before = r.stats.eventsBefore(j.route.Name, s.position.last)
	defer func() { s.turn.end() }()
	defer s.closeRuns()
	defer s.closeBacklog()
	if s.rejectTooLate() || !s.start("first", nil) {
		return
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		var blocks <-chan struct{}
		if !s.headSent {
			blocks = r.Quarantine.Changed()
			if s.rejectBlocked() {
				return
			}
		}
		if s.handover.isProofLate(time.Now()) {
			if !s.dropProof("no event in time") {
				return
			}
			continue
		}
		v := s.decide()
		switch v.Action {
		case Probe:
			s.probe(v.Report)
			continue
		case FailOver:
			s.replace(v.Reason)
			continue
		}
		s.checkpointIfDue(time.Now())
		timer.Reset(max(time.Millisecond, time.Until(v.CheckAt)))
		select {
		case p := <-s.cur.parts:
			if !s.handleCurrent(p) {
				return
			}
		case p := <-s.handover.parts():
			if !s.handleHeld(p) {
				return
			}
		case p := <-s.cur.probeResults:
			s.handleProbe(p)
		case o := <-s.cur.checkpoints:
			s.checkpointDone(o)
		case <-blocks:
		case <-s.backlog.changes():
			s.checkCaller()
		case <-timer.C:
		case <-ctx.Done():
			s.endCancelled()
			return
		}
	}
}

// decide returns what to do about the current run. Where no other run is allowed, the run
// continues: its engine's silence alone is no reason to end an answer.
func (s *streamRun) decide() Decision {
	now := time.Now()
	if s.handover.expired(now) {
		s.takeOver()
	}
	v := Decision{Action: Await, CheckAt: s.deadline}
	if s.mayReplace() {
		v = s.relay.Detector.Decide(s.currentState())
	}
	switch {
	case v.Action == FailOver && s.handover.doubt != nil:
		s.handover.until = now
	case v.Action == FailOver && now.Before(s.cur.recheckAt):
		v = Decision{Action: Await, CheckAt: s.cur.recheckAt}
	}
	return s.handover.limit(v)
}

// mayHaveRun reports whether some server may have run the request.
func (s *streamRun) mayHaveRun() bool { return len(s.ran) > 0 }

// rejectTooLate refuses a request that has less time left than such a stream needs, so that no
// engine wastes work on its prompt. It reports whether it did.
func (s *streamRun) rejectTooLate() bool {
	left := time.Until(s.deadline)
	need, ok := s.relay.stats.MinTime(s.route.Name, s.events())
	if !ok || need <= left {
		return false
	}
	s.relay.refuse(s.w, s.job, result.New(result.TooLate, "%v left, %v needed", left.Round(time.Millisecond), need.Round(time.Millisecond)).AsNotRun())
	return true
}

// markFailed marks a server as failed or as hung. A hung server accepts requests but does not
// work on them.
func (r *Relay) markFailed(to backend.Choice, hung bool) {
	if !hung {
		r.Pool.MarkFailed(to.ID, time.Now())
		return
	}
	r.Pool.MarkHung(to.ID, to.Start, time.Now())
	if r.Hung != nil {
		r.Hung(to)
	}
}

// currentState updates the state of the current run and returns it.
func (s *streamRun) currentState() StreamState {
	now := time.Now()
	v, ok := s.relay.Pool.View(s.cur.to.ID, now)
	state := &s.cur.state
	state.Now, state.ServerFailed, state.FailedAt = now, !state.Peer && (!ok || v.FailedAt.After(s.cur.sentAt)), v.FailedAt
	_, _, state.HasCopy = s.liveCopy(s.cur, now)
	return *state
}

// replicaAlive reports whether the server of a run's replica is believed to be up.
func (s *streamRun) replicaAlive(from *run, now time.Time) bool {
	return from.replica != nil && s.serverAlive(from.replica, from.sentAt, now)
}

// liveCopy returns a server that holds a copy of a run's KV cache from which another run can
// resume, and the reference to that copy. A server that refused the stream is left out.
func (s *streamRun) liveCopy(from *run, now time.Time) (backend.Choice, *platform.KVCopy, bool) {
	switch {
	case from == nil || !from.started:
	case s.replicaAlive(from, now) && s.accepts(from.replica.ID, now):
		return *from.replica, &platform.KVCopy{Address: from.replica.Address, Name: string(s.msg.params.ID)}, true
	case from.checkpoint != nil && s.serverAlive(&from.checkpoint.server, from.sentAt, now) && s.accepts(from.checkpoint.server.ID, now):
		return from.checkpoint.server, &platform.KVCopy{Address: from.to.Address, Name: from.checkpoint.handle}, true
	}
	return backend.Choice{}, nil, false
}

// accepts reports whether the stream may be sent to a server that has not refused it.
func (s *streamRun) accepts(id engine.ServerID, now time.Time) bool {
	return !slices.Contains(s.tried, id) && s.permits(id, now)
}

// start sends the stream to an engine: to one that holds a copy of the previous run's KV
// cache, or to one that the pool chooses. It returns false if it has ended the request.
func (s *streamRun) start(why string, from *run) bool {
	s.beginTrials()
	for {
		if s.rejectBlocked() || !s.awaitTurn() || s.rejectBlocked() {
			return false
		}
		if s.isUnconfirmed() {
			if !s.wait(confirmInterval) {
				return false
			}
			continue
		}
		now, budget := time.Now(), s.relay.Budget(s.service)
		if s.headSent && s.sends > 0 && !budget.Available(now) {
			// An answer under way waits for a retry, which new requests earn.
			if !s.pause() {
				return false
			}
			continue
		}
		if s.sends >= maxSends+s.lateSends {
			if !s.pause() {
				return false
			}
			continue
		}
		p, memory, ok := s.pick(now, from, s.tried)
		from = nil
		if ok && s.awaitRoom(&p) {
			continue
		}
		if !ok {
			s.tried = nil
			if !s.pause() {
				return false
			}
			continue
		}
		if s.sends > 0 && !budget.Allow(now) {
			if s.headSent {
				continue
			}
			s.logEvent("retry budget spent", p.Run.ID)
			return s.giveUp("retry budget spent")
		}
		// The choice may have taken a while.
		if b, ok := s.claimTrials(s.ctx); !ok {
			s.reject(b)
			return false
		}
		s.sends++
		s.open(why, p, memory)
		return true
	}
}

// pick returns the engines for the next run and its replica. A copy exists only of a run that
// has begun to generate.
func (s *streamRun) pick(now time.Time, from *run, exclude []engine.ServerID) (backend.Placement, *platform.KVCopy, bool) {
	s.only, s.copyOnly = s.permitted(now), s.preferredForCopy(now)
	if c, ok := s.helper(s.attemptsLeft()); ok {
		s.handedCopy = nil
		if at, memory, ok := s.liveCopy(from, now); ok {
			s.handedCopy = &AdmittedCopy{Server: at.ID, Start: at.Start, KVCopy: *memory}
		}
		return backend.Placement{Run: backend.Engine{Choice: c}}, nil, true
	}
	if c, memory, ok := s.admittedCopy(now); ok {
		return s.placementAt(c, now, exclude), memory, true
	}
	if c, memory, ok := s.liveCopy(from, now); ok {
		return s.placementAt(c, now, exclude), memory, true
	}
	if s.resumes() && s.sends == 0 && s.rounds == 0 {
		if c, ok := s.relay.findCached(s.ctx, s.job, now); ok {
			return s.placementAt(c, now, exclude), nil, true
		}
	}
	var avoid engine.ServerID
	if from != nil {
		avoid = from.to.ID
	}
	p, ok := s.relay.place(s.ctx, s.job, now, exclude, avoid)
	if ok && s.copyOnly != nil {
		s.relay.setCopy(&p, s.job, now, exclude)
	}
	return p, nil, ok
}

// placementAt returns a placement at a known engine. Since the caller waits, the engine for
// the next replica is chosen without load reports.
func (s *streamRun) placementAt(c backend.Choice, now time.Time, exclude []engine.ServerID) backend.Placement {
	p := backend.Placement{Run: backend.Engine{Choice: c}}
	s.relay.setCopy(&p, s.job, now, exclude)
	return p
}

// trialMargin is how long after the request's deadline that of a trial is, so that a request whose time is over is
// not taken for one that was lost.
const trialMargin = 100 * time.Millisecond

// runContext returns the context of a new run. That of a trial outlasts its request.
func (s *streamRun) runContext() (context.Context, context.CancelFunc) {
	if len(s.trials) > 0 {
		return context.WithDeadline(context.WithoutCancel(s.ctx), s.deadline.Add(trialMargin))
	}
	return context.WithCancel(s.ctx)
}

// open starts a run.
func (s *streamRun) open(why string, p backend.Placement, memory *platform.KVCopy) {
	now := time.Now()
	ctx, cancel := s.runContext()
	to := p.Run.Choice
	noCopies := s.limitReplica(&p)
	s.cur = &run{to: to, ctx: ctx, cancel: cancel, sentAt: now, noCopies: noCopies, parts: make(chan part, maxBufferedParts), checkpoints: make(chan checkpoint, 1), work: backend.Load{Requests: 1, Pending: 1, Tokens: s.tokens, Prefill: s.prefillTokens(memory)}}
	s.cur.state = StreamState{SentAt: now, Peer: to.Peer, FromCopy: memory != nil, FirstEventBy: now.Add(s.firstEventTimeout(&p.Run))}
	send := &platform.ServerRequest{Server: to.ID, Organisation: s.organisation, TimeLeft: time.Until(s.deadline), Urgency: s.urgency(), ResumeFrom: memory}
	s.cur.timed = s.sends == 1 && !s.resumed()
	send.LastEvent, s.cur.resumes = s.position.last.text, s.resumes()
	copyID := engine.ServerID("")
	if p.Replica != nil && s.model != nil && s.model.Replicates && s.route.Resumable {
		s.cur.replica = &p.Replica.Choice
		copyID = p.Replica.ID
		send.ReplicateTo = p.Replica.Address
		s.relay.Pool.Begin(copyID, backend.Load{Tokens: s.tokens})
	}
	if to.Peer {
		s.cur.lent = lend(s.attemptsLeft())
		s.logEvent("handed to another entry VM", to.ID, zap.Int("attempts", s.cur.lent))
		send.Server = ""
		ctx, s.cur.handed = s.admitted(ctx, s.cur.lent, s.handedCopy)
	}
	s.cur.observed = s.observe(to)
	s.beginPending(memory)
	s.cur.meter = s.newMeter(now, &p.Run, memory != nil)
	s.addAttempt(s.cur)
	s.relay.Pool.Begin(to.ID, s.cur.work)
	s.logEvent("stream sent", to.ID, zap.String("why", why), zap.Bool("fromCopy", memory != nil), zap.String("lastEvent", s.position.last.text),
		zap.String("copyAt", string(copyID)), zap.Any("report", p.Run.Report), zap.Int("rank", p.Run.Rank), zap.Int("heard", p.Reports), zap.Int("asked", p.Polled), speedFields(&p.Run))
	if s.relay.StreamSent != nil {
		s.relay.StreamSent(why)
	}
	go s.relay.readStream(ctx, s.msg, s.cur, send)
}

// The wait for the first event before another engine is tried.
const (
	// firstWaitFactor is the wait as a multiple of the usual time.
	firstWaitFactor = 4
	// firstWaitShare is the wait as a share of the latency objective, if the usual time is
	// unknown.
	firstWaitShare = 1.3
	// maxDoublings bounds how often the wait is doubled: each engine tried without an event
	// doubles it, so that overload does not cause more load.
	maxDoublings = 3
)

// firstEventTimeout returns how long to wait for the first event of an engine, by its load report and its speed.
// One that is known to be slow is not given up for that: another one would read the whole prompt again.
func (s *streamRun) firstEventTimeout(at *backend.Engine) time.Duration {
	limit := time.Duration(firstWaitShare * float64(s.route.LatencyTarget))
	if usual, ok := s.relay.stats.FirstEventTime(s.route.Name, s.msg.params.PromptTokens); ok {
		limit = firstWaitFactor * usual
		if at.Report != nil {
			limit += time.Duration(at.Report.Waiting+at.Report.Prefilling) * usual
		}
	}
	limit = time.Duration(float64(limit) / min(1, at.Speed.Factor()))
	return limit << min(s.emptyRuns, maxDoublings)
}

// urgency returns the request's rank at an engine; resumed streams come before new ones.
func (s *streamRun) urgency() int {
	u := min(int(s.priority), 9)
	if s.resumes() {
		u--
	}
	return max(0, u)
}

// readStream sends a run's request and passes the parts of its output to cur.parts.
func (r *Relay) readStream(ctx context.Context, m *message, cur *run, send *platform.ServerRequest) {
	emit := func(p part) bool {
		select {
		case cur.parts <- p:
			return true
		case <-ctx.Done():
			return false
		}
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { emit(part{connected: true}) },
	})
	err := telemetry.Guard(r.Log, "stream", func() error {
		r.readParts(ctx, m, cur, send, emit)
		return nil
	})
	if err != nil {
		emit(part{ended: true, outcome: Lost, err: err})
	}
}

// readParts sends a run's request and emits the parts of its output, until emit returns false.
func (r *Relay) readParts(ctx context.Context, m *message, cur *run, send *platform.ServerRequest, emit func(part) bool) {
	resp, err := r.roundTrip(ctx, m, cur.to, send)
	if resp != nil {
		defer resp.Body.Close()
	}
	spent := takeSpent(cur.to, resp)
	outcome, err := r.classify(m, cur.to, cur.sentAt, resp, err)
	if outcome != Answered {
		emit(part{ended: true, outcome: outcome, err: err, spent: spent})
		return
	}
	if resp.StatusCode != http.StatusOK {
		body, complete, err := r.readAnswer(ctx, resp.Body)
		if err == nil && !complete {
			err = errTooLong
		}
		if err != nil {
			emit(part{ended: true, outcome: Lost, err: fmt.Errorf("read failure of %s: %w", cur.to.ID, err)})
			return
		}
		emit(part{head: resp, event: event{raw: body}, ended: true, outcome: Answered, err: errServerFailure, spent: spent})
		return
	}
	if cur.resumes && !platform.IsEventStream(resp.Header) {
		emit(part{ended: true, outcome: Lost, err: fmt.Errorf("type %q: %w", resp.Header.Get("Content-Type"), errForeign)})
		return
	}
	if !emit(part{head: resp}) {
		return
	}
	events := newEventReader(resp.Body)
	for n := 0; ; {
		e, err := events.next()
		if errors.Is(err, io.EOF) && n == 0 && http1.EndsWithConnection(resp) {
			err = errTruncated
		}
		if errors.Is(err, io.EOF) {
			emit(part{ended: true, outcome: Answered})
			return
		}
		if err != nil {
			emit(part{ended: true, partial: events.partial, outcome: Lost, err: err})
			return
		}
		if e.dispatches() {
			n++
		}
		r.Pool.MarkResponsive(cur.to.ID, time.Now())
		cur.meter.event(time.Now(), &e, len(cur.parts))
		if !emit(part{event: e}) {
			return
		}
	}
}

// errTooLong reports that a response has no end within its limit.
var errTooLong = errors.New("the response is too long")

// readBounded reads all of body. It fails with errTooLong if that is more than limit bytes.
func readBounded(body io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(b)) > limit {
		err = errTooLong
	}
	return b, err
}

// errServerFailure reports that the server answered with a failure.
var errServerFailure = errors.New("the server answered with a failure")

// handlePart handles a part of the current run's output. It returns false if the request has
// ended.
func (s *streamRun) handlePart(p part) bool {
	s.cur.done = p.ended && p.outcome != Lost
	switch {
	case p.head != nil && !p.ended:
		s.cur.answered, s.cur.headAt, s.cur.openEnd = true, time.Now(), http1.EndsWithConnection(p.head)
		s.holdHead(p.head)
		return true
	case p.ended && p.err == nil && !s.cur.last.isNone() && !s.cur.last.same(s.position.last):
		s.cur.observed.report(ServerAnswer{Failed: true})
		return s.failOver("ended before the last event")
	case p.ended && p.err == nil && s.cur.resumes && !s.cur.proceeded && s.route.Resumable:
		return s.handleEmptyEnd()
	case p.ended && p.err == nil:
		return s.finish()
	case p.ended:
		return s.handleEarlyEnd(p)
	}
	now := time.Now()
	e := &p.event
	if e.dispatches() {
		s.countEvent(now)
	} else {
		s.cur.state.heard(now)
	}
	if e.isComment() {
		return s.forward(*e)
	}
	return s.handleEvent(e, now)
}

// countEvent counts an event of the current run, which may be a repeated one.
func (s *streamRun) countEvent(now time.Time) {
	if s.cur.events++; s.cur.events == beginEvents {
		s.observeSound()
	}
	s.endPending(now)
	if !s.cur.started {
		s.cur.started = true
		s.cur.observed.begun()
		s.relay.Pool.End(s.cur.to.ID, backend.Load{Pending: s.cur.work.Pending, Prefill: s.cur.work.Prefill})
		s.cur.work.Pending, s.cur.work.Prefill = 0, 0
	}
}

// handleEvent handles an event of the current run. It returns false if the request has ended.
func (s *streamRun) handleEvent(e *event, now time.Time) bool {
	begins := s.cur.resumes && !s.cur.proceeded
	before := s.cur.last
	order := s.cur.follow(e)
	switch {
	case begins && e.id.isNone():
		return s.holdBegin(e)
	case begins && (order == orderFalls || order == orderFurther):
		return s.failBegin("ids of events do not rise")
	case begins && s.position.isOther(e.id):
		return s.failKind()
	case order == orderAgain, order != orderFurther && s.position.has(e.id) && (e.id.ranked || begins),
		begins && len(s.cur.begins) == 0 && s.position.absorb(e):
		s.dropRepeated(e)
		return true
	}
	if e.dispatches() && (!e.id.isNone() || !s.resumes()) {
		// Repeated events, and those without an id between others, do not show that the generation proceeds.
		state := &s.cur.state
		state.LastEventAt, state.ProbedAt, state.ProbeOK = now, time.Time{}, false
		s.endSilence()
	}
	if v := s.ids.judge(s.position.last, e.id, before.same(s.position.last)); v != idNext {
		return s.handleGap(&doubt{event: *e, verdict: v})
	}
	return s.accept(e)
}

// accept sends the caller an event of the current run that is the next one. It returns false if the request has ended.
func (s *streamRun) accept(e *event) bool {
	if s.cur.resumes && !s.cur.proceeded && !e.id.isNone() {
		s.cur.proceeded = true
		if !s.forwardBegins() {
			return s.failBegin(whyNoID)
		}
	}
	return s.forward(*e)
}

// eventOrder is how the id of an event follows that of the event before it in a run.
type eventOrder int

// The orders.
const (
	orderRises   eventOrder = iota // it is higher, or one of them has no order
	orderAgain                     // it is the same event again
	orderFurther                   // it is another event with the same id
	orderFalls                     // it is lower
)

// follow records an event of a run and returns how it follows the one before.
func (r *run) follow(e *event) eventOrder {
	if e.id.isNone() {
		return orderRises
	}
	last, raw := r.last, r.lastRaw
	r.last, r.lastRaw = e.id, e.raw
	order, ok := e.id.compare(last)
	switch {
	case last.isNone():
		return orderRises
	case !e.id.same(last) && (!ok || order > 0):
		return orderRises
	}
	r.falls = true
	switch {
	case !e.id.same(last):
		return orderFalls
	case bytes.Equal(raw, e.raw):
		return orderAgain
	}
	return orderFurther
}

// dropRepeated drops an event that the caller has.
func (s *streamRun) dropRepeated(e *event) {
	s.cur.begins = nil
	if !s.cur.repeats {
		s.cur.repeats = true
		s.logEvent("event repeated", s.cur.to.ID, zap.String("event", e.id.text), zap.String("lastEvent", s.position.last.text))
	}
}

// maxBegins bounds the events without an id that are held.
const maxBegins = 16

// holdBegin holds an event without an id with which the current run begins. It returns false if the request has ended.
func (s *streamRun) holdBegin(e *event) bool {
	if s.cur.begins = append(s.cur.begins, *e); len(s.cur.begins) > maxBegins {
		return s.failBegin(whyNoID)
	}
	return true
}

// forwardBegins sends the caller what it does not have of the events without an id with which the current run began. It
// reports false if they are not those of the stream.
func (s *streamRun) forwardBegins() bool {
	list, ok := s.position.beyond(slices.DeleteFunc(s.cur.begins, func(e event) bool { return !e.dispatches() }))
	s.cur.begins = nil
	for _, e := range list {
		s.forward(e)
	}
	return ok
}

// whyNoID is the reason for a failover from a run that is to go on with a stream whose events have ids.
const whyNoID = "event without an id"

// failBegin ends a run that began with events that are not those of the stream: an error, or none at all. It returns
// false if the request has ended.
func (s *streamRun) failBegin(why string) bool {
	s.cur.observed.report(ServerAnswer{Failed: true})
	return s.failOver(why)
}

// failKind ends a run whose ids are of another kind than the last one that the caller has: they can't be compared. It returns
// false if the request has ended.
func (s *streamRun) failKind() bool {
	const why = "ids of another kind"
	if !s.headSent {
		return s.giveUp(why) // the caller has named an id that is none of this route
	}
	s.cur.observed.report(ServerAnswer{Failed: true})
	return s.failOver(why)
}

// resumes reports whether the next run is to go on after an event.
func (s *streamRun) resumes() bool { return !s.position.last.isNone() }

// resumed reports whether the caller has received the beginning of the answer before.
func (s *streamRun) resumed() bool { return s.msg.params.LastEvent != "" }

// events returns how many events of the answer the caller has, or allEvents if that is unknown.
func (s *streamRun) events() int64 {
	if s.before == allEvents {
		return allEvents
	}
	return s.before + s.delivered
}

// mayGoOn reports whether another run may go on with the stream.
func (s *streamRun) mayGoOn() bool { return s.route.Resumable && !s.position.unknown }

// holdHead sets the caller's response headers but does not send them until an event comes:
// until then another server's answer may replace this one.
func (s *streamRun) holdHead(head *http.Response) {
	if s.headSent {
		return
	}
	s.clearHead()
	h := s.w.Header()
	for name, values := range platform.EndToEnd(head.Header) {
		h[name] = slices.Clone(values)
	}
	h.Del("Content-Length")
	s.setServer(h, s.cur.to)
}

// forward sends an event to the caller at once.
func (s *streamRun) forward(e event) bool {
	if !s.headSent {
		s.headSent = true
		s.relay.announceClose(s.w.Header())
		s.w.WriteHeader(http.StatusOK)
	}
	if err := s.sendEvent(e.raw); err != nil {
		s.abort(result.Wrap(result.CallerGone, err, "send event"))
	}
	if e.dispatches() {
		s.countDelivered()
	}
	if s.firstID.isNone() {
		s.firstID = e.id
	}
	s.position.add(&e)
	return true
}

// countDelivered counts an event that the caller was sent.
func (s *streamRun) countDelivered() {
	if s.delivered++; s.delivered == 1 {
		s.firstAt = time.Now()
	}
}

// finish ends a stream that is complete.
func (s *streamRun) finish() bool {
	if s.cur.events > 0 {
		s.observeSound()
	}
	if s.sends == 1 && !s.resumed() && s.ids.isSteady() {
		s.relay.routeIDs.addSteady(s.route.Name, s.cur.to.ID, s.delivered)
	}
	if s.exception != "" && s.relay.routeIDs.isException(s.route.Name, s.exception) {
		s.cur.observed.report(ServerAnswer{Failed: true})
		return s.giveUp("an event is missing")
	}
	if !s.headSent {
		s.headSent = true
		s.relay.announceClose(s.w.Header())
		s.w.WriteHeader(http.StatusOK)
	}
	if s.sends == 1 && !s.resumed() && s.delivered > 1 {
		first, gap := s.firstAt.Sub(s.startedAt)-s.turn.waited, time.Since(s.firstAt)/time.Duration(s.delivered-1)
		s.relay.stats.Add(s.route.Name, Sample{Prompt: s.msg.params.PromptTokens, First: first, Gap: gap, Events: s.delivered, firstID: s.firstID, lastID: s.position.last})
		s.cur.observed.report(ServerAnswer{First: first, Gap: gap})
		s.observeOutput()
	}
	s.cur.observed.drop() // its times can't be compared with those of others
	server := s.cur.to.ID
	s.awaitCaller()
	s.end(result.OK, server, zap.String("lastEvent", s.position.last.text))
	return false
}

// emptyEndsNeeded is how many engines have to end a stream without more for it to be complete: all of it was
// received, and only its end was lost.
const emptyEndsNeeded = 2

// handleEmptyEnd decides what follows a run that was to go on with the stream and has ended without more. It
// returns false if the request has ended.
func (s *streamRun) handleEmptyEnd() bool {
	if more, ok := s.position.beyond(s.cur.begins); !ok || len(more) > 0 {
		return s.failBegin(whyNoID)
	}
	if !s.cur.openEnd {
		s.emptyEnds++
	}
	if s.emptyEnds >= emptyEndsNeeded {
		return s.finish()
	}
	return s.failOver("ended without more")
}

// minPartialEvents is the number of events from which on the mean gap of a partial answer is
// reported.
const minPartialEvents = 16

// reportPartial reports the answer of a run that is given up though its engine may be alive: the
// answers of a slow engine, or of one that does not work on them, would otherwise be missed.
func (s *streamRun) reportPartial(r *run, hung bool) {
	a := ServerAnswer{Partial: true, Hung: hung}
	switch {
	case !hung && (r.suspect || r.state.probeFailed(time.Now())):
		r.observed.drop()
		return
	case r.timed && s.delivered > 0:
		a.First = s.firstAt.Sub(s.startedAt) - s.turn.waited
		if s.delivered >= minPartialEvents {
			a.Gap = r.state.LastEventAt.Sub(s.firstAt) / time.Duration(s.delivered-1)
		}
	case r.timed:
		a.First = time.Since(s.startedAt) - s.turn.waited
	case !r.started:
		a.First = time.Since(r.sentAt)
	}
	r.observed.report(a)
}

// handleEarlyEnd decides what follows a run that ended early. It returns false if the request
// has ended.
func (s *streamRun) handleEarlyEnd(p part) bool {
	s.recordEnd(s.cur, p)
	switch {
	case p.outcome == NotRun:
		s.tried = append(s.tried, s.cur.to.ID)
		s.closeRun()
		return s.start("refused", nil)
	case p.outcome == Lost && s.ctx.Err() != nil:
		s.endCancelled()
		return false
	case p.outcome == Lost && s.rejectBlocked():
		return false
	}
	return s.failOver("run ended early")
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 32

// recordEnd records that a run ended early.
func (s *streamRun) recordEnd(r *run, p part) {
	s.logEvent("run ended early", r.to.ID, zap.Stringer("outcome", p.outcome), zap.Error(p.err), zap.String("lastEvent", s.position.last.text),
		zap.Bool("answered", r.answered), zap.Int("events", r.events), zap.Bool("withinEvent", p.partial), zap.Any("parts", s.parts[:min(len(s.parts), maxLoggedParts)]), zap.String("fingerprint", string(s.fingerprint)))
	r.ending.failed, r.partial = true, p.partial
	if r.to.Peer && p.outcome != NotRun {
		spent := s.relay.readSpent(p.spent, 1, r.lent)
		r.unknown = p.outcome == Lost && p.spent == ""
		r.lent, s.tried = spent.Attempts, append(s.tried, spent.Servers...)
	}
	switch p.outcome {
	case NotRun:
		s.keepTrials(r.to)
		s.ran.remove(r)
		s.refundRetry(p.err)
		r.observed.drop()
	case Answered:
		s.markSound([]quarantine.Suspect{s.fingerprint.Suspect()})
		r.observed.report(ServerAnswer{Failed: true})
		s.failure = &reply{server: r.to, observed: r.observed, status: p.head.StatusCode, header: p.head.Header, body: p.event.raw}
	case Lost:
		// A run that ended with the request's context shows no failure of its engine.
		if s.ctx.Err() == nil {
			s.relay.Pool.MarkFailed(r.to.ID, time.Now())
			s.observeCrash(r, p.err)
			r.observed.lose()
		}
	}
}

// failOver continues the stream at another engine after a run that can't go on. It returns false
// if the request has ended.
func (s *streamRun) failOver(why string) bool {
	from := s.cur
	from.ending.failed = true
	s.reportAge = 0
	s.countEmpty(from)
	switch {
	case !s.route.Resumable:
		return s.giveUp("route does not resume")
	case s.position.unknown:
		return s.giveUp("no id to resume after")
	case s.atLimit(0) && len(s.permitted(time.Now())) == 0 && !s.recallLost():
		return s.giveUp("every permitted run was lost")
	}
	s.tried = append(s.tried, from.to.ID)
	s.closeRun()
	if !s.start(why, from) {
		return false
	}
	s.stopRun(from, s.cur)
	return true
}

// countEmpty counts a run that another one follows if it has sent no event.
func (s *streamRun) countEmpty(r *run) {
	if r.started {
		s.emptyRuns = 0
	} else {
		s.emptyRuns++
	}
}

// The rounds in which a stream waits for an engine that accepts it.
const (
	streamRetryDelay = 100 * time.Millisecond
	maxStreamRounds  = 20
	// lateRetryDelay is the delay between the rounds, and sends, of an answer under way that has
	// used up the others.
	lateRetryDelay = 500 * time.Millisecond
)

// pause waits a moment if no engine accepts the stream. It returns false if it has ended the
// request: an answer under way waits as long as its time lasts and a server may go on with it.
func (s *streamRun) pause() bool {
	delay := streamRetryDelay
	s.rounds++
	s.reportAge = waitingReportAge
	if s.rounds > maxStreamRounds || s.sends >= maxSends {
		switch {
		case !s.headSent:
			return s.giveUp("no engine takes it")
		case s.atLimit(0) && len(s.permitted(time.Now())) == 0:
			return s.giveUp("every permitted run was lost")
		}
		delay = lateRetryDelay
		if s.sends >= maxSends+s.lateSends {
			s.lateSends++
		}
	}
	if at, ok := s.relay.Pool.RetryAt(s.relay.need(s.job, time.Now(), nil, "")); ok && !s.headSent {
		s.retryAt = at
		return s.giveUp("every engine refuses requests for now")
	}
	return s.wait(delay)
}

// wait waits before the next round. It returns false if it has ended the request.
func (s *streamRun) wait(delay time.Duration) bool {
	t := time.NewTimer(delay)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			return true
		case <-s.backlog.changes():
			s.checkCaller()
		case <-s.ctx.Done():
			s.endCancelled()
			return false
		}
	}
}

// recallLost takes the stream back from other entry VMs whose answers were lost, and with it the attempts that
// they have not used. It reports whether some are left then.
func (s *streamRun) recallLost() bool {
	var runs []*run
	var lost []lentTo
	for _, r := range s.ran {
		if r.unknown {
			r.unknown = false
			runs, lost = append(runs, r), append(lost, lentTo{to: r.to, id: r.handed, attempts: r.lent})
		}
	}
	if len(lost) == 0 {
		return false
	}
	for i, spent := range s.recall(s.ctx, lost) {
		runs[i].lent, s.tried = spent.Attempts, append(s.tried, spent.Servers...)
	}
	return !s.atLimit(0)
}

// giveUp ends a request that no engine can finish. It returns false.
func (s *streamRun) giveUp(why string) bool {
	switch {
	case s.headSent:
		s.abort(result.New(result.AttemptsSpent, "%s after %d runs", why, len(s.ran)))
	case s.failure != nil:
		s.clearHead()
		s.relay.deliver(s.w, s.job, s.failure)
	case s.mayHaveRun():
		s.clearHead()
		s.relay.refuse(s.w, s.job, result.New(result.EngineLost, "%s after %d runs", why, len(s.ran)))
	default:
		s.clearHead()
		s.relay.refuse(s.w, s.job, result.New(result.NoServer, "%s of service %s", why, s.service).AsNotRun().WithRetryAt(s.retryAt))
	}
	return false
}

// clearHead removes the response headers that have not been sent yet.
func (s *streamRun) clearHead() {
	clear(s.w.Header())
}

// endCancelled ends a request that is out of time, whose caller has left, or that is in flight
// when the entry VM stops. Whatever the cause, a partial stream must not look complete to the
// caller.
func (s *streamRun) endCancelled() {
	if !s.headSent {
		s.clearHead()
		s.relay.answerCancelled(s.w, s.job, s.mayHaveRun())
		return
	}
	s.abort(s.relay.cancelError(s.job, s.mayHaveRun()))
}

// abort closes the caller's connection, so that a partial stream does not look complete.
func (s *streamRun) abort(err *result.Error) {
	s.end(err.Code, "", zap.String("why", err.Error()), zap.String("lastEvent", s.position.last.text))
	panic(http.ErrAbortHandler)
}

// closeRun closes the current run.
func (s *streamRun) closeRun() {
	if s.cur != nil {
		s.close(s.cur)
		s.cur = nil
	}
}

// closeRuns closes all runs. The entry VM that the request was taken from may let the stream go on elsewhere.
func (s *streamRun) closeRuns() {
	switch {
	case s.cur == nil:
	case s.from != "":
		s.stopRun(s.cur, nil)
	case len(s.trials) > 0 && !s.sound && !s.cur.done:
		trial := s.cur
		telemetry.Go(s.relay.Log, "trial", func() { s.finishTrial(trial) })
		s.cur = nil
	}
	s.closeHeld()
	s.closeRun()
}

// close ends a run; its engine stops when the connection closes.
func (s *streamRun) close(r *run) {
	r.cancel()
	s.reportPartial(r, false) // unless its outcome is known
	s.relay.Pool.End(r.to.ID, r.work)
	if r.replica != nil {
		s.relay.Pool.End(r.replica.ID, backend.Load{Tokens: s.tokens})
	}
}

// probeResult is the outcome of a probe.
type probeResult struct {
	err    error
	idle   bool  // the server reports that it has no work at all
	events int64 // how many events of the run the server reports
}

// probe probes the current server: one that is unreachable does not answer. With report, the
// probe is a request for the server's load report, which shows whether it works at all.
func (s *streamRun) probe(report bool) {
	now := time.Now()
	to, usual := s.cur.to, s.relay.dialTime(&s.cur.to)
	by := now.Add(usual + probeMargin)
	state := &s.cur.state
	state.ProbedAt, state.ProbeDue, state.ProbeOK = now, by, false
	if report = report && !to.Peer && !s.refusesNow(&to, now); report {
		state.ReportAt = now
	}
	results := make(chan probeResult, 2)
	s.cur.probeResults = results
	ctx, id := s.ctx, s.msg.params.ID
	if s.relay.kept != nil && !to.Peer && !s.refusesNow(&to, now) {
		ctx = withKeptProbe(ctx)
	}
	s.relay.startProbe(ctx, to, id, by, usual+probeRetryDelay, report, results)
}

// dialTime returns the usual time to open a connection to a server, which may have become known since
// it was chosen; 0 if it is unknown.
func (r *Relay) dialTime(to *backend.Choice) time.Duration {
	v, _ := r.Pool.View(to.ID, time.Now())
	return cmp.Or(v.DialTime, to.DialTime)
}

// The times of a probe, beyond the usual time to open a connection.
const (
	// probeMargin is how late an answer may be.
	probeMargin = 100 * time.Millisecond
	// probeRetryDelay is when the probe is repeated, since a link may lose a packet.
	probeRetryDelay = 25 * time.Millisecond
)

// errNoOutcome reports a probe that has ended without one.
var errNoOutcome = errors.New("probe without an outcome")

// startProbe starts a probe.
func (r *Relay) startProbe(ctx context.Context, to backend.Choice, id engine.RequestID, deadline time.Time, retryAfter time.Duration, report bool, results chan<- probeResult) {
	go func() {
		if telemetry.Run(r.Log, "probe", func() { r.probe(ctx, to, id, deadline, retryAfter, report, results) }) {
			return
		}
		select {
		case results <- probeResult{err: errNoOutcome}:
		default: // it has sent its outcome
		}
	}()
}

// probe probes a server until the deadline, with a second try after retryAfter, and sends the outcome
// of the first try that ends to results, which must have room for two. The second try opens a new
// connection, as the one for control calls may be silent. A load report that comes later, within the
// time of a control call, is sent as well: it takes longer than opening a connection.
func (r *Relay) probe(ctx context.Context, to backend.Choice, id engine.RequestID, deadline time.Time, retryAfter time.Duration, report bool, results chan<- probeResult) {
	dialCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	connections, reports := make(chan probeResult, 2), make(chan probeResult, 1)
	connect := func() {
		connections <- probeResult{err: telemetry.Guard(r.Log, "probe", func() error { return r.tryConnect(dialCtx, to.Address) })}
	}
	if report {
		go func() {
			rep, err := telemetry.GuardValue(r.Log, "probe", func() (backend.Report, error) { return r.Report(ctx, to) })
			reports <- probeResult{err: err, idle: err == nil && rep.Waiting+rep.Prefilling+rep.Generating == 0, events: rep.Events[id]}
		}()
	} else {
		go func() {
			answered, _ := telemetry.GuardValue(r.Log, "probe", func() (bool, error) { return r.probeKept(ctx, to, deadline), nil })
			if answered {
				connections <- probeResult{}
				return
			}
			connect()
		}()
	}
	second := time.NewTimer(retryAfter)
	defer second.Stop()
	for waiting := true; waiting; {
		select {
		case p := <-connections:
			results <- p
			waiting = false
		case p := <-reports:
			results <- p
			return
		case <-second.C:
			go connect()
		}
	}
	if report {
		if p := <-reports; p.err == nil {
			results <- p
		}
	}
}

// handleProbe handles the outcome of a probe. That a server accepts connections does not show
// that it works: only its answers to requests do.
func (s *streamRun) handleProbe(p probeResult) {
	if p.err != nil {
		// Nothing listens there any more, so the run has failed too.
		s.cur.state.ProbeDue = time.Now()
		s.relay.dropKept(s.cur.to.Address)
		s.logEvent("probe failed", s.cur.to.ID, zap.Error(fmt.Errorf("probe: %w", p.err)))
		return
	}
	s.cur.state.ProbeOK, s.cur.state.Unheard = true, p.events > 0 && len(s.cur.parts) == 0
	if p.idle {
		s.cur.state.IdleAt = time.Now()
	}
}
