package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"quetzalhold/admit"
	"quetzalhold/clock"
	"quetzalhold/feed"
	"quetzalhold/names"
	"quetzalhold/routing"
	"quetzalhold/telemetry"
)

// sumInterval is how often the issuers of the failure domains exchange their sums, so that shares are no older
// than half a second.
const sumInterval = 400 * time.Millisecond

// calmSumInterval is the same while no failure domain is pressed. It is below the time that sums count, so that a
// burst finds those of all domains; the exchange costs bytes between regions.
const calmSumInterval = 1500 * time.Millisecond

// initAdmission sets up what the relay and the issuer need to let streams wait.
func (d *Daemon) initAdmission() {
	d.issuer.Domain, d.issuer.Members = d.members.Self.Domain, d.members.Domains
	d.relay.StreamWaits = d.reportShort
}

// grantShares records what an entry VM of the failure domain needs of the services whose streams wait in order,
// and returns its shares of their windows. One of an earlier version, which reports only its use of the retry
// budgets, counts with an equal part.
func (d *Daemon) grantShares(now time.Time, q *feed.Request) []admit.Grant {
	if q.From.Domain != d.members.Self.Domain || len(q.Needs) == 0 && len(q.Usage) == 0 {
		return nil
	}
	return d.issuer.Report(now, string(q.From.ID), q.Needs)
}

// exchangeSumsWith records the sums of another issuer's failure domain and returns those of this one.
func (d *Daemon) exchangeSumsWith(now time.Time, q *feed.Request) []admit.Sum {
	if q.From.Domain == d.members.Self.Domain || len(q.Sums) == 0 {
		return nil
	}
	d.issuer.Learn(now, q.From.Domain, q.Sums)
	return d.issuer.Sums(now)
}

// applyShares puts the shares in force that were granted on a report, and reports again soon while streams
// wait.
func (d *Daemon) applyShares(reportedAt time.Time, grants []admit.Grant) {
	d.relay.ApplyGrants(time.Now(), reportedAt, grants)
	if d.relay.Waiting() > 0 {
		d.reportShort()
	}
}

// sumExchange is the state of the exchange of sums with other failure domains.
type sumExchange struct {
	mu     sync.Mutex
	busy   map[names.ID]bool // those that have not answered yet
	failed map[feed.MemberID]time.Time
}

// begin returns the issuers to send sums to.
func (x *sumExchange) begin(now time.Time, members *feed.Members) []feed.Member {
	x.mu.Lock()
	defer x.mu.Unlock()
	maps.DeleteFunc(x.failed, func(_ feed.MemberID, at time.Time) bool { return now.Sub(at) >= issuerRetryAfter })
	var list []feed.Member
	for _, m := range members.Issuers(x.failed) {
		if !x.busy[m.Domain] {
			x.busy[m.Domain] = true
			list = append(list, m)
		}
	}
	return list
}

func (x *sumExchange) end(m feed.Member, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.busy, m.Domain)
	if err != nil {
		x.failed[m.ID] = time.Now()
	}
}

// exchangeSums exchanges the sums of the failure domain with the issuers of the others, until ctx ends. Only an
// issuer has sums.
func (d *Daemon) exchangeSums(ctx context.Context) {
	x := &sumExchange{busy: make(map[names.ID]bool), failed: make(map[feed.MemberID]time.Time)}
	var sentAt time.Time
	for clock.Sleep(ctx, sumInterval) == nil {
		now := time.Now()
		sums := d.issuer.Sums(now)
		if len(sums) == 0 || now.Sub(sentAt) < calmSumInterval-sumInterval && !d.issuer.Pressed(now) {
			continue
		}
		sentAt = now
		for _, m := range x.begin(now, &d.members) {
			go func() {
				x.end(m, telemetry.Guard(d.log, "exchange of sums", func() error { return d.sendSums(ctx, m, sums) }))
			}()
		}
	}
}

// sendSums sends the sums of the failure domain to the issuer of another one, and records its answer.
func (d *Daemon) sendSums(ctx context.Context, m feed.Member, sums []admit.Sum) error {
	q := feed.Request{From: d.members.Self, Brief: true, Epoch: d.changes.Epoch(), Sums: sums}
	if t := d.table.Load(); t != nil {
		q.Config = t.Version
	}
	a, err := d.client.Fetch(ctx, m, q)
	if err != nil {
		d.log.Info("sums not exchanged", zap.String("with", string(m.ID)), zap.Error(err))
		return err
	}
	d.issuer.Learn(time.Now(), m.Domain, a.Sums)
	return nil
}

// admissionState returns the state of admission, for the metrics.
func (d *Daemon) admissionState() []telemetry.Admission {
	var list []telemetry.Admission
	for _, s := range d.relay.Admission(time.Now()) {
		a := telemetry.Admission{Service: string(s.Service), Pending: int64(s.Pending), Share: int64(s.Share), Window: int64(s.Window), Waiting: make(map[int]int64)}
		for r, n := range s.Waiting {
			if r := admit.Rank(r); !r.UnderWay() && n > 0 {
				a.Waiting[int(r.Priority())] += int64(n)
			}
		}
		list = append(list, a)
	}
	return list
}

// observeAdmission lets the metrics count what the relay decides.
func (d *Daemon) observeAdmission(m *telemetry.Gateway) {
	d.relay.StreamWaited = func(n routing.ServiceName, r admit.Rank, waited time.Duration) {
		m.StreamWaited(string(n), int(r.Priority()), waited)
	}
	d.relay.StreamRejected = func(n routing.ServiceName, r admit.Rank, why admit.Reason) {
		m.StreamRejected(string(n), int(r.Priority()), why.String())
	}
}
