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
	Deadline  time.Time // of the caller; zero for none
	Resume    *ResumePoint
	// OnFailure is told of each attempt that an engine answered with a failure,
	// as opposed to one that was lost; nil for nobody.
	OnFailure func(ServerID, result.Code)
	// MaxFailures is how many such attempts end a generation of which nothing
	// was delivered; 0 for no limit.
	MaxFailures int
}

// ResumePoint is where an answer that another entry VM began goes on.
type ResumePoint struct {
	Connection
	Offset    Tokens
	Text      string // the answer up to Offset
	TextKnown bool   // without it, only Connection's stream can go on
}

// Delta is one piece of an answer.
type Delta struct {
	Offset Tokens
	Text   string
	From   Connection
	Finish FinishReason // set on the last one, which has no text
}

// Sink takes the pieces of an answer in order. It blocks while the caller is
// slow, and that stops the reading from the engine.
type Sink func(context.Context, Delta) error

// Step is one entry in the history of a request.
type Step struct {
	At      time.Time `json:"at"`
	Request RequestID `json:"request"`
	Event    string    `json:"what"`
	Reason     string    `json:"why,omitempty"`
	Server  ServerID  `json:"server,omitempty"`
	Attempt Attempt   `json:"attempt,omitempty"`
	Offset  Tokens    `json:"offset"`
}

// Runner runs generations on engines and carries them over failures.
type Runner struct {
	Client    *Client
	Pool      *Pool
	Canceller *Canceller
	Chooser   Chooser
	Policy    Policy
	Domain    names.ID // of this entry VM

	// OnStep is told of each step; nil for none.
	OnStep func(Step)
	// Tracer makes a span for each attempt; nil for none.
	Tracer trace.Tracer
	// ServerWait is how long a generation waits without output for a server
	// that could go on with it.
	ServerWait time.Duration
	// ResumeGrace is how long an engine's stream is kept after the caller's
	// connection broke, for the caller to come back to any entry VM.
	ResumeGrace time.Duration
}

// The defaults of Runner, and the pace of its retries.
const (
	defaultServerWait  = 10 * time.Second
	defaultResumeGrace = 15 * time.Second
	cancelDeadline     = 60 * time.Second
	firstBackoff       = 50 * time.Millisecond
	lastBackoff        = 500 * time.Millisecond
	gapWeight          = 0.2
)

// Run runs j and hands the answer to sink, each token once and in order. It
// returns nil once the whole answer was delivered. It fails with the sink's
// error; with DeadlinePassed; with NoServer or AttemptsSpent where no engine
// could go on; with ReceivedTextNeeded where the stream of a resumed answer is
// lost and its text is not known; with Superseded where a later connection of
// the caller took the answer over; with InvariantBroken where an engine or
// this program did what would have made the answer wrong.
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
	server   Server
	attach   bool
	probed   bool
	begunAt  time.Time
	openedAt time.Time
	heardAt  time.Time
	firstBy  time.Time
	reserved Tokens
	stop     context.CancelFunc
	span     trace.Span
}

// run is one call of Runner.Run. Only its loop touches it.
type run struct {
	*Runner
	job    Job
	sink   Sink
	policy Policy
	gen    Generation
	live   []*conn // in the order of their begin
	events chan event

	promptTokens  Tokens
	startedAt     time.Time
	progressAt    time.Time
	gap           time.Duration
	attempts      int
	refusals      int // attempts that are proved not to have run
	failures      int // attempts that an engine answered with a failure
	takeovers     int
	tried         []ServerID
	retryAt       time.Time
	backoff       time.Duration
	noServerSince time.Time
	lastRefusal   error
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
		backoff:      firstBackoff,
	}
	u.gen.Version = j.Version
	u.gen.Adapter = j.Adapter
	u.gen.Seed = j.Seed
	if j.Resume != nil {
		u.gen.Resume(j.Resume.Text, j.Resume.Offset, j.Resume.Attempt.NextEpoch())
	}
	return u
}

// loop decides and acts until the generation ends.
func (u *run) loop(ctx context.Context) error {
	if u.job.Resume != nil {
		u.resume(ctx)
	}
	for u.gen.Finished() == "" {
		at, err := u.step(ctx)
		if err != nil {
			return err
		}
		if err := u.await(ctx, at); err != nil {
			return err
		}
	}
	return nil
}

// resume attaches to the stream that fed the answer at another entry VM.
func (u *run) resume(ctx context.Context) {
	c := u.job.Resume.Connection
	s, ok := u.Pool.Lookup(c.Server)
	if !ok {
		u.note("resume", "the engine is no longer listed", c)
		return
	}
	u.begin(ctx, s, c.Stream, u.policy.OpenAfter, "cursor")
}

// step acts on decisions until one says to wait, and returns until when.
func (u *run) step(ctx context.Context) (time.Time, error) {
	for {
		d := u.policy.Decide(u.view())
		switch d.Action {
		case Reattach:
			u.reattach(ctx, d)
		case NewAttempt:
			if err := u.next(ctx, d.Reason); err != nil {
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
		TokenGap:        u.gap,
		ResumeCost: min(u.policy.PrefillTime(u.prefill()), u.policy.Resume/2),
		Attempts:   u.attempts,
		Takeovers:  u.takeovers,
		RetryAt:    u.retryAt,
	}
	if len(u.live) == 0 {
		return v
	}
	c := u.live[len(u.live)-1]
	v.Newest = &ConnectionView{
		Connection:    c.Connection,
		BegunAt:       c.begunAt,
		OpenedAt:      c.openedAt,
		LastReceived:       c.heardAt,
		FirstBy:       c.firstBy,
		Probed:        c.probed,
		ServerHeardAt: u.Pool.LastSeen(c.Server),
	}
	return v
}

// prefill returns how much a new attempt has to read.
func (u *run) prefill() Tokens { return u.promptTokens + u.gen.Next() }

// reattach reads the target's stream on a new connection.
func (u *run) reattach(ctx context.Context, d Decision) {
	c := u.find(d.Target.Attempt)
	c.probed = true
	u.begin(ctx, c.server, c.Stream, time.Until(c.firstBy), d.Reason.String())
}

// next starts an attempt on another server, or notes that there is none.
func (u *run) next(ctx context.Context, why Reason) error {
	now := time.Now()
	if u.job.Resume != nil && !u.job.Resume.TextKnown {
		return result.New(result.ReceivedTextNeeded, "stream %s is lost at position %d",
			u.job.Resume.Stream, u.gen.Next())
	}
	if u.gen.Next() >= u.job.MaxTokens {
		return u.finishAtLimit(ctx)
	}
	for _, c := range u.live {
		u.avoid(c.Server)
		u.Pool.MarkSuspect(c.Server, now)
	}
	all := u.Pool.Candidates(LoadedModel{u.job.Version, u.job.Adapter}, BlockHashes(u.job.Prompt))
	need := Requirements{Now: now, Domain: u.Domain, Prefill: u.prefill(), Exclude: u.tried}
	choice, ok := u.Chooser.Choose(need, all)
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
	u.avoid(s.ID)
	u.begin(ctx, s, "", 2*choice.Cost+u.policy.FirstTokenSlack, why.String())
	return nil
}

// finishAtLimit ends an answer that has all its tokens but lost its engine
// before the end was said.
func (u *run) finishAtLimit(ctx context.Context) error {
	c := u.gen.Begin("", u.job.Request, "")
	if _, err := u.gen.Finish(c.Attempt, u.gen.Next(), FinishLength); err != nil {
		return err
	}
	return u.sink(ctx, Delta{Offset: u.gen.Next(), From: c, Finish: FinishLength})
}

// noServer waits for a server, or gives up once that took too long.
func (u *run) noServer(now time.Time) error {
	if u.noServerSince.IsZero() {
		u.noServerSince = now
	}
	if !now.Before(u.noServerSince.Add(u.serverWait())) {
		e := result.New(result.NoServer, "no engine for %s in %s", u.job.Version, u.serverWait())
		e.Cause = u.lastRefusal
		e.NotRun = u.gen.Next() == 0 && u.attempts == u.refusals
		return e.At(now.Add(time.Second))
	}
	u.note("wait", "no engine can take the work", Connection{})
	u.retryAt = now.Add(u.backoff)
	u.backoff = min(2*u.backoff, lastBackoff)
	u.tried = u.tried[:0]
	for _, c := range u.live {
		u.avoid(c.Server)
	}
	return nil
}

func (u *run) avoid(id ServerID) {
	if !excluded(u.tried, id) {
		u.tried = append(u.tried, id)
	}
}

// begin starts an attempt: on the server's existing stream, or on a new one if
// stream is empty. The first token is expected within first.
func (u *run) begin(ctx context.Context, s Server, stream StreamID, first time.Duration, why string) {
	now := time.Now()
	c := &conn{
		Connection: u.gen.Begin(s.ID, u.job.Request, stream),
		server:     s,
		attach:     stream != "",
		begunAt:    now,
		firstBy:    now.Add(max(first, 0)),
		reserved:   u.prefill() + u.job.MaxTokens - u.gen.Next(),
	}
	c.probed = c.attach
	u.attempts++
	u.live = append(u.live, c)
	u.Pool.Reserve(s.ID, c.reserved)
	u.note(beginName(c.attach), why, c.Connection)
	actx, stop := context.WithCancel(ctx)
	c.stop = stop
	actx, c.span = u.startSpan(actx, c, why)
	go u.feed(actx, c, u.startMessage(c))
}

func beginName(attach bool) string {
	if attach {
		return "attach"
	}
	return "start"
}

func (u *run) startMessage(c *conn) Start {
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

// drop ends a live attempt. With cancel, its stream at the engine is ended
// too, unless another live attempt reads it.
func (u *run) drop(c *conn, cancel bool) {
	for i, x := range u.live {
		if x == c {
			u.live = append(u.live[:i], u.live[i+1:]...)
			break
		}
	}
	u.gen.Fence(c.Attempt)
	c.stop()
	c.span.End()
	u.Pool.Release(c.Server, c.reserved)
	if cancel && !u.reads(c.Stream) {
		now := time.Now()
		u.Canceller.Cancel(c.server, c.Connection, now, now.Add(cancelDeadline))
	}
}

func (u *run) reads(s StreamID) bool {
	for _, c := range u.live {
		if c.Stream == s {
			return true
		}
	}
	return false
}

// dropStream drops every attempt on a stream.
func (u *run) dropStream(s StreamID, cancel bool) {
	for i := len(u.live) - 1; i >= 0; i-- {
		if u.live[i].Stream == s {
			u.drop(u.live[i], cancel)
		}
	}
}

// close ends what is left when the run ends with err. Streams are kept for a
// while if the caller may come back for them.
func (u *run) close(ctx context.Context, err error) {
	from := time.Now()
	code := result.CodeOf(err)
	if code == result.CallerGone || code == result.Stopping || context.Cause(ctx) == context.Canceled {
		from = from.Add(u.resumeGrace())
	}
	live := append([]*conn(nil), u.live...)
	for _, c := range live {
		u.drop(c, false)
		if err != nil && code != result.Superseded {
			u.Canceller.Cancel(c.server, c.Connection, from, from.Add(cancelDeadline))
		}
	}
}

func (u *run) note(what, why string, c Connection) {
	if u.OnStep == nil {
		return
	}
	u.OnStep(Step{
		At:      time.Now(),
		Request: u.job.Request,
		Event:    what,
		Reason:     why,
		Server:  c.Server,
		Attempt: c.Attempt,
		Offset:  u.gen.Next(),
	})
}
