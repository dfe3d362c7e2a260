package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"quetzalhold/caller"
	"quetzalhold/clock"
	"quetzalhold/engine"
	"quetzalhold/move"
	"quetzalhold/objects"
	"quetzalhold/operator"
	"quetzalhold/peer"
	"quetzalhold/result"
)

// moveTracker holds the evidence that this entry VM has on the version moves in
// progress, by deployment. The zero value is empty.
type moveTracker struct {
	mu           sync.Mutex
	byDeployment map[string]*moveStats
}

// moveStats is the evidence on one move.
type moveStats struct {
	to       engine.Version
	start    time.Time
	evidence move.Evidence
	slowness move.SlowDetector
	unsent   []move.Count // not yet sent to the other entry VMs
}

// stats returns the statistics of a move and begins new ones if the
// deployment's last move was another. The caller holds m.mu.
func (m *moveTracker) stats(p *move.Plan) *moveStats {
	if m.byDeployment == nil {
		m.byDeployment = make(map[string]*moveStats)
	}
	t := m.byDeployment[p.Deployment]
	if t == nil || t.to != p.To || !t.start.Equal(p.Start) {
		t = &moveStats{to: p.To, start: p.Start}
		m.byDeployment[p.Deployment] = t
	}
	return t
}

// bad reports whether the evidence shows that a move's new version is worse
// than the old one.
func (m *moveTracker) bad(p *move.Plan) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats(p).evidence.Alarm().Raised
}

// observe counts a request that ended on this entry VM.
func (m *moveTracker) observe(p *move.Plan, e caller.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.stats(p)
	route := move.Route(e.Route)
	c := move.Count{Route: route, Server: e.Server, New: e.Version == p.To, N: 1}
	switch {
	case e.Failed:
		c.Failed = 1
	case e.FirstToken > 0 && t.slowness.IsSlow(route, e.FirstToken, e.TokenGap):
		c.Slow = 1
	}
	if !c.New && !e.Failed && e.FirstToken > 0 {
		t.slowness.Observe(route, e.FirstToken, e.TokenGap)
	}
	t.unsent = append(t.unsent, c)
	t.evidence.Add(time.Now(), []move.Count{c})
}

// takeUnsent returns and clears the counts that have not been sent to the other
// entry VMs, summed by route, server and version.
func (m *moveTracker) takeUnsent(p *move.Plan) []move.Count {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.stats(p)
	type key struct {
		route  move.Route
		server engine.ServerID
		isNew  bool
	}
	sums := make(map[key]move.Count)
	for _, c := range t.unsent {
		k := key{c.Route, c.Server, c.New}
		s := sums[k]
		c.N += s.N
		c.Failed += s.Failed
		c.Slow += s.Slow
		sums[k] = c
	}
	t.unsent = nil
	all := make([]move.Count, 0, len(sums))
	for _, c := range sums {
		all = append(all, c)
	}
	return all
}

// addCounts adds another entry VM's counts to the evidence.
func (m *moveTracker) addCounts(p *move.Plan, counts []move.Count) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats(p).evidence.Add(time.Now(), counts)
}

// decide returns the next action for a move.
func (m *moveTracker) decide(p *move.Plan, now time.Time) move.Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return p.Decide(now, &m.stats(p).evidence)
}

// Periods and bounds of version moves.
const (
	movePeriod   = time.Second
	leasePeriods = 5 // periods between renewals of the lease
	moveLeaseTTL = 30 * time.Second
	// maxLoads bounds the concurrent orders to load a version, to protect the
	// weight store.
	maxLoads      = 2
	orderTimeout  = 4 * time.Second
	moveLeaseName = "moves"
)

// versionOf returns the version of a deployment that serves a request. It is
// the old version as long as no engine has the new one loaded.
func (d *Daemon) versionOf(dep *operator.Deployment, r engine.RequestID) engine.Version {
	p := d.store.Current().Move(dep)
	if p == nil {
		return dep.Version
	}
	v := p.Version(r, time.Now(), d.moves.bad(p))
	if v == p.To && len(d.pool.Candidates(engine.LoadedModel{Version: v, Adapter: dep.Adapter}, nil)) == 0 {
		return p.From
	}
	return v
}

// observe counts a request that ended on an engine as evidence on the
// deployment's move, if one is in progress.
func (d *Daemon) observe(e caller.Outcome) {
	cfg := d.store.Current()
	dep := cfg.Deployment(operator.DeploymentID(e.Deployment))
	if dep == nil {
		return
	}
	if p := cfg.Move(dep); p != nil && p.State == move.Started {
		d.moves.observe(p, e)
	}
}

// addEvidence adds evidence on a move that another entry VM has sent.
func (d *Daemon) addEvidence(e peer.Evidence) {
	for _, p := range d.store.Current().ActiveMoves() {
		if p.Deployment == e.Deployment && p.To == e.To {
			d.moves.addCounts(p, e.Counts)
		}
	}
}

// runMoves sends the new evidence on the moves in progress to the other entry
// VMs. While this entry VM holds the lease, it also advances the moves.
func (d *Daemon) runMoves(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		moves := d.store.Current().ActiveMoves()
		unsettled := d.store.Current().FinishedMoves()
		for _, p := range moves {
			d.sendEvidence(ctx, p)
		}
		if len(moves)+len(unsettled) > 0 && n%leasePeriods == 0 {
			// On an error, advanceMove and commitVersion find no lease and do nothing.
			_ = d.lease.Acquire(ctx)
		}
		for _, p := range moves {
			d.advanceMove(ctx, p)
		}
		for _, p := range unsettled {
			d.commitVersion(ctx, p)
		}
		_ = clock.Sleep(ctx, movePeriod) // the loop checks ctx
	}
}

// sendEvidence sends the unsent counts of a move to every other entry VM.
func (d *Daemon) sendEvidence(ctx context.Context, p *move.Plan) {
	counts := d.moves.takeUnsent(p)
	if len(counts) == 0 {
		return
	}
	e := peer.Evidence{Deployment: p.Deployment, To: p.To, Counts: counts}
	for _, a := range d.gossip.Peers() {
		go func() {
			limited, cancel := context.WithTimeout(ctx, engineTimeout)
			defer cancel()
			if err := d.peers.ReportEvidence(limited, a, e); err != nil {
				d.telemetry.Log.Debug("sending evidence of a move to another entry VM failed", zap.String("address", string(a)), zap.Error(err))
			}
		}()
	}
}

// advanceMove orders engines to load a move's new version, decides on the next
// step and writes it to the platform. It does nothing without the lease.
func (d *Daemon) advanceMove(ctx context.Context, p *move.Plan) {
	fence, ok := d.lease.Held(time.Now())
	if !ok {
		return
	}
	d.orderLoads(ctx, p, engine.Fence(fence))
	now := time.Now()
	decision := d.moves.decide(p, now)
	if decision.Action == move.Keep {
		return
	}
	o, ok := d.store.Get(move.Kind, objects.Name(p.Deployment))
	if !ok {
		return
	}
	next := p.Apply(now, decision)
	written, err := d.platform.Put(ctx, move.Kind, o.Name, o.Version, next)
	if err != nil {
		// The decision is made again in the next period.
		d.telemetry.Log.Warn("writing the next step of a move failed; deciding again in the next period", zap.String("deployment", p.Deployment), zap.Error(err))
		return
	}
	d.telemetry.Log.Info("move", zap.String("deployment", p.Deployment), zap.String("state", string(next.State)),
		zap.Int("step", next.Step), zap.String("reason", next.Reason))
	d.applyAndPush(ctx, []objects.Object{written})
}

// commitVersion writes the new version of a finished move to its deployment. It
// does nothing without the lease.
func (d *Daemon) commitVersion(ctx context.Context, p *move.Plan) {
	if _, ok := d.lease.Held(time.Now()); !ok {
		return
	}
	dep := d.store.Current().Deployment(operator.DeploymentID(p.Deployment))
	o, ok := d.store.Get(operator.KindDeployment, objects.Name(p.Deployment))
	if dep == nil || !ok {
		return
	}
	next := *dep
	next.Version = p.To
	written, err := d.platform.Put(ctx, operator.KindDeployment, o.Name, o.Version, next)
	if err != nil {
		d.telemetry.Log.Warn("writing the new version of a finished move to its deployment failed; trying again in the next period", zap.String("deployment", p.Deployment), zap.Error(err))
		return
	}
	d.applyAndPush(ctx, []objects.Object{written})
}

// orderLoads orders engines that have only the old version loaded to load the
// new one too. It is called in each period, until they report that they have
// loaded it.
func (d *Daemon) orderLoads(ctx context.Context, p *move.Plan, f engine.Fence) {
	dep := d.store.Current().Deployment(operator.DeploymentID(p.Deployment))
	if dep == nil || time.Now().Before(p.Start) {
		return
	}
	to := engine.LoadedModel{Version: p.To, Adapter: dep.Adapter}
	var loaded []engine.ServerID
	for _, c := range d.pool.Candidates(to, nil) {
		loaded = append(loaded, c.ID)
	}
	var wg sync.WaitGroup
	ordered := 0
	for _, c := range d.pool.Candidates(engine.LoadedModel{Version: p.From, Adapter: dep.Adapter}, nil) {
		s, ok := d.pool.Lookup(c.ID)
		if !ok || slices.Contains(loaded, c.ID) || ordered == maxLoads {
			continue
		}
		ordered++
		wg.Go(func() {
			limited, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			err := d.engines.Order(limited, s.Address, engine.Order{Fence: f, Load: []engine.LoadedModel{to}})
			if err != nil && result.CodeOf(err) == result.StaleFence {
				d.telemetry.Log.Warn("engine refused the order to load a version: its fencing number is out of date", zap.String("server", string(s.ID)), zap.Error(err))
			}
		})
	}
	wg.Wait()
}
