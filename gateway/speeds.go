package gateway

import (
	"time"

	"go.uber.org/zap"

	"quetzalhold/cost"
	"quetzalhold/feed"
)

// mergeSpeeds merges the samples of an entry VM that reports its retry budgets to this one, and returns the servers
// whose speed differs. Other requests get none.
func (d *Daemon) mergeSpeeds(now time.Time, q *feed.Request) []cost.ServiceSpeeds {
	if !q.Brief || q.Starting || q.From.Domain != d.members.Self.Domain {
		return nil
	}
	return d.costs.Merge(now, q.Samples)
}

// issueSpeeds puts the speeds in force that this entry VM knows of as the issuer of its failure domain, and logs which
// servers have become slow, fast or usual. Its own samples count already.
func (d *Daemon) issueSpeeds(now time.Time) {
	_ = d.costs.Drain(now)
	for _, c := range d.costs.SetOwnTable(now) {
		d.log.Info("speed of a server", zap.String("service", string(c.Service)), zap.String("server", string(c.Server)), zap.Int64("start", int64(c.Start)),
			zap.Stringer("from", c.From), zap.Stringer("to", c.To), zap.Float64("speed", float64(c.Speed)))
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
