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
	"quetzalhold/names"
	"quetzalhold/platform/platformtest"
)

// The bounds on requests with a part that crashes engines.
const (
	contactBound     = 4 * time.Second
	crashesTolerated = 5 // crashes after which contactBound begins
	maxSentAfter     = 3 // requests sent to engines later than that
	restartDelay     = 3 * time.Second
	crashPart        = "c0ffee"
)

// crashTest is a fleet of engines that crash under one part of a prompt.
type crashTest struct {
	*world
	fault   platformtest.Fault
	deep    int // parts that all prompts share before the others
	engines []*platformtest.Server
	vms     []*vm

	mu      sync.Mutex
	crashes []time.Time
	sound   []time.Time // when sound requests were sent that got their whole answer
	failed  []time.Time // the same for the others
	blocked []string    // answers to sound requests with a blocked part
	wg      sync.WaitGroup
}

// partFaults are the ways in which engines crash under the part.
var partFaults = []struct {
	name  string
	fault platformtest.Fault
}{
	{"within the first event", platformtest.Fault{CrashPart: crashPart}},
	{"before the head", platformtest.Fault{CrashPart: crashPart, CrashEarly: true}},
	{"after the head", platformtest.Fault{CrashPart: crashPart, CrashEarly: true, EarlyHead: true}},
}

func newCrashTest(w *world, f platformtest.Fault) *crashTest {
	c := &crashTest{world: w, fault: f}
	for i := range 18 {
		c.addEngine(i, string(domainOf(i)))
	}
	for i := range 4 {
		c.vms = append(c.vms, w.vm(fmt.Sprintf("vm-%d", i), domainOf(i), 10+i))
	}
	time.Sleep(3 * time.Second)
	return c
}

func domainOf(i int) names.ID { return []names.ID{"cn-a", "wv-a"}[i%2] }

func (c *crashTest) addEngine(i int, domain string) {
	e := c.server(fmt.Sprintf("e%d", i), "models", domain, 20+i)
	e.SetFault(c.fault)
	e.Crashed = func() {
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		c.mu.Unlock()
		c.wg.Go(func() {
			time.Sleep(restartDelay)
			e.Restart(time.Now().UnixMilli())
			c.store.Put("servers", e.ID, e.Entry("ready"))
		})
	}
	c.engines = append(c.engines, e)
}

// play sends requests of which each fifth has the part that crashes engines. No two are alike;
// they come to all entry VMs.
func (c *crashTest) play(d time.Duration, from int) {
	end := time.Now().Add(d)
	for i := from; time.Now().Before(end); i++ {
		c.wg.Go(func() { c.request(i, c.vms[i%len(c.vms)], i%5 == 0) })
		time.Sleep(110 * time.Millisecond)
	}
}

func (c *crashTest) request(i int, v *vm, crashing bool) { c.requestLong(i, v, crashing, 1000) }

// requestLong sends a request whose own part has so many tokens.
func (c *crashTest) requestLong(i int, v *vm, crashing bool, tokens int) {
	shared := fmt.Sprintf("first:200,s%d:100", i%7)
	for n := range c.deep {
		shared += fmt.Sprintf(",turn%d:2", n)
	}
	if crashing {
		shared += "," + crashPart + ":300"
	}
	at := time.Now()
	id := fmt.Sprintf("p%d", i)
	a := c.sendBody(c.transport(), v, "/brief/1", "key-1", id, "the prompt of "+id, http.Header{
		"X-Token-Count": {fmt.Sprintf("%d,50", 600+tokens)}, "X-Prompt-Prefix": {fmt.Sprintf("%s,own%d:%d", shared, i, tokens)}, "X-Deadline-Ms": {"25000"},
	})
	if crashing {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.status == http.StatusOK && a.err == nil {
		c.sound = append(c.sound, at)
	} else {
		c.failed = append(c.failed, at)
	}
	if strings.Contains(a.body, " crashed ") && !strings.Contains(a.body, "request:") {
		c.blocked = append(c.blocked, a.body)
	}
}

// sentAfterBound returns how many requests with the part reached engines later than contactBound
// after the fifth crash.
func (c *crashTest) sentAfterBound() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < crashesTolerated {
		return 0
	}
	return c.sentSince(c.crashes[crashesTolerated-1].Add(contactBound))
}

func (c *crashTest) sentSince(at time.Time) int {
	n := 0
	for _, e := range c.engines {
		for _, t := range e.Asked(crashPart) {
			if t.After(at) {
				n++
			}
		}
	}
	return n
}

// soundSince returns how many sound requests sent from an instant on were answered, and how many
// were not.
func (c *crashTest) soundSince(at time.Time) (answered, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	after := func(t time.Time) bool { return !t.Before(at) }
	return len(slices.DeleteFunc(slices.Clone(c.sound), func(t time.Time) bool { return !after(t) })),
		len(slices.DeleteFunc(slices.Clone(c.failed), func(t time.Time) bool { return !after(t) }))
}

// checkBlocked plays requests with the part, and checks that it is blocked in time and sound requests are served.
func (c *crashTest) checkBlocked() {
	begin := time.Now()
	c.play(25*time.Second, 0)
	c.wg.Wait()
	So(len(c.crashes), ShouldBeGreaterThanOrEqualTo, 1)
	So(c.sentAfterBound(), ShouldBeLessThanOrEqualTo, maxSentAfter)
	answered, failed := c.soundSince(begin.Add(12 * time.Second))
	So(answered, ShouldBeGreaterThan, 80)
	So(failed, ShouldEqual, 0)
}

// TestPromptPartCrashesEngines guards against requests with one part in their prompts that crash
// one engine after the other, however far the answer has come.
func TestPromptPartCrashesEngines(t *testing.T) {
	for _, x := range partFaults {
		inWorld(t, x.name, func(w *world) { newCrashTest(w, x.fault).checkBlocked() })
		inWorld(t, x.name+", rarely", func(w *world) {
			c := newCrashTest(w, x.fault)
			for i := range 12 {
				c.wg.Go(func() { c.request(i, c.vms[i%len(c.vms)], true) })
				time.Sleep(6 * time.Second)
			}
			c.wg.Wait()
			So(len(c.crashes), ShouldBeGreaterThanOrEqualTo, crashesTolerated)
			So(c.sentAfterBound(), ShouldBeLessThanOrEqualTo, maxSentAfter)
		})
	}
	for _, deep := range []int{31, 60, 400} {
		for _, x := range partFaults {
			inWorld(t, fmt.Sprintf("%s, after %d parts", x.name, deep), func(w *world) {
				c := newCrashTest(w, x.fault)
				c.deep = deep
				c.checkBlocked()
			})
		}
	}
	inWorld(t, "entry VMs that start know the part from the store", func(w *world) {
		c := newCrashTest(w, partFaults[0].fault)
		c.play(15*time.Second, 0)
		c.wg.Wait()
		w.replaceVMs()
		time.Sleep(contactBound)
		since := time.Now()
		c.play(15*time.Second, 1000)
		c.wg.Wait()
		So(c.sentSince(since), ShouldBeLessThanOrEqualTo, maxSentAfter)
		answered, failed := c.soundSince(since)
		So(answered, ShouldBeGreaterThan, 80)
		So(failed, ShouldEqual, 0)
	})
}

// TestLossesBlockParts guards against parts of prompts that are blocked because engines were lost for other
// reasons, again and again, under requests that share them.
func TestLossesBlockParts(t *testing.T) {
	for _, early := range []bool{false, true} {
		for _, x := range []struct {
			name  string
			every time.Duration
			lost  func(i int) []int // the engines of a loss
		}{
			{"a failure domain", 6 * time.Second, func(i int) []int {
				var list []int
				for n := range 9 {
					list = append(list, 2*n+i%2)
				}
				return list
			}},
			{"one after the other", 400 * time.Millisecond, func(i int) []int { return []int{i * 7 % 18} }},
			{"all", 10 * time.Second, func(int) []int {
				var list []int
				for n := range 18 {
					list = append(list, n)
				}
				return list
			}},
		} {
			inWorld(t, fmt.Sprintf("%s, head at once %v", x.name, early), func(w *world) {
				c := newCrashTest(w, platformtest.Fault{EarlyHead: early})
				for i := len(c.vms); i < 16; i++ { // each sees few requests
					c.vms = append(c.vms, w.vm(fmt.Sprintf("vm-%d", i), domainOf(i), 40+i))
				}
				time.Sleep(time.Second)
				end := time.Now().Add(30 * time.Second)
				c.wg.Go(func() {
					for i := 0; time.Now().Before(end); i++ {
						for _, n := range x.lost(i) {
							c.lose(c.engines[n])
						}
						time.Sleep(x.every)
					}
				})
				for i := 1; time.Now().Before(end); i++ {
					c.wg.Go(func() { c.requestLong(i, c.vms[i%len(c.vms)], false, 8000) })
					time.Sleep(110 * time.Millisecond)
				}
				c.wg.Wait()
				So(len(c.sound), ShouldBeGreaterThan, 80)
				So(c.blocked, ShouldBeEmpty)
			})
		}
	}
}

// lose ends an engine. It starts again some seconds later.
func (c *crashTest) lose(e *platformtest.Server) {
	host := memnet.Host(e.Address[:len(e.Address)-len(":80")])
	e.Stop("")
	c.net.Crash(host)
	c.wg.Go(func() {
		time.Sleep(restartDelay)
		e.Restart(time.Now().UnixMilli())
		c.mu.Lock()
		c.serve(e.Address, e)
		c.mu.Unlock()
		c.store.Put("servers", e.ID, e.Entry("ready"))
	})
}
