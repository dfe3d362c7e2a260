package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tmaxmax/go-sse"

	"quetzalhold/engine"
	"quetzalhold/result"
	"quetzalhold/settings"
)

// output is how an answer is written to its caller.
type output interface {
	piece(id string, f Form, d engine.Delta) error
	finish(id string, f Form, d engine.Delta, text string, u Usage) error
	fail(e *result.Error)
	close() bool
}

// heartbeat is the longest silence towards a caller, also before the first
// token: after it, something tells the caller that the connection still works.
const heartbeat = 300 * time.Millisecond

// wholeOutput writes the answer at once when it is complete.
type wholeOutput struct {
	w http.ResponseWriter

	mu    sync.Mutex
	done  bool
	timer *time.Timer // of heartbeats, if the caller asked for them
}

// heartbeatValue is the value of the header by which callers ask for
// heartbeats.
var heartbeatValue = strconv.Itoa(http.StatusProcessing)

func newWholeOutput(w http.ResponseWriter, r *http.Request) *wholeOutput {
	o := &wholeOutput{w: w}
	if r.Header.Get(HeaderHeartbeat) == heartbeatValue {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.timer = time.AfterFunc(heartbeat, o.beat)
	}
	return o
}

func (o *wholeOutput) beat() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.done {
		return
	}
	o.w.WriteHeader(http.StatusProcessing)
	o.timer.Reset(heartbeat)
}

func (o *wholeOutput) piece(string, Form, engine.Delta) error { return nil }

func (o *wholeOutput) finish(_ string, f Form, d engine.Delta, text string, u Usage) error {
	o.close()
	o.w.Header().Set("Content-Type", "application/json")
	return callerGone(json.NewEncoder(o.w).Encode(f.Whole(text, d.Finish, u)))
}

func (o *wholeOutput) fail(e *result.Error) {
	if !o.close() {
		result.Write(o.w, e)
	}
}

// close ends the heartbeats and reports whether they had ended before.
func (o *wholeOutput) close() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	ended := o.done
	o.done = true
	if o.timer != nil {
		o.timer.Stop()
	}
	return ended
}

func callerGone(err error) error {
	if err == nil {
		return nil
	}
	return result.Wrap(result.CallerGone, err, "write")
}

// streamOutput writes each piece as an event. A slow caller blocks the write
// and with it the reading from the engine; only the connection's own buffers
// hold what it has not taken.
type streamOutput struct {
	w     http.ResponseWriter
	r     *http.Request
	stall time.Duration

	mu     sync.Mutex
	sess   *sse.Session
	sentAt time.Time
	timer  *time.Timer
	closed bool
}

func newStreamOutput(w http.ResponseWriter, r *http.Request, l settings.Limits) *streamOutput {
	o := &streamOutput{w: w, r: r, stall: l.CallerStallMs.Duration()}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.timer = time.AfterFunc(heartbeat, o.beat)
	return o
}

func (o *streamOutput) piece(id string, f Form, d engine.Delta) error {
	b, err := json.Marshal(f.Piece(d))
	if err != nil {
		return fmt.Errorf("encode piece: %w", err)
	}
	return o.send(event(id, string(b)))
}

func (o *streamOutput) finish(id string, f Form, d engine.Delta, _ string, _ Usage) error {
	if err := o.piece(id, f, d); err != nil {
		return err
	}
	return o.send(event(id, doneData))
}

func event(id, data string) *sse.Message {
	m := &sse.Message{ID: sse.ID(id)}
	m.AppendData(data)
	return m
}

// fail ends the answer with an error: as the response itself if nothing was
// written yet, and as an event otherwise.
func (o *streamOutput) fail(e *result.Error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.sess == nil {
		o.closed = true
		result.Write(o.w, e)
		return
	}
	b, err := json.Marshal(result.Envelope{Error: e})
	if err != nil {
		return
	}
	m := &sse.Message{Type: sse.Type("error")}
	m.AppendData(string(b))
	// The caller may be gone; there is nobody left to tell.
	_ = o.write(m)
}

func (o *streamOutput) send(m *sse.Message) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.begin(); err != nil {
		return err
	}
	return o.write(m)
}

// begin sends the headers before the first event.
func (o *streamOutput) begin() error {
	if o.sess != nil {
		return nil
	}
	o.w.Header().Set("Cache-Control", "no-store")
	sess, err := sse.Upgrade(o.w, o.r)
	if err != nil {
		return result.Wrap(result.Internal, err, "begin stream")
	}
	o.sess = sess
	return nil
}

func (o *streamOutput) write(m *sse.Message) error {
	now := time.Now()
	o.sentAt = now
	// Where deadlines are not supported, a stalled caller holds its answer
	// until its connection ends.
	_ = http.NewResponseController(o.w).SetWriteDeadline(now.Add(o.stall))
	if err := o.sess.Send(m); err != nil {
		return callerGone(err)
	}
	return callerGone(o.sess.Flush())
}

// beat sends a comment if nothing was sent for a while.
func (o *streamOutput) beat() {
	if !o.mu.TryLock() {
		// A write is under way; the next beat comes after it.
		o.timer.Reset(heartbeat)
		return
	}
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	due := heartbeat - time.Since(o.sentAt)
	if due <= 0 {
		if o.begin() != nil {
			return
		}
		m := &sse.Message{}
		m.AppendComment("wait")
		if o.write(m) != nil {
			return
		}
		due = heartbeat
	}
	o.timer.Reset(due)
}

// close ends the heartbeats and reports whether they had ended before.
func (o *streamOutput) close() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	ended := o.closed
	o.closed = true
	o.timer.Stop()
	return ended
}
