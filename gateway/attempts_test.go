package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/memnet"
	"quetzalhold/platform/platformtest"
)

// attemptLimits are the attempts that the routes of the test configuration permit.
var attemptLimits = map[string]int{"/book/1": 1, "/status/1": 3, "/brief/1": 5}

// attemptsTest is a fleet with more servers of each service than a request may run on.
type attemptsTest struct{ *cutOffTest }

func newAttemptsTest(w *world, kind cutKind) attemptsTest {
	c := newCutOffTest(w, kind, 7)
	for i := 3; i < 9; i++ {
		c.servers = append(c.servers, w.server(fmt.Sprintf("a-%d", i), "app", string(domainOf(i)), 50+i))
	}
	for _, s := range c.servers {
		s.Crashed = func() {
			time.AfterFunc(2*time.Second, func() { s.Restart(s.Born + 1) })
		}
	}
	time.Sleep(2 * time.Second)
	return attemptsTest{c}
}

// playFaulty lets all servers fail, and sends requests with a path to some entry VMs in turn.
func (c attemptsTest) playFaulty(f platformtest.Fault, path string, entries []int) {
	for _, s := range c.servers {
		s.SetFault(f)
	}
	for i := range 30 {
		c.wg.Go(func() { c.try(entries[i%len(entries)], path, fmt.Sprintf("faulty-%d", i)) })
		time.Sleep(100 * time.Millisecond)
	}
	c.wg.Wait()
}

// exceeded returns the requests that ran on more servers than their route permits.
func (c attemptsTest) exceeded() []string {
	var list []string
	for _, t := range c.tries {
		servers := make(map[string]struct{})
		for _, r := range c.book.Runs(t.id) {
			servers[r.Server] = struct{}{}
		}
		if n := len(servers); n > attemptLimits[t.path] {
			list = append(list, fmt.Sprintf("%s %s: %d servers", t.path, t.id, n))
		}
	}
	return list
}

// TestAttemptsExceedRoute guards against requests that run on more servers than their route permits
// because each entry VM with a hand in them counts by itself.
func TestAttemptsExceedRoute(t *testing.T) {
	failed := http.StatusInternalServerError
	for i, f := range []struct {
		name, path string
		fault      platformtest.Fault
	}{
		{"servers fail", "/status/1", platformtest.Fault{Status: failed}},
		{"servers fail late", "/status/1", platformtest.Fault{Status: failed, Delay: 150 * time.Millisecond}},
		{"servers answer late", "/status/1", platformtest.Fault{Delay: 600 * time.Millisecond}},
		{"answers are lost", "/status/1", platformtest.Fault{DropConnection: true}},
		{"answers are cut", "/status/1", platformtest.Fault{Truncate: true}},
		{"servers with a limit fail", "/status/1", platformtest.Fault{Status: failed, Limit: "20"}},
		{"brittle servers fail", "/status/1", platformtest.Fault{Status: failed, Brittle: 9, Room: 2}},
		{"servers crash", "/status/1", platformtest.Fault{CrashBody: "body"}},
		{"bookings fail", "/book/1", platformtest.Fault{Status: failed}},
		{"answers to bookings are lost", "/book/1", platformtest.Fault{DropConnection: true}},
		{"streams fail", "/brief/1", platformtest.Fault{Status: failed}},
		{"streams break off before an event", "/brief/1", platformtest.Fault{EndBefore: 1}},
		{"streams break off within an event", "/brief/1", platformtest.Fault{TruncateEvent: 1}},
		{"streams break off late", "/brief/1", platformtest.Fault{EndBefore: 5}},
		{"streams fall silent", "/brief/1", platformtest.Fault{SilentAfter: 3}},
		{"engines crash", "/brief/1", platformtest.Fault{CrashBody: "body"}},
	} {
		kind := cutKinds[i%len(cutKinds)]
		inWorld(t, f.name+", "+kind.name, func(w *world) {
			c := newAttemptsTest(w, kind)
			cut := []int{0, 2, 3, 4}
			c.cut(cut...)
			c.play(time.Second, 5) // they find out that they are cut off
			c.playFaulty(f.fault, f.path, cut)
			So(c.exceeded(), ShouldBeEmpty)
		})
		inWorld(t, fmt.Sprintf("%s, %s and come back", f.name, kind.name), func(w *world) {
			c := newAttemptsTest(w, kind)
			c.wg.Go(func() {
				for range 3 {
					c.cut(0, 1, 2)
					time.Sleep(900 * time.Millisecond)
					c.heal(0, 1, 2)
					time.Sleep(300 * time.Millisecond)
				}
			})
			c.playFaulty(f.fault, f.path, []int{0, 1, 2})
			So(c.exceeded(), ShouldBeEmpty)
		})
		inWorld(t, f.name, func(w *world) {
			c := newAttemptsTest(w, kind)
			c.playFaulty(f.fault, f.path, []int{0, 1, 2, 3, 4, 5, 6})
			So(c.exceeded(), ShouldBeEmpty)
		})
	}
}

// TestLostHelpersKeepAttempts guards against a stream that ends early as the attempts of its route are lent to entry VMs
// that have not used them, and whose connections were lost.
func TestLostHelpersKeepAttempts(t *testing.T) {
	inWorld(t, "the connection to the helping entry VM is reset three times", func(w *world) {
		f := newCutOffTest(w, cutKinds[0], 7)
		f.cut(0)
		f.play(2*time.Second, 5)
		var a answer
		var want string
		f.wg.Go(func() { a, want = f.longStream(0, "long") })
		for range 3 {
			time.Sleep(500 * time.Millisecond)
			for i := 1; i < len(f.entries); i++ {
				w.net.Reset(memnet.Host(f.entries[0].host), memnet.Host(f.entries[i].host))
			}
		}
		f.wg.Wait()
		So(a.err, ShouldBeNil)
		So(a.body, ShouldEqual, want)
		servers := make(map[string]bool)
		for _, r := range w.book.Runs("long") {
			servers[r.Server] = true
		}
		So(len(servers), ShouldBeLessThanOrEqualTo, attemptLimits["/brief/1"])
	})
}
