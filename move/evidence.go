package move

import (
	"fmt"
	"math"
	"slices"
	"time"

	"quetzalhold/engine"
)

// Route names a route whose requests are compared with each other.
type Route string

// Count is how many requests of one version on one route and server ended in
// some time, and how. Counts of different entry VMs add up.
type Count struct {
	Route  Route           `json:"route"`
	Server engine.ServerID `json:"server"`
	New    bool            `json:"new"`    // of the new version
	N      int             `json:"n"`      // requests
	Failed int             `json:"failed"` // the engine answered with a failure
	Slow   int             `json:"slow"`   // slower than most of the old version's on the route
}

// Evidence tests the new version of a move against the old one, at the same
// time on the same route, by cumulative sums of log-likelihood ratios
// ([Page's test]): one for failures and one for slowness on each route. It says
// "bad" as soon as a sum passes a threshold; over n requests of a version as
// good as the old one, a sum passes it with a chance of at most n*falseAlarm.
//
// A fault that sits on one server is the server's: what servers other than the
// worst showed must carry half of the threshold. The zero value has seen nothing.
//
// [Page's test]: https://en.wikipedia.org/wiki/CUSUM
type Evidence struct {
	// Pooled tests all routes as one and does not ask about servers; it is the
	// baseline of measurements.
	Pooled bool

	routes map[Route]*routeEvidence
	worst  Alarm
}

// routeEvidence is what one route showed.
type routeEvidence struct {
	old       rates
	newN      int
	failed    sums
	slow      sums
	newFailed int
	newSlow   int
	block     block
}

// block is requests of both versions at about the same time. Slowness is judged
// block by block, since a peak or a slow network makes both versions slow.
type block struct {
	begin         time.Time
	oldN, oldSlow int
	news          map[engine.ServerID]tally
}

// tally is requests and how many of them failed or were slow.
type tally struct{ n, hits int }

// rates is what the old version shows, older requests counting less.
type rates struct {
	n, failed, slow float64
}

// sums is a test's sums: of all servers, and of all but each one.
type sums struct {
	all     float64
	without map[engine.ServerID]float64
}

// The measures of the test.
const (
	// falseAlarm is the chance that one request of a good version raises the
	// alarm.
	falseAlarm = 1e-6
	// oldMemory is the number of the old version's requests that count.
	oldMemory = 400
	// minServers is the number of servers whose word is enough.
	minServers = 2
	// The failure rate that counts as bad, and the least taken for the old.
	badFailed, leastFailed = 0.30, 0.01
	// How much more often than the old version a bad one is slow, and the
	// bounds of what is taken for the old.
	badSlower, leastSlow, mostSlow = 0.35, 0.12, 0.5
	// blockOld is the number of the old version's requests in a block.
	blockOld = 8
	// blockLimit is the longest time of a block.
	blockLimit = 45 * time.Second
	// newForOld is for how many of the new version's requests one of the old
	// version's weighs in a block.
	newForOld = 3
	// enoughRequests of the new version, and on each route, make a step.
	enoughRequests, enoughOnRoute = 40, 6
	// shownRequests of the new version are enough to end a limited move as good: the
	// bound on its share brings few more to a slow service in a minute.
	shownRequests = 16
)

var threshold = -math.Log(falseAlarm)

// Add takes over counts at now.
func (e *Evidence) Add(now time.Time, counts []Count) {
	if e.routes == nil {
		e.routes = make(map[Route]*routeEvidence)
	}
	for _, c := range counts {
		if c.N <= 0 || c.Failed < 0 || c.Slow < 0 || c.Failed > c.N || c.Slow > c.N {
			continue
		}
		e.add(now, c)
	}
}

func (e *Evidence) add(now time.Time, c Count) {
	route := c.Route
	if e.Pooled {
		route = ""
	}
	r := e.routes[route]
	if r == nil {
		r = &routeEvidence{}
		e.routes[route] = r
	}
	if now.Sub(r.block.begin) > blockLimit {
		// Too long for both versions to have met the same conditions.
		r.block = block{begin: now}
	}
	if !c.New {
		r.old.add(c)
		r.block.oldN += c.N
		r.block.oldSlow += c.Slow
		if r.block.oldN >= blockOld {
			e.endBlock(now, route, r)
		}
		return
	}
	r.newN += c.N
	r.newFailed += c.Failed
	r.newSlow += c.Slow
	r.block.add(c)
	p0 := max(leastFailed, r.old.failRate())
	r.failed.add(c.Server, 1, tally{c.N, c.Failed}, p0, max(badFailed, 2*p0))
	e.judge(route, "failures", r.failed, r)
}

func (b *block) add(c Count) {
	if b.news == nil {
		b.news = make(map[engine.ServerID]tally)
	}
	t := b.news[c.Server]
	t.n += c.N
	t.hits += c.Slow
	b.news[c.Server] = t
}

// endBlock compares the slowness of both versions in a block. Where the old one
// was mostly slow itself, the block says nothing.
func (e *Evidence) endBlock(now time.Time, route Route, r *routeEvidence) {
	b := r.block
	r.block = block{begin: now}
	// A few of the old version's requests are a rough measure: their rate is
	// taken high, and they weigh for a few times as many of the new version's.
	here := (float64(b.oldSlow) + 1.5) / (float64(b.oldN) + 2)
	p0 := max(leastSlow, r.old.slowRate(), here)
	if p0 > mostSlow {
		return
	}
	total := 0
	for _, t := range b.news {
		total += t.n
	}
	weight := min(1, newForOld*float64(b.oldN)/float64(max(total, 1)))
	for server, t := range b.news {
		r.slow.add(server, weight, t, p0, p0+badSlower)
	}
	e.judge(route, "slowness", r.slow, r)
}

func (o *rates) add(c Count) {
	o.n += float64(c.N)
	o.failed += float64(c.Failed)
	o.slow += float64(c.Slow)
	if o.n > oldMemory {
		f := oldMemory / o.n
		o.n, o.failed, o.slow = o.n*f, o.failed*f, o.slow*f
	}
}

// failRate and slowRate lean towards what a good version shows while little was
// seen.
func (o *rates) failRate() float64 { return (o.failed + 0.2) / (o.n + 20) }
func (o *rates) slowRate() float64 { return (o.slow + 2) / (o.n + 20) }

// add adds a tally's log-likelihood ratios, rate p1 against p0, times weight.
func (s *sums) add(server engine.ServerID, weight float64, t tally, p0, p1 float64) {
	if s.without == nil {
		s.without = make(map[engine.ServerID]float64)
	}
	if _, ok := s.without[server]; !ok {
		// Nothing so far was this server's.
		s.without[server] = s.all
	}
	ratio := weight * (float64(t.hits)*math.Log(p1/p0) + float64(t.n-t.hits)*math.Log((1-p1)/(1-p0)))
	s.all = max(0, s.all+ratio)
	for other, sum := range s.without {
		if other != server {
			s.without[other] = max(0, sum+ratio)
		}
	}
}

// withoutWorst returns the sum without the server that carries most of it.
func (s *sums) withoutWorst() float64 {
	least := s.all
	for _, sum := range s.without {
		least = min(least, sum)
	}
	return least
}

// Alarm is what the test says.
type Alarm struct {
	Raised   bool
	Route Route
	Measure    string  // failures or slowness
	Sum   float64 // of log-likelihood ratios
	New   int     // requests of the new version on the route
	Hits  int     // of them failed or slow
}

// String describes the verdict to people.
func (v Alarm) String() string {
	return fmt.Sprintf("%s on route %q: %d of %d requests, log-likelihood ratio %.1f of %.1f",
		v.Measure, v.Route, v.Hits, v.New, v.Sum, threshold)
}

// judge keeps the first alarm.
func (e *Evidence) judge(route Route, by string, s sums, r *routeEvidence) {
	if e.worst.Raised || s.all < threshold {
		return
	}
	if !e.Pooled {
		alone := len(s.without) < minServers && s.all < 2*threshold
		oneServers := len(s.without) >= minServers && s.withoutWorst() < threshold/2
		if alone || oneServers {
			return
		}
	}
	hits := r.newFailed
	if by == "slowness" {
		hits = r.newSlow
	}
	e.worst = Alarm{Raised: true, Route: route, Measure: by, Sum: s.all, New: r.newN, Hits: hits}
}

// Alarm returns the first alarm; its Bad is false if there was none.
func (e *Evidence) Alarm() Alarm { return e.worst }

// Enough reports whether the new version has shown itself enough for a larger
// share: in all, and on each route that has traffic unless patience is out.
func (e *Evidence) Enough(outOfPatience bool) bool {
	total := 0
	for _, r := range e.routes {
		total += r.newN
		seen := r.newN >= enoughOnRoute || r.old.n < enoughOnRoute
		if !seen && !outOfPatience {
			return false
		}
	}
	return total >= enoughRequests
}

// Shown reports whether the new version has answered enough requests for a limited
// move to go on.
func (e *Evidence) Shown() bool {
	total := 0
	for _, r := range e.routes {
		total += r.newN
	}
	return total >= shownRequests
}

// Summary describes the evidence to people.
func (e *Evidence) Summary() string {
	names := make([]Route, 0, len(e.routes))
	for n := range e.routes {
		names = append(names, n)
	}
	slices.Sort(names)
	s := ""
	for _, n := range names {
		r := e.routes[n]
		s += fmt.Sprintf("%s: %d requests, %d failed, %d slow; ", n, r.newN, r.newFailed, r.newSlow)
	}
	return s
}

// SlowDetector tells which requests are slow: clearly slower than most of the old
// version's lately on the same route. The zero value finds none slow until it has
// seen enough.
type SlowDetector struct {
	routes map[Route]*speedWindow
	all    speedWindow
}

// speedWindow holds the old version's latest times on a route.
type speedWindow struct {
	first, gap []time.Duration
	at         int
	stale      int // times since the limits were found
	limits     speedLimits
}

// speedLimits are the times above which a request is slow.
type speedLimits struct{ first, gap time.Duration }

// The measures of Speed.
const (
	speedWindowSize = 128
	speedLeast      = 16
	speedStale      = 8
	slowQuantile    = 0.9
	// slowMargin keeps the sampling error of the quantile from counting.
	slowMargin = 1.25
)

// Observe notes the times of a request of the old version.
func (s *SlowDetector) Observe(r Route, first, gap time.Duration) {
	if s.routes == nil {
		s.routes = make(map[Route]*speedWindow)
	}
	w := s.routes[r]
	if w == nil {
		w = &speedWindow{}
		s.routes[r] = w
	}
	w.add(first, gap)
	s.all.add(first, gap)
}

func (w *speedWindow) add(first, gap time.Duration) {
	if len(w.first) < speedWindowSize {
		w.first = append(w.first, first)
		w.gap = append(w.gap, gap)
	} else {
		w.first[w.at], w.gap[w.at] = first, gap
		w.at = (w.at + 1) % speedWindowSize
	}
	if w.stale++; w.stale >= speedStale {
		w.stale = 0
		w.limits = speedLimits{first: slowLimit(w.first), gap: slowLimit(w.gap)}
	}
}

// IsSlow reports whether a request is slow: on its route or, where that has shown
// too little, compared with all routes.
func (s *SlowDetector) IsSlow(r Route, first, gap time.Duration) bool {
	w := s.routes[r]
	if w == nil || len(w.first) < speedLeast {
		w = &s.all
	}
	if len(w.first) < speedLeast {
		return false
	}
	return first > w.limits.first || gap > w.limits.gap
}

func slowLimit(all []time.Duration) time.Duration {
	sorted := slices.Clone(all)
	slices.Sort(sorted)
	return time.Duration(slowMargin * float64(sorted[int(slowQuantile*float64(len(sorted)-1))]))
}
