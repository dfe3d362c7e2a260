package backend_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/routing"
)

var start = time.Unix(1_000_000, 0)

func server(id string, domain names.ID, address string, born engine.Incarnation, rev backend.Revision) backend.Server {
	return backend.Server{ID: engine.ServerID(id), Service: "models", Address: address, Domain: domain, Version: "v1", Start: born, Slots: 48, Revision: rev}
}

func need() backend.Criteria {
	return backend.Criteria{Now: start, Service: "models", Domain: "cn-a", AffinityKey: "s", Tokens: 8000, Model: &routing.Model{Slots: 48, KVTokens: 88000}}
}

func ids(list []backend.Choice) []string {
	var all []string
	for _, c := range list {
		all = append(all, string(c.ID))
	}
	return all
}

// TestWords checks which of two words about a server counts: those of entry VMs
// that were cut off are old.
func TestWords(t *testing.T) {
	Convey("Words about servers", t, func() {
		var p backend.Pool
		choose := func(now time.Time) bool {
			n := need()
			n.Now = now
			_, ok := p.Choose(n)
			return ok
		}
		So(p.Apply(server("a", "cn-a", "10.0.0.1:1", 5, 10)), ShouldBeTrue)
		So(choose(start), ShouldBeTrue)
		Convey("An entry that is known changes nothing", func() {
			So(p.Apply(server("a", "cn-a", "10.0.0.1:1", 5, 10)), ShouldBeFalse)
		})
		Convey("An older word does not bring a leaving server back", func() {
			leaving := server("a", "cn-a", "10.0.0.1:1", 5, 12)
			leaving.Draining = true
			So(p.Apply(leaving), ShouldBeTrue)
			So(choose(start), ShouldBeFalse)
			So(p.Apply(server("a", "cn-a", "10.0.0.1:1", 5, 10)), ShouldBeFalse)
			So(choose(start), ShouldBeFalse)
		})
		Convey("An older word does not bring a removed server back, a newer one does", func() {
			So(p.Remove("a", 12, start), ShouldBeTrue)
			So(p.Apply(server("a", "cn-a", "10.0.0.1:1", 5, 10)), ShouldBeFalse)
			So(p.Apply(server("a", "cn-a", "10.0.0.1:1", 5, 12)), ShouldBeFalse)
			So(choose(start), ShouldBeFalse)
			So(p.Apply(server("a", "cn-a", "10.0.0.1:1", 5, 13)), ShouldBeTrue)
			So(choose(start), ShouldBeTrue)
		})
		Convey("A removal that is older than the entry changes nothing", func() {
			So(p.Remove("a", 9, start), ShouldBeFalse)
		})
		Convey("A lapsed entry counts until its time, and passes on as such", func() {
			So(p.Remove("a", 10, start.Add(time.Second)), ShouldBeTrue)
			So(choose(start), ShouldBeTrue)
			So(p.List(start)[0].RemoveAt, ShouldEqual, start.Add(time.Second))
			So(choose(start.Add(time.Second)), ShouldBeFalse)
			So(p.List(start.Add(time.Second)), ShouldBeEmpty)
		})
		Convey("A list removes what it lacks, but not what is newer than it", func() {
			p.Apply(server("b", "cn-a", "10.0.0.2:1", 5, 20))
			applied, removed := p.Replace(start, start, 15, nil)
			So(applied, ShouldBeEmpty)
			So(removed, ShouldResemble, []engine.ServerID{"a"})
		})
		Convey("A later start at the address ends the one before, whatever the entry says", func() {
			p.Apply(server("b", "cn-a", "10.0.0.1:1", 9, 20))
			n := need()
			n.Exclude = []engine.ServerID{"b"}
			_, ok := p.Choose(n)
			So(ok, ShouldBeFalse)
			p.Apply(server("a", "cn-a", "10.0.0.1:1", 5, 21))
			_, ok = p.Choose(n)
			So(ok, ShouldBeFalse)
		})
		Convey("A start that has ended comes back only as a later start", func() {
			p.MarkReplaced("a")
			p.Apply(server("a", "cn-a", "10.0.0.1:1", 5, 30))
			So(choose(start), ShouldBeFalse)
			p.Apply(server("a", "cn-a", "10.0.0.1:1", 6, 31))
			So(choose(start), ShouldBeTrue)
		})
		Convey("A lost server counts only where there is no other, for a while", func() {
			p.Apply(server("b", "wv-a", "10.0.0.2:1", 5, 20))
			p.MarkFailed("a", start)
			for range 5 {
				c, _ := p.Choose(need())
				So(c.ID, ShouldEqual, engine.ServerID("b"))
			}
			p.MarkFailed("b", start)
			c, ok := p.Choose(need())
			So(ok, ShouldBeTrue)
			So(c.Suspect, ShouldBeTrue)
		})
	})
}

func many() *backend.Pool {
	var p backend.Pool
	for i := range 12 {
		d := names.ID([]string{"cn-a", "wv-a", "ks-a"}[i%3])
		p.Apply(server(fmt.Sprintf("e%d", i), d, fmt.Sprintf("10.0.0.%d:1", i), 5, 10))
	}
	return &p
}

func TestShortlist(t *testing.T) {
	Convey("A short list", t, func() {
		p := many()
		list := p.Candidates(need(), 4)
		Convey("is the same for the same subject, whoever asks", func() {
			n := need()
			n.Domain = "ks-a"
			So(ids(many().Candidates(n, 4)), ShouldResemble, ids(list))
		})
		Convey("has engines of two failure domains", func() {
			for i := range 200 {
				n := need()
				n.AffinityKey = fmt.Sprint(i)
				seen := map[names.ID]bool{}
				for _, c := range p.Candidates(n, 3) {
					seen[c.Domain] = true
				}
				So(len(seen), ShouldBeGreaterThan, 1)
			}
		})
		Convey("changes little when an engine goes", func() {
			p.MarkReplaced(list[0].ID)
			So(ids(p.Candidates(need(), 4))[:3], ShouldResemble, ids(list)[1:])
		})
		Convey("leaves out what is excluded and puts the avoided failure domain last", func() {
			n := need()
			n.Exclude, n.Avoid = []engine.ServerID{list[0].ID}, list[1].Domain
			for i, c := range p.Candidates(n, 7) {
				So(c.ID, ShouldNotEqual, list[0].ID)
				So(c.Domain, ShouldNotEqual, list[1].Domain)
				So(i, ShouldBeLessThan, 7)
			}
		})
	})
}

func TestPlace(t *testing.T) {
	rep := func(waiting, prefilling, generating int, used engine.Tokens) *backend.Report {
		return &backend.Report{Ready: true, Waiting: waiting, Prefilling: prefilling, Generating: generating, Used: used, Total: 88000}
	}
	c := func(id string, d names.ID) backend.Choice {
		return backend.Choice{Server: server(id, d, "10.0.0.1:1", 5, 1)}
	}
	for _, x := range []struct {
		name      string
		list      []backend.Engine
		run, copy string
	}{
		{"equal: the first by hash; the copy elsewhere", []backend.Engine{
			{Choice: c("a", "cn-a"), Rank: 0, Report: rep(0, 0, 0, 0)},
			{Choice: c("b", "cn-a"), Rank: 1, Report: rep(0, 0, 0, 0)},
			{Choice: c("c", "wv-a"), Rank: 2, Report: rep(0, 0, 0, 0)},
		}, "a", "c"},
		{"an idle engine before one that reads a prompt", []backend.Engine{
			{Choice: c("a", "cn-a"), Rank: 0, Report: rep(0, 1, 0, 8000)},
			{Choice: c("b", "wv-a"), Rank: 1, Report: rep(0, 0, 0, 0)},
		}, "b", "a"},
		{"one that is silent comes last", []backend.Engine{
			{Choice: c("a", "cn-a"), Rank: 0},
			{Choice: c("b", "wv-a"), Rank: 1, Report: rep(2, 2, 4, 60000)},
		}, "b", "a"},
		{"one without memory left comes after loaded ones", []backend.Engine{
			{Choice: c("a", "cn-a"), Rank: 0, Report: rep(0, 0, 0, 85000)},
			{Choice: c("b", "wv-a"), Rank: 1, Report: rep(0, 1, 3, 30000)},
		}, "b", "a"},
		{"only one", []backend.Engine{{Choice: c("a", "cn-a"), Report: rep(0, 0, 0, 0)}}, "a", ""},
	} {
		Convey(x.name, t, func() {
			p, ok := backend.Place(need(), x.list)
			So(ok, ShouldBeTrue)
			So(p.Run.ID, ShouldEqual, engine.ServerID(x.run))
			if x.copy == "" {
				So(p.Replica, ShouldBeNil)
			} else {
				So(p.Replica.ID, ShouldEqual, engine.ServerID(x.copy))
			}
		})
	}
	// After a failure domain died its engines come back idle, and a burst of prompts
	// arrives before any report shows what the first ones do there.
	Convey("A burst within the age of reports is spread over the engines that came back", t, func() {
		engines := []backend.Choice{c("a", "cn-a"), c("b", "cn-a"), c("c", "cn-a"), c("d", "wv-a"), c("e", "wv-a"), c("f", "ks-a")}
		reports := []*backend.Report{rep(0, 0, 0, 0), rep(0, 0, 0, 0), rep(0, 0, 0, 0), rep(0, 0, 1, 8000), rep(0, 0, 1, 8000), rep(0, 0, 2, 16000)}
		prompts := make(map[engine.ServerID]int)
		for range 5 {
			list := make([]backend.Engine, len(engines))
			for i := range engines {
				list[i] = backend.Engine{Choice: engines[i], Rank: i, Report: reports[i]}
			}
			p, ok := backend.Place(need(), list)
			So(ok, ShouldBeTrue)
			prompts[p.Run.ID]++
			for i := range engines {
				if engines[i].ID == p.Run.ID {
					engines[i].Load.Pending++
				}
			}
		}
		for _, n := range prompts {
			So(n, ShouldEqual, 1)
		}
	})
	Convey("Nothing to choose from", t, func() {
		_, ok := backend.Place(need(), nil)
		So(ok, ShouldBeFalse)
	})
}

func TestBudget(t *testing.T) {
	Convey("Repeats keep within the ratio and the slack of a sliding window", t, func() {
		b := &backend.RetryBudget{Ratio: 0.5, Window: 10 * time.Second}
		b.SetSlack(2)
		for range 10 {
			b.Request(start)
		}
		allowed := func(now time.Time) int {
			n := 0
			for range 100 {
				if b.Allow(now) {
					n++
				}
			}
			return n
		}
		So(allowed(start), ShouldEqual, 7)
		So(allowed(start.Add(5*time.Second)), ShouldEqual, 0)
		b.Refund(start.Add(5 * time.Second))
		So(allowed(start.Add(5*time.Second)), ShouldEqual, 1)
		So(allowed(start.Add(10*time.Second)), ShouldEqual, 1)
		So(allowed(start.Add(20*time.Second)), ShouldEqual, 2)
		So(allowed(start.Add(time.Hour)), ShouldEqual, 2)
	})
}

// TestPooledBudget replays the loss of a failure domain's engines: a few entry VMs
// have many streams to continue while the others have none.
func TestPooledBudget(t *testing.T) {
	Convey("Entry VMs of a failure domain share their budget while they know of each other", t, func() {
		b := &backend.RetryBudget{Ratio: 0.5, Window: 10 * time.Second}
		b.SetSlack(1)
		for range 4 {
			b.Request(start)
		}
		take := func(now time.Time) int {
			n := 0
			for range 100 {
				if b.Allow(now) {
					n++
				}
			}
			return n
		}
		So(take(start), ShouldEqual, 3)
		b.SetPeers(start, backend.Usage{Requests: 40, Retries: 5}, 12)
		So(take(start), ShouldEqual, 34-5-3)
		So(b.Usage(start), ShouldResemble, backend.Usage{Requests: 4, Retries: 29})
		Convey("and keep within their own part when they do not", func() {
			b := &backend.RetryBudget{Ratio: 0.5, Window: 10 * time.Second}
			b.SetSlack(1)
			b.SetPeers(start, backend.Usage{Requests: 40}, 12)
			So(b.Allow(start), ShouldBeTrue)
			So(b.Allow(start.Add(3*time.Second)), ShouldBeFalse)
		})
	})
}
