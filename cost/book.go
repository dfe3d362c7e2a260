package cost

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"quetzalhold/engine"
	"quetzalhold/routing"
)

const (
	// tableValidFor is how long a table counts, from the report on which it was answered. It is the time that limits
	// of retry budgets hold, which come with it.
	tableValidFor = 3 * time.Second
	// maxPending bounds the samples of one report, which is the query of a URL.
	maxPending = 24
	// maxForwarded is the same for what an issuer sends to those of other failure domains.
	maxForwarded = 48
	// promptWeight is the divisor by which one prompt counts in the usual length.
	promptWeight = 16
)

// Book is what an entry VM knows of the cost of requests and the speeds of servers: what it has observed itself, and
// the table of the issuer of its failure domain. The zero value knows nothing. Its methods are safe for concurrent
// use.
type Book struct {
	learner Learner

	mu       sync.Mutex
	pending  []observed // not reported yet
	forward  []observed // not sent to other issuers yet
	known    map[routing.ServiceName]*serviceTable
	knownAt  time.Time
	own      bool // known was made here
	prompts  map[routing.ServiceName]float64
	outputs  map[routing.RouteName]*output
	reported map[engine.ServerID]runsReport
}

// serviceTable is the part of a table about one service.
type serviceTable struct {
	ServiceSpeeds
	byID       map[engine.ServerID]ServerSpeed
	difference float64 // largest of a server
}

// Rates returns the usual rates that this entry VM has learned.
func (b *Book) Rates() *Rates { return b.learner.Rates() }

// Observe records a sample, to be reported as well.
func (b *Book) Observe(now time.Time, s Sample) {
	if !s.Valid() {
		return
	}
	b.learner.Add(now, s)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = collect(b.pending, observedAt(now, s), maxPending)
}

func observedAt(now time.Time, s Sample) observed {
	return observed{s, now.Add(-time.Duration(s.AgeMs) * time.Millisecond)}
}

// collect adds a sample to a list of at most limit ones, in which there is one for each kind and server's start.
func collect(list []observed, o observed, limit int) []observed {
	i := slices.IndexFunc(list, func(p observed) bool { return p.Server == o.Server && p.Start == o.Start && p.Kind == o.Kind })
	if i < 0 {
		if len(list) < limit {
			list = append(list, o)
		}
		return list
	}
	p := &list[i]
	if o.Kind == Call {
		// The mean of several calls: one of them may be of a kind that takes long.
		p.Rate += (o.Rate - p.Rate) * Rate(o.Count) / Rate(p.Count+o.Count)
		p.Least = p.Rate
	} else if o.Rate > p.Rate {
		p.Rate, p.Least = o.Rate, o.Least
	}
	p.Count = min(p.Count+o.Count, maxCount)
	if o.at.After(p.at) {
		p.at = o.at
	}
	return list
}

// Drain returns the samples since the last call, to be reported.
func (b *Book) Drain(now time.Time) []Sample {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.pending
	b.pending = nil
	return sentAt(now, list)
}

// sentAt returns samples in the form in which they are sent at an instant.
func sentAt(now time.Time, list []observed) []Sample {
	all := make([]Sample, 0, len(list))
	for _, o := range list {
		o.AgeMs = max(0, now.Sub(o.at).Milliseconds())
		all = append(all, o.Sample)
	}
	return all
}

// Merge adds the samples that an entry VM of the failure domain has reported, and returns the table of servers whose
// speed differs.
func (b *Book) Merge(now time.Time, list []Sample) []ServiceSpeeds {
	b.Add(now, list)
	b.mu.Lock()
	for _, s := range list {
		b.forward = collect(b.forward, observedAt(now, s), maxForwarded)
	}
	b.mu.Unlock()
	return b.learner.Table(now)
}

// Add adds samples that the issuer of another failure domain has sent.
func (b *Book) Add(now time.Time, list []Sample) {
	for _, s := range list {
		b.learner.Add(now, s)
	}
}

// Forward returns the samples of the failure domain since the last call, to be sent to the issuers of others; none
// while no server is known to differ.
func (b *Book) Forward(now time.Time) []Sample {
	differ := len(b.learner.Table(now)) > 0
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.forward
	b.forward = nil
	if !differ {
		return nil
	}
	return sentAt(now, list)
}

// SetTable sets the table that the issuer has answered to a report of an instant.
func (b *Book) SetTable(reportedAt time.Time, list []ServiceSpeeds) {
	b.setTable(reportedAt, list, false)
}

// SetOwnTable sets the table of this entry VM's own samples and of those reported to it, and returns the changes of
// levels since the last call. It is for the issuer, whose own samples need no report.
func (b *Book) SetOwnTable(now time.Time) []Crossing {
	b.mu.Lock()
	for _, o := range b.pending {
		b.forward = collect(b.forward, o, maxForwarded)
	}
	b.pending = nil
	b.mu.Unlock()
	b.setTable(now, b.learner.Table(now), true)
	return b.learner.Crossings()
}

func (b *Book) setTable(at time.Time, list []ServiceSpeeds, own bool) {
	known := make(map[routing.ServiceName]*serviceTable, len(list))
	for _, s := range list {
		t := &serviceTable{ServiceSpeeds: s, byID: make(map[engine.ServerID]ServerSpeed, len(s.Servers))}
		for _, x := range s.Servers {
			x.Speed = Speed(clamp(x.Speed.Factor()))
			t.byID[x.ID] = x
			t.difference = max(t.difference, difference(x.Speed))
		}
		known[s.Service] = t
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.known, b.knownAt, b.own = known, at, own
}

// current returns the table in force and its age. Without a valid one of the issuer it is made of what this entry VM
// has observed itself.
func (b *Book) current(now time.Time) (map[routing.ServiceName]*serviceTable, time.Duration) {
	b.mu.Lock()
	age := now.Sub(b.knownAt)
	valid := !b.knownAt.IsZero() && age < tableValidFor
	if b.own {
		valid = valid && age < tableInterval
	}
	known := b.known
	b.mu.Unlock()
	if valid {
		return known, max(0, age)
	}
	b.setTable(now, b.learner.Table(now), true)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known, 0
}

// Basis is what the choice of a server for one request is based on while servers of its service are known to differ.
type Basis struct {
	Work    Work
	FirstBy time.Time     // when the first event is wanted; zero if it does not matter
	Prompt  engine.Tokens // usual length of a prompt
	Prefill Rate          // usual, in tokens a second
	Gap     time.Duration // usual, between two events
	Call    time.Duration // usual time of a call
	Servers map[engine.ServerID]ServerSpeed
	// Pick returns a random number in [0, n); nil for that of math/rand.
	Pick func(n int) int

	exponent float64 // of the speeds, for the age of the table; 0 reads as 1
}

// Rates and times for services of which they are not known yet: those of the engines and calls on which the weights of
// package backend are based.
const (
	defaultPrefill Rate          = 8000
	defaultPrompt  engine.Tokens = 8000
	defaultGap                   = 30 * time.Millisecond
	defaultCall                  = 40 * time.Millisecond
)

// Basis returns the basis for requests to a service; nil while none of its servers is known to differ from the usual
// speed by the factor Uneven.
func (b *Book) Basis(now time.Time, service routing.ServiceName) *Basis {
	known, age := b.current(now)
	t := known[service]
	faded := Faded(age)
	if t == nil || t.difference*faded < math.Log(Uneven) {
		return nil
	}
	x := &Basis{Prompt: defaultPrompt, Prefill: t.Prefill, Gap: defaultGap, Call: defaultCall, Servers: t.byID, exponent: faded}
	if x.Prefill <= 0 {
		x.Prefill = defaultPrefill
	}
	if t.Events > 0 {
		x.Gap = t.Events.Time(1)
	}
	if t.Calls > 0 {
		x.Call = t.Calls.Time(1)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := b.prompts[service]; n > 0 {
		x.Prompt = engine.Tokens(n)
	}
	return x
}

// Speed returns the speed of a server's start; 1 if it is not known to differ.
func (x *Basis) Speed(id engine.ServerID, start engine.Incarnation) Speed {
	s, ok := x.Servers[id]
	switch {
	case !ok || s.Start != start:
		return 1
	case x.exponent == 0:
		return s.Speed
	}
	return Speed(math.Pow(s.Speed.Factor(), x.exponent))
}

// Random returns a random number in [0, n).
func (x *Basis) Random(n int) int {
	if x.Pick != nil {
		return x.Pick(n)
	}
	return rand.IntN(n)
}

// Exponents of the speed in the share of requests for which an engine is considered. An engine of half the usual speed
// is considered half as often for short prompts, and a sixteenth as often for long ones.
const (
	minPreference   = 1
	maxPreference   = 4
	usualPreference = 2
)

// Preference returns the share of requests for which an engine is considered, as a multiple of the usual one. Long
// prompts prefer fast engines.
func (x *Basis) Preference(s Speed) float64 {
	length := float64(x.Work.Prefill) / float64(max(1, x.Prompt))
	return math.Pow(s.Factor(), min(max(usualPreference*length, minPreference), maxPreference))
}

// Levels returns the number of servers that are known to be slow and fast.
func (b *Book) Levels(now time.Time) (slow, fast int) {
	known, age := b.current(now)
	for _, t := range known {
		for _, x := range t.byID {
			switch level(Usual, Speed(math.Pow(x.Speed.Factor(), Faded(age)))) {
			case Slow:
				slow++
			case Fast:
				fast++
			default:
			}
		}
	}
	return slow, fast
}

// ObservePrompt records the length of a prompt for a service.
func (b *Book) ObservePrompt(service routing.ServiceName, n engine.Tokens) {
	if n <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.prompts == nil {
		b.prompts = make(map[routing.ServiceName]float64)
	}
	if b.prompts[service] == 0 {
		b.prompts[service] = float64(n)
	}
	b.prompts[service] += (float64(n) - b.prompts[service]) / promptWeight
}

// output is the sum of the lengths of recent answers and of their limits.
type output struct{ tokens, limits float64 }

// outputFade is the factor by which former answers of a route count less with each further one.
const outputFade = 0.95

// ObserveOutput records the length of a complete answer and the limit that its request stated.
func (b *Book) ObserveOutput(route routing.RouteName, limit, n engine.Tokens) {
	if limit <= 0 || n <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.outputs[route]
	if o == nil {
		if b.outputs == nil {
			b.outputs = make(map[routing.RouteName]*output)
		}
		o = &output{}
		b.outputs[route] = o
	}
	o.tokens, o.limits = o.tokens*outputFade+float64(n), o.limits*outputFade+float64(limit)
}

// Output returns the expected length of an answer of a route whose request states a limit: the limit itself while
// none was observed.
func (b *Book) Output(route routing.RouteName, limit engine.Tokens) engine.Tokens {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.outputs[route]
	if o == nil {
		return limit
	}
	return engine.Tokens(float64(limit) * min(1, o.tokens/o.limits))
}

// runsReport is what a load report said of the runs of an engine.
type runsReport struct {
	start  engine.Incarnation
	at     time.Time
	quiet  bool // no prompt was waiting or in prefill
	events map[engine.RequestID]int64
}

// The time between two reports of an engine from which the rate of its events is taken: reports are some hundred
// milliseconds old, and answers last a few seconds.
const (
	minReportSpan = 1500 * time.Millisecond
	maxReportSpan = 5 * time.Second
	// maxReported bounds the engines whose last reports are kept.
	maxReported = 1024
)

// ObserveReport records the events that an engine's load report states of each of its runs. What its runs have made
// since the last report shows its speed, unless it had prompts to prefill at either time or has begun a run between.
func (b *Book) ObserveReport(now time.Time, of Sample, quiet bool, events map[engine.RequestID]int64) {
	b.mu.Lock()
	last, ok := b.reported[of.Server]
	span := now.Sub(last.at)
	if ok && span < minReportSpan && last.start == of.Start {
		b.mu.Unlock()
		return
	}
	if b.reported == nil || len(b.reported) >= maxReported {
		b.reported = make(map[engine.ServerID]runsReport)
	}
	b.reported[of.Server] = runsReport{start: of.Start, at: now, quiet: quiet, events: events}
	b.mu.Unlock()
	if !ok || last.start != of.Start || span > maxReportSpan || !quiet || !last.quiet {
		return
	}
	var made int64
	for id, n := range events {
		before, ok := last.events[id]
		if !ok {
			return // whose prompt was prefilled meanwhile
		}
		made = max(made, n-before)
	}
	of.Kind, of.Count = Gap, 1
	of.Rate = Rate(float64(made) / span.Seconds())
	// Reports differ in age, so that the rate is inexact; it must not show an engine as fast.
	if u := b.usualEvents(of.Service); u > 0 {
		of.Rate = min(of.Rate, u)
	}
	of.Least = of.Rate
	b.Observe(now, of)
}

// usualEvents returns the usual rate of events of a service; 0 if it is unknown.
func (b *Book) usualEvents(service routing.ServiceName) Rate {
	rate, _ := b.learner.rates.quantile(series{service, Gap}, uncontendedQuantile)
	return rate
}
