package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"quetzalhold/platform/platformtest"
)

// arrival is a request that has reached a server.
type arrival struct {
	id, path, server string
	at               time.Time
}

// plainServer is a server of a plain service. It may crash, and start again at its address with another id.
type plainServer struct {
	world   *world
	store   *platformtest.Store
	name    string
	service string
	zone    string
	address string
	work    time.Duration
	down    time.Duration // how long it is down after a crash
	// crashes reports whether the server crashes when it begins to run a request.
	crashes func(*http.Request) bool
	// loses reports whether the answer to a request that it has run is lost; nil for never.
	loses func(*http.Request) bool
	// arrived is called for each request that reaches it.
	arrived func(arrival)

	mu       sync.Mutex
	boot     int
	born     int64
	listener net.Listener
	conns    map[net.Conn]bool
	server   *http.Server
}

// id returns the id of the current boot.
func (s *plainServer) id() string { return fmt.Sprintf("%s-%d", s.name, s.boot) }

// start begins a boot: the server listens and registers itself.
func (s *plainServer) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := net.Listen("tcp", s.address)
	if err != nil { // somebody else has taken the port meanwhile
		l, err = net.Listen("tcp", "127.0.0.1:0")
	}
	if err != nil {
		return err
	}
	s.boot++
	s.born, s.address, s.listener, s.conns = time.Now().UnixMilli(), l.Addr().String(), l, make(map[net.Conn]bool)
	id := s.id()
	s.server = &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(w, r, id) }),
		ReadHeaderTimeout: time.Minute,
		ConnState:         s.track,
	}
	go func(h *http.Server) { _ = h.Serve(l) }(s.server)
	s.store.Put("servers", id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0,
		"sequence": 1, "born": s.born,
	})
	s.world.note("server", "%s started at %s", id, s.address)
	return nil
}

func (s *plainServer) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	default:
	}
}

// expiry is how long after its last heartbeat an entry is removed: three intervals.
const expiry = 3600 * time.Millisecond

// crash ends the boot at once: all connections are closed and nothing listens. Its entry lapses, and the server is back
// some seconds later.
func (s *plainServer) crash() {
	s.mu.Lock()
	id, l, conns, h := s.id(), s.listener, s.conns, s.server
	s.listener, s.conns = nil, make(map[net.Conn]bool)
	s.mu.Unlock()
	if l == nil {
		return // it has crashed already
	}
	_ = l.Close()
	for c := range conns {
		_ = c.Close()
	}
	_ = h.Close()
	s.world.note("server", "%s crashed", id)
	time.AfterFunc(expiry, func() { s.store.Remove("servers", id) })
	time.AfterFunc(s.down, func() {
		if err := s.start(); err != nil {
			s.world.note("server", "%s did not start again: %v", s.name, err)
		}
	})
}

func (s *plainServer) handle(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("X-Instance-Id", id)
	if r.URL.Path == "/health" {
		return
	}
	request := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", request)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.arrived(arrival{id: request, path: r.URL.EscapedPath(), server: id, at: time.Now()})
	if s.crashes != nil && s.crashes(r) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.work)
	if s.loses != nil && s.loses(r) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Stamp", "stamp."+id)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "answer to %s %s", request, strings.Repeat("x", 800)) // the caller may have left
}
