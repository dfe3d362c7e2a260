package gateway_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestEqualServersChosenAlike guards against entry VMs that all send to the same of several servers
// which are equal to them, while the others idle.
func TestEqualServersChosenAlike(t *testing.T) {
	inWorld(t, "twenty entry VMs, eight servers", func(w *world) {
		l := newLimitTest(w, 20, 8, "app")
		l.play(5*time.Second, 40, "/book/1", nil)
		l.wg.Wait()
		for _, s := range l.servers {
			So(len(s.Arrived()), ShouldBeBetween, l.calls/40, l.calls/3)
		}
	})
}
