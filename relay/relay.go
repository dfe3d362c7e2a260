// Package relay carries callers' requests to backend servers and the answers
// back. Decisions ([Retrier], [Detector]) do no I/O.
package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/platform"
	"quetzalhold/result"
	"quetzalhold/routing"
)

// Relay answers callers. Use [New]; the exported fields are set before the first
// request.
type Relay struct {
	// Domain is this entry VM's failure domain.
	Domain names.ID
	// Region returns a failure domain's region.
	Region func(names.ID) names.ID
	// Pool is the backend servers.
	Pool *backend.Pool
	// Table returns the configuration in force; nil while there is none.
	Table func() *routing.Table
	// Begun is closed when a configuration and servers are known for the first time;
	// nil if requests are not to wait for that.
	Begun <-chan struct{}
	// Budget returns what bounds the repeats at a service.
	Budget func(routing.ServiceName) *backend.RetryBudget
	// Allowed returns which versions may take a request; nil allows all.
	Allowed func(routing.ServiceName, engine.RequestID) func(engine.Version) bool
	// Restarted is told of a server at whose address another start answers; nil
	// for nobody.
	Restarted func(backend.Choice)
	// Hung is told of a server that accepts requests and does not work on them; nil
	// for nobody.
	Hung func(backend.Choice)
	// Closing reports whether connections are to end with their next answer.
	Closing func() bool
	// Ended is told of each request that ended; nil for nobody.
	Ended func(service routing.ServiceName, c result.Code, took time.Duration)
	// Sent is told of each stream sent to an engine, and why; nil for nobody.
	Sent func(why string)
	// Ran is told of each answer of a server, a failure too; nil for nobody.
	Ran func(ServerAnswer)
	// Tracer makes a span of each request, with its decisions as events; nil for none.
	Tracer trace.Tracer
	// Judge decides about silent streams.
	Judge Detector
	Log   *zap.Logger

	pace      StreamStats
	dial      engine.Dialer
	transport *http.Transport // for requests
	controls  *http.Transport // for reports of engines and orders to them
}

// ServerAnswer is how a server answered a request.
type ServerAnswer struct {
	Service routing.ServiceName
	Route   routing.RouteName
	Server  engine.ServerID
	Version engine.Version
	Failed  bool // it answered with a failure
	// First is the time to the answer, or to a stream's first event; Gap is the mean
	// time between events. Both are 0 for failures.
	First, Gap time.Duration
}

// ran tells of a server's answer.
func (j *job) ran(by backend.Choice, failed bool, first, gap time.Duration) {
	if j.relay.Ran != nil {
		j.relay.Ran(ServerAnswer{Service: j.service, Route: j.route.Name, Server: by.ID, Version: by.Version, Failed: failed, First: first, Gap: gap})
	}
}

// New returns a relay without its fields set that dials with d; a nil d dials as
// package net does.
func New(d engine.Dialer) *Relay {
	if d == nil {
		d = (&net.Dialer{}).DialContext
	}
	return &Relay{Log: zap.NewNop(), dial: d, transport: newTransport(d), controls: newControlTransport(d)}
}

// CloseIdle closes the connections that no call uses.
func (r *Relay) CloseIdle() { r.controls.CloseIdleConnections() }

// job is a request that was admitted.
type job struct {
	relay        *Relay
	msg          *message
	route        *routing.Route
	service      routing.ServiceName
	model        *routing.Model
	organisation routing.Organisation
	priority     routing.Priority
	version      routing.Version // of the configuration that admitted it
	tokens       engine.Tokens   // memory it takes at an engine
	begun        time.Time
	deadline     time.Time
	sends        int
	span         trace.Span // nil if requests are not traced
}

// trace begins the request's span, below the caller's if it has one.
func (j *job) trace() {
	if j.relay.Tracer == nil {
		return
	}
	ctx := propagation.TraceContext{}.Extract(j.msg.Context(), propagation.HeaderCarrier(j.msg.Header))
	_, j.span = j.relay.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer), trace.WithTimestamp(j.begun))
}

// note logs a decision about the request.
func (j *job) note(what string, server engine.ServerID, fields ...zap.Field) {
	if j.span != nil {
		j.span.AddEvent(what, trace.WithAttributes(attribute.String("server", string(server)), attribute.Int("sends", j.sends)))
	}
	j.relay.Log.Info(what, append([]zap.Field{
		zap.String("request", string(j.msg.ask.ID)),
		zap.String("server", string(server)),
		zap.Int("sends", j.sends),
		zap.Duration("after", time.Since(j.begun)),
	}, fields...)...)
}

// end logs how the request ended.
func (j *job) end(c result.Code, server engine.ServerID, fields ...zap.Field) {
	took := time.Since(j.begun)
	if j.relay.Ended != nil {
		j.relay.Ended(j.service, c, took)
	}
	j.note("request ended", server, append([]zap.Field{
		zap.String("route", string(j.route.Name)),
		zap.Int64("configuration", int64(j.version)),
		zap.Int("code", int(c)),
	}, fields...)...)
	if j.span == nil {
		return
	}
	j.span.SetAttributes(attribute.String("request", string(j.msg.ask.ID)), attribute.String("service", string(j.service)),
		attribute.String("route", string(j.route.Name)), attribute.Int64("configuration", int64(j.version)), attribute.String("code", c.String()))
	if c != result.OK {
		j.span.SetStatus(codes.Error, c.String())
	}
	j.span.End()
}

// The times after which refused callers may come back.
const (
	// comeBackSoon is for what a moment mends: a server that is full, or an entry
	// VM that starts.
	comeBackSoon = 300 * time.Millisecond
)

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	j := &job{relay: r, begun: time.Now(), route: &routing.Route{}, msg: &message{Request: req}}
	j.trace()
	if r.Closing != nil && r.Closing() {
		w.Header().Set("Connection", "close")
	}
	if err := r.admit(w, j); err != nil {
		r.refuse(w, j, err)
		return
	}
	r.Budget(j.service).Request(j.begun)
	if j.route.Kind == routing.Stream {
		r.serveStream(w, j)
		return
	}
	r.servePlain(w, j)
}

// admit finds out what a request is and whether it may run. Its errors are final
// for the caller; nothing was run.
func (r *Relay) admit(w http.ResponseWriter, j *job) error {
	ask, err := platform.ReadRequest(j.msg.Header)
	if err != nil {
		return result.Wrap(result.BadRequest, err, "headers").AsNotRun()
	}
	j.msg.ask = ask
	r.awaitBegin(j.msg.Context())
	t := r.Table()
	if t == nil {
		return result.New(result.NoConfiguration, "no configuration yet").AsNotRun().At(j.begun.Add(comeBackSoon))
	}
	j.version = t.Version
	route, ok := t.Route(hostName(j.msg.Host), j.msg.URL.Path)
	if !ok {
		return result.New(result.UnknownPath, "no route").AsNotRun()
	}
	j.route = route
	if err := j.identify(t); err != nil {
		return err
	}
	j.service = route.Service(ask.ID)
	if s, ok := t.Service(j.service); ok {
		j.model = s.Model
	}
	j.tokens = ask.PromptTokens + ask.AnswerTokens
	j.deadline = j.begun.Add(defaultTimeout)
	for _, d := range []time.Duration{ask.TimeLeft, route.Timeout} {
		if at := j.begun.Add(d); d > 0 && at.Before(j.deadline) {
			j.deadline = at
		}
	}
	return j.read(w, t.Limits)
}

// startLimit is how long requests wait for a configuration and servers after the
// start. They come in milliseconds if the store or another entry VM answers, and
// callers come back after a refusal only once.
const startLimit = time.Second

// awaitBegin waits until a configuration and servers are known.
func (r *Relay) awaitBegin(ctx context.Context) {
	if r.Begun == nil {
		return
	}
	select {
	case <-r.Begun:
		return
	default:
	}
	t := time.NewTimer(startLimit)
	defer t.Stop()
	select {
	case <-r.Begun:
	case <-t.C:
	case <-ctx.Done():
	}
}

// defaultTimeout bounds requests for which neither caller nor route says a time.
const defaultTimeout = time.Minute

// hostName returns the host without a port.
func hostName(host string) string {
	if name, _, ok := strings.Cut(host, ":"); ok {
		return name
	}
	return host
}

// identify finds the organisation that the caller belongs to.
func (j *job) identify(t *routing.Table) error {
	j.priority = j.route.Priority
	if !t.RequiresKey() || j.route.Public {
		return nil
	}
	o, ok := t.Organisation(j.msg.ask.Key)
	if !ok {
		return result.New(result.UnknownKey, "configuration %d", t.Version).AsNotRun()
	}
	j.organisation = o.Name
	if o.Priority != nil {
		j.priority = *o.Priority
	}
	return nil
}

// read reads the whole body within the limits.
func (j *job) read(w http.ResponseWriter, l routing.Limits) error {
	if l.HeaderBytes > 0 && headerBytes(j.msg.Request) > l.HeaderBytes {
		return result.New(result.HeaderTooLarge, "limit %d bytes", l.HeaderBytes).AsNotRun()
	}
	body := j.msg.Body
	if l.BodyBytes > 0 {
		body = http.MaxBytesReader(w, body, l.BodyBytes)
	}
	// Not every writer has deadlines; tests use a recorder.
	_ = http.NewResponseController(w).SetReadDeadline(j.deadline)
	var err error
	j.msg.body, err = io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return result.New(result.BodyTooLarge, "limit %d bytes", l.BodyBytes).AsNotRun()
	case err != nil:
		return result.Wrap(result.CallerGone, err, "read body").AsNotRun()
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
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

// refuse answers with an error of the system's own.
func (r *Relay) refuse(w http.ResponseWriter, j *job, err error) {
	e := result.Of(err)
	if e.NotRun && e.Code.Info().Status == http.StatusServiceUnavailable {
		back := comeBackSoon
		if !e.RetryAt.IsZero() {
			back = time.Until(e.RetryAt)
		}
		platform.SetRetryAfter(w.Header(), back)
	}
	j.end(e.Code, "", zap.Bool("notRun", e.NotRun), zap.String("why", e.Error()))
	result.Write(w, e)
}

// ErrStopping is the cause with which the context of requests ends that are under
// way when the entry VM has to stop.
var ErrStopping = errors.New("entry VM stops")

// ending returns why a request ends before its answer.
func (r *Relay) ending(j *job, ran bool) *result.Error {
	ctx := j.msg.Context()
	switch {
	case errors.Is(context.Cause(ctx), ErrStopping):
		return result.New(result.Stopping, "request broken off").At(time.Now().Add(comeBackSoon))
	case ctx.Err() != nil:
		return result.New(result.CallerGone, "caller left")
	case !ran:
		return result.New(result.NoServer, "no server of %s in time", j.service).AsNotRun()
	}
	return result.New(result.DeadlinePassed, "no answer in time")
}

// timeOut answers a request whose time is over or that cannot go on.
func (r *Relay) timeOut(w http.ResponseWriter, j *job, ran bool) {
	e := r.ending(j, ran)
	switch {
	case e.Code == result.CallerGone:
		j.end(e.Code, "", zap.Bool("notRun", !ran))
		return
	case e.Code == result.Stopping && ran:
		// Its status would promise that the request has not run.
		j.end(e.Code, "", zap.Bool("notRun", false))
		panic(http.ErrAbortHandler)
	case e.Code == result.Stopping:
		e = e.AsNotRun()
	}
	r.refuse(w, j, e)
}
