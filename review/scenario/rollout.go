package main

import (
	"context"
	"encoding/json"
	"sync"
	"time"
)

const service = "wuno96b"

// baseFailure is the share of status requests that every version answers with a failure, as in the
// sheet of the small deployment; of bookings it is 0.004.
func baseFailure(path string) float64 {
	if len(path) >= len(status.path) && path[:len(status.path)] == status.path {
		return 0.14
	}
	return 0.004
}

// failing returns the failures of a version that fails a share of the requests of a class.
func failing(share float64, classes ...class) func(string) float64 {
	return func(path string) float64 {
		for _, k := range classes {
			if len(path) >= len(k.path) && path[:len(k.path)] == k.path {
				return max(share, baseFailure(path))
			}
		}
		return baseFailure(path)
	}
}

// same returns the failures of servers that all fail alike.
func same(failure func(string) float64) func() func(string) float64 {
	return func() func(string) float64 { return failure }
}

// rollouts carries out the platform's part of rollouts: it starts the servers of the version, and
// stops the old or the new ones when the system says how the rollout ended.
type rollouts struct {
	site *site

	mu       sync.Mutex
	versions map[string][]*server
	current  string // the version in use
	ended    chan rolloutEnd
	seen     map[string]bool
}

// rolloutEnd is how a rollout to a version ended.
type rolloutEnd struct{ version, state string }

// drainDelay is when the new servers begin to drain after a rollback.
const drainDelay = 6 * time.Second

func newRollouts(s *site) (*rollouts, error) {
	r := &rollouts{site: s, versions: make(map[string][]*server), current: "v1", ended: make(chan rolloutEnd, 8), seen: make(map[string]bool)}
	s.store.statusWritten = r.statusWritten
	old, err := s.startServers(service, "v1", same(baseFailure))
	r.versions["v1"] = old
	return r, err
}

// order writes an order for a version, starts its servers, and returns when the store confirmed it.
func (r *rollouts) order(version string, length time.Duration, failure func() func(string) float64) (time.Time, error) {
	r.site.store.put("rollouts", service, map[string]any{"service": service, "target": version, "duration_s": length.Seconds()})
	at := time.Now()
	r.site.record.say("the operator orders version %s of %s within %v", version, service, length)
	started, err := r.site.startServers(service, version, failure)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions[version] = started
	return at, err
}

func (r *rollouts) statusWritten(kind, name string, raw json.RawMessage) {
	if kind != "rollouts" || name != service {
		return
	}
	var s struct{ State, Target, Reason string }
	if err := json.Unmarshal(raw, &s); err != nil {
		r.site.record.say("status %s: %v", raw, err)
		return
	}
	r.site.record.say("the system writes the status of the rollout to %s: %s %s", s.Target, s.State, s.Reason)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen[s.Target+s.State] || s.State == "running" {
		return
	}
	r.seen[s.Target+s.State] = true
	switch s.State {
	case "completed":
		for _, x := range r.versions[r.current] {
			go x.stop()
		}
		r.current = s.Target
	case "rolled_back":
		for _, x := range r.versions[s.Target] {
			go func() {
				time.Sleep(drainDelay)
				x.drain(drainMs*time.Millisecond + time.Second)
			}()
		}
	}
	r.ended <- rolloutEnd{s.Target, s.State}
}

// startRollouts starts a site with the plain service and callers. They end with the site.
func startRollouts(rec *record) (*rollouts, error) {
	s, err := newSite(rec)
	if err != nil {
		return nil, err
	}
	address, err := s.serveStore()
	if err != nil {
		return nil, err
	}
	s.store.put("config", "main", configuration(service))
	r, err := newRollouts(s)
	if err != nil {
		return nil, err
	}
	if err := s.startMachines(address, func(n int) int { return n }); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{site: s, http: newClient()}
	c.run(ctx)
	s.atEnd(func() {
		cancel()
		c.wg.Wait()
	})
	return r, nil
}
