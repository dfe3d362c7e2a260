package peer

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/engine"
)

var begin = time.Unix(1_000_000, 0)

func member(a Address, inc engine.Incarnation, s State) Member {
	return Member{Address: a, Domain: "d", Incarnation: inc, State: s}
}

func stateOf(m *Membership, a Address) (State, bool) {
	for _, x := range m.Members() {
		if x.Address == a {
			return x.State, true
		}
	}
	return 0, false
}

func TestMembership(t *testing.T) {
	Convey("A membership", t, func() {
		m := NewMembership(member("self", 5, Alive))
		m.Seed(begin, []Member{member("a", 0, Alive), member("self", 9, Alive), {Address: "x", Domain: "other"}})
		So(m.Alive(), ShouldHaveLength, 2)
		tests := []struct {
			name    string
			updates []Member
			want    State
			known   bool
		}{
			{"a higher incarnation supersedes", []Member{member("a", 2, Suspect), member("a", 3, Alive)}, Alive, true},
			{"a lower incarnation does not", []Member{member("a", 3, Alive), member("a", 2, Dead)}, Alive, true},
			{"at equal incarnations the worse state supersedes", []Member{member("a", 2, Suspect), member("a", 2, Alive)}, Suspect, true},
			{"an unknown dead member is not added", []Member{member("new", 2, Dead)}, Dead, false},
		}
		for _, tt := range tests {
			Convey(tt.name, func() {
				m.Merge(begin, tt.updates)
				got, ok := stateOf(m, tt.updates[0].Address)
				So(ok, ShouldEqual, tt.known)
				if ok {
					So(got, ShouldEqual, tt.want)
				}
			})
		}
		Convey("refutes an update that it is dead", func() {
			m.Merge(begin, []Member{member("self", 7, Dead)})
			So(m.Self().Incarnation, ShouldEqual, engine.Incarnation(8))
			So(m.Self().State, ShouldEqual, Alive)
		})
		Convey("does not refute that it left", func() {
			m.Leave()
			m.Merge(begin, []Member{member("self", 50, Dead)})
			So(m.Self().State, ShouldEqual, Left)
			So(m.Has(Watcher), ShouldBeFalse)
		})
		Convey("marks a suspect as dead and later removes it", func() {
			m.MarkSuspect(begin, "a")
			So(m.Alive(), ShouldHaveLength, 2)
			m.Advance(begin.Add(suspectTimeout))
			So(m.Alive(), ShouldHaveLength, 1)
			m.Advance(begin.Add(suspectTimeout + deadRetention))
			_, ok := stateOf(m, "a")
			So(ok, ShouldBeFalse)
		})
		Convey("passes each update on a bounded number of times", func() {
			m.Merge(begin, []Member{member("a", 2, Alive)})
			n := 0
			for len(m.Updates()) > 0 {
				n++
			}
			So(n, ShouldBeBetween, 2, 20)
		})
	})
	Convey("All members agree on who holds a duty", t, func() {
		all := []Member{member("a", 1, Alive), member("b", 1, Alive), member("c", 1, Alive), member("d", 1, Alive)}
		for _, d := range []Duty{Watcher, Delegate} {
			holders := 0
			for _, self := range all {
				m := NewMembership(self)
				m.Seed(begin, all)
				if m.Has(d) {
					holders++
				}
			}
			So(holders, ShouldEqual, dutyHolders)
		}
	})
}

func FuzzMessage(f *testing.F) {
	f.Add([]byte(`{"from":{"address":"10.0.0.1:1","id":"a","domain":"d","incarnation":1,"state":0},"words":[{"address":"self","domain":"d","incarnation":9,"state":2}],"digest":1}`))
	f.Add([]byte(`{"holder":"h","shard":1,"keys":[1,2],"tokens":[1,2],"answers":[1,2]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := NewMembership(member("self", 5, Alive))
		var msg Message
		if json.Unmarshal(raw, &msg) == nil {
			m.Merge(begin, append(msg.Updates, msg.From))
			m.Advance(begin.Add(suspectTimeout))
			if m.Self().State != Alive || m.Self().Incarnation < 5 {
				t.Fatalf("self became %+v", m.Self())
			}
		}
		var d Demands
		if json.Unmarshal(raw, &d) == nil && d.Check() == nil {
			d.rows()
		}
	})
}
