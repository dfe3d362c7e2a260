package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"quetzalhold/platform/platformtest"
)

// The load and the bounds of the case.
const (
	refusedFor    = 15 * time.Second       // Retry-After of the engine that has no room
	refusedSlack  = 500 * time.Millisecond // from then on the refusal counts
	refusedMay    = 2                      // requests that may reach the engine all the same
	streams       = 60                     // at the gateway that is partitioned
	streamTokens  = "400,1000"
	streamBudget  = "25000"
	drainFor      = 4500 * time.Millisecond // for which the leaving engine serves on: drain_ms and a little longer
	partitionedAt = 2 * time.Second         // after the engine has begun to leave
)

// refusals is what reached the engine that has no room, by gateway.
type refusals struct {
	mu       sync.Mutex
	saidAt   map[string]time.Time // when it first refused a request of a gateway
	arrivals map[string][]time.Time
}

func (x *refusals) said(gateway string, at time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.saidAt[gateway].IsZero() {
		x.saidAt[gateway] = at
	}
}

func (x *refusals) arrived(gateway string, at time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.arrivals[gateway] = append(x.arrivals[gateway], at)
}

// against returns how many requests of a gateway reached the engine although it had refused some for a time.
func (x *refusals) against(gateway string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n, at := 0, x.saidAt[gateway]
	if at.IsZero() {
		return 0
	}
	for _, a := range x.arrivals[gateway] {
		if a.After(at.Add(refusedSlack)) && a.Before(at.Add(refusedFor)) {
			n++
		}
	}
	return n
}

// split is the platform's store as one gateway sees it: each reaches the servers at addresses of its own.
type split struct{ shared, servers *platformtest.Store }

// ServeHTTP implements http.Handler.
func (s split) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/objects/servers" || strings.HasPrefix(r.URL.Path, "/objects/servers/") {
		s.servers.ServeHTTP(w, r)
		return
	}
	s.shared.ServeHTTP(w, r)
}

// The gateways of the case.
const (
	gatewayCut  = "front-norte-a-1"
	gatewayHelp = "front-centro-a-1"
)

// refusal partitions a gateway from all servers while the engine that holds the copies of some of its streams refuses
// requests of the other gateway for a time.
func refusal(w *world) error {
	configure(w.store)
	x := &refusals{saidAt: make(map[string]time.Time), arrivals: make(map[string][]time.Time)}
	var engines []*engine
	full := ""
	var mu sync.Mutex
	for i, zone := range zones {
		e := &engine{world: w, id: fmt.Sprintf("models-%d", i), zone: zone, eventEvery: 60 * time.Millisecond, retryAfter: refusedFor}
		e.refuses = func(r *http.Request) bool {
			mu.Lock()
			defer mu.Unlock()
			return full == e.id && r.Header.Get("Kv-From") == ""
		}
		e.arrived = func(g string, r *http.Request, at time.Time) {
			w.note("reached", "%s from %s: %s, copy %q, backup %q", e.id, g, r.Header.Get("X-Request-Id"), r.Header.Get("Kv-From"), r.Header.Get("X-Kv-Backup"))
			mu.Lock()
			defer mu.Unlock()
			if full == e.id {
				x.arrived(g, at)
			}
		}
		e.answered = func(g string, r *http.Request, status int, at time.Time) {
			w.note("answered", "%s to %s: %s with %d", e.id, g, r.Header.Get("X-Request-Id"), status)
			if status == http.StatusServiceUnavailable {
				x.said(g, at)
			}
		}
		if err := e.start(gatewayCut, gatewayHelp); err != nil {
			return err
		}
		engines = append(engines, e)
	}
	plain, err := w.startSplit(engines)
	if err != nil {
		return err
	}
	return w.playRefusal(x, engines, plain, func(id string) {
		mu.Lock()
		defer mu.Unlock()
		full = id
	})
}

// startSplit starts the plain servers and the gateways. It returns the paths of the partitioned gateway to the plain
// servers.
func (w *world) startSplit(engines []*engine) ([]*path, error) {
	var plain []*path
	w.views = map[string]*platformtest.Store{gatewayCut: {}, gatewayHelp: {}}
	stores := w.views
	for i, zone := range zones {
		id := fmt.Sprintf("floor-%d", i)
		for g, s := range stores {
			p, err := newPath()
			if err != nil {
				return nil, err
			}
			if g == gatewayCut {
				plain = append(plain, p)
			}
			f := &plainServer{world: w, work: 15 * time.Millisecond, arrived: func(arrival) {}}
			h := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { f.handle(rw, r, id) }), ReadHeaderTimeout: time.Minute}
			go func() { _ = h.Serve(p) }()
			s.Put("servers", id, map[string]any{
				"service": "floor", "address": p.address(), "zone": zone, "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0,
				"sequence": 1, "born": w.began.UnixMilli(),
			})
		}
	}
	for g, zone := range map[string]string{gatewayCut: "norte-a", gatewayHelp: "centro-a"} {
		for _, e := range engines {
			stores[g].Put("servers", e.id, e.entry(g, "ready"))
		}
		address, err := serve(split{shared: w.store, servers: stores[g]})
		if err != nil {
			return nil, err
		}
		if _, err := w.addGateway(g, zone, address); err != nil {
			return nil, err
		}
	}
	return plain, w.awaitReady(20 * time.Second)
}

func (w *world) gatewayNamed(name string) *gateway {
	for _, g := range w.gateways {
		if g.name == name {
			return g
		}
	}
	return nil
}

// stream sends a request for a stream and reads it to its end.
func (w *world) stream(ctx context.Context, c *http.Client, g *gateway, route, id, tokens string) reply {
	return w.streamOn(ctx, c, g, route, id, tokens, "aa:200")
}

// streamOn is like stream, for a prompt that begins with some parts.
func (w *world) streamOn(ctx context.Context, c *http.Client, g *gateway, route, id, tokens, parts string) reply {
	w.note("sent", "%s to %s", id, g.name)
	a := send(ctx, c, g, http.MethodPost, "/"+route+"/"+id, id, map[string]string{
		"X-Deadline-Ms": streamBudget, "X-Model": "m", "X-Token-Count": tokens, "X-Prompt-Prefix": fmt.Sprintf("%s,%x:200", parts, id),
	}, "prompt")
	w.note("got", "%s: %d, %d events, %v", id, a.status, strings.Count(a.body, "\n\n"), a.err)
	return a
}

// playRefusal plays the case. fill makes an engine one that has no room.
func (w *world) playRefusal(x *refusals, engines []*engine, plain []*path, fill func(string)) error {
	ctx, cancel := context.WithTimeout(context.Background(), 80*time.Second)
	defer cancel()
	cut, help := w.gatewayNamed(gatewayCut), w.gatewayNamed(gatewayHelp)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	time.Sleep(2 * time.Second) // gateways know each other
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			wg.Go(func() { w.lookup(client, cut, fmt.Sprintf("/lookup/lot-%d", n), fmt.Sprintf("lookup-%d", n)) })
			time.Sleep(25 * time.Millisecond)
		}
	})
	for n := range streams {
		wg.Go(func() { w.stream(ctx, client, cut, "summary", fmt.Sprintf("stream-%d", n), streamTokens) })
		time.Sleep(40 * time.Millisecond)
	}
	last := engines[len(engines)-1]
	fill(last.id)
	w.note("phase", "%s has no room", last.id)
	for n := 0; x.saidAt[gatewayHelp].IsZero() && n < 60; n++ {
		wg.Go(func() { w.stream(ctx, client, help, "summary", fmt.Sprintf("other-%d", n), streamTokens) })
		time.Sleep(50 * time.Millisecond)
	}
	if x.saidAt[gatewayHelp].IsZero() {
		return errors.New("the engine without room got no stream of the other gateway")
	}
	leaving := engines[0]
	w.note("phase", "%s reports that it drains", leaving.id)
	for g, s := range w.views {
		s.Put("servers", leaving.id, leaving.entry(g, "draining"))
	}
	time.Sleep(partitionedAt)
	if w.trouble {
		w.note("phase", "%s is partitioned from all servers: new channels are refused", gatewayCut)
		for _, e := range engines {
			plain = append(plain, e.paths[gatewayCut])
		}
		for _, p := range plain {
			p.refuse()
		}
	}
	time.Sleep(drainFor - partitionedAt)
	w.note("phase", "%s exits", leaving.id)
	for g, p := range leaving.paths {
		p.exit()
		w.views[g].Remove("servers", leaving.id)
	}
	time.Sleep(4 * time.Second)
	n := x.against(gatewayHelp)
	w.note("result", "%d requests of %s reached %s within the time for which it had refused others; %d may", n, gatewayHelp, last.id, refusedMay)
	cancel()
	wg.Wait()
	if n > refusedMay {
		return errBroken
	}
	return nil
}
