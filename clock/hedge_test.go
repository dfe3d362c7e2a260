package clock_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/clock"
)

func TestHedge(t *testing.T) {
	const interval = 100 * time.Millisecond
	silent := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("Calls are repeated while earlier ones are silent, and the first success counts", t, func() {
			begun := time.Now()
			var calls atomic.Int64
			v, err := clock.Hedge(context.Background(), interval, 5, func(ctx context.Context) (int64, error) {
				n := calls.Add(1)
				if n < 3 {
					return 0, silent(ctx)
				}
				return n, nil
			})
			So(err, ShouldBeNil)
			So(v, ShouldEqual, 3)
			So(time.Since(begun), ShouldEqual, 2*interval)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("A failure ends it at once if no other call is pending", t, func() {
			var calls atomic.Int64
			_, err := clock.Hedge(context.Background(), interval, 5, func(context.Context) (int, error) {
				calls.Add(1)
				return 0, errors.New("refused")
			})
			So(err, ShouldNotBeNil)
			So(calls.Load(), ShouldEqual, 1)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("It ends with its context, after at most n calls", t, func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			var calls atomic.Int64
			_, err := clock.Hedge(ctx, interval, 3, func(ctx context.Context) (int, error) {
				calls.Add(1)
				return 0, silent(ctx)
			})
			So(err, ShouldEqual, context.DeadlineExceeded)
			So(calls.Load(), ShouldEqual, 3)
		})
	})
}
