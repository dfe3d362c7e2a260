package engine

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/names"
)

// lowestIndex is a Chooser.Rand without randomness: samples keep the order of the
// candidates.
func lowestIndex(int) int { return 0 }

func TestChoose(t *testing.T) {
	now := at(10_000)
	fresh := func(id ServerID, d names.ID) Candidate {
		return Candidate{ID: id, Domain: d, ReportedAt: now, LastSeen: now}
	}
	with := func(c Candidate, f func(*Candidate)) Candidate {
		f(&c)
		return c
	}
	tests := []struct {
		name string
		need Requirements
		all  []Candidate
		want ServerID
		ok   bool
	}{
		{"nobody", Requirements{}, nil, "", false},
		{"this VM's in-flight tokens count", Requirements{Domain: "x"}, []Candidate{
			with(fresh("a", "x"), func(c *Candidate) { c.InFlight = 1000 }), fresh("b", "x"),
		}, "b", true},
		{"reported load of other VMs counts", Requirements{Domain: "x"}, []Candidate{
			with(fresh("a", "x"), func(c *Candidate) { c.Reported = 1000 }), fresh("b", "x"),
		}, "b", true},
		{"old reports weigh less than in-flight tokens", Requirements{Domain: "x"}, []Candidate{
			with(fresh("a", "x"), func(c *Candidate) { c.Reported = 1000; c.ReportedAt = now.Add(-20 * time.Second) }),
			with(fresh("b", "x"), func(c *Candidate) { c.InFlight = 100 }),
		}, "a", true},
		{"a cached prompt outweighs a small load", Requirements{Domain: "x", Prefill: 4000}, []Candidate{
			fresh("a", "x"), with(fresh("b", "x"), func(c *Candidate) { c.Cached = 3900; c.InFlight = 200 }),
		}, "b", true},
		{"another region has a cost", Requirements{Domain: "x"}, []Candidate{
			fresh("a", "y"), with(fresh("b", "x"), func(c *Candidate) { c.InFlight = 500 }),
		}, "b", true},
		{"a long queue outweighs the cost of another region", Requirements{Domain: "x"}, []Candidate{
			fresh("a", "y"), with(fresh("b", "x"), func(c *Candidate) { c.InFlight = 5000 }),
		}, "a", true},
		{"suspect engines come last", Requirements{Domain: "x"}, []Candidate{
			with(fresh("a", "x"), func(c *Candidate) { c.SuspectAt = now.Add(time.Second) }),
			with(fresh("b", "x"), func(c *Candidate) { c.InFlight = 9999 }),
		}, "b", true},
		{"a suspect engine is chosen if there is no other", Requirements{Domain: "x"}, []Candidate{
			with(fresh("a", "x"), func(c *Candidate) { c.SuspectAt = now.Add(time.Second) }),
		}, "a", true},
		{"excluded engines are never chosen", Requirements{Domain: "x", Exclude: []ServerID{"a"}}, []Candidate{fresh("a", "x")}, "", false},
	}
	Convey("Choose", t, func() {
		for _, tt := range tests {
			Convey(tt.name, func() {
				tt.need.Now = now
				got, ok := Chooser{Rand: lowestIndex}.Choose(tt.need, tt.all)
				So(ok, ShouldEqual, tt.ok)
				So(got.ID, ShouldEqual, tt.want)
			})
		}
	})
}

// candidate returns the Candidate of engine a.
func candidate(p *Pool, v LoadedModel, blocks []BlockHash) Candidate {
	for _, c := range p.Candidates(v, blocks) {
		if c.ID == "a" {
			return c
		}
	}
	return Candidate{}
}

func inFlight(p *Pool, v LoadedModel) Tokens { return candidate(p, v, nil).InFlight }

func TestPool(t *testing.T) {
	now := at(0)
	v := LoadedModel{Version: "m@1"}
	list := []Server{{ID: "a", Address: "10.0.0.1:1", Incarnation: 1}, {ID: "b", Address: "10.0.0.2:1", Incarnation: 1}}
	ids := func(p *Pool) []ServerID {
		var got []ServerID
		for _, c := range p.Candidates(v, nil) {
			got = append(got, c.ID)
		}
		slices.Sort(got)
		return got
	}
	Convey("A pool", t, func() {
		var p Pool
		p.SetServers(list)
		So(ids(&p), ShouldResemble, []ServerID{"a", "b"})
		Convey("offers no engine that lacks the version", func() {
			p.ApplyReport(LoadReport{Server: "a", Incarnation: 1}, now)
			So(ids(&p), ShouldResemble, []ServerID{"b"})
		})
		Convey("offers no draining engine, even if a stale list contains it", func() {
			p.MarkRefused("a", now, true)
			p.SetServers(list)
			So(ids(&p), ShouldResemble, []ServerID{"b"})
			Convey("until it returns with a new incarnation", func() {
				p.ApplyReport(LoadReport{Server: "a", Incarnation: 2, Versions: []LoadedModel{v}}, now)
				So(ids(&p), ShouldResemble, []ServerID{"a", "b"})
			})
			Convey("and ignores reports of an older incarnation", func() {
				p.ApplyReport(LoadReport{Server: "a", Incarnation: 2, Versions: []LoadedModel{v}}, now)
				p.ApplyReport(LoadReport{Server: "a", Incarnation: 1, Draining: true}, now)
				So(ids(&p), ShouldResemble, []ServerID{"a", "b"})
			})
		})
		Convey("drops an engine that is no longer listed", func() {
			p.SetServers(list[:1])
			So(ids(&p), ShouldResemble, []ServerID{"a"})
		})
		Convey("counts in-flight tokens exactly", func() {
			p.Reserve("a", 100)
			p.Received("a", 1)
			So(inFlight(&p, v), ShouldEqual, 99)
			p.Release("a", 99)
			So(inFlight(&p, v), ShouldEqual, 0)
		})
		Convey("counts in-flight tokens across a restart of the engine", func() {
			p.Reserve("a", 100)
			p.SetServers([]Server{{ID: "a", Address: "10.0.0.1:2", Incarnation: 2}})
			p.Release("a", 100)
			So(inFlight(&p, v), ShouldEqual, 0)
			s, _ := p.Lookup("a")
			So(s.Address, ShouldEqual, "10.0.0.1:2")
		})
		Convey("clears the known cache content after a gap in the events", func() {
			blocks := []BlockHash{1, 2}
			p.ApplyCacheEvents("a", CacheEvents{Incarnation: 1, Events: []CacheEvent{{Seq: 1, Added: blocks}}})
			So(candidate(&p, v, blocks).Cached, ShouldEqual, 2*BlockWords)
			p.ApplyCacheEvents("a", CacheEvents{Incarnation: 1, Events: []CacheEvent{{Seq: 3, Added: []BlockHash{9}}}})
			So(candidate(&p, v, blocks).Cached, ShouldEqual, 0)
		})
	})
}
