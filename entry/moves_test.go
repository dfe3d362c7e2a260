package entry_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/caller"
	"quetzalhold/clock"
	"quetzalhold/demo"
	"quetzalhold/engine"
	"quetzalhold/move"
	"quetzalhold/operator"
	"quetzalhold/standin"
)

// The version, duration and load of the moves in tests.
const (
	moveTo       engine.Version = "brief-7b@2"
	moveDuration                = 4 * time.Minute
	moveCallers                 = 5  // concurrent callers
	moveTokens   engine.Tokens  = 20 // of each answer
)

// moveOutcome counts the answers that callers got during a move.
type moveOutcome struct {
	plan     move.Plan
	answered int64 // complete answers
	failed   int64
	mixed    int64 // answers that neither version gives
	old      int64 // of recent, those of the old version
	recent   int64 // answers to requests sent after the move's end
}

// runMove starts a move under load, calls during, and returns the outcome after
// the move's time has passed.
func runMove(ts *testSite, during func()) moveOutcome {
	start := time.Now()
	p := move.Plan{
		Deployment: "brief", From: demo.DemoVersion, To: moveTo,
		Start: start, FinishBy: start.Add(moveDuration), EarlyShare: 0.1, State: move.Started,
	}
	So(ts.Put(move.Kind, "brief", p), ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	var o moveOutcome
	var moveOver atomic.Bool
	for c := range moveCallers {
		go func() {
			for n := 0; ctx.Err() == nil; n++ {
				ts.requestInMove(ctx, c*100_000+n, &o, &moveOver)
				_ = clock.Sleep(ctx, 300*time.Millisecond)
			}
		}()
	}
	during()
	time.Sleep(time.Until(start.Add(moveDuration + 10*time.Second)))
	moveOver.Store(true)
	time.Sleep(30 * time.Second)
	cancel()
	time.Sleep(30 * time.Second)
	obj, ok := ts.Entries()[0].Object(move.Kind, "brief")
	So(ok, ShouldBeTrue)
	So(o.plan.UnmarshalJSON(obj.Value), ShouldBeNil)
	return o
}

// requestInMove sends one request and counts which version answered it.
func (ts *testSite) requestInMove(ctx context.Context, i int, o *moveOutcome, moveOver *atomic.Bool) {
	q := newQuestion(fmt.Sprintf("prompt %d", i), moveTokens, uint64(i))
	isRecent := moveOver.Load()
	a, err := ts.client().Whole(ctx, caller.StyleCompletion, q)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		atomic.AddInt64(&o.failed, 1)
		return
	}
	textOf := func(v engine.Version) string {
		return standin.ExpectedAnswer(engine.Start{Version: v, Prompt: q.Prompt, Seed: *q.Seed, MaxTokens: q.MaxTokens}, 0).Text()
	}
	atomic.AddInt64(&o.answered, 1)
	isOld := a.Text() == textOf(demo.DemoVersion)
	if !isOld && a.Text() != textOf(moveTo) {
		atomic.AddInt64(&o.mixed, 1)
	}
	if isRecent {
		atomic.AddInt64(&o.recent, 1)
		if isOld {
			atomic.AddInt64(&o.old, 1)
		}
	}
}

func TestMoves(t *testing.T) {
	cfg := standin.EngineConfig{TokenGap: 5 * time.Millisecond}
	runWithSite(t, "A move to a good version finishes in time, and the deployment gets the version", 4, 2, cfg, func(ts *testSite) {
		o := runMove(ts, func() {})
		So(o.plan.State, ShouldEqual, move.Finished)
		So(o.plan.EndedAt, ShouldHappenOnOrBefore, o.plan.FinishBy)
		So(o.failed, ShouldEqual, 0)
		So(o.mixed, ShouldEqual, 0)
		So(o.old, ShouldEqual, 0)
		So(o.recent, ShouldBeGreaterThan, 50)
		obj, _ := ts.Entries()[1].Object(operator.KindDeployment, "brief")
		So(string(obj.Value), ShouldContainSubstring, string(moveTo))
	})
	runWithSite(t, "A move to a good version finishes although an engine dies", 4, 2, cfg, func(ts *testSite) {
		o := runMove(ts, func() {
			time.Sleep(time.Minute)
			ts.killEngine("engine-1")
		})
		So(o.plan.State, ShouldEqual, move.Finished)
		So(o.failed+o.mixed, ShouldEqual, 0)
	})
	runWithSite(t, "A failing version is rolled back, and no request fails", 4, 2, cfg, func(ts *testSite) {
		for _, e := range ts.AllEngines() {
			e.Inject(standin.Fault{Bad: moveTo})
		}
		o := runMove(ts, func() {})
		So(o.plan.State, ShouldEqual, move.RolledBack)
		So(o.plan.Reason, ShouldContainSubstring, "worse than the old version")
		So(o.plan.EndedAt, ShouldHappenBefore, o.plan.Start.Add(moveDuration/2))
		So(o.failed+o.mixed, ShouldEqual, 0)
		So(o.old, ShouldEqual, o.recent)
	})
	runWithSite(t, "If the platform is down when the move must finish, all requests return to the old version, and the record shows it later", 4, 2, cfg, func(ts *testSite) {
		o := runMove(ts, func() {
			time.Sleep(moveDuration - 30*time.Second)
			ts.Platform.SetFault(standin.PlatformFault{Down: true})
			time.AfterFunc(55*time.Second, func() { ts.Platform.SetFault(standin.PlatformFault{}) })
		})
		So(o.failed+o.mixed, ShouldEqual, 0)
		So(o.old, ShouldEqual, o.recent)
		So(o.plan.State, ShouldEqual, move.RolledBack)
	})
}
