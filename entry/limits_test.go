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
	runWithSite(t, "An organisation's tokens stay within its fleet-wide limit, which a preset changes at run time", 3, 2, standin.EngineConfig{TokenGap: 5 * time.Millisecond}, func(ts *testSite) {
		const limited, cost = 400.0, 20
		So(ts.Put(operator.KindOrganisation, "barkline", operator.Organisation{
			Names:           names.Set{Code: "barkline", Title: "Barkline Reclaim Co.", Legacy: "CUST-0001"},
			Keys:            []operator.KeyDigest{operator.DigestKey(demo.CallerKey)},
			TokensPerSecond: limited,
		}), ShouldBeNil)
		time.Sleep(configurationTimeout)
		var used, refused, wrong atomic.Int64
		ctx, cancel := context.WithCancel(context.Background())
		for i := range 2 {
			for c := range 20 {
				go func() {
					for n := 0; ctx.Err() == nil; n++ {
						q := newQuestion("p", cost, uint64(c))
						cl := caller.NewClient([]string{ts.Entries()[i].Address}, demo.CallerKey, caller.WithDial(ts.dialer("load")))
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
		So(ts.Put(operator.KindPreset, "half", operator.Preset{
			Name: "half", MaxAnswers: 1000, MaxTokens: 4096, NewAnswers: true, LimitsFactor: 0.5,
		}), ShouldBeNil)
		So(ts.Put(operator.KindInForce, operator.InForceName, operator.InForce{Preset: "half"}), ShouldBeNil)
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
	runWithSite(t, "A caller that waits in the queue gets heartbeats from its entry VM, and sends its request only once", 1, 2, standin.EngineConfig{}, func(ts *testSite) {
		So(ts.Put(operator.KindPreset, "ordinary", operator.Preset{
			Name: "ordinary", MaxAnswers: 1, MaxTokens: 4096, NewAnswers: true,
		}), ShouldBeNil)
		time.Sleep(configurationTimeout)
		go func() { _ = ts.requestOnce(1) }()
		time.Sleep(10 * time.Millisecond)
		for i := range 2 {
			So(ts.requestOnce(2+i), ShouldBeNil)
		}
	})
}
