package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/engine"
	"quetzalhold/relay"
	"quetzalhold/result"
)

// TestWrongStreamEnds guards against a stream that ends for the backlog of another one, and against backlogs that
// count although their streams have ended.
func TestWrongStreamEnds(t *testing.T) {
	Convey("The stream that holds most ends", t, func() {
		var b relay.Backlogs
		const limit = 100
		for _, x := range []struct {
			id    relay.BacklogID
			bytes int64
		}{{1, 40}, {2, 50}, {3, 10}} {
			_, ok := b.Add(x.id, x.bytes, limit)
			So(ok, ShouldBeFalse)
		}
		ends, ok := b.Add(3, 1, limit)
		So(ok, ShouldBeTrue)
		So(ends, ShouldEqual, 2)
		Convey("and is counted no longer", func() {
			b.End(2)
			held, total := b.Held(1)
			So(held, ShouldEqual, 40)
			So(total, ShouldEqual, 51)
			ends, ok = b.Add(4, 50, limit)
			So(ok, ShouldBeTrue)
			So(ends, ShouldEqual, 4)
		})
		Convey("unless its caller has read", func() {
			b.Remove(2, 20)
			_, ok = b.Add(3, 1, limit)
			So(ok, ShouldBeFalse)
			ends, ok = b.Add(3, 70, limit)
			So(ok, ShouldBeTrue)
			So(ends, ShouldEqual, 3)
		})
		Convey("the earlier one of equals", func() {
			b.Add(1, 10, limit)
			ends, _ = b.Add(5, 50, limit)
			So(ends, ShouldEqual, 1)
		})
	})
}

// bigEvents is a stream of 1.2 MB.
const bigEvents = 60

func bigEvent(n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 20_000))
}

// bigEngine lets an engine answer with events that fill the buffers of connections. It returns a channel that gets how
// long it took to write each answer; negative if its connection was closed.
func (w *harness) bigEngine(id string) <-chan time.Duration {
	s := w.add(id, "models", 0, work)
	w.stopListening(s)
	took := make(chan time.Duration, 10)
	w.running[s.ID] = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/brief/") {
			s.ServeHTTP(rw, r)
			return
		}
		begun := time.Now()
		rw.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		rw.Header().Set("X-Server-Stamp", "stamp."+s.ID)
		rw.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= bigEvents; n++ {
			if _, err := io.WriteString(rw, bigEvent(n)); err != nil {
				took <- -1
				return
			}
			_ = http.NewResponseController(rw).Flush() // a failure shows at the next write
			time.Sleep(10 * time.Millisecond)
		}
		took <- time.Since(begun)
	})}
	w.serve(s.Address, w.running[s.ID])
	return took
}

// slowly requests a stream as a caller that reads nothing for a while, and then all of it.
func (w *harness) slowly(id string, d time.Duration) (body string, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+entryListen+"/brief/1", strings.NewReader("log"))
	if err != nil {
		panic(err)
	}
	req.Host = "h.example"
	for name, value := range map[string]string{"X-Request-Id": id, "X-Api-Key": "key-1", "X-Prompt-Prefix": prompt, "X-Token-Count": "800,500"} {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Transport{DialContext: w.net.Dialer(callerHost), DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	time.Sleep(d)
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// TestSlowCallerStopsEngine guards against an engine that is not read because its caller reads slowly, and against an
// answer that is not whole although its engine has sent all of it.
func TestSlowCallerStopsEngine(t *testing.T) {
	var whole strings.Builder
	for n := range bigEvents {
		whole.WriteString(bigEvent(n + 1))
	}
	for _, x := range []struct {
		name  string
		limit int64
		ahead bool
	}{
		{"read ahead", 2_000_000, true},
		{"not agreed", 0, false},
	} {
		withHarness(t, x.name, func(w *harness) {
			w.relay.ReadAhead(x.limit)
			took := w.bigEngine("e0")
			body, err := w.slowly("r1", 5*time.Second)
			So(err, ShouldBeNil)
			So(body == whole.String(), ShouldBeTrue)
			So(<-took < 2*time.Second, ShouldEqual, x.ahead)
			time.Sleep(10 * time.Millisecond)
			So(w.relay.HeldForCallers(), ShouldEqual, 0)
			v, _ := w.pool.View(engine.ServerID("e0"), time.Now())
			So(v.FailedAt.IsZero(), ShouldBeTrue)
		})
	}
	withHarness(t, "past the bound", func(w *harness) {
		w.relay.ReadAhead(1_300_000) // room for one answer
		took := w.bigEngine("e0")
		var slower error
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, slower = w.slowly("r1", 5*time.Second)
		}()
		time.Sleep(200 * time.Millisecond)
		body, err := w.slowly("r2", 5*time.Second) // it begins later, and holds less
		<-done
		So(slower, ShouldNotBeNil)
		So(err, ShouldBeNil)
		So(body == whole.String(), ShouldBeTrue)
		So(<-took, ShouldEqual, -1)
		So(<-took, ShouldBeGreaterThan, 0)
		time.Sleep(10 * time.Millisecond)
		So(w.relay.HeldForCallers(), ShouldEqual, 0)
	})
	withHarness(t, "caller leaves", func(w *harness) {
		w.relay.ReadAhead(2_000_000)
		took := w.bigEngine("e0")
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		So(w.request(ctx, http.MethodPost, "/brief/1", "log", "X-Prompt-Prefix", prompt, "X-Token-Count", "800,500").err, ShouldNotBeNil)
		So(<-took, ShouldEqual, -1)
		time.Sleep(10 * time.Millisecond)
		So(w.relay.HeldForCallers(), ShouldEqual, 0)
	})
}

// breakingEngine lets an engine break off the stream r1 after some events, and refuse it from then on. It answers others.
func (w *harness) breakingEngine(id string, calls *atomic.Int32, events int) {
	s := w.add(id, "models", 0, work)
	w.stopListening(s)
	w.running[s.ID] = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/brief/") {
			s.ServeHTTP(rw, r)
			return
		}
		rw.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		rw.Header().Set("X-Server-Stamp", "stamp."+s.ID)
		breaks := r.Header.Get("X-Request-Id") == "r1"
		if breaks && calls.Add(1) > 1 {
			rw.Header().Set("X-Not-Executed", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		rw.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= bigEvents; n++ {
			if breaks && n > events {
				panic(http.ErrAbortHandler)
			}
			if _, err := io.WriteString(rw, bigEvent(n)); err != nil {
				return
			}
			_ = http.NewResponseController(rw).Flush() // a failure shows at the next write
			time.Sleep(10 * time.Millisecond)
		}
	})}
	w.serve(s.Address, w.running[s.ID])
}

// TestWaitingStreamKeepsBacklog guards against a stream that has to end for its backlog and does not while it waits for
// an engine that goes on with it, so that the bound does not hold or another stream ends instead.
func TestWaitingStreamKeepsBacklog(t *testing.T) {
	withHarness(t, "waiting stream", func(w *harness) {
		const limit = 1_300_000
		w.relay.ReadAhead(limit)
		w.budget.SetSlack(1000)
		var calls atomic.Int32
		w.breakingEngine("e0", &calls, 50)
		w.breakingEngine("e1", &calls, 50)
		var waiting error
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, waiting = w.slowly("r1", 5*time.Second)
		}()
		time.Sleep(800 * time.Millisecond)
		So(calls.Load(), ShouldBeGreaterThan, 1) // it waits
		most, measured := int64(0), make(chan struct{})
		go func() {
			defer close(measured)
			for range 100 {
				most = max(most, w.relay.HeldForCallers())
				time.Sleep(20 * time.Millisecond)
			}
		}()
		_, err := w.slowly("r2", 5*time.Second)
		<-done
		<-measured
		So(err, ShouldBeNil)
		So(waiting, ShouldNotBeNil)
		So(most, ShouldBeLessThan, limit+2*20_100)
		time.Sleep(10 * time.Millisecond)
		So(w.relay.HeldForCallers(), ShouldEqual, 0)
	})
}

// TestStopWaitsForSlowCaller guards against an entry VM that stops and goes on waiting for callers that read nothing, and
// against engines that go on with their streams.
func TestStopWaitsForSlowCaller(t *testing.T) {
	for name, after := range map[string]time.Duration{"while the engine answers": 300 * time.Millisecond, "after the answer": 2 * time.Second} {
		withHarness(t, name, func(w *harness) {
			w.relay.ReadAhead(2_000_000)
			took := w.bigEngine("e0")
			done := make(chan error, 1)
			go func() {
				_, err := w.slowly("r1", 10*time.Second)
				done <- err
			}()
			time.Sleep(after)
			So(w.relay.HeldForCallers(), ShouldBeGreaterThan, 0)
			w.cancelRequests(relay.ErrStopping)
			time.Sleep(50 * time.Millisecond)
			So(w.relay.HeldForCallers(), ShouldEqual, 0)
			So(w.ended(), ShouldResemble, []result.Code{result.Stopping})
			So(len(took), ShouldEqual, 1) // its connection was closed, or it has ended
			So(<-done, ShouldNotBeNil)
		})
	}
}
