package telemetry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/settings"
)

func testSettings(collector string) *settings.Entry {
	return &settings.Entry{
		ID: "entry-1", Domain: "d",
		Places:    []settings.Place{{Names: names.Set{Code: "d", Title: "D", Legacy: "1"}, Region: names.Set{Code: "r", Title: "R", Legacy: "2"}}},
		Telemetry: settings.Telemetry{OTLP: collector, TraceShare: 1},
	}
}

func TestPush(t *testing.T) {
	Convey("Traces and metrics are pushed by OTLP over HTTP when an address is set", t, func() {
		var mu sync.Mutex
		got := make(map[string]int)
		s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			mu.Lock()
			defer mu.Unlock()
			got[r.URL.Path] += len(b)
		}))
		defer s.Close()
		tel, err := New(testSettings(strings.TrimPrefix(s.URL, "http://")), io.Discard)
		So(err, ShouldBeNil)
		_, span := tel.Tracer.Start(context.Background(), "hop")
		span.End()
		tel.Metrics.Step("start")
		So(tel.Close(context.Background()), ShouldBeNil)
		mu.Lock()
		defer mu.Unlock()
		So(got["/v1/traces"], ShouldBeGreaterThan, 0)
		So(got["/v1/metrics"], ShouldBeGreaterThan, 0)
	})
	Convey("Without an address, metrics are only scraped", t, func() {
		tel, err := New(testSettings(""), io.Discard)
		So(err, ShouldBeNil)
		tel.Metrics.PlatformCall("urgent", true)
		w := httptest.NewRecorder()
		tel.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		So(w.Body.String(), ShouldContainSubstring, `quetzalhold_platform_calls`)
		So(w.Body.String(), ShouldContainSubstring, `process_resident_memory_bytes`)
	})
}

// TestLoopAfterPanic guards against a panic in the background that ends the process, or what runs there.
func TestLoopAfterPanic(t *testing.T) {
	Convey("A loop goes on after a panic, until its context ends", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		runs := 0
		Loop(ctx, zap.NewNop(), "test", func(running context.Context) {
			if runs++; runs == 3 {
				cancel()
				<-running.Done()
				return
			}
			panic("a fault")
		})
		So(runs, ShouldEqual, 3)
	})
	Convey("A goroutine that panics does not end the process", t, func() {
		done := make(chan struct{})
		Go(zap.NewNop(), "test", func() {
			defer close(done)
			panic("a fault")
		})
		<-done
		v, err := GuardValue(zap.NewNop(), "test", func() (int, error) { panic("a fault") })
		So(v, ShouldEqual, 0)
		So(err, ShouldNotBeNil)
	})
}

func TestHistory(t *testing.T) {
	Convey("A history keeps the most recent requests, with a bounded number of steps each", t, func() {
		h := NewHistory(2)
		for _, r := range []engine.RequestID{"a", "b", "c"} {
			for range maxSteps + 5 {
				h.Record(engine.Step{Request: r, Event: "x"})
			}
		}
		So(h.Steps("a"), ShouldBeEmpty)
		So(h.Steps("c"), ShouldHaveLength, maxSteps)
	})
}

// TestLogAfterCloseDeadlocks guards against requests that hang since the log is closed while they
// write to it.
func TestLogAfterCloseDeadlocks(t *testing.T) {
	Convey("Lines after Close are dropped", t, func() {
		var out strings.Builder
		w := NewAsyncWriter(&out)
		l := NewLog(w, "")
		var writers sync.WaitGroup
		for range 4 {
			writers.Go(func() {
				for range 100 {
					l.Info("while it closes")
				}
			})
		}
		w.Close()
		writers.Wait()
		l.Info("too late")
		w.Close()
		So(out.String(), ShouldNotContainSubstring, "too late")
		So(w.Dropped(), ShouldBeGreaterThan, 0)
	})
}
