package backend_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/backend"
	"quetzalhold/cost"
	"quetzalhold/engine"
	"quetzalhold/names"
)

// unevenSpeeds are those of deployment 2: a quarter of the engines at 0.55, the others at 1.2.
func unevenSpeeds(i int) float64 {
	if i%4 == 0 {
		return 0.55
	}
	return 1.2
}

// basis returns the basis for a prompt while e0, e4, e8 and so on are known to be slow.
func basis(prompt engine.Tokens) *cost.Basis {
	servers := make(map[engine.ServerID]cost.ServerSpeed)
	for i := 0; i < 12; i += 4 {
		id := engine.ServerID(fmt.Sprint("e", i))
		servers[id] = cost.ServerSpeed{ID: id, Start: 5, Speed: 0.46}
	}
	return &cost.Basis{
		Work: cost.Work{Prefill: prompt, Output: 650}, FirstBy: start.Add(4500 * time.Millisecond), Prompt: 8000, Prefill: 9600,
		Gap: 25 * time.Millisecond, Call: 60 * time.Millisecond, Servers: servers, Pick: rand.New(rand.NewPCG(1, 1)).IntN,
	}
}

// polled returns twelve engines with the same report.
func polled(n backend.Criteria, rep backend.Report) []backend.Engine {
	var list []backend.Engine
	for i, c := range twelveEngines().Candidates(n, 12) {
		list = append(list, backend.Engine{Choice: c, Rank: i, Report: &rep})
	}
	return list
}

func place(n backend.Criteria, list ...backend.Engine) backend.Engine {
	p, ok := backend.Place(n, list)
	So(ok, ShouldBeTrue)
	return p.Run
}

// TestPlaceBySpeed guards against placement by counts where engines differ, with which slow engines get as many prompts
// as fast ones and long prompts are late there.
func TestPlaceBySpeed(t *testing.T) {
	n := need()
	criteria := func(prompt engine.Tokens) backend.Criteria {
		n.Cost, n.Tokens = basis(prompt), prompt+650
		return n
	}
	report := func(waiting, prefilling, generating int) backend.Report {
		return backend.Report{Ready: true, Waiting: waiting, Prefilling: prefilling, Generating: generating, Total: 88000}
	}
	pair := func(slow, fast backend.Report) []backend.Engine {
		all := polled(criteria(8000), report(0, 0, 0))
		var list []backend.Engine
		for _, e := range all {
			switch e.ID {
			case "e4":
				e.Report = &slow
				list = append(list, e)
			case "e5":
				e.Report = &fast
				list = append(list, e)
			default:
			}
		}
		return list
	}
	Convey("Of two engines with the same counts the fast one gets the prompt", t, func() {
		for _, rep := range []backend.Report{report(0, 0, 0), report(0, 0, 1), report(0, 1, 1), report(1, 1, 0)} {
			run := place(criteria(8000), pair(rep, rep)...)
			So(run.ID, ShouldEqual, engine.ServerID("e5"))
			So(run.Expected, ShouldBeGreaterThan, 800*time.Millisecond)
		}
	})
	Convey("While the fast engine has a prompt in prefill, a prompt of 14,000 tokens waits for it, and one of 2,000 goes to the slow one", t, func() {
		list := pair(report(0, 0, 0), report(0, 1, 0))
		So(place(criteria(14000), list...).ID, ShouldEqual, engine.ServerID("e5"))
		list = pair(report(0, 0, 0), report(0, 2, 0))
		So(place(criteria(2000), list...).ID, ShouldEqual, engine.ServerID("e4"))
	})
	Convey("An idle slow engine ends the search for short prompts only", t, func() {
		list := pair(report(0, 0, 0), report(0, 0, 0))
		for _, e := range list {
			So(e.Idle(criteria(14000)), ShouldEqual, e.ID == "e5")
			So(e.Idle(criteria(1500)), ShouldBeTrue)
		}
	})
	Convey("The own prompts that a report lacks count with their tokens", t, func() {
		list := pair(report(0, 0, 0), report(0, 0, 0))
		for i := range list {
			if list[i].ID == "e5" {
				list[i].Load = backend.Load{Requests: 2, Pending: 2, Prefill: 28000}
			}
		}
		So(place(criteria(8000), list...).ID, ShouldEqual, engine.ServerID("e4"))
		for i := range list {
			list[i].Load.Prefill = min(list[i].Load.Prefill, 1000)
		}
		So(place(criteria(8000), list...).ID, ShouldEqual, engine.ServerID("e5"))
	})
	Convey("Engines without room for the KV cache, or without a report, come last", t, func() {
		full := report(0, 0, 0)
		full.Used = 87000
		So(place(criteria(8000), pair(report(0, 1, 3), full)...).ID, ShouldEqual, engine.ServerID("e4"))
		list := pair(report(0, 1, 3), full)
		for i := range list {
			if list[i].ID == "e5" {
				list[i].Report = nil
			}
		}
		So(place(criteria(8000), list...).ID, ShouldEqual, engine.ServerID("e4"))
	})
	Convey("Slow engines are considered less often for long prompts, but not never", t, func() {
		share := func(prompt engine.Tokens) int {
			slow := 0
			n := criteria(prompt)
			for i := range 1000 {
				n.AffinityKey = fmt.Sprint(i)
				if c := twelveEngines().Candidates(n, 1)[0]; c.Speed < 1 {
					slow++
				}
			}
			return slow
		}
		So(share(2000), ShouldBeBetween, 80, 180)
		So(share(14000), ShouldBeBetween, 2, 50)
	})
}

// TestPlaceTogether guards against entry VMs that all send to the same engine, as they choose at the same time by the
// same reports.
func TestPlaceTogether(t *testing.T) {
	Convey("Two dozen entry VMs that choose at the same time spread over the fast engines", t, func() {
		sent := make(map[engine.ServerID]int)
		for i := range 24 {
			n := need()
			n.Cost = basis(8000)
			n.Cost.Pick = rand.New(rand.NewPCG(uint64(i), 1)).IntN
			run := place(n, polled(n, backend.Report{Ready: true, Generating: 1, Total: 88000})...)
			So(run.Speed, ShouldEqual, cost.Speed(1))
			sent[run.ID]++
		}
		So(len(sent), ShouldBeGreaterThan, 6)
		for _, count := range sent {
			So(count, ShouldBeLessThan, 7)
		}
	})
}

// TestChooseBySpeed guards against calls that wait at slow servers while others are free, and against slow servers that
// take none at all when the others are full.
func TestChooseBySpeed(t *testing.T) {
	Convey("Calls go to the servers with the shortest expected time", t, func() {
		var p backend.Pool
		for i := range 4 {
			s := server(fmt.Sprint("e", i), "cn-a", fmt.Sprintf("10.0.0.%d:1", i+1), 5, 10)
			s.Slots = 2
			p.Apply(s)
		}
		n := need()
		n.Model, n.AffinityKey, n.Cost = nil, "", basis(0)
		sent := make(map[engine.ServerID]int)
		for i := range 40 {
			c, ok := p.Choose(n)
			So(ok, ShouldBeTrue)
			p.Begin(c.ID, backend.Load{Requests: 1})
			if sent[c.ID]++; i == 2 {
				So(sent["e0"], ShouldEqual, 0)
				So(len(sent), ShouldEqual, 3)
			}
		}
		So(sent["e0"], ShouldBeBetween, 1, 8)
	})
}

// TestUnevenFleet guards against placement by speed that makes more streams late than that by counts: with the engines
// of deployment 2, and while a third of them is three times slower.
func TestUnevenFleet(t *testing.T) {
	Convey("Fewer streams are late than with placement by counts", t, func() {
		var late [2]tally
		for i, learn := range []bool{false, true} {
			f := newFleet(1, 120, unevenSpeeds, learn)
			f.run(12*time.Second, 54)
			for j, e := range f.engines {
				if j%3 == 0 {
					e.speed /= 3
				}
			}
			f.run(10*time.Second, 54)
			for j, e := range f.engines {
				e.speed = unevenSpeeds(j)
			}
			f.run(12*time.Second, 54)
			late[i] = f.tally(start)
			if learn {
				checkLearned(f)
			}
			t.Log([]string{"by counts:", "by speed:"}[i], late[i])
		}
		So(late[1].late, ShouldBeLessThan, late[0].late*3/4)
		So(late[1].longLate, ShouldBeLessThan, late[0].longLate)
		So(late[1].onSlow, ShouldBeBetween, 50, late[0].onSlow)
	})
	Convey("Engines of the same speed are not taken for slow under load", t, func() {
		f := newFleet(3, 120, func(int) float64 { return 1 }, true)
		f.run(15*time.Second, 50)
		inForce := 0
		for _, v := range f.vms {
			if v.book.Basis(f.now, "models") != nil {
				inForce++
			}
		}
		t.Log(f.tally(start), "in force at", inForce)
		So(inForce, ShouldEqual, 0)
	})
}

// checkLearned checks that slow engines are known, and that those which were slow for a while are not any more.
func checkLearned(f *fleet) {
	slow, wrong := 0, 0
	for d, b := range f.issuers {
		for _, s := range b.Merge(f.now, nil) {
			for _, x := range s.Servers {
				e := f.engine(x.ID)
				switch {
				case modelRegion(e.Domain) != modelRegion(names.ID(fmt.Sprint("d", d))):
				case e.speed < 1 && x.Speed < 1:
					slow++
				case x.Speed*cost.Uneven <= 1:
					wrong++
				default:
				}
			}
		}
	}
	So(slow, ShouldBeGreaterThan, 30) // of 30 engines that two issuers know
	So(wrong, ShouldBeLessThan, 6)
}
