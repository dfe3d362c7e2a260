// Package clock waits for durations and points in time.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d and returns nil, or returns ctx's error if ctx ends first. If
// d <= 0, it returns ctx's error or nil at once.
//
// It sets no timer for an instant in the past: in a [testing/synctest] bubble such
// a timer crashes the race detector (Go 1.26).
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-timer.Done()
	return ctx.Err()
}

// Until waits until at and returns nil, or returns ctx's error if ctx ends first.
func Until(ctx context.Context, at time.Time) error {
	return Sleep(ctx, time.Until(at))
}
