package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/memnet"
	"quetzalhold/platform/platformtest"
)

// restart ends an entry VM and starts it again with nothing kept. Its settings name the others.
func (w *world) restart(v *vm) {
	for _, other := range w.vms {
		if other != v {
			v.seeds = append(v.seeds, other.host+":82")
		}
	}
	v.stop()
	<-v.done
	w.run(v)
}

// TestRestartWithoutStore checks that an entry VM which restarts while the store cannot be reached
// uses neither a server that had left nor a key that had been withdrawn.
func TestRestartWithoutStore(t *testing.T) {
	for name, fault := range map[string]platformtest.StoreFault{"busy": {Busy: true}, "silent": {Silent: true}} {
		inWorld(t, "store "+name, func(w *world) {
			w.server("a1", "app", "cn-a", 11)
			w.fleet()
			w.store.Remove("servers", w.app.ID)
			w.configure(2, "key-2")
			time.Sleep(configBound)
			w.store.SetFault(fault)
			left := time.Now()
			for _, v := range w.vms {
				w.restart(v)
				time.Sleep(2 * time.Second)
				So(w.postBooking(v, "key-1"), ShouldEqual, 401)
				for range 3 {
					So(w.postBooking(v, "key-2"), ShouldEqual, 200)
				}
			}
			for _, at := range w.book.StartTimes(w.app.ID) {
				So(at, ShouldHappenBefore, left)
			}
		})
	}
}

// TestStopUnderLoad stops an entry VM while callers send on new and on kept connections. The
// platform sends it new connections until it has failed two readiness checks. Every request must
// be answered.
func TestStopUnderLoad(t *testing.T) {
	const (
		callers  = 30
		interval = 40 * time.Millisecond
		checks   = 2 // failed readiness checks after which no new connections come
	)
	inWorld(t, "no request is cut off", func(w *world) {
		w.app.Work = 5 * time.Millisecond
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(settle)
		var mu sync.Mutex
		failures := make(map[string]int)
		answered, inRotation := 0, true
		var wg sync.WaitGroup
		for i := range callers {
			kept := i%2 == 0
			wg.Go(func() {
				tr := &http.Transport{DisableKeepAlives: !kept, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					mu.Lock()
					out := !inRotation
					mu.Unlock()
					if out {
						return nil, net.ErrClosed
					}
					return w.net.Dialer(memnet.Host(fmt.Sprintf("10.9.1.%d", i+1)))(ctx, network, address)
				}}
				time.Sleep(time.Duration(i) * time.Millisecond)
				for n := 0; ; n++ {
					a := w.send(tr, v, "/book/1", "key-1", fmt.Sprintf("c%d-%d", i, n), nil)
					mu.Lock()
					out := !inRotation
					switch {
					case a.err != nil && !out:
						failures[a.err.Error()]++
					case a.status != 200 && a.err == nil:
						failures[itoa(a.status)]++
					default:
						answered++
					}
					mu.Unlock()
					if out {
						return
					}
					time.Sleep(interval)
				}
			})
		}
		time.Sleep(2 * time.Second)
		v.stop()
		for range checks {
			time.Sleep(time.Second)
			So(w.ready(v), ShouldBeFalse)
		}
		mu.Lock()
		inRotation = false
		mu.Unlock()
		wg.Wait()
		<-v.done
		So(failures, ShouldBeEmpty)
		So(answered, ShouldBeGreaterThan, callers*50)
	})
}

// TestMalformedMessages sends an entry VM what no peer, store or backend server should send. It
// has to go on serving.
func TestMalformedMessages(t *testing.T) {
	bodies := []string{
		``, `null`, `[]`, `7`, `"x"`, `{`, `{}`, `{"items":null}`, `{"items":[null,{}]}`, `{"items":[{"metadata":null,"spec":null}],"store_revision":-5}`,
		`{"items":[{"metadata":{"name":"main","revision":9},"spec":{"version":99,"routes":[{}],"services":[null],"tenants":[{"api_keys":[""]}]}}],"store_revision":9}`,
		`{"items":[{"metadata":{"name":"x"},"spec":{"service":"","address":":","zone":"","version":"","slots":-1,"state":"ready","sequence":-1e300,"born":-1e300}}],"has_more":true}`,
		`{"events":[{"removed":true},{"object":null},{"object":{"metadata":{"name":"a0","revision":-1},"spec":[]}}],"store_revision":9223372036854775807}`,
		`{"epoch":"x","seq":-9,"ageMs":0,"words":[{"server":{}},{"hung":true}],"config":{"version":-1,"routes":[{}]},"moves":[{}],"members":[{}]}`,
		`{"epoch":"x","seq":9223372036854775807,"ageMs":9223372036854775807,"whole":true,"revision":-1,"era":-1,"words":[{"gone":true,"goneInMs":-9223372036854775808}]}`,
	}
	inWorld(t, "malformed answers of the store", func(w *world) {
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(settle)
		for _, b := range bodies {
			before := w.store.Calls()
			w.store.SetFault(platformtest.StoreFault{Body: b})
			time.Sleep(2500 * time.Millisecond)
			So(w.store.Calls()-before, ShouldBeLessThan, 60)
			w.store.SetFault(platformtest.StoreFault{})
			time.Sleep(3 * time.Second)
			So(w.ready(v), ShouldBeTrue)
			So(w.postBooking(v, "key-1"), ShouldEqual, 200)
		}
	})
	inWorld(t, "malformed answers and requests of entry VMs", func(w *world) {
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(settle)
		for i, b := range bodies {
			address := fmt.Sprintf("10.1.9.%d:82", i+1)
			w.serve(address, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte(b)) }))
			// The link makes it the upstream.
			for _, q := range []string{
				"link=999999&seq=0&config=0&waitMs=0", "link=999999&seq=-1&config=-1&waitMs=-1&hung=a+-1&usage=x", "link=x", "link=999999&seq=0&config=999&waitMs=0&ran=[{}]&leaving=+",
			} {
				url := fmt.Sprintf("http://%s:82/feed?id=bad%d&address=%s&domain=cn-a&begun=true&%s", v.host, i, address, q)
				resp, err := w.transport().RoundTrip(must(http.NewRequest(http.MethodGet, url, http.NoBody)))
				So(err, ShouldBeNil)
				So(resp.Body.Close(), ShouldBeNil)
			}
			time.Sleep(2 * time.Second)
			So(w.postBooking(v, "key-1"), ShouldEqual, 200)
		}
	})
}

// TestStopTakesStream guards against a stream that is taken long after a stop has begun, on a
// connection that was open by then, and broken off by its end.
func TestStopTakesStream(t *testing.T) {
	inWorld(t, "It is refused", func(w *world) {
		e := w.server("m0", "models", "cn-a", 40)
		e.Work = 100 * time.Millisecond
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(settle)
		v.stop()
		time.Sleep(2200 * time.Millisecond)
		c := must(w.net.Dialer(callerHost)(context.Background(), "tcp", v.host+":80"))
		defer func() { _ = c.Close() }()
		time.Sleep(2900 * time.Millisecond)
		_, err := io.WriteString(c, "POST /brief/1 HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-1\r\nX-Request-Id: r1\r\n"+
			"X-Token-Count: 800,500\r\nX-Prompt-Prefix: a:200,b:600\r\nX-Deadline-Ms: 25000\r\nContent-Length: 0\r\n\r\n")
		So(err, ShouldBeNil)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		So(err, ShouldBeNil)
		_ = resp.Body.Close()
		So(resp.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		So(resp.Header.Get("Retry-After"), ShouldNotBeEmpty)
		So(w.book.Runs("r1"), ShouldBeEmpty)
		<-v.done
	})
}

// TestStopWithinRequest stops an entry VM while the heads of requests are on their way.
func TestStopWithinRequest(t *testing.T) {
	const first, rest = "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-1\r\nX-Request-Id: ", "\r\nContent-Length: 4\r\n\r\nbody"
	inWorld(t, "Requests whose heads were partly read are answered", func(w *world) {
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(settle)
		dial := func() net.Conn {
			return must(w.net.Dialer(callerHost)(context.Background(), "tcp", v.host+":80"))
		}
		write := func(c net.Conn, text string) {
			_, err := io.WriteString(c, text)
			So(err, ShouldBeNil)
		}
		read := func(c net.Conn) int {
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			So(err, ShouldBeNil)
			_ = resp.Body.Close()
			return resp.StatusCode
		}
		kept := dial()
		defer func() { _ = kept.Close() }()
		write(kept, first+"r1"+rest)
		So(read(kept), ShouldEqual, 200)
		v.stop()
		time.Sleep(2200 * time.Millisecond)
		opened := dial()
		defer func() { _ = opened.Close() }()
		time.Sleep(75 * time.Millisecond)
		write(opened, first)
		write(kept, first)
		time.Sleep(50 * time.Millisecond) // the notice to the platform is over
		write(opened, "r2"+rest)
		write(kept, "r3"+rest)
		So(read(opened), ShouldEqual, 200)
		So(read(kept), ShouldEqual, 200)
		start := time.Now()
		<-v.done
		So(time.Since(start), ShouldBeLessThan, time.Second)
	})
}

// TestStopDropsRefusals lets the grace period end while requests wait for an engine.
func TestStopDropsRefusals(t *testing.T) {
	inWorld(t, "Requests that no server has run are refused", func(w *world) {
		w.server("m0", "models", "cn-a", 20).SetFault(platformtest.Fault{Refuse: true})
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(settle)
		v.stop()
		time.Sleep(2200 * time.Millisecond)
		callers := make([]net.Conn, 20)
		for i := range callers {
			callers[i] = must(w.net.Dialer(callerHost)(context.Background(), "tcp", v.host+":80"))
			defer func() { _ = callers[i].Close() }()
		}
		time.Sleep(4800 * time.Millisecond)
		for i, c := range callers {
			_, err := fmt.Fprintf(c, "POST /brief/1 HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-1\r\nX-Request-Id: r%d\r\n"+
				"X-Token-Count: 100,100\r\nContent-Length: 4\r\n\r\nbody", i)
			So(err, ShouldBeNil)
		}
		for _, c := range callers {
			So(c.SetReadDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			So(err, ShouldBeNil)
			_ = resp.Body.Close()
			So(resp.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		}
		start := time.Now()
		<-v.done
		So(time.Since(start), ShouldBeLessThan, time.Second)
	})
}

// TestStopBreaksOffCalls guards against calls that come so late in a planned stop that they are run, and broken
// off at its end, and against calls that are answered as if they might have run.
func TestStopBreaksOffCalls(t *testing.T) {
	inWorld(t, "on connections that were opened before the listener closed", func(w *world) {
		w.app.Work = 900 * time.Millisecond
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(settle)
		for range 8 {
			So(w.postBooking(v, "key-1"), ShouldEqual, http.StatusOK)
		}
		v.stop()
		time.Sleep(2 * time.Second)
		start := time.Now()
		statuses, run := make(map[int]int), 0 // of calls that have got no answer of a server
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range 60 {
			c := must(w.net.Dialer(callerHost)(context.Background(), "tcp", v.host+":80"))
			defer func() { _ = c.Close() }()
			wg.Go(func() {
				// From 4 s after the signal until its grace ends.
				time.Sleep(time.Until(start.Add(2*time.Second + time.Duration(i)*55*time.Millisecond)))
				id := fmt.Sprintf("late-%d", i)
				body := "body"
				if i%2 == 0 {
					body = "bo"
				}
				_, err := fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-1\r\nX-Request-Id: %s\r\nContent-Length: 4\r\n\r\n%s", id, body)
				if err == nil && len(body) < 4 {
					time.Sleep(50 * time.Millisecond) // the rest of the body comes later
					_, err = io.WriteString(c, "dy")
				}
				var resp *http.Response
				if err == nil {
					resp, err = http.ReadResponse(bufio.NewReader(c), nil)
				}
				mu.Lock()
				defer mu.Unlock()
				status := 0
				if err == nil {
					status = resp.StatusCode
					_ = resp.Body.Close()
				}
				statuses[status]++
				if status != http.StatusOK {
					run += len(w.book.Runs(id))
				}
			})
		}
		wg.Wait()
		<-v.done
		So(run, ShouldEqual, 0)
		So(statuses, ShouldNotContainKey, http.StatusBadGateway)
		So(statuses[http.StatusOK], ShouldBeGreaterThan, 20)
		So(statuses[http.StatusServiceUnavailable], ShouldBeGreaterThan, 5)
	})
}
