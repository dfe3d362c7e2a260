// Package demo runs entry VMs, with stand-ins for the platform and the backend
// servers, in one process: for the demonstration, for measurements and for tests.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"quetzalhold/engine"
	"quetzalhold/entry"
	"quetzalhold/names"
	"quetzalhold/objects"
	"quetzalhold/operator"
	"quetzalhold/settings"
	"quetzalhold/standin"
)

// Network provides the listeners and dialers of a site's processes.
type Network struct {
	// Listen returns a listener for a host. The host's address is that of the
	// listener.
	Listen func(host string) (net.Listener, error)
	// Dialer returns the dialer of a host.
	Dialer func(host string) engine.Dialer
}

// Loopback returns a network in which every host listens on 127.0.0.1.
func Loopback() Network {
	return Network{
		Listen: func(string) (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") },
		Dialer: func(string) engine.Dialer { return (&net.Dialer{Timeout: time.Second}).DialContext },
	}
}

// Process is a server of a site. It runs within this process.
type Process struct {
	Host    string
	Address string
	server  *http.Server
	kill    func()
}

// Kill ends the process at once and closes its connections.
func (p *Process) Kill() { p.kill() }

// EngineProcess is an engine stand-in of a site.
type EngineProcess struct {
	Process
	*standin.Engine
	Config standin.EngineConfig
	Domain names.ID
}

// ServiceProcess is a service stand-in of a site.
type ServiceProcess struct {
	Process
	*standin.Service
	Domain      names.ID
	Incarnation engine.Incarnation
}

// EntryProcess is an entry VM of a site.
type EntryProcess struct {
	Process
	*entry.Daemon
	Settings settings.Entry

	stop context.CancelFunc
	done chan error
}

// Kill ends the entry VM at once and closes its connections.
func (e *EntryProcess) Kill() { e.kill() }

// Stop shuts the entry VM down gracefully.
func (e *EntryProcess) Stop() error {
	e.stop()
	return <-e.done
}

// Site is a set of processes that work together: a platform, entry VMs and backend
// servers. Use [NewSite].
type Site struct {
	Network  Network
	Platform *standin.Platform
	Ledger   *standin.Ledger
	Places   []settings.Place

	mu         sync.Mutex
	platform   *Process
	engines    map[engine.ServerID]*EngineProcess // the latest engine with each id
	allEngines []*EngineProcess                   // every engine ever started, including dead ones
	services   []*ServiceProcess
	entries    []*EntryProcess
	processes  []*Process
}

// The keys of a site.
const (
	CursorKey   = "a-key-for-demonstrations-only-0123456789"
	OperatorKey = "operator-demo-key"
	CallerKey   = "caller-demo-key"
)

// The names in the configuration of a site.
const (
	DemoModel   operator.Model  = "brief"
	DemoVersion engine.Version  = "brief-7b@1"
	DemoService names.ID        = "pickup"
	PlatformID  engine.ServerID = "platform"
	demoOrg     names.ID        = "barkline"
)

// vmLag is the delay until a change of the platform's list of VMs is visible.
const vmLag = 300 * time.Millisecond

// Domains returns the places of the demonstration: three failure domains in
// three regions.
func Domains() []settings.Place {
	place := func(code, legacy, region, title, regionLegacy string) settings.Place {
		return settings.Place{
			Names:  names.Set{Code: names.ID(code), Title: title + " A", Legacy: legacy},
			Region: names.Set{Code: names.ID(region), Title: title, Legacy: regionLegacy},
		}
	}
	return []settings.Place{
		place("cn-a", "COAST-01", "cascadia-north", "Cascadia North", "COAST-0"),
		place("wv-a", "VALLEY-01", "willamette", "Willamette", "VALLEY-0"),
		place("ks-a", "SOUTH-01", "klamath-south", "Klamath South", "SOUTH-0"),
	}
}

// NewSite returns a site with its platform running and configured.
func NewSite(n Network) (*Site, error) {
	s := &Site{
		Network:  n,
		Platform: standin.NewPlatform(vmLag),
		Ledger:   &standin.Ledger{},
		Places:   Domains(),
		engines:  make(map[engine.ServerID]*EngineProcess),
	}
	var err error
	if s.platform, err = s.serve(string(PlatformID), s.Platform); err != nil {
		return nil, err
	}
	return s, s.configure()
}

// serve serves a handler as a process of the site.
func (s *Site) serve(host string, h http.Handler) (*Process, error) {
	l, err := s.Network.Listen(host)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", host, err)
	}
	p := &Process{Host: host, Address: l.Addr().String(), server: &http.Server{Handler: h}}
	p.kill = func() { _ = p.server.Close() }
	go func() { _ = p.server.Serve(l) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, p)
	return p, nil
}

// configure writes the site's configuration objects to the platform.
func (s *Site) configure() error {
	objects := []struct {
		kind  objects.Kind
		name  objects.Name
		value any
	}{
		{operator.KindDeployment, "brief", operator.Deployment{Name: "brief", Version: DemoVersion}},
		{operator.KindOrganisation, objects.Name(demoOrg), operator.Organisation{
			Names: names.Set{Code: demoOrg, Title: "Barkline Reclaim Co.", Legacy: "CUST-0001"},
			Keys:  []operator.KeyDigest{operator.DigestKey(CallerKey)},
		}},
		{operator.KindService, objects.Name(DemoService), operator.Service{
			Names: names.Set{Code: DemoService, Title: "Pickup bookings", Legacy: "SVC-12"},
			Calls: []operator.Call{
				{Method: http.MethodPost, Path: "/bookings"},
				{Method: http.MethodGet, Path: "/stock/{item}", Idempotent: true},
			},
		}},
		{operator.KindRoute, "briefs", operator.Route{Name: "briefs", Model: DemoModel, Deployment: "brief"}},
		{operator.KindPreset, "ordinary", operator.Preset{Name: "ordinary", MaxAnswers: 1000, MaxTokens: 4096, NewAnswers: true}},
		{operator.KindInForce, operator.InForceName, operator.InForce{Preset: "ordinary"}},
	}
	for _, o := range objects {
		if err := s.Put(o.kind, o.name, o.value); err != nil {
			return err
		}
	}
	return nil
}

// Put writes a configuration object to the platform and replaces any version of it
// that exists.
func (s *Site) Put(k objects.Kind, n objects.Name, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", n, err)
	}
	in := objects.Put{WriteID: "site", Value: raw}
	old, err := s.Platform.Put(k, n, in)
	if err == nil {
		return nil
	}
	in.Expect = old.Version
	_, err = s.Platform.Put(k, n, in)
	return err
}

// AddEngine starts an engine stand-in.
func (s *Site) AddEngine(domain names.ID, cfg standin.EngineConfig) (*EngineProcess, error) {
	if len(cfg.Versions) == 0 {
		cfg.Versions = []engine.LoadedModel{{Version: DemoVersion}}
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = 1
	}
	e := &EngineProcess{Engine: standin.NewEngine(cfg), Config: cfg, Domain: domain}
	p, err := s.serve(string(cfg.ID), e.Engine)
	if err != nil {
		return nil, err
	}
	e.Process = *p
	e.kill = func() {
		_ = e.server.Close()
		e.Close()
	}
	s.mu.Lock()
	s.engines[cfg.ID] = e
	s.allEngines = append(s.allEngines, e)
	s.mu.Unlock()
	s.Platform.SetVM(objects.VM{
		ID: cfg.ID, Role: objects.RoleEngine, Address: e.Address, Domain: domain, Incarnation: cfg.Incarnation,
	})
	return e, nil
}

// Restart starts a dead engine again, as a new incarnation.
func (s *Site) Restart(e *EngineProcess) (*EngineProcess, error) {
	cfg := e.Config
	cfg.Incarnation++
	return s.AddEngine(e.Domain, cfg)
}

// Engine returns the engine of a site by its id, or nil.
func (s *Site) Engine(id engine.ServerID) *EngineProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines[id]
}

// AddService starts a service stand-in.
func (s *Site) AddService(domain names.ID, id engine.ServerID) (*ServiceProcess, error) {
	return s.addService(domain, id, 1)
}

// RestartService starts a dead service stand-in again, as a new incarnation without faults.
func (s *Site) RestartService(sv *ServiceProcess) (*ServiceProcess, error) {
	return s.addService(sv.Domain, engine.ServerID(sv.Host), sv.Incarnation+1)
}

func (s *Site) addService(domain names.ID, id engine.ServerID, inc engine.Incarnation) (*ServiceProcess, error) {
	sv := &ServiceProcess{Service: standin.NewService(s.Ledger), Domain: domain, Incarnation: inc}
	p, err := s.serve(string(id), sv.Service)
	if err != nil {
		return nil, err
	}
	sv.Process = *p
	s.mu.Lock()
	s.services = append(s.services, sv)
	s.mu.Unlock()
	s.Platform.SetVM(objects.VM{
		ID: id, Role: objects.RoleService, Address: sv.Address, Domain: domain, Service: DemoService, Incarnation: inc,
	})
	return sv, nil
}

// AddEntry starts an entry VM. change, if not nil, changes its settings before.
func (s *Site) AddEntry(domain names.ID, id engine.ServerID, change func(*settings.Entry), opts ...entry.Option) (*EntryProcess, error) {
	l, err := s.Network.Listen(string(id))
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", id, err)
	}
	e := &EntryProcess{done: make(chan error, 1)}
	e.Settings = settings.Entry{
		ID:          string(id),
		Domain:      string(domain),
		Listen:      l.Addr().String(),
		Platform:    s.platform.Address,
		CursorKey:   CursorKey,
		OperatorKey: OperatorKey,
		Places:      s.Places,
	}
	s.mu.Lock()
	for _, other := range s.entries {
		e.Settings.Peers = append(e.Settings.Peers, other.Address)
	}
	s.mu.Unlock()
	if change != nil {
		change(&e.Settings)
	}
	opts = append([]entry.Option{entry.WithDial(s.Network.Dialer(string(id))), entry.WithLog(io.Discard)}, opts...)
	if e.Daemon, err = entry.New(&e.Settings, opts...); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.Process = Process{Host: string(id), Address: l.Addr().String(), kill: e.Daemon.Kill}
	go func() { e.done <- e.Serve(ctx, l) }()
	s.Platform.SetVM(objects.VM{ID: id, Role: objects.RoleEntry, Address: e.Address, Domain: domain, Incarnation: 1})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, e)
	return e, nil
}

// Close ends every process of the site.
func (s *Site) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		e.Daemon.Kill()
		e.stop()
	}
	for _, e := range s.engines {
		e.Engine.Close()
	}
	for _, p := range s.processes {
		_ = p.server.Close()
	}
}

// AllEngines returns every engine that the site ever started, including dead ones.
func (s *Site) AllEngines() []*EngineProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.allEngines)
}

// Services returns the service stand-ins of the site.
func (s *Site) Services() []*ServiceProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.services)
}
