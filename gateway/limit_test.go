package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/platform/platformtest"
)

// What a server that names a limit may get: in any limitWindow, limitFactor times what the limit
// allows, and limitSlack more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitTest is a fleet whose servers name limits.
type limitTest struct {
	*world
	entries []*vm
	servers []*platformtest.Server

	mu       sync.Mutex
	calls    int
	answered int
	refused  int
	slowest  time.Duration // of the refusals
	wg       sync.WaitGroup
}

func newLimitTest(w *world, entries, servers int, service string) *limitTest {
	l := &limitTest{world: w}
	for i := range servers {
		l.servers = append(l.servers, w.server(fmt.Sprintf("%s-%d", service, i), service, string(domainOf(i)), 20+i))
	}
	w.store.Remove("servers", w.app.ID)
	for i := range entries {
		l.entries = append(l.entries, w.vm(fmt.Sprintf("vm-%d", i), domainOf(i), 10+i))
	}
	time.Sleep(4 * time.Second)
	return l
}

// play sends calls for a time, to one entry VM after the other.
func (l *limitTest) play(d time.Duration, perSecond int, path string, headers http.Header) {
	end, run := time.Now().Add(d), time.Now().UnixNano()
	for i := 0; time.Now().Before(end); i++ {
		l.wg.Go(func() {
			at := time.Now()
			h := headers.Clone()
			if h == nil {
				h = make(http.Header)
			}
			h.Set("X-Deadline-Ms", "2000")
			a := l.send(l.transport(), l.entries[i%len(l.entries)], path, "key-1", fmt.Sprintf("call-%d-%d", run, i), h)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.calls++
			switch {
			case a.err == nil && a.status == http.StatusOK:
				l.answered++
			case a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != "":
				l.refused++
				l.slowest = max(l.slowest, time.Since(at))
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

// most returns the most requests that reached a server in a limitWindow that begins at from or
// later and ends by until.
func most(s *platformtest.Server, from, until time.Time) int {
	n, first := 0, 0
	at := s.Arrived()
	for i := range at {
		if at[i].Before(from) || at[i].After(until) {
			first = i + 1
			continue
		}
		for at[i].Sub(at[first]) > limitWindow {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

func allowed(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds()) + limitSlack
}

// count returns how many requests reached a server from an instant on.
func count(s *platformtest.Server, from time.Time) int {
	n := 0
	for _, at := range s.Arrived() {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

// limitCase is a fleet and the limits that its first servers name.
type limitCase struct {
	name             string
	entries, servers int
	service, path    string
	perSecond        int
	limits           []float64
}

// TestServerLimitExceeded guards against servers that get more than the limit which they name,
// summed over all entry VMs.
func TestServerLimitExceeded(t *testing.T) {
	prompt := http.Header{"X-Token-Count": {"800,25"}, "X-Prompt-Prefix": {"own:800"}}
	for _, c := range []limitCase{
		{"two of three servers", 7, 3, "app", "/book/1", 70, []float64{4.1, 5.5}},
		{"two of three servers, calls that may be repeated", 7, 3, "app", "/status/1", 70, []float64{4.1, 5.5}},
		{"all servers", 7, 3, "app", "/book/1", 70, []float64{4.1, 5.5, 5}},
		{"all servers, calls that may be repeated", 7, 3, "app", "/status/1", 70, []float64{4.1, 5.5, 5}},
		{"a low limit", 7, 3, "app", "/book/1", 70, []float64{0.7, 0.7, 0.7}},
		{"many entry VMs, two of eight servers", 60, 8, "app", "/book/1", 120, []float64{4, 4}},
		{"many entry VMs, all servers", 60, 8, "app", "/book/1", 120, []float64{4, 4, 4, 4, 4, 4, 4, 4}},
		{"engines", 7, 6, "models", "/brief/1", 30, []float64{1.5, 1.5, 1.5, 1.5}},
	} {
		inWorld(t, c.name, func(w *world) {
			l := newLimitTest(w, c.entries, c.servers, c.service)
			h := http.Header(nil)
			if c.service == "models" {
				h = prompt
			}
			for i, perSecond := range c.limits {
				l.servers[i].SetFault(platformtest.Fault{Limit: fmt.Sprint(perSecond)})
			}
			begin := time.Now()
			l.play(4*time.Second, c.perSecond, c.path, h)
			l.wg.Wait()
			l.calls, l.answered, l.refused, l.slowest = 0, 0, 0, 0
			begin2 := time.Now()
			l.play(12*time.Second, c.perSecond, c.path, h)
			l.wg.Wait()
			sum := 0.0
			for i, perSecond := range c.limits {
				So(most(l.servers[i], begin.Add(contactBound), time.Now()), ShouldBeLessThanOrEqualTo, allowed(perSecond))
				sum += perSecond
			}
			if len(c.limits) < c.servers {
				So(l.answered, ShouldBeGreaterThan, l.calls*95/100)
				return
			}
			// Half of what the servers take is the least that callers must get; the others are
			// refused at once and told when to come back.
			So(l.answered, ShouldBeGreaterThan, int(sum*time.Since(begin2).Seconds()/2))
			So(l.answered+l.refused, ShouldEqual, l.calls)
			So(l.slowest, ShouldBeLessThan, 500*time.Millisecond)
		})
	}
}

// TestEndedServerLimit guards against a limit that outlasts the server's answers which name it.
func TestEndedServerLimit(t *testing.T) {
	const backWithin = 4 * time.Second
	inWorld(t, "all servers", func(w *world) {
		l := newLimitTest(w, 7, 3, "app")
		for _, s := range l.servers {
			s.SetFault(platformtest.Fault{Limit: "3"})
		}
		l.play(8*time.Second, 70, "/book/1", nil)
		for _, s := range l.servers {
			s.SetFault(platformtest.Fault{})
		}
		l.play(backWithin, 70, "/book/1", nil)
		l.wg.Wait()
		l.calls, l.answered = 0, 0
		l.play(4*time.Second, 70, "/book/1", nil)
		l.wg.Wait()
		So(l.answered, ShouldEqual, l.calls)
	})
	inWorld(t, "a server that has restarted under its id", func(w *world) {
		l := newLimitTest(w, 4, 1, "app")
		s := l.servers[0]
		s.SetFault(platformtest.Fault{Limit: "0.5"})
		l.play(6*time.Second, 40, "/book/1", nil)
		s.SetFault(platformtest.Fault{})
		s.Restart(time.Now().UnixMilli())
		w.store.Put("servers", s.ID, s.Entry("ready"))
		time.Sleep(3 * time.Second)
		l.wg.Wait()
		l.calls, l.answered = 0, 0
		l.play(2*time.Second, 40, "/book/1", nil)
		l.wg.Wait()
		So(l.answered, ShouldEqual, l.calls)
	})
	inWorld(t, "a limit that falls", func(w *world) {
		l := newLimitTest(w, 7, 3, "app")
		l.servers[0].SetFault(platformtest.Fault{Limit: "12"})
		l.play(8*time.Second, 70, "/book/1", nil)
		l.servers[0].SetFault(platformtest.Fault{Limit: "2"})
		fell := time.Now()
		l.play(12*time.Second, 70, "/book/1", nil)
		l.wg.Wait()
		So(most(l.servers[0], fell.Add(limitWindow), time.Now()), ShouldBeLessThanOrEqualTo, allowed(2))
	})
}

// TestServerLimitSpread checks that all entry VMs of a failure domain learn of a limit from the first
// answer that names it, and of its end.
func TestServerLimitSpread(t *testing.T) {
	inWorld(t, "limits are passed on in the failure domain", func(w *world) {
		l := newLimitTest(w, 50, 1, "app")
		l.servers[0].SetFault(platformtest.Fault{Limit: "2"})
		at := time.Now()
		So(l.postBooking(l.entries[0], "key-1"), ShouldEqual, http.StatusOK)
		time.Sleep(2 * time.Second)
		for i := 0; i < len(l.entries); i += 2 { // the others are in another failure domain
			l.postBooking(l.entries[i], "key-1")
		}
		So(count(l.servers[0], at), ShouldBeLessThanOrEqualTo, allowed(2))
	})
}

// TestHighServerLimit guards against limits above every load, which ended the processes of entry VMs, and against entry VMs that
// keep no other limits afterwards.
func TestHighServerLimit(t *testing.T) {
	for _, high := range []string{"4294967295", "1e12", "1e999"} {
		inWorld(t, high, func(w *world) {
			l := newLimitTest(w, 4, 3, "app")
			l.servers[0].SetFault(platformtest.Fault{Limit: high})
			l.play(4*time.Second, 70, "/book/1", nil)
			l.wg.Wait()
			So(l.answered, ShouldEqual, l.calls)
			l.servers[0].SetFault(platformtest.Fault{Limit: "2"})
			fell := time.Now()
			l.play(12*time.Second, 70, "/book/1", nil)
			l.wg.Wait()
			So(most(l.servers[0], fell.Add(limitWindow), time.Now()), ShouldBeLessThanOrEqualTo, allowed(2))
		})
	}
}
