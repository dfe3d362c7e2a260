package entry_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/caller"
	"quetzalhold/clock"
	"quetzalhold/demo"
	"quetzalhold/names"
	"quetzalhold/operator"
	"quetzalhold/result"
	"quetzalhold/standin"
)

func TestFleetLimits(t *testing.T) {
	inWorld(t, "An organisation's tokens stay within its fleet-wide limit, and a preset changes it in place", 3, 2, standin.EngineConfig{TokenGap: 5 * time.Millisecond}, func(w *world) {
		const limited, cost = 400.0, 20
		So(w.Put(operator.KindOrganisation, "barkline", operator.Organisation{
			Names:           names.Set{Code: "barkline", Title: "Barkline Reclaim Co.", Legacy: "CUST-0001"},
			Keys:            []operator.KeyDigest{operator.DigestKey(demo.CallerKey)},
			TokensPerSecond: limited,
		}), ShouldBeNil)
		time.Sleep(configurationLimit)
		var used, refused, wrong atomic.Int64
		ctx, cancel := context.WithCancel(context.Background())
		for i := range 2 {
			for c := range 20 {
				go func() {
					for n := 0; ctx.Err() == nil; n++ {
						q := question("p", cost, uint64(c))
						cl := caller.NewClient([]string{w.Entries()[i].Address}, demo.CallerKey, caller.WithDial(w.dialer("load")))
						a, err := cl.Whole(ctx, caller.StyleCompletion, q)
						switch {
						case err == nil:
							used.Add(cost + 1)
						case result.CodeOf(err) == result.Overloaded && result.FromError(err).NotRun:
							refused.Add(1)
							_ = clock.Sleep(ctx, time.Until(result.FromError(err).RetryAt))
						case ctx.Err() == nil:
							wrong.Add(1)
						}
						_ = a
					}
				}()
			}
		}
		measure := func(d time.Duration) float64 {
			before := used.Load()
			time.Sleep(d)
			return float64(used.Load()-before) / d.Seconds()
		}
		time.Sleep(time.Minute)
		steady := measure(2 * time.Minute)
		t.Logf("limit %.0f tokens/s, used %.0f", limited, steady)
		So(steady, ShouldBeBetween, 0.9*limited, 1.1*limited)
		So(w.Put(operator.KindPreset, "half", operator.Preset{
			Name: "half", MaxAnswers: 1000, MaxTokens: 4096, NewAnswers: true, LimitsFactor: 0.5,
		}), ShouldBeNil)
		So(w.Put(operator.KindInForce, operator.InForceName, operator.InForce{Preset: "half"}), ShouldBeNil)
		time.Sleep(time.Minute)
		halved := measure(2 * time.Minute)
		t.Logf("under the preset with half the limits, used %.0f", halved)
		So(halved, ShouldBeBetween, 0.45*limited, 0.55*limited)
		So(wrong.Load(), ShouldEqual, 0)
		cancel()
		time.Sleep(time.Minute)
	})
}

func TestWaitingCaller(t *testing.T) {
	inWorld(t, "A caller that waits for its turn hears that its entry VM lives, and asks only once", 1, 2, standin.EngineConfig{}, func(w *world) {
		So(w.Put(operator.KindPreset, "ordinary", operator.Preset{
			Name: "ordinary", MaxAnswers: 1, MaxTokens: 4096, NewAnswers: true,
		}), ShouldBeNil)
		time.Sleep(configurationLimit)
		go func() { _ = w.askPlainly(1) }()
		time.Sleep(10 * time.Millisecond)
		for i := range 2 {
			So(w.askPlainly(2+i), ShouldBeNil)
		}
	})
}
