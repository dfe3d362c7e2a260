package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/memnet"
	"quetzalhold/platform/platformtest"
)

const (
	// crashesAllowed is the number of crashes after which contactBound begins.
	crashesAllowed = 3
	crashBody      = "the request that crashes servers"
	soundInterval  = 120 * time.Millisecond
)

// requestKind is a kind of request that crashes servers.
type requestKind struct {
	name, path string
	headers    http.Header
}

var requestKinds = []requestKind{
	{"a stream", "/brief/1", http.Header{"X-Token-Count": {"1600,50"}, "X-Prompt-Prefix": {"own:1600"}}},
	{"a stream with shared parts", "/brief/1", http.Header{"X-Token-Count": {"1600,50"}, "X-Prompt-Prefix": {"first:200,second:400,own:1000"}}},
	{"a stream without a prompt", "/brief/1", http.Header{"X-Token-Count": {"1600,50"}}},
	{"an idempotent call", "/status/1", nil},
	{"a call that may not be repeated", "/book/1", nil},
}

// crashingTest is a fleet of servers that crash when they run one request.
type crashingTest struct {
	*world
	kind    requestKind
	servers []*platformtest.Server
	entries []*vm

	mu       sync.Mutex
	crashes  []time.Time
	sound    []soundCall
	crashing []soundCall // the requests that crash servers, which may have stopped doing so
	wg       sync.WaitGroup
}

// soundCall is a sound request and how it ended.
type soundCall struct {
	at       time.Time
	answered bool
}

func newCrashingTest(w *world, kind requestKind) *crashingTest {
	c := &crashingTest{world: w, kind: kind}
	for i := range 14 {
		for j, service := range []string{"app", "models"} {
			s := c.server(fmt.Sprintf("%s-%d", service, i), service, string(domainOf(i)), 20+2*i+j)
			s.SetFault(platformtest.Fault{CrashBody: crashBody})
			s.Crashed = func() { c.crashed(s) }
			c.servers = append(c.servers, s)
		}
	}
	c.store.Remove("servers", c.app.ID)
	for i := range 4 {
		c.entries = append(c.entries, w.vm(fmt.Sprintf("vm-%d", i), domainOf(i), 10+i))
	}
	time.Sleep(3 * time.Second)
	return c
}

// crashed resets a server's connections. It starts again some seconds later.
func (c *crashingTest) crashed(s *platformtest.Server) {
	c.mu.Lock()
	c.crashes = append(c.crashes, time.Now())
	c.mu.Unlock()
	c.stopServer(s)
	c.wg.Go(func() {
		time.Sleep(restartDelay)
		c.startServer(s)
	})
}

func (c *crashingTest) stopServer(s *platformtest.Server) {
	s.Stop("")
	c.net.Crash(memnet.Host(s.Address[:len(s.Address)-len(":80")]))
}

func (c *crashingTest) startServer(s *platformtest.Server) {
	s.Restart(time.Now().UnixMilli())
	c.mu.Lock()
	c.serve(s.Address, s)
	c.mu.Unlock()
	c.store.Put("servers", s.ID, s.Entry("ready"))
}

// playCrashing sends the request that crashes servers at an interval, to one entry VM after the
// other.
func (c *crashingTest) playCrashing(d, interval time.Duration) {
	c.each(d, interval, func(i int) {
		at := time.Now()
		a := c.sendBody(c.transport(), c.entries[i%len(c.entries)], c.kind.path, "key-1", fmt.Sprintf("crashing-%d-%d", at.UnixNano(), i), crashBody, c.headers())
		c.mu.Lock()
		defer c.mu.Unlock()
		c.crashing = append(c.crashing, soundCall{at: at, answered: a.err == nil && a.status == http.StatusOK})
	})
}

// playSound sends sound requests that have all but the body in common with the one that crashes
// servers.
func (c *crashingTest) playSound(d time.Duration) {
	c.each(d, soundInterval, func(i int) {
		id := fmt.Sprintf("sound-%d-%d", time.Now().UnixNano(), i)
		at := time.Now()
		a := c.sendBody(c.transport(), c.entries[i%len(c.entries)], c.kind.path, "key-1", id, id, c.headers())
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sound = append(c.sound, soundCall{at: at, answered: a.err == nil && a.status == http.StatusOK})
	})
}

// each calls f at an interval for a time, without waiting for it.
func (c *crashingTest) each(d, interval time.Duration, f func(i int)) {
	end := time.Now().Add(d)
	c.wg.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			c.wg.Go(func() { f(i) })
			time.Sleep(interval)
		}
	})
}

func (c *crashingTest) headers() http.Header {
	h := c.kind.headers.Clone()
	if h == nil {
		h = make(http.Header)
	}
	h.Set("X-Deadline-Ms", "25000")
	return h
}

// boundStart returns when no more than maxSentAfter requests may follow.
func (c *crashingTest) boundStart() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	sortTimes(c.crashes)
	return c.crashes[crashesAllowed-1].Add(contactBound)
}

// sentSince returns how often the request reached servers from an instant on.
func (c *crashingTest) sentSince(at time.Time) int {
	n := 0
	for _, s := range c.servers {
		n += len(slices.DeleteFunc(s.AskedWith(crashBody), at.After))
	}
	return n
}

// unanswered returns how many sound requests were sent since an instant, and how many of them
// got no answer.
func (c *crashingTest) unanswered(since time.Time) (sent, lost int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sound {
		if s.at.Before(since) {
			continue
		}
		sent++
		if !s.answered {
			lost++
		}
	}
	return sent, lost
}

// TestRequestCrashesServers guards against one request that crashes one server after the other.
func TestRequestCrashesServers(t *testing.T) {
	for _, kind := range requestKinds {
		inWorld(t, kind.name, func(w *world) {
			c := newCrashingTest(w, kind)
			c.playCrashing(40*time.Second, 500*time.Millisecond)
			c.playSound(40 * time.Second)
			c.wg.Wait()
			from := c.boundStart()
			So(c.sentSince(from), ShouldBeLessThanOrEqualTo, maxSentAfter)
			// Each request that crashes a server may take a sound one with it.
			sent, lost := c.unanswered(from)
			So(sent, ShouldBeGreaterThan, 200)
			So(lost, ShouldBeLessThanOrEqualTo, maxSentAfter)
		})
		inWorld(t, kind.name+", at long intervals", func(w *world) {
			c := newCrashingTest(w, kind)
			c.playCrashing(100*time.Second, 7*time.Second)
			c.wg.Wait()
			So(c.sentSince(c.boundStart()), ShouldBeLessThanOrEqualTo, maxSentAfter)
		})
	}
	inWorld(t, "entry VMs that start later know it from the store", func(w *world) {
		c := newCrashingTest(w, requestKinds[3])
		c.playCrashing(15*time.Second, 500*time.Millisecond)
		c.wg.Wait()
		from := c.boundStart()
		w.replaceVMs()
		time.Sleep(contactBound)
		c.playCrashing(40*time.Second, 500*time.Millisecond)
		c.wg.Wait()
		So(c.sentSince(from), ShouldBeLessThanOrEqualTo, maxSentAfter)
	})
}

// TestSoundRequestStaysBlocked guards against a block that nothing ends although the servers crashed
// for another reason, or have been mended.
func TestSoundRequestStaysBlocked(t *testing.T) {
	const (
		mendedAfter = 4 * time.Second
		backWithin  = 8 * time.Second
	)
	mend := func(c *crashingTest) time.Time {
		for _, s := range c.servers {
			s.SetFault(platformtest.Fault{})
		}
		return time.Now()
	}
	check := func(c *crashingTest, mended time.Time) {
		c.wg.Wait()
		So(len(c.crashes), ShouldBeGreaterThanOrEqualTo, crashesAllowed)
		sent, lost := 0, 0
		for _, r := range c.crashing {
			if r.at.After(mended.Add(backWithin)) {
				sent++
				if !r.answered {
					lost++
				}
			}
		}
		So(sent, ShouldBeGreaterThan, 40)
		So(lost, ShouldEqual, 0)
	}
	for _, kind := range requestKinds {
		inWorld(t, kind.name, func(w *world) {
			c := newCrashingTest(w, kind)
			c.playCrashing(40*time.Second, 500*time.Millisecond)
			time.Sleep(mendedAfter)
			check(c, mend(c))
		})
		inWorld(t, kind.name+", through entry VMs that are cut off from all servers", func(w *world) {
			c := newCrashingTest(w, kind)
			c.playCrashing(2*time.Second, 500*time.Millisecond)
			c.wg.Wait()
			mended := mend(c)
			c.entries = c.entries[:3]
			for _, v := range c.entries {
				for _, s := range c.servers {
					w.net.Refuse(memnet.Host(v.host), memnet.Host(s.Address[:len(s.Address)-len(":80")]))
				}
			}
			c.playSound(time.Second) // they find out that they are cut off
			time.Sleep(time.Second)
			c.playCrashing(40*time.Second, 500*time.Millisecond)
			check(c, mended)
		})
	}
}

// TestCrashesAfterDrill guards against requests that crash servers and reach them again after the store was restored from an older copy
// for the first time: its era was 0 before.
func TestCrashesAfterDrill(t *testing.T) {
	for _, kind := range requestKinds[3:] {
		inWorld(t, kind.name, func(w *world) {
			c := newCrashingTest(w, kind)
			before := w.store.Copy()
			c.playCrashing(3*time.Second, 400*time.Millisecond)
			c.wg.Wait()
			from := c.boundStart()
			time.Sleep(2 * time.Second)
			w.restore(before)
			w.configure(w.version, "key-1")
			for _, s := range c.servers {
				w.heartbeat(s, "ready")
			}
			if back := time.Now().Add(contactBound); back.After(from) {
				from = back
			}
			time.Sleep(time.Until(from))
			c.playCrashing(12*time.Second, 400*time.Millisecond)
			c.wg.Wait()
			So(c.sentSince(from), ShouldBeLessThanOrEqualTo, maxSentAfter)
		})
	}
}

// TestCrashesUnheard guards against requests that crash servers and reach more of them through failure domains that do not hear of it,
// as all channels to the store have gone silent.
func TestCrashesUnheard(t *testing.T) {
	for _, after := range []time.Duration{0, 2 * time.Second, 4 * time.Second, 6 * time.Second, 8 * time.Second} {
		inWorld(t, fmt.Sprintf("silent %v after the start", after), func(w *world) {
			c := newCrashingTest(w, requestKinds[4])
			time.Sleep(after)
			for _, v := range c.entries {
				w.net.Blackhole(memnet.Host(v.host), storeHost)
			}
			time.Sleep(2200 * time.Millisecond)
			all := c.entries
			c.entries = []*vm{all[0], all[2]}
			c.playCrashing(time.Second, 200*time.Millisecond)
			c.wg.Wait()
			from := c.boundStart()
			time.Sleep(time.Until(from))
			c.entries = []*vm{all[1], all[3]}
			c.playCrashing(6*time.Second, 200*time.Millisecond)
			c.wg.Wait()
			So(c.sentSince(from), ShouldBeLessThanOrEqualTo, maxSentAfter)
		})
	}
}
