package relay_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/platform/platformtest"
)

// unevenIDs are ids of events that rise by uneven steps: the platform says no more than that they rise.
var unevenIDs = []struct {
	name string
	id   func(n int) int
	runs int // of the first stream without a fault; later ones have one
}{
	{"tokens, the last event has fewer", func(n int) int { return min(5*n, 5*numEvent-2) }, 1},
	{"some events have several tokens", func(n int) int { return n + n/7 }, 2},
	{"the first step is the largest", func(n int) int { return n + 10*min(n-1, 1) }, 1},
	{"the first step is the smallest", func(n int) int { return 6*n - 5*min(n-1, 1) }, 2},
	{"clock", func(n int) int { return 1000*n + 17*n*n%911 }, 1},
}

// TestUnevenEventIDs guards against streams that don't end as the ids of their events rise by uneven steps.
func TestUnevenEventIDs(t *testing.T) {
	for _, x := range unevenIDs {
		answer := func(s *platformtest.Server) string {
			var b strings.Builder
			for n := range numEvent {
				b.WriteString(s.EventText(prompt, n+1))
			}
			return b.String()
		}
		add := func(w *harness) (want string) {
			w.addEngines()
			for _, s := range w.servers {
				s.EventIDs = x.id
				want = answer(s)
			}
			return want
		}
		withHarness(t, x.name, func(w *harness) {
			want := add(w)
			for i := range 4 {
				id := fmt.Sprintf("r%d", i+1)
				a := w.resumableStream(context.Background(), "X-Request-Id", id)
				So(a.err, ShouldBeNil)
				So(a.body, ShouldEqual, want)
				So(a.took, ShouldBeLessThan, 8*time.Second)
				runs := 1
				if i == 0 {
					runs = x.runs
				}
				So(w.book.Runs(id), ShouldHaveLength, runs)
			}
		})
		withHarness(t, x.name+", its engines die", func(w *harness) {
			want := add(w)
			time.AfterFunc(2*time.Second, func() { w.kill(w.serving("r1")) })
			time.AfterFunc(3500*time.Millisecond, func() { w.kill(w.serving("r1")) })
			a := w.resumableStream(context.Background())
			So(a.err, ShouldBeNil)
			So(a.body, ShouldEqual, want)
		})
		withHarness(t, x.name+", the caller resumes", func(w *harness) {
			want := add(w)
			events := strings.SplitAfter(want, "\n\n")
			a := w.resumableStream(context.Background(), "Last-Event-Id", fmt.Sprint(x.id(60)))
			So(a.err, ShouldBeNil)
			So(a.body, ShouldEqual, strings.Join(events[60:], ""))
		})
	}
}
