package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// The load and the bounds of the case.
const (
	badPart       = "bad0"
	badEvery      = 2 * time.Second // between two requests with the part
	groupSize     = 6               // requests with the part that come together
	groupEvery    = 8 * time.Second
	soundEvery    = 250 * time.Millisecond
	partDown      = 4 * time.Second // how long an engine is down after a crash
	partPrefill   = 450 * time.Millisecond
	partComments  = 100 * time.Millisecond
	partEvents    = 50 * time.Millisecond
	partPlay      = 50 * time.Second
	partFifth     = 5 // crashes after which requests with the part must not be sent, but for a few
	partMay       = 3 // that may
	commentBudget = 80 * time.Second
)

// partCrashes is when requests with the part reached engines, and when engines crashed.
type partCrashes struct {
	mu               sync.Mutex
	arrived, crashed []time.Time
}

func (x *partCrashes) add(list *[]time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	*list = append(*list, time.Now())
}

// comments sends streams of which some have a part in their prompts that crashes each engine which begins to write
// an answer. While engines read a prompt, they send comments.
func comments(w *world) error {
	return w.crashingPart(&crashingPart{engines: 6, comments: partComments, size: 1, every: badEvery})
}

// groups sends streams of which some have a part in their prompts that crashes each engine which begins to write an
// answer, before a byte of it. Those with the part come in groups.
func groups(w *world) error {
	return w.crashingPart(&crashingPart{engines: 12, size: groupSize, every: groupEvery})
}

// crashingPart is how requests with a part come that crashes engines.
type crashingPart struct {
	engines  int
	comments time.Duration // between the comments of engines that read a prompt; 0 for none
	size     int           // requests that come together
	every    time.Duration
}

// crashingPart plays streams of which some have a part that crashes engines.
func (w *world) crashingPart(p *crashingPart) error {
	configure(w.store)
	address, err := serve(w.store)
	if err != nil {
		return err
	}
	x := &partCrashes{}
	for i := range p.engines {
		if err := w.addPartEngine(x, i, p.comments); err != nil {
			return err
		}
	}
	for i, zone := range zones {
		s := &plainServer{world: w, store: w.store, name: fmt.Sprintf("floor-%d", i), service: "floor", zone: zone, address: "127.0.0.1:0", arrived: func(arrival) {}}
		if err := s.start(); err != nil {
			return err
		}
	}
	for name, zone := range map[string]string{"front-norte-a-1": "norte-a", "front-centro-a-1": "centro-a"} {
		if _, err := w.addGateway(name, zone, address); err != nil {
			return err
		}
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return err
	}
	return x.judge(w, w.playParts(p))
}

// addPartEngine starts an engine that crashes on the part, and comes back.
func (w *world) addPartEngine(x *partCrashes, i int, comments time.Duration) error {
	boot := 0
	var start func() error
	start = func() error {
		boot++
		e := &engine{
			world: w, id: fmt.Sprintf("models-%d-%d", i, boot), zone: zones[i%len(zones)], eventEvery: partEvents, prefill: partPrefill, comments: comments,
			answered: func(string, *http.Request, int, time.Time) {},
		}
		isBad := func(r *http.Request) bool { return strings.Contains(r.Header.Get("X-Prompt-Prefix"), badPart+":") }
		e.arrived = func(_ string, r *http.Request, _ time.Time) {
			if isBad(r) {
				w.note("ran", "%s at %s", r.Header.Get("X-Request-Id"), e.id)
				x.add(&x.arrived)
			}
		}
		e.crashes = func(r *http.Request) bool { return w.trouble && isBad(r) }
		once := sync.OnceFunc(func() {
			w.note("server", "%s crashes", e.id)
			x.add(&x.crashed)
			e.crash(partDown, func() {
				w.store.Remove("servers", e.id)
				if err := start(); err != nil {
					w.note("server", "engine %d did not start again: %v", i, err)
				}
			})
		})
		e.crashed = once
		if err := e.start("all"); err != nil {
			return err
		}
		w.store.Put("servers", e.id, e.entry("all", "ready"))
		return nil
	}
	return start()
}

// playParts sends streams, some of which have the part, and returns the others.
func (w *world) playParts(p *crashingPart) []*note {
	ctx, cancel := context.WithTimeout(context.Background(), commentBudget)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var list []*note
	var wg sync.WaitGroup
	began := time.Now()
	wg.Go(func() {
		for n := 0; time.Since(began) < partPlay; n++ {
			for i := range p.size {
				wg.Go(func() {
					w.streamOn(ctx, client, w.gateways[(n+i)%len(w.gateways)], "summary", fmt.Sprintf("bad-%d-%d", n, i), zeroTokens, "aa:200,"+badPart+":200")
				})
			}
			time.Sleep(p.every)
		}
	})
	for n := 0; time.Since(began) < partPlay; n++ {
		x := &note{id: fmt.Sprintf("sound-%d", n), sentAt: time.Now()}
		list = append(list, x)
		wg.Go(func() {
			x.reply = w.streamOn(ctx, client, w.gateways[n%len(w.gateways)], "summary", x.id, zeroTokens, "aa:200,cc:200")
		})
		time.Sleep(soundEvery)
	}
	wg.Wait()
	return list
}

// judge checks how many requests with the part have reached engines later than contact after the fifth crash.
func (x *partCrashes) judge(w *world, list []*note) error {
	whole := 0
	for _, s := range list {
		if s.complete() {
			whole++
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	slices.SortFunc(x.crashed, time.Time.Compare)
	late := 0
	if len(x.crashed) >= partFifth {
		from := x.crashed[partFifth-1].Add(contact + skew)
		for _, at := range x.arrived {
			if at.After(from) {
				late++
			}
		}
	}
	w.note("result", "%d of %d sound streams complete; %d crashes; %d requests with the part reached engines, %d of them later than contact_ms after the fifth crash; %d may",
		whole, len(list), len(x.crashed), len(x.arrived), late, partMay)
	switch {
	case late > partMay:
		return errBroken
	case whole == 0:
		return errors.New("no sound stream was served")
	}
	return nil
}
