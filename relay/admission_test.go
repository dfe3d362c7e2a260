package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/admit"
	"quetzalhold/engine"
	"quetzalhold/platform/platformtest"
	"quetzalhold/relay"
	"quetzalhold/result"
	"quetzalhold/routing"
)

// withOneEngine adds one engine, routes of two priorities to it, and as many streams as are needed to learn how
// fast it is.
func (w *harness) withOneEngine() *platformtest.Server {
	c := testConfig()
	urgent := c.Routes[0]
	urgent.Name, urgent.Prefix, c.Routes[0].Priority = "urgent", "/urgent/", 1
	c.Routes = append(c.Routes, urgent)
	c.Organisations[0].Priority = nil
	w.setTable(routing.NewTable(c))
	e := w.add("e1", "models", 0, 10*time.Millisecond)
	for i := range warmStreams {
		So(w.waiting("/brief/1", fmt.Sprintf("warm%d", i)).status, ShouldEqual, 200)
	}
	return e
}

// warmStreams is how many streams are needed to learn how fast engines are.
const warmStreams = 6

// waiting requests a stream with a prompt of its own.
func (w *harness) waiting(path, id string) answer {
	return w.request(context.Background(), http.MethodPost, path, "log", "X-Request-Id", id, "X-Prompt-Prefix", id+":8200", "X-Token-Count", "8200,650", "X-Deadline-Ms", "25000")
}

// TestStreamWaits guards against streams that are sent to an engine which has other prompts to prefill, so that an
// urgent one that comes later can't pass them.
func TestStreamWaits(t *testing.T) {
	withHarness(t, "A stream waits at the entry VM until another has its first event, behind more urgent ones", func(w *harness) {
		w.withOneEngine()
		answers := make(map[string]answer)
		done := make(chan struct{}, 3)
		for i, x := range []struct{ path, id string }{{"/brief/1", "first"}, {"/brief/1", "calm"}, {"/urgent/1", "urgent"}} {
			time.AfterFunc(time.Duration(i)*100*time.Millisecond, func() {
				a := w.waiting(x.path, x.id)
				w.mu.Lock()
				answers[x.id] = a
				w.mu.Unlock()
				done <- struct{}{}
			})
		}
		begun := time.Now()
		for range 3 {
			<-done
		}
		sent := func(id string) time.Duration { return w.book.Runs(id)[0].Started.Sub(begun) }
		So(sent("first"), ShouldBeLessThan, 100*time.Millisecond)
		So(sent("urgent"), ShouldBeGreaterThanOrEqualTo, answers["first"].first-5*time.Millisecond)
		So(sent("calm"), ShouldBeGreaterThan, sent("urgent")+time.Second)
		for _, a := range answers {
			So(a.status, ShouldEqual, 200)
			So(a.err, ShouldBeNil)
		}
		So(w.relay.Waiting(), ShouldEqual, 0)
		So(w.relay.Admission(time.Now())[0].Pending, ShouldEqual, 0)
	})
	withHarness(t, "A wait ends when the caller leaves", func(w *harness) {
		e := w.withOneEngine()
		go w.waiting("/brief/1", "first")
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		go w.request(ctx, http.MethodPost, "/brief/1", "log", "X-Request-Id", "leaves", "X-Token-Count", "8200,650")
		time.Sleep(100 * time.Millisecond)
		So(w.relay.Waiting(), ShouldEqual, 1)
		cancel()
		time.Sleep(20 * time.Millisecond)
		So(w.relay.Waiting(), ShouldEqual, 0)
		time.Sleep(10 * time.Second)
		So(e.Arrived(), ShouldHaveLength, warmStreams+1)
	})
	var draining atomic.Bool
	for _, x := range []struct {
		name string
		stop func(*harness)
	}{
		{"A stopping entry VM ends waits as other requests", func(w *harness) { w.cancelRequests(relay.ErrStopping) }},
		{"A draining entry VM refuses streams that wait", func(*harness) { draining.Store(true) }},
	} {
		withHarness(t, x.name, func(w *harness) {
			e := w.withOneEngine()
			draining.Store(false)
			w.relay.Draining = draining.Load
			go w.waiting("/brief/1", "first")
			time.Sleep(100 * time.Millisecond)
			time.AfterFunc(200*time.Millisecond, func() { x.stop(w) })
			a := w.waiting("/brief/1", "second")
			So(a.status, ShouldEqual, 503)
			So(a.body, ShouldContainSubstring, fmt.Sprint(int(result.Stopping)))
			So(a.body, ShouldContainSubstring, `"notRun":true`)
			So(a.took, ShouldBeLessThan, 400*time.Millisecond)
			So(e.Arrived(), ShouldHaveLength, warmStreams+1)
		})
	}
	withHarness(t, "Routes of the same priority don't wait", func(w *harness) {
		e := w.withOneEngine()
		w.setTable(routing.NewTable(testConfig()))
		go w.waiting("/brief/1", "first")
		time.Sleep(100 * time.Millisecond)
		go w.waiting("/brief/1", "second")
		time.Sleep(100 * time.Millisecond)
		So(e.Arrived(), ShouldHaveLength, warmStreams+2)
		time.Sleep(20 * time.Second)
	})
}

// TestShareInForce guards against an entry VM that sends more than its share, or to engines without room.
func TestShareInForce(t *testing.T) {
	for _, x := range []struct {
		name        string
		share       engine.Tokens
		least, most int // streams sent after a moment
	}{
		{"Streams are sent up to the share", 3 * 8200, 3, 3},
		{"Streams wait while engines have no room for their KV cache", 100 * 8200, 9, 10},
	} {
		withHarness(t, x.name, func(w *harness) {
			e := w.withOneEngine()
			now := time.Now()
			w.relay.ApplyGrants(now, now, []admit.Grant{{Service: "models", Window: 100 * 8200, Pressure: true, Shares: []admit.Share{{Rank: 3, Tokens: x.share}}}})
			const streams = 12
			done := make(chan answer, streams)
			for i := range streams {
				time.AfterFunc(time.Duration(i)*20*time.Millisecond, func() { done <- w.waiting("/brief/1", fmt.Sprintf("s%d", i)) })
			}
			time.Sleep(500 * time.Millisecond)
			So(len(e.Arrived())-warmStreams, ShouldBeGreaterThanOrEqualTo, x.least)
			So(len(e.Arrived())-warmStreams, ShouldBeLessThanOrEqualTo, x.most)
			for range streams {
				So((<-done).status, ShouldEqual, 200)
			}
		})
	}
}
