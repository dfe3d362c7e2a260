package engine

import (
	"cmp"
	"context"
	"time"

	"go.opentelemetry.io/otel/trace"

	"quetzalhold/names"
	"quetzalhold/result"
)

// Job is a generation to run.
type Job struct {
	Request   RequestID
	Version   Version
	Adapter   Adapter
	Prompt    string
	Seed      uint64
	MaxTokens Tokens
	Priority  Priority
	Deadline  time.Time // the caller's deadline; zero for none
	Resume    *ResumePoint
	// OnFailure, if set, is called for each attempt that an engine answered with
	// a failure, but not for one whose connection was lost.
	OnFailure func(ServerID, result.Code)
	// MaxFailures is the number of such attempts after which a generation fails
	// if no token was delivered; 0 for no limit.
	MaxFailures int
	// Guard keeps the request from engines if it crashes them.
	Guard Guard
}

// ResumePoint is the position at which to continue an answer that another entry VM
// began, and the connection that delivered it there.
type ResumePoint struct {
	Connection
	Offset    Tokens
	Text      string // the answer up to Offset
	TextKnown bool   // if not, only Connection's stream can continue the answer
}

// Delta is a piece of an answer: one token, or its end.
type Delta struct {
	Offset Tokens
	Text   string
	From   Connection
	Finish FinishReason // set on the last delta, which has no text
}

// Sink receives the pieces of an answer in order. It blocks while the caller is slow,
// and so applies backpressure to the engine.
type Sink func(context.Context, Delta) error

// Step is one entry in the history of a request.
type Step struct {
	At      time.Time `json:"at"`
	Request RequestID `json:"request"`
	Event   string    `json:"what"`
	Reason  string    `json:"why,omitempty"`
	Server  ServerID  `json:"server,omitempty"`
	Attempt Attempt   `json:"attempt,omitempty"`
	Offset  Tokens    `json:"offset"`
}

// Runner runs generations on engines and continues them on other engines after
// failures.
type Runner struct {
	Client    *Client
	Pool      *Pool
	Canceller *Canceller
	Chooser   Chooser
	Policy    Policy
	Domain    names.ID // the failure domain of this entry VM

	// OnStep, if set, is called for each step.
	OnStep func(Step)
	// Tracer, if set, starts a span for each attempt.
	Tracer trace.Tracer
	// ServerWait is how long a generation without output waits for a server that
	// can continue it.
	ServerWait time.Duration
	// ResumeGrace is how long an engine's stream is kept after the caller's
	// connection broke, so that the caller can reconnect to any entry VM.
	ResumeGrace time.Duration
}

// The defaults of Runner and the timing of its retries. gapWeight is the weight of
// the newest token gap in the moving average.
const (
	defaultServerWait  = 10 * time.Second
	defaultResumeGrace = 15 * time.Second
	cancelRetryTime    = 60 * time.Second
	minBackoff         = 50 * time.Millisecond
	maxBackoff         = 500 * time.Millisecond
	gapWeight          = 0.2
	// beginTokens is the number of tokens after which an engine is past the beginning of
	// an answer: a request that crashes engines does so before.
	beginTokens Tokens = 3
)

// Run runs j and passes the answer to sink, each token once and in order. It returns
// nil once the whole answer was delivered. Otherwise it returns
//   - the error of the sink,
//   - DeadlinePassed,
//   - CallerGone if ctx was cancelled,
//   - NoServer or AttemptsSpent if no engine could continue the answer,
//   - EngineRefused if MaxFailures attempts failed before the first token,
//   - the Guard's error, or EngineLost with it as cause if an engine may have run j,
//   - ReceivedTextNeeded if the stream of a resumed answer is lost and its text is not
//     known,
//   - Superseded or StaleAttempt if a later connection of the caller reads the answer,
//   - InvariantBroken if an event would have corrupted the answer.
func (r *Runner) Run(ctx context.Context, j Job, sink Sink) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if !j.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, j.Deadline)
		defer cancel()
	}
	run := newRun(r, j, sink)
	err := run.loop(ctx)
	run.close(ctx, err)
	return err
}

func (r *Runner) serverWait() time.Duration { return cmp.Or(r.ServerWait, defaultServerWait) }

func (r *Runner) resumeGrace() time.Duration { return cmp.Or(r.ResumeGrace, defaultResumeGrace) }

// conn is a live attempt of a run.
type conn struct {
	Connection
	server         Server
	attach         bool
	probed         bool
	startedAt      time.Time
	openedAt       time.Time
	lastReceived   time.Time
	firstTokenBy   time.Time
	reservedTokens Tokens
	cancel         context.CancelFunc
	span           trace.Span
}

// run is the state of one call of [Runner.Run]. Only the goroutine of its loop
// accesses it, except for the channel events.
type run struct {
	*Runner
	job    Job
	sink   Sink
	policy Policy
	gen    Generation
	live   []*conn // in the order in which they were started
	events chan event

	promptTokens  Tokens
	startedAt     time.Time
	progressAt    time.Time
	tokenGap      time.Duration
	attempts      int
	refusals      int // attempts that certainly did not run
	failures      int // attempts that an engine answered with a failure
	takeovers     int
	tried         []ServerID
	retryAt       time.Time
	backoff       time.Duration
	noServerSince time.Time
	lastRefusal   error
	sound         bool                // an engine is past the beginning of its answer
	begun         map[StreamID]Tokens // tokens received of each stream that an engine has begun
}

func newRun(r *Runner, j Job, sink Sink) *run {
	now := time.Now()
	u := &run{
		Runner: r,
		job:    j,
		sink:   sink,
		policy: r.Policy.WithDefaults(),
		events: make(chan event),

		promptTokens: CountTokens(j.Prompt),
		startedAt:    now,
		progressAt:   now,
		backoff:      minBackoff,
		begun:        make(map[StreamID]Tokens),
	}
	u.gen.Version = j.Version
	u.gen.Adapter = j.Adapter
	u.gen.Seed = j.Seed
	if j.Resume != nil {
		u.gen.Resume(j.Resume.Text, j.Resume.Offset, j.Resume.Attempt.NextEpoch())
	}
	return u
}

// loop alternates between decisions and events until the generation ends.
func (u *run) loop(ctx context.Context) error {
	if u.job.Resume != nil {
		u.resume(ctx)
	}
	for u.gen.Finished() == "" {
		until, err := u.step(ctx)
		if err != nil {
			return err
		}
		if err := u.waitEvent(ctx, until); err != nil {
			return err
		}
	}
	return nil
}

// resume attaches to the stream from which another entry VM delivered the answer.
func (u *run) resume(ctx context.Context) {
	c := u.job.Resume.Connection
	s, ok := u.Pool.Lookup(c.Server)
	if !ok {
		u.recordStep("resume", "the engine is no longer listed", c)
		return
	}
	u.startAttempt(ctx, s, c.Stream, u.policy.OpenTimeout, "cursor")
}

// step carries out decisions until one is to wait, and returns the time to wait
// for.
func (u *run) step(ctx context.Context) (time.Time, error) {
	for {
		d := u.policy.Decide(u.view())
		switch d.Action {
		case Reattach:
			u.reattach(ctx, d)
		case NewAttempt:
			if err := u.startNext(ctx, d.Reason); err != nil {
				return time.Time{}, err
			}
		case GiveUp:
			return time.Time{}, result.New(result.AttemptsSpent, "%d attempts", u.attempts)
		default:
			return d.At, nil
		}
	}
}

func (u *run) view() View {
	v := View{
		Now:        time.Now(),
		ProgressAt: u.progressAt,
		Started:    u.gen.Next() > 0,
		TokenGap:   u.tokenGap,
		ResumeCost: min(u.policy.PrefillTime(u.prefillTokens()), u.policy.ResumeTimeout/2),
		Attempts:   u.attempts,
		Takeovers:  u.takeovers,
		RetryAt:    u.retryAt,
	}
	if len(u.live) == 0 {
		return v
	}
	c := u.live[len(u.live)-1]
	v.Newest = &ConnectionView{
		Connection:     c.Connection,
		StartedAt:      c.startedAt,
		OpenedAt:       c.openedAt,
		LastReceived:   c.lastReceived,
		FirstTokenBy:   c.firstTokenBy,
		Probed:         c.probed,
		ServerLastSeen: u.Pool.LastSeen(c.Server),
	}
	return v
}

// prefillTokens returns the number of tokens that a new attempt must prefill.
func (u *run) prefillTokens() Tokens { return u.promptTokens + u.gen.Next() }

// reattach starts an attempt that reads the target's stream on a new connection.
func (u *run) reattach(ctx context.Context, d Decision) {
	c := u.find(d.Target.Attempt)
	c.probed = true
	u.startAttempt(ctx, c.server, c.Stream, time.Until(c.firstTokenBy), d.Reason.String())
}

// startNext starts an attempt on another server. If there is none, it schedules a
// retry or fails, see noServer. If the answer already has all its tokens, it ends
// the answer instead.
func (u *run) startNext(ctx context.Context, reason Reason) error {
	now := time.Now()
	if u.job.Resume != nil && !u.job.Resume.TextKnown {
		return result.New(result.ReceivedTextNeeded, "stream %s is lost at position %d",
			u.job.Resume.Stream, u.gen.Next())
	}
	if u.gen.Next() >= u.job.MaxTokens {
		return u.finishAtLimit(ctx)
	}
	if e := u.blocked(); e != nil {
		return u.handleBlocked(now, e)
	}
	for _, c := range u.live {
		u.markTried(c.Server)
		u.Pool.MarkSuspect(c.Server, now)
	}
	all := u.Pool.Candidates(LoadedModel{u.job.Version, u.job.Adapter}, BlockHashes(u.job.Prompt))
	req := Requirements{Now: now, Domain: u.Domain, Prefill: u.prefillTokens(), Exclude: u.tried}
	choice, ok := u.Chooser.Choose(req, all)
	if !ok {
		return u.noServer(now)
	}
	s, ok := u.Pool.Lookup(choice.ID)
	if !ok {
		return u.noServer(now)
	}
	if len(u.live) >= u.policy.MaxLive {
		u.drop(u.live[0], true)
	}
	if len(u.live) > 0 {
		u.takeovers++
	}
	u.markTried(s.ID)
	u.startAttempt(ctx, s, "", 2*choice.Cost+u.policy.FirstTokenSlack, reason.String())
	return nil
}

// finishAtLimit ends an answer that has all its tokens but whose engine failed before
// it sent the end event.
func (u *run) finishAtLimit(ctx context.Context) error {
	c := u.gen.AddAttempt("", u.job.Request, "")
	if _, err := u.gen.Finish(c.Attempt, u.gen.Next(), FinishLength); err != nil {
		return err
	}
	return u.sink(ctx, Delta{Offset: u.gen.Next(), From: c, Finish: FinishLength})
}

// noServer schedules a retry with backoff, in which all servers without a live
// attempt may be chosen again. It fails once no server was found for serverWait.
func (u *run) noServer(now time.Time) error {
	if u.noServerSince.IsZero() {
		u.noServerSince = now
	}
	if !now.Before(u.noServerSince.Add(u.serverWait())) {
		e := result.New(result.NoServer, "no engine for %s in %s", u.job.Version, u.serverWait())
		e.Cause = u.lastRefusal
		e.NotRun = u.notRun()
		return e.WithRetryAt(now.Add(time.Second))
	}
	u.recordStep("wait", "no engine can take the work", Connection{})
	u.retryAt = now.Add(u.backoff)
	u.backoff = min(2*u.backoff, maxBackoff)
	u.tried = u.tried[:0]
	for _, c := range u.live {
		u.markTried(c.Server)
	}
	return nil
}

// notRun reports whether it is proved that no engine has run the generation.
func (u *run) notRun() bool { return u.gen.Next() == 0 && u.attempts == u.refusals }

func (u *run) markTried(id ServerID) {
	if !contains(u.tried, id) {
		u.tried = append(u.tried, id)
	}
}

// startAttempt starts an attempt that attaches to the server's stream, or starts a
// new one if stream is empty. The first token is expected within firstTokenIn.
func (u *run) startAttempt(ctx context.Context, s Server, stream StreamID, firstTokenIn time.Duration, reason string) {
	now := time.Now()
	c := &conn{
		Connection:     u.gen.AddAttempt(s.ID, u.job.Request, stream),
		server:         s,
		attach:         stream != "",
		startedAt:      now,
		firstTokenBy:   now.Add(max(firstTokenIn, 0)),
		reservedTokens: u.prefillTokens() + u.job.MaxTokens - u.gen.Next(),
	}
	c.probed = c.attach
	u.attempts++
	u.live = append(u.live, c)
	u.Pool.Reserve(s.ID, c.reservedTokens)
	u.recordStep(attemptKind(c.attach), reason, c.Connection)
	actx, stop := context.WithCancel(ctx)
	c.cancel = stop
	actx, c.span = u.startSpan(actx, c, reason)
	go u.forward(actx, c, u.startRequest(c))
}

func attemptKind(attach bool) string {
	if attach {
		return "attach"
	}
	return "start"
}

func (u *run) startRequest(c *conn) Start {
	s := Start{
		Stream:    c.Stream,
		Request:   u.job.Request,
		Attempt:   c.Attempt,
		Version:   u.job.Version,
		Adapter:   u.job.Adapter,
		Prompt:    u.job.Prompt,
		Prefix:    u.gen.Text(),
		Offset:    u.gen.Next(),
		MaxTokens: u.job.MaxTokens,
		Seed:      u.job.Seed,
		Priority:  u.job.Priority,
	}
	if s.Offset > 0 {
		s.Priority = PriorityResumed
	}
	return s
}

func (u *run) find(a Attempt) *conn {
	for _, c := range u.live {
		if c.Attempt == a {
			return c
		}
	}
	return nil
}

// drop ends a live attempt. If cancel is set, it also cancels the engine's stream,
// unless another live attempt reads it.
func (u *run) drop(c *conn, cancel bool) {
	for i, x := range u.live {
		if x == c {
			u.live = append(u.live[:i], u.live[i+1:]...)
			break
		}
	}
	u.gen.Fence(c.Attempt)
	c.cancel()
	c.span.End()
	u.Pool.Release(c.Server, c.reservedTokens)
	if cancel && !u.hasReader(c.Stream) {
		now := time.Now()
		u.Canceller.Cancel(c.server, c.Connection, now, now.Add(cancelRetryTime))
	}
}

func (u *run) hasReader(s StreamID) bool {
	for _, c := range u.live {
		if c.Stream == s {
			return true
		}
	}
	return false
}

// dropStream drops every live attempt that reads the stream.
func (u *run) dropStream(s StreamID, cancel bool) {
	for i := len(u.live) - 1; i >= 0; i-- {
		if u.live[i].Stream == s {
			u.drop(u.live[i], cancel)
		}
	}
}

// close drops the live attempts after the run ended with err and cancels their
// streams, after the resume grace if the caller may reconnect. If err is Superseded,
// the streams are not cancelled: a later connection of the caller reads them.
func (u *run) close(ctx context.Context, err error) {
	notBefore := time.Now()
	code := result.CodeOf(err)
	if code == result.CallerGone || code == result.Stopping || context.Cause(ctx) == context.Canceled {
		notBefore = notBefore.Add(u.resumeGrace())
	}
	live := append([]*conn(nil), u.live...)
	for _, c := range live {
		u.drop(c, false)
		if err != nil && code != result.Superseded {
			u.Canceller.Cancel(c.server, c.Connection, notBefore, notBefore.Add(cancelRetryTime))
		}
	}
}

func (u *run) recordStep(event, reason string, c Connection) {
	if u.OnStep == nil {
		return
	}
	u.OnStep(Step{
		At:      time.Now(),
		Request: u.job.Request,
		Event:   event,
		Reason:  reason,
		Server:  c.Server,
		Attempt: c.Attempt,
		Offset:  u.gen.Next(),
	})
}
