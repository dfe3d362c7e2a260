package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"quetzalhold/clock"
	"quetzalhold/engine"
	"quetzalhold/peer"
	"quetzalhold/quarantine"
	"quetzalhold/result"
	"quetzalhold/routing"
)

const (
	// crashShareDelay is how long changes of the list are gathered before they are announced, and
	// crashSettleInterval how often it is looked through for crashes that have become old enough
	// to be listed.
	crashShareDelay     = 50 * time.Millisecond
	crashSettleInterval = 500 * time.Millisecond
	// maxCrashReports bounds the crashes in one message.
	maxCrashReports = 64
	// blockedRetryDelay is when callers of a blocked request are told to come back.
	blockedRetryDelay = 10 * time.Second
)

// guard returns what keeps a request from servers if it crashes those that run it.
func (d *Daemon) guard(service routing.ServiceName, id engine.RequestID, f quarantine.Fingerprint) engine.Guard {
	suspects := []quarantine.Suspect{f.Suspect()}
	return engine.Guard{
		Check: func() *result.Error {
			now := time.Now()
			b, ok := d.quarantine.Blocked(now, service, suspects)
			if !ok {
				return nil
			}
			at := b.Until
			if !now.Before(at) {
				at = now.Add(blockedRetryDelay) // a trial is due, but this daemon makes none
			}
			return result.New(result.RequestBlocked, "%s crashed %d servers", b.Suspect, b.Crashes).WithRetryAt(at)
		},
		OnSound: func() {
			if d.quarantine.MarkSound(time.Now(), service, suspects) {
				d.wakeShareCrashes()
			}
		},
		OnCrash: func(server engine.ServerID, start engine.Incarnation) {
			c, ok := d.quarantine.Observe(time.Now(), quarantine.Crash{
				Service: service, Request: id, Server: server, Start: start, Suspects: suspects,
			})
			if ok {
				d.telemetry.Log.Info("server lost at the beginning of an answer", zap.Any("crash", c))
				d.wakeShareCrashes()
			}
		},
	}
}

// wakeShareCrashes has shareCrashes look at the list soon.
func (d *Daemon) wakeShareCrashes() {
	select {
	case d.crashesChanged <- struct{}{}:
	default:
	}
}

// shareCrashes tells other entry VMs of changes of the list of crashes, and removes those that are
// no longer held against requests, until ctx ends. Heartbeats repeat what an announcement misses.
func (d *Daemon) shareCrashes(ctx context.Context) {
	var announced []quarantine.Name
	settled := time.NewTicker(crashSettleInterval)
	defer settled.Stop()
	for {
		select {
		case <-d.crashesChanged:
			// One server that is lost may be lost to many requests.
			_ = clock.Sleep(ctx, crashShareDelay) // the next select checks ctx
		case <-settled.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		d.quarantine.Expire(now)
		var names []quarantine.Name
		for _, c := range d.quarantine.Listed(now) {
			names = append(names, c.Name())
		}
		names = append(names, d.quarantine.Cleared()...)
		if !slices.Equal(names, announced) {
			announced = names
			d.gossip.Announce(ctx)
		}
	}
}

// crashReport returns what to report to another entry VM: the newest crashes, and a random part of
// the others if there are many.
func (d *Daemon) crashReport() peer.CrashReport {
	now := time.Now()
	for _, c := range d.quarantine.Unwritten(now) {
		d.quarantine.MarkShared(now, c)
	}
	r := peer.CrashReport{Crashes: d.quarantine.Listed(now), Cleared: d.quarantine.Cleared()}
	slices.SortFunc(r.Crashes, func(a, b quarantine.Crash) int { return cmp.Compare(b.Until, a.Until) })
	if n := len(r.Crashes); n > maxCrashReports {
		older := r.Crashes[maxCrashReports/2:]
		rand.Shuffle(len(older), func(i, j int) { older[i], older[j] = older[j], older[i] })
		r.Crashes = r.Crashes[:maxCrashReports]
	}
	if n := len(r.Cleared); n > maxCrashReports {
		rand.Shuffle(n, func(i, j int) { r.Cleared[i], r.Cleared[j] = r.Cleared[j], r.Cleared[i] })
		r.Cleared = r.Cleared[:maxCrashReports]
	}
	return r
}

// recordCrashes records what another entry VM reported. What is new is passed on.
func (d *Daemon) recordCrashes(r peer.CrashReport) {
	now, changed := time.Now(), false
	for _, c := range r.Crashes {
		if c.Check() == nil {
			changed = d.quarantine.MarkShared(now, c) || changed
		}
	}
	for _, n := range r.Cleared {
		changed = d.quarantine.Clear(now, n) || changed
	}
	if changed {
		d.telemetry.Log.Info("crashes reported", zap.Any("crashes", r.Crashes), zap.Any("cleared", r.Cleared))
		d.wakeShareCrashes()
	}
}
