package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

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
	engines []*platformtest.Server
	vms     []*vm

	mu      sync.Mutex
	crashes []time.Time
	sound   []time.Time // when sound requests were sent that got their whole answer
	failed  []time.Time // the same for the others
	wg      sync.WaitGroup
}

func newCrashTest(w *world) *crashTest {
	c := &crashTest{world: w}
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
	e.SetFault(platformtest.Fault{CrashPart: crashPart})
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

func (c *crashTest) request(i int, v *vm, crashing bool) {
	shared := fmt.Sprintf("first:200,s%d:100", i%7)
	if crashing {
		shared += "," + crashPart + ":300"
	}
	at := time.Now()
	id := fmt.Sprintf("p%d", i)
	a := c.sendBody(c.transport(), v, "/brief/1", "key-1", id, "the prompt of "+id, http.Header{
		"X-Token-Count": {"1600,50"}, "X-Prompt-Prefix": {fmt.Sprintf("%s,own%d:1000", shared, i)}, "X-Deadline-Ms": {"25000"},
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

// TestPromptPartCrashesEngines guards against requests with one part in their prompts that crash
// one engine after the other.
func TestPromptPartCrashesEngines(t *testing.T) {
	inWorld(t, "all entry VMs stop sending requests with the part, and serve the others", func(w *world) {
		c := newCrashTest(w)
		begin := time.Now()
		c.play(25*time.Second, 0)
		c.wg.Wait()
		So(len(c.crashes), ShouldBeGreaterThanOrEqualTo, 1)
		So(c.sentAfterBound(), ShouldBeLessThanOrEqualTo, maxSentAfter)
		answered, failed := c.soundSince(begin.Add(12 * time.Second))
		So(answered, ShouldBeGreaterThan, 80)
		So(failed, ShouldEqual, 0)
	})
	inWorld(t, "entry VMs that start know the part from the store", func(w *world) {
		c := newCrashTest(w)
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
