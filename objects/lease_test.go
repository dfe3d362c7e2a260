package objects_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/clock"
	"quetzalhold/engine"
	"quetzalhold/memnet"
	"quetzalhold/objects"
	"quetzalhold/result"
	"quetzalhold/standin"
)

const leaseTTL = 20 * time.Second

// holder simulates an entry VM that competes for a lease and sends orders to
// the engine while it holds the lease.
type holder struct {
	lease   *objects.Lease
	client  *engine.Client
	version engine.Version // version that its orders load; differs between holders

	mu     sync.Mutex
	paused chan struct{} // closed when its pause ends; nil if there is none
	delay  time.Duration // pause right before its next order
	orders int
}

// leaseEnv is the environment of a lease test: a platform, one engine and two
// holders.
type leaseEnv struct {
	net      *memnet.Network
	platform *standin.Platform
	engine   *standin.Engine
	holders  []*holder

	mu       sync.Mutex
	accepted []acceptedOrder
}

// acceptedOrder is an order that the engine accepted.
type acceptedOrder struct {
	holder engine.Version
	fence  engine.Fence
}

// pause stops the holder for d.
func (h *holder) pause(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := make(chan struct{})
	h.paused = c
	time.AfterFunc(d, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.paused = nil
		close(c)
	})
}

// waitWhilePaused blocks while the holder is paused. It is called between the
// holder's steps, since a process may be stopped at any point, also between a
// check and the action that depends on it.
func (h *holder) waitWhilePaused() {
	h.mu.Lock()
	c := h.paused
	h.mu.Unlock()
	if c != nil {
		<-c
	}
}

// delayOrder pauses for h.delay, once, between the check of the lease and the
// order.
func (h *holder) delayOrder() {
	h.mu.Lock()
	d := h.delay
	h.delay = 0
	h.mu.Unlock()
	time.Sleep(d)
}

// run tries to acquire or renew the lease every second, and sends an order
// each time that the lease is held.
func (e *leaseEnv) run(ctx context.Context, h *holder) {
	for ctx.Err() == nil {
		h.waitWhilePaused()
		// A failed call is repeated in the next round.
		_ = h.lease.Acquire(ctx)
		h.waitWhilePaused()
		if fence, ok := h.lease.Held(time.Now()); ok {
			h.delayOrder()
			e.order(ctx, h, engine.Fence(fence))
		}
		_ = clock.Sleep(ctx, time.Second)
	}
}

// orderTimeout limits the time of an order. It is shorter than the time that
// Held requires to be left.
const orderTimeout = 4 * time.Second

func (e *leaseEnv) order(ctx context.Context, h *holder, f engine.Fence) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	o := engine.Order{Fence: f, Load: []engine.LoadedModel{{Version: h.version}}}
	if h.client.Order(ctx, "10.0.0.3:80", o) != nil {
		return
	}
	h.mu.Lock()
	h.orders++
	h.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accepted = append(e.accepted, acceptedOrder{h.version, f})
}

func serveAt(n *memnet.Network, address string, h http.Handler) *http.Server {
	l, err := n.Listen(address)
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return s
}

// leaseFaults are faults of the first holder or of the platform, injected
// while the first holder has the lease.
var leaseFaults = []struct {
	name   string
	inject func(w *leaseEnv)
	// needsFence means that only fencing numbers protect against the fault.
	// An engine that ignores them accepts the late order; the sender of the
	// orders has to detect and correct that.
	needsFence bool
}{
	{name: "no fault", inject: func(*leaseEnv) {}},
	{name: "platform down", inject: func(w *leaseEnv) {
		w.platform.SetFault(standin.PlatformFault{Down: true})
		time.AfterFunc(40*time.Second, func() { w.platform.SetFault(standin.PlatformFault{}) })
	}},
	{name: "responses lost after the write took effect", inject: func(w *leaseEnv) {
		w.platform.SetFault(standin.PlatformFault{LoseAnswers: 5})
	}},
	{name: "platform slow", inject: func(w *leaseEnv) {
		w.platform.SetFault(standin.PlatformFault{Delay: 1500 * time.Millisecond})
		time.AfterFunc(time.Minute, func() { w.platform.SetFault(standin.PlatformFault{}) })
	}},
	{name: "holder paused until after its lease expired", inject: func(w *leaseEnv) { w.holders[0].pause(45 * time.Second) }},
	{name: "holder paused between lease check and order", needsFence: true, inject: func(w *leaseEnv) {
		w.holders[0].mu.Lock()
		defer w.holders[0].mu.Unlock()
		w.holders[0].delay = 45 * time.Second
	}},
	{name: "holder cut off from the platform", inject: func(w *leaseEnv) {
		w.net.Partition("10.0.0.1", "10.0.0.11")
		time.AfterFunc(time.Minute, func() { w.net.Heal("10.0.0.1", "10.0.0.11") })
	}},
	{name: "holder vanished from the network", inject: func(w *leaseEnv) { w.net.Disconnect("10.0.0.11") }},
}

func TestLeaseMatrix(t *testing.T) {
	for _, f := range leaseFaults {
		for _, ignoreFence := range []bool{false, true} {
			if f.needsFence && ignoreFence {
				continue
			}
			t.Run(fmt.Sprintf("%s/engine ignores fences %t", f.name, ignoreFence), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					Convey("Orders of two holders never interleave: "+f.name, t, func() {
						w := &leaseEnv{net: &memnet.Network{}, platform: standin.NewPlatform(0)}
						w.engine = standin.NewEngine(standin.EngineConfig{ID: "e", IgnoreFence: ignoreFence, LoadTime: time.Millisecond})
						servers := []*http.Server{serveAt(w.net, "10.0.0.1:80", w.platform), serveAt(w.net, "10.0.0.3:80", w.engine)}
						ctx, cancel := context.WithCancel(context.Background())
						var wg sync.WaitGroup
						for i := range 2 {
							host := memnet.Host(fmt.Sprintf("10.0.0.1%d", i+1))
							c := objects.NewClient("10.0.0.1:80", objects.WithDial(w.net.Dialer(host)))
							h := &holder{version: engine.Version(host), client: engine.NewClient(w.net.Dialer(host)), lease: &objects.Lease{
								Name: "moves", Holder: string(host), TTL: leaseTTL, Get: c.Get, Put: c.Put,
							}}
							w.holders = append(w.holders, h)
							wg.Go(func() {
								time.Sleep(time.Duration(i) * 500 * time.Millisecond)
								w.run(ctx, h)
								c.CloseIdle()
							})
						}
						time.Sleep(5 * time.Second)
						f.inject(w)
						time.Sleep(3 * time.Minute)
						cancel()
						w.engine.Close()
						for _, s := range servers {
							_ = s.Close()
						}
						wg.Wait()
						time.Sleep(time.Minute)
						w.check(ignoreFence)
					})
				})
			})
		}
	}
}

// check checks that orders were accepted and that those of the two holders do
// not interleave.
func (e *leaseEnv) check(ignoreFence bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	So(len(e.accepted), ShouldBeGreaterThan, 60)
	last := acceptedOrder{}
	changes := 0
	for _, a := range e.accepted {
		if !ignoreFence {
			So(a.fence, ShouldBeGreaterThanOrEqualTo, last.fence)
		}
		if a.holder != last.holder {
			changes++
		}
		last = a
	}
	So(changes, ShouldBeLessThanOrEqualTo, 2)
}

func TestLeaseHeld(t *testing.T) {
	inBubble(t, "A lease ends for its holder before another VM can acquire it", func(_ *memnet.Network, p *standin.Platform, c *objects.Client) {
		mine := &objects.Lease{Name: "l", Holder: "a", TTL: leaseTTL, Get: c.Get, Put: c.Put}
		other := &objects.Lease{Name: "l", Holder: "b", TTL: leaseTTL, Get: c.Get, Put: c.Put}
		_, ok := mine.Held(time.Now())
		So(ok, ShouldBeFalse)
		So(mine.Acquire(context.Background()), ShouldBeNil)
		first, ok := mine.Held(time.Now())
		So(ok, ShouldBeTrue)
		So(result.CodeOf(other.Acquire(context.Background())), ShouldEqual, result.VersionConflict)
		time.Sleep(leaseTTL)
		_, ok = mine.Held(time.Now())
		So(ok, ShouldBeFalse)
		So(result.CodeOf(other.Acquire(context.Background())), ShouldEqual, result.VersionConflict)
		time.Sleep(10 * time.Second)
		So(other.Acquire(context.Background()), ShouldBeNil)
		second, ok := other.Held(time.Now())
		So(ok, ShouldBeTrue)
		So(second, ShouldBeGreaterThan, first)
		So(result.CodeOf(mine.Acquire(context.Background())), ShouldEqual, result.VersionConflict)
		p.SetFault(standin.PlatformFault{LoseAnswers: 1})
		So(other.Acquire(context.Background()), ShouldBeNil)
	})
}
