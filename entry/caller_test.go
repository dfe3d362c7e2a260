package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/tmaxmax/go-sse"

	"quetzalhold/caller"
	"quetzalhold/demo"
	"quetzalhold/engine"
	"quetzalhold/objects"
	"quetzalhold/operator"
	"quetzalhold/result"
	"quetzalhold/standin"
)

// runWithSite runs f in a synctest bubble with a site of the given numbers of
// engines and entry VMs.
func runWithSite(t *testing.T, what string, engines, entries int, cfg standin.EngineConfig, f func(ts *testSite)) {
	t.Helper()
	runInSynctest(t, what, func() {
		ts, err := newReadySite(engines, entries, cfg)
		So(err, ShouldBeNil)
		defer ts.closeAndWait()
		f(ts)
	})
}

// runInSynctest runs f in a synctest bubble, in parallel with other bubbles.
func runInSynctest(t *testing.T, what string, f func()) {
	t.Helper()
	t.Run(what, func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) { Convey(what, t, f) })
	})
}

// rawClient is a caller that sends HTTP requests without the project's client.
type rawClient struct {
	site  *testSite
	entry int
	key   string
}

// reply is the response that a rawClient received.
type reply struct {
	status int
	header http.Header
	err    *result.Error // from the response or from an error event
	events []sse.Event
	body   string
}

// text returns the text of a streamed completion.
func (r reply) text() string {
	var all strings.Builder
	for _, ev := range r.events {
		var p caller.Reply
		if json.Unmarshal([]byte(ev.Data), &p) == nil && len(p.Choices) > 0 && p.Choices[0].Text != nil {
			all.WriteString(*p.Choices[0].Text)
		}
	}
	return all.String()
}

// do sends a request and reads the reply. A stream is read until its end, or
// until stop reports true for the number of events read.
func (p rawClient) do(method, path string, body any, header http.Header, stop func(n int) bool) reply {
	var raw []byte
	switch b := body.(type) {
	case string:
		raw = []byte(b)
	default:
		var err error
		raw, err = json.Marshal(b)
		So(err, ShouldBeNil)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	url := "http://" + p.site.Entries()[p.entry].Address + path
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	So(err, ShouldBeNil)
	for k, v := range header {
		req.Header[k] = v
	}
	key := p.key
	if key == "" {
		key = demo.CallerKey
	}
	req.Header.Set("Authorization", "Bearer "+key)
	t := &http.Transport{DialContext: p.site.dialer("plain"), DisableKeepAlives: true}
	resp, err := t.RoundTrip(req)
	So(err, ShouldBeNil)
	defer resp.Body.Close()
	return readReply(resp, stop)
}

func readReply(resp *http.Response, stop func(n int) bool) reply {
	r := reply{status: resp.StatusCode, header: resp.Header}
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Content-Type") != "text/event-stream" {
		b, err := io.ReadAll(resp.Body)
		So(err, ShouldBeNil)
		r.body = string(b)
		var env result.Envelope
		if json.Unmarshal(b, &env) == nil {
			r.err = env.Error
		}
		return r
	}
	for ev, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			break
		}
		if ev.Type == "error" {
			var env result.Envelope
			So(json.Unmarshal([]byte(ev.Data), &env), ShouldBeNil)
			r.err = env.Error
			break
		}
		r.events = append(r.events, ev)
		if stop != nil && stop(len(r.events)) {
			break
		}
	}
	return r
}

// afterEvents returns a stop function for do that ends a stream after n events.
func afterEvents(n int) func(int) bool { return func(got int) bool { return got >= n } }

func lastEvent(r reply) http.Header {
	return http.Header{caller.HeaderLastEvent: {r.events[len(r.events)-1].LastEventID}}
}

func TestCursors(t *testing.T) {
	q := newQuestion("route summary of the north round", 60, 3)
	q.Stream = true
	const path = "/v1/completions"
	runWithSite(t, "A stream resumes at another entry VM with only the ID of its last event", 2, 2, standin.EngineConfig{}, func(ts *testSite) {
		a := rawClient{site: ts}.do(http.MethodPost, path, q, nil, afterEvents(20))
		b := rawClient{site: ts, entry: 1}.do(http.MethodPost, path, q, lastEvent(a), nil)
		So(a.text()+b.text(), ShouldEqual, wantText(q))
		So(b.header.Get(caller.HeaderRequestID), ShouldEqual, a.header.Get(caller.HeaderRequestID))
		So(ts.sumCounts(func(c standin.EngineCounts) int { return len(c.Starts) }), ShouldEqual, 1)
	})
	runWithSite(t, "If engine and entry VM are lost, the stream resumes from the tokens that the caller has received", 2, 2, standin.EngineConfig{}, func(ts *testSite) {
		a := rawClient{site: ts}.do(http.MethodPost, path, q, nil, afterEvents(20))
		ts.killEngine(ts.busyEngine())
		ts.killEntry(0)
		b := rawClient{site: ts, entry: 1}.do(http.MethodPost, path, q, lastEvent(a), nil)
		So(b.err.Code, ShouldEqual, result.ReceivedTextNeeded)
		So(b.status, ShouldEqual, http.StatusConflict)
		again := q
		again.Received = tokenTexts(a)
		c := rawClient{site: ts, entry: 1}.do(http.MethodPost, path, again, lastEvent(a), nil)
		So(c.err, ShouldBeNil)
		So(a.text()+c.text(), ShouldEqual, wantText(q))
	})
	runWithSite(t, "A cursor is valid only unaltered and for its own request", 1, 1, standin.EngineConfig{}, func(ts *testSite) {
		a := rawClient{site: ts}.do(http.MethodPost, path, q, nil, afterEvents(5))
		other := q
		other.Prompt = "something else"
		So(rawClient{site: ts}.do(http.MethodPost, path, other, lastEvent(a), nil).err.Code, ShouldEqual, result.CursorMismatch)
		forged := http.Header{caller.HeaderLastEvent: {"x" + lastEvent(a).Get(caller.HeaderLastEvent)}}
		So(rawClient{site: ts}.do(http.MethodPost, path, q, forged, nil).err.Code, ShouldEqual, result.BadCursor)
		wrong := q
		wrong.Received = []string{" not", " this"}
		So(rawClient{site: ts}.do(http.MethodPost, path, wrong, lastEvent(a), nil).err.Code, ShouldEqual, result.ReceivedTextMismatch)
	})
	runWithSite(t, "Of two connections for one request, the later gets the rest and the earlier an error", 2, 2, standin.EngineConfig{}, func(ts *testSite) {
		id := make(chan http.Header, 1)
		first := make(chan reply, 1)
		go func() {
			var got []sse.Event
			first <- rawClient{site: ts}.stream(path, q, func(ev sse.Event) {
				if got = append(got, ev); len(got) == 10 {
					id <- http.Header{caller.HeaderLastEvent: {ev.LastEventID}}
				}
			})
		}()
		b := rawClient{site: ts, entry: 1}.do(http.MethodPost, path, q, <-id, nil)
		So(b.err, ShouldBeNil)
		a := <-first
		So(a.err.Code, ShouldEqual, result.Superseded)
		So(strings.HasSuffix(wantText(q), b.text()), ShouldBeTrue)
		So(len(tokenTexts(b)), ShouldEqual, 50)
	})
}

// stream reads a stream and calls f for each event.
func (p rawClient) stream(path string, body any, f func(sse.Event)) reply {
	raw, _ := json.Marshal(body)
	req, _ := http.NewRequest(http.MethodPost, "http://"+p.site.Entries()[p.entry].Address+path, bytes.NewReader(raw))
	req.Header.Set("Authorization", "Bearer "+demo.CallerKey)
	t := &http.Transport{DialContext: p.site.dialer("plain"), DisableKeepAlives: true}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	var r reply
	for ev, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return r
		}
		if ev.Type == "error" {
			var env result.Envelope
			_ = json.Unmarshal([]byte(ev.Data), &env)
			r.err = env.Error
			return r
		}
		r.events = append(r.events, ev)
		f(ev)
	}
	return r
}

// tokenTexts returns the text of each token event of a stream.
func tokenTexts(r reply) []string {
	var tokens []string
	for _, ev := range r.events {
		var p caller.Reply
		if json.Unmarshal([]byte(ev.Data), &p) == nil && len(p.Choices) > 0 && p.Choices[0].FinishReason == nil {
			tokens = append(tokens, *p.Choices[0].Text)
		}
	}
	return tokens
}

func TestRefusals(t *testing.T) {
	good := newQuestion("p", 5, 1)
	tests := []struct {
		name   string
		key    string
		method string
		path   string
		body   any
		header http.Header
		want   result.Code
	}{
		{name: "unknown key", key: "nobody", body: good, want: result.UnknownKey},
		{name: "no JSON", body: "{", want: result.BadRequest},
		{name: "no model", body: caller.CompletionRequest{Prompt: "p"}, want: result.MissingField},
		{name: "no prompt", body: caller.CompletionRequest{Model: demo.DemoModel}, want: result.MissingField},
		{name: "unknown model", body: caller.CompletionRequest{Model: "m", Prompt: "p"}, want: result.UnknownModel},
		{name: "two answers", body: caller.CompletionRequest{Model: demo.DemoModel, Prompt: "p", N: 2}, want: result.OutOfRange},
		{name: "too long a body", body: caller.CompletionRequest{Model: demo.DemoModel, Prompt: strings.Repeat("x", 2<<20)}, want: result.BodyTooLarge},
		{name: "too long a header", body: good, header: http.Header{"X-Long": {strings.Repeat("x", 100<<10)}}, want: result.HeaderTooLarge},
		{name: "deadline is no instant", body: good, header: http.Header{caller.HeaderDeadline: {"5s"}}, want: result.BadDeadline},
		{name: "deadline is past", body: good, header: http.Header{caller.HeaderDeadline: {"1999-01-01T00:00:00Z"}}, want: result.DeadlinePassed},
		{name: "unknown path", path: "/v1/embeddings", body: good, want: result.UnknownPath},
		{name: "unknown service", path: "/v1/services/none/x", body: good, want: result.UnknownService},
		{name: "unlisted call", path: "/v1/services/pickup/drop", body: good, want: result.UnknownCall},
	}
	runWithSite(t, "Invalid requests get a result code and are not run", 1, 1, standin.EngineConfig{}, func(ts *testSite) {
		for _, tt := range tests {
			path := tt.path
			if path == "" {
				path = "/v1/completions"
			}
			_, _ = Printf("\n  %s", tt.name)
			r := rawClient{site: ts, key: tt.key}.do(http.MethodPost, path, tt.body, tt.header, nil)
			So(r.err, ShouldNotBeNil)
			So(r.err.Code, ShouldEqual, tt.want)
			So(r.status, ShouldEqual, tt.want.Info().Status)
			So(r.err.NotRun, ShouldBeTrue)
		}
		So(ts.generated(), ShouldEqual, 0)
	})
}

func TestInvariant(t *testing.T) {
	runWithSite(t, "If an engine skips a position, the answer ends with a result code and has no wrong text", 1, 1, standin.EngineConfig{}, func(ts *testSite) {
		go func() {
			waitUntil(time.Minute, func() bool { return ts.generated() >= 10 })
			ts.Engine("engine-1").Inject(standin.Fault{Skip: 1})
		}()
		q := newQuestion("p", 60, 3)
		q.Stream = true
		r := rawClient{site: ts}.do(http.MethodPost, "/v1/completions", q, nil, nil)
		So(r.err.Code, ShouldEqual, result.InvariantBroken)
		So(strings.HasPrefix(wantText(q), r.text()), ShouldBeTrue)
		So(len(tokenTexts(r)), ShouldBeBetween, 5, 20)
		m := rawClient{site: ts}.do(http.MethodGet, "/metrics", "", nil, nil)
		So(m.body, ShouldContainSubstring, "quetzalhold_invariant_violations")
		So(waitUntil(time.Minute, func() bool { return ts.busyEngine() == "" }), ShouldBeTrue)
	})
}

func TestDeadline(t *testing.T) {
	runWithSite(t, "An answer that cannot complete in time ends at its deadline with a result code", 1, 1, standin.EngineConfig{}, func(ts *testSite) {
		q := newQuestion("p", 500, 1)
		q.Stream = true
		begin := time.Now()
		h := http.Header{caller.HeaderDeadline: {begin.Add(2 * time.Second).Format(time.RFC3339Nano)}}
		r := rawClient{site: ts}.do(http.MethodPost, "/v1/completions", q, h, nil)
		So(r.err.Code, ShouldEqual, result.DeadlinePassed)
		So(time.Since(begin), ShouldBeLessThan, 2100*time.Millisecond)
		So(strings.HasPrefix(wantText(q), r.text()), ShouldBeTrue)
		So(waitUntil(time.Minute, func() bool { return ts.busyEngine() == "" }), ShouldBeTrue)
	})
	runWithSite(t, "A request without a server fails once the wait is over, and the error says when to retry", 1, 1, standin.EngineConfig{}, func(ts *testSite) {
		ts.killEngine("engine-1")
		begin := time.Now()
		r := rawClient{site: ts}.do(http.MethodPost, "/v1/completions", newQuestion("p", 5, 1), nil, nil)
		So(r.err.Code, ShouldEqual, result.NoServer)
		So(r.err.NotRun, ShouldBeTrue)
		So(r.err.RetryAt, ShouldHappenAfter, time.Now().Add(-time.Second))
		So(time.Since(begin), ShouldBeBetween, 9*time.Second, 12*time.Second)
	})
}

func TestSlowCaller(t *testing.T) {
	runWithSite(t, "A slow caller gets the whole answer, and its engine is not treated as failed", 2, 1, standin.EngineConfig{}, func(ts *testSite) {
		q := newQuestion("p", 300, 5)
		q.Stream = true
		r := rawClient{site: ts}.do(http.MethodPost, "/v1/completions", q, nil, func(int) bool {
			time.Sleep(100 * time.Millisecond)
			return false
		})
		So(r.err, ShouldBeNil)
		So(r.text(), ShouldEqual, wantText(q))
		for _, st := range ts.Entries()[0].History(engine.RequestID(r.header.Get(caller.HeaderRequestID))).Steps {
			So(st.Event, ShouldBeIn, "accept", "start", "end", "delivered")
		}
	})
	runWithSite(t, "An answer ends after the stall limit if its caller stops reading", 1, 1, standin.EngineConfig{TokenGap: time.Millisecond}, func(ts *testSite) {
		q := newQuestion("p", 4000, 5)
		q.Stream = true
		r := rawClient{site: ts}.do(http.MethodPost, "/v1/completions", q, nil, func(n int) bool {
			if n == 10 {
				time.Sleep(2 * time.Minute)
			}
			return false
		})
		So(len(r.events), ShouldBeLessThan, 4000)
		So(waitUntil(2*time.Minute, func() bool { return ts.busyEngine() == "" }), ShouldBeTrue)
	})
}

func TestOpenAIClient(t *testing.T) {
	runWithSite(t, "The OpenAI client works with its base URL set", 2, 1, standin.EngineConfig{}, func(ts *testSite) {
		hc := &http.Client{Transport: &http.Transport{DialContext: ts.dialer("openai"), DisableKeepAlives: true}}
		cl := openai.NewClient(
			option.WithBaseURL("http://"+ts.Entries()[0].Address+"/v1"),
			option.WithAPIKey(demo.CallerKey), option.WithHTTPClient(hc), option.WithMaxRetries(0))
		p := openai.ChatCompletionNewParams{
			Model:     string(demo.DemoModel),
			Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("renewal letter")},
			MaxTokens: openai.Int(20), Seed: openai.Int(9),
		}
		want := wantText(newQuestion("user: renewal letter\n", 20, 9))
		whole, err := cl.Chat.Completions.New(context.Background(), p)
		So(err, ShouldBeNil)
		So(whole.Choices[0].Message.Content, ShouldEqual, want)
		So(whole.Choices[0].FinishReason, ShouldEqual, "length")
		So(whole.Usage.CompletionTokens, ShouldEqual, 20)
		st := cl.Chat.Completions.NewStreaming(context.Background(), p)
		text := ""
		for st.Next() {
			text += st.Current().Choices[0].Delta.Content
		}
		So(st.Err(), ShouldBeNil)
		So(text, ShouldEqual, want)
		done, err := cl.Completions.New(context.Background(), openai.CompletionNewParams{
			Model: openai.CompletionNewParamsModel(demo.DemoModel), MaxTokens: openai.Int(20), Seed: openai.Int(9),
			Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("p")},
		})
		So(err, ShouldBeNil)
		So(done.Choices[0].Text, ShouldEqual, wantText(newQuestion("p", 20, 9)))
		models, err := cl.Models.List(context.Background())
		So(err, ShouldBeNil)
		So(models.Data[0].ID, ShouldEqual, string(demo.DemoModel))
		_, err = cl.Chat.Completions.New(context.Background(), openai.ChatCompletionNewParams{Model: "none", Messages: p.Messages})
		So(err, ShouldNotBeNil)
	})
}

// TestGracefulShutdown shuts an entry VM down under load.
func TestGracefulShutdown(t *testing.T) {
	runWithSite(t, "A graceful shutdown interrupts no request", 3, 2, standin.EngineConfig{}, func(ts *testSite) {
		const each = 10
		errs := make(chan error, 2*each)
		var wg sync.WaitGroup
		for i := range 2 * each {
			wg.Go(func() { errs <- ts.requestOnce(i) })
		}
		time.Sleep(200 * time.Millisecond)
		So(ts.Entries()[0].Stop(), ShouldBeNil)
		wg.Wait()
		close(errs)
		for err := range errs {
			So(err, ShouldBeNil)
		}
	})
}

// requestOnce sends a request to the first entry VM and fails if the answer had
// to be resumed.
func (ts *testSite) requestOnce(i int) error {
	q := newQuestion(fmt.Sprintf("prompt %d", i), 200, uint64(i))
	c := caller.NewClient([]string{ts.Entries()[0].Address}, demo.CallerKey, caller.WithDial(ts.dialer("plain")))
	ask := c.Stream
	if i%2 == 0 {
		ask = c.Whole
	}
	a, err := ask(context.Background(), caller.StyleCompletion, q)
	switch {
	case err != nil:
		return err
	case a.Resumed > 0:
		return fmt.Errorf("answer %d was cut", i)
	case a.Text() != wantText(q):
		return fmt.Errorf("answer %d is wrong", i)
	}
	return nil
}

// leavingTimeout is the time after which a leaving engine must get no new work.
const leavingTimeout = 3 * time.Second

func TestLeavingEngine(t *testing.T) {
	leave := []struct {
		name string
		how  func(ts *testSite, e *demo.EngineProcess)
	}{
		{"as the platform's list says", func(ts *testSite, e *demo.EngineProcess) {
			ts.Platform.SetVM(objects.VM{ID: e.ID(), Role: objects.RoleEngine, Address: e.Address, Domain: e.Domain, Incarnation: 1, Leaving: true})
		}},
		{"as its load report says", func(_ *testSite, e *demo.EngineProcess) {
			yes := true
			e.Inject(standin.Fault{Drain: &yes})
		}},
	}
	for _, how := range leave {
		runWithSite(t, "A leaving engine gets no new work, "+how.name, 2, 1, standin.EngineConfig{}, func(ts *testSite) {
			e := ts.Engine("engine-1")
			how.how(ts, e)
			time.Sleep(leavingTimeout)
			before := len(e.Counts().Starts)
			for i := range 20 {
				So(ts.requestOnce(i), ShouldBeNil)
			}
			So(len(e.Counts().Starts), ShouldEqual, before)
		})
	}
}

// configurationTimeout is the time within which an accepted change must be in
// force on every entry VM.
const configurationTimeout = 3 * time.Second

func TestConfiguration(t *testing.T) {
	closed := operator.Preset{Name: "maintenance", MaxAnswers: 1, MaxTokens: 10}
	change := func(ts *testSite) {
		So(ts.Put(operator.KindPreset, "maintenance", closed), ShouldBeNil)
		So(ts.Put(operator.KindInForce, operator.InForceName, operator.InForce{Preset: "maintenance"}), ShouldBeNil)
	}
	runWithSite(t, "A preset is in force everywhere within seconds", 1, 3, standin.EngineConfig{}, func(ts *testSite) {
		change(ts)
		time.Sleep(configurationTimeout)
		for i := range 3 {
			r := rawClient{site: ts, entry: i}.do(http.MethodPost, "/v1/completions", newQuestion("p", 5, 1), nil, nil)
			So(r.err.Code, ShouldEqual, result.Overloaded)
			So(r.err.NotRun, ShouldBeTrue)
			So(r.err.RetryAt.IsZero(), ShouldBeFalse)
		}
	})
	runWithSite(t, "An entry VM that starts while the platform is down takes the newest configuration from another", 1, 1, standin.EngineConfig{}, func(ts *testSite) {
		change(ts)
		time.Sleep(configurationTimeout)
		ts.Platform.SetFault(standin.PlatformFault{Down: true})
		_, err := ts.AddEntry(ts.Places[0].Names.Code, "entry-2", nil)
		So(err, ShouldBeNil)
		time.Sleep(2 * configurationTimeout)
		r := rawClient{site: ts, entry: 1}.do(http.MethodPost, "/v1/completions", newQuestion("p", 5, 1), nil, nil)
		So(r.err.Code, ShouldEqual, result.Overloaded)
	})
	runWithSite(t, "Answers continue while the platform is down", 2, 1, standin.EngineConfig{}, func(ts *testSite) {
		ts.Platform.SetFault(standin.PlatformFault{Down: true})
		time.Sleep(time.Minute)
		So(ts.requestOnce(1), ShouldBeNil)
	})
}
