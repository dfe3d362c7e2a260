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

// The measures of the moves in tests.
const (
	moveTo     engine.Version = "brief-7b@2"
	moveFor                   = 4 * time.Minute
	moveLoad                  = 5  // callers at once
	moveTokens engine.Tokens  = 20 // of each answer
)

// moveWorld starts a move under load and returns when its time is over.
type moveOutcome struct {
	plan     move.Plan
	answered int64 // whole answers
	failed   int64
	mixed    int64 // answers of neither version
	old      int64 // answers of the old version in the last tenth
	recent   int64 // answers in the last tenth
}

func runMove(w *world, during func()) moveOutcome {
	start := time.Now()
	p := move.Plan{
		Deployment: "brief", From: demo.DemoVersion, To: moveTo,
		Start: start, FinishBy: start.Add(moveFor), EarlyShare: 0.1, State: move.Started,
	}
	So(w.Put(move.Kind, "brief", p), ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	var o moveOutcome
	var tail atomic.Bool
	for c := range moveLoad {
		go func() {
			for n := 0; ctx.Err() == nil; n++ {
				w.askInMove(ctx, c*100_000+n, &o, &tail)
				_ = clock.Sleep(ctx, 300*time.Millisecond)
			}
		}()
	}
	during()
	time.Sleep(time.Until(start.Add(moveFor + 10*time.Second)))
	tail.Store(true)
	time.Sleep(30 * time.Second)
	cancel()
	time.Sleep(30 * time.Second)
	obj, ok := w.Entries()[0].Object(move.Kind, "brief")
	So(ok, ShouldBeTrue)
	So(o.plan.UnmarshalJSON(obj.Value), ShouldBeNil)
	return o
}

// askInMove asks once and counts which version answered.
func (w *world) askInMove(ctx context.Context, i int, o *moveOutcome, tail *atomic.Bool) {
	q := question(fmt.Sprintf("prompt %d", i), moveTokens, uint64(i))
	counted := tail.Load()
	a, err := w.client().Whole(ctx, caller.StyleCompletion, q)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		atomic.AddInt64(&o.failed, 1)
		return
	}
	of := func(v engine.Version) string {
		return standin.WholeAnswer(engine.Start{Version: v, Prompt: q.Prompt, Seed: *q.Seed, MaxTokens: q.MaxTokens}, 0).Text()
	}
	atomic.AddInt64(&o.answered, 1)
	isOld := a.Text() == of(demo.DemoVersion)
	if !isOld && a.Text() != of(moveTo) {
		atomic.AddInt64(&o.mixed, 1)
	}
	if counted {
		atomic.AddInt64(&o.recent, 1)
		if isOld {
			atomic.AddInt64(&o.old, 1)
		}
	}
}

func TestMoves(t *testing.T) {
	cfg := standin.EngineConfig{TokenGap: 5 * time.Millisecond}
	inWorld(t, "A good version is moved to by its time, and the deployment has it", 4, 2, cfg, func(w *world) {
		o := runMove(w, func() {})
		So(o.plan.State, ShouldEqual, move.Finished)
		So(o.plan.EndedAt, ShouldHappenOnOrBefore, o.plan.FinishBy)
		So(o.failed, ShouldEqual, 0)
		So(o.mixed, ShouldEqual, 0)
		So(o.old, ShouldEqual, 0)
		So(o.recent, ShouldBeGreaterThan, 50)
		obj, _ := w.Entries()[1].Object(operator.KindDeployment, "brief")
		So(string(obj.Value), ShouldContainSubstring, string(moveTo))
	})
	inWorld(t, "A good version is moved to although an engine dies", 4, 2, cfg, func(w *world) {
		o := runMove(w, func() {
			time.Sleep(time.Minute)
			w.killEngine("engine-1")
		})
		So(o.plan.State, ShouldEqual, move.Finished)
		So(o.failed+o.mixed, ShouldEqual, 0)
	})
	inWorld(t, "A version that fails is taken back, and no caller notices", 4, 2, cfg, func(w *world) {
		for _, e := range w.AllEngines() {
			e.Fail(standin.Fault{Bad: moveTo})
		}
		o := runMove(w, func() {})
		So(o.plan.State, ShouldEqual, move.RolledBack)
		So(o.plan.Reason, ShouldContainSubstring, "worse than the old version")
		So(o.plan.EndedAt, ShouldHappenBefore, o.plan.Start.Add(moveFor/2))
		So(o.failed+o.mixed, ShouldEqual, 0)
		So(o.old, ShouldEqual, o.recent)
	})
	inWorld(t, "With the platform down over the end, all go back to the old version, and the record says so later", 4, 2, cfg, func(w *world) {
		o := runMove(w, func() {
			time.Sleep(moveFor - 30*time.Second)
			w.Platform.Fail(standin.PlatformFault{Down: true})
			time.AfterFunc(55*time.Second, func() { w.Platform.Fail(standin.PlatformFault{}) })
		})
		So(o.failed+o.mixed, ShouldEqual, 0)
		So(o.old, ShouldEqual, o.recent)
		So(o.plan.State, ShouldEqual, move.RolledBack)
	})
}
