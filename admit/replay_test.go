package admit_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/admit"
	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/routing"
)

// The machines and the load of deployment 1 in docs/LOAD.md, and the times of its network.
const (
	numVMs, numDomains, numEngines = 82, 6, 280
	kvTokens, slots                = 88000, 24
	prefillRate                    = 8000 // tokens a second
	busyPrefillRate                = 5400 // the same between the decoding steps of other runs
	decodeTime                     = 7800 * time.Millisecond
	leastTime                      = decodeTime + time.Second
	sendTime, eventTime            = 120 * time.Millisecond, 30 * time.Millisecond
	callerTime                     = 25 * time.Second
	surgeAt, surgeEnds, loadEnds   = 10 * time.Second, 22 * time.Second, 34 * time.Second
	lossAt, lossEnds               = 12 * time.Second, 20 * time.Second
	noticeTime                     = time.Second // until a lost engine is known as such
)

type class struct {
	priority routing.Priority
	wanted   time.Duration
	rate     float64 // streams a second
	value    float64
}

var classes = []class{{0, 4 * time.Second, 17, 33}, {1, 5 * time.Second, 38, 17}, {2, 10 * time.Second, 10, 8.6}}

type simStream struct {
	class      int
	vm         *simVM
	cameAt     time.Time // the first time
	first      time.Time
	deadline   time.Time
	again      bool // it has come back after a rejection
	broken     bool // it was interrupted
	rejected   bool
	engine     *simEngine
	replica    *simEngine
	tokens     engine.Tokens
	ticket     *admit.Ticket
	generating bool
	ended      bool
}

type simEngine struct {
	domain     int
	downSince  time.Time
	down       bool
	queue      []*simStream
	current    *simStream
	generating int
	used       engine.Tokens
}

type simVM struct {
	domain  int
	queue   admit.Queue
	issuer  admit.Issuer
	dead    bool
	cutOff  bool // it reaches no other entry VM
	nextAt  time.Time
	pending map[*simStream]bool
}

// sim is a discrete model of entry VMs and engines.
type sim struct {
	ordered bool // streams wait as package admit decides
	start   time.Time
	now     time.Time
	events  simEvents
	seq     int
	random  *rand.Rand
	vms     []*simVM
	engines []*simEngine
	streams []*simStream
	shares  float64 // the largest sum of shares, as a part of the window and what is pending
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, do})
}

func newSim(ordered bool) *sim {
	s := &sim{ordered: ordered, start: time.Unix(1000, 0), random: rand.New(rand.NewPCG(5, 7))}
	s.now = s.start
	for i := range numEngines {
		s.engines = append(s.engines, &simEngine{domain: i % numDomains})
	}
	for i := range numVMs {
		v := &simVM{domain: i % numDomains, pending: make(map[*simStream]bool)}
		v.queue.Random = s.random.Float64
		v.issuer.Domain = domainName(v.domain)
		v.issuer.Members = func() map[names.ID]int {
			n := make(map[names.ID]int)
			for _, x := range s.vms {
				n[domainName(x.domain)]++
			}
			return n
		}
		s.vms = append(s.vms, v)
		if ordered {
			s.after(time.Duration(s.random.Float64()*0.5*float64(time.Second)), func() { s.report(v) })
		}
	}
	if ordered {
		s.exchange()
	}
	s.arrive()
	s.after(lossAt, func() { s.loseEngines(true) })
	s.after(lossEnds, func() { s.loseEngines(false) })
	return s
}

func domainName(d int) names.ID { return names.ID(fmt.Sprintf("d%d", d)) }

// arrive lets the streams of the load come.
func (s *sim) arrive() {
	for c := range classes {
		for at := time.Duration(0); at < loadEnds; {
			rate := classes[c].rate
			if at >= surgeAt && at < surgeEnds {
				rate *= 2.5
			}
			if c == 0 && at >= surgeAt+time.Second && at < surgeEnds-time.Second {
				rate *= 3
			}
			at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
			if at >= loadEnds {
				break
			}
			s.after(at, func() {
				x := &simStream{class: c, cameAt: s.now, deadline: s.now.Add(callerTime), tokens: engine.Tokens(5000 + s.random.IntN(6400))}
				s.streams = append(s.streams, x)
				s.come(x)
			})
		}
	}
}

// come lets a stream come to an entry VM that lives.
func (s *sim) come(x *simStream) {
	for x.vm = s.vms[s.random.IntN(numVMs)]; x.vm.dead; {
		x.vm = s.vms[s.random.IntN(numVMs)]
	}
	s.after(x.deadline.Sub(s.now), func() { s.end(x) })
	if !s.ordered {
		s.place(x)
		return
	}
	v := x.vm
	v.estimate(s)
	c := classes[x.class]
	t, list := v.queue.Add(s.now, admit.Stream{
		Rank: admit.NewRank(c.priority, c.priority, false), Tokens: x.tokens, CameAt: s.now, WantedAt: s.now.Add(c.wanted), Deadline: x.deadline, Need: leastTime,
	})
	x.ticket = t
	v.pending[x] = true
	s.decided(v, list)
	if v.queue.Waiting() > 0 {
		s.reportBy(v, 200*time.Millisecond)
	}
}

func (v *simVM) estimate(s *sim) {
	usable := 0
	for _, e := range s.engines {
		if !e.known(s.now) {
			usable++
		}
	}
	v.queue.Estimate(admit.Window(usable, 6500, v.queue.Usual()), numVMs)
}

func (s *sim) decided(v *simVM, list []admit.Decision) {
	for _, d := range list {
		for x := range v.pending {
			if x.ticket != d.Ticket {
				continue
			}
			if d.Action == admit.Start {
				s.place(x)
				break
			}
			delete(v.pending, x)
			x.rejected, x.ended = true, true
			if back := d.RetryAt.Sub(s.now); !x.again && back <= x.deadline.Sub(s.now)/3 {
				s.after(back, func() { x.again, x.rejected, x.ended = true, false, false; s.come(x) })
			}
			break
		}
	}
}

// report sends an entry VM's report to the issuer of its failure domain, every half second and sooner if
// streams wait.
func (s *sim) report(v *simVM) {
	if v.dead {
		return
	}
	v.estimate(s)
	s.decided(v, v.queue.Advance(s.now))
	d := v.queue.Demand(s.now)
	d.Service = "models"
	if i := s.issuerOf(v.domain); i != nil && (!v.cutOff || i == v) {
		at := s.now
		grants := i.issuer.Report(s.now, fmt.Sprintf("%p", v), []admit.Demand{d})
		s.after(5*time.Millisecond, func() { s.decided(v, v.queue.SetGrant(s.now, at, grants[0])) })
	}
	v.nextAt = time.Time{}
	next := 500 * time.Millisecond
	if v.queue.Waiting() > 0 {
		next = 200 * time.Millisecond
	}
	s.reportBy(v, next)
}

func (s *sim) reportBy(v *simVM, in time.Duration) {
	at := s.now.Add(in)
	if !v.nextAt.IsZero() && !v.nextAt.After(at) {
		return
	}
	v.nextAt = at
	s.after(in, func() {
		if v.nextAt.Equal(at) {
			s.report(v)
		}
	})
}

func (s *sim) issuerOf(domain int) *simVM {
	for _, v := range s.vms {
		if v.domain == domain && !v.dead && !v.cutOff {
			return v
		}
	}
	return nil
}

// exchange passes the sums of the failure domains on, and checks the sum of the shares.
func (s *sim) exchange() {
	for d := range numDomains {
		for e := range numDomains {
			from, to := s.issuerOf(d), s.issuerOf(e)
			if d != e && from != nil && to != nil {
				sums := from.issuer.Sums(s.now)
				s.after(eventTime, func() { to.issuer.Learn(s.now, domainName(d), sums) })
			}
		}
	}
	shares, pending, window := engine.Tokens(0), engine.Tokens(0), engine.Tokens(0)
	for _, v := range s.vms {
		if st := v.queue.Status(s.now); !v.dead {
			shares, pending, window = shares+st.Share, pending+st.Pending, max(window, st.Window)
		}
	}
	if window > 0 {
		s.shares = max(s.shares, float64(shares)/float64(window+pending))
	}
	s.after(400*time.Millisecond, s.exchange)
}

// known reports whether an engine is known to be lost.
func (e *simEngine) known(now time.Time) bool { return e.down && now.Sub(e.downSince) >= noticeTime }

func (e *simEngine) cost(tokens engine.Tokens) float64 {
	c := 1.1*float64(len(e.queue)) + 0.7*float64(e.generating)
	if e.current != nil {
		c++
	}
	if e.full(tokens) {
		c += 10
	}
	return c
}

func (e *simEngine) full(tokens engine.Tokens) bool {
	return e.used+kv(tokens) > kvTokens || e.generating >= slots
}

// room reports whether there is room for n more streams beside those that wait.
func (e *simEngine) room(tokens engine.Tokens, n int) bool {
	return e.used+kv(tokens)*engine.Tokens(len(e.queue)+n) <= kvTokens
}

func kv(prompt engine.Tokens) engine.Tokens { return prompt + 650 }

// place sends a stream to the best of twelve engines, as relay does.
func (s *sim) place(x *simStream) {
	if x.ended {
		return
	}
	var list []*simEngine
	for len(list) < 12 {
		if e := s.engines[s.random.IntN(numEngines)]; !e.down && !slices.Contains(list, e) {
			list = append(list, e)
		}
	}
	slices.SortStableFunc(list, func(a, b *simEngine) int { return int(1000 * (a.cost(x.tokens) - b.cost(x.tokens))) })
	if v := x.vm; s.ordered && x.first.IsZero() && x.engine == nil && !list[0].room(x.tokens, 1) {
		s.decided(v, v.queue.Return(s.now, x.ticket))
		return
	}
	x.engine = list[0]
	if !s.ordered || !x.vm.queue.UnderPressure(s.now) || x.class == 0 && list[1].room(x.tokens, 3) {
		x.replica = list[1]
		x.replica.used += kv(x.tokens)
	}
	e := x.engine
	s.after(sendTime, func() {
		e.queue = append(e.queue, x)
		s.prefill(e)
	})
}

// prefill lets an engine begin with the next prompt.
func (s *sim) prefill(e *simEngine) {
	for len(e.queue) > 0 && e.queue[0].ended {
		e.queue = e.queue[1:]
	}
	if e.down || e.current != nil || len(e.queue) == 0 || e.full(e.queue[0].tokens) {
		return
	}
	x := e.queue[0]
	e.queue, e.current = e.queue[1:], x
	e.used += kv(x.tokens)
	rate := prefillRate
	if e.generating > 0 {
		rate = busyPrefillRate
	}
	s.after(time.Duration(float64(x.tokens)/float64(rate)*float64(time.Second)), func() {
		if e.current != x {
			return // it was lost
		}
		e.current = nil
		if x.ended {
			e.used -= kv(x.tokens)
		} else {
			x.generating = true
			e.generating++
			s.after(eventTime, func() { s.firstEvent(x) })
			s.after(decodeTime, func() {
				if x.engine == e && x.generating {
					s.end(x)
				}
			})
		}
		s.prefill(e)
	})
}

func (s *sim) firstEvent(x *simStream) {
	if x.first.IsZero() && !x.ended {
		x.first = s.now
	}
	if s.ordered && x.ticket != nil {
		delete(x.vm.pending, x)
		s.decided(x.vm, x.vm.queue.First(s.now, x.ticket))
	}
}

// end ends a stream and frees what it takes.
func (s *sim) end(x *simStream) {
	if x.ended {
		return
	}
	x.ended = true
	if s.ordered && x.ticket != nil {
		delete(x.vm.pending, x)
		s.decided(x.vm, x.vm.queue.End(s.now, x.ticket))
	}
	s.free(x)
}

func (s *sim) free(x *simStream) {
	if r := x.replica; r != nil {
		r.used -= kv(x.tokens)
		x.replica = nil
		s.prefill(r)
	}
	if x.generating {
		x.generating = false
		x.engine.generating--
		x.engine.used -= kv(x.tokens)
		s.prefill(x.engine)
	}
}

// loseEngines loses 30% of the engines, or brings them back without their state.
func (s *sim) loseEngines(down bool) {
	for i, e := range s.engines {
		if i%10 >= 3 {
			continue
		}
		*e = simEngine{domain: e.domain, down: down, downSince: s.now}
	}
	if !down {
		return
	}
	for _, x := range s.streams {
		if x.replica != nil && x.replica.down {
			x.replica = nil
		}
		if x.ended || x.engine == nil || !x.engine.down {
			continue
		}
		resumes := x.generating
		x.generating = false
		if resumes && x.replica != nil {
			x.engine, x.replica, x.generating = x.replica, nil, true
			x.engine.generating++
			s.after(decodeTime, func() { s.end(x) })
			continue
		}
		s.after(500*time.Millisecond, func() {
			if x.broken = resumes; resumes && s.ordered {
				x.ticket, _ = x.vm.queue.Add(s.now, admit.Stream{Rank: admit.NewRank(classes[x.class].priority, classes[x.class].priority, true), Tokens: x.tokens, Deadline: x.deadline})
			}
			s.place(x)
		})
	}
}

// loseVM ends an entry VM and the streams that it carries.
func (s *sim) loseVM(v *simVM) {
	for _, x := range s.streams {
		if x.vm == v {
			x.broken = x.broken || !x.ended
			s.end(x)
		}
	}
	v.dead = true
}

func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && !s.events[0].at.After(s.start.Add(until)) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

// outcome is what became of the streams of a class.
type outcome struct{ came, inTime, late, rejected, failed int }

func (o outcome) share() float64 { return float64(o.inTime) / float64(o.came) }

// outcomes returns what became of the streams, and how long after the end of the surge it took until most were
// in time again.
func (s *sim) outcomes() (list [3]outcome, recovery time.Duration) {
	came, missed := make(map[int]int), make(map[int]int)
	for _, x := range s.streams {
		o := &list[x.class]
		o.came++
		inTime := false
		switch {
		case x.rejected:
			o.rejected++
		case x.first.IsZero():
			o.failed++
		case x.broken || x.first.Sub(x.cameAt) > classes[x.class].wanted:
			o.late++
		default:
			inTime = true
			o.inTime++
		}
		if after := x.cameAt.Sub(s.start.Add(surgeEnds)); after >= 0 {
			i := int(after / recoveryStep)
			came[i]++
			if !inTime {
				missed[i]++
			}
		}
	}
	for i, n := range came {
		if float64(missed[i]) > (1-recoveredShare)*float64(n) {
			recovery = max(recovery, time.Duration(i+1)*recoveryStep)
		}
	}
	return list, recovery
}

// recoveredShare is the part of the streams of a recoveryStep that are in time again after the load.
const (
	recoveredShare = 0.75
	recoveryStep   = 2 * time.Second
)

func (s *sim) print(t *testing.T, name string) {
	list, recovery := s.outcomes()
	value := 0.0
	for c, o := range list {
		value += classes[c].value * float64(o.inTime)
		t.Logf("%-22s priority %d: %4d came, %4d in time (%.2f), %4d late, %4d rejected, %4d failed", name, c, o.came, o.inTime, o.share(), o.late, o.rejected, o.failed)
	}
	t.Logf("%-22s value %.0f, in time again after %.1f s, shares up to %.2f of window and pending", name, value, recovery.Seconds(), s.shares)
}

// check checks what callers need: the most urgent class is in time most often, no class starves or is in time
// less often than before, and streams are in time again soon after the load.
func (s *sim) check(before *sim) {
	list, recovery := s.outcomes()
	old, _ := before.outcomes()
	So(list[0].share(), ShouldBeGreaterThan, 1.5*old[0].share())
	for c := range list {
		So(list[0].share(), ShouldBeGreaterThanOrEqualTo, list[c].share())
		So(list[c].share(), ShouldBeGreaterThan, max(0.1, old[c].share()))
	}
	So(recovery, ShouldBeLessThan, 5*time.Second)
	So(s.shares, ShouldBeLessThanOrEqualTo, 1)
}

// TestReplay replays the overload of docs/LOAD.md. Without an order of waiting, engines work through prompts
// that are late anyway, the most urgent class loses most, and this goes on after the load. Entry VMs, issuers
// and links that fail halfway must not change that an order holds.
func TestReplay(t *testing.T) {
	var before *sim
	for _, x := range []struct {
		name    string
		ordered bool
		fault   func(*sim)
	}{
		{"sent at once", false, nil},
		{"in order", true, nil},
		{"entry VM lost", true, func(s *sim) { s.loseVM(s.vms[40]) }},
		{"issuer lost", true, func(s *sim) { s.loseVM(s.vms[0]) }},
		{"link of an issuer lost", true, func(s *sim) { s.vms[0].cutOff = true }},
		{"links of a domain lost", true, func(s *sim) {
			for _, v := range s.vms {
				v.cutOff = v.cutOff || v.domain == 0
			}
		}},
	} {
		Convey(x.name, t, func() {
			s := newSim(x.ordered)
			if !x.ordered {
				before = s
			}
			if x.fault != nil {
				s.after((surgeAt+surgeEnds)/2, func() { x.fault(s) })
			}
			s.run(loadEnds + callerTime + time.Second)
			s.print(t, x.name)
			if x.ordered {
				s.check(before)
			}
		})
	}
}
