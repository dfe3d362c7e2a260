package relay_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/engine"
	"quetzalhold/platform/platformtest"
	"quetzalhold/routing"
)

// lateRefusal is the fault of an engine that refuses long after it was sent a request.
var lateRefusal = platformtest.Fault{Refuse: true, RefuseAfter: 600 * time.Millisecond}

// maxRefused is how often one stream may be sent to engines that refuse it for seven seconds.
const maxRefused = 30

// TestPausedStreamGivenUp guards against an answer under way that is broken off because no engine
// takes it for some seconds, or no retry is left, though its time is not over.
func TestPausedStreamGivenUp(t *testing.T) {
	for _, x := range []struct {
		name  string
		slack float64
		late  time.Duration // for how long the engines refuse late
		spent time.Duration // until the retries come back
	}{
		{"the engines refuse late for seven seconds", 100, 7 * time.Second, 0},
		{"the engines refuse at once for six seconds", 100, time.Second, 0},
		{"the retries come back after nine seconds", 2, 6 * time.Second, 9 * time.Second},
	} {
		withHarness(t, x.name, func(w *harness) {
			w.addEngines()
			w.budget.Ratio = 0
			w.budget.SetSlack(x.slack)
			time.AfterFunc(2*time.Second, func() {
				s := w.serving("r1")
				s.SetFault(platformtest.Fault{SilentUntil: time.Now().Add(time.Second), Refuse: true})
				w.faultOthers(s, lateRefusal)
				time.AfterFunc(x.late, func() { w.faultOthers(s, platformtest.Fault{Refuse: true}) })
				time.AfterFunc(7*time.Second, func() { w.faultOthers(nil, platformtest.Fault{}) })
				time.AfterFunc(x.spent, func() { w.budget.SetSlack(100) })
			})
			a := w.resumableStream(context.Background())
			So(a.err, ShouldBeNil)
			So(a.body, ShouldEqual, events(1, numEvent))
			refused := 0
			for _, s := range w.servers {
				refused += len(s.Refused())
			}
			So(refused, ShouldBeLessThan, maxRefused)
		})
	}
	withHarness(t, "no server is left that may run it", func(w *harness) {
		w.addEngines()
		c := testConfig()
		c.Routes[0].MaxAttempts = 1
		w.setTable(routing.NewTable(c))
		time.AfterFunc(2*time.Second, func() { w.kill(w.serving("r1")) })
		a := w.resumableStream(context.Background())
		So(a.err, ShouldNotBeNil)
		So(a.took, ShouldBeLessThan, 5*time.Second)
	})
}

// TestLastRetryForSilentRun guards against a silent run that is given up for the last retry, since
// its engine is thought to be lost.
func TestLastRetryForSilentRun(t *testing.T) {
	withHarness(t, "others failed at its engine", func(w *harness) {
		w.addEngines()
		w.budget.Ratio = 0
		w.budget.SetSlack(1)
		time.AfterFunc(2*time.Second, func() {
			s := w.serving("r1")
			s.SetFault(platformtest.Fault{SilentUntil: time.Now().Add(time.Second), Refuse: true})
			w.faultOthers(s, lateRefusal)
			time.AfterFunc(50*time.Millisecond, func() { w.pool.MarkFailed(engine.ServerID(s.ID), time.Now()) })
		})
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
	})
	withHarness(t, "its engine takes no connections meanwhile", func(w *harness) {
		w.addEngines()
		w.budget.Ratio = 0
		w.budget.SetSlack(1)
		time.AfterFunc(2*time.Second, func() {
			s := w.serving("r1")
			w.hold(s, time.Second)
			s.SetFault(platformtest.Fault{SilentUntil: time.Now().Add(time.Second), Refuse: true})
			w.faultOthers(s, lateRefusal)
		})
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
	})
	withHarness(t, "before the first event, others failed at its engine", func(w *harness) {
		w.addEngines()
		w.budget.Ratio = 0
		w.budget.SetSlack(1)
		time.AfterFunc(500*time.Millisecond, func() {
			for _, s := range w.servers {
				if s.Running() > 0 {
					s.SetFault(platformtest.Fault{SilentUntil: time.Now().Add(time.Second), Refuse: true})
					w.faultOthers(s, lateRefusal)
					w.pool.MarkFailed(engine.ServerID(s.ID), time.Now())
				}
			}
		})
		a := w.resumableStream(context.Background())
		So(a.status, ShouldEqual, http.StatusOK)
		So(a.body, ShouldEqual, events(1, numEvent))
	})
	withHarness(t, "before the first event, its engine takes no connections meanwhile", func(w *harness) {
		w.addEngines()
		w.budget.Ratio = 0
		w.budget.SetSlack(1)
		time.AfterFunc(500*time.Millisecond, func() {
			for _, s := range w.servers {
				if s.Running() > 0 {
					w.hold(s, time.Second)
					s.SetFault(platformtest.Fault{SilentUntil: time.Now().Add(time.Second), Refuse: true})
					w.faultOthers(s, lateRefusal)
				}
			}
		})
		a := w.resumableStream(context.Background())
		So(a.status, ShouldEqual, http.StatusOK)
		So(a.body, ShouldEqual, events(1, numEvent))
	})
}

// TestSuspectRunGivenUp guards against a run that is given up since its engine is thought to be lost,
// before another engine has taken its stream: the engine was silent for a second, and others refuse
// late.
func TestSuspectRunGivenUp(t *testing.T) {
	for _, x := range []struct {
		name  string
		after time.Duration // from the request to the silence
		held  bool          // the engine takes no connections meanwhile; otherwise others failed there
	}{
		{"others failed at its engine", 2 * time.Second, false},
		{"its engine takes no connections", 2 * time.Second, true},
		{"before the first event, others failed at its engine", 500 * time.Millisecond, false},
		{"before the first event, its engine takes no connections", 500 * time.Millisecond, true},
	} {
		withHarness(t, x.name, func(w *harness) {
			w.addEngines()
			time.AfterFunc(x.after, func() {
				for _, s := range w.servers {
					if s.Running() == 0 {
						continue
					}
					s.SetFault(platformtest.Fault{SilentUntil: time.Now().Add(time.Second), Refuse: true})
					w.faultOthers(s, lateRefusal)
					if x.held {
						w.hold(s, time.Second)
					} else {
						w.pool.MarkFailed(engine.ServerID(s.ID), time.Now())
					}
				}
			})
			a := w.resumableStream(context.Background())
			So(a.err, ShouldBeNil)
			So(a.status, ShouldEqual, http.StatusOK)
			So(a.body, ShouldEqual, events(1, numEvent))
			So(w.book.Runs("r1"), ShouldHaveLength, 1)
		})
	}
}
