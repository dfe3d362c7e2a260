package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns records since when callers' connections have been idle. The idle limit
// comes with the configuration and changes, but an http.Server has one limit for its
// whole life. The zero value has no connections and no limit.
type idleConns struct {
	// limit returns the limit in force; 0, or nil, for none.
	limit func() time.Duration

	mu   sync.Mutex
	idle map[net.Conn]idleConn
}

// idleConn is the state of an idle connection.
type idleConn struct {
	since time.Time
	// allowedUntil is when it expires by the limit at the time when it became idle. A lower
	// limit does not apply to it: its caller could not know. It is zero if there was none.
	allowedUntil time.Time
	// endsAt is the read deadline of a connection that is being closed; zero for others.
	endsAt time.Time
}

// lastRequestWait is how long a connection is still read before it is closed: a request
// may have arrived that the process has not read yet.
const lastRequestWait = 100 * time.Millisecond

// track is the ConnState hook of an http.Server.
func (i *idleConns) track(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s != http.StateIdle {
		if s == http.StateActive && !i.idle[c].endsAt.IsZero() {
			// It fails only on a closed connection, where the server's next read fails too.
			_ = c.SetReadDeadline(time.Time{})
		}
		delete(i.idle, c)
		return
	}
	if i.idle == nil {
		i.idle = make(map[net.Conn]idleConn)
	}
	state := idleConn{since: time.Now()}
	if limit := i.currentLimit(); limit > 0 {
		state.allowedUntil = state.since.Add(limit)
	}
	i.idle[c] = state
}

func (i *idleConns) currentLimit() time.Duration {
	if i.limit == nil {
		return 0
	}
	return i.limit()
}

// closeExpired closes the connections that have been idle for longer than the limit. It
// returns how many that are. It only ends the wait for a request: the server calls track
// after it has read one, and closing the connection would cut a request that was read in
// between.
func (i *idleConns) closeExpired(now time.Time) int {
	limit := i.currentLimit()
	if limit == 0 {
		return 0
	}
	closed := 0
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, state := range i.idle {
		if state.allowedUntil.IsZero() {
			state.allowedUntil = now.Add(limit)
			i.idle[c] = state
		}
		// One that is idle for longer may have got its deadline just before the server
		// removed it at the start of its wait.
		if now.Sub(state.since) <= limit || !now.After(state.allowedUntil) || now.Before(state.endsAt.Add(readHeaderTimeout)) {
			continue
		}
		if state.endsAt.IsZero() {
			closed++
		}
		state.endsAt = now.Add(lastRequestWait)
		i.idle[c] = state
		// It fails only on a closed connection.
		_ = c.SetReadDeadline(state.endsAt)
	}
	return closed
}
