package relay

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/admit"
	"quetzalhold/backend"
	"quetzalhold/result"
	"quetzalhold/routing"
)

// TestWhereChangesNothing guards against explanations that enter the queue, mark engines that don't answer as failed, or
// tell of a stream that would wait that it starts.
func TestWhereChangesNothing(t *testing.T) {
	Convey("Under pressure, with engines that can't be reached", t, func() {
		now := time.Now()
		r := New(func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") })
		r.ID, r.Domain, r.Pool = "e1", "d1", &backend.Pool{}
		table := routing.NewTable(routing.Config{
			Routes: []routing.Route{
				{Name: "soon", Prefix: "/soon/", Kind: routing.Stream, MaxAttempts: 2, Splits: []routing.Split{{Service: "models"}}},
				{Name: "later", Prefix: "/later/", Kind: routing.Stream, MaxAttempts: 2, Priority: 2, Splits: []routing.Split{{Service: "models"}}},
			},
			Services: []routing.Service{{Name: "models", Model: &routing.Model{Slots: 24, KVTokens: 88000}}},
		})
		r.Table = func() *routing.Table { return table }
		r.Pool.Apply(backend.Server{ID: "s1", Service: "models", Address: "10.1.0.1:80", Revision: backend.Revision{Number: 1}})
		l := r.line("models")
		l.measuredAt = now.Add(time.Hour) // the window is the test's
		l.queue.Estimate(8000, 1)
		for range 3 {
			l.enter(now, admit.Stream{Rank: admit.NewRank(2, 2, false), Tokens: 8000, CameAt: now, Deadline: now.Add(time.Minute)})
		}
		before := r.Admission(now)
		ask := func(path string) WhereAnswer {
			return r.Where(context.Background(), WhereQuery{Path: path, Tokens: "8000,100"})
		}
		a := ask("/later/1")
		So(a.Refusal, ShouldBeNil)
		So(a.Admission.Waits, ShouldBeTrue)
		So(a.Admission.Position, ShouldEqual, 2)
		So(a.Admission.ExpectedWaitMs, ShouldBeGreaterThan, 0)
		So(ask("/soon/1").Admission.Position, ShouldEqual, 0)
		var b bytes.Buffer
		So(a.WriteText(&b), ShouldBeNil)
		So(b.String(), ShouldContainSubstring, "waits at position 2")
		So(b.String(), ShouldContainSubstring, "then sent to  s1, as of now: no engine reported its load")
		So(r.Admission(now), ShouldResemble, before)
		v, _ := r.Pool.View("s1", now)
		So(v.FailedAt.IsZero(), ShouldBeTrue)
		So(ask("/none/1").Refusal.Code, ShouldEqual, result.UnknownPath)
		r.Pool.Postpone("s1", 0, now.Add(time.Minute))
		a = ask("/soon/1")
		So(a.Refusal.Code, ShouldEqual, result.NoServer)
		So(a.LeftOut, ShouldHaveLength, 1)
	})
}
