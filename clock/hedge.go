package clock

import (
	"context"
	"time"
)

// Hedge calls f every interval, at most n times, until a call succeeds. It fails with a call that
// fails while no other one is pending, or after all n have been started. Calls that are no longer
// needed are cancelled.
func Hedge[T any](ctx context.Context, interval time.Duration, n int, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		value T
		err   error
	}
	outcomes := make(chan outcome, n)
	started, pending := 0, 0
	start := func() {
		started, pending = started+1, pending+1
		go func() {
			v, err := f(ctx)
			outcomes <- outcome{value: v, err: err}
		}()
	}
	start()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case o := <-outcomes:
			if pending--; o.err == nil || pending == 0 || started == n {
				return o.value, o.err
			}
		case <-ticker.C:
			if started < n {
				start()
			}
		}
	}
}
