package gateway_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/platform/platformtest"
)

// The moves of the tests: a service of 40 requests a second.
const (
	moveLength   = 40 * time.Second
	moveRate     = 40
	badShare     = 0.1
	badSlack     = 50
	rollbackTime = 5 * time.Second
	badEnough    = 50 // bad answers, after which a version gets nothing in rollbackTime
)

// moveWorld is entry VMs of two failure domains, and three servers of each version.
type moveWorld struct {
	*world
	news []*platformtest.Server

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
		m.news = append(m.news, s)
	}
	for i, domain := range []string{"cn-a", "cn-a", "wv-a"} {
		w.vm(fmt.Sprintf("e%d", i), namesID(domain), 1+i)
	}
	time.Sleep(3 * time.Second)
	return m
}

// order orders the move.
func (m *moveWorld) order() {
	m.store.Put("rollouts", "app", map[string]any{"service": "app", "target": "v2", "duration_s": moveLength.Seconds()})
}

// load sends requests for a time.
func (m *moveWorld) load(d time.Duration) {
	var wg sync.WaitGroup
	begun := time.Now()
	for n := 0; time.Since(begun) < d; n++ {
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

// state returns what the store says of the move.
func (m *moveWorld) state() (state, target string) {
	raw, _ := m.store.Status("rollouts", "app")
	var s struct{ State, Target string }
	if err := json.Unmarshal(raw, &s); err != nil {
		return "", ""
	}
	return s.State, s.Target
}

// toNew returns when the new servers got requests.
func (m *moveWorld) toNew() []time.Time {
	var at []time.Time
	for _, s := range m.news {
		at = append(at, m.book.StartTimes(s.ID)...)
	}
	return at
}

func (m *moveWorld) fail(f platformtest.Fault) {
	for _, s := range m.news {
		s.SetFault(f)
	}
}

// TestVersionMoves carries out orders of the operator to move a service.
func TestVersionMoves(t *testing.T) {
	inWorld(t, "A good version is moved to in time, gradually, and no caller notices", func(w *world) {
		m := newMoveWorld(w)
		m.order()
		time.Sleep(2 * time.Second)
		state, target := m.state()
		So(state, ShouldEqual, "running")
		So(target, ShouldEqual, "v2")
		m.load(moveLength / 2)
		half := len(m.toNew())
		So(half, ShouldBeBetween, 0, int(badShare*moveRate*moveLength.Seconds()/2)+1)
		m.load(moveLength/2 - 2500*time.Millisecond)
		state, _ = m.state()
		So(state, ShouldEqual, "completed")
		time.Sleep(time.Second)
		before := len(m.toNew())
		m.load(2 * time.Second)
		So(len(m.toNew())-before, ShouldEqual, 2*moveRate)
		So(m.statuses, ShouldHaveLength, 1)
		So(m.statuses[200], ShouldBeGreaterThan, 0)
		So(m.store.Names("moveEvidence"), ShouldBeEmpty)
	})
	inWorld(t, "An order that is withdrawn, also unseen, moves nothing any more", func(w *world) {
		m := newMoveWorld(w)
		m.order()
		m.load(5 * time.Second)
		m.store.SetFault(platformtest.StoreFault{Busy: true})
		m.store.Remove("rollouts", "app")
		m.store.Compact()
		m.load(3 * time.Second)
		m.store.SetFault(platformtest.StoreFault{})
		time.Sleep(3 * time.Second)
		before := len(m.toNew())
		m.load(5 * time.Second)
		// All versions take requests again, as without a move.
		So(len(m.toNew())-before, ShouldBeGreaterThan, moveRate*5/4)
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
		inWorld(t, "A version that "+bad.name+" is taken back", func(w *world) {
			m := newMoveWorld(w)
			m.order()
			var badFrom time.Time
			time.AfterFunc(bad.after, func() {
				m.fail(bad.fault)
				badFrom = time.Now()
			})
			m.load(moveLength + 5*time.Second)
			state, _ := m.state()
			So(state, ShouldEqual, "rolled_back")
			got := m.toNew()
			t.Logf("%s: the new version got %d", bad.name, len(got))
			So(len(got), ShouldBeLessThanOrEqualTo, int(badShare*moveRate*moveLength.Seconds())+badSlack)
			var answers []time.Time
			for _, at := range got {
				if at.After(badFrom) {
					answers = append(answers, at)
				}
			}
			if len(answers) > badEnough {
				sortTimes(answers)
				So(answers[len(answers)-1], ShouldHappenBefore, answers[badEnough].Add(rollbackTime))
			}
		})
	}
	inWorld(t, "While the store is away the version that fails gets nothing either, and the store learns later", func(w *world) {
		m := newMoveWorld(w)
		m.order()
		m.load(5 * time.Second)
		m.store.SetFault(platformtest.StoreFault{Busy: true})
		m.fail(platformtest.Fault{Status: 500})
		m.load(15 * time.Second)
		before := len(m.toNew())
		m.load(5 * time.Second)
		So(len(m.toNew()), ShouldEqual, before)
		m.store.SetFault(platformtest.StoreFault{})
		m.load(5 * time.Second)
		state, _ := m.state()
		So(state, ShouldEqual, "rolled_back")
		So(len(m.toNew()), ShouldEqual, before)
	})
}
