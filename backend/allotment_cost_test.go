package backend_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/backend"
)

// A stream that has begun waits for a retry, for streamWait at most; any other request is refused if
// it cannot be sent again at once.
const (
	streamWait = 3 * time.Second
	shortDelay = 200 * time.Millisecond // least time between two reports of an entry VM
)

// costDomain is a failure domain in which requests need retries now and then.
type costDomain struct {
	*budgetDomain
	// allow reports whether an entry VM may send a retry.
	allow func(now time.Time, i int) bool
	// exchangeAll lets the entry VMs whose turn it is report.
	exchangeAll func(now time.Time)
	waiting     []retryNeed
	wanted      int
	sent        int
	waited      time.Duration
	atOnce      int
	lost        int
}

// retryNeed is a retry that a request needs.
type retryNeed struct {
	since time.Time
	vm    int
}

// newCostDomain returns a domain whose entry VMs have limits.
func newCostDomain(seed uint64, vms int) *costDomain {
	d := &costDomain{budgetDomain: newBudgetDomain(seed, vms)}
	reports := make([]time.Time, vms)
	short := make([]bool, vms)
	for i, b := range d.budgets {
		b.OnShort = func() { short[i] = true }
	}
	d.allow = func(now time.Time, i int) bool { return d.budgets[i].Allow(now) }
	d.exchangeAll = func(now time.Time) {
		for i := range d.budgets {
			if age := now.Sub(reports[i]); age >= reportPeriod || short[i] && age >= shortDelay {
				d.exchange(now, i)
				reports[i], short[i] = now, false
			}
		}
	}
	return d
}

// newFormerDomain returns a domain whose entry VMs spend what the last reports of the others leave,
// so that all may spend it.
func newFormerDomain(seed uint64, vms int) *costDomain {
	d := &costDomain{budgetDomain: newBudgetDomain(seed, vms)}
	usage := make([]backend.Usage, vms)
	others := make([]backend.Usage, vms)
	for _, b := range d.budgets {
		b.SetSlack(1e9) // the rule below decides
	}
	slack := budgetPart * retrySlack * float64(vms) / float64(max(leastVMs, vms))
	d.allow = func(now time.Time, i int) bool {
		u := d.budgets[i].Usage(now)
		earned := budgetPart*retryRatio*float64(u.Requests+others[i].Requests) + slack
		return float64(u.Retries+others[i].Retries+1) <= earned && d.budgets[i].Allow(now)
	}
	tick := 0
	d.exchangeAll = func(now time.Time) {
		for i := range d.budgets {
			if (tick+i)%int(reportPeriod/retryTick) != 0 {
				continue
			}
			usage[i], others[i] = d.budgets[i].Usage(now), backend.Usage{}
			for j, u := range usage {
				if j != i {
					others[i].Requests += u.Requests
					others[i].Retries += u.Retries
				}
			}
		}
		tick++
	}
	return d
}

// play sends perSecond requests for length. needs returns the number of retries that each entry VM
// needs at a time.
func (d *costDomain) play(start time.Time, length time.Duration, perSecond float64, needs func(t time.Duration, i int) int) {
	for t := time.Duration(0); t < length; t += retryTick {
		now := start.Add(t)
		d.exchangeAll(now)
		for i, b := range d.budgets {
			if d.random.Float64() < perSecond*retryTick.Seconds()/float64(len(d.budgets)) {
				b.Request(now)
				d.requests = append(d.requests, now)
			}
			for range needs(t, i) {
				d.wanted++
				d.waiting = append(d.waiting, retryNeed{since: now, vm: i})
			}
		}
		left := d.waiting[:0]
		for _, n := range d.waiting {
			switch {
			case d.allow(now, n.vm):
				d.sent++
				d.waited += now.Sub(n.since)
				if now.Equal(n.since) {
					d.atOnce++
				}
				d.retries = append(d.retries, now)
			case now.Sub(n.since) >= streamWait:
				d.lost++
			default:
				left = append(left, n)
			}
		}
		d.waiting = left
	}
}

// TestAllotmentsCost compares the retries that callers get, and how long they wait for them, with
// entry VMs that spend all that the last reports leave.
func TestAllotmentsCost(t *testing.T) {
	start := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	const (
		perSecond = 60
		failAt    = 15 * time.Second
		length    = 30 * time.Second
	)
	for _, day := range []struct {
		name     string
		mostLost float64       // share
		mostWait time.Duration // mean
		needs    func(r *rand.Rand, vms int) func(t time.Duration, i int) int
	}{
		{"calm day", 0, 0, func(r *rand.Rand, vms int) func(time.Duration, int) int {
			return func(time.Duration, int) int {
				if r.Float64() < 0.02*perSecond*retryTick.Seconds()/float64(vms) {
					return 1
				}
				return 0
			}
		}},
		{"one failing server", 0, 0, func(r *rand.Rand, vms int) func(time.Duration, int) int {
			lost := make([]int, vms)
			for range 16 {
				lost[r.IntN(vms)]++
			}
			return func(t time.Duration, i int) int {
				if t == failAt {
					return lost[i]
				}
				return 0
			}
		}},
		{"one failing domain", 0, 50 * time.Millisecond, func(r *rand.Rand, vms int) func(time.Duration, int) int {
			lost := make([]int, vms)
			for range 240 {
				lost[r.IntN(vms)]++
			}
			return func(t time.Duration, i int) int {
				if t == failAt {
					return lost[i]
				}
				return 0
			}
		}},
		{"one failing domain, streams of a quarter of the entry VMs", 0, 800 * time.Millisecond, func(r *rand.Rand, vms int) func(time.Duration, int) int {
			lost := make([]int, vms)
			for range 240 {
				lost[r.IntN((vms+3)/4)]++
			}
			return func(t time.Duration, i int) int {
				if t == failAt {
					return lost[i]
				}
				return 0
			}
		}},
	} {
		for _, vms := range []int{2, 12, 50} {
			Convey(fmt.Sprintf("%s, %d entry VMs", day.name, vms), t, func() {
				former, d := newFormerDomain(1, vms), newCostDomain(1, vms)
				former.play(start, length, perSecond, day.needs(rand.New(rand.NewPCG(1, 27)), vms))
				d.play(start, length, perSecond, day.needs(rand.New(rand.NewPCG(1, 27)), vms))
				mean := func(d *costDomain) time.Duration { return d.waited / time.Duration(max(1, d.sent)) }
				t.Logf("%s, %d entry VMs: wanted %d; sent %d, %d at once, mean wait %v, lost %d; before: sent %d, %d at once, mean wait %v, lost %d",
					day.name, vms, d.wanted, d.sent, d.atOnce, mean(d), d.lost, former.sent, former.atOnce, mean(former), former.lost)
				So(d.wanted, ShouldEqual, former.wanted)
				So(float64(d.lost), ShouldBeLessThanOrEqualTo, float64(former.lost)+day.mostLost*float64(d.wanted))
				So(mean(d), ShouldBeLessThanOrEqualTo, mean(former)+day.mostWait)
				So(d.worst(start, length), ShouldBeLessThanOrEqualTo, 0)
			})
		}
	}
}
