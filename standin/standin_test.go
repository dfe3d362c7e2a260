package standin

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/engine"
	"quetzalhold/memnet"
	"quetzalhold/result"
)

const address = "10.0.0.1:80"

// withEngine runs f with an engine and a client connected to it, in a synctest bubble.
func withEngine(t *testing.T, text string, cfg EngineConfig, f func(e *Engine, c *engine.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		Convey(text, t, func() {
			n := &memnet.Network{}
			l, err := n.Listen(address)
			So(err, ShouldBeNil)
			cfg.ID = "e"
			cfg.Versions = []engine.LoadedModel{{Version: "v@1"}}
			e := NewEngine(cfg)
			s := &http.Server{Handler: e}
			go func() { _ = s.Serve(l) }()
			c := engine.NewClient(n.Dialer("10.0.0.2"))
			defer func() {
				e.Close()
				c.CloseIdle()
				_ = s.Close()
				time.Sleep(time.Minute)
			}()
			f(e, c)
		})
	})
}

func start(i int, p engine.Priority, prompt string, n engine.Tokens) engine.Start {
	return engine.Start{
		Stream: engine.StreamID(fmt.Sprint("s", i)), Request: engine.RequestID(fmt.Sprint("r", i)), Attempt: 1,
		Version: "v@1", Prompt: prompt, MaxTokens: n, Priority: p,
	}
}

// readAll reads a stream to its end and returns its text.
func readAll(st *engine.Stream) (string, error) {
	defer st.Close()
	text := ""
	err := st.Read(func(kind string, ev engine.StreamEvent) error {
		if kind == engine.EventToken {
			text += ev.Text
		}
		return nil
	})
	return text, err
}

func TestEngine(t *testing.T) {
	ctx := context.Background()
	withEngine(t, "A continuation with the right prefix has the same text, one with a wrong prefix does not", EngineConfig{}, func(_ *Engine, c *engine.Client) {
		s := start(1, 0, "p", 20)
		want := ExpectedAnswer(s, 0)
		cont := start(2, 0, "p", 20)
		cont.Offset = 5
		cont.Prefix = Answer{Tokens: want.Tokens[:5]}.Text()
		st, err := c.Start(ctx, address, cont)
		So(err, ShouldBeNil)
		text, err := readAll(st)
		So(err, ShouldBeNil)
		So(cont.Prefix+text, ShouldEqual, want.Text())
		wrong := cont
		wrong.Stream = "s3"
		wrong.Prefix = " not this"
		st, err = c.Start(ctx, address, wrong)
		So(err, ShouldBeNil)
		other, err := readAll(st)
		So(err, ShouldBeNil)
		So(other, ShouldNotEqual, text)
	})
	withEngine(t, "Streams wait while the batch is full, and the highest priority is admitted first", EngineConfig{Slots: 1}, func(_ *Engine, c *engine.Client) {
		done := make(chan int, 3)
		for i, p := range []engine.Priority{0, 0, engine.PriorityResumed} {
			st, err := c.Start(ctx, address, start(i, p, "p", 10))
			So(err, ShouldBeNil)
			go func() {
				_, _ = readAll(st)
				done <- i
			}()
			time.Sleep(time.Millisecond)
		}
		So([]int{<-done, <-done, <-done}, ShouldResemble, []int{0, 2, 1})
	})
	withEngine(t, "Tokens come more slowly as the batch fills", EngineConfig{Slowdown: 0.1}, func(_ *Engine, c *engine.Client) {
		took := func(n int) time.Duration {
			begin := time.Now()
			done := make(chan error, n)
			for i := range n {
				st, err := c.Start(ctx, address, start(100*n+i, 0, "p", 50))
				So(err, ShouldBeNil)
				go func() {
					_, err := readAll(st)
					done <- err
				}()
			}
			for range n {
				So(<-done, ShouldBeNil)
			}
			return time.Since(begin)
		}
		So(took(11), ShouldBeGreaterThan, took(1)*3/2)
	})
	withEngine(t, "A cancel ends a stream, unless a later attempt reads it", EngineConfig{}, func(e *Engine, c *engine.Client) {
		st, err := c.Start(ctx, address, start(1, 0, "p", 500))
		So(err, ShouldBeNil)
		time.Sleep(time.Second)
		later, err := c.Attach(ctx, address, "s1", 5, 3)
		So(err, ShouldBeNil)
		So(result.CodeOf(c.Cancel(ctx, address, "s1", 4)), ShouldEqual, result.StaleAttempt)
		_, err = c.Attach(ctx, address, "s1", 4, 3)
		So(result.CodeOf(err), ShouldEqual, result.StaleAttempt)
		So(c.Cancel(ctx, address, "s1", 5), ShouldBeNil)
		_, err = readAll(later)
		So(result.CodeOf(err), ShouldEqual, result.EngineLost)
		st.Close()
		time.Sleep(time.Second)
		So(e.Counts().Running, ShouldEqual, 0)
	})
	withEngine(t, "A load report is reused for LoadLag", EngineConfig{LoadLag: time.Second}, func(_ *Engine, c *engine.Client) {
		first, err := c.Load(ctx, address)
		So(err, ShouldBeNil)
		st, err := c.Start(ctx, address, start(1, 0, "p", 500))
		So(err, ShouldBeNil)
		defer st.Close()
		second, err := c.Load(ctx, address)
		So(err, ShouldBeNil)
		So(second, ShouldResemble, first)
		time.Sleep(time.Second)
		third, err := c.Load(ctx, address)
		So(err, ShouldBeNil)
		So(third.Running, ShouldEqual, 1)
	})
}

func TestCacheEvents(t *testing.T) {
	withEngine(t, "Cache events are delayed and some are dropped, and a cached prompt is not prefilled again", EngineConfig{CacheLag: time.Second, CacheLoss: 2, PrefillRate: 100}, func(e *Engine, c *engine.Client) {
		prompt := ""
		for i := range 64 {
			prompt += fmt.Sprintf("word%d ", i)
		}
		generate := func(i int, p string) {
			st, err := c.Start(context.Background(), address, start(i, 0, p, 1))
			So(err, ShouldBeNil)
			_, err = readAll(st)
			So(err, ShouldBeNil)
		}
		generate(1, prompt)
		evs, err := c.CacheEvents(context.Background(), address, 0)
		So(err, ShouldBeNil)
		So(evs.Events, ShouldHaveLength, 0)
		time.Sleep(time.Second)
		evs, err = c.CacheEvents(context.Background(), address, 0)
		So(err, ShouldBeNil)
		So(evs.Events, ShouldHaveLength, 1)
		So(evs.Events[0].Added, ShouldResemble, engine.BlockHashes(prompt))
		before := e.Counts().Prefilled
		generate(2, prompt)
		So(e.Counts().Prefilled, ShouldEqual, before)
		generate(3, "x "+prompt)
		generate(4, "y "+prompt)
		time.Sleep(time.Second)
		evs, err = c.CacheEvents(context.Background(), address, 1)
		So(err, ShouldBeNil)
		So(evs.Events, ShouldHaveLength, 1)
		So(evs.Events[0].Seq, ShouldEqual, 3)
	})
}

func TestOrders(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		withEngine(t, fmt.Sprintf("An order with a stale fencing number, fencing ignored: %t", ignores), EngineConfig{IgnoreFence: ignores}, func(_ *Engine, c *engine.Client) {
			load := func(f engine.Fence, v engine.Version) error {
				return c.Order(context.Background(), address, engine.Order{Fence: f, Load: []engine.LoadedModel{{Version: v}}})
			}
			So(load(5, "v@5"), ShouldBeNil)
			err := load(4, "v@4")
			if ignores {
				So(err, ShouldBeNil)
				return
			}
			So(result.CodeOf(err), ShouldEqual, result.StaleFence)
			time.Sleep(time.Second)
			r, err := c.Load(context.Background(), address)
			So(err, ShouldBeNil)
			So(r.Versions, ShouldResemble, []engine.LoadedModel{{Version: "v@1"}, {Version: "v@5"}})
		})
	}
}
