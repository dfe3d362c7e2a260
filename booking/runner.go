package booking

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"quetzalhold/clock"
	"quetzalhold/names"
	"quetzalhold/result"
)

// Booking is a call that may run at most once for its idempotency key.
type Booking struct {
	Organisation names.ID
	Service      names.ID
	Key          string    // idempotency key chosen by the caller
	Call         []byte    // method, path and body; detects a key reused for another call
	Deadline     time.Time // zero for none
}

// Runner runs bookings: it claims the record of each, runs the call if the
// claim succeeds, and stores the response. Apply must be set.
type Runner struct {
	// Apply makes a change of a record, on this entry VM or on the one that
	// owns the record's bucket.
	Apply func(context.Context, Op) (Reply, error)
	// Limits are the time limits of bookings.
	Limits Limits

	background sync.WaitGroup
}

// Limits are the time limits of bookings. Zero fields use defaults.
type Limits struct {
	Retention    time.Duration // how long a record is kept after the call's deadline
	CallTimeout  time.Duration // timeout of a call without a deadline
	ClaimTimeout time.Duration // timeout for claiming a record
}

// The defaults of Limits, and the times of retries.
const (
	defaultRetention    = time.Hour
	defaultCallTimeout  = 30 * time.Second
	defaultClaimTimeout = 3 * time.Second
	// backgroundTimeout limits how long a change is retried in the background.
	backgroundTimeout = 5 * time.Minute
	// minRetryPause is the pause before the first retry of a change; the pause
	// doubles with each retry, up to maxRetryPause.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 10 * time.Second
	// retryDelay is the delay after which a caller may repeat a request for a
	// booking that is under way or has found its bucket full.
	retryDelay = time.Second
)

func (l Limits) withDefaults() Limits {
	l.Retention = cmp.Or(l.Retention, defaultRetention)
	l.CallTimeout = cmp.Or(l.CallTimeout, defaultCallTimeout)
	l.ClaimTimeout = cmp.Or(l.ClaimTimeout, defaultClaimTimeout)
	return l
}

// Run claims a booking and runs call, which must call the service at most once
// and must return an error with NotRun set if, and only if, the service is
// proved not to have run it. For a booking that has finished, Run returns the
// stored response, with replayed set, and doesn't run call. It fails with
// BookingUnderWay, OutcomeUnknown, KeyReused, Overloaded, PlatformDown or
// call's error. NotRun is set only if this request is proved not to have run
// the call of this key.
func (r *Runner) Run(ctx context.Context, b Booking, call func(context.Context) (Answer, error)) (a Answer, replayed bool, err error) {
	l := r.Limits.withDefaults()
	now := time.Now()
	op := newClaim(b, now, l)
	reply, err := r.claim(ctx, op, l)
	if err != nil {
		r.writeInBackground(newRelease(op))
		e := result.Wrap(result.PlatformDown, err, "no record could be written; the booking was not begun")
		return Answer{}, false, e.AsNotRun().WithRetryAt(now.Add(l.ClaimTimeout))
	}
	if reply.Outcome != Claimed {
		return fromReply(reply, now)
	}
	// A call that has begun continues if its caller disconnects, so that a
	// repeated request gets its response.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), op.CallDeadline)
	defer cancel()
	a, err = call(ctx)
	switch {
	case err == nil:
		r.writeInBackground(newComplete(op, a))
	case result.FromError(err).NotRun:
		r.writeInBackground(newRelease(op))
	}
	return a, false, err
}

// claim tries to claim the record of a booking.
func (r *Runner) claim(ctx context.Context, op Op, l Limits) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, l.ClaimTimeout)
	defer cancel()
	return r.Apply(ctx, op)
}

// newClaim returns the change that claims the record of a booking for a new
// attempt.
func newClaim(b Booking, now time.Time, l Limits) Op {
	sum := sha256.Sum256(b.Call)
	callBy := b.Deadline
	if callBy.IsZero() {
		callBy = now.Add(l.CallTimeout)
	}
	return Op{
		Kind:         OpClaim,
		ID:           NewRecordID(b.Organisation, b.Service, b.Key),
		Attempt:      AttemptID(uuid.NewString()),
		Digest:       hex.EncodeToString(sum[:]),
		CallDeadline: callBy,
		ExpiresAt:    later(callBy, now).Add(l.Retention),
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// newComplete returns the change that stores the response of a claimed call.
func newComplete(claim Op, a Answer) Op {
	return Op{Kind: OpComplete, ID: claim.ID, Attempt: claim.Attempt, Answer: &a}
}

// newRelease returns the change that releases a claim. The released record is
// kept until the claimed call would have ended.
func newRelease(claim Op) Op {
	return Op{Kind: OpRelease, ID: claim.ID, Attempt: claim.Attempt, ExpiresAt: claim.CallDeadline.Add(maxClockSkew)}
}

// fromReply returns the result of Run for a booking that could not be claimed.
func fromReply(r Reply, now time.Time) (Answer, bool, error) {
	switch r.Outcome {
	case Finished:
		if r.Answer != nil {
			return *r.Answer, true, nil
		}
		return Answer{Status: http.StatusOK}, true, nil
	case InProgress:
		return Answer{}, false, result.New(result.BookingUnderWay, "another request runs it").WithRetryAt(now.Add(retryDelay))
	case KeyReused:
		return Answer{}, false, result.New(result.KeyReused, "the key was used for another call").AsNotRun()
	case BucketFull:
		return Answer{}, false, result.New(result.Overloaded, "no room for booking records").AsNotRun().WithRetryAt(now.Add(retryDelay))
	}
	return Answer{}, false, result.New(result.OutcomeUnknown, "an earlier request may have run it")
}

// writeInBackground makes a change in the background and retries it until it
// is written or backgroundTimeout has passed.
func (r *Runner) writeInBackground(op Op) {
	r.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
		defer cancel()
		pause := minRetryPause
		for ctx.Err() == nil {
			if _, err := r.Apply(ctx, op); err == nil {
				return
			}
			_ = clock.Sleep(ctx, pause) // the loop condition handles the end of ctx
			pause = min(2*pause, maxRetryPause)
		}
	})
}

// Wait waits for the changes that are being written in the background.
func (r *Runner) Wait() { r.background.Wait() }
