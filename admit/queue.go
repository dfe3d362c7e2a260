package admit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"quetzalhold/cost"
	"quetzalhold/engine"
	"quetzalhold/routing"
)

// Ticket is a stream in a [Queue]. Its fields are not to be changed.
type Ticket struct {
	Stream
	Position int // how many streams were before it when it came
	// NoRoom is how often none of the engines considered had room for its KV cache.
	NoRoom int

	state     ticketState
	startedAt time.Time
	// notBefore is when engines are tried again that had no room; zero if none were tried.
	notBefore time.Time
	triedAt   time.Time // when engines were last tried
	seq       int64
	counted   bool // its outcome is counted
}

type ticketState int

const (
	stateWaiting ticketState = iota
	statePending
	stateEnded
)

// Queue holds the streams of a service that wait at an entry VM, and counts those that are pending at engines.
// The zero value is empty, and lets all streams start at once. Its methods must not be called concurrently.
type Queue struct {
	// Random returns a number from 0 to 1; nil uses package rand.
	Random func() float64

	waiting  []*Ticket
	pending  perRank
	count    int // pending streams
	starting [Ranks]flow
	outcomes [Ranks]outcomes
	served   map[routing.Organisation]float64 // tokens, decaying
	credit   perRank                          // tokens that a rank is due of its least share
	tickedAt time.Time
	usual    float64 // length of a usual prompt
	times    firstEvents
	first    time.Duration // expected time to the first event, as of tickedAt
	noRoomAt [Ranks]time.Time
	held     [Ranks]bool // ranks held back, as of tickedAt
	seq      int64

	grant      Grant
	grantUntil time.Time
	window     engine.Tokens // as this entry VM estimates it; 0 if it is unknown
	entryVMs   int
}

const (
	// shareValidFor is how long a share holds, from the report on which it was granted.
	shareValidFor = 2 * time.Second
	// roomDelay is when engines are tried again after none of those considered had room. Streams of less
	// urgent ranks wait for twice as long, so that they don't take room that becomes free.
	roomDelay = 200 * time.Millisecond
	// roomHold is how long streams wait at most for more urgent ones that find no room.
	roomHold = 2 * time.Second
	// noRoomFor is how long a service without room at the engines considered counts as under pressure.
	noRoomFor = time.Second
	// answerMargin is how long before the deadline a stream is rejected at the latest, to be answered in time.
	answerMargin = 200 * time.Millisecond
	// usualWeight is the divisor by which one prompt counts in the usual length.
	usualWeight = 16
	// servedHalfLife is the time after which what an organisation was served counts half.
	servedHalfLife = 10 * time.Second
	// maxCredit bounds what a rank may be due, in usual prompts.
	maxCredit = 2
	// timelyShare is the part of the time to its objective for which a stream counts as in time, however
	// long first events take: otherwise slow engines would put the most urgent streams last.
	timelyShare = 0.35
)

// Estimate sets the window of the service as this entry VM estimates it, 0 if it is unknown, and the number
// of entry VMs. They apply while no share is in force.
func (q *Queue) Estimate(window engine.Tokens, entryVMs int) { q.window, q.entryVMs = window, entryVMs }

// Usual returns the length of a usual prompt; 0 if there was none.
func (q *Queue) Usual() engine.Tokens { return engine.Tokens(q.usual) }

// SetGrant puts the share in force that was granted on the report of an instant, and returns the decisions
// that follow.
func (q *Queue) SetGrant(now, reportedAt time.Time, g Grant) []Decision {
	if until := reportedAt.Add(shareValidFor); !until.Before(q.grantUntil) {
		q.grant, q.grantUntil = g, until
	}
	return q.Advance(now)
}

// Add adds a stream that has come and returns the decisions that follow. The stream waits if there is none
// about it. An answer under way starts at once.
func (q *Queue) Add(now time.Time, s Stream) (*Ticket, []Decision) {
	q.seq++
	t := &Ticket{Stream: s, seq: q.seq}
	q.tick(now)
	if t.UnderWay() {
		return t, []Decision{q.start(now, t, UnderWay)}
	}
	if q.usual == 0 {
		q.usual = float64(t.Tokens)
	}
	q.usual += (float64(t.Tokens) - q.usual) / usualWeight
	for _, o := range q.waiting {
		if q.before(now, o, t) {
			t.Position++
		}
	}
	q.waiting = append(q.waiting, t)
	list := q.Advance(now)
	if t.state != stateWaiting || !q.UnderPressure(now) {
		return t, list
	}
	if q.waitsTooLong(now, t) {
		list = append(list, q.reject(now, t, WaitTooLong))
	}
	return t, list
}

// waitsTooLong reports whether the wait expected of a stream leaves it too little time.
func (q *Queue) waitsTooLong(now time.Time, t *Ticket) bool {
	wait, ahead, _ := q.expectedWait(now, t)
	return ahead > 0 && t.Deadline.Sub(now)-wait < t.Need
}

// First records that a pending stream has had its first event and returns the decisions that follow.
func (q *Queue) First(now time.Time, t *Ticket) []Decision {
	if t.state == statePending && !t.UnderWay() {
		q.times.add(now, now.Sub(t.startedAt))
		q.record(now, t, t.WantedAt.IsZero() || !now.After(t.WantedAt))
	}
	return q.End(now, t)
}

// End records that a stream has ended, or its caller has left, and returns the decisions that follow.
func (q *Queue) End(now time.Time, t *Ticket) []Decision {
	switch t.state {
	case stateEnded:
		return nil
	case statePending:
		q.release(t)
	case stateWaiting:
		q.remove(t)
	}
	t.state = stateEnded
	q.record(now, t, false)
	return q.Advance(now)
}

// record counts the outcome of a stream, unless it is counted.
func (q *Queue) record(now time.Time, t *Ticket, inTime bool) {
	if !t.counted && !t.UnderWay() {
		q.outcomes[t.Rank].add(now, inTime)
	}
	t.counted = true
}

// Return lets a stream that has started wait again, since none of the engines considered has room for its KV
// cache, and returns the decisions that follow.
func (q *Queue) Return(now time.Time, t *Ticket) []Decision {
	if t.state != statePending {
		return nil
	}
	q.release(t)
	q.starting[t.Rank].add(now, -t.Tokens)
	q.credit[t.Rank] += float64(t.Tokens)
	q.served[t.Organisation] -= float64(t.Tokens)
	t.state, t.notBefore = stateWaiting, now.Add(roomDelay+time.Duration(q.random()*float64(roomDelay)/2))
	t.triedAt = now
	t.NoRoom++
	q.noRoomAt[t.Rank] = now
	q.waiting = append(q.waiting, t)
	return q.Advance(now)
}

// Advance returns the decisions that follow from the time that has passed.
func (q *Queue) Advance(now time.Time) []Decision {
	q.tick(now)
	var list []Decision
	pressure := q.UnderPressure(now)
	for _, t := range slices.Clone(q.waiting) {
		switch timely := q.timely(now, t); {
		case !now.Before(t.Deadline.Add(-max(t.Need, answerMargin))):
			list = append(list, q.reject(now, t, NoTimeLeft))
		case !timely && pressure && q.waitsTooLong(now, t):
			// Its caller can return while there is time, and does not wait in vain.
			list = append(list, q.reject(now, t, WaitTooLong))
		case !timely:
			q.record(now, t, false)
		}
	}
	for {
		t, why, ok := q.next(now)
		if !ok {
			return list
		}
		q.remove(t)
		list = append(list, q.start(now, t, why))
	}
}

// UnderPressure reports whether the service is under pressure: its streams need more than the window, or
// found no room for their KV cache lately.
func (q *Queue) UnderPressure(now time.Time) bool {
	if _, limited := q.limit(now); limited {
		return true
	}
	return slices.ContainsFunc(q.noRoomAt[:], func(at time.Time) bool { return now.Sub(at) < noRoomFor })
}

// SetNeed sets the least time that a waiting stream takes, which was unknown when it came.
func (q *Queue) SetNeed(t *Ticket, need time.Duration) {
	if t.state == stateWaiting {
		t.Need = need
	}
}

// Waiting returns how many streams wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Status is the state of a queue.
type Status struct {
	Service routing.ServiceName
	Waiting [Ranks]int
	Pending engine.Tokens
	Share   engine.Tokens // in force; 0 if there is no pressure
	Window  engine.Tokens // of the whole service; 0 if it is unknown
}

// Status returns the state of the queue.
func (q *Queue) Status(now time.Time) Status {
	s := Status{Pending: engine.Tokens(q.pending.sum()), Window: q.window}
	if now.Before(q.grantUntil) {
		s.Window = q.grant.Window
	}
	if limit, limited := q.limit(now); limited {
		s.Share = limit
	}
	for _, t := range q.waiting {
		s.Waiting[t.Rank]++
	}
	return s
}

// Demand returns what the streams need, to be reported.
func (q *Queue) Demand(now time.Time) Demand {
	q.tick(now)
	d := Demand{Window: q.window, FirstEvents: q.times.recent(now), Ranks: q.demands(now)}
	if limit, limited := q.limit(now); limited {
		d.Share = limit
	}
	return d
}

func (q *Queue) demands(now time.Time) []RankDemand {
	var waiting, late perRank
	for _, t := range q.waiting {
		if q.timely(now, t) {
			waiting[t.Rank] += float64(t.Tokens)
		} else {
			late[t.Rank] += float64(t.Tokens)
		}
	}
	var list []RankDemand
	for r := range Rank(Ranks) {
		ended, inTime := q.outcomes[r].values(now)
		if q.pending[r]+waiting[r]+late[r] > 0 || ended >= minOutcome {
			list = append(list, RankDemand{
				Rank: r, Pending: engine.Tokens(q.pending[r]), Waiting: engine.Tokens(waiting[r]), Late: engine.Tokens(late[r]),
				Ended: rounded(ended), InTime: rounded(inTime),
			})
		}
	}
	return list
}

// minOutcome is the least number of outcomes that is reported.
const minOutcome = 0.1

// rounded returns a number of outcomes with the digits that are sent.
func rounded(x float64) float64 { return math.Round(1000*x) / 1000 }

// limit returns the number of tokens that may be pending, and whether there is a limit.
func (q *Queue) limit(now time.Time) (engine.Tokens, bool) {
	if now.Before(q.grantUntil) {
		return q.grant.total(), q.grant.Pressure
	}
	part := cmp.Or(q.window, q.grant.Window) / engine.Tokens(max(1, q.entryVMs))
	if part == 0 {
		return 0, false
	}
	need := q.pending.sum()
	for _, t := range q.waiting {
		need += float64(t.Tokens)
	}
	return part, need > float64(part)
}

// next returns the stream that starts next, if one may start now.
func (q *Queue) next(now time.Time) (*Ticket, Reason, bool) {
	t, guaranteed := q.pick(now)
	if t == nil {
		return nil, 0, false
	}
	limit, limited := q.limit(now)
	switch {
	case !limited && !now.Before(q.grantUntil) && q.window == 0:
		return t, NoWindow, true
	case !limited:
		return t, NoPressure, true
	case q.count == 0:
		return t, OnlyPending, true
	case q.pending.sum()+float64(t.Tokens)/2 > float64(limit): // the nearest number of whole prompts
		return nil, 0, false
	case guaranteed:
		return t, Guaranteed, true
	}
	return t, WithinShare, true
}

// pick returns the first stream in the order of waiting, or one of another rank whose guaranteed part is due.
func (q *Queue) pick(now time.Time) (t *Ticket, guaranteed bool) {
	var heads [Ranks]*Ticket
	var best *Ticket
	for _, x := range q.waiting {
		if !q.ready(now, x) {
			continue
		}
		if h := heads[x.Rank]; h == nil || q.before(now, x, h) {
			heads[x.Rank] = x
		}
		if best == nil || q.before(now, x, best) {
			best = x
		}
	}
	t = best
	for r, h := range heads {
		if h == nil || best.Rank == Rank(r) || q.credit[r] <= min(float64(h.Tokens), maxCredit*q.usual) {
			continue
		}
		if !guaranteed || q.credit[r] > q.credit[t.Rank] {
			t, guaranteed = h, true
		}
	}
	return t, guaranteed
}

// ready reports whether a stream may start: it did not find engines without room lately, nor did a more
// urgent one, unless that goes on for long.
func (q *Queue) ready(now time.Time, t *Ticket) bool {
	if now.Before(t.notBefore) {
		return false
	}
	last := t.triedAt
	if last.IsZero() {
		last = t.CameAt
	}
	if now.Sub(last) >= roomHold {
		return true
	}
	return !slices.ContainsFunc(q.noRoomAt[:t.Rank], func(at time.Time) bool { return now.Sub(at) < 2*roomDelay })
}

// before reports whether a starts before b: those that are not held back, then those that can be in time, then by priority, then of the
// organisation that was served least, then the one that is wanted first.
func (q *Queue) before(now time.Time, a, b *Ticket) bool {
	if x, y := q.held[a.Rank], q.held[b.Rank]; x != y {
		return y
	}
	if x, y := q.timely(now, a), q.timely(now, b); x != y {
		return x
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if x, y := q.served[a.Organisation], q.served[b.Organisation]; a.Organisation != b.Organisation && x != y {
		return x < y
	}
	if a.WantedAt.IsZero() != b.WantedAt.IsZero() {
		return b.WantedAt.IsZero()
	}
	return cmp.Or(a.WantedAt.Compare(b.WantedAt), cmp.Compare(a.seq, b.seq)) < 0
}

// timely reports whether a stream that starts now can have its first event in time.
func (q *Queue) timely(now time.Time, t *Ticket) bool {
	if t.WantedAt.IsZero() {
		return true
	}
	takes := min(q.first, time.Duration((1-timelyShare)*float64(t.WantedAt.Sub(t.CameAt))))
	return !now.Add(takes).After(t.WantedAt)
}

// expectedWait returns how long a stream is likely to wait: for the streams ahead of it, at the rate at which
// such streams have started.
func (q *Queue) expectedWait(now time.Time, t *Ticket) (wait time.Duration, ahead engine.Tokens, rate cost.Rate) {
	for _, o := range q.waiting {
		if o != t && q.before(now, o, t) {
			ahead += o.Tokens
		}
	}
	for r := range t.Rank + 1 {
		rate += cost.Rate(q.starting[r].value(now))
	}
	// One prompt in the time of a stream is the least, as after a pause.
	rate = max(rate, cost.Rate(q.usual/t.Deadline.Sub(now).Seconds()))
	return rate.Time(ahead), ahead, rate
}

// tick lets ranks earn credit from their shares, and counts what organisations were served less.
func (q *Queue) tick(now time.Time) {
	if q.served == nil {
		q.served = make(map[routing.Organisation]float64)
	}
	passed := now.Sub(q.tickedAt)
	if !q.tickedAt.IsZero() && passed <= 0 {
		return
	}
	passed = min(passed, time.Second) // more is no reason for a burst
	q.first = q.expectedFirst(now)
	q.held = [Ranks]bool{}
	if now.Before(q.grantUntil) && q.grant.Pressure {
		for _, r := range q.grant.Held {
			q.held[r] = true
		}
	}
	decay := math.Exp2(-passed.Seconds() / servedHalfLife.Seconds())
	for o := range q.served {
		if q.served[o] *= decay; math.Abs(q.served[o]) < 1 {
			delete(q.served, o)
		}
	}
	q.tickedAt = now
	if _, limited := q.limit(now); !limited {
		q.credit = perRank{}
		return
	}
	for _, s := range q.shares(now) {
		due := float64(s.Least) * passed.Seconds() / q.first.Seconds()
		q.credit[s.Rank] = min(q.credit[s.Rank]+due, maxCredit*q.usual)
	}
}

// expectedFirst returns the time to the first event that is expected of a stream that starts now.
func (q *Queue) expectedFirst(now time.Time) time.Duration {
	recent := q.times.recent(now)
	if now.Before(q.grantUntil) && q.grant.FirstEvents.Count > recent.Count {
		recent = q.grant.FirstEvents
	}
	if recent.Count == 0 {
		return targetBacklog
	}
	return max(time.Millisecond, time.Duration(firstEventMargin*float64(recent.Mean)))
}

// shares returns the shares of the ranks.
func (q *Queue) shares(now time.Time) []Share {
	if now.Before(q.grantUntil) {
		return q.grant.Shares
	}
	limit, _ := q.limit(now)
	var n needs
	n.add(q.demands(now))
	return shares(divide(float64(limit), &n), &n, &n)
}

func (q *Queue) start(now time.Time, t *Ticket, why Reason) Decision {
	t.state, t.startedAt = statePending, now
	q.pending[t.Rank] += float64(t.Tokens)
	q.count++
	if !t.UnderWay() {
		q.starting[t.Rank].add(now, t.Tokens)
		q.served[t.Organisation] += float64(t.Tokens)
		q.credit[t.Rank] = max(q.credit[t.Rank]-float64(t.Tokens), -maxCredit*q.usual)
	}
	return Decision{Ticket: t, Action: Start, Reason: why}
}

// release counts a stream as pending no longer.
func (q *Queue) release(t *Ticket) {
	q.pending[t.Rank] = max(0, q.pending[t.Rank]-float64(t.Tokens))
	q.count--
}

func (q *Queue) remove(t *Ticket) {
	q.waiting = slices.DeleteFunc(q.waiting, func(x *Ticket) bool { return x == t })
}

func (q *Queue) reject(now time.Time, t *Ticket, why Reason) Decision {
	wait, ahead, rate := q.expectedWait(now, t)
	q.remove(t)
	t.state = stateEnded
	q.record(now, t, false)
	return Decision{
		Ticket: t, Action: Reject, Reason: why, ExpectedWait: wait, Ahead: ahead, Rate: rate,
		RetryAt: now.Add(retryAfter(wait, t.Deadline.Sub(now), q.random())),
	}
}

func (q *Queue) random() float64 {
	if q.Random != nil {
		return q.Random()
	}
	return rand.Float64()
}

// The bounds of Retry-After: callers honour it up to a third of the time that they have left.
const (
	minRetryAfter   = 300 * time.Millisecond
	maxRetryDivisor = 3
	// retrySpread is the time over which returns are spread, as a part of the time until they may come.
	retrySpread = 0.5
)

// retryAfter returns when a caller is to come back: once the backlog is expected to have cleared, spread by a
// random number from 0 to 1.
func retryAfter(clears, left time.Duration, random float64) time.Duration {
	most := max(minRetryAfter, left/maxRetryDivisor)
	from := min(max(clears, minRetryAfter), max(minRetryAfter, time.Duration(float64(most)/(1+retrySpread))))
	return min(from+time.Duration(random*retrySpread*float64(from)), most)
}
