package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/memnet"
	"quetzalhold/platform/platformtest"
)

// restore restores the store from a copy after it was unreachable for a moment.
func (w *world) restore(c platformtest.Copy) {
	w.store.SetFault(platformtest.StoreFault{Busy: true})
	time.Sleep(400 * time.Millisecond)
	w.store.Restore(c)
	w.store.SetFault(platformtest.StoreFault{})
}

// heartbeat has a server write its entry.
func (w *world) heartbeat(s *platformtest.Server, state string) {
	s.Heartbeats++
	w.store.Put("servers", s.ID, s.Entry(state))
}

// fleet starts three entry VMs of one failure domain and one of another.
func (w *world) fleet() {
	for i, domain := range []string{"cn-a", "cn-a", "cn-a", "wv-a"} {
		w.vm(fmt.Sprintf("e%d", i), namesID(domain), 1+i)
	}
	time.Sleep(settle)
}

// statuses returns how each entry VM answers a booking with a key.
func (w *world) statuses(key string) []int {
	var all []int
	for _, v := range w.vms {
		all = append(all, w.postBooking(v, key))
	}
	return all
}

// checkServed checks for 5 s that all four entry VMs answer bookings.
func (w *world) checkServed() {
	for range 10 {
		So(w.statuses("key-1"), ShouldResemble, every(200, 4))
		time.Sleep(500 * time.Millisecond)
	}
}

func every(status, n int) []int {
	var all []int
	for range n {
		all = append(all, status)
	}
	return all
}

// TestRestoredConfiguration restores the store from a copy with an older configuration.
func TestRestoredConfiguration(t *testing.T) {
	inWorld(t, "A withdrawn key stays withdrawn, and the next configuration comes into force in time", func(w *world) {
		w.fleet()
		c := w.store.Copy()
		w.configure(2, "key-2")
		time.Sleep(configBound)
		w.restore(c)
		for range 8 {
			So(w.statuses("key-1"), ShouldResemble, every(401, 4))
			So(w.statuses("key-2"), ShouldResemble, every(200, 4))
			time.Sleep(500 * time.Millisecond)
		}
		w.configure(2, "key-2")
		w.configure(3, "key-3")
		time.Sleep(configBound)
		So(w.statuses("key-2"), ShouldResemble, every(401, 4))
		So(w.statuses("key-3"), ShouldResemble, every(200, 4))
	})
	inWorld(t, "An entry VM that starts after the restore learns the newer configuration from the others", func(w *world) {
		w.fleet()
		c := w.store.Copy()
		w.configure(2, "key-2")
		time.Sleep(configBound)
		w.restore(c)
		time.Sleep(time.Second)
		for i := range 8 { // one of them ranks first in their failure domain
			w.vm(fmt.Sprintf("late-%d", 7*i), "cn-a", 10+i)
		}
		time.Sleep(configBound)
		watching := 0
		for _, v := range w.vms[4:] {
			watching += strings.Count(v.log.String(), "watching the store")
		}
		So(watching, ShouldBeGreaterThan, 0)
		So(w.statuses("key-1"), ShouldResemble, every(401, 12))
		So(w.statuses("key-2"), ShouldResemble, every(200, 12))
	})
	inWorld(t, "Two restores within seconds, and one entry VM cut off from the store", func(w *world) {
		w.fleet()
		w.net.Partition(memnet.Host(w.vms[3].host), storeHost)
		c := w.store.Copy()
		w.configure(2, "key-2")
		time.Sleep(configBound)
		w.restore(c)
		time.Sleep(500 * time.Millisecond)
		w.restore(c)
		w.configure(4, "key-4")
		time.Sleep(configBound)
		So(w.statuses("key-4"), ShouldResemble, every(200, 4))
	})
}

// TestRestoredServers restores the store from a copy with older entries of servers.
func TestRestoredServers(t *testing.T) {
	ran := func(w *world, s *platformtest.Server, since time.Time) bool {
		for _, at := range w.book.StartTimes(s.ID) {
			if at.After(since) {
				return true
			}
		}
		return false
	}
	for _, tt := range []struct {
		name  string
		leave func(*world)
	}{
		{"drains", func(w *world) { w.heartbeat(w.app, "draining") }},
		{"leaves", func(w *world) { w.store.Remove("servers", w.app.ID) }},
	} {
		inWorld(t, "A server that "+tt.name+" before the restore gets nothing, though the copy has it; its next heartbeat brings it back", func(w *world) {
			w.server("a1", "app", "cn-a", 11)
			w.fleet()
			c := w.store.Copy()
			w.heartbeat(w.app, "ready")
			tt.leave(w)
			time.Sleep(drainBound)
			left := time.Now()
			w.restore(c)
			w.checkServed()
			So(ran(w, w.app, left), ShouldBeFalse)
			w.heartbeat(w.app, "ready")
			w.store.Remove("servers", "a1")
			time.Sleep(drainBound)
			So(w.statuses("key-1"), ShouldResemble, every(200, 4))
		})
	}
	inWorld(t, "An entry that the server never writes again is used once it was held back", func(w *world) {
		w.fleet()
		c := w.store.Copy()
		w.store.Remove("servers", w.app.ID)
		time.Sleep(drainBound)
		w.restore(c)
		time.Sleep(5 * time.Second)
		So(w.statuses("key-1"), ShouldResemble, every(503, 4))
		time.Sleep(25 * time.Second)
		So(w.statuses("key-1"), ShouldResemble, every(200, 4))
	})
	inWorld(t, "A server that the copy lacks is used until it writes its entry again", func(w *world) {
		c := w.store.Copy()
		w.store.Remove("servers", w.app.ID)
		late := w.server("late", "app", "cn-a", 11)
		w.fleet()
		w.store.Remove("servers", w.app.ID)
		w.restore(c)
		w.store.Remove("servers", w.app.ID)
		So(w.statuses("key-1"), ShouldResemble, every(200, 4))
		time.Sleep(1500 * time.Millisecond)
		w.store.Put("servers", "late", late.Entry("ready"))
		w.checkServed()
		w.store.Remove("servers", "late")
		time.Sleep(drainBound)
		So(w.statuses("key-1"), ShouldResemble, every(503, 4))
	})
	inWorld(t, "A revision that is assigned again to another object hides no change", func(w *world) {
		w.fleet()
		c := w.store.Copy()
		for range 5 {
			w.heartbeat(w.app, "ready")
		}
		time.Sleep(2 * time.Second)
		w.store.SetFault(platformtest.StoreFault{Busy: true})
		time.Sleep(400 * time.Millisecond)
		w.store.Restore(c)
		w.server("a1", "app", "cn-a", 11)
		w.store.Remove("servers", w.app.ID)
		for range 10 {
			w.store.Put("other", "x", 1) // the store has the watched revision again
		}
		w.store.SetFault(platformtest.StoreFault{})
		time.Sleep(drainBound + 2500*time.Millisecond)
		since := time.Now()
		So(w.statuses("key-1"), ShouldResemble, every(200, 4))
		So(ran(w, w.app, since), ShouldBeFalse)
	})
	inWorld(t, "Entries of entry VMs that the copy lacks are written again", func(w *world) {
		c := w.store.Copy()
		w.fleet()
		So(w.store.Names("entryVMs"), ShouldHaveLength, 4)
		w.restore(c)
		time.Sleep(3 * time.Second)
		So(w.store.Names("entryVMs"), ShouldHaveLength, 4)
	})
}

// TestRestoredMove restores the store from a copy that lacks the progress of a version move, or
// its order.
func TestRestoredMove(t *testing.T) {
	for _, withOrder := range []bool{true, false} {
		inWorld(t, fmt.Sprintf("Progress is written again, and the move ends in time; the copy has its order: %v", withOrder), func(w *world) {
			m := newMoveWorld(w)
			c := m.store.Copy()
			m.orderMove()
			if withOrder {
				c = m.store.Copy()
			}
			m.load(moveLength / 2)
			w.restore(c)
			time.Sleep(time.Second)
			if !withOrder {
				m.orderMove()
			}
			m.load(moveLength/2 - 2*time.Second)
			state, target := m.state()
			So(state, ShouldEqual, "completed")
			So(target, ShouldEqual, "v2")
			So(m.statuses, ShouldHaveLength, 1)
		})
		inWorld(t, fmt.Sprintf("The end of a move is written again, and a bad version does not come back; the copy has its order: %v", withOrder), func(w *world) {
			m := newMoveWorld(w)
			m.failNewServers(platformtest.Fault{Status: 500})
			c := m.store.Copy()
			m.orderMove()
			if withOrder {
				c = m.store.Copy()
			}
			for range 10 {
				m.load(2 * time.Second)
				if state, _ := m.state(); state == "rolled_back" {
					break
				}
			}
			state, _ := m.state()
			So(state, ShouldEqual, "rolled_back")
			time.Sleep(2 * time.Second)
			before := len(m.newVersionRequests())
			w.restore(c)
			m.load(2 * time.Second)
			if !withOrder {
				m.orderMove()
			}
			m.load(8 * time.Second)
			state, _ = m.state()
			So(state, ShouldEqual, "rolled_back")
			So(len(m.newVersionRequests()), ShouldEqual, before)
		})
	}
}

// TestLeavingSpreads checks that what one entry VM learns from a server's answer reaches the
// others, also while the store cannot be reached, and that entries do not undo it.
func TestLeavingSpreads(t *testing.T) {
	for _, storeFault := range []platformtest.StoreFault{{}, {Busy: true}} {
		inWorld(t, fmt.Sprintf("store unreachable: %v", storeFault.Busy), func(w *world) {
			a1 := w.server("a1", "app", "cn-a", 11)
			w.fleet()
			w.store.SetFault(storeFault)
			w.app.SetFault(platformtest.Fault{Leaving: true})
			for range 4 {
				for i := range 3 {
					if w.postBooking(w.vms[i], "key-1"); len(w.book.StartTimes(w.app.ID)) > 0 {
						break
					}
				}
			}
			So(w.book.StartTimes(w.app.ID), ShouldHaveLength, 1)
			w.heartbeat(w.app, "ready")
			time.Sleep(2 * time.Second)
			inDomain := w.vms[:3]
			for range 5 {
				for _, v := range inDomain {
					So(w.postBooking(v, "key-1"), ShouldEqual, 200)
				}
			}
			So(w.book.StartTimes(w.app.ID), ShouldHaveLength, 1)
			So(len(w.book.StartTimes(a1.ID)), ShouldBeGreaterThanOrEqualTo, 15)
			w.store.SetFault(platformtest.StoreFault{})
			w.app.SetFault(platformtest.Fault{})
			w.app.Born++
			w.heartbeat(w.app, "ready")
			w.store.Remove("servers", a1.ID)
			time.Sleep(settle + 2500*time.Millisecond)
			So(w.statuses("key-1"), ShouldResemble, every(200, 4))
		})
	}
}
