package backend_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/backend"
)

// issuer is an entry VM that grants limits to others.
type issuer struct {
	epoch      string
	allotments backend.Allotments
}

// poll is a report on its way, or its answer.
type poll struct {
	from       string
	reportedAt time.Time
	usage      backend.Usage
	to         *issuer
	epoch      string // that the report names
	arrivesAt  time.Time
	answersAt  time.Time
	givenUpAt  time.Time
	lost       bool
	granted    bool
	limits     []backend.Limit
}

// follower is an entry VM that reports to one of two issuers.
type follower struct {
	id       string
	budget   *backend.RetryBudget
	to       int
	epoch    string // of the issuer that answered last
	poll     *poll
	pollAt   time.Time
	pausedTo time.Time
}

// Faults of the exchange, and times of polls.
const (
	lostShare       = 0.1
	pausesPerSecond = 0.03
	movesPerSecond  = 0.05
	issuersPerSec   = 0.03
	longestPause    = 8 * time.Second
	longestDelay    = 300 * time.Millisecond
	longestWait     = 500 * time.Millisecond
	pollTimeout     = 900 * time.Millisecond
)

// faultyDomain is a failure domain in which reports are late, lost and stale, issuers start anew,
// and entry VMs disagree on which one to follow.
type faultyDomain struct {
	random    *rand.Rand
	issuers   [2]*issuer
	epochs    int
	followers []*follower
	requests  []time.Time
	retries   []time.Time
}

func newFaultyDomain(start time.Time, seed uint64, vms int, ratio, slack float64) *faultyDomain {
	d := &faultyDomain{random: rand.New(rand.NewPCG(seed, 25))}
	for i := range d.issuers {
		d.replaceIssuer(i)
	}
	for i := range vms {
		b := &backend.RetryBudget{Ratio: ratio, Window: retryWindow}
		b.SetSlack(slack / float64(vms))
		d.followers = append(d.followers, &follower{id: fmt.Sprint(i), budget: b, pollAt: start.Add(d.upTo(longestWait))})
	}
	return d
}

func (d *faultyDomain) replaceIssuer(i int) {
	d.epochs++
	d.issuers[i] = &issuer{epoch: fmt.Sprint(d.epochs)}
}

func (d *faultyDomain) upTo(most time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(most)))
}

func (d *faultyDomain) chance(perSecond float64) bool {
	return d.random.Float64() < perSecond*retryTick.Seconds()
}

// step lets reports and answers that are due arrive.
func (d *faultyDomain) step(now time.Time) {
	for i := range d.issuers {
		if d.chance(issuersPerSec) {
			d.replaceIssuer(i)
		}
	}
	for _, f := range d.followers {
		if d.chance(pausesPerSecond) {
			f.pausedTo = now.Add(d.upTo(longestPause))
		}
		if d.chance(movesPerSecond) {
			f.to = 1 - f.to
		}
		d.serve(f.poll, now)
		if now.Before(f.pausedTo) {
			continue
		}
		d.receive(f, now)
		if f.poll == nil && !now.Before(f.pollAt) {
			d.send(f, now)
		}
	}
}

func (d *faultyDomain) send(f *follower, now time.Time) {
	arrives := now.Add(d.upTo(longestDelay))
	f.poll = &poll{
		from: f.id, reportedAt: now, usage: f.budget.Usage(now), to: d.issuers[f.to], epoch: f.epoch,
		arrivesAt: arrives, answersAt: arrives.Add(d.upTo(longestWait) + d.upTo(longestDelay)),
		givenUpAt: now.Add(pollTimeout), lost: d.random.Float64() < lostShare,
	}
	if d.random.Float64() < lostShare {
		f.poll.to = &issuer{}
	}
}

func (d *faultyDomain) serve(p *poll, now time.Time) {
	if p == nil || p.granted || now.Before(p.arrivesAt) {
		return
	}
	p.granted = true
	if p.epoch == p.to.epoch {
		p.limits = p.to.allotments.Grant(now, retryWindow, p.from, []backend.Usage{p.usage})
	}
}

func (d *faultyDomain) receive(f *follower, now time.Time) {
	p := f.poll
	switch {
	case p == nil:
	case !now.Before(p.answersAt) && p.granted && !p.lost && p.to.epoch != "":
		f.budget.Follow(now, p.to.epoch)
		if p.epoch == p.to.epoch {
			for _, l := range p.limits {
				f.budget.SetLimit(now, p.reportedAt, l.Retries)
			}
		}
		f.epoch, f.poll, f.pollAt = p.to.epoch, nil, now
	case !now.Before(p.givenUpAt):
		f.poll, f.pollAt = nil, now.Add(d.upTo(longestWait))
	}
}

// play sends perSecond requests for length. From refuseAt on each is sent as often as its entry VM
// may; before, some entry VMs use up what they have from time to time.
func (d *faultyDomain) play(start time.Time, length, refuseAt time.Duration, perSecond float64) {
	for t := time.Duration(0); t < length; t += retryTick {
		now := start.Add(t)
		d.step(now)
		for _, f := range d.followers {
			wants := 0
			if d.chance(perSecond / float64(len(d.followers))) {
				f.budget.Request(now)
				d.requests = append(d.requests, now)
				if t >= refuseAt {
					wants = sendsAtMost - 1
				}
			}
			if d.chance(0.02) {
				wants = 1000
			}
			for n := 0; n < wants && !now.Before(f.pausedTo) && f.budget.Allow(now); n++ {
				d.retries = append(d.retries, now)
			}
		}
	}
}

// TestAllotmentsUnderFaults checks the bound over random faults of the exchange.
func TestAllotmentsUnderFaults(t *testing.T) {
	start := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	for seed := range uint64(16) {
		random := rand.New(rand.NewPCG(seed, 26))
		vms := 2 + random.IntN(49)
		Convey(fmt.Sprintf("Retries stay within the rule: %d entry VMs, seed %d", vms, seed), t, func() {
			d := newFaultyDomain(start, seed, vms, budgetPart*retryRatio, budgetPart*retrySlack)
			d.play(start, 60*time.Second, time.Duration(10+random.IntN(20))*time.Second, 60)
			counts := budgetDomain{requests: d.requests, retries: d.retries}
			So(counts.worst(start, 60*time.Second), ShouldBeLessThanOrEqualTo, 0)
		})
		// What need not be earned does not change, so that there is no margin to hide in.
		Convey(fmt.Sprintf("Limits never add up to more than was earned: %d entry VMs, seed %d", vms, seed), t, func() {
			d := newFaultyDomain(start, seed, vms, 0, retrySlack)
			d.play(start, 60*time.Second, 0, 60)
			first, worst := 0, 0
			for last := range d.retries {
				for d.retries[last].Sub(d.retries[first]) >= retryWindow {
					first++
				}
				worst = max(worst, last-first+1)
			}
			So(worst, ShouldBeLessThanOrEqualTo, retrySlack)
			So(worst, ShouldBeGreaterThan, 0)
		})
	}
}

// TestSilentBorrower checks that what was lent to an entry VM counts until its retries have left
// the window, also if it is not heard of again.
func TestSilentBorrower(t *testing.T) {
	Convey("A silent entry VM keeps what it has borrowed", t, func() {
		start := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
		var a backend.Allotments
		earned := func(b *backend.RetryBudget, n float64) *backend.RetryBudget {
			b.Window = retryWindow
			b.SetSlack(n)
			return b
		}
		lender, borrower, third := earned(&backend.RetryBudget{}, 20), earned(&backend.RetryBudget{}, 0), earned(&backend.RetryBudget{}, 0)
		So(borrower.Allow(start), ShouldBeFalse)
		spend := func(b *backend.RetryBudget, now time.Time) int {
			n := 0
			for b.Allow(now) {
				n++
			}
			return n
		}
		for i := range 3 {
			exchangeLimits(start.Add(time.Duration(i)*retryTick), &a, lender, 0)
			exchangeLimits(start.Add(time.Duration(i)*retryTick), &a, borrower, 1)
		}
		lent := spend(borrower, start.Add(time.Second))
		So(lent, ShouldBeGreaterThan, 4)
		all := lent
		for t := time.Second; t < time.Second+retryWindow; t += reportPeriod {
			exchangeLimits(start.Add(t), &a, lender, 0)
			exchangeLimits(start.Add(t), &a, third, 2)
			all += spend(lender, start.Add(t)) + spend(third, start.Add(t))
		}
		So(all, ShouldBeLessThanOrEqualTo, 20)
	})
}
