package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The speed and size of an engine, as in the sheet of the small deployment.
const (
	prefillPerMilli = 8 // tokens
	tokensPerEvent  = 5
	eventInterval   = 40 * time.Millisecond
	engineSlots     = 48
	engineTokens    = 88000
	backupEvery     = 5 // events between two parts of a copy
)

// copies are the copies of runs' memory, by the address that names them and the name.
type copies struct {
	mu     sync.Mutex
	events map[string]int // events that the copy covers
	holder map[string]string
}

func (c *copies) set(name, holder string, events int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events[name], c.holder[name] = events, holder
}

// take returns the events that a copy at an engine covers.
func (c *copies) take(name, holder string) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, ok := c.events[name]
	return n, ok && c.holder[name] == holder
}

func (c *copies) dropOf(holder string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, h := range c.holder {
		if h == holder {
			delete(c.events, name)
			delete(c.holder, name)
		}
	}
}

// streamRun is one execution of a stream at an engine.
type streamRun struct {
	request string
	engine  *engine
	first   int // number of the first event
	begun   time.Time
	made    []time.Time // when each event was made
	stop    chan struct{}
	stopped bool
	ended   time.Time
	breakAt bool // the channel is closed inside the next event
}

// engine is a stand-in for a model engine.
type engine struct {
	server
	copies *copies
	// keeps is set if the engine goes on with a request whose channel has closed.
	keeps bool
	// crashPart is the part of a prompt on which the engine crashes when it begins an answer.
	crashPart string
	// lateHead is set if the head of an answer goes out with its first event.
	lateHead bool
	// unframedResumed is set if answers that go on after an event have neither a length nor chunks.
	unframedResumed bool

	runMu      sync.Mutex
	runs       []*streamRun
	pausedTill time.Time
	cached     map[string]bool
	down       bool
	crashes    []time.Time
}

func (e *engine) start(ip string) error { return e.listen(ip + ":0") }

// listen starts the engine at an address, without anything that it knew before.
func (e *engine) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.runMu.Lock()
	e.address, e.born, e.cached, e.down = l.Addr().String(), time.Now().UnixMilli(), make(map[string]bool), false
	e.http = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	h := e.http
	e.runMu.Unlock()
	go func() { _ = h.Serve(l) }() // ends when the engine crashes
	e.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": engineSlots, "state": "ready",
		"cold_left_ms": 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1}}, "sequence": 1, "born": e.born,
	})
	e.record.note("engine %s at %s is ready", e.id, e.address)
	return nil
}

// crash ends the engine: all its channels are closed, and nothing listens any more.
func (e *engine) crash() {
	e.record.say("engine %s crashes", e.id)
	e.runMu.Lock()
	e.down = true
	e.runMu.Unlock()
	_ = e.http.Close()
	e.copies.dropOf(e.address)
}

// downTime is the time in which an engine that has crashed is back.
const downTime = 3 * time.Second

// fall crashes the engine under a request, and starts it again later.
func (e *engine) fall(request string) {
	e.runMu.Lock()
	if e.down {
		e.runMu.Unlock()
		return
	}
	e.crashes = append(e.crashes, time.Now())
	e.runMu.Unlock()
	e.record.say("engine %s crashes under %s", e.id, request)
	e.crash()
	go func() {
		time.Sleep(downTime)
		if err := e.listen(e.address); err != nil {
			e.record.say("engine %s: %v", e.id, err)
		}
	}()
}

// running returns the runs that go on and have made some events.
func (e *engine) running(least int) []*streamRun {
	e.runMu.Lock()
	defer e.runMu.Unlock()
	var list []*streamRun
	for _, r := range e.runs {
		if r.ended.IsZero() && !r.stopped && len(r.made) >= least {
			list = append(list, r)
		}
	}
	return list
}

// history returns copies of all runs, and when the engine crashed.
func (e *engine) history() (runs []streamRun, crashes []time.Time) {
	e.runMu.Lock()
	defer e.runMu.Unlock()
	for _, r := range e.runs {
		runs = append(runs, streamRun{request: r.request, engine: e, first: r.first, begun: r.begun, made: slices.Clone(r.made)})
	}
	return runs, slices.Clone(e.crashes)
}

// pause lets the engine fall silent until an instant, and breaks off the answer of one of its runs.
func (e *engine) pause(till time.Time, broken *streamRun) {
	e.runMu.Lock()
	defer e.runMu.Unlock()
	e.pausedTill = till
	if broken != nil {
		broken.breakAt = true
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	switch {
	case r.URL.Path == "/health":
	case r.URL.Path == "/report":
		e.report(w)
	case r.URL.Path == "/kv-events":
		e.cacheEvents(w)
	case r.URL.Path == "/kv-move":
		e.move(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		w.WriteHeader(http.StatusOK)
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		e.serve(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.runMu.Lock()
	runs, running := [][]any{}, 0
	for _, r := range e.runs {
		if !r.ended.IsZero() || r.stopped {
			continue
		}
		running++
		if len(r.made) > 0 {
			runs = append(runs, []any{r.request, promptTokens, len(r.made), 1})
		}
	}
	e.runMu.Unlock()
	answer(w, http.StatusOK, map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1}}, "busy": false, "sequence": 1, "waiting": 0,
		"running": running, "runs": runs, "kv_used": running * promptTokens, "kv_total": engineTokens, "handles": 0, "state": "ready", "born": e.born,
	})
}

func (e *engine) cacheEvents(w http.ResponseWriter) {
	e.runMu.Lock()
	defer e.runMu.Unlock()
	events := []any{}
	for part := range e.cached {
		id, tokens, _ := strings.Cut(part, ":")
		n, _ := strconv.Atoi(tokens)
		events = append(events, []any{len(events) + 1, "+", "", id, n, "m"})
	}
	answer(w, http.StatusOK, map[string]any{"epoch": e.born, "next": len(events) + 1, "lost": false, "events": events})
}

func (e *engine) move(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ID, Target string
		Last       bool
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.runMu.Lock()
	var found *streamRun
	for _, x := range e.runs {
		if x.request == in.ID && x.ended.IsZero() && !x.stopped && len(x.made) > 0 {
			found = x
		}
	}
	created := 0
	if found != nil {
		created = found.first - 1 + len(found.made)
		if in.Last {
			found.stopped = true
			close(found.stop)
		}
	}
	e.runMu.Unlock()
	e.record.note("move of %s at %s, last %v: known %v", in.ID, e.id, in.Last, found != nil)
	if found == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	handle := fmt.Sprintf("h%08x", rand.Uint32())
	e.copies.set(e.address+"/"+handle, in.Target, created)
	answer(w, http.StatusOK, map[string]any{"handle": handle, "created": created})
}

// uncached returns the tokens of a prompt that the engine has to read.
func (e *engine) uncached(prompt string) int {
	e.runMu.Lock()
	defer e.runMu.Unlock()
	n, hit := 0, true
	for part := range strings.SplitSeq(prompt, ",") {
		if hit = hit && e.cached[part]; hit {
			continue
		}
		_, tokens, _ := strings.Cut(part, ":")
		t, _ := strconv.Atoi(tokens)
		n += t
	}
	return n
}

func (e *engine) remember(prompt string) {
	e.runMu.Lock()
	defer e.runMu.Unlock()
	for part := range strings.SplitSeq(prompt, ",") {
		e.cached[part] = true
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id, prompt := r.Header.Get("X-Request-Id"), r.Header.Get("X-Prompt-Prefix")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	read := e.uncached(prompt) + last*tokensPerEvent
	if from := r.Header.Get("Kv-From"); from != "" {
		covered, ok := e.copies.take(from, e.address)
		if !ok {
			e.record.note("no copy %s at %s", from, e.id)
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		read = max(0, last-covered) * tokensPerEvent
	}
	run := &streamRun{request: id, engine: e, first: last + 1, begun: time.Now(), stop: make(chan struct{})}
	e.runMu.Lock()
	e.runs = append(e.runs, run)
	e.runMu.Unlock()
	e.record.note("run of %s at %s from event %d, %d tokens to read", id, e.id, last+1, read)
	defer func() {
		e.runMu.Lock()
		run.ended = time.Now()
		n := len(run.made)
		e.runMu.Unlock()
		e.record.note("run of %s at %s ended after %d events", id, e.id, n)
	}()
	if !e.lateHead {
		e.head(w, r, last > 0)
	}
	if !e.work(run, r, time.Duration(read/prefillPerMilli)*time.Millisecond) {
		panic(http.ErrAbortHandler)
	}
	if e.crashPart != "" && strings.Contains(prompt, e.crashPart+":") {
		e.fall(id)
		panic(http.ErrAbortHandler)
	}
	e.remember(prompt)
	if e.lateHead {
		e.head(w, r, last > 0)
	}
	e.stream(w, r, run)
}

// head sends the head of an answer at once: the events follow when they are made.
func (e *engine) head(w http.ResponseWriter, r *http.Request, resumed bool) {
	h := w.Header()
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	h.Set("X-Server-Stamp", fmt.Sprintf("%s.%016x", e.id, rand.Uint64()))
	h.Set("X-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	if resumed && e.unframedResumed {
		h.Set("Connection", "close")
		h.Set("Transfer-Encoding", "identity")
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // a failure shows at the next write
}

// work waits for work to be done. It returns false if the run is over.
func (e *engine) work(run *streamRun, r *http.Request, d time.Duration) bool {
	gone := r.Context().Done()
	if e.keeps {
		gone = nil
	}
	for until := time.Now().Add(d); ; {
		e.runMu.Lock()
		if e.pausedTill.After(until) {
			until = e.pausedTill
		}
		over := e.down || run.breakAt
		e.runMu.Unlock()
		left := time.Until(until)
		if over || left <= 0 {
			return !over || run.breakAt
		}
		select {
		case <-time.After(min(left, 5*time.Millisecond)):
		case <-run.stop:
			return false
		case <-gone:
			return false
		}
	}
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, run *streamRun) {
	backup := r.Header.Get("X-Kv-Backup")
	for n := run.first; n <= answerEvents; n++ {
		if !e.work(run, r, eventInterval) {
			panic(http.ErrAbortHandler)
		}
		e.runMu.Lock()
		broken := run.breakAt
		if !broken {
			run.made = append(run.made, time.Now())
		}
		e.runMu.Unlock()
		text := eventText(n)
		if broken {
			_, _ = w.Write([]byte(text[:len(text)/2]))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, err := w.Write([]byte(text))
		if err == nil {
			err = http.NewResponseController(w).Flush()
		}
		if err != nil && !e.keeps {
			panic(http.ErrAbortHandler)
		}
		if backup != "" && n%backupEvery == 0 {
			e.copies.set(backup+"/"+run.request, backup, n)
		}
	}
}

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: %032d\n\n", n, n) }
