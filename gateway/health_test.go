package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestGoneAt replays a server that left 2.1 s after the store was back: its missing
// entry was taken for one that had lapsed in the outage, for too long.
func TestGoneAt(t *testing.T) {
	Convey("A missing entry", t, func() {
		var h storeHealth
		start := time.Unix(1_000_000, 0)
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		Convey("counts as gone at once where the store was never away", func() {
			So(h.removalTime(at(0)), ShouldEqual, at(0))
		})
		h.setDown(at(0), true)
		Convey("is kept while the store is away", func() {
			So(h.removalTime(at(5000)), ShouldEqual, at(7500))
		})
		h.setDown(at(8000), false)
		Convey("is kept until live servers are back", func() {
			So(h.removalTime(at(8100)), ShouldEqual, at(10500))
			So(h.removalTime(at(10300)), ShouldEqual, at(10500))
		})
		Convey("counts as gone at once after that", func() {
			So(h.removalTime(at(10800)), ShouldEqual, at(10800))
		})
	})
}
