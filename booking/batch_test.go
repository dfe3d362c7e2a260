package booking

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/clock"
	"quetzalhold/objects"
	"quetzalhold/result"
)

// objectAPI is an in-memory object API for a BatchWriter. Each call takes
// callLatency.
type objectAPI struct {
	mu      sync.Mutex
	stored  map[objects.Name]objects.Object
	puts    int // number of writes, also of those that failed
	largest int // size of the largest value written, in bytes
}

const callLatency = 5 * time.Millisecond

func (o *objectAPI) get(ctx context.Context, _ objects.Kind, n objects.Name) (objects.Object, error) {
	if err := clock.Sleep(ctx, callLatency); err != nil {
		return objects.Object{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	obj, ok := o.stored[n]
	if !ok {
		return obj, result.New(result.ObjectMissing, "%s", n)
	}
	return obj, nil
}

func (o *objectAPI) put(ctx context.Context, _ objects.Kind, n objects.Name, expect objects.Version, v any) (objects.Object, error) {
	if err := clock.Sleep(ctx, callLatency); err != nil {
		return objects.Object{}, err
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return objects.Object{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stored == nil {
		o.stored = make(map[objects.Name]objects.Object)
	}
	o.puts++
	o.largest = max(o.largest, len(raw))
	old := o.stored[n]
	if old.Version != expect {
		return old, result.New(result.VersionConflict, "at %d", old.Version)
	}
	obj := objects.Object{Name: n, Version: expect + 1, Value: raw}
	o.stored[n] = obj
	return obj, nil
}

// runBookings makes rate bookings a second for d. It returns the number of
// writes per booking.
func runBookings(rate int, d time.Duration) (perBooking float64, o *objectAPI) {
	o = &objectAPI{}
	l := &BatchWriter{Get: o.get, Put: o.put}
	runner := &Runner{Apply: l.Apply}
	n := int(d.Seconds()) * rate
	var wg sync.WaitGroup
	for i := range n {
		time.Sleep(time.Second / time.Duration(rate))
		wg.Go(func() {
			b := Booking{Organisation: "o", Service: "s", Key: fmt.Sprint(i)}
			_, _, err := runner.Run(context.Background(), b, func(ctx context.Context) (Answer, error) {
				return Answer{Status: 200, Body: []byte(`{"number":1}`)}, clock.Sleep(ctx, 20*time.Millisecond)
			})
			if err != nil {
				panic(err)
			}
		})
	}
	wg.Wait()
	runner.Wait()
	return float64(o.puts) / float64(n), o
}

func TestGroupCommit(t *testing.T) {
	Convey("The number of writes per booking falls as the load rises", t, func() {
		last := 2.1
		for _, rate := range []int{1, 10, 100, 1000} {
			var per float64
			var o *objectAPI
			synctest.Test(t, func(*testing.T) { per, o = runBookings(rate, 8*time.Second) })
			_, _ = Printf("\n  %4d bookings/s: %.2f writes each, %.0f writes/s, largest bucket %d bytes", rate, per, per*float64(rate), o.largest)
			So(per, ShouldBeLessThanOrEqualTo, last)
			So(o.largest, ShouldBeLessThan, objects.MaxValueSize)
			last = per
		}
		So(last, ShouldBeLessThan, 1)
	})
}

func TestLedgersRace(t *testing.T) {
	Convey("If two BatchWriters claim the same record, one claim succeeds", t, func() {
		for seed := range 20 {
			var outcomes []Outcome
			synctest.Test(t, func(*testing.T) {
				o := &objectAPI{}
				var wg sync.WaitGroup
				replies := make([]Reply, 2)
				for i := range replies {
					l := &BatchWriter{Get: o.get, Put: o.put}
					wg.Go(func() {
						time.Sleep(time.Duration(seed*i) * time.Millisecond)
						op := claimBy(AttemptID(fmt.Sprint(i)))
						op.CallDeadline = time.Now().Add(time.Minute)
						op.ExpiresAt = op.CallDeadline
						replies[i], _ = l.Apply(context.Background(), op)
					})
				}
				wg.Wait()
				outcomes = []Outcome{replies[0].Outcome, replies[1].Outcome}
			})
			So(outcomes, ShouldBeIn, []Outcome{Claimed, InProgress}, []Outcome{InProgress, Claimed})
		}
	})
}
