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

// startVersion starts three servers of the new version.
func (x *exposureTest) startVersion(answers badAnswers) {
	for i := range 3 {
		s := x.server(fmt.Sprintf("new%d", i), "app", string(domainOf(i)), 30+i)
		s.Version, s.Work = "v2", 15*time.Millisecond
		random := rand.New(rand.NewPCG(uint64(i), 2))
		s.SetFault(platformtest.Fault{EndsCall: func(path string) platformtest.CallEnd {
			x.mu.Lock()
			defer x.mu.Unlock()
			if answers == nil {
				return platformtest.CallEnd{}
			}
			return answers(path, random.Float64())
		}})
		x.store.Put("servers", s.ID, s.Entry("ready"))
		x.newServers = append(x.newServers, s)
	}
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
