package relay

import (
	"bytes"
	"io"
	"sync"
	"time"

	"quetzalhold/result"
)

// bodyMemory counts the memory that large bodies of requests, or of answers, take up. The zero value holds none.
type bodyMemory struct {
	mu   sync.Mutex
	held int64 // in bytes
}

// smallBody is the size up to which bodies are not counted, in bytes: there is always room for small requests.
const smallBody = 64 << 10

// take takes size bytes in place of had, unless more than limit would be held then; 0 is no limit. There is room for
// one body of any size.
func (b *bodyMemory) take(had, size, limit int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	others := b.held - had
	if limit > 0 && others > 0 && others+size > limit {
		return false
	}
	b.held = others + size
	return true
}

func (b *bodyMemory) give(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
}

// holdBody takes the memory for a body of some size, or for more of it.
func (j *job) holdBody(size int64) error {
	if size <= smallBody {
		return nil
	}
	if !j.relay.bodies.take(j.heldBody, size, j.relay.BodyMemory) {
		return result.New(result.Overloaded, "no room for a body of %d bytes", size).AsNotRun().WithRetryAt(time.Now().Add(retryDelay))
	}
	j.heldBody = size
	return nil
}

// releaseBody gives back the memory of the body.
func (j *job) releaseBody() {
	j.relay.bodies.give(j.heldBody)
	j.heldBody = 0
}

// readAll reads a body of up to limit bytes, once there is room for it.
func (j *job) readAll(body io.Reader, limit int64) ([]byte, error) {
	var b bytes.Buffer
	size := int64(smallBody) // of a body of unknown length
	if n := j.msg.ContentLength; n >= 0 {
		size = min(n, limit)
	}
	for {
		if err := j.holdBody(size); err != nil {
			return nil, err
		}
		if j.msg.ContentLength > 0 {
			b.Grow(int(size) + bytes.MinRead) // at once: each growth leaves garbage of half its size
		}
		_, err := b.ReadFrom(io.LimitReader(body, size-int64(b.Len())+1))
		if err != nil || int64(b.Len()) <= size {
			return b.Bytes(), err
		}
		size = min(2*size, limit)
	}
}
