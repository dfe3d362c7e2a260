package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/memnet"
)

// lateCalls are calls that an entry VM gets until 1.5 s before its grace ends, on connections that were opened
// before its listener closed.
type lateCalls struct {
	*world
	v           *vm
	from, until time.Time
	conns       []net.Conn
}

// stopping stops an entry VM, and opens connections to it.
func (w *world) stopping(v *vm, calls int) *lateCalls {
	now := time.Now()
	l := &lateCalls{world: w, v: v, from: now.Add(4 * time.Second), until: now.Add(graceBound - 1500*time.Millisecond)}
	v.stop()
	time.Sleep(2 * time.Second)
	for range calls {
		l.conns = append(l.conns, must(w.net.Dialer(callerHost)(context.Background(), "tcp", v.host+":80")))
	}
	return l
}

// send sends the calls, every other one of a kind that must not be repeated, and returns how many have got
// each status (0 for none). It returns once the entry VM has ended.
func (l *lateCalls) send(key string) map[int]int {
	statuses := make(map[int]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	paths := []string{"/book/1", "/status/1"}
	for i, c := range l.conns {
		wg.Go(func() {
			defer func() { _ = c.Close() }()
			time.Sleep(time.Until(l.from.Add(l.until.Sub(l.from) * time.Duration(i) / time.Duration(len(l.conns)))))
			id, status := fmt.Sprintf("late-%d", i), 0
			_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: %s\r\nX-Request-Id: %s\r\nContent-Length: 4\r\n\r\nbody", paths[i%2], key, id)
			if err == nil {
				var resp *http.Response
				if resp, err = http.ReadResponse(bufio.NewReader(c), nil); err == nil {
					status = resp.StatusCode
					_ = resp.Body.Close()
				}
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	wg.Wait()
	<-l.v.done
	for i := range l.conns {
		if id := fmt.Sprintf("late-%d", i); paths[i%2] == "/book/1" {
			SoMsg(id, len(l.book.Runs(id)), ShouldBeLessThanOrEqualTo, 1)
		}
	}
	return statuses
}

// TestStoppingGoesBlind guards against an entry VM that no longer learns of changes once it has been told to
// stop, although it serves for some more seconds.
func TestStoppingGoesBlind(t *testing.T) {
	const calls = 54
	inWorld(t, "all servers are replaced", func(w *world) {
		v := w.vm("e1", "cn-a", 1)
		w.vm("e2", "wv-a", 2)
		time.Sleep(settle)
		l := w.stopping(v, calls)
		w.server("a1", "app", "cn-a", 11)
		w.store.Remove("servers", w.app.ID)
		w.net.Crash(memnet.Host("10.3.64.10"))
		So(l.send("key-1"), ShouldResemble, map[int]int{http.StatusOK: calls})
	})
	for key, status := range map[string]int{"key-1": http.StatusUnauthorized, "key-2": http.StatusOK} {
		inWorld(t, "a key is replaced: "+key, func(w *world) {
			v := w.vm("e1", "cn-a", 1)
			time.Sleep(settle)
			l := w.stopping(v, calls)
			w.configure(2, "key-2")
			l.from = time.Now().Add(configBound)
			So(l.send(key), ShouldResemble, map[int]int{status: calls})
		})
	}
	for _, kind := range cutKinds {
		inWorld(t, "it loses its links to all servers: "+kind.name, func(w *world) {
			f := newCutOffTest(w, kind, 7)
			l := w.stopping(f.entries[0], calls)
			f.cut(0)
			statuses := l.send("key-1")
			// It finds out by the first calls.
			So(statuses[http.StatusOK], ShouldBeGreaterThanOrEqualTo, calls-2)
			So(statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], ShouldEqual, calls)
		})
	}
}
