package backend

import (
	"sync"
	"time"

	"quetzalhold/routing"
)

// Usage is the number of requests and of retries of a service within a window.
type Usage struct {
	Service  routing.ServiceName `json:"service"`
	Requests int                 `json:"requests"`
	Retries  int                 `json:"repeats"`
}

// RetryBudget bounds the retries and hedged requests that entry VMs send for
// a service in a sliding window. The entry VMs of a failure domain share the budget that their
// requests earn together, as far as they know each other's usage; an entry VM that knows of no
// other one stays within the budget that its own requests earn. The bound holds overall if it
// holds in each failure domain. The zero value allows no retries.
type RetryBudget struct {
	// Ratio is the number of retries that each request earns.
	Ratio float64
	// Window is the period over which requests and retries are counted.
	Window time.Duration

	mu          sync.Mutex
	epoch       time.Time // start of bucket 0; measured from here because the time of day may jump
	slack       float64   // retries allowed in addition to those earned by requests
	requests    counter
	retries     counter
	peers       Usage     // usage of the other entry VMs of the failure domain
	peersAt     time.Time // time at which peers was set
	pooledSlack float64   // slack of the whole failure domain, used while peers is valid
}

// peersValidFor is how long the reported usage of other entry VMs is used.
const peersValidFor = 3 * time.Second

// buckets is the number of parts into which a window is divided.
const buckets = 10

// counter counts the events of the last window in buckets.
type counter struct {
	n     [buckets]int
	first int64 // index of the oldest bucket
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

// SetSlack sets this entry VM's share of the retries that need not be earned by requests.
func (b *RetryBudget) SetSlack(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = n
}

// SetPeers sets the usage of the other entry VMs of the failure domain and the total slack of
// that failure domain.
func (b *RetryBudget) SetPeers(now time.Time, u Usage, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers, b.peersAt, b.pooledSlack = u, now, slack
}

// Usage returns this entry VM's own usage.
func (b *RetryBudget) Usage(now time.Time) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.bucket(now)
	b.requests.advance(at)
	b.retries.advance(at)
	return Usage{Requests: b.requests.sum(), Retries: b.retries.sum()}
}

func (b *RetryBudget) bucket(now time.Time) int64 {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	return int64(now.Sub(b.epoch)) / max(1, int64(b.Window)/buckets)
}

// Request counts a caller's request.
func (b *RetryBudget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.bucket(now)
	b.requests.advance(at)
	b.requests.n[at%buckets]++
}

// Allow reports whether the budget allows a retry, and if so counts it.
func (b *RetryBudget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allow(now, 1)
}

// AllowSpare is like Allow, but only allows a retry that leaves another one.
func (b *RetryBudget) AllowSpare(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allow(now, 2)
}

// allow counts a retry if the budget allows n.
func (b *RetryBudget) allow(now time.Time, n int) bool {
	if !b.canRetry(now, n) {
		return false
	}
	b.retries.n[b.bucket(now)%buckets]++
	return true
}

// Available reports whether the budget currently allows a retry, without counting one.
func (b *RetryBudget) Available(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.canRetry(now, 1)
}

func (b *RetryBudget) canRetry(now time.Time, n int) bool {
	at := b.bucket(now)
	b.requests.advance(at)
	b.retries.advance(at)
	requests, retries, slack := b.requests.sum(), b.retries.sum(), b.slack
	if now.Sub(b.peersAt) < peersValidFor {
		requests += b.peers.Requests
		retries += b.peers.Retries
		slack = b.pooledSlack
	}
	return float64(retries+n) <= b.Ratio*float64(requests)+slack
}

// Refund returns the most recent retry to the budget, for one that did not reach a server.
func (b *RetryBudget) Refund(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.bucket(now)
	b.retries.advance(at)
	for i := range int64(buckets) {
		if n := &b.retries.n[(at-i+buckets)%buckets]; *n > 0 {
			*n--
			return
		}
	}
}
