// Package soak runs gateways as separate processes, injects faults from outside
// them and checks the promises from what callers and backend servers see. Every
// choice follows from a seed.
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
	"syscall"
	"time"

	"quetzalhold/platform/platformtest"
)

// Options says what to run.
type Options struct {
	Seed     uint64
	For      time.Duration // with faults; recovery comes after it
	Gateways int
	Engines  int
	Plain    int
	Callers  int
	Binary   string // of quetzalhold
	Dir      string // for settings and logs
}

// Report is what a run showed.
type Report struct {
	Requests int
	Served   int
	Streams  int // that ended whole
	Injected int
	Faults   []string
}

const (
	prompt           = "aa:40,bb:400"
	numEvents        = 40
	tokensPerEvent   = 5
	idempotentPrefix = "i"
	// recovery is how long everything may take to serve again after the faults.
	recovery = 30 * time.Second
	// graceS is the time that a gateway gets to stop, in seconds.
	graceS = 4
)

// gateway is an entry VM.
type gateway struct {
	n                int
	file, log        string
	front, readiness string
	life             sync.Mutex // held while the process is ended and started

	mu    sync.Mutex
	cmd   *exec.Cmd
	start int // counts the processes
}

// world is all that a run consists of.
type world struct {
	o        Options
	rnd      *rand.Rand
	book     *platformtest.Recorder
	store    *platformtest.Store
	storeVia *Proxy
	servers  []*platformtest.Server
	vias     []*Proxy
	gateways []*gateway
	judge    *judge

	mu    sync.Mutex
	epoch int // of the newest configuration
}

// Run runs a soak. An error means that it could not be carried out.
func Run(ctx context.Context, o Options) (Report, error) {
	w := &world{o: o, rnd: rand.New(rand.NewPCG(o.Seed, 1)), book: &platformtest.Recorder{}, store: &platformtest.Store{}}
	w.judge = &judge{book: w.book, seen: make(map[string]int)}
	if err := w.set(); err != nil {
		return Report{}, err
	}
	defer w.stopAll()
	if !w.awaitReady(ctx, recovery) {
		return Report{}, fmt.Errorf("gateways did not start; see %s", o.Dir)
	}
	work, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range o.Callers {
		wg.Go(func() { w.call(work, i) })
	}
	injected := w.injectAll(ctx)
	w.heal()
	recovered := w.awaitReady(ctx, recovery)
	served := w.judge.count()
	time.Sleep(2 * time.Second)
	if recovered && w.judge.count() == served {
		recovered = false
	}
	stop()
	wg.Wait()
	w.judge.finish()
	if !recovered {
		w.judge.faults = append(w.judge.faults, "not recovered after the faults ended")
	}
	j := w.judge
	return Report{Requests: j.requests, Served: j.served, Streams: j.streams, Injected: injected, Faults: j.faults}, nil
}

func (j *judge) count() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.served
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// set starts stand-ins and gateways.
func (w *world) set() error {
	address, err := serve(w.store)
	if err != nil {
		return err
	}
	if w.storeVia, err = NewProxy(address); err != nil {
		return err
	}
	for i := range w.o.Engines + w.o.Plain {
		s := &platformtest.Server{
			ID: fmt.Sprintf("s%d", i), Service: "models", Domain: []string{"cn-a", "wv-a"}[i%2], Version: "v1", Born: int64(1000 + i),
			Engine: i < w.o.Engines, Work: 10 * time.Millisecond, Recorder: w.book,
		}
		if !s.Engine {
			s.Service = "app"
		}
		behind, err := serve(s)
		if err != nil {
			return err
		}
		via, err := NewProxy(behind)
		if err != nil {
			return err
		}
		s.Address = via.Address()
		w.servers, w.vias = append(w.servers, s), append(w.vias, via)
		w.store.Put("servers", s.ID, s.Entry("ready"))
	}
	w.configure()
	for i := range w.o.Gateways {
		g, err := w.newGateway(i)
		if err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
		if err := g.run(w.o.Binary); err != nil {
			return err
		}
	}
	return nil
}

// key returns the only key of a configuration.
func key(epoch int) string { return "key-" + strconv.Itoa(epoch) }

// configure writes a configuration with a new key in place of the one before.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := w.epoch + 1
	route := func(name, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 8000, "target_latency_ms": 2000,
			"target_gap_ms": 700, "priority": 1, "service": service, "max_attempts": attempts, "stream_resume": true,
		}
	}
	w.store.Put("config", "main", map[string]any{
		"version": next,
		"routes":  []any{route("book", "non_idempotent", "app", 1), route("status", "idempotent", "app", 2), route("brief", "streaming", "models", 5)},
		"services": []any{
			map[string]any{"name": "app", "health_path": "/health"},
			map[string]any{"name": "models", "health_path": "/health", "engine": map[string]any{"slots": 48, "kv_token_capacity": 88000, "backups": true, "moves": true}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 100000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "barkline", "api_keys": []string{key(next)}}},
	})
	w.epoch = next
}

func (w *world) newest() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.epoch
}

// The ports of a gateway, which has a loopback address of its own: no other process
// can take them.
const (
	portFront = 7001 + iota
	portReadiness
	portPeers
	portMetrics
)

// loopback returns the address of a gateway of this run. It follows from the process,
// not from the seed: soaks of the same seed may run side by side.
func (w *world) loopback(n, port int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid%250, pid/250%250, 1+n, port)
}

func (w *world) newGateway(n int) (*gateway, error) {
	g := &gateway{n: n, file: filepath.Join(w.o.Dir, fmt.Sprintf("gateway-%d.json", n)), log: filepath.Join(w.o.Dir, fmt.Sprintf("gateway-%d.log", n))}
	g.front, g.readiness = w.loopback(n, portFront), w.loopback(n, portReadiness)
	raw, err := json.Marshal(map[string]any{
		"id": fmt.Sprintf("g%d", n), "domain": []string{"cn-a", "wv-a"}[n%2], "regions": map[string]string{"cn-a": "c", "wv-a": "w"},
		"listen": g.front, "readiness": g.readiness, "peers": w.loopback(n, portPeers), "metrics": w.loopback(n, portMetrics), "store": w.storeVia.Address(), "heartbeatMs": 1200,
		"bounds": map[string]any{"drainMs": 3000, "graceS": graceS, "configMs": 3000, "repeatRatio": 0.8, "repeatSlack": 150, "repeatWindowS": 10},
	})
	if err != nil {
		return nil, err
	}
	return g, os.WriteFile(g.file, raw, 0o600)
}

// run starts the process.
func (g *gateway) run(binary string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.cmd = exec.Command(binary, "gateway", "--settings", g.file)
	g.cmd.Stdout, g.cmd.Stderr = out, out
	g.start++
	// The process has its own descriptor of the file.
	return errors.Join(g.cmd.Start(), out.Close())
}

// signal sends a signal to the process that this soak started.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Signal(s) // it may have ended
}

// stop ends the process with a signal and waits for it.
func (g *gateway) stop(s syscall.Signal) {
	g.signal(s)
	g.signal(syscall.SIGCONT)
	late := time.AfterFunc((graceS+1)*time.Second, func() { g.signal(syscall.SIGKILL) })
	_ = g.cmd.Wait() // killed processes end with an error
	late.Stop()
}

func (w *world) stopAll() {
	for _, g := range w.gateways {
		g.stop(syscall.SIGKILL)
	}
}

// awaitReady waits until all gateways are ready.
func (w *world) awaitReady(ctx context.Context, limit time.Duration) bool {
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

// call is a caller: it sends one request after the other, on kept connections, and
// resumes streams that break.
func (w *world) call(ctx context.Context, n int) {
	rnd := rand.New(rand.NewPCG(w.o.Seed, uint64(1000+n)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	after := 0 // of a stream that broke
	for i := 0; ctx.Err() == nil; i++ {
		g := w.gateways[rnd.IntN(len(w.gateways))]
		g.mu.Lock()
		r := request{vm: g.n, start: g.start}
		g.mu.Unlock()
		path := "/status/1"
		switch kind := rnd.IntN(3); {
		case after > 0 || kind == 0:
			r.stream, r.after, path = true, after, "/brief/1"
			r.id = fmt.Sprintf("%s-%d-%d", idempotentPrefix, n, i)
		case kind == 1:
			r.once, path = true, "/book/1"
			r.id = fmt.Sprintf("b-%d-%d", n, i)
		default:
			r.id = fmt.Sprintf("%s-%d-%d", idempotentPrefix, n, i)
		}
		k := knowledge{own: w.newest(), before: w.judge.epochSeen(r.vm, r.start)}
		if rnd.IntN(4) == 0 && k.own > 1 {
			k.own-- // a key that was taken away
		}
		r.key = key(k.own)
		o := send(ctx, client, g.front, path, r)
		g.mu.Lock()
		k.same = g.start == r.start
		g.mu.Unlock()
		k.newest = w.newest()
		w.judge.take(r, o, k)
		if r.stream {
			after = resumeAt(r, o)
		}
	}
}

// resumeAt returns the last whole event of a stream that broke; 0 if it is to begin
// anew.
func resumeAt(r request, o outcome) int {
	got := r.after + strings.Count(o.body, "\n\n")
	if o.whole || got >= numEvents {
		return 0
	}
	return got
}

func send(ctx context.Context, client *http.Client, front, path string, r request) outcome {
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
		req.Header.Set("X-Token-Count", fmt.Sprintf("440,%d", numEvents*tokensPerEvent))
		if r.after > 0 {
			req.Header.Set("Last-Event-Id", strconv.Itoa(r.after))
		}
	}
	resp, err := client.Do(req)
	if err != nil {
		return outcome{}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return outcome{status: resp.StatusCode, body: string(b), whole: err == nil}
}
