// Package relay forwards callers' requests to backend servers and their answers to the
// callers. The types that decide ([Retrier], [Detector]) do no I/O.
package relay

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"quetzalhold/admit"
	"quetzalhold/backend"
	"quetzalhold/connlimit"
	"quetzalhold/cost"
	"quetzalhold/engine"
	"quetzalhold/http1"
	"quetzalhold/names"
	"quetzalhold/platform"
	"quetzalhold/quarantine"
	"quetzalhold/result"
	"quetzalhold/routing"
	"quetzalhold/serverconn"
)

// Relay is the HTTP handler that forwards callers' requests. Create it with [New]; the
// exported fields are set before the first request.
type Relay struct {
	// ID names this entry VM to others.
	ID string
	// Domain is this entry VM's failure domain.
	Domain names.ID
	// Region returns a failure domain's region.
	Region func(names.ID) names.ID
	// Pool holds the backend servers.
	Pool *backend.Pool
	// Table returns the current configuration; nil while there is none.
	Table func() *routing.Table
	// Ready is closed when a configuration and servers are known for the first time; nil if
	// requests don't wait for that.
	Ready <-chan struct{}
	// Budget returns the retry budget of a service.
	Budget func(routing.ServiceName) *backend.RetryBudget
	// Allowed returns a function that reports which versions may serve a request; nil allows
	// all. again is set for a call that was sent to a server before.
	Allowed func(service routing.ServiceName, route routing.RouteName, id engine.RequestID, again bool) func(engine.Version) bool
	// Sending reports whether a request may still be sent to a server, just before it is; nil allows all.
	Sending func(to backend.Choice, route routing.RouteName) bool
	// Sent is called after a request for which Sending was called at some instant: reached if the server has
	// responded, and unsent if nothing was sent. May be nil.
	Sent func(to backend.Choice, route routing.RouteName, at time.Time, reached, unsent bool)
	// Restarted is called when a restarted server answers at the address of a known one; may
	// be nil.
	Restarted func(backend.Choice)
	// Hung is called when a server is found that accepts requests but does not work on them;
	// may be nil.
	Hung func(backend.Choice)
	// Leaving is called when a server's answer says for the first time that it is leaving; may
	// be nil.
	Leaving func(backend.Choice)
	// LimitChanged is called when a server's answer shows that its limit has changed; may be nil.
	LimitChanged func(backend.RateLimit)
	// Quarantine holds what crashes servers.
	Quarantine *quarantine.List
	// QuarantineChanged is called when a request has added a crash to Quarantine or cleared one;
	// may be nil.
	QuarantineChanged func()
	// ClaimTrial reports whether this entry VM may send a blocked request as the trial; nil if no
	// trials are made.
	ClaimTrial func(context.Context, quarantine.Crash) bool
	// Helper picks another entry VM that may serve requests while this one reaches no servers, other
	// than those already tried. Nil if there are none.
	Helper func(tried []engine.ServerID) (backend.Choice, bool)
	// HelperFailed is called when an entry VM did not serve a request that was handed to it; may be
	// nil.
	HelperFailed func(engine.ServerID)
	// Closing reports whether callers' connections are closed after their next answer; may be
	// nil.
	Closing func() bool
	// Draining reports whether the entry VM ends so soon that new streams are refused; may be nil.
	Draining func() bool
	// StopAt returns when the requests in flight are broken off, as the entry VM stops; zero if it does
	// not. May be nil.
	StopAt func() time.Time
	// Ended is called for each request that ended; may be nil. attempts is how many servers may have run
	// it.
	Ended func(service routing.ServiceName, c result.Code, took time.Duration, attempts int)
	// StreamSent is called for each stream sent to an engine, with the reason; may be nil.
	StreamSent func(why string)
	// Connection is called for each connection to a server that was opened, or used again; may be nil.
	Connection func(p serverconn.Purpose, reused bool)
	// StreamWaits is called when a stream begins to wait before it is sent. May be nil.
	StreamWaits func()
	// StreamWaited is called for each stream that has waited, and StreamRejected for each that was rejected
	// because of the wait. May be nil.
	StreamWaited   func(routing.ServiceName, admit.Rank, time.Duration)
	StreamRejected func(routing.ServiceName, admit.Rank, admit.Reason)
	// Answered is called with what is known of the answer to a request that was sent to a server, once for each, and twice
	// if it was Late; may be nil.
	Answered func(ServerAnswer)
	// SlowAfter returns the time after which an answer counts as slow, while a version move is judged by the answers of the
	// service. May be nil.
	SlowAfter func(routing.ServiceName, routing.RouteName) (time.Duration, bool)
	// Tracer starts a span for each request, with the decisions about it as events; nil for
	// none.
	Tracer trace.Tracer
	// BodyMemory is the memory for large bodies of requests that are held at once, in bytes; 0 for no limit.
	BodyMemory int64
	// UnfinishedBodies is the maximum number of bodies of requests that arrive at once; 0 for no limit.
	UnfinishedBodies int
	// AnswerMemory is the memory for the beginnings of long answers that are held at once, in bytes; 0 for no limit.
	AnswerMemory int64
	// Costs learns what requests cost and how fast servers are.
	Costs *cost.Book
	// Detector detects failed streams.
	Detector Detector
	Log      *zap.Logger

	admission        admission
	stats            StreamStats
	calls            CallStats
	reach            reaches
	routeIDs         routeIDs
	bodies           connlimit.Bodies
	answers          bodyMemory
	takings          takings
	backlogs         backlogs
	checkReach       chan struct{} // wakes WatchReach up
	trying           chan struct{} // full while servers are tried for cutOffSince
	taken            atomic.Int64  // requests of other entry VMs in flight
	dial             engine.Dialer
	transport        *http1.Transport // for requests
	controlTransport *http1.Transport // for control calls, such as load reports
	kept             *serverconn.Pool // nil if connections are not kept
	recent           recentReports
	exchanges        exchanges
	lossChecks       lossChecks
	logMalformed     sync.Once
}

// ServerAnswer is the result of a request at a server.
type ServerAnswer struct {
	Service routing.ServiceName
	Route   routing.RouteName
	Server  engine.ServerID
	Version engine.Version
	Failed  bool // the server answered with a failure, or has broken its answer off and is alive
	// First is the time to the answer, or to a stream's first event. Gap is the mean time
	// between events. Both are 0 for failures.
	First, Gap time.Duration
	// Partial reports whether the answer was given up before it ended. First is then the least
	// that it would have been, and Gap is 0 if there were too few events.
	Partial bool
	// Late reports whether the request was reported before as one that takes longer than usual.
	Late bool
	// Hung reports whether the server did not work on the request at all.
	Hung bool
}

// New returns a relay that dials with d, or with a net.Dialer if d is nil. Its exported fields
// are left to the caller.
func New(d engine.Dialer) *Relay {
	if d == nil {
		d = (&net.Dialer{}).DialContext
	}
	return &Relay{checkReach: make(chan struct{}, 1), trying: make(chan struct{}, 1), Quarantine: &quarantine.List{}, Costs: &cost.Book{}, Log: zap.NewNop(), dial: d, transport: http1.New(newTransport(d)), controlTransport: newControlTransport(d)}
}

// CloseIdle closes idle connections.
func (r *Relay) CloseIdle() {
	r.controlTransport.CloseIdleConnections()
	if r.kept != nil {
		r.kept.CloseIdle()
	}
}

// job is a caller's request being served.
type job struct {
	relay        *Relay
	msg          *message
	route        *routing.Route
	service      routing.ServiceName
	model        *routing.Model
	healthPath   string // of the health check of the service; empty for none
	organisation routing.Organisation
	priority     routing.Priority
	version      routing.Version // of the configuration in use when it was admitted
	tokens       engine.Tokens   // KV cache that it takes at an engine
	reportAge    time.Duration   // of a load report that may serve its placement; 0 for the default
	fingerprint  quarantine.Fingerprint
	parts        []quarantine.Suspect // parts of its prompt that other requests may have too
	sound        bool                 // a server was past the beginning of the answer
	trials       []quarantine.Suspect // those of which its last send is a trial
	claimed      []quarantine.Suspect // trials of its first send, claimed by the entry VM from which it was taken
	arrival      connlimit.Body       // its body
	unread       io.Reader            // the rest of a body for which there is no room; nil for none
	startedAt    time.Time
	deadline     time.Time
	sends        int
	only         []engine.ServerID // servers to which it may be sent; nil for all
	copyOnly     []engine.ServerID // servers preferred for copies of its KV cache; nil for all
	span         trace.Span        // nil if requests are not traced
	from         string            // the entry VM from which the request was taken; empty if it came from a caller
	takenAs      HandoverID        // empty if it can't be recalled
	copy         *AdmittedCopy     // of the run that a request taken from another entry VM continues
	helpers      []engine.ServerID // entry VMs to which it was handed
	tried        []engine.ServerID // servers not to be tried again, as far as there are others
	dryRun       bool              // it is only explained, and never sent
	statesSpent  bool              // the answer states the attempts spent, to the entry VM from which it was taken
	spent        func() Spent      // returns the attempts spent so far; nil before the first
}

// trace starts the request's span, as a child of the caller's if it has one.
func (j *job) trace() {
	if j.relay.Tracer == nil {
		return
	}
	ctx := propagation.TraceContext{}.Extract(j.msg.Context(), propagation.HeaderCarrier(j.msg.Header))
	_, j.span = j.relay.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer), trace.WithTimestamp(j.startedAt))
}

// logEvent logs a decision about the request and adds it to the span.
func (j *job) logEvent(what string, server engine.ServerID, fields ...zap.Field) {
	if j.span != nil {
		j.span.AddEvent(what, trace.WithAttributes(attribute.String("server", string(server)), attribute.Int("sends", j.sends)))
	}
	takenFrom := zap.Skip()
	if j.from != "" {
		takenFrom = zap.String("takenFrom", j.from)
	}
	j.relay.Log.Info(what, append([]zap.Field{
		zap.String("request", string(j.msg.params.ID)),
		zap.String("server", string(server)),
		zap.Int("sends", j.sends),
		zap.Duration("after", time.Since(j.startedAt)),
		takenFrom,
	}, fields...)...)
}

// end reports and logs how the request ended, and ends its span.
func (j *job) end(c result.Code, server engine.ServerID, fields ...zap.Field) {
	took := time.Since(j.startedAt)
	attempts := 0
	if j.spent != nil {
		attempts = j.spent().Attempts
	}
	if j.relay.Ended != nil {
		j.relay.Ended(j.service, c, took, attempts)
	}
	j.logEvent("request ended", server, append([]zap.Field{
		zap.Int("attempts", attempts),
		zap.Int("permitted", j.route.MaxAttempts),
		zap.String("route", string(j.route.Name)),
		zap.Int64("configuration", int64(j.version)),
		zap.Int("code", int(c)),
	}, fields...)...)
	if j.span == nil {
		return
	}
	j.span.SetAttributes(attribute.String("request", string(j.msg.params.ID)), attribute.String("service", string(j.service)),
		attribute.String("route", string(j.route.Name)), attribute.Int64("configuration", int64(j.version)), attribute.String("code", c.String()))
	if c != result.OK {
		j.span.SetStatus(codes.Error, c.String())
	}
	j.span.End()
}

// The delays that refused callers are told to wait before they retry.
const (
	// retryDelay is for conditions that pass quickly: a server without capacity, or an entry
	// VM that is starting.
	retryDelay = 300 * time.Millisecond
	// retrySpread is the time over which the returns of callers are spread that are refused
	// together.
	retrySpread = 300 * time.Millisecond
)

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	j := &job{relay: r, startedAt: time.Now(), route: &routing.Route{}, msg: &message{Request: req}}
	j.trace()
	defer j.releaseBody()
	if err := r.admit(w, j); err != nil {
		j.limitUnread(w)
		r.refuse(w, j, err)
		return
	}
	if j.route.Kind == routing.Stream && r.Draining != nil && r.Draining() {
		r.refuse(w, j, result.New(result.Stopping, "no time for a new stream").AsNotRun().WithRetryAt(time.Now().Add(retryDelay)))
		return
	}
	if j.route.Kind != routing.Stream && r.stopsBeforeEnd(j) {
		r.refuse(w, j, result.New(result.Stopping, "no time for a call").AsNotRun().WithRetryAt(time.Now()))
		return
	}
	r.Budget(j.service).Request(j.startedAt)
	if j.route.Kind == routing.Stream {
		r.serveStream(w, j)
		return
	}
	r.servePlain(w, j)
}

// callMargin is how much longer than the recent calls of its route a call may take.
const callMargin = 200 * time.Millisecond

// stopsBeforeEnd reports whether the entry VM stops before a call is likely to be answered. Its server may
// then have run it although the caller gets no answer.
func (r *Relay) stopsBeforeEnd(j *job) bool {
	if r.StopAt == nil {
		return false
	}
	at := r.StopAt()
	if at.IsZero() {
		return false
	}
	usual, ok := r.calls.Longest(j.route.Name)
	if !ok {
		usual = j.route.LatencyTarget
	}
	return time.Now().Add(usual + callMargin).After(at)
}

// admit reads the request, finds its route and caller, and checks whether it may run. Its
// errors are final for the caller; nothing was run.
func (r *Relay) admit(w http.ResponseWriter, j *job) error {
	params, err := platform.ReadRequest(j.msg.Header)
	if err != nil {
		return result.Wrap(result.BadRequest, err, "headers").AsNotRun()
	}
	j.msg.params = params
	r.awaitReady(j.msg.Context(), readyWait(params.TimeLeft))
	t, err := j.resolve()
	if err != nil {
		return err
	}
	if err := j.readBody(w, t.Limits); err != nil {
		return err
	}
	j.parts = quarantine.Parts(params.SharedParts())
	j.fingerprint = quarantine.NewFingerprint(j.organisation, j.msg.Method, j.msg.target(), j.msg.body)
	return nil
}

// resolve finds the request's route, caller and service in the configuration in force, which it returns.
func (j *job) resolve() (*routing.Table, error) {
	t := j.relay.Table()
	if t == nil {
		return nil, result.New(result.NoConfiguration, "no configuration yet").AsNotRun().WithRetryAt(time.Now().Add(retryDelay))
	}
	j.version = t.Version
	route, ok := t.Select(hostName(j.msg.Host), routing.PathOf(j.msg.Request))
	if !ok {
		return nil, result.New(result.UnknownPath, "no route").AsNotRun()
	}
	j.route, j.msg.route = route, route.Name
	if err := j.identify(t); err != nil {
		return nil, err
	}
	j.service = route.Service(j.msg.params.ID)
	if s, ok := t.Service(j.service); ok {
		j.model, j.healthPath = s.Model, s.HealthPath
	}
	j.tokens = j.msg.params.PromptTokens + j.msg.params.AnswerTokens
	j.setDeadline()
	return t, nil
}

// isOver reports whether the caller has left or the request's time is over: an answer that is missing then says nothing
// of its server.
func (j *job) isOver() bool { return j.msg.Context().Err() != nil || !time.Now().Before(j.deadline) }

// setDeadline sets the request's deadline from the time that the caller has left and its route.
func (j *job) setDeadline() {
	j.deadline = j.startedAt.Add(defaultTimeout)
	for _, d := range []time.Duration{j.msg.params.TimeLeft, j.route.Timeout} {
		if at := j.startedAt.Add(d); d > 0 && at.Before(j.deadline) {
			j.deadline = at
		}
	}
}

// How long requests wait after the start for a configuration and servers: for a share of the time
// that the caller has left. They arrive within milliseconds if the store or another entry VM
// answers, and callers retry only once after a refusal.
const (
	readyWaitShare = 3 // the divisor of the time left
	// maxReadyWait leaves time to meet the latency objective of a stream.
	maxReadyWait = 3 * time.Second
	// defaultReadyWait is for callers that do not state how much time they have left.
	defaultReadyWait = time.Second
)

func readyWait(left time.Duration) time.Duration {
	if left == 0 {
		return defaultReadyWait
	}
	return min(left/readyWaitShare, maxReadyWait)
}

// awaitReady waits until a configuration and servers are known, at most for limit.
func (r *Relay) awaitReady(ctx context.Context, limit time.Duration) {
	if r.Ready == nil {
		return
	}
	select {
	case <-r.Ready:
		return
	default:
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-r.Ready:
	case <-t.C:
	case <-ctx.Done():
	}
}

// defaultTimeout bounds requests for which neither caller nor route sets a timeout.
const defaultTimeout = time.Minute

// hostName returns the host without a port.
func hostName(host string) string {
	if name, _, ok := strings.Cut(host, ":"); ok {
		return name
	}
	return host
}

// identify finds the organisation that the caller belongs to and sets the request's priority.
func (j *job) identify(t *routing.Table) error {
	j.priority = j.route.Priority
	if !t.RequiresKey() || j.route.Public {
		return nil
	}
	o, ok := t.Organisation(j.msg.params.Key)
	if !ok {
		return result.New(result.UnknownKey, "configuration %d", t.Version).AsNotRun()
	}
	j.organisation = o.Name
	if o.Priority != nil {
		j.priority = *o.Priority
	}
	return nil
}

// defaultBodyBytes bounds the body of a request if the configuration does not, in bytes.
const defaultBodyBytes = 8 << 20

// readBody reads the whole body and checks the size limits.
func (j *job) readBody(w http.ResponseWriter, l routing.Limits) error {
	if l.HeaderBytes > 0 && headerBytes(j.msg.Request) > l.HeaderBytes {
		return result.New(result.HeaderTooLarge, "limit %d bytes", l.HeaderBytes).AsNotRun()
	}
	limit := cmp.Or(l.BodyBytes, defaultBodyBytes)
	body := http.MaxBytesReader(w, j.msg.Body, limit)
	// Not every ResponseWriter supports deadlines; httptest.ResponseRecorder doesn't.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(j.deadline)
	j.arrival.Cut = func() { _ = control.SetReadDeadline(time.Now()) }
	var err error
	j.msg.body, err = j.readAll(body, limit)
	if err != nil {
		j.releaseBody() // the rest may take long to arrive
	}
	var tooLarge *http.MaxBytesError
	var noRoom *result.Error
	switch {
	case errors.As(err, &noRoom):
		// Some callers read no answer before they have sent the body. Not every ResponseWriter can do this.
		_ = control.EnableFullDuplex()
		j.unread = body
		if j.relay.bodies.Rejected(&j.arrival) {
			w.Header().Set("Connection", "close")
		}
		return noRoom
	case errors.As(err, &tooLarge):
		return result.New(result.BodyTooLarge, "limit %d bytes", limit).AsNotRun()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.Wrap(result.TooLate, err, "read body").AsNotRun().WithRetryAt(time.Now().Add(retryDelay))
	case err != nil:
		return result.Wrap(result.CallerGone, err, "read body").AsNotRun()
	}
	_ = control.SetReadDeadline(time.Time{})
	return nil
}

func headerBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return int64(n)
}

// announceClose tells the caller in the head of an answer if its connection is closed after it.
func (r *Relay) announceClose(h http.Header) {
	if r.Closing != nil && r.Closing() {
		h.Set("Connection", "close")
	}
}

// refuse answers with an error of the gateway itself.
func (r *Relay) refuse(w http.ResponseWriter, j *job, err error) {
	e := result.FromError(err)
	if e.NotRun && e.Code.Info().Status == http.StatusServiceUnavailable {
		delay := retryDelay
		if !e.RetryAt.IsZero() {
			delay = max(0, time.Until(e.RetryAt))
		}
		if e.Code != result.WaitTooLong { // its delays are spread
			delay += rand.N(retrySpread)
		}
		platform.SetRetryAfter(w.Header(), delay)
	}
	to := &callerWriter{w: w}
	r.announceClose(w.Header())
	j.setError(w.Header(), e)
	j.setSpent(w.Header())
	result.Write(w, e)
	j.end(e.Code, "", zap.Bool("notRun", e.NotRun), zap.String("why", e.Error()), zap.NamedError("writeError", to.flush()))
	if j.unread != nil {
		j.discardUnread(w)
	}
}

// ErrStopping is the cancellation cause of requests in flight when the entry VM has to stop.
var ErrStopping = errors.New("entry VM stops")

// cancelError returns the reason why a request ends before its answer.
func (r *Relay) cancelError(j *job, ran bool) *result.Error {
	ctx := j.msg.Context()
	switch {
	case errors.Is(context.Cause(ctx), ErrStopping):
		return result.New(result.Stopping, "request broken off").WithRetryAt(time.Now().Add(retryDelay))
	case ctx.Err() != nil:
		return result.New(result.CallerGone, "caller left")
	case !ran:
		return result.New(result.NoServer, "no server of %s in time", j.service).AsNotRun()
	}
	return result.New(result.DeadlinePassed, "no answer in time")
}

// answerCancelled answers a request that is out of time or was cancelled.
func (r *Relay) answerCancelled(w http.ResponseWriter, j *job, ran bool) {
	e := r.cancelError(j, ran)
	switch {
	case e.Code == result.CallerGone:
		j.end(e.Code, "", zap.Bool("notRun", !ran))
		// After a plain return net/http would answer 200.
		panic(http.ErrAbortHandler)
	case e.Code == result.Stopping && ran:
		// The status of Stopping would promise that the request has not run.
		e = result.New(result.OutcomeUnknown, "entry VM stops")
	case e.Code == result.Stopping:
		e = e.AsNotRun()
	}
	r.refuse(w, j, e)
}
