package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"quetzalhold/clock"
	"quetzalhold/engine"
	"quetzalhold/quarantine"
	"quetzalhold/result"
	"quetzalhold/routing"
)

// crashExpiryInterval is how often crashes that are no longer held against requests are removed.
const crashExpiryInterval = 10 * time.Second

// guard returns what keeps a request from servers if it crashes those that run it.
func (d *Daemon) guard(service routing.ServiceName, id engine.RequestID, f quarantine.Fingerprint) engine.Guard {
	suspects := []quarantine.Suspect{f.Suspect()}
	return engine.Guard{
		Check: func() *result.Error {
			b, ok := d.quarantine.Blocked(time.Now(), service, suspects)
			if !ok {
				return nil
			}
			return result.New(result.RequestBlocked, "%s crashed %d servers", b.Suspect, b.Crashes).WithRetryAt(b.Until)
		},
		OnSound: func() { d.quarantine.MarkSound(time.Now(), service, suspects) },
		OnCrash: func(server engine.ServerID, start engine.Incarnation) {
			c, ok := d.quarantine.Observe(time.Now(), quarantine.Crash{
				Service: service, Request: id, Server: server, Start: start, Suspects: suspects,
			})
			if ok {
				d.telemetry.Log.Info("server lost at the beginning of an answer", zap.Any("crash", c))
			}
		},
	}
}

// expireCrashes removes crashes that are no longer held against requests until ctx ends.
func (d *Daemon) expireCrashes(ctx context.Context) {
	for ctx.Err() == nil {
		d.quarantine.Expire(time.Now())
		_ = clock.Sleep(ctx, crashExpiryInterval) // the loop checks ctx
	}
}
