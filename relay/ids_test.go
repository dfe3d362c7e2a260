package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/engine"
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
		numbering := platformtest.Numbering{ID: func(n int) string { return fmt.Sprint(x.id(n)) }}
		add := func(w *harness) (want string) { return w.addNumbered(numbering) }
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

// addNumbered adds engines with a numbering of events, and returns the whole answer.
func (w *harness) addNumbered(n platformtest.Numbering) (want string) {
	w.addEngines()
	for _, s := range w.servers {
		s.Numbering = n
	}
	return n.Events(prompt, 1, numEvent)
}

// breakRuns lets the first runs of streams end before an event.
func (w *harness) breakRuns(runs, before int) {
	var mu sync.Mutex
	w.faultOthers(nil, platformtest.Fault{EndsStream: func() int {
		mu.Lock()
		defer mu.Unlock()
		if runs--; runs < 0 {
			return 0
		}
		return before
	}})
}

// TestFirstEventTwice guards against an event that comes twice after a crash, or to a caller that comes back, as its id is
// taken for none.
func TestFirstEventTwice(t *testing.T) {
	for _, x := range platformtest.Numberings() {
		for _, before := range []int{2, 3, 40} {
			withHarness(t, fmt.Sprintf("%s, two runs end before event %d", x.Name, before), func(w *harness) {
				want := w.addNumbered(x)
				w.breakRuns(2, before)
				a := w.resumableStream(context.Background())
				So(a.err, ShouldBeNil)
				So(a.body, ShouldEqual, want)
			})
		}
		for _, after := range []int{1, 60} {
			withHarness(t, fmt.Sprintf("%s, the caller has come to event %d", x.Name, after), func(w *harness) {
				w.addNumbered(x)
				w.breakRuns(1, after+2)
				a := w.resumableStream(context.Background(), "Last-Event-Id", platformtest.LastID(x.Event(prompt, after)))
				So(a.err, ShouldBeNil)
				So(a.body, ShouldEqual, x.Events(prompt, after+1, numEvent))
			})
		}
		withHarness(t, x.Name+", the engine is silent and begins again", func(w *harness) {
			want := w.addNumbered(x)
			time.AfterFunc(1100*time.Millisecond, func() { silence(w.serving("r1"), time.Second) })
			a := w.resumableStream(context.Background())
			So(a.err, ShouldBeNil)
			So(a.body, ShouldEqual, want)
		})
	}
}

// oddNumberings are numberings that the protocol does not describe.
var oddNumberings = []struct {
	platformtest.Numbering
	whole bool // an answer can be completed though runs break off
	falls bool // ids do not rise
	// endsKnown is set if it can be told that an answer whose end was lost is complete.
	endsKnown bool
}{
	{platformtest.Numbering{Name: "no numbers", ID: func(n int) string { return fmt.Sprintf("e%x", n) }}, true, false, true},
	{platformtest.Numbering{Name: "each third event without an id", ID: func(n int) string {
		if n%3 == 0 {
			return ""
		}
		return fmt.Sprint(n)
	}}, true, false, true},
	{platformtest.Numbering{Name: "the last event without an id", ID: func(n int) string {
		if n == numEvent {
			return ""
		}
		return fmt.Sprint(n)
	}}, false, false, true},
	{platformtest.Numbering{Name: "first events without ids", ID: func(n int) string {
		if n < 30 {
			return ""
		}
		return fmt.Sprint(n)
	}}, false, false, false},
	{platformtest.Numbering{Name: "no ids", ID: func(int) string { return "" }}, false, false, false},
	{platformtest.Numbering{Name: "the same id", ID: func(int) string { return "0" }}, false, true, false},
	{platformtest.Numbering{Name: "ids in a circle", ID: func(n int) string { return fmt.Sprint(n % 7) }}, false, true, false},
	{platformtest.Numbering{Name: "no numbers, in a circle", ID: func(n int) string { return fmt.Sprintf("e%d", n%7) }}, false, true, false},
	{platformtest.Numbering{Name: "bytes that no header may hold", ID: func(n int) string { return fmt.Sprintf("e\x01%d", n) }}, false, false, false},
}

// TestOddEventIDs guards against pieces that come twice or are missing, and cut answers that look complete, where ids of events do not tell how far
// an answer has come.
func TestOddEventIDs(t *testing.T) {
	check := func(a answer, want string) {
		So(strings.HasPrefix(want, a.body), ShouldBeTrue) // nothing twice, missing, or of another answer
		So(a.err == nil, ShouldEqual, a.body == want)
	}
	for _, x := range oddNumberings {
		for _, before := range []int{2, 3, 4, 5, 40, 60} {
			withHarness(t, fmt.Sprintf("%s, a run ends before event %d", x.Name, before), func(w *harness) {
				want := w.addNumbered(x.Numbering)
				w.breakRuns(1, before)
				a := w.resumableStream(context.Background())
				check(a, want)
				So(a.err == nil || !x.whole, ShouldBeTrue)
			})
		}
		withHarness(t, x.Name+", only the end is lost", func(w *harness) {
			want := w.addNumbered(x.Numbering)
			w.breakRuns(1, numEvent+1)
			a := w.resumableStream(context.Background())
			So(strings.HasPrefix(want, a.body), ShouldBeTrue)
			So(a.err == nil || !x.endsKnown, ShouldBeTrue)
		})
		withHarness(t, x.Name+", no run ends early", func(w *harness) {
			want := w.addNumbered(x.Numbering)
			check(w.resumableStream(context.Background()), want)
		})
		if x.falls {
			continue // an engine that knows no such id tells that nothing is left
		}
		withHarness(t, x.Name+" at half of the engines", func(w *harness) {
			w.addNumbered(x.Numbering)
			for i := range 4 {
				w.servers[fmt.Sprintf("e%d", 2*i)].Numbering = platformtest.Numbering{}
			}
			w.breakRuns(3, 40)
			a := w.resumableStream(context.Background())
			data := func(text string) string { return idLines.ReplaceAllString(text, "") }
			check(answer{body: data(a.body), err: a.err}, data(events(1, numEvent)))
		})
	}
	withHarness(t, "the caller resumes after an id that is no number", func(w *harness) {
		w.addEngines()
		a := w.resumableStream(context.Background(), "Last-Event-Id", "e60")
		So(a.status, ShouldEqual, http.StatusBadGateway)
		So(w.book.Runs("r1"), ShouldHaveLength, 1)
	})
}

// idLines matches the lines of ids in an answer.
var idLines = regexp.MustCompile("(?m)^id: .*\n")

// TestEventsNotCounted guards against times and lengths of answers that are learned from ids as if these counted events.
func TestEventsNotCounted(t *testing.T) {
	for _, x := range platformtest.Numberings() {
		withHarness(t, x.Name, func(w *harness) {
			w.addNumbered(x)
			for range 8 {
				So(w.resumableStream(context.Background()).err, ShouldBeNil)
			}
			output := w.relay.Costs.Output("brief", 5*numEvent)
			So(output, ShouldBeBetween, engine.Tokens(4.5*numEvent), engine.Tokens(5.5*numEvent))
			before := len(w.book.Runs("r1"))
			resume := func(after int) answer {
				return w.resumableStream(context.Background(), "X-Deadline-Ms", "3000", "Last-Event-Id", platformtest.LastID(x.Event(prompt, after)))
			}
			So(resume(2).status, ShouldEqual, http.StatusServiceUnavailable)
			So(w.book.Runs("r1"), ShouldHaveLength, before)
			So(resume(100).body, ShouldEqual, x.Events(prompt, 101, numEvent))
		})
	}
}
