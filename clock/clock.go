// Package clock waits for instants.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d. It returns ctx's error if ctx ends first, and at once if
// d is not above 0.
//
// It sets no timer for a past instant: such a timer crashes the race detector in
// a [testing/synctest] bubble (Go 1.26).
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	due, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-due.Done()
	return ctx.Err()
}

// Until waits until at. It returns ctx's error if ctx ends first.
func Until(ctx context.Context, at time.Time) error {
	return Sleep(ctx, time.Until(at))
}
