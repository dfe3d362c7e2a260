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

// moveCase is a version move with what its new version, its engines and its
// platform do.
type moveCase struct {
	name   string
	good   bool // the version is as good as the old one
	length time.Duration
	rate   float64 // requests a second

	// bad says how a request of the new version ends where the version is bad.
	bad func(at time.Duration, share float64, r move.Route) ending
	// dead are new-version servers that are dead from a time on: requests that
	// they held go on elsewhere, late.
	dead map[int]time.Duration
	// peak multiplies everybody's times.
	peak func(at time.Duration) float64
	// slowServer is a server of the new version that is overloaded, and
	// badServer one that fails most of its requests; -1 for none.
	slowServer, badServer int
	// cut is when entry VM 2 is cut off, outage when the platform is down, and
	// paused when the holder is paused.
	cut, outage, paused span
	// back says that the move cannot finish in time although the version is
	// good: it has to be taken back.
	back bool
}

// span is a time between two instants of a move.
type span struct{ from, to time.Duration }

func (s span) has(at time.Duration) bool { return at >= s.from && at < s.to }

// ending is how a bad version changes a request.
type ending struct {
	fails float64 // chance
	slows float64 // factor on its times; 0 for none
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
	// baseFails is the chance that a request of a good version fails.
	baseFails = 0.002
	// serverFails is the chance that a request fails at a bad server.
	serverFails = 0.8
	baseFirst   = 300 * time.Millisecond
	baseGap     = 30 * time.Millisecond
	// spread of times, as the deviation of their logarithm.
	timeSpread = 0.35
)

// moveCases is the fixed set of cases.
func moveCases() []moveCase {
	always := func(e ending) func(time.Duration, float64, move.Route) ending {
		return func(time.Duration, float64, move.Route) ending { return e }
	}
	onRoute := func(name move.Route, e ending) func(time.Duration, float64, move.Route) ending {
		return func(_ time.Duration, _ float64, r move.Route) ending {
			if r == name {
				return e
			}
			return ending{}
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
		{name: "good, a domain cut off", good: true, cut: span{2 * time.Minute, 5 * time.Minute}},
		{name: "good, under a peak", good: true, peak: peak},
		{name: "good, holder paused over its lease", good: true, paused: span{2 * time.Minute, 4 * time.Minute}},
		{name: "good, platform down over the end", good: true, back: true, outage: span{9 * time.Minute, 12 * time.Minute}},
		{name: "fails at once", bad: always(ending{fails: 0.5})},
		{name: "slow at once", bad: always(ending{slows: 2})},
		{name: "fails later", bad: func(at time.Duration, _ float64, _ move.Route) ending {
			if at > 7*time.Minute {
				return ending{fails: 0.5}
			}
			return ending{}
		}},
		{name: "fails after an hour", length: 90 * time.Minute, rate: 5, bad: func(at time.Duration, _ float64, _ move.Route) ending {
			if at > time.Hour {
				return ending{fails: 0.5}
			}
			return ending{}
		}},
		{name: "slow under load", bad: func(_ time.Duration, share float64, _ move.Route) ending {
			return ending{slows: 1 + 1.5*share}
		}},
		{name: "fails on one route", bad: onRoute("reports", ending{fails: 0.5})},
		{name: "fails on the lowest-traffic route", bad: onRoute("letters", ending{fails: 0.7})},
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

// Tester is a way to judge a new version.
type Tester struct {
	Name string
	// make returns a new judge.
	make func() judge
}

// judge takes counts and decides.
type judge interface {
	Add(time.Time, []move.Count)
	Decide(p *move.Plan, now time.Time) move.Decision
	Bad() bool
}

// evidenceJudge is this system's judge, or its pooled baseline.
type evidenceJudge struct{ e *move.Evidence }

// Add implements judge.
func (j evidenceJudge) Add(now time.Time, c []move.Count) { j.e.Add(now, c) }

// Decide implements judge.
func (j evidenceJudge) Decide(p *move.Plan, now time.Time) move.Decision { return p.Decide(now, j.e) }

// Bad implements judge.
func (j evidenceJudge) Bad() bool { return j.e.Alarm().Raised }

// canaryJudge is the baseline of fixed thresholds over all requests.
type canaryJudge struct {
	evidence        *move.Evidence // tells only whether a step has seen enough
	n, failed, slow int
}

// The thresholds of the canary.
const (
	canaryLeast  = 50
	canaryFailed = 0.05
	canarySlow   = 0.30
)

// Add implements judge.
func (j *canaryJudge) Add(now time.Time, counts []move.Count) {
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

// Bad implements judge.
func (j *canaryJudge) Bad() bool {
	n := float64(j.n)
	return j.n >= canaryLeast && (float64(j.failed) > canaryFailed*n || float64(j.slow) > canarySlow*n)
}

// Decide implements judge.
func (j *canaryJudge) Decide(p *move.Plan, now time.Time) move.Decision {
	if j.Bad() {
		return move.Decision{Action: move.RollBack, Reason: move.WorseThanOld}
	}
	return p.Decide(now, j.evidence)
}

// Testers returns this system's test and the baselines.
func Testers() []Tester {
	return []Tester{
		{Name: "by route and server", make: func() judge { return evidenceJudge{&move.Evidence{}} }},
		{Name: "pooled", make: func() judge { return evidenceJudge{&move.Evidence{Pooled: true}} }},
		{Name: "fixed canary", make: func() judge { return &canaryJudge{evidence: &move.Evidence{}} }},
	}
}

// MoveResult is what a tester did with one case over all seeds.
type MoveResult struct {
	Tester   string        `json:"tester"`
	Case     string        `json:"case"`
	Right    int           `json:"right"` // outcomes, of Seeds
	Seeds    int           `json:"seeds"`
	Verdict  time.Duration `json:"verdict"`  // mean time until the version was found bad, from when it was
	Met      float64       `json:"met"`      // mean number of requests that met the bad version
	Share    float64       `json:"share"`    // largest share when it was found bad, mean
	Early    time.Duration `json:"early"`    // mean time by which a good one was finished before its limit
	AfterBad int           `json:"afterBad"` // requests that met the version later than 3 s after the verdict
}

// Moves runs every case with so many seeds, from first on, under each tester.
func Moves(first uint64, seeds int) []MoveResult {
	var all []MoveResult
	for _, t := range Testers() {
		for _, c := range moveCases() {
			all = append(all, runCase(t, c, first, seeds))
		}
	}
	return all
}

func runCase(t Tester, c moveCase, first uint64, seeds int) MoveResult {
	r := MoveResult{Tester: t.Name, Case: c.name, Seeds: seeds}
	found := 0
	for seed := range seeds {
		s := newMoveRun(t, c, first+uint64(seed))
		s.run()
		if s.right() {
			r.Right++
		}
		r.AfterBad += s.afterBad
		r.Met += float64(s.met) / float64(seeds)
		if s.badAt > 0 {
			found++
			r.Verdict += s.badAt - s.turnedBad
			r.Share += s.shareAtBad
		}
		if s.plan.State == move.Finished {
			r.Early += c.length - s.endedAt
		}
	}
	if found > 0 {
		r.Verdict /= time.Duration(found)
		r.Share /= float64(found)
	}
	r.Early /= time.Duration(seeds)
	return r
}

// moveRun is one move under way. It drives the real decisions with instants
// and generated evidence.
type moveRun struct {
	c     moveCase
	r     *rand.Rand
	begin time.Time
	judge judge
	make  func() judge
	plan  move.Plan

	views  [moveEntries]move.Plan // what each entry VM has heard of
	bad    [moveEntries]bool      // and whether it knows the version is bad
	speeds [moveEntries]move.SlowDetector
	fresh  [moveEntries][]move.Count // of this tick
	counts [moveEntries][]move.Count // not told to the holder yet
	local  [moveEntries]judge

	n          int
	met        int
	afterBad   int
	turnedBad  time.Duration // when the version first behaved badly
	badAt      time.Duration // when it was found bad anywhere
	shareAtBad float64
	endedAt    time.Duration
	wasPaused  bool
}

func newMoveRun(t Tester, c moveCase, seed uint64) *moveRun {
	begin := time.Unix(1_000_000, 0)
	s := &moveRun{c: c, r: rand.New(rand.NewPCG(seed, 99)), begin: begin, judge: t.make(), make: t.make, turnedBad: -1}
	s.plan = move.Plan{
		Deployment: "d", From: "v@1", To: "v@2", Start: begin, FinishBy: begin.Add(c.length), State: move.Started,
	}
	for i := range s.views {
		s.views[i] = s.plan
		s.local[i] = t.make()
	}
	return s
}

// settleTime is for how long a run goes on after finishBy.
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

// poisson draws a number of requests.
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

// request runs one request at a random entry VM.
func (s *moveRun) request(at time.Duration) {
	s.n++
	vm := s.r.IntN(moveEntries)
	now := s.begin.Add(at)
	route := s.route()
	plan := &s.views[vm]
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
		e := s.meet(at, plan, route)
		fails += e.fails
		if e.slows > 0 {
			first, gap = scale(first, e.slows), scale(gap, e.slows)
		}
		if s.c.badServer == server {
			fails += serverFails
		}
		if s.c.slowServer == server {
			first, gap = scale(first, 4), scale(gap, 4)
		}
		if dead, ok := s.c.dead[server]; ok && at >= dead && at < dead+3*time.Second {
			// It goes on at another server; the engine's death is no failure
			// of the version, but the request is late.
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
	s.fresh[vm] = append(s.fresh[vm], c)
}

// meet notes that a request meets the new version, and returns how a bad one
// changes it.
func (s *moveRun) meet(at time.Duration, plan *move.Plan, route move.Route) ending {
	if s.c.bad == nil {
		return ending{}
	}
	share := plan.Share(s.begin.Add(at), false)
	e := s.c.bad(at, share, route)
	if e.fails > 0 || e.slows > 1.3 {
		s.met++
		if s.turnedBad < 0 {
			s.turnedBad = at
		}
		if s.badAt > 0 && at > s.badAt+3*time.Second {
			s.afterBad++
		}
	}
	return e
}

func (s *moveRun) times(base time.Duration) time.Duration {
	return scale(base, math.Exp(timeSpread*s.r.NormFloat64()))
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// exchange passes counts to the holder, and plans and verdicts to entry VMs:
// what is reachable hears within a tick.
func (s *moveRun) exchange(at time.Duration) {
	known := s.judge.Bad()
	for i := range s.counts {
		s.local[i].Add(s.begin.Add(at), s.fresh[i])
		s.counts[i] = append(s.counts[i], s.fresh[i]...)
		s.fresh[i] = nil
		known = known || s.local[i].Bad() && !s.cutOff(i, at)
	}
	for i := range s.counts {
		s.bad[i] = s.bad[i] || s.local[i].Bad()
		if s.cutOff(i, at) {
			continue
		}
		s.judge.Add(s.begin.Add(at), s.counts[i])
		s.counts[i] = nil
		s.bad[i] = s.bad[i] || known
		if !s.c.outage.has(at) {
			s.views[i] = s.plan
		}
	}
	if (known || s.judge.Bad()) && s.badAt == 0 {
		s.badAt = at
		s.shareAtBad = s.plan.Share(s.begin.Add(at), false)
	}
}

func (s *moveRun) cutOff(vm int, at time.Duration) bool { return vm == 2 && s.c.cut.has(at) }

// decide lets the holder decide and write.
func (s *moveRun) decide(at time.Duration) {
	if s.plan.State != move.Started || s.c.outage.has(at) {
		return
	}
	if s.c.paused.has(at) {
		if !s.wasPaused {
			// Its successor begins without evidence, once the lease is over.
			s.judge = s.make()
			s.wasPaused = true
		}
		if at < s.c.paused.from+40*time.Second {
			return
		}
	}
	now := s.begin.Add(at)
	d := s.judge.Decide(&s.plan, now)
	if s.anyBad() && d.Action != move.RollBack {
		d = move.Decision{Action: move.RollBack, Reason: move.WorseThanOld}
	}
	s.plan = s.plan.Apply(now, d)
	if s.plan.State != move.Started {
		s.endedAt = at
	}
}

// anyBad reports whether an entry VM that the holder hears of found the version
// bad.
func (s *moveRun) anyBad() bool {
	for _, b := range s.bad {
		if b {
			return true
		}
	}
	return false
}

// right reports whether the move ended as it should, and in time.
func (s *moveRun) right() bool {
	inTime := s.endedAt <= s.c.length || s.c.back
	if s.c.good && !s.c.back {
		return s.plan.State == move.Finished && inTime
	}
	return s.plan.State == move.RolledBack && inTime
}

// PrintMoves writes results as a table.
func PrintMoves(w io.Writer, all []MoveResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "TESTER\tCASE\tRIGHT\tVERDICT AFTER\tMET BAD VERSION\tSHARE THEN\tMET 3 s LATER\tBEFORE LIMIT")
	for _, r := range all {
		fmt.Fprintf(t, "%s\t%s\t%d/%d\t%s\t%.0f\t%.0f%%\t%d\t%s\n", r.Tester, r.Case, r.Right, r.Seeds,
			r.Verdict.Round(time.Second), r.Met, 100*r.Share, r.AfterBad, r.Early.Round(time.Second))
	}
	return t.Flush()
}
