package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"slices"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/platform"
	"quetzalhold/telemetry"
)

// CheckpointState is the state of the copies of a run's KV cache. The replica is kept up to date
// by the engine during the run; a checkpoint is made once, on request.
type CheckpointState struct {
	Now             time.Time
	Generating      bool      // the run generates; before, there is no KV cache to copy
	ReplicaAlive    bool      // the server of its replica is believed to be up
	CheckpointAt    time.Time // when the last checkpoint was made; zero if there is none
	CheckpointAlive bool      // the server of that checkpoint is believed to be up
	InProgress      bool      // a checkpoint is being made
	TriedAt         time.Time // when the last checkpoint was started
}

// The timing of checkpoints.
const (
	// checkpointMaxAge is the age at which a checkpoint is renewed. Engines keep one for some
	// seconds.
	checkpointMaxAge = 2 * time.Second
	// checkpointRetryDelay is the least time between the starts of two checkpoints, so that
	// one that fails is not repeated at once.
	checkpointRetryDelay = 500 * time.Millisecond
)

// Due reports whether to checkpoint the run now: its replica is lost, and the last checkpoint
// is missing, lost or old.
func (c CheckpointState) Due() bool {
	switch {
	case !c.Generating || c.ReplicaAlive || c.InProgress:
		return false
	case c.Now.Sub(c.TriedAt) < checkpointRetryDelay:
		return false
	}
	return c.CheckpointAt.IsZero() || !c.CheckpointAlive || c.Now.Sub(c.CheckpointAt) >= checkpointMaxAge
}

// checkpoint is the outcome of a copy of a run's KV cache to another server.
type checkpoint struct {
	server backend.Choice
	handle string
	at     time.Time
	err    error
}

// checkpointIfDue starts a checkpoint of the current run if one is due.
func (s *streamRun) checkpointIfDue(now time.Time) {
	if s.model == nil || !s.model.Checkpoints || !s.route.Resumable {
		return
	}
	r := s.cur
	if r.to.Peer || s.withoutCopies(r) {
		return
	}
	p := CheckpointState{Now: now, Generating: r.started, ReplicaAlive: s.replicaAlive(r, now), InProgress: r.checkpointing, TriedAt: r.triedAt}
	if r.checkpoint != nil {
		p.CheckpointAt, p.CheckpointAlive = r.checkpoint.at, s.serverAlive(&r.checkpoint.server, r.sentAt, now)
	}
	if !p.Due() || s.refusesNow(&r.to, now) {
		return
	}
	to, ok := s.checkpointTarget(now)
	if !ok {
		return
	}
	r.checkpointing, r.triedAt = true, now
	ctx := r.ctx
	go func() {
		var m platform.KVMoveResult
		err := telemetry.Guard(s.relay.Log, "checkpoint", func() (err error) {
			m, err = s.relay.moveCache(ctx, r.to, platform.KVMove{Run: s.msg.params.ID, Target: to.Address})
			return err
		})
		r.checkpoints <- checkpoint{server: to, handle: m.Handle, at: now, err: err}
	}()
}

// refusesNow reports whether a server has refused requests until an instant after now, or takes only
// so many: it is then asked for no reports and copies.
func (s *streamRun) refusesNow(c *backend.Choice, now time.Time) bool {
	v, ok := s.relay.Pool.View(c.ID, now)
	return ok && (now.Before(v.RetryAt) || v.Limit != backend.Unlimited)
}

// checkpointTarget returns the engine for the next checkpoint of the current run: the one that
// holds the last checkpoint, if it is up.
func (s *streamRun) checkpointTarget(now time.Time) (backend.Choice, bool) {
	if o := s.cur.checkpoint; o != nil && s.serverAlive(&o.server, s.cur.sentAt, now) {
		return o.server, true
	}
	if to, ok := s.relay.chooseCopy(s.job, now, slices.Concat(s.tried, s.cur.noCheckpoint), s.cur.to.ID); ok {
		return to, true
	}
	s.cur.noCheckpoint = nil // all were tried; some may have capacity by now
	return s.relay.chooseCopy(s.job, now, s.tried, s.cur.to.ID)
}

// checkpointDone handles the outcome of a checkpoint.
func (s *streamRun) checkpointDone(o checkpoint) {
	s.cur.checkpointing = false
	if o.err != nil {
		// The target has no capacity or can't be reached from the run's engine, though it may
		// be reachable from this entry VM.
		s.cur.noCheckpoint = append(s.cur.noCheckpoint, o.server.ID)
		s.logEvent("copy failed", s.cur.to.ID, zap.String("copyAt", string(o.server.ID)), zap.Error(o.err))
		return
	}
	if s.cur.checkpoint == nil || s.cur.checkpoint.server.ID != o.server.ID {
		s.logEvent("copy ordered", s.cur.to.ID, zap.String("copyAt", string(o.server.ID)), zap.String("handle", o.handle))
	}
	s.cur.checkpoint = &o
}

// serverAlive reports whether a server is believed to have stayed up, without a restart, from
// since until now, and accepts requests.
func (s *streamRun) serverAlive(c *backend.Choice, since, now time.Time) bool {
	v, ok := s.relay.Pool.View(c.ID, now)
	return ok && !v.Removed && !v.Draining && !now.Before(v.RetryAt) && v.Start == c.Start && !v.FailedAt.After(since)
}

// statusError is the status of a control call's answer that reports a failure.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// controlTimeout bounds a control call: milliseconds of work and two round trips to another
// region.
const controlTimeout = time.Second

// moveCache requests an engine to copy a run's KV cache to another engine. It uses a new
// connection: a kept one may carry the late answer to the move of another run.
func (r *Relay) moveCache(ctx context.Context, at backend.Choice, m platform.KVMove) (platform.KVMoveResult, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return platform.KVMoveResult{}, fmt.Errorf("encode move: %w", err)
	}
	_, body, err := r.control(ctx, r.onNew(), at, http.MethodPost, platform.KVMovePath, b)
	if err != nil {
		return platform.KVMoveResult{}, err
	}
	return platform.ReadKVMoveResult(body)
}

// maxControlAnswer bounds the answer to a control call, in bytes.
const maxControlAnswer = 256 << 10

// control makes a control call to a server, which is any call that doesn't carry a caller's
// request.
func (r *Relay) control(ctx context.Context, v via, at backend.Choice, method, path string, body []byte) (http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, fmt.Errorf("build request: %w", err)
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) {
			r.countConnection(v.purpose, c.Reused)
			if !c.Reused {
				r.connected(at.Service)
			}
		},
	}))
	resp, err := v.send(req)
	var u dialError
	if errors.As(err, &u) && !errors.Is(ctx.Err(), context.Canceled) {
		r.connectionFailed(&at)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("%s of %s: %w", path, at.ID, err)
	}
	defer resp.Body.Close()
	r.recordNotices(at, resp, time.Now())
	answer, err := readBounded(resp.Body, maxControlAnswer)
	switch {
	case err != nil:
		return nil, nil, fmt.Errorf("read %s of %s: %w", path, at.ID, err)
	case resp.StatusCode != http.StatusOK:
		return nil, nil, fmt.Errorf("%s of %s: %w", path, at.ID, statusError(resp.StatusCode))
	}
	return resp.Header, answer, nil
}
