package gateway_test

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/feed"
	"quetzalhold/gateway"
	"quetzalhold/memnet"
	"quetzalhold/names"
	"quetzalhold/platform/platformtest"
	"quetzalhold/settings"
)

// recoveryBound is the time from the start of an entry VM within which it must be ready and have served a
// request, when all entry VMs start at once.
const recoveryBound = 5 * time.Second

// How long callers wait.
const (
	callerDialTimeout = time.Second
	callTimeout       = 2 * time.Second
	streamTimeout     = 6 * time.Second
)

// powerOff is how long all entry VMs are off.
const powerOff = 800 * time.Millisecond

// recoveryCase is a way in which all entry VMs end and start again.
type recoveryCase struct {
	name             string
	entries, servers int
	domains          int           // of entry VMs; 0 for all
	spread           time.Duration // within which they start
	addresses, names bool          // whether they have new ones
	mbps             float64       // of their links; 0 for no limit
	lost             float64       // part of the packets that are lost at first
	quiet            bool          // whether servers write no entries once they have started
	fault            platformtest.StoreFault
	faultFor         time.Duration // how long from the first start on the store has that fault
	bound            time.Duration // recoveryBound if 0
	refused          int           // how many entry VMs it is restricted to; 0 for all
}

var recoveryDomains = []names.ID{"cn-a", "cn-b", "wv-a", "wv-b", "ks-a", "ks-b"}

// recoveryTest is a fleet whose entry VMs are all lost at once.
type recoveryTest struct {
	*world
	recoveryCase
	t       *testing.T
	rand    *rand.Rand
	limits  storeLimits
	entries []*recoveryVM
	servers []*platformtest.Server
	end     context.CancelFunc // of heartbeats and load

	mu      sync.Mutex
	answers map[string]int // by kind of request and outcome
	probes  sync.WaitGroup
	wg      sync.WaitGroup
}

// recoveryVM is an entry VM whose process can be ended without a stop.
type recoveryVM struct {
	vm
	net       *processNet
	startedAt atomic.Pointer[time.Time]
	readyIn   time.Duration // from the start, until it was ready
	servedIn  time.Duration // until it had served a request
}

// processNet is the network as a process uses it. Nothing is heard from the process once it has ended.
type processNet struct {
	world *world
	host  memnet.Host
	ended atomic.Bool

	mu        sync.Mutex
	listeners []net.Listener
}

func (p *processNet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if p.ended.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return p.world.net.Dialer(p.host)(ctx, network, address)
}

func (p *processNet) listen(address string) (net.Listener, error) {
	l, err := p.world.net.Listen(address)
	if err == nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.listeners = append(p.listeners, l)
	}
	return l, err
}

// lose ends the process as the loss of power does: its connections are half-open at the other ends.
func (p *processNet) lose() {
	p.ended.Store(true)
	p.world.net.Disconnect(p.host)
}

// closeListeners frees the addresses of a process that has ended.
func (p *processNet) closeListeners() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.listeners {
		_ = l.Close()
	}
}

// storeLimits answers for a store after 4 ms, and refuses calls beyond its limits with 429.
type storeLimits struct {
	store *platformtest.Store

	mu                  sync.Mutex
	second              int64
	reads, writes       int // in that second
	maxReads, maxWrites int
	refused             int // in all
}

const (
	storeReads  = 6000
	storeWrites = 1200
	storeDelay  = 4 * time.Millisecond
)

func (s *storeLimits) take(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.reads, s.writes = now, 0, 0
	}
	ok := false
	if write {
		s.writes++
		ok = s.writes <= storeWrites
	} else {
		s.reads++
		ok = s.reads <= storeReads
	}
	s.maxReads, s.maxWrites = max(s.maxReads, s.reads), max(s.maxWrites, s.writes)
	if !ok {
		s.refused++
	}
	return ok
}

func (s *storeLimits) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	if !s.take(r.Method != http.MethodGet) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	s.store.ServeHTTP(w, r)
}

// fullListener accepts a limited number of connections and closes the others.
type fullListener struct {
	net.Listener
	max      int64
	open     atomic.Int64
	rejected func()
}

func (l *fullListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &countedConn{Conn: c, closed: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		l.rejected()
		_ = c.Close() // the peer sees it
	}
}

type countedConn struct {
	net.Conn
	closed func()
}

func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

func newRecoveryTest(t *testing.T, c recoveryCase, seed uint64) *recoveryTest {
	r := &recoveryTest{recoveryCase: c, t: t, rand: rand.New(rand.NewPCG(seed, 1)), answers: make(map[string]int)}
	r.world = &world{net: &memnet.Network{Latency: recoveryLatency}, store: &platformtest.Store{}, book: &platformtest.Recorder{}, version: 1}
	if c.mbps > 0 {
		r.net.Bandwidth = func(h memnet.Host) float64 {
			if strings.HasPrefix(string(h), "10.1.") || strings.HasPrefix(string(h), "10.2.") {
				return c.mbps * 1e6 / 8
			}
			return 1e9
		}
	}
	if c.lost > 0 {
		r.net.Lost = func(from, to memnet.Host) bool {
			return from != callerHost && to != callerHost && rand.Float64() < c.lost
		}
	}
	r.limits.store = r.store
	r.serve(string(storeHost)+":80", &r.limits)
	r.configure(r.version, "key-1")
	for i := range c.servers {
		r.addServer(i)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.end = cancel
	for _, s := range r.servers {
		if !c.quiet {
			r.wg.Go(func() { r.heartbeats(ctx, s) })
		}
	}
	return r
}

// addServer adds a server; one of six is plain.
func (r *recoveryTest) addServer(i int) {
	s := &platformtest.Server{
		ID: fmt.Sprintf("s-%d", i), Address: fmt.Sprintf("10.64.%d.%d:80", i%len(recoveryDomains), 1+i/len(recoveryDomains)), Service: "models",
		Domain: string(recoveryDomains[i%len(recoveryDomains)]), Version: "v1", Born: int64(1000 + i), Engine: true, Work: 10 * time.Millisecond, Recorder: r.book,
	}
	room := int64(300)
	if i/len(recoveryDomains)%6 == 0 {
		s.Service, s.Engine, room = "app", false, 100
	}
	l := &fullListener{Listener: must(r.net.Listen(s.Address)), max: room, rejected: func() { r.count("server", "no room for a connection") }}
	h := &http.Server{Handler: s}
	r.http = append(r.http, h)
	go func() { _ = h.Serve(l) }()
	r.store.Put("servers", s.ID, s.Entry("ready"))
	r.servers = append(r.servers, s)
}

// recoveryLatency is 1 ms within a region and 30 ms between regions.
func recoveryLatency(a, b memnet.Host) time.Duration {
	region := func(h memnet.Host) int {
		var x, y, domain, n int
		_, _ = fmt.Sscanf(string(h), "%d.%d.%d.%d", &x, &y, &domain, &n)
		return domain / 2
	}
	if a == callerHost || b == callerHost || region(a) == region(b) {
		return time.Millisecond
	}
	return 30 * time.Millisecond
}

// transport returns a transport for callers that give up after a time.
func (r *recoveryTest) transport(limit time.Duration) *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, callerDialTimeout)
		defer cancel()
		c, err := r.net.Dialer(callerHost)(ctx, network, address)
		if err == nil {
			err = c.SetDeadline(time.Now().Add(limit))
		}
		return c, err
	}}
}

// heartbeats writes the entry of a server every 1.2 s.
func (r *recoveryTest) heartbeats(ctx context.Context, s *platformtest.Server) {
	const interval = 1200 * time.Millisecond
	time.Sleep(rand.N(interval))
	for ctx.Err() == nil {
		r.heartbeat(s, "ready")
		time.Sleep(interval)
	}
}

func (r *recoveryTest) start(i int, second bool) {
	v := &recoveryVM{}
	domain := i % cmp.Or(r.domains, len(recoveryDomains))
	v.id, v.domain = fmt.Sprintf("vm-%d", i), recoveryDomains[domain]
	network := 1
	if second && r.addresses {
		network = 2
	}
	if second && r.names {
		v.id += "-b"
	}
	v.host = fmt.Sprintf("10.%d.%d.%d", network, domain, 1+i)
	v.net = &processNet{world: r.world, host: memnet.Host(v.host)}
	r.net.Reconnect(v.net.host)
	s := &settings.Gateway{
		ID: v.id, Domain: v.domain, Regions: map[names.ID]names.ID{"cn-a": "c", "cn-b": "c", "wv-a": "w", "wv-b": "w", "ks-a": "k", "ks-b": "k"},
		Listen: v.host + ":80", Readiness: v.host + ":81", Peers: v.host + ":82", Metrics: v.host + ":83",
		Store: string(storeHost) + ":80", HeartbeatMs: 1200, MemoryMB: 0, LinkMbps: r.mbps,
		Bounds: settings.Bounds{DrainMs: 3000, GraceS: 1, ConfigMs: 3000, RepeatRatio: 0.8, RepeatSlack: 150, RepeatWindowS: 10},
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.stop, v.done = cancel, make(chan struct{})
	d, err := gateway.New(s, gateway.WithLog(&v.log), gateway.WithNetwork(v.net.dial, v.net.listen))
	if err != nil {
		panic(err)
	}
	now := time.Now()
	v.startedAt.Store(&now)
	r.mu.Lock()
	r.entries[i] = v
	r.mu.Unlock()
	go func() {
		defer close(v.done)
		_ = d.Serve(ctx)
	}()
}

// startAll starts all entry VMs within spread.
func (r *recoveryTest) startAll(spread time.Duration, second bool) {
	var wg sync.WaitGroup
	for i := range r.entries {
		in := time.Duration(r.rand.Int64N(int64(spread) + 1))
		wg.Go(func() {
			time.Sleep(in)
			r.start(i, second)
			if second {
				r.probes.Go(func() { r.probe(r.entries[i]) })
			}
		})
	}
	wg.Wait()
}

// loseAll ends all entry VMs at the same moment.
func (r *recoveryTest) loseAll() (lost []*recoveryVM) {
	for _, v := range r.entries {
		v.startedAt.Store(nil)
		v.net.lose()
		v.stop()
	}
	synctest.Wait() // a process that stops lets its connections go
	for _, v := range r.entries {
		v.net.closeListeners()
	}
	return slices.Clone(r.entries)
}

// probeInterval is how often an entry VM is tried, and giveUpAfter for how long.
const (
	probeInterval = 40 * time.Millisecond
	giveUpAfter   = 40 * time.Second
)

// probe measures how long an entry VM takes until it is ready and serves a request.
func (r *recoveryTest) probe(v *recoveryVM) {
	begin, t := time.Now(), r.transport(callTimeout)
	for !r.ready(&v.vm) && time.Since(begin) < giveUpAfter {
		time.Sleep(probeInterval)
	}
	v.readyIn = time.Since(begin)
	for i := 0; time.Since(begin) < giveUpAfter; i++ {
		a := r.send(t, &v.vm, "/status/1", "key-1", fmt.Sprintf("probe-%s-%d", v.id, i), http.Header{"X-Deadline-Ms": {"2000"}})
		if a.err == nil && a.status == http.StatusOK {
			break
		}
		r.count("probe", outcome(a))
		time.Sleep(probeInterval)
	}
	v.servedIn = time.Since(begin)
}

func (r *recoveryTest) count(kind, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[kind+": "+what]++
}

var codeName = regexp.MustCompile(`"name":"[^"]*"`)

func outcome(a answer) string {
	if a.err != nil {
		var n net.Error
		if errors.As(a.err, &n) && n.Timeout() {
			return "time-out"
		}
		return "connection lost or refused"
	}
	if a.status == http.StatusOK {
		return "200"
	}
	return fmt.Sprintf("%d %s", a.status, codeName.FindString(a.body))
}

// play sends requests to random entry VMs that have started, until ctx ends.
func (r *recoveryTest) play(ctx context.Context, perSecond int) {
	paths := []string{"/book/1", "/status/1", "/brief/1"}
	for i := 0; ctx.Err() == nil; i++ {
		r.mu.Lock()
		v := r.entries[rand.IntN(len(r.entries))]
		r.mu.Unlock()
		if at := v.startedAt.Load(); at != nil {
			r.wg.Go(func() {
				r.request(v, *at, paths[i%len(paths)], fmt.Sprintf("%s-%d", v.id, time.Now().UnixNano()+int64(i)))
			})
		}
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

func (r *recoveryTest) request(v *recoveryVM, startedAt time.Time, path, id string) {
	h, limit, early := http.Header{"X-Deadline-Ms": {"2000"}}, callTimeout, time.Since(startedAt) < recoveryBound
	if path == "/brief/1" {
		limit = streamTimeout
		h = http.Header{"X-Deadline-Ms": {"25000"}, "X-Token-Count": {"800,400"}, "X-Prompt-Prefix": {"common:200," + id + ":600"}}
	}
	a := r.send(r.transport(limit), &v.vm, path, "key-1", id, h)
	if v.startedAt.Load() != nil { // else it has ended since
		r.count(fmt.Sprintf("%s, early %t", path, early), outcome(a))
	}
}

// servedIn returns how long entry VMs took until they served, in order.
func (r *recoveryTest) servedIn() []time.Duration {
	var all []time.Duration
	for _, v := range r.entries {
		all = append(all, v.servedIn)
	}
	slices.Sort(all)
	return all
}

// slowest describes what the entry VM that served last has logged until it did.
func (r *recoveryTest) slowest() string {
	v := slices.MaxFunc(r.entries, func(a, b *recoveryVM) int { return cmp.Compare(a.servedIn, b.servedIn) })
	var b strings.Builder
	fmt.Fprintf(&b, "%s of %s: ready after %s, served after %s", v.id, v.domain, v.readyIn, v.servedIn)
	start := *v.startedAt.Load()
	for line := range strings.Lines(v.log.String()) {
		var l struct {
			At    time.Time `json:"at"`
			Event string    `json:"event"`
			From  string    `json:"from"`
			Error string    `json:"error"`
		}
		if json.Unmarshal([]byte(line), &l) != nil || l.At.Sub(start) > v.servedIn {
			continue
		}
		if l.Event == "server" {
			continue
		}
		fmt.Fprintf(&b, "\n\t%v %s %s %.80s", l.At.Sub(start), l.Event, l.From, l.Error)
		if b.Len() > 6000 {
			break
		}
	}
	return b.String()
}

// knows returns how many entry VMs know a number of servers.
func (r *recoveryTest) knows(servers int) int {
	n, want := 0, regexp.MustCompile(fmt.Sprintf(`(?m)^quetzalhold_gateway_servers\{[^}]*\} %d$`, servers))
	for _, v := range r.entries {
		resp, err := r.transport(callTimeout).RoundTrip(must(http.NewRequest(http.MethodGet, "http://"+v.host+":83/metrics", http.NoBody)))
		So(err, ShouldBeNil)
		if want.Match(must(io.ReadAll(resp.Body))) {
			n++
		}
		_ = resp.Body.Close()
	}
	return n
}

// watchers returns how many entry VMs watch the store.
func (r *recoveryTest) watchers() int {
	n := 0
	for _, v := range r.entries {
		log := v.log.String()
		if strings.LastIndex(log, `"event":"watching the store"`) > strings.LastIndex(log, `"event":"following another entry VM"`) {
			n++
		}
	}
	return n
}

// run plays the loss of all entry VMs and their start.
func (r *recoveryTest) run() {
	r.world.vms = nil
	entries := r.recoveryCase.entries
	r.entries = make([]*recoveryVM, entries)
	r.startAll(500*time.Millisecond, false)
	time.Sleep(time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	r.wg.Go(func() { r.play(ctx, 80) })
	time.Sleep(time.Second)
	lost := r.loseAll()
	r.mu.Lock()
	clear(r.answers)
	r.mu.Unlock()
	time.Sleep(powerOff)
	if r.faultFor > 0 {
		f := r.fault
		for i := range r.refused {
			network := 1
			if r.addresses {
				network = 2
			}
			f.Only = append(f.Only, fmt.Sprintf("10.%d.%d.%d", network, i%len(recoveryDomains), 1+i))
		}
		r.store.SetFault(f)
		time.AfterFunc(r.faultFor, func() { r.store.SetFault(platformtest.StoreFault{}) })
	}
	r.startAll(r.spread, true)
	for _, v := range lost {
		<-v.done
	}
	r.probes.Wait()
	time.Sleep(500 * time.Millisecond)
	cancel()
	r.end()
	r.wg.Wait()
	r.report()
}

// report logs what was measured.
func (r *recoveryTest) report() {
	served := r.servedIn()
	r.t.Logf("served after %s (first), %s (median), %s (last)", served[0], served[len(served)/2], served[len(served)-1])
	sent, lists := int64(0), 0
	for _, v := range r.entries {
		sent = max(sent, r.net.Traffic(v.net.host).Sent)
		lists += strings.Count(v.log.String(), "full server list applied")
	}
	l := &r.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	r.t.Logf("at most %d bytes sent by one, %d full lists; %d watch the store: at most %d reads and %d writes a second, %d refused", sent, lists, r.watchers(), l.maxReads, l.maxWrites, l.refused)
	for _, k := range slices.Sorted(maps.Keys(r.answers)) {
		r.t.Logf("%5d %s", r.answers[k], k)
	}
	r.t.Log("slowest: " + r.slowest())
}

func (r *recoveryTest) close() {
	for _, v := range r.entries {
		v.stop()
	}
	for _, v := range r.entries {
		<-v.done
	}
	for _, s := range r.http {
		_ = s.Close()
	}
}

// TestAllStartAtOnce guards against entry VMs that take long to serve again after all were lost at once.
// With 50 in a failure domain, as there are of 300 in six, the last one served after 2.7 s where links carry
// 10 Mbit/s, and after 5.0 s if servers wrote their entries meanwhile: each poll of the best-ranked one was
// answered with the list of all servers, also while it was still starting.
func TestAllStartAtOnce(t *testing.T) {
	silent, busy := platformtest.StoreFault{Silent: true}, platformtest.StoreFault{Busy: true}
	for _, c := range []recoveryCase{
		{name: "new addresses", entries: 100, servers: 120, spread: 800 * time.Millisecond, addresses: true},
		{name: "slow links, a large failure domain", entries: 50, servers: 320, domains: 1, spread: 500 * time.Millisecond, mbps: 10, quiet: true, bound: 2 * time.Second},
		{name: "every tenth packet lost", entries: 30, servers: 60, spread: 500 * time.Millisecond, addresses: true, lost: 0.1},
		{name: "new names, the store is silent", entries: 30, servers: 60, spread: 500 * time.Millisecond, addresses: true, names: true, fault: silent, faultFor: time.Second},
		{name: "the store refuses some", entries: 30, servers: 60, spread: 500 * time.Millisecond, fault: busy, faultFor: time.Second, refused: 15},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey(c.name, t, func() {
					r := newRecoveryTest(t, c, 1)
					defer time.Sleep(time.Minute)
					defer r.close()
					r.run()
					served := r.servedIn()
					So(served[len(served)-1], ShouldBeLessThan, cmp.Or(c.bound, recoveryBound))
					So(r.knows(c.servers), ShouldEqual, c.entries)
				})
			})
		})
	}
}

// TestSlowUpstream guards against an entry VM that starts and waits without end for another one's list of
// servers, which arrives bit by bit.
func TestSlowUpstream(t *testing.T) {
	inWorld(t, "An entry VM whose upstream sends its list slowly takes the list from the store", func(w *world) {
		slow := feed.Member{ID: "slow", Address: "10.1.0.99:82", Domain: "cn-a", LinkMbps: 1000} // it ranks first
		w.store.Put("entryVMs", string(slow.ID), slow)
		w.serve(slow.Address, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Get("brief") == "true" {
				_ = json.NewEncoder(rw).Encode(feed.Response{Self: slow, Epoch: "1"}) // the requester may have left
				return
			}
			for r.Context().Err() == nil {
				_, _ = rw.Write([]byte(" ")) // as above
				_ = http.NewResponseController(rw).Flush()
				time.Sleep(500 * time.Millisecond)
			}
		}))
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(2500 * time.Millisecond)
		So(w.ready(v), ShouldBeTrue)
		So(w.postBooking(v, "key-1"), ShouldEqual, http.StatusOK)
	})
}
