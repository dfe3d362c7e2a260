package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxBuffered bounds the bytes under way in one direction.
const maxBuffered = 64 << 10

// half is one direction of a connection.
type half struct {
	delay time.Duration

	mu       sync.Mutex
	cond     *sync.Cond
	segments []segment
	size     int
	err      error // what a reader gets after the segments
	broken   error // what both ends get at once
	readBy   time.Time
	writeBy  time.Time
}

// segment is bytes that arrive at an instant.
type segment struct {
	at   time.Time
	data []byte
}

func newHalf(delay time.Duration) *half {
	h := &half{delay: delay}
	h.cond = sync.NewCond(&h.mu)
	return h
}

// wakeAt wakes all waiters at instant t. The caller holds h.mu. There is no
// timer for a past instant: in a [testing/synctest] bubble such timers crash
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

func over(deadline time.Time) bool {
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

func (h *half) read(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		switch {
		case h.broken != nil:
			return 0, h.broken
		case over(h.readBy):
			return 0, os.ErrDeadlineExceeded
		case len(h.segments) > 0 && over(h.segments[0].at):
			return h.take(p), nil
		case len(h.segments) > 0:
			h.wakeAt(h.segments[0].at)
		case h.err != nil:
			return 0, h.err
		}
		h.cond.Wait()
	}
}

// take moves arrived bytes to p.
func (h *half) take(p []byte) int {
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

func (h *half) write(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		switch {
		case h.broken != nil:
			return 0, h.broken
		case h.err != nil:
			return 0, syscall.EPIPE
		case over(h.writeBy):
			return 0, os.ErrDeadlineExceeded
		case h.size == 0 || h.size+len(p) <= maxBuffered:
			at := time.Now().Add(h.delay)
			h.segments = append(h.segments, segment{at, append([]byte(nil), p...)})
			h.size += len(p)
			h.cond.Broadcast()
			return len(p), nil
		}
		h.cond.Wait()
	}
}

// finish ends the direction: readers get err after what is under way.
func (h *half) finish(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err == nil {
		h.err = err
	}
	h.cond.Broadcast()
}

// breakOff ends the direction at once for both ends.
func (h *half) breakOff(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.broken == nil {
		h.broken = err
	}
	h.cond.Broadcast()
}

func (h *half) setDeadline(d *time.Time, t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*d = t
	h.cond.Broadcast()
	if !t.IsZero() {
		h.wakeAt(t)
	}
}

// conn is one end of a link.
type conn struct {
	link    *link
	network *Network
	in, out *half
	local   net.Addr
	remote  net.Addr
	mu      sync.Mutex
	closed  bool
}

func (l *link) reset() {
	if l.isSilent() {
		return
	}
	for _, c := range l.ends {
		c.in.breakOff(syscall.ECONNRESET)
	}
	l.ends[0].network.forget(l)
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

// Write implements [net.Conn]. On a silent connection, what is written is
// lost without an error.
func (c *conn) Write(p []byte) (int, error) {
	switch {
	case c.isClosed():
		return 0, net.ErrClosed
	case c.link.isSilent():
		return len(p), nil
	}
	n, err := c.out.write(p)
	c.network.count(hostOf(c.local.String()), hostOf(c.remote.String()), n)
	return n, err
}

// Close implements [net.Conn]. The other end of a silent connection does not
// hear of it.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.mu.Unlock()
	c.in.finish(net.ErrClosed)
	c.in.wake()
	if c.link.isSilent() {
		return nil
	}
	c.out.finish(io.EOF)
	c.network.forget(c.link)
	return nil
}

// wake lets waiting readers see that their end was closed.
func (h *half) wake() {
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
	c.in.setDeadline(&c.in.readBy, t)
	c.out.setDeadline(&c.out.writeBy, t)
	return nil
}

// SetReadDeadline implements [net.Conn].
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readBy, t)
	return nil
}

// SetWriteDeadline implements [net.Conn].
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(&c.out.writeBy, t)
	return nil
}
