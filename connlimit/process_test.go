package connlimit_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"quetzalhold/platform/platformtest"
	"quetzalhold/standin"
)

// The limits in the settings of the gateway under test, and the bounds on its resources: a process that stays within
// its settings uses no more.
const (
	gatewayMemoryMB = 48
	gatewayMaxFDs   = 64
)

// entryMemoryMB bounds the memory of the entry daemon, whose settings have no limit. It takes 27 MB without a crowd.
const entryMemoryMB = 96

// entryHeaderBytes is the limit on headers in the entry daemon's settings.
const entryHeaderBytes = 1 << 20

// oneAtATime is held by a test that runs processes, as their memory is measured.
var oneAtATime sync.Mutex

var binary struct {
	once sync.Once
	path string
	err  error
}

// build builds the product once and returns the path of its binary.
func build() (string, error) {
	binary.once.Do(func() {
		dir, err := os.MkdirTemp("", "connlimit")
		if err != nil {
			binary.err = err
			return
		}
		binary.path = filepath.Join(dir, "quetzalhold")
		if out, err := exec.Command("go", "build", "-o", binary.path, "quetzalhold/cmd/quetzalhold").CombinedOutput(); err != nil {
			binary.err = fmt.Errorf("build: %w: %s", err, out)
		}
	})
	return binary.path, binary.err
}

func TestMain(m *testing.M) {
	code := m.Run()
	if binary.path != "" {
		_ = os.RemoveAll(filepath.Dir(binary.path))
	}
	os.Exit(code)
}

// process is a process of the product.
type process struct {
	cmd    *exec.Cmd
	output bytes.Buffer // read after exited is closed
	exited chan struct{}
	close  func() // closes the stand-ins
	// The addresses by name, and the requests that a client sends to each.
	addresses map[string]address
	maxMB     int // bound on resident memory
	maxFDs    int // bound on open descriptors; 0 for none
}

// address is one at which the process listens.
type address struct {
	at string
	// ask sends an ordinary request.
	ask func(at string) error
	// path and host are those of the crowd's requests.
	path, host string
}

// freeAddresses returns n different addresses with free ports. Their loopback address is used by this test only, so no
// outgoing connection takes the ports.
func freeAddresses(n int) []string {
	var listeners []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.78.0.1:0")
		if err != nil {
			panic(err)
		}
		listeners = append(listeners, l)
	}
	// Only now are they closed: the system may give a port that is free again.
	var all []string
	for _, l := range listeners {
		all = append(all, l.Addr().String())
		_ = l.Close()
	}
	return all
}

// serve serves h at a new address until close is called.
func serve(h http.Handler) (at string, closeServer func()) {
	l, err := net.Listen("tcp", "127.78.0.2:0")
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), func() { _ = s.Close() }
}

// start starts the product with a command and settings.
func start(dir, command string, settings map[string]any) (*process, error) {
	path, err := build()
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return nil, err
	}
	p := &process{cmd: exec.Command(path, command, "--settings", file), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// stop kills the process and closes its stand-ins.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
	p.close()
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// memoryMB returns a value of /proc/PID/status in 10^6 bytes.
func (p *process) memoryMB(name string) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	for line := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(line, name+":"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(v), "kB")))
			if err != nil {
				return -1
			}
			return kb * 1024 / 1_000_000
		}
	}
	return -1
}

// descriptors returns the number of open descriptors.
func (p *process) descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	return len(list)
}

// ask sends a request on a new connection and expects a status.
func ask(req *http.Request, status int) error {
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != status {
		return fmt.Errorf("status %d instead of %d", resp.StatusCode, status)
	}
	return nil
}

// get returns a function that sends a GET request and expects a status.
func get(path string, status int) func(at string) error {
	return func(at string) error {
		req, err := http.NewRequest(http.MethodGet, "http://"+at+path, http.NoBody)
		if err != nil {
			return err
		}
		return ask(req, status)
	}
}

// ordinaryBody is the size of an ordinary request's body, which takes a part of the memory for large bodies.
const ordinaryBody = 500_000

// call sends a call to the gateway under test.
func call(at string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+at+"/status/1", strings.NewReader(strings.Repeat("x", ordinaryBody)))
	if err != nil {
		return err
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", strconv.FormatInt(time.Now().UnixNano(), 36))
	req.Header.Set("X-Api-Key", crowdKey)
	return ask(req, http.StatusOK)
}

// crowdKey is the API key of the crowd.
const crowdKey = "key-1"

// awaitStart waits until an address answers an ordinary request.
func (p *process) awaitStart(a address) error {
	var err error
	for range 200 {
		if err = a.ask(a.at); err == nil {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.stop()
	return errors.Join(err, errors.New(p.output.String()))
}

// gatewayConfiguration is the configuration in the gateway's store. Its calls may take so long that the crowd's are not
// over before the test is.
func gatewayConfiguration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "status", "host": "h.example", "path_prefix": "/status/", "kind": "idempotent", "timeout_ms": 60000,
			"target_latency_ms": 200, "priority": 2, "service": "app", "max_attempts": 3,
		}},
		"services": []any{map[string]any{"name": "app", "health_path": "/health", "max_connections": 100}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 2_000_000, "header_timeout_ms": 3000, "idle_timeout_ms": 60000},
		"tenants":  []any{map[string]any{"name": "barkline", "api_keys": []string{crowdKey}, "priority": 1}},
	}
}

// startGateway starts a gateway with a store and one server of a plain service.
func startGateway(dir string) (*process, error) {
	store := &platformtest.Store{}
	server := &platformtest.Server{ID: "a0", Service: "app", Domain: "cn-a", Version: "v1", Born: 1, Work: time.Millisecond, Recorder: &platformtest.Recorder{}}
	storeAt, closeStore := serve(store)
	serverAt, closeServer := serve(server)
	server.Address = serverAt
	store.Put("servers", server.ID, server.Entry("ready"))
	store.Put("config", "main", gatewayConfiguration())
	free := freeAddresses(4)
	addresses := map[string]address{
		"callers":   {at: free[0], ask: call, path: "/status/1", host: "h.example"},
		"readiness": {at: free[1], ask: get("/ready", http.StatusOK), path: "/ready", host: "h.example"},
		"peers":     {at: free[2], ask: get("/feed?id=x&address=127.78.0.3:1&domain=cn-a&seq=0&config=0&waitMs=0&link=0", http.StatusOK), path: "/feed", host: "h.example"},
		"metrics":   {at: free[3], ask: get("/metrics", http.StatusOK), path: "/metrics", host: "h.example"},
	}
	p, err := start(dir, "gateway", map[string]any{
		"id": "e", "domain": "cn-a", "regions": map[string]string{"cn-a": "c"},
		"listen": addresses["callers"].at, "readiness": addresses["readiness"].at, "peers": addresses["peers"].at, "metrics": addresses["metrics"].at,
		"seeds": []string{}, "store": storeAt, "heartbeatMs": 1200, "memoryMB": gatewayMemoryMB, "maxFds": gatewayMaxFDs,
		"bounds": map[string]any{"drainMs": 3000, "graceS": 1, "configMs": 3000, "repeatRatio": 0.8, "repeatSlack": 150, "repeatWindowS": 10},
	})
	if err != nil {
		return nil, err
	}
	p.close = func() {
		closeStore()
		closeServer()
	}
	p.addresses, p.maxMB, p.maxFDs = addresses, gatewayMemoryMB, gatewayMaxFDs
	return p, p.awaitStart(addresses["readiness"])
}

// startEntry starts an entry daemon with a platform.
func startEntry(dir string) (*process, error) {
	platformAt, closePlatform := serve(standin.NewPlatform(0))
	addresses := map[string]address{
		"callers": {at: freeAddresses(1)[0], ask: get("/healthz", http.StatusNoContent), path: "/v1/completions", host: "h.example"},
	}
	names := map[string]string{"code": "cn-a", "title": "Cascadia North A", "legacy": "COAST-01"}
	region := map[string]string{"code": "cascadia-north", "title": "Cascadia North", "legacy": "COAST-0"}
	p, err := start(dir, "entry", map[string]any{
		"id": "entry-1", "domain": "cn-a", "listen": addresses["callers"].at, "platform": platformAt,
		"cursorKey": "a-key-for-the-tests-only-0123456789abcdef", "operatorKey": "operator-key",
		"places":    []any{map[string]any{"names": names, "region": region}},
		"limits":    map[string]any{"maxHeaderBytes": entryHeaderBytes},
		"telemetry": map[string]any{},
	})
	if err != nil {
		return nil, err
	}
	p.close = closePlatform
	p.addresses, p.maxMB = addresses, entryMemoryMB
	return p, p.awaitStart(addresses["callers"])
}

// answers reports whether one of a few ordinary requests is answered.
func (p *process) answers(a address) error {
	var err error
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		if err = a.ask(a.at); err == nil {
			cancel()
			return nil
		}
		<-ctx.Done()
		cancel()
	}
	return err
}
