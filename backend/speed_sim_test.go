package backend_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"quetzalhold/backend"
	"quetzalhold/cost"
	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/routing"
)

// fleet is a discrete model of engines that prefill one prompt after the other and of the entry VMs that place streams
// there: deployment 2 of docs/LOAD.md.
type fleet struct {
	now     time.Time
	rand    *rand.Rand // of arrivals
	choices *rand.Rand // of placements
	engines []*modelEngine
	vms     []*modelVM
	issuers []*cost.Book // by failure domain
	learn   bool         // samples are taken and reported
	streams []*modelStream
}

type modelEngine struct {
	backend.Server
	speed      float64
	queue      []*modelStream // the first one is in prefill, if it has room
	running    []*modelStream
	used       engine.Tokens
	report     backend.Report
	reportedAt time.Time
}

type modelVM struct {
	pool   backend.Pool
	book   cost.Book
	domain int
}

type modelStream struct {
	prompt, left engine.Tokens
	sentAt       time.Time
	first        time.Duration // 0 before the first event
	vm           *modelVM
	at           *modelEngine
	counts       bool // the time to its first event says something of the engine
	events       float64
	lastAt       time.Time
	gaps         []time.Duration
}

// The numbers of deployment 2.
const (
	modelDomains   = 6
	modelRegions   = 3
	modelVMs       = 76
	modelKV        = 88000
	modelPrefill   = 8000.0 // tokens a second
	modelGap       = 30 * time.Millisecond
	modelStretch   = 5 // of gaps while the engine prefills
	modelEvents    = 130
	modelOutput    = 650
	modelReportAge = 300 * time.Millisecond
	modelStep      = 5 * time.Millisecond
	modelWanted    = 4500 * time.Millisecond
)

func modelDomain(i int) names.ID { return names.ID(fmt.Sprint("d", i%modelDomains)) }

func modelRegion(d names.ID) names.ID {
	var i int
	_, _ = fmt.Sscanf(string(d), "d%d", &i)
	return names.ID(fmt.Sprint("r", i%modelRegions))
}

func newFleet(seed uint64, engines int, speed func(i int) float64, learn bool) *fleet {
	f := &fleet{now: start, rand: rand.New(rand.NewPCG(seed, 1)), choices: rand.New(rand.NewPCG(seed, 2)), learn: learn}
	for i := range engines {
		s := server(fmt.Sprintf("e%d", i), modelDomain(i), fmt.Sprintf("10.0.%d.%d:1", i/200, i%200+1), 5, int64(i+1))
		s.Slots = 128
		f.engines = append(f.engines, &modelEngine{Server: s, speed: speed(i)})
	}
	for range modelDomains {
		f.issuers = append(f.issuers, &cost.Book{})
	}
	for i := range modelVMs {
		v := &modelVM{domain: i % modelDomains}
		for _, e := range f.engines {
			v.pool.Apply(e.Server)
		}
		f.vms = append(f.vms, v)
	}
	return f
}

// run plays d with so many streams a second.
func (f *fleet) run(d time.Duration, perSecond float64) {
	for until := f.now.Add(d); f.now.Before(until); f.now = f.now.Add(modelStep) {
		if f.rand.Float64() < perSecond*modelStep.Seconds() {
			f.place(f.vms[f.rand.IntN(len(f.vms))], engine.Tokens(2000+f.rand.IntN(12401)))
		}
		for _, e := range f.engines {
			f.work(e)
		}
		// Each entry VM reports every 0.5 s, at an instant of its own.
		tick := int(f.now.Sub(start) / modelStep)
		for i, v := range f.vms {
			if f.learn && (tick+i)%100 == 0 {
				v.book.SetTable(f.now, f.issuers[v.domain].Merge(f.now, v.book.Drain(f.now)))
			}
		}
		// The issuers of a region send each other what they were told, every second.
		for i, b := range f.issuers {
			if (tick+30*i)%200 == 0 {
				f.issuers[(i+modelRegions)%modelDomains].Add(f.now, b.Forward(f.now))
			}
		}
	}
}

// criteria returns what an entry VM chooses an engine by.
func (f *fleet) criteria(v *modelVM, prompt engine.Tokens) backend.Criteria {
	n := backend.Criteria{
		Now: f.now, Service: "models", Domain: modelDomain(v.domain), Region: modelRegion, AffinityKey: fmt.Sprint(f.rand.Uint64()),
		Tokens: prompt + modelOutput, Model: &routing.Model{Slots: 128, KVTokens: modelKV}, Cost: v.book.Basis(f.now, "models"),
	}
	if n.Cost != nil {
		n.Cost.Work, n.Cost.FirstBy, n.Cost.Pick = cost.Work{Prefill: prompt, Output: modelOutput}, f.now.Add(modelWanted), f.choices.IntN
	}
	return n
}

// place sends a stream as relay does: near engines are asked two at a time until one is idle, then those of all regions
// if all are loaded.
func (f *fleet) place(v *modelVM, prompt engine.Tokens) {
	n := f.criteria(v, prompt)
	ask := func(list []backend.Choice, rank int) []backend.Engine {
		var all []backend.Engine
		for i, c := range list {
			e := f.engine(c.ID)
			rep := e.report
			v.book.ObserveReport(f.now, cost.Sample{Service: "models", Server: c.ID, Start: c.Start}, rep.Waiting+rep.Prefilling == 0, rep.Events)
			all = append(all, backend.Engine{Choice: c, Rank: rank + i, Report: &rep})
		}
		return all
	}
	near := v.pool.Candidates(n.Nearby(), 6)
	var list []backend.Engine
	for from := 0; from < len(near); from += 2 {
		list = append(list, ask(near[from:min(from+2, len(near))], from)...)
		if p, ok := backend.Place(n, list); ok && p.Run.Idle(n) {
			break
		}
	}
	p, _ := backend.Place(n, list)
	if !p.LightlyLoaded(n) {
		p, _ = backend.Place(n, append(list, ask(v.pool.Candidates(n.Without(near), 6), 0)...))
	}
	s := &modelStream{prompt: prompt, left: prompt, sentAt: f.now, vm: v, at: f.engine(p.Run.ID)}
	s.counts = p.Run.Load.Pending+p.Run.Report.Waiting+p.Run.Report.Prefilling == 0
	v.pool.Begin(p.Run.ID, backend.Load{Requests: 1, Pending: 1, Tokens: n.Tokens, Prefill: prompt})
	v.book.ObservePrompt("models", prompt)
	s.at.queue = append(s.at.queue, s)
	f.streams = append(f.streams, s)
}

func (f *fleet) engine(id engine.ServerID) *modelEngine {
	return f.engines[slices.IndexFunc(f.engines, func(e *modelEngine) bool { return e.ID == id })]
}

// work lets an engine work for one step.
func (f *fleet) work(e *modelEngine) {
	if len(e.queue)+len(e.running) > 0 {
		f.workOn(e)
	}
	if f.now.Sub(e.reportedAt) >= modelReportAge {
		waiting := max(0, len(e.queue)-1)
		e.reportedAt, e.report = f.now, backend.Report{Ready: true, Waiting: waiting, Prefilling: len(e.queue) - waiting, Generating: len(e.running), Used: e.used, Total: modelKV}
	}
}

func (f *fleet) workOn(e *modelEngine) {
	prefilling := len(e.queue) > 0 && e.used+e.queue[0].prompt+modelOutput <= modelKV || len(e.queue) > 0 && e.queue[0].left < e.queue[0].prompt
	eventsMade := modelStep.Seconds() / modelGap.Seconds() * e.speed
	if prefilling {
		s, share := e.queue[0], 1.0
		if len(e.running) > 0 {
			share, eventsMade = 0.8, eventsMade/modelStretch
		}
		if s.left == s.prompt {
			e.used += s.prompt + modelOutput
		}
		if s.left -= engine.Tokens(modelPrefill * e.speed * share * modelStep.Seconds()); s.left <= 0 {
			e.queue, e.running = e.queue[1:], append(e.running, s)
			f.started(s)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(s *modelStream) bool {
		before := int(s.events)
		if s.events += eventsMade; int(s.events) > before {
			f.event(s)
		}
		if s.events < modelEvents {
			return false
		}
		e.used -= s.prompt + modelOutput
		s.vm.pool.End(e.ID, backend.Load{Requests: 1, Tokens: s.prompt + modelOutput})
		return true
	})
}

func (f *fleet) started(s *modelStream) {
	s.first, s.lastAt = f.now.Sub(s.sentAt)+modelStep, f.now
	s.vm.pool.End(s.at.ID, backend.Load{Pending: 1, Prefill: s.prompt})
	if s.counts {
		rate := cost.Rate(float64(s.prompt) / s.first.Seconds())
		f.observe(s, cost.FirstEvent, rate, rate*0.9)
	}
}

func (f *fleet) event(s *modelStream) {
	// Networks jitter, and entry VMs with a fraction of a core pause.
	at := f.now.Add(time.Duration(f.choices.IntN(15)) * time.Millisecond)
	if f.choices.IntN(20) == 0 {
		at = at.Add(80 * time.Millisecond)
	}
	if at.Before(s.lastAt) {
		at = s.lastAt
	}
	s.gaps = append(s.gaps, at.Sub(s.lastAt))
	s.lastAt = at
	if len(s.gaps) < 12 {
		return
	}
	slices.Sort(s.gaps)
	// As relay.meter does.
	short, median, long := s.gaps[3].Seconds(), s.gaps[6].Seconds(), s.gaps[9].Seconds()
	switch {
	case short < 0.001:
	case long <= 2*short:
		f.observe(s, cost.Gap, cost.Rate(1/median), cost.Rate(1/median))
	default:
		f.observe(s, cost.Gap, cost.Rate(1/short), cost.Rate(1/long))
	}
	s.gaps = s.gaps[:0]
}

func (f *fleet) observe(s *modelStream, k cost.Kind, rate, least cost.Rate) {
	if f.learn {
		s.vm.book.Observe(f.now, cost.Sample{Service: "models", Server: s.at.ID, Start: s.at.Start, Kind: k, Rate: rate, Least: least, Count: 1})
	}
}

// tally counts streams whose first event was wanted by now.
type tally struct{ streams, late, long, longLate, onSlow int }

// tally counts the streams sent since an instant.
func (f *fleet) tally(since time.Time) tally {
	var t tally
	for _, s := range f.streams {
		if s.sentAt.Before(since) || f.now.Sub(s.sentAt) < modelWanted {
			continue
		}
		t.streams++
		late, long := s.first == 0 || s.first > modelWanted, s.prompt > 13000
		if s.at.speed < 1 {
			t.onSlow++
		}
		if late {
			t.late++
		}
		if long {
			t.long++
		}
		if late && long {
			t.longLate++
		}
	}
	return t
}

func (t tally) String() string {
	return fmt.Sprintf("%d of %d late, %d of %d with long prompts; %d at slow engines", t.late, t.streams, t.longLate, t.long, t.onSlow)
}
