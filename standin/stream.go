package standin

import (
	"context"
	"sync"
	"time"

	"quetzalhold/engine"
	"quetzalhold/result"
)

// stream is one generation on the engine, as seen by its readers.
type stream struct {
	start    engine.Start
	admitted chan struct{}
	ctx      context.Context // ends when the stream is cancelled
	cancel   context.CancelFunc

	mu       sync.Mutex
	tokens   []string // from start.Offset on
	done     engine.FinishReason
	reader   engine.Attempt
	readers  int
	unreadAt time.Time
	changed  chan struct{}
}

func (st *stream) append(word string) {
	st.update(func() { st.tokens = append(st.tokens, word) })
}

func (st *stream) finish(why engine.FinishReason) {
	st.update(func() { st.done = why })
}

// update changes the stream and wakes its readers.
func (st *stream) update(f func()) {
	st.mu.Lock()
	defer st.mu.Unlock()
	f()
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *stream) unreadFor(d time.Duration) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.readers == 0 && time.Since(st.unreadAt) > d
}

func (st *stream) enter() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.readers++
}

func (st *stream) leave() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.readers--
	st.unreadAt = time.Now()
}

// takeOver makes attempt a the stream's reader.
func (st *stream) takeOver(a engine.Attempt, from engine.Tokens) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if a <= st.reader {
		return result.New(result.StaleAttempt, "attempt %d reads the stream", st.reader)
	}
	if from < st.start.Offset {
		return result.New(result.StreamUnknown, "the stream begins at %d", st.start.Offset)
	}
	st.reader = a
	close(st.changed)
	st.changed = make(chan struct{})
	return nil
}
