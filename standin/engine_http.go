package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/tmaxmax/go-sse"

	"quetzalhold/engine"
	"quetzalhold/result"
)

func (e *Engine) handleStart(w http.ResponseWriter, r *http.Request) {
	var s engine.Start
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		result.Write(w, result.Wrap(result.BadRequest, err, "decode start"))
		return
	}
	if err := s.Check(); err != nil {
		result.Write(w, err)
		return
	}
	st, err := e.admit(s)
	if err != nil {
		result.Write(w, err)
		return
	}
	e.wg.Add(1)
	go e.generate(st)
	e.serve(w, r, st, s.Attempt, s.Offset)
}

// lookup returns the stream that the request's path names.
func (e *Engine) lookup(r *http.Request) (*stream, error) {
	id := engine.StreamID(r.PathValue("id"))
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.streams[id]
	if st == nil {
		return nil, result.New(result.StreamUnknown, "stream %s", id)
	}
	return st, nil
}

// queryUint returns a query parameter that is an unsigned number.
func queryUint(r *http.Request, name string) (uint64, error) {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0, result.Wrap(result.BadRequest, err, "parameter %s", name)
	}
	return n, nil
}

// lookupAttempt returns the stream that the request's path names and the attempt
// in its query.
func (e *Engine) lookupAttempt(r *http.Request) (*stream, engine.Attempt, error) {
	st, err := e.lookup(r)
	if err != nil {
		return nil, 0, err
	}
	a, err := queryUint(r, "attempt")
	return st, engine.Attempt(a), err
}

func (e *Engine) handleAttach(w http.ResponseWriter, r *http.Request) {
	st, a, err := e.lookupAttempt(r)
	if err != nil {
		result.Write(w, err)
		return
	}
	from, err := queryUint(r, "from")
	if err != nil {
		result.Write(w, err)
		return
	}
	if err := st.attach(a, engine.Tokens(from)); err != nil {
		result.Write(w, err)
		return
	}
	e.serve(w, r, st, a, engine.Tokens(from))
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	st, a, err := e.lookupAttempt(r)
	if err != nil {
		result.Write(w, err)
		return
	}
	st.mu.Lock()
	stale := a < st.readerAttempt
	st.mu.Unlock()
	if stale {
		result.Write(w, result.New(result.StaleAttempt, "a later attempt reads the stream"))
		return
	}
	st.cancel()
	e.count(func(c *EngineCounts) { c.Cancelled++ })
	w.WriteHeader(http.StatusNoContent)
}

// serve sends the stream's events from position from on to one reader.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, st *stream, a engine.Attempt, from engine.Tokens) {
	st.addReader()
	defer st.removeReader()
	sess, err := sse.Upgrade(w, r)
	if err != nil {
		result.Write(w, err)
		return
	}
	rd := &reader{engine: e, stream: st, attempt: a, next: from, session: sess}
	rd.conn = e.faults.register()
	defer e.faults.unregister(rd.conn)
	rd.run(r.Context())
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.loadReport())
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := queryUint(r, "after")
	if err != nil {
		result.Write(w, err)
		return
	}
	writeJSON(w, engine.CacheEvents{
		Incarnation: e.cfg.Incarnation,
		Events:      e.cache.eventsAfter(after, time.Now()),
	})
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		result.Write(w, result.Wrap(result.BadRequest, err, "decode order"))
		return
	}
	if err := e.applyOrder(o); err != nil {
		result.Write(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counts()) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// If the connection has failed, the error cannot be reported to the client.
	_ = json.NewEncoder(w).Encode(v)
}
