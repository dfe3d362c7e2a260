package limit

import (
	"context"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/result"
)

// Policy is the limits of one entry VM, as the preset in force states them.
type Policy struct {
	MaxAnswers int           // under way at once
	MaxQueue   int           // waiting at once
	MaxWait    time.Duration // of one request in the queue
}

// Request is an answer that asks to be admitted.
type Request struct {
	Organisation names.ID
	Weight       float64       // of its organisation in the queue; 1 for 0
	Cost         engine.Tokens // estimated
	Deadline     time.Time     // zero for none
	Resumed      bool          // it was admitted before, elsewhere
	MaxAnswers   int           // of its organisation here; 0 for no limit
	Limits       Limits        // of its organisation, fleet-wide
	Domains      int           // failure domains of the fleet
}

// Gate admits answers at one entry VM. Organisations wait in a fair queue: the
// one that was served least for its weight goes first, so a large one cannot
// delay a small one. Its zero value admits nothing until a Policy is set.
type Gate struct {
	mu      sync.Mutex
	policy  Policy
	open    int
	waiting int
	orgs    map[names.ID]*account
	byKey   map[Key]*account
	clock   float64 // virtual time of the fair queue
	wake    *time.Timer
	perSlot time.Duration // usual time until an answer ends
}

// account is an organisation at this entry VM.
type account struct {
	open    int
	served  float64 // virtual time
	queue   []*waiter
	part    Share // of its domain, while nothing is split
	share   Share // in force
	limiter *rate.Limiter
	used    float64 // tokens since askedAt
	wanted  float64 // tokens asked for since askedAt
	askedAt time.Time
	demand  Rate
	max     int
}

// waiter is a request in the queue.
type waiter struct {
	req      Request
	admitted chan struct{}
	done     bool // admitted or given up
}

// The measures of a Gate.
const (
	// burstTime is how long an organisation may save up its share.
	burstTime = 5 * time.Second
	// demandWeight is the weight of the newest measure of a demand.
	demandWeight = 0.5
	// leastWindow is the least time over which a demand is measured.
	leastWindow = 8 * time.Second
	// slotWeight is the weight of the newest measure of an answer's length.
	slotWeight = 0.1
	firstSlot  = 5 * time.Second
)

// SetPolicy puts a policy in force at once, for those that wait too.
func (g *Gate) SetPolicy(p Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.policy = p
	g.admitWaiting(time.Now())
}

// SetShares takes over what a keeper answered to demands: shares of the
// organisations whose limits are split. For the others that it was told of,
// their domain's part counts again.
func (g *Gate) SetShares(asked []Demand, shares []Share) {
	now := time.Now()
	split := make(map[Key]Share, len(shares))
	for _, s := range shares {
		split[s.Key] = s
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range asked {
		a := g.byKey[d.Key]
		if a == nil {
			continue
		}
		s, ok := split[d.Key]
		if !ok {
			s = a.part
		}
		a.setShare(now, s)
	}
	g.admitWaiting(now)
}

// setPart takes over the domain's part, which counts until it is split.
func (a *account) setPart(now time.Time, part Share) {
	if part == a.part {
		return
	}
	inForce := a.share == a.part
	a.part = part
	if inForce {
		a.setShare(now, part)
	}
}

func (a *account) setShare(now time.Time, s Share) {
	a.share = s
	if s.Tokens < 0 {
		a.limiter = nil
		return
	}
	burst := max(1, int(float64(s.Tokens)*burstTime.Seconds()))
	if a.limiter == nil {
		a.limiter = rate.NewLimiter(rate.Limit(s.Tokens), burst)
		return
	}
	a.limiter.SetLimitAt(now, rate.Limit(s.Tokens))
	a.limiter.SetBurstAt(now, burst)
}

func (g *Gate) account(id names.ID) *account {
	if g.orgs == nil {
		g.orgs = make(map[names.ID]*account)
		g.byKey = make(map[Key]*account)
	}
	a := g.orgs[id]
	if a == nil {
		none := Share{Tokens: -1, Answers: -1}
		a = &account{askedAt: time.Now(), part: none, share: none}
		g.orgs[id] = a
		g.byKey[NewKey(id)] = a
	}
	return a
}

// Enter waits until the request is admitted and returns a function that ends
// the answer. It fails with Overloaded, at once where the wait would be too
// long, and then says when to come back; nothing was run. An answer that goes
// on is always admitted: it held its place before.
func (g *Gate) Enter(ctx context.Context, r Request) (func(), error) {
	w, err := g.enqueue(r)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.admitted:
		return g.leaver(r), nil
	default:
	}
	limited, cancel := context.WithTimeout(ctx, g.maxWait())
	defer cancel()
	select {
	case <-w.admitted:
		return g.leaver(r), nil
	case <-limited.Done():
	}
	if g.giveUp(w) {
		return nil, refuse(time.Now(), g.predict(), "no turn within %s", g.maxWait())
	}
	return g.leaver(r), nil
}

func (g *Gate) maxWait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.policy.MaxWait
}

func refuse(now time.Time, back time.Duration, format string, args ...any) error {
	return result.New(result.Overloaded, format, args...).AsNotRun().At(now.Add(max(back, time.Second)))
}

// enqueue queues a request, admits it if there is room, or refuses it.
func (g *Gate) enqueue(r Request) (*waiter, error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.account(r.Organisation)
	a.wanted += float64(r.Cost)
	a.max = r.MaxAnswers
	a.setPart(now, r.Limits.PerDomain(r.Domains))
	w := &waiter{req: r, admitted: make(chan struct{})}
	if r.Resumed {
		g.admit(a, w)
		return w, nil
	}
	wait := g.predictLocked(a)
	switch {
	case g.policy.MaxAnswers <= 0:
		return nil, refuse(now, time.Second, "no new answers are taken")
	case g.waiting >= g.policy.MaxQueue && !g.fits(now, a):
		return nil, refuse(now, wait, "%d requests wait", g.waiting)
	case !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline):
		return nil, refuse(now, wait, "the queue takes %s, longer than the deadline", wait.Round(time.Millisecond))
	case wait > g.policy.MaxWait:
		return nil, refuse(now, wait, "the queue takes %s", wait.Round(time.Millisecond))
	}
	if len(a.queue) == 0 {
		// An organisation that was idle does not save up its turn.
		a.served = max(a.served, g.clock)
	}
	a.queue = append(a.queue, w)
	g.waiting++
	g.admitWaiting(now)
	return w, nil
}

// predict returns how long a request of the fullest queue would wait.
func (g *Gate) predict() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.predictLocked(&account{})
}

// predictLocked returns how long a new request of an organisation would wait
// for its turn, if each organisation that waits is served in turn.
func (g *Gate) predictLocked(a *account) time.Duration {
	if g.open < g.policy.MaxAnswers && len(a.queue) == 0 {
		return 0
	}
	rivals := 0
	for _, o := range g.orgs {
		if len(o.queue) > 0 {
			rivals++
		}
	}
	ahead := 1 + min(g.waiting, (len(a.queue)+1)*max(rivals, 1))
	slot := g.perSlot
	if slot == 0 {
		slot = firstSlot
	}
	return time.Duration(float64(slot) * float64(ahead) / float64(max(g.policy.MaxAnswers, 1)))
}

// fits reports whether an organisation may begin an answer now.
func (g *Gate) fits(now time.Time, a *account) bool {
	switch {
	case g.open >= g.policy.MaxAnswers:
		return false
	case a.max > 0 && a.open >= a.max:
		return false
	case a.share.Answers >= 0 && a.open >= a.share.Answers:
		return false
	}
	return a.limiter == nil || a.limiter.TokensAt(now) > 0
}

// admitWaiting admits those that fit, the least served organisation first.
func (g *Gate) admitWaiting(now time.Time) {
	for {
		var next *account
		for _, a := range g.orgs {
			if len(a.queue) == 0 || !g.fits(now, a) {
				continue
			}
			if next == nil || a.served < next.served {
				next = a
			}
		}
		if next == nil {
			break
		}
		w := next.queue[0]
		next.queue = next.queue[1:]
		g.waiting--
		g.admit(next, w)
	}
	g.setWake(now)
}

func (g *Gate) admit(a *account, w *waiter) {
	weight := w.req.Weight
	if weight <= 0 {
		weight = 1
	}
	g.clock = max(g.clock, a.served)
	a.served += float64(w.req.Cost) / weight
	a.open++
	g.open++
	w.done = true
	close(w.admitted)
}

// setWake looks again when the first share of a waiting organisation refills.
func (g *Gate) setWake(now time.Time) {
	soonest := time.Duration(math.MaxInt64)
	for _, a := range g.orgs {
		if len(a.queue) == 0 || a.limiter == nil || a.limiter.Limit() <= 0 {
			continue
		}
		debt := -a.limiter.TokensAt(now)
		if debt >= 0 {
			after := (debt + 1) / float64(a.limiter.Limit())
			soonest = min(soonest, time.Duration(after*float64(time.Second)))
		}
	}
	if soonest == math.MaxInt64 {
		return
	}
	if g.wake != nil {
		g.wake.Stop()
	}
	g.wake = time.AfterFunc(max(soonest, time.Millisecond), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.admitWaiting(time.Now())
	})
}

// giveUp takes a request out of the queue; false if it was admitted meanwhile.
func (g *Gate) giveUp(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.done {
		return false
	}
	w.done = true
	a := g.account(w.req.Organisation)
	for i, x := range a.queue {
		if x == w {
			a.queue = append(a.queue[:i:i], a.queue[i+1:]...)
			g.waiting--
			break
		}
	}
	return true
}

// leaver returns the function that ends an admitted answer.
func (g *Gate) leaver(r Request) func() {
	begin := time.Now()
	var once sync.Once
	return func() { once.Do(func() { g.leave(r, begin) }) }
}

func (g *Gate) leave(r Request, begin time.Time) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.account(r.Organisation)
	a.open--
	g.open--
	took := now.Sub(begin)
	if g.perSlot == 0 {
		g.perSlot = took
	}
	g.perSlot += time.Duration(slotWeight * float64(took-g.perSlot))
	g.admitWaiting(now)
}

// Charge takes tokens that were prefilled or delivered off an organisation's
// share. The share may go into debt; new answers then wait.
func (g *Gate) Charge(id names.ID, n engine.Tokens) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.account(id)
	a.used += float64(n)
	if a.limiter == nil {
		return
	}
	for left := int(n); left > 0; {
		part := min(left, a.limiter.Burst())
		a.limiter.ReserveN(now, part)
		left -= part
	}
}

// Demands returns the demand of each organisation that has limits and was in
// use since the last call.
func (g *Gate) Demands() []Demand {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []Demand
	for id, a := range g.orgs {
		busy := a.open > 0 || len(a.queue) > 0 || a.used+a.wanted > 0
		d := a.measure(now)
		if busy && (a.part.Tokens >= 0 || a.part.Answers >= 0) {
			d.Key = NewKey(id)
			all = append(all, d)
		}
	}
	return all
}

// measure returns the demand since the last measure: the tokens used, or asked
// for where that is more.
func (a *account) measure(now time.Time) Demand {
	if since := now.Sub(a.askedAt); since > 0 {
		// One request just before the measure is no high rate.
		newest := Rate(max(a.used, a.wanted) / max(since, leastWindow).Seconds())
		a.demand += demandWeight * (newest - a.demand)
		a.used, a.wanted = 0, 0
		a.askedAt = now
	}
	return Demand{Tokens: a.demand, Answers: a.open + len(a.queue)}
}

// Counts is the answers at a gate.
type Counts struct {
	Open    int
	Waiting int
}

// Counts returns the answers under way and waiting.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Counts{Open: g.open, Waiting: g.waiting}
}
