package fuzz_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quetzalhold/gateway"
	"quetzalhold/memnet"
	"quetzalhold/names"
	"quetzalhold/platform/platformtest"
	"quetzalhold/settings"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=WorkKind -linecomment -output=workkind_string_test.go

// Effect and Cell are those of the far side.
type (
	Effect = platformtest.Effect
	Cell   = platformtest.Cell
)

// WorkKind is what the operator or the platform does.
type WorkKind int

// The kinds of work.
const (
	AddRoute      WorkKind = iota // add a route
	WithdrawKey                   // withdraw a key
	Drain                         // drain a server
	DrainSilently                 // drain a server without a word
	EndServer                     // end a server
	Restart                       // restart an entry VM
	StoreDown                     // store down
	StoreBack                     // store restored from a copy
	CutOff                        // entry VM cut off from all servers
	MoveVersion                   // move of a service to another version, which is good
	works         = iota
)

// Work is one of them.
type Work struct {
	Kind        WorkKind
	Value       int // which server or entry VM
	From, Until int // in ms since the beginning of the world
}

// String returns the work as a composite literal.
func (o Work) String() string {
	return fmt.Sprintf("{%d, %d, %d, %d}, // %s", o.Kind, o.Value, o.From, o.Until, o.Kind)
}

// World is what happens in some simulated seconds.
type World struct {
	Seed    uint64 // of the callers
	Effects []*Effect
	Works   []Work
	// Numbering selects how engines identify the events of streams, and Comments whether a comment comes before each.
	Numbering int
	Comments  bool
}

// numbering returns how engines identify the events of streams.
func (w *World) numbering() platformtest.Numbering {
	n := platformtest.Numberings()[w.Numbering]
	if w.Comments {
		n.Opening, n.Comment = 4, func(int) bool { return true }
	}
	return n
}

// String returns the world as a composite literal, so that it can be played again by a test.
func (w *World) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "World{Seed: %d, Numbering: %d, Comments: %t,\n\tEffects: []*Effect{\n", w.Seed, w.Numbering, w.Comments)
	for _, e := range w.Effects {
		fmt.Fprintf(&b, "\t\t%s\n", e)
	}
	fmt.Fprint(&b, "\t},\n\tWorks: []Work{\n")
	for _, o := range w.Works {
		fmt.Fprintf(&b, "\t\t%s\n", o)
	}
	fmt.Fprint(&b, "\t},\n}")
	return b.String()
}

// has reports whether some work of a kind is done.
func (w *World) has(kinds ...WorkKind) bool {
	return slices.ContainsFunc(w.Works, func(o Work) bool { return slices.Contains(kinds, o.Kind) })
}

// Times of a world, in ms since its beginning.
const (
	firstRequest = 3000
	firstEffect  = 5000
	lastEffect   = 16000 // all effects have ended
	calm         = 21000 // all is well again
	lastRequest  = 25000
	end          = 29000
)

// The bounds of the network.
const (
	drainBound  = 3 * time.Second
	configBound = 3 * time.Second
	repeatRatio = 0.2
	repeatSlack = 30
	vms         = 4
	perService  = 10
	streamSize  = 20 // events
)

const storeHost memnet.Host = "10.200.1.1"

// prompt is the format of prompts: a part that requests share, its size, and a part of their own.
const prompt = "part%d:%d,own%s:200"

// route is a route that callers use.
type route struct {
	path       string
	service    string
	repeatable bool
	attempts   int
	timeout    time.Duration
}

var routes = []route{
	{"book", "app", false, 1, time.Second},
	{"status", "app", true, 3, time.Second},
	{"brief", "models", true, 4, 8 * time.Second},
	{"draft", "models", false, 1, 8 * time.Second},
}

// request is an attempt of a caller, and what came back.
type request struct {
	route        *route
	id           string
	vm           int
	key          string
	organisation string
	path, body   string
	headers      http.Header
	at           time.Time
	leaves       time.Duration // the caller gives up after it; 0 if it does not
	ended        time.Time     // when the answer was over or the caller had left; zero if neither
	left         bool
	status       int
	answer       string
	header       http.Header
	whole        bool // the answer ended without an error
}

// play is a world that is being played.
type play struct {
	*World
	begun   time.Time
	net     *memnet.Network
	store   *platformtest.FaultyStore
	copy    platformtest.Copy
	book    platformtest.Book
	servers []*platformtest.Faulty
	https   []*http.Server
	stops   [vms]context.CancelFunc
	done    [vms]chan struct{}
	// restarting is held while an entry VM is stopped and started.
	restarting [vms]sync.Mutex
	// proxy serves in place of entry VMs; nil for none.
	proxy func(p *play) http.Handler

	mu       sync.Mutex
	requests []*request
	version  int
	keys     []string // of the second organisation
	drained  map[string]time.Time
	withdrew time.Time
	checks   int // readiness checks, and those that failed
	unready  int
}

func (p *play) ms() int { return int(time.Since(p.begun) / time.Millisecond) }

func (p *play) effects() []*Effect {
	now := p.ms()
	var on []*Effect
	for _, e := range p.Effects {
		if now >= e.From && now < e.Until {
			on = append(on, e)
		}
	}
	return on
}

func (p *play) configuration() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version
}

// configure writes the next configuration.
func (p *play) configure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	var list []any
	for _, r := range routes {
		kind := "idempotent"
		x := map[string]any{
			"name": r.path, "host": "h.example", "path_prefix": "/call/" + r.path + "/", "timeout_ms": r.timeout.Milliseconds(),
			"target_latency_ms": r.timeout.Milliseconds() / 4, "priority": 2, "service": r.service, "max_attempts": r.attempts,
		}
		switch {
		case r.service == "models":
			kind = "streaming"
			x["target_gap_ms"], x["stream_resume"] = 700, r.repeatable
		case !r.repeatable:
			kind = "non_idempotent"
		}
		x["kind"] = kind
		list = append(list, x)
	}
	// A path that has its slash encoded begins with the prefix of "book" alone.
	list = append(list, map[string]any{
		"name": "inner", "host": "h.example", "path_prefix": "/call/book/inner/", "timeout_ms": 1000, "kind": "idempotent",
		"target_latency_ms": 250, "priority": 2, "service": "app", "max_attempts": 3,
	})
	if p.has(AddRoute) && p.version > 1 {
		list = append(list, map[string]any{
			"name": "added", "host": "h.example", "path_prefix": "/call/added/", "timeout_ms": 1000, "kind": "idempotent",
			"target_latency_ms": 250, "priority": 2, "service": "app", "max_attempts": 2,
		})
	}
	p.store.Put("config", "main", map[string]any{
		"version": p.version, "routes": list,
		"services": []any{
			map[string]any{"name": "app", "health_path": "/health", "max_connections": 100},
			map[string]any{"name": "models", "health_path": "/health", "max_connections": 300, "engine": map[string]any{"slots": 6, "kv_token_capacity": 88000}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "org-0", "api_keys": []string{"key-0"}, "priority": 1},
			map[string]any{"name": "org-1", "api_keys": p.keys, "priority": 1},
		},
	})
}

func (p *play) serve(address string, h http.Handler) {
	l, err := p.net.Listen(address)
	if err != nil {
		panic(err) // a bug in the test
	}
	s := &http.Server{Handler: h}
	p.https = append(p.https, s)
	go func() { _ = s.Serve(l) }()
}

func (p *play) addServer(n int, service string) *platformtest.Faulty {
	s := &platformtest.Faulty{
		ID: fmt.Sprintf("%s-%d", service, n), Number: n, Address: fmt.Sprintf("10.3.64.%d:80", n), Service: service, Version: fmt.Sprintf("v%d", 1+n/2%2),
		Domain: []string{"cn-a", "wv-a"}[n%2], Engine: service == "models", Work: 25 * time.Millisecond, Slots: 6, Network: p.net, Store: p.store.Store, Book: &p.book,
		Effects: p.effects, Configuration: p.configuration, Numbering: p.numbering(),
	}
	p.servers = append(p.servers, s)
	s.Start()
	return s
}

func vmHost(i int) memnet.Host { return memnet.Host(fmt.Sprintf("10.1.0.%d", i+1)) }

// startVM starts an entry VM.
func (p *play) startVM(i int) {
	host := string(vmHost(i))
	var seeds []string
	for other := range vms {
		if other != i {
			seeds = append(seeds, string(vmHost(other))+":82")
		}
	}
	s := &settings.Gateway{
		ID: fmt.Sprintf("e%d", i), Domain: []names.ID{"cn-a", "wv-a"}[i%2], Regions: map[names.ID]names.ID{"cn-a": "c", "wv-a": "w"},
		Listen: host + ":80", Readiness: host + ":81", Peers: host + ":82", Metrics: host + ":83",
		Store: string(storeHost) + ":80", HeartbeatMs: 1200, Seeds: seeds,
		Bounds: settings.Bounds{DrainMs: settings.Millis(drainBound.Milliseconds()), GraceS: 8, ConfigMs: settings.Millis(configBound.Milliseconds()), RepeatRatio: repeatRatio, RepeatSlack: repeatSlack, RepeatWindowS: 10},
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.stops[i], p.done[i] = cancel, make(chan struct{})
	d, err := gateway.New(s, gateway.WithLog(io.Discard), gateway.WithNetwork(p.net.Dialer(vmHost(i)), p.net.Listen))
	if err != nil {
		panic(err)
	}
	done := p.done[i]
	go func() {
		defer close(done)
		_ = d.Serve(ctx)
	}()
}

// send sends a request and records its answer.
func (p *play) send(t *http.Transport, q *request) {
	ctx, cancel := context.WithTimeout(context.Background(), q.route.timeout+5*time.Second)
	defer cancel()
	if q.leaves > 0 {
		left := time.AfterFunc(q.leaves, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if q.ended.IsZero() {
				q.left, q.ended = true, time.Now()
				cancel()
			}
		})
		defer left.Stop()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(vmHost(q.vm))+":80"+q.path, strings.NewReader(q.body))
	if err != nil {
		panic(err)
	}
	if len(q.id)%2 == 0 {
		req.ContentLength = -1
	}
	req.Host, req.Header = "h.example", q.headers.Clone()
	req.Header.Set("X-Api-Key", q.key)
	// What only the system may set.
	req.Header.Set("X-Tenant", "org-9")
	req.Header.Set("X-Hold", "forged")
	var answer []byte
	resp, err := t.RoundTrip(req)
	status := 0
	if err == nil {
		status = resp.StatusCode
		answer, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.ended.IsZero() {
		q.ended = time.Now()
	}
	q.status, q.answer, q.whole = status, string(answer), err == nil
	if resp != nil {
		q.header = resp.Header
	}
}

// draw draws the next request.
func (p *play) draw(r *rand.Rand, n int) *request {
	x := &routes[[]int{0, 1, 0, 1, 0, 1, 2, 2, 3}[r.IntN(9)]]
	q := &request{route: x, id: fmt.Sprintf("r%d", n), vm: r.IntN(vms), path: fmt.Sprintf("/call/%s/%d", x.path, r.IntN(4)), body: fmt.Sprintf("body-%d", r.IntN(4)), headers: make(http.Header)}
	organisation := r.IntN(2)
	q.organisation, q.key = fmt.Sprintf("org-%d", organisation), "key-0"
	if organisation == 1 {
		p.mu.Lock()
		q.key = p.keys[0]
		p.mu.Unlock()
		if r.IntN(4) == 0 {
			q.key = "key-1" // some callers keep a key that was withdrawn
		}
	}
	q.headers.Set("X-Request-Id", q.id)
	q.headers.Set("User-Agent", fmt.Sprintf("client-%d", r.IntN(4)))
	if x.service == "models" {
		size := []int{300, 800, 1500, 3600}[r.IntN(4)]
		q.headers.Set("X-Model", "m")
		q.headers.Set("X-Token-Count", fmt.Sprintf("%d,%d", size, 5*streamSize))
		q.headers.Set("X-Prompt-Prefix", fmt.Sprintf(prompt, r.IntN(4), size-200, q.id))
	} else if r.IntN(4) == 0 {
		q.body = strings.Repeat("x", 4000) + q.body
	}
	if r.IntN(8) == 0 {
		q.leaves = time.Duration(10+r.IntN(int(x.timeout/time.Millisecond)/4)) * time.Millisecond
	}
	return q
}

// call sends requests until the last one is due, on kept and on new connections.
func (p *play) call() {
	r, paths := rand.New(rand.NewPCG(p.Seed, 1)), rand.New(rand.NewPCG(p.Seed, 2))
	var wg sync.WaitGroup
	defer wg.Wait()
	time.Sleep(firstRequest * time.Millisecond)
	dial := p.net.Dialer("10.9.0.1")
	kept := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second}
	defer kept.CloseIdleConnections()
	for n := 0; p.ms() < lastRequest; n++ {
		q := p.draw(r, n)
		if paths.IntN(4) == 0 && q.route.path == "book" {
			q.path = []string{"/call/book/inner%2F1", "/call/book//inner/1"}[paths.IntN(2)]
		}
		t := kept
		if r.IntN(2) == 0 {
			t = &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				return dial(ctx, network, address)
			}, DisableKeepAlives: true}
		}
		q.at = time.Now()
		p.mu.Lock()
		p.requests = append(p.requests, q)
		p.mu.Unlock()
		wg.Go(func() { p.send(t, q) })
		time.Sleep(time.Duration(20+r.IntN(40)) * time.Millisecond)
	}
}

// do does one work.
func (p *play) do(o Work) {
	time.Sleep(time.Duration(o.From)*time.Millisecond - time.Since(p.begun))
	until := func() { time.Sleep(time.Duration(o.Until)*time.Millisecond - time.Since(p.begun)) }
	i := o.Value % vms
	s := p.servers[o.Value%len(p.servers)]
	switch o.Kind {
	case AddRoute:
		p.configure()
	case WithdrawKey:
		p.mu.Lock()
		p.keys = []string{"key-2"}
		p.mu.Unlock()
		p.configure()
		p.mu.Lock()
		p.withdrew = time.Now()
		p.mu.Unlock()
	case Drain, DrainSilently:
		s.Drain(o.Kind == DrainSilently)
		p.mu.Lock()
		p.drained[s.ID] = time.Now()
		p.mu.Unlock()
		time.Sleep(2 * drainBound)
		p.store.Remove("servers", s.ID)
		s.Stop()
	case EndServer:
		s.Stop()
		time.Sleep(3600 * time.Millisecond)
		p.store.Remove("servers", s.ID)
	case Restart:
		if p.proxy != nil {
			return
		}
		p.restarting[i].Lock()
		defer p.restarting[i].Unlock()
		p.stops[i]()
		<-p.done[i]
		p.startVM(i)
	case StoreDown:
		p.store.SetFault(platformtest.StoreFault{Busy: o.Value%2 == 0, Silent: o.Value%2 == 1})
		until()
		p.store.SetFault(platformtest.StoreFault{})
	case StoreBack:
		p.store.Restore(p.copy)
		for _, s := range p.servers {
			s.Renew()
		}
	case MoveVersion:
		service := []string{"app", "models"}[o.Value%2]
		p.store.Put("rollouts", service, map[string]any{"service": service, "target": "v2", "duration_s": 8})
	case CutOff:
		for _, s := range p.servers {
			p.net.Partition(vmHost(i), s.Host())
		}
		until()
		for _, s := range p.servers {
			p.net.Heal(vmHost(i), s.Host())
		}
	}
}

// watchReady asks the entry VMs each second whether they are ready.
func (p *play) watchReady() {
	time.Sleep(firstRequest * time.Millisecond)
	t := &http.Transport{DialContext: p.net.Dialer("10.9.0.2"), DisableKeepAlives: true}
	for p.ms() < lastRequest {
		for i := range vms {
			req, err := http.NewRequest(http.MethodGet, "http://"+string(vmHost(i))+":81/ready", http.NoBody)
			if err != nil {
				panic(err)
			}
			resp, err := t.RoundTrip(req)
			p.mu.Lock()
			p.checks++
			if err != nil || resp.StatusCode != http.StatusOK {
				p.unready++
			}
			p.mu.Unlock()
			if err == nil {
				_ = resp.Body.Close()
			}
		}
		time.Sleep(time.Second)
	}
}

// run plays the world in a bubble and returns it as it was at its end.
func (w *World) run(t *testing.T, proxy func(*play) http.Handler) *play {
	t.Helper()
	p := &play{World: w, proxy: proxy, keys: []string{"key-1"}, drained: make(map[string]time.Time)}
	synctest.Test(t, func(*testing.T) {
		p.begun = time.Now()
		p.net = &memnet.Network{Latency: func(memnet.Host, memnet.Host) time.Duration { return time.Millisecond }}
		p.store = &platformtest.FaultyStore{Store: &platformtest.Store{}, Effects: p.effects}
		p.serve(string(storeHost)+":80", p.store)
		for n := range 2 * perService {
			p.addServer(n, []string{"app", "models"}[n/perService])
		}
		p.configure()
		p.copy = p.store.Copy()
		for i := range vms {
			if proxy == nil {
				p.startVM(i)
				continue
			}
			h := proxy(p)
			p.serve(string(vmHost(i))+":80", h)
			p.serve(string(vmHost(i))+":81", h)
		}
		var wg sync.WaitGroup
		for _, o := range w.Works {
			wg.Go(func() { p.do(o) })
		}
		wg.Go(p.watchReady)
		p.call()
		wg.Wait()
		time.Sleep(end*time.Millisecond - time.Since(p.begun))
		for i := range vms {
			if proxy == nil {
				p.stops[i]()
				<-p.done[i]
			}
		}
		for _, s := range p.servers {
			s.Stop()
		}
		for _, s := range p.https {
			_ = s.Close()
		}
		time.Sleep(time.Minute)
	})
	return p
}
