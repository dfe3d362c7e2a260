package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The load of the case.
const (
	zeroTokens  = "400,100"
	zeroStreams = 50 * time.Millisecond  // between the starts of two streams
	zeroEvents  = 150 * time.Millisecond // between two events, as while an engine reads another prompt
	// crashEvery, crashFirst and crashFor are the crashes of the site files: each 6 to 7 s those of another zone, for 1.2 s.
	crashEvery = 6500 * time.Millisecond
	crashFirst = 4500 * time.Millisecond
	crashFor   = 1200 * time.Millisecond
	crashes    = 6
)

// crash ends the engine's process: its channels are closed and nothing listens. It starts again after a time, at
// other addresses and without anything that it had.
func (e *engine) crash(down time.Duration, again func()) {
	e.mu.Lock()
	paths := e.paths
	e.mu.Unlock()
	for _, p := range paths {
		p.exit()
	}
	time.AfterFunc(down, again)
}

// fromZero sends streams that may be resumed while the engines of one zone after the other crash. The ids of events
// begin at 0.
func fromZero(w *world) error {
	configure(w.store)
	address, err := serve(w.store)
	if err != nil {
		return err
	}
	starts := make(map[string]func() error)
	engines := make(map[string]*engine)
	var mu sync.Mutex
	for _, zone := range zones {
		boot := 0
		starts[zone] = func() error {
			boot++
			e := &engine{
				world: w, id: fmt.Sprintf("models-%s-%d", zone, boot), zone: zone, eventEvery: zeroEvents, arrived: func(string, *http.Request, time.Time) {},
				eventID: func(n int) int { return n - 1 },
			}
			e.answered = func(_ string, r *http.Request, status int, _ time.Time) {
				w.note("ran", "%s at %s after %q, answered with %d", r.Header.Get("X-Request-Id"), e.id, r.Header.Get("Last-Event-Id"), status)
			}
			if err := e.start("all"); err != nil {
				return err
			}
			w.store.Put("servers", e.id, e.entry("all", "ready"))
			mu.Lock()
			defer mu.Unlock()
			engines[zone] = e
			return nil
		}
		if err := starts[zone](); err != nil {
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
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		time.Sleep(crashFirst)
		for n := range crashes {
			zone := zones[n%len(zones)]
			if w.trouble {
				mu.Lock()
				e := engines[zone]
				mu.Unlock()
				w.note("phase", "%s crashes", e.id)
				e.crash(crashFor, func() {
					w.store.Remove("servers", e.id)
					if err := starts[zone](); err != nil {
						w.note("server", "the engine of %s did not start again: %v", zone, err)
					}
				})
			}
			time.Sleep(crashEvery)
		}
	}()
	return w.judgeRepeats(w.playStreams(stop))
}

// playStreams sends streams until stop is closed, and returns them.
func (w *world) playStreams(stop <-chan struct{}) []*note {
	ctx, cancel := context.WithTimeout(context.Background(), 80*time.Second)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var list []*note
	var wg sync.WaitGroup
	t := time.NewTicker(zeroStreams)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.C:
		case <-stop:
			wg.Wait()
			return list
		}
		x := &note{id: fmt.Sprintf("stream-%d", n), sentAt: time.Now()}
		list = append(list, x)
		g := w.gateways[n%len(w.gateways)]
		wg.Go(func() { x.reply = w.stream(ctx, client, g, "summary", x.id, zeroTokens) })
	}
}

// judgeRepeats checks that no answer has an event twice.
func (w *world) judgeRepeats(list []*note) error {
	whole, twice := 0, 0
	for _, x := range list {
		if x.complete() {
			whole++
		}
		seen := make(map[string]bool)
		for line := range strings.SplitSeq(x.body, "\n") {
			if !strings.HasPrefix(line, "id: ") {
				continue
			}
			if seen[line] {
				twice++
				w.note("twice", "%s has event %q twice; complete: %t", x.id, line, x.complete())
			}
			seen[line] = true
		}
	}
	w.note("result", "%d streams, %d complete, %d events came twice; none may", len(list), whole, twice)
	switch {
	case twice > 0:
		return errBroken
	case whole == 0:
		return errors.New("no stream was served")
	}
	return nil
}
