// Package serverconn keeps connections to servers for more than one request. Which requests may use a kept
// connection is decided by its user; the package sees to it that none is repeated on its own, and that nothing
// that a connection carries is taken for the answer to another request.
package serverconn

import (
	"container/list"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"quetzalhold/engine"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Purpose,Class -linecomment -output=serverconn_string.go

// Purpose is what a connection is used for.
type Purpose int

// The purposes.
const (
	Call    Purpose = iota // call
	Stream                 // stream
	Report                 // report
	Probe                  // probe
	Control                // control
)

// Class is a class of kept connections, each with a bound of its own for each server.
type Class int

// The classes.
const (
	Reports Class = iota // reports
	Calls                // calls
)

// perServer is the number of idle connections that a server has in a class.
func (c Class) perServer() int {
	if c == Calls {
		return 2
	}
	return 1
}

// Server is a start of a server at an address.
type Server struct {
	Address string
	Start   engine.Incarnation
}

// How long idle connections are kept.
const (
	// defaultKeep is for servers that say nothing; those known close idle connections after some seconds.
	defaultKeep = 3 * time.Second
	// keepMargin is how much earlier than the server a connection is closed, since a request that is on its way
	// when the server closes it is lost. Shorter times are halved.
	keepMargin = time.Second
	// maxKeep bounds the time that a server states.
	maxKeep = time.Hour
	// recentlyUsed is how long after its last use a connection carries requests whose loss costs an attempt.
	recentlyUsed = 2 * time.Second
	// defaultLimit is the number of idle connections if none is set.
	defaultLimit = 500
)

// Options is what a request needs of its connection.
type Options struct {
	Server Server
	Class  Class
	// Fresh is set if the connection must be a new one. It may be kept afterwards.
	Fresh bool
	// KeptOnly is set if no connection is to be opened.
	KeptOnly bool
	// Recent is set if a kept connection must have been used recently.
	Recent bool
}

// ErrNone reports that no kept connection is idle.
var ErrNone = errors.New("no kept connection is idle")

// KeptError is the failure of a kept connection before the first byte of an answer. The server may have closed
// it before the request came.
type KeptError struct {
	// Sent reports whether some of the request may have been sent.
	Sent  bool
	cause error
}

// Error implements error.
func (e *KeptError) Error() string { return "kept connection: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *KeptError) Unwrap() error { return e.cause }

// Pool keeps connections to servers. Its exported fields are set before its first use.
type Pool struct {
	// Dial opens a connection, within a time of its own.
	Dial engine.Dialer
	// Limit is the number of idle connections; 0 uses a default.
	Limit int

	mu   sync.Mutex
	idle map[string][]*conn // by address, the longest idle first
	all  list.List          // of the idle ones, the longest idle first
}

// Do sends a request on a kept connection, or on a new one if none is idle. It sends it at most once: a failure on
// a kept connection is a [KeptError] if no byte of an answer has come. The connection is kept once the answer's
// body was read to its end, and closed if it is closed before that.
func (p *Pool) Do(req *http.Request, o Options) (*http.Response, error) {
	if !o.Fresh {
		if c := p.take(o, time.Now()); c != nil {
			return c.doKept(req)
		}
	}
	if o.KeptOnly {
		return nil, ErrNone
	}
	c := newConn(p, o)
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		c.close()
		return nil, err
	}
	return c.answered(resp), nil
}

// Drop closes the idle connections to an address.
func (p *Pool) Drop(address string) {
	p.drop(func(c *conn) bool { return c.server.Address == address })
}

// dropSilent closes the idle connections to an address that have answered nothing since an instant: the path
// may be silent for all of them.
func (p *Pool) dropSilent(address string, since time.Time) {
	p.drop(func(c *conn) bool { return c.server.Address == address && c.answeredAt.Before(since) })
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() { p.drop(func(*conn) bool { return true }) }

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.all.Len()
}

// drop closes the idle connections that match.
func (p *Pool) drop(match func(*conn) bool) {
	p.mu.Lock()
	var closed []*conn
	for e := p.all.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); match(c) {
			closed = append(closed, c)
		}
	}
	for _, c := range closed {
		p.unlink(c)
	}
	p.mu.Unlock()
	closeAll(closed)
}

func closeAll(list []*conn) {
	for _, c := range list {
		c.close()
	}
}

// take takes the connection that was used last of those that a request may use. It closes the connections to
// earlier starts of the server.
func (p *Pool) take(o Options, now time.Time) *conn {
	var found *conn
	var outdated []*conn
	p.mu.Lock()
	for _, c := range p.idle[o.Server.Address] {
		switch {
		case c.server.Start < o.Server.Start:
			outdated = append(outdated, c)
		case c.server == o.Server && c.class == o.Class && c.usable(now, o.Recent):
			found = c
		}
	}
	for _, c := range outdated {
		p.unlink(c)
	}
	if found != nil {
		p.unlink(found)
	}
	p.mu.Unlock()
	closeAll(outdated)
	return found
}

// put keeps a connection whose last answer is complete.
func (p *Pool) put(c *conn) {
	now := time.Now()
	keep := c.keepFor()
	if keep <= 0 {
		c.close()
		return
	}
	p.mu.Lock()
	if c.isClosed() {
		p.mu.Unlock()
		return
	}
	var surplus []*conn
	same := 1
	for _, x := range p.idle[c.server.Address] {
		if x.class == c.class {
			same++
		}
	}
	for _, x := range p.idle[c.server.Address] {
		if x.class == c.class && same > c.class.perServer() {
			surplus = append(surplus, x)
			same--
		}
	}
	for _, x := range surplus {
		p.unlink(x)
	}
	p.link(c, now, keep)
	limit := p.Limit
	if limit == 0 {
		limit = defaultLimit
	}
	for p.all.Len() > limit {
		x := p.all.Front().Value.(*conn)
		p.unlink(x)
		surplus = append(surplus, x)
	}
	p.mu.Unlock()
	closeAll(surplus)
}

// link adds an idle connection that is kept for a time. The caller holds p.mu.
func (p *Pool) link(c *conn, now time.Time, keep time.Duration) {
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	e := p.all.PushBack(c)
	c.element, c.answeredAt = e, now
	c.setIdle()
	p.idle[c.server.Address] = append(p.idle[c.server.Address], c)
	c.expiry = time.AfterFunc(keep, func() { p.expire(c, e) })
}

// expire closes a connection if it is still idle since it was linked as e.
func (p *Pool) expire(c *conn, e *list.Element) {
	p.mu.Lock()
	same := c.element == e
	if same {
		p.unlink(c)
	}
	p.mu.Unlock()
	if same {
		c.close()
	}
}

// unlink removes a connection from the idle ones. The caller holds p.mu.
func (p *Pool) unlink(c *conn) {
	if c.element == nil {
		return
	}
	c.expiry.Stop()
	p.all.Remove(c.element)
	c.element = nil
	a := c.server.Address
	p.idle[a] = slices.DeleteFunc(p.idle[a], func(x *conn) bool { return x == c })
	if len(p.idle[a]) == 0 {
		delete(p.idle, a)
	}
}

// forget removes a connection that was closed.
func (p *Pool) forget(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unlink(c)
}

// statedKeep returns how long a server says that it keeps an idle connection.
func statedKeep(h http.Header) (time.Duration, bool) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(field, "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		if n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 32); err == nil {
			return min(time.Duration(n)*time.Second, maxKeep), true
		}
	}
	return 0, false
}
