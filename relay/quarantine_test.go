package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/engine"
	"quetzalhold/platform/platformtest"
	"quetzalhold/quarantine"
)

// TestBlockedPartCutsAnswer guards against an answer under way that is cut because a part of its
// prompt becomes blocked: no engine crashes under it any more.
func TestBlockedPartCutsAnswer(t *testing.T) {
	withHarness(t, "after the first event", func(w *harness) {
		w.addEngines()
		var once sync.Once
		w.relay.StreamSent = func(string) {
			once.Do(func() {
				time.AfterFunc(1070*time.Millisecond, func() {
					for i := range 3 {
						w.relay.Quarantine.Add(time.Now(), quarantine.Crash{
							Service: "models", Request: engine.RequestID(fmt.Sprintf("other-%d", i)), Server: engine.ServerID(fmt.Sprintf("x%d", i)), Start: 1,
							Suspects: []quarantine.Suspect{"aa"}, Until: quarantine.UnixMilli(time.Now().Add(time.Hour).UnixMilli()),
						})
					}
				})
			})
		}
		a := w.resumableStream(context.Background())
		So(a.err, ShouldBeNil)
		So(a.first, ShouldBeBetween, 1000*time.Millisecond, 1100*time.Millisecond)
		So(a.body, ShouldEqual, events(1, numEvent))
	})
}

// TestCallerOfTrialLeaves guards against a part of prompts that stays blocked since the caller of its only trial has left.
func TestCallerOfTrialLeaves(t *testing.T) {
	withHarness(t, "before the first event", func(w *harness) {
		w.addEngines()
		claims := 0
		w.relay.ClaimTrial = func(_ context.Context, c quarantine.Crash) bool {
			claims++
			return w.relay.Quarantine.MarkShared(time.Now(), c)
		}
		for i := range 3 {
			_, ok := w.relay.Quarantine.Observe(time.Now(), quarantine.Crash{
				Service: "models", Request: engine.RequestID(fmt.Sprintf("other-%d", i)), Server: engine.ServerID(fmt.Sprintf("x%d", i)), Start: 1,
				Suspects: []quarantine.Suspect{quarantine.Fingerprint(fmt.Sprintf("other-%d", i)).Suspect(), "aa"},
			})
			So(ok, ShouldBeTrue)
		}
		So(w.resumableStream(context.Background()).status, ShouldEqual, http.StatusServiceUnavailable)
		time.Sleep(6 * time.Second)
		ctx, leave := context.WithTimeout(context.Background(), 28*time.Millisecond)
		defer leave()
		w.resumableStream(ctx, "X-Request-Id", "leaves")
		So(claims, ShouldEqual, 1)
		time.Sleep(2 * time.Second)
		a := w.resumableStream(context.Background(), "X-Request-Id", "next")
		So(a.body, ShouldEqual, events(1, numEvent))
		So(claims, ShouldEqual, 1)
		time.Sleep(10 * time.Second)
		for _, s := range w.servers {
			So(s.Running(), ShouldEqual, 0)
		}
	})
}

// TestLiveServersTakenForLost guards against requests that are blocked since servers which are alive
// did not answer them.
func TestLiveServersTakenForLost(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault platformtest.Fault
	}{
		{"servers that do not answer in time", platformtest.Fault{Hang: true}},
		{"servers that answer another request", platformtest.Fault{WrongRequest: true}},
		{"servers that close connections", platformtest.Fault{DropConnection: true}},
	} {
		withHarness(t, c.name, func(w *harness) {
			for i := range 6 {
				w.add(fmt.Sprintf("a%d", i), "app", 0, 10*time.Millisecond)
			}
			for _, s := range w.servers {
				s.SetFault(c.fault)
			}
			var wg sync.WaitGroup
			for range 20 {
				for range 6 {
					wg.Go(func() { w.request(context.Background(), http.MethodPost, "/status/1", "poll", "X-Deadline-Ms", "250") })
				}
				wg.Wait()
			}
			for _, s := range w.servers {
				s.SetFault(platformtest.Fault{})
			}
			time.Sleep(time.Second)
			a := w.request(context.Background(), http.MethodPost, "/status/1", "poll")
			So(a.status, ShouldEqual, http.StatusOK)
			So(w.relay.Quarantine.Listed(time.Now().Add(time.Minute)), ShouldBeEmpty)
		})
	}
}
