package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/settings"
)

// TestReloadForgetsRetries guards against a reload of the settings after which requests have no
// retries, as the budgets have forgotten what earned them, or too many.
func TestReloadForgetsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A reload keeps what the budgets have counted", t, func() {
			s := settings.Gateway{ID: "e1", Domain: "cn-a", Bounds: settings.Bounds{GraceS: 8, RepeatRatio: 0.8, RepeatSlack: 150, RepeatWindowS: 10}}
			d, err := New(&s)
			So(err, ShouldBeNil)
			for range 100 {
				d.budget("models").Request(time.Now())
			}
			for range 40 {
				So(d.budget("models").Allow(time.Now()), ShouldBeTrue)
			}
			changed := s
			changed.Bounds.GraceS = 10
			d.Reload(&changed)
			u := d.budget("models").Usage(time.Now())
			So(u.Requests, ShouldEqual, 100)
			So(u.Retries, ShouldEqual, 40)

			stricter := changed
			stricter.Bounds.RepeatRatio, stricter.Bounds.RepeatSlack = 0, 0
			d.Reload(&stricter)
			d.budget("models").Request(time.Now())
			So(d.budget("models").Allow(time.Now()), ShouldBeFalse)
		})
	})
}
