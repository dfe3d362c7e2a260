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

// output writes an answer to its caller.
type output interface {
	// piece writes one piece; id is its sealed cursor.
	piece(id string, f Formatter, d engine.Delta) error
	// finish writes the last piece, which states why the answer ended, and
	// ends the answer. An output that does not stream writes the whole text.
	finish(id string, f Formatter, d engine.Delta, text string, u Usage) error
	// fail ends the answer with an error.
	fail(e *result.Error)
	// close stops the heartbeats and reports whether they were stopped before.
	close() bool
}

// heartbeat is the longest time without a write to the caller, also before the
// first token. After it, a heartbeat shows the caller that the connection works.
const heartbeat = 300 * time.Millisecond

// wholeOutput writes the answer in one response when it is complete. Its
// heartbeats are responses with status 102.
type wholeOutput struct {
	w http.ResponseWriter

	mu    sync.Mutex
	done  bool
	timer *time.Timer // of heartbeats; nil unless the caller requested them
}

// heartbeatValue is the value of HeaderHeartbeat with which callers request
// heartbeats.
var heartbeatValue = strconv.Itoa(http.StatusProcessing)

func newWholeOutput(w http.ResponseWriter, r *http.Request) *wholeOutput {
	o := &wholeOutput{w: w}
	if r.Header.Get(HeaderHeartbeat) == heartbeatValue {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.timer = time.AfterFunc(heartbeat, o.sendHeartbeat)
	}
	return o
}

// sendHeartbeat sends a 102 response unless the output is closed.
func (o *wholeOutput) sendHeartbeat() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.done {
		return
	}
	o.w.WriteHeader(http.StatusProcessing)
	o.timer.Reset(heartbeat)
}

func (o *wholeOutput) piece(string, Formatter, engine.Delta) error { return nil }

func (o *wholeOutput) finish(_ string, f Formatter, d engine.Delta, text string, u Usage) error {
	o.close()
	o.w.Header().Set("Content-Type", "application/json")
	return wrapWriteError(json.NewEncoder(o.w).Encode(f.Whole(text, d.Finish, u)))
}

func (o *wholeOutput) fail(e *result.Error) {
	if !o.close() {
		result.Write(o.w, e)
	}
}

// close stops the heartbeats and reports whether they were stopped before.
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

// wrapWriteError returns err, the result of a write to the caller, as a
// CallerGone error; nil if err is nil.
func wrapWriteError(err error) error {
	if err == nil {
		return nil
	}
	return result.Wrap(result.CallerGone, err, "write")
}

// streamOutput writes each piece as a server-sent event. A slow caller blocks
// the write and thereby the read from the engine, so that unread pieces are
// buffered only by the connection itself. Its heartbeats are comments.
type streamOutput struct {
	w            http.ResponseWriter
	r            *http.Request
	writeTimeout time.Duration

	mu     sync.Mutex
	sess   *sse.Session
	sentAt time.Time
	timer  *time.Timer // of heartbeats
	closed bool
}

func newStreamOutput(w http.ResponseWriter, r *http.Request, l settings.Limits) *streamOutput {
	o := &streamOutput{w: w, r: r, writeTimeout: l.CallerStallMs.Duration()}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.timer = time.AfterFunc(heartbeat, o.sendHeartbeat)
	return o
}

func (o *streamOutput) piece(id string, f Formatter, d engine.Delta) error {
	b, err := json.Marshal(f.Piece(d))
	if err != nil {
		return fmt.Errorf("encode piece: %w", err)
	}
	return o.send(event(id, string(b)))
}

func (o *streamOutput) finish(id string, f Formatter, d engine.Delta, _ string, _ Usage) error {
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
	// Nobody is left to report an error to if the caller has disconnected.
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

// begin starts the event stream before the first event.
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
	// If the connection does not support write deadlines, a stalled caller
	// blocks its answer until the connection ends.
	_ = http.NewResponseController(o.w).SetWriteDeadline(now.Add(o.writeTimeout))
	if err := o.sess.Send(m); err != nil {
		return wrapWriteError(err)
	}
	return wrapWriteError(o.sess.Flush())
}

// sendHeartbeat sends a comment if nothing was sent for the time of heartbeat.
func (o *streamOutput) sendHeartbeat() {
	if !o.mu.TryLock() {
		// A write is in progress; try again later.
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

// close stops the heartbeats and reports whether they were stopped before.
func (o *streamOutput) close() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	ended := o.closed
	o.closed = true
	o.timer.Stop()
	return ended
}
