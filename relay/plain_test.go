package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/platform/platformtest"
	"quetzalhold/routing"
)

// work is the time of a plain call.
const work = 20 * time.Millisecond

// plainFaults are ways in which the servers of a plain service misbehave: the
// first one that is asked, or all.
var plainFaults = []struct {
	name  string
	fault platformtest.Fault
	dead  bool // refuses connections
	all   bool

	once     int // status of a call that must not be repeated
	onceRuns int
	many     int // status of an idempotent call
}{
	{name: "no fault", once: 200, onceRuns: 1, many: 200},
	{name: "refuses connections", dead: true, once: 200, onceRuns: 1, many: 200},
	{name: "all refuse connections", dead: true, all: true, once: 503, many: 503},
	{name: "refuses work", fault: platformtest.Fault{Refuse: true}, once: 200, onceRuns: 1, many: 200},
	{name: "all refuse work", fault: platformtest.Fault{Refuse: true}, all: true, once: 503, many: 503},
	{name: "loses the answer", fault: platformtest.Fault{DropConnection: true}, once: 502, onceRuns: 1, many: 200},
	{name: "all lose the answer", fault: platformtest.Fault{DropConnection: true}, all: true, once: 502, onceRuns: 1, many: 502},
	{name: "fails", fault: platformtest.Fault{Status: 500}, once: 500, onceRuns: 1, many: 200},
	{name: "all fail", fault: platformtest.Fault{Status: 500}, all: true, once: 500, onceRuns: 1, many: 500},
	{name: "answers another request", fault: platformtest.Fault{WrongRequest: true}, once: 502, onceRuns: 1, many: 200},
	{name: "answers without a stamp", fault: platformtest.Fault{NoStamp: true}, once: 502, onceRuns: 1, many: 200},
	{name: "breaks off within the answer", fault: platformtest.Fault{Truncate: true}, once: 502, onceRuns: 1, many: 200},
	{name: "breaks off within an answer without length", fault: platformtest.Fault{Truncate: true, NoLength: true}, once: 502, onceRuns: 1, many: 200},
	{name: "answers without length", fault: platformtest.Fault{NoLength: true}, once: 200, onceRuns: 1, many: 200},
	{name: "slow", fault: platformtest.Fault{Delay: 500 * time.Millisecond}, once: 200, onceRuns: 1, many: 200},
	{name: "hangs", fault: platformtest.Fault{Delay: time.Minute}, once: 504, onceRuns: 1, many: 200},
	{name: "all hang", fault: platformtest.Fault{Delay: time.Minute}, all: true, once: 504, onceRuns: 1, many: 504},
}

// TestPlainFaults checks both kinds of calls under every fault: one that must not
// be repeated runs at most once and is refused as not run only if it did not run;
// an idempotent one is answered if any server can.
func TestPlainFaults(t *testing.T) {
	for _, f := range plainFaults {
		inWorld(t, f.name, func(w *world) {
			for i := range 3 {
				s := w.add(fmt.Sprintf("a%d", i), "app", i, work)
				if i > 0 && !f.all {
					continue
				}
				s.SetFault(f.fault)
				if f.dead {
					w.kill(s)
				}
			}
			once := w.ask(context.Background(), http.MethodPost, "/book/2f", "a pickup")
			So(once.status, ShouldEqual, f.once)
			So(len(w.book.Runs("r1")), ShouldEqual, f.onceRuns)
			So(once.took, ShouldBeLessThan, 1200*time.Millisecond)
			checkAnswer(once, "r1")
			many := w.ask(context.Background(), http.MethodGet, "/status/2f?x=%2F", "", "X-Request-Id", "r2")
			So(many.status, ShouldEqual, f.many)
			So(len(w.book.Runs("r2")), ShouldBeLessThanOrEqualTo, 2)
			So(many.took, ShouldBeLessThan, 1200*time.Millisecond)
			checkAnswer(many, "r2")
		})
	}
}

// checkAnswer checks that a success is whole and belongs to its request, and
// that a refusal says when to come back.
func checkAnswer(a answer, id string) {
	So(a.err, ShouldBeNil)
	switch a.status {
	case http.StatusOK:
		So(a.body, ShouldEqual, "answer to "+id)
		So(a.header.Get("X-Server-Stamp"), ShouldStartWith, "stamp.")
	case http.StatusServiceUnavailable:
		So(a.header.Get("Retry-After"), ShouldNotBeEmpty)
		So(a.header.Get("X-Server-Stamp"), ShouldBeEmpty)
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		So(a.header.Get("X-Server-Stamp"), ShouldBeEmpty)
	}
}

// TestForwarding checks what a server gets of a caller's request.
func TestForwarding(t *testing.T) {
	inWorld(t, "Headers that only the system sets are not the caller's", func(w *world) {
		w.add("a0", "app", 0, work)
		a := w.ask(context.Background(), http.MethodPost, "/book/2f%2Fx?q=1&q=%20", "a pickup",
			"X-Tenant", "other", "X-Hold", "h", "X-Pin-Ms", "5", "X-Kv-Backup", "10.0.0.1:1", "Kv-From", "10.0.0.1:1/x",
			"X-Deadline-Ms", "2000", "X-Custom", "kept", "Connection", "X-Drop", "X-Drop", "1", "X-Expect-Instance", "a9")
		So(a.status, ShouldEqual, 200)
		run := w.book.Runs("r1")[0]
		So(run.Path, ShouldEqual, "/book/2f%2Fx?q=1&q=%20")
		So(run.Body, ShouldEqual, "a pickup")
		So(run.Header.Get("X-Tenant"), ShouldEqual, "barkline")
		So(run.Header.Get("X-Expect-Instance"), ShouldEqual, "a0")
		So(run.Header.Get("X-Custom"), ShouldEqual, "kept")
		So(run.Header.Get("X-Request-Id"), ShouldEqual, "r1")
		So(run.Header.Get("X-Deadline-Ms"), ShouldBeIn, "1000", "999")
		for _, name := range []string{"X-Api-Key", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "X-Drop"} {
			So(run.Header.Get(name), ShouldBeEmpty)
		}
	})
	inWorld(t, "What is refused did not run", func(w *world) {
		w.add("a0", "app", 0, work)
		ask := func(path, body string, headers ...string) int {
			return w.ask(context.Background(), http.MethodPost, path, body, headers...).status
		}
		So(ask("/nowhere/1", ""), ShouldEqual, 404)
		So(ask("/book/1", "", "X-Api-Key", "wrong"), ShouldEqual, 401)
		So(ask("/book/1", "", "X-Api-Key", ""), ShouldEqual, 401)
		So(ask("/book/1", strings.Repeat("x", 20000)), ShouldEqual, 413)
		So(ask("/book/1", "", "X-Long", strings.Repeat("x", 5000)), ShouldEqual, 431)
		So(ask("/book/1", "", "X-Deadline-Ms", "soon"), ShouldEqual, 400)
		So(w.book.Runs("r1"), ShouldBeEmpty)
		So(ask("/open/1", "", "X-Api-Key", ""), ShouldEqual, 200)
		So(w.book.Runs("r1")[0].Header.Get("X-Tenant"), ShouldBeEmpty)
		w.setTable(nil)
		So(ask("/book/1", ""), ShouldEqual, 503)
		So(ask("/nowhere/1", "", "X-Api-Key", "wrong"), ShouldEqual, 503)
	})
	inWorld(t, "A version that is not allowed gets nothing", func(w *world) {
		s := w.add("a0", "app", 0, work)
		s.Version = "v2"
		e := entry(s)
		e.Revision++
		w.pool.Apply(e)
		w.relay.Allowed = allowOnly("v1")
		So(w.ask(context.Background(), http.MethodPost, "/book/1", "").status, ShouldEqual, 503)
		So(w.book.Runs("r1"), ShouldBeEmpty)
	})
}

// TestRetryBudget checks that repeats stay within their budget when every server
// loses its answers.
func TestRetryBudget(t *testing.T) {
	inWorld(t, "Repeats stop when the budget is spent", func(w *world) {
		w.budget.Ratio = 0
		w.budget.SetSlack(3)
		for i := range 3 {
			w.add(fmt.Sprintf("a%d", i), "app", 0, work).SetFault(platformtest.Fault{DropConnection: true})
		}
		arrivals := 0
		for i := range 10 {
			id := fmt.Sprintf("r%d", i)
			w.ask(context.Background(), http.MethodGet, "/status/1", "", "X-Request-Id", id)
			arrivals += len(w.book.Runs(id))
		}
		So(arrivals, ShouldEqual, 13)
	})
}

// TestCallerLeaves checks that a call ends at its server when the caller leaves.
func TestCallerLeaves(t *testing.T) {
	inWorld(t, "The server stops", func(w *world) {
		s := w.add("a0", "app", 0, 10*time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		w.ask(ctx, http.MethodGet, "/status/1", "")
		time.Sleep(500 * time.Millisecond)
		So(s.Running(), ShouldEqual, 0)
	})
}

// TestMatch checks that the longest prefix of the host wins.
func TestMatch(t *testing.T) {
	Convey("The longest prefix of the host wins", t, func() {
		c := testConfig()
		c.Routes = append(c.Routes, routing.Route{Name: "inner", Host: "h.example", Prefix: "/book/in/", Splits: []routing.Split{{Service: "app", Weight: 1}}})
		table := routing.NewTable(c)
		name := func(host, path string) routing.RouteName {
			r, ok := table.Route(host, path)
			if !ok {
				return ""
			}
			return r.Name
		}
		So(name("h.example", "/book/x"), ShouldEqual, routing.RouteName("book"))
		So(name("H.example", "/book/in/x"), ShouldEqual, routing.RouteName("inner"))
		So(name("h.example", "/book"), ShouldEqual, routing.RouteName(""))
		So(name("other.example", "/book/x"), ShouldEqual, routing.RouteName(""))
	})
}
