package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.opentelemetry.io/otel/trace/noop"

	"quetzalhold/clock"
	"quetzalhold/engine"
	"quetzalhold/limit"
	"quetzalhold/memnet"
	"quetzalhold/names"
	"quetzalhold/objects"
	"quetzalhold/operator"
)

// node is the part of an entry VM that speaks with the others.
type node struct {
	host   memnet.Host
	gossip *Gossip
	quota  *Quota
	store  *operator.Store
	stop   context.CancelFunc
	server *http.Server
	mu     sync.Mutex
	seen   []objects.Version // of each applied object, in order
}

// fleet is entry VMs of several failure domains on a network in memory.
type fleet struct {
	net   memnet.Network
	nodes []*node
	wg    sync.WaitGroup
}

const (
	gossipLatency = time.Millisecond
	gossipPort    = ":7000"
)

// newFleet returns running entry VMs, spread over failure domains.
func newFleet(n, domains int) *fleet {
	f := &fleet{}
	f.net.Latency = func(memnet.Host, memnet.Host) time.Duration { return gossipLatency }
	var list []Member
	for i := range n {
		list = append(list, Member{
			Address:     Address(fmt.Sprintf("10.0.%d.%d%s", i/200, i%200+1, gossipPort)),
			ID:          engine.ServerID(fmt.Sprintf("entry-%d", i)),
			Domain:      names.ID(fmt.Sprintf("domain-%d", i%domains)),
			Incarnation: 1,
		})
	}
	for _, m := range list {
		f.start(m, list)
	}
	return f
}

func (f *fleet) start(m Member, list []Member) {
	host := memnet.Host(m.Address[:len(m.Address)-len(gossipPort)])
	nd := &node{host: host, store: &operator.Store{}}
	nd.gossip = &Gossip{
		Members:     NewMembership(m),
		Client:      NewClient("t", f.net.Dialer(host), noop.Tracer{}),
		Store:       nd.store,
		Applied:     nd.apply,
		Leaving:     func() []LeavingServer { return nil },
		NoteLeaving: func([]LeavingServer) {},
	}
	nd.gossip.SetEntries(time.Now(), list)
	nd.quota = &Quota{Gossip: nd.gossip, Gate: &limit.Gate{}, Limits: func(limit.Key) limit.Limits {
		return useLimits
	}}
	mux := http.NewServeMux()
	(&Server{Token: "t", Gossip: nd.gossip, Quota: nd.quota}).Register(mux)
	nd.server = &http.Server{Handler: mux}
	l, err := f.net.Listen(string(m.Address))
	if err != nil {
		panic(err)
	}
	var ctx context.Context
	ctx, nd.stop = context.WithCancel(context.Background())
	f.wg.Go(func() { _ = nd.server.Serve(l) })
	f.wg.Go(func() { nd.gossip.Run(ctx) })
	f.wg.Go(func() { nd.quota.Run(ctx) })
	f.wg.Go(func() { nd.use(ctx) })
	f.nodes = append(f.nodes, nd)
}

// Organisations in use at the target: each of 370 entry VMs gets 13.5 of 5,000
// requests a second, of 8,500 organisations.
const (
	organisations  = 8500
	requestsSecond = 13
)

// useLimits is an organisation's limits, several times its usual use.
var useLimits = limit.Limits{Tokens: 2000}

// use lets random organisations have answers of 23 s, as long as 360 tokens
// take.
func (nd *node) use(ctx context.Context) {
	const answerTime, cost = 23 * time.Second, 360
	nd.quota.Gate.SetPolicy(limit.Policy{MaxAnswers: 1000, MaxQueue: 1000, MaxWait: time.Second})
	r := rand.New(rand.NewPCG(uint64(limit.NewKey(names.ID(nd.host))), 7))
	for ctx.Err() == nil {
		for range requestsSecond {
			id := names.ID(fmt.Sprintf("organisation-%d", r.IntN(organisations)))
			leave, err := nd.quota.Gate.Enter(ctx, limit.Request{
				Organisation: id, Cost: cost, Limits: useLimits, Domains: nd.gossip.Domains(),
			})
			if err == nil {
				nd.quota.Gate.Charge(id, cost)
				time.AfterFunc(answerTime, leave)
			}
		}
		_ = clock.Sleep(ctx, time.Second)
	}
}

func (nd *node) apply(objs []objects.Object) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	for _, o := range objs {
		nd.seen = append(nd.seen, o.Version)
	}
	nd.store.Apply(objs)
}

func (f *fleet) end() {
	for _, nd := range f.nodes {
		nd.stop()
		nd.gossip.Client.CloseIdle()
		_ = nd.server.Close()
	}
	f.wg.Wait()
	time.Sleep(time.Minute)
}

// preset returns a configuration object at a version.
func preset(v objects.Version) objects.Object {
	value := fmt.Sprintf(`{"name":"day","maxAnswers":%d,"maxTokens":1,"newAnswers":true}`, v)
	return objects.Object{Kind: operator.KindPreset, Name: "day", Version: v, Value: []byte(value)}
}

// have counts the entry VMs that know the preset at a version.
func (f *fleet) have(v objects.Version) int {
	n := 0
	for _, nd := range f.nodes {
		if o, ok := nd.store.Get(operator.KindPreset, "day"); ok && o.Version >= v {
			n++
		}
	}
	return n
}

// spreadTime returns how long until n entry VMs know the preset.
func (f *fleet) spreadTime(n int, v objects.Version, limit time.Duration) time.Duration {
	begin := time.Now()
	for time.Since(begin) < limit && f.have(v) < n {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begin)
}

// The targets that the exchange between entry VMs has to meet.
const (
	controlBytes = 8 << 10 // a second
	inForceTime  = 3 * time.Second
	perDomain    = 28
)

// TestGossipCost measures what the exchange costs each entry VM at four sizes
// of the fleet.
func TestGossipCost(t *testing.T) {
	Convey("The bytes of an entry VM do not grow with the fleet and stay within their bound", t, func() {
		const warm, measured = 15 * time.Second, 30 * time.Second
		var worst []float64
		for _, n := range []int{7, perDomain, 2 * perDomain, 4 * perDomain} {
			synctest.Test(t, func(*testing.T) {
				f := newFleet(n, max(n/perDomain, 1))
				defer f.end()
				time.Sleep(warm)
				before := make(map[memnet.Host]memnet.Traffic)
				for _, nd := range f.nodes {
					before[nd.host] = f.net.Traffic(nd.host)
				}
				time.Sleep(measured)
				var sum, most float64
				for _, nd := range f.nodes {
					tr, b := f.net.Traffic(nd.host), before[nd.host]
					bytes := float64(tr.Sent-b.Sent+tr.Received-b.Received) / measured.Seconds()
					sum += bytes
					most = max(most, bytes)
				}
				t.Logf("%4d entry VMs: %5.0f bytes/s each on average, %5.0f at most", n, sum/float64(n), most)
				worst = append(worst, most)
			})
		}
		for _, w := range worst {
			So(w, ShouldBeLessThan, controlBytes)
		}
		So(worst[3], ShouldBeLessThan, 2*worst[1])
	})
}

func TestSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A change reaches every entry VM in time, also where its watchers have just died", t, func() {
			f := newFleet(4*perDomain, 4)
			defer f.end()
			time.Sleep(10 * time.Second)
			f.nodes[0].gossip.Accept(context.Background(), []objects.Object{preset(1)})
			all := f.spreadTime(len(f.nodes), 1, time.Minute)
			t.Logf("from one entry VM to all %d in 4 domains: %s", len(f.nodes), all)
			So(all, ShouldBeLessThan, inForceTime*2)
			for i := range 4 {
				f.nodes[i].gossip.Accept(context.Background(), []objects.Object{preset(2)})
			}
			each := f.spreadTime(len(f.nodes), 2, time.Minute)
			t.Logf("from one watcher in each domain to all: %s", each)
			So(each, ShouldBeLessThan, inForceTime)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("Versions only rise, whatever order they come in", t, func() {
			f := newFleet(perDomain, 1)
			defer f.end()
			time.Sleep(5 * time.Second)
			for i, v := range []objects.Version{3, 1, 5, 2, 4} {
				f.nodes[i*3].gossip.Accept(context.Background(), []objects.Object{preset(v)})
			}
			So(f.spreadTime(len(f.nodes), 5, time.Minute), ShouldBeLessThan, inForceTime)
			time.Sleep(10 * time.Second)
			for _, nd := range f.nodes {
				last := objects.Version(0)
				for _, v := range nd.seen {
					So(v, ShouldBeGreaterThan, last)
					last = v
				}
			}
		})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("A cut off entry VM catches up when the cut is healed", t, func() {
			f := newFleet(7, 1)
			defer f.end()
			for _, nd := range f.nodes[1:] {
				f.net.Partition(f.nodes[0].host, nd.host)
			}
			time.Sleep(time.Minute)
			f.nodes[1].gossip.Accept(context.Background(), []objects.Object{preset(1)})
			time.Sleep(10 * time.Second)
			So(f.have(1), ShouldEqual, 6)
			for _, nd := range f.nodes[1:] {
				f.net.Heal(f.nodes[0].host, nd.host)
			}
			So(f.spreadTime(7, 1, time.Minute), ShouldBeLessThan, 30*time.Second)
		})
	})
}

func TestDetection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A vanished entry VM is dead to all within seconds; one that returns is alive again", t, func() {
			f := newFleet(perDomain, 1)
			defer f.end()
			time.Sleep(10 * time.Second)
			lost := f.nodes[3]
			f.net.Disconnect(lost.host)
			begin := time.Now()
			alive := func() int {
				n := 0
				for _, nd := range f.nodes {
					if nd == lost {
						continue
					}
					if st, _ := stateOf(nd.gossip.Members, lost.gossip.Members.Self().Address); st <= Suspect {
						n++
					}
				}
				return n
			}
			for alive() > 0 && time.Since(begin) < time.Minute {
				time.Sleep(100 * time.Millisecond)
			}
			t.Logf("dead to all %d others after %s", perDomain-1, time.Since(begin))
			So(time.Since(begin), ShouldBeLessThan, 20*time.Second)
			f.net.Reconnect(lost.host)
			time.Sleep(30 * time.Second)
			So(alive(), ShouldEqual, perDomain-1)
		})
	})
}
