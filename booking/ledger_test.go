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

// objectAPI is the platform's object API for a ledger, with latency.
type objectAPI struct {
	mu      sync.Mutex
	all     map[objects.Name]objects.Object
	puts    int
	largest int
}

const callTime = 5 * time.Millisecond

func (o *objectAPI) get(ctx context.Context, _ objects.Kind, n objects.Name) (objects.Object, error) {
	if err := clock.Sleep(ctx, callTime); err != nil {
		return objects.Object{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	obj, ok := o.all[n]
	if !ok {
		return obj, result.New(result.ObjectMissing, "%s", n)
	}
	return obj, nil
}

func (o *objectAPI) put(ctx context.Context, _ objects.Kind, n objects.Name, expect objects.Version, v any) (objects.Object, error) {
	if err := clock.Sleep(ctx, callTime); err != nil {
		return objects.Object{}, err
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return objects.Object{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.all == nil {
		o.all = make(map[objects.Name]objects.Object)
	}
	o.puts++
	o.largest = max(o.largest, len(raw))
	old := o.all[n]
	if old.Version != expect {
		return old, result.New(result.VersionConflict, "at %d", old.Version)
	}
	obj := objects.Object{Name: n, Version: expect + 1, Value: raw}
	o.all[n] = obj
	return obj, nil
}

// bookFor makes bookings at a rate for some time and returns the writes for
// each.
func bookFor(rate int, d time.Duration) (perBooking float64, o *objectAPI) {
	o = &objectAPI{}
	l := &BatchWriter{Get: o.get, Put: o.put}
	desk := &Runner{Apply: l.Apply}
	n := int(d.Seconds()) * rate
	var wg sync.WaitGroup
	for i := range n {
		time.Sleep(time.Second / time.Duration(rate))
		wg.Go(func() {
			b := Booking{Organisation: "o", Service: "s", Key: fmt.Sprint(i)}
			_, _, err := desk.Run(context.Background(), b, func(ctx context.Context) (Answer, error) {
				return Answer{Status: 200, Body: []byte(`{"number":1}`)}, clock.Sleep(ctx, 20*time.Millisecond)
			})
			if err != nil {
				panic(err)
			}
		})
	}
	wg.Wait()
	desk.Wait()
	return float64(o.puts) / float64(n), o
}

func TestGroupCommit(t *testing.T) {
	Convey("Writes for each booking fall as the load rises", t, func() {
		last := 2.1
		for _, rate := range []int{1, 10, 100, 1000} {
			var per float64
			var o *objectAPI
			synctest.Test(t, func(*testing.T) { per, o = bookFor(rate, 8*time.Second) })
			_, _ = Printf("\n  %4d bookings/s: %.2f writes each, %.0f writes/s, largest bucket %d bytes", rate, per, per*float64(rate), o.largest)
			So(per, ShouldBeLessThanOrEqualTo, last)
			So(o.largest, ShouldBeLessThan, objects.MaxValueSize)
			last = per
		}
		So(last, ShouldBeLessThan, 1)
	})
}

func TestLedgersRace(t *testing.T) {
	Convey("Of two ledgers that write the same bucket, one claim wins", t, func() {
		for seed := range 20 {
			var won []Outcome
			synctest.Test(t, func(*testing.T) {
				o := &objectAPI{}
				var wg sync.WaitGroup
				replies := make([]Reply, 2)
				for i := range replies {
					l := &BatchWriter{Get: o.get, Put: o.put}
					wg.Go(func() {
						time.Sleep(time.Duration(seed*i) * time.Millisecond)
						op := claimBy(AttemptID(fmt.Sprint(i)))
						op.CallBy = time.Now().Add(time.Minute)
						op.ExpiresAt = op.CallBy
						replies[i], _ = l.Apply(context.Background(), op)
					})
				}
				wg.Wait()
				won = []Outcome{replies[0].Outcome, replies[1].Outcome}
			})
			So(won, ShouldBeIn, []Outcome{Claimed, InProgress}, []Outcome{InProgress, Claimed})
		}
	})
}
