package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/memnet"
)

// idleLimit is the limit of the connections in the tests.
const idleLimit = 5 * time.Second

// connWorld is a server whose idle connections are tracked, and a caller with one
// connection.
type connWorld struct {
	conns idleConns
	limit atomic.Int64 // in nanoseconds
	// onActive is called when the server has read a head.
	onActive atomic.Pointer[func()]
	net      memnet.Network
	server   http.Server
	caller   net.Conn
	answers  *bufio.Reader
}

func newConnWorld() *connWorld {
	w := &connWorld{}
	w.limit.Store(int64(idleLimit))
	w.conns.limit = func() time.Duration { return time.Duration(w.limit.Load()) }
	w.server.ConnState = func(c net.Conn, s http.ConnState) {
		if f := w.onActive.Load(); s == http.StateActive && f != nil {
			(*f)()
		}
		w.conns.track(c, s)
	}
	w.server.ReadHeaderTimeout = readHeaderTimeout
	w.server.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = rw.Write(body)
	})
	l, err := w.net.Listen("10.1.0.1:80")
	if err != nil {
		panic(err)
	}
	go func() { _ = w.server.Serve(l) }()
	if w.caller, err = w.net.Dialer("10.9.0.1")(context.Background(), "tcp", "10.1.0.1:80"); err != nil {
		panic(err)
	}
	w.answers = bufio.NewReader(w.caller)
	return w
}

func (w *connWorld) close() {
	_ = w.caller.Close()
	_ = w.server.Close()
}

// request sends a request, its body after a pause, and returns the answer's body.
func (w *connWorld) request(body string, pause time.Duration) (string, error) {
	if _, err := fmt.Fprintf(w.caller, "POST /book HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body)); err != nil {
		return "", err
	}
	time.Sleep(pause)
	if _, err := io.WriteString(w.caller, body); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(w.answers, nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// closed reports whether the server has closed the connection, after a refusal or not.
func (w *connWorld) closed() bool {
	_ = w.caller.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := io.Copy(io.Discard, w.answers)
	_ = w.caller.SetReadDeadline(time.Time{})
	return err == nil
}

// tracked returns the number of connections that are known to be idle.
func (w *connWorld) tracked() int {
	w.conns.mu.Lock()
	defer w.conns.mu.Unlock()
	return len(w.conns.idle)
}

func withConn(t *testing.T, name string, f func(*connWorld)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, func() {
				w := newConnWorld()
				defer time.Sleep(time.Minute)
				defer w.close()
				answer, err := w.request("first", 0)
				So(err, ShouldBeNil)
				So(answer, ShouldEqual, "first")
				synctest.Wait() // the connection is idle now
				f(w)
			})
		})
	})
}

// TestIdleCloseCutsRequest lets connections expire while requests come on them.
func TestIdleCloseCutsRequest(t *testing.T) {
	withConn(t, "A request whose head was read when its connection expired is answered", func(w *connWorld) {
		time.Sleep(idleLimit + time.Second)
		expired := make(chan int, 1)
		expire := func() {
			expired <- w.conns.closeExpired(time.Now())
			time.Sleep(2 * lastRequestWait)
		}
		w.onActive.Store(&expire)
		answer, err := w.request("second", time.Second)
		So(<-expired, ShouldEqual, 1)
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, "second")
		w.onActive.Store(nil)
		answer, err = w.request("third", time.Second)
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, "third")
	})
	withConn(t, "A request that had arrived unread when its connection expired is answered", func(w *connWorld) {
		time.Sleep(idleLimit + time.Second)
		time.AfterFunc(lastRequestWait/2, func() { _, _ = io.WriteString(w.caller, "GET /status HTTP/1.1\r\nHost: h\r\n\r\n") })
		So(w.conns.closeExpired(time.Now()), ShouldEqual, 1)
		resp, err := http.ReadResponse(w.answers, nil)
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
		answer, err := w.request("second", time.Second)
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, "second")
	})
}

// TestIdleClose checks that idle connections end, and only those.
func TestIdleClose(t *testing.T) {
	withConn(t, "A connection ends once it has been idle for longer than the limit", func(w *connWorld) {
		time.Sleep(idleLimit - time.Second)
		So(w.conns.closeExpired(time.Now()), ShouldEqual, 0)
		So(w.closed(), ShouldBeFalse)
		time.Sleep(2 * time.Second)
		w.limit.Store(0)
		So(w.conns.closeExpired(time.Now()), ShouldEqual, 0)
		w.limit.Store(int64(idleLimit))
		So(w.conns.closeExpired(time.Now()), ShouldEqual, 1)
		time.Sleep(2 * lastRequestWait)
		So(w.closed(), ShouldBeTrue)
		So(w.tracked(), ShouldEqual, 0)
	})
	withConn(t, "A connection to a caller that is silent for ever ends too", func(w *connWorld) {
		w.net.Disconnect("10.9.0.1")
		time.Sleep(idleLimit + time.Second)
		So(w.conns.closeExpired(time.Now()), ShouldEqual, 1)
		time.Sleep(2 * lastRequestWait)
		So(w.tracked(), ShouldEqual, 0)
	})
	withConn(t, "One that begins a request and goes silent ends within the time for headers", func(w *connWorld) {
		_, err := io.WriteString(w.caller, "POST /book HT")
		So(err, ShouldBeNil)
		for range 30 {
			time.Sleep(time.Second)
			w.conns.closeExpired(time.Now())
		}
		So(w.closed(), ShouldBeTrue)
		So(w.tracked(), ShouldEqual, 0)
	})
}

// TestLoweredIdleLimit lowers the limit while a caller keeps a connection by the old one.
func TestLoweredIdleLimit(t *testing.T) {
	sweep := func(w *connWorld, d time.Duration) {
		for range d / time.Second {
			time.Sleep(time.Second)
			w.conns.closeExpired(time.Now())
		}
	}
	withConn(t, "A connection stays for the limit under which it became idle", func(w *connWorld) {
		w.limit.Store(int64(2 * time.Second))
		sweep(w, idleLimit*4/5)
		answer, err := w.request("second", 0)
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, "second")
		sweep(w, 4*time.Second)
		So(w.closed(), ShouldBeTrue)
	})
	withConn(t, "It ends after that limit", func(w *connWorld) {
		w.limit.Store(int64(2 * time.Second))
		sweep(w, idleLimit+2*time.Second)
		So(w.closed(), ShouldBeTrue)
	})
	withConn(t, "A higher limit applies to it", func(w *connWorld) {
		w.limit.Store(int64(4 * idleLimit))
		sweep(w, 3*idleLimit)
		So(w.closed(), ShouldBeFalse)
		sweep(w, 2*idleLimit)
		So(w.closed(), ShouldBeTrue)
	})
	withConn(t, "A limit after none counts from its start", func(w *connWorld) {
		w.limit.Store(0)
		_, err := w.request("second", 0)
		So(err, ShouldBeNil)
		synctest.Wait()
		sweep(w, 2*idleLimit)
		w.limit.Store(int64(idleLimit))
		sweep(w, idleLimit*4/5)
		So(w.closed(), ShouldBeFalse)
		sweep(w, 3*time.Second)
		So(w.closed(), ShouldBeTrue)
	})
}
