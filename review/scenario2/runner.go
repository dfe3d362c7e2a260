package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"quetzalhold/platform/platformtest"
)

// Times of a runner that has crashed.
const (
	// downTime is how long it takes until the runner is back.
	downTime = 3 * time.Second
	// lapseTime is how long the store keeps the entry of a runner that has fallen silent: three heartbeats of 1.2 s.
	lapseTime = 3600 * time.Millisecond
)

// The work of a booking on the sheet of Brindley Rounds, and the time between two events of a stream, which hold 5 tokens
// of some 6 ms.
const (
	callTime  = 60 * time.Millisecond
	eventTime = 30 * time.Millisecond
)

// runner is a backend server on a port of its own. When it crashes, its port is closed and its connections end; it comes
// back at the same address, with a new id and without anything that it had.
type runner struct {
	site    *site
	name    string
	engine  bool
	service string
	zone    string
	address string
	version string // "v1" if empty
	// breaksOff reports whether the answer to a call breaks off; nil for never. It is set before the start.
	breaksOff func(path string) bool

	mu     sync.Mutex
	broken map[string]bool // requests of which the answer broke off
	starts int
	sim    *platformtest.Server
	server *http.Server
	all    []*platformtest.Server // of all starts
	fault  platformtest.Fault
}

// id returns the runner's id, which is that of its current start.
func (r *runner) id() string { return fmt.Sprintf("%s-%d", r.name, r.starts) }

// begin starts the runner and writes its entry.
func (r *runner) begin() error {
	address := "127.0.0.1:0"
	if r.address != "" {
		address = r.address
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	work, version := callTime, cmp.Or(r.version, "v1")
	if r.engine {
		work = eventTime
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	r.address = l.Addr().String()
	r.sim = &platformtest.Server{
		ID: r.id(), Address: r.address, Service: r.service, Domain: r.zone, Version: version, Born: time.Now().UnixMilli(),
		Engine: r.engine, Work: work, Recorder: r.site.recorder,
	}
	r.sim.SetFault(r.fault)
	r.sim.Crashed = r.crashed
	r.all = append(r.all, r.sim)
	r.server = &http.Server{Handler: r.handler(r.sim)}
	go func(s *http.Server) {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.site.rec.printf("runner %s: %v", r.name, err)
		}
	}(r.server)
	r.site.store.Put("servers", r.id(), r.sim.Entry("ready"))
	return nil
}

// crashed ends the runner, and starts it again later.
func (r *runner) crashed() {
	r.mu.Lock()
	id := r.id()
	_ = r.server.Close() // what it returns concerns the listener, which is closed in any case
	r.mu.Unlock()
	r.site.crash(id)
	time.AfterFunc(downTime, func() {
		if err := r.begin(); err != nil {
			r.site.rec.printf("runner %s does not start: %v", r.name, err)
			return
		}
		r.site.rec.printf("runner %s is back as %s", id, r.id())
	})
	time.AfterFunc(lapseTime, func() { r.site.store.Remove("servers", id) })
}

// setFault sets how the runner misbehaves, also after it has started again.
func (r *runner) setFault(f platformtest.Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	r.sim.SetFault(f)
}

// rewrite writes the entry of a runner that is up again.
func (r *runner) rewrite() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sim.Heartbeats += 1000
	r.site.store.Put("servers", r.id(), r.sim.Entry("ready"))
}

// starts of all runners as they were simulated, the current ones included.
func (r *runner) sims() []*platformtest.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*platformtest.Server(nil), r.all...)
}

// leave ends the runner for good, and removes its entry.
func (r *runner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.server.Close() // as in crashed
	r.site.store.Remove("servers", r.id())
	r.site.rec.printf("runner %s stops", r.id())
}

// drain writes that the runner is about to leave.
func (r *runner) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sim.Heartbeats++
	r.site.store.Put("servers", r.id(), r.sim.Entry("draining"))
}

// handler returns what answers requests: the simulated server, or a part of an answer if it breaks off.
func (r *runner) handler(sim *platformtest.Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("X-Request-Id")
		if id != "" {
			defer r.recordRuns(id, sim, time.Now())
		}
		if id == unframedStream {
			w.Header().Set("Connection", "close")
			w.Header().Set("Transfer-Encoding", "identity") // net/http sends neither a length nor chunks then
		}
		if r.breaksOff == nil || id == "" || req.Header.Get("X-Expect-Instance") != sim.ID || !r.breaksOff(req.URL.Path) {
			sim.ServeHTTP(w, req)
			return
		}
		r.mu.Lock()
		if r.broken == nil {
			r.broken = make(map[string]bool)
		}
		r.broken[id] = true
		r.mu.Unlock()
		r.site.rec.printf("%s is run by %s, and its answer breaks off", id, sim.ID)
		time.Sleep(callTime)
		h := w.Header()
		h.Set("X-Request-Id", id)
		h.Set("X-Server-Stamp", "stamp."+sim.ID)
		h.Set("Content-Length", "800")
		_, _ = io.WriteString(w, "the beginning of an answer") // the connection is closed next
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
}

// recordRuns records whether a start of the runner has run a request that reached it at an instant.
func (r *runner) recordRuns(id string, sim *platformtest.Server, at time.Time) {
	for _, run := range r.site.recorder.Runs(id) {
		if run.Server == sim.ID && !run.Started.Before(at) {
			r.site.rec.printf("%s was run by %s from %s on, %d events", id, sim.ID, r.site.rec.at(run.Started), run.Events)
			return
		}
	}
	r.site.rec.printf("%s reached %s at %s, which ran nothing or broke it off", id, sim.ID, r.site.rec.at(at))
}

// brokeOff reports whether the answer to a request broke off.
func (r *runner) brokeOff(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken[id]
}
