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

func server(id string, domain names.ID, address string, started engine.Incarnation, rev int64) backend.Server {
	return backend.Server{ID: engine.ServerID(id), Service: "models", Address: address, Domain: domain, Version: "v1", Start: started, Slots: 48, Revision: at(rev)}
}

func at(rev int64) backend.Revision { return backend.Revision{Number: rev} }

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

// TestWords checks which of two conflicting updates about a server wins. Entry VMs that were
// disconnected send outdated ones.
func TestWords(t *testing.T) {
	Convey("Updates about servers", t, func() {
		var p backend.Pool
		choose := func(now time.Time) bool {
			n := need()
			n.Now = now
			_, ok := p.Choose(n)
			return ok
		}
		So(p.Apply(server("a", "cn-a", "10.0.0.1:1", 5, 10)), ShouldBeTrue)
		So(choose(start), ShouldBeTrue)
		Convey("Applying a known entry again changes nothing", func() {
			So(p.Apply(server("a", "cn-a", "10.0.0.1:1", 5, 10)), ShouldBeFalse)
		})
		Convey("An older update does not undo the draining of a server", func() {
			leaving := server("a", "cn-a", "10.0.0.1:1", 5, 12)
			leaving.Draining = true
			So(p.Apply(leaving), ShouldBeTrue)
			So(choose(start), ShouldBeFalse)
			So(p.Apply(server("a", "cn-a", "10.0.0.1:1", 5, 10)), ShouldBeFalse)
			So(choose(start), ShouldBeFalse)
		})
		Convey("An older update does not bring a removed server back; a newer one does", func() {
			So(p.Remove("a", at(12), start), ShouldBeTrue)
			So(p.Apply(server("a", "cn-a", "10.0.0.1:1", 5, 10)), ShouldBeFalse)
			So(p.Apply(server("a", "cn-a", "10.0.0.1:1", 5, 12)), ShouldBeFalse)
			So(choose(start), ShouldBeFalse)
			So(p.Apply(server("a", "cn-a", "10.0.0.1:1", 5, 13)), ShouldBeTrue)
			So(choose(start), ShouldBeTrue)
		})
		Convey("A removal older than the entry changes nothing", func() {
			So(p.Remove("a", at(9), start), ShouldBeFalse)
		})
		Convey("A server to be removed later is usable until then, and is listed with its removal time", func() {
			So(p.Remove("a", at(10), start.Add(time.Second)), ShouldBeTrue)
			So(choose(start), ShouldBeTrue)
			So(p.List(start)[0].RemoveAt, ShouldEqual, start.Add(time.Second))
			So(choose(start.Add(time.Second)), ShouldBeFalse)
			So(p.List(start.Add(time.Second)), ShouldBeEmpty)
		})
		Convey("A list removes servers that it lacks, except those with newer entries", func() {
			p.Apply(server("b", "cn-a", "10.0.0.2:1", 5, 20))
			applied, removed := p.Replace(start, start, at(15), nil)
			So(applied, ShouldBeEmpty)
			So(removed, ShouldResemble, []engine.ServerID{"a"})
		})
		Convey("A later start at an address replaces the earlier server, whatever the earlier one's entry says", func() {
			p.Apply(server("b", "cn-a", "10.0.0.1:1", 9, 20))
			n := need()
			n.Exclude = []engine.ServerID{"b"}
			_, ok := p.Choose(n)
			So(ok, ShouldBeFalse)
			p.Apply(server("a", "cn-a", "10.0.0.1:1", 5, 21))
			_, ok = p.Choose(n)
			So(ok, ShouldBeFalse)
		})
		Convey("A replaced start becomes usable again only as a later start", func() {
			p.MarkReplaced("a")
			p.Apply(server("a", "cn-a", "10.0.0.1:1", 5, 30))
			So(choose(start), ShouldBeFalse)
			p.Apply(server("a", "cn-a", "10.0.0.1:1", 6, 31))
			So(choose(start), ShouldBeTrue)
		})
		Convey("A server that seems to be another one is left out for some seconds", func() {
			p.MarkMisdirected("a", start)
			So(choose(start.Add(4*time.Second)), ShouldBeFalse)
			So(choose(start.Add(5*time.Second)), ShouldBeTrue)
			p.MarkMisdirected("a", start.Add(6*time.Second))
			p.Apply(server("a", "cn-a", "10.0.0.1:1", 6, 31))
			So(choose(start.Add(6*time.Second)), ShouldBeTrue)
		})
		Convey("A failed server is chosen only if there is no other, during its backoff", func() {
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

func twelveEngines() *backend.Pool {
	var p backend.Pool
	for i := range 12 {
		d := names.ID([]string{"cn-a", "wv-a", "ks-a"}[i%3])
		p.Apply(server(fmt.Sprintf("e%d", i), d, fmt.Sprintf("10.0.0.%d:1", i), 5, 10))
	}
	return &p
}

func TestShortlist(t *testing.T) {
	Convey("A list of candidates", t, func() {
		p := twelveEngines()
		list := p.Candidates(need(), 4)
		Convey("is the same for the same affinity key at every entry VM", func() {
			n := need()
			n.Domain = "ks-a"
			So(ids(twelveEngines().Candidates(n, 4)), ShouldResemble, ids(list))
		})
		Convey("includes engines of two failure domains", func() {
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
		Convey("loses only the engine that is gone", func() {
			p.MarkReplaced(list[0].ID)
			So(ids(p.Candidates(need(), 4))[:3], ShouldResemble, ids(list)[1:])
		})
		Convey("omits excluded engines and puts the failure domain to avoid last", func() {
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
	report := func(waiting, prefilling, generating int, used engine.Tokens) *backend.Report {
		return &backend.Report{Ready: true, Waiting: waiting, Prefilling: prefilling, Generating: generating, Used: used, Total: 88000}
	}
	choice := func(id string, d names.ID) backend.Choice {
		return backend.Choice{Server: server(id, d, "10.0.0.1:1", 5, 1)}
	}
	for _, x := range []struct {
		name      string
		list      []backend.Engine
		run, copy string
	}{
		{"equal load: the first by hash; the replica in another failure domain", []backend.Engine{
			{Choice: choice("a", "cn-a"), Rank: 0, Report: report(0, 0, 0, 0)},
			{Choice: choice("b", "cn-a"), Rank: 1, Report: report(0, 0, 0, 0)},
			{Choice: choice("c", "wv-a"), Rank: 2, Report: report(0, 0, 0, 0)},
		}, "a", "c"},
		{"an idle engine before one in prefill", []backend.Engine{
			{Choice: choice("a", "cn-a"), Rank: 0, Report: report(0, 1, 0, 8000)},
			{Choice: choice("b", "wv-a"), Rank: 1, Report: report(0, 0, 0, 0)},
		}, "b", "a"},
		{"an engine without a report comes last", []backend.Engine{
			{Choice: choice("a", "cn-a"), Rank: 0},
			{Choice: choice("b", "wv-a"), Rank: 1, Report: report(2, 2, 4, 60000)},
		}, "b", "a"},
		{"an engine without KV cache left comes after loaded ones", []backend.Engine{
			{Choice: choice("a", "cn-a"), Rank: 0, Report: report(0, 0, 0, 85000)},
			{Choice: choice("b", "wv-a"), Rank: 1, Report: report(0, 1, 3, 30000)},
		}, "b", "a"},
		{"only one engine", []backend.Engine{{Choice: choice("a", "cn-a"), Report: report(0, 0, 0, 0)}}, "a", ""},
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
	// After a failure domain has failed, its engines come back idle, and a burst of prompts
	// arrives before any load report includes the first of them. All prompts must not go to
	// the same engine.
	Convey("A burst of prompts that no report includes yet is spread over idle engines", t, func() {
		engines := []backend.Choice{choice("a", "cn-a"), choice("b", "cn-a"), choice("c", "cn-a"), choice("d", "wv-a"), choice("e", "wv-a"), choice("f", "ks-a")}
		reports := []*backend.Report{report(0, 0, 0, 0), report(0, 0, 0, 0), report(0, 0, 0, 0), report(0, 0, 1, 8000), report(0, 0, 1, 8000), report(0, 0, 2, 16000)}
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
	Convey("No engine to choose from", t, func() {
		_, ok := backend.Place(need(), nil)
		So(ok, ShouldBeFalse)
	})
}

func TestBudget(t *testing.T) {
	Convey("Retries stay within the ratio and the slack of a sliding window", t, func() {
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

// TestPooledBudget covers the failure of all engines of a failure domain, after which a few
// entry VMs have many streams to continue while the others have none.
func TestPooledBudget(t *testing.T) {
	Convey("Entry VMs of a failure domain share their budget", t, func() {
		var a backend.Allotments
		short := &backend.RetryBudget{Ratio: 0.5, Window: 10 * time.Second}
		short.SetSlack(1)
		other := &backend.RetryBudget{Ratio: 0.5, Window: 10 * time.Second}
		other.SetSlack(11)
		for range 4 {
			short.Request(start)
		}
		for range 40 {
			other.Request(start)
		}
		allowed := func(b *backend.RetryBudget, now time.Time, most int) int {
			n := 0
			for range most {
				if b.Allow(now) {
					n++
				}
			}
			return n
		}
		exchange := func(now time.Time) {
			exchangeLimits(now, &a, other, 1)
			exchangeLimits(now, &a, short, 0)
		}
		So(allowed(other, start, 5), ShouldEqual, 5)
		So(allowed(short, start, 100), ShouldEqual, 3)
		var got []int
		for i := range 4 {
			now := start.Add(time.Duration(i) * reportPeriod)
			exchange(now)
			got = append(got, allowed(short, now, 100))
		}
		now := start.Add(4 * reportPeriod)
		Convey("so that one that is short soon gets most of what the others do not use", func() {
			// The other one has earned 31, used 5 and keeps two fifths of the rest.
			So(got[0]+got[1]+got[2]+got[3], ShouldBeGreaterThanOrEqualTo, 15)
			So(short.Usage(now).Retries, ShouldEqual, 3+got[0]+got[1]+got[2]+got[3])
			So(short.Usage(now).Requests, ShouldEqual, 4)
		})
		Convey("and never spend more together than they have earned", func() {
			for i := range 20 {
				now := start.Add(time.Duration(i+4) * reportPeriod / 4)
				allowed(other, now, 100)
				allowed(short, now, 100)
				exchange(now)
			}
			sum := short.Usage(now).Retries + other.Usage(now).Retries
			So(sum, ShouldBeBetweenOrEqual, 33, 34)
		})
		Convey("and do not spend what they have lent once the grant has ended", func() {
			var all int
			for i := range 8 {
				all += allowed(other, now.Add(time.Duration(i)*time.Second), 100)
			}
			So(all+5+3+got[0]+got[1]+got[2]+got[3], ShouldBeLessThanOrEqualTo, 34)
		})
	})
}
