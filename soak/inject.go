package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"quetzalhold/platform/platformtest"
)

// injectAll injects faults, several of them overlapping, until the time is over.
// It returns how many.
func (w *world) injectAll(ctx context.Context) int {
	until := time.Now().Add(w.o.For)
	var wg sync.WaitGroup
	n := 0
	for ; time.Now().Before(until) && ctx.Err() == nil; n++ {
		f := w.draw()
		wg.Go(f)
		time.Sleep(time.Duration(100+w.rnd.IntN(600)) * time.Millisecond)
	}
	wg.Wait()
	return n
}

// draw returns the next fault. It is drawn here, so that the order of what runs
// side by side does not change it.
func (w *world) draw() func() {
	g := w.gateways[w.rnd.IntN(len(w.gateways))]
	i := w.rnd.IntN(len(w.servers))
	s, via := w.servers[i], w.vias[i]
	d := time.Duration(300+w.rnd.IntN(2500)) * time.Millisecond
	during := func(begin, end func()) func() {
		return func() {
			begin()
			time.Sleep(d)
			end()
		}
	}
	proxy := func(p *Proxy, m Mode) func() {
		return during(func() { p.Set(m) }, func() { p.Set(Mode{}) })
	}
	fault := func(f platformtest.Fault) func() {
		return during(func() { s.SetFault(f) }, func() { s.SetFault(platformtest.Fault{}) })
	}
	store := func(f platformtest.StoreFault) func() {
		return during(func() { w.store.SetFault(f) }, func() { w.store.SetFault(platformtest.StoreFault{}) })
	}
	all := []func(){
		func() { w.restart(g, syscall.SIGKILL, d) },
		func() { w.restart(g, syscall.SIGTERM, d) },
		func() { g.signal(syscall.SIGHUP) },
		during(func() { g.signal(syscall.SIGSTOP) }, func() { g.signal(syscall.SIGCONT) }),
		proxy(via, Mode{Delay: 50 * time.Millisecond}), proxy(via, Mode{Silent: true}), proxy(via, Mode{DropBack: true}), proxy(via, Mode{Refuse: true}),
		via.Reset, w.storeVia.Reset,
		proxy(w.storeVia, Mode{Silent: true}), proxy(w.storeVia, Mode{Delay: 100 * time.Millisecond}),
		store(platformtest.StoreFault{Busy: true}), store(platformtest.StoreFault{Silent: true}), store(platformtest.StoreFault{DropResponses: true}),
		w.store.Compact, w.configure, w.configure,
		fault(platformtest.Fault{Refuse: true}), fault(platformtest.Fault{DropConnection: true}), fault(platformtest.Fault{WrongRequest: true}),
		fault(platformtest.Fault{Truncate: true}), fault(platformtest.Fault{NoLength: true, Truncate: true}), fault(platformtest.Fault{NoStamp: true}),
		fault(platformtest.Fault{Status: 500}), fault(platformtest.Fault{Hang: true}), fault(platformtest.Fault{TruncateEvent: 7}), fault(platformtest.Fault{SilentAfter: 9}),
		during(func() { w.store.Put("servers", s.ID, s.Entry("draining")) }, func() { w.store.Put("servers", s.ID, s.Entry("ready")) }),
		during(func() { s.Stop(""); via.Reset(); w.book.DropCopies(s.Address) }, func() {}),
	}
	return all[w.rnd.IntN(len(all))]
}

// restart ends a gateway's process and starts it again after a while.
func (w *world) restart(g *gateway, s syscall.Signal, pause time.Duration) {
	g.life.Lock()
	defer g.life.Unlock()
	g.stop(s)
	time.Sleep(pause)
	if err := g.run(w.o.Binary); err != nil {
		w.judge.mu.Lock()
		defer w.judge.mu.Unlock()
		w.judge.fault("gateway %d does not start: %v", g.n, err)
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.store.SetFault(platformtest.StoreFault{})
	w.storeVia.Set(Mode{})
	for i, s := range w.servers {
		s.SetFault(platformtest.Fault{})
		w.vias[i].Set(Mode{})
		w.store.Put("servers", s.ID, s.Entry("ready"))
	}
	for _, g := range w.gateways {
		g.signal(syscall.SIGCONT)
	}
}
