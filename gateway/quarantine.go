package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/clock"
	"quetzalhold/feed"
	"quetzalhold/platform"
	"quetzalhold/quarantine"
	"quetzalhold/result"
	"quetzalhold/telemetry"
)

const (
	// crashWatchWait is how long a watch of crashes waits for a change: they are rare, and each
	// call is priced.
	crashWatchWait = 10 * time.Second
	// maxCrashReports bounds the crashes in one poll.
	maxCrashReports = 16
	// crashPublishDelay is how long changes of the list are gathered before it is published, and
	// crashSettleInterval how often it is looked through for crashes that have become old enough
	// to be listed.
	crashPublishDelay   = 50 * time.Millisecond
	crashSettleInterval = 500 * time.Millisecond
)

// quarantineChanged wakes publishCrashes up.
func (d *Daemon) quarantineChanged() {
	select {
	case d.crashesChanged <- struct{}{}:
	default:
	}
}

// publishCrashes lists the crashes for other entry VMs, and for the store if this one watches it,
// whenever the list has changed, until ctx ends.
func (d *Daemon) publishCrashes(ctx context.Context) {
	var listed []quarantine.Name
	settled := time.NewTicker(crashSettleInterval)
	defer settled.Stop()
	for {
		select {
		case <-d.crashesChanged:
			// One server that is lost may be lost to many requests.
			_ = clock.Sleep(ctx, crashPublishDelay) // the next select checks ctx
		case <-settled.C:
		case <-ctx.Done():
			return
		}
		list := d.quarantine.Listed(time.Now())
		names := make([]quarantine.Name, len(list))
		for i := range list {
			names[i] = list[i].Name()
		}
		if !slices.Equal(names, listed) {
			listed = names
			d.changes.SetCrashes(func() []quarantine.Crash { return list })
		}
		select {
		case d.unwritten <- struct{}{}:
		default:
		}
	}
}

// claimTrial claims a trial in the store, which grants it to one entry VM. It reports whether that
// is this one.
func (d *Daemon) claimTrial(ctx context.Context, c quarantine.Crash) bool {
	if d.health.isDown() || !d.claiming.TryLock() {
		return false
	}
	defer d.claiming.Unlock()
	err := d.store.Create(ctx, platform.Crashes, string(c.Name()), c)
	if err == nil || result.CodeOf(err) == result.VersionConflict {
		d.quarantine.MarkShared(time.Now(), c)
		d.quarantineChanged()
	}
	d.log.Info("trial claimed", zap.String("name", string(c.Name())), zap.Any("suspects", c.Suspects), zap.Bool("granted", err == nil), zap.Error(err))
	return err == nil
}

// applyCrashReports applies the crashes that another entry VM has observed and cleared.
func (d *Daemon) applyCrashReports(observed []quarantine.Crash, cleared []quarantine.Name) {
	now, changed := time.Now(), false
	for _, c := range observed {
		changed = d.quarantine.Add(now, c) || changed
	}
	for _, n := range cleared {
		changed = d.quarantine.Clear(now, n) || changed
	}
	if changed {
		d.log.Info("crashes reported", zap.Any("observed", observed), zap.Any("cleared", cleared))
		d.quarantineChanged()
	}
}

// applyCrashes applies the list of another entry VM, which is complete if that one is fresh and of
// this failure domain. The failure domain that observed a crash writes it to the store.
func (d *Daemon) applyCrashes(list []quarantine.Crash, complete bool, from feed.Member) {
	now, changed := time.Now(), false
	if complete && from.Domain == d.members.Self.Domain {
		changed = d.quarantine.Replace(now, list, false)
	} else {
		for _, c := range list {
			changed = d.quarantine.MarkShared(now, c) || changed
		}
	}
	if changed {
		d.log.Info("crashes listed", zap.Int("crashes", len(list)), zap.String("from", string(from.ID)))
		d.quarantineChanged()
	}
}

// watchCrashes follows the crashes in the store until ctx ends. After the store was restored from an older copy, those that it
// lacks are written again.
func (d *Daemon) watchCrashes(ctx context.Context) {
	var era backend.Era
	listed := false // era is that of a list
	d.watchRare(ctx, &rareWatch{
		kind: platform.Crashes, what: "crashes", requests: &d.crashLists,
		list: func(page platform.Page) time.Time {
			d.applyCrashPage(page, listed && era < page.Revision.Era)
			era, listed = page.Revision.Era, true
			return time.Time{}
		},
		change: func(c platform.Change) { d.applyCrashChange(&c) },
		wait:   func() time.Duration { return crashWatchWait },
	})
}

func readCrash(o *platform.Object) (quarantine.Crash, error) {
	var c quarantine.Crash
	if err := json.Unmarshal(o.Spec, &c); err != nil {
		return c, fmt.Errorf("decode crash %q: %w", o.Name(), err)
	}
	return c, c.Check()
}

// applyCrashPage applies the list of all crashes in the store. After the store was restored from
// an older copy, those that it lacks are written again.
func (d *Daemon) applyCrashPage(page platform.Page, restored bool) {
	var list []quarantine.Crash
	for i := range page.Objects {
		c, err := readCrash(&page.Objects[i])
		if err != nil {
			d.log.Warn("malformed crash ignored", zap.String("name", page.Objects[i].Name()), zap.Error(err))
			continue
		}
		list = append(list, c)
	}
	if d.quarantine.Replace(time.Now(), list, restored) || restored {
		d.log.Info("crashes listed", zap.Int("crashes", len(list)), zap.Bool("restored", restored), zap.String("from", "store"))
		d.quarantineChanged()
	}
}

func (d *Daemon) applyCrashChange(ch *platform.Change) {
	changed := false
	if ch.Removed {
		changed = d.quarantine.Remove(quarantine.Name(ch.Object.Name()))
	} else {
		c, err := readCrash(&ch.Object)
		if err != nil {
			d.log.Warn("malformed crash ignored", zap.String("name", ch.Object.Name()), zap.Error(err))
			return
		}
		changed = d.quarantine.MarkShared(time.Now(), c)
	}
	if changed {
		d.log.Info("crash", zap.String("name", ch.Object.Name()), zap.Bool("removed", ch.Removed), zap.String("from", "store"))
		d.quarantineChanged()
	}
}

// writeCrashes writes the crashes that this failure domain has observed to the store, and deletes
// those that it has cleared, until ctx ends.
func (d *Daemon) writeCrashes(ctx context.Context) {
	for {
		for !d.writeCrashesOnce(ctx) && ctx.Err() == nil {
			_ = clock.Sleep(ctx, maxBackoff) // the loop condition checks ctx
			d.awaitStore(ctx, orderWatchWait)
		}
		select {
		case <-d.unwritten:
		case <-ctx.Done():
			return
		}
	}
}

// writeCrashesOnce reports whether the store has all crashes of this failure domain.
func (d *Daemon) writeCrashesOnce(ctx context.Context) bool {
	for _, c := range d.quarantine.Unwritten(time.Now()) {
		if !d.quarantine.Holds(c.Name()) {
			continue // cleared while others were written
		}
		err := d.store.Create(ctx, platform.Crashes, string(c.Name()), c)
		if err != nil && result.CodeOf(err) != result.VersionConflict { // exists already
			d.log.Info("crash not written", zap.String("name", string(c.Name())), zap.Error(err))
			return false
		}
		d.quarantine.MarkWritten(time.Now(), c)
	}
	for _, n := range d.quarantine.Cleared() {
		if err := d.deleteCrash(ctx, n); err != nil {
			return false
		}
		d.quarantine.Remove(n)
	}
	return true
}

func (d *Daemon) deleteCrash(ctx context.Context, n quarantine.Name) error {
	err := d.store.Delete(ctx, platform.Crashes, string(n))
	if result.CodeOf(err) == result.ObjectMissing {
		return nil
	}
	d.log.Info("crash deleted", zap.String("name", string(n)), zap.Error(err))
	return err
}

// expireCrashes removes the crashes that are no longer held against requests and parts of prompts.
func (d *Daemon) expireCrashes(now time.Time) {
	expired := d.quarantine.Expire(now)
	if len(expired) == 0 {
		return
	}
	d.log.Info("crashes expired", zap.Any("names", expired))
	d.quarantineChanged()
	if !d.members.RanksFirst() {
		return
	}
	telemetry.Go(d.log, "deletion of crashes", func() {
		for _, n := range expired {
			if err := d.deleteCrash(context.Background(), n); err != nil {
				return // the next list shows it again
			}
		}
	})
}
