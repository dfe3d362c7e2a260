package measure

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"quetzalhold/engine"
	"quetzalhold/move"
)

// moveCase is a simulated version move, with the behaviour of its new version, its
// engines, its entry VMs and its platform.
type moveCase struct {
	name   string
	good   bool // the new version is as good as the old one
	length time.Duration
	rate   float64 // requests per second

	// degrade returns the effect of a bad version on a request; nil if the version
	// is good.
	degrade func(at time.Duration, share float64, r move.Route) degradation
	// dead maps servers of the new version to the time at which they die. Their
	// requests in flight are resumed on other servers, late.
	dead map[int]time.Duration
	// peak returns a factor on the latencies of both versions; nil for none.
	peak func(at time.Duration) float64
	// slowServer is a server of the new version that is overloaded, and
	// badServer one that fails most of its requests; -1 for none.
	slowServer, badServer int
	// partitioned is when entry VM 2 is cut off from the others, outage when the
	// platform is down, and paused when the holder of the move's lease is paused.
	partitioned, outage, paused interval
	// mustRollBack says that the move cannot finish in time although the version is
	// good, so it has to be rolled back.
	mustRollBack bool
}

// interval is a period of a move: from is included, to is not.
type interval struct{ from, to time.Duration }

func (s interval) contains(at time.Duration) bool { return at >= s.from && at < s.to }

// degradation is the effect of a bad version on a request.
type degradation struct {
	failureChance float64 // added probability that the request fails
	slowdown      float64 // factor on its latencies; 0 for none
}

// The routes of a move with their shares of the traffic.
var moveRoutes = []struct {
	name  move.Route
	share float64
}{{"summaries", 0.80}, {"reports", 0.17}, {"letters", 0.03}}

const (
	moveLength  = 10 * time.Minute
	moveRate    = 20.0
	moveServers = 6 // of each version
	moveEntries = 3
	tick        = time.Second
	// baseFails is the probability that a request to a good version fails.
	baseFails = 0.002
	// serverFails is the probability that a request to a bad server fails.
	serverFails = 0.8
	baseFirst   = 300 * time.Millisecond
	baseGap     = 30 * time.Millisecond
	// timeSpread is the standard deviation of the logarithm of latencies.
	timeSpread = 0.35
)

// moveCases returns the fixed set of cases.
func moveCases() []moveCase {
	always := func(e degradation) func(time.Duration, float64, move.Route) degradation {
		return func(time.Duration, float64, move.Route) degradation { return e }
	}
	onRoute := func(name move.Route, e degradation) func(time.Duration, float64, move.Route) degradation {
		return func(_ time.Duration, _ float64, r move.Route) degradation {
			if r == name {
				return e
			}
			return degradation{}
		}
	}
	peak := func(at time.Duration) float64 {
		if at > 3*time.Minute && at < 7*time.Minute {
			return 3
		}
		return 1
	}
	cases := []moveCase{
		{name: "good", good: true},
		{name: "good, engines die", good: true, dead: map[int]time.Duration{0: time.Minute, 1: 4 * time.Minute, 2: 8 * time.Minute}},
		{name: "good, a server overloaded", good: true, slowServer: 0, badServer: -1},
		{name: "good, a server fails", good: true, slowServer: -1, badServer: 0},
		{name: "good, a domain cut off", good: true, partitioned: interval{2 * time.Minute, 5 * time.Minute}},
		{name: "good, under a peak", good: true, peak: peak},
		{name: "good, holder paused over its lease", good: true, paused: interval{2 * time.Minute, 4 * time.Minute}},
		{name: "good, platform down over the end", good: true, mustRollBack: true, outage: interval{9 * time.Minute, 12 * time.Minute}},
		{name: "fails at once", degrade: always(degradation{failureChance: 0.5})},
		{name: "slow at once", degrade: always(degradation{slowdown: 2})},
		{name: "fails later", degrade: func(at time.Duration, _ float64, _ move.Route) degradation {
			if at > 7*time.Minute {
				return degradation{failureChance: 0.5}
			}
			return degradation{}
		}},
		{name: "fails after an hour", length: 90 * time.Minute, rate: 5, degrade: func(at time.Duration, _ float64, _ move.Route) degradation {
			if at > time.Hour {
				return degradation{failureChance: 0.5}
			}
			return degradation{}
		}},
		{name: "slow under load", degrade: func(_ time.Duration, share float64, _ move.Route) degradation {
			return degradation{slowdown: 1 + 1.5*share}
		}},
		{name: "fails on one route", degrade: onRoute("reports", degradation{failureChance: 0.5})},
		{name: "fails on the lowest-traffic route", degrade: onRoute("letters", degradation{failureChance: 0.7})},
	}
	for i := range cases {
		c := &cases[i]
		if c.length == 0 {
			c.length = moveLength
		}
		if c.rate == 0 {
			c.rate = moveRate
		}
		if c.slowServer == 0 && c.badServer == 0 {
			c.slowServer, c.badServer = -1, -1
		}
	}
	return cases
}

// Tester is a method of evaluating a new version.
type Tester struct {
	Name string
	// newEvaluator returns an evaluator without evidence.
	newEvaluator func() evaluator
}

// evaluator collects request counts and decides about a move.
type evaluator interface {
	Add(time.Time, []move.Count)
	Decide(p *move.Plan, now time.Time) move.Decision
	Bad() bool
}

// evidenceEvaluator is this system's evaluator, or its pooled baseline.
type evidenceEvaluator struct{ e *move.Evidence }

// Add implements evaluator.
func (j evidenceEvaluator) Add(now time.Time, c []move.Count) { j.e.Add(now, c) }

// Decide implements evaluator.
func (j evidenceEvaluator) Decide(p *move.Plan, now time.Time) move.Decision {
	return p.Decide(now, j.e)
}

// Bad implements evaluator.
func (j evidenceEvaluator) Bad() bool { return j.e.Alarm().Raised }

// canaryEvaluator is the baseline with fixed thresholds over all requests.
type canaryEvaluator struct {
	evidence        *move.Evidence // used only to decide whether a step has enough requests
	n, failed, slow int
}

// The thresholds of the canary: the least number of requests and the largest shares
// of failed and slow ones.
const (
	canaryLeast  = 50
	canaryFailed = 0.05
	canarySlow   = 0.30
)

// Add implements evaluator.
func (j *canaryEvaluator) Add(now time.Time, counts []move.Count) {
	for _, c := range counts {
		if c.New {
			j.n += c.N
			j.failed += c.Failed
			j.slow += c.Slow
		}
		c.Failed, c.Slow = 0, 0
		j.evidence.Add(now, []move.Count{c})
	}
}

// Bad implements evaluator.
func (j *canaryEvaluator) Bad() bool {
	n := float64(j.n)
	return j.n >= canaryLeast && (float64(j.failed) > canaryFailed*n || float64(j.slow) > canarySlow*n)
}

// Decide implements evaluator.
func (j *canaryEvaluator) Decide(p *move.Plan, now time.Time) move.Decision {
	if j.Bad() {
		return move.Decision{Action: move.RollBack, Reason: move.WorseThanOld}
	}
	return p.Decide(now, j.evidence)
}

// Testers returns this system's method and the baselines.
func Testers() []Tester {
	return []Tester{
		{Name: "by route and server", newEvaluator: func() evaluator { return evidenceEvaluator{&move.Evidence{}} }},
		{Name: "pooled", newEvaluator: func() evaluator { return evidenceEvaluator{&move.Evidence{Pooled: true}} }},
		{Name: "fixed canary", newEvaluator: func() evaluator { return &canaryEvaluator{evidence: &move.Evidence{}} }},
	}
}

// MoveResult is the result of a tester for one case over all seeds.
type MoveResult struct {
	Tester        string        `json:"tester"`
	Case          string        `json:"case"`
	Correct       int           `json:"right"` // runs with the right outcome, of Seeds
	Seeds         int           `json:"seeds"`
	DetectionTime time.Duration `json:"verdict"`  // mean time from when the version turned bad until it was found bad
	Exposed       float64       `json:"met"`      // mean number of requests that the bad version served
	Share         float64       `json:"share"`    // mean share of the new version when it was found bad
	Early         time.Duration `json:"early"`    // mean time between the finish of a move and its limit
	ExposedLate   int           `json:"afterBad"` // requests that the bad version served later than 3 s after it was found bad
}

// Moves runs every case under each tester with the given number of seeds, starting
// at first.
func Moves(first uint64, seeds int) []MoveResult {
	var all []MoveResult
	for _, t := range Testers() {
		for _, c := range moveCases() {
			all = append(all, runCase(t, c, first, seeds))
		}
	}
	return all
}

// runCase runs one case under one tester with each seed.
func runCase(t Tester, c moveCase, first uint64, seeds int) MoveResult {
	r := MoveResult{Tester: t.Name, Case: c.name, Seeds: seeds}
	found := 0
	for seed := range seeds {
		s := newMoveRun(t, c, first+uint64(seed))
		s.run()
		if s.correct() {
			r.Correct++
		}
		r.ExposedLate += s.exposedLate
		r.Exposed += float64(s.exposed) / float64(seeds)
		if s.badAt > 0 {
			found++
			r.DetectionTime += s.badAt - s.turnedBad
			r.Share += s.shareAtBad
		}
		if s.plan.State == move.Finished {
			r.Early += c.length - s.endedAt
		}
	}
	if found > 0 {
		r.DetectionTime /= time.Duration(found)
		r.Share /= float64(found)
	}
	r.Early /= time.Duration(seeds)
	return r
}

// moveRun is the simulation of one move. It runs the real decisions of package move
// on simulated time and generated evidence.
type moveRun struct {
	c               moveCase
	r               *rand.Rand
	begin           time.Time
	holderEvaluator evaluator
	newEvaluator    func() evaluator
	plan            move.Plan

	knownPlans   [moveEntries]move.Plan // the plan as each entry VM last received it
	bad          [moveEntries]bool      // whether each entry VM knows that the version is bad
	speeds       [moveEntries]move.SlowDetector
	tickCounts   [moveEntries][]move.Count // counts of the current tick
	unsentCounts [moveEntries][]move.Count // counts not yet sent to the holder
	local        [moveEntries]evaluator    // evaluates each entry VM's own counts

	n           int           // requests so far, also the id of the latest
	exposed     int           // requests that the bad version served
	exposedLate int           // of these, later than 3 s after the version was found bad
	turnedBad   time.Duration // when the version first behaved badly; -1 if never
	badAt       time.Duration // when it was found bad by the holder or an entry VM that it can reach; 0 if never
	shareAtBad  float64
	endedAt     time.Duration
	wasPaused   bool
}

func newMoveRun(t Tester, c moveCase, seed uint64) *moveRun {
	begin := time.Unix(1_000_000, 0)
	s := &moveRun{c: c, r: rand.New(rand.NewPCG(seed, 99)), begin: begin, holderEvaluator: t.newEvaluator(), newEvaluator: t.newEvaluator, turnedBad: -1}
	s.plan = move.Plan{
		Deployment: "d", From: "v@1", To: "v@2", Start: begin, FinishBy: begin.Add(c.length), State: move.Started,
	}
	for i := range s.knownPlans {
		s.knownPlans[i] = s.plan
		s.local[i] = t.newEvaluator()
	}
	return s
}

// settleTime is how long a run continues after FinishBy.
const settleTime = 5 * time.Minute

func (s *moveRun) run() {
	for at := time.Duration(0); at < s.c.length+settleTime; at += tick {
		for range s.poisson(s.c.rate * tick.Seconds()) {
			s.request(at)
		}
		s.exchange(at)
		s.decide(at)
	}
}

// poisson draws a number of requests from a Poisson distribution.
func (s *moveRun) poisson(mean float64) int {
	limit, p, n := math.Exp(-mean), 1.0, 0
	for {
		p *= s.r.Float64()
		if p <= limit {
			return n
		}
		n++
	}
}

// route draws the route of a request.
func (s *moveRun) route() move.Route {
	x := s.r.Float64()
	for _, r := range moveRoutes {
		if x < r.share {
			return r.name
		}
		x -= r.share
	}
	return moveRoutes[0].name
}

// request simulates one request at a random entry VM.
func (s *moveRun) request(at time.Duration) {
	s.n++
	vm := s.r.IntN(moveEntries)
	now := s.begin.Add(at)
	route := s.route()
	plan := &s.knownPlans[vm]
	isNew := plan.Version(engine.RequestID(fmt.Sprint(s.n)), now, s.bad[vm]) == plan.To
	server := s.r.IntN(moveServers)
	c := move.Count{Route: route, New: isNew, N: 1, Server: engine.ServerID(fmt.Sprintf("%t-%d", isNew, server))}
	first, gap := s.times(baseFirst), s.times(baseGap)
	fails := baseFails
	if s.c.peak != nil {
		f := s.c.peak(at)
		first, gap = scale(first, f), scale(gap, f)
	}
	if isNew {
		e := s.degradeRequest(at, plan, route)
		fails += e.failureChance
		if e.slowdown > 0 {
			first, gap = scale(first, e.slowdown), scale(gap, e.slowdown)
		}
		if s.c.badServer == server {
			fails += serverFails
		}
		if s.c.slowServer == server {
			first, gap = scale(first, 4), scale(gap, 4)
		}
		if dead, ok := s.c.dead[server]; ok && at >= dead && at < dead+3*time.Second {
			// The request is resumed on another server: the death of the engine is no
			// failure of the version, but the request is late.
			first = scale(first, 4)
		}
	}
	if s.r.Float64() < fails {
		c.Failed = 1
	}
	if s.speeds[vm].IsSlow(route, first, gap) {
		c.Slow = 1
	}
	if !isNew {
		s.speeds[vm].Observe(route, first, gap)
	}
	s.tickCounts[vm] = append(s.tickCounts[vm], c)
}

// degradeRequest returns the effect of the new version on a request, and counts the
// request if the version is bad.
func (s *moveRun) degradeRequest(at time.Duration, plan *move.Plan, route move.Route) degradation {
	if s.c.degrade == nil {
		return degradation{}
	}
	share := plan.Share(s.begin.Add(at), false)
	e := s.c.degrade(at, share, route)
	if e.failureChance > 0 || e.slowdown > 1.3 {
		s.exposed++
		if s.turnedBad < 0 {
			s.turnedBad = at
		}
		if s.badAt > 0 && at > s.badAt+3*time.Second {
			s.exposedLate++
		}
	}
	return e
}

// times draws a latency around base.
func (s *moveRun) times(base time.Duration) time.Duration {
	return scale(base, math.Exp(timeSpread*s.r.NormFloat64()))
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// exchange sends the entry VMs' counts to the holder, and the plan and whether the
// version is bad to the entry VMs. Reachable entry VMs receive them within a tick.
func (s *moveRun) exchange(at time.Duration) {
	known := s.holderEvaluator.Bad()
	for i := range s.unsentCounts {
		s.local[i].Add(s.begin.Add(at), s.tickCounts[i])
		s.unsentCounts[i] = append(s.unsentCounts[i], s.tickCounts[i]...)
		s.tickCounts[i] = nil
		known = known || s.local[i].Bad() && !s.cutOff(i, at)
	}
	for i := range s.unsentCounts {
		s.bad[i] = s.bad[i] || s.local[i].Bad()
		if s.cutOff(i, at) {
			continue
		}
		s.holderEvaluator.Add(s.begin.Add(at), s.unsentCounts[i])
		s.unsentCounts[i] = nil
		s.bad[i] = s.bad[i] || known
		if !s.c.outage.contains(at) {
			s.knownPlans[i] = s.plan
		}
	}
	if (known || s.holderEvaluator.Bad()) && s.badAt == 0 {
		s.badAt = at
		s.shareAtBad = s.plan.Share(s.begin.Add(at), false)
	}
}

// cutOff reports whether an entry VM is cut off from the others.
func (s *moveRun) cutOff(vm int, at time.Duration) bool {
	return vm == 2 && s.c.partitioned.contains(at)
}

// decide makes the holder decide about the move and write the plan.
func (s *moveRun) decide(at time.Duration) {
	if s.plan.State != move.Started || s.c.outage.contains(at) {
		return
	}
	if s.c.paused.contains(at) {
		if !s.wasPaused {
			// The next holder starts without evidence once the lease has expired.
			s.holderEvaluator = s.newEvaluator()
			s.wasPaused = true
		}
		if at < s.c.paused.from+40*time.Second {
			return
		}
	}
	now := s.begin.Add(at)
	d := s.holderEvaluator.Decide(&s.plan, now)
	if s.anyBad() && d.Action != move.RollBack {
		d = move.Decision{Action: move.RollBack, Reason: move.WorseThanOld}
	}
	s.plan = s.plan.Apply(now, d)
	if s.plan.State != move.Started {
		s.endedAt = at
	}
}

// anyBad reports whether any entry VM knows that the version is bad.
func (s *moveRun) anyBad() bool {
	for _, b := range s.bad {
		if b {
			return true
		}
	}
	return false
}

// correct reports whether the move ended as the case requires, and in time.
func (s *moveRun) correct() bool {
	inTime := s.endedAt <= s.c.length || s.c.mustRollBack
	if s.c.good && !s.c.mustRollBack {
		return s.plan.State == move.Finished && inTime
	}
	return s.plan.State == move.RolledBack && inTime
}

// PrintMoves writes results as a table.
func PrintMoves(w io.Writer, all []MoveResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "TESTER\tCASE\tRIGHT\tVERDICT AFTER\tMET BAD VERSION\tSHARE THEN\tMET 3 s LATER\tBEFORE LIMIT")
	for _, r := range all {
		fmt.Fprintf(t, "%s\t%s\t%d/%d\t%s\t%.0f\t%.0f%%\t%d\t%s\n", r.Tester, r.Case, r.Correct, r.Seeds,
			r.DetectionTime.Round(time.Second), r.Exposed, 100*r.Share, r.ExposedLate, r.Early.Round(time.Second))
	}
	return t.Flush()
}
