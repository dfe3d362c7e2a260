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

const leaseTerm = 20 * time.Second

// holder is an entry VM that tries to hold a lease and gives orders while it
// does.
type holder struct {
	lease  *objects.Lease
	client *engine.Client
	name   engine.Version // what its orders load

	mu     sync.Mutex
	paused chan struct{} // closed when its pause ends; nil if there is none
	stop   time.Duration // of a pause right before its next order
	orders int
}

// leaseWorld is a platform, one engine and two holders.
type leaseWorld struct {
	net      *memnet.Network
	platform *standin.Platform
	engine   *standin.Engine
	holders  []*holder

	mu       sync.Mutex
	accepted []accepted
}

// accepted is an order that the engine obeyed.
type accepted struct {
	holder engine.Version
	fence  engine.Fence
}

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

// gate blocks while the holder is paused, as a stopped process does: at any
// step, also between a check and what it permits.
func (h *holder) gate() {
	h.mu.Lock()
	c := h.paused
	h.mu.Unlock()
	if c != nil {
		<-c
	}
}

// stopBeforeOrder pauses between the check of the lease and the order.
func (h *holder) stopBeforeOrder() {
	h.mu.Lock()
	d := h.stop
	h.stop = 0
	h.mu.Unlock()
	time.Sleep(d)
}

// run renews the lease and gives an order every second while it is held.
func (w *leaseWorld) run(ctx context.Context, h *holder) {
	for ctx.Err() == nil {
		h.gate()
		// A failed try is tried again.
		_ = h.lease.Acquire(ctx)
		h.gate()
		if fence, ok := h.lease.Held(time.Now()); ok {
			h.stopBeforeOrder()
			w.order(ctx, h, engine.Fence(fence))
		}
		_ = clock.Sleep(ctx, time.Second)
	}
}

// orderLimit is how long an order may take; a lease leaves that much time.
const orderLimit = 4 * time.Second

func (w *leaseWorld) order(ctx context.Context, h *holder, f engine.Fence) {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	o := engine.Order{Fence: f, Load: []engine.LoadedModel{{Version: h.name}}}
	if h.client.Order(ctx, "10.0.0.3:80", o) != nil {
		return
	}
	h.mu.Lock()
	h.orders++
	h.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted = append(w.accepted, accepted{h.name, f})
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

// leaseFaults strike the first holder, or the platform, while it holds the
// lease.
var leaseFaults = []struct {
	name   string
	strike func(w *leaseWorld)
	// fenced says that only fencing numbers protect against it. An engine
	// that ignores them obeys the late order; finding and mending that is
	// the task of whoever gives the orders.
	fenced bool
}{
	{name: "no fault", strike: func(*leaseWorld) {}},
	{name: "platform down", strike: func(w *leaseWorld) {
		w.platform.Fail(standin.PlatformFault{Down: true})
		time.AfterFunc(40*time.Second, func() { w.platform.Fail(standin.PlatformFault{}) })
	}},
	{name: "answers lost after the effect", strike: func(w *leaseWorld) {
		w.platform.Fail(standin.PlatformFault{LoseAnswers: 5})
	}},
	{name: "platform slow", strike: func(w *leaseWorld) {
		w.platform.Fail(standin.PlatformFault{Delay: 1500 * time.Millisecond})
		time.AfterFunc(time.Minute, func() { w.platform.Fail(standin.PlatformFault{}) })
	}},
	{name: "holder paused over its lease", strike: func(w *leaseWorld) { w.holders[0].pause(45 * time.Second) }},
	{name: "holder paused between its check and its order", fenced: true, strike: func(w *leaseWorld) {
		w.holders[0].mu.Lock()
		defer w.holders[0].mu.Unlock()
		w.holders[0].stop = 45 * time.Second
	}},
	{name: "holder cut off from the platform", strike: func(w *leaseWorld) {
		w.net.Cut("10.0.0.1", "10.0.0.11")
		time.AfterFunc(time.Minute, func() { w.net.Heal("10.0.0.1", "10.0.0.11") })
	}},
	{name: "holder gone", strike: func(w *leaseWorld) { w.net.Vanish("10.0.0.11") }},
}

func TestLeaseMatrix(t *testing.T) {
	for _, f := range leaseFaults {
		for _, ignores := range []bool{false, true} {
			if f.fenced && ignores {
				continue
			}
			t.Run(fmt.Sprintf("%s/engine ignores fences %t", f.name, ignores), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					Convey("Orders of two holders never interleave: "+f.name, t, func() {
						w := &leaseWorld{net: &memnet.Network{}, platform: standin.NewPlatform(0)}
						w.engine = standin.NewEngine(standin.EngineConfig{ID: "e", IgnoreFence: ignores, LoadTime: time.Millisecond})
						servers := []*http.Server{serveAt(w.net, "10.0.0.1:80", w.platform), serveAt(w.net, "10.0.0.3:80", w.engine)}
						ctx, cancel := context.WithCancel(context.Background())
						var wg sync.WaitGroup
						for i := range 2 {
							host := memnet.Host(fmt.Sprintf("10.0.0.1%d", i+1))
							c := objects.NewClient("10.0.0.1:80", objects.WithDial(w.net.Dialer(host)))
							h := &holder{name: engine.Version(host), client: engine.NewClient(w.net.Dialer(host)), lease: &objects.Lease{
								Name: "moves", Holder: string(host), TTL: leaseTerm, Get: c.Get, Put: c.Put,
							}}
							w.holders = append(w.holders, h)
							wg.Go(func() {
								time.Sleep(time.Duration(i) * 500 * time.Millisecond)
								w.run(ctx, h)
								c.CloseIdle()
							})
						}
						time.Sleep(5 * time.Second)
						f.strike(w)
						time.Sleep(3 * time.Minute)
						cancel()
						w.engine.Close()
						for _, s := range servers {
							_ = s.Close()
						}
						wg.Wait()
						time.Sleep(time.Minute)
						w.check(ignores)
					})
				})
			})
		}
	}
}

// check checks that orders do not interleave and that someone gave them.
func (w *leaseWorld) check(ignores bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	So(len(w.accepted), ShouldBeGreaterThan, 60)
	last := accepted{}
	changes := 0
	for _, a := range w.accepted {
		if !ignores {
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
	inBubble(t, "A lease ends for its holder before it ends for others", func(_ *memnet.Network, p *standin.Platform, c *objects.Client) {
		mine := &objects.Lease{Name: "l", Holder: "a", TTL: leaseTerm, Get: c.Get, Put: c.Put}
		other := &objects.Lease{Name: "l", Holder: "b", TTL: leaseTerm, Get: c.Get, Put: c.Put}
		_, ok := mine.Held(time.Now())
		So(ok, ShouldBeFalse)
		So(mine.Acquire(context.Background()), ShouldBeNil)
		first, ok := mine.Held(time.Now())
		So(ok, ShouldBeTrue)
		So(result.CodeOf(other.Acquire(context.Background())), ShouldEqual, result.VersionConflict)
		time.Sleep(leaseTerm)
		_, ok = mine.Held(time.Now())
		So(ok, ShouldBeFalse)
		So(result.CodeOf(other.Acquire(context.Background())), ShouldEqual, result.VersionConflict)
		time.Sleep(10 * time.Second)
		So(other.Acquire(context.Background()), ShouldBeNil)
		second, ok := other.Held(time.Now())
		So(ok, ShouldBeTrue)
		So(second, ShouldBeGreaterThan, first)
		So(result.CodeOf(mine.Acquire(context.Background())), ShouldEqual, result.VersionConflict)
		p.Fail(standin.PlatformFault{LoseAnswers: 1})
		So(other.Acquire(context.Background()), ShouldBeNil)
	})
}
