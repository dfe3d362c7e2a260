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

// Policy is the admission limits of one entry VM, as set by the preset in force.
type Policy struct {
	MaxAnswers int           // answers in progress at once
	MaxQueue   int           // requests in the queue at once
	MaxWait    time.Duration // longest time in the queue
}

// Request describes a request for an answer, for [Gate.Enter].
type Request struct {
	Organisation names.ID
	Weight       float64       // of the organisation in the fair queue; 0 counts as 1
	Cost         engine.Tokens // estimated
	Deadline     time.Time     // zero for none
	Resumed      bool          // continues an answer that was admitted before, perhaps at another entry VM
	MaxAnswers   int           // limit of the organisation at this entry VM; 0 for no limit
	Limits       Limits        // fleet-wide limits of the organisation
	Domains      int           // number of failure domains in the fleet
}

// Gate admits answers at one entry VM. Requests wait in a weighted fair queue: the
// organisation that was served least in proportion to its weight goes first, so a
// large one cannot delay a small one. The zero value admits no new answers until
// SetPolicy is called.
type Gate struct {
	mu         sync.Mutex
	policy     Policy
	open       int
	waiting    int
	orgs       map[names.ID]*account
	byKey      map[Key]*account
	clock      float64 // virtual time of the fair queue
	wakeTimer  *time.Timer
	answerTime time.Duration // moving average of an answer's duration
}

// account is the state of an organisation at this entry VM.
type account struct {
	open        int
	served      float64 // virtual time: admitted cost divided by weight
	queue       []*waiter
	domainShare Share // equal share of the failure domain, in force while nothing is split
	share       Share // in force
	limiter     *rate.Limiter
	used        float64 // tokens used since measuredAt
	requested   float64 // estimated tokens of requests since measuredAt
	measuredAt  time.Time
	demand      Rate
	maxAnswers  int
}

// waiter is a request in the queue.
type waiter struct {
	req      Request
	admitted chan struct{}
	done     bool // admitted or withdrawn
}

// Parameters of a Gate.
const (
	// burstTime is how much of its token rate an idle organisation may accumulate.
	burstTime = 5 * time.Second
	// demandWeight is the weight of the newest sample in the average demand.
	demandWeight = 0.5
	// minDemandWindow is the shortest time that a demand sample is averaged over.
	minDemandWindow = 8 * time.Second
	// answerTimeWeight is the weight of the newest sample in answerTime.
	answerTimeWeight  = 0.1
	defaultAnswerTime = 5 * time.Second
)

// SetPolicy puts a policy in force at once, also for requests that already wait.
func (g *Gate) SetPolicy(p Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.policy = p
	g.admitWaiting(time.Now())
}

// SetShares applies the shares that an [Allocator] returned for demands: it has one
// for each organisation whose limits are split. The other organisations in demands
// go back to the equal share of their failure domain.
func (g *Gate) SetShares(demands []Demand, shares []Share) {
	now := time.Now()
	split := make(map[Key]Share, len(shares))
	for _, s := range shares {
		split[s.Key] = s
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range demands {
		a := g.byKey[d.Key]
		if a == nil {
			continue
		}
		s, ok := split[d.Key]
		if !ok {
			s = a.domainShare
		}
		a.setShare(now, s)
	}
	g.admitWaiting(now)
}

// setDomainShare sets the domain's equal share, which is in force until it is split.
func (a *account) setDomainShare(now time.Time, part Share) {
	if part == a.domainShare {
		return
	}
	inForce := a.share == a.domainShare
	a.domainShare = part
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
		a = &account{measuredAt: time.Now(), domainShare: none, share: none}
		g.orgs[id] = a
		g.byKey[NewKey(id)] = a
	}
	return a
}

// Enter waits until the request is admitted and returns a function that ends
// the answer. Otherwise it fails with Overloaded, which states that nothing was run
// and when to retry; it fails at once if the expected wait is too long. A resumed
// answer is always admitted, since it was admitted before.
func (g *Gate) Enter(ctx context.Context, r Request) (func(), error) {
	w, err := g.enqueue(r)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.admitted:
		return g.releaseFunc(r), nil
	default:
	}
	limited, cancel := context.WithTimeout(ctx, g.maxWait())
	defer cancel()
	select {
	case <-w.admitted:
		return g.releaseFunc(r), nil
	case <-limited.Done():
	}
	if g.withdraw(w) {
		return nil, overloaded(time.Now(), g.predictWait(), "no turn within %s", g.maxWait())
	}
	return g.releaseFunc(r), nil
}

func (g *Gate) maxWait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.policy.MaxWait
}

func overloaded(now time.Time, retryAfter time.Duration, format string, args ...any) error {
	return result.New(result.Overloaded, format, args...).AsNotRun().WithRetryAt(now.Add(max(retryAfter, time.Second)))
}

// enqueue queues a request, admits it if there is capacity, or refuses it.
func (g *Gate) enqueue(r Request) (*waiter, error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.account(r.Organisation)
	a.requested += float64(r.Cost)
	a.maxAnswers = r.MaxAnswers
	a.setDomainShare(now, r.Limits.PerDomain(r.Domains))
	w := &waiter{req: r, admitted: make(chan struct{})}
	if r.Resumed {
		g.admit(a, w)
		return w, nil
	}
	if err := g.refusal(now, a, &r, g.predictWaitLocked(a)); err != nil {
		return nil, err
	}
	if len(a.queue) == 0 {
		// An organisation accumulates no priority while it is idle.
		a.served = max(a.served, g.clock)
	}
	a.queue = append(a.queue, w)
	g.waiting++
	g.admitWaiting(now)
	return w, nil
}

// predictWait returns the expected wait of a request of an organisation that has
// none in the queue.
func (g *Gate) predictWait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.predictWaitLocked(&account{})
}

// predictWaitLocked returns the expected wait of a new request of an organisation,
// if all waiting organisations are served in turn.
func (g *Gate) predictWaitLocked(a *account) time.Duration {
	if g.open < g.policy.MaxAnswers && len(a.queue) == 0 {
		return 0
	}
	waitingOrgs := 0
	for _, o := range g.orgs {
		if len(o.queue) > 0 {
			waitingOrgs++
		}
	}
	ahead := 1 + min(g.waiting, (len(a.queue)+1)*max(waitingOrgs, 1))
	perAnswer := g.answerTime
	if perAnswer == 0 {
		perAnswer = defaultAnswerTime
	}
	return time.Duration(float64(perAnswer) * float64(ahead) / float64(max(g.policy.MaxAnswers, 1)))
}

// canAdmit reports whether an organisation may begin an answer now.
func (g *Gate) canAdmit(now time.Time, a *account) bool {
	switch {
	case g.open >= g.policy.MaxAnswers:
		return false
	case a.maxAnswers > 0 && a.open >= a.maxAnswers:
		return false
	case a.share.Answers >= 0 && a.open >= a.share.Answers:
		return false
	}
	return a.limiter == nil || a.limiter.TokensAt(now) > 0
}

// admitWaiting admits waiting requests while any fit, those of the least served
// organisation first.
func (g *Gate) admitWaiting(now time.Time) {
	for {
		var next *account
		for _, a := range g.orgs {
			if len(a.queue) == 0 || !g.canAdmit(now, a) {
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
	g.scheduleWake(now)
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

// scheduleWake arranges for admitWaiting to run when the first token bucket of a
// waiting organisation has tokens again.
func (g *Gate) scheduleWake(now time.Time) {
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
	if g.wakeTimer != nil {
		g.wakeTimer.Stop()
	}
	g.wakeTimer = time.AfterFunc(max(soonest, time.Millisecond), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.admitWaiting(time.Now())
	})
}

// withdraw removes a request from the queue. It returns false if the request was
// admitted meanwhile.
func (g *Gate) withdraw(w *waiter) bool {
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

// releaseFunc returns the function that ends an admitted answer.
func (g *Gate) releaseFunc(r Request) func() {
	begin := time.Now()
	var once sync.Once
	return func() { once.Do(func() { g.release(r, begin) }) }
}

func (g *Gate) release(r Request, begin time.Time) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.account(r.Organisation)
	a.open--
	g.open--
	took := now.Sub(begin)
	if g.answerTime == 0 {
		g.answerTime = took
	}
	g.answerTime += time.Duration(answerTimeWeight * float64(took-g.answerTime))
	g.admitWaiting(now)
}

// Charge takes prefilled or delivered tokens from an organisation's share. The share
// may go into debt; new answers then wait.
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

// Demands returns the demand of each organisation that has limits and was active
// since the last call.
func (g *Gate) Demands() []Demand {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []Demand
	for id, a := range g.orgs {
		busy := a.open > 0 || len(a.queue) > 0 || a.used+a.requested > 0
		d := a.updateDemand(now)
		if busy && (a.domainShare.Tokens >= 0 || a.domainShare.Answers >= 0) {
			d.Key = NewKey(id)
			all = append(all, d)
		}
	}
	return all
}

// updateDemand updates the average demand with the sample since the last call (the
// tokens used or requested, whichever is more) and returns it.
func (a *account) updateDemand(now time.Time) Demand {
	if since := now.Sub(a.measuredAt); since > 0 {
		// A single request just before the sample must not count as a high rate.
		newest := Rate(max(a.used, a.requested) / max(since, minDemandWindow).Seconds())
		a.demand += demandWeight * (newest - a.demand)
		a.used, a.requested = 0, 0
		a.measuredAt = now
	}
	return Demand{Tokens: a.demand, Answers: a.open + len(a.queue)}
}

// Counts is the number of answers in progress and of waiting requests.
type Counts struct {
	Open    int
	Waiting int
}

// Counts returns the answers in progress and the waiting requests.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Counts{Open: g.open, Waiting: g.waiting}
}
