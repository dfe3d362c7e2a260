package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"quetzalhold/platform/platformtest"
)

// world is the stand-ins and gateways of a case.
type world struct {
	gateway string // path of the program
	dir     string
	trouble bool
	began   time.Time
	store   *platformtest.Store
	views   map[string]*platformtest.Store // of the servers, by gateway, where each reaches them at other addresses

	mu       sync.Mutex
	record   *os.File
	gateways []*gateway
}

// newWorld returns a world without gateways, whose store is empty.
func newWorld(program, record, dir string, trouble bool) (*world, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &world{gateway: program, dir: dir, trouble: trouble, began: time.Now(), store: &platformtest.Store{}, record: f}, nil
}

// note writes a line to the record, and to standard output unless it is about a single request.
func (w *world) note(what, format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s: %s\n", time.Since(w.began).Seconds(), what, fmt.Sprintf(format, args...))
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = io.WriteString(w.record, line) // the record is for readers; the exit code tells the result
	if what == "result" || what == "phase" {
		fmt.Print(line)
	}
}

// close ends all gateways.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, g := range w.gateways {
		g.kill()
	}
	_ = w.record.Close()
}

// serve serves h at a free loopback port and returns the address.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// freeAddress returns a free address of gateway n. Its IP address derives from the process, so that no other process
// takes the port before the gateway binds it.
func freeAddress(n int) (string, error) {
	const most = 250
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid%most, pid/most%most, 2+n))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// gateway is an entry VM's process.
type gateway struct {
	name, zone                  string
	front, readiness, peers     string
	settings                    map[string]any
	cmd                         *exec.Cmd
	ended                       chan struct{}
	settingsFile, logFile, prog string
}

// agreements are those of the deployment.
var agreements = []string{"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "engine", "stream", "tenants", "rollout", "pressure", "platform"}

// regions are the zones of the deployment with their regions.
var regions = map[string]string{"norte-a": "norte", "centro-a": "centro", "austral-a": "austral"}

// addGateway starts a gateway in a zone with the settings that the deploy file's template makes of those of the
// platform, and waits until it is ready.
func (w *world) addGateway(name, zone, store string) (*gateway, error) {
	var addresses [4]string
	for i := range addresses {
		a, err := freeAddress(len(w.gateways))
		if err != nil {
			return nil, err
		}
		addresses[i] = a
	}
	g := &gateway{
		name: name, zone: zone, front: addresses[0], readiness: addresses[1], peers: addresses[2], prog: w.gateway,
		settingsFile: filepath.Join(w.dir, name+".json"), logFile: filepath.Join(w.dir, name+".log"),
	}
	g.settings = map[string]any{
		"id": name, "domain": zone, "regions": regions, "listen": g.front, "readiness": g.readiness, "peers": g.peers, "metrics": addresses[3],
		"seeds": []string{}, "store": store, "heartbeatMs": 1200, "memoryMB": 134, "linkMbps": 1000, "maxFds": 4100, "agreements": agreements,
		"bounds": map[string]any{
			"drainMs": 4000, "graceS": 8, "configMs": 4000, "repeatRatio": 0.8, "repeatSlack": 150, "repeatWindowS": 10,
			"badShare": 0.1, "badSlack": 50, "rollbackMs": 5000,
		},
	}
	b, err := json.Marshal(g.settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(g.settingsFile, b, 0o600); err != nil {
		return nil, err
	}
	if err := g.start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.gateways = append(w.gateways, g)
	w.mu.Unlock()
	w.note("phase", "gateway %s started in %s, process %d", name, zone, g.cmd.Process.Pid)
	return g, nil
}

// start starts the gateway's process, whose output goes to its log.
func (g *gateway) start() error {
	out, err := os.OpenFile(g.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.cmd = exec.Command(g.prog, "gateway", "--settings", g.settingsFile)
	g.cmd.Stdout, g.cmd.Stderr = out, out
	if err := errors.Join(g.cmd.Start(), out.Close()); err != nil {
		return err
	}
	g.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan<- struct{}) {
		_ = cmd.Wait() // a process that was killed returns an error
		close(ended)
	}(g.cmd, g.ended)
	return nil
}

// kill ends the gateway's process.
func (g *gateway) kill() {
	_ = g.cmd.Process.Signal(syscall.SIGKILL) // fails if it has ended
	<-g.ended
}

// awaitReady waits until all gateways are ready.
func (w *world) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, g := range w.gateways {
		for !isReady(g.readiness) {
			if time.Now().After(until) {
				return fmt.Errorf("gateway %s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
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

const (
	host = "h.example"
	key  = "key-one"
)

// configure writes the configuration to a store: lookups, which may be repeated, and streams. Those of the route
// summary may be resumed, those of the route note not.
func configure(s *platformtest.Store) {
	route := func(name, kind, service string, attempts int, timeout, target int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout, "target_latency_ms": target,
			"target_gap_ms": 700, "priority": 1, "service": service, "max_attempts": attempts, "stream_resume": name == "summary",
			"session_affinity": kind == "streaming",
		}
	}
	s.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{
			route("lookup", "idempotent", "floor", 2, 1500, 300),
			route("summary", "streaming", "models", 5, 25000, 4000),
			route("note", "streaming", "models", 1, 25000, 4000),
		},
		"services": []any{
			map[string]any{"name": "floor", "health_path": "/health", "max_connections": 550},
			map[string]any{"name": "models", "health_path": "/health", "max_connections": 650, "engine": map[string]any{"slots": 24, "kv_token_capacity": 88000, "backups": true, "moves": true}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "cooperative", "api_keys": []string{key}}},
	})
}

// reply is what a client got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request to a gateway and reads the whole answer.
func send(ctx context.Context, c *http.Client, g *gateway, method, path, id string, header map[string]string, body string) reply {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.front+path, bytes.NewBufferString(body))
	if err != nil {
		return reply{err: err}
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Api-Key", key)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := c.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}
