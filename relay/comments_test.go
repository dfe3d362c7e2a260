package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/platform/platformtest"
	"quetzalhold/relay"
)

// commenting is a numbering with comments while a prompt is read and between events.
var commenting = platformtest.Numbering{Opening: 4, Comment: func(int) bool { return true }}

// TestCommentsAreNoOutput guards against comments of an engine that are taken for the beginning of its answer.
func TestCommentsAreNoOutput(t *testing.T) {
	for _, n := range []platformtest.Numbering{{}, commenting} {
		name := fmt.Sprintf("%d comments, ", n.Opening)
		withHarness(t, name+"a part of the prompt crashes engines", func(w *harness) {
			w.addSome(9, n)
			w.faultOthers(nil, platformtest.Fault{CrashPart: "aa"})
			crashed := 0
			for _, s := range w.servers {
				s.Crashed = func() { crashed++ }
			}
			for i := range 6 {
				w.resumableStream(context.Background(), "X-Request-Id", fmt.Sprintf("r%d", i), "X-Prompt-Prefix", fmt.Sprintf("aa:200,own%d:8000", i))
			}
			So(crashed, ShouldBeLessThanOrEqualTo, 5) // one stream uses up its attempts
			So(w.relay.Quarantine.Listed(time.Now()), ShouldNotBeEmpty)
		})
		withHarness(t, name+"a long prompt", func(w *harness) {
			w.addSome(9, n)
			for _, s := range w.servers {
				s.SetFault(platformtest.Fault{Delay: 3200 * time.Millisecond, EarlyHead: true})
			}
			var first time.Duration
			w.relay.Answered = func(a relay.ServerAnswer) { first = a.First }
			a := w.resumableStream(context.Background())
			So(a.err, ShouldBeNil)
			So(platformtest.WithoutComments(a.body), ShouldEqual, events(1, numEvent))
			So(w.book.Runs("r1"), ShouldHaveLength, 1)
			So(first, ShouldBeGreaterThan, 4*time.Second)
		})
		withHarness(t, name+"its engine can't be told to stop before it begins", func(w *harness) {
			s := w.add("e0", "models", 0, 30*time.Millisecond)
			s.Numbering = n
			s.SetFault(platformtest.Fault{Delay: 7 * time.Second, KeepsRuns: true, EarlyHead: true})
			time.AfterFunc(time.Second, func() { w.add("e1", "models", 1, 30*time.Millisecond).SetNumbering(n) })
			a := w.resumableStream(context.Background())
			So(a.err, ShouldBeNil)
			So(platformtest.WithoutComments(a.body), ShouldEqual, events(1, numEvent))
			runs := w.book.Runs("r1")
			So(runs, ShouldHaveLength, 2)
			So(runs[1].Server, ShouldEqual, "e0") // recorded when it begins
			So(runs[1].Events, ShouldBeLessThan, int(stopBound/s.Work))
		})
		withHarness(t, name+"an engine that only sends comments", func(w *harness) {
			w.addSome(4, platformtest.Numbering{Comment: n.Comment})
			time.AfterFunc(1500*time.Millisecond, func() { w.serving("r1").SetFault(platformtest.Fault{SilentAfter: 40}) })
			a := w.resumableStream(context.Background())
			So(a.err, ShouldBeNil)
			So(platformtest.WithoutComments(a.body), ShouldEqual, events(1, numEvent))
			So(a.gap, ShouldBeLessThan, maxGap)
		})
	}
	withHarness(t, "an answer without a length that breaks off after comments", func(w *harness) {
		s := w.add("e0", "models", 0, 30*time.Millisecond)
		w.stopListening(s)
		w.running[s.ID] = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			(&midStreamError{status: http.StatusOK, contentType: "text/event-stream", noLength: true, body: comment + "retry: 3000\n\n"}).answer(rw, r)
		})}
		w.serve(s.Address, w.running[s.ID])
		a := w.resumableStream(context.Background(), "X-Deadline-Ms", "4000")
		So(a.err != nil || a.status != http.StatusOK, ShouldBeTrue)
	})
}
