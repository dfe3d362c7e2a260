package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"quetzalhold/cost"
	"quetzalhold/engine"
)

// TestMeter guards against samples that do not show the speed of the server: of prompts that wait for others, of
// streams that resume, and of calls that take long because the server is far away.
func TestMeter(t *testing.T) {
	kinds := func(list []cost.Sample) map[cost.Kind]cost.Sample {
		all := make(map[cost.Kind]cost.Sample)
		for _, s := range list {
			all[s.Kind] = s
		}
		return all
	}
	withHarness(t, "A stream and a call yield samples of their servers", func(w *harness) {
		w.add("e0", "models", 0, 30*time.Millisecond)
		w.add("a0", "app", 0, 50*time.Millisecond)
		So(w.resumableStream(context.Background()).err, ShouldBeNil)
		got := kinds(w.relay.Costs.Drain(time.Now()))
		So(got, ShouldHaveLength, 2)
		So(got[cost.FirstEvent].Server, ShouldEqual, engine.ServerID("e0"))
		So(got[cost.FirstEvent].Start, ShouldEqual, engine.Incarnation(1002))
		So(got[cost.FirstEvent].Rate, ShouldAlmostEqual, 8000, 400)
		So(got[cost.FirstEvent].Least, ShouldBeLessThan, got[cost.FirstEvent].Rate)
		So(got[cost.Gap].Rate, ShouldBeBetween, 20, 50)
		So(w.relay.Costs.Output("brief", 1000), ShouldAlmostEqual, engine.Tokens(1000), engine.Tokens(10))
		So(w.request(context.Background(), http.MethodGet, "/status/1", "").status, ShouldEqual, http.StatusOK)
		So(kinds(w.relay.Costs.Drain(time.Now()))[cost.Call].Rate, ShouldBeBetween, 15, 21)
	})
	withHarness(t, "A call to a server of another region shows the time of the work, not of the way", func(w *harness) {
		w.add("a0", "app", 2, 50*time.Millisecond)
		So(w.request(context.Background(), http.MethodGet, "/status/1", "").status, ShouldEqual, http.StatusOK)
		So(kinds(w.relay.Costs.Drain(time.Now()))[cost.Call].Rate, ShouldBeBetween, 15, 21)
	})
	withHarness(t, "The first event of a stream that resumes, or waits for another prompt, is no sample", func(w *harness) {
		w.add("e0", "models", 0, 30*time.Millisecond)
		So(w.resumableStream(context.Background(), "Last-Event-Id", "20").err, ShouldBeNil)
		_, ok := kinds(w.relay.Costs.Drain(time.Now()))[cost.FirstEvent]
		So(ok, ShouldBeFalse)
		done := make(chan answer)
		go func() {
			done <- w.resumableStream(context.Background(), "X-Request-Id", "r2", "X-Prompt-Prefix", "cc:8000")
		}()
		time.Sleep(500 * time.Millisecond)
		So(w.resumableStream(context.Background(), "X-Request-Id", "r3", "X-Prompt-Prefix", "dd:8000").err, ShouldBeNil)
		<-done
		So(kinds(w.relay.Costs.Drain(time.Now()))[cost.FirstEvent].Count, ShouldEqual, 1)
	})
}

// TestSlowCallerIsNoSlowEngine guards against the pace of a caller that is taken for that of the engine.
func TestSlowCallerIsNoSlowEngine(t *testing.T) {
	withHarness(t, "The gaps of an answer that its caller reads slowly are no samples", func(w *harness) {
		w.add("e0", "models", 0, 30*time.Millisecond)
		req := httptest.NewRequest(http.MethodPost, "http://h.example/brief/1", strings.NewReader("intake log"))
		for name, value := range map[string]string{"X-Request-Id": "r1", "X-Api-Key": "key-1", "X-Prompt-Prefix": prompt, "X-Token-Count": "8200,650"} {
			req.Header.Set(name, value)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.relay.ServeHTTP(&slowWriter{ResponseRecorder: httptest.NewRecorder(), pause: 100 * time.Millisecond}, req)
		}()
		samples := 0
		for range 20 { // an answer of 13 s
			time.Sleep(time.Second)
			for _, s := range w.relay.Costs.Drain(time.Now()) {
				So(s.Rate, ShouldBeGreaterThan, 20)
				samples++
			}
		}
		<-done
		So(samples, ShouldBeGreaterThan, 0)
	})
}

// slowWriter takes a while for each write.
type slowWriter struct {
	*httptest.ResponseRecorder
	pause time.Duration
}

// Write implements io.Writer.
func (s *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(s.pause)
	return s.ResponseRecorder.Write(p)
}

// TestStreamsAvoidSlowEngines guards against a table of speeds that placement does not use, and against placements whose
// inputs are not in the log.
func TestStreamsAvoidSlowEngines(t *testing.T) {
	withHarness(t, "Streams go to engines that are not known to be slow", func(w *harness) {
		w.addEngines()
		core, logs := observer.New(zap.InfoLevel)
		w.relay.Log = zap.New(core)
		table := []cost.ServiceSpeeds{{Service: "models", Prefill: 8000}}
		for i := range 9 {
			if s := w.servers[fmt.Sprint("e", i)]; i%3 != 0 {
				table[0].Servers = append(table[0].Servers, cost.ServerSpeed{ID: engine.ServerID(s.ID), Start: engine.Incarnation(s.Born), Speed: 0.46})
			}
		}
		for i := range 6 {
			w.relay.Costs.SetTable(time.Now(), table)
			id := fmt.Sprint("r", i)
			So(w.resumableStream(context.Background(), "X-Request-Id", id, "X-Prompt-Prefix", id+":8200").err, ShouldBeNil)
			So(w.serving(id).ID, ShouldBeIn, "e0", "e3", "e6")
		}
		So(logs.FilterMessage("stream sent").FilterFieldKey("bySpeed").Len(), ShouldEqual, 6)
	})
}
