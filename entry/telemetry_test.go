package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"

	"quetzalhold/caller"
	"quetzalhold/demo"
	"quetzalhold/engine"
	"quetzalhold/entry"
	"quetzalhold/operator"
	"quetzalhold/settings"
	"quetzalhold/standin"
	"quetzalhold/telemetry"
)

// lockedBuffer collects log lines.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) lines() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Split(strings.TrimSpace(l.b.String()), "\n")
}

func TestTelemetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Every hop of a request has a span in the same trace, and every log line is JSON with the names in all schemes", t, func() {
			ts, err := newReadySite(2, 0, standin.EngineConfig{})
			So(err, ShouldBeNil)
			defer ts.closeAndWait()
			_, err = ts.AddService(ts.Places[0].Names.Code, "pickup-1")
			So(err, ShouldBeNil)
			spans := tracetest.NewInMemoryExporter()
			var logs lockedBuffer
			_, err = ts.AddEntry("Cascadia North A", "entry-1", func(s *settings.Entry) {
				s.Telemetry.TraceShare = 1
				s.Telemetry.LogLevel = "debug"
				s.Scheme = "legacy"
			}, entry.WithLog(&logs), entry.WithTelemetry(telemetry.WithSpans(spans)))
			So(err, ShouldBeNil)
			So(ts.AwaitReady(context.Background()), ShouldBeNil)
			time.Sleep(2 * time.Second)
			checkSpans(ts, spans)
			checkLogs(&logs)
			checkMetrics(ts)
		})
	})
}

// checkSpans sends requests under one root span and checks the spans of their
// hops.
func checkSpans(ts *testSite, spans *tracetest.InMemoryExporter) {
	tracer := sdktrace.NewTracerProvider().Tracer("test")
	ctx, root := tracer.Start(context.Background(), "root")
	defer root.End()
	go func() {
		waitUntil(time.Minute, func() bool { return ts.generated() > 5 })
		ts.killEngine(ts.busyEngine())
	}()
	_, err := ts.client().Stream(ctx, caller.StyleCompletion, newQuestion("p", 20, 1))
	So(err, ShouldBeNil)
	var h http.Header = map[string][]string{}
	sc := trace.SpanContextFromContext(ctx)
	h.Set("Traceparent", "00-"+sc.TraceID().String()+"-"+sc.SpanID().String()+"-01")
	So(rawClient{site: ts}.do(http.MethodPost, "/v1/services/pickup/bookings", "{}", h, nil).err, ShouldBeNil)
	raw, err := json.Marshal(operator.Preset{Name: "peak", MaxAnswers: 5, MaxTokens: 5, NewAnswers: true})
	So(err, ShouldBeNil)
	r := rawClient{site: ts, key: demo.OperatorKey}.do(http.MethodPut, "/operator/objects/preset/peak",
		operator.Change{Value: raw}, h, nil)
	So(r.status, ShouldEqual, http.StatusOK)
	found := make(map[string]int)
	for _, s := range spans.GetSpans() {
		if s.SpanContext.TraceID() == sc.TraceID() {
			found[s.Name]++
		}
	}
	So(found["caller answer"], ShouldEqual, 1)
	So(found["engine start"], ShouldEqual, 2)
	So(found["engine attach"], ShouldEqual, 1)
	So(found["caller service"], ShouldEqual, 1)
	So(found["service call"], ShouldEqual, 1)
	So(found["platform PUT"], ShouldEqual, 1)
}

// checkLogs checks the fields of the log lines.
func checkLogs(logs *lockedBuffer) {
	delivered := false
	for _, line := range logs.lines() {
		var l map[string]any
		So(json.Unmarshal([]byte(line), &l), ShouldBeNil)
		domain := l["domain"].(map[string]any)
		So(domain["name"], ShouldEqual, "COAST-01")
		So(domain["code"], ShouldEqual, "cn-a")
		So(domain["title"], ShouldEqual, "Cascadia North A")
		if l["event"] != "answer delivered" {
			continue
		}
		delivered = true
		So(l["request"], ShouldNotBeEmpty)
		So(l["organisation"].(map[string]any)["name"], ShouldEqual, "CUST-0001")
	}
	So(delivered, ShouldBeTrue)
}

func checkMetrics(ts *testSite) {
	r := rawClient{site: ts}.do(http.MethodGet, "/metrics", "", nil, nil)
	for _, name := range []string{"quetzalhold_requests", "quetzalhold_tokens", "quetzalhold_resume", "quetzalhold_first_token"} {
		So(r.body, ShouldContainSubstring, name)
	}
}

func TestPeerSpan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A call to another entry VM has a span", t, func() {
			ts, err := newReadySite(1, 1, standin.EngineConfig{})
			So(err, ShouldBeNil)
			defer ts.closeAndWait()
			ts.Platform.SetFault(standin.PlatformFault{Down: true})
			spans := tracetest.NewInMemoryExporter()
			_, err = ts.AddEntry(ts.Places[0].Names.Code, "entry-2", func(s *settings.Entry) { s.Telemetry.TraceShare = 1 },
				entry.WithTelemetry(telemetry.WithSpans(spans)))
			So(err, ShouldBeNil)
			time.Sleep(10 * time.Second)
			found := false
			for _, s := range spans.GetSpans() {
				found = found || s.Name == "peer /peer/heartbeat"
			}
			So(found, ShouldBeTrue)
		})
	})
}

func TestExplain(t *testing.T) {
	runWithSite(t, "The history of a request says what happened and why", 2, 2, standin.EngineConfig{}, func(ts *testSite) {
		go func() {
			waitUntil(time.Minute, func() bool { return ts.generated() > 5 })
			ts.net.Disconnect(ts.host(string(ts.busyEngine())))
		}()
		a, err := ts.client().Stream(context.Background(), caller.StyleCompletion, newQuestion("p", 20, 1))
		So(err, ShouldBeNil)
		r := rawClient{site: ts, key: demo.OperatorKey}.do(http.MethodGet, operator.PathRequests+string(a.Request), "", nil, nil)
		var h operator.History
		So(json.Unmarshal([]byte(r.body), &h), ShouldBeNil)
		var steps []string
		for _, s := range h.Steps {
			steps = append(steps, s.Event)
		}
		So(steps, ShouldResemble, []string{"accept", "start", "attach", "start", "fence", "fence", "end", "delivered"})
		So(h.Steps[2].Reason, ShouldEqual, engine.ServerSilent.String())
		So(h.Steps[3].Reason, ShouldEqual, engine.ProbeUnanswered.String())
		r = rawClient{site: ts, key: "wrong"}.do(http.MethodGet, operator.PathRequests+string(a.Request), "", nil, nil)
		So(r.status, ShouldEqual, http.StatusForbidden)
	})
}
