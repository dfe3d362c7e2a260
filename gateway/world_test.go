package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"quetzalhold/gateway"
	"quetzalhold/memnet"
	"quetzalhold/names"
	"quetzalhold/platform/platformtest"
	"quetzalhold/settings"
	"quetzalhold/telemetry"
)

// Hosts of the test network.
const (
	storeHost  memnet.Host = "10.200.1.1"
	callerHost memnet.Host = "10.9.0.1"
)

// The bounds that the tests check.
const (
	configBound = 3 * time.Second
	drainBound  = 3 * time.Second
	graceBound  = 8 * time.Second
)

// world is a test network with the store, backend servers and entry VMs.
type world struct {
	net   *memnet.Network
	store *platformtest.Store
	book  *platformtest.Recorder
	app   *platformtest.Server
	http  []*http.Server
	vms   []*vm
	seq   int
	// version is that of the configuration.
	version int
	// urgent adds a route to the engines that is more urgent.
	urgent bool
	// badSlack is the slack of the bound on a bad version, in requests.
	badSlack float64
	// agreements are those in the settings of entry VMs that are started after they are set.
	agreements []string
	// traced receives the spans of entry VMs that are started after it is set; nil for
	// none.
	traced *tracetest.InMemoryExporter
}

// vm is an entry VM.
type vm struct {
	id, host string
	domain   names.ID
	seeds    []string
	log      syncBuffer
	stop     context.CancelFunc
	done     chan struct{}
}

// syncBuffer is a buffer that goroutines share.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func newWorld() *world {
	w := &world{net: &memnet.Network{Latency: func(memnet.Host, memnet.Host) time.Duration { return time.Millisecond }}, store: &platformtest.Store{}, book: &platformtest.Recorder{}}
	w.serve(string(storeHost)+":80", w.store)
	w.app = w.server("a0", "app", "cn-a", 10)
	w.version = 1
	w.configure(w.version, "key-1")
	return w
}

func (w *world) serve(address string, h http.Handler) {
	l, err := w.net.Listen(address)
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: h}
	w.http = append(w.http, s)
	go func() { _ = s.Serve(l) }()
}

func (w *world) server(id, service, domain string, n int) *platformtest.Server {
	s := &platformtest.Server{
		ID: id, Address: fmt.Sprintf("10.3.64.%d:80", n), Service: service, Domain: domain, Version: "v1", Born: int64(1000 + n),
		Engine: service == "models", Work: 10 * time.Millisecond, Recorder: w.book,
	}
	w.serve(s.Address, s)
	w.store.Put("servers", id, s.Entry("ready"))
	return s
}

// configure writes a configuration with one API key.
func (w *world) configure(version int, key string) {
	routes := []any{
		map[string]any{
			"name": "book", "host": "h.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 1000,
			"target_latency_ms": 200, "priority": 2, "service": "app", "max_attempts": 1,
		},
		map[string]any{
			"name": "status", "host": "h.example", "path_prefix": "/status/", "kind": "idempotent", "timeout_ms": 1000,
			"target_latency_ms": 200, "priority": 2, "service": "app", "max_attempts": 3,
		},
		map[string]any{
			"name": "brief", "host": "h.example", "path_prefix": "/brief/", "kind": "streaming", "timeout_ms": 25000,
			"target_latency_ms": 4500, "target_gap_ms": 700, "priority": 1, "service": "models", "max_attempts": 5, "stream_resume": true,
		},
	}
	if w.urgent {
		routes = append(routes, map[string]any{
			"name": "alert", "host": "h.example", "path_prefix": "/alert/", "kind": "streaming", "timeout_ms": 25000,
			"target_latency_ms": 4000, "target_gap_ms": 700, "priority": 0, "service": "models", "max_attempts": 5, "stream_resume": true,
		})
	}
	w.store.Put("config", "main", map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": "app", "health_path": "/health", "max_connections": 100},
			map[string]any{"name": "models", "health_path": "/health", "max_connections": 300, "engine": map[string]any{
				"slots": 48, "kv_token_capacity": 88000, "backups": true, "moves": true,
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "barkline", "api_keys": []string{key}, "priority": 1}},
	})
}

// vm starts an entry VM.
func (w *world) vm(id string, domain names.ID, n int) *vm {
	v := &vm{id: id, domain: domain, host: fmt.Sprintf("10.1.0.%d", n)}
	w.vms = append(w.vms, v)
	w.run(v)
	return v
}

// replaceVMs stops all entry VMs and starts them again at other addresses.
func (w *world) replaceVMs() {
	for _, v := range w.vms {
		v.stop()
		<-v.done
	}
	time.Sleep(time.Second)
	for i, v := range w.vms {
		v.host = fmt.Sprintf("10.1.0.%d", 30+i)
		w.run(v)
	}
}

func (w *world) run(v *vm) {
	s := &settings.Gateway{
		ID: v.id, Domain: v.domain, Regions: map[names.ID]names.ID{"cn-a": "c", "wv-a": "w"},
		Listen: v.host + ":80", Readiness: v.host + ":81", Peers: v.host + ":82", Metrics: v.host + ":83",
		Store: string(storeHost) + ":80", HeartbeatMs: 1200, Seeds: v.seeds, Agreements: w.agreements,
		Bounds: settings.Bounds{DrainMs: 3000, GraceS: 8, ConfigMs: 3000, RepeatRatio: 0.8, RepeatSlack: 150, RepeatWindowS: 10, BadSlack: w.badSlack},
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.stop, v.done = cancel, make(chan struct{})
	opts := []gateway.Option{gateway.WithLog(&v.log), gateway.WithNetwork(w.net.Dialer(memnet.Host(v.host)), w.net.Listen)}
	if w.traced != nil {
		s.TraceShare = 1
		opts = append(opts, gateway.WithTelemetry(telemetry.WithSpans(w.traced)))
	}
	d, err := gateway.New(s, opts...)
	if err != nil {
		panic(err)
	}
	go func() {
		defer close(v.done)
		_ = d.Serve(ctx)
	}()
}

func (w *world) close() {
	for _, v := range w.vms {
		v.stop()
	}
	for _, v := range w.vms {
		<-v.done
	}
	for _, s := range w.http {
		_ = s.Close()
	}
}

// postBooking sends a booking to an entry VM and returns the status; 0 if no response
// came.
func (w *world) postBooking(v *vm, key string) int {
	a := w.get(v, "/book/1", key, nil)
	return a.status
}

// answer is the response that a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// transport returns a transport that opens a connection for every request.
func (w *world) transport() *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		return w.net.Dialer(callerHost)(ctx, network, address)
	}}
}

func (w *world) get(v *vm, path, key string, headers http.Header) answer {
	w.seq++
	return w.send(w.transport(), v, path, key, fmt.Sprintf("r%d", w.seq), headers)
}

func (w *world) send(t *http.Transport, v *vm, path, key, id string, headers http.Header) answer {
	return w.sendBody(t, v, path, key, id, "body", headers)
}

func (w *world) sendBody(t *http.Transport, v *vm, path, key, id, body string, headers http.Header) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+v.host+":80"+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = "h.example"
	for name, values := range headers {
		req.Header[name] = values
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Api-Key", key)
	resp, err := t.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}

func (w *world) ready(v *vm) bool {
	resp, err := w.transport().RoundTrip(must(http.NewRequest(http.MethodGet, "http://"+v.host+":81/ready", http.NoBody)))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// inWorld runs f as a subtest in a synctest bubble.
func inWorld(t *testing.T, name string, f func(*world)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, func() {
				w := newWorld()
				defer time.Sleep(time.Minute)
				defer w.close()
				f(w)
			})
		})
	})
}

func namesID(s string) names.ID { return names.ID(s) }

func sortTimes(list []time.Time) { slices.SortFunc(list, time.Time.Compare) }

func itoa(n int) string { return strconv.Itoa(n) }
