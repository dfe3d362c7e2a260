package engine

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"quetzalhold/result"
)

// eventKind tells what happened on an attempt.
type eventKind int

const (
	connOpened eventKind = iota
	connToken
	connEnded
	connSuperseded
	connFailed
)

// event is what an attempt's reader tells the run's loop.
type event struct {
	conn *conn
	kind eventKind
	data StreamEvent
	err  error
}

// feed opens the attempt's stream and passes on what comes until it ends.
func (u *run) feed(ctx context.Context, c *conn, s Start) {
	send := func(e event) error {
		e.conn = c
		select {
		case u.events <- e:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	err := u.read(ctx, c, s, send)
	if err != nil && ctx.Err() == nil {
		// The loop may have ended; then nobody waits for this.
		_ = send(event{kind: connFailed, err: err})
	}
}

func (u *run) read(ctx context.Context, c *conn, s Start, send func(event) error) error {
	var st *Stream
	var err error
	if c.attach {
		st, err = u.Client.Attach(ctx, c.server.Address, c.Stream, c.Attempt, s.Offset)
	} else {
		st, err = u.Client.Start(ctx, c.server.Address, s)
	}
	if err != nil {
		return err
	}
	defer st.Close()
	if err := send(event{kind: connOpened}); err != nil {
		return err
	}
	return st.Read(func(kind string, ev StreamEvent) error {
		return send(event{kind: kindOf(kind), data: ev})
	})
}

func kindOf(name string) eventKind {
	switch name {
	case EventEnd:
		return connEnded
	case EventSuperseded:
		return connSuperseded
	default:
		return connToken
	}
}

// await handles one event, or returns at instant at; zero waits for ever.
func (u *run) await(ctx context.Context, at time.Time) error {
	due := ctx
	if !at.IsZero() {
		var cancel context.CancelFunc
		due, cancel = context.WithDeadline(ctx, at)
		defer cancel()
	}
	select {
	case e := <-u.events:
		return u.handle(ctx, e)
	case <-due.Done():
	}
	switch {
	case ctx.Err() == nil:
		return nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.New(result.DeadlinePassed, "deadline at position %d", u.gen.Next())
	}
	return result.Wrap(result.CallerGone, context.Cause(ctx), "at position %d", u.gen.Next())
}

func (u *run) handle(ctx context.Context, e event) error {
	c := e.conn
	if !u.gen.Live(c.Attempt) {
		// Fenced between its send and now: heard by nobody.
		return nil
	}
	now := time.Now()
	if e.kind != connFailed {
		u.Pool.Heard(c.Server, now)
	}
	switch e.kind {
	case connOpened:
		c.openedAt = now
		return nil
	case connToken:
		return u.token(ctx, c, e.data, now)
	case connEnded:
		return u.end(ctx, c, e.data)
	case connSuperseded:
		return u.superseded(c)
	default:
		return u.failed(ctx, c, e.err, now)
	}
}

// token delivers one token.
func (u *run) token(ctx context.Context, c *conn, ev StreamEvent, now time.Time) error {
	fenced, err := u.gen.Append(c.Attempt, ev.Offset, ev.Text)
	if err != nil {
		return u.violation(c, err)
	}
	u.dropFenced(fenced)
	u.measureGap(c, now)
	c.reserved--
	u.Pool.Received(c.Server, 1)
	err = u.sink(ctx, Delta{Offset: ev.Offset, Text: ev.Text, From: c.Connection})
	u.progress(c, time.Now())
	return err
}

// progress notes that the answer went on at now, after a slow caller took it.
func (u *run) progress(c *conn, now time.Time) {
	u.progressAt = now
	c.heardAt = now
	c.probed = false
	u.takeovers = 0
	u.tried = u.tried[:0]
	u.retryAt = time.Time{}
	u.backoff = firstBackoff
	u.noServerSince = time.Time{}
}

func (u *run) measureGap(c *conn, now time.Time) {
	if c.heardAt.IsZero() {
		return
	}
	gap := min(now.Sub(c.heardAt), u.policy.SuspectAfter)
	u.gap += time.Duration(gapWeight * float64(gap-u.gap))
}

func (u *run) end(ctx context.Context, c *conn, ev StreamEvent) error {
	fenced, err := u.gen.Finish(c.Attempt, ev.Offset, ev.Reason)
	if err != nil {
		return u.violation(c, err)
	}
	u.dropFenced(fenced)
	u.note("end", string(u.gen.Finished()), c.Connection)
	return u.sink(ctx, Delta{Offset: ev.Offset, From: c.Connection, Finish: u.gen.Finished()})
}

// violation ends the answer: what came would have made it wrong.
func (u *run) violation(c *conn, err error) error {
	u.note("invariant broken", err.Error(), c.Connection)
	c.span.SetStatus(codes.Error, err.Error())
	return err
}

func (u *run) dropFenced(fenced []Connection) {
	for _, f := range fenced {
		if c := u.find(f.Attempt); c != nil {
			u.note("fence", "another attempt delivered first", f)
			u.drop(c, true)
		}
	}
}

// superseded handles an engine's word that a later attempt reads the stream:
// one of this run, or one of the caller's later connection.
func (u *run) superseded(c *conn) error {
	u.drop(c, false)
	if u.reads(c.Stream) {
		return nil
	}
	return result.New(result.Superseded, "stream %s", c.Stream)
}

// failed handles an attempt that broke or was refused.
func (u *run) failed(ctx context.Context, c *conn, err error, now time.Time) error {
	e := result.Of(err)
	u.note("lost", e.Error(), c.Connection)
	c.span.SetStatus(codes.Error, e.Error())
	if answeredFailure(e.Code) {
		u.failures++
		if u.job.OnFailure != nil {
			u.job.OnFailure(c.Server, e.Code)
		}
	}
	switch {
	case u.job.MaxFailures > 0 && u.failures >= u.job.MaxFailures && u.gen.Next() == 0:
		return result.Wrap(result.EngineRefused, e, "%d engines failed", u.failures)
	case e.Code == result.StaleAttempt && c.attach:
		u.dropStream(c.Stream, false)
		return e
	case refusedWork(e.Code):
		u.lastRefusal = e
		u.refusals++
		u.Pool.Refused(c.Server, now, e.Code == result.Draining)
		u.drop(c, false)
	case e.Code == result.StreamUnknown:
		u.dropStream(c.Stream, false)
	case e.NotRun:
		u.refusals++
		u.Pool.MarkSuspect(c.Server, now)
		u.dropStream(c.Stream, false)
	case c.probed:
		u.dropStream(c.Stream, true)
	case u.attempts >= u.policy.MaxAttempts:
		u.drop(c, true)
	default:
		// The connection broke; the stream may well go on.
		u.drop(c, false)
		u.begin(ctx, c.server, c.Stream, time.Until(c.firstBy), "connection lost")
	}
	return nil
}

// refusedWork reports whether the code says that an engine took no work.
func refusedWork(c result.Code) bool {
	switch c {
	case result.Overloaded, result.Draining, result.VersionMissing, result.EngineRefused, result.BadRequest, result.Internal:
		return true
	}
	return false
}

// answeredFailure reports whether the code is an engine's own failure at its
// work, not a lost connection or a refusal for want of room.
func answeredFailure(c result.Code) bool {
	switch c {
	case result.EngineRefused, result.EngineMalformed, result.BadRequest, result.Internal:
		return true
	}
	return false
}

// startSpan begins the span of an attempt.
func (u *run) startSpan(ctx context.Context, c *conn, why string) (context.Context, trace.Span) {
	t := u.Tracer
	if t == nil {
		t = noop.Tracer{}
	}
	return t.Start(ctx, "engine "+beginName(c.attach),
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("server", string(c.Server)),
			attribute.Int64("attempt", int64(c.Attempt)),
			attribute.Int64("offset", int64(u.gen.Next())),
			attribute.String("why", why),
		))
}
