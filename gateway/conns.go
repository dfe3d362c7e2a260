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
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

// track is the ConnState hook of an http.Server.
func (i *idleConns) track(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s != http.StateIdle {
		delete(i.idleSince, c)
		return
	}
	if i.idleSince == nil {
		i.idleSince = make(map[net.Conn]time.Time)
	}
	i.idleSince[c] = time.Now()
}

// closeExpired closes the connections that have been idle for longer than limit; 0
// stands for no limit. It returns how many it has closed.
func (i *idleConns) closeExpired(now time.Time, limit time.Duration) int {
	if limit == 0 {
		return 0
	}
	closed := 0
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, at := range i.idleSince {
		if now.Sub(at) > limit {
			// The caller sees the connection closed, whatever Close returns.
			_ = c.Close()
			delete(i.idleSince, c)
			closed++
		}
	}
	return closed
}
