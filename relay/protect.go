package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/platform"
)

// CheckpointState is what is known of the copies of a run.
type CheckpointState struct {
	Now     time.Time
	Heard   bool      // the run generates: before, it has no memory to copy
	Running bool      // its running copy is believed to live
	CopyAt  time.Time // when the copy that was ordered was last made; zero if none
	Alive   bool      // that copy is believed to live
	Busy    bool      // an order is under way
	TriedAt time.Time // of the last order
}

// The pace of ordered copies.
const (
	// refreshAfter is the age at which a copy is brought up to date. Engines keep
	// one for some seconds.
	refreshAfter = 2 * time.Second
	// orderPause is the time between two orders that fail.
	orderPause = 500 * time.Millisecond
)

// Due reports whether a copy of the run is to be ordered now: its running copy is
// lost, and the one ordered before is missing, lost or old.
func (p CheckpointState) Due() bool {
	switch {
	case !p.Heard || p.Running || p.Busy:
		return false
	case p.Now.Sub(p.TriedAt) < orderPause:
		return false
	}
	return p.CopyAt.IsZero() || !p.Alive || p.Now.Sub(p.CopyAt) >= refreshAfter
}

// ordered is a copy made by order.
type ordered struct {
	to     backend.Choice
	handle string
	at     time.Time
	err    error
}

// protect orders a copy of the current run where one is due.
func (s *streamRun) protect(now time.Time) {
	if s.model == nil || !s.model.Checkpoints || !s.route.Resumable {
		return
	}
	r := s.cur
	p := CheckpointState{Now: now, Heard: r.heard, Running: s.copyAlive(r, now), Busy: r.ordering, TriedAt: r.orderedAt}
	if r.ordered != nil {
		p.CopyAt, p.Alive = r.ordered.at, s.alive(&r.ordered.to, r.sentAt, now)
	}
	if !p.Due() {
		return
	}
	to, ok := s.target(now)
	if !ok {
		return
	}
	r.ordering, r.orderedAt = true, now
	ctx := r.ctx
	go func() {
		m, err := s.relay.move(ctx, s.relay.controls, r.to, platform.KVMove{Run: s.msg.ask.ID, Target: to.Address})
		r.orders <- ordered{to: to, handle: m.Handle, at: now, err: err}
	}()
}

// target returns the engine for a copy of the current run: the one that has the
// last one, if it lives.
func (s *streamRun) target(now time.Time) (backend.Choice, bool) {
	if o := s.cur.ordered; o != nil && s.alive(&o.to, s.cur.sentAt, now) {
		return o.to, true
	}
	if to, ok := s.relay.copyPlace(s.job, now, slices.Concat(s.asked, s.cur.noCopy), s.cur.to.ID); ok {
		return to, true
	}
	s.cur.noCopy = nil // all were tried; some may have room by now
	return s.relay.copyPlace(s.job, now, s.asked, s.cur.to.ID)
}

// copied takes over the outcome of an order.
func (s *streamRun) copied(o ordered) {
	s.cur.ordering = false
	if o.err != nil {
		// It has no room or cannot be reached from there, though it may be from here.
		s.cur.noCopy = append(s.cur.noCopy, o.to.ID)
		s.note("copy failed", s.cur.to.ID, zap.String("copyAt", string(o.to.ID)), zap.Error(o.err))
		return
	}
	if s.cur.ordered == nil || s.cur.ordered.to.ID != o.to.ID {
		s.note("copy ordered", s.cur.to.ID, zap.String("copyAt", string(o.to.ID)), zap.String("handle", o.handle))
	}
	s.cur.ordered = &o
}

// alive reports whether a server is believed to live on as it was at since.
func (s *streamRun) alive(c *backend.Choice, since, now time.Time) bool {
	v, ok := s.relay.Pool.View(c.ID, now)
	return ok && !v.Removed && v.Start == c.Start && !v.FailedAt.After(since)
}

// stopRun makes an engine that answers probes end a run from which nothing comes:
// if only the connection was lost, the engine does not see it close. Only a move
// ends a run; the copy that it makes is not used. The order has a connection of its
// own, since kept ones may be silent too. It returns at once.
func (r *Relay) stopRun(from *run, id engine.RequestID) {
	if from.copyTo == nil {
		return
	}
	at, target := from.to, from.copyTo.Address
	go func() {
		m, err := r.move(context.Background(), r.transport, at, platform.KVMove{Run: id, Target: target, StopRun: true})
		if err == nil {
			_, _, err = r.control(context.Background(), r.transport, at, http.MethodDelete, platform.KVHandlePath(m.Handle), nil)
		}
		r.Log.Info("silent run stopped", zap.String("request", string(id)), zap.String("server", string(at.ID)), zap.Error(err))
	}()
}

// controlLimit bounds a call that is no request of a caller: milliseconds of work
// and two round trips to another region.
const controlLimit = time.Second

// move orders an engine to copy a run's memory.
func (r *Relay) move(ctx context.Context, via *http.Transport, at backend.Choice, m platform.KVMove) (platform.KVMoveResult, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return platform.KVMoveResult{}, fmt.Errorf("encode move: %w", err)
	}
	_, body, err := r.control(ctx, via, at, http.MethodPost, platform.KVMovePath, b)
	if err != nil {
		return platform.KVMoveResult{}, err
	}
	return platform.ReadKVMoveResult(body)
}

// maxControl bounds the answer to a call that is no request of a caller, in
// bytes.
const maxControl = 256 << 10

// control makes a call to a server that is no request of a caller.
func (r *Relay) control(ctx context.Context, via *http.Transport, at backend.Choice, method, path string, body []byte) (http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, fmt.Errorf("build request: %w", err)
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := via.RoundTrip(req)
	if err != nil {
		return nil, nil, fmt.Errorf("%s of %s: %w", path, at.ID, err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(io.LimitReader(resp.Body, maxControl))
	switch {
	case err != nil:
		return nil, nil, fmt.Errorf("read %s of %s: %w", path, at.ID, err)
	case resp.StatusCode != http.StatusOK:
		return nil, nil, fmt.Errorf("%s of %s: status %d", path, at.ID, resp.StatusCode)
	}
	return resp.Header, got, nil
}
