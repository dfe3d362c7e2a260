package relay

import (
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"quetzalhold/result"
	"quetzalhold/telemetry"
)

// BacklogID identifies a stream whose caller has not read all that its engine has sent.
type BacklogID uint64

// Backlogs counts what is held for callers that read slowly, and decides which of their streams ends when that is
// too much. It does no I/O. The zero value holds none.
type Backlogs struct {
	mu    sync.Mutex
	total int64
	held  map[BacklogID]int64
}

// Add records that more bytes are held for a stream. If more than limit are held then for all, it returns the stream
// that holds most, which has to end.
func (b *Backlogs) Add(id BacklogID, bytes, limit int64) (ends BacklogID, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held == nil {
		b.held = make(map[BacklogID]int64)
	}
	b.held[id] += bytes
	b.total += bytes
	if b.total <= limit {
		return 0, false
	}
	most := int64(-1)
	for x, n := range b.held {
		if n > most || n == most && x < ends {
			ends, most = x, n
		}
	}
	return ends, true
}

// Remove records that the caller of a stream has read some bytes.
func (b *Backlogs) Remove(id BacklogID, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[id] -= bytes
	b.total -= bytes
}

// End records that a stream has ended, and what was held for it is dropped.
func (b *Backlogs) End(id BacklogID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total -= b.held[id]
	delete(b.held, id)
}

// Held returns how many bytes are held for a stream, and for all.
func (b *Backlogs) Held(id BacklogID) (bytes, total int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[id], b.total
}

// backlogs holds the backlogs of all streams. The zero value has none.
type backlogs struct {
	counts Backlogs
	limit  int64 // in bytes; set before the first request

	mu   sync.Mutex
	last BacklogID
	all  map[BacklogID]*backlog
}

func (b *backlogs) add(x *backlog) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.all == nil {
		b.all = make(map[BacklogID]*backlog)
	}
	b.last++
	x.id = b.last
	b.all[x.id] = x
}

// end lets a stream know that it has to end.
func (b *backlogs) end(id BacklogID) {
	b.mu.Lock()
	x := b.all[id]
	b.mu.Unlock()
	if x == nil {
		return // it has ended
	}
	x.mu.Lock()
	x.tooMuch = true
	x.mu.Unlock()
	notify(x.event)
}

func (b *backlogs) remove(id BacklogID) {
	b.mu.Lock()
	delete(b.all, id)
	b.mu.Unlock()
	b.counts.End(id)
}

// ReadAhead lets streams be read from their engines although their callers read slowly, while no more than limit
// bytes are held for all of them. It is called before the first request.
func (r *Relay) ReadAhead(limit int64) { r.backlogs.limit = limit }

// HeldForCallers returns how many bytes of streams are held for callers that read slowly.
func (r *Relay) HeldForCallers() int64 {
	_, total := r.backlogs.counts.Held(0)
	return total
}

// backlog is what a caller has not read of its stream. A goroutine of its own writes it to the caller, so that the
// engine is read meanwhile.
type backlog struct {
	id    BacklogID
	of    *backlogs
	w     http.ResponseWriter
	wake  chan struct{} // there is more to write, or closing is set
	event chan struct{} // for the stream: all is written, or the caller is gone, or the stream has to end
	ended chan struct{} // closed when nothing more is written

	mu      sync.Mutex
	queue   [][]byte // the first is being written
	closing bool
	awaited bool  // the stream waits until all is written
	tooMuch bool  // the stream has to end
	err     error // of writing to the caller
}

func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default: // it has been notified
	}
}

// changes returns the channel that says that the backlog has to be looked at.
func (b *backlog) changes() <-chan struct{} {
	if b == nil {
		return nil
	}
	return b.event
}

// write writes what is queued until the backlog is closed or the caller is gone.
func (b *backlog) write() {
	for range b.wake {
		for {
			raw, ok := b.first()
			if !ok {
				break
			}
			if !b.written(raw, b.send(raw)) {
				return
			}
		}
		b.mu.Lock()
		closing, awaited := b.closing, b.awaited
		b.mu.Unlock()
		switch {
		case closing:
			return
		case awaited:
			notify(b.event)
		}
	}
}

func (b *backlog) first() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 {
		return nil, false
	}
	return b.queue[0], true
}

// send writes an event, and sends what net/http has buffered if no other event is queued.
func (b *backlog) send(raw []byte) error {
	if _, err := b.w.Write(raw); err != nil {
		return err
	}
	b.mu.Lock()
	last := len(b.queue) == 1
	b.mu.Unlock()
	if !last {
		return nil
	}
	return http.NewResponseController(b.w).Flush()
}

// fail records that nothing more can be written to the caller.
func (b *backlog) fail(err error) {
	b.mu.Lock()
	b.err = err
	b.mu.Unlock()
	notify(b.event)
}

// written records the outcome of writing an event. It reports whether to go on.
func (b *backlog) written(raw []byte, err error) bool {
	if err != nil {
		b.fail(err)
		return false
	}
	b.mu.Lock()
	if len(b.queue) > 0 { // else it is being closed
		b.queue[0] = nil
		b.queue = b.queue[1:]
	}
	b.mu.Unlock()
	b.of.counts.Remove(b.id, int64(len(raw)))
	return true
}

// push queues an event for the caller.
func (b *backlog) push(raw []byte) error {
	b.mu.Lock()
	if b.err != nil {
		defer b.mu.Unlock()
		return b.err
	}
	b.queue = append(b.queue, raw)
	b.mu.Unlock()
	if ends, ok := b.of.counts.Add(b.id, int64(len(raw)), b.of.limit); ok {
		b.of.end(ends)
	}
	notify(b.wake)
	return nil
}

// state returns whether all is written, whether the stream has to end, and the error of writing. A stream whose
// caller has caught up goes on.
func (b *backlog) state() (empty, tooMuch bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	empty = len(b.queue) == 0
	b.tooMuch = b.tooMuch && !empty
	return empty, b.tooMuch, b.err
}

// awaitEmpty lets the stream know when all is written.
func (b *backlog) awaitEmpty() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.awaited = true
}

// close ends the backlog. If something is still to be written, the caller's connection can't be used any more.
func (b *backlog) close() {
	b.mu.Lock()
	b.closing = true
	if len(b.queue) > 0 {
		// It ends a write that is in progress. Writers that don't support it don't block.
		_ = http.NewResponseController(b.w).SetWriteDeadline(time.Unix(1, 0))
	}
	b.queue = nil
	b.mu.Unlock()
	notify(b.wake)
	<-b.ended
	b.of.remove(b.id)
}

// sendEvent sends an event to the caller. Where streams are read ahead, it does not wait for the caller to read it.
func (s *streamRun) sendEvent(raw []byte) error {
	if s.relay.backlogs.limit == 0 {
		if _, err := s.w.Write(raw); err != nil {
			return err
		}
		return http.NewResponseController(s.w).Flush()
	}
	if s.backlog == nil {
		b := &backlog{of: &s.relay.backlogs, w: s.w, wake: make(chan struct{}, 1), event: make(chan struct{}, 1), ended: make(chan struct{})}
		b.of.add(b)
		s.backlog = b
		go func() {
			defer close(b.ended)
			err := telemetry.Guard(s.relay.Log, "backlog", func() error {
				b.write()
				return nil
			})
			if err != nil {
				b.fail(err)
			}
		}()
	}
	return s.backlog.push(raw)
}

// checkCaller ends the request if its caller is gone, or reads so slowly that the stream has to end.
func (s *streamRun) checkCaller() {
	_, tooMuch, err := s.backlog.state()
	switch {
	case err != nil:
		s.abort(result.Wrap(result.CallerGone, err, "send event"))
	case tooMuch:
		held, total := s.relay.backlogs.counts.Held(s.backlog.id)
		s.logEvent("caller reads too slowly", "", zap.Int64("held", held), zap.Int64("heldForAll", total), zap.Int64("limit", s.relay.backlogs.limit))
		s.abort(result.New(result.CallerGone, "caller reads too slowly"))
	}
}

// awaitCaller waits until the caller has been sent all of a complete stream. Its run is closed before.
func (s *streamRun) awaitCaller() {
	if s.backlog == nil {
		return
	}
	s.closeRuns()
	s.backlog.awaitEmpty()
	for {
		s.checkCaller()
		if empty, _, _ := s.backlog.state(); empty {
			return
		}
		select {
		case <-s.backlog.changes():
		case <-s.msg.Context().Done():
			s.abort(s.relay.cancelError(s.job, s.mayHaveRun()))
		}
	}
}

// closeBacklog ends the writing to the caller: a handler must not return before.
func (s *streamRun) closeBacklog() {
	if s.backlog != nil {
		s.backlog.close()
	}
}
