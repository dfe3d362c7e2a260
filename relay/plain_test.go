package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/platform/platformtest"
	"quetzalhold/result"
	"quetzalhold/routing"
	"quetzalhold/telemetry"
)

// work is how long a plain call takes.
const work = 20 * time.Millisecond

// plainFaults are faults of a plain service's servers: of the first one tried, or of all.
var plainFaults = []struct {
	name  string
	fault platformtest.Fault
	dead  bool // it refuses connections
	all   bool

	nonIdempotent     int // status of a non-idempotent call
	nonIdempotentRuns int
	idempotent        int // status of an idempotent call
}{
	{name: "no fault", nonIdempotent: 200, nonIdempotentRuns: 1, idempotent: 200},
	{name: "refuses connections", dead: true, nonIdempotent: 200, nonIdempotentRuns: 1, idempotent: 200},
	{name: "all refuse connections", dead: true, all: true, nonIdempotent: 503, idempotent: 503},
	{name: "refuses work", fault: platformtest.Fault{Refuse: true}, nonIdempotent: 200, nonIdempotentRuns: 1, idempotent: 200},
	{name: "all refuse work", fault: platformtest.Fault{Refuse: true}, all: true, nonIdempotent: 503, idempotent: 503},
	{name: "loses the answer", fault: platformtest.Fault{DropConnection: true}, nonIdempotent: 502, nonIdempotentRuns: 1, idempotent: 200},
	{name: "all lose the answer", fault: platformtest.Fault{DropConnection: true}, all: true, nonIdempotent: 502, nonIdempotentRuns: 1, idempotent: 502},
	{name: "fails", fault: platformtest.Fault{Status: 500}, nonIdempotent: 500, nonIdempotentRuns: 1, idempotent: 200},
	{name: "all fail", fault: platformtest.Fault{Status: 500}, all: true, nonIdempotent: 500, nonIdempotentRuns: 1, idempotent: 500},
	{name: "answers another request", fault: platformtest.Fault{WrongRequest: true}, nonIdempotent: 502, nonIdempotentRuns: 1, idempotent: 200},
	{name: "repeats an earlier refusal", fault: platformtest.Fault{EarlierRefusal: 503}, nonIdempotent: 502, nonIdempotentRuns: 1, idempotent: 200},
	{name: "repeats an earlier refusal for load", fault: platformtest.Fault{EarlierRefusal: 429}, nonIdempotent: 502, nonIdempotentRuns: 1, idempotent: 200},
	{name: "repeats an earlier refusal of another start", fault: platformtest.Fault{EarlierRefusal: 421}, nonIdempotent: 502, nonIdempotentRuns: 1, idempotent: 200},
	{name: "all repeat an earlier refusal", fault: platformtest.Fault{EarlierRefusal: 503}, all: true, nonIdempotent: 502, nonIdempotentRuns: 1, idempotent: 502},
	{name: "switches protocols", fault: platformtest.Fault{Status: 101}, nonIdempotent: 502, nonIdempotentRuns: 1, idempotent: 200},
	{name: "answers without a stamp", fault: platformtest.Fault{NoStamp: true}, nonIdempotent: 502, nonIdempotentRuns: 1, idempotent: 200},
	{name: "breaks off within the answer", fault: platformtest.Fault{Truncate: true}, nonIdempotent: 502, nonIdempotentRuns: 1, idempotent: 200},
	{name: "breaks off within an answer without length", fault: platformtest.Fault{Truncate: true, NoLength: true}, nonIdempotent: 502, nonIdempotentRuns: 1, idempotent: 200},
	{name: "answers without length", fault: platformtest.Fault{NoLength: true}, nonIdempotent: 200, nonIdempotentRuns: 1, idempotent: 200},
	{name: "slow", fault: platformtest.Fault{Delay: 500 * time.Millisecond}, nonIdempotent: 200, nonIdempotentRuns: 1, idempotent: 200},
	{name: "hangs", fault: platformtest.Fault{Delay: time.Minute}, nonIdempotent: 504, nonIdempotentRuns: 1, idempotent: 200},
	{name: "all hang", fault: platformtest.Fault{Delay: time.Minute}, all: true, nonIdempotent: 504, nonIdempotentRuns: 1, idempotent: 504},
}

// TestPlainFaults checks both kinds of calls under every fault: a non-idempotent one runs at
// most once and is reported as not run only if it did not run; an idempotent one is answered
// if any server can.
func TestPlainFaults(t *testing.T) {
	for _, f := range plainFaults {
		withHarness(t, f.name, func(w *harness) {
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
			nonIdempotent := w.request(context.Background(), http.MethodPost, "/book/2f", "a pickup")
			So(nonIdempotent.status, ShouldEqual, f.nonIdempotent)
			So(len(w.book.Runs("r1")), ShouldEqual, f.nonIdempotentRuns)
			So(nonIdempotent.took, ShouldBeLessThan, 1200*time.Millisecond)
			checkAnswer(nonIdempotent, "r1")
			idempotent := w.request(context.Background(), http.MethodGet, "/status/2f?x=%2F", "", "X-Request-Id", "r2")
			So(idempotent.status, ShouldEqual, f.idempotent)
			So(len(w.book.Runs("r2")), ShouldBeLessThanOrEqualTo, 2)
			So(idempotent.took, ShouldBeLessThan, 1200*time.Millisecond)
			checkAnswer(idempotent, "r2")
		})
	}
}

// checkAnswer checks that a success is complete and belongs to its request, and that a refusal
// says when to retry.
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

// TestForwarding checks what a server receives of a caller's request.
func TestForwarding(t *testing.T) {
	withHarness(t, "Headers that only the gateway sets are not taken from the caller", func(w *harness) {
		w.add("a0", "app", 0, work)
		a := w.request(context.Background(), http.MethodPost, "/book/2f%2Fx?q=1&q=%20", "a pickup",
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
	withHarness(t, "What is refused did not run", func(w *harness) {
		w.add("a0", "app", 0, work)
		status := func(path, body string, headers ...string) int {
			return w.request(context.Background(), http.MethodPost, path, body, headers...).status
		}
		So(status("/nowhere/1", ""), ShouldEqual, 404)
		So(status("/book/1", "", "X-Api-Key", "wrong"), ShouldEqual, 401)
		So(status("/book/1", "", "X-Api-Key", ""), ShouldEqual, 401)
		So(status("/book/1", strings.Repeat("x", 20000)), ShouldEqual, 413)
		So(status("/book/1", "", "X-Long", strings.Repeat("x", 5000)), ShouldEqual, 431)
		So(status("/book/1", "", "X-Deadline-Ms", "soon"), ShouldEqual, 400)
		So(w.book.Runs("r1"), ShouldBeEmpty)
		So(status("/open/1", "", "X-Api-Key", ""), ShouldEqual, 200)
		So(w.book.Runs("r1")[0].Header.Get("X-Tenant"), ShouldBeEmpty)
		w.setTable(nil)
		So(status("/book/1", ""), ShouldEqual, 503)
		So(status("/nowhere/1", "", "X-Api-Key", "wrong"), ShouldEqual, 503)
	})
	withHarness(t, "A version that is not allowed gets no request", func(w *harness) {
		s := w.add("a0", "app", 0, work)
		s.Version = "v2"
		e := entry(s)
		e.Number++
		w.pool.Apply(e)
		w.relay.Allowed = allowOnly("v1")
		So(w.request(context.Background(), http.MethodPost, "/book/1", "").status, ShouldEqual, 503)
		So(w.book.Runs("r1"), ShouldBeEmpty)
	})
}

// TestRetryBudget checks that retries stay within their budget when every server loses its
// answers.
func TestRetryBudget(t *testing.T) {
	withHarness(t, "Retries stop when the budget is spent", func(w *harness) {
		w.budget.Ratio = 0
		w.budget.SetSlack(3)
		for i := range 3 {
			w.add(fmt.Sprintf("a%d", i), "app", 0, work).SetFault(platformtest.Fault{DropConnection: true})
		}
		arrivals := 0
		for i := range 10 {
			id := fmt.Sprintf("r%d", i)
			w.request(context.Background(), http.MethodGet, "/status/"+id, "", "X-Request-Id", id)
			arrivals += len(w.book.Runs(id))
		}
		So(arrivals, ShouldEqual, 13)
	})
}

// TestCallerLeaves checks that a call ends at its server when the caller disconnects.
func TestCallerLeaves(t *testing.T) {
	withHarness(t, "The server stops", func(w *harness) {
		s := w.add("a0", "app", 0, 10*time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		w.request(ctx, http.MethodGet, "/status/1", "")
		time.Sleep(500 * time.Millisecond)
		So(s.Running(), ShouldEqual, 0)
	})
}

// brokenWriter is the ResponseWriter of a connection that the caller has closed.
type brokenWriter struct{ *httptest.ResponseRecorder }

// FlushError implements the method that [http.ResponseController] calls.
func (brokenWriter) FlushError() error { return syscall.ECONNRESET }

// TestWriteError checks that an answer which could not be written is not reported as delivered.
func TestWriteError(t *testing.T) {
	withHarness(t, "The line about the request's end tells", func(w *harness) {
		var lines bytes.Buffer
		w.relay.Log = telemetry.NewLog(&lines, "info")
		w.add("a0", "app", 0, work)
		serve := func(key string) {
			req := httptest.NewRequest(http.MethodPost, "http://h.example/book/1", strings.NewReader("a pickup"))
			req.Header.Set("X-Request-Id", "r1")
			req.Header.Set("X-Api-Key", key)
			w.relay.ServeHTTP(brokenWriter{httptest.NewRecorder()}, req)
		}
		So(func() { serve("key-1") }, ShouldPanicWith, http.ErrAbortHandler)
		serve("wrong")
		So(w.ended(), ShouldResemble, []result.Code{result.CallerGone, result.UnknownKey})
		ends := strings.Split(strings.TrimSpace(lines.String()), "\n")
		So(ends[len(ends)-2], ShouldContainSubstring, `"status":200,"writeError":"connection reset by peer"`)
		So(ends[len(ends)-1], ShouldContainSubstring, `"writeError":"connection reset by peer"`)
	})
}

// TestHalfClosed lets a caller close its half of a connection while it waits. To net/http it has
// left; the 200 that net/http sends by default would be a false success.
func TestHalfClosed(t *testing.T) {
	Convey("Without an answer there is no success", t, func() {
		w := newHarness()
		defer w.close()
		w.add("a0", "app", 0, 10*time.Second)
		front := httptest.NewServer(w.relay)
		defer front.Close()
		c, err := net.Dial("tcp", front.Listener.Addr().String())
		So(err, ShouldBeNil)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Api-Key: key-1\r\nContent-Length: 0\r\n\r\n")
		So(err, ShouldBeNil)
		So(c.(*net.TCPConn).CloseWrite(), ShouldBeNil)
		got, err := io.ReadAll(c)
		So(err, ShouldBeNil)
		So(string(got), ShouldBeEmpty)
		So(w.ended(), ShouldResemble, []result.Code{result.CallerGone})
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
