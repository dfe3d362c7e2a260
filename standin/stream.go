package standin

import (
	"context"
	"sync"
	"time"

	"quetzalhold/engine"
	"quetzalhold/result"
)

// stream is one run of a generation on the engine, with the state that its readers share.
type stream struct {
	start    engine.Start
	admitted chan struct{}   // closed when the stream gets a slot
	ctx      context.Context // ends when the stream is cancelled or the engine stops
	cancel   context.CancelFunc

	mu            sync.Mutex
	tokens        []string // from start.Offset on
	done          engine.FinishReason
	readerAttempt engine.Attempt // the latest attempt that reads the stream
	readers       int
	unreadSince   time.Time     // when the last reader left, or the stream was admitted
	changed       chan struct{} // closed at the next change of the fields above
}

func (st *stream) append(word string) {
	st.update(func() { st.tokens = append(st.tokens, word) })
}

func (st *stream) finish(reason engine.FinishReason) {
	st.update(func() { st.done = reason })
}

// update runs f, which changes the stream, and wakes the readers.
func (st *stream) update(f func()) {
	st.mu.Lock()
	defer st.mu.Unlock()
	f()
	close(st.changed)
	st.changed = make(chan struct{})
}

// unreadFor reports whether the stream has had no reader for longer than d.
func (st *stream) unreadFor(d time.Duration) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.readers == 0 && time.Since(st.unreadSince) > d
}

func (st *stream) addReader() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.readers++
}

func (st *stream) removeReader() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.readers--
	st.unreadSince = time.Now()
}

// attach makes attempt a the stream's reader in place of an earlier attempt.
func (st *stream) attach(a engine.Attempt, from engine.Tokens) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if a <= st.readerAttempt {
		return result.New(result.StaleAttempt, "attempt %d reads the stream", st.readerAttempt)
	}
	if from < st.start.Offset {
		return result.New(result.StreamUnknown, "the stream begins at %d", st.start.Offset)
	}
	st.readerAttempt = a
	close(st.changed)
	st.changed = make(chan struct{})
	return nil
}
