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

// The pace at which the daemon keeps itself informed.
const (
	vmPeriod      = time.Second
	enginePeriod  = 2 * time.Second
	engineLimit   = 800 * time.Millisecond
	watchPause    = 200 * time.Millisecond
	watchMaxPause = 5 * time.Second
	// relist is how often the configuration is listed although a watch runs.
	relist = time.Minute
	// emptyWait is how long an entry VM that starts waits for the others'
	// configuration before it asks the platform itself.
	emptyWait = 3 * time.Second
	// leavingFor is how long the others are told of a leaving server; by then
	// the platform's list says it too.
	leavingFor = 30 * time.Second
	maxLeaving = 16
)

// apply takes over configuration objects.
func (d *Daemon) apply(objs []objects.Object) {
	faults := d.store.Apply(objs)
	if p := d.store.Current().InForce(); p != nil {
		d.gate.SetPolicy(p.Policy())
	}
	if len(faults) == 0 {
		return
	}
	d.mu.Lock()
	d.faults = faults
	d.mu.Unlock()
	for _, f := range faults {
		d.telemetry.Log.Error("configuration object left out", zap.Error(f))
	}
}

// learn takes over objects from the platform and pushes those that are new to
// other entry VMs.
func (d *Daemon) learn(ctx context.Context, objs []objects.Object) {
	fresh := d.store.Newer(objs)
	if len(fresh) == 0 {
		return
	}
	d.apply(fresh)
	d.gossip.Push(ctx, fresh)
}

// reached notes how a call to the platform ended.
func (d *Daemon) reached(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.platformIs = err
	if err == nil {
		d.reachedAt = time.Now()
	}
}

// watchConfiguration lists the configuration and then watches it, over and
// over, while this entry VM is a watcher of its failure domain. Any other takes
// it from the other entry VMs, and from the platform only if they have none.
func (d *Daemon) watchConfiguration(ctx context.Context) {
	pause := watchPause
	begin := time.Now()
	for ctx.Err() == nil {
		alone := d.store.Empty() && time.Since(begin) > emptyWait
		if !alone && !d.members.Has(peer.Watcher) {
			_ = clock.Sleep(ctx, watchPause) // the loop sees the end of ctx
			continue
		}
		rev, err := d.listConfiguration(ctx)
		d.reached(err)
		if err != nil {
			_ = clock.Sleep(ctx, pause)
			pause = min(2*pause, watchMaxPause)
			continue
		}
		pause = watchPause
		d.watchFrom(ctx, rev)
		_ = clock.Sleep(ctx, watchPause)
	}
}

// listConfiguration lists every kind and returns the lowest revision seen.
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
	d.learn(ctx, all)
	return rev, nil
}

// watchFrom applies changes until the watch is lost or it is time to list
// again.
func (d *Daemon) watchFrom(ctx context.Context, rev objects.Revision) {
	ctx, cancel := context.WithTimeout(ctx, relist)
	defer cancel()
	err := d.platform.Watch(ctx, rev, operator.Kinds(), func(_ objects.Revision, o objects.Object) error {
		d.reached(nil)
		d.learn(ctx, []objects.Object{o})
		return nil
	})
	if ctx.Err() == nil {
		d.reached(err)
		d.telemetry.Log.Warn("watch lost", zap.Error(err))
	}
}

// pollVMs reads the platform's list of VMs. While the platform is down, the
// last list stays in force.
func (d *Daemon) pollVMs(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := d.platform.VMs(ctx)
		d.reached(err)
		if err == nil {
			d.setVMs(vms)
		}
		_ = clock.Sleep(ctx, vmPeriod) // the loop sees the end of ctx
	}
}

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
				ID: vm.ID, Service: vm.Service, Address: vm.Address, Domain: vm.Domain, Leaving: vm.Leaving,
			})
		}
	}
	d.pool.SetServers(engines)
	d.services.SetServers(services)
	d.owners.setEntries(entries)
	d.gossip.SetEntries(time.Now(), entries)
	d.listed.Store(true)
}

// pollEngines reads the engines' load reports and cache events.
func (d *Daemon) pollEngines(ctx context.Context) {
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		for _, s := range d.pool.Servers() {
			wg.Go(func() { d.pollEngine(ctx, s) })
		}
		wg.Wait()
		pause := enginePeriod
		if !d.listed.Load() {
			pause = watchPause
		}
		_ = clock.Sleep(ctx, pause) // the loop sees the end of ctx
	}
}

func (d *Daemon) pollEngine(ctx context.Context, s engine.Server) {
	ctx, cancel := context.WithTimeout(ctx, engineLimit)
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

// leaving returns the backend servers lately found to be leaving.
func (d *Daemon) leaving() []peer.DrainingServer {
	var all []peer.DrainingServer
	for _, s := range d.pool.DrainingAfter(time.Now().Add(-leavingFor)) {
		all = append(all, peer.DrainingServer{ID: s.ID, Incarnation: s.Incarnation})
	}
	return all[:min(len(all), maxLeaving)]
}

// noteLeaving takes over another entry VM's word about leaving servers.
func (d *Daemon) noteLeaving(all []peer.DrainingServer) {
	now := time.Now()
	for _, s := range all {
		d.pool.MarkDraining(s.ID, s.Incarnation, now)
	}
}
