package objects

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"quetzalhold/result"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Priority -linecomment -output=priority_string.go

// Priority orders calls where the call budget is short.
type Priority int

// The priorities: routine calls are polls, which can wait; important ones are
// about the configuration; urgent ones are writes, bookings and leases.
const (
	Routine   Priority = iota // routine
	Important                 // important
	Urgent                    // urgent
)

// Budget bounds the calls of one entry VM to the platform. The lower a call's
// priority, the more of the budget is kept back from it, so that lists never
// starve bookings. Its zero value has no bound.
type Budget struct {
	// Observe is told of each call, and whether the budget had room for it;
	// nil for nobody.
	Observe func(p Priority, room bool)

	limiter *rate.Limiter
}

// NewBudget returns a budget of so many calls a second and at once.
func NewBudget(perSecond float64, burst int) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// keptBack is the share of the burst that a priority must leave.
var keptBack = [Urgent + 1]float64{Routine: 0.5, Important: 0.2, Urgent: 0}

// Take takes one call off the budget. An urgent call waits for its turn until
// ctx ends; any other fails with RateExceeded if the budget is short.
func (b *Budget) Take(ctx context.Context, p Priority) error {
	if b == nil {
		return nil
	}
	if b.limiter == nil {
		b.observe(p, true)
		return nil
	}
	if p == Urgent {
		if err := b.limiter.Wait(ctx); err != nil {
			b.observe(p, false)
			return result.Wrap(result.RateExceeded, err, "%s call", p).AsNotRun()
		}
		b.observe(p, true)
		return nil
	}
	now := time.Now()
	left := b.limiter.TokensAt(now) - keptBack[p]*float64(b.limiter.Burst())
	if left < 1 || !b.limiter.AllowN(now, 1) {
		b.observe(p, false)
		return result.New(result.RateExceeded, "%s call", p).AsNotRun().WithRetryAt(now.Add(time.Second))
	}
	b.observe(p, true)
	return nil
}

func (b *Budget) observe(p Priority, room bool) {
	if b.Observe != nil {
		b.Observe(p, room)
	}
}
