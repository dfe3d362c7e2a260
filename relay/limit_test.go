package relay_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/platform/platformtest"
)

// TestLimitNamed checks which answers of a server show its limit, and the end of the limit.
func TestLimitNamed(t *testing.T) {
	limited := func(w *harness, id string) bool { return w.pool.Limited(engine.ServerID(id)) }
	call := func(w *harness, id int) answer {
		return w.request(context.Background(), http.MethodPost, "/book/1", "x", "X-Request-Id", strconv.Itoa(id))
	}
	for name, f := range map[string]platformtest.Fault{
		"an answer":                 {Limit: "2"},
		"a failure":                 {Limit: "2", Status: 500},
		"a refusal":                 {Limit: "2", Refuse: true},
		"an answer to another call": {Limit: "2", WrongRequest: true},
		"an answer without a stamp": {Limit: "2", NoStamp: true},
	} {
		withHarness(t, name, func(w *harness) {
			w.add("a0", "app", 0, work).SetFault(f)
			var told []backend.RateLimit
			w.relay.LimitChanged = func(l backend.RateLimit) { told = append(told, l) }
			call(w, 1)
			So(limited(w, "a0"), ShouldBeTrue)
			So(told, ShouldHaveLength, 1)
			So(told[0].Rate, ShouldEqual, backend.Rate(2))
		})
	}
	withHarness(t, "a call to a server without room is refused at once, with a time to come back", func(w *harness) {
		s := w.add("a0", "app", 0, work)
		s.SetFault(platformtest.Fault{Limit: "2"})
		So(call(w, 1).status, ShouldEqual, 200)
		at := time.Now()
		a := call(w, 2)
		So(a.status, ShouldEqual, 503)
		So(a.header.Get("Retry-After"), ShouldNotBeEmpty)
		So(time.Since(at), ShouldBeLessThan, 20*time.Millisecond)
		So(s.Arrived(), ShouldHaveLength, 1)
	})
	withHarness(t, "hedged calls need a permit each", func(w *harness) {
		w.add("a0", "app", 0, work).SetFault(platformtest.Fault{Limit: "2", Delay: 300 * time.Millisecond})
		w.add("a1", "app", 1, work).SetFault(platformtest.Fault{Limit: "2", Delay: 300 * time.Millisecond})
		get := func(id string) int {
			return w.request(context.Background(), http.MethodPost, "/status/1", "x", "X-Request-Id", id).status
		}
		So(get("1"), ShouldEqual, 200)
		get("2")
		for _, id := range []engine.ServerID{"a0", "a1"} {
			So(limited(w, string(id)), ShouldBeTrue)
		}
		before := len(w.servers["a0"].Arrived()) + len(w.servers["a1"].Arrived())
		v, _ := w.pool.View("a0", time.Now())
		w.pool.AddPermits(time.Now(), []backend.Permit{{Server: "a0", Start: v.Start, Count: 1}})
		So(get("3"), ShouldEqual, 200)
		So(len(w.servers["a0"].Arrived())+len(w.servers["a1"].Arrived()), ShouldEqual, before+1)
	})
	withHarness(t, "a load report shows a limit, but no end of one", func(w *harness) {
		w.addEngines()
		for _, s := range w.servers {
			s.SetFault(platformtest.Fault{Limit: "2"})
		}
		w.resumableStream(context.Background())
		n := 0
		for id := range w.servers {
			if limited(w, id) {
				n++
			}
		}
		So(n, ShouldBeGreaterThan, 1)
		for id, s := range w.servers {
			s.SetFault(platformtest.Fault{})
			v, _ := w.pool.View(engine.ServerID(id), time.Now())
			_, err := w.relay.Report(context.Background(), backend.Choice{Server: v.Server})
			So(err, ShouldBeNil)
			if v.Limit != backend.Unlimited {
				So(limited(w, id), ShouldBeTrue)
			}
		}
	})
	withHarness(t, "an answer to a call that was sent before the limit was named does not end it", func(w *harness) {
		s := w.add("a0", "app", 0, 100*time.Millisecond)
		done := make(chan int)
		go func() { done <- call(w, 1).status }()
		time.Sleep(50 * time.Millisecond)
		v, _ := w.pool.View("a0", time.Now())
		So(w.pool.SetLimit(backend.RateLimit{Server: "a0", Start: v.Start, Rate: 2, At: time.Now()}), ShouldBeTrue)
		So(<-done, ShouldEqual, 200)
		So(limited(w, "a0"), ShouldBeTrue)
		w.pool.AddPermits(time.Now(), []backend.Permit{{Server: "a0", Start: v.Start, Count: 1}})
		So(call(w, 2).status, ShouldEqual, 200)
		So(limited(w, "a0"), ShouldBeFalse)
		So(s.Arrived(), ShouldHaveLength, 2)
	})
}
