package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"quetzalhold/platform/platformtest"
)

// A move of the application to a version of which half of the answers on one route are bad.
const (
	newVersion   = "v2"
	moveTime     = 12 * time.Second
	badPortion   = 50                     // of 100 answers
	badTime      = 420 * time.Millisecond // that a failure takes longer than a sound answer
	badTolerated = 50                     // bad answers, after the last of which rollback begins
	rollback     = 5 * time.Second        // rollback_ms
	afterMove    = 45 * time.Second       // of traffic
	moveInterval = 14 * time.Millisecond  // between two requests: 71 a second, as on the sheet
	drainTime    = 3 * time.Second        // drain_ms
)

// badness is how the answers of a bad version fail.
type badness struct {
	path string
	// breaksOff is set if they break off, as those of a process that ends a request by an internal error. Else they are
	// answers with status 500, which take long.
	breaksOff bool
}

var (
	slowFailures = badness{path: "/status/1"}
	brokenOff    = badness{path: "/book/1", breaksOff: true}
)

// mover is the operator's side of the move.
type mover struct {
	site *site
	bad  badness
	old  []*runner
	new  []*runner

	mu       sync.Mutex
	failures []time.Time // when requesters got a failure of the new version
	statuses map[int]int
}

// play orders the move, and sends bookings and status checks meanwhile and afterwards.
func (b badness) play(s *site, trouble bool) (int, error) {
	m := &mover{site: s, bad: b, statuses: make(map[int]int)}
	for _, r := range s.runners {
		if r.service == "app" {
			m.old = append(m.old, r)
		}
	}
	if err := m.startNew(trouble); err != nil {
		return invalid, err
	}
	ordered := time.Now()
	s.store.Put("rollouts", "app", map[string]any{"service": "app", "target": newVersion, "duration_s": moveTime.Seconds()})
	s.rec.printf("the service is to be moved to %s in %v", newVersion, moveTime)
	go m.obey()
	var wg sync.WaitGroup
	for i := 0; time.Since(ordered) < moveTime+afterMove; i++ {
		wg.Go(func() { m.request(i) })
		time.Sleep(moveInterval)
	}
	wg.Wait()
	return m.judge(ordered), nil
}

// startNew starts the runners of the new version alongside the old ones. It is bad if trouble is set.
func (m *mover) startNew(trouble bool) error {
	for i, z := range zones {
		r := &runner{site: m.site, name: fmt.Sprintf("n%02d", i), service: "app", zone: z, version: newVersion}
		if trouble && m.bad.breaksOff {
			r.breaksOff = m.isBad
		}
		if err := r.begin(); err != nil {
			return err
		}
		if trouble && !m.bad.breaksOff {
			r.setFault(platformtest.Fault{FailsCall: m.failsLate})
		}
		m.new = append(m.new, r)
	}
	m.site.runners = append(m.site.runners, m.new...)
	return nil
}

// isBad reports whether the new version's answer to a call is bad.
func (m *mover) isBad(path string) bool {
	return path == m.bad.path && rand.Intn(100) < badPortion
}

// failsLate reports whether the new version fails a call, which then takes longer.
func (m *mover) failsLate(path string) bool {
	if !m.isBad(path) {
		return false
	}
	time.Sleep(badTime)
	return true
}

// state returns the state of the move that the system has written.
func (m *mover) state() string {
	var status struct{ State, Reason string }
	raw, _ := m.site.store.Status("rollouts", "app")
	if json.Unmarshal(raw, &status) != nil {
		return ""
	}
	return status.State + ": " + status.Reason
}

// obey does what the platform does at the end of a move: the old runners stop at once, or the new ones drain.
func (m *mover) obey() {
	for {
		time.Sleep(50 * time.Millisecond)
		switch state := m.state(); {
		case strings.HasPrefix(state, "completed"):
			m.site.rec.printf("%s", state)
			for _, r := range m.old {
				r.leave()
			}
			return
		case strings.HasPrefix(state, "rolled_back"):
			m.site.rec.printf("%s", state)
			for _, r := range m.new {
				r.drain()
			}
			time.Sleep(drainTime + time.Second)
			for _, r := range m.new {
				r.leave()
			}
			return
		}
	}
}

// request sends a booking or a status check: two in seven are the latter, as on the sheet.
func (m *mover) request(i int) {
	c := call{path: "/book/1", body: fmt.Sprintf("booking %d", i)}
	if i%7 < 2 {
		c = call{path: "/status/1", body: fmt.Sprintf("check %d", i)}
	}
	g := m.site.gateways[rand.Intn(len(m.site.gateways))]
	id := fmt.Sprintf("m%05d", i)
	a := m.site.exchange(g, c, id)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.statuses[a.status]++
	if a.status == http.StatusOK {
		return
	}
	if m.isFailure(id, a) {
		m.failures = append(m.failures, time.Now())
	}
}

// isFailure reports whether a requester got no success because of a bad answer of the new version: its failure, or that
// of the system after a bad answer to the request.
func (m *mover) isFailure(id string, a reply) bool {
	if strings.HasPrefix(a.stamp, "stamp.n") {
		return a.status >= http.StatusInternalServerError
	}
	for _, r := range m.new {
		if r.brokeOff(id) {
			return true
		}
	}
	return false
}

// judge counts the requests that reached the new version too late.
func (m *mover) judge(ordered time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	sort.Slice(m.failures, func(i, j int) bool { return m.failures[i].Before(m.failures[j]) })
	text := fmt.Sprintf("%s; answers by status %v, requests that failed by a bad answer of the new version %d", m.state(), m.statuses, len(m.failures))
	m.site.rec.printf("%s", text)
	if len(m.failures) < badTolerated {
		fmt.Println(text)
		return held
	}
	bound := m.failures[badTolerated-1].Add(rollback)
	late := 0
	for _, at := range m.site.reached(func(sim *platformtest.Server) []time.Time {
		if sim.Version != newVersion {
			return nil
		}
		return sim.Arrived()
	}) {
		if at.After(bound) {
			late++
		}
	}
	text = fmt.Sprintf("EXPOSURE: %d requests reached the new version later than %v after its %dth failure, which was %.1f s after the order; %s",
		late, rollback, badTolerated, bound.Add(-rollback).Sub(ordered).Seconds(), text)
	m.site.rec.printf("%s", text)
	fmt.Println(text)
	if late > 0 {
		return broken
	}
	return held
}
