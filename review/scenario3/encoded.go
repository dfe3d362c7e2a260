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

// The load of the case.
const (
	awards     = 200
	awardEvery = 30 * time.Millisecond
	// lostEvery is every how many requests the answer of one of the three lookup servers is lost, although it has run the
	// request, for lostFor. The largest that the pages name is 0.4 of the requests of 0.6 of the servers for 4 s.
	lostEvery = 3
	lostFor   = 4 * time.Second
)

// configureLots writes a configuration with two routes of one host, of which one prefix begins the other.
func configureLots(s *platformtest.Store) {
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, "target_latency_ms": 300,
			"priority": 1, "service": service, "max_attempts": attempts,
		}
	}
	s.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{
			route("award", "/lots/", "non_idempotent", "awards", 1),
			route("lookup", "/lots/norte/", "idempotent", "lookups", 2),
		},
		"services": []any{
			map[string]any{"name": "awards", "health_path": "/health", "max_connections": 550},
			map[string]any{"name": "lookups", "health_path": "/health", "max_connections": 550},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "cooperative", "api_keys": []string{key}}},
	})
}

// lotRuns is where requests ran.
type lotRuns struct {
	mu    sync.Mutex
	runs  map[string][]string // services, by request
	first time.Time           // when the first one ran
}

// add records a run. It returns how many requests have run, and how long ago the first did.
func (l *lotRuns) add(id, service string) (n int, since time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.first.IsZero() {
		l.first = time.Now()
	}
	l.runs[id] = append(l.runs[id], service)
	return len(l.runs), time.Since(l.first)
}

// encodedPaths sends awards, which must not be repeated, for lots whose names have a slash, encoded in the path. Lookup
// servers lose some of their answers.
func encodedPaths(w *world) error {
	configureLots(w.store)
	address, err := serve(w.store)
	if err != nil {
		return err
	}
	ran := &lotRuns{runs: make(map[string][]string)}
	for _, service := range []string{"awards", "lookups"} {
		for _, zone := range zones {
			s := &plainServer{world: w, store: w.store, name: service + "-" + zone, service: service, zone: zone, address: "127.0.0.1:0", work: 15 * time.Millisecond}
			s.loses = func(r *http.Request) bool {
				n, since := ran.add(r.Header.Get("X-Request-Id"), service)
				return service == "lookups" && zone == zones[0] && n%lostEvery == 0 && since < lostFor
			}
			s.arrived = func(a arrival) { w.note("ran", "%s %s at %s of %s", a.id, a.path, a.server, service) }
			if err := s.start(); err != nil {
				return err
			}
		}
	}
	g, err := w.addGateway("front-norte-a-1", "norte-a", address)
	if err != nil {
		return err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return err
	}
	return w.judgeLots(ran, w.playAwards(g))
}

// playAwards sends awards and returns how many were answered with success.
func (w *world) playAwards(g *gateway) (served int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	path := "/lots/norte-%d"
	if w.trouble {
		path = "/lots/norte%%2F%d"
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	for n := range awards {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
			defer cancel()
			id, p := fmt.Sprintf("award-%d", n), fmt.Sprintf(path, n)
			w.note("sent", "%s POST %s", id, p)
			a := send(ctx, client, g, http.MethodPost, p, id, map[string]string{"X-Deadline-Ms": "1500"}, "bid")
			w.note("answered", "%s with %d, %v", id, a.status, a.err)
			if a.status == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				served++
			}
		})
		time.Sleep(awardEvery)
	}
	wg.Wait()
	return served
}

// judgeLots checks that awards ran at the service of their route, and once.
func (w *world) judgeLots(ran *lotRuns, served int) error {
	ran.mu.Lock()
	defer ran.mu.Unlock()
	foreign, twice := 0, 0
	for id, services := range ran.runs {
		if strings.Contains(strings.Join(services, " "), "lookups") {
			foreign++
		}
		if len(services) > 1 {
			twice++
			w.note("twice", "%s ran at %v", id, services)
		}
	}
	w.note("result", "%d of %d awards answered with success; %d ran at a service of another route, %d ran more than once; none may", served, awards, foreign, twice)
	switch {
	case foreign+twice > 0:
		return errBroken
	case served == 0:
		return errors.New("no award was served")
	}
	return nil
}
