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

// Booking is a call that may run at most once, with its caller's key.
type Booking struct {
	Organisation names.ID
	Service      names.ID
	Key          string
	Call         []byte    // method, path and body, to tell a reused key
	Deadline     time.Time // zero for none
}

// Runner runs bookings. All fields but Limits must be set.
type Runner struct {
	// Apply makes a change of a record, here or at the bucket's owner.
	Apply func(context.Context, Op) (Reply, error)
	// Limits bounds bookings; its zero fields use defaults.
	Limits Limits

	settling sync.WaitGroup
}

// Limits bounds bookings.
type Limits struct {
	Retention  time.Duration // a record is kept for repeats
	CallTimeout  time.Duration // of a call without a deadline
	Claim time.Duration // to get the right to run a call
}

// The defaults of Limits, and the pace of settling.
const (
	defaultKeep   = time.Hour
	defaultCall   = 30 * time.Second
	defaultClaim  = 3 * time.Second
	settleFor     = 5 * time.Minute
	settlePause   = 200 * time.Millisecond
	maxSettleWait = 10 * time.Second
	underWayRetry = time.Second
)

func (l Limits) withDefaults() Limits {
	l.Retention = cmp.Or(l.Retention, defaultKeep)
	l.CallTimeout = cmp.Or(l.CallTimeout, defaultCall)
	l.Claim = cmp.Or(l.Claim, defaultClaim)
	return l
}

// Run runs a booking through call, which must call the service at most once and
// say truly by its error's NotRun whether it is proved not to have run. A repeat
// of a finished booking gets the stored answer, with replayed set. It fails with
// BookingUnderWay, OutcomeUnknown, KeyReused, PlatformDown or call's error; with
// NotRun set only if this key's call is proved not to have run by this request.
func (d *Runner) Run(ctx context.Context, b Booking, call func(context.Context) (Answer, error)) (a Answer, replayed bool, err error) {
	l := d.Limits.withDefaults()
	now := time.Now()
	op := newClaim(b, now, l)
	reply, err := d.claim(ctx, op, l)
	if err != nil {
		d.settle(releaseOf(op))
		e := result.Wrap(result.PlatformDown, err, "no record could be written; the booking was not begun")
		return Answer{}, false, e.AsNotRun().At(now.Add(l.Claim))
	}
	if reply.Outcome != Claimed {
		return existing(reply, now)
	}
	// A call that was begun goes on without its caller, so that a repeat gets
	// its answer.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), op.CallBy)
	defer cancel()
	a, err = call(ctx)
	switch {
	case err == nil:
		d.settle(completeOf(op, a))
	case result.Of(err).NotRun:
		d.settle(releaseOf(op))
	}
	return a, false, err
}

// claim asks for the right to run a booking.
func (d *Runner) claim(ctx context.Context, op Op, l Limits) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, l.Claim)
	defer cancel()
	return d.Apply(ctx, op)
}

func newClaim(b Booking, now time.Time, l Limits) Op {
	sum := sha256.Sum256(b.Call)
	callBy := b.Deadline
	if callBy.IsZero() {
		callBy = now.Add(l.CallTimeout)
	}
	return Op{
		Kind:    OpClaim,
		ID:      NewRecordID(b.Organisation, b.Service, b.Key),
		Attempt: AttemptID(uuid.NewString()),
		Digest:  hex.EncodeToString(sum[:]),
		CallBy:  callBy,
		ExpiresAt:    later(callBy, now).Add(l.Retention),
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func completeOf(claim Op, a Answer) Op {
	return Op{Kind: OpComplete, ID: claim.ID, Attempt: claim.Attempt, Answer: &a}
}

func releaseOf(claim Op) Op {
	return Op{Kind: OpRelease, ID: claim.ID, Attempt: claim.Attempt, ExpiresAt: claim.CallBy.Add(skewMargin)}
}

// existing answers a booking for which there was a record.
func existing(r Reply, now time.Time) (Answer, bool, error) {
	switch r.Outcome {
	case Finished:
		if r.Answer != nil {
			return *r.Answer, true, nil
		}
		return Answer{Status: http.StatusOK}, true, nil
	case InProgress:
		return Answer{}, false, result.New(result.BookingUnderWay, "another request runs it").At(now.Add(underWayRetry))
	case KeyReused:
		return Answer{}, false, result.New(result.KeyReused, "the key was used for another call").AsNotRun()
	case BucketFull:
		return Answer{}, false, result.New(result.Overloaded, "no room for booking records").AsNotRun().At(now.Add(underWayRetry))
	}
	return Answer{}, false, result.New(result.OutcomeUnknown, "an earlier request may have run it")
}

// settle makes a change in the background, again until it is written.
func (d *Runner) settle(op Op) {
	d.settling.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleFor)
		defer cancel()
		pause := settlePause
		for ctx.Err() == nil {
			if _, err := d.Apply(ctx, op); err == nil {
				return
			}
			_ = clock.Sleep(ctx, pause) // the loop sees the end of ctx
			pause = min(2*pause, maxSettleWait)
		}
	})
}

// Wait returns when nothing is left to be settled.
func (d *Runner) Wait() { d.settling.Wait() }
