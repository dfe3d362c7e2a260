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

// mover keeps what this entry VM knows of the moves under way. The zero value
// knows none.
type mover struct {
	mu     sync.Mutex
	tracks map[string]*track
}

// track is what was seen of one move.
type track struct {
	to       engine.Version
	start    time.Time
	evidence move.Evidence
	speed    move.SlowDetector
	pending  []move.Count // not told to the others yet
}

// track returns the track of a move. The caller holds m.mu.
func (m *mover) track(p *move.Plan) *track {
	if m.tracks == nil {
		m.tracks = make(map[string]*track)
	}
	t := m.tracks[p.Deployment]
	if t == nil || t.to != p.To || !t.start.Equal(p.Start) {
		t = &track{to: p.To, start: p.Start}
		m.tracks[p.Deployment] = t
	}
	return t
}

// bad reports whether the new version of a move is known to be bad.
func (m *mover) bad(p *move.Plan) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.track(p).evidence.Alarm().Raised
}

// observe takes over how a request ended here.
func (m *mover) observe(p *move.Plan, e caller.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.track(p)
	route := move.Route(e.Route)
	c := move.Count{Route: route, Server: e.Server, New: e.Version == p.To, N: 1}
	switch {
	case e.Failed:
		c.Failed = 1
	case e.FirstToken > 0 && t.speed.IsSlow(route, e.FirstToken, e.TokenGap):
		c.Slow = 1
	}
	if !c.New && !e.Failed && e.FirstToken > 0 {
		t.speed.Observe(route, e.FirstToken, e.TokenGap)
	}
	t.pending = append(t.pending, c)
	t.evidence.Add(time.Now(), []move.Count{c})
}

// take returns what the others were not told yet, added up.
func (m *mover) take(p *move.Plan) []move.Count {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.track(p)
	type key struct {
		route  move.Route
		server engine.ServerID
		isNew  bool
	}
	sums := make(map[key]move.Count)
	for _, c := range t.pending {
		k := key{c.Route, c.Server, c.New}
		s := sums[k]
		c.N += s.N
		c.Failed += s.Failed
		c.Slow += s.Slow
		sums[k] = c
	}
	t.pending = nil
	all := make([]move.Count, 0, len(sums))
	for _, c := range sums {
		all = append(all, c)
	}
	return all
}

// add takes over what another entry VM saw.
func (m *mover) add(p *move.Plan, counts []move.Count) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.track(p).evidence.Add(time.Now(), counts)
}

// decide returns what to do with a move.
func (m *mover) decide(p *move.Plan, now time.Time) move.Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return p.Decide(now, &m.track(p).evidence)
}

// The pace of moves.
const (
	movePeriod = time.Second
	leaseEvery = 5 // periods
	leaseTerm  = 30 * time.Second
	// loadsAtOnce bounds the orders to load a version that are under way, for
	// the weight store's sake.
	loadsAtOnce = 2
	orderLimit  = 4 * time.Second
	moveLease   = "moves"
)

// versionOf returns the version of a deployment that a request goes to. Before
// an engine holds the new one, it is the old one.
func (d *Daemon) versionOf(dep *operator.Deployment, r engine.RequestID) engine.Version {
	p := d.store.Current().Move(dep)
	if p == nil {
		return dep.Version
	}
	v := p.Version(r, time.Now(), d.mover.bad(p))
	if v == p.To && len(d.pool.Candidates(engine.LoadedModel{Version: v, Adapter: dep.Adapter}, nil)) == 0 {
		return p.From
	}
	return v
}

// observe takes over how a request ended on an engine.
func (d *Daemon) observe(e caller.Outcome) {
	cfg := d.store.Current()
	dep := cfg.Deployment(operator.DeploymentID(e.Deployment))
	if dep == nil {
		return
	}
	if p := cfg.Move(dep); p != nil && p.State == move.Started {
		d.mover.observe(p, e)
	}
}

// takeEvidence takes over what another entry VM saw of a move.
func (d *Daemon) takeEvidence(e peer.Evidence) {
	for _, p := range d.store.Current().ActiveMoves() {
		if p.Deployment == e.Deployment && p.To == e.To {
			d.mover.add(p, e.Counts)
		}
	}
}

// runMoves tells the others what was seen of the moves under way, and decides
// about them while this entry VM holds the lease.
func (d *Daemon) runMoves(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		moves := d.store.Current().ActiveMoves()
		unsettled := d.store.Current().FinishedMoves()
		for _, p := range moves {
			d.tellEvidence(ctx, p)
		}
		if len(moves)+len(unsettled) > 0 && n%leaseEvery == 0 {
			// Whoever fails to get the lease does not decide.
			_ = d.lease.Acquire(ctx)
		}
		for _, p := range moves {
			d.leadMove(ctx, p)
		}
		for _, p := range unsettled {
			d.settleMove(ctx, p)
		}
		_ = clock.Sleep(ctx, movePeriod) // the loop sees the end of ctx
	}
}

func (d *Daemon) tellEvidence(ctx context.Context, p *move.Plan) {
	counts := d.mover.take(p)
	if len(counts) == 0 {
		return
	}
	e := peer.Evidence{Deployment: p.Deployment, To: p.To, Counts: counts}
	for _, a := range d.gossip.Peers() {
		go func() {
			limited, cancel := context.WithTimeout(ctx, engineLimit)
			defer cancel()
			if err := d.peers.ReportEvidence(limited, a, e); err != nil {
				d.telemetry.Log.Debug("evidence not told", zap.String("address", string(a)), zap.Error(err))
			}
		}()
	}
}

// leadMove decides about a move and writes what was decided.
func (d *Daemon) leadMove(ctx context.Context, p *move.Plan) {
	fence, ok := d.lease.Held(time.Now())
	if !ok {
		return
	}
	d.orderLoads(ctx, p, engine.Fence(fence))
	now := time.Now()
	decision := d.mover.decide(p, now)
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
		// The next period decides anew.
		d.telemetry.Log.Warn("move not written", zap.String("deployment", p.Deployment), zap.Error(err))
		return
	}
	d.telemetry.Log.Info("move", zap.String("deployment", p.Deployment), zap.String("state", string(next.State)),
		zap.Int("step", next.Step), zap.String("reason", next.Reason))
	d.learn(ctx, []objects.Object{written})
}

// settleMove gives a deployment the version that its move has finished with.
func (d *Daemon) settleMove(ctx context.Context, p *move.Plan) {
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
		d.telemetry.Log.Warn("deployment not written", zap.String("deployment", p.Deployment), zap.Error(err))
		return
	}
	d.learn(ctx, []objects.Object{written})
}

// orderLoads orders engines that hold only the old version to load the new one
// too. It is repeated until they report that they have.
func (d *Daemon) orderLoads(ctx context.Context, p *move.Plan, f engine.Fence) {
	dep := d.store.Current().Deployment(operator.DeploymentID(p.Deployment))
	if dep == nil || time.Now().Before(p.Start) {
		return
	}
	to := engine.LoadedModel{Version: p.To, Adapter: dep.Adapter}
	var have []engine.ServerID
	for _, c := range d.pool.Candidates(to, nil) {
		have = append(have, c.ID)
	}
	var wg sync.WaitGroup
	ordered := 0
	for _, c := range d.pool.Candidates(engine.LoadedModel{Version: p.From, Adapter: dep.Adapter}, nil) {
		s, ok := d.pool.Lookup(c.ID)
		if !ok || slices.Contains(have, c.ID) || ordered == loadsAtOnce {
			continue
		}
		ordered++
		wg.Go(func() {
			limited, cancel := context.WithTimeout(ctx, orderLimit)
			defer cancel()
			err := d.engines.Order(limited, s.Address, engine.Order{Fence: f, Load: []engine.LoadedModel{to}})
			if err != nil && result.CodeOf(err) == result.StaleFence {
				d.telemetry.Log.Warn("order refused", zap.String("server", string(s.ID)), zap.Error(err))
			}
		})
	}
	wg.Wait()
}
