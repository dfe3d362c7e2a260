package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestGoneAt guards against keeping a server that left 2.1 s after the store was back:
// its missing entry was treated for too long as one that had expired during the outage.
func TestGoneAt(t *testing.T) {
	Convey("A missing entry", t, func() {
		var h storeHealth
		start := time.Unix(1_000_000, 0)
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		Convey("counts as removed at once if the store was never unreachable", func() {
			So(h.removalTime(at(0)), ShouldEqual, at(0))
		})
		h.setDown(at(0), true)
		Convey("is kept while the store is unreachable", func() {
			So(h.removalTime(at(5000)), ShouldEqual, at(7500))
		})
		h.setDown(at(8000), false)
		Convey("is kept until live servers have written their entries again", func() {
			So(h.removalTime(at(8100)), ShouldEqual, at(10500))
			So(h.removalTime(at(10300)), ShouldEqual, at(10500))
		})
		Convey("counts as removed at once after that", func() {
			So(h.removalTime(at(10800)), ShouldEqual, at(10800))
		})
	})
}
