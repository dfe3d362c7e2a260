package backend

import (
	"slices"
	"sync"
	"time"

	"quetzalhold/routing"
)

// Usage is an entry VM's use of the retry budget of a service within a window.
type Usage struct {
	Service  routing.ServiceName
	Requests int
	Retries  int
	// Earned is the number of retries that the entry VM puts into the budget of its failure
	// domain, and Limit the number that it may send at present.
	Earned float64
	Limit  float64
	// Short reports whether a retry was refused lately.
	Short bool
}

// RetryBudget bounds the retries and hedged requests that an entry VM sends for a service in a
// sliding window: to the limit that [Allotments] of its failure domain grant it, or else to what
// its own requests earn. The zero value allows no retries.
type RetryBudget struct {
	// Ratio is the number of retries that each request earns.
	Ratio float64
	// Window is the period over which requests and retries are counted.
	Window time.Duration
	// OnShort is called if a retry is refused; it may be nil, and must not block.
	OnShort func()

	mu       sync.Mutex
	epoch    time.Time // start of bucket 0; measured from here because the time of day may jump
	slack    float64   // retries allowed in addition to those earned by requests
	requests counter
	retries  []time.Time // of the last window, in order
	short    time.Time   // until when a refused retry counts

	issuer     string    // of limits
	limit      float64   // last granted
	granted    float64   // earned at the report on which limit was granted
	reported   float64   // earned at the last report
	limitUntil time.Time // end of the grant
	lentUntil  time.Time // until when retries that limit lends to others may count
	// restraint bounds what this entry VM earns until restrainedUntil: former issuers may have
	// lent the rest to others.
	restraint       float64
	restrainedUntil time.Time
}

// Times of limits.
const (
	// limitValidFor is how long a limit holds, from the report on which it was granted.
	limitValidFor = 3 * time.Second
	// reportValidFor is how long a report counts without a newer one: what an entry VM earns is
	// not lent to others any longer.
	reportValidFor = 2 * time.Second
	// maxDelay bounds the time that a report and its answer take.
	maxDelay = 3 * time.Second
	// shortFor is how long a refused retry counts as demand for more.
	shortFor = time.Second
)

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

// Follow sets the issuer of limits, which knows nothing of what former ones have granted. It must
// be called before the first report to an issuer.
func (b *RetryBudget) Follow(now time.Time, issuer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.issuer == issuer {
		return
	}
	b.issuer = issuer
	if !now.Before(b.lentUntil) {
		return
	}
	if now.Before(b.restrainedUntil) {
		b.restraint = min(b.restraint, b.limit)
	} else {
		b.restraint = b.limit
	}
	b.restrainedUntil = b.lentUntil
}

// SetLimit sets the limit that was granted on the last report, the Usage of reportedAt.
func (b *RetryBudget) SetLimit(now, reportedAt time.Time, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit, b.granted, b.limitUntil = limit, b.reported, reportedAt.Add(limitValidFor)
	b.lentUntil = now.Add(maxDelay + reportValidFor + limitValidFor + b.Window)
}

// Usage returns this entry VM's usage, to be reported.
func (b *RetryBudget) Usage(now time.Time) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.reported = b.earned(now)
	return Usage{Requests: b.requests.sum(), Retries: len(b.retries), Earned: b.reported, Limit: b.currentLimit(now), Short: now.Before(b.short)}
}

// advance drops what has left the window.
func (b *RetryBudget) advance(now time.Time) {
	b.requests.advance(b.bucket(now))
	i := 0
	for i < len(b.retries) && now.Sub(b.retries[i]) >= b.Window {
		i++
	}
	b.retries = slices.Delete(b.retries, 0, i)
}

// earned returns the retries that this entry VM may send, or lend, without any grant.
func (b *RetryBudget) earned(now time.Time) float64 {
	e := b.Ratio*float64(b.requests.sum()) + b.slack
	if now.Before(b.restrainedUntil) {
		e = min(e, b.restraint)
	}
	return e
}

// currentLimit returns the number of retries allowed in a window. What was earned since a grant
// adds to it. After its end, what it has lent to others is still missing here.
func (b *RetryBudget) currentLimit(now time.Time) float64 {
	switch {
	case now.Before(b.limitUntil):
		return b.limit + max(0, b.earned(now)-b.granted)
	case now.Before(b.lentUntil):
		return min(b.earned(now), b.limit)
	default:
		return b.earned(now)
	}
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
	b.retries = append(b.retries, now)
	return true
}

// Available reports whether the budget currently allows a retry, without counting one.
func (b *RetryBudget) Available(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.canRetry(now, 1)
}

func (b *RetryBudget) canRetry(now time.Time, n int) bool {
	b.advance(now)
	if float64(len(b.retries)+n) <= b.currentLimit(now) {
		return true
	}
	b.short = now.Add(shortFor)
	if b.OnShort != nil {
		b.OnShort()
	}
	return false
}

// Refund returns the most recent retry to the budget, for one that did not reach a server.
func (b *RetryBudget) Refund(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if n := len(b.retries); n > 0 {
		b.retries = b.retries[:n-1]
	}
}
