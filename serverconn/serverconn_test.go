package serverconn_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/memnet"
	"quetzalhold/serverconn"
)

const (
	entryHost memnet.Host = "10.1.0.1"
	latency               = time.Millisecond
)

// request is a request as a fake server has received it.
type request struct {
	conn, n int // number of the connection, and of the request on it; both from 1
	path    string
}

// server is a fake server.
type server struct {
	// answer writes what the server sends to a request; it reports whether the connection stays open.
	answer func(w io.Writer, r request) bool

	mu       sync.Mutex
	opened   int
	open     int
	requests []request
}

// plain answers with the path of the request and extra headers.
func plain(headers string) func(io.Writer, request) bool {
	return func(w io.Writer, r request) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s", len(r.path), headers, r.path)
		return err == nil
	}
}

func (s *server) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	k := 0
	s.update(func() { s.opened, s.open = s.opened+1, s.open+1; k = s.opened })
	defer s.update(func() { s.open-- })
	in := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		r := request{k, n, req.URL.Path}
		s.update(func() { s.requests = append(s.requests, r) })
		if !s.answer(c, r) {
			return
		}
	}
}

// counts returns the numbers of connections opened so far, of open ones, and of requests.
func (s *server) counts() (opened, open, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened, s.open, len(s.requests)
}

// bench is a pool with fake servers on an in-memory network.
type bench struct {
	net  memnet.Network
	pool *serverconn.Pool
	stop []io.Closer
	mu   sync.Mutex
}

func (b *bench) add(host string, answer func(io.Writer, request) bool) (*server, serverconn.Server) {
	s := &server{answer: answer}
	l, err := b.net.Listen(host + ":80")
	if err != nil {
		panic(err)
	}
	b.stop = append(b.stop, l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.stop = append(b.stop, c) // a server does not see that a silent connection is closed
			b.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s, serverconn.Server{Address: host + ":80", Start: 1}
}

// send sends a request and returns the body of its answer.
func (b *bench) send(ctx context.Context, o serverconn.Options, path string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Server.Address+path, io.NopCloser(strings.NewReader("x")))
	if err != nil {
		panic(err)
	}
	resp, err := b.pool.Do(req, o)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// get is send for a request that has to succeed with its own answer.
func (b *bench) get(o serverconn.Options, path string) {
	body, err := b.send(context.Background(), o, path)
	So(err, ShouldBeNil)
	So(body, ShouldEqual, path)
	time.Sleep(2 * time.Millisecond) // a connection is not used at once after an answer
}

func withBench(t *testing.T, name string, f func(*bench)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, func() {
				b := &bench{net: memnet.Network{Latency: func(_, _ memnet.Host) time.Duration { return latency }}}
				b.pool = &serverconn.Pool{Dial: b.net.Dialer(entryHost)}
				defer time.Sleep(time.Minute)
				defer func() {
					b.pool.CloseIdle()
					for _, l := range b.stop {
						_ = l.Close()
					}
				}()
				f(b)
			})
		})
	})
}

// TestKeptTooLong guards against connections that are used when the server may be about to close them, and
// against ones that are given up although the server keeps them.
func TestKeptTooLong(t *testing.T) {
	for _, x := range []struct {
		name, headers string
		o             serverconn.Options
		idle          time.Duration
		opened        int
	}{
		{"a report, server says nothing", "", serverconn.Options{}, 2900 * time.Millisecond, 1},
		{"a report, server says nothing, too long", "", serverconn.Options{}, 3100 * time.Millisecond, 2},
		{"a report, five seconds stated", "Keep-Alive: max=9, Timeout=5\r\n", serverconn.Options{}, 3900 * time.Millisecond, 1},
		{"a report, five seconds stated, too long", "Keep-Alive: timeout=5\r\n", serverconn.Options{}, 4100 * time.Millisecond, 2},
		{"a report, no time at all", "Keep-Alive: timeout=0\r\n", serverconn.Options{}, 0, 2},
		{"a report, malformed time", "Keep-Alive: timeout=-5\r\n", serverconn.Options{}, 2900 * time.Millisecond, 1},
		{"a health check", "Keep-Alive: timeout=60\r\n", serverconn.Options{Recent: true}, 1900 * time.Millisecond, 1},
		{"a health check, too long", "Keep-Alive: timeout=60\r\n", serverconn.Options{Recent: true}, 2100 * time.Millisecond, 2},
		{"a call", "", serverconn.Options{Class: serverconn.Calls}, 1900 * time.Millisecond, 1},
		{"a call, too long", "Keep-Alive: timeout=60\r\n", serverconn.Options{Class: serverconn.Calls}, 2100 * time.Millisecond, 2},
		{"a call, half of the time stated", "Keep-Alive: timeout=2\r\n", serverconn.Options{Class: serverconn.Calls}, 900 * time.Millisecond, 1},
		{"a call, more than half of it", "Keep-Alive: timeout=2\r\n", serverconn.Options{Class: serverconn.Calls}, 1100 * time.Millisecond, 2},
		{"a call that needs a new one", "", serverconn.Options{Class: serverconn.Calls, Fresh: true}, 0, 2},
		{"the server closes it", "Connection: close\r\n", serverconn.Options{}, 0, 2},
	} {
		withBench(t, x.name, func(b *bench) {
			s, at := b.add("10.1.64.1", plain(x.headers))
			x.o.Server = at
			b.get(x.o, "/1")
			time.Sleep(x.idle)
			b.get(x.o, "/2")
			opened, _, _ := s.counts()
			So(opened, ShouldEqual, x.opened)
		})
	}
	withBench(t, "a series of calls", func(b *bench) {
		s, at := b.add("10.1.64.1", plain(""))
		for i := range 50 {
			b.get(serverconn.Options{Server: at, Class: serverconn.Calls}, fmt.Sprintf("/%d", i))
			time.Sleep(time.Second)
		}
		opened, _, requests := s.counts()
		So(opened, ShouldEqual, 1)
		So(requests, ShouldEqual, 50)
	})
}

// TestForeignAnswer guards against bytes that are taken for the answer to a request they do not belong to.
func TestForeignAnswer(t *testing.T) {
	extra := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"
	for _, x := range []struct {
		name string
		then func(io.Writer)
	}{
		{"an extra answer at once", func(w io.Writer) { _, _ = io.WriteString(w, extra) }},
		{"an extra answer later", func(w io.Writer) {
			go func() {
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(w, extra)
			}()
		}},
		{"a single byte", func(w io.Writer) { _, _ = io.WriteString(w, "\n") }},
	} {
		withBench(t, x.name, func(b *bench) {
			s, at := b.add("10.1.64.1", nil)
			s.answer = func(w io.Writer, r request) bool {
				plain("")(w, r)
				if r.path == "/1" {
					x.then(w)
				}
				return true
			}
			o := serverconn.Options{Server: at, Class: serverconn.Calls}
			b.get(o, "/1")
			time.Sleep(50 * time.Millisecond)
			So(b.pool.Idle(), ShouldEqual, 0)
			b.get(o, "/2")
			opened, open, _ := s.counts()
			So(opened, ShouldEqual, 2)
			So(open, ShouldEqual, 1)
		})
	}
	withBench(t, "an extra answer before the next request", func(b *bench) {
		_, at := b.add("10.1.64.1", func(w io.Writer, r request) bool {
			plain("")(w, r)
			_, _ = io.WriteString(w, extra)
			return true
		})
		for i := range 500 {
			path := fmt.Sprintf("/%d", i)
			body, err := b.send(context.Background(), serverconn.Options{Server: at, Class: serverconn.Calls}, path)
			if err != nil || body != path {
				t.Fatalf("request %d: %q, %v", i, body, err)
			}
			time.Sleep(time.Duration(i%3) * time.Millisecond)
		}
	})
	withBench(t, "a late answer", func(b *bench) {
		s, at := b.add("10.1.64.1", nil)
		s.answer = func(w io.Writer, r request) bool {
			if r.path == "/slow" {
				time.Sleep(100 * time.Millisecond)
			}
			return plain("")(w, r)
		}
		o := serverconn.Options{Server: at, Class: serverconn.Calls}
		b.get(o, "/1")
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := b.send(ctx, o, "/slow")
		So(errors.Is(err, context.Canceled), ShouldBeTrue)
		time.Sleep(60 * time.Millisecond)
		b.get(o, "/2")
		opened, open, _ := s.counts()
		So(opened, ShouldEqual, 2)
		So(open, ShouldEqual, 1)
	})
	withBench(t, "an answer that was not read", func(b *bench) {
		s, at := b.add("10.1.64.1", plain(""))
		req, err := http.NewRequest(http.MethodGet, "http://"+at.Address+"/1", http.NoBody)
		So(err, ShouldBeNil)
		resp, err := b.pool.Do(req, serverconn.Options{Server: at})
		So(err, ShouldBeNil)
		So(resp.Body.Close(), ShouldBeNil)
		time.Sleep(10 * time.Millisecond)
		_, open, _ := s.counts()
		So(open, ShouldEqual, 0)
	})
}

// TestDroppedByServer guards against a request that runs twice because a kept connection has ended, and against
// an end that is noticed only by a request.
func TestDroppedByServer(t *testing.T) {
	o := serverconn.Options{Class: serverconn.Calls}
	withBench(t, "before a request", func(b *bench) {
		var s *server
		s, o.Server = b.add("10.1.64.1", plain(""))
		b.get(o, "/1")
		b.net.Reset(entryHost, "10.1.64.1")
		synctest.Wait()
		b.get(o, "/2")
		opened, _, requests := s.counts()
		So(opened, ShouldEqual, 2)
		So(requests, ShouldEqual, 2)
	})
	withBench(t, "as a request comes", func(b *bench) {
		var s *server
		s, o.Server = b.add("10.1.64.1", nil)
		s.answer = func(w io.Writer, r request) bool { return r.path != "/2" && plain("")(w, r) }
		b.get(o, "/1")
		_, err := b.send(context.Background(), o, "/2")
		var kept *serverconn.KeptError
		So(errors.As(err, &kept), ShouldBeTrue)
		So(kept.Sent, ShouldBeTrue)
		opened, _, requests := s.counts()
		So(opened, ShouldEqual, 1)
		So(requests, ShouldEqual, 2) // it was not sent again
		So(b.pool.Idle(), ShouldEqual, 0)
	})
	withBench(t, "as a request without a body comes", func(b *bench) {
		var s *server
		s, o.Server = b.add("10.1.64.1", nil)
		s.answer = func(w io.Writer, r request) bool { return r.path != "/2" && plain("")(w, r) }
		b.get(o, "/1")
		req, err := http.NewRequest(http.MethodGet, "http://"+o.Server.Address+"/2", http.NoBody)
		So(err, ShouldBeNil)
		_, err = b.pool.Do(req, o)
		var kept *serverconn.KeptError
		So(errors.As(err, &kept), ShouldBeTrue)
		time.Sleep(10 * time.Millisecond)
		opened, _, requests := s.counts()
		So(opened, ShouldEqual, 1)
		So(requests, ShouldEqual, 2)
	})
	withBench(t, "on a new connection", func(b *bench) {
		_, o.Server = b.add("10.1.64.1", func(io.Writer, request) bool { return false })
		_, err := b.send(context.Background(), o, "/1")
		var kept *serverconn.KeptError
		So(err, ShouldNotBeNil)
		So(errors.As(err, &kept), ShouldBeFalse)
	})
	withBench(t, "within an answer", func(b *bench) {
		var s *server
		s, o.Server = b.add("10.1.64.1", nil)
		s.answer = func(w io.Writer, r request) bool {
			if r.path == "/2" {
				_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-")
				return false
			}
			return plain("")(w, r)
		}
		b.get(o, "/1")
		_, err := b.send(context.Background(), o, "/2")
		var kept *serverconn.KeptError
		So(err, ShouldNotBeNil)
		So(errors.As(err, &kept), ShouldBeFalse)
	})
}

// TestSilentPath guards against kept connections that are used after another one of the same server was silent.
func TestSilentPath(t *testing.T) {
	withBench(t, "a path gone silent", func(b *bench) {
		_, at := b.add("10.1.64.1", plain(""))
		_, other := b.add("10.1.64.2", plain(""))
		b.get(serverconn.Options{Server: at, Class: serverconn.Calls}, "/1")
		b.get(serverconn.Options{Server: at}, "/1")
		b.get(serverconn.Options{Server: other}, "/1")
		b.net.Blackhole(entryHost, "10.1.64.1")
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := b.send(ctx, serverconn.Options{Server: at, KeptOnly: true}, "/2")
		So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
		So(b.pool.Idle(), ShouldEqual, 1)
		_, err = b.send(context.Background(), serverconn.Options{Server: at, KeptOnly: true}, "/2")
		So(errors.Is(err, serverconn.ErrNone), ShouldBeTrue)
		b.get(serverconn.Options{Server: at}, "/3")
	})
	withBench(t, "connections opened since are kept", func(b *bench) {
		_, at := b.add("10.1.64.1", plain(""))
		b.get(serverconn.Options{Server: at}, "/1")
		b.net.Blackhole(entryHost, "10.1.64.1")
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		go func() { _, _ = b.send(ctx, serverconn.Options{Server: at}, "/2") }()
		time.Sleep(50 * time.Millisecond)
		b.get(serverconn.Options{Server: at}, "/3")
		time.Sleep(100 * time.Millisecond)
		So(b.pool.Idle(), ShouldEqual, 1)
	})
}

// TestRestartedServer guards against requests on connections to an earlier start of a server.
func TestRestartedServer(t *testing.T) {
	withBench(t, "a later start", func(b *bench) {
		s, at := b.add("10.1.64.1", plain(""))
		b.get(serverconn.Options{Server: at, Class: serverconn.Calls}, "/1")
		b.get(serverconn.Options{Server: at}, "/1")
		at.Start++
		b.get(serverconn.Options{Server: at}, "/2")
		opened, open, _ := s.counts()
		So(opened, ShouldEqual, 3)
		So(open, ShouldEqual, 1)
		at.Start--
		_, err := b.send(context.Background(), serverconn.Options{Server: at, KeptOnly: true}, "/3")
		So(errors.Is(err, serverconn.ErrNone), ShouldBeTrue)
	})
	withBench(t, "a server known to have restarted", func(b *bench) {
		_, at := b.add("10.1.64.1", plain(""))
		b.get(serverconn.Options{Server: at}, "/1")
		b.pool.Drop(at.Address)
		So(b.pool.Idle(), ShouldEqual, 0)
	})
}

// TestDescriptors guards against descriptors that kept connections take from callers.
func TestDescriptors(t *testing.T) {
	withBench(t, "many servers", func(b *bench) {
		b.pool.Limit = 5
		var all []*server
		var at []serverconn.Server
		for i := range 20 {
			s, a := b.add(fmt.Sprintf("10.1.64.%d", i+1), plain(""))
			all, at = append(all, s), append(at, a)
			b.get(serverconn.Options{Server: a}, "/1")
			time.Sleep(10 * time.Millisecond)
			So(b.pool.Idle(), ShouldBeLessThanOrEqualTo, 5)
		}
		for i, s := range all {
			_, open, _ := s.counts()
			So(open == 1, ShouldEqual, i >= 15) // the longest idle are closed
		}
		b.get(serverconn.Options{Server: at[15]}, "/2")
		b.get(serverconn.Options{Server: at[0]}, "/2")
		_, open, _ := all[15].counts()
		So(open, ShouldEqual, 1)
	})
	withBench(t, "one server", func(b *bench) {
		s, at := b.add("10.1.64.1", nil)
		s.answer = func(w io.Writer, r request) bool {
			time.Sleep(20 * time.Millisecond)
			return plain("")(w, r)
		}
		var wg sync.WaitGroup
		for i := range 5 {
			for _, c := range []serverconn.Class{serverconn.Calls, serverconn.Reports} {
				wg.Go(func() {
					_, _ = b.send(context.Background(), serverconn.Options{Server: at, Class: c}, fmt.Sprintf("/%d", i))
				})
			}
		}
		wg.Wait()
		time.Sleep(10 * time.Millisecond)
		_, open, requests := s.counts()
		So(requests, ShouldEqual, 10)
		So(open, ShouldEqual, 3) // two for calls, one for reports
	})
	withBench(t, "a connection that opens after its request has ended", func(b *bench) {
		s, at := b.add("10.1.64.1", plain(""))
		b.pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(50 * time.Millisecond)
			return b.net.Dialer(entryHost)(context.WithoutCancel(ctx), network, address)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_, err := b.send(ctx, serverconn.Options{Server: at}, "/1")
		So(err, ShouldNotBeNil)
		time.Sleep(100 * time.Millisecond)
		opened, open, _ := s.counts()
		So(opened, ShouldEqual, 1)
		So(open, ShouldEqual, 0)
	})
}
