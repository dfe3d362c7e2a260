package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
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

// entryVM is the part of an entry VM that communicates with the others.
type entryVM struct {
	host     memnet.Host
	gossip   *Gossip
	quota    *Quota
	store    *operator.Store
	stop     context.CancelFunc
	server   *http.Server
	mu       sync.Mutex
	versions []objects.Version // of each applied object, in order
	// maxApplyDelay bounds the random time by which applying objects is delayed.
	maxApplyDelay time.Duration
}

// fleet is a set of entry VMs of several failure domains on an in-memory network.
type fleet struct {
	net memnet.Network
	vms []*entryVM
	wg  sync.WaitGroup
}

const (
	gossipLatency = time.Millisecond
	gossipPort    = ":7000"
)

// newFleet returns a fleet of n running entry VMs, spread evenly over failure domains.
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
	vm := &entryVM{host: host, store: &operator.Store{}}
	vm.gossip = &Gossip{
		Members:        NewMembership(m),
		Client:         NewClient("t", f.net.Dialer(host), noop.Tracer{}),
		Store:          vm.store,
		Apply:          vm.apply,
		Draining:       func() []DrainingServer { return nil },
		RecordDraining: func([]DrainingServer) {},
	}
	vm.gossip.SetEntries(time.Now(), list)
	vm.quota = &Quota{Gossip: vm.gossip, Gate: &limit.Gate{}, Limits: func(limit.Key) limit.Limits {
		return loadLimits
	}}
	mux := http.NewServeMux()
	(&Server{Token: "t", Gossip: vm.gossip, Quota: vm.quota}).Register(mux)
	vm.server = &http.Server{Handler: mux}
	l, err := f.net.Listen(string(m.Address))
	if err != nil {
		panic(err)
	}
	var ctx context.Context
	ctx, vm.stop = context.WithCancel(context.Background())
	f.wg.Go(func() { _ = vm.server.Serve(l) })
	f.wg.Go(func() { vm.gossip.Run(ctx) })
	f.wg.Go(func() { vm.quota.Run(ctx) })
	f.wg.Go(func() { vm.generateLoad(ctx) })
	f.vms = append(f.vms, vm)
}

// Load of an entry VM at the target: 8,500 organisations send 5,000 requests per
// second, of which each of 370 entry VMs gets 13.5.
const (
	organisations     = 8500
	requestsPerSecond = 13
)

// loadLimits is the limits of each organisation, several times its usual use.
var loadLimits = limit.Limits{Tokens: 2000}

// generateLoad admits requests of random organisations until ctx ends. Each answer
// takes 23 s, the time for 360 tokens.
func (vm *entryVM) generateLoad(ctx context.Context) {
	const answerTime, cost = 23 * time.Second, 360
	vm.quota.Gate.SetPolicy(limit.Policy{MaxAnswers: 1000, MaxQueue: 1000, MaxWait: time.Second})
	r := rand.New(rand.NewPCG(uint64(limit.NewKey(names.ID(vm.host))), 7))
	for ctx.Err() == nil {
		for range requestsPerSecond {
			id := names.ID(fmt.Sprintf("organisation-%d", r.IntN(organisations)))
			leave, err := vm.quota.Gate.Enter(ctx, limit.Request{
				Organisation: id, Cost: cost, Limits: loadLimits, Domains: vm.gossip.Domains(),
			})
			if err == nil {
				vm.quota.Gate.Charge(id, cost)
				time.AfterFunc(answerTime, leave)
			}
		}
		_ = clock.Sleep(ctx, time.Second)
	}
}

func (vm *entryVM) apply(objs []objects.Object) []objects.Object {
	if vm.maxApplyDelay > 0 {
		time.Sleep(rand.N(vm.maxApplyDelay))
	}
	vm.mu.Lock()
	defer vm.mu.Unlock()
	newer, _ := vm.store.Apply(objs)
	for _, o := range newer {
		vm.versions = append(vm.versions, o.Version)
	}
	return newer
}

// applied returns the versions of the objects applied so far, in order.
func (vm *entryVM) applied() []objects.Version {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return slices.Clone(vm.versions)
}

func (f *fleet) stop() {
	for _, vm := range f.vms {
		vm.stop()
		vm.gossip.Client.CloseIdle()
		_ = vm.server.Close()
	}
	f.wg.Wait()
	time.Sleep(time.Minute)
}

// preset returns a configuration object at a version.
func preset(v objects.Version) objects.Object {
	value := fmt.Sprintf(`{"name":"day","maxAnswers":%d,"maxTokens":1,"newAnswers":true}`, v)
	return objects.Object{Kind: operator.KindPreset, Name: "day", Version: v, Value: []byte(value)}
}

// countAtVersion counts the entry VMs that have the preset at version v or newer.
func (f *fleet) countAtVersion(v objects.Version) int {
	n := 0
	for _, vm := range f.vms {
		if o, ok := vm.store.Get(operator.KindPreset, "day"); ok && o.Version >= v {
			n++
		}
	}
	return n
}

// spreadTime waits until n entry VMs have the preset at version v, or for limit, and
// returns how long that took.
func (f *fleet) spreadTime(n int, v objects.Version, limit time.Duration) time.Duration {
	begin := time.Now()
	for time.Since(begin) < limit && f.countAtVersion(v) < n {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begin)
}

// The targets for traffic and propagation between entry VMs.
const (
	controlBytes = 8 << 10 // per second and entry VM
	inForceTime  = 3 * time.Second
	perDomain    = 28
)

// TestGossipCost measures the traffic of each entry VM at four sizes of the fleet.
func TestGossipCost(t *testing.T) {
	Convey("The traffic of an entry VM does not grow with the fleet and stays below its bound", t, func() {
		const warm, measured = 15 * time.Second, 30 * time.Second
		var worst []float64
		for _, n := range []int{7, perDomain, 2 * perDomain, 4 * perDomain} {
			synctest.Test(t, func(*testing.T) {
				f := newFleet(n, max(n/perDomain, 1))
				defer f.stop()
				time.Sleep(warm)
				before := make(map[memnet.Host]memnet.Traffic)
				for _, vm := range f.vms {
					before[vm.host] = f.net.Traffic(vm.host)
				}
				time.Sleep(measured)
				var sum, most float64
				for _, vm := range f.vms {
					tr, b := f.net.Traffic(vm.host), before[vm.host]
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
		Convey("A change reaches every entry VM in time, also in domains whose watchers have just died", t, func() {
			f := newFleet(4*perDomain, 4)
			defer f.stop()
			time.Sleep(10 * time.Second)
			f.vms[0].gossip.Accept(context.Background(), []objects.Object{preset(1)})
			all := f.spreadTime(len(f.vms), 1, time.Minute)
			t.Logf("from one entry VM to all %d in 4 domains: %s", len(f.vms), all)
			So(all, ShouldBeLessThan, inForceTime*2)
			for i := range 4 {
				f.vms[i].gossip.Accept(context.Background(), []objects.Object{preset(2)})
			}
			each := f.spreadTime(len(f.vms), 2, time.Minute)
			t.Logf("from one watcher in each domain to all: %s", each)
			So(each, ShouldBeLessThan, inForceTime)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("Versions only increase, in whatever order they arrive", t, func() {
			f := newFleet(perDomain, 1)
			defer f.stop()
			time.Sleep(5 * time.Second)
			for i, v := range []objects.Version{3, 1, 5, 2, 4} {
				f.vms[i*3].gossip.Accept(context.Background(), []objects.Object{preset(v)})
			}
			So(f.spreadTime(len(f.vms), 5, time.Minute), ShouldBeLessThan, inForceTime)
			time.Sleep(10 * time.Second)
			for _, vm := range f.vms {
				last := objects.Version(0)
				for _, v := range vm.applied() {
					So(v, ShouldBeGreaterThan, last)
					last = v
				}
			}
		})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("Versions only increase if objects arrive while others are being applied", t, func() {
			f := newFleet(perDomain, 1)
			defer f.stop()
			for _, vm := range f.vms {
				vm.maxApplyDelay = 5 * time.Millisecond
			}
			time.Sleep(5 * time.Second)
			var wg sync.WaitGroup
			for v := range objects.Version(20) {
				wg.Go(func() { f.vms[v%3].gossip.Accept(context.Background(), []objects.Object{preset(v + 1)}) })
			}
			wg.Wait()
			So(f.spreadTime(len(f.vms), 20, time.Minute), ShouldBeLessThan, inForceTime)
			for _, vm := range f.vms {
				versions := vm.applied()
				So(slices.IsSorted(versions), ShouldBeTrue)
				So(slices.Compact(slices.Clone(versions)), ShouldResemble, versions)
			}
		})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("A partitioned entry VM catches up when the partition is healed", t, func() {
			f := newFleet(7, 1)
			defer f.stop()
			for _, vm := range f.vms[1:] {
				f.net.Partition(f.vms[0].host, vm.host)
			}
			time.Sleep(time.Minute)
			f.vms[1].gossip.Accept(context.Background(), []objects.Object{preset(1)})
			time.Sleep(10 * time.Second)
			So(f.countAtVersion(1), ShouldEqual, 6)
			for _, vm := range f.vms[1:] {
				f.net.Heal(f.vms[0].host, vm.host)
			}
			So(f.spreadTime(7, 1, time.Minute), ShouldBeLessThan, 30*time.Second)
		})
	})
}

func TestDetection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("All members consider an unreachable entry VM dead within seconds, and alive again when it returns", t, func() {
			f := newFleet(perDomain, 1)
			defer f.stop()
			time.Sleep(10 * time.Second)
			lost := f.vms[3]
			f.net.Disconnect(lost.host)
			begin := time.Now()
			alive := func() int {
				n := 0
				for _, vm := range f.vms {
					if vm == lost {
						continue
					}
					if st, _ := stateOf(vm.gossip.Members, lost.gossip.Members.Self().Address); st <= Suspect {
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
