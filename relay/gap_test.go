package relay_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/platform/platformtest"
	"quetzalhold/routing"
)

// noProof is why no second engine can show whether an event is missing.
var noProof = []struct {
	name   string
	path   string
	others int // engines beside the one that serves the stream
	// prepare is called before the stream is sent, and disturb a second later, when it has begun.
	prepare func(*harness)
	disturb func(*harness, *platformtest.Server)
}{
	{name: "the route does not resume", path: "/once/1", others: 8},
	{name: "there is one engine", path: "/brief/1"},
	{name: "the route permits one attempt", path: "/brief/1", others: 8, prepare: func(w *harness) {
		c := testConfig()
		c.Routes[0].MaxAttempts = 1
		w.setTable(routing.NewTable(c))
	}},
	{name: "no retry is left", path: "/brief/1", others: 8, prepare: func(w *harness) {
		w.budget.Ratio = 0
		w.budget.SetSlack(0)
	}},
	{name: "one retry is left", path: "/brief/1", others: 8, prepare: func(w *harness) {
		w.budget.Ratio = 0
		w.budget.SetSlack(1)
	}},
	{name: "the others refuse", path: "/brief/1", others: 3, disturb: faultAll(platformtest.Fault{Refuse: true})},
	{name: "the others refuse late", path: "/brief/1", others: 3, disturb: faultAll(platformtest.Fault{Refuse: true, RefuseAfter: 600 * time.Millisecond})},
	{name: "the others refuse for a while", path: "/brief/1", others: 3, disturb: faultAll(platformtest.Fault{Refuse: true, RetryAfter: "9"})},
	{name: "the others drain", path: "/brief/1", others: 3, disturb: faultAll(platformtest.Fault{Draining: true, Refuse: true})},
	{name: "the others fail", path: "/brief/1", others: 3, disturb: faultAll(platformtest.Fault{Status: 500})},
	{name: "the others close connections", path: "/brief/1", others: 3, disturb: faultAll(platformtest.Fault{Close: true})},
	{name: "the others work on nothing", path: "/brief/1", others: 3, disturb: faultAll(platformtest.Fault{Hang: true})},
	{name: "the others break off", path: "/brief/1", others: 3, disturb: faultAll(platformtest.Fault{CrashPart: affinityKey})},
	{name: "the others die", path: "/brief/1", others: 3, disturb: func(w *harness, s *platformtest.Server) { w.eachOther(s, w.kill) }},
	{name: "the others are unreachable", path: "/brief/1", others: 3, disturb: func(w *harness, s *platformtest.Server) { w.eachOther(s, w.blackhole) }},
	{name: "the others have no ids", path: "/brief/1", others: 3, disturb: func(w *harness, s *platformtest.Server) {
		w.eachOther(s, func(x *platformtest.Server) {
			x.SetNumbering(platformtest.Numbering{ID: func(int) string { return "" }})
		})
	}},
}

func faultAll(f platformtest.Fault) func(*harness, *platformtest.Server) {
	return func(w *harness, s *platformtest.Server) { w.faultOthers(s, f) }
}

func (w *harness) eachOther(s *platformtest.Server, f func(*platformtest.Server)) {
	for _, x := range w.servers {
		if x != s {
			f(x)
		}
	}
}

// addSome adds engines with a numbering of events.
func (w *harness) addSome(count int, n platformtest.Numbering) {
	for i := range count {
		w.add(fmt.Sprintf("e%d", i), "models", i%3, 30*time.Millisecond).Numbering = n
	}
}

// TestSoundStreamCutOff guards against streams that are cut off, though their engine is sound and at work, as the ids of their
// events rise by uneven steps and no second engine shows that none is missing.
func TestSoundStreamCutOff(t *testing.T) {
	for _, c := range noProof {
		for _, x := range platformtest.Numberings() {
			withHarness(t, c.name+", "+x.Name, func(w *harness) {
				w.addSome(1+c.others, x)
				if c.prepare != nil {
					c.prepare(w)
				}
				time.AfterFunc(1060*time.Millisecond, func() {
					if c.disturb != nil {
						c.disturb(w, w.serving("r1"))
					}
				})
				a := w.stream(context.Background(), c.path)
				So(a.err, ShouldBeNil)
				So(a.body, ShouldEqual, x.Events(prompt, 1, numEvent))
				So(w.book.Runs("r1")[0].Events, ShouldEqual, numEvent)
			})
		}
	}
}

// TestMissingEvent guards against answers that look complete though an event is missing.
func TestMissingEvent(t *testing.T) {
	for _, x := range platformtest.Numberings() {
		if x.Uneven {
			continue
		}
		repeats := platformtest.Fault{RepeatBefore: 40}
		withHarness(t, x.Name+", an event comes again in place of the next", func(w *harness) {
			w.addSome(4, x)
			w.faultOthers(nil, repeats)
			So(w.stream(context.Background(), "/once/1").err, ShouldNotBeNil)
		})
		withHarness(t, x.Name+", an event comes again in place of the next, at one engine", func(w *harness) {
			w.addSome(4, x)
			time.AfterFunc(1500*time.Millisecond, func() { w.serving("r1").SetFault(repeats) })
			a := w.resumableStream(context.Background())
			So(a.err, ShouldBeNil)
			So(a.body, ShouldEqual, x.Events(prompt, 1, numEvent))
		})
		withHarness(t, x.Name+", an event is left out", func(w *harness) {
			w.addSome(4, x)
			time.AfterFunc(1500*time.Millisecond, func() { w.serving("r1").SetFault(platformtest.Fault{SkipEvent: 40}) })
			a := w.resumableStream(context.Background())
			So(a.err, ShouldBeNil)
			So(a.body, ShouldEqual, x.Events(prompt, 1, numEvent))
			So(a.gap, ShouldBeLessThan, maxGap)
		})
		for _, engines := range []int{2, 4} {
			withHarness(t, fmt.Sprintf("%s, %d engines, a resumed run leaves an event out", x.Name, engines), func(w *harness) {
				w.addSome(engines, x)
				time.AfterFunc(1500*time.Millisecond, func() {
					s := w.serving("r1")
					s.SetFault(platformtest.Fault{EndBefore: 40})
					var done atomic.Bool
					w.faultOthers(s, platformtest.Fault{Skips: func(n int) bool {
						return n == 40 && (engines == 2 || !done.Swap(true))
					}})
					time.AfterFunc(time.Second, func() { w.kill(s) })
				})
				a := w.resumableStream(context.Background())
				So(a.err == nil, ShouldEqual, engines > 2)
				if engines > 2 {
					So(a.body, ShouldEqual, x.Events(prompt, 1, numEvent))
				}
			})
		}
	}
}

// TestResumedRunCutOff guards against streams that are cut off as the engine that goes on with them begins with an uneven rise, which single
// runs of the route have shown before.
func TestResumedRunCutOff(t *testing.T) {
	x := platformtest.Numberings()[7]
	withHarness(t, x.Name, func(w *harness) {
		w.addSome(1, x)
		So(w.resumableStream(context.Background(), "X-Request-Id", "r0").err, ShouldBeNil)
		w.add("other", "models", 1, 30*time.Millisecond).SetNumbering(x)
		w.breakRuns(1, 7)
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, x.Events(prompt, 1, numEvent))
	})
}

// TestMissingEventAlone guards against an answer that looks complete though its engine has left an event out, where the route does not
// resume, and against sound ones that are broken off as others rose by equal steps so far.
func TestMissingEventAlone(t *testing.T) {
	promptOf := func(i int) string { return fmt.Sprintf("p%d:8200", i) }
	serve := func(w *harness, name string) []answer {
		list := make([]answer, 30)
		var wg sync.WaitGroup
		for i := range list {
			wg.Go(func() {
				list[i] = w.stream(context.Background(), "/once/1", "X-Request-Id", fmt.Sprint(name, i), "X-Prompt-Prefix", promptOf(i))
			})
		}
		wg.Wait()
		return list
	}
	for _, x := range []struct {
		name    string
		engines int // that leave an event out, or of which some events hold the tokens of two
		now     platformtest.Numbering
		cut     bool
	}{
		{"one engine leaves an event out", 1, platformtest.Numbering{}, true},
		{"some events hold the tokens of two from now on", 9, platformtest.Numberings()[7], false},
	} {
		withHarness(t, x.name, func(w *harness) {
			w.addEngines()
			for _, a := range serve(w, "before-") {
				So(a.err, ShouldBeNil)
			}
			for i := range x.engines {
				s := w.servers[fmt.Sprintf("e%d", i)]
				s.SetNumbering(x.now)
				if x.cut {
					s.SetFault(platformtest.Fault{SkipEvent: 40})
				}
			}
			cut := 0
			for i, a := range serve(w, "r") {
				So(a.err == nil, ShouldEqual, a.body == x.now.Events(promptOf(i), 1, numEvent))
				if a.err != nil {
					cut++
				}
			}
			So(cut > 0, ShouldEqual, x.cut)
		})
	}
}
