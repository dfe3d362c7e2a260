package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/platform"
	"quetzalhold/result"
)

// run is one attempt at a stream: one connection to one engine.
type run struct {
	to     backend.Choice
	copyTo *backend.Choice // gets a running copy; nil for none
	work   backend.Load
	cancel context.CancelFunc
	sentAt time.Time
	ctx    context.Context // ends with the run
	pieces chan piece
	heard  bool // it has sent an event

	orders    chan ordered // outcomes of orders to copy its memory
	ordered   *ordered     // the copy that was made last
	ordering  bool
	orderedAt time.Time
	noCopy    []engine.ServerID // where a copy failed
}

// piece is what comes from a run: its head, an event, or its end.
type piece struct {
	head  *http.Response // set once, first
	event event
	// ended says that nothing more comes; err is nil only after a whole stream.
	ended   bool
	outcome Outcome
	err     error
}

// streamRun is a stream under way to a caller.
type streamRun struct {
	*job
	w       http.ResponseWriter
	ctx     context.Context
	cur     *run
	asked   []engine.ServerID // not to be asked again
	silence StreamState
	probes  chan probed
	began   bool // the caller has the head
	firstAt time.Time
	inVain  int   // runs in a row without an event
	last    int64 // id of the last event that the caller has
	step    int64 // between the ids of two events; 0 if it is not known
	runs    int   // sends but those that were refused
	rounds  int
	failed  *reply // a server's own failure
}

// piecesAhead is how many pieces of a run wait for the caller.
const piecesAhead = 16

// serveStream answers a request with a stream.
func (r *Relay) serveStream(w http.ResponseWriter, j *job) {
	ctx, cancel := context.WithDeadline(j.msg.Context(), j.deadline)
	defer cancel()
	s := &streamRun{job: j, w: w, ctx: ctx}
	if id, err := strconv.ParseInt(j.msg.ask.LastEvent, 10, 64); err == nil {
		s.last = id
	}
	defer s.drop()
	if s.hopeless() || !s.start("first", nil) {
		return
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		v := s.judge()
		switch v.Action {
		case Probe:
			s.probe()
			continue
		case FailOver:
			if s.silence.ProbeOK {
				s.relay.stopRun(s.cur, s.msg.ask.ID)
			}
			s.relay.blame(s.cur.to, v.Why == whyIdle)
			if !s.takeOver(v.Why) {
				return
			}
			continue
		}
		s.protect(time.Now())
		timer.Reset(max(time.Millisecond, time.Until(v.At)))
		select {
		case p := <-s.cur.pieces:
			if !s.take(p) {
				return
			}
		case p := <-s.probes:
			s.probed(p)
		case o := <-s.cur.orders:
			s.copied(o)
		case <-timer.C:
		case <-ctx.Done():
			s.expire()
			return
		}
	}
}

// judgeAgain is when a silent run is judged again that no other one may follow now.
const judgeAgain = 200 * time.Millisecond

// judge decides about the current run. Where no other run may follow, it goes on:
// its engine's silence alone is no reason to end an answer.
func (s *streamRun) judge() Decision {
	if !s.route.Resumable || s.runs >= s.route.MaxAttempts {
		return Decision{Action: Await, At: s.deadline}
	}
	v := s.relay.Judge.Decide(s.look())
	if now := time.Now(); v.Action == FailOver && !s.relay.Budget(s.service).Available(now) {
		return Decision{Action: Await, At: now.Add(judgeAgain)}
	}
	return v
}

// mayHaveRun reports whether some server may have run the request.
func (s *streamRun) mayHaveRun() bool { return s.runs > 0 }

// hopeless refuses a request that has less time left than such a stream needs, so
// that no engine reads its prompt in vain. It reports whether it did.
func (s *streamRun) hopeless() bool {
	left := time.Until(s.deadline)
	need, ok := s.relay.pace.Needed(s.route.Name, s.last)
	if !ok || need <= left {
		return false
	}
	s.relay.refuse(s.w, s.job, result.New(result.TooLate, "%v left, %v needed", left.Round(time.Millisecond), need.Round(time.Millisecond)).AsNotRun())
	return true
}

// blame notes that a server was found lost, or hung: it accepts requests and does
// not work on them.
func (r *Relay) blame(to backend.Choice, hung bool) {
	if !hung {
		r.Pool.MarkFailed(to.ID, time.Now())
		return
	}
	r.Pool.MarkHung(to.ID, to.Start, time.Now())
	if r.Hung != nil {
		r.Hung(to)
	}
}

// look returns what is known of the current run now.
func (s *streamRun) look() StreamState {
	now := time.Now()
	s.silence.Now = now
	v, ok := s.relay.Pool.View(s.cur.to.ID, now)
	s.silence.ServerLost = !ok || v.FailedAt.After(s.cur.sentAt)
	_, _, s.silence.Copy = s.copyOf(s.cur, now)
	return s.silence
}

// copyAlive reports whether the server of a run's copy is believed to live.
func (s *streamRun) copyAlive(from *run, now time.Time) bool {
	return from.copyTo != nil && s.alive(from.copyTo, from.sentAt, now)
}

// copyOf returns where a run has a copy from which it can go on, and what names
// it there.
func (s *streamRun) copyOf(from *run, now time.Time) (backend.Choice, *platform.KVCopy, bool) {
	switch {
	case from == nil || !from.heard:
	case s.copyAlive(from, now):
		return *from.copyTo, &platform.KVCopy{Address: from.copyTo.Address, Name: string(s.msg.ask.ID)}, true
	case from.ordered != nil && s.alive(&from.ordered.to, from.sentAt, now):
		return from.ordered.to, &platform.KVCopy{Address: from.to.Address, Name: from.ordered.handle}, true
	}
	return backend.Choice{}, nil, false
}

// start sends the stream to an engine: to the one that holds the copy, or to one
// that the pool chooses. It reports false if it has ended the request.
func (s *streamRun) start(why string, from *run) bool {
	for {
		now := time.Now()
		p, memory, ok := s.pick(now, from)
		from = nil
		if !ok || s.sends >= maxSends {
			if !s.pause() {
				return false
			}
			continue
		}
		if s.sends > 0 && !s.relay.Budget(s.service).Allow(now) {
			s.note("retry budget spent", p.Run.ID)
			return s.giveUp("retry budget spent")
		}
		s.sends++
		s.runs++
		s.open(why, p, memory)
		return true
	}
}

// pick returns the engines for the next run and its copy. A copy is used only of
// a run that has begun to generate: engines have none of others.
func (s *streamRun) pick(now time.Time, from *run) (backend.Placement, *platform.KVCopy, bool) {
	if c, memory, ok := s.copyOf(from, now); ok {
		return s.placeAt(c, now), memory, true
	}
	if s.last > 0 && s.sends == 0 && s.rounds == 0 {
		if c, ok := s.relay.keeper(s.ctx, s.job, now); ok {
			return s.placeAt(c, now), nil, true
		}
	}
	var avoid engine.ServerID
	if from != nil {
		avoid = from.to.ID
	}
	p, ok := s.relay.place(s.ctx, s.job, now, s.asked, avoid)
	return p, nil, ok
}

// placeAt returns a placement at an engine that is known. The caller waits: the next
// copy's place is chosen without reports.
func (s *streamRun) placeAt(c backend.Choice, now time.Time) backend.Placement {
	p := backend.Placement{Run: backend.Engine{Choice: c}}
	s.relay.placeCopy(&p, s.job, now, s.asked)
	return p
}

// open opens a run.
func (s *streamRun) open(why string, p backend.Placement, memory *platform.KVCopy) {
	now := time.Now()
	ctx, cancel := context.WithCancel(s.ctx)
	to := p.Run.Choice
	s.cur = &run{to: to, ctx: ctx, cancel: cancel, sentAt: now, pieces: make(chan piece, piecesAhead), orders: make(chan ordered, 1), work: backend.Load{Requests: 1, Pending: 1, Tokens: s.tokens}}
	s.silence = StreamState{SentAt: now, Continued: memory != nil, FirstBy: now.Add(s.firstLimit(p.Run.Report))}
	s.probes = nil // answers to probes of the run before say nothing of this one
	send := &platform.ServerRequest{Server: to.ID, Organisation: s.organisation, TimeLeft: time.Until(s.deadline), Urgency: s.urgency(), ResumeFrom: memory}
	if s.last > 0 {
		send.LastEvent = strconv.FormatInt(s.last, 10)
	}
	copyID := engine.ServerID("")
	if p.Replica != nil && s.model != nil && s.model.Replicates && s.route.Resumable {
		s.cur.copyTo = &p.Replica.Choice
		copyID = p.Replica.ID
		send.ReplicateTo = p.Replica.Address
		s.relay.Pool.Begin(copyID, backend.Load{Tokens: s.tokens})
	}
	s.relay.Pool.Begin(to.ID, s.cur.work)
	s.note("stream sent", to.ID, zap.String("why", why), zap.Bool("fromCopy", memory != nil), zap.Int64("lastEvent", s.last),
		zap.String("copyAt", string(copyID)), zap.Any("report", p.Run.Report), zap.Int("rank", p.Run.Rank), zap.Int("heard", p.Reports), zap.Int("asked", p.Polled))
	if s.relay.Sent != nil {
		s.relay.Sent(why)
	}
	go s.relay.read(ctx, s.msg, s.cur, send)
}

// The wait for a first event, before another engine is tried.
const (
	// firstFactor times the usual wait is waited.
	firstFactor = 4
	// firstShare of the objective is waited where no usual wait is known.
	firstShare = 1.3
	// maxDoublings bounds how often the wait is doubled: each engine that was tried
	// in vain doubles it, so that overload does not feed itself.
	maxDoublings = 3
)

// firstLimit returns how long to wait for the first event from an engine that
// reported what it has to do.
func (s *streamRun) firstLimit(rep *backend.Report) time.Duration {
	limit := time.Duration(firstShare * float64(s.route.LatencyTarget))
	if usual, ok := s.relay.pace.FirstEventTime(s.route.Name, s.msg.ask.PromptTokens); ok {
		limit = firstFactor * usual
		if rep != nil {
			limit += time.Duration(rep.Waiting+rep.Prefilling) * usual
		}
	}
	return limit << min(s.inVain, maxDoublings)
}

// urgency returns the rank of the request at an engine; what goes on comes
// before what begins.
func (s *streamRun) urgency() int {
	u := min(int(s.priority), 9)
	if s.last > 0 {
		u--
	}
	return max(0, u)
}

// read carries out a run and hands over its pieces.
func (r *Relay) read(ctx context.Context, m *message, cur *run, send *platform.ServerRequest) {
	hand := func(p piece) bool {
		select {
		case cur.pieces <- p:
			return true
		case <-ctx.Done():
			return false
		}
	}
	resp, err := r.roundTrip(ctx, m, cur.to, send)
	if resp != nil {
		defer resp.Body.Close()
	}
	outcome, err := r.classify(m, cur.to, resp, err)
	if outcome != Answered {
		hand(piece{ended: true, outcome: outcome, err: err})
		return
	}
	if resp.StatusCode != http.StatusOK {
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
		resp.Body = io.NopCloser(nil)
		hand(piece{head: resp, event: event{raw: body}, ended: true, outcome: Answered, err: errors.Join(errFailed, err)})
		return
	}
	if !hand(piece{head: resp}) {
		return
	}
	events := newEventReader(resp.Body)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			hand(piece{ended: true, outcome: Answered})
			return
		}
		if err != nil {
			hand(piece{ended: true, outcome: Lost, err: err})
			return
		}
		r.Pool.MarkResponsive(cur.to.ID)
		if !hand(piece{event: e}) {
			return
		}
	}
}

// errFailed says that the server answered with a failure.
var errFailed = errors.New("the server answered with a failure")

// take takes over a piece of the current run. It reports false if the request
// has ended.
func (s *streamRun) take(p piece) bool {
	switch {
	case p.head != nil && !p.ended:
		s.hold(p.head)
		return true
	case p.ended && p.err == nil:
		return s.finish()
	case p.ended:
		return s.broken(p)
	}
	now := time.Now()
	if !s.cur.heard {
		s.cur.heard = true
		s.relay.Pool.End(s.cur.to.ID, backend.Load{Pending: s.cur.work.Pending})
		s.cur.work.Pending = 0
	}
	s.silence.LastEventAt, s.silence.ProbedAt, s.silence.ProbeOK = now, time.Time{}, false
	if p.event.id != 0 && p.event.id <= s.last {
		s.note("event repeated", s.cur.to.ID, zap.Int64("event", p.event.id), zap.Int64("lastEvent", s.last))
		return true
	}
	if !s.follows(p.event.id) {
		s.note("event missing", s.cur.to.ID, zap.Int64("event", p.event.id), zap.Int64("lastEvent", s.last))
		return s.takeOver("event missing")
	}
	return s.forward(p.event)
}

// follows reports whether an event is the next one: ids rise by the same step all
// through a stream, which its first two events show.
func (s *streamRun) follows(id int64) bool {
	switch {
	case id == 0 || s.last == 0:
		return true
	case s.step == 0:
		s.step = id - s.last
		return true
	}
	return id == s.last+s.step
}

// hold keeps the head of the first run's answer for the caller until an event
// comes: until then another server's answer may take its place.
func (s *streamRun) hold(head *http.Response) {
	if s.began {
		return
	}
	s.clear()
	h := s.w.Header()
	for name, values := range platform.EndToEnd(head.Header) {
		h[name] = slices.Clone(values)
	}
	h.Del("Content-Length")
}

// forward passes an event on at once.
func (s *streamRun) forward(e event) bool {
	if !s.began {
		s.began, s.firstAt = true, time.Now()
		s.w.WriteHeader(http.StatusOK)
	}
	_, err := s.w.Write(e.raw)
	if err == nil {
		err = http.NewResponseController(s.w).Flush()
	}
	if err != nil {
		s.abort(result.Wrap(result.CallerGone, err, "send event"))
	}
	if e.id != 0 {
		s.last = e.id
	}
	return true
}

// finish ends a whole stream.
func (s *streamRun) finish() bool {
	if !s.began {
		s.began = true
		s.w.WriteHeader(http.StatusOK)
	}
	if s.sends == 1 && s.msg.ask.LastEvent == "" && s.last > 1 {
		first, gap := s.firstAt.Sub(s.begun), time.Since(s.firstAt)/time.Duration(s.last-1)
		s.relay.pace.Add(s.route.Name, Sample{Prompt: s.msg.ask.PromptTokens, First: first, Gap: gap, Events: s.last})
		s.ran(s.cur.to, false, first, gap)
	}
	s.end(result.OK, s.cur.to.ID, zap.Int64("lastEvent", s.last))
	return false
}

// broken decides after a run that ended early. It reports false if the request
// has ended.
func (s *streamRun) broken(p piece) bool {
	s.note("run ended early", s.cur.to.ID, zap.Stringer("outcome", p.outcome), zap.Error(p.err), zap.Int64("lastEvent", s.last))
	switch p.outcome {
	case NotRun:
		s.runs--
		s.refund(p.err)
		s.asked = append(s.asked, s.cur.to.ID)
		s.drop()
		return s.start("refused", nil)
	case Answered:
		s.ran(s.cur.to, true, 0, 0)
		s.failed = &reply{by: s.cur.to, status: p.head.StatusCode, header: p.head.Header, body: p.event.raw}
	case Lost:
		if s.ctx.Err() != nil {
			s.expire() // the run ended with the request's time, not by its engine
			return false
		}
		s.relay.Pool.MarkFailed(s.cur.to.ID, time.Now())
	}
	return s.takeOver("run ended early")
}

// takeOver lets another engine go on. It reports false if the request has ended.
func (s *streamRun) takeOver(why string) bool {
	from := s.cur
	if from.heard {
		s.inVain = 0
	} else {
		s.inVain++
	}
	switch {
	case !s.route.Resumable:
		return s.giveUp("route does not resume")
	case s.runs >= s.route.MaxAttempts:
		return s.giveUp("every permitted run was lost")
	}
	s.asked = append(s.asked, from.to.ID)
	s.drop()
	return s.start(why, from)
}

// The rounds in which a stream waits for an engine that takes it.
const (
	streamPause     = 100 * time.Millisecond
	maxStreamRounds = 20
)

// pause waits a moment where no engine takes the stream. It reports false if it
// has ended the request.
func (s *streamRun) pause() bool {
	s.asked = nil
	s.rounds++
	if s.rounds > maxStreamRounds || s.sends >= maxSends {
		return s.giveUp("no engine takes it")
	}
	t := time.NewTimer(streamPause)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.ctx.Done():
		s.expire()
		return false
	}
}

// giveUp ends a request that no engine can finish. It returns false.
func (s *streamRun) giveUp(why string) bool {
	switch {
	case s.began:
		s.abort(result.New(result.AttemptsSpent, "%s after %d runs", why, s.runs))
	case s.failed != nil:
		s.clear()
		s.relay.deliver(s.w, s.job, s.failed)
	case s.mayHaveRun():
		s.clear()
		s.relay.refuse(s.w, s.job, result.New(result.EngineLost, "%s after %d runs", why, s.runs))
	default:
		s.clear()
		s.relay.refuse(s.w, s.job, result.New(result.NoServer, "%s of service %s", why, s.service).AsNotRun())
	}
	return false
}

// clear removes the head that was held for the caller.
func (s *streamRun) clear() {
	clear(s.w.Header())
}

// expire ends a request whose time is over, whose caller has left, or which is
// under way when the entry VM stops. What the caller has got of a stream must not
// look whole, whatever the cause.
func (s *streamRun) expire() {
	if !s.began {
		s.clear()
		s.relay.timeOut(s.w, s.job, s.mayHaveRun())
		return
	}
	s.abort(s.relay.ending(s.job, s.mayHaveRun()))
}

// abort closes the caller's connection, so that what it got does not look whole.
func (s *streamRun) abort(err *result.Error) {
	s.end(err.Code, "", zap.String("why", err.Error()), zap.Int64("lastEvent", s.last))
	panic(http.ErrAbortHandler)
}

// drop ends the current run; its engine stops when the connection closes.
func (s *streamRun) drop() {
	if s.cur == nil {
		return
	}
	s.cur.cancel()
	s.relay.Pool.End(s.cur.to.ID, s.cur.work)
	if s.cur.copyTo != nil {
		s.relay.Pool.End(s.cur.copyTo.ID, backend.Load{Tokens: s.tokens})
	}
	s.cur = nil
}

// probed is the answer to a probe.
type probed struct {
	err  error
	idle bool // the server reports no work at all
}

// probe asks the current server for a sign of life: one that is dark does not
// answer. Before the first event it is asked for its report, which shows whether
// it works at all.
func (s *streamRun) probe() {
	now := time.Now()
	to, usual, first := s.cur.to, s.cur.to.DialTime, !s.cur.heard
	by := now.Add(usual + probeMargin)
	s.silence.ProbedAt, s.silence.ProbeBy, s.silence.ProbeOK = now, by, false
	answer := make(chan probed, 1)
	s.probes = answer
	ctx := s.ctx
	go func() {
		answer <- s.relay.probe(ctx, to, by, usual+probeAgain, first)
	}()
}

// The times of a probe beyond the usual time to open a connection.
const (
	// probeMargin is how late an answer may be.
	probeMargin = 100 * time.Millisecond
	// probeAgain is when a second try is made, since a link may lose a packet.
	probeAgain = 25 * time.Millisecond
)

// probe asks a server for a sign of life until by, with a second try after again,
// and returns the outcome of the first try that ends. The second try is a new
// connection: the one for reports may be silent.
func (r *Relay) probe(ctx context.Context, to backend.Choice, by time.Time, again time.Duration, report bool) probed {
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	ends := make(chan probed, 2)
	connect := func() {
		c, err := r.dial(ctx, "tcp", to.Address)
		if err == nil {
			_ = c.Close() // nothing was sent on it
		}
		ends <- probed{err: err}
	}
	first := connect
	if report {
		first = func() {
			rep, err := r.Report(ctx, to)
			ends <- probed{err: err, idle: err == nil && rep.Waiting+rep.Prefilling+rep.Generating == 0}
		}
	}
	go first()
	second := time.NewTimer(again)
	defer second.Stop()
	select {
	case p := <-ends:
		return p
	case <-second.C:
		go connect()
		return <-ends
	}
}

// probed takes over a probe's answer. That a server accepts connections does not
// show that it works: only its answers to requests do.
func (s *streamRun) probed(p probed) {
	if p.err != nil {
		// Nothing listens there any more; the run went with it.
		s.silence.ProbeBy = time.Now()
		s.note("probe failed", s.cur.to.ID, zap.Error(fmt.Errorf("probe: %w", p.err)))
		return
	}
	s.silence.ProbeOK = true
	if p.idle {
		s.silence.IdleAt = time.Now()
	}
}
