package cost_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/cost"
	"quetzalhold/engine"
)

var start = time.Unix(1_000_000, 0)

const service = "models"

func sample(id string, k cost.Kind, rate cost.Rate) cost.Sample {
	return cost.Sample{Service: service, Server: engine.ServerID(id), Start: 5, Kind: k, Rate: rate, Least: rate, Count: 1}
}

// learned returns a learner that knows the usual rates from servers a0 to a9.
func learned() *cost.Learner {
	var l cost.Learner
	for i := range 10 {
		id := fmt.Sprint("a", i)
		for range 2 {
			l.Add(start, sample(id, cost.FirstEvent, 8000))
			l.Add(start, sample(id, cost.Gap, 33))
			l.Add(start, sample("c"+id, cost.Call, 25))
		}
	}
	l.Table(start) // which learns the usual gap
	return &l
}

// speedOf returns the listed speed of a server's start; 1 if it is not listed.
func speedOf(l *cost.Learner, now time.Time, id engine.ServerID) float64 {
	for _, s := range l.Table(now) {
		for _, x := range s.Servers {
			if x.ID == id {
				return float64(x.Speed)
			}
		}
	}
	return 1
}

// TestSpeeds guards against speeds that are learned from delays which are none of the engine's, that are learned too
// late, and that stay when they no longer hold.
func TestSpeeds(t *testing.T) {
	Convey("The speed of a server", t, func() {
		l := learned()
		now := start.Add(time.Second)
		slow := sample("b", cost.Gap, 15)
		add := func(age time.Duration, list ...cost.Sample) {
			for _, s := range list {
				s.AgeMs = age.Milliseconds()
				l.Add(now, s)
			}
		}
		Convey("is learned from one stream's first event and gaps", func() {
			add(0, sample("b", cost.FirstEvent, 3700), sample("b", cost.Gap, 15), sample("b", cost.Gap, 15))
			So(speedOf(l, now, "b"), ShouldAlmostEqual, 0.46, 0.02)
		})
		Convey("is not taken for certain after first events alone: prompts that no report shows delay them", func() {
			add(0, sample("b", cost.FirstEvent, 2700), sample("b", cost.FirstEvent, 2700), sample("b", cost.FirstEvent, 2700))
			So(speedOf(l, now, "b"), ShouldBeGreaterThan, 1/cost.Uneven)
			Convey("and the gaps correct it", func() {
				now = now.Add(300 * time.Millisecond)
				add(0, sample("b", cost.Gap, 33))
				So(speedOf(l, now, "b"), ShouldEqual, 1)
			})
		})
		Convey("does not fall while an engine prefills prompts between its answers' events", func() {
			add(0, sample("b", cost.Gap, 6.4), sample("b", cost.Gap, 6.4), sample("b", cost.Gap, 6.4))
			So(speedOf(l, now, "b"), ShouldEqual, 1)
		})
		Convey("does not fall with gaps of which only some are stretched", func() {
			mixed := sample("b", cost.Gap, 15)
			mixed.Least = 6.5
			add(0, mixed, mixed, mixed)
			So(speedOf(l, now, "b"), ShouldEqual, 1)
		})
		Convey("is learned from gaps of engines that all prefill", func() {
			for i := range 8 {
				add(0, sample(fmt.Sprint("a", i), cost.Gap, 7.7))
			}
			add(0, sample("b", cost.Gap, 3.5), sample("b", cost.Gap, 3.5), sample("b", cost.Gap, 3.5))
			So(speedOf(l, now, "b"), ShouldAlmostEqual, 0.46, 0.02)
			So(speedOf(l, now, "a1"), ShouldEqual, 1)
		})
		Convey("is not high for a prompt of which a part may have been cached", func() {
			s := sample("b", cost.FirstEvent, 24000)
			s.Least = 7000
			add(0, s, s)
			So(speedOf(l, now, "b"), ShouldEqual, 1)
		})
		Convey("returns to 1 with a half-life of 10 s, and at once with a sample that shows it", func() {
			add(0, slow, slow, slow)
			So(speedOf(l, now.Add(10*time.Second), "b"), ShouldAlmostEqual, 0.67, 0.02)
			So(speedOf(l, now.Add(25*time.Second), "b"), ShouldEqual, 1)
			now = now.Add(time.Second)
			add(0, sample("b", cost.Gap, 33))
			So(speedOf(l, now, "b"), ShouldEqual, 1)
		})
		Convey("falls within seconds when the server slows down", func() {
			add(0, sample("b", cost.Gap, 33), sample("b", cost.Gap, 33))
			now = now.Add(3 * time.Second)
			add(0, sample("b", cost.Gap, 11), sample("b", cost.Gap, 11), sample("b", cost.Gap, 11))
			So(speedOf(l, now, "b"), ShouldAlmostEqual, 0.33, 0.02)
		})
		Convey("is that of one start: a restarted server starts at 1, and late samples of the former start do not count", func() {
			add(0, slow, slow, slow)
			again := sample("b", cost.Gap, 33)
			again.Start = 6
			add(0, again)
			add(0, slow, slow, slow)
			So(speedOf(l, now, "b"), ShouldEqual, 1)
		})
		Convey("is bounded, and samples out of range have no effect", func() {
			add(0, sample("b", cost.FirstEvent, 1e8), sample("b", cost.Gap, 1e8), sample("b", cost.Gap, 1e8))
			So(speedOf(l, now, "b"), ShouldEqual, 4)
			for _, rate := range []cost.Rate{0, -1, 1e12} {
				bad := sample("x", cost.Gap, rate)
				So(bad.Valid(), ShouldBeFalse)
				add(0, bad, bad)
			}
			So(speedOf(l, now, "x"), ShouldEqual, 1)
		})
		Convey("does not count when it is old", func() {
			add(time.Hour, slow, slow, slow)
			So(speedOf(l, now, "b"), ShouldEqual, 1)
		})
		Convey("of a plain server is the median of its calls", func() {
			for _, rate := range []cost.Rate{8, 8, 25, 8, 9} {
				s := sample("p", cost.Call, rate)
				s.Count = 5
				add(0, s)
			}
			So(speedOf(l, now, "p"), ShouldAlmostEqual, 0.32, 0.01)
		})
	})
}

// TestScatteredCalls guards against plain servers that are taken for uneven because the times of their calls scatter.
func TestScatteredCalls(t *testing.T) {
	Convey("Servers whose calls scatter by half are even, and one that is three times slower shows within 4 s", t, func() {
		var l cost.Learner
		r := rand.New(rand.NewPCG(1, 1))
		now := start
		play := func(d time.Duration, slow engine.ServerID) (uneven int) {
			for until := now.Add(d); now.Before(until); now = now.Add(25 * time.Millisecond) {
				s := sample(fmt.Sprint("p", r.IntN(6)), cost.Call, cost.Rate(16*math.Exp(0.5*r.NormFloat64())))
				if s.Server == slow {
					s.Rate /= 3
				}
				s.Least = s.Rate
				l.Add(now, s)
				for i := range 6 {
					if f := speedOf(&l, now, engine.ServerID(fmt.Sprint("p", i))); f*cost.Uneven <= 1 || f >= cost.Uneven {
						uneven++
					}
				}
			}
			return uneven
		}
		So(play(2*time.Minute, ""), ShouldEqual, 0)
		So(play(4*time.Second, "p3"), ShouldBeGreaterThan, 0)
		So(speedOf(&l, now.Add(time.Second), "p3"), ShouldBeLessThan, 1/cost.Uneven)
	})
}

// TestTable guards against tables and log lines without bound.
func TestTable(t *testing.T) {
	Convey("A table lists the most different servers, at most 256, and changes of levels are bounded", t, func() {
		l := learned()
		now := start.Add(time.Second)
		for i := range 400 {
			rate := cost.Rate(12 + float64(i)/100)
			for range 3 {
				l.Add(now, sample(fmt.Sprint("s", i), cost.Gap, rate))
			}
		}
		// So many slow servers are the usual ones, but for the rate that was known before.
		table := l.Table(now)
		So(table, ShouldHaveLength, 1)
		So(table[0].Servers, ShouldHaveLength, cost.MaxServers)
		So(table[0].Servers[0].ID, ShouldEqual, engine.ServerID("s0"))
		crossed := l.Crossings()
		So(len(crossed), ShouldBeBetween, 0, 17)
		So(crossed[0].To, ShouldEqual, cost.Slow)
		So(l.Crossings(), ShouldBeEmpty)
	})
}

// TestBook guards against decisions by tables that are out of date or of no use.
func TestBook(t *testing.T) {
	Convey("An entry VM", t, func() {
		var b cost.Book
		table := []cost.ServiceSpeeds{{Service: service, Prefill: 9600, Servers: []cost.ServerSpeed{{ID: "b", Start: 5, Speed: 0.46}, {ID: "c", Start: 5, Speed: 0.8}}}}
		Convey("has a basis for placement while a server is known to differ by 1.5", func() {
			So(b.Basis(start, service), ShouldBeNil)
			b.SetTable(start, table)
			x := b.Basis(start, service)
			So(x.Speed("b", 5), ShouldEqual, cost.Speed(0.46))
			So(x.Speed("b", 6), ShouldEqual, cost.Speed(1))
			So(x.Speed("d", 5), ShouldEqual, cost.Speed(1))
			So(x.Prefill, ShouldEqual, cost.Rate(9600))
			So(b.Basis(start, "app"), ShouldBeNil)
			b.SetTable(start, []cost.ServiceSpeeds{{Service: service, Servers: table[0].Servers[1:]}})
			So(b.Basis(start, service), ShouldBeNil)
		})
		Convey("uses a table for 3 s, and then what it has seen itself", func() {
			b.SetTable(start, table)
			So(b.Basis(start.Add(2900*time.Millisecond), service).Speed("b", 5), ShouldBeGreaterThan, 0.46)
			So(b.Basis(start.Add(3*time.Second), service), ShouldBeNil)
			now := start.Add(4 * time.Second)
			for range 10 {
				b.Observe(now, sample("a", cost.Gap, 33))
			}
			for range 3 {
				b.Observe(now, sample("d", cost.Gap, 15))
			}
			So(b.Basis(now.Add(time.Second), service).Speed("d", 5), ShouldBeLessThan, 0.5)
		})
		Convey("reports one sample for each server and kind", func() {
			b.Observe(start, sample("a", cost.Gap, 15))
			b.Observe(start.Add(time.Second), sample("a", cost.Gap, 33))
			list := b.Drain(start.Add(1500 * time.Millisecond))
			So(list, ShouldHaveLength, 1)
			So(list[0].Rate, ShouldEqual, cost.Rate(33))
			So(list[0].Count, ShouldEqual, 2)
			So(list[0].AgeMs, ShouldEqual, 500)
			So(b.Drain(start), ShouldBeEmpty)
		})
		Convey("passes samples on to other failure domains only while a server differs", func() {
			even := make([]cost.Sample, 0, 10)
			for i := range 10 {
				even = append(even, sample(fmt.Sprint("a", i), cost.Gap, 33))
			}
			So(b.Merge(start, even), ShouldBeEmpty)
			So(b.Forward(start), ShouldBeEmpty)
			now := start.Add(time.Second)
			So(b.Merge(now, []cost.Sample{sample("b", cost.Gap, 15), sample("b", cost.Gap, 15), sample("b", cost.Gap, 15)}), ShouldHaveLength, 1)
			So(b.Forward(now), ShouldHaveLength, 1)
			So(b.Forward(now), ShouldBeEmpty)
		})
		Convey("learns the speed of engines from the events in their reports, unless they had prompts to prefill", func() {
			for i := range 10 {
				b.Observe(start, sample(fmt.Sprint("a", i), cost.Gap, 33))
			}
			b.Drain(start)
			report := func(id string, after time.Duration, quiet bool, events int64, more ...engine.RequestID) {
				of := cost.Sample{Service: service, Server: engine.ServerID(id), Start: 5}
				runs := map[engine.RequestID]int64{"r": events}
				for _, id := range more {
					runs[id] = 1
				}
				b.ObserveReport(start.Add(after), of, quiet, runs)
			}
			report("b", 0, true, 10)
			report("b", 2*time.Second, true, 40)
			report("c", 0, true, 10)
			report("c", 2*time.Second, false, 40)
			report("d", 0, true, 10)
			report("d", 2*time.Second, true, 40, "begun")
			list := b.Drain(start)
			So(list, ShouldHaveLength, 1)
			So(list[0].Server, ShouldEqual, engine.ServerID("b"))
			So(list[0].Rate, ShouldEqual, cost.Rate(15))
		})
		Convey("expects answers of the usual part of their limit", func() {
			So(b.Output("r", 800), ShouldEqual, engine.Tokens(800))
			b.ObserveOutput("r", 1000, 250)
			b.ObserveOutput("r", 500, 125)
			So(b.Output("r", 800), ShouldEqual, engine.Tokens(200))
		})
	})
}
