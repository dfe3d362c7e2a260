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

// eventKind is the kind of an event of an attempt.
type eventKind int

const (
	connOpened eventKind = iota
	connToken
	connEnded
	connSuperseded
	connFailed
)

// event is sent by the goroutine that reads an attempt's stream to the run's loop.
type event struct {
	conn *conn
	kind eventKind
	data StreamEvent
	err  error
}

// forward opens the attempt's stream and sends its events to the run's loop until
// the stream ends or ctx is done.
func (u *run) forward(ctx context.Context, c *conn, s Start) {
	send := func(e event) error {
		e.conn = c
		select {
		case u.events <- e:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	err := u.readStream(ctx, c, s, send)
	if err != nil && ctx.Err() == nil {
		// An error means that the loop has ended and the event is not needed.
		_ = send(event{kind: connFailed, err: err})
	}
}

func (u *run) readStream(ctx context.Context, c *conn, s Start, send func(event) error) error {
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
		return send(event{kind: eventKindOf(kind), data: ev})
	})
}

func eventKindOf(name string) eventKind {
	switch name {
	case EventEnd:
		return connEnded
	case EventSuperseded:
		return connSuperseded
	default:
		return connToken
	}
}

// waitEvent waits for one event and handles it. It returns nil at time until if
// none arrived; if until is zero, only ctx limits the wait.
func (u *run) waitEvent(ctx context.Context, until time.Time) error {
	waitCtx := ctx
	if !until.IsZero() {
		var cancel context.CancelFunc
		waitCtx, cancel = context.WithDeadline(ctx, until)
		defer cancel()
	}
	select {
	case e := <-u.events:
		return u.handle(ctx, e)
	case <-waitCtx.Done():
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
	if !u.gen.IsLive(c.Attempt) {
		// The attempt was fenced after it sent the event: discard it.
		return nil
	}
	now := time.Now()
	if e.kind != connFailed {
		u.Pool.MarkSeen(c.Server, now)
	}
	switch e.kind {
	case connOpened:
		c.openedAt = now
		u.recordBegun(c)
		return nil
	case connToken:
		return u.handleToken(ctx, c, e.data, now)
	case connEnded:
		return u.handleEnd(ctx, c, e.data)
	case connSuperseded:
		return u.handleSuperseded(c)
	default:
		return u.handleFailure(ctx, c, e.err, now)
	}
}

// handleToken appends one token to the answer and delivers it.
func (u *run) handleToken(ctx context.Context, c *conn, ev StreamEvent, now time.Time) error {
	fenced, err := u.gen.Append(c.Attempt, ev.Offset, ev.Text)
	if err != nil {
		return u.reportViolation(c, err)
	}
	u.dropFenced(fenced)
	if u.begun[c.Stream]++; u.begun[c.Stream] >= beginTokens {
		u.recordSound()
	}
	u.updateGap(c, now)
	c.reservedTokens--
	u.Pool.Received(c.Server, 1)
	err = u.sink(ctx, Delta{Offset: ev.Offset, Text: ev.Text, From: c.Connection})
	u.recordProgress(c, time.Now())
	return err
}

// recordProgress records that a token was delivered at now, which is after the sink
// returned: the time a slow caller takes does not count as silence of the engine.
func (u *run) recordProgress(c *conn, now time.Time) {
	u.progressAt = now
	c.lastReceived = now
	c.probed = false
	u.takeovers = 0
	u.tried = u.tried[:0]
	u.retryAt = time.Time{}
	u.backoff = minBackoff
	u.noServerSince = time.Time{}
}

func (u *run) updateGap(c *conn, now time.Time) {
	if c.lastReceived.IsZero() {
		return
	}
	gap := min(now.Sub(c.lastReceived), u.policy.SuspectAfter)
	u.tokenGap += time.Duration(gapWeight * float64(gap-u.tokenGap))
}

func (u *run) handleEnd(ctx context.Context, c *conn, ev StreamEvent) error {
	fenced, err := u.gen.Finish(c.Attempt, ev.Offset, ev.Reason)
	if err != nil {
		return u.reportViolation(c, err)
	}
	u.dropFenced(fenced)
	u.recordSound()
	u.recordStep("end", string(u.gen.Finished()), c.Connection)
	return u.sink(ctx, Delta{Offset: ev.Offset, From: c.Connection, Finish: u.gen.Finished()})
}

// reportViolation records an event that would have corrupted the answer and returns
// the error that ends the run.
func (u *run) reportViolation(c *conn, err error) error {
	u.recordStep("invariant broken", err.Error(), c.Connection)
	c.span.SetStatus(codes.Error, err.Error())
	return err
}

func (u *run) dropFenced(fenced []Connection) {
	for _, f := range fenced {
		if c := u.find(f.Attempt); c != nil {
			u.recordStep("fence", "another attempt delivered first", f)
			u.drop(c, true)
		}
	}
}

// handleSuperseded handles the engine's event that a later attempt reads the stream.
// It returns an error unless that is an attempt of this run: then it belongs to a
// later connection of the caller, at this or another entry VM.
func (u *run) handleSuperseded(c *conn) error {
	u.drop(c, false)
	if u.hasReader(c.Stream) {
		return nil
	}
	return result.New(result.Superseded, "stream %s", c.Stream)
}

// handleFailure handles an attempt that failed or was refused. If only its
// connection broke, it attaches to the stream again.
func (u *run) handleFailure(ctx context.Context, c *conn, err error, now time.Time) error {
	e := result.FromError(err)
	u.recordStep("lost", e.Error(), c.Connection)
	c.span.SetStatus(codes.Error, e.Error())
	if u.lostAtBeginning(c, e) {
		u.job.Guard.RecordCrash(c.Server, c.server.Incarnation)
	}
	if isEngineFailure(e.Code) {
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
	case isRefusal(e.Code):
		u.lastRefusal = e
		u.refusals++
		u.Pool.MarkRefused(c.Server, now, e.Code == result.Draining)
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
		// The connection broke; the engine may still generate the stream.
		if IsBroken(err) {
			u.recordBegun(c)
		}
		u.drop(c, false)
		u.startAttempt(ctx, c.server, c.Stream, time.Until(c.firstTokenBy), "connection lost")
	}
	return nil
}

// isRefusal reports whether the code means that the engine did not accept the work.
func isRefusal(c result.Code) bool {
	switch c {
	case result.Overloaded, result.Draining, result.VersionMissing, result.EngineRefused, result.BadRequest, result.Internal:
		return true
	}
	return false
}

// isEngineFailure reports whether the engine answered with a failure, as opposed to
// a lost connection or a refusal for lack of capacity.
func isEngineFailure(c result.Code) bool {
	switch c {
	case result.EngineRefused, result.EngineMalformed, result.BadRequest, result.Internal:
		return true
	}
	return false
}

// startSpan starts the trace span of an attempt.
func (u *run) startSpan(ctx context.Context, c *conn, reason string) (context.Context, trace.Span) {
	t := u.Tracer
	if t == nil {
		t = noop.Tracer{}
	}
	return t.Start(ctx, "engine "+attemptKind(c.attach),
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("server", string(c.Server)),
			attribute.Int64("attempt", int64(c.Attempt)),
			attribute.Int64("offset", int64(u.gen.Next())),
			attribute.String("why", reason),
		))
}
