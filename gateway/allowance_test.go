package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/feed"
	"quetzalhold/platform"
	"quetzalhold/settings"
)

// TestRequestsBeforeOrder guards against requests that were sent before the order of a move and count for its new
// version's bound, as they are answered or fail after it.
func TestRequestsBeforeOrder(t *testing.T) {
	Convey("Requests that were sent before the order are not counted", t, func() {
		d := &Daemon{log: zap.NewNop()}
		d.settings.Store(&settings.Gateway{Bounds: settings.Bounds{BadShare: 0.1, BadSlack: 50}})
		d.members.Self = feed.Member{ID: "e1", Domain: "cn-a"}
		before := time.Now()
		d.moves.setListed(before.Add(-time.Minute))
		time.Sleep(time.Millisecond)
		d.applyMove(time.Now(), platform.MoveOrder{Service: "app", To: "v2", Duration: 12 * time.Second}, time.Now(), "", "test", false)
		to := backend.Choice{Server: backend.Server{ID: "s1", Service: "app", Version: "v2"}}
		sent := func() int { n, _ := d.moves.spent("app"); return n }
		reached := func() int { _, n := d.moves.spent("app"); return n }
		d.recordSent(to, "r", before, true, false)
		d.recordSent(to, "r", before, false, true)
		So(sent(), ShouldEqual, 0)
		So(reached(), ShouldEqual, 0)
		So(d.mayStillSend(to, "r"), ShouldBeTrue)
		So(sent(), ShouldEqual, 1)
		d.recordSent(to, "r", before, false, true)
		So(sent(), ShouldEqual, 1)
		d.recordSent(to, "r", time.Now(), true, false)
		So(reached(), ShouldEqual, 1)
		d.recordSent(to, "r", time.Now(), false, true)
		d.recordSent(to, "r", time.Now(), false, true)
		So(sent(), ShouldEqual, 0)
	})
}
