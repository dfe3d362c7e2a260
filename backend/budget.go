package backend

import (
	"sync"
	"time"

	"quetzalhold/routing"
)

// Usage is the requests and the repeats of a service in a window.
type Usage struct {
	Service  routing.ServiceName `json:"service"`
	Requests int                 `json:"requests"`
	Retries  int                 `json:"repeats"`
}

// RetryBudget bounds what entry VMs send beyond the first time of each request of a
// service, in a sliding window. Those of a failure domain share what their
// requests allow, as far as they know of each other; an entry VM that knows of no
// other keeps within what its own allow. All together keep within the bound if
// each failure domain does. The zero value allows nothing.
type RetryBudget struct {
	// Ratio is how many repeats a request allows.
	Ratio float64
	// Window is the span in which requests and repeats are compared.
	Window time.Duration

	mu       sync.Mutex
	begun    time.Time // buckets are counted from here: the time of day may jump
	slack    float64   // repeats allowed beside those by ratio
	requests counter
	repeats  counter
	others   Usage     // of the other entry VMs of the failure domain
	othersAt time.Time // when that was known
	pooled   float64   // slack of the failure domain, while others are known
}

// othersFor is how long what is known of other entry VMs counts.
const othersFor = 3 * time.Second

// buckets is the number of parts of a window that are counted apart.
const buckets = 10

// counter counts events of the last window in buckets.
type counter struct {
	n     [buckets]int
	first int64 // number of the oldest bucket
}

func (c *counter) advance(at int64) {
	if at-c.first >= 2*buckets {
		*c = counter{first: at - buckets + 1}
	}
	for c.first+buckets <= at {
		c.n[c.first%buckets] = 0
		c.first++
	}
}

func (c *counter) sum() int {
	t := 0
	for _, n := range c.n {
		t += n
	}
	return t
}

// SetSlack sets this entry VM's part of the repeats that need no request.
func (b *RetryBudget) SetSlack(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = n
}

// SetPeers takes over what the other entry VMs of the failure domain use, and the
// slack that it has together.
func (b *RetryBudget) SetPeers(now time.Time, u Usage, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others, b.othersAt, b.pooled = u, now, slack
}

// Usage returns this entry VM's own usage.
func (b *RetryBudget) Usage(now time.Time) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.bucket(now)
	b.requests.advance(at)
	b.repeats.advance(at)
	return Usage{Requests: b.requests.sum(), Retries: b.repeats.sum()}
}

func (b *RetryBudget) bucket(now time.Time) int64 {
	if b.begun.IsZero() {
		b.begun = now
	}
	return int64(now.Sub(b.begun)) / max(1, int64(b.Window)/buckets)
}

// Request counts a caller's request.
func (b *RetryBudget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.bucket(now)
	b.requests.advance(at)
	b.requests.n[at%buckets]++
}

// Allow reports whether a request may be sent once more, and counts it if so.
func (b *RetryBudget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.room(now) {
		return false
	}
	b.repeats.n[b.bucket(now)%buckets]++
	return true
}

// Available reports whether a request might be sent once more.
func (b *RetryBudget) Available(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.room(now)
}

func (b *RetryBudget) room(now time.Time) bool {
	at := b.bucket(now)
	b.requests.advance(at)
	b.repeats.advance(at)
	requests, repeats, slack := b.requests.sum(), b.repeats.sum(), b.slack
	if now.Sub(b.othersAt) < othersFor {
		requests += b.others.Requests
		repeats += b.others.Retries
		slack = b.pooled
	}
	return float64(repeats+1) <= b.Ratio*float64(requests)+slack
}

// Refund takes back a repeat that did not reach a server.
func (b *RetryBudget) Refund(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.bucket(now)
	b.repeats.advance(at)
	for i := range int64(buckets) {
		if n := &b.repeats.n[(at-i+buckets)%buckets]; *n > 0 {
			*n--
			return
		}
	}
}
