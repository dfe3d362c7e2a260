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

// streamFaults are injected into the engine that serves a stream, two seconds after the
// request: after about 30 events.
var streamFaults = []struct {
	name         string
	inject       func(*harness, *platformtest.Server)
	gap          time.Duration // longest permitted
	prefillAgain bool          // the whole prompt may be read again
}{
	{name: "no fault", inject: func(*harness, *platformtest.Server) {}, gap: maxGap},
	{name: "engine dies", inject: func(w *harness, s *platformtest.Server) { w.kill(s) }, gap: maxGap},
	{name: "engine becomes unreachable", inject: func(w *harness, s *platformtest.Server) { w.blackhole(s) }, gap: maxGap},
	{name: "engine dies within an event", inject: func(_ *harness, s *platformtest.Server) {
		s.SetFault(platformtest.Fault{TruncateEvent: 40})
	}, gap: maxGap},
	{name: "connection silent for good", inject: func(w *harness, s *platformtest.Server) {
		w.net.Blackhole(entryHost, w.host(s))
	}, gap: maxGap},
	{name: "engine skips an event", inject: func(_ *harness, s *platformtest.Server) {
		s.SetFault(platformtest.Fault{SkipEvent: 40})
		time.AfterFunc(time.Second, func() { s.SetFault(platformtest.Fault{}) })
	}, gap: maxGap},
	{name: "run stalls", inject: func(_ *harness, s *platformtest.Server) { s.SetFault(platformtest.Fault{SilentAfter: 40}) }, gap: maxGap},
	{name: "failure domain dies", inject: func(w *harness, s *platformtest.Server) {
		for _, x := range w.servers {
			if x.Domain == s.Domain {
				w.kill(x)
			}
		}
	}, gap: maxGap},
	{name: "failure domain becomes unreachable", inject: func(w *harness, s *platformtest.Server) {
		for _, x := range w.servers {
			if x.Domain == s.Domain {
				w.blackhole(x)
			}
		}
	}, gap: maxGap},
	{name: "all others die and come back", inject: func(w *harness, s *platformtest.Server) {
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
	{name: "engine and its copy die at once", inject: func(w *harness, s *platformtest.Server) {
		for _, x := range w.servers {
			if x.Domain != domains[2] || x == s {
				w.kill(x)
			}
		}
		if s.Domain == domains[2] {
			w.pool.Apply(entry(w.add("late", "models", 0, 30*time.Millisecond)))
		}
	}, gap: 5 * time.Second, prefillAgain: true},
}

// TestStreamFaults injects a fault in the middle of a stream. The caller must receive every
// event once, in order and in time, and the prompt must not be read again where a copy of the
// KV cache survives.
func TestStreamFaults(t *testing.T) {
	for _, f := range streamFaults {
		withHarness(t, f.name, func(w *harness) {
			w.addEngines()
			time.AfterFunc(2*time.Second, func() { f.inject(w, w.serving("r1")) })
			a := w.resumableStream(context.Background())
			So(a.err, ShouldBeNil)
			So(a.status, ShouldEqual, 200)
			So(a.body, ShouldEqual, events(1, numEvent))
			So(a.gap, ShouldBeLessThanOrEqualTo, f.gap)
			runs := w.book.Runs("r1")
			So(a.header.Get("X-Server-Stamp"), ShouldEqual, "stamp."+runs[0].Server)
			for i := 1; i < len(runs); i++ {
				So(runs[i].First, ShouldBeLessThanOrEqualTo, runs[i-1].First+runs[i-1].Events)
				if !f.prefillAgain {
					So(runs[i].Prefill, ShouldBeLessThan, 1000)
				}
			}
			w.checkOneRun("r1")
		})
	}
}

// stopBound is how long an engine may work on a run after it has continued elsewhere.
const stopBound = 400 * time.Millisecond

// checkOneRun checks that no engine worked on a run for long after the next run began, except
// engines that were unreachable.
func (w *harness) checkOneRun(id string) {
	runs := w.book.Runs(id)
	for i := 1; i < len(runs); i++ {
		if runs[i-1].Ended.IsZero() {
			continue // the engine was unreachable
		}
		So(runs[i-1].Ended.Sub(runs[i].Started), ShouldBeLessThan, stopBound)
	}
}

func TestStreamBegin(t *testing.T) {
	withHarness(t, "An engine that dies before the first event is replaced", func(w *harness) {
		w.addEngines()
		time.AfterFunc(600*time.Millisecond, func() {
			for _, s := range w.servers {
				if s.Running() > 0 {
					w.kill(s)
				}
			}
		})
		a := w.resumableStream(context.Background())
		So(a.body, ShouldEqual, events(1, numEvent))
		So(a.first, ShouldBeLessThan, 2*time.Second)
	})
	withHarness(t, "An unreachable engine is detected before the first event", func(w *harness) {
		w.addEngines()
		time.AfterFunc(600*time.Millisecond, func() {
			for _, s := range w.servers {
				if s.Running() > 0 {
					w.blackhole(s)
				}
			}
		})
		a := w.resumableStream(context.Background())
		So(a.body, ShouldEqual, events(1, numEvent))
		So(a.first, ShouldBeLessThan, 2500*time.Millisecond)
	})
	withHarness(t, "Engines that accept requests but never work on them, and so look idle, are detected", func(w *harness) {
		w.addEngines()
		hung := 0
		for _, s := range w.servers {
			if hung++; hung <= 3 {
				s.SetFault(platformtest.Fault{Hang: true})
			}
		}
		for range 6 {
			a := w.resumableStream(context.Background())
			So(a.body, ShouldEqual, events(1, numEvent))
			So(a.first, ShouldBeLessThan, 4500*time.Millisecond)
		}
	})
	withHarness(t, "Engines that report that they are leaving get no stream while others are available", func(w *harness) {
		w.addEngines()
		// Of six engines queried at least one is not leaving.
		leaving := map[string]bool{}
		for id, s := range w.servers {
			if len(leaving) < 5 {
				leaving[id] = true
				s.SetFault(platformtest.Fault{Draining: true})
			}
		}
		for range 5 {
			So(w.resumableStream(context.Background()).status, ShouldEqual, 200)
		}
		for _, r := range w.book.Runs("r1") {
			So(leaving[r.Server], ShouldBeFalse)
		}
	})
	withHarness(t, "An engine whose address now belongs to another one is not used", func(w *harness) {
		w.addEngines()
		for _, s := range w.servers {
			s.ID += "-other"
		}
		a := w.resumableStream(context.Background())
		So(a.status, ShouldEqual, 503)
		So(a.header.Get("Retry-After"), ShouldNotBeEmpty)
		So(w.book.Runs("r1"), ShouldBeEmpty)
	})
	withHarness(t, "A stream that the caller resumes continues after its last event", func(w *harness) {
		w.addEngines()
		a := w.resumableStream(context.Background(), "Last-Event-Id", "50")
		So(a.body, ShouldEqual, events(51, numEvent))
	})
	withHarness(t, "No engine: refused at once, with a time to retry", func(w *harness) {
		a := w.resumableStream(context.Background())
		So(a.status, ShouldEqual, 503)
		So(a.header.Get("Retry-After"), ShouldNotBeEmpty)
		So(a.took, ShouldBeLessThan, 3*time.Second)
	})
}

// TestComeBack resumes a stream with a new request, as a caller does after the loss of its
// entry VM, while the engine that has read the prompt is the busiest: the stream continues at
// that engine, within the gap that callers accept.
func TestComeBack(t *testing.T) {
	load := func(w *harness, s *platformtest.Server, n int) {
		for i := range n {
			go w.requestAt(s, fmt.Sprintf("other-%d", i))
		}
	}
	withHarness(t, "The engine that read the prompt continues", func(w *harness) {
		w.addEngines()
		ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		defer cancel()
		w.resumableStream(ctx)
		first := w.serving("r1")
		load(w, first, 3)
		time.Sleep(3 * time.Second)
		a := w.resumableStream(context.Background(), "X-Request-Id", "r2", "Last-Event-Id", "30")
		So(a.body, ShouldEqual, events(31, numEvent))
		So(a.first, ShouldBeLessThan, maxGap)
		So(w.serving("r2").ID, ShouldEqual, first.ID)
		So(w.book.Runs("r2")[0].Prefill, ShouldBeLessThan, 1000)
	})
	withHarness(t, "It died meanwhile: another one reads the prompt", func(w *harness) {
		w.addEngines()
		ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		defer cancel()
		w.resumableStream(ctx)
		w.blackhole(w.serving("r1"))
		a := w.resumableStream(context.Background(), "X-Request-Id", "r2", "Last-Event-Id", "30")
		So(a.body, ShouldEqual, events(31, numEvent))
		So(a.first, ShouldBeLessThan, 2500*time.Millisecond)
	})
}

// TestCopyElsewhere kills the engine that holds a run's replica while most engines have no
// capacity for a checkpoint: one that has must get it before the run's own engine dies too.
func TestCopyElsewhere(t *testing.T) {
	withHarness(t, "A checkpoint for which one engine has no capacity is made at another", func(w *harness) {
		w.addEngines()
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
			full[copyAt] = true // it is killed below
			for _, s := range w.servers {
				if s.Address == copyAt {
					w.kill(s)
					w.pool.MarkFailed(engine.ServerID(s.ID), time.Now())
				}
			}
			time.AfterFunc(2500*time.Millisecond, func() { w.kill(first) })
		})
		a := w.resumableStream(context.Background())
		So(a.body, ShouldEqual, events(1, numEvent))
		So(a.gap, ShouldBeLessThan, maxGap)
		So(w.book.Runs("r1")[1].Prefill, ShouldBeLessThan, 1000)
	})
}

// TestNear checks that a prompt stays in the region, where reports come at once, and leaves it
// only for engines that are less loaded.
func TestNear(t *testing.T) {
	for _, x := range []struct {
		name   string
		others int // generations at each engine of the region
		near   bool
	}{{"idle", 0, true}, {"a generation each", 1, true}, {"three generations each", 3, false}} {
		withHarness(t, "Engines of the region: "+x.name, func(w *harness) {
			w.addEngines()
			for id, s := range w.servers {
				for i := range x.others {
					if s.Domain == domains[0] {
						go w.requestAt(s, fmt.Sprintf("other-%s-%d", id, i))
					}
				}
			}
			time.Sleep(3 * time.Second)
			a := w.resumableStream(context.Background())
			So(a.body, ShouldEqual, events(1, numEvent))
			run := w.book.Runs("r1")[0]
			So(w.servers[run.Server].Domain == domains[0], ShouldEqual, x.near)
			if x.near {
				// The prompt, the first event, and some round trips.
				So(a.first, ShouldBeLessThan, 1025*time.Millisecond+30*time.Millisecond+20*time.Millisecond)
				So(run.Header.Get("X-Kv-Backup"), ShouldNotStartWith, "10.1.")
			}
		})
	}
}

// TestReportsPerStream checks how many load reports a stream costs: few while engines are idle,
// as many as it takes to find the least loaded one while they are not.
func TestReportsPerStream(t *testing.T) {
	reports := func(w *harness) int {
		n := 0
		for _, s := range w.servers {
			n += s.Reports()
		}
		return n
	}
	withHarness(t, "idle engines", func(w *harness) {
		for i := range 8 {
			w.add(fmt.Sprintf("e%d", i), "models", 0, 30*time.Millisecond)
		}
		a := w.resumableStream(context.Background())
		So(a.body, ShouldEqual, events(1, numEvent))
		So(reports(w), ShouldBeLessThanOrEqualTo, 3)
	})
	withHarness(t, "one idle engine among busy ones", func(w *harness) {
		for i := range 6 {
			s := w.add(fmt.Sprintf("e%d", i), "models", 0, 30*time.Millisecond)
			if i != 4 {
				go w.requestAt(s, "other-"+s.ID)
			}
		}
		time.Sleep(2 * time.Second)
		a := w.resumableStream(context.Background())
		So(a.body, ShouldEqual, events(1, numEvent))
		So(w.book.Runs("r1")[0].Server, ShouldEqual, "e4")
	})
	withHarness(t, "engines that do not answer delay the choice once", func(w *harness) {
		for i := range 9 {
			if s := w.add(fmt.Sprintf("e%d", i), "models", i/6, 30*time.Millisecond); i < 5 {
				w.blackhole(s)
			}
		}
		a := w.resumableStream(context.Background())
		So(a.body, ShouldEqual, events(1, numEvent))
		So(a.first, ShouldBeLessThan, 1800*time.Millisecond) // 1,025 ms of prefill, two waits for reports
	})
}

func TestStreamCallerLeaves(t *testing.T) {
	for _, after := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
		withHarness(t, "The engine stops when the caller leaves after "+after.String(), func(w *harness) {
			w.addEngines()
			ctx, cancel := context.WithTimeout(context.Background(), after)
			defer cancel()
			w.resumableStream(ctx)
			time.Sleep(500 * time.Millisecond)
			for _, s := range w.servers {
				So(s.Running(), ShouldEqual, 0)
			}
			So(w.ended(), ShouldResemble, []result.Code{result.CallerGone})
		})
	}
}

func TestStreamTimeOut(t *testing.T) {
	withHarness(t, "A stream that does not end in time is aborted, not completed", func(w *harness) {
		w.addEngines()
		a := w.resumableStream(context.Background(), "X-Deadline-Ms", "2500")
		So(a.err, ShouldNotBeNil)
		So(a.took, ShouldBeBetween, 2400*time.Millisecond, 2700*time.Millisecond)
	})
}

// TestStop checks what callers receive when the entry VM stops: a partial stream must not look
// complete, and only what has not run is refused as not run.
func TestStop(t *testing.T) {
	withHarness(t, "A stream in flight is aborted", func(w *harness) {
		w.addEngines()
		time.AfterFunc(2*time.Second, func() { w.cancelRequests(relay.ErrStopping) })
		a := w.resumableStream(context.Background())
		So(a.status, ShouldEqual, 200)
		So(a.err, ShouldNotBeNil)
	})
	withHarness(t, "A call that may have run is answered, and not refused", func(w *harness) {
		w.add("a0", "app", 0, 500*time.Millisecond)
		time.AfterFunc(200*time.Millisecond, func() { w.cancelRequests(relay.ErrStopping) })
		a := w.request(context.Background(), "POST", "/book/1", "")
		So(a.err, ShouldBeNil)
		So(a.status, ShouldEqual, 502)
		So(a.header.Get("X-Server-Stamp"), ShouldBeEmpty)
		So(w.book.Runs("r1"), ShouldHaveLength, 1)
	})
	withHarness(t, "A stream that may have run and has no event yet is answered, and not refused", func(w *harness) {
		w.add("e0", "models", 0, 30*time.Millisecond).SetFault(platformtest.Fault{Delay: 5 * time.Second})
		time.AfterFunc(200*time.Millisecond, func() { w.cancelRequests(relay.ErrStopping) })
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.status, ShouldEqual, 502)
		So(a.header.Get("X-Server-Stamp"), ShouldBeEmpty)
	})
	withHarness(t, "A call that has not run is refused", func(w *harness) {
		time.AfterFunc(10*time.Millisecond, func() { w.cancelRequests(relay.ErrStopping) })
		a := w.request(context.Background(), "POST", "/book/1", "")
		So(a.status, ShouldEqual, 503)
	})
}

// TestHopeless repeats what follows a loss of all entry VMs: callers come back with a few
// seconds left.
func TestHopeless(t *testing.T) {
	withHarness(t, "A request with less time left than such answers need is refused at once, and no engine reads its prompt", func(w *harness) {
		w.addEngines()
		for range 8 {
			So(w.resumableStream(context.Background()).status, ShouldEqual, 200)
		}
		before := len(w.book.Runs("r1"))
		a := w.resumableStream(context.Background(), "X-Deadline-Ms", "3000")
		So(a.status, ShouldEqual, 503)
		So(a.took, ShouldBeLessThan, 100*time.Millisecond)
		a = w.resumableStream(context.Background(), "X-Deadline-Ms", "3000", "Last-Event-Id", "100")
		So(a.body, ShouldEqual, events(101, numEvent))
		So(len(w.book.Runs("r1")), ShouldEqual, before+1)
	})
}

// TestStreamOnce checks streams that must not be resumed: they run once, silence does not end
// them, and only what has not run is refused as not run.
func TestStreamOnce(t *testing.T) {
	withHarness(t, "Silence does not end it", func(w *harness) {
		w.addEngines()
		for _, s := range w.servers {
			s.SetFault(platformtest.Fault{Delay: 8 * time.Second})
		}
		a := w.stream(context.Background(), "/once/1")
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
		So(w.book.Runs("r1"), ShouldHaveLength, 1)
	})
	withHarness(t, "An engine that dies before the first event may have run it", func(w *harness) {
		w.addEngines()
		time.AfterFunc(600*time.Millisecond, func() {
			for _, s := range w.servers {
				w.kill(s)
			}
		})
		So(w.stream(context.Background(), "/once/1").status, ShouldEqual, 502)
	})
	withHarness(t, "An engine that never answers may have run it", func(w *harness) {
		w.addEngines()
		for _, s := range w.servers {
			s.SetFault(platformtest.Fault{Hang: true})
		}
		a := w.stream(context.Background(), "/once/1", "X-Deadline-Ms", "3000")
		So(a.status, ShouldEqual, 504)
	})
	// A run is cancelled by the deadline of its stream; the order in which the two are noticed
	// must not matter.
	withHarness(t, "Of many streams that time out at once none is reported as a lost engine", func(w *harness) {
		w.addEngines()
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
	withHarness(t, "A refused stream goes to another engine", func(w *harness) {
		w.addEngines()
		n := 0
		for _, s := range w.servers {
			if n++; n < 8 {
				s.SetFault(platformtest.Fault{Refuse: true})
			}
		}
		So(w.stream(context.Background(), "/once/1").body, ShouldEqual, events(1, numEvent))
	})
	withHarness(t, "A run continues while the retry budget allows no other", func(w *harness) {
		w.addEngines()
		w.budget.Ratio = 0
		w.budget.SetSlack(0)
		for _, s := range w.servers {
			s.SetFault(platformtest.Fault{Delay: 8 * time.Second})
		}
		So(w.resumableStream(context.Background()).body, ShouldEqual, events(1, numEvent))
	})
}

// TestPartialAnswers checks that the answers of an engine that is too slow are reported though
// they end elsewhere or not at all, and that those of a dead one are not.
func TestPartialAnswers(t *testing.T) {
	slow := platformtest.Fault{Delay: 15 * time.Second}
	for _, x := range []struct {
		name    string
		fault   func(*harness, *platformtest.Server)
		headers []string
		partial bool
		first   time.Duration // the least
	}{
		{"slow, the answer comes from another", func(_ *harness, s *platformtest.Server) { s.SetFault(slow) }, nil, true, 4500 * time.Millisecond},
		{"slow, the time is up before", func(_ *harness, s *platformtest.Server) { s.SetFault(slow) }, []string{"X-Deadline-Ms", "2500"}, true, 2400 * time.Millisecond},
		{"hung", func(_ *harness, s *platformtest.Server) { s.SetFault(platformtest.Fault{Hang: true}) }, nil, true, 600 * time.Millisecond},
		{"dead", func(w *harness, s *platformtest.Server) { time.AfterFunc(600*time.Millisecond, func() { w.kill(s) }) }, nil, false, 0},
		{"unreachable", func(w *harness, s *platformtest.Server) {
			time.AfterFunc(600*time.Millisecond, func() { w.blackhole(s) })
		}, nil, false, 0},
	} {
		withHarness(t, "An engine is "+x.name, func(w *harness) {
			var mu sync.Mutex
			var answers []relay.ServerAnswer
			w.relay.Answered = func(a relay.ServerAnswer) {
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			}
			x.fault(w, w.add("first", "models", 0, 30*time.Millisecond))
			time.AfterFunc(time.Second, func() { w.add("other", "models", 0, 30*time.Millisecond) })
			w.resumableStream(context.Background(), x.headers...)
			mu.Lock()
			defer mu.Unlock()
			if !x.partial {
				So(answers, ShouldBeEmpty)
				return
			}
			So(answers, ShouldHaveLength, 1)
			So(answers[0].Server, ShouldEqual, engine.ServerID("first"))
			So(answers[0].Version, ShouldEqual, engine.Version("v1"))
			So(answers[0].Partial, ShouldBeTrue)
			So(answers[0].First, ShouldBeGreaterThanOrEqualTo, x.first)
			So(answers[0].Hung, ShouldEqual, x.name == "hung")
		})
	}
}
