package backend_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/backend"
)

// The rule on retries, and how entry VMs share its budget.
const (
	retryRatio   = 0.8
	retrySlack   = 150
	retryWindow  = 10 * time.Second
	budgetPart   = 0.85 // of ratio and slack that the entry VMs use
	leastVMs     = 8    // among which the slack is divided while the others are unknown
	reportPeriod = 500 * time.Millisecond
	retryTick    = 10 * time.Millisecond
	sendsAtMost  = 12 // of one request
)

// budgetDomain is a failure domain of entry VMs that report their usage to each other.
type budgetDomain struct {
	random     *rand.Rand
	budgets    []*backend.RetryBudget
	allotments backend.Allotments
	requests   []time.Time
	retries    []time.Time
}

func newBudgetDomain(seed uint64, vms int) *budgetDomain {
	d := &budgetDomain{random: rand.New(rand.NewPCG(seed, 24))}
	for range vms {
		b := &backend.RetryBudget{Ratio: budgetPart * retryRatio, Window: retryWindow}
		b.SetSlack(budgetPart * retrySlack / float64(max(leastVMs, vms)))
		d.budgets = append(d.budgets, b)
	}
	return d
}

// exchange lets an entry VM report its usage and receive its limit.
func (d *budgetDomain) exchange(now time.Time, i int) {
	exchangeLimits(now, &d.allotments, d.budgets[i], i)
}

func exchangeLimits(now time.Time, a *backend.Allotments, b *backend.RetryBudget, i int) {
	b.Follow(now, "issuer")
	for _, l := range a.Grant(now, retryWindow, fmt.Sprint(i), []backend.Usage{b.Usage(now)}) {
		b.SetLimit(now, now, l.Retries)
	}
}

// play sends perSecond requests for length. From refuseAt on all engines refuse, so that each
// request is sent as often as the budget allows.
func (d *budgetDomain) play(start time.Time, length, refuseAt time.Duration, perSecond float64) {
	for t := time.Duration(0); t < length; t += retryTick {
		now := start.Add(t)
		for i, b := range d.budgets {
			if (t/retryTick+time.Duration(i))%(reportPeriod/retryTick) == 0 {
				d.exchange(now, i)
			}
			if d.random.Float64() >= perSecond*retryTick.Seconds()/float64(len(d.budgets)) {
				continue
			}
			b.Request(now)
			d.requests = append(d.requests, now)
			for n := 1; n < sendsAtMost && t >= refuseAt && b.Allow(now); n++ {
				d.retries = append(d.retries, now)
			}
		}
	}
}

// worst returns by how many retries the worst window is over what the rule allows.
func (d *budgetDomain) worst(start time.Time, length time.Duration) int {
	count := func(list []time.Time, from time.Time) int {
		n := 0
		for _, t := range list {
			if !t.Before(from) && t.Before(from.Add(retryWindow)) {
				n++
			}
		}
		return n
	}
	over := -retrySlack
	for t := time.Duration(0); t <= length-retryWindow; t += 100 * time.Millisecond {
		from := start.Add(t)
		requests := max(count(d.requests, from), count(d.requests, from.Add(-retryWindow)), count(d.requests, from.Add(-retryWindow/2)))
		over = max(over, count(d.retries, from)-int(retryRatio*float64(requests))-retrySlack)
	}
	return over
}

// TestBudgetOverspentBetweenReports lets all engines refuse from one instant on: the entry VMs of
// a failure domain must not spend the same remainder between two reports.
func TestBudgetOverspentBetweenReports(t *testing.T) {
	start := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	for _, vms := range []int{2, 7, 12, 30, 50} {
		for seed := range uint64(4) {
			Convey(fmt.Sprintf("%d entry VMs, seed %d", vms, seed), t, func() {
				d := newBudgetDomain(seed, vms)
				d.play(start, 40*time.Second, 15*time.Second, 60)
				So(d.worst(start, 40*time.Second), ShouldBeLessThanOrEqualTo, 0)
			})
		}
	}
}
