package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// path is the way of one gateway to a server: a listener of its own, which can be cut.
type path struct {
	net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newPath() (*path, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &path{Listener: l, conns: make(map[net.Conn]bool)}, nil
}

// address is where the gateway reaches the server.
func (p *path) address() string { return p.Addr().String() }

// track is a ConnState hook.
func (p *path) track(c net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch state {
	case http.StateNew:
		p.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(p.conns, c)
	default:
	}
}

// refuse lets the channels that are open live on, and refuses new ones.
func (p *path) refuse() { _ = p.Close() }

// exit closes the path and all its channels, as when the server's process ends.
func (p *path) exit() {
	_ = p.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// engine is a model engine, which each gateway reaches by a path of its own.
type engine struct {
	world      *world
	id, zone   string
	born       int64
	eventEvery time.Duration
	// prefill is how long it reads a prompt, during which it sends comments at an interval; 0 for none.
	prefill, comments time.Duration
	// crashes reports whether the engine crashes when it begins to write an answer.
	crashes func(*http.Request) bool
	// crashed is called when it does.
	crashed func()
	// keeps is set if the engine goes on with runs whose channels have closed.
	keeps bool
	// breaks reports whether the engine breaks an answer off within an event; nil for never.
	breaks func(r *http.Request, event int) bool
	// worked is called when a run has ended that had begun at an instant; may be nil.
	worked func(id string, begun time.Time)
	// eventID returns the id of event n; nil if it is the event's number.
	eventID func(n int) int
	// refuses reports whether the engine turns a new request away; retryAfter is then in its answer.
	refuses    func(*http.Request) bool
	retryAfter time.Duration
	// arrived is called for each request of a caller that reaches it, with the gateway from which it came, and answered
	// with the status of its answer.
	arrived  func(gateway string, r *http.Request, at time.Time)
	answered func(gateway string, r *http.Request, status int, at time.Time)

	paths map[string]*path // by gateway

	mu          sync.Mutex
	runs        map[string]*engineRun // those that have begun, by request
	reading     int                   // requests whose prompts it reads
	silentUntil time.Time             // until then it sends nothing on its streams
}

// engineRun is a run that generates.
type engineRun struct {
	made int           // events
	stop chan struct{} // closed by an order to stop
}

// start begins to serve on a path for each gateway.
func (e *engine) start(gateways ...string) error {
	e.born, e.paths, e.runs = time.Now().UnixMilli(), make(map[string]*path), make(map[string]*engineRun)
	for _, g := range gateways {
		p, err := newPath()
		if err != nil {
			return err
		}
		e.paths[g] = p
		s := &http.Server{
			Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.handle(w, r, g) }),
			ReadHeaderTimeout: time.Minute,
			ConnState:         p.track,
		}
		go func() { _ = s.Serve(p) }()
	}
	return nil
}

// entry is what the engine registers of itself, with the address at which a gateway reaches it.
func (e *engine) entry(gateway, state string) map[string]any {
	return map[string]any{
		"service": "models", "address": e.paths[gateway].address(), "zone": e.zone, "version": "v1", "slots": 24, "state": state,
		"cold_left_ms": 0, "sequence": 1, "born": e.born,
	}
}

func (e *engine) handle(w http.ResponseWriter, r *http.Request, gateway string) {
	w.Header().Set("X-Instance-Id", e.id)
	switch r.URL.Path {
	case "/health":
		return
	case "/report":
		e.report(w)
		return
	case "/kv-move":
		e.move(w, r)
		return
	case "/kv-events":
		writeJSON(w, map[string]any{"epoch": e.born, "next": 1, "lost": false, "events": []any{}})
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if id == "" { // a handle that is freed
		return
	}
	e.arrived(gateway, r, time.Now())
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		e.refuse(w, r, gateway, http.StatusMisdirectedRequest)
		return
	}
	if e.refuses != nil && e.refuses(r) {
		w.Header().Set("Retry-After", strconv.FormatFloat(e.retryAfter.Seconds(), 'f', -1, 64))
		e.refuse(w, r, gateway, http.StatusServiceUnavailable)
		return
	}
	e.stream(w, r, gateway)
}

func (e *engine) refuse(w http.ResponseWriter, r *http.Request, gateway string, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
	e.answered(gateway, r, status, time.Now())
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	runs := make([][]any, 0, len(e.runs))
	for id, x := range e.runs {
		runs = append(runs, []any{id, 1000, x.made, 1})
	}
	running := len(runs) + e.reading
	e.mu.Unlock()
	writeJSON(w, map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "lora_adapters": []any{}}}, "busy": false, "sequence": 1,
		"waiting": 0, "running": running, "kv_used": 1000 * running, "kv_total": 88000, "handles": 0, "state": "ready", "runs": runs, "born": e.born,
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// readPrompt takes the time of reading the prompt. It reports false if the client has left.
func (e *engine) readPrompt(w http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	e.reading++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.reading--
	}()
	done := time.After(e.prefill)
	var comment <-chan time.Time
	if e.comments > 0 {
		t := time.NewTicker(e.comments)
		defer t.Stop()
		comment = t.C
	}
	for {
		select {
		case <-done:
			return true
		case <-e.gone(r):
			return false
		case <-comment:
			e.pause()
			if _, err := io.WriteString(w, ": reading the prompt\n\n"); err != nil && !e.keeps {
				return false
			}
			_ = http.NewResponseController(w).Flush() // a failure shows at the next write
		}
	}
}

const tokensPerEvent = 5

// stream runs a request from the event after the last one that its caller has.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, gateway string) {
	id := r.Header.Get("X-Request-Id")
	_, out, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	limit, _ := strconv.Atoi(out)
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = -1 // it has none
	}
	w.Header().Set("X-Server-Stamp", "stamp."+e.id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	e.answered(gateway, r, http.StatusOK, time.Now())
	if !e.readPrompt(w, r) {
		return
	}
	if e.crashes != nil && e.crashes(r) {
		e.crashed()
		panic(http.ErrAbortHandler)
	}
	x, begun := &engineRun{stop: make(chan struct{})}, time.Now()
	e.mu.Lock()
	e.runs[id] = x
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.runs, id)
		if e.worked != nil {
			e.worked(id, begun)
		}
	}()
	e.generate(w, r, x, last, limit/tokensPerEvent)
}

// gone returns a channel that is closed when the client has left, as far as the engine minds.
func (e *engine) gone(r *http.Request) <-chan struct{} {
	if e.keeps {
		return nil
	}
	return r.Context().Done()
}

// pause waits while the engine is silent.
func (e *engine) pause() {
	e.mu.Lock()
	until := e.silentUntil
	e.mu.Unlock()
	time.Sleep(time.Until(until))
}

// generate sends the events of a run after the last one that its client has.
func (e *engine) generate(w http.ResponseWriter, r *http.Request, x *engineRun, last, events int) {
	for n := 1; n <= events; n++ {
		number := n
		if e.eventID != nil {
			number = e.eventID(n)
		}
		if number <= last {
			continue
		}
		select {
		case <-time.After(e.eventEvery):
		case <-x.stop:
			panic(http.ErrAbortHandler)
		case <-e.gone(r):
			return
		}
		e.pause()
		e.mu.Lock()
		x.made = n
		e.mu.Unlock()
		if e.breaks != nil && e.breaks(r, n) {
			_, _ = fmt.Fprintf(w, "id: %d\nda", number) // the channel is closed next
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", number, r.URL.Path, n); err != nil && !e.keeps {
			return
		}
		_ = http.NewResponseController(w).Flush() // a failure shows at the next write
	}
}

// move carries out an order to copy a run, of which only that to stop it is of use here. A run that has not begun does
// not exist.
func (e *engine) move(w http.ResponseWriter, r *http.Request) {
	var order struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	x := e.runs[order.ID]
	if x != nil && order.Last {
		delete(e.runs, order.ID)
		close(x.stop)
	}
	e.mu.Unlock()
	if e.world != nil {
		e.world.note("order", "%s is told to copy %s, last %t; it runs: %t", e.id, order.ID, order.Last, x != nil)
	}
	if x == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]any{"handle": "h-" + order.ID, "created": x.made})
}
