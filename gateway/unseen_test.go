package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/memnet"
	"quetzalhold/platform/platformtest"
)

// badAnswers is how the answers of a version to calls are bad. It is called when a server runs a call, with a random
// number below 1, and returns how it ends.
type badAnswers func(path string, x float64) platformtest.CallEnd

// failsLate fails a part of a route's calls, which then take longer.
func failsLate(path string, part float64, late time.Duration) badAnswers {
	return func(of string, x float64) platformtest.CallEnd {
		if of != path || x >= part {
			return platformtest.CallEnd{}
		}
		return platformtest.CallEnd{After: late, Status: 500}
	}
}

// answersLate answers a part of a route's calls late.
func answersLate(path string, part float64, late time.Duration) badAnswers {
	return func(of string, x float64) platformtest.CallEnd {
		if of != path || x >= part {
			return platformtest.CallEnd{}
		}
		return platformtest.CallEnd{After: late}
	}
}

// breaksOff breaks off a part of the answers to a route's calls.
func breaksOff(path string, part float64, end platformtest.CallEnd) badAnswers {
	return func(of string, x float64) platformtest.CallEnd {
		if of != path {
			return platformtest.CallEnd{}
		}
		if x >= part {
			return platformtest.CallEnd{Bytes: end.Bytes}
		}
		return end
	}
}

// startVersion starts three servers of the new version.
func (x *exposureTest) startVersion(answers badAnswers) {
	for i := range 3 {
		s := x.server(fmt.Sprintf("new%d", i), "app", string(domainOf(i)), 30+i)
		s.Version, s.Work = "v2", 15*time.Millisecond
		x.setAnswers(s, uint64(i), answers)
		x.store.Put("servers", s.ID, s.Entry("ready"))
		x.newServers = append(x.newServers, s)
	}
}

// setAnswers sets how a server answers calls; nil for well.
func (x *exposureTest) setAnswers(s *platformtest.Server, seed uint64, answers badAnswers) {
	random := rand.New(rand.NewPCG(seed, 2))
	s.SetFault(platformtest.Fault{EndsCall: func(path string) platformtest.CallEnd {
		x.mu.Lock()
		defer x.mu.Unlock()
		if answers == nil {
			return platformtest.CallEnd{}
		}
		return answers(path, random.Float64())
	}})
}

// playMove plays a move to a version whose answers are bad, or to a good one if they are nil, and returns how it ends. during is
// called with the order's time; nil for nothing.
func (x *exposureTest) playMove(answers badAnswers, during func(at time.Time)) string {
	var wg sync.WaitGroup
	wg.Go(func() { x.play(&wg, beforeOrder+shortMove, "/book/1", bookRate) })
	wg.Go(func() { x.play(&wg, beforeOrder+shortMove, statusPath, statusRate) })
	time.Sleep(beforeOrder)
	x.store.Put("rollouts", "app", map[string]any{"service": "app", "target": "v2", "duration_s": shortMove.Seconds()})
	x.startVersion(answers)
	at := time.Now()
	if during != nil {
		wg.Go(func() { during(at) })
	}
	x.awaitEnd(at.Add(shortMove))
	wg.Wait()
	state, _ := x.state()
	return state
}

// TestHiddenAnswers guards against bad versions that are completed because other answers hide theirs: calls that are sent to a second
// server after a while, are cut by the limit of their route, or are never answered.
func TestHiddenAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers badAnswers
	}{
		{"fails half of the status calls after 480 ms", failsLate(statusPath, 0.5, 480*time.Millisecond)},
		{"fails half of them after 350 ms", failsLate(statusPath, 0.5, 350*time.Millisecond)},
		{"fails four in ten of them after 700 ms", failsLate(statusPath, 0.4, 700*time.Millisecond)},
		{"fails all of them after 480 ms", failsLate(statusPath, 1, 480*time.Millisecond)},
		{"answers half of them after 600 ms", answersLate(statusPath, 0.5, 600*time.Millisecond)},
		{"never answers half of them", answersLate(statusPath, 0.5, time.Hour)},
		{"never answers half of the bookings", answersLate("/book/1", 0.5, time.Hour)},
		{"fails half of the bookings after 3 s", failsLate("/book/1", 0.5, 3*time.Second)},
	} {
		for seed := range uint64(2) {
			inWorld(t, fmt.Sprintf("A version that %s is rolled back, seed %d", c.name, seed), func(w *world) {
				So(newExposureTest(w, seed, 7).playMove(c.answers, nil), ShouldEqual, "rolled_back")
			})
		}
	}
}

// TestBrokenOffAnswers guards against bad versions that are completed because answers that break off are no evidence.
func TestBrokenOffAnswers(t *testing.T) {
	inBody, beforeHead := platformtest.CallEnd{Breaks: platformtest.BreaksInBody}, platformtest.CallEnd{Breaks: platformtest.BreaksBeforeHead}
	for _, c := range []struct {
		name    string
		answers badAnswers
	}{
		{"half of the bookings", breaksOff("/book/1", 0.5, inBody)},
		{"half of the bookings before the head", breaksOff("/book/1", 0.5, beforeHead)},
		{"all bookings", breaksOff("/book/1", 1, inBody)},
		{"four in ten status calls", breaksOff(statusPath, 0.4, inBody)},
		{"four in ten status calls before the head", breaksOff(statusPath, 0.4, beforeHead)},
	} {
		for seed := range uint64(2) {
			inWorld(t, fmt.Sprintf("A version that breaks off %s is rolled back, seed %d", c.name, seed), func(w *world) {
				So(newExposureTest(w, seed, 7).playMove(c.answers, nil), ShouldEqual, "rolled_back")
			})
		}
	}
	for seed := range uint64(2) {
		inWorld(t, fmt.Sprintf("A version that breaks off half of the bookings late in a long body is rolled back, seed %d", seed), func(w *world) {
			long := platformtest.CallEnd{Breaks: platformtest.BreaksInBody, Bytes: 700 << 10}
			x := newExposureTest(w, seed, 7)
			for i, s := range x.oldServers {
				x.setAnswers(s, uint64(10+i), breaksOff("/book/1", 0, long))
			}
			So(x.playMove(breaksOff("/book/1", 0.5, long), nil), ShouldEqual, "rolled_back")
		})
	}
	for _, event := range []int{1, 2, 10} {
		inWorld(t, fmt.Sprintf("A version of engines that breaks off half of the streams before event %d is rolled back", event), func(w *world) {
			So(newStreamMove(w).play(event), ShouldContainSubstring, "rolled_back")
		})
	}
	inWorld(t, "A version of engines that is good is completed", func(w *world) {
		So(newStreamMove(w).play(0), ShouldContainSubstring, "completed")
	})
}

// streamMove is a service of engines that is moved to a version while streams come.
type streamMove struct {
	*world
	random *rand.Rand
}

func newStreamMove(w *world) *streamMove {
	for i := range 6 {
		w.server(fmt.Sprintf("m%d", i), "models", string(domainOf(i)), 40+i)
	}
	for i := range 3 {
		w.vm(fmt.Sprintf("e%d", i), domainOf(i), 1+i)
	}
	time.Sleep(3 * time.Second)
	return &streamMove{world: w, random: rand.New(rand.NewPCG(1, 1))}
}

// play plays a move to a version that breaks off half of its streams before an event, or none if it is 0, and returns its state.
func (m *streamMove) play(event int) string {
	var wg sync.WaitGroup
	stream := func(n int) {
		m.send(m.transport(), m.vms[n%len(m.vms)], "/brief/1", "key-1", fmt.Sprintf("s%d", n), http.Header{
			"X-Prompt-Prefix": {fmt.Sprintf("p%d:200", n)}, "X-Token-Count": {"200,100"}, "X-Deadline-Ms": {"8000"},
		})
	}
	const length, perSecond = 30, 20
	for n := range (length + 10) * perSecond {
		if n == 10*perSecond {
			m.store.Put("rollouts", "models", map[string]any{"service": "models", "target": "v2", "duration_s": float64(length)})
			m.startEngines(event)
		}
		wg.Go(func() { stream(n) })
		time.Sleep(time.Second / perSecond)
	}
	wg.Wait()
	raw, _ := m.store.Status("rollouts", "models")
	return string(raw)
}

// startEngines starts engines of the new version, which break off half of their streams before an event.
func (m *streamMove) startEngines(event int) {
	var mu sync.Mutex
	ends := func() int {
		mu.Lock()
		defer mu.Unlock()
		return event * m.random.IntN(2)
	}
	for i := range 6 {
		s := m.server(fmt.Sprintf("n%d", i), "models", string(domainOf(i)), 50+i)
		s.Version = "v2"
		s.SetFault(platformtest.Fault{EndsStream: ends})
		m.store.Put("servers", s.ID, s.Entry("ready"))
	}
}

// TestGoodVersionUnderTrouble guards against good versions that are rolled back for what they are not to blame for.
func TestGoodVersionUnderTrouble(t *testing.T) {
	for _, c := range []struct {
		name   string
		during func(x *exposureTest)
	}{
		{"Nothing else happens", func(*exposureTest) {}},
		{"Both versions answer 300 ms late for a while", answerLate(4*time.Second, 3*time.Second, 300*time.Millisecond)},
		{"Both versions answer 1 s late for a while", answerLate(2*time.Second, 4*time.Second, time.Second)},
		{"Both versions answer 1 s late to the end", answerLate(3*time.Second, 8*time.Second, time.Second)},
		{"Both versions answer 40 ms late from the beginning", answerLate(0, 12*time.Second, 40*time.Millisecond)},
		{"One server of the new version crashes", func(x *exposureTest) {
			time.Sleep(6100 * time.Millisecond)
			x.net.Crash(hostOf(x.newServers[0]))
		}},
		{"One server of the new version breaks off all answers", func(x *exposureTest) {
			x.newServers[0].SetFault(platformtest.Fault{Truncate: true})
		}},
		{"All connections to servers are reset once", func(x *exposureTest) {
			time.Sleep(6200 * time.Millisecond)
			x.resetConnections(x.vms...)
		}},
		{"All connections of an entry VM to servers are reset again and again", func(x *exposureTest) {
			for i := range 20 {
				time.Sleep(450 * time.Millisecond)
				x.resetConnections(x.vms[i%len(x.vms)])
			}
		}},
		{"Entry VMs are cut off from all servers", func(x *exposureTest) {
			time.Sleep(5 * time.Second)
			for _, v := range x.vms[:2] {
				for _, s := range append(x.oldServers, x.newServers...) {
					x.net.Refuse(memnet.Host(v.host), hostOf(s))
				}
				x.resetConnections(v)
			}
		}},
		{"One server of the new version answers late", func(x *exposureTest) { x.delay(2*time.Second, x.newServers[0]) }},
	} {
		for seed := range uint64(2) {
			inWorld(t, fmt.Sprintf("%s, seed %d", c.name, seed), func(w *world) {
				x := newExposureTest(w, seed, 7)
				So(x.playMove(nil, func(time.Time) { c.during(x) }), ShouldEqual, "completed")
			})
		}
	}
}

func hostOf(s *platformtest.Server) memnet.Host {
	host, _, _ := strings.Cut(s.Address, ":")
	return memnet.Host(host)
}

// resetConnections resets all connections of entry VMs to servers.
func (x *exposureTest) resetConnections(vms ...*vm) {
	for _, v := range vms {
		for _, s := range append(x.oldServers, x.newServers...) {
			x.net.Reset(memnet.Host(v.host), hostOf(s))
		}
	}
}

// TestGoodVersionLateInBurst guards against good versions that are rolled back because both versions were slow in the moment in
// which the new one got most requests.
func TestGoodVersionLateInBurst(t *testing.T) {
	for seed := range uint64(2) {
		inWorld(t, fmt.Sprintf("Both versions answer 300 ms late in the burst, seed %d", seed), func(w *world) {
			x := newExposureTest(w, seed, 7)
			late := answerLate(6*time.Second, 2*time.Second, 300*time.Millisecond)
			So(x.playMove(nil, func(time.Time) { late(x) }), ShouldEqual, "completed")
		})
	}
}

// answerLate lets all servers answer late for a while.
func answerLate(from, length, delay time.Duration) func(*exposureTest) {
	return func(x *exposureTest) {
		time.Sleep(from)
		x.delay(delay, append(x.oldServers, x.newServers...)...)
		time.Sleep(length)
		x.delay(0, append(x.oldServers, x.newServers...)...)
	}
}

// delay delays the answers of servers.
func (x *exposureTest) delay(d time.Duration, servers ...*platformtest.Server) {
	for _, s := range servers {
		s.SetFault(platformtest.Fault{Delay: d})
	}
}
