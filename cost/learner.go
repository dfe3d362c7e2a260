package cost

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"quetzalhold/engine"
	"quetzalhold/routing"
)

const (
	// halfLife is the time in which an estimate without new samples moves half of the way back to the usual speed,
	// so that a server that was avoided for its speed is tried again.
	halfLife = 10 * time.Second
	// evidenceWindow is the age, relative to the newest one, up to which samples of a server count together: a
	// change of speed shows within this time, and an answer yields three samples in it at the usual speed.
	evidenceWindow = 1500 * time.Millisecond
	// maxEvidence is the number of samples that are kept for each server.
	maxEvidence = 16
	// callWindow is the same for calls, which say less each.
	callWindow = 4 * time.Second
	// fewSamples is the number of measurements of streams needed for full confidence; fewer count half.
	fewSamples = 2
	// fewCalls is the same for calls; fewer count in proportion. The times of calls may scatter by half, and the
	// median of 24 then by an eighth.
	fewCalls = 24
	// slowestByFirst is the lowest speed that times to first events alone can show: it does not make a service
	// uneven. Under load the reports of several placements may all lack the same prompts.
	slowestByFirst = 1 / 1.4
	// maxKnown bounds the servers with samples. It is above the 4,200 engines of the target size.
	maxKnown = 8192
	// tableInterval is how long a table is answered before it is made again.
	tableInterval = 250 * time.Millisecond
	// gapDecline is the time in which the usual rate of events may fall by half. Overload of some seconds
	// stretches the gaps of most answers and does not make the other engines fast.
	gapDecline = time.Minute
	// usualCalls is the quantile of the times of calls that counts as the usual one.
	usualCalls = 0.5
)

// Learner merges samples of the speeds of servers. The zero value has none. Its methods are safe for concurrent use.
type Learner struct {
	rates Rates

	mu      sync.Mutex
	servers map[engine.ServerID]*evidence
	events  map[routing.ServiceName]peak
	table   []ServiceSpeeds
	madeAt  time.Time
	crossed []Crossing
}

// peak is the usual rate of events as of an instant.
type peak struct {
	rate Rate
	at   time.Time
}

// evidence is what is known of a server's start.
type evidence struct {
	service routing.ServiceName
	start   engine.Incarnation
	samples []observed // oldest first
	level   Level
}

// observed is a sample as of an instant.
type observed struct {
	Sample
	at time.Time
}

// Crossing is a change of the level of a server's speed.
type Crossing struct {
	Service  routing.ServiceName
	Server   engine.ServerID
	Start    engine.Incarnation
	From, To Level
	Speed    Speed
}

// Rates returns the usual rates that the samples show.
func (l *Learner) Rates() *Rates { return &l.rates }

// Add merges a sample. One that is out of range, or of an earlier start of a server, has no effect.
func (l *Learner) Add(now time.Time, s Sample) {
	if !s.Valid() || s.AgeMs > maxAgeMs {
		return
	}
	if s.Kind != Gap || s.Rate == s.Least {
		l.rates.add(series{s.Service, s.Kind}, s.Rate)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Kind == Gap && s.Rate*stretchedFrom <= l.events[s.Service].rate {
		l.rates.add(series{s.Service, stretchedGap}, s.Rate)
	}
	e := l.servers[s.Server]
	switch {
	case e == nil && len(l.servers) >= maxKnown:
		return
	case e != nil && s.Start < e.start:
		return
	case e == nil || e.start != s.Start || e.service != s.Service:
		if l.servers == nil {
			l.servers = make(map[engine.ServerID]*evidence)
		}
		e = &evidence{service: s.Service, start: s.Start}
		l.servers[s.Server] = e
	}
	o := observed{s, now.Add(-time.Duration(s.AgeMs) * time.Millisecond)}
	i := len(e.samples)
	for i > 0 && o.at.Before(e.samples[i-1].at) {
		i--
	}
	e.samples = slices.Insert(e.samples, i, o)
	if len(e.samples) > maxEvidence {
		e.samples = slices.Delete(e.samples, 0, 1)
	}
}

// usual returns the usual rates of a service.
func (l *Learner) usual(now time.Time, service routing.ServiceName) ServiceSpeeds {
	u := ServiceSpeeds{Service: service}
	u.stretched, _ = l.rates.quantile(series{service, stretchedGap}, uncontendedQuantile)
	u.Prefill, _ = l.rates.Prefill(service)
	u.Calls, _ = l.rates.quantile(series{service, Call}, usualCalls)
	if rate, ok := l.rates.quantile(series{service, Gap}, uncontendedQuantile); ok {
		known := l.events[service]
		u.Events = max(rate, known.rate*Rate(math.Exp2(-float64(max(0, now.Sub(known.at)))/float64(gapDecline))))
		if l.events == nil {
			l.events = make(map[routing.ServiceName]peak)
		}
		l.events[service] = peak{u.Events, now}
	}
	return u
}

// stretchedFrom is the multiple of the usual gap from which on a gap counts as one of an engine that prefills a prompt:
// it does so in chunks between the decoding steps of its answers, whose gaps are about five times as long then. Such
// gaps are compared with each other: a busy engine must not look slow. The multiple is above the gaps of an engine that
// has become three times slower.
const stretchedFrom = 4

// speed returns the speed that a sample shows, and how much that says.
func (o *observed) speed(u *ServiceSpeeds) (float64, strength) {
	usual := [...]Rate{FirstEvent: u.Prefill, Gap: u.Events, Call: u.Calls}[o.Kind]
	if usual <= 0 {
		return 0, none
	}
	v, least := float64(o.Rate/usual), float64(o.Least/usual)
	switch {
	case least > 1:
		v = least
	case o.Kind == FirstEvent && v >= 1:
		return 0, none // how much of the prompt was cached is not known
	case o.Kind == Gap && o.Rate > o.Least:
		if v*Different < 1 {
			return 0, none
		}
		v = 1
	case o.Kind == Gap && v*stretchedFrom <= 1:
		// A much slower engine that prefills nothing has such gaps too, so they never show that one is not slow.
		if v = float64(o.Rate / max(u.stretched, o.Rate)); v*Different > 1 {
			return 0, none
		}
		return clamp(v), weak
	default:
	}
	return clamp(v), strong
}

// strength is how much a sample says of a server's speed.
type strength int

// The strengths. Weak samples count only if there are no strong ones.
const (
	none strength = iota
	weak
	strong
)

// estimate returns a server's speed; false if the samples show none. All that delays an answer beyond the speed of its
// engine, such as prompts that no report has shown, makes the engine look slower: the fastest sample is the truest.
// Calls scatter in both directions: their median counts.
func (e *evidence) estimate(now time.Time, u *ServiceSpeeds) (Speed, bool) {
	if len(e.samples) == 0 {
		return 0, false
	}
	newest := e.samples[len(e.samples)-1].at
	var streams, calls []float64
	count, best, gaps := 0, weak, false
	for i := range e.samples {
		o := &e.samples[i]
		v, says := o.speed(u)
		window := evidenceWindow
		if o.Kind == Call {
			window = callWindow
		}
		if says < best || newest.Sub(o.at) > window {
			continue
		}
		if says > best {
			best, count, streams, gaps = says, 0, nil, false
		}
		gaps = gaps || o.Kind == Gap
		if o.Kind == Call {
			calls = append(calls, v)
		} else {
			streams = append(streams, v)
		}
		count += o.Count
	}
	var v float64
	weight := Faded(max(0, now.Sub(newest)))
	switch {
	case len(streams) > 0:
		if v = slices.Max(streams); !gaps {
			v = max(v, slowestByFirst)
		}
		if count < fewSamples {
			weight /= 2
		}
	case len(calls) > 0:
		slices.Sort(calls)
		v = calls[len(calls)/2]
		weight *= min(1, float64(count)/fewCalls)
	default:
		return 0, false
	}
	return Speed(math.Pow(v, weight)), true
}

// Faded returns the exponent by which a speed counts after some time without samples.
func Faded(age time.Duration) float64 { return math.Exp2(-float64(age) / float64(halfLife)) }

// maxCrossings bounds the changes of levels that are kept until they are taken.
const maxCrossings = 16

// Table returns the servers whose speeds differ from the usual ones by the factor Different, the most different ones
// first. It lists at most MaxServers of them.
func (l *Learner) Table(now time.Time) []ServiceSpeeds {
	l.mu.Lock()
	defer l.mu.Unlock()
	if age := now.Sub(l.madeAt); age >= 0 && age < tableInterval {
		return l.table
	}
	usual := make(map[routing.ServiceName]*ServiceSpeeds)
	type entry struct {
		of *ServiceSpeeds
		ServerSpeed
	}
	var list []entry
	for id, e := range l.servers {
		if len(e.samples) == 0 || now.Sub(e.samples[len(e.samples)-1].at).Milliseconds() > maxAgeMs {
			delete(l.servers, id)
			continue
		}
		u := usual[e.service]
		if u == nil {
			x := l.usual(now, e.service)
			u = &x
			usual[e.service] = u
		}
		s, ok := e.estimate(now, u)
		if !ok {
			continue
		}
		l.cross(id, e, s)
		if difference(s) >= math.Log(Different) {
			list = append(list, entry{u, ServerSpeed{ID: id, Start: e.start, Speed: s}})
		}
	}
	slices.SortFunc(list, func(a, b entry) int {
		return cmp.Or(cmp.Compare(difference(b.Speed), difference(a.Speed)), cmp.Compare(a.ID, b.ID))
	})
	for _, x := range list[:min(len(list), MaxServers)] {
		x.of.Servers = append(x.of.Servers, x.ServerSpeed)
	}
	l.table, l.madeAt = nil, now
	for _, u := range usual {
		if len(u.Servers) > 0 {
			l.table = append(l.table, *u)
		}
	}
	return l.table
}

// difference returns how much a speed differs from the usual one, as a logarithm.
func difference(s Speed) float64 { return math.Abs(math.Log(s.Factor())) }

// cross records a change of a server's level.
func (l *Learner) cross(id engine.ServerID, e *evidence, s Speed) {
	to := level(e.level, s)
	if to == e.level {
		return
	}
	if len(l.crossed) < maxCrossings {
		l.crossed = append(l.crossed, Crossing{Service: e.service, Server: id, Start: e.start, From: e.level, To: to, Speed: s})
	}
	e.level = to
}

// Crossings returns the changes of levels since the last call, at most maxCrossings.
func (l *Learner) Crossings() []Crossing {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.crossed
	l.crossed = nil
	return list
}
