package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxBuffered is the maximum number of bytes in flight in one direction of a
// connection. A larger write is accepted only while nothing is in flight.
const maxBuffered = 64 << 10

// slowWindow replaces maxBuffered where links have a bandwidth: about as much as TCP sends before the
// first acknowledgement, so that connections share a link instead of filling it one after the other.
// packetBytes is the size of the segments that are then sent.
const (
	slowWindow  = 16 << 10
	packetBytes = 4 << 10
)

// half is one direction of a connection.
type half struct {
	// arrival returns the instant at which data that is written now arrives.
	arrival func(bytes int) time.Time
	window  int // maximum number of bytes in flight

	mu            sync.Mutex
	cond          *sync.Cond
	segments      []segment
	size          int   // bytes in segments
	closeErr      error // what a reader gets after the last segment; nil while open
	abortErr      error // what reads and writes return at once; nil while open
	readDeadline  time.Time
	writeDeadline time.Time
}

// segment is data that a reader gets from the instant at on.
type segment struct {
	at   time.Time
	data []byte
}

// newHalf returns a direction whose data arrives at the instants that arrival returns.
func newHalf(arrival func(bytes int) time.Time) *half {
	h := &half{arrival: arrival, window: maxBuffered}
	h.cond = sync.NewCond(&h.mu)
	return h
}

// wakeAt wakes all waiters at instant t. The caller holds h.mu. It sets no timer
// for an instant in the past: in a [testing/synctest] bubble such a timer crashes
// the race detector (Go 1.26).
func (h *half) wakeAt(t time.Time) {
	d := time.Until(t)
	if d <= 0 {
		h.cond.Broadcast()
		return
	}
	time.AfterFunc(d, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.cond.Broadcast()
	})
}

// passed reports whether a deadline is set and has passed.
func passed(deadline time.Time) bool {
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

// read waits for data that has arrived and copies it to p.
func (h *half) read(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		switch {
		case h.abortErr != nil:
			return 0, h.abortErr
		case passed(h.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case len(h.segments) > 0 && passed(h.segments[0].at):
			return h.consume(p), nil
		case len(h.segments) > 0:
			h.wakeAt(h.segments[0].at)
		case h.closeErr != nil:
			return 0, h.closeErr
		}
		h.cond.Wait()
	}
}

// consume copies bytes of the first segment to p and removes them. The caller holds
// h.mu.
func (h *half) consume(p []byte) int {
	s := &h.segments[0]
	n := copy(p, s.data)
	s.data = s.data[n:]
	if len(s.data) == 0 {
		h.segments = h.segments[1:]
	}
	h.size -= n
	h.cond.Broadcast()
	return n
}

// write writes p, in packets if the direction is slow.
func (h *half) write(p []byte) (int, error) {
	if h.window == maxBuffered {
		return h.writePacket(p)
	}
	sent := 0
	for {
		n, err := h.writePacket(p[sent:min(len(p), sent+packetBytes)])
		sent += n
		if err != nil || sent == len(p) {
			return sent, err
		}
	}
}

// writePacket waits until the direction has room for p and appends it.
func (h *half) writePacket(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		switch {
		case h.abortErr != nil:
			return 0, h.abortErr
		case h.closeErr != nil:
			return 0, syscall.EPIPE
		case passed(h.writeDeadline):
			return 0, os.ErrDeadlineExceeded
		case h.size == 0 || h.size+len(p) <= h.window:
			h.segments = append(h.segments, segment{h.arrival(len(p)), append([]byte(nil), p...)})
			h.size += len(p)
			h.cond.Broadcast()
			return len(p), nil
		}
		h.cond.Wait()
	}
}

// closeWith ends the direction: readers get err once they have read the data in
// flight, and writers get EPIPE.
func (h *half) closeWith(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closeErr == nil {
		h.closeErr = err
	}
	h.cond.Broadcast()
}

// abort ends the direction at once: readers and writers get err, and the data in
// flight is lost.
func (h *half) abort(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.abortErr == nil {
		h.abortErr = err
	}
	h.cond.Broadcast()
}

// setDeadline sets *d, one of the deadlines of h, to t, and wakes all waiters now
// and when t has passed.
func (h *half) setDeadline(d *time.Time, t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*d = t
	h.cond.Broadcast()
	if !t.IsZero() {
		h.wakeAt(t)
	}
}

// conn is one end of a link. It implements [net.Conn].
type conn struct {
	link    *link
	network *Network
	in, out *half
	local   net.Addr
	remote  net.Addr
	mu      sync.Mutex
	closed  bool
}

// reset makes both ends fail with ECONNRESET, unless the link is blackholed.
func (l *link) reset() {
	if l.isBlackholed() {
		return
	}
	for _, c := range l.ends {
		c.in.abort(syscall.ECONNRESET)
	}
	l.ends[0].network.removeLink(l)
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Read implements [net.Conn].
func (c *conn) Read(p []byte) (int, error) {
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	n, err := c.in.read(p)
	if err != nil && c.isClosed() {
		return n, net.ErrClosed
	}
	return n, err
}

// Write implements [net.Conn]. On a blackholed connection it drops the data and
// returns no error.
func (c *conn) Write(p []byte) (int, error) {
	switch {
	case c.isClosed():
		return 0, net.ErrClosed
	case c.link.isBlackholed():
		return len(p), nil
	}
	n, err := c.out.write(p)
	c.network.addTraffic(hostOf(c.local.String()), hostOf(c.remote.String()), n)
	return n, err
}

// Close implements [net.Conn]. The other end of a blackholed connection is not
// notified.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.mu.Unlock()
	c.in.closeWith(net.ErrClosed)
	c.in.discard()
	if c.link.isBlackholed() {
		return nil
	}
	c.out.closeWith(io.EOF)
	c.network.removeLink(c.link)
	return nil
}

// discard drops the data in flight and wakes all waiters. It is called when the
// reading end closes.
func (h *half) discard() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.segments = nil
	h.size = 0
	h.cond.Broadcast()
}

// LocalAddr implements [net.Conn].
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements [net.Conn].
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements [net.Conn].
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}

// SetReadDeadline implements [net.Conn].
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	return nil
}

// SetWriteDeadline implements [net.Conn].
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}
