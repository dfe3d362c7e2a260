package serverconn

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"quetzalhold/engine"
	"quetzalhold/http1"
)

// conn is a connection with a transport of its own, which opens it once: http.Transport would otherwise repeat
// requests on other connections, and open some that nobody asked for.
type conn struct {
	pool      *Pool
	server    Server
	class     Class
	transport *http1.Transport

	// Guarded by the pool's lock.
	element    *list.Element // nil unless idle
	answeredAt time.Time     // when it was last put into the pool
	expiry     *time.Timer

	mu       sync.Mutex
	raw      net.Conn // nil before it is open
	dialed   bool
	closed   bool
	reading  bool // the transport waits for bytes
	kept     bool // it has been idle in the pool
	sent     int  // bytes of the request in progress, or more; 0 while none is
	received int  // bytes since the request in progress began
	stated   time.Duration
	states   bool // the last answer has said how long the connection is kept
}

// reportBuffer is the size of the buffers of a connection for load reports, in bytes: those of net/http, 4 KB each,
// would be idle memory for hundreds of servers.
const reportBuffer = 1 << 10

// errSpent reports that a connection has ended.
var errSpent = errors.New("the connection has ended")

func newConn(p *Pool, o Options) *conn {
	c := &conn{pool: p, server: o.Server, class: o.Class}
	t := &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: engine.MaxHeaderBytes,
		DialContext:            c.dial,
	}
	if o.Class == Reports {
		t.ReadBufferSize, t.WriteBufferSize = reportBuffer, reportBuffer
	}
	c.transport = http1.New(t)
	return c
}

// dial opens the connection. It fails the second time.
func (c *conn) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c.mu.Lock()
	spent := c.dialed
	c.dialed = true
	c.mu.Unlock()
	if spent {
		return nil, errSpent
	}
	raw, err := c.pool.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = raw.Close() // the request has ended meanwhile; nothing was sent
		return nil, errSpent
	}
	c.raw = raw
	return &wire{Conn: raw, of: c}, nil
}

// close closes the connection, also one that is still being opened.
func (c *conn) close() {
	c.mu.Lock()
	raw := c.raw
	c.closed = true
	c.mu.Unlock()
	if raw != nil {
		_ = raw.Close() // nothing that it may still carry is wanted
	}
	c.transport.CloseIdleConnections()
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// settleTime is how long a connection is not used after an answer, so that bytes that follow the answer at once are
// found.
const settleTime = time.Millisecond

// usable reports whether the connection shows no end and no unread byte: its transport waits for bytes, and the
// socket has none. With recent, the connection must have been used within recentlyUsed, and within half of the time
// that the server states. The caller holds the pool's lock.
func (c *conn) usable(now time.Time, recent bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := now.Sub(c.answeredAt)
	if idle < settleTime || recent && idle > c.recentLocked() {
		return false
	}
	return c.reading && !c.closed && !hasUnread(c.raw)
}

// hasUnread reports whether a socket has an unread byte, or its end. A process that was not scheduled for a while
// has not read it yet. Connections that are no sockets have none.
func hasUnread(raw net.Conn) bool {
	s, ok := raw.(syscall.Conn)
	if !ok {
		return false
	}
	fd, err := s.SyscallConn()
	if err != nil {
		return true
	}
	var n int
	var peeked error
	err = fd.Control(func(fd uintptr) {
		n, _, peeked = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || n > 0 || !errors.Is(peeked, syscall.EAGAIN)
}

func (c *conn) recentLocked() time.Duration {
	if c.states {
		return min(recentlyUsed, c.stated/2)
	}
	return recentlyUsed
}

// keepFor returns how long the connection is kept idle.
func (c *conn) keepFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.class == Calls:
		return c.recentLocked()
	case c.states:
		return c.stated - min(keepMargin, c.stated/2)
	}
	return defaultKeep
}

// doKept sends a request on a connection that was kept.
func (c *conn) doKept(req *http.Request) (*http.Response, error) {
	begun := time.Now()
	resp, err := c.transport.RoundTrip(req)
	if err == nil {
		return c.answered(resp), nil
	}
	c.close()
	c.mu.Lock()
	sent, received := c.sent, c.received
	c.mu.Unlock()
	ended := req.Context().Err()
	switch {
	case received > 0:
		return nil, err
	case errors.Is(ended, context.DeadlineExceeded):
		c.pool.dropSilent(c.server.Address, begun)
		return nil, err
	case ended != nil:
		return nil, err
	}
	return nil, &KeptError{Sent: sent > 0, cause: err}
}

// answered returns a response whose body gives the connection back at its end.
func (c *conn) answered(resp *http.Response) *http.Response {
	c.mu.Lock()
	c.stated, c.states = statedKeep(resp.Header)
	c.mu.Unlock()
	resp.Body = &body{ReadCloser: resp.Body, of: c, last: resp.Close}
	return resp
}

// body is the body of an answer.
type body struct {
	io.ReadCloser
	of   *conn
	last bool // the server closes the connection after it
	done bool // the connection was given back or closed
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || b.done {
		return n, err
	}
	b.done = true
	if errors.Is(err, io.EOF) && !b.last {
		b.of.pool.put(b.of)
	} else {
		b.of.close()
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	if !b.done {
		b.done = true
		b.of.close()
	}
	return err
}

// wire is the connection as the transport sees it.
type wire struct {
	net.Conn
	of *conn
}

// errUnrequested reports bytes that answer no request.
var errUnrequested = errors.New("bytes that answer no request")

// Read implements io.Reader. It fails if bytes come on a kept connection before a request was sent: the transport
// closes the connection then.
func (w *wire) Read(p []byte) (int, error) {
	c := w.of
	c.mu.Lock()
	c.reading = true
	c.mu.Unlock()
	n, err := w.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n > 0 && c.kept && c.sent == 0 {
		return 0, errUnrequested
	}
	c.received += n
	return n, err
}

// setIdle records that no request is in progress. Bytes that come before some of the next one is sent answer none.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept, c.sent, c.received = true, 0, 0
}

// Write implements io.Writer. Bytes count as sent before they are, since the connection may fail meanwhile.
func (w *wire) Write(p []byte) (int, error) {
	w.of.addSent(len(p))
	n, err := w.Conn.Write(p)
	if n == 0 && err != nil {
		w.of.addSent(-len(p))
	}
	return n, err
}

func (c *conn) addSent(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent += n
}

// Close implements io.Closer.
func (w *wire) Close() error {
	w.of.mu.Lock()
	w.of.closed = true
	w.of.mu.Unlock()
	w.of.pool.forget(w.of)
	return w.Conn.Close()
}
