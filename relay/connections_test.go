package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/engine"
	"quetzalhold/platform/platformtest"
	"quetzalhold/result"
	"quetzalhold/routing"
	"quetzalhold/serverconn"
)

// connectionCounts counts connections by purpose.
type connectionCounts struct {
	mu             sync.Mutex
	opened, reused map[serverconn.Purpose]int
}

func (c *connectionCounts) of(p serverconn.Purpose) (opened, reused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened[p], c.reused[p]
}

// countConnections lets the relay keep connections, or not, and counts them.
func (w *harness) countConnections(keep bool) *connectionCounts {
	if keep {
		w.relay.KeepConnections(0)
	}
	c := &connectionCounts{opened: make(map[serverconn.Purpose]int), reused: make(map[serverconn.Purpose]int)}
	w.relay.Connection = func(p serverconn.Purpose, reused bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if reused {
			c.reused[p]++
		} else {
			c.opened[p]++
		}
	}
	return c
}

// TestCallsOnKeptConnections guards against bookings on kept connections, against kept connections where they are
// not agreed on, and against calls that open one each where they are.
func TestCallsOnKeptConnections(t *testing.T) {
	for _, x := range []struct {
		name, path string
		keep       bool
		opened     int
	}{
		{"calls", "/status/1", true, 1},
		{"bookings", "/book/1", true, 20},
		{"calls, not agreed", "/status/1", false, 20},
		{"bookings, not agreed", "/book/1", false, 20},
	} {
		withHarness(t, x.name, func(w *harness) {
			c := w.countConnections(x.keep)
			config := testConfig()
			for i := range config.Routes {
				config.Routes[i].MaxAttempts = 3
			}
			w.setTable(routing.NewTable(config))
			w.add("a0", "app", 0, work)
			for i := range 20 {
				a := w.request(context.Background(), http.MethodPost, x.path, "body", "X-Request-Id", fmt.Sprintf("r%d", i))
				So(a.status, ShouldEqual, http.StatusOK)
				So(a.body, ShouldEqual, fmt.Sprintf("answer to r%d", i))
				time.Sleep(500 * time.Millisecond)
			}
			opened, reused := c.of(serverconn.Call)
			So(opened, ShouldEqual, x.opened)
			So(reused, ShouldEqual, 20-x.opened)
		})
	}
}

// TestKeptConnectionFails guards against a server that is taken for failed because it has closed a kept connection,
// against a call that fails for it, and against an attempt or a retry that does not count.
func TestKeptConnectionFails(t *testing.T) {
	withHarness(t, "as a call comes", func(w *harness) {
		c := w.countConnections(true)
		s := w.add("a0", "app", 0, work)
		w.stopListening(s)
		var n atomic.Int32
		w.running[s.ID] = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if n.Add(1) == 2 {
				_, _ = io.Copy(io.Discard, r.Body)
				panic(http.ErrAbortHandler)
			}
			s.ServeHTTP(rw, r)
		})}
		w.serve(s.Address, w.running[s.ID])
		for i := range 2 {
			a := w.request(context.Background(), http.MethodPost, "/status/1", "body", "X-Request-Id", fmt.Sprintf("r%d", i))
			So(a.status, ShouldEqual, http.StatusOK)
		}
		So(n.Load(), ShouldEqual, 3)
		opened, reused := c.of(serverconn.Call)
		So(opened, ShouldEqual, 2)
		So(reused, ShouldEqual, 1)
		v, _ := w.pool.View(engine.ServerID(s.ID), time.Now())
		So(v.FailedAt.IsZero(), ShouldBeTrue)
		So(w.relay.Quarantine.Listed(time.Now()), ShouldBeEmpty)
		So(w.ended(), ShouldResemble, []result.Code{result.OK, result.OK})
	})
	withHarness(t, "no retry is left", func(w *harness) {
		c := w.countConnections(true)
		w.budget.Ratio = 0
		w.budget.SetSlack(0)
		w.add("a0", "app", 0, work)
		for range 3 {
			So(w.request(context.Background(), http.MethodPost, "/status/1", "body").status, ShouldEqual, http.StatusOK)
		}
		opened, _ := c.of(serverconn.Call)
		So(opened, ShouldEqual, 3)
	})
	withHarness(t, "foreign answer", func(w *harness) {
		c := w.countConnections(true)
		s := w.add("a0", "app", 0, work)
		So(w.request(context.Background(), http.MethodPost, "/status/1", "body").status, ShouldEqual, http.StatusOK)
		s.SetFault(platformtest.Fault{WrongRequest: true})
		So(w.request(context.Background(), http.MethodPost, "/status/1", "body").status, ShouldEqual, http.StatusBadGateway)
		s.SetFault(platformtest.Fault{})
		So(w.request(context.Background(), http.MethodPost, "/status/1", "body").status, ShouldEqual, http.StatusOK)
		opened, reused := c.of(serverconn.Call)
		So(reused, ShouldEqual, 1)
		So(opened, ShouldBeGreaterThan, 1)
	})
}

// working returns the engine that works on a stream; nil for none.
func (w *harness) working() *platformtest.Server {
	for _, s := range w.servers {
		if s.Running() > 0 {
			return s
		}
	}
	return nil
}

// TestProbesOpenConnections guards against a connection for each probe of a stream that waits for its first event,
// and against kept connections that let a lost server be found later.
func TestProbesOpenConnections(t *testing.T) {
	for _, keep := range []bool{false, true} {
		withHarness(t, fmt.Sprintf("kept %v", keep), func(w *harness) {
			c := w.countConnections(keep)
			w.addEngines()
			So(w.resumableStream(context.Background()).body, ShouldEqual, events(1, numEvent))
			opened, reused := c.of(serverconn.Probe)
			So(opened == 0, ShouldEqual, keep)
			So(reused > 0, ShouldEqual, keep)
			opened, reused = c.of(serverconn.Stream)
			So(opened, ShouldEqual, 1)
			So(reused, ShouldEqual, 0)
		})
	}
	for _, x := range []struct {
		name  string
		fails func(*harness, *platformtest.Server)
	}{
		{"unreachable", (*harness).blackhole},
		{"ended", (*harness).kill},
		{"all its connections silent", func(w *harness, s *platformtest.Server) { w.net.Blackhole(entryHost, w.host(s)) }},
		{"its kept connections reset", func(w *harness, s *platformtest.Server) { w.net.Reset(entryHost, w.host(s)) }},
	} {
		for _, at := range []time.Duration{350 * time.Millisecond, 650 * time.Millisecond, 2 * time.Second} {
			var took [2]time.Duration
			for i, keep := range []bool{false, true} {
				withHarness(t, fmt.Sprintf("%s after %v, kept %v", x.name, at, keep), func(w *harness) {
					w.countConnections(keep)
					w.addEngines()
					time.AfterFunc(at, func() { x.fails(w, w.working()) })
					a := w.resumableStream(context.Background())
					So(a.body, ShouldEqual, events(1, numEvent))
					took[i] = max(a.gap, a.first)
				})
			}
			if took[1] > took[0]+10*time.Millisecond {
				t.Errorf("%s after %v: found after %v, and after %v with kept connections", x.name, at, took[0], took[1])
			}
		}
	}
}

// TestWaitingStreamsAskForReports guards against streams that ask all engines for reports in each round, on
// connections of their own, while none takes them.
func TestWaitingStreamsAskForReports(t *testing.T) {
	const streams, period = 20, 2 * time.Second
	for _, keep := range []bool{false, true} {
		withHarness(t, fmt.Sprintf("kept %v", keep), func(w *harness) {
			c := w.countConnections(keep)
			w.addEngines()
			w.budget.SetSlack(1000)
			w.faultOthers(nil, platformtest.Fault{Refuse: true})
			ctx, cancel := context.WithTimeout(context.Background(), period)
			defer cancel()
			var wg sync.WaitGroup
			for i := range streams {
				wg.Go(func() { w.resumableStream(ctx, "X-Request-Id", fmt.Sprintf("r%d", i)) })
			}
			wg.Wait()
			asked := 0
			for _, s := range w.servers {
				asked += s.Reports()
			}
			opened, reused := c.of(serverconn.Report)
			t.Logf("kept %v: %d reports, %d connections opened for them, %d reused", keep, asked, opened, reused)
			if keep {
				So(opened, ShouldBeLessThanOrEqualTo, 2*len(w.servers))
				So(asked, ShouldBeLessThanOrEqualTo, len(w.servers)*int(period/(100*time.Millisecond)))
			}
		})
	}
	withHarness(t, "streams sent since the report count", func(w *harness) {
		w.countConnections(true)
		w.addEngines()
		var wg sync.WaitGroup
		for i := range 3 {
			wg.Go(func() { w.resumableStream(context.Background(), "X-Request-Id", fmt.Sprintf("r%d", i)) })
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(10 * time.Millisecond)
		for _, s := range w.servers {
			So(s.Running(), ShouldBeLessThanOrEqualTo, 1)
		}
		wg.Wait()
	})
}

// TestKeptToUnreachable guards against calls on connections that were kept to a server which could not be reached
// since: they may be silent although the server is reached again.
func TestKeptToUnreachable(t *testing.T) {
	withHarness(t, "reached again", func(w *harness) {
		c := w.countConnections(true)
		s := w.add("a0", "app", 0, work)
		So(w.request(context.Background(), http.MethodPost, "/status/1", "body").status, ShouldEqual, http.StatusOK)
		w.net.Partition(entryHost, w.host(s))
		So(w.request(context.Background(), http.MethodPost, "/book/1", "body").status, ShouldNotEqual, http.StatusOK)
		w.net.Heal(entryHost, w.host(s))
		begun := time.Now()
		So(w.request(context.Background(), http.MethodPost, "/status/1", "body").status, ShouldEqual, http.StatusOK)
		So(time.Since(begun), ShouldBeLessThan, 100*time.Millisecond)
		_, reused := c.of(serverconn.Call)
		So(reused, ShouldEqual, 0)
	})
}

// TestCrashesOnKeptConnections guards against requests that crash one server after the other, as their kept connections end before an
// answer, and against sound ones that are blocked as servers close kept connections.
func TestCrashesOnKeptConnections(t *testing.T) {
	const poison = "poison"
	send := func(w *harness, body string) int {
		return w.request(context.Background(), http.MethodPost, "/status/1", body, "X-Request-Id", uuid.NewString()).status
	}
	withHarness(t, "the request crashes servers", func(w *harness) {
		w.countConnections(true)
		var mu sync.Mutex // of the servers that run
		crashed := 0
		for i := range 4 {
			s := w.add(fmt.Sprintf("a%d", i), "app", i%3, work)
			s.SetFault(platformtest.Fault{CrashBody: poison, CrashEarly: true})
			s.Crashed = func() {
				mu.Lock()
				defer mu.Unlock()
				crashed++
				w.stopListening(s)
				time.AfterFunc(4*time.Second, func() {
					mu.Lock()
					defer mu.Unlock()
					s.Restart(s.Born + 5000)
					w.start(s)
					w.pool.Apply(entry(s))
				})
			}
		}
		for range 12 {
			for i := range 40 { // each server has a kept connection
				So(send(w, fmt.Sprint("sound ", i)), ShouldEqual, http.StatusOK)
			}
			send(w, poison)
			time.Sleep(6 * time.Second)
		}
		So(crashed, ShouldBeLessThanOrEqualTo, 4) // the attempt that crashes the third may crash one more
	})
	withHarness(t, "servers close connections", func(w *harness) {
		w.countConnections(true)
		for i := range 4 {
			s := w.add(fmt.Sprintf("a%d", i), "app", i%3, work)
			w.stopListening(s)
			var n atomic.Int32
			w.running[s.ID] = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				if n.Add(1)%2 == 0 {
					panic(http.ErrAbortHandler)
				}
				s.ServeHTTP(rw, r)
			})}
			w.serve(s.Address, w.running[s.ID])
		}
		refused := 0
		for range 100 {
			if send(w, "poll") == http.StatusServiceUnavailable {
				refused++
			}
			time.Sleep(50 * time.Millisecond)
		}
		So(refused, ShouldEqual, 0)
	})
}
