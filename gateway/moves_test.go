package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/memnet"
	"quetzalhold/platform/platformtest"
)

// Parameters of the moves in the tests: the service gets 40 requests a second.
const (
	moveLength    = 40 * time.Second
	moveRate      = 40
	badShare      = 0.1
	badSlack      = 50
	rollbackBound = 5 * time.Second
	badThreshold  = 50 // after this many bad answers a version gets no more requests within rollbackBound
)

// moveWorld has entry VMs of two failure domains, and three servers of each version.
type moveWorld struct {
	*world
	newServers []*platformtest.Server

	mu       sync.Mutex
	statuses map[int]int
}

func newMoveWorld(w *world) *moveWorld {
	m := &moveWorld{world: w, statuses: make(map[int]int)}
	w.app.Work = 20 * time.Millisecond
	for i := range 2 {
		w.server(fmt.Sprintf("old%d", i), "app", "cn-a", 20+i)
	}
	for i := range 3 {
		s := w.server(fmt.Sprintf("new%d", i), "app", "wv-a", 30+i)
		s.Version = "v2"
		w.store.Put("servers", s.ID, s.Entry("ready"))
		m.newServers = append(m.newServers, s)
	}
	for i, domain := range []string{"cn-a", "cn-a", "wv-a"} {
		w.vm(fmt.Sprintf("e%d", i), namesID(domain), 1+i)
	}
	time.Sleep(3 * time.Second)
	return m
}

// orderMove writes the operator's order to move the service.
func (m *moveWorld) orderMove() {
	m.store.Put("rollouts", "app", map[string]any{"service": "app", "target": "v2", "duration_s": moveLength.Seconds()})
}

// load sends requests at moveRate for d, and waits for their answers.
func (m *moveWorld) load(d time.Duration) {
	var wg sync.WaitGroup
	start := time.Now()
	for n := 0; time.Since(start) < d; n++ {
		m.seq++
		id := fmt.Sprintf("m%d", m.seq)
		wg.Go(func() {
			a := m.send(m.transport(), m.vms[n%len(m.vms)], "/book/1", "key-1", id, nil)
			m.mu.Lock()
			defer m.mu.Unlock()
			m.statuses[a.status]++
		})
		time.Sleep(time.Second / moveRate)
	}
	wg.Wait()
}

// state returns the move's state and target in the store.
func (m *moveWorld) state() (state, target string) {
	raw, _ := m.store.Status("rollouts", "app")
	var s struct{ State, Target string }
	if err := json.Unmarshal(raw, &s); err != nil {
		return "", ""
	}
	return s.State, s.Target
}

// newVersionRequests returns when requests arrived at the servers of the new version.
func (m *moveWorld) newVersionRequests() []time.Time {
	var at []time.Time
	for _, s := range m.newServers {
		at = append(at, m.book.StartTimes(s.ID)...)
	}
	return at
}

func (m *moveWorld) failNewServers(f platformtest.Fault) {
	for _, s := range m.newServers {
		s.SetFault(f)
	}
}

// TestVersionMoves carries out an operator's orders to move a service to another
// version.
func TestVersionMoves(t *testing.T) {
	inWorld(t, "A move to a good version is gradual and ends in time, and no caller notices", func(w *world) {
		m := newMoveWorld(w)
		m.orderMove()
		time.Sleep(2 * time.Second)
		state, target := m.state()
		So(state, ShouldEqual, "running")
		So(target, ShouldEqual, "v2")
		m.load(moveLength / 2)
		half := len(m.newVersionRequests())
		So(half, ShouldBeBetween, 0, int(badShare*moveRate*moveLength.Seconds()/2)+1)
		m.load(moveLength/2 - 2500*time.Millisecond)
		state, _ = m.state()
		So(state, ShouldEqual, "completed")
		time.Sleep(time.Second)
		before := len(m.newVersionRequests())
		m.load(2 * time.Second)
		So(len(m.newVersionRequests())-before, ShouldEqual, 2*moveRate)
		So(m.statuses, ShouldHaveLength, 1)
		So(m.statuses[200], ShouldBeGreaterThan, 0)
		So(m.store.Names("moveEvidence"), ShouldBeEmpty)
	})
	inWorld(t, "An order that is withdrawn, even while the store is unreachable, has no further effect", func(w *world) {
		m := newMoveWorld(w)
		m.orderMove()
		m.load(5 * time.Second)
		m.store.SetFault(platformtest.StoreFault{Busy: true})
		m.store.Remove("rollouts", "app")
		m.store.Compact()
		m.load(3 * time.Second)
		m.store.SetFault(platformtest.StoreFault{})
		time.Sleep(3 * time.Second)
		before := len(m.newVersionRequests())
		m.load(5 * time.Second)
		// All versions take requests again, as without a move.
		So(len(m.newVersionRequests())-before, ShouldBeGreaterThan, moveRate*5/4)
	})
	for _, bad := range []struct {
		name  string
		after time.Duration
		fault platformtest.Fault
	}{
		{"fails at once", 0, platformtest.Fault{Status: 500}},
		{"is slow at once", 0, platformtest.Fault{Delay: 150 * time.Millisecond}},
		{"fails after half of the time", moveLength / 2, platformtest.Fault{Status: 500}},
		{"fails at its largest share", moveLength - 4*time.Second, platformtest.Fault{Status: 500}},
	} {
		inWorld(t, "A version that "+bad.name+" is rolled back", func(w *world) {
			m := newMoveWorld(w)
			m.orderMove()
			var badFrom time.Time
			time.AfterFunc(bad.after, func() {
				m.failNewServers(bad.fault)
				badFrom = time.Now()
			})
			m.load(moveLength + 5*time.Second)
			state, _ := m.state()
			So(state, ShouldEqual, "rolled_back")
			got := m.newVersionRequests()
			t.Logf("%s: the new version got %d", bad.name, len(got))
			So(len(got), ShouldBeLessThanOrEqualTo, int(badShare*moveRate*moveLength.Seconds())+badSlack)
			var answers []time.Time
			for _, at := range got {
				if at.After(badFrom) {
					answers = append(answers, at)
				}
			}
			if len(answers) > badThreshold {
				sortTimes(answers)
				So(answers[len(answers)-1], ShouldHappenBefore, answers[badThreshold].Add(rollbackBound))
			}
		})
	}
	inWorld(t, "A version that fails while the store is unreachable gets no more requests, and the store gets the rollback later", func(w *world) {
		m := newMoveWorld(w)
		m.orderMove()
		m.load(5 * time.Second)
		m.store.SetFault(platformtest.StoreFault{Busy: true})
		m.failNewServers(platformtest.Fault{Status: 500})
		m.load(15 * time.Second)
		before := len(m.newVersionRequests())
		m.load(5 * time.Second)
		So(len(m.newVersionRequests()), ShouldEqual, before)
		m.store.SetFault(platformtest.StoreFault{})
		m.load(5 * time.Second)
		state, _ := m.state()
		So(state, ShouldEqual, "rolled_back")
		So(len(m.newVersionRequests()), ShouldEqual, before)
	})
}

// TestSlowEngines moves a service of model engines to a version that is at times so slow that
// its streams go on at another engine or end with the caller's time: the answers that end whole
// are all fast.
func TestSlowEngines(t *testing.T) {
	inWorld(t, "A version whose slow answers never end whole is found worse", func(w *world) {
		var slow []*platformtest.Server
		for i := range 8 {
			s := w.server(fmt.Sprintf("m%d", i), "models", []string{"cn-a", "wv-a"}[i%2], 40+i)
			if i >= 3 {
				s.Version = "v2"
				slow = append(slow, s)
				w.store.Put("servers", s.ID, s.Entry("ready"))
			}
		}
		for i, domain := range []string{"cn-a", "cn-a", "wv-a"} {
			w.vm(fmt.Sprintf("e%d", i), namesID(domain), 1+i)
		}
		time.Sleep(3 * time.Second)
		w.store.Put("rollouts", "models", map[string]any{"service": "models", "target": "v2", "duration_s": 60.0})
		var wg sync.WaitGroup
		for n := range 60 * moveRate {
			if n%moveRate == 0 {
				for i, s := range slow {
					var f platformtest.Fault
					if (n/moveRate+i)%3 == 0 {
						f.Delay = 30 * time.Second
					}
					s.SetFault(f)
				}
			}
			wg.Go(func() {
				w.send(w.transport(), w.vms[n%len(w.vms)], "/brief/1", "key-1", fmt.Sprintf("s%d", n), http.Header{
					"X-Prompt-Prefix": {fmt.Sprintf("p%d:200", n)}, "X-Token-Count": {"200,100"}, "X-Deadline-Ms": {"8000"},
				})
			})
			time.Sleep(time.Second / moveRate)
		}
		wg.Wait()
		raw, _ := w.store.Status("rollouts", "models")
		So(string(raw), ShouldContainSubstring, "rolled_back")
		So(string(raw), ShouldContainSubstring, "worse than the old version")
	})
}

// startNewServers starts three servers of a version that fail every second request or none.
func (m *moveWorld) startNewServers(version string, from int, f platformtest.Fault) {
	for i := range 3 {
		s := m.server(fmt.Sprintf("%s-%d", version, i), "app", "wv-a", from+i)
		s.Version = version
		s.SetFault(f)
		m.store.Put("servers", s.ID, s.Entry("ready"))
		m.newServers = append(m.newServers, s)
	}
}

// newOldWorld has entry VMs of two failure domains and servers of the old version only.
func newOldWorld(w *world) *moveWorld {
	m := &moveWorld{world: w, statuses: make(map[int]int)}
	w.app.Work = 20 * time.Millisecond
	for i := range 2 {
		w.server(fmt.Sprintf("old%d", i), "app", "cn-a", 20+i)
	}
	for i, domain := range []string{"cn-a", "cn-a", "wv-a"} {
		w.vm(fmt.Sprintf("e%d", i), namesID(domain), 1+i)
	}
	time.Sleep(3 * time.Second)
	return m
}

func (m *moveWorld) silenceStore() {
	for _, v := range m.vms {
		m.net.Blackhole(memnet.Host(v.host), storeHost)
	}
}

// TestOrderNotHeard guards against servers of a new version that get requests without a bound because the
// channel on which its order would come has gone silent.
func TestOrderNotHeard(t *testing.T) {
	const length = 12 * time.Second
	order := func(m *moveWorld) {
		m.store.Put("rollouts", "app", map[string]any{"service": "app", "target": "v2", "duration_s": length.Seconds()})
	}
	check := func(m *moveWorld) {
		state, _ := m.state()
		So(state, ShouldEqual, "rolled_back")
		So(len(m.newVersionRequests()), ShouldBeLessThanOrEqualTo, int(badShare*moveRate*length.Seconds())+badSlack)
	}
	for _, before := range []time.Duration{time.Second, 6 * time.Second, 15 * time.Second} {
		inWorld(t, fmt.Sprintf("all channels to the store are silent %v before", before), func(w *world) {
			m := newOldWorld(w)
			m.load(time.Second)
			m.silenceStore()
			m.load(before)
			order(m)
			m.startNewServers("v2", 30, platformtest.Fault{Status: 500})
			m.load(length + 3*time.Second)
			check(m)
		})
	}
	inWorld(t, "the servers have registered before", func(w *world) {
		m := newMoveWorld(w)
		m.load(time.Second)
		m.silenceStore()
		time.Sleep(6 * time.Second)
		m.failNewServers(platformtest.Fault{Status: 500})
		order(m)
		m.load(length + 3*time.Second)
		check(m)
	})
	inWorld(t, "servers of several versions and no order are served", func(w *world) {
		m := newOldWorld(w)
		m.startNewServers("v2", 30, platformtest.Fault{})
		time.Sleep(2 * time.Second)
		m.load(5 * time.Second)
		So(len(m.newVersionRequests()), ShouldBeGreaterThan, moveRate*5/4)
	})
}

// TestWithdrawnVersion guards against servers of a version that was rolled back which get requests again once its
// order is gone, or another one has taken its place.
func TestWithdrawnVersion(t *testing.T) {
	for _, next := range []string{"v3", ""} {
		for _, restart := range []bool{false, true} {
			if restart && next == "" {
				continue // nothing tells of it then
			}
			inWorld(t, fmt.Sprintf("next order %q, entry VMs restart %v", next, restart), func(w *world) {
				m := newMoveWorld(w)
				m.failNewServers(platformtest.Fault{Status: 500})
				m.orderMove()
				m.load(5 * time.Second)
				state, _ := m.state()
				So(state, ShouldEqual, "rolled_back")
				bad := len(m.newServers)
				if next == "" {
					m.store.Remove("rollouts", "app")
				} else {
					m.store.Put("rollouts", "app", map[string]any{"service": "app", "target": next, "duration_s": 30.0})
					m.startNewServers(next, 33, platformtest.Fault{})
				}
				m.newServers = m.newServers[:bad]
				time.Sleep(time.Second)
				if restart {
					for i, v := range w.vms {
						v.stop()
						<-v.done
						v.host = fmt.Sprintf("10.1.0.%d", 40+i)
						w.run(v)
						time.Sleep(3 * time.Second)
					}
				}
				before := len(m.newVersionRequests())
				m.load(10 * time.Second)
				So(len(m.newVersionRequests()), ShouldEqual, before)
				So(m.statuses[200], ShouldBeGreaterThan, 10*moveRate*9/10)
			})
		}
	}
}
