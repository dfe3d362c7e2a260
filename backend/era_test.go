package backend_test

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/golden"
)

func TestMain(m *testing.M) {
	flag.Parse()
	golden.FixSeed()
	os.Exit(m.Run())
}

// written returns the entry of a server that it wrote with a heartbeat, read in an era.
func written(era backend.Era, rev int64, started engine.Incarnation, sequence int64, draining bool) backend.Server {
	s := server("a", "cn-a", "10.0.0.1:1", started, rev)
	s.Era, s.Sequence, s.Draining = era, sequence, draining
	return s
}

// TestEras checks which entries of a store that was restored from an older copy take effect: the
// copy may lack that a server is draining or has left.
func TestEras(t *testing.T) {
	usable := func(p *backend.Pool, now time.Time) bool {
		n := need()
		n.Now = now
		_, ok := p.Choose(n)
		return ok
	}
	const (
		before = iota // draining, removed or restarted, then the store is restored
		after
	)
	for _, tt := range []struct {
		name  string
		known func(*backend.Pool)
		entry backend.Server // read after the restore
		// usable says whether the server is usable at once, and when the entry was held back
		// for as long as it can be.
		usable [2]bool
	}{
		{"ready as before", func(*backend.Pool) {}, written(2, 3, 5, 7, false), [2]bool{true, true}},
		{"lower revision, draining", func(*backend.Pool) {}, written(2, 3, 5, 8, true), [2]bool{false, false}},
		{"older than the drain", func(p *backend.Pool) { p.Apply(written(1, 12, 5, 9, true)) }, written(2, 3, 5, 7, false), [2]bool{false, true}},
		{"of the same heartbeat as the drain", func(p *backend.Pool) { p.Apply(written(1, 12, 5, 9, true)) }, written(2, 3, 5, 9, false), [2]bool{false, true}},
		{"newer than the drain", func(p *backend.Pool) { p.Apply(written(1, 12, 5, 9, true)) }, written(2, 3, 5, 10, false), [2]bool{true, true}},
		{"older than the removal", func(p *backend.Pool) { p.Remove("a", at1(12), start) }, written(2, 3, 5, 7, false), [2]bool{false, true}},
		{"newer than the removal", func(p *backend.Pool) { p.Remove("a", at1(12), start) }, written(2, 3, 5, 8, false), [2]bool{true, true}},
		{"older start", func(p *backend.Pool) { p.Apply(written(1, 12, 6, 1, true)) }, written(2, 3, 5, 99, false), [2]bool{false, true}},
		{"later start", func(p *backend.Pool) { p.Remove("a", at1(12), start) }, written(2, 3, 6, 1, false), [2]bool{true, true}},
	} {
		Convey(tt.name, t, func() {
			var p backend.Pool
			p.Apply(written(1, 10, 5, 7, false))
			tt.known(&p)
			p.Apply(tt.entry)
			So(usable(&p, start), ShouldEqual, tt.usable[before])
			So(p.ReleaseHeld(start), ShouldBeEmpty)
			So(p.ReleaseHeld(start.Add(9*time.Second)), ShouldBeEmpty)
			So(usable(&p, start.Add(9*time.Second)), ShouldEqual, tt.usable[before])
			p.ReleaseHeld(start.Add(10 * time.Second))
			So(usable(&p, start.Add(10*time.Second)), ShouldEqual, tt.usable[after])
		})
	}
	Convey("An entry that the copy lacks and that is written again with the same heartbeat", t, func() {
		var p backend.Pool
		p.Apply(written(1, 10, 5, 7, false))
		_, removed := p.Replace(start, start.Add(time.Second), backend.Revision{Era: 2, Number: 4}, nil)
		So(removed, ShouldResemble, []engine.ServerID{"a"})
		So(p.Apply(written(2, 5, 5, 7, false)), ShouldBeTrue)
		So(usable(&p, start.Add(2*time.Second)), ShouldBeTrue)
	})
	Convey("A held entry whose server leaves in the new era does not take effect", t, func() {
		var p backend.Pool
		p.Apply(written(1, 12, 5, 9, true))
		p.Apply(written(2, 3, 5, 7, false))
		p.ReleaseHeld(start)
		So(p.Remove("a", backend.Revision{Era: 2, Number: 6}, start), ShouldBeTrue)
		So(p.ReleaseHeld(start.Add(time.Minute)), ShouldBeEmpty)
		So(usable(&p, start.Add(time.Minute)), ShouldBeFalse)
	})
	Convey("An update of an earlier era changes nothing, however high its revision", t, func() {
		var p backend.Pool
		p.Apply(written(2, 3, 5, 9, true))
		So(p.Apply(written(1, 900, 5, 7, false)), ShouldBeFalse)
		So(p.Remove("a", at1(901), start), ShouldBeFalse)
		_, removed := p.Replace(start, start, at1(902), nil)
		So(removed, ShouldBeEmpty)
	})
	Convey("That a server is leaving stays known for its start", t, func() {
		var p backend.Pool
		p.Apply(written(1, 10, 5, 7, false))
		So(p.MarkLeaving("a", 4), ShouldBeFalse)
		So(p.MarkLeaving("a", 5), ShouldBeTrue)
		So(p.MarkLeaving("a", 5), ShouldBeFalse)
		So(usable(&p, start), ShouldBeFalse)
		p.Apply(written(1, 11, 5, 8, false))
		p.Apply(written(2, 3, 5, 9, false))
		So(usable(&p, start), ShouldBeFalse)
		Convey("also if it comes with an entry that is older than the known one", func() {
			var q backend.Pool
			q.Apply(written(1, 12, 5, 9, false))
			older := written(1, 11, 5, 8, true)
			older.Leaving = true
			So(q.Apply(older), ShouldBeTrue)
			So(q.Apply(older), ShouldBeFalse)
			So(usable(&q, start), ShouldBeFalse)
		})
		p.Apply(written(2, 4, 6, 1, false))
		So(usable(&p, start), ShouldBeTrue)
	})
}

func at1(rev int64) backend.Revision { return backend.Revision{Era: 1, Number: rev} }

// modelStore is the store in a random history of writes and restores.
type modelStore struct {
	rev     backend.Revision
	entries map[engine.ServerID]backend.Server
	copied  *modelStore
	// latest is what each server last wrote; Slots is 0 if it has left.
	latest map[engine.ServerID]backend.Server
	// updates and lists are what the store has told since the start.
	updates []func(*backend.Pool)
	lists   []func(*backend.Pool)
}

// write stores what a server writes.
func (m *modelStore) write(s backend.Server) {
	m.rev.Number++
	s.Revision = m.rev
	m.entries[s.ID], m.latest[s.ID] = s, s
	m.updates = append(m.updates, func(p *backend.Pool) { p.Apply(s) })
}

func (m *modelStore) remove(id engine.ServerID) {
	if _, ok := m.entries[id]; !ok {
		return
	}
	m.rev.Number++
	rev := m.rev
	delete(m.entries, id)
	m.updates = append(m.updates, func(p *backend.Pool) { p.Remove(id, rev, start) })
}

func (m *modelStore) list() {
	rev := m.rev
	var all []backend.Server
	for _, s := range m.entries {
		all = append(all, s)
	}
	m.lists = append(m.lists, func(p *backend.Pool) { p.Replace(start, start, rev, all) })
}

func (m *modelStore) restore() {
	if m.copied == nil {
		return
	}
	m.rev = backend.Revision{Era: m.rev.Era + 1, Number: m.copied.rev.Number}
	m.entries = maps.Clone(m.copied.entries)
	for id, s := range m.entries {
		s.Era = m.rev.Era
		m.entries[id] = s
	}
}

// step performs one random step of a server or of the store.
func (m *modelStore) step(t *rapid.T, ids []engine.ServerID) {
	id := rapid.SampledFrom(ids).Draw(t, "server")
	s := m.latest[id]
	switch rapid.SampledFrom([]string{"write", "write", "restart", "remove", "copy", "restore", "list"}).Draw(t, "step") {
	case "write":
		s.Sequence++
		s.Slots, s.Draining = 48, rapid.Bool().Draw(t, "draining")
		m.write(s)
	case "restart":
		s.Start, s.Sequence, s.Slots, s.Draining = s.Start+1, 0, 48, false
		m.write(s)
	case "remove":
		m.remove(id)
		s.Slots = 0
		m.latest[id] = s
	case "copy":
		m.copied = &modelStore{rev: m.rev, entries: maps.Clone(m.entries)}
	case "restore":
		m.restore()
	}
	m.list()
}

// writeAgain has every server write what it last wrote again, and those removed that have left.
func (m *modelStore) writeAgain() {
	for id, s := range m.latest {
		if s.Slots == 0 {
			m.remove(id)
			continue
		}
		s.Sequence++
		m.write(s)
	}
	m.list()
}

// TestErasModel lets three entry VMs learn of a random history of writes and restores in random
// order, from the store and from each other. No server that one of them knows to be draining or
// to have left comes back by an older entry, and all agree in the end.
func TestErasModel(t *testing.T) {
	ids := []engine.ServerID{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		m := &modelStore{rev: at1(1), entries: make(map[engine.ServerID]backend.Server), latest: make(map[engine.ServerID]backend.Server)}
		for i, id := range ids {
			m.write(server(string(id), "cn-a", fmt.Sprintf("10.0.0.%d:1", i), 5, 0))
		}
		m.list()
		var pools [3]backend.Pool
		var last [3]map[engine.ServerID]backend.View
		for i := range last {
			last[i] = make(map[engine.ServerID]backend.View)
		}
		check := func(i int) {
			for _, id := range ids {
				v, ok := pools[i].View(id, start)
				old, known := last[i][id]
				wasOut := known && (old.Draining || old.Removed)
				if ok && wasOut && !v.Draining && !v.Removed && cmp.Or(cmp.Compare(v.Start, old.Start), cmp.Compare(v.Sequence, old.Sequence)) <= 0 {
					t.Fatalf("entry VM %d: %s is back: %+v after %+v", i, id, v, old)
				}
				last[i][id] = v
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			m.step(t, ids)
			for i := range pools {
				switch rapid.SampledFrom([]string{"nothing", "update", "list", "peer"}).Draw(t, "told") {
				case "update":
					rapid.SampledFrom(m.updates).Draw(t, "update")(&pools[i])
				case "list":
					m.lists[rapid.IntRange(0, len(m.lists)-1).Draw(t, "list")](&pools[i])
				case "peer":
					for _, v := range pools[rapid.IntRange(0, 2).Draw(t, "peer")].List(start) {
						pools[i].Apply(v.Server)
					}
				}
				check(i)
			}
		}
		m.writeAgain()
		for i := range pools {
			m.lists[len(m.lists)-1](&pools[i])
			check(i)
			for id, want := range m.latest {
				v, ok := pools[i].View(id, start)
				if got := ok && !v.Removed; got != (want.Slots > 0) || got && (v.Draining != want.Draining || v.Start != want.Start) {
					t.Fatalf("entry VM %d: %s is %+v, want %+v", i, id, v, want)
				}
			}
		}
	})
}
