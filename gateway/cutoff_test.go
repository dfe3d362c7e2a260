package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/memnet"
	"quetzalhold/platform/platformtest"
)

// cutKind is how entry VMs lose their links to servers.
type cutKind struct {
	name string
	cut  func(n *memnet.Network, entry, server memnet.Host)
	heal func(n *memnet.Network, entry, server memnet.Host)
}

var cutKinds = []cutKind{
	{"connections hang", (*memnet.Network).Partition, (*memnet.Network).Heal},
	{"connections are reset", func(n *memnet.Network, a, b memnet.Host) {
		n.Refuse(a, b)
		n.Reset(a, b)
	}, (*memnet.Network).Accept},
	{"old connections live on", (*memnet.Network).Refuse, (*memnet.Network).Accept},
}

// cutOffTest is a fleet of which some entry VMs lose their links to all servers.
type cutOffTest struct {
	*world
	entries []*vm
	servers []*platformtest.Server
	kind    cutKind

	mu    sync.Mutex
	tries []firstTry
	wg    sync.WaitGroup
}

// firstTry is a caller's first try and how it ended.
type firstTry struct {
	id, path string
	entry    int
	at       time.Time
	took     time.Duration
	status   int
	served   bool
}

func newCutOffTest(w *world, kind cutKind, entries int) *cutOffTest {
	c := &cutOffTest{world: w, kind: kind}
	for i := range 3 {
		c.servers = append(c.servers, w.server(fmt.Sprintf("a-%d", i), "app", string(domainOf(i)), 30+i))
	}
	for i := range 8 {
		c.servers = append(c.servers, w.server(fmt.Sprintf("e-%d", i), "models", string(domainOf(i)), 40+i))
	}
	w.store.Remove("servers", w.app.ID)
	for i := range entries {
		c.entries = append(c.entries, w.vm(fmt.Sprintf("vm-%d", i), domainOf(i), 10+i))
	}
	time.Sleep(4 * time.Second)
	return c
}

// links calls f for each link between an entry VM and a server.
func (c *cutOffTest) links(entries []int, f func(n *memnet.Network, entry, server memnet.Host)) {
	for _, i := range entries {
		for _, s := range c.servers {
			f(c.net, memnet.Host(c.entries[i].host), memnet.Host(strings.TrimSuffix(s.Address, ":80")))
		}
	}
}

func (c *cutOffTest) cut(entries ...int)  { c.links(entries, c.kind.cut) }
func (c *cutOffTest) heal(entries ...int) { c.links(entries, c.kind.heal) }

// play sends calls and streams to all entry VMs for a time, so many calls a second to each.
func (c *cutOffTest) play(d time.Duration, perSecond int) {
	paths := []string{"/book/1", "/book/1", "/status/1", "/book/1", "/brief/1"}
	end, run := time.Now().Add(d), time.Now().UnixNano()
	for i := 0; time.Now().Before(end); i++ {
		for e := range c.entries {
			c.wg.Go(func() { c.try(e, paths[(i+e)%len(paths)], fmt.Sprintf("try-%d-%d-%d", run, e, i)) })
		}
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

func (c *cutOffTest) try(entry int, path, id string) {
	at, h, want := time.Now(), http.Header{"X-Deadline-Ms": {"2000"}}, "answer to "+id
	if path == "/brief/1" {
		h, want = http.Header{"X-Deadline-Ms": {"25000"}, "X-Token-Count": {"800,100"}, "X-Prompt-Prefix": {id + ":800"}}, ""
		for n := range 20 {
			want += platformtest.EventText(id+":800", n+1)
		}
	}
	a := c.send(c.transport(), c.entries[entry], path, "key-1", id, h)
	t := firstTry{id: id, path: path, entry: entry, at: at, took: time.Since(at), status: a.status}
	t.served = a.err == nil && a.status == http.StatusOK && a.body == want && strings.HasPrefix(a.header.Get("X-Server-Stamp"), "stamp.")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries = append(c.tries, t)
}

// served returns how many of the first tries at some entry VMs, or at all others, that began in a
// time were served.
func (c *cutOffTest) served(from, until time.Time, at func(entry int) bool) (served, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.tries {
		if t.at.Before(from) || !t.at.Before(until) || !at(t.entry) {
			continue
		}
		all++
		if t.served {
			served++
		}
	}
	return served, all
}

// checkOnce checks that no call ran more than once that may not.
func (c *cutOffTest) checkOnce() {
	for _, t := range c.tries {
		if t.path == "/book/1" {
			runs := len(c.book.Runs(t.id))
			SoMsg(t.id, runs, ShouldBeLessThanOrEqualTo, 1)
			if t.status == http.StatusServiceUnavailable {
				SoMsg(t.id, runs, ShouldEqual, 0)
			}
		}
	}
}

// TestCutOffRefusesCallers guards against entry VMs that refuse their callers because they have lost
// their links to all servers, while the others serve theirs.
func TestCutOffRefusesCallers(t *testing.T) {
	var half []int // a failure domain
	for i := 0; i < 24; i += 2 {
		half = append(half, i)
	}
	for _, kind := range cutKinds {
		for _, c := range []struct {
			name               string
			entries, perSecond int
			cut                []int
		}{
			{"one entry VM", 7, 6, []int{2}},
			{"four of seven", 7, 6, []int{0, 2, 3, 4}},
			{"all of a failure domain", 7, 6, []int{0, 2, 4, 6}},
			{"all of a large failure domain", 24, 2, half},
		} {
			inWorld(t, kind.name+", "+c.name, func(w *world) {
				f := newCutOffTest(w, kind, c.entries)
				f.play(2*time.Second, c.perSecond)
				f.cut(c.cut...)
				begin := time.Now()
				f.play(12*time.Second, c.perSecond)
				f.heal(c.cut...)
				healed := time.Now()
				f.play(4*time.Second, c.perSecond)
				f.wg.Wait()
				cut := func(entry int) bool { return slices.Contains(c.cut, entry) }
				others := func(entry int) bool { return !cut(entry) }
				from := begin.Add(contactBound)
				served, all := f.served(from, healed, cut)
				servedByOthers, allOthers := f.served(from, healed, others)
				So(allOthers, ShouldBeGreaterThan, 100)
				So(float64(served)/float64(all), ShouldBeGreaterThanOrEqualTo, 2./3*float64(servedByOthers)/float64(allOthers))
				So(servedByOthers, ShouldEqual, allOthers)
				// A second after the cut all is as before.
				served, all = f.served(healed.Add(time.Second), time.Now(), func(int) bool { return true })
				So(served, ShouldEqual, all)
				f.checkOnce()
			})
		}
	}
}

// TestCutOffHarmsOthers guards against what an entry VM without links to servers believes of them:
// servers that are only out of its reach have not crashed, and are not hung.
func TestCutOffHarmsOthers(t *testing.T) {
	for _, kind := range cutKinds {
		inWorld(t, kind.name+", the same requests again and again", func(w *world) {
			f := newCutOffTest(w, kind, 7)
			f.play(2*time.Second, 20)
			f.cut(0, 1, 2)
			f.play(8*time.Second, 20)
			f.heal(0, 1, 2)
			f.wg.Wait()
			f.checkBeliefs()
		})
		inWorld(t, kind.name+", requests whose answers have not begun", func(w *world) {
			f := newCutOffTest(w, kind, 7)
			for _, s := range f.servers {
				s.SetFault(platformtest.Fault{Delay: 400 * time.Millisecond})
			}
			for i := range 60 {
				id := fmt.Sprintf("begun-%d", i)
				h := http.Header{"X-Deadline-Ms": {"25000"}, "X-Token-Count": {"800,100"}, "X-Prompt-Prefix": {id + ":800"}}
				path := []string{"/brief/1", "/status/1", "/book/1"}[i%3]
				f.wg.Go(func() { f.sendBody(f.transport(), f.entries[i%3], path, "key-1", id, id, h) })
				time.Sleep(10 * time.Millisecond)
			}
			f.cut(0, 1, 2)
			f.wg.Wait()
			time.Sleep(3 * time.Second)
			f.checkBeliefs()
		})
	}
}

// checkBeliefs checks that no entry VM holds a crash against a request, or a server to be hung.
func (c *cutOffTest) checkBeliefs() {
	So(c.store.Names("crashes"), ShouldBeEmpty)
	for _, v := range c.entries {
		So(v.log.String(), ShouldNotContainSubstring, "RequestBlocked")
		So(v.log.String(), ShouldNotContainSubstring, "server reported as hung")
	}
}

// TestServersGoneNotForwarded checks that calls are refused soon where the servers are gone, or all
// entry VMs are cut off.
func TestServersGoneNotForwarded(t *testing.T) {
	check := func(f *cutOffTest) {
		f.play(4*time.Second, 5)
		f.wg.Wait()
		for _, t := range f.tries {
			So(t.served, ShouldBeFalse)
			if t.path != "/brief/1" {
				So(t.took, ShouldBeLessThan, 1500*time.Millisecond)
			}
		}
	}
	inWorld(t, "all servers have crashed", func(w *world) {
		f := newCutOffTest(w, cutKinds[0], 7)
		for _, s := range f.servers {
			w.net.Crash(memnet.Host(strings.TrimSuffix(s.Address, ":80")))
		}
		check(f)
	})
	inWorld(t, "all servers have crashed, thirty entry VMs", func(w *world) {
		f := newCutOffTest(w, cutKinds[0], 30)
		for _, s := range f.servers {
			w.net.Crash(memnet.Host(strings.TrimSuffix(s.Address, ":80")))
		}
		check(f)
		handed := 0
		for _, v := range f.entries {
			handed += strings.Count(v.log.String(), "handed to another entry VM")
		}
		So(handed, ShouldBeLessThan, len(f.tries))
	})
	inWorld(t, "all entry VMs are cut off", func(w *world) {
		f := newCutOffTest(w, cutKinds[0], 7)
		f.cut(0, 1, 2, 3, 4, 5, 6)
		check(f)
	})
}

// longStream requests a stream of 200 events from an entry VM and returns how it ended, and what was
// to come.
func (c *cutOffTest) longStream(entry int, id string) (a answer, want string) {
	for n := range 200 {
		want += platformtest.EventText(id+":800", n+1)
	}
	return c.send(c.transport(), c.entries[entry], "/brief/1", "key-1", id, http.Header{
		"X-Deadline-Ms": {"25000"}, "X-Token-Count": {"800,1000"}, "X-Prompt-Prefix": {id + ":800"},
	}), want
}

// helperOf returns the entry VM that has a request of another one, or -1.
func (c *cutOffTest) helperOf(id string) int {
	return slices.IndexFunc(c.entries, func(v *vm) bool {
		return strings.Contains(v.log.String(), `"event":"stream sent"`) && slices.ContainsFunc(strings.Split(v.log.String(), "\n"), func(line string) bool {
			return strings.Contains(line, id) && strings.Contains(line, `"event":"stream sent"`) && strings.Contains(line, `"takenFrom":`)
		})
	})
}

// TestCutOffLosesStream guards against streams that end early because their entry VM, or the one that
// helps it, is lost to the servers or to it.
func TestCutOffLosesStream(t *testing.T) {
	for _, kind := range cutKinds {
		inWorld(t, kind.name+", streams under way go on", func(w *world) {
			f := newCutOffTest(w, kind, 5)
			for i := range 6 {
				f.wg.Go(func() {
					a, want := f.longStream(0, fmt.Sprintf("long-%d", i))
					f.mu.Lock()
					defer f.mu.Unlock()
					f.tries = append(f.tries, firstTry{id: fmt.Sprint(i), status: a.status, served: a.err == nil && a.body == want})
				})
			}
			time.Sleep(700 * time.Millisecond)
			f.cut(0)
			f.wg.Wait()
			So(f.tries, ShouldHaveLength, 6)
			for _, t := range f.tries {
				So(t.served, ShouldBeTrue)
			}
		})
		inWorld(t, kind.name+", the helping entry VM is lost", func(w *world) {
			f := newCutOffTest(w, kind, 5)
			f.cut(0)
			f.play(2*time.Second, 5)
			var a answer
			var want string
			f.wg.Go(func() { a, want = f.longStream(0, "long") })
			time.Sleep(time.Second)
			helper := f.helperOf("long")
			So(helper, ShouldBeGreaterThan, 0)
			w.net.Disconnect(memnet.Host(f.entries[helper].host))
			f.wg.Wait()
			w.net.Reconnect(memnet.Host(f.entries[helper].host))
			So(a.err, ShouldBeNil)
			So(a.body, ShouldEqual, want)
		})
	}
	inWorld(t, "a booking under way at the helping entry VM is not repeated", func(w *world) {
		f := newCutOffTest(w, cutKinds[0], 3)
		f.cut(0)
		f.play(2*time.Second, 5)
		for _, s := range f.servers {
			s.SetFault(platformtest.Fault{Delay: 500 * time.Millisecond})
		}
		var a answer
		f.wg.Go(func() {
			a = f.send(f.transport(), f.entries[0], "/book/1", "key-1", "slow", http.Header{"X-Deadline-Ms": {"2000"}})
		})
		time.Sleep(300 * time.Millisecond)
		So(f.book.Runs("slow"), ShouldHaveLength, 1)
		for _, i := range []int{1, 2} {
			w.net.Reset(memnet.Host(f.entries[0].host), memnet.Host(f.entries[i].host))
		}
		f.wg.Wait()
		So(f.book.Runs("slow"), ShouldHaveLength, 1)
		So(a.status, ShouldEqual, http.StatusBadGateway)
	})
	inWorld(t, "a helping entry VM that stops finishes what it has taken", func(w *world) {
		f := newCutOffTest(w, cutKinds[0], 3)
		f.cut(0)
		f.play(2*time.Second, 5)
		var a answer
		var want string
		f.wg.Go(func() { a, want = f.longStream(0, "long") })
		time.Sleep(time.Second)
		helper := f.helperOf("long")
		So(helper, ShouldBeGreaterThan, 0)
		f.entries[helper].stop()
		f.wg.Wait()
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, want)
		So(f.book.Runs("long"), ShouldHaveLength, 1)
	})
}

// TestCutOffFromOneService guards against entry VMs that refuse calls of a service of which they reach no server,
// as they reach one of another service.
func TestCutOffFromOneService(t *testing.T) {
	for _, kind := range cutKinds {
		for _, reached := range []string{"a-0", "e-0"} {
			inWorld(t, kind.name+", only "+reached+" is reached", func(w *world) {
				f := newCutOffTest(w, kind, 7)
				// It is the only one of its service.
				f.servers = slices.DeleteFunc(f.servers, func(s *platformtest.Server) bool {
					same := s.ID[0] == reached[0]
					if same && s.ID != reached {
						w.store.Remove("servers", s.ID)
					}
					return same
				})
				time.Sleep(drainBound)
				f.play(2*time.Second, 6)
				f.cut(2)
				begin := time.Now()
				f.play(12*time.Second, 6)
				f.heal(2)
				healed := time.Now()
				f.play(4*time.Second, 6)
				f.wg.Wait()
				cut := func(entry int) bool { return entry == 2 }
				others := func(entry int) bool { return entry != 2 }
				served, tried := f.served(begin.Add(contactBound), healed, cut)
				So(tried, ShouldBeGreaterThan, 40)
				So(served, ShouldBeGreaterThanOrEqualTo, tried*2/3)
				served, tried = f.served(begin, time.Now(), others)
				So(served, ShouldEqual, tried)
				// A second after the cut all is as before.
				served, tried = f.served(healed.Add(time.Second), time.Now(), func(int) bool { return true })
				So(served, ShouldEqual, tried)
				f.checkOnce()
			})
		}
	}
}

// TestServiceGoneNotForwarded guards against requests of a service whose servers are gone that all go from one entry
// VM to another, and against harm to another service.
func TestServiceGoneNotForwarded(t *testing.T) {
	const (
		seconds, perSecond = 6, 25 // a fifth of them streams
		most               = 5     // hand-overs a second of an entry VM
	)
	for _, entries := range []int{7, 30} {
		inWorld(t, fmt.Sprintf("all engines have crashed, %d entry VMs", entries), func(w *world) {
			f := newCutOffTest(w, cutKinds[0], entries)
			for _, s := range f.servers {
				if s.Engine {
					w.net.Crash(memnet.Host(strings.TrimSuffix(s.Address, ":80")))
				}
			}
			f.play(seconds*time.Second, perSecond)
			f.wg.Wait()
			for _, t := range f.tries {
				SoMsg(t.id, t.served, ShouldEqual, t.path != "/brief/1")
			}
			handed := 0
			for _, v := range f.entries {
				handed += strings.Count(v.log.String(), "handed to another entry VM")
			}
			So(handed, ShouldBeLessThan, entries*seconds*most)
		})
	}
}
