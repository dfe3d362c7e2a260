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
	open int // connections, idle or not
	idle map[net.Conn]idleConn
}

// idleConn is the state of a connection without a request.
type idleConn struct {
	since time.Time
	// fresh connections have had no request yet.
	fresh bool
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
	switch s {
	case http.StateNew:
		i.open++
	case http.StateIdle:
	case http.StateActive:
		if !i.idle[c].endsAt.IsZero() {
			// It fails only on a closed connection, where the server's next read fails too.
			_ = c.SetReadDeadline(time.Time{})
		}
		delete(i.idle, c)
		return
	default:
		i.open--
		delete(i.idle, c)
		return
	}
	if i.idle == nil {
		i.idle = make(map[net.Conn]idleConn)
	}
	state := idleConn{since: time.Now(), fresh: s == http.StateNew}
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
		if state.fresh {
			continue // the server bounds the time to its first request
		}
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
		i.end(c, state, now.Add(lastRequestWait))
	}
	return closed
}

// end bounds the wait for a request on c. The caller holds i.mu.
func (i *idleConns) end(c net.Conn, state idleConn, at time.Time) {
	state.endsAt = at
	i.idle[c] = state
	// It fails only on a closed connection.
	_ = c.SetReadDeadline(at)
}

// firstRequestWait is how long a new connection is kept for its first request while the
// others are closed.
const firstRequestWait = 5 * time.Second

// closeIdle closes all idle connections, as closeExpired does, and returns how many
// connections are open.
func (i *idleConns) closeIdle(now time.Time) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, state := range i.idle {
		if now.Before(state.endsAt.Add(lastRequestWait)) {
			continue
		}
		at := now.Add(lastRequestWait)
		if first := state.since.Add(firstRequestWait); state.fresh && first.After(at) {
			at = first
		}
		i.end(c, state, at)
	}
	return i.open
}
