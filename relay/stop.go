package relay

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"quetzalhold/platform"
	"quetzalhold/telemetry"
)

// ending is how a run ended. The zero value is a run that goes on.
type ending struct {
	failed  bool        // by itself, or its output was wrong
	stopped atomic.Bool // its server was told to stop and did
	// reused is set once the stream was sent to the run's server again: an order to stop would end the
	// new run.
	reused atomic.Bool
}

// over reports whether the run is known to have been stopped, by this entry VM, at a server that
// worked on it. That its connection was closed does not show it: the connection may be silent.
func (e *ending) over() bool { return !e.failed && e.stopped.Load() }

// The orders to stop a run.
const (
	// stopRetryDelay is the time between two orders. Engines may work on a run for 400 ms after its
	// stream has gone on elsewhere.
	stopRetryDelay = 200 * time.Millisecond
	// stopLimit is how long orders are repeated: longer than an engine takes to begin most runs.
	stopLimit = 5 * time.Second
)

// afterStop returns whether a run is stopped after the answer to an order, and whether to repeat the
// order. Engines don't know runs that have not begun, and forget those that have ended.
func afterStop(err error, began bool) (stopped, again bool) {
	var status statusError
	switch {
	case err == nil:
		return true, false
	case errors.Is(err, syscall.ECONNREFUSED):
		return false, false // the engine has ended
	case errors.As(err, &status) && status == http.StatusNotFound:
		return began, !began
	}
	return false, true
}

// stopRun tells the engine of a run to stop whose stream goes on at another engine, or may do so at
// another entry VM if next is nil. It returns at once. The engine may not see that the connection is closed, or go
// on regardless. Only a move ends a run, so stopRun orders one, to the run's replica or to the other
// engine, and deletes the copy that it makes. The order is repeated until the run is known to be over.
func (s *streamRun) stopRun(from, next *run) {
	var target string
	switch {
	case from.done || from.to.Peer: // another entry VM stops it
	case from.replica != nil:
		target = from.replica.Address
	case next != nil && !next.to.Peer && !sameStart(&from.to, &next.to):
		target = next.to.Address
	}
	if target == "" {
		return
	}
	began, until := from.started, earlier(s.deadline, time.Now().Add(stopLimit))
	go func() {
		orders := 0
		err := telemetry.Guard(s.relay.Log, "stop of a run", func() (err error) {
			for again := true; again; {
				orders++
				if again, err = s.orderStop(from, target, began); again && !s.awaitStop(from, until) {
					break
				}
			}
			return err
		})
		s.relay.Log.Info("silent run stopped", zap.String("request", string(s.msg.params.ID)), zap.String("server", string(from.to.ID)),
			zap.Bool("stopped", from.ending.stopped.Load()), zap.Int("orders", orders), zap.Error(err))
	}()
}

// orderStop orders an engine to stop a run. It reports whether to repeat the order. The request uses a
// new connection, since kept ones may be silent too.
func (s *streamRun) orderStop(from *run, target string, began bool) (again bool, err error) {
	r, ctx := s.relay, context.Background()
	m, err := r.moveCache(ctx, from.to, platform.KVMove{Run: s.msg.params.ID, Target: target, StopRun: true})
	if err == nil {
		from.ending.stopped.Store(true)
		_, _, err = r.control(ctx, r.onNew(), from.to, http.MethodDelete, platform.KVHandlePath(m.Handle), nil)
		return false, err
	}
	stopped, again := afterStop(err, began)
	from.ending.stopped.Store(stopped)
	return again, err
}

// awaitStop waits until the next order to stop a run. It reports false if none is needed.
func (s *streamRun) awaitStop(from *run, until time.Time) bool {
	time.Sleep(stopRetryDelay)
	now := time.Now()
	v, ok := s.relay.Pool.View(from.to.ID, now)
	if !now.Before(until) || !ok || v.Start != from.to.Start || from.ending.reused.Load() {
		return false
	}
	rep, err := s.relay.Report(context.Background(), from.to)
	if err != nil {
		return true // the next order shows whether the engine is reached
	}
	_, known := rep.Events[s.msg.params.ID]
	return known || rep.Waiting+rep.Prefilling > 0
}
