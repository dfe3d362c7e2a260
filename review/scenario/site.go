package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// The zones of the deployment and the number of machines in each.
var zones = []struct {
	name, region string
	machines     int
}{{"cn-a", "cascadia-north", 3}, {"wv-a", "willamette", 2}, {"ks-a", "klamath-south", 2}}

// The bounds of the deployment.
const (
	exposeShare = 0.1
	exposeSlack = 50
	rollbackMs  = 5000
	contactMs   = 4000
	drainMs     = 3000
	graceS      = 8
)

// machine is a machine with a gateway that runs as a process of its own.
type machine struct {
	name, zone, ip   string
	front, readiness string
	control          string
	settings         string
	toStore          *proxy
	cmd              *exec.Cmd
}

// site is a small deployment: the store and the servers are stand-ins in this process, and the
// gateways are processes.
type site struct {
	record   *record
	store    *store
	dir      string
	net      string // the first three bytes of the machines' addresses
	machines []*machine
	servers  []*server
	next     int // last byte of the next address
	ends     []func()
}

// atEnd calls f before the site ends.
func (s *site) atEnd(f func()) { s.ends = append(s.ends, f) }

// newSite starts the store on a loopback address.
func newSite(r *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, store: newStore(), dir: dir, next: 10}
	s.net = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sites = append(r.sites, s)
	return s, nil
}

func (s *site) address() string {
	s.next++
	return fmt.Sprintf("%s.%d", s.net, s.next)
}

// serveStore serves the store and returns its address.
func (s *site) serveStore() (string, error) {
	l, err := net.Listen("tcp", s.address()+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, s.store) }() // ends with the process
	return l.Addr().String(), nil
}

// freePort returns a port that is free on an address.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startMachines starts the gateways, each with a channel to the store through a proxy of its own.
func (s *site) startMachines(storeAddress string, perZone func(int) int) error {
	var seeds []string
	for _, z := range zones {
		for i := range perZone(z.machines) {
			m := &machine{name: fmt.Sprintf("front-%s-%d", z.name, i+1), zone: z.name, ip: s.address()}
			var errs [4]error
			m.front, errs[0] = freePort(m.ip)
			m.readiness, errs[1] = freePort(m.ip)
			m.control, errs[2] = freePort(m.ip)
			m.toStore, errs[3] = newProxy(m.ip, storeAddress)
			if err := errors.Join(errs[:]...); err != nil {
				return err
			}
			if i == 0 {
				seeds = append(seeds, m.control)
			}
			s.machines = append(s.machines, m)
		}
	}
	run, template, err := deployed()
	if err != nil {
		return err
	}
	for _, m := range s.machines {
		if err := s.writeSettings(m, template, seeds); err != nil {
			return err
		}
		if err := s.startGateway(m, run); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// deployed returns the command of the deploy file and the template of its settings.
func deployed() (run []string, template string, err error) {
	b, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, "", err
	}
	found := runLine.FindSubmatch(b)
	if found == nil {
		return nil, "", errors.New("the deploy file has no command")
	}
	t, err := os.ReadFile("deploy/gateway.json.tmpl")
	return strings.Fields(string(found[1])), string(t), err
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// writeSettings fills in the template of the settings.
func (s *site) writeSettings(m *machine, template string, seeds []string) error {
	regions := make(map[string]string)
	for _, z := range zones {
		regions[z.name] = z.region
	}
	values := map[string]any{
		"node_name": m.name, "zone": m.zone, "zones": regions, "ip": m.ip, "listen.front": m.front, "listen.readiness": m.readiness,
		"listen.control": m.control, "seed_nodes": seeds, "platform.address": m.toStore.address(), "heartbeat_ms": 1200,
		"limits.memory_mb": 134, "limits.link_mbps": 1000.0, "bounds.drain_ms": drainMs, "bounds.grace_s": graceS, "bounds.config_apply_ms": 3000,
		"bounds.retry_budget_ratio": 0.8, "bounds.retry_budget_slack": 150, "bounds.budget_window_s": 10, "bounds.expose_share": exposeShare,
		"bounds.expose_slack": exposeSlack, "bounds.rollback_ms": rollbackMs,
	}
	var missing error
	text := placeholder.ReplaceAllStringFunc(template, func(p string) string {
		part := placeholder.FindStringSubmatch(p)
		v, ok := values[part[1]]
		if !ok {
			missing = fmt.Errorf("no value for %s", p)
		}
		if part[2] == "" {
			return fmt.Sprint(v)
		}
		b, err := json.Marshal(v)
		missing = errors.Join(missing, err)
		return string(b)
	})
	m.settings = filepath.Join(s.dir, m.name+".json")
	return errors.Join(missing, os.WriteFile(m.settings, []byte(text), 0o600))
}

// startGateway starts the gateway of a machine with the command of the deploy file.
func (s *site) startGateway(m *machine, run []string) error {
	args := append([]string{}, run...)
	for i := range args {
		if args[i] == "/etc/quetzalhold/node.yaml" {
			args[i] = m.settings
		}
	}
	log, err := os.Create(filepath.Join(s.dir, m.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	m.cmd = exec.Command(args[0], args[1:]...)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "QUETZALHOLD_NODE_FILE=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	s.record.note("starting %s of %s, callers at %s", m.name, m.zone, m.front)
	return m.cmd.Start()
}

// readyWithin bounds the start of the gateways.
const readyWithin = 15 * time.Second

func (s *site) awaitReady() error {
	until := time.Now().Add(readyWithin)
	for _, m := range s.machines {
		for !isReady(m) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.record.say("all %d gateways are ready", len(s.machines))
	return nil
}

func isReady(m *machine) bool {
	resp, err := http.Get("http://" + m.readiness + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends the processes and removes the folder. The gateways' logs are kept where KEEP names a
// folder.
func (s *site) stop() {
	for _, f := range s.ends {
		f()
	}
	for _, m := range s.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Kill() // it may have ended
			_ = m.cmd.Wait()         // its status shows the kill
		}
	}
	if to := os.Getenv("KEEP"); to != "" {
		_ = os.CopyFS(to, os.DirFS(s.dir)) // the logs are a help only
	}
	_ = os.RemoveAll(s.dir)
}

// startServers starts one server of a version in each zone.
func (s *site) startServers(service, version string, failure func() func(string) float64) ([]*server, error) {
	var started []*server
	for _, z := range zones {
		x := &server{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: z.name, version: version,
			record: s.record, store: s.store, failure: failure(),
		}
		if err := startServer(x, s.address()); err != nil {
			return nil, err
		}
		started = append(started, x)
	}
	s.servers = append(s.servers, started...)
	return started, nil
}
