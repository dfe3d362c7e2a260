package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"quetzalhold/clock"
	"quetzalhold/cost"
	"quetzalhold/feed"
)

// mergeSpeeds merges the samples of an entry VM that reports its retry budgets to this one, and returns the servers
// whose speed differs. Other requests get none.
func (d *Daemon) mergeSpeeds(now time.Time, q *feed.Request) []cost.ServiceSpeeds {
	switch {
	case !q.Brief || q.Starting:
		return nil
	case q.From.Domain != d.members.Self.Domain:
		d.costs.Add(now, q.Samples)
		return nil
	}
	return d.costs.Merge(now, q.Samples)
}

// issueSpeeds puts the speeds in force that this entry VM knows of as the issuer of its failure domain, and logs which
// servers have become slow, fast or usual. Its own samples count already.
func (d *Daemon) issueSpeeds(now time.Time) {
	for _, c := range d.costs.SetOwnTable(now) {
		d.log.Info("speed of a server", zap.String("service", string(c.Service)), zap.String("server", string(c.Server)), zap.Int64("start", int64(c.Start)),
			zap.Stringer("from", c.From), zap.Stringer("to", c.To), zap.Float64("speed", float64(c.Speed)))
	}
}

// forwardInterval is how often the issuer sends the samples of its failure domain to those of the others.
const forwardInterval = time.Second

// forwardSamples sends the samples of this failure domain to the best-ranked entry VMs of the others in the region,
// whose requests go to the same engines, until ctx ends. There is nothing to send while no server is known to differ,
// and at entry VMs that are not the issuer.
func (d *Daemon) forwardSamples(ctx context.Context) {
	for clock.Sleep(ctx, forwardInterval) == nil {
		now := time.Now()
		list := d.costs.Forward(now)
		if len(list) == 0 {
			continue
		}
		for _, m := range d.members.BestNear(now, d.relay.Region) {
			q := feed.Request{From: d.members.Self, Brief: true, Samples: list}
			if t := d.table.Load(); t != nil {
				q.Config = t.Version
			}
			if _, err := d.client.Fetch(ctx, m, q); err != nil {
				d.log.Info("speeds of servers not sent", zap.String("to", string(m.ID)), zap.Error(err))
			}
		}
	}
}

// prefillRates returns the usual prefill rates of services, for the metrics.
func (d *Daemon) prefillRates() map[string]float64 {
	all := make(map[string]float64)
	for n, rate := range d.costs.Rates().PrefillRates() {
		all[string(n)] = float64(rate)
	}
	return all
}
