package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for a server of a plain service.
type server struct {
	id, address, service, zone, version string
	record                              *record
	store                               *store
	born                                int64
	// failure returns the share of requests with a path that it answers with 500.
	failure func(path string) float64

	mu       sync.Mutex
	busy     int
	http     *http.Server
	draining bool
}

// The size and speed of a server, as in the sheet of the small deployment.
const (
	serverSlots = 6
	serverQueue = 24
	meanWork    = 15 * time.Millisecond
	bodyBytes   = 800
)

// startServer starts a server on an address and registers it in the store.
func startServer(s *server, ip string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	s.address, s.born = l.Addr().String(), time.Now().UnixMilli()
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(l) }() // ends when the server stops
	s.register("ready")
	return nil
}

func (s *server) register(state string) {
	s.store.put("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": serverSlots,
		"state": state, "cold_left_ms": 0, "sequence": 1, "born": s.born,
	})
	s.record.note("server %s of %s version %s at %s is %s", s.id, s.service, s.version, s.address, state)
}

// drain reports that the server is leaving, serves for a while longer and stops.
func (s *server) drain(serve time.Duration) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.register("draining")
	time.Sleep(serve)
	s.stop()
}

// stop ends the server at once and removes its entry.
func (s *server) stop() {
	_ = s.http.Close()
	s.store.remove("servers", s.id)
	s.record.note("server %s of %s version %s has stopped", s.id, s.service, s.version)
}

// enter takes one of the places of the server; it reports false if it is full.
func (s *server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy >= serverSlots+serverQueue {
		return false
	}
	s.busy++
	return true
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", s.id)
	if r.URL.Path == "/health" {
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	a := &arrival{request: id, service: s.service, server: s.id, version: s.version}
	s.record.arrive(a)
	w.Header().Set("X-Request-Id", id)
	if !s.enter() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(meanWork)))
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%016x", s.id, rand.Uint64()))
	status := http.StatusOK
	if rand.Float64() < s.failure(r.URL.Path) {
		status = http.StatusInternalServerError
	}
	s.record.end(a, status)
	w.WriteHeader(status)
	_, _ = w.Write([]byte(strings.Repeat("x", bodyBytes))) // the caller may have left
}
