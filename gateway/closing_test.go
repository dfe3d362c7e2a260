package gateway_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/platform/platformtest"
)

// TestClosingServers guards against servers that close each connection and, as they look idle, get all calls of their
// service.
func TestClosingServers(t *testing.T) {
	const (
		entryVMs = 4
		servers  = 14
	)
	for name, path := range map[string]string{"calls that may not be repeated": "/book/1", "calls that may be repeated": "/status/1"} {
		inWorld(t, name, func(w *world) {
			l := newLimitTest(w, entryVMs, servers, "app")
			l.play(time.Second, 16, path, nil)
			l.wg.Wait()
			So(l.answered, ShouldEqual, l.calls)
			var closing []*platformtest.Server // those that the entry VMs choose
			for _, s := range l.servers {
				if len(s.Arrived()) > 0 {
					closing = append(closing, s)
					s.SetFault(platformtest.Fault{Close: true})
				}
			}
			l.calls, l.answered = 0, 0
			l.play(2*time.Second, 8, path, nil)
			l.wg.Wait()
			early := l.calls - l.answered
			l.play(28*time.Second, 8, path, nil)
			l.wg.Wait()
			lost := l.calls - l.answered
			if path == "/status/1" {
				So(lost, ShouldEqual, 0)
			}
			// Each entry VM may find out about each server by itself.
			So(early, ShouldBeLessThanOrEqualTo, entryVMs*len(closing))
			So(lost-early, ShouldBeLessThan, l.calls/50)
			for _, s := range closing {
				s.SetFault(platformtest.Fault{})
			}
			back := time.Now()
			l.play(10*time.Second, 16, path, nil)
			l.wg.Wait()
			for _, s := range closing {
				So(count(s, back), ShouldBeGreaterThan, 5)
			}
		})
	}
}

// TestClosingServersBlockRequests guards against a request that stays blocked after servers have closed its connections:
// losses that were found to be no crashes came back, as they were being written to a slow store.
func TestClosingServersBlockRequests(t *testing.T) {
	for name, path := range map[string]string{"calls that may not be repeated": "/book/1", "calls that may be repeated": "/status/1"} {
		inWorld(t, name, func(w *world) {
			l := newLimitTest(w, 4, 8, "app")
			for _, s := range l.servers {
				s.SetFault(platformtest.Fault{Close: true})
			}
			w.store.SetFault(platformtest.StoreFault{Delay: 50 * time.Millisecond})
			l.play(3*time.Second, 400, path, nil)
			for _, s := range l.servers {
				s.SetFault(platformtest.Fault{})
			}
			time.Sleep(contactBound)
			l.wg.Wait()
			l.calls, l.answered = 0, 0
			l.play(5*time.Second, 40, path, nil)
			l.wg.Wait()
			So(l.answered, ShouldEqual, l.calls)
		})
	}
}
