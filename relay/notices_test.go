package relay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/platform"
	"quetzalhold/platform/platformtest"
	"quetzalhold/relay"
	"quetzalhold/routing"
)

// TestLeaving checks that a server which says in an answer that it is leaving gets nothing more
// from this entry VM, although its entry still says that it is ready.
func TestLeaving(t *testing.T) {
	withHarness(t, "plain server", func(w *harness) {
		leaving := w.add("a0", "app", 0, work)
		w.add("a1", "app", 1, work)
		leaving.SetFault(platformtest.Fault{Leaving: true})
		var told []engine.ServerID
		w.relay.Leaving = func(c backend.Choice) { told = append(told, c.ID) }
		So(w.request(context.Background(), http.MethodPost, "/book/1", "x").status, ShouldEqual, 200)
		So(w.book.Runs("r1")[0].Server, ShouldEqual, "a0")
		e := entry(leaving)
		e.Number++
		w.pool.Apply(e)
		for i := range 10 {
			id := fmt.Sprintf("later-%d", i)
			So(w.request(context.Background(), http.MethodPost, "/book/1", "x", "X-Request-Id", id).status, ShouldEqual, 200)
			So(w.book.Runs(id)[0].Server, ShouldEqual, "a1")
		}
		So(told, ShouldResemble, []engine.ServerID{"a0"})
		leaving.SetFault(platformtest.Fault{})
		e.Number++
		e.Start++
		w.pool.Apply(e)
		So(w.request(context.Background(), http.MethodPost, "/book/1", "x", "X-Request-Id", "restarted").status, ShouldEqual, 200)
		So(w.book.Runs("restarted")[0].Server, ShouldEqual, "a0")
	})
	withHarness(t, "the refusal of a leaving server counts too", func(w *harness) {
		w.add("a0", "app", 0, work).SetFault(platformtest.Fault{Leaving: true, Refuse: true})
		w.add("a1", "app", 1, work)
		for i := range 5 {
			So(w.request(context.Background(), http.MethodPost, "/book/1", "x", "X-Request-Id", strconv.Itoa(i)).status, ShouldEqual, 200)
		}
		So(w.servers["a0"].Refused(), ShouldHaveLength, 1)
	})
	withHarness(t, "an engine whose load report says so gets neither runs nor copies", func(w *harness) {
		w.addEngines()
		w.resumableStream(context.Background())
		first := w.book.Runs("r1")[0]
		w.servers[first.Server].SetFault(platformtest.Fault{Leaving: true})
		copyAt := first.Header.Get("X-Kv-Backup")
		for _, s := range w.servers {
			if s.Address == copyAt {
				s.SetFault(platformtest.Fault{Leaving: true})
			}
		}
		// All engines of both domains are queried until the reports of both were seen.
		for i := range 4 {
			w.resumableStream(context.Background(), "X-Request-Id", fmt.Sprintf("warm-%d", i), "X-Prompt-Prefix", fmt.Sprintf("aa:200,%d:8000", i))
		}
		for i := range 4 {
			id := fmt.Sprintf("late-%d", i)
			w.resumableStream(context.Background(), "X-Request-Id", id)
			for _, r := range w.book.Runs(id) {
				So(r.Server, ShouldNotEqual, first.Server)
				So(r.Header.Get("X-Kv-Backup"), ShouldNotEqual, w.servers[first.Server].Address)
			}
		}
	})
	withHarness(t, "a stream does not resume at a replica whose engine is leaving", func(w *harness) {
		w.addEngines()
		time.AfterFunc(2*time.Second, func() {
			run := w.book.Runs("r1")[0]
			for _, s := range w.servers {
				if s.Address == run.Header.Get("X-Kv-Backup") {
					w.pool.MarkLeaving(engine.ServerID(s.ID), engine.Incarnation(s.Born))
				}
			}
			// There is time for a checkpoint elsewhere.
			time.AfterFunc(time.Second, func() { w.kill(w.serving("r1")) })
		})
		a := w.resumableStream(context.Background())
		So(a.body, ShouldEqual, events(1, numEvent))
		So(a.gap, ShouldBeLessThanOrEqualTo, maxGap)
		runs := w.book.Runs("r1")
		So(runs, ShouldHaveLength, 2)
		So(w.servers[runs[1].Server].Address, ShouldNotEqual, runs[0].Header.Get("X-Kv-Backup"))
		So(runs[1].Prefill, ShouldBeLessThan, 1000)
	})
}

// TestRefusedUntil checks that a server which refuses requests for some seconds is left alone for
// that time, and that callers are told to come back then if all servers refuse.
func TestRefusedUntil(t *testing.T) {
	call := func(w *harness, id string) answer {
		return w.request(context.Background(), http.MethodPost, "/book/1", "x", "X-Request-Id", id)
	}
	withHarness(t, "one of two servers", func(w *harness) {
		busy := w.add("a0", "app", 0, work)
		busy.SetFault(platformtest.Fault{Refuse: true, RetryAfter: "1.5"})
		w.add("a1", "app", 1, work)
		for i := range 20 {
			So(call(w, strconv.Itoa(i)).status, ShouldEqual, 200)
			time.Sleep(200 * time.Millisecond)
		}
		refused := busy.Refused()
		So(len(refused), ShouldBeBetweenOrEqual, 2, 4)
		for i := 1; i < len(refused); i++ {
			So(refused[i].Sub(refused[i-1]), ShouldBeGreaterThan, 1400*time.Millisecond)
		}
	})
	withHarness(t, "all servers: the caller is refused at once", func(w *harness) {
		w.add("a0", "app", 0, work).SetFault(platformtest.Fault{Refuse: true, RetryAfter: "3"})
		w.add("a1", "app", 1, work).SetFault(platformtest.Fault{Refuse: true, RetryAfter: "2"})
		So(call(w, "1").status, ShouldEqual, 503)
		time.Sleep(500 * time.Millisecond)
		a := call(w, "2")
		So(a.status, ShouldEqual, 503)
		So(a.took, ShouldBeLessThan, 10*time.Millisecond)
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		So(err, ShouldBeNil)
		So(after, ShouldBeBetween, 1.3, 1.9)
		So(len(w.servers["a0"].Refused())+len(w.servers["a1"].Refused()), ShouldEqual, 2)
		for _, s := range w.servers {
			s.SetFault(platformtest.Fault{})
		}
		time.Sleep(time.Duration(after * float64(time.Second)))
		So(call(w, "3").status, ShouldEqual, 200)
	})
	withHarness(t, "all engines: a new stream is refused at once, one that is under way waits", func(w *harness) {
		for i := range 3 {
			w.add(fmt.Sprintf("e%d", i), "models", i, 30*time.Millisecond)
		}
		refused := make(chan answer, 1)
		time.AfterFunc(2*time.Second, func() {
			for _, s := range w.servers {
				w.pool.Postpone(engine.ServerID(s.ID), engine.Incarnation(s.Born), time.Now().Add(time.Second))
			}
			time.AfterFunc(10*time.Millisecond, func() { refused <- w.stream(context.Background(), "/brief/1", "X-Request-Id", "new") })
			time.AfterFunc(50*time.Millisecond, func() { w.kill(w.serving("r1")) })
		})
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
		a = <-refused
		So(a.status, ShouldEqual, 503)
		So(a.took, ShouldBeLessThan, 100*time.Millisecond)
	})
	withHarness(t, "the engine with the copy of a stream that another entry VM hands over", func(w *harness) {
		w.addEngines()
		w.frontend.Handler = http.HandlerFunc(w.relay.ServeAdmitted)
		full := w.servers["e4"]
		w.pool.Postpone("e4", engine.Incarnation(full.Born), time.Now().Add(time.Second))
		c := testConfig()
		admission, err := json.Marshal(relay.Admission{
			From: "vm-0", Route: c.Routes[0], Attempts: 2, Service: "models", Model: c.Services[0].Model,
			Copy: &relay.AdmittedCopy{Server: "e4", Start: engine.Incarnation(full.Born), KVCopy: platform.KVCopy{Address: full.Address, Name: "r1"}},
		})
		So(err, ShouldBeNil)
		a := w.resumableStream(context.Background(), relay.AdmissionHeader, string(admission), "Last-Event-Id", "30")
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(31, numEvent))
		So(full.Arrived(), ShouldBeEmpty)
	})
	withHarness(t, "whatever chose the server", func(w *harness) {
		s := w.add("a0", "app", 0, work)
		w.relay.Sending = func(backend.Choice, routing.RouteName) bool { // between the choice and the send
			w.pool.Postpone("a0", engine.Incarnation(s.Born), time.Now().Add(time.Second))
			return true
		}
		So(call(w, "1").status, ShouldEqual, 503)
		So(s.Arrived(), ShouldBeEmpty)
	})
	withHarness(t, "one of two servers, for longer than most", func(w *harness) {
		busy := w.add("a0", "app", 0, work)
		busy.SetFault(platformtest.Fault{Refuse: true, RetryAfter: "45"})
		w.add("a1", "app", 1, work)
		for i := range 200 {
			So(call(w, strconv.Itoa(i)).status, ShouldEqual, 200)
			time.Sleep(500 * time.Millisecond)
		}
		refused := busy.Refused()
		So(len(refused), ShouldBeBetweenOrEqual, 2, 3)
		for i := 1; i < len(refused); i++ {
			So(refused[i].Sub(refused[i-1]), ShouldBeGreaterThan, 44900*time.Millisecond)
		}
	})
	const longest = 1e6 * time.Second // keeps sums of times in range
	for value, least := range map[string]time.Duration{
		"soon": 0, "-1": 0, "NaN": 0, "": 0, "0": 0, "Fri, 31 Dec 1999 23:59:59 GMT": 0, "0.4": 400 * time.Millisecond,
		"45": 45 * time.Second, "3600": time.Hour, "1e300": longest, "+Inf": longest, "99999999999999999999": longest,
	} {
		withHarness(t, fmt.Sprintf("Retry-After %q", value), func(w *harness) {
			w.add("a0", "app", 0, work).SetFault(platformtest.Fault{Refuse: true, RetryAfter: value})
			before := time.Now()
			So(call(w, "1").status, ShouldEqual, 503)
			v, _ := w.pool.View("a0", time.Now())
			if least == 0 {
				So(v.RetryAt, ShouldHappenOnOrBefore, time.Now())
			} else {
				So(v.RetryAt.Sub(before), ShouldBeBetween, least, least+50*time.Millisecond)
			}
		})
	}
}

// TestSpreadOfReturns refuses many callers at once, as when a service is overloaded: they must not
// all come back at the same moment.
func TestSpreadOfReturns(t *testing.T) {
	withHarness(t, "many callers at once", func(w *harness) {
		w.add("a0", "app", 0, work).SetFault(platformtest.Fault{Refuse: true})
		const callers = 60
		answers := make(chan answer, callers)
		for i := range callers {
			go func() {
				answers <- w.request(context.Background(), http.MethodPost, "/book/1", "x", "X-Request-Id", strconv.Itoa(i))
			}()
		}
		perSlot := make(map[int]int) // by 50 ms
		for range callers {
			a := <-answers
			So(a.status, ShouldEqual, 503)
			after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			So(err, ShouldBeNil)
			So(after, ShouldBeBetween, 0.25, 0.65)
			perSlot[int(after/0.05)]++
		}
		for _, n := range perSlot {
			So(n, ShouldBeLessThanOrEqualTo, callers/2)
		}
	})
}

// maxFiller bounds what one connection may receive of a head or body without end: what is
// read, and what the network holds.
const maxFiller = 600 << 10

// maxUnread bounds what a connection may receive of such a body beside what is counted: the beginning, and what the
// network holds on both sides.
const maxUnread = 160 << 10

// TestEndless checks that a response without end costs a bounded amount of memory and no other
// request, and never looks complete.
func TestEndless(t *testing.T) {
	for name, f := range map[string]platformtest.Fault{"head": {EndlessHead: true}, "body": {EndlessBody: true}} {
		withHarness(t, "an engine's "+name, func(w *harness) {
			w.addEngines()
			for _, s := range w.servers {
				if s.Domain == domains[0] {
					s.SetFault(f)
				}
			}
			a := w.resumableStream(context.Background())
			So(a.err, ShouldBeNil)
			So(a.body, ShouldEqual, events(1, numEvent))
			for _, s := range w.servers {
				So(s.Filler(), ShouldBeLessThan, 4*maxFiller) // reports, probes and the request
			}
		})
		withHarness(t, "a plain server's "+name, func(w *harness) {
			w.add("a0", "app", 0, work).SetFault(f)
			w.add("a1", "app", 1, work)
			a := w.request(context.Background(), http.MethodGet, "/status/1", "")
			if a.err == nil {
				checkAnswer(a, "r1")
			}
			So(a.took, ShouldBeLessThan, 1200*time.Millisecond)
			So(w.request(context.Background(), http.MethodGet, "/status/1", "", "X-Request-Id", "r2").took, ShouldBeLessThan, 1200*time.Millisecond)
		})
	}
	withHarness(t, "the same event again and again", func(w *harness) {
		w.addEngines()
		time.AfterFunc(2*time.Second, func() { w.serving("r1").SetFault(platformtest.Fault{EndlessRepeats: true}) })
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
		So(a.gap, ShouldBeLessThanOrEqualTo, maxGap)
	})
	withHarness(t, "a caller that does not read holds up a bounded part of a long body", func(w *harness) {
		w.add("a0", "app", 0, work).SetFault(platformtest.Fault{EndlessBody: true})
		c, err := w.net.Dialer(callerHost)(context.Background(), "tcp", entryListen)
		So(err, ShouldBeNil)
		_, err = c.Write([]byte("GET /status/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Api-Key: key-1\r\n\r\n"))
		So(err, ShouldBeNil)
		time.Sleep(900 * time.Millisecond)
		So(w.servers["a0"].Filler(), ShouldBeLessThan, maxFiller)
		So(c.Close(), ShouldBeNil)
	})
	withHarness(t, "many callers that do not read hold up a bounded part of long bodies", func(w *harness) {
		const callers = 60
		w.relay.AnswerMemory = 2 << 20
		w.add("a0", "app", 0, work).SetFault(platformtest.Fault{EndlessBody: true})
		var conns []net.Conn
		for i := range callers {
			c, err := w.net.Dialer(callerHost)(context.Background(), "tcp", entryListen)
			So(err, ShouldBeNil)
			_, err = fmt.Fprintf(c, "GET /status/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r%d\r\nX-Api-Key: key-1\r\n\r\n", i)
			So(err, ShouldBeNil)
			conns = append(conns, c)
		}
		time.Sleep(900 * time.Millisecond)
		So(w.servers["a0"].Filler(), ShouldBeLessThan, int(w.relay.AnswerMemory)+callers*maxUnread)
		for _, c := range conns {
			So(c.Close(), ShouldBeNil)
		}
		// Their room is free again.
		time.Sleep(3 * time.Second)
		w.servers["a0"].SetFault(platformtest.Fault{})
		So(w.request(context.Background(), http.MethodGet, "/status/1", "", "X-Request-Id", "last").status, ShouldEqual, http.StatusOK)
	})
	withHarness(t, "trailers and chunk extensions", func(w *harness) {
		for i, tail := range []string{"0\r\nX-Filler: ", "5;extension="} {
			head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Server-Stamp: s\r\n\r\n5\r\nhello\r\n" + tail
			s := w.add(fmt.Sprintf("a%d", i), "app", i, work)
			w.stopListening(s)
			sent := w.serveRaw(s.Address, head)
			a := w.request(context.Background(), http.MethodPost, "/book/1", "x", "X-Request-Id", strconv.Itoa(i))
			So(a.status, ShouldBeGreaterThanOrEqualTo, 500)
			So(<-sent, ShouldBeLessThan, maxFiller)
			w.kill(s)
			w.pool.MarkReplaced(engine.ServerID(s.ID))
		}
	})
}

// TestLongAnswer checks that an answer which is too long to be buffered is passed on as it comes,
// and that a truncated one does not look complete.
func TestLongAnswer(t *testing.T) {
	const size = 3 << 20
	for _, truncated := range []bool{false, true} {
		withHarness(t, fmt.Sprintf("truncated: %v", truncated), func(w *harness) {
			s := w.add("a0", "app", 0, work)
			w.stopListening(s)
			w.running["a0"] = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				rw.Header().Set("X-Server-Stamp", "stamp")
				rw.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				rw.Header().Set("Content-Length", strconv.Itoa(size))
				n := size
				if truncated {
					n /= 2
				}
				_, _ = rw.Write([]byte(strings.Repeat("x", n))) // the test checks what arrives
				if truncated {
					panic(http.ErrAbortHandler)
				}
			})}
			w.serve(s.Address, w.running["a0"])
			a := w.request(context.Background(), http.MethodPost, "/book/1", "x")
			So(a.status, ShouldEqual, 200)
			if truncated {
				So(a.err, ShouldNotBeNil)
				return
			}
			So(a.err, ShouldBeNil)
			So(a.body, ShouldHaveLength, size)
		})
	}
}
