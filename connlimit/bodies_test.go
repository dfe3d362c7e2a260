package connlimit

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// arrivalWorld is bodies that arrive.
type arrivalWorld struct {
	bodies Bodies
	limits BodyLimits
	now    time.Time
	cut    []string
}

// begin takes the memory for a body. It returns nil if there is no room.
func (w *arrivalWorld) begin(name string, size Bytes) *Body {
	a := &Body{Cut: func() { w.cut = append(w.cut, name) }}
	if !w.bodies.Take(w.now, a, size, w.limits) {
		return nil
	}
	return a
}

func (w *arrivalWorld) receive(a *Body, n Bytes) { w.bodies.Received(w.now, a, n) }

// TestSlowestBody guards against bodies that stop arriving and keep the room of others until their deadlines, and
// against bodies that are rejected one after the other while all arrive fast, so that none is completed.
func TestSlowestBody(t *testing.T) {
	const size = 1 << 20
	Convey("The slowest body gives way, and no other", t, func() {
		w := &arrivalWorld{limits: BodyLimits{Memory: 3*size + 4*bodyConnMemory}, now: time.Now()}
		stalled, slower, fast := w.begin("stalled", size), w.begin("slower", size), w.begin("fast", size)
		w.receive(stalled, size-1)
		So(w.begin("early", size), ShouldBeNil)
		for range 4 {
			w.now = w.now.Add(bodyPeriod)
			w.receive(slower, 1)
			w.receive(fast, slowBody)
		}
		So(w.begin("second", size), ShouldNotBeNil)
		So(w.cut, ShouldResemble, []string{"stalled"})
		So(w.bodies.Finish(stalled), ShouldBeFalse)
		So(w.begin("third", size), ShouldNotBeNil)
		So(w.cut, ShouldResemble, []string{"stalled", "slower"})
		So(w.begin("fourth", size), ShouldBeNil)
		So(w.bodies.Finish(fast), ShouldBeTrue)
		So(w.bodies.large, ShouldEqual, 3*size+2*bodyConnMemory)
		for _, a := range []*Body{stalled, slower, fast} {
			w.bodies.Release(a)
		}
		So(w.bodies.large, ShouldEqual, 2*(size+bodyConnMemory))
	})
	Convey("Small bodies have room of their own, and count only while they arrive", t, func() {
		w := &arrivalWorld{limits: BodyLimits{Memory: 6 * bodyConnMemory}, now: time.Now()}
		So(w.begin("large", 2*size), ShouldNotBeNil)
		a := w.begin("a", 1000)
		So(w.begin("b", 1000), ShouldNotBeNil)
		So(w.begin("c", 1000), ShouldBeNil)
		So(w.bodies.Finish(a), ShouldBeTrue)
		So(w.begin("d", 1000), ShouldNotBeNil)
		w.now = w.now.Add(2 * bodyPeriod)
		So(w.begin("e", 1000), ShouldNotBeNil)
		So(len(w.cut), ShouldEqual, 1)
		So(w.cut, ShouldNotContain, "large")
	})
	Convey("The number of bodies that arrive is bounded", t, func() {
		w := &arrivalWorld{limits: BodyLimits{Unfinished: 1}, now: time.Now()}
		first := w.begin("first", 10)
		So(w.begin("second", 10), ShouldBeNil)
		So(w.bodies.Take(w.now, first, 2*SmallBody, w.limits), ShouldBeTrue)
		w.now = w.now.Add(2 * bodyPeriod)
		So(w.begin("third", 10), ShouldNotBeNil)
		So(w.cut, ShouldResemble, []string{"first"})
		So(w.bodies.large, ShouldEqual, 0)
	})
}
