package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ErrClosed is the cause of a failed read from a connection that was closed to keep a limit.
var ErrClosed = errors.New("connection closed to keep the limits of clients")

// Limiter applies the decisions of a [Table] to the connections of a process. The zero value bounds only single heads.
type Limiter struct {
	// Limits are set before the first connection.
	Limits Limits
	// Closed is called for each connection that is closed; may be nil.
	Closed func(Reason)
	// Report is called with what was closed, at most once a second for each reason; may be nil.
	Report func(Report)

	mu      sync.Mutex
	table   Table
	lastID  ConnID
	conns   map[ConnID]*Conn
	reports [reasons]report

	bodies Bodies
}

// Report is the connections that were closed for a reason since the last report.
type Report struct {
	Reason  Reason
	Count   int
	Largest Bytes // the most memory that the head of one of them took
	Heads   Bytes // memory of all unfinished heads at its time
	Waiting int   // connections without a request at its time
}

// report is what is known of a reason since its last report.
type report struct {
	count   int
	largest Bytes
	until   time.Time // no report before
	pending bool      // one comes at that time
}

// reportInterval is the least time between two reports for a reason.
const reportInterval = time.Second

// Heads returns the memory of all unfinished heads.
func (l *Limiter) Heads() Bytes {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Heads()
}

// Waiting returns the number of connections without a complete request.
func (l *Limiter) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Waiting()
}

// Listen returns a listener whose connections count for the limits. limit returns the limit in force on a head.
func (l *Limiter) Listen(inner net.Listener, limit func() Bytes) net.Listener {
	return &listener{Listener: inner, limiter: l, limit: limit}
}

type listener struct {
	net.Listener
	limiter *Limiter
	limit   func() Bytes
}

// Accept implements [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.limiter.open(c, l.limit), nil
}

func (l *Limiter) open(inner net.Conn, limit func() Bytes) *Conn {
	c := &Conn{Conn: inner, limiter: l, limit: limit}
	l.apply(func(now time.Time) []Closing {
		l.table.Limits = l.Limits
		if l.conns == nil {
			l.conns = make(map[ConnID]*Conn)
		}
		l.lastID++
		c.id = l.lastID
		l.conns[c.id] = c
		return l.table.Open(now, c.id)
	})
	return c
}

// apply closes the connections that a decision returns, except those that are answered first.
func (l *Limiter) apply(decide func(now time.Time) []Closing) {
	var victims []*Conn
	var due []Report
	l.mu.Lock()
	now := time.Now()
	closings := decide(now)
	for _, x := range closings {
		if c := l.conns[x.Conn]; c != nil && x.Reason != HeadTooLarge {
			victims = append(victims, c)
			delete(l.conns, x.Conn)
		}
		if r, ok := l.count(now, x); ok {
			due = append(due, r)
		}
	}
	l.mu.Unlock()
	for _, c := range victims {
		// The client may have closed it before.
		_ = c.Conn.Close()
	}
	for _, x := range closings {
		if l.Closed != nil {
			l.Closed(x.Reason)
		}
	}
	for _, r := range due {
		l.Report(r)
	}
}

// count counts a closed connection and returns a report if one is due. The caller holds l.mu.
func (l *Limiter) count(now time.Time, x Closing) (Report, bool) {
	if l.Report == nil {
		return Report{}, false
	}
	r := &l.reports[x.Reason]
	r.count++
	r.largest = max(r.largest, x.Held)
	if !now.Before(r.until) {
		return l.takeReport(now, x.Reason), true
	}
	if !r.pending {
		r.pending = true
		time.AfterFunc(r.until.Sub(now), func() { l.reportLater(x.Reason) })
	}
	return Report{}, false
}

// takeReport begins a new interval. The caller holds l.mu.
func (l *Limiter) takeReport(now time.Time, why Reason) Report {
	r := &l.reports[why]
	out := Report{Reason: why, Count: r.count, Largest: r.largest, Heads: l.table.Heads(), Waiting: l.table.Waiting()}
	*r = report{until: now.Add(reportInterval), pending: r.pending}
	return out
}

func (l *Limiter) reportLater(why Reason) {
	l.mu.Lock()
	l.reports[why].pending = false
	r := l.takeReport(time.Now(), why)
	l.mu.Unlock()
	if r.Count > 0 {
		l.Report(r)
	}
}

// begin records that the head of a request is complete. It returns false if the request must not run.
func (l *Limiter) begin(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Begin(c.id)
}

func (l *Limiter) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Remove(c.id)
	delete(l.conns, c.id)
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// noServerLimit is a limit on heads for an http.Server whose listener limits them.
const noServerLimit = 1 << 30

// Attach prepares a server for listeners of l. It is called once all fields of the server are set.
func (l *Limiter) Attach(s *http.Server, bodies BodyPolicy) {
	s.MaxHeaderBytes = noServerLimit
	track := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*Conn); ok {
			l.track(c, state)
		}
		if track != nil {
			track(c, state)
		}
	}
	withContext := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if withContext != nil {
			ctx = withContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	next := l.limitBodies(bodies, s.Handler)
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server reports no change of state for a request that it read together with the one before.
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok && !l.begin(c) {
			panic(http.ErrAbortHandler) // closes the connection; the request has not run
		}
		next.ServeHTTP(w, r)
	})
}

func (l *Limiter) track(c *Conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		l.begin(c)
	case http.StateHijacked:
		c.hijacked.Store(true)
	case http.StateIdle:
		l.apply(func(now time.Time) []Closing { return l.table.Kept(now, c.id) })
	}
}

// Conn is a connection whose client is limited. Its methods are those of the connection that it wraps.
type Conn struct {
	net.Conn
	limiter *Limiter
	id      ConnID
	limit   func() Bytes
	// hijacked is set once the connection belongs to a handler.
	hijacked atomic.Bool
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Close implements [net.Conn].
func (c *Conn) Close() error {
	c.limiter.remove(c)
	return c.Conn.Close()
}

// CloseWrite shuts down the writing side, which net/http does before it closes a connection whose client still sends.
func (c *Conn) CloseWrite() error {
	if x, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return x.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Read implements [net.Conn].
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	tooLarge, open := false, false
	c.limiter.apply(func(now time.Time) (closings []Closing) {
		closings, open = c.limiter.table.Received(now, c.id, p[:n], c.limit())
		for _, x := range closings {
			tooLarge = tooLarge || x.Reason == HeadTooLarge
			open = open && (x.Conn != c.id || tooLarge)
		}
		return closings
	})
	switch {
	case !open:
		return 0, c.closedError()
	case tooLarge:
		c.refuse(p)
		return 0, c.closedError()
	}
	return n, err
}

// closedError returns an error to which net/http sends no answer.
func (c *Conn) closedError() error {
	return &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: ErrClosed}
}

// tooLarge is the answer of net/http to a head that is too large.
const tooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" +
	"431 Request Header Fields Too Large"

// How a client that still sends gets its answer: data that arrives at a closed connection resets it, and the client may
// lose the answer.
const (
	refuseWait  = 500 * time.Millisecond // that of net/http
	refuseBytes = 1 << 20
)

// refuse answers a head that is too large. p is a buffer for what the client still sends.
func (c *Conn) refuse(p []byte) {
	_ = c.SetDeadline(time.Now().Add(refuseWait))
	if _, err := io.WriteString(c.Conn, tooLarge); err != nil {
		return // the client has left, or does not read
	}
	_ = c.CloseWrite()
	for left := refuseBytes; left > 0; {
		n, err := c.Conn.Read(p)
		if err != nil {
			return
		}
		left -= n
	}
}
