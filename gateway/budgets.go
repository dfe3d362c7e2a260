package gateway

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/clock"
	"quetzalhold/feed"
	"quetzalhold/routing"
)

// budget returns the retry budget of a service.
func (d *Daemon) budget(n routing.ServiceName) *backend.RetryBudget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.budgets[n]
	if b == nil {
		b = &backend.RetryBudget{Ratio: budgetShare * d.settings.Load().Bounds.RepeatRatio, Window: d.settings.Load().Bounds.RepeatWindowS.Duration(), OnShort: d.reportShort}
		b.SetSlack(d.slack())
		d.budgets[n] = b
	}
	return b
}

// budgetShare is the part of the permitted retries that is used: the windows in which
// the entry VMs and the backend servers count do not coincide.
const budgetShare = 0.85

// minEntryVMs is the least number of entry VMs among which the slack of a retry budget
// is divided: while the others are unknown, this one must not use too much.
const minEntryVMs = 8

// slack returns this entry VM's part of the slack of a retry budget.
func (d *Daemon) slack() float64 {
	return budgetShare * d.settings.Load().Bounds.RepeatSlack / float64(max(minEntryVMs, d.members.Count()))
}

// updateSlack divides the slack again: the number of entry VMs may have changed.
func (d *Daemon) updateSlack() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.budgets {
		b.SetSlack(d.slack())
	}
}

// usage returns this entry VM's use of the retry budgets.
func (d *Daemon) usage(now time.Time) []backend.Usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]backend.Usage, 0, len(d.budgets))
	for n, b := range d.budgets {
		u := b.Usage(now)
		u.Service = n
		all = append(all, u)
	}
	return all
}

// Timing of the reports on retry budgets.
const (
	// budgetInterval is how often an entry VM reports its use of the retry budgets.
	budgetInterval = 500 * time.Millisecond
	// shortBudgetInterval is the least time between two reports if retries run short.
	shortBudgetInterval = 200 * time.Millisecond
	// issuerRetryAfter is the time after which an entry VM that did not answer a report is sent
	// another one.
	issuerRetryAfter = 5 * time.Second
)

// reportShort wakes shareBudgets up.
func (d *Daemon) reportShort() {
	select {
	case d.short <- struct{}{}:
	default: // it has been woken up
	}
}

// shareBudgets reports the use of the retry budgets, the permits needed for servers with limits, and what
// streams need of services whose streams wait in order, to the best-ranked entry VM of the failure domain that answers, until ctx ends, and applies what it
// grants. That does not depend on the state of the store.
func (d *Daemon) shareBudgets(ctx context.Context) {
	var known feed.Epoch
	failed := make(map[feed.MemberID]time.Time)
	for ctx.Err() == nil {
		now := time.Now()
		maps.DeleteFunc(failed, func(_ feed.MemberID, at time.Time) bool { return now.Sub(at) >= issuerRetryAfter })
		m, ok := d.members.Issuer(failed)
		answered := true
		if !ok {
			known = d.grantSelf(now)
		} else if known, answered = d.reportBudgets(ctx, m, known); !answered {
			failed[m.ID] = now
			continue
		}
		_ = clock.Sleep(ctx, shortBudgetInterval) // the loop condition checks ctx
		t := time.NewTimer(budgetInterval - shortBudgetInterval)
		select {
		case <-t.C:
		case <-d.short:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// reportBudgets reports the use of the retry budgets to m, whose last known epoch is known, and
// applies the limits that m grants. It returns m's epoch, and false if m has not answered.
func (d *Daemon) reportBudgets(ctx context.Context, m feed.Member, known feed.Epoch) (feed.Epoch, bool) {
	reportedAt := time.Now()
	q := feed.Request{From: d.members.Self, Brief: true, Epoch: known, Usage: d.usage(reportedAt), Demands: d.pool.Demands(reportedAt), Crowds: d.pool.Crowds(reportedAt), Needs: d.relay.Demands(reportedAt), Samples: d.costs.Drain(reportedAt)}
	if t := d.table.Load(); t != nil {
		q.Config = t.Version
	}
	a, err := d.client.Fetch(ctx, m, q)
	if err != nil {
		d.log.Info("retry budgets not reported", zap.String("to", string(m.ID)), zap.Error(err))
		return known, false
	}
	d.applyShares(reportedAt, a.Grants)
	now := time.Now()
	d.costs.SetTable(reportedAt, a.Speeds)
	if a.Epoch == known {
		d.setLimits(now, reportedAt, a.Limits)
		d.pool.AddPermits(reportedAt, a.Permits)
		d.pool.ApplyCrowds(now, a.Crowds)
		return known, true
	}
	d.log.Info("retry budgets reported to another entry VM", zap.String("to", string(m.ID)))
	d.followIssuer(now, a.Epoch)
	return a.Epoch, true
}

// followIssuer makes the entry VM with an epoch the issuer of limits of the retry budgets.
func (d *Daemon) followIssuer(now time.Time, issuer feed.Epoch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.budgets {
		b.Follow(now, string(issuer))
	}
}

// setLimits sets the limits of the retry budgets that were granted on a report.
func (d *Daemon) setLimits(now, reportedAt time.Time, list []backend.Limit) {
	for _, l := range list {
		d.budget(l.Service).SetLimit(now, reportedAt, l.Retries)
	}
}

// grant returns the limits of the retry budgets of an entry VM that reports to this one, and its
// permits for servers with limits. One that has only just begun to report does not know yet that it
// may have lent retries to others.
func (d *Daemon) grant(now time.Time, q *feed.Request) ([]backend.Limit, []backend.Permit) {
	if q.From.Domain != d.members.Self.Domain || q.Epoch != d.changes.Epoch() {
		return nil, nil
	}
	s := d.settings.Load()
	d.pool.ApplyCrowds(now, q.Crowds)
	for i := range q.Demands {
		x := &q.Demands[i]
		if rate := d.pool.LimitOf(x.Server, now); rate != backend.Unlimited {
			x.Rate = min(x.Rate, rate)
		}
	}
	limits := d.allotments.Grant(now, s.Bounds.RepeatWindowS.Duration(), string(q.From.ID), q.Usage)
	return limits, d.permits.Grant(now, len(s.Regions), q.Demands)
}

// grantSelf sets the limits of this entry VM's own retry budgets while it reports to no other, and
// returns its epoch.
func (d *Daemon) grantSelf(now time.Time) feed.Epoch {
	epoch := d.changes.Epoch()
	d.issueSpeeds(now)
	d.followIssuer(now, epoch)
	limits, permits := d.grant(now, &feed.Request{From: d.members.Self, Epoch: epoch, Usage: d.usage(now), Demands: d.pool.Demands(now)})
	d.setLimits(now, now, limits)
	d.pool.AddPermits(now, permits)
	d.applyShares(now, d.issuer.Report(now, string(d.members.Self.ID), d.relay.Demands(now)))
	return epoch
}
