package telemetry

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"quetzalhold/clock"
)

// Guard calls f and returns its error. A panic of f is logged and returned as an error, so
// that a fault in the handling of one message does not end the process.
func Guard(l *zap.Logger, what string, f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			l.Error("panic", zap.String("in", what), zap.Any("value", v), zap.Stack("stack"))
			err = fmt.Errorf("panic in %s: %v", what, v)
		}
	}()
	return f()
}

// GuardValue calls f as [Guard] does, and returns its value too.
func GuardValue[T any](l *zap.Logger, what string, f func() (T, error)) (v T, err error) {
	err = Guard(l, what, func() (err error) {
		v, err = f()
		return err
	})
	return v, err
}

// Run calls f as [Guard] does, and reports whether it has returned.
func Run(l *zap.Logger, what string, f func()) bool {
	return Guard(l, what, func() error {
		f()
		return nil
	}) == nil
}

// Go runs f in a goroutine, as [Run] does.
func Go(l *zap.Logger, what string, f func()) {
	go func() { Run(l, what, f) }()
}

// restartDelay is how long after a panic a loop is started again.
const restartDelay = 500 * time.Millisecond

// Loop runs f, which returns when its context ends, until ctx ends. After a panic, which is logged, the context of f ends
// and f is started again.
func Loop(ctx context.Context, l *zap.Logger, what string, f func(context.Context)) {
	for ctx.Err() == nil {
		running, cancel := context.WithCancel(ctx)
		returned := Run(l, what, func() { f(running) })
		cancel()
		if returned {
			return
		}
		_ = clock.Sleep(ctx, restartDelay) // the loop condition checks ctx
	}
}
