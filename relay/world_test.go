package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/clock"
	"quetzalhold/engine"
	"quetzalhold/memnet"
	"quetzalhold/names"
	"quetzalhold/platform/platformtest"
	"quetzalhold/relay"
	"quetzalhold/result"
	"quetzalhold/routing"
)

// The addresses in the test harness.
const (
	entryHost   memnet.Host = "10.1.0.1"
	callerHost  memnet.Host = "10.9.0.1"
	entryListen             = "10.1.0.1:80"
)

// harness is a relay between a caller and servers, on an in-memory network.
type harness struct {
	net            *memnet.Network
	relay          *relay.Relay
	pool           *backend.Pool
	budget         *backend.RetryBudget
	book           *platformtest.Recorder
	servers        map[string]*platformtest.Server
	running        map[string]*http.Server
	cut            []net.Listener // of serveCut
	frontend       *http.Server
	cancelRequests context.CancelCauseFunc // ends the requests in flight

	mu    sync.Mutex
	table *routing.Table
	codes []result.Code
	held  map[string]time.Time // until when servers take no connections, by address
}

// domains are the failure domains, each in a region of its own.
var domains = []string{"cn-a", "wv-a", "ks-a"}

func newHarness() *harness {
	w := &harness{
		net: &memnet.Network{Latency: latency}, pool: &backend.Pool{}, book: &platformtest.Recorder{},
		budget:  &backend.RetryBudget{Ratio: 1, Window: 10 * time.Second},
		servers: make(map[string]*platformtest.Server), running: make(map[string]*http.Server),
	}
	w.budget.SetSlack(20)
	w.table = routing.NewTable(testConfig())
	r := relay.New(w.dial)
	r.Domain = "cn-a"
	r.Region = func(n names.ID) names.ID { return n }
	r.Pool = w.pool
	r.Table = func() *routing.Table {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.table
	}
	r.Budget = func(routing.ServiceName) *backend.RetryBudget { return w.budget }
	r.Ended = func(_ routing.ServiceName, c result.Code, _ time.Duration, _ int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.codes = append(w.codes, c)
	}
	r.Answered = func(relay.ServerAnswer) {}
	r.Log = zap.NewNop()
	w.relay = r
	var base context.Context
	base, w.cancelRequests = context.WithCancelCause(context.Background())
	w.frontend = &http.Server{Handler: r, BaseContext: func(net.Listener) context.Context { return base }}
	w.serve(entryListen, w.frontend)
	return w
}

// hold lets a server take no connections for d; it takes the ones that wait then.
func (w *harness) hold(s *platformtest.Server, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.held == nil {
		w.held = make(map[string]time.Time)
	}
	w.held[s.Address] = time.Now().Add(d)
}

// dial is the relay's dialer.
func (w *harness) dial(ctx context.Context, network, address string) (net.Conn, error) {
	w.mu.Lock()
	until := w.held[address]
	w.mu.Unlock()
	if err := clock.Until(ctx, until); err != nil {
		return nil, err
	}
	return w.net.Dialer(entryHost)(ctx, network, address)
}

// ended returns the codes with which requests ended so far.
func (w *harness) ended() []result.Code {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.codes)
}

func (w *harness) setTable(t *routing.Table) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table = t
}

// latency is a millisecond to the caller and within the entry VM's domain, and
// 30 ms to other regions.
func latency(a, b memnet.Host) time.Duration {
	if a[:4] == b[:4] || a == callerHost || b == callerHost {
		return time.Millisecond
	}
	return 30 * time.Millisecond
}

func testConfig() routing.Config {
	low := routing.Priority(1)
	return routing.Config{
		Version: 7,
		Routes: []routing.Route{
			{
				Name: "brief", Host: "h.example", Prefix: "/brief/", Kind: routing.Stream, Resumable: true, MaxAttempts: 5,
				Timeout: 25 * time.Second, LatencyTarget: 4500 * time.Millisecond, GapTarget: 700 * time.Millisecond,
				Splits: []routing.Split{{Service: "models", Weight: 1}},
			},
			{
				Name: "once", Host: "h.example", Prefix: "/once/", Kind: routing.Stream, MaxAttempts: 5,
				Timeout: 25 * time.Second, LatencyTarget: 4500 * time.Millisecond, GapTarget: 700 * time.Millisecond,
				Splits: []routing.Split{{Service: "models", Weight: 1}},
			},
			{
				Name: "book", Host: "h.example", Prefix: "/book/", Kind: routing.NonIdempotent, MaxAttempts: 1,
				Timeout: time.Second, LatencyTarget: 200 * time.Millisecond, Splits: []routing.Split{{Service: "app", Weight: 1}},
			},
			{
				Name: "status", Host: "h.example", Prefix: "/status/", Kind: routing.Idempotent, MaxAttempts: 2,
				Timeout: time.Second, LatencyTarget: 200 * time.Millisecond, Splits: []routing.Split{{Service: "app", Weight: 1}},
			},
			{
				Name: "open", Host: "h.example", Prefix: "/open/", Kind: routing.Idempotent, MaxAttempts: 2, Public: true,
				Timeout: time.Second, LatencyTarget: 200 * time.Millisecond, Splits: []routing.Split{{Service: "app", Weight: 1}},
			},
		},
		Services: []routing.Service{
			{Name: "models", HealthPath: "/health", Model: &routing.Model{Slots: 48, KVTokens: 88000, Replicates: true, Checkpoints: true}},
			{Name: "app", HealthPath: "/health"},
		},
		Organisations: []routing.OrganisationConfig{{Name: "barkline", Keys: []routing.Key{"key-1"}, Priority: &low}},
		Limits:        routing.Limits{HeaderBytes: 4096, BodyBytes: 10000, IdleTimeout: 15 * time.Second},
	}
}

func (w *harness) serve(address string, s *http.Server) {
	l, err := w.net.Listen(address)
	if err != nil {
		panic(err)
	}
	go func() { _ = s.Serve(l) }()
}

// add starts a server and adds it to the pool.
func (w *harness) add(id, service string, domain int, work time.Duration) *platformtest.Server {
	n := len(w.servers) + 2
	s := &platformtest.Server{
		ID: id, Address: fmt.Sprintf("10.%d.64.%d:80", domain+1, n), Service: service, Domain: domains[domain], Version: "v1",
		Born: int64(1000 + n), Engine: service == "models", Work: work, Recorder: w.book,
	}
	w.servers[id] = s
	w.start(s)
	w.pool.Apply(entry(s))
	return s
}

func entry(s *platformtest.Server) backend.Server {
	return backend.Server{
		ID: engine.ServerID(s.ID), Service: routing.ServiceName(s.Service), Address: s.Address, Domain: names.ID(s.Domain),
		Version: engine.Version(s.Version), Start: engine.Incarnation(s.Born), Slots: 6, Revision: backend.Revision{Number: s.Born},
	}
}

func (w *harness) start(s *platformtest.Server) {
	h := &http.Server{Handler: s}
	w.running[s.ID] = h
	w.serve(s.Address, h)
}

// stopListening frees a server's address for another handler.
func (w *harness) stopListening(s *platformtest.Server) {
	time.Sleep(time.Millisecond) // it has begun to listen
	_ = w.running[s.ID].Close()
}

// serveRaw answers the first connection to address with head and then bytes without end, and
// returns a channel that gets how many there were.
func (w *harness) serveRaw(address, head string) <-chan int {
	l, err := w.net.Listen(address)
	if err != nil {
		panic(err)
	}
	sent := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		defer l.Close()
		// The request fits into one read; its content does not matter.
		_, _ = c.Read(make([]byte, 4096))
		_, err = io.WriteString(c, head)
		n := 0
		for err == nil {
			var m int
			m, err = io.WriteString(c, strings.Repeat("x", 1000))
			n += m
		}
		sent <- n
	}()
	return sent
}

func (w *harness) host(s *platformtest.Server) memnet.Host {
	host, _, _ := net.SplitHostPort(s.Address)
	return memnet.Host(host)
}

// kill stops a server, whose connections are reset; its state is lost.
func (w *harness) kill(s *platformtest.Server) {
	w.net.Crash(w.host(s))
	s.Stop("")
	w.book.DropCopies(s.Address)
}

// blackhole makes a server unreachable, without resets; its state is lost.
func (w *harness) blackhole(s *platformtest.Server) {
	w.net.Disconnect(w.host(s))
	s.Stop("")
	w.book.DropCopies(s.Address)
}

// addEngines starts three engines in each failure domain.
func (w *harness) addEngines() {
	for i := range 9 {
		w.add(fmt.Sprintf("e%d", i), "models", i/3, 30*time.Millisecond)
	}
}

func (w *harness) close() {
	_ = w.frontend.Close()
	w.cancelRequests(nil)
	for _, h := range w.running {
		_ = h.Close()
	}
	for _, l := range w.cut {
		_ = l.Close()
	}
	w.relay.CloseIdle()
}

// answer is what a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error         // of reading the body
	gap    time.Duration // the longest between two reads, after the first one
	first  time.Duration // until the first read
	took   time.Duration
}

// request sends a request as a caller does and reads the whole answer.
func (w *harness) request(ctx context.Context, method, path, body string, headers ...string) answer {
	return w.requestBody(ctx, method, path, strings.NewReader(body), headers...)
}

// requestBody is request with a body that is read from a reader.
func (w *harness) requestBody(ctx context.Context, method, path string, body io.Reader, headers ...string) answer {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entryListen+path, body)
	if err != nil {
		panic(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", "r1")
	req.Header.Set("X-Api-Key", "key-1")
	for i := 0; i+1 < len(headers); i += 2 {
		if headers[i+1] == "" {
			req.Header.Del(headers[i])
		} else {
			req.Header.Set(headers[i], headers[i+1])
		}
	}
	t := &http.Transport{DialContext: w.net.Dialer(callerHost), DisableKeepAlives: true}
	begun := time.Now()
	resp, err := t.RoundTrip(req)
	if err != nil {
		return answer{err: err, took: time.Since(begun)}
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode, header: resp.Header}
	var b strings.Builder
	buf := make([]byte, 4096)
	last := time.Time{}
	for {
		n, err := resp.Body.Read(buf)
		now := time.Now()
		if n > 0 {
			if last.IsZero() {
				a.first = now.Sub(begun)
			} else {
				a.gap = max(a.gap, now.Sub(last))
			}
			last = now
			b.Write(buf[:n])
		}
		if err != nil {
			if err != io.EOF {
				a.err = err
			}
			break
		}
	}
	a.body, a.took = b.String(), time.Since(begun)
	return a
}

const (
	prompt      = "aa:200,bb:8000"
	affinityKey = "bb"
	numEvent    = 130
)

// resumableStream requests a stream that may be resumed.
func (w *harness) resumableStream(ctx context.Context, headers ...string) answer {
	return w.stream(ctx, "/brief/1", headers...)
}

// stream requests a stream.
func (w *harness) stream(ctx context.Context, path string, headers ...string) answer {
	return w.request(ctx, http.MethodPost, path, "intake log", append([]string{
		"X-Prompt-Prefix", prompt, "X-Token-Count", fmt.Sprintf("8200,%d", 5*numEvent), "X-Deadline-Ms", "25000",
	}, headers...)...)
}

// requestAt requests a stream directly from an engine with a prompt of its own, as another
// entry VM does.
func (w *harness) requestAt(s *platformtest.Server, id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Address+"/brief/1", strings.NewReader("another log"))
	if err != nil {
		panic(err)
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Prompt-Prefix", id+":8000")
	req.Header.Set("X-Token-Count", "8000,5000")
	resp, err := (&http.Transport{DialContext: w.net.Dialer(callerHost), DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return // the test has ended
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // how it ends does not matter
}

// events returns the events from first to last.
func events(first, last int) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		b.WriteString(platformtest.EventText(prompt, n))
	}
	return b.String()
}

// withHarness runs a test in a synctest bubble.
func withHarness(t *testing.T, name string, f func(*harness)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, func() {
				w := newHarness()
				defer func() {
					time.Sleep(time.Minute)
					So(w.relay.OpenExchanges(), ShouldEqual, 0) // each request has an outcome
				}()
				defer w.close()
				f(w)
			})
		})
	})
}

// serving returns the server that works on a request now.
func (w *harness) serving(id string) *platformtest.Server {
	runs := w.book.Runs(id)
	return w.servers[runs[len(runs)-1].Server]
}

// allowOnly allows one version.
func allowOnly(only engine.Version) func(routing.ServiceName, routing.RouteName, engine.RequestID, bool) func(engine.Version) bool {
	return func(routing.ServiceName, routing.RouteName, engine.RequestID, bool) func(engine.Version) bool {
		return func(v engine.Version) bool { return v == only }
	}
}

// judgeAll is a Relay.SlowAfter by which all services are in a version move.
func judgeAll(routing.ServiceName, routing.RouteName) (time.Duration, bool) { return time.Second, true }
