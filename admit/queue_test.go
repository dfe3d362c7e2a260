package admit_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/admit"
	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/routing"
)

var start = time.Unix(1000, 0)

const prompt engine.Tokens = 8000

func stream(p routing.Priority, came time.Time, wanted time.Duration, o routing.Organisation) admit.Stream {
	return admit.Stream{
		Rank: admit.NewRank(p, p, false), Organisation: o, Tokens: prompt, CameAt: came, WantedAt: came.Add(wanted),
		Deadline: came.Add(25 * time.Second), Need: 10 * time.Second,
	}
}

// newQueue returns a queue with a share in force that has room for one prompt, which is pending.
func newQueue() (*admit.Queue, *admit.Ticket) {
	q := &admit.Queue{Random: func() float64 { return 0.5 }}
	first, list := q.Add(start, stream(0, start, 4*time.Second, "a"))
	So(list, ShouldHaveLength, 1)
	So(list[0].Reason, ShouldEqual, admit.NoWindow)
	q.SetGrant(start, start, grant(prompt))
	return q, first
}

func grant(share engine.Tokens) admit.Grant {
	return admit.Grant{Service: "models", Window: 100 * prompt, Pressure: true, Shares: []admit.Share{{Rank: admit.NewRank(0, 0, false), Tokens: share}}}
}

// TestOrder guards against urgent streams that wait behind others, and against slots that go to streams that
// are late anyway.
func TestOrder(t *testing.T) {
	Convey("Streams that wait", t, func() {
		q, pending := newQueue()
		add := func(s admit.Stream) *admit.Ticket {
			x, list := q.Add(start, s)
			So(list, ShouldBeEmpty)
			return x
		}
		next := func(at time.Time) *admit.Ticket {
			list := q.First(at, pending)
			So(list, ShouldHaveLength, 1)
			So(list[0].Action, ShouldEqual, admit.Start)
			pending = list[0].Ticket
			return pending
		}
		Convey("start by priority, then of the organisation served least, then the one wanted first", func() {
			calm := add(stream(2, start, 10*time.Second, "b"))
			served := add(stream(0, start, 3*time.Second, "a"))
			later := add(stream(0, start, 4*time.Second, "c"))
			sooner := add(stream(0, start, 3500*time.Millisecond, "c"))
			So(sooner.Position, ShouldEqual, 0)
			for _, want := range []*admit.Ticket{sooner, served, later, calm} {
				So(next(start.Add(100*time.Millisecond)), ShouldEqual, want)
			}
		})
		Convey("start last if they will be late", func() {
			late := add(stream(0, start.Add(-3900*time.Millisecond), 4*time.Second, "a"))
			timely := add(stream(2, start, 10*time.Second, "a"))
			So(next(start), ShouldEqual, timely)
			So(next(start), ShouldEqual, late)
		})
		Convey("start at once if they resume an answer, and count as pending then", func() {
			s := stream(2, start, 10*time.Second, "a")
			s.Rank = admit.NewRank(2, 2, true)
			add(stream(0, start, 4*time.Second, "a"))
			resumed, list := q.Add(start, s)
			So(list[0].Reason, ShouldEqual, admit.UnderWay)
			So(q.End(start, pending), ShouldBeEmpty)
			So(q.First(start, resumed), ShouldHaveLength, 1)
		})
		Convey("are forgotten when their callers leave", func() {
			So(q.End(start, add(stream(0, start, 4*time.Second, "a"))), ShouldBeEmpty)
			So(q.Waiting(), ShouldEqual, 0)
			So(q.End(start, pending), ShouldBeEmpty)
		})
		Convey("let a less urgent rank have its least share", func() {
			g := grant(prompt)
			g.Shares = append(g.Shares, admit.Share{Rank: admit.NewRank(2, 2, false), Least: prompt})
			q.SetGrant(start, start, g)
			calm := add(stream(2, start, 10*time.Second, "a"))
			for range 3 {
				add(stream(0, start, 20*time.Second, "a"))
			}
			So(q.Advance(start.Add(800*time.Millisecond)), ShouldBeEmpty)
			So(next(start.Add(1000*time.Millisecond)), ShouldNotEqual, calm)
			So(q.Advance(start.Add(1500*time.Millisecond)), ShouldBeEmpty)
			So(next(start.Add(1900*time.Millisecond)), ShouldEqual, calm)
		})
		Convey("wait again if there is no room, and keep less urgent ones from taking it", func() {
			urgent := add(stream(0, start, 4*time.Second, "a"))
			add(stream(2, start, 10*time.Second, "a"))
			So(next(start), ShouldEqual, urgent)
			So(q.Return(start, urgent), ShouldBeEmpty)
			So(q.UnderPressure(start), ShouldBeTrue)
			list := q.Advance(start.Add(350 * time.Millisecond))
			So(list, ShouldHaveLength, 1)
			So(list[0].Ticket, ShouldEqual, urgent)
		})
		Convey("share the window equally while no share is in force", func() {
			q.Estimate(40*prompt, 20)
			add(stream(0, start, 4*time.Second, "a"))
			add(stream(0, start, 4*time.Second, "a"))
			So(q.Advance(start.Add(1900*time.Millisecond)), ShouldBeEmpty)
			list := q.Advance(start.Add(2100 * time.Millisecond))
			So(list, ShouldHaveLength, 1)
			So(list[0].Reason, ShouldEqual, admit.WithinShare)
		})
		Convey("all start once there is no pressure", func() {
			add(stream(0, start, 4*time.Second, "a"))
			add(stream(1, start, 5*time.Second, "a"))
			So(q.SetGrant(start, start.Add(time.Millisecond), admit.Grant{Window: prompt}), ShouldHaveLength, 2)
		})
	})
}

// TestRejection guards against callers that wait in vain, and against returns that come too late, too early or
// all at once.
func TestRejection(t *testing.T) {
	Convey("A stream", t, func() {
		q, _ := newQueue()
		Convey("is rejected at once if the streams ahead leave it too little time", func() {
			var last []admit.Decision
			n := 0
			for ; len(last) == 0 && n < 50; n++ {
				_, last = q.Add(start, stream(1, start, 5*time.Second, "a"))
			}
			So(n, ShouldBeBetween, 3, 50)
			So(last[0].Action, ShouldEqual, admit.Reject)
			So(last[0].Reason, ShouldEqual, admit.WaitTooLong)
			So(last[0].ExpectedWait, ShouldBeGreaterThan, 15*time.Second)
			So(last[0].RetryAt.Sub(start), ShouldBeBetween, 300*time.Millisecond, 25*time.Second/3)
			Convey("but not a more urgent one", func() {
				_, list := q.Add(start, stream(0, start, 4*time.Second, "a"))
				So(list, ShouldBeEmpty)
			})
		})
		Convey("waits if it will only be late, until too little time is left", func() {
			_, list := q.Add(start, stream(0, start.Add(-5*time.Second), 4*time.Second, "a"))
			So(list, ShouldBeEmpty)
			So(q.Advance(start.Add(9900*time.Millisecond)), ShouldNotBeEmpty)
			_, list = q.Add(start.Add(10*time.Second), stream(0, start.Add(-5*time.Second), 4*time.Second, "a"))
			So(list, ShouldHaveLength, 1)
			So(list[0].Reason, ShouldEqual, admit.NoTimeLeft)
			So(list[0].RetryAt.Sub(start.Add(10*time.Second)), ShouldBeBetweenOrEqual, 300*time.Millisecond, 10*time.Second/3)
		})
		Convey("waits no longer than the time that it turns out to need allows", func() {
			s := stream(0, start, 4*time.Second, "a")
			s.Need = 0
			x, list := q.Add(start, s)
			So(list, ShouldBeEmpty)
			q.SetNeed(x, 24*time.Second)
			list = q.Advance(start.Add(time.Second))
			So(list, ShouldHaveLength, 1)
			So(list[0].Reason, ShouldEqual, admit.NoTimeLeft)
		})
	})
}

// TestShares guards against shares that exceed the window, and against a rank, an entry VM of an earlier version
// or a silent failure domain without a part.
func TestShares(t *testing.T) {
	Convey("An issuer", t, func() {
		members := map[names.ID]int{"d0": 2}
		i := &admit.Issuer{Domain: "d0", Members: func() map[names.ID]int { return members }}
		demand := func(pending, urgent, calm engine.Tokens) []admit.Demand {
			return []admit.Demand{{Service: "models", Window: 40 * prompt, Ranks: []admit.RankDemand{
				{Rank: admit.NewRank(0, 0, false), Pending: pending * prompt, Waiting: urgent * prompt},
				{Rank: admit.NewRank(2, 2, false), Waiting: calm * prompt},
			}}}
		}
		total := func(g admit.Grant) engine.Tokens {
			n := engine.Tokens(0)
			for _, s := range g.Shares {
				n += s.Tokens
			}
			return n / prompt
		}
		Convey("divides the window by demand, and never twice", func() {
			now := start
			for range 3 {
				i.Report(now, "a", demand(0, 10, 0))
				i.Report(now, "b", demand(0, 10, 0))
				now = now.Add(time.Second)
			}
			a := i.Report(now, "a", demand(0, 100, 100))[0]
			So(a.Pressure, ShouldBeTrue)
			So(total(a), ShouldBeBetweenOrEqual, 29, 30)
			So(a.Shares[1].Tokens, ShouldBeGreaterThanOrEqualTo, prompt)
			b := i.Report(now, "b", demand(0, 100, 100))[0]
			So(total(b), ShouldBeBetweenOrEqual, 9, 10)
			a = i.Report(now.Add(time.Second/2), "a", demand(0, 100, 100))[0]
			So(total(a), ShouldBeBetweenOrEqual, 19, 20)
			b = i.Report(now.Add(time.Second/2), "b", demand(0, 100, 100))[0]
			So(total(b), ShouldBeBetweenOrEqual, 19, 20)
		})
		Convey("leaves equal parts to entry VMs of an earlier version and to failure domains that it does not hear", func() {
			members["d1"] = 2
			now := start
			for range 3 {
				So(total(i.Report(now, "a", demand(0, 100, 0))[0]), ShouldBeLessThanOrEqualTo, 10) // nor to "b", at first
				now = now.Add(600 * time.Millisecond)
			}
			now = now.Add(time.Second)
			So(total(i.Report(now, "a", demand(0, 100, 0))[0]), ShouldBeBetweenOrEqual, 19, 20)
			i.Report(now, "b", nil)
			So(total(i.Report(now, "a", demand(0, 100, 0))[0]), ShouldBeBetweenOrEqual, 9, 10)
			i.Learn(now, "d1", []admit.Sum{{Demand: admit.Demand{Service: "models"}}})
			So(total(i.Report(now, "a", demand(0, 100, 0))[0]), ShouldBeBetweenOrEqual, 29, 30)
		})
		Convey("forgets entry VMs that have ended", func() {
			i.Report(start, "a", demand(0, 100, 0))
			So(i.Sums(start), ShouldHaveLength, 1)
			So(i.Sums(start.Add(2*time.Second)), ShouldBeEmpty)
		})
	})
}
