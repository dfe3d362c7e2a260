package relay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/engine"
	"quetzalhold/platform/platformtest"
	"quetzalhold/relay"
	"quetzalhold/result"
	"quetzalhold/routing"
)

// silence makes an engine silent for d.
func silence(s *platformtest.Server, d time.Duration) {
	s.SetFault(platformtest.Fault{SilentUntil: time.Now().Add(d)})
}

// faultOthers makes all engines but one misbehave.
func (w *harness) faultOthers(s *platformtest.Server, f platformtest.Fault) {
	for _, x := range w.servers {
		if x != s {
			x.SetFault(f)
		}
	}
}

// TestSilentRunGivenUpThoughOthersRefuse guards against a stream that is broken off because its
// engine is silent for a while and all others refuse it.
func TestSilentRunGivenUpThoughOthersRefuse(t *testing.T) {
	for _, x := range []struct {
		name   string
		silent time.Duration
		full   bool // its engine takes no other run meanwhile
		slack  float64
		others platformtest.Fault
	}{
		{"for a second", time.Second, false, 20, platformtest.Fault{Refuse: true}},
		{"for four seconds", 4 * time.Second, false, 20, platformtest.Fault{Refuse: true}},
		{"for a second, engine full", time.Second, true, 20, platformtest.Fault{Refuse: true}},
		{"for four seconds, engine full", 4 * time.Second, true, 100, platformtest.Fault{Refuse: true}},
		{"for a second, few retries left", time.Second, false, 2, platformtest.Fault{Refuse: true}},
		{"for four seconds, others fail", 4 * time.Second, true, 100, platformtest.Fault{Status: 500}},
	} {
		withHarness(t, x.name, func(w *harness) {
			w.addEngines()
			w.budget.Ratio = 0
			w.budget.SetSlack(x.slack)
			time.AfterFunc(2*time.Second, func() {
				s := w.serving("r1")
				w.faultOthers(s, x.others)
				s.SetFault(platformtest.Fault{SilentUntil: time.Now().Add(x.silent), Refuse: x.full})
			})
			a := w.resumableStream(context.Background())
			So(a.err, ShouldBeNil)
			So(a.body, ShouldEqual, events(1, numEvent))
			So(w.book.Runs("r1")[0].Events, ShouldEqual, numEvent) // its first run went on to the end
			So(w.ended(), ShouldResemble, []result.Code{result.OK})
		})
	}
	withHarness(t, "before the first event", func(w *harness) {
		s := w.add("e0", "models", 0, 30*time.Millisecond)
		s.SetFault(platformtest.Fault{Delay: 8 * time.Second})
		time.AfterFunc(500*time.Millisecond, func() {
			s.SetFault(platformtest.Fault{Refuse: true}) // it is full
			for i := 1; i < 4; i++ {
				w.add(fmt.Sprintf("e%d", i), "models", i%3, 30*time.Millisecond).SetFault(platformtest.Fault{Refuse: true})
			}
		})
		a := w.resumableStream(context.Background())
		So(a.status, ShouldEqual, http.StatusOK)
		So(a.body, ShouldEqual, events(1, numEvent))
		So(w.book.Runs("r1"), ShouldHaveLength, 1)
	})
	withHarness(t, "the others are unreachable", func(w *harness) {
		w.addEngines()
		time.AfterFunc(2*time.Second, func() {
			s := w.serving("r1")
			for _, x := range w.servers {
				if x != s {
					w.blackhole(x)
				}
			}
			s.SetFault(platformtest.Fault{SilentUntil: time.Now().Add(time.Second), Refuse: true})
		})
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
		So(w.book.Runs("r1"), ShouldHaveLength, 1)
	})
	withHarness(t, "nothing listens at the others any more", func(w *harness) {
		w.addEngines()
		time.AfterFunc(2*time.Second, func() {
			s := w.serving("r1")
			for _, x := range w.servers {
				if x != s {
					w.kill(x)
				}
			}
			s.SetFault(platformtest.Fault{SilentUntil: time.Now().Add(time.Second), Refuse: true})
		})
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
		So(w.book.Runs("r1"), ShouldHaveLength, 1)
	})
}

// TestSilentRunGivenUpForSpentBudget guards against streams that are broken off because many of
// one silent engine decide on a retry at the same moment, of which the budget allows one.
func TestSilentRunGivenUpForSpentBudget(t *testing.T) {
	withHarness(t, "six streams, one retry", func(w *harness) {
		c := testConfig()
		c.Services[0].Model = &routing.Model{Slots: 48, KVTokens: 88000}
		w.setTable(routing.NewTable(c))
		w.relay.Detector.RestartAfter = 400 * time.Millisecond
		w.budget.Ratio = 0
		w.budget.SetSlack(1)
		s := w.add("e0", "models", 0, 30*time.Millisecond)
		time.AfterFunc(2*time.Second, func() {
			for i := 1; i < 4; i++ {
				w.add(fmt.Sprintf("e%d", i), "models", i%3, 30*time.Millisecond)
			}
			silence(s, time.Second)
		})
		answers := make([]answer, 6)
		var wg sync.WaitGroup
		for i := range answers {
			wg.Go(func() { answers[i] = w.resumableStream(context.Background(), "X-Request-Id", fmt.Sprintf("r%d", i)) })
		}
		wg.Wait()
		for i, a := range answers {
			So(a.err, ShouldBeNil)
			So(a.body, ShouldEqual, events(1, numEvent))
			w.checkOneRun(fmt.Sprintf("r%d", i))
		}
		So(w.budget.Usage(time.Now()).Retries, ShouldBeLessThanOrEqualTo, 1)
	})
}

// TestSilentRunGivenUpForLateRefusal guards against a stream that is broken off because the engine
// that was to replace its silent run refuses only after the silent run was closed.
func TestSilentRunGivenUpForLateRefusal(t *testing.T) {
	withHarness(t, "one retry left", func(w *harness) {
		w.addEngines()
		w.budget.Ratio = 0
		w.budget.SetSlack(1)
		time.AfterFunc(2*time.Second, func() {
			s := w.serving("r1")
			s.SetFault(platformtest.Fault{SilentUntil: time.Now().Add(time.Second), Refuse: true})
			w.faultOthers(s, platformtest.Fault{Refuse: true, RefuseAfter: 600 * time.Millisecond})
		})
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
	})
	withHarness(t, "the retries come back within a second", func(w *harness) {
		w.addEngines()
		w.budget.Ratio = 0
		w.budget.SetSlack(2)
		time.AfterFunc(2*time.Second, func() {
			s := w.serving("r1")
			s.SetFault(platformtest.Fault{SilentUntil: time.Now().Add(time.Second), Refuse: true})
			w.faultOthers(s, platformtest.Fault{Refuse: true, RefuseAfter: 600 * time.Millisecond})
		})
		time.AfterFunc(5*time.Second, func() {
			w.faultOthers(nil, platformtest.Fault{})
			w.budget.SetSlack(10)
		})
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
	})
}

// TestSilentRunResumes checks that a silent run which goes on while another engine is about to
// take its stream continues, and that the other engine stops.
func TestSilentRunResumes(t *testing.T) {
	withHarness(t, "the other engine is slow", func(w *harness) {
		w.addEngines()
		var first *platformtest.Server
		time.AfterFunc(2*time.Second, func() {
			first = w.serving("r1")
			w.faultOthers(first, platformtest.Fault{Delay: 5 * time.Second})
			silence(first, 550*time.Millisecond)
		})
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
		So(a.gap, ShouldBeLessThan, maxGap)
		So(w.serving("r1").ID, ShouldEqual, first.ID)
		for _, s := range w.servers {
			So(s.Running(), ShouldEqual, 0)
		}
	})
	withHarness(t, "with its last event", func(w *harness) {
		w.addEngines()
		var first *platformtest.Server
		time.AfterFunc(2*time.Second, func() {
			first = w.serving("r1")
			w.faultOthers(first, platformtest.Fault{Delay: 5 * time.Second})
			silence(first, 550*time.Millisecond)
		})
		a := w.resumableStream(context.Background(), "X-Token-Count", "8200,165")
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, 33))
		So(w.serving("r1").ID, ShouldEqual, first.ID)
	})
	withHarness(t, "it is lost meanwhile", func(w *harness) {
		w.addEngines()
		time.AfterFunc(2*time.Second, func() {
			s := w.serving("r1")
			s.SetFault(platformtest.Fault{SilentUntil: time.Now().Add(5 * time.Second)})
			time.AfterFunc(500*time.Millisecond, func() { w.kill(s) })
		})
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
		So(a.gap, ShouldBeLessThan, maxGap)
		w.checkOneRun("r1")
	})
}

// TestDroppedRunGoesOn guards against an engine that works on to the end, on a silent connection,
// after the stream went back to the run that it was to replace.
func TestDroppedRunGoesOn(t *testing.T) {
	withHarness(t, "its connection is silent for good", func(w *harness) {
		w.addEngines()
		time.AfterFunc(2*time.Second, func() {
			first := w.serving("r1")
			silence(first, 600*time.Millisecond)
			var other *platformtest.Server
			for other == nil {
				time.Sleep(time.Millisecond)
				for _, s := range w.servers {
					if s != first && s.Running() > 0 {
						other = s
					}
				}
			}
			w.net.Blackhole(entryHost, w.host(other))
		})
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
		runs := w.book.Runs("r1")
		So(runs, ShouldHaveLength, 2)
		So(runs[0].Events, ShouldEqual, numEvent) // the stream went back
		w.checkOverlap("r1")
	})
}

// TestSilentConnectionKept guards against a run that is kept although its connection is silent
// for good: another engine takes the stream within the gap that callers accept, also if the first
// one that is tried refuses, and the run before stops.
func TestSilentConnectionKept(t *testing.T) {
	withHarness(t, "the engine is reachable", func(w *harness) {
		w.addEngines()
		time.AfterFunc(2*time.Second, func() { w.net.Blackhole(entryHost, w.host(w.serving("r1"))) })
		a := w.resumableStream(context.Background())
		So(a.body, ShouldEqual, events(1, numEvent))
		So(a.gap, ShouldBeLessThan, maxGap)
		runs := w.book.Runs("r1")
		So(runs, ShouldHaveLength, 2)
		So(runs[0].Ended, ShouldHappenBefore, runs[1].Started.Add(stopBound))
	})
	withHarness(t, "the engine with the copy refuses", func(w *harness) {
		w.addEngines()
		time.AfterFunc(2*time.Second, func() {
			copyHost, _, _ := net.SplitHostPort(w.book.Runs("r1")[0].Header.Get("X-Kv-Backup"))
			for _, s := range w.servers {
				if string(w.host(s)) == copyHost {
					s.SetFault(platformtest.Fault{Refuse: true})
				}
			}
			w.net.Blackhole(entryHost, w.host(w.serving("r1")))
		})
		a := w.resumableStream(context.Background())
		So(a.body, ShouldEqual, events(1, numEvent))
		So(a.gap, ShouldBeLessThan, 2500*time.Millisecond)
		w.checkOneRun("r1")
	})
	withHarness(t, "others refuse for a while", func(w *harness) {
		w.addEngines()
		time.AfterFunc(2*time.Second, func() {
			s := w.serving("r1")
			w.faultOthers(s, platformtest.Fault{Refuse: true})
			w.net.Blackhole(entryHost, w.host(s))
			time.AfterFunc(3*time.Second, func() { w.faultOthers(s, platformtest.Fault{}) })
		})
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
		So(a.gap, ShouldBeLessThan, 5*time.Second)
		w.checkOneRun("r1")
	})
}

// TestSilentRunsRecur checks that attempts to replace a silent run do not use up what a later
// loss of it needs.
func TestSilentRunsRecur(t *testing.T) {
	withHarness(t, "silent while all others refuse, then lost", func(w *harness) {
		w.addEngines()
		time.AfterFunc(2*time.Second, func() {
			s := w.serving("r1")
			w.faultOthers(s, platformtest.Fault{Refuse: true})
			silence(s, 5*time.Second)
			time.AfterFunc(5*time.Second, func() { w.faultOthers(s, platformtest.Fault{}) })
			time.AfterFunc(6*time.Second, func() { w.kill(s) })
		})
		w.budget.SetSlack(100)
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
	})
}

// TestSilencesMixUpStreams injects silences and refusals at random, and losses: whatever run goes
// on, callers must get every event once and in order, and no two engines may work on a stream
// together for long.
func TestSilencesMixUpStreams(t *testing.T) {
	for seed := range uint64(10) {
		withHarness(t, fmt.Sprintf("seed %d", seed), func(w *harness) {
			w.addEngines()
			c := testConfig()
			c.Routes[0].MaxAttempts = 12 // streams meet several silences
			w.setTable(routing.NewTable(c))
			w.budget.SetSlack(100)
			random := rand.New(rand.NewPCG(seed, 1))
			stop := make(chan struct{})
			var wg sync.WaitGroup
			wg.Go(func() { w.disturb(random, 2, stop) })
			answers := make([]answer, 6)
			var callers sync.WaitGroup
			for i := range answers {
				callers.Go(func() { answers[i] = w.resumableStream(context.Background(), "X-Request-Id", fmt.Sprintf("r%d", i)) })
			}
			callers.Wait()
			close(stop)
			wg.Wait()
			time.Sleep(time.Second)
			for i, a := range answers {
				So(a.err, ShouldBeNil)
				So(a.body, ShouldEqual, events(1, numEvent))
				w.checkOverlap(fmt.Sprintf("r%d", i))
			}
			for _, s := range w.servers {
				So(s.Running(), ShouldEqual, 0)
			}
		})
	}
}

// disturb injects silences and refusals at random until stop is closed, and makes connections
// silent for good, at most maxLosses times.
func (w *harness) disturb(random *rand.Rand, maxLosses int, stop <-chan struct{}) {
	for losses := 0; ; {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+random.IntN(250)) * time.Millisecond):
		}
		s := w.servers[fmt.Sprintf("e%d", random.IntN(len(w.servers)))]
		silent := time.Duration(random.IntN(1500)) * time.Millisecond
		s.SetFault(platformtest.Fault{SilentUntil: time.Now().Add(silent), Refuse: random.IntN(3) == 0})
		if losses < maxLosses && random.IntN(8) == 0 {
			losses++
			w.net.Blackhole(entryHost, w.host(s))
		}
	}
}

// checkOverlap checks that no two engines worked on a request together for long.
func (w *harness) checkOverlap(id string) {
	runs := w.book.Runs(id)
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			end := a.Ended
			if b.Ended.Before(end) {
				end = b.Ended
			}
			So(end.Sub(b.Started), ShouldBeLessThan, stopBound)
		}
	}
}

// TestSilencesUseUpAttempts guards against streams that are broken off, or are silent until their
// deadline, because replacing silent runs has used up the attempts that their route permits.
func TestSilencesUseUpAttempts(t *testing.T) {
	withHarness(t, "five connections are silent for good", func(w *harness) {
		w.addEngines()
		go w.silenceConnections(5)
		a := w.longStream()
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, 2*numEvent))
		So(a.gap, ShouldBeLessThan, 2500*time.Millisecond)
		w.checkOverlap("r1")
		w.checkServers("r1")
	})
	withHarness(t, "four connections are silent for good, then the engine dies", func(w *harness) {
		w.addEngines()
		go func() {
			w.silenceConnections(4)
			w.awaitEvents(5)
			w.kill(w.serving("r1"))
		}()
		a := w.longStream()
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, 2*numEvent))
		So(a.gap, ShouldBeLessThan, 2500*time.Millisecond)
		w.checkOverlap("r1")
		w.checkServers("r1")
	})
	withHarness(t, "two engines fail again and again", func(w *harness) {
		w.budget.SetSlack(100)
		for i := range 2 {
			w.add(fmt.Sprintf("e%d", i), "models", i, 30*time.Millisecond).SetFault(platformtest.Fault{TruncateEvent: 1})
		}
		a := w.resumableStream(context.Background())
		So(a.status, ShouldEqual, http.StatusBadGateway)
		So(len(w.book.Runs("r1")), ShouldBeLessThanOrEqualTo, testConfig().Routes[0].MaxAttempts)
	})
	for _, seed := range slices.Concat(seedsBelow(30), []uint64{31, 74, 164, 200, 208, 221, 246, 257, 272, 275}) {
		withHarness(t, fmt.Sprintf("seed %d", seed), func(w *harness) { w.playSilences(seed) })
	}
}

// TestSilencesBeforeFirstEvent plays seeds at which connections are silent for good before the
// first event: callers must get the answer before their deadline (67, 105, 137), and a run that was
// dropped must not go on (230).
func TestSilencesBeforeFirstEvent(t *testing.T) {
	for _, seed := range []uint64{67, 105, 137, 230} {
		withHarness(t, fmt.Sprintf("seed %d", seed), func(w *harness) { w.playSilences(seed) })
	}
}

// seedsBelow returns the seeds from 0 to n-1.
func seedsBelow(n uint64) []uint64 {
	var list []uint64
	for seed := range n {
		list = append(list, seed)
	}
	return list
}

// playSilences disturbs six streams at random, with their route's own limit of attempts and with
// any number of connections that are silent for good.
func (w *harness) playSilences(seed uint64) {
	w.addEngines()
	w.budget.SetSlack(100)
	random := rand.New(rand.NewPCG(seed, 1))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { w.disturb(random, math.MaxInt, stop) })
	answers := make([]answer, 6)
	var callers sync.WaitGroup
	for i := range answers {
		callers.Go(func() { answers[i] = w.resumableStream(context.Background(), "X-Request-Id", fmt.Sprintf("r%d", i)) })
	}
	callers.Wait()
	close(stop)
	wg.Wait()
	time.Sleep(time.Second)
	for i, a := range answers {
		id := fmt.Sprintf("r%d", i)
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
		w.checkOverlap(id)
		w.checkServers(id)
	}
	for _, s := range w.servers {
		So(s.Running(), ShouldEqual, 0)
	}
}

// longStream requests a stream that is twice as long as the others.
func (w *harness) longStream() answer {
	return w.resumableStream(context.Background(), "X-Token-Count", fmt.Sprintf("8200,%d", 2*5*numEvent))
}

// awaitEvents waits until the nth run of request r1 has sent a few events.
func (w *harness) awaitEvents(n int) {
	for {
		time.Sleep(50 * time.Millisecond)
		if runs := w.book.Runs("r1"); len(runs) >= n && runs[n-1].Events >= 10 {
			return
		}
	}
}

// silenceConnections makes the connections of the first n runs of request r1 silent for good, one
// after another. Their engines stay reachable on new ones.
func (w *harness) silenceConnections(n int) {
	for i := range n {
		w.awaitEvents(i + 1)
		w.net.Blackhole(entryHost, w.host(w.serving("r1")))
	}
}

// checkServers checks that a request ran at no more servers than its route permits.
func (w *harness) checkServers(id string) {
	servers := make(map[string]bool)
	for _, r := range w.book.Runs(id) {
		servers[r.Server] = true
	}
	So(len(servers), ShouldBeLessThanOrEqualTo, testConfig().Routes[0].MaxAttempts)
}

// TestMovedRunGoesOn guards against a run that its engine goes on with although its stream was moved,
// without a probe, because another answer of the engine was broken.
func TestMovedRunGoesOn(t *testing.T) {
	withHarness(t, "the engine does not see that its connection is closed", func(w *harness) {
		w.addEngines()
		time.AfterFunc(2*time.Second, func() {
			s := w.serving("r1")
			w.net.Blackhole(entryHost, w.host(s))
			w.pool.MarkFailed(engine.ServerID(s.ID), time.Now())
		})
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
		So(len(w.book.Runs("r1")), ShouldEqual, 2)
		w.checkOverlap("r1")
	})
	withHarness(t, "a probe is under way", func(w *harness) {
		w.addEngines()
		time.AfterFunc(2*time.Second, func() {
			s := w.serving("r1")
			w.net.Blackhole(entryHost, w.host(s))
			time.AfterFunc(160*time.Millisecond, func() { w.pool.MarkFailed(engine.ServerID(s.ID), time.Now()) })
		})
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
		w.checkOverlap("r1")
	})
}

// TestReportNotHeard guards against a stream that waits long on a silent connection to an engine in another
// region, as the engine's load report, which takes longer than opening a connection, is not heard.
func TestReportNotHeard(t *testing.T) {
	withHarness(t, "silent before the first event", func(w *harness) {
		s := w.add("e0", "models", 1, 30*time.Millisecond)
		go w.requestAt(s, "other")
		time.Sleep(3 * time.Second)
		time.AfterFunc(500*time.Millisecond, func() { w.net.Blackhole(entryHost, w.host(s)) })
		time.AfterFunc(time.Second, func() { w.add("e1", "models", 1, 30*time.Millisecond) })
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
		// The prompt takes a second to read at each engine. Reports are two seconds apart at most.
		So(a.first, ShouldBeLessThan, 4500*time.Millisecond)
	})
}

// TestBrokenRunGoesOn guards against a run that its engine goes on with after its connection was reset, or was
// closed because of an event that did not fit, while its stream goes on elsewhere.
func TestBrokenRunGoesOn(t *testing.T) {
	for _, x := range []struct {
		name string
		end  func(*harness, *platformtest.Server)
	}{
		{"the connection is reset", func(w *harness, s *platformtest.Server) { w.net.Reset(entryHost, w.host(s)) }},
		{"an event is missing", func(_ *harness, s *platformtest.Server) {
			s.SetFault(platformtest.Fault{SkipEvent: 40})
		}},
	} {
		withHarness(t, x.name, func(w *harness) {
			w.addEngines()
			w.faultOthers(nil, platformtest.Fault{KeepsRuns: true})
			time.AfterFunc(2*time.Second, func() { x.end(w, w.serving("r1")) })
			a := w.resumableStream(context.Background())
			So(a.err, ShouldBeNil)
			So(a.body, ShouldEqual, events(1, numEvent))
			So(w.book.Runs("r1"), ShouldHaveLength, 2)
			w.checkOverlap("r1")
		})
	}
}

// TestHandedRunGoesOn guards against a run that an engine goes on with after the entry VM that handed the
// stream to this one has closed the connection.
func TestHandedRunGoesOn(t *testing.T) {
	withHarness(t, "handed on after some events", func(w *harness) {
		w.addEngines()
		w.faultOthers(nil, platformtest.Fault{KeepsRuns: true})
		w.frontend.Handler = http.HandlerFunc(w.relay.ServeAdmitted)
		c := testConfig()
		admission, err := json.Marshal(relay.Admission{From: "vm-0", Route: c.Routes[0], Attempts: 2, Service: "models", Model: c.Services[0].Model})
		So(err, ShouldBeNil)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		w.resumableStream(ctx, relay.AdmissionHeader, string(admission))
		time.Sleep(stopBound)
		So(w.serving("r1").Running(), ShouldEqual, 0)
	})
}

// TestWaitingRunGoesOn guards against a run that had not begun when its stream was moved, and that its engine
// goes on with, as it knows no such run when it is told to stop.
func TestWaitingRunGoesOn(t *testing.T) {
	withHarness(t, "it begins later", func(w *harness) {
		s := w.add("e0", "models", 0, 30*time.Millisecond)
		s.SetFault(platformtest.Fault{Delay: 7 * time.Second, KeepsRuns: true})
		time.AfterFunc(time.Second, func() { w.add("e1", "models", 1, 30*time.Millisecond) })
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
		runs := w.book.Runs("r1")
		So(runs, ShouldHaveLength, 2)
		late := runs[1] // it is recorded when it begins
		So(late.Server, ShouldEqual, "e0")
		So(late.Events, ShouldBeLessThan, int(stopBound/s.Work))
	})
	withHarness(t, "it has no replica", func(w *harness) {
		s := w.add("e0", "models", 0, 30*time.Millisecond)
		time.AfterFunc(500*time.Millisecond, func() { w.net.Blackhole(entryHost, w.host(s)) })
		time.AfterFunc(time.Second, func() { w.add("e1", "models", 1, 30*time.Millisecond) })
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
		w.checkOverlap("r1")
	})
}

// TestWaitingRunMoved guards against a run that is moved before it has begun, and so can't be told to stop,
// because another answer of its engine was broken.
func TestWaitingRunMoved(t *testing.T) {
	play := func(w *harness, fail func(*platformtest.Server)) answer {
		w.addEngines()
		for _, s := range w.servers {
			s.SetFault(platformtest.Fault{Delay: time.Second})
		}
		time.AfterFunc(1500*time.Millisecond, func() {
			for _, s := range w.servers {
				if s.Running() > 0 {
					fail(s)
					w.pool.MarkFailed(engine.ServerID(s.ID), time.Now())
				}
			}
		})
		return w.resumableStream(context.Background())
	}
	withHarness(t, "the engine is alive", func(w *harness) {
		a := play(w, func(*platformtest.Server) {})
		So(a.body, ShouldEqual, events(1, numEvent))
		arrived := 0
		for _, s := range w.servers {
			arrived += len(s.Arrived())
		}
		So(arrived, ShouldEqual, 1)
	})
	withHarness(t, "the engine is lost", func(w *harness) {
		a := play(w, w.blackhole)
		So(a.body, ShouldEqual, events(1, numEvent))
		// The prompt takes a second to read, and the delay another one.
		So(a.first, ShouldBeLessThan, 4*time.Second)
	})
}
