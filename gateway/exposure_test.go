package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/platform/platformtest"
)

// exposureTest is a fleet that gets bookings and status calls, and an order to move them to a bad version.
type exposureTest struct {
	*moveWorld
	mu         sync.Mutex // guards random
	random     *rand.Rand
	oldServers []*platformtest.Server
}

// Parameters of the moves of an exposureTest.
const (
	shortMove   = 12 * time.Second
	bookRate    = 51 // calls a second
	statusRate  = 20
	oldFailing  = 0.14 // part of the old version's status calls that fail
	statusPath  = "/status/1"
	beforeOrder = 15 * time.Second
)

func newExposureTest(w *world, seed uint64, entries int) *exposureTest {
	w.badSlack = badSlack
	x := &exposureTest{moveWorld: &moveWorld{world: w, statuses: make(map[int]int)}, random: rand.New(rand.NewPCG(seed, 1))}
	w.store.Remove("servers", w.app.ID)
	for i := range 3 {
		x.oldServers = append(x.oldServers, x.addServer(fmt.Sprintf("old%d", i), "v1", 20+i, oldFailing))
	}
	for i := range entries {
		w.vm(fmt.Sprintf("e%d", i), domainOf(i), 1+i)
	}
	time.Sleep(3 * time.Second)
	return x
}

// addServer starts a server that fails a part of its status calls.
func (x *exposureTest) addServer(id, version string, n int, failing float64) *platformtest.Server {
	s := x.server(id, "app", string(domainOf(n)), n)
	s.Version, s.Work = version, 15*time.Millisecond
	s.SetFault(platformtest.Fault{FailsCall: func(path string) bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		return path == statusPath && x.random.Float64() < failing
	}})
	x.store.Put("servers", s.ID, s.Entry("ready"))
	return s
}

// play sends calls at a rate to random entry VMs for d.
func (x *exposureTest) play(wg *sync.WaitGroup, d time.Duration, path string, rate int) {
	begun := time.Now()
	for n := 0; time.Since(begun) < d; n++ {
		x.mu.Lock()
		v := x.vms[x.random.IntN(len(x.vms))]
		x.mu.Unlock()
		wg.Go(func() {
			x.send(x.transport(), v, path, "key-1", fmt.Sprintf("%s-%d-%d", path, begun.UnixNano(), n), nil)
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
}

// order orders a move to a version that fails a part of its status calls.
func (x *exposureTest) order(failing float64) time.Time {
	x.store.Put("rollouts", "app", map[string]any{"service": "app", "target": "v2", "duration_s": shortMove.Seconds()})
	for i := range 3 {
		x.newServers = append(x.newServers, x.addServer(fmt.Sprintf("new%d", i), "v2", 30+i, failing))
	}
	return time.Now()
}

// TestRetriesExceedExposure guards against a bad version that gets more requests than it may, as those that are
// sent again after a failure are not counted.
func TestRetriesExceedExposure(t *testing.T) {
	for seed := range uint64(4) {
		inWorld(t, fmt.Sprintf("A version that fails three in ten of one route's calls keeps to its bound, seed %d", seed), func(w *world) {
			newExposureTest(w, seed, 7).move(t, 0.3, func(time.Time) {})
		})
	}
}

// TestRestartsExceedExposure guards against entry VMs that start during a move and use the slack once more.
func TestRestartsExceedExposure(t *testing.T) {
	for seed := range uint64(2) {
		inWorld(t, fmt.Sprintf("A bad version keeps to its bound as entry VMs restart, seed %d", seed), func(w *world) {
			x := newExposureTest(w, seed, 7)
			x.move(t, 0.25, func(order time.Time) {
				for n := 0; time.Since(order) < shortMove-3*time.Second; n++ {
					time.Sleep(400 * time.Millisecond)
					v := x.vms[n%len(x.vms)]
					v.stop()
					<-v.done
					x.run(v)
				}
			})
		})
	}
}

// move plays a move to a version that fails a part of its status calls, and checks how many requests it gets.
func (x *exposureTest) move(t *testing.T, failing float64, during func(order time.Time)) {
	var wg sync.WaitGroup
	wg.Go(func() { x.play(&wg, beforeOrder+shortMove, "/book/1", bookRate) })
	wg.Go(func() { x.play(&wg, beforeOrder+shortMove, statusPath, statusRate) })
	time.Sleep(beforeOrder)
	at := x.order(failing)
	wg.Go(func() { during(at) })
	end := x.awaitEnd(at.Add(shortMove))
	wg.Wait()
	all, bad := x.arrivals(at, end)
	state, _ := x.state()
	t.Logf("%d of %d requests, %s", bad, all, state)
	So(bad, ShouldBeLessThanOrEqualTo, int(badShare*float64(all))+badSlack)
}

// awaitEnd returns when the move ended; it is not later than by.
func (x *exposureTest) awaitEnd(by time.Time) time.Time {
	for time.Now().Before(by) {
		if state, _ := x.state(); state == "completed" || state == "rolled_back" {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Now()
}

// arrivals returns how many requests reached servers within shortMove of an order, and how many of them the new
// version before the move ended.
func (x *exposureTest) arrivals(order, end time.Time) (all, bad int) {
	for _, s := range append(x.oldServers, x.newServers...) {
		for _, at := range x.book.StartTimes(s.ID) {
			if at.Before(order) || at.After(order.Add(shortMove)) {
				continue
			}
			all++
			if s.Version == "v2" && at.Before(end) {
				bad++
			}
		}
	}
	return all, bad
}
