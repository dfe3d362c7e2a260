package relay

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/clock"
	"quetzalhold/engine"
	"quetzalhold/platform"
	"quetzalhold/quarantine"
	"quetzalhold/result"
	"quetzalhold/routing"
	"quetzalhold/telemetry"
)

// hedgeShare is the share of the latency objective after which an idempotent request without
// an answer is also sent to a second server. The rest of the objective is enough for the
// second one.
const hedgeShare = 0.5

// plainRequest is a plain request in flight.
type plainRequest struct {
	*job
	retrier Retrier
	replies chan reply
	sentTo  []sentTo          // sends without an outcome so far
	ran     []engine.ServerID // servers that have run it, or may have
	lost    []lentTo          // hand-overs whose answers were lost
	best    *reply            // an error status, delivered if no better answer comes
	// retryAt is when the first server accepts requests again; zero unless all refuse them.
	retryAt time.Time
	block   *quarantine.Block // why it must not be sent; nil if it may
}

// sentTo is a send: a server, or another entry VM, when the request was sent to it, and how many
// attempts that may take.
type sentTo struct {
	server   backend.Choice
	at       time.Time
	attempts int
	handover HandoverID // to another entry VM
	observed *observation
	cancel   context.CancelFunc
}

// defaultSilence is the time after which a server that has not answered the request, nor anything
// else since, counts as failed, on routes without a latency objective.
const defaultSilence = time.Second

// servePlain answers a request to a plain service.
func (r *Relay) servePlain(w http.ResponseWriter, j *job) {
	ctx, cancel := context.WithDeadline(j.msg.Context(), j.deadline)
	defer cancel()
	p := &plainRequest{job: j, replies: make(chan reply, maxSends)}
	p.retrier = Retrier{Repeatable: j.route.Repeatable(), MaxRuns: j.route.MaxAttempts, GiveUpAt: j.startedAt.Add(j.route.LatencyTarget)}
	j.spent = func() Spent { return Spent{Attempts: p.retrier.runs, Servers: p.ran} }
	defer p.giveUpOpen()
	hedge := time.NewTimer(max(time.Millisecond, time.Duration(hedgeShare*float64(j.route.LatencyTarget))))
	defer hedge.Stop()
	silent := time.NewTimer(cmp.Or(j.route.LatencyTarget, defaultSilence))
	defer silent.Stop()
	action := r.sendPlain(ctx, p)
	for {
		switch action {
		case TryNext:
			action = r.sendPlain(ctx, p)
			continue
		case Pause:
			p.tried = nil
			pause := time.NewTimer(refusalRetryDelay)
			select {
			case <-pause.C:
			case <-ctx.Done():
			}
			pause.Stop()
			action = r.sendPlain(ctx, p)
			continue
		case Deliver:
			r.deliver(w, j, p.best)
			return
		case Refuse:
			if p.block != nil {
				r.refuse(w, j, blockError(*p.block, false))
				return
			}
			r.refuse(w, j, result.New(result.NoServer, "no server of %s took the call", j.service).AsNotRun().WithRetryAt(p.retryAt))
			return
		case Fail:
			if p.recallLost(ctx) {
				action = TryNext
				continue
			}
			r.refuse(w, j, result.New(result.OutcomeUnknown, "the server or its answer was lost"))
			return
		}
		select {
		case rep := <-p.replies:
			action = p.handleReply(rep)
		case <-hedge.C:
			action = p.retrier.Hedge()
		case <-silent.C:
			p.markSilent(time.Now())
		case <-ctx.Done():
			r.answerCancelled(w, j, p.retrier.runs > 0)
			return
		}
	}
}

// maxSends bounds the number of times that one request is sent to a server, refusals included.
const maxSends = 12

// sendPlain sends the request to the next server.
func (r *Relay) sendPlain(ctx context.Context, p *plainRequest) Action {
	p.block = nil
	p.beginTrials()
	for p.isUnconfirmed() && ctx.Err() == nil {
		_ = clock.Sleep(ctx, confirmInterval) // the loop condition checks ctx
	}
	if b, ok := p.rejected(); ok {
		p.block = &b
		return p.retrier.Conclude()
	}
	if !p.retrier.Repeatable {
		r.checkHealth(p.job)
	}
	now := time.Now()
	to, ok := p.helper(p.retrier.Left())
	if !ok {
		to, ok = r.choose(p.job, now, p.tried)
	}
	if !ok {
		// There is no point in waiting for servers that have said until when they refuse.
		if p.retryAt, ok = r.Pool.RetryAt(r.need(p.job, now, nil, "")); ok {
			return p.retrier.Conclude()
		}
	}
	if !ok || p.sends >= maxSends {
		return p.retrier.NoServer(now)
	}
	if p.sends > 0 && !r.Budget(p.service).Allow(now) {
		p.logEvent("retry budget spent", to.ID)
		return p.retrier.Conclude()
	}
	if b, ok := p.claimTrials(ctx); !ok {
		p.block = &b
		return p.retrier.Conclude()
	}
	p.sends++
	attempts, handover := 1, HandoverID("")
	send := &platform.ServerRequest{Server: to.ID, Organisation: p.organisation, TimeLeft: time.Until(p.deadline), Urgency: -1}
	if to.Peer {
		attempts = lend(p.retrier.Left())
		p.logEvent("handed to another entry VM", to.ID, zap.Int("attempts", attempts))
		send.Server = ""
		ctx, handover = p.admitted(ctx, attempts, nil)
	} else {
		p.tried = append(p.tried, to.ID)
	}
	p.retrier.Sent(attempts)
	ctx = p.mayKeep(ctx, &to)
	observed := p.observe(to)
	ctx, cancel := p.sendContext(ctx, observed)
	p.sentTo = append(p.sentTo, sentTo{server: to, at: now, attempts: attempts, handover: handover, observed: observed, cancel: cancel})
	go func() {
		rep := reply{server: to}
		rep.err = telemetry.Guard(r.Log, "exchange", func() error {
			rep = r.exchange(ctx, p.msg, to, send)
			return rep.err
		})
		rep.observed = observed
		p.report(&rep)
		p.replies <- rep
	}()
	return Await
}

// sendContext returns the context of a send. One by whose answer a version move is judged outlasts its request.
func (p *plainRequest) sendContext(ctx context.Context, observed *observation) (context.Context, context.CancelFunc) {
	if observed.judged() {
		return context.WithDeadline(context.WithoutCancel(ctx), p.deadline)
	}
	return context.WithCancel(ctx)
}

// report reports what is known of the answer to a send. deliver reports the answers of which it reads the rest.
func (j *job) report(rep *reply) {
	switch {
	case rep.outcome == Answered && rep.status >= http.StatusInternalServerError:
		rep.observed.report(ServerAnswer{Failed: true})
	case rep.outcome == Answered && rep.rest != nil:
	case rep.outcome == Answered:
		rep.observed.report(ServerAnswer{First: rep.took})
	case rep.outcome == Lost && j.isOver():
		rep.observed.cut()
	case rep.outcome == Lost && !failedOnKept(rep.err):
		rep.observed.lose()
	default:
		rep.observed.drop()
	}
}

// overtakenLimit is how long after its request has ended a send goes on by whose answer a version move is judged. Servers
// may work on requests half a second longer than their callers wait.
const overtakenLimit = 400 * time.Millisecond

// giveUpOpen ends the sends that have no outcome yet: another one has overtaken them, or the request is over. Those by whose
// answers a version move is judged go on for a moment if they were overtaken, until they have an outcome or count as slow:
// the overtaken answers may be failures.
func (p *plainRequest) giveUpOpen() {
	over := p.isOver()
	for _, s := range p.sentTo {
		end := func() {
			s.observed.cut()
			s.cancel()
		}
		if over || !s.observed.judged() {
			end()
			continue
		}
		s.observed.whenKnown(s.cancel)
		time.AfterFunc(overtakenLimit, end)
	}
}

// markSilent marks the servers that have answered neither the request nor anything else since, so
// that other requests go elsewhere. This one has to wait if it may not be repeated.
func (p *plainRequest) markSilent(now time.Time) {
	for _, s := range p.sentTo {
		p.markUnanswered(s, "server silent", now)
	}
}

func (p *plainRequest) markUnanswered(s sentTo, why string, now time.Time) {
	if p.relay.Pool.MarkUnanswered(s.server.ID, s.at, now) {
		p.logEvent(why, s.server.ID)
	}
}

// checkHealth checks the health of a server that has left a request unanswered, if a check is due.
func (r *Relay) checkHealth(j *job) {
	to, ok := r.Pool.NextCheck(j.service, time.Now())
	if !ok {
		return
	}
	if j.healthPath == "" || r.Pool.Limited(to.ID) {
		r.Pool.EndCheck(to.ID, true, time.Now()) // the next request shows it
		return
	}
	go func() {
		var id engine.ServerID
		err := telemetry.Guard(r.Log, "health check", func() (err error) {
			id, err = r.Identify(context.Background(), to, j.healthPath)
			return err
		})
		r.Pool.EndCheck(to.ID, err == nil && (id == "" || id == to.ID), time.Now())
		r.Log.Info("health of a server checked", zap.String("server", string(to.ID)), zap.String("answeredBy", string(id)), zap.Error(err))
	}()
}

// endSend records that a send has an outcome. It returns how many of its attempts were not used.
func (p *plainRequest) endSend(rep *reply) (unused int) {
	i := slices.IndexFunc(p.sentTo, func(s sentTo) bool { return s.server.ID == rep.server.ID })
	sent := p.sentTo[i]
	p.sentTo = slices.Delete(p.sentTo, i, i+1)
	if rep.rest == nil {
		defer sent.cancel()
	} else {
		context.AfterFunc(p.msg.Context(), sent.cancel) // it is still to be read
	}
	switch {
	case rep.outcome == NotRun:
		p.keepTrials(rep.server)
		return sent.attempts
	case failedOnKept(rep.err):
		p.leaveServer(rep.server.ID)
	case rep.outcome == Lost && !p.isOver():
		p.markUnanswered(sent, "request not answered", time.Now())
	}
	if !rep.server.Peer {
		p.ran = append(p.ran, rep.server.ID)
		return 0
	}
	if rep.outcome == Lost && rep.spent == "" {
		p.lost = append(p.lost, lentTo{to: rep.server, id: sent.handover, attempts: sent.attempts})
	}
	spent := p.relay.readSpent(rep.spent, 1, sent.attempts)
	p.ran, p.tried = append(p.ran, spent.Servers...), append(p.tried, spent.Servers...)
	return sent.attempts - spent.Attempts
}

// recallLost takes the request back from other entry VMs whose answers were lost. It reports whether that leaves
// attempts for another send.
func (p *plainRequest) recallLost(ctx context.Context) bool {
	lost := p.lost
	p.lost = nil
	if len(lost) == 0 || !p.retrier.Repeatable {
		return false
	}
	for i, spent := range p.recall(ctx, lost) {
		p.retrier.GiveBack(lost[i].attempts - spent.Attempts)
		p.ran, p.tried = append(p.ran, spent.Servers...), append(p.tried, spent.Servers...)
	}
	return p.retrier.Left() > 0
}

// handleReply handles the outcome of one send.
func (p *plainRequest) handleReply(rep reply) Action {
	unused := p.endSend(&rep)
	switch rep.outcome {
	case Answered:
		p.observeSound()
		p.relay.calls.Add(p.route.Name, rep.took)
		p.observeCall(&rep)
		if p.best == nil || rep.status < p.best.status {
			p.best = &rep
		}
	default:
		if rep.outcome == Lost {
			p.observeCrash(rep.server, false, rep.err)
		}
		p.refundRetry(rep.err)
		p.logEvent("attempt "+rep.outcome.String(), rep.server.ID, zap.String("fingerprint", string(p.fingerprint)), zap.Error(rep.err))
	}
	return p.retrier.Replied(rep.outcome, rep.status, unused)
}

// refundRetry returns a token to the retry budget if the retry reached no server.
func (j *job) refundRetry(err error) {
	if j.sends > 1 && notSent(err) {
		j.relay.Budget(j.service).Refund(time.Now())
	}
}

// deliver sends a server's answer to the caller. If the rest of a long one is lost, it closes
// the caller's connection, so that the answer does not look complete.
func (r *Relay) deliver(w http.ResponseWriter, j *job, rep *reply) {
	h := w.Header()
	for name, values := range platform.EndToEnd(rep.header) {
		h[name] = slices.Clone(values)
	}
	j.setServer(h, rep.server)
	j.setSpent(h)
	if j.msg.Method != http.MethodHead && rep.rest == nil {
		h.Set("Content-Length", strconv.Itoa(len(rep.body)))
	}
	r.announceClose(h)
	w.WriteHeader(rep.status)
	to := &callerWriter{w: w}
	_, err := to.Write(rep.body)
	if rep.rest != nil && err == nil {
		_, err = io.Copy(to, rep.rest)
	}
	switch {
	case to.flush() != nil:
		rep.observed.drop()
		j.end(result.CallerGone, rep.server.ID, zap.Int("status", rep.status), zap.NamedError("writeError", to.err))
	case err != nil:
		rep.observed.lose()
		j.end(result.OutcomeUnknown, rep.server.ID, zap.String("why", "the rest of the answer was lost"), zap.Error(err))
	default:
		rep.observed.report(ServerAnswer{First: rep.took})
		j.end(result.OK, rep.server.ID, zap.Int("status", rep.status))
		return
	}
	panic(http.ErrAbortHandler)
}

// callerWriter writes an answer to a caller and keeps the first error in doing so.
type callerWriter struct {
	w   http.ResponseWriter
	err error
}

// Write implements io.Writer.
func (c *callerWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	if c.err == nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		c.err = err
	}
	return n, err
}

// flush sends what net/http has buffered, and returns the first error of all writes.
func (c *callerWriter) flush() error {
	if c.err != nil {
		return c.err
	}
	if err := http.NewResponseController(c.w).Flush(); !errors.Is(err, errors.ErrUnsupported) {
		c.err = err
	}
	return c.err
}

// choose picks a server for the request.
func (r *Relay) choose(j *job, now time.Time, exclude []engine.ServerID) (backend.Choice, bool) {
	return r.Pool.Choose(r.need(j, now, exclude, ""))
}

// need returns the request's requirements for a server. Servers in the failure domain of avoid
// are used only if there are no others.
func (r *Relay) need(j *job, now time.Time, exclude []engine.ServerID, avoid engine.ServerID) backend.Criteria {
	n := backend.Criteria{
		Now: now, Service: j.service, Domain: r.Domain, Region: r.Region, Exclude: exclude, Only: j.only,
		AffinityKey: j.msg.params.AffinityKey(), Tokens: j.tokens, Model: j.model, Once: !j.route.Repeatable(), Cost: j.basis(now), DryRun: j.dryRun,
	}
	if r.Allowed != nil {
		again := (j.sends > 0 || len(j.tried) > 0) && j.route.Kind != routing.Stream
		n.Allowed = r.Allowed(j.service, j.route.Name, j.msg.params.ID, again)
	}
	if avoid != "" {
		if v, ok := r.Pool.View(avoid, now); ok {
			n.Avoid = v.Domain
		}
	}
	return n
}
