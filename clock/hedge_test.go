package clock_test

import (
	"context"
	"errors"
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
			begun, calls := time.Now(), 0
			v, err := clock.Hedge(context.Background(), interval, 5, func(ctx context.Context) (int, error) {
				calls++
				if calls < 3 {
					return 0, silent(ctx)
				}
				return calls, nil
			})
			So(err, ShouldBeNil)
			So(v, ShouldEqual, 3)
			So(time.Since(begun), ShouldEqual, 2*interval)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("A failure ends it at once if no other call is pending", t, func() {
			calls := 0
			_, err := clock.Hedge(context.Background(), interval, 5, func(context.Context) (int, error) {
				calls++
				return 0, errors.New("refused")
			})
			So(err, ShouldNotBeNil)
			So(calls, ShouldEqual, 1)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("It ends with its context, after at most n calls", t, func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			calls := 0
			_, err := clock.Hedge(ctx, interval, 3, func(ctx context.Context) (int, error) {
				calls++
				return 0, silent(ctx)
			})
			So(err, ShouldEqual, context.DeadlineExceeded)
			So(calls, ShouldEqual, 3)
		})
	})
}
