package relay

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"quetzalhold/connlimit"
	"quetzalhold/result"
)

// bodyMemory counts the memory that the beginnings of long answers take up. The zero value holds none.
type bodyMemory struct {
	mu   sync.Mutex
	held int64 // in bytes
}

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

// bodyLimits returns the limits on bodies of requests.
func (r *Relay) bodyLimits() connlimit.BodyLimits {
	return connlimit.BodyLimits{Memory: connlimit.Bytes(r.BodyMemory), Unfinished: r.UnfinishedBodies}
}

// holdBody takes the memory for a body of some size, or for more of it.
func (j *job) holdBody(size int64) error {
	if !j.relay.bodies.Take(time.Now(), &j.arrival, connlimit.Bytes(size), j.relay.bodyLimits()) {
		return j.noRoom(size)
	}
	return nil
}

func (j *job) noRoom(size int64) error {
	return result.New(result.Overloaded, "no room for a body of %d bytes", size).AsNotRun().WithRetryAt(time.Now().Add(retryDelay))
}

// releaseBody gives back the memory of the body.
func (j *job) releaseBody() { j.relay.bodies.Release(&j.arrival) }

// arrivingBody is a body whose bytes are counted as they arrive.
type arrivingBody struct {
	io.Reader
	job *job
}

// Read implements io.Reader.
func (a arrivingBody) Read(p []byte) (int, error) {
	n, err := a.Reader.Read(p)
	a.job.relay.bodies.Received(time.Now(), &a.job.arrival, connlimit.Bytes(n))
	return n, err
}

// readAll reads a body of up to limit bytes, once there is room for it.
func (j *job) readAll(body io.Reader, limit int64) ([]byte, error) {
	if j.msg.ContentLength == 0 {
		return nil, nil
	}
	var b bytes.Buffer
	size := int64(connlimit.SmallBody) // of a body of unknown length
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
		_, err := b.ReadFrom(io.LimitReader(arrivingBody{body, j}, size-int64(b.Len())+1))
		if err != nil || int64(b.Len()) <= size {
			if !j.relay.bodies.Finish(&j.arrival) {
				return nil, j.noRoom(size)
			}
			return b.Bytes(), err
		}
		size = min(2*size, limit)
	}
}

// unreadStall is how long the rest of a body that is not used may stay away before the connection is closed. Callers
// that send it without a pause get their answer after it.
const unreadStall = time.Second

// limitUnread bounds the time for the rest of a request that is refused before its body was read. net/http reads up to
// 256 KB of it before it sends the answer.
func (j *job) limitUnread(w http.ResponseWriter) {
	now := time.Now()
	if j.msg.ContentLength == 0 || j.unread != nil || !j.deadline.IsZero() && !now.Before(j.deadline) {
		return
	}
	// Not every ResponseWriter supports deadlines; httptest.ResponseRecorder doesn't.
	_ = http.NewResponseController(w).SetReadDeadline(now.Add(unreadStall))
}

// discardUnread reads the rest of a body for which there was no room, after its answer. How it ends does not matter.
func (j *job) discardUnread(w http.ResponseWriter) {
	control := http.NewResponseController(w)
	buf := make([]byte, 4<<10)
	for {
		until := time.Now().Add(unreadStall)
		if j.deadline.Before(until) {
			until = j.deadline
		}
		if control.SetReadDeadline(until) != nil {
			return
		}
		if _, err := j.unread.Read(buf); err != nil {
			return
		}
	}
}
