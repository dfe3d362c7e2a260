package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/memnet"
	"quetzalhold/platform/platformtest"
)

// brittleCase is a service whose servers fall over if they refuse too much.
type brittleCase struct {
	name             string
	entries, servers int
	path             string
	perSecond        int
	work             time.Duration
	room, refusals   int // of each server: requests at a time, and refusals a second
	minAnswered      float64
	rise             time.Duration // in which the load rises; 0 for a sudden one
}

// TestBrittleServersFall guards against servers that fall over because entry VMs send on what has to
// be refused.
func TestBrittleServersFall(t *testing.T) {
	testBrittle(t, []brittleCase{
		{"within what they take", 7, 3, "/book/1", 70, 15 * time.Millisecond, 8, 5, 0.99, 0},
		{"twice what they take", 7, 3, "/book/1", 600, 60 * time.Millisecond, 8, 10, 0.25, 0},
		{"twice what they take, calls that may be repeated", 7, 3, "/status/1", 600, 60 * time.Millisecond, 8, 10, 0.25, 0},
		{"less room than slots", 7, 3, "/book/1", 300, 60 * time.Millisecond, 4, 8, 0.25, 0},
		{"many entry VMs, a load that rises", 60, 4, "/book/1", 700, 60 * time.Millisecond, 6, 10, 0.2, 4 * time.Second},
		{"many entry VMs within what they take", 60, 4, "/book/1", 200, 30 * time.Millisecond, 6, 10, 0.99, 0},
	})
}

// TestBrittleServersFallAtOnce guards against the same where a load comes so suddenly that all entry VMs
// fill the servers at the same moment.
func TestBrittleServersFallAtOnce(t *testing.T) {
	testBrittle(t, []brittleCase{
		{"many entry VMs", 60, 4, "/book/1", 700, 60 * time.Millisecond, 6, 10, 0.2, 0},
	})
}

// testBrittle checks that no more than two and a tenth of the servers fall.
func testBrittle(t *testing.T, cases []brittleCase) {
	for _, c := range cases {
		inWorld(t, c.name, func(w *world) {
			l := newLimitTest(w, c.entries, c.servers, "app")
			var mu sync.Mutex
			falls := 0
			for _, s := range l.servers {
				s.Work = c.work
				s.SetFault(platformtest.Fault{Brittle: c.refusals})
				s.Crashed = func() {
					mu.Lock()
					falls++
					mu.Unlock()
					s.Stop("")
					w.net.Crash(memnet.Host(strings.TrimSuffix(s.Address, ":80")))
					l.wg.Go(func() {
						time.Sleep(restartDelay)
						s.Restart(time.Now().UnixMilli())
						mu.Lock()
						w.serve(s.Address, s)
						mu.Unlock()
						w.store.Put("servers", s.ID, s.Entry("ready"))
					})
				}
			}
			l.play(4*time.Second, 40, c.path, nil)
			for _, s := range l.servers {
				s.SetFault(platformtest.Fault{Brittle: c.refusals, Room: c.room})
			}
			l.wg.Wait()
			l.calls, l.answered = 0, 0
			const steps = 8
			for i := range steps {
				if c.rise > 0 {
					l.play(c.rise/steps, c.perSecond*(i+1)/steps, c.path, nil)
				}
			}
			l.play(12*time.Second, c.perSecond, c.path, nil)
			l.wg.Wait()
			what := fmt.Sprintf("%d falls, %d of %d calls answered", falls, l.answered, l.calls)
			SoMsg(what, falls, ShouldBeLessThanOrEqualTo, 2+c.servers/10)
			SoMsg(what, float64(l.answered)/float64(l.calls), ShouldBeGreaterThan, c.minAnswered)
		})
	}
}
