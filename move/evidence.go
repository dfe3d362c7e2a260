package move

import (
	"fmt"
	"math"
	"slices"
	"time"

	"quetzalhold/engine"
)

// Route names a route. Only requests of the same route are compared.
type Route string

// Count is the number of requests of one version on one route and server that ended
// in some period, and their outcomes. Counts of different entry VMs can be added.
type Count struct {
	Route  Route           `json:"route"`
	Server engine.ServerID `json:"server"`
	New    bool            `json:"new"`    // whether they are of the new version
	N      int             `json:"n"`      // requests
	Failed int             `json:"failed"` // the engine answered with a failure
	Slow   int             `json:"slow"`   // slower than most requests of the old version on the route
	// Before is set for requests of the old version from before the move, which tell only how often
	// it fails. They are listed apart from the others.
	Before bool `json:"-"`
}

// Evidence tests the new version of a move against the old one, with requests of the
// same time and route, by cumulative sums of log-likelihood ratios ([Page's test]):
// one sum for failures and one for slowness on each route. It raises an alarm as soon
// as a sum reaches a threshold. Over n requests of a version as good as the old one,
// the probability that a sum reaches it is at most n*falseAlarm.
//
// A fault of a single server is not attributed to the version: the sum without the
// worst server must reach half of the threshold. If all requests went to one server,
// the sum must reach twice the threshold. The zero value is ready to use.
//
// [Page's test]: https://en.wikipedia.org/wiki/CUSUM
type Evidence struct {
	// Pooled tests all routes together and does not require the evidence to come
	// from several servers. Measurements use it as the baseline.
	Pooled bool

	routes map[Route]*routeEvidence
	alarm  Alarm
}

// routeEvidence is the evidence of one route.
type routeEvidence struct {
	old         rates
	before      rates // of the old version before the move
	newRequests int
	failed      sums
	slow        sums
	newFailed   int
	newSlow     int
	newTallies  map[engine.ServerID]tally // by slowness
	failTallies map[engine.ServerID]tally // by failures
	block       block
}

// block counts requests of both versions at about the same time. Slowness is tested
// block by block, since a load peak or a slow network slows both versions.
type block struct {
	startedAt     time.Time
	oldN, oldSlow int
	newTallies    map[engine.ServerID]tally
}

// tally is a number of requests and how many of them failed or were slow.
type tally struct{ n, hits int }

// rates holds the old version's request, failure and slowness counts, in which older
// requests have less weight.
type rates struct {
	n, failed, slow float64
}

// sums holds the cumulative sums of one test: of all servers, and of all servers
// except each one.
type sums struct {
	all     float64
	without map[engine.ServerID]float64
}

// The parameters of the test.
const (
	// falseAlarm is the bound on the probability that a request of a good version
	// raises an alarm.
	falseAlarm = 1e-6
	// oldWindow is the number of requests that the old version's rates cover.
	oldWindow = 400
	// minServers is the number of servers from which on the test can leave out the
	// worst one.
	minServers = 2
	// The failure rate of a bad version, and the least one assumed of the old
	// version.
	badFailRate, minFailRate = 0.30, 0.01
	// The excess of a bad version's rate of slow requests over the old version's,
	// and the bounds of the rate assumed of the old version.
	slowExcess, minSlowRate, maxSlowRate = 0.35, 0.12, 0.5
	// blockOldRequests is the number of requests of the old version that complete
	// a block.
	blockOldRequests = 8
	// maxBlockTime is the maximum duration of a block.
	maxBlockTime = 45 * time.Second
	// maxNewPerOld is how many requests of the new version count fully in a block
	// per request of the old version; more are scaled down.
	maxNewPerOld = 3
	// maxCount is the highest number of requests in one count.
	maxCount = 1e7
	// The requests of the new version required for a step, in all and on each
	// route.
	minStepRequests, minRouteRequests = 40, 6
	// minLimitedRequests is the number of requests of the new version required to
	// raise or finish a limited move. A higher number would be out of reach: with the
	// bound on its share, a slow service gets few more in a minute.
	minLimitedRequests = 16
	// doubtLimit is the probability below which so many slow requests are not
	// attributed to chance when a limited move is raised or finished, and
	// minDoubtRate the least rate assumed of the old version.
	doubtLimit, minDoubtRate = 0.05, 0.05
	// minDoubtSlow is the number of slow requests below which there is no doubt.
	minDoubtSlow = 3
)

var threshold = -math.Log(falseAlarm)

// Add adds counts that were reported at now. It ignores malformed ones.
func (e *Evidence) Add(now time.Time, counts []Count) {
	if e.routes == nil {
		e.routes = make(map[Route]*routeEvidence)
	}
	for _, c := range counts {
		if c.N <= 0 || c.N > maxCount || c.Failed < 0 || c.Slow < 0 || c.Failed > c.N || c.Slow > c.N {
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
	if c.Before {
		r.before.add(c)
		return
	}
	if now.Sub(r.block.startedAt) > maxBlockTime {
		// Over such a time the two versions may have met different conditions.
		r.block = block{startedAt: now}
	}
	if !c.New {
		r.old.add(c)
		r.block.oldN += c.N
		r.block.oldSlow += c.Slow
		if r.block.oldN >= blockOldRequests {
			e.closeBlock(now, route, r)
		}
		return
	}
	r.newRequests += c.N
	r.newFailed += c.Failed
	r.newSlow += c.Slow
	addTally(&r.newTallies, c, c.Slow)
	addTally(&r.failTallies, c, c.Failed)
	addTally(&r.block.newTallies, c, c.Slow)
	known := r.oldAnswers()
	p0 := max(minFailRate, r.old.failRate(), known.failRate())
	r.failed.add(c.Server, 1, tally{c.N, c.Failed}, p0, max(badFailRate, 2*p0))
	e.checkAlarm(route, "failures", r.failed, r)
}

// addTally adds the requests of c, and some hits among them, to the tally of its server.
func addTally(all *map[engine.ServerID]tally, c Count, hits int) {
	if *all == nil {
		*all = make(map[engine.ServerID]tally)
	}
	t := (*all)[c.Server]
	t.n += c.N
	t.hits += hits
	(*all)[c.Server] = t
}

// closeBlock ends the current block and compares the slowness of both versions in
// it. It ignores the block if the old version was mostly slow too.
func (e *Evidence) closeBlock(now time.Time, route Route, r *routeEvidence) {
	b := r.block
	r.block = block{startedAt: now}
	// The few requests of the old version give only a rough estimate of its rate:
	// the estimate is biased upwards, and the weight of the new version's requests
	// is limited to a few times their number.
	blockRate := (float64(b.oldSlow) + 1.5) / (float64(b.oldN) + 2)
	p0 := max(minSlowRate, r.old.slowRate(), blockRate)
	if p0 > maxSlowRate {
		return
	}
	total := 0
	for _, t := range b.newTallies {
		total += t.n
	}
	weight := min(1, maxNewPerOld*float64(b.oldN)/float64(max(total, 1)))
	for server, t := range b.newTallies {
		r.slow.add(server, weight, t, p0, p0+slowExcess)
	}
	e.checkAlarm(route, "slowness", r.slow, r)
}

func (o *rates) add(c Count) {
	o.n += float64(c.N)
	o.failed += float64(c.Failed)
	o.slow += float64(c.Slow)
	if o.n > oldWindow {
		f := oldWindow / o.n
		o.n, o.failed, o.slow = o.n*f, o.failed*f, o.slow*f
	}
}

// failRate and slowRate return estimates that are biased towards the rates of a good
// version while there are few requests.
func (o *rates) failRate() float64 { return (o.failed + 0.2) / (o.n + 20) }
func (o *rates) slowRate() float64 { return (o.slow + 2) / (o.n + 20) }

// add adds the log-likelihood ratio of a tally, for rate p1 against p0, times weight.
func (s *sums) add(server engine.ServerID, weight float64, t tally, p0, p1 float64) {
	if s.without == nil {
		s.without = make(map[engine.ServerID]float64)
	}
	if _, ok := s.without[server]; !ok {
		// None of the requests so far were of this server.
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

// withoutWorst returns the sum without the server that contributes most to it.
func (s *sums) withoutWorst() float64 {
	least := s.all
	for _, sum := range s.without {
		least = min(least, sum)
	}
	return least
}

// Alarm is an alarm of the test.
type Alarm struct {
	Raised  bool
	Route   Route
	Measure string  // "failures" or "slowness"
	Sum     float64 // cumulative sum of log-likelihood ratios
	New     int     // requests of the new version on the route
	Hits    int     // those of them that failed or were slow
}

// String returns a description for operators.
func (v Alarm) String() string {
	return fmt.Sprintf("%s on route %q: %d of %d requests, log-likelihood ratio %.1f of %.1f",
		v.Measure, v.Route, v.Hits, v.New, v.Sum, threshold)
}

// checkAlarm records an alarm if s reaches the threshold and there was none yet.
func (e *Evidence) checkAlarm(route Route, measure string, s sums, r *routeEvidence) {
	if e.alarm.Raised || s.all < threshold {
		return
	}
	if !e.Pooled {
		fewServers := len(s.without) < minServers && s.all < 2*threshold
		singleServer := len(s.without) >= minServers && s.withoutWorst() < threshold/2
		if fewServers || singleServer {
			return
		}
	}
	hits := r.newFailed
	if measure == "slowness" {
		hits = r.newSlow
	}
	e.alarm = Alarm{Raised: true, Route: route, Measure: measure, Sum: s.all, New: r.newRequests, Hits: hits}
}

// Alarm returns the first alarm. Its field Raised is false if there was none.
func (e *Evidence) Alarm() Alarm { return e.alarm }

// Enough reports whether the new version has answered enough requests for a larger
// share, in all and on each route with traffic of the old version. If ignoreRoutes,
// the routes are not checked.
func (e *Evidence) Enough(ignoreRoutes bool) bool {
	total := 0
	for _, r := range e.routes {
		total += r.newRequests
		enough := r.newRequests >= minRouteRequests || r.old.n < minRouteRequests
		if !enough && !ignoreRoutes {
			return false
		}
	}
	return total >= minStepRequests
}

// EnoughLimited reports whether the new version has answered enough requests for a
// limited move to be raised or finished.
func (e *Evidence) EnoughLimited() bool {
	total := 0
	for _, r := range e.routes {
		total += r.newRequests
	}
	return total >= minLimitedRequests
}

// Doubt returns a description of the slowness of the new version, on all routes together
// or on one of them, or of its failures on a route, if they would be improbable in a version as good as
// the old one; empty if they would not be. Alarms take many requests, since they are tested for after
// each; Doubt is for the few decisions that give the new version a larger share.
func (e *Evidence) Doubt() string {
	all := make([]*routeEvidence, 0, len(e.routes))
	for name, r := range e.routes {
		if slowByChance(r) < doubtLimit {
			return fmt.Sprintf("slowness on route %q: %d of %d requests", name, r.newSlow, r.newRequests)
		}
		if r.failsMore(len(e.routes), endOdds) {
			return r.describeFailures(name)
		}
		all = append(all, r)
	}
	if slowByChance(all...) < doubtLimit {
		return "slowness on all routes together: " + e.Summary()
	}
	return ""
}

// Bad returns a description of the failures of the new version on a route if they leave hardly any doubt that it is worse
// than the old one; empty if they do not.
func (e *Evidence) Bad() string {
	for name, r := range e.routes {
		if r.failsMore(len(e.routes), earlyOdds) {
			return r.describeFailures(name)
		}
	}
	return ""
}

// Open reports whether a few more answers may well change what the failures of the new version tell.
func (e *Evidence) Open() bool {
	for _, r := range e.routes {
		if odds := r.badOdds(len(e.routes)); r.newFailed >= minDoubtFailed && math.Abs(odds-math.Log(endOdds)) < math.Log(openOdds) {
			return true
		}
	}
	return false
}

func (r *routeEvidence) describeFailures(name Route) string {
	old := r.oldAnswers()
	return fmt.Sprintf("failures on route %q: %d of %d requests, %.0f of %.0f of the old version", name, r.newFailed, r.newRequests, old.failed, old.n)
}

// The limits of doubt about failures.
const (
	// endOdds are the odds against a version from which on a limited move is not finished, and earlyOdds those
	// from which on it is rolled back before its end.
	endOdds, earlyOdds = 0.02, 20
	// openOdds is the factor by which the odds must differ from endOdds for a decision before the last one.
	openOdds = 10
	// chanceLimit is the probability below which so many failures, on one of all routes, are not attributed to chance.
	chanceLimit = 0.02
	// minDoubtFailed is the number of failures, and minDoubtExcess the excess of their part over the old
	// version's, below which there is no doubt.
	minDoubtFailed, minDoubtExcess = 3, 0.1
)

// oldAnswers returns the answers of the old version during the move and before.
func (r *routeEvidence) oldAnswers() rates {
	return rates{n: r.before.n + r.old.n, failed: r.before.failed + r.old.failed}
}

// failsMore reports whether the new version fails more often than the old one, with odds of limit or more, and more
// often than by chance on one of so many routes.
func (r *routeEvidence) failsMore(routes int, limit float64) bool {
	old := r.oldAnswers()
	return r.newFailed >= minDoubtFailed && float64(r.newFailed) >= (old.failRate()+minDoubtExcess)*float64(r.newRequests) &&
		r.badOdds(routes) >= math.Log(limit) && failuresByChance(tally{r.newRequests, r.newFailed}, old) < chanceLimit/float64(routes)
}

// slowByChance returns the probability of as many slow requests as the new version had
// on some routes if it were as good as the old one, without the server that has the most
// slow ones if there are several: a fault of a single server is not attributed to the
// version. It is 1 if there are hardly any, or if their part is below minSlowRate: with many
// requests, a small difference is no chance but no fault either.
func slowByChance(routes ...*routeEvidence) float64 {
	type slowness struct {
		n, hits  int
		expected float64
	}
	servers := make(map[engine.ServerID]slowness)
	var sum, worst slowness
	for _, r := range routes {
		p0 := max(minDoubtRate, r.old.slowRate())
		for id, t := range r.newTallies {
			s := servers[id]
			s.n += t.n
			s.hits += t.hits
			s.expected += p0 * float64(t.n)
			servers[id] = s
		}
	}
	for _, s := range servers {
		sum.n += s.n
		sum.hits += s.hits
		sum.expected += s.expected
		if s.hits > worst.hits || s.hits == worst.hits && s.expected < worst.expected {
			worst = s
		}
	}
	if len(servers) >= minServers {
		sum.n -= worst.n
		sum.hits -= worst.hits
		sum.expected -= worst.expected
	}
	if sum.hits < minDoubtSlow || float64(sum.hits) < minSlowRate*float64(sum.n) {
		return 1
	}
	return poissonTail(sum.expected, sum.hits)
}

// poissonTail returns the probability that a Poisson variable is k or more.
func poissonTail(mean float64, k int) float64 {
	tail, p := 1.0, math.Exp(-mean)
	for i := range k {
		tail -= p
		p *= mean / float64(i+1)
	}
	return max(0, tail)
}

// Summary returns a description of the evidence for operators.
func (e *Evidence) Summary() string {
	names := make([]Route, 0, len(e.routes))
	for n := range e.routes {
		names = append(names, n)
	}
	slices.Sort(names)
	s := ""
	for _, n := range names {
		r := e.routes[n]
		s += fmt.Sprintf("%s: %d requests, %d failed, %d slow; ", n, r.newRequests, r.newFailed, r.newSlow)
	}
	return s
}

// SlowDetector detects slow requests: those clearly slower than most recent requests
// of the old version on the same route. The zero value is ready to use and reports
// none as slow until it has enough samples.
type SlowDetector struct {
	routes map[Route]*latencyWindow
	all    latencyWindow
}

// latencyWindow holds the old version's most recent latencies on a route, in ring
// buffers.
type latencyWindow struct {
	first, gap  []time.Duration
	next        int
	sinceUpdate int // samples since limits were computed
	limits      latencyLimits
}

// latencyLimits are the latencies above which a request is slow: of the first event
// and of the gap between events.
type latencyLimits struct{ first, gap time.Duration }

// The parameters of the detection of slow requests.
const (
	latencyWindowSize = 128
	minLatencies      = 16
	updateEvery       = 8
	slowQuantile      = 0.9
	// slowMargin allows for the sampling error of the quantile.
	slowMargin = 1.25
)

// Observe adds the latencies of a request of the old version.
func (s *SlowDetector) Observe(r Route, first, gap time.Duration) {
	if s.routes == nil {
		s.routes = make(map[Route]*latencyWindow)
	}
	w := s.routes[r]
	if w == nil {
		w = &latencyWindow{}
		s.routes[r] = w
	}
	w.add(first, gap)
	s.all.add(first, gap)
}

func (w *latencyWindow) add(first, gap time.Duration) {
	if len(w.first) < latencyWindowSize {
		w.first = append(w.first, first)
		w.gap = append(w.gap, gap)
	} else {
		w.first[w.next], w.gap[w.next] = first, gap
		w.next = (w.next + 1) % latencyWindowSize
	}
	if w.sinceUpdate++; w.sinceUpdate >= updateEvery {
		w.sinceUpdate = 0
		w.limits = latencyLimits{first: slowThreshold(w.first), gap: slowThreshold(w.gap)}
	}
}

// IsSlow reports whether a request is slow, compared with its route or, if that has
// too few samples, with all routes.
func (s *SlowDetector) IsSlow(r Route, first, gap time.Duration) bool {
	limits, ok := s.limits(r)
	return ok && (first > limits.first || gap > limits.gap)
}

// Limit returns the time to the first event above which a request of a route is slow; false if there are too few
// samples.
func (s *SlowDetector) Limit(r Route) (time.Duration, bool) {
	limits, ok := s.limits(r)
	return limits.first, ok
}

func (s *SlowDetector) limits(r Route) (latencyLimits, bool) {
	w := s.routes[r]
	if w == nil || len(w.first) < minLatencies {
		w = &s.all
	}
	return w.limits, len(w.first) >= minLatencies
}

func slowThreshold(all []time.Duration) time.Duration {
	sorted := slices.Clone(all)
	slices.Sort(sorted)
	return time.Duration(slowMargin * float64(sorted[int(slowQuantile*float64(len(sorted)-1))]))
}
