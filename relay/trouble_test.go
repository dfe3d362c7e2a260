package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/platform/platformtest"
)

// TestStalledStream checks that a stream which stalls, though it sends a byte now and then, is
// continued elsewhere, and that one which stalls everywhere ends by its deadline.
func TestStalledStream(t *testing.T) {
	withHarness(t, "one engine", func(w *harness) {
		w.addEngines()
		time.AfterFunc(2*time.Second, func() { w.serving("r1").SetFault(platformtest.Fault{DripAfter: 40}) })
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
		So(a.gap, ShouldBeLessThanOrEqualTo, maxGap)
	})
	withHarness(t, "all engines", func(w *harness) {
		w.addEngines()
		for _, s := range w.servers {
			s.SetFault(platformtest.Fault{DripAfter: 40})
		}
		a := w.resumableStream(context.Background(), "X-Deadline-Ms", "9000")
		So(a.err, ShouldNotBeNil) // it must not look complete
		So(a.took, ShouldBeLessThan, 9500*time.Millisecond)
		So(a.body, ShouldEqual, events(1, 40))
		time.Sleep(time.Second)
		for _, s := range w.servers {
			So(s.Running(), ShouldEqual, 0)
		}
	})
}

// TestSlowStream checks that a slow but sound stream arrives whole, also on a route that does not
// resume, where nothing may be sent again.
func TestSlowStream(t *testing.T) {
	for _, path := range []string{"/brief/1", "/once/1"} {
		withHarness(t, path, func(w *harness) {
			for i := range 6 {
				w.add(fmt.Sprintf("e%d", i), "models", i/2, 650*time.Millisecond)
			}
			a := w.stream(context.Background(), path, "X-Token-Count", "8200,100")
			So(a.err, ShouldBeNil)
			So(a.status, ShouldEqual, 200)
			So(a.body, ShouldEqual, events(1, 20))
			if path == "/once/1" {
				So(w.book.Runs("r1"), ShouldHaveLength, 1)
			}
		})
	}
}

// TestLateCopy checks that a second copy of an answer, which a server sends late on a connection
// that is used again, is not taken for the answer to the next call.
func TestLateCopy(t *testing.T) {
	// Each report is sent again when the next call has arrived on the same connection.
	doubled := func(rw http.ResponseWriter, s *platformtest.Server) {
		c, buf, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = c.Close() }()
		body := fmt.Sprintf(`{"born":%d,"state":"ready","waiting":0,"running":0,"runs":[],"kv_used":0,"kv_total":88000}`, s.Born)
		report := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		_, err = io.WriteString(c, report)
		for err == nil {
			if _, err = http.ReadRequest(buf.Reader); err == nil {
				_, err = io.WriteString(c, report)
			}
		}
	}
	withHarness(t, "reports and caches", func(w *harness) {
		for i := range 3 {
			s := w.add(fmt.Sprintf("e%d", i), "models", 0, 30*time.Millisecond)
			w.stopListening(s)
			w.running[s.ID] = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/report" {
					doubled(rw, s)
					return
				}
				s.ServeHTTP(rw, r)
			})}
			w.serve(s.Address, w.running[s.ID])
		}
		for i := range 3 {
			id := fmt.Sprintf("r%d", i)
			So(w.resumableStream(context.Background(), "X-Request-Id", id).body, ShouldEqual, events(1, numEvent))
			// The caller comes back; the engines are asked for their caches on kept connections.
			a := w.resumableStream(context.Background(), "X-Request-Id", id+"-again", "Last-Event-Id", "100")
			So(a.err, ShouldBeNil)
			So(a.body, ShouldEqual, events(101, numEvent))
		}
	})
	withHarness(t, "requests use new connections", func(w *harness) {
		var remotes []string
		s := w.add("a0", "app", 0, work)
		w.stopListening(s)
		w.running["a0"] = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			remotes = append(remotes, r.RemoteAddr)
			s.ServeHTTP(rw, r)
		})}
		w.serve(s.Address, w.running["a0"])
		for i := range 5 {
			So(w.request(context.Background(), http.MethodPost, "/book/1", "x", "X-Request-Id", fmt.Sprint(i)).status, ShouldEqual, 200)
		}
		seen := make(map[string]bool)
		for _, r := range remotes {
			So(seen[r], ShouldBeFalse)
			seen[r] = true
		}
	})
}

// TestPanic checks that an unexpected error in the handling of one request fails that request at
// most.
func TestPanic(t *testing.T) {
	withHarness(t, "in the handling of a server's answer", func(w *harness) {
		w.add("a0", "app", 0, work).SetFault(platformtest.Fault{Leaving: true})
		w.add("a1", "app", 1, work)
		w.addEngines()
		w.relay.Leaving = func(backend.Choice) { panic("a bug") }
		So(w.request(context.Background(), http.MethodPost, "/book/1", "x").status, ShouldEqual, 502)
		So(w.request(context.Background(), http.MethodPost, "/book/1", "x", "X-Request-Id", "r2").status, ShouldEqual, 200)
		for _, s := range w.servers {
			s.SetFault(platformtest.Fault{Leaving: strings.HasPrefix(s.ID, "e") && s.Domain != domains[2]})
		}
		a := w.resumableStream(context.Background(), "X-Request-Id", "r3")
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, events(1, numEvent))
	})
	withHarness(t, "in what a server's identity is used for", func(w *harness) {
		s := w.add("a0", "app", 0, work)
		s.ID = "another"
		w.add("a1", "app", 1, work)
		w.relay.Restarted = func(backend.Choice) { panic("a bug") }
		So(w.request(context.Background(), http.MethodPost, "/book/1", "x").status, ShouldBeGreaterThanOrEqualTo, 500)
		w.pool.MarkReplaced(engine.ServerID("a0"))
		So(w.request(context.Background(), http.MethodPost, "/book/1", "x", "X-Request-Id", "r2").status, ShouldEqual, 200)
	})
}

// TestSilentServer checks that a server which accepts plain requests and answers none is left
// alone soon, although requests that may not be repeated have to wait for it.
func TestSilentServer(t *testing.T) {
	withHarness(t, "the nearest of two servers goes silent", func(w *harness) {
		w.add("a0", "app", 0, work)
		w.add("a1", "app", 1, work)
		So(w.request(context.Background(), http.MethodPost, "/book/1", "x").status, ShouldEqual, 200)
		w.servers["a0"].SetFault(platformtest.Fault{Hang: true})
		const (
			callers  = 40
			interval = 50 * time.Millisecond
		)
		answers := make(chan answer, callers)
		for i := range callers {
			go func() {
				answers <- w.request(context.Background(), http.MethodPost, "/book/1", "x", "X-Request-Id", fmt.Sprintf("c%d", i))
			}()
			time.Sleep(interval)
		}
		served := 0
		for range callers {
			if a := <-answers; a.status == 200 {
				served++
			}
		}
		// Those of the first 200 ms, and of 200 ms after each trial, are lost.
		So(served, ShouldBeGreaterThanOrEqualTo, callers*6/10)
	})
	withHarness(t, "a busy server that answers others is not avoided", func(w *harness) {
		w.add("a0", "app", 0, 150*time.Millisecond)
		w.add("a1", "app", 1, work)
		for i := range 10 {
			go w.request(context.Background(), http.MethodPost, "/book/1", "x", "X-Request-Id", fmt.Sprintf("c%d", i))
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(time.Second)
		v, _ := w.pool.View("a0", time.Now())
		So(v.FailedAt.IsZero(), ShouldBeTrue)
	})
}

// TestStreamWithoutLength guards against answers that end with their connection: one that ends
// before its first event, or within one, must not reach the caller as complete.
func TestStreamWithoutLength(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault platformtest.Fault
	}{
		{"a whole answer", platformtest.Fault{NoLength: true}},
		{"an answer that ends before its first event", platformtest.Fault{NoLength: true, EndBefore: 1}},
		{"an answer that ends within an event", platformtest.Fault{NoLength: true, TruncateEvent: 5}},
	} {
		withHarness(t, c.name, func(w *harness) {
			w.addEngines()
			for _, s := range w.servers {
				s.SetFault(c.fault)
			}
			time.AfterFunc(200*time.Millisecond, func() {
				for _, s := range w.servers {
					if s.Running() == 0 {
						s.SetFault(platformtest.Fault{NoLength: true})
					}
				}
			})
			a := w.resumableStream(context.Background())
			So(a.err, ShouldBeNil)
			So(a.status, ShouldEqual, 200)
			So(a.body, ShouldEqual, events(1, numEvent))
		})
	}
}

// TestEarlierRefusal guards against refusals of other requests that are taken for those of a stream which an
// engine has run.
func TestEarlierRefusal(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
		withHarness(t, fmt.Sprintf("a stream that can't be resumed, %d", status), func(w *harness) {
			w.addEngines()
			for _, s := range w.servers {
				s.SetFault(platformtest.Fault{EarlierRefusal: status})
			}
			a := w.stream(context.Background(), "/once/1")
			So(a.status, ShouldEqual, http.StatusBadGateway)
			So(w.book.Runs("r1"), ShouldHaveLength, 1)
		})
		withHarness(t, fmt.Sprintf("a stream that can be resumed, %d", status), func(w *harness) {
			w.addEngines()
			for _, s := range w.servers {
				s.SetFault(platformtest.Fault{EarlierRefusal: status})
			}
			a := w.resumableStream(context.Background())
			So(a.status, ShouldEqual, http.StatusBadGateway)
			So(len(w.book.Runs("r1")), ShouldBeLessThanOrEqualTo, 5)
		})
	}
}
