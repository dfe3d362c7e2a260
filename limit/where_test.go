package limit

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/result"
)

// TestGatePreview guards against a preview that takes a turn or that differs from what the gate does.
func TestGatePreview(t *testing.T) {
	Convey("A preview takes no turn", t, func() {
		var g Gate
		r := Request{Organisation: "o", Cost: 10, Limits: Limits{}, Domains: 1}
		_, err := g.Preview(r)
		So(result.CodeOf(err), ShouldEqual, result.Overloaded) // no policy yet
		g.SetPolicy(Policy{MaxAnswers: 1, MaxQueue: 4, MaxWait: time.Minute})
		for range 3 {
			p, err := g.Preview(r)
			So(err, ShouldBeNil)
			So(p.Admitted, ShouldBeTrue)
		}
		So(g.Counts(), ShouldResemble, Counts{})
		release, err := g.Enter(context.Background(), r)
		So(err, ShouldBeNil)
		defer release()
		p, err := g.Preview(r)
		So(err, ShouldBeNil)
		So(p.Admitted, ShouldBeFalse)
		So(p.Wait, ShouldBeGreaterThan, 0)
		So(g.Counts(), ShouldResemble, Counts{Open: 1})
	})
}
