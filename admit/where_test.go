package admit

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestPreview guards against a preview that changes the queue, or that differs from what the queue does.
func TestPreview(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1_000_000, 0).Add(time.Duration(ms) * time.Millisecond) }
	stream := func(ms int) Stream {
		return Stream{Rank: 1, Organisation: "o", Tokens: 8000, CameAt: at(ms), Deadline: at(ms + 25_000)}
	}
	Convey("A queue under pressure", t, func() {
		q := Queue{Random: func() float64 { return 0 }}
		q.Estimate(8000, 1)
		for i := range 4 {
			q.Add(at(10*i), stream(10*i))
		}
		before, tickets := q, slices.Clone(q.waiting)
		before.served = maps.Clone(q.served)
		var values []Ticket
		for _, x := range tickets {
			values = append(values, *x)
		}
		p := q.Preview(at(500), stream(500))
		So(p.Waits, ShouldBeTrue)
		So(p.Position, ShouldEqual, 3)
		So(p.ExpectedWait, ShouldBeGreaterThan, 0)
		Convey("is not changed by a preview", func() {
			So(q.waiting, ShouldResemble, tickets)
			for i, x := range q.waiting {
				So(*x, ShouldResemble, values[i])
			}
			q.Random, before.Random = nil, nil
			So(q, ShouldResemble, before)
		})
		Convey("does with the stream what the preview says", func() {
			x, list := q.Add(at(500), stream(500))
			So(list, ShouldBeEmpty)
			So(x.Position, ShouldEqual, p.Position)
		})
	})
}
