// Package soak runs gateways as separate processes, injects faults from outside the
// processes and checks the gateway's guarantees from what callers and backend servers
// observe. All random choices derive from a seed.
package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"quetzalhold/platform"
	"quetzalhold/platform/platformtest"
)

// Options configures a run.
type Options struct {
	Seed         uint64
	FaultTime    time.Duration // time during which faults are injected; the recovery phase follows
	Gateways     int
	Engines      int // model engines
	PlainServers int // servers of the plain service
	Callers      int
	Stops        bool   // gateways are also stopped in series, while servers are replaced
	Binary       string // path of the quetzalhold program
	Dir          string // folder for the gateways' settings and logs
}

// Report is the result of a run.
type Report struct {
	Requests        int
	Served          int      // requests answered with status 200
	CompleteStreams int      // streams of which a caller received the end
	Injected        int      // faults injected
	Crowds          int      // crowds of clients without limits
	Priorities      bool     // the routes of streams differ in priority
	Pressure        bool     // the gateways have the agreement pressure
	Resumes         bool     // streams may be resumed
	Numbering       string   // how engines identify the events of streams
	Violations      []string // violations found
}

const (
	prompt           = "aa:40,bb:400"
	streamEvents     = 40
	tokensPerEvent   = 5
	idempotentPrefix = "i"
	// recovery is how long the gateways may take to become ready, at the start and after
	// the last fault.
	recovery = 30 * time.Second
	// graceS is the time that a gateway has to shut down gracefully, in seconds.
	graceS = 4
)

// gateway is an entry VM that runs as a process.
type gateway struct {
	index             int
	file, log         string
	listen, readiness string
	restartMu         sync.Mutex // held during a restart

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{} // closed once the process has ended
	starts int           // number of processes started so far
}

// harness holds the gateways, stand-ins and proxies of a run.
type harness struct {
	opts       Options
	rnd        *rand.Rand
	crowdRnd   *rand.Rand
	priorities bool // the routes of streams differ in priority
	pressure   bool // the agreement pressure is in the gateways' settings
	resumes    bool // streams may be resumed
	numbering  platformtest.Numbering
	faultsOver atomic.Bool // callers no longer read slowly
	calm       atomic.Bool // nothing disturbs requests any more
	recorder   *platformtest.Recorder
	store      *platformtest.Store
	storeProxy *Proxy
	servers    []*platformtest.Server
	proxies    []*Proxy
	gateways   []*gateway
	checker    *checker

	mu    sync.Mutex
	epoch int // number of the newest configuration
}

// Run runs a soak. It returns an error if the soak could not be carried out; violations
// are in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	w := &harness{opts: o, rnd: rand.New(rand.NewPCG(o.Seed, 1)), recorder: &platformtest.Recorder{}, store: &platformtest.Store{}}
	w.crowdRnd = rand.New(rand.NewPCG(o.Seed, 2))
	w.priorities, w.pressure = o.Seed%2 == 1, o.Seed/2%2 == 1 // four seeds in a row have all combinations
	shape := rand.New(rand.NewPCG(o.Seed, 3))
	w.resumes, w.numbering = shape.IntN(3) > 0, platformtest.DrawNumbering(shape)
	w.checker = &checker{recorder: w.recorder, newestEpoch: make(map[string]int), numbering: w.numbering}
	if err := w.start(); err != nil {
		return Report{}, err
	}
	defer w.stopAll()
	if !w.awaitReady(ctx, recovery) {
		return Report{}, fmt.Errorf("gateways did not start; see %s", o.Dir)
	}
	work, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range o.Callers {
		wg.Go(func() { w.runCaller(work, i) })
	}
	var stops sync.WaitGroup
	if o.Stops {
		stops.Go(func() { w.stopInSeries(ctx) })
	}
	injected, crowds := w.injectAll(ctx)
	stops.Wait()
	w.clearFaults()
	recovered := w.awaitReady(ctx, recovery)
	served := w.checker.servedCount()
	w.calm.Store(recovered)
	time.Sleep(2 * time.Second)
	if recovered && w.checker.servedCount() == served {
		recovered = false
	}
	stop()
	wg.Wait()
	for _, g := range w.gateways {
		w.checkRunning(g)
	}
	w.checker.finish()
	if !recovered {
		w.checker.violations = append(w.checker.violations, "not recovered after the faults ended")
	}
	j := w.checker
	return Report{Requests: j.requests, Served: j.served, CompleteStreams: j.streams, Injected: injected, Crowds: crowds, Priorities: w.priorities, Pressure: w.pressure, Resumes: w.resumes, Numbering: w.numbering.String(), Violations: j.violations}, nil
}

// servedCount returns the number of requests that were answered with status 200.
func (j *checker) servedCount() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.served
}

// serve serves h on a free loopback port and returns the address.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// start starts the stand-ins, the proxies and the gateways.
func (w *harness) start() error {
	address, err := serve(w.store)
	if err != nil {
		return err
	}
	if w.storeProxy, err = NewProxy(address); err != nil {
		return err
	}
	for i := range w.opts.Engines + w.opts.PlainServers {
		s := &platformtest.Server{
			ID: fmt.Sprintf("s%d", i), Service: "models", Domain: []string{"cn-a", "wv-a"}[i%2], Version: "v1", Born: int64(1000 + i),
			Engine: i < w.opts.Engines, Work: 10 * time.Millisecond, Recorder: w.recorder, Numbering: w.numbering,
		}
		if !s.Engine {
			s.Service = "app"
		}
		s.Crashed = func() { w.revive(s) }
		behind, err := serve(s)
		if err != nil {
			return err
		}
		via, err := NewProxy(behind)
		if err != nil {
			return err
		}
		s.Address = via.Address()
		w.servers, w.proxies = append(w.servers, s), append(w.proxies, via)
		w.store.Put("servers", s.ID, s.Entry("ready"))
	}
	w.configure()
	for i := range w.opts.Gateways {
		g, err := w.newGateway(i)
		if err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
		if err := g.startProcess(w.opts.Binary); err != nil {
			return err
		}
	}
	return nil
}

// epochKey returns the API key of a configuration, which has only one.
func epochKey(epoch int) string { return "key-" + strconv.Itoa(epoch) }

// configure writes the next configuration to the store. Its API key replaces the key
// of the one before.
func (w *harness) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := w.epoch + 1
	route := func(name, kind, service string, attempts, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 8000, "target_latency_ms": 2000,
			"target_gap_ms": 700, "priority": priority, "service": service, "max_attempts": attempts, "stream_resume": w.resumes,
		}
	}
	routes := []any{route("book", "non_idempotent", "app", 1, 1), route("status", "idempotent", "app", 2, 1), route("brief", "streaming", "models", 5, 1)}
	if w.priorities {
		routes = append(routes, route("urgent", "streaming", "models", 5, 0), route("batch", "streaming", "models", 5, 2))
	}
	w.store.Put("config", "main", map[string]any{
		"version": next,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": "app", "health_path": "/health"},
			map[string]any{"name": "models", "health_path": "/health", "engine": map[string]any{"slots": 48, "kv_token_capacity": 88000, "backups": true, "moves": true}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 100000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "barkline", "api_keys": []string{epochKey(next)}}},
	})
	w.epoch = next
}

// newest returns the number of the newest configuration.
func (w *harness) newest() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.epoch
}

// The ports of a gateway. Each gateway has a loopback address of its own, so that no
// other process uses the same address and port.
const (
	portListen = 7001 + iota
	portReadiness
	portPeers
	portMetrics
)

// loopback returns the address of a port of gateway n. It derives from the process id,
// not from the seed, so soaks with the same seed may run at the same time.
func (w *harness) loopback(n, port int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid%250, pid/250%250, 1+n, port)
}

// newGateway writes the settings file of gateway n; startProcess starts it.
func (w *harness) newGateway(n int) (*gateway, error) {
	g := &gateway{index: n, file: filepath.Join(w.opts.Dir, fmt.Sprintf("gateway-%d.json", n)), log: filepath.Join(w.opts.Dir, fmt.Sprintf("gateway-%d.log", n))}
	g.listen, g.readiness = w.loopback(n, portListen), w.loopback(n, portReadiness)
	values := map[string]any{
		"id": fmt.Sprintf("g%d", n), "domain": []string{"cn-a", "wv-a"}[n%2], "regions": map[string]string{"cn-a": "c", "wv-a": "w"},
		"listen": g.listen, "readiness": g.readiness, "peers": w.loopback(n, portPeers), "metrics": w.loopback(n, portMetrics), "store": w.storeProxy.Address(), "heartbeatMs": 1200,
		"bounds": map[string]any{"drainMs": 3000, "graceS": graceS, "configMs": 3000, "repeatRatio": 0.8, "repeatSlack": 150, "repeatWindowS": 10},
	}
	if w.pressure {
		values["agreements"] = []string{platform.Pressure}
	}
	raw, err := json.Marshal(values)
	if err != nil {
		return nil, err
	}
	return g, os.WriteFile(g.file, raw, 0o600)
}

// startProcess starts a process of the gateway, whose output is appended to its log.
func (g *gateway) startProcess(binary string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.cmd = exec.Command(binary, "gateway", "--settings", g.file)
	g.cmd.Stdout, g.cmd.Stderr = out, out
	g.starts++
	// The child process has its own descriptor of the log file.
	if err := errors.Join(g.cmd.Start(), out.Close()); err != nil {
		return err
	}
	g.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan<- struct{}) {
		_ = cmd.Wait() // a process ended by a signal returns an error; cmd.ProcessState has the result
		close(ended)
	}(g.cmd, g.ended)
	return nil
}

// signal sends a signal to the gateway's process.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Signal(s) // fails if the process has already ended
}

// checkRunning reports whether the gateway's process is running. One that has ended by itself is a violation.
func (w *harness) checkRunning(g *gateway) bool {
	select {
	case <-g.ended:
		w.checker.mu.Lock()
		defer w.checker.mu.Unlock()
		w.checker.violation("gateway %d ended by itself: %v", g.index, g.cmd.ProcessState)
		return false
	default:
		return true
	}
}

// stop sends a signal to a gateway's process and waits until it ends. The process is killed if
// it takes a second longer than its grace time.
func (w *harness) stop(g *gateway, s syscall.Signal) {
	if !w.checkRunning(g) {
		return
	}
	g.signal(s)
	g.signal(syscall.SIGCONT)
	killTimer := time.AfterFunc((graceS+1)*time.Second, func() { g.signal(syscall.SIGKILL) })
	<-g.ended
	killTimer.Stop()
}

func (w *harness) stopAll() {
	for _, g := range w.gateways {
		w.stop(g, syscall.SIGKILL)
	}
}

// fallTime is how long a server that has fallen over is down.
const fallTime = 2 * time.Second

// revive starts a server again that has fallen over, after fallTime.
func (w *harness) revive(s *platformtest.Server) {
	s.Stop("")
	w.recorder.DropCopies(s.Address)
	time.AfterFunc(fallTime, func() {
		s.Restart(time.Now().UnixMilli())
		w.store.Put("servers", s.ID, s.Entry("ready"))
	})
}

// awaitReady waits until all gateways are ready.
func (w *harness) awaitReady(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, g := range w.gateways {
		for !ready(ctx, g.readiness) {
			if ctx.Err() != nil {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

func ready(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ready", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// runCaller sends requests one after the other over persistent connections until ctx is
// done, and resumes streams that broke off.
func (w *harness) runCaller(ctx context.Context, n int) {
	rnd := rand.New(rand.NewPCG(w.opts.Seed, uint64(1000+n)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	streamRnd := rand.New(rand.NewPCG(w.opts.Seed, uint64(1<<20+n))) // for the streams' paths and pauses
	streamPath := ""
	after := 0 // last event received of a stream that broke off; 0 for none
	for i := 0; ctx.Err() == nil; i++ {
		g := w.gateways[rnd.IntN(len(w.gateways))]
		g.mu.Lock()
		r := request{vm: g.index, process: g.starts}
		g.mu.Unlock()
		if after == 0 { // a stream that is resumed keeps its path
			streamPath = w.drawPath(streamRnd)
		}
		path := "/status/1"
		switch kind := rnd.IntN(3); {
		case after > 0 || kind == 0:
			r.stream, r.lastEvent, path = true, after, streamPath
			r.id, r.pause = fmt.Sprintf("%s-%d-%d", idempotentPrefix, n, i), w.drawPause(streamRnd)
			if !w.resumes {
				r.atMostOnce, r.id = true, fmt.Sprintf("s-%d-%d", n, i)
			}
		case kind == 1:
			r.atMostOnce, path = true, "/book/1"
			r.id = fmt.Sprintf("b-%d-%d", n, i)
		default:
			r.id = fmt.Sprintf("%s-%d-%d", idempotentPrefix, n, i)
		}
		k := epochs{own: w.newest(), before: w.checker.knownEpoch(r.vm, r.process)}
		if rnd.IntN(4) == 0 && k.own > 1 {
			k.own-- // the key of the previous configuration, which is revoked
		}
		r.key, r.calm = epochKey(k.own), w.calm.Load()
		o := w.send(ctx, client, g.listen, path, r)
		g.mu.Lock()
		k.sameProcess = g.starts == r.process
		g.mu.Unlock()
		k.newest = w.newest()
		r.calm = r.calm && ctx.Err() == nil
		w.checker.check(r, o, k)
		if r.stream && w.resumes {
			after = resumePosition(r, o)
		}
	}
}

// resumePosition returns the number of the last complete event of a stream that broke
// off, or 0 if the next stream starts from the beginning.
func resumePosition(r request, o outcome) int {
	got := r.lastEvent + strings.Count(platformtest.WithoutComments(o.body), "\n\n")
	if o.complete || got >= streamEvents {
		return 0
	}
	return got
}

// send sends a request to the gateway at front. The outcome is empty if there is no
// response.
func (w *harness) send(ctx context.Context, client *http.Client, front, path string, r request) outcome {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path, strings.NewReader("body"))
	if err != nil {
		return outcome{}
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", r.id)
	req.Header.Set("X-Api-Key", r.key)
	req.Header.Set("X-Deadline-Ms", "8000")
	if r.stream {
		req.Header.Set("X-Prompt-Prefix", prompt)
		req.Header.Set("X-Token-Count", fmt.Sprintf("440,%d", streamEvents*tokensPerEvent))
		if r.lastEvent > 0 {
			req.Header.Set("Last-Event-Id", w.numbering.IDOf(r.lastEvent))
		}
	}
	resp, err := client.Do(req)
	if err != nil {
		return outcome{}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(&slowBody{Reader: resp.Body, over: &w.faultsOver, pause: r.pause, events: slowEvents})
	return outcome{status: resp.StatusCode, body: string(b), complete: err == nil}
}
