package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"quetzalhold/platform/platformtest"
)

// injectAll injects faults, some of which overlap, until Options.FaultTime has passed. It
// returns the number of faults, and that of the crowds of clients beside them.
func (w *harness) injectAll(ctx context.Context) (n, crowds int) {
	until := time.Now().Add(w.opts.FaultTime)
	var wg sync.WaitGroup
	for ; time.Now().Before(until) && ctx.Err() == nil; n++ {
		f := w.drawFault()
		wg.Go(f)
		if w.crowdRnd.IntN(crowdOneIn) == 0 {
			wg.Go(w.drawCrowd(crowds))
			crowds++
		}
		time.Sleep(time.Duration(100+w.rnd.IntN(600)) * time.Millisecond)
	}
	wg.Wait()
	return n, crowds
}

// drawFault returns a function that injects a random fault. All random numbers are
// drawn before the function runs, so the order in which concurrent faults run does not
// change the sequence of faults.
func (w *harness) drawFault() func() {
	g := w.gateways[w.rnd.IntN(len(w.gateways))]
	i := w.rnd.IntN(len(w.servers))
	s, via := w.servers[i], w.proxies[i]
	d := time.Duration(300+w.rnd.IntN(2500)) * time.Millisecond
	during := func(begin, end func()) func() {
		return func() {
			begin()
			time.Sleep(d)
			end()
		}
	}
	proxy := func(p *Proxy, m Mode) func() {
		return during(func() { p.SetMode(m) }, func() { p.SetMode(Mode{}) })
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
		proxy(via, Mode{Delay: 50 * time.Millisecond}), proxy(via, Mode{Silent: true}), proxy(via, Mode{DropResponses: true}), proxy(via, Mode{Refuse: true}),
		via.Reset, w.storeProxy.Reset,
		proxy(w.storeProxy, Mode{Silent: true}), proxy(w.storeProxy, Mode{Delay: 100 * time.Millisecond}),
		store(platformtest.StoreFault{Busy: true}), store(platformtest.StoreFault{Silent: true}), store(platformtest.StoreFault{DropResponses: true}),
		w.store.Compact, w.configure, w.configure,
		fault(platformtest.Fault{Refuse: true}), fault(platformtest.Fault{DropConnection: true}), fault(platformtest.Fault{WrongRequest: true}),
		fault(platformtest.Fault{Truncate: true}), fault(platformtest.Fault{NoLength: true, Truncate: true}), fault(platformtest.Fault{NoStamp: true}),
		fault(platformtest.Fault{Status: 500}), fault(platformtest.Fault{Hang: true}), fault(platformtest.Fault{TruncateEvent: 7}), fault(platformtest.Fault{SilentAfter: 9}),
		fault(platformtest.Fault{Limit: "3"}), fault(platformtest.Fault{Limit: "0.5"}), fault(platformtest.Fault{Brittle: 5, Room: 2}),
		during(func() { w.setAllProxies(Mode{Refuse: true}) }, func() { w.setAllProxies(Mode{}) }),
		during(func() { w.setAllProxies(Mode{Silent: true}) }, func() { w.setAllProxies(Mode{}) }),
		during(func() { w.store.Put("servers", s.ID, s.Entry("draining")) }, func() { w.store.Put("servers", s.ID, s.Entry("ready")) }),
		during(func() { s.Stop(""); via.Reset(); w.recorder.DropCopies(s.Address) }, func() {}),
	}
	return all[w.rnd.IntN(len(all))]
}

// setAllProxies sets the mode of the proxies of all servers.
func (w *harness) setAllProxies(m Mode) {
	for _, p := range w.proxies {
		p.SetMode(m)
	}
}

// restart ends a gateway's process with signal s and starts a new one after pause.
func (w *harness) restart(g *gateway, s syscall.Signal, pause time.Duration) {
	g.restartMu.Lock()
	defer g.restartMu.Unlock()
	w.stop(g, s)
	time.Sleep(pause)
	if err := g.startProcess(w.opts.Binary); err != nil {
		w.checker.mu.Lock()
		defer w.checker.mu.Unlock()
		w.checker.violation("gateway %d does not start: %v", g.index, err)
	}
}

// stopInSeries stops and restarts the gateways one after the other until Options.FaultTime has passed, and replaces
// a server during each stop.
func (w *harness) stopInSeries(ctx context.Context) {
	until := time.Now().Add(w.opts.FaultTime)
	for i := 0; time.Now().Before(until) && ctx.Err() == nil; i++ {
		k := i % len(w.servers)
		replace := time.AfterFunc(time.Second, func() { w.replace(w.servers[k], w.proxies[k]) })
		w.restart(w.gateways[i%len(w.gateways)], syscall.SIGTERM, 100*time.Millisecond)
		replace.Stop()
	}
}

// replace lets a server leave, and start anew with nothing kept.
func (w *harness) replace(s *platformtest.Server, via *Proxy) {
	w.store.Remove("servers", s.ID)
	s.Stop("")
	w.recorder.DropCopies(s.Address)
	via.Reset()
	s.Restart(time.Now().UnixMilli())
	w.store.Put("servers", s.ID, s.Entry("ready"))
}

// clearFaults removes all faults from the store, the proxies and the servers, and
// resumes paused gateways.
func (w *harness) clearFaults() {
	w.faultsOver.Store(true)
	w.store.SetFault(platformtest.StoreFault{})
	w.storeProxy.SetMode(Mode{})
	w.setAllProxies(Mode{})
	for _, s := range w.servers {
		s.SetFault(platformtest.Fault{})
		w.store.Put("servers", s.ID, s.Entry("ready"))
	}
	for _, g := range w.gateways {
		g.signal(syscall.SIGCONT)
	}
}
