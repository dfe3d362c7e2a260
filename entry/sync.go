package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"quetzalhold/clock"
	"quetzalhold/engine"
	"quetzalhold/objects"
	"quetzalhold/operator"
	"quetzalhold/peer"
	"quetzalhold/result"
	"quetzalhold/service"
)

// Periods and timeouts of the polling of the platform and the engines.
const (
	vmPeriod      = time.Second
	enginePeriod  = 2 * time.Second
	engineTimeout = 800 * time.Millisecond
	watchDelay    = 200 * time.Millisecond
	watchMaxDelay = 5 * time.Second
	// relistPeriod is how often the whole configuration is listed again although
	// a watch is running.
	relistPeriod = time.Minute
	// peerConfigWait is how long a starting entry VM that is not a watcher waits
	// for the configuration from other entry VMs before it lists it from the
	// platform.
	peerConfigWait = 3 * time.Second
	// leavingTTL is how long gossip reports a leaving server; after that time the
	// platform's list marks the server as leaving too.
	leavingTTL = 30 * time.Second
	maxLeaving = 16
)

// apply applies those of the configuration objects that are newer than the store's,
// sets the gate's policy from the preset in force, and returns them. It keeps and
// logs the faults of invalid objects.
func (d *Daemon) apply(objs []objects.Object) []objects.Object {
	// Of two calls, the later one must set the policy last.
	d.applying.Lock()
	defer d.applying.Unlock()
	newer, faults := d.store.Apply(objs)
	if len(newer) == 0 {
		return nil
	}
	if p := d.store.Current().InForce(); p != nil {
		d.gate.SetPolicy(p.Policy())
	}
	d.mu.Lock()
	d.faults = faults
	d.mu.Unlock()
	for _, f := range faults {
		d.telemetry.Log.Error("configuration object ignored: it is invalid or conflicts with another", zap.Error(f))
	}
	return newer
}

// applyAndPush applies those of the platform's objects that are newer than the
// store's, and pushes them to other entry VMs.
func (d *Daemon) applyAndPush(ctx context.Context, objs []objects.Object) {
	if newer := d.apply(objs); len(newer) > 0 {
		d.gossip.Push(ctx, newer)
	}
}

// recordPlatformCall records the outcome of a call to the platform, for the
// status page.
func (d *Daemon) recordPlatformCall(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.platformErr = err
	if err == nil {
		d.platformReachedAt = time.Now()
	}
}

// watchConfiguration lists and then watches the platform's configuration in a
// loop, as long as this entry VM is a watcher of its failure domain. An entry VM
// that is not a watcher gets the configuration from other entry VMs, and lists
// it from the platform only if it has received none within peerConfigWait.
func (d *Daemon) watchConfiguration(ctx context.Context) {
	pause := watchDelay
	start := time.Now()
	for ctx.Err() == nil {
		noConfig := d.store.Empty() && time.Since(start) > peerConfigWait
		if !noConfig && !d.members.Has(peer.Watcher) {
			_ = clock.Sleep(ctx, watchDelay) // the loop checks ctx
			continue
		}
		rev, err := d.listConfiguration(ctx)
		d.recordPlatformCall(err)
		if err != nil {
			_ = clock.Sleep(ctx, pause)
			pause = min(2*pause, watchMaxDelay)
			continue
		}
		pause = watchDelay
		d.watchFrom(ctx, rev)
		_ = clock.Sleep(ctx, watchDelay)
	}
}

// listConfiguration lists the objects of every kind, applies them and returns
// the lowest revision of the lists.
func (d *Daemon) listConfiguration(ctx context.Context) (objects.Revision, error) {
	var rev objects.Revision
	var all []objects.Object
	for i, k := range operator.Kinds() {
		l, err := d.platform.List(ctx, k)
		if err != nil {
			return 0, err
		}
		if i == 0 || l.Revision < rev {
			rev = l.Revision
		}
		all = append(all, l.Objects...)
	}
	d.applyAndPush(ctx, all)
	return rev, nil
}

// watchFrom applies changes after a revision until the watch fails or
// relistPeriod has passed.
func (d *Daemon) watchFrom(ctx context.Context, rev objects.Revision) {
	ctx, cancel := context.WithTimeout(ctx, relistPeriod)
	defer cancel()
	err := d.platform.Watch(ctx, rev, operator.Kinds(), func(_ objects.Revision, o objects.Object) error {
		d.recordPlatformCall(nil)
		d.applyAndPush(ctx, []objects.Object{o})
		return nil
	})
	if ctx.Err() == nil {
		d.recordPlatformCall(err)
		d.telemetry.Log.Warn("watch of the platform's configuration ended", zap.Error(err))
	}
}

// pollVMs polls the platform's list of VMs. While the platform is unreachable,
// the last list stays in use.
func (d *Daemon) pollVMs(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := d.platform.VMs(ctx)
		d.recordPlatformCall(err)
		if err == nil {
			d.setVMs(vms)
		}
		_ = clock.Sleep(ctx, vmPeriod) // the loop checks ctx
	}
}

// setVMs passes a list of VMs on to the components that use their role.
func (d *Daemon) setVMs(vms []objects.VM) {
	var engines []engine.Server
	var services []service.Server
	var entries []peer.Member
	for _, vm := range vms {
		switch vm.Role {
		case objects.RoleEntry:
			if !vm.Leaving {
				entries = append(entries, peer.Member{
					Address: peer.Address(vm.Address), ID: vm.ID, Domain: vm.Domain,
				})
			}
		case objects.RoleEngine:
			engines = append(engines, engine.Server{
				ID: vm.ID, Address: vm.Address, Domain: vm.Domain, Incarnation: vm.Incarnation, Leaving: vm.Leaving,
			})
		case objects.RoleService:
			services = append(services, service.Server{
				ID: vm.ID, Service: vm.Service, Address: vm.Address, Domain: vm.Domain, Incarnation: vm.Incarnation, Leaving: vm.Leaving,
			})
		}
	}
	d.pool.SetServers(engines)
	d.services.SetServers(services)
	d.owners.setMembers(entries)
	d.gossip.SetEntries(time.Now(), entries)
	d.vmsListed.Store(true)
}

// pollEngines polls the engines' load reports and cache events.
func (d *Daemon) pollEngines(ctx context.Context) {
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		for _, s := range d.pool.Servers() {
			wg.Go(func() { d.pollEngine(ctx, s) })
		}
		wg.Wait()
		pause := enginePeriod
		if !d.vmsListed.Load() {
			pause = watchDelay
		}
		_ = clock.Sleep(ctx, pause) // the loop checks ctx
	}
}

// pollEngine reads an engine's load report, and its cache events if the report
// shows that there are new ones.
func (d *Daemon) pollEngine(ctx context.Context, s engine.Server) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	r, err := d.engines.Load(ctx, s.Address)
	if err != nil {
		if result.CodeOf(err) == result.EngineLost && ctx.Err() == nil {
			d.pool.MarkSuspect(s.ID, time.Now())
		}
		return
	}
	d.pool.ApplyReport(r, time.Now())
	known := d.pool.CacheSeq(s.ID)
	if r.CacheSeq <= known && r.Incarnation == s.Incarnation {
		return
	}
	evs, err := d.engines.CacheEvents(ctx, s.Address, known)
	if err == nil {
		d.pool.ApplyCacheEvents(s.ID, evs)
	}
}

// leavingServers returns the backend servers that were found to be leaving
// within leavingTTL, at most maxLeaving of them.
func (d *Daemon) leavingServers() []peer.DrainingServer {
	var all []peer.DrainingServer
	for _, s := range d.pool.DrainingAfter(time.Now().Add(-leavingTTL)) {
		all = append(all, peer.DrainingServer{ID: s.ID, Incarnation: s.Incarnation})
	}
	return all[:min(len(all), maxLeaving)]
}

// markLeaving marks servers as leaving that another entry VM has reported so.
func (d *Daemon) markLeaving(all []peer.DrainingServer) {
	now := time.Now()
	for _, s := range all {
		d.pool.MarkDraining(s.ID, s.Incarnation, now)
	}
}
