package connlimit_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/connlimit"
	"quetzalhold/memnet"
)

const serverAddress = "10.1.0.1:80"

// site is a server whose clients are limited.
type site struct {
	net     memnet.Network
	limiter connlimit.Limiter
	server  http.Server
	head    atomic.Int64
	runs    atomic.Int64
	closed  []connlimit.Reason
	reports []connlimit.Report
	conns   []net.Conn // of the clients
}

// inSite runs f with a site in a synctest bubble.
func inSite(t *testing.T, name string, l connlimit.Limits, f func(*site)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, func() {
				s := &site{}
				s.head.Store(1000)
				s.limiter = connlimit.Limiter{
					Limits: l,
					Closed: func(r connlimit.Reason) { s.closed = append(s.closed, r) },
					Report: func(r connlimit.Report) { s.reports = append(s.reports, r) },
				}
				s.server.Handler = http.HandlerFunc(s.serve)
				s.limiter.Attach(&s.server, connlimit.BodyPolicy{Total: 5 * time.Second, Limits: connlimit.BodyLimits{Unfinished: 1}})
				inner, err := s.net.Listen(serverAddress)
				So(err, ShouldBeNil)
				limit := func() connlimit.Bytes { return connlimit.Bytes(s.head.Load()) }
				go func() { _ = s.server.Serve(s.limiter.Listen(inner, limit)) }()
				defer time.Sleep(time.Minute)
				defer func() {
					_ = s.server.Close()
					for _, c := range s.conns {
						_ = c.Close()
					}
				}()
				f(s)
			})
		})
	})
}

// serve echoes the body, answers on the connection itself, or answers late.
func (s *site) serve(w http.ResponseWriter, r *http.Request) {
	s.runs.Add(1)
	switch r.URL.Path {
	case "/hijack":
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.Copy(c, c)
		_ = c.Close()
	case "/late":
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(time.Minute)
		_, _ = io.WriteString(w, "late")
	case "/unread":
	default:
		// net/http drops the rest of a body once an answer has begun.
		b, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(b)
	}
}

// dial returns a new connection and a reader of what it gets.
func (s *site) dial() (net.Conn, *bufio.Reader) {
	c, err := s.net.Dialer("10.9.0.1")(context.Background(), "tcp", serverAddress)
	if err != nil {
		panic(err)
	}
	s.conns = append(s.conns, c)
	synctest.Wait()
	return c, bufio.NewReader(c)
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// send sends text and returns the status and body of the answer; 0 if there is none.
func send(c net.Conn, r *bufio.Reader, text string) (status int, body string) {
	go func() { _, _ = io.WriteString(c, text) }()
	return receive(r)
}

func receive(r *bufio.Reader) (status int, body string) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}

// ended reports whether the server has closed a connection.
func ended(c net.Conn, r *bufio.Reader) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := r.ReadByte()
	return err == io.EOF
}

// TestOrdinaryClients guards against limits that clients within them notice.
func TestOrdinaryClients(t *testing.T) {
	inSite(t, "requests on kept connections, large bodies, pipelined requests and hijacked connections", connlimit.Limits{HeadMemory: 100, Connections: 2}, func(s *site) {
		c, r := s.dial()
		large := strings.Repeat("x", 100_000)
		for range 3 {
			status, body := send(c, r, post("/", large))
			So(status, ShouldEqual, http.StatusOK)
			So(body == large, ShouldBeTrue)
			time.Sleep(time.Hour)
		}
		go func() { _, _ = io.WriteString(c, post("/", "first")+post("/", "second")) }()
		for _, want := range []string{"first", "second"} {
			_, body := receive(r)
			So(body, ShouldEqual, want)
		}
		status, body := send(c, r, post("/late", "x"))
		So(status, ShouldEqual, http.StatusOK)
		So(body, ShouldEqual, "late") // the deadline of its body has passed meanwhile
		_, err := io.WriteString(c, "GET /hijack HTTP/1.1\r\nHost: h\r\n\r\n")
		So(err, ShouldBeNil)
		for range 3 { // others do not push it out
			_, _ = s.dial()
		}
		_, err = io.WriteString(c, "raw\n")
		So(err, ShouldBeNil)
		line, err := r.ReadString('\n')
		So(err, ShouldBeNil)
		So(line, ShouldEqual, "raw\n")
		synctest.Wait()
		So(s.closed, ShouldResemble, []connlimit.Reason{connlimit.Silent})
	})
	inSite(t, "a limit that is raised holds for heads on open connections", connlimit.Limits{}, func(s *site) {
		head := "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 2000) + "\r\n\r\n"
		c, r := s.dial()
		s.head.Store(3000)
		status, _ := send(c, r, head)
		So(status, ShouldEqual, http.StatusOK)
		s.head.Store(1000)
		status, _ = send(c, r, head)
		So(status, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
	})
}

// TestLimitedClients guards against heads, connections and unread bodies that stay, and against a line in the log for
// each of a crowd.
func TestLimitedClients(t *testing.T) {
	inSite(t, "a head without end is answered with 431 and its connection ends", connlimit.Limits{}, func(s *site) {
		c, r := s.dial()
		status, _ := send(c, r, "GET /"+strings.Repeat("x", 50_000))
		So(status, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
		time.Sleep(2 * time.Second)
		So(ended(c, r), ShouldBeTrue)
		So(s.runs.Load(), ShouldEqual, 0)
		So(s.limiter.Heads(), ShouldEqual, 0)
	})
	inSite(t, "a crowd of connections is closed but for the last ones, with few reports", connlimit.Limits{Connections: 3}, func(s *site) {
		first, r := s.dial()
		status, _ := send(first, r, post("/", "x"))
		So(status, ShouldEqual, http.StatusOK)
		for range 50 {
			_, _ = s.dial()
		}
		So(s.limiter.Waiting(), ShouldEqual, 3)
		So(len(s.closed), ShouldEqual, 48)
		So(len(s.reports), ShouldEqual, 1)
		status, _ = send(first, r, post("/", "x"))
		So(status, ShouldEqual, http.StatusOK)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		So(len(s.reports), ShouldEqual, 2)
		So(s.reports[0].Count+s.reports[1].Count, ShouldEqual, 48)
	})
	inSite(t, "the rest of a body that no handler reads is not awaited for long", connlimit.Limits{}, func(s *site) {
		c, r := s.dial()
		_, err := io.WriteString(c, "POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
		So(err, ShouldBeNil)
		time.Sleep(2 * time.Second)
		status, _ := receive(r)
		So(status, ShouldEqual, http.StatusOK)
		So(ended(c, r), ShouldBeTrue)
	})
	inSite(t, "a request on a connection that was chosen before does not run", connlimit.Limits{Connections: 1}, func(s *site) {
		c, r := s.dial()
		status, _ := send(c, r, post("/", "x"))
		So(status, ShouldEqual, http.StatusOK)
		synctest.Wait()
		_, _ = s.dial() // closes c
		status, _ = send(c, r, post("/", "x"))
		So(status, ShouldEqual, 0)
		So(s.runs.Load(), ShouldEqual, 1)
	})
	inSite(t, "a body that stops arriving gives way to another", connlimit.Limits{}, func(s *site) {
		stalled, r := s.dial()
		_, err := io.WriteString(stalled, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
		So(err, ShouldBeNil)
		synctest.Wait()
		for _, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
			c, answers := s.dial()
			status, _ := send(c, answers, post("/", "x"))
			So(status, ShouldEqual, want)
			time.Sleep(1100 * time.Millisecond)
		}
		So(ended(stalled, r), ShouldBeTrue)
		So(s.closed, ShouldResemble, []connlimit.Reason{connlimit.NoBodyRoom, connlimit.NoBodyRoom})
	})
}
