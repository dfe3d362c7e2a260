package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The load and the bounds of the case.
const (
	contact       = 5 * time.Second // contact_ms
	mayReach      = 3               // retries that may reach servers if sent later than contact after the third crash
	servers       = 3
	serverDown    = 7 * time.Second
	poisonPath    = "/lookup/lot-666"
	poisonEvery   = 6 * time.Second
	lookupEvery   = 250 * time.Millisecond // at each gateway
	playFor       = 60 * time.Second
	lookupTimeout = 1500 * time.Millisecond
	// skew allows for the way from a gateway to a server, as the rule counts from the sending.
	skew = 200 * time.Millisecond
)

// zones are those of the servers.
var zones = []string{"norte-a", "centro-a", "austral-a"}

// keptCrash sends a lookup that crashes each server that begins to run it, again and again, beside lookups that
// don't. The gateways keep connections to servers.
func keptCrash(w *world) error {
	configure(w.store)
	address, err := serve(w.store)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var poisoned []arrival
	for i := range servers {
		zone := zones[i%len(zones)]
		s := &plainServer{world: w, store: w.store, name: fmt.Sprintf("floor-%d", i), service: "floor", zone: zone, address: "127.0.0.1:0", work: 15 * time.Millisecond, down: serverDown}
		s.crashes = func(r *http.Request) bool { return w.trouble && r.URL.Path == poisonPath }
		s.arrived = func(a arrival) {
			if a.path != poisonPath {
				return
			}
			w.note("ran", "%s at %s", a.id, a.server)
			mu.Lock()
			defer mu.Unlock()
			poisoned = append(poisoned, a)
		}
		if err := s.start(); err != nil {
			return err
		}
	}
	if err := w.addEngines(); err != nil {
		return err
	}
	for name, zone := range map[string]string{"front-norte-a-1": "norte-a", "front-centro-a-1": "centro-a"} {
		if _, err := w.addGateway(name, zone, address); err != nil {
			return err
		}
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return err
	}
	served := w.playLookups()
	mu.Lock()
	defer mu.Unlock()
	if served == 0 {
		return errors.New("no lookup was served")
	}
	if !w.trouble {
		return nil // no request crashes servers
	}
	return judgeCrashes(w, poisoned)
}

// addEngines starts an engine in each zone, which gets no streams here: a deployment has servers of both services.
func (w *world) addEngines() error {
	for zone := range regions {
		s := &plainServer{world: w, store: w.store, name: "models-" + zone, service: "models", zone: zone, address: "127.0.0.1:0", arrived: func(arrival) {}}
		if err := s.start(); err != nil {
			return err
		}
	}
	return nil
}

// playLookups sends lookups, one of which comes again and again, and returns how many others were served.
func (w *world) playLookups() (served int) {
	ctx, cancel := context.WithTimeout(context.Background(), playFor)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, g := range w.gateways {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
			defer client.CloseIdleConnections()
			t := time.NewTicker(lookupEvery)
			defer t.Stop()
			for n := 0; ctx.Err() == nil; n++ {
				select {
				case <-t.C:
				case <-ctx.Done():
					return
				}
				wg.Go(func() {
					if w.lookup(client, g, fmt.Sprintf("/lookup/lot-%d", n), fmt.Sprintf("%s-%d", g.name, n)).status == http.StatusOK {
						mu.Lock()
						defer mu.Unlock()
						served++
					}
				})
			}
		})
	}
	time.Sleep(3150 * time.Millisecond)
	w.note("phase", "the lookup for %s begins to come", poisonPath)
	for n := 0; ctx.Err() == nil; n++ {
		g := w.gateways[n%len(w.gateways)]
		id := fmt.Sprintf("poison-%d", n)
		w.note("sent", "%s to %s", id, g.name)
		a := w.lookup(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, g, poisonPath, id)
		w.note("answered", "%s with %d, %v", id, a.status, a.err)
		time.Sleep(poisonEvery)
	}
	wg.Wait()
	w.note("phase", "%d lookups served", served)
	return served
}

// lookup sends a lookup on a channel of a client.
func (w *world) lookup(c *http.Client, g *gateway, path, id string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	return send(ctx, c, g, http.MethodGet, path, id, map[string]string{"X-Deadline-Ms": "1500"}, "")
}

// judgeCrashes checks how many retries of the request have reached servers later than contact after the third crash.
func judgeCrashes(w *world, poisoned []arrival) error {
	const third = 3
	if len(poisoned) < third {
		return nil
	}
	slices.SortFunc(poisoned, func(a, b arrival) int { return a.at.Compare(b.at) })
	from := poisoned[third-1].at.Add(contact + skew)
	retries := 0
	for _, a := range poisoned {
		if a.at.After(from) {
			retries++
		}
	}
	w.note("result", "%d crashes; the third at %.3f s; of what gateways sent later than contact_ms after it, %d reached servers; %d may",
		len(poisoned), poisoned[third-1].at.Sub(w.began).Seconds(), retries, mayReach)
	if retries > mayReach {
		return errBroken
	}
	return nil
}
