package backend

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/engine"
)

// TestLeftOut guards against servers that are left out without a reason or with a wrong one, and against explanations
// that count as requests which lacked a permit.
func TestLeftOut(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	Convey("A choice that is only explained", t, func() {
		short := 0
		p := Pool{OnShort: func() { short++ }}
		for _, id := range []engine.ServerID{"gone", "left", "limited", "old", "refuses", "sound", "suspect"} {
			p.Apply(Server{ID: id, Service: "app", Version: "v1", Start: 1, Slots: 6, Revision: Revision{Number: 1}})
		}
		p.Apply(Server{ID: "old", Service: "app", Version: "v0", Start: 1, Slots: 6, Revision: Revision{Number: 2}})
		p.Remove("gone", Revision{Number: 2}, now)
		p.MarkLeaving("left", 1)
		p.SetLimit(RateLimit{Server: "limited", Start: 1, Rate: 2, At: now})
		p.Postpone("refuses", 1, now.Add(3*time.Second))
		p.MarkFailed("suspect", now)
		n := Criteria{Now: now, Service: "app", DryRun: true, Allowed: func(v engine.Version) bool { return v == "v1" }}
		why := make(map[engine.ServerID]Omission)
		for _, x := range p.LeftOut(n) {
			why[x.ID] = x.Reason
		}
		So(why, ShouldResemble, map[engine.ServerID]Omission{
			"gone": Removed, "left": Leaving, "limited": NoPermit, "old": NotAllowed, "refuses": Refusing, "suspect": Suspected,
		})
		c, ok := p.Choose(n)
		So(ok, ShouldBeTrue)
		So(c.ID, ShouldEqual, engine.ServerID("sound"))
		So(p.Considered(n), ShouldHaveLength, 1)
		Convey("asks for no permit", func() {
			So(short, ShouldEqual, 0)
			So(p.Demands(now), ShouldBeEmpty)
		})
	})
}
