package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/routing"
)

// TestManyBodies guards against bodies that take up more memory than there is for them, and against large
// ones that are in the way of small ones.
func TestManyBodies(t *testing.T) {
	const (
		callers = 26
		size    = 4 << 20
		memory  = 40_000_000
		room    = memory / size
	)
	for _, x := range []struct {
		name string
		body func() io.Reader
	}{
		{"of known length", func() io.Reader { return strings.NewReader(strings.Repeat("x", size)) }},
		{"in chunks", func() io.Reader { return io.MultiReader(strings.NewReader(strings.Repeat("x", size))) }},
	} {
		withHarness(t, x.name, func(w *harness) {
			s := w.add("a0", "app", 0, 700*time.Millisecond)
			w.relay.BodyMemory = memory
			c := testConfig()
			c.Limits.BodyBytes = 8 << 20
			w.setTable(routing.NewTable(c))
			play := func(prefix string, callers int, body func() io.Reader) (statuses map[int]int) {
				statuses = make(map[int]int)
				var mu sync.Mutex
				var wg sync.WaitGroup
				for i := range callers {
					wg.Go(func() {
						id := fmt.Sprintf("%s-%d", prefix, i)
						a := w.requestBody(context.Background(), http.MethodPost, "/status/1", body(), "X-Request-Id", id)
						mu.Lock()
						defer mu.Unlock()
						statuses[a.status]++
						if a.status == http.StatusServiceUnavailable && (len(w.book.Runs(id)) > 0 || a.header.Get("Retry-After") == "") {
							statuses[-1]++
						}
					})
				}
				wg.Wait()
				return statuses
			}
			small := make(chan map[int]int)
			go func() {
				time.Sleep(300 * time.Millisecond)
				small <- play("small", callers, func() io.Reader { return strings.NewReader(strings.Repeat("x", 60<<10)) })
			}()
			statuses := play("large", callers, x.body)
			So(statuses[http.StatusOK], ShouldBeBetweenOrEqual, 1, room)
			So(statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], ShouldEqual, callers)
			So(statuses, ShouldNotContainKey, -1)
			So(<-small, ShouldResemble, map[int]int{http.StatusOK: callers})
			// There is room again, and for a body of any size.
			w.relay.BodyMemory = size / 2
			So(play("last", 1, x.body), ShouldResemble, map[int]int{http.StatusOK: 1})
			So(s.Running(), ShouldEqual, 0)
		})
	}
}

// TestRefusedBodies guards against refused bodies that keep their room until their callers have sent the rest: none
// of many that arrive at the same pace was served.
func TestRefusedBodies(t *testing.T) {
	const (
		callers = 26
		parts   = 4
		memory  = 40_000_000
		room    = memory / (parts << 20)
	)
	part := strings.Repeat("x", 1<<20)
	withHarness(t, "callers that read no answer before the body is sent", func(w *harness) {
		w.add("a0", "app", 0, 300*time.Millisecond)
		w.relay.BodyMemory = memory
		c := testConfig()
		c.Limits.BodyBytes = 8 << 20
		w.setTable(routing.NewTable(c))
		// It reads how the request ended; errors of sending show there.
		send := func(id string) (status int) {
			conn, err := w.net.Dialer(callerHost)(context.Background(), "tcp", entryListen)
			if err != nil {
				panic(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "POST /status/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Api-Key: key-1\r\n"+
				"Transfer-Encoding: chunked\r\n\r\n", id)
			for range parts {
				_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
				time.Sleep(20 * time.Millisecond)
			}
			_, _ = fmt.Fprint(conn, "0\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return -1
			}
			defer func() { _ = resp.Body.Close() }()
			return resp.StatusCode
		}
		statuses := make(map[int]int)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				status := send(fmt.Sprintf("r%d", i))
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
		wg.Wait()
		So(statuses[http.StatusOK], ShouldBeBetweenOrEqual, room/2, room)
		So(statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], ShouldEqual, callers)
	})
}

// TestStalledBody guards against a body that stops arriving and keeps its room until the request's deadline, and against a
// rejection that breaks its promise.
func TestStalledBody(t *testing.T) {
	withHarness(t, "a stalled body gives way to another and is answered", func(w *harness) {
		w.add("a0", "app", 0, 10*time.Millisecond)
		const size = 1 << 20
		w.relay.BodyMemory = size
		c := testConfig()
		c.Limits.BodyBytes = 2 * size
		w.setTable(routing.NewTable(c))
		conn, err := w.net.Dialer(callerHost)(context.Background(), "tcp", entryListen)
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST /status/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: stalled\r\nX-Api-Key: key-1\r\n"+
			"Content-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size/2))
		So(err, ShouldBeNil)
		send := func() int {
			return w.requestBody(context.Background(), http.MethodPost, "/status/1", strings.NewReader(strings.Repeat("x", size))).status
		}
		So(send(), ShouldEqual, http.StatusServiceUnavailable)
		time.Sleep(1100 * time.Millisecond)
		So(send(), ShouldEqual, http.StatusOK)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		defer func() { _ = resp.Body.Close() }()
		So(resp.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		So(resp.Close, ShouldBeTrue)
		So(resp.Header.Get("Retry-After"), ShouldNotBeEmpty)
		So(w.book.Runs("stalled"), ShouldBeEmpty)
	})
}

// TestBodyTooLate guards against callers that are told that they have left, as the time of their requests was over
// before the body was read.
func TestBodyTooLate(t *testing.T) {
	for _, x := range []struct {
		name  string
		ready time.Duration // when the entry VM is ready
		body  func() io.Reader
	}{
		{"the entry VM is not ready for a second", 1100 * time.Millisecond, func() io.Reader { return io.MultiReader(strings.NewReader("late")) }},
		{"the caller sends for longer", 0, func() io.Reader { return &slowBody{} }},
	} {
		withHarness(t, x.name, func(w *harness) {
			w.add("a0", "app", 0, 10*time.Millisecond)
			ready := make(chan struct{})
			w.relay.Ready = ready
			time.AfterFunc(max(time.Nanosecond, x.ready), func() { close(ready) })
			time.Sleep(time.Nanosecond)
			a := w.requestBody(context.Background(), http.MethodPost, "/book/1", x.body())
			So(a.status, ShouldEqual, http.StatusServiceUnavailable)
			So(a.header.Get("Retry-After"), ShouldNotBeEmpty)
			So(w.book.Runs("r1"), ShouldBeEmpty)
		})
	}
}

// A slowBody is a body of which a byte is sent each 100 ms for two seconds.
type slowBody struct{ sent int }

func (b *slowBody) Read(p []byte) (int, error) {
	const size = 20
	if b.sent == size {
		return 0, io.EOF
	}
	b.sent++
	time.Sleep(100 * time.Millisecond)
	return copy(p, "x"), nil
}
