package relay_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/engine"
	"quetzalhold/platform/platformtest"
	"quetzalhold/relay"
	"quetzalhold/result"
)

// maxGap is the longest time between two events that callers accept.
const maxGap = 700 * time.Millisecond

// streamFaults strike the engine that works on a stream, two seconds after the
// request: after about 30 events.
var streamFaults = []struct {
	name   string
	strike func(*world, *platformtest.Server)
	gap    time.Duration // permitted
	reread bool          // the whole prompt may be read again
}{
	{name: "no fault", strike: func(*world, *platformtest.Server) {}, gap: maxGap},
	{name: "engine dies", strike: func(w *world, s *platformtest.Server) { w.kill(s) }, gap: maxGap},
	{name: "engine goes dark", strike: func(w *world, s *platformtest.Server) { w.darken(s) }, gap: maxGap},
	{name: "engine dies within an event", strike: func(_ *world, s *platformtest.Server) {
		s.SetFault(platformtest.Fault{TruncateEvent: 40})
	}, gap: maxGap},
	{name: "connection silent for good", strike: func(w *world, s *platformtest.Server) {
		w.net.Blackhole(entryHost, w.host(s))
	}, gap: maxGap},
	{name: "engine skips an event", strike: func(_ *world, s *platformtest.Server) {
		s.SetFault(platformtest.Fault{SkipEvent: 40})
		time.AfterFunc(time.Second, func() { s.SetFault(platformtest.Fault{}) })
	}, gap: maxGap},
	{name: "run stalls", strike: func(_ *world, s *platformtest.Server) { s.SetFault(platformtest.Fault{SilentAfter: 40}) }, gap: maxGap},
	{name: "failure domain dies", strike: func(w *world, s *platformtest.Server) {
		for _, x := range w.servers {
			if x.Domain == s.Domain {
				w.kill(x)
			}
		}
	}, gap: maxGap},
	{name: "failure domain goes dark", strike: func(w *world, s *platformtest.Server) {
		for _, x := range w.servers {
			if x.Domain == s.Domain {
				w.darken(x)
			}
		}
	}, gap: maxGap},
	{name: "all others die and come back", strike: func(w *world, s *platformtest.Server) {
		for _, x := range w.servers {
			if x != s {
				w.kill(x)
			}
		}
		time.AfterFunc(500*time.Millisecond, func() {
			for _, x := range w.servers {
				if x != s {
					x.ID += "-again"
					x.Born += 5000
					w.start(x)
					w.pool.Apply(entry(x))
				}
			}
		})
		time.AfterFunc(1500*time.Millisecond, func() { w.kill(s) })
	}, gap: maxGap},
	{name: "engine and its copy die at once", strike: func(w *world, s *platformtest.Server) {
		for _, x := range w.servers {
			if x.Domain != domains[2] || x == s {
				w.kill(x)
			}
		}
		if s.Domain == domains[2] {
			w.pool.Apply(entry(w.add("late", "models", 0, 30*time.Millisecond)))
		}
	}, gap: 5 * time.Second, reread: true},
}

// TestStreamFaults brings about a fault in the middle of a stream: the caller gets
// every event once and in order, in time, and the prompt is not read again where
// a copy lives.
func TestStreamFaults(t *testing.T) {
	for _, f := range streamFaults {
		inWorld(t, f.name, func(w *world) {
			w.fill()
			time.AfterFunc(2*time.Second, func() { f.strike(w, w.serving("r1")) })
			a := w.brief(context.Background())
			So(a.err, ShouldBeNil)
			So(a.status, ShouldEqual, 200)
			So(a.body, ShouldEqual, events(1, numEvent))
			So(a.gap, ShouldBeLessThanOrEqualTo, f.gap)
			runs := w.book.Runs("r1")
			So(a.header.Get("X-Server-Stamp"), ShouldEqual, "stamp."+runs[0].Server)
			for i := 1; i < len(runs); i++ {
				So(runs[i].First, ShouldBeLessThanOrEqualTo, runs[i-1].First+runs[i-1].Events)
				if !f.reread {
					So(runs[i].Prefill, ShouldBeLessThan, 1000)
				}
			}
			w.checkOneRun("r1")
		})
	}
}

// stopBound is how long an engine may work on a run that goes on elsewhere.
const stopBound = 400 * time.Millisecond

// checkOneRun checks that no run was worked on for long after the next one began,
// but at engines that could not be told.
func (w *world) checkOneRun(id string) {
	runs := w.book.Runs(id)
	for i := 1; i < len(runs); i++ {
		if runs[i-1].Ended.IsZero() {
			continue // it vanished
		}
		So(runs[i-1].Ended.Sub(runs[i].Started), ShouldBeLessThan, stopBound)
	}
}

func TestStreamBegin(t *testing.T) {
	inWorld(t, "An engine that dies before the first event is replaced", func(w *world) {
		w.fill()
		time.AfterFunc(600*time.Millisecond, func() {
			for _, s := range w.servers {
				if s.Running() > 0 {
					w.kill(s)
				}
			}
		})
		a := w.brief(context.Background())
		So(a.body, ShouldEqual, events(1, numEvent))
		So(a.first, ShouldBeLessThan, 2*time.Second)
	})
	inWorld(t, "A dark engine is found before the first event", func(w *world) {
		w.fill()
		time.AfterFunc(600*time.Millisecond, func() {
			for _, s := range w.servers {
				if s.Running() > 0 {
					w.darken(s)
				}
			}
		})
		a := w.brief(context.Background())
		So(a.body, ShouldEqual, events(1, numEvent))
		So(a.first, ShouldBeLessThan, 2500*time.Millisecond)
	})
	inWorld(t, "Engines that accept requests, never work and so look idle are found", func(w *world) {
		w.fill()
		hung := 0
		for _, s := range w.servers {
			if hung++; hung <= 3 {
				s.SetFault(platformtest.Fault{Hang: true})
			}
		}
		for range 6 {
			a := w.brief(context.Background())
			So(a.body, ShouldEqual, events(1, numEvent))
			So(a.first, ShouldBeLessThan, 4500*time.Millisecond)
		}
	})
	inWorld(t, "Engines that say they leave get nothing while others are asked too", func(w *world) {
		w.fill()
		// Of six engines asked at least one is not leaving.
		leaving := map[string]bool{}
		for id, s := range w.servers {
			if len(leaving) < 5 {
				leaving[id] = true
				s.SetFault(platformtest.Fault{Draining: true})
			}
		}
		for range 5 {
			So(w.brief(context.Background()).status, ShouldEqual, 200)
		}
		for _, r := range w.book.Runs("r1") {
			So(leaving[r.Server], ShouldBeFalse)
		}
	})
	inWorld(t, "An engine that is another one now is not used", func(w *world) {
		w.fill()
		for _, s := range w.servers {
			s.ID += "-other"
		}
		a := w.brief(context.Background())
		So(a.status, ShouldEqual, 503)
		So(a.header.Get("Retry-After"), ShouldNotBeEmpty)
		So(w.book.Runs("r1"), ShouldBeEmpty)
	})
	inWorld(t, "A stream that the caller resumes goes on after its last event", func(w *world) {
		w.fill()
		a := w.brief(context.Background(), "Last-Event-Id", "50")
		So(a.body, ShouldEqual, events(51, numEvent))
	})
	inWorld(t, "No engine: refused at once, with a time to come back", func(w *world) {
		a := w.brief(context.Background())
		So(a.status, ShouldEqual, 503)
		So(a.header.Get("Retry-After"), ShouldNotBeEmpty)
		So(a.took, ShouldBeLessThan, 3*time.Second)
	})
}

// TestComeBack lets a caller come back for the rest of a stream whose entry VM died,
// while the engine that had read the prompt is the busiest: it goes on there, within
// the pause that callers accept.
func TestComeBack(t *testing.T) {
	others := func(w *world, s *platformtest.Server, n int) {
		for i := range n {
			go w.askAt(s, fmt.Sprintf("other-%d", i))
		}
	}
	inWorld(t, "The engine that read the prompt goes on", func(w *world) {
		w.fill()
		ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		defer cancel()
		w.brief(ctx)
		first := w.serving("r1")
		others(w, first, 3)
		time.Sleep(3 * time.Second)
		a := w.brief(context.Background(), "X-Request-Id", "r2", "Last-Event-Id", "30")
		So(a.body, ShouldEqual, events(31, numEvent))
		So(a.first, ShouldBeLessThan, maxGap)
		So(w.serving("r2").ID, ShouldEqual, first.ID)
		So(w.book.Runs("r2")[0].Prefill, ShouldBeLessThan, 1000)
	})
	inWorld(t, "It died meanwhile: another one reads the prompt", func(w *world) {
		w.fill()
		ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		defer cancel()
		w.brief(ctx)
		w.darken(w.serving("r1"))
		a := w.brief(context.Background(), "X-Request-Id", "r2", "Last-Event-Id", "30")
		So(a.body, ShouldEqual, events(31, numEvent))
		So(a.first, ShouldBeLessThan, 2500*time.Millisecond)
	})
}

// TestCopyElsewhere loses a run's copy while most engines have no room for another: one
// that has gets it, before the run's engine dies too.
func TestCopyElsewhere(t *testing.T) {
	inWorld(t, "A copy that finds no room is ordered elsewhere", func(w *world) {
		w.fill()
		full := make(map[string]bool)
		time.AfterFunc(1500*time.Millisecond, func() {
			first := w.serving("r1")
			for _, s := range w.servers {
				if s.Domain == domains[2] {
					full[s.Address] = true
				}
			}
			for _, s := range w.servers {
				s.SetFault(platformtest.Fault{FailCopiesTo: full})
			}
			copyAt := w.book.Runs("r1")[0].Header.Get("X-Kv-Backup")
			full[copyAt] = true // it is about to die
			for _, s := range w.servers {
				if s.Address == copyAt {
					w.kill(s)
					w.pool.MarkFailed(engine.ServerID(s.ID), time.Now())
				}
			}
			time.AfterFunc(2500*time.Millisecond, func() { w.kill(first) })
		})
		a := w.brief(context.Background())
		So(a.body, ShouldEqual, events(1, numEvent))
		So(a.gap, ShouldBeLessThan, maxGap)
		So(w.book.Runs("r1")[1].Prefill, ShouldBeLessThan, 1000)
	})
}

// TestNear checks that a prompt stays in the region, where reports come at once, and
// leaves it for engines that are less loaded.
func TestNear(t *testing.T) {
	for _, x := range []struct {
		name   string
		others int // generations at each engine of the region
		near   bool
	}{{"idle", 0, true}, {"a generation each", 1, true}, {"three generations each", 3, false}} {
		inWorld(t, "Engines of the region: "+x.name, func(w *world) {
			w.fill()
			for id, s := range w.servers {
				for i := range x.others {
					if s.Domain == domains[0] {
						go w.askAt(s, fmt.Sprintf("other-%s-%d", id, i))
					}
				}
			}
			time.Sleep(3 * time.Second)
			a := w.brief(context.Background())
			So(a.body, ShouldEqual, events(1, numEvent))
			run := w.book.Runs("r1")[0]
			So(w.servers[run.Server].Domain == domains[0], ShouldEqual, x.near)
			if x.near {
				// Its prompt, its first event, and some round trips.
				So(a.first, ShouldBeLessThan, 1025*time.Millisecond+30*time.Millisecond+20*time.Millisecond)
				So(run.Header.Get("X-Kv-Backup"), ShouldNotStartWith, "10.1.")
			}
		})
	}
}

func TestStreamCallerLeaves(t *testing.T) {
	for _, after := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
		inWorld(t, "The engine stops when the caller leaves after "+after.String(), func(w *world) {
			w.fill()
			ctx, cancel := context.WithTimeout(context.Background(), after)
			defer cancel()
			w.brief(ctx)
			time.Sleep(500 * time.Millisecond)
			for _, s := range w.servers {
				So(s.Running(), ShouldEqual, 0)
			}
			So(w.ended(), ShouldResemble, []result.Code{result.CallerGone})
		})
	}
}

func TestStreamTimeOut(t *testing.T) {
	inWorld(t, "A stream that does not end in time is broken off, not ended", func(w *world) {
		w.fill()
		a := w.brief(context.Background(), "X-Deadline-Ms", "2500")
		So(a.err, ShouldNotBeNil)
		So(a.took, ShouldBeBetween, 2400*time.Millisecond, 2700*time.Millisecond)
	})
}

// TestStop checks what callers get when the entry VM stops: a stream must not look
// whole, and only what has not run is refused as such.
func TestStop(t *testing.T) {
	inWorld(t, "A stream under way is broken off", func(w *world) {
		w.fill()
		time.AfterFunc(2*time.Second, func() { w.stop(relay.ErrStopping) })
		a := w.brief(context.Background())
		So(a.status, ShouldEqual, 200)
		So(a.err, ShouldNotBeNil)
	})
	inWorld(t, "A call that may have run is broken off", func(w *world) {
		w.add("a0", "app", 0, 500*time.Millisecond)
		time.AfterFunc(200*time.Millisecond, func() { w.stop(relay.ErrStopping) })
		a := w.ask(context.Background(), "POST", "/book/1", "")
		So(a.err, ShouldNotBeNil)
		So(a.status, ShouldEqual, 0)
	})
	inWorld(t, "A call that has not run is refused", func(w *world) {
		time.AfterFunc(10*time.Millisecond, func() { w.stop(relay.ErrStopping) })
		a := w.ask(context.Background(), "POST", "/book/1", "")
		So(a.status, ShouldEqual, 503)
	})
}

// TestHopeless replays what follows a loss of all entry VMs: callers come back with
// a few seconds left.
func TestHopeless(t *testing.T) {
	inWorld(t, "Less time than such answers need is refused at once and costs no prompt", func(w *world) {
		w.fill()
		for range 8 {
			So(w.brief(context.Background()).status, ShouldEqual, 200)
		}
		before := len(w.book.Runs("r1"))
		a := w.brief(context.Background(), "X-Deadline-Ms", "3000")
		So(a.status, ShouldEqual, 503)
		So(a.took, ShouldBeLessThan, 100*time.Millisecond)
		a = w.brief(context.Background(), "X-Deadline-Ms", "3000", "Last-Event-Id", "100")
		So(a.body, ShouldEqual, events(101, numEvent))
		So(len(w.book.Runs("r1")), ShouldEqual, before+1)
	})
}

// TestStreamOnce checks streams that must not be resumed: they run once, silence does
// not end them, and only what has not run is refused as such.
func TestStreamOnce(t *testing.T) {
	inWorld(t, "Silence does not end it", func(w *world) {
		w.fill()
		for _, s := range w.servers {
			s.SetFault(platformtest.Fault{Delay: 8 * time.Second})
		}
		a := w.stream(context.Background(), "/once/1")
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
		So(w.book.Runs("r1"), ShouldHaveLength, 1)
	})
	inWorld(t, "An engine that dies before the first event may have run it", func(w *world) {
		w.fill()
		time.AfterFunc(600*time.Millisecond, func() {
			for _, s := range w.servers {
				w.kill(s)
			}
		})
		So(w.stream(context.Background(), "/once/1").status, ShouldEqual, 502)
	})
	inWorld(t, "One that never answers may have run it", func(w *world) {
		w.fill()
		for _, s := range w.servers {
			s.SetFault(platformtest.Fault{Hang: true})
		}
		a := w.stream(context.Background(), "/once/1", "X-Deadline-Ms", "3000")
		So(a.status, ShouldEqual, 504)
	})
	// The run of a stream ends with its time; which of both is seen first must not matter.
	inWorld(t, "Of many whose time ends at once none is said to have lost its engine", func(w *world) {
		w.fill()
		for _, s := range w.servers {
			s.SetFault(platformtest.Fault{Hang: true})
		}
		statuses := make([]int, 300)
		var wg sync.WaitGroup
		for i := range statuses {
			wg.Go(func() {
				statuses[i] = w.stream(context.Background(), "/once/1", "X-Request-Id", fmt.Sprintf("r%d", i), "X-Deadline-Ms", "3000").status
			})
		}
		wg.Wait()
		So(statuses, ShouldResemble, slices.Repeat([]int{504}, len(statuses)))
		for _, s := range w.servers {
			v, ok := w.pool.View(engine.ServerID(s.ID), time.Now())
			So(ok, ShouldBeTrue)
			So(v.FailedAt.IsZero(), ShouldBeTrue)
		}
	})
	inWorld(t, "One that is refused goes to another engine", func(w *world) {
		w.fill()
		n := 0
		for _, s := range w.servers {
			if n++; n < 8 {
				s.SetFault(platformtest.Fault{Refuse: true})
			}
		}
		So(w.stream(context.Background(), "/once/1").body, ShouldEqual, events(1, numEvent))
	})
	inWorld(t, "A run is not left that no other may follow", func(w *world) {
		w.fill()
		w.budget.Ratio = 0
		w.budget.SetSlack(0)
		for _, s := range w.servers {
			s.SetFault(platformtest.Fault{Delay: 8 * time.Second})
		}
		So(w.brief(context.Background()).body, ShouldEqual, events(1, numEvent))
	})
}
