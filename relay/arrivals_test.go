package relay

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// arrivalWorld is bodies that arrive.
type arrivalWorld struct {
	bodies requestBodies
	limits bodyLimits
	now    time.Time
	cut    []string
}

// begin takes the memory for a body. It returns nil if there is no room.
func (w *arrivalWorld) begin(name string, size int64) *arrival {
	a := &arrival{cut: func() { w.cut = append(w.cut, name) }}
	if !w.bodies.take(w.now, a, size, w.limits) {
		return nil
	}
	return a
}

func (w *arrivalWorld) receive(a *arrival, n int64) { w.bodies.received(w.now, a, n) }

// TestSlowestBody guards against bodies that stop arriving and keep the room of others until their deadlines, and
// against bodies that are rejected one after the other while all arrive fast, so that none is completed.
func TestSlowestBody(t *testing.T) {
	const size = 1 << 20
	Convey("The slowest body gives way, and no other", t, func() {
		w := &arrivalWorld{limits: bodyLimits{memory: 3*size + 4*arrivalMemory}, now: time.Now()}
		stalled, slower, fast := w.begin("stalled", size), w.begin("slower", size), w.begin("fast", size)
		w.receive(stalled, size-1)
		So(w.begin("early", size), ShouldBeNil)
		for range 4 {
			w.now = w.now.Add(arrivalPeriod)
			w.receive(slower, 1)
			w.receive(fast, slowBody)
		}
		So(w.begin("second", size), ShouldNotBeNil)
		So(w.cut, ShouldResemble, []string{"stalled"})
		So(w.bodies.finish(stalled), ShouldBeFalse)
		So(w.begin("third", size), ShouldNotBeNil)
		So(w.cut, ShouldResemble, []string{"stalled", "slower"})
		So(w.begin("fourth", size), ShouldBeNil)
		So(w.bodies.finish(fast), ShouldBeTrue)
		So(w.bodies.large, ShouldEqual, 3*size+2*arrivalMemory)
		for _, a := range []*arrival{stalled, slower, fast} {
			w.bodies.release(a)
		}
		So(w.bodies.large, ShouldEqual, 2*(size+arrivalMemory))
	})
	Convey("Small bodies have room of their own, and count only while they arrive", t, func() {
		w := &arrivalWorld{limits: bodyLimits{memory: 2 * size, small: 3 * arrivalMemory}, now: time.Now()}
		So(w.begin("large", 2*size), ShouldNotBeNil)
		a := w.begin("a", 1000)
		So(w.begin("b", 1000), ShouldNotBeNil)
		So(w.begin("c", 1000), ShouldBeNil)
		So(w.bodies.finish(a), ShouldBeTrue)
		So(w.begin("d", 1000), ShouldNotBeNil)
		w.now = w.now.Add(2 * arrivalPeriod)
		So(w.begin("e", 1000), ShouldNotBeNil)
		So(len(w.cut), ShouldEqual, 1)
		So(w.cut, ShouldNotContain, "large")
	})
	Convey("The number of bodies that arrive is bounded", t, func() {
		w := &arrivalWorld{limits: bodyLimits{unfinished: 1}, now: time.Now()}
		first := w.begin("first", 10)
		So(w.begin("second", 10), ShouldBeNil)
		So(w.bodies.take(w.now, first, 2*smallBody, w.limits), ShouldBeTrue)
		w.now = w.now.Add(2 * arrivalPeriod)
		So(w.begin("third", 10), ShouldNotBeNil)
		So(w.cut, ShouldResemble, []string{"first"})
		So(w.bodies.large, ShouldEqual, 0)
	})
}
