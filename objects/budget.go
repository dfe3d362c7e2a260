package objects

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"quetzalhold/result"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Priority -linecomment -output=priority_string.go

// Priority decides which calls are refused first when the call budget runs
// low.
type Priority int

// The priorities, lowest first. Routine calls are polls, which can wait;
// important calls read the configuration; urgent calls write objects, or read
// bookings or leases.
const (
	Routine   Priority = iota // routine
	Important                 // important
	Urgent                    // urgent
)

// Budget limits the rate of calls from one entry VM to the platform. Part of
// the budget is reserved for calls of higher priority, so that list calls
// never starve bookings. The zero value sets no limit.
type Budget struct {
	// Observe, if not nil, is called for each call with its priority and
	// whether the budget allowed it.
	Observe func(p Priority, allowed bool)

	limiter *rate.Limiter
}

// NewBudget returns a budget that allows perSecond calls a second on average
// and bursts of up to burst calls.
func NewBudget(perSecond float64, burst int) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// reserved is the share of the burst that calls of each priority must leave
// unused.
var reserved = [Urgent + 1]float64{Routine: 0.5, Important: 0.2, Urgent: 0}

// Take consumes one call from the budget. An urgent call waits until the
// budget allows it or ctx ends; any other call fails at once with RateExceeded
// if only the reserved part is left.
func (b *Budget) Take(ctx context.Context, p Priority) error {
	if b == nil {
		return nil
	}
	if b.limiter == nil {
		b.report(p, true)
		return nil
	}
	if p == Urgent {
		if err := b.limiter.Wait(ctx); err != nil {
			b.report(p, false)
			return result.Wrap(result.RateExceeded, err, "%s call", p).AsNotRun()
		}
		b.report(p, true)
		return nil
	}
	now := time.Now()
	left := b.limiter.TokensAt(now) - reserved[p]*float64(b.limiter.Burst())
	if left < 1 || !b.limiter.AllowN(now, 1) {
		b.report(p, false)
		return result.New(result.RateExceeded, "%s call", p).AsNotRun().WithRetryAt(now.Add(time.Second))
	}
	b.report(p, true)
	return nil
}

func (b *Budget) report(p Priority, allowed bool) {
	if b.Observe != nil {
		b.Observe(p, allowed)
	}
}
