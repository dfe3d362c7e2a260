package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// class is a kind of request.
type class struct {
	name, method, path string
	perSecond          float64 // of all zones
	body               int     // bytes
}

// The requests to the plain service, as in the sheet of the small deployment.
var (
	booking = class{"book-pickup", http.MethodPost, "/book/", 50.9, 600}
	status  = class{"bin-status", http.MethodGet, "/status/", 20.4, 0}
)

const (
	host       = "cork.example"
	key        = "n2ctnfzs989anu6wsjnb"
	deadlineMs = 2000
)

// callers send requests of the plain service until ctx ends.
type callers struct {
	site *site
	http *http.Client
	wg   sync.WaitGroup
}

// newClient returns a client that keeps channels open for many requests.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second}}
}

func (c *callers) run(ctx context.Context) {
	for _, k := range []class{booking, status} {
		c.wg.Go(func() {
			t := time.NewTicker(time.Duration(float64(time.Second) / k.perSecond))
			defer t.Stop()
			for {
				select {
				case <-t.C:
					to := c.site.machines[rand.IntN(len(c.site.machines))]
					c.wg.Go(func() { c.send(k, to) })
				case <-ctx.Done():
					return
				}
			}
		})
	}
}

func (c *callers) send(k class, to *machine) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), deadlineMs*time.Millisecond)
	defer cancel()
	path := fmt.Sprintf("%s%x", k.path, rand.Uint32())
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+to.front+path, strings.NewReader(strings.Repeat("b", k.body)))
	if err != nil {
		panic(err) // the address is valid
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Api-Key", key)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadlineMs))
	c.site.record.send(id, k.name+" to "+to.name)
	resp, err := c.http.Do(req)
	if err != nil {
		c.site.record.note("answer %s none: %v", id, err)
		return
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	c.site.record.note("answer %s status %d, %d bytes, %v, stamp %q", id, resp.StatusCode, n, err, resp.Header.Get("X-Server-Stamp"))
}

// configuration returns a configuration with the routes of the plain service.
func configuration(service string) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 1000, "target_latency_ms": 200,
			"priority": 2, "service": service, "max_attempts": attempts, "public": false,
		}
	}
	return map[string]any{
		"version": 7,
		"routes": []any{
			route("r-book", booking.path, "non_idempotent", 1), route("r-status", status.path, "idempotent", 2),
		},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	}
}
