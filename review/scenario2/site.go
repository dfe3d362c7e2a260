package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"sort"
	"sync"
	"syscall"
	"time"

	"quetzalhold/platform/platformtest"
)

// contact is contact_ms of the small deployments.
const contact = 4 * time.Second

var zones = []string{"cn-a", "wv-a", "ks-a"}

// site is the platform's store, runners and gateways, which are separate processes.
type site struct {
	rec      *record
	dir      string
	binary   string
	store    *platformtest.Store
	proxy    *proxy // between the gateways and the store
	recorder *platformtest.Recorder
	runners  []*runner
	gateways []*gateway
	basePort int
	starts   chan startOrder

	mu      sync.Mutex
	stopped bool
	ended   map[string]int // by gateway, how often its process has ended by itself
	crashes []time.Time
	watches map[string]time.Time // last watch of crashes, by address of the connection
}

// gateway is a process of the system.
type gateway struct {
	name, zone        string
	listen, readiness string
	file, log         string

	// Guarded by the lock of the site.
	cmd  *exec.Cmd
	gone chan struct{} // closed when the process has ended
}

// sizes of a site.
type sizes struct{ gateways, engines, apps int }

func newSite(rec *record, dir, binary string) *site {
	s := &site{rec: rec, dir: dir, binary: binary, store: &platformtest.Store{}, recorder: &platformtest.Recorder{}}
	s.watches, s.ended, s.starts = make(map[string]time.Time), make(map[string]int), make(chan startOrder)
	go s.startProcesses()
	return s
}

// start starts the store, the runners and the gateways.
func (s *site) start(n sizes) error {
	behind, err := s.serveStore()
	if err != nil {
		return err
	}
	if s.proxy, err = newProxy(behind); err != nil {
		return err
	}
	if s.basePort, err = freePorts(n.gateways); err != nil {
		return err
	}
	s.configure()
	for i := range n.engines + n.apps {
		r := &runner{site: s, name: fmt.Sprintf("e%02d", i), service: "models", engine: i < n.engines, zone: zones[i%len(zones)]}
		if !r.engine {
			r.name, r.service = fmt.Sprintf("a%02d", i-n.engines), "app"
		}
		if err := r.begin(); err != nil {
			return err
		}
		s.runners = append(s.runners, r)
	}
	for i := range n.gateways {
		if err := s.startGateway(i); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// serveStore serves the store on a free port.
func (s *site) serveStore() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/objects/crashes" && r.URL.Query().Get("watch") != "" {
				s.mu.Lock()
				s.watches[r.RemoteAddr] = time.Now()
				s.mu.Unlock()
			}
			if r.Method != http.MethodGet {
				s.rec.printf("store: %s %s", r.Method, r.URL.Path)
			}
			s.store.ServeHTTP(w, r)
		}))
	}()
	return l.Addr().String(), nil
}

// configure writes the configuration.
func (s *site) configure() {
	route := func(name, kind, service string, attempts, target, timeout int) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout, "target_latency_ms": target,
			"target_gap_ms": 700, "priority": 1, "service": service, "max_attempts": attempts, "stream_resume": kind == "streaming",
		}
	}
	s.store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			route("book", "non_idempotent", "app", 2, 400, 2500), route("status", "idempotent", "app", 3, 400, 2500),
			route("brief", "streaming", "models", 5, 4500, 25000),
		},
		"services": []any{
			map[string]any{"name": "app", "health_path": "/health", "max_connections": 100},
			map[string]any{"name": "models", "health_path": "/health", "max_connections": 300, "engine": map[string]any{"slots": 48, "kv_token_capacity": 88000, "backups": true, "moves": true}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "barkline", "api_keys": []string{"key-1"}}},
	})
}

// The ports of a gateway, above the lowest of its site. Each gateway has a loopback address of its own.
const (
	portListen = iota
	portReadiness
	portPeers
	portMetrics
	ports
)

// lowestPort and highestPort bound the ports that are tried for the gateways of a site.
const lowestPort, highestPort = 7001, 9999

// freePorts returns the lowest of some ports that are free at the addresses of all gateways.
func freePorts(gateways int) (int, error) {
	for base := lowestPort; base+ports <= highestPort; base += ports {
		if areFree(base, gateways) {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func areFree(base, gateways int) bool {
	for n := range gateways {
		for port := range ports {
			l, err := net.Listen("tcp", gatewayAddress(n, base+port))
			if err != nil {
				return false
			}
			_ = l.Close() // it has accepted nothing
		}
	}
	return true
}

func gatewayAddress(n, port int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid%250, pid/250%250, 1+n, port)
}

// address returns the address of a port of gateway n.
func (s *site) address(n, port int) string { return gatewayAddress(n, s.basePort+port) }

// settings returns the settings file of a gateway, with the fields and bounds of deploy/gateway.json.tmpl.
func (s *site) settings(n int) map[string]any {
	regions := make(map[string]string)
	for _, z := range zones {
		regions[z] = "region-" + z
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, s.address(i, portPeers))
	}
	return map[string]any{
		"id": fmt.Sprintf("front-%d", n), "domain": zones[n%len(zones)], "regions": regions,
		"listen": s.address(n, portListen), "readiness": s.address(n, portReadiness), "peers": s.address(n, portPeers),
		"metrics": s.address(n, portMetrics), "seeds": seeds, "store": s.proxy.address(), "heartbeatMs": 1200, "memoryMB": 134,
		"linkMbps": 1000, "maxFds": 4100, "agreements": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "rollout", "platform"},
		"bounds": map[string]any{
			"drainMs": 3000, "graceS": 8, "configMs": 3000, "repeatRatio": 0.8, "repeatSlack": 150, "repeatWindowS": 10,
			"badShare": 0.1, "badSlack": 50, "rollbackMs": 5000,
		},
	}
}

// startGateway starts gateway n as a process.
func (s *site) startGateway(n int) error {
	raw, err := json.Marshal(s.settings(n))
	if err != nil {
		return err
	}
	name := fmt.Sprintf("front-%d", n)
	file := filepath.Join(s.dir, name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	g := &gateway{
		name: name, zone: zones[n%len(zones)], listen: s.address(n, portListen), readiness: s.address(n, portReadiness),
		file: file, log: filepath.Join(s.dir, name+".log"),
	}
	s.mu.Lock()
	s.gateways = append(s.gateways, g)
	s.mu.Unlock()
	return s.startProcess(g)
}

// startOrder is an order to start a process.
type startOrder struct {
	cmd  *exec.Cmd
	done chan<- error
}

// startProcesses starts processes from one thread, which ends with this program: the kernel then kills them, however this
// program ends.
func (s *site) startProcesses() {
	runtime.LockOSThread()
	for o := range s.starts {
		o.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		o.done <- o.cmd.Start()
	}
}

// errStopped reports that the site is being stopped.
var errStopped = errors.New("the site is being stopped")

// startProcess starts the process of a gateway, with the command of the deploy file.
func (s *site) startProcess(g *gateway) error {
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the process has a descriptor of its own
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return errStopped
	}
	cmd := exec.Command(s.binary, "gateway", "--settings", g.file)
	cmd.Stdout, cmd.Stderr = out, out
	done := make(chan error)
	s.starts <- startOrder{cmd, done}
	if err := <-done; err != nil {
		return err
	}
	gone := make(chan struct{})
	g.cmd, g.gone = cmd, gone
	go func() {
		_ = cmd.Wait() // its state tells how the process ended
		close(gone)
	}()
	return nil
}

// restartDelay is the delay after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// supervise starts the process of a gateway again whenever it ends.
func (s *site) supervise(g *gateway) {
	for {
		s.mu.Lock()
		cmd, gone := g.cmd, g.gone
		s.mu.Unlock()
		<-gone
		s.mu.Lock()
		stopped := s.stopped
		if !stopped {
			s.ended[g.name]++
		}
		s.mu.Unlock()
		if stopped {
			return
		}
		s.rec.printf("the process of %s has ended by itself: %v", g.name, cmd.ProcessState)
		time.Sleep(restartDelay)
		if err := s.startProcess(g); err != nil {
			s.rec.printf("%s is not started again: %v", g.name, err)
			return
		}
	}
}

// ends returns how often the process of a gateway has ended by itself.
func (s *site) ends(g *gateway) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended[g.name]
}

// awaitReady waits until all gateways are ready, and a little longer until they know each other.
func (s *site) awaitReady() error {
	until := time.Now().Add(20 * time.Second)
	for _, g := range s.gateways {
		for !isReady(g.readiness) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	s.rec.printf("%d gateways are ready, %d runners", len(s.gateways), len(s.runners))
	return nil
}

func isReady(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
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

// stop ends the gateways' processes. None is started afterwards.
func (s *site) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, g := range s.gateways {
		if g.cmd != nil {
			_ = g.cmd.Process.Kill() // it may have ended
			<-g.gone
		}
	}
}

// stopOnSignal ends the gateways and this program if it is told to end.
func (s *site) stopOnSignal() {
	signal.Ignore(syscall.SIGPIPE) // of the standard output
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-c
		s.stop()
		_ = os.RemoveAll(s.dir) // what remains is in the folder for temporary files
		os.Exit(invalid)
	}()
}

// crash records that a runner has crashed.
func (s *site) crash(id string) {
	s.mu.Lock()
	s.crashes = append(s.crashes, time.Now())
	n := len(s.crashes)
	s.mu.Unlock()
	s.rec.printf("runner %s crashes, crash %d", id, n)
}

// crashAt returns when the n-th crash was, and false if there were fewer.
func (s *site) crashAt(n int) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) < n {
		return time.Time{}, false
	}
	return s.crashes[n-1], true
}

// reached returns when requests with a body, or with a part of a prompt, reached runners, in order.
func (s *site) reached(of func(*platformtest.Server) []time.Time) []time.Time {
	var all []time.Time
	for _, r := range s.runners {
		for _, sim := range r.sims() {
			all = append(all, of(sim)...)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Before(all[j]) })
	return all
}

// in returns the gateways of a zone.
func (s *site) in(zone string) []*gateway {
	var list []*gateway
	for _, g := range s.gateways {
		if g.zone == zone {
			list = append(list, g)
		}
	}
	return list
}

// awaitFreshWatches waits until the watches of crashes have begun in the last seconds, as in a fifth of the time. It
// reports whether there was such a moment.
func (s *site) awaitFreshWatches() bool {
	const (
		renewal = 12 * time.Second // a watch waits 10 s for a change
		fresh   = 2 * time.Second
	)
	until := time.Now().Add(4 * renewal)
	for time.Now().Before(until) {
		time.Sleep(100 * time.Millisecond)
		open, recent := 0, 0
		s.mu.Lock()
		for _, at := range s.watches {
			if time.Since(at) < renewal {
				open++
			}
			if time.Since(at) < fresh {
				recent++
			}
		}
		s.mu.Unlock()
		if recent >= len(zones) && recent == open {
			return true
		}
	}
	return false
}
