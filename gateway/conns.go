package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns records since when callers' connections have been idle. The idle limit
// comes with the configuration and changes, but an http.Server has one limit for its
// whole life. The zero value has no connections.
type idleConns struct {
	mu   sync.Mutex
	idle map[net.Conn]idleConn
}

// idleConn is the state of an idle connection.
type idleConn struct {
	since time.Time
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
	i.idle[c] = idleConn{since: time.Now()}
}

// closeExpired closes the connections that have been idle for longer than limit; 0
// stands for no limit. It returns how many that are. It only ends the wait for a
// request: the server calls track after it has read one, and closing the connection
// would cut a request that was read in between.
func (i *idleConns) closeExpired(now time.Time, limit time.Duration) int {
	if limit == 0 {
		return 0
	}
	closed := 0
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, state := range i.idle {
		// One that is idle for longer may have got its deadline just before the server
		// removed it at the start of its wait.
		if now.Sub(state.since) <= limit || now.Before(state.endsAt.Add(readHeaderTimeout)) {
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
