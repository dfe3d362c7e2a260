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

// inWorld runs f in a bubble with a site of that many engines and entry VMs.
func inWorld(t *testing.T, what string, engines, entries int, cfg standin.EngineConfig, f func(w *world)) {
	t.Helper()
	inBubble(t, what, func() {
		w, err := newBuiltWorld(engines, entries, cfg)
		So(err, ShouldBeNil)
		defer w.end()
		f(w)
	})
}

// inBubble runs f in a bubble of its own, side by side with other bubbles.
func inBubble(t *testing.T, what string, f func()) {
	t.Helper()
	t.Run(what, func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) { Convey(what, t, f) })
	})
}

// plain is a caller without any code of this project.
type plain struct {
	w     *world
	entry int
	key   string
}

// reply is what a plain caller got.
type reply struct {
	status int
	header http.Header
	err    *result.Error // of the response or of an error event
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

func (p plain) do(method, path string, body any, header http.Header, stop func(n int) bool) reply {
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
	url := "http://" + p.w.Entries()[p.entry].Address + path
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
	t := &http.Transport{DialContext: p.w.dialer("plain"), DisableKeepAlives: true}
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

// after stops a stream after n events.
func after(n int) func(int) bool { return func(got int) bool { return got >= n } }

func lastEvent(r reply) http.Header {
	return http.Header{caller.HeaderLastEvent: {r.events[len(r.events)-1].LastEventID}}
}

func TestCursors(t *testing.T) {
	q := question("route summary of the north round", 60, 3)
	q.Stream = true
	const path = "/v1/completions"
	inWorld(t, "A stream goes on at another entry VM by its last event's id alone", 2, 2, standin.EngineConfig{}, func(w *world) {
		a := plain{w: w}.do(http.MethodPost, path, q, nil, after(20))
		b := plain{w: w, entry: 1}.do(http.MethodPost, path, q, lastEvent(a), nil)
		So(a.text()+b.text(), ShouldEqual, wholeText(q))
		So(b.header.Get(caller.HeaderRequestID), ShouldEqual, a.header.Get(caller.HeaderRequestID))
		So(w.all(func(c standin.EngineCounts) int { return len(c.Starts) }), ShouldEqual, 1)
	})
	inWorld(t, "Both lost: the received tokens are asked for, and suffice", 2, 2, standin.EngineConfig{}, func(w *world) {
		a := plain{w: w}.do(http.MethodPost, path, q, nil, after(20))
		w.killEngine(w.busy())
		w.killEntry(0)
		b := plain{w: w, entry: 1}.do(http.MethodPost, path, q, lastEvent(a), nil)
		So(b.err.Code, ShouldEqual, result.ReceivedTextNeeded)
		So(b.status, ShouldEqual, http.StatusConflict)
		again := q
		again.Received = tokensOf(a)
		c := plain{w: w, entry: 1}.do(http.MethodPost, path, again, lastEvent(a), nil)
		So(c.err, ShouldBeNil)
		So(a.text()+c.text(), ShouldEqual, wholeText(q))
	})
	inWorld(t, "A cursor serves only its own request, unaltered", 1, 1, standin.EngineConfig{}, func(w *world) {
		a := plain{w: w}.do(http.MethodPost, path, q, nil, after(5))
		other := q
		other.Prompt = "something else"
		So(plain{w: w}.do(http.MethodPost, path, other, lastEvent(a), nil).err.Code, ShouldEqual, result.CursorMismatch)
		forged := http.Header{caller.HeaderLastEvent: {"x" + lastEvent(a).Get(caller.HeaderLastEvent)}}
		So(plain{w: w}.do(http.MethodPost, path, q, forged, nil).err.Code, ShouldEqual, result.BadCursor)
		wrong := q
		wrong.Received = []string{" not", " this"}
		So(plain{w: w}.do(http.MethodPost, path, wrong, lastEvent(a), nil).err.Code, ShouldEqual, result.ReceivedTextMismatch)
	})
	inWorld(t, "Two connections of one caller: the later one gets the rest, the earlier one is told", 2, 2, standin.EngineConfig{}, func(w *world) {
		id := make(chan http.Header, 1)
		first := make(chan reply, 1)
		go func() {
			var got []sse.Event
			first <- plain{w: w}.stream(path, q, func(ev sse.Event) {
				if got = append(got, ev); len(got) == 10 {
					id <- http.Header{caller.HeaderLastEvent: {ev.LastEventID}}
				}
			})
		}()
		b := plain{w: w, entry: 1}.do(http.MethodPost, path, q, <-id, nil)
		So(b.err, ShouldBeNil)
		a := <-first
		So(a.err.Code, ShouldEqual, result.Superseded)
		So(strings.HasSuffix(wholeText(q), b.text()), ShouldBeTrue)
		So(len(tokensOf(b)), ShouldEqual, 50)
	})
}

// stream reads a stream and tells of each event.
func (p plain) stream(path string, body any, f func(sse.Event)) reply {
	raw, _ := json.Marshal(body)
	req, _ := http.NewRequest(http.MethodPost, "http://"+p.w.Entries()[p.entry].Address+path, bytes.NewReader(raw))
	req.Header.Set("Authorization", "Bearer "+demo.CallerKey)
	t := &http.Transport{DialContext: p.w.dialer("plain"), DisableKeepAlives: true}
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

// tokensOf returns the text of each event of a stream.
func tokensOf(r reply) []string {
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
	good := question("p", 5, 1)
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
		{name: "no model", body: caller.Question{Prompt: "p"}, want: result.MissingField},
		{name: "no prompt", body: caller.Question{Model: demo.DemoModel}, want: result.MissingField},
		{name: "unknown model", body: caller.Question{Model: "m", Prompt: "p"}, want: result.UnknownModel},
		{name: "two answers", body: caller.Question{Model: demo.DemoModel, Prompt: "p", N: 2}, want: result.OutOfRange},
		{name: "too long a body", body: caller.Question{Model: demo.DemoModel, Prompt: strings.Repeat("x", 2<<20)}, want: result.BodyTooLarge},
		{name: "too long a header", body: good, header: http.Header{"X-Long": {strings.Repeat("x", 100<<10)}}, want: result.HeaderTooLarge},
		{name: "deadline is no instant", body: good, header: http.Header{caller.HeaderDeadline: {"5s"}}, want: result.BadDeadline},
		{name: "deadline is past", body: good, header: http.Header{caller.HeaderDeadline: {"1999-01-01T00:00:00Z"}}, want: result.DeadlinePassed},
		{name: "unknown path", path: "/v1/embeddings", body: good, want: result.UnknownPath},
		{name: "unknown service", path: "/v1/services/none/x", body: good, want: result.UnknownService},
		{name: "unlisted call", path: "/v1/services/pickup/drop", body: good, want: result.UnknownCall},
	}
	inWorld(t, "Bad requests get a numbered error that is truly not run", 1, 1, standin.EngineConfig{}, func(w *world) {
		for _, tt := range tests {
			path := tt.path
			if path == "" {
				path = "/v1/completions"
			}
			_, _ = Printf("\n  %s", tt.name)
			r := plain{w: w, key: tt.key}.do(http.MethodPost, path, tt.body, tt.header, nil)
			So(r.err, ShouldNotBeNil)
			So(r.err.Code, ShouldEqual, tt.want)
			So(r.status, ShouldEqual, tt.want.Info().Status)
			So(r.err.NotRun, ShouldBeTrue)
		}
		So(w.generated(), ShouldEqual, 0)
	})
}

func TestInvariant(t *testing.T) {
	inWorld(t, "An engine that skips a position ends the answer with a code, never a wrong answer", 1, 1, standin.EngineConfig{}, func(w *world) {
		go func() {
			eventually(time.Minute, func() bool { return w.generated() >= 10 })
			w.Engine("engine-1").Fail(standin.Fault{Skip: 1})
		}()
		q := question("p", 60, 3)
		q.Stream = true
		r := plain{w: w}.do(http.MethodPost, "/v1/completions", q, nil, nil)
		So(r.err.Code, ShouldEqual, result.InvariantBroken)
		So(strings.HasPrefix(wholeText(q), r.text()), ShouldBeTrue)
		So(len(tokensOf(r)), ShouldBeBetween, 5, 20)
		m := plain{w: w}.do(http.MethodGet, "/metrics", "", nil, nil)
		So(m.body, ShouldContainSubstring, "quetzalhold_invariant_violations")
		So(eventually(time.Minute, func() bool { return w.busy() == "" }), ShouldBeTrue)
	})
}

func TestDeadline(t *testing.T) {
	inWorld(t, "An answer that cannot end in time ends at its deadline with a code", 1, 1, standin.EngineConfig{}, func(w *world) {
		q := question("p", 500, 1)
		q.Stream = true
		begin := time.Now()
		h := http.Header{caller.HeaderDeadline: {begin.Add(2 * time.Second).Format(time.RFC3339Nano)}}
		r := plain{w: w}.do(http.MethodPost, "/v1/completions", q, h, nil)
		So(r.err.Code, ShouldEqual, result.DeadlinePassed)
		So(time.Since(begin), ShouldBeLessThan, 2100*time.Millisecond)
		So(strings.HasPrefix(wholeText(q), r.text()), ShouldBeTrue)
		So(eventually(time.Minute, func() bool { return w.busy() == "" }), ShouldBeTrue)
	})
	inWorld(t, "An answer without a server is given up at once when the wait is over, and says when to come back", 1, 1, standin.EngineConfig{}, func(w *world) {
		w.killEngine("engine-1")
		begin := time.Now()
		r := plain{w: w}.do(http.MethodPost, "/v1/completions", question("p", 5, 1), nil, nil)
		So(r.err.Code, ShouldEqual, result.NoServer)
		So(r.err.NotRun, ShouldBeTrue)
		So(r.err.RetryAt, ShouldHappenAfter, time.Now().Add(-time.Second))
		So(time.Since(begin), ShouldBeBetween, 9*time.Second, 12*time.Second)
	})
}

func TestSlowCaller(t *testing.T) {
	inWorld(t, "A slow caller gets the whole answer, and its slowness is no loss", 2, 1, standin.EngineConfig{}, func(w *world) {
		q := question("p", 300, 5)
		q.Stream = true
		r := plain{w: w}.do(http.MethodPost, "/v1/completions", q, nil, func(int) bool {
			time.Sleep(100 * time.Millisecond)
			return false
		})
		So(r.err, ShouldBeNil)
		So(r.text(), ShouldEqual, wholeText(q))
		for _, st := range w.Entries()[0].History(engine.RequestID(r.header.Get(caller.HeaderRequestID))).Steps {
			So(st.Event, ShouldBeIn, "accept", "start", "end", "delivered")
		}
	})
	inWorld(t, "A caller that stops reading ends its answer after the stall limit", 1, 1, standin.EngineConfig{TokenGap: time.Millisecond}, func(w *world) {
		q := question("p", 4000, 5)
		q.Stream = true
		r := plain{w: w}.do(http.MethodPost, "/v1/completions", q, nil, func(n int) bool {
			if n == 10 {
				time.Sleep(2 * time.Minute)
			}
			return false
		})
		So(len(r.events), ShouldBeLessThan, 4000)
		So(eventually(2*time.Minute, func() bool { return w.busy() == "" }), ShouldBeTrue)
	})
}

func TestOpenAIClient(t *testing.T) {
	inWorld(t, "The OpenAI client works with its base URL set", 2, 1, standin.EngineConfig{}, func(w *world) {
		hc := &http.Client{Transport: &http.Transport{DialContext: w.dialer("openai"), DisableKeepAlives: true}}
		cl := openai.NewClient(
			option.WithBaseURL("http://"+w.Entries()[0].Address+"/v1"),
			option.WithAPIKey(demo.CallerKey), option.WithHTTPClient(hc), option.WithMaxRetries(0))
		p := openai.ChatCompletionNewParams{
			Model:     string(demo.DemoModel),
			Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("renewal letter")},
			MaxTokens: openai.Int(20), Seed: openai.Int(9),
		}
		want := wholeText(question("user: renewal letter\n", 20, 9))
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
		So(done.Choices[0].Text, ShouldEqual, wholeText(question("p", 20, 9)))
		models, err := cl.Models.List(context.Background())
		So(err, ShouldBeNil)
		So(models.Data[0].ID, ShouldEqual, string(demo.DemoModel))
		_, err = cl.Chat.Completions.New(context.Background(), openai.ChatCompletionNewParams{Model: "none", Messages: p.Messages})
		So(err, ShouldNotBeNil)
	})
}

// TestGracefulShutdown stops an entry VM under load.
func TestGracefulShutdown(t *testing.T) {
	inWorld(t, "A graceful shutdown cuts no request", 3, 2, standin.EngineConfig{}, func(w *world) {
		const each = 10
		errs := make(chan error, 2*each)
		var wg sync.WaitGroup
		for i := range 2 * each {
			wg.Go(func() { errs <- w.askPlainly(i) })
		}
		time.Sleep(200 * time.Millisecond)
		So(w.Entries()[0].Stop(), ShouldBeNil)
		wg.Wait()
		close(errs)
		for err := range errs {
			So(err, ShouldBeNil)
		}
	})
}

// askPlainly asks the first entry VM, without taking up anything again.
func (w *world) askPlainly(i int) error {
	q := question(fmt.Sprintf("prompt %d", i), 200, uint64(i))
	c := caller.NewClient([]string{w.Entries()[0].Address}, demo.CallerKey, caller.WithDial(w.dialer("plain")))
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
	case a.Text() != wholeText(q):
		return fmt.Errorf("answer %d is wrong", i)
	}
	return nil
}

// leavingLimit is when a leaving engine must get no new work.
const leavingLimit = 3 * time.Second

func TestLeavingEngine(t *testing.T) {
	leave := []struct {
		name string
		how  func(w *world, e *demo.EngineProcess)
	}{
		{"by the platform's list", func(w *world, e *demo.EngineProcess) {
			w.Platform.SetVM(objects.VM{ID: e.ID(), Role: objects.RoleEngine, Address: e.Address, Domain: e.Domain, Incarnation: 1, Leaving: true})
		}},
		{"by its own word", func(_ *world, e *demo.EngineProcess) {
			yes := true
			e.Fail(standin.Fault{Drain: &yes})
		}},
	}
	for _, how := range leave {
		inWorld(t, "A leaving engine gets no new work, "+how.name, 2, 1, standin.EngineConfig{}, func(w *world) {
			e := w.Engine("engine-1")
			how.how(w, e)
			time.Sleep(leavingLimit)
			before := len(e.Counts().Starts)
			for i := range 20 {
				So(w.askPlainly(i), ShouldBeNil)
			}
			So(len(e.Counts().Starts), ShouldEqual, before)
		})
	}
}

// configurationLimit is when an accepted change must be in force everywhere.
const configurationLimit = 3 * time.Second

func TestConfiguration(t *testing.T) {
	closed := operator.Preset{Name: "maintenance", MaxAnswers: 1, MaxTokens: 10}
	change := func(w *world) {
		So(w.Put(operator.KindPreset, "maintenance", closed), ShouldBeNil)
		So(w.Put(operator.KindInForce, operator.InForceName, operator.InForce{Preset: "maintenance"}), ShouldBeNil)
	}
	inWorld(t, "A preset is in force everywhere within seconds", 1, 3, standin.EngineConfig{}, func(w *world) {
		change(w)
		time.Sleep(configurationLimit)
		for i := range 3 {
			r := plain{w: w, entry: i}.do(http.MethodPost, "/v1/completions", question("p", 5, 1), nil, nil)
			So(r.err.Code, ShouldEqual, result.Overloaded)
			So(r.err.NotRun, ShouldBeTrue)
			So(r.err.RetryAt.IsZero(), ShouldBeFalse)
		}
	})
	inWorld(t, "An entry VM that starts while the platform is down takes the newest configuration from another", 1, 1, standin.EngineConfig{}, func(w *world) {
		change(w)
		time.Sleep(configurationLimit)
		w.Platform.Fail(standin.PlatformFault{Down: true})
		_, err := w.AddEntry(w.Places[0].Names.Code, "entry-2", nil)
		So(err, ShouldBeNil)
		time.Sleep(2 * configurationLimit)
		r := plain{w: w, entry: 1}.do(http.MethodPost, "/v1/completions", question("p", 5, 1), nil, nil)
		So(r.err.Code, ShouldEqual, result.Overloaded)
	})
	inWorld(t, "An outage of the platform stops no answer", 2, 1, standin.EngineConfig{}, func(w *world) {
		w.Platform.Fail(standin.PlatformFault{Down: true})
		time.Sleep(time.Minute)
		So(w.askPlainly(1), ShouldBeNil)
	})
}
