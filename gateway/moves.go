package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"quetzalhold/clock"
	"quetzalhold/engine"
	"quetzalhold/feed"
	"quetzalhold/move"
	"quetzalhold/names"
	"quetzalhold/platform"
	"quetzalhold/relay"
	"quetzalhold/result"
	"quetzalhold/routing"
)

// The pace of moves.
const (
	// moveWait is how long a watch of orders waits where none is under way: orders
	// are rare, and each call is priced.
	moveWait = 20 * time.Second
	// decideEvery is how often the evidence of moves is looked at and told.
	decideEvery = time.Second
	// turnTime is how much later each failure domain acts than the one before, so that
	// one of them writes a step and the others see it.
	turnTime = 1500 * time.Millisecond
)

// defaultExposure is the part of all requests that a bad version may get where the
// settings name none.
const defaultExposure = 0.1

// rowKey names a row of counts.
type rowKey struct {
	route  move.Route
	server engine.ServerID
	isNew  bool
}

// rows are counts by what they count.
type rows map[rowKey]move.Count

func (r rows) add(c move.Count) {
	k := rowKey{c.Route, c.Server, c.New}
	sum := r[k]
	sum.Route, sum.Server, sum.New = c.Route, c.Server, c.New
	sum.N += c.N
	sum.Failed += c.Failed
	sum.Slow += c.Slow
	r[k] = sum
}

func (r rows) addAll(list []move.Count) {
	for _, c := range list {
		r.add(c)
	}
}

// list returns the counts in a fixed order.
func (r rows) list() []move.Count {
	return slices.SortedFunc(maps.Values(r), func(a, b move.Count) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Server, b.Server), cmp.Compare(a.N, b.N))
	})
}

// serviceMove is a move of a service's traffic to a version.
type serviceMove struct {
	plan  move.Plan
	order platform.MoveOrder // with the revision to write with; of entry VMs that watch the store
	// bad is why the version is known to be bad, if not yet in the store; empty if it
	// is not.
	bad   string
	speed move.Speed
	// untold is what this entry VM saw and has told nobody; domain is what the
	// failure domain saw, and elsewhere what each other one had told when it was
	// added to the evidence.
	untold    rows
	domain    rows
	elsewhere map[names.ID]rows
	evidence  move.Evidence
	// want is what this failure domain wants to do, and wait when its turn comes.
	want intent
	wait time.Time
	told bool // the store has this failure domain's evidence
}

// saw takes over what an entry VM of this failure domain saw.
func (sm *serviceMove) saw(counts []move.Count) {
	sm.domain.addAll(counts)
	sm.evidence.Add(time.Now(), counts)
}

// intent is a decision that is not written yet.
type intent struct {
	action move.Action
	step   int
	begun  bool // the store has a progress for the order
}

// moves are the moves of services. The zero value has none.
type moves struct {
	mu  sync.Mutex
	all map[routing.ServiceName]*serviceMove
}

// begin returns the move of an order, a new one if the order names another version.
// It reports whether it is new.
func (m *moves) begin(service routing.ServiceName, to engine.Version, start time.Time, length time.Duration, exposure float64) (*serviceMove, bool) {
	if m.all == nil {
		m.all = make(map[routing.ServiceName]*serviceMove)
	}
	if sm := m.all[service]; sm != nil && sm.plan.To == to {
		return sm, false
	}
	sm := &serviceMove{
		plan: move.Plan{
			Deployment: string(service), To: to, Start: start, FinishBy: start.Add(length), MaxExposure: exposure, State: move.Started,
		},
		untold: make(rows), domain: make(rows), elsewhere: make(map[names.ID]rows),
	}
	m.all[service] = sm
	return sm, true
}

// progress takes over how a move stands. It reports whether that is new.
func (sm *serviceMove) progress(now time.Time, state move.State, step int, reason string) bool {
	p := &sm.plan
	if p.State != move.Started || state == p.State && step <= p.Step {
		return false
	}
	if state == move.Started && step > p.Step {
		p.SteppedAt = now
	}
	p.State, p.Step, p.Reason = state, max(p.Step, min(step, move.LastStep())), reason
	if state != move.Started {
		p.EndedAt = now
	}
	return true
}

// list returns all moves, to be told.
func (m *moves) list(now time.Time) []feed.Move {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]feed.Move, 0, len(m.all))
	for service, sm := range m.all {
		f := feed.Move{
			Service: service, To: sm.plan.To, AgeMs: now.Sub(sm.plan.Start).Milliseconds(),
			LengthMs: sm.plan.FinishBy.Sub(sm.plan.Start).Milliseconds(), Step: sm.plan.Step, State: sm.plan.State, Reason: sm.plan.Reason,
			Bad: sm.bad,
		}
		list = append(list, f)
	}
	return list
}

// keep drops the moves that do not stand any more, and reports whether there were any.
func (m *moves) keep(stands func(routing.ServiceName) bool) (dropped bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := len(m.all)
	maps.DeleteFunc(m.all, func(service routing.ServiceName, _ *serviceMove) bool { return !stands(service) })
	return len(m.all) < before
}

// underWay returns the services with a move that has not ended.
func (m *moves) underWay() []routing.ServiceName {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []routing.ServiceName
	for service, sm := range m.all {
		if sm.plan.State == move.Started {
			list = append(list, service)
		}
	}
	slices.Sort(list)
	return list
}

// allowed returns which versions may take a request; nil for all. Where the servers of
// the chosen version are gone, or not there yet, the others take it, unless the new
// version is known to be bad.
func (d *Daemon) allowed(service routing.ServiceName, id engine.RequestID) func(engine.Version) bool {
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	sm := d.moves.all[service]
	if sm == nil {
		return nil
	}
	now := time.Now()
	to := sm.plan.To
	isNew := sm.plan.Version(id, now, sm.bad != "") == to
	bad := sm.bad != "" || sm.plan.State == move.TakenBack
	if !bad && !d.pool.Has(service, now, func(v engine.Version) bool { return (v == to) == isNew }) {
		return nil
	}
	return func(v engine.Version) bool { return (v == to) == isNew }
}

// ran counts an answer of a service that is in a move.
func (d *Daemon) ran(r relay.Ran) {
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	sm := d.moves.all[r.Service]
	if sm == nil || sm.plan.State != move.Started {
		return
	}
	route := move.Route(r.Route)
	c := move.Count{Route: route, Server: r.Server, New: r.Version == sm.plan.To, N: 1}
	switch {
	case r.Failed:
		c.Failed = 1
	case sm.speed.Slow(route, r.First, r.Gap):
		c.Slow = 1
	}
	if !r.Failed && !c.New {
		sm.speed.Old(route, r.First, r.Gap)
	}
	sm.untold.add(c)
}

// drainRan returns what this entry VM saw of services in moves, to be told.
func (d *Daemon) drainRan() []feed.Counted {
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	var list []feed.Counted
	for service, sm := range d.moves.all {
		if len(sm.untold) > 0 {
			list = append(list, feed.Counted{Service: service, Counts: sm.untold.list()})
			sm.untold = make(rows)
		}
	}
	return list
}

// putBack keeps what was drained and did not reach anybody.
func (d *Daemon) putBack(list []feed.Counted) {
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	for _, x := range list {
		if sm := d.moves.all[x.Service]; sm != nil {
			sm.untold.addAll(x.Counts)
		}
	}
}

// takeRan takes over what another entry VM of the failure domain saw.
func (d *Daemon) takeRan(list []feed.Counted) {
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	for _, x := range list {
		if sm := d.moves.all[x.Service]; sm != nil {
			sm.saw(x.Counts)
		}
	}
}

// takeMoves takes over the moves that another entry VM knows. If its news are fresh,
// there are no others.
func (d *Daemon) takeMoves(now time.Time, list []feed.Move, fresh bool, from string) {
	if fresh {
		d.moves.keep(func(service routing.ServiceName) bool {
			return slices.ContainsFunc(list, func(f feed.Move) bool { return f.Service == service })
		})
	}
	for _, f := range list {
		start := now.Add(-time.Duration(f.AgeMs) * time.Millisecond)
		d.setMove(now, platform.MoveOrder{
			Service: f.Service, To: f.To, Duration: time.Duration(f.LengthMs) * time.Millisecond,
			Progress: &platform.MoveProgress{State: f.State, Step: f.Step, Reason: f.Reason},
		}, start, f.Bad, from)
	}
}

// setMove takes over an order, how far it is, and why its version is known to be bad.
func (d *Daemon) setMove(now time.Time, o platform.MoveOrder, start time.Time, bad, from string) {
	d.moves.mu.Lock()
	exposure := d.settings.Load().Bounds.BadShare
	if exposure <= 0 {
		exposure = defaultExposure
	}
	sm, changed := d.moves.begin(o.Service, o.To, start, o.Duration, exposure)
	if o.Revision >= sm.order.Revision {
		sm.order = o
	}
	if o.Progress != nil && sm.progress(now, o.Progress.State, o.Progress.Step, o.Progress.Reason) {
		changed = true
	}
	if sm.bad == "" && bad != "" {
		sm.bad, changed = bad, true
	}
	p, why := sm.plan, sm.bad
	d.moves.mu.Unlock()
	if changed {
		d.noteMove(&p, why, from)
	}
}

// noteMove logs how a move stands and tells the others.
func (d *Daemon) noteMove(p *move.Plan, bad, from string) {
	d.log.Info("version move", zap.String("service", p.Deployment), zap.String("to", string(p.To)), zap.String("state", string(p.State)),
		zap.Int("step", p.Step), zap.Float64("share", p.Share(time.Now(), bad != "")), zap.Time("finishBy", p.FinishBy), zap.String("why", p.Reason), zap.String("bad", bad), zap.String("from", from))
	d.news.SetMoves(d.moves.list)
}

// watchMoves follows the operator's orders to move services until ctx ends.
func (d *Daemon) watchMoves(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := d.store.List(ctx, platform.Moves, false)
		if err == nil {
			d.listMoves(page)
		}
		rev := page.Revision
		for err == nil && ctx.Err() == nil {
			wait := moveWait
			if len(d.moves.underWay()) > 0 {
				wait = watchWait // a connection that went silent is noticed soon
			}
			var c platform.Changes
			c, err = d.store.Watch(ctx, platform.Moves, rev, wait)
			for _, ch := range c.Changes {
				d.changeMove(ch)
			}
			rev = max(rev, c.Revision)
		}
		if ctx.Err() == nil && result.CodeOf(err) != result.HistoryGone {
			d.log.Info("orders of version moves not known", zap.Error(err))
			_ = clock.Sleep(ctx, maxBackoff) // the loop sees the end of ctx
			d.awaitStore(ctx, moveWait)
		}
	}
}

func (d *Daemon) listMoves(page platform.Page) {
	dropped := d.moves.keep(func(service routing.ServiceName) bool {
		return slices.ContainsFunc(page.Objects, func(o platform.Object) bool { return o.Name() == string(service) })
	})
	if dropped {
		d.log.Info("version moves removed", zap.Int("listed", len(page.Objects)))
		d.news.SetMoves(d.moves.list)
	}
	for i := range page.Objects {
		d.changeMove(platform.Change{Object: page.Objects[i]})
	}
}

func (d *Daemon) changeMove(c platform.Change) {
	now := time.Now()
	if c.Removed {
		d.moves.keep(func(service routing.ServiceName) bool { return string(service) != c.Object.Name() })
		d.log.Info("version move removed", zap.String("service", c.Object.Name()))
		d.news.SetMoves(d.moves.list)
		return
	}
	o, err := platform.ReadMove(&c.Object)
	if err != nil {
		d.log.Error("version move ignored", zap.String("service", c.Object.Name()), zap.Error(err))
		return
	}
	d.setMove(now, o, now, "", "store")
}

// decideMoves looks at the moves that are under way until ctx ends.
func (d *Daemon) decideMoves(ctx context.Context) {
	for ctx.Err() == nil {
		_ = clock.Sleep(ctx, decideEvery) // the loop sees the end of ctx
		for _, service := range d.moves.underWay() {
			d.shareEvidence(ctx, service)
			d.decideMove(ctx, service)
		}
		d.dropEvidence(ctx)
	}
}

// dropEvidence removes what this failure domain told of moves that have ended.
func (d *Daemon) dropEvidence(ctx context.Context) {
	d.moves.mu.Lock()
	var done []routing.ServiceName
	for service, sm := range d.moves.all {
		if sm.told && sm.plan.State != move.Started {
			sm.told = false
			done = append(done, service)
		}
	}
	d.moves.mu.Unlock()
	for _, service := range done {
		err := d.store.Delete(ctx, platform.MoveEvidence, evidenceName(service, d.members.Self.Domain))
		if err != nil && result.CodeOf(err) != result.ObjectMissing {
			// The next move of the service writes over it.
			d.log.Info("evidence not removed", zap.String("service", string(service)), zap.Error(err))
		}
	}
}

// evidenceName returns the name of the object in which a failure domain tells what it
// saw of a service.
func evidenceName(service routing.ServiceName, domain names.ID) string {
	return string(service) + "." + string(domain)
}

// domainEvidence is what a failure domain saw of a service in a move.
type domainEvidence struct {
	To     engine.Version `json:"to"`
	Counts []move.Count   `json:"counts"`
}

// shareEvidence tells the other failure domains what this one saw, and takes over what
// they did.
func (d *Daemon) shareEvidence(ctx context.Context, service routing.ServiceName) {
	domain := d.members.Self.Domain
	d.moves.mu.Lock()
	sm := d.moves.all[service]
	if sm == nil {
		d.moves.mu.Unlock()
		return
	}
	sm.saw(sm.untold.list())
	sm.untold = make(rows)
	sm.told = true
	told := domainEvidence{To: sm.plan.To, Counts: sm.domain.list()}
	d.moves.mu.Unlock()
	if err := d.store.Put(ctx, platform.MoveEvidence, evidenceName(service, domain), told); err != nil {
		d.log.Warn("evidence not told", zap.String("service", string(service)), zap.Error(err))
		return
	}
	page, err := d.store.List(ctx, platform.MoveEvidence, false)
	if err != nil {
		d.log.Warn("evidence not known", zap.String("service", string(service)), zap.Error(err))
		return
	}
	for i := range page.Objects {
		of, found := strings.CutPrefix(page.Objects[i].Name(), evidenceName(service, ""))
		if !found || of == string(domain) {
			continue
		}
		var e domainEvidence
		if err := json.Unmarshal(page.Objects[i].Spec, &e); err != nil {
			d.log.Warn("evidence ignored", zap.String("name", page.Objects[i].Name()), zap.Error(err))
			continue
		}
		d.addEvidence(service, names.ID(of), e)
	}
}

// addEvidence adds what another failure domain saw since it was added last.
func (d *Daemon) addEvidence(service routing.ServiceName, of names.ID, e domainEvidence) {
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	sm := d.moves.all[service]
	if sm == nil || sm.plan.To != e.To {
		return
	}
	before := sm.elsewhere[of]
	now := make(rows)
	var more []move.Count
	for _, c := range e.Counts {
		now.add(c)
		old := before[rowKey{c.Route, c.Server, c.New}]
		c.N, c.Failed, c.Slow = c.N-old.N, c.Failed-old.Failed, c.Slow-old.Slow
		more = append(more, c) // counts that fell, of another teller, are passed over
	}
	sm.elsewhere[of] = now
	sm.evidence.Add(time.Now(), more)
}

// turn returns how long after it wants to this failure domain acts.
func (d *Daemon) turn() time.Duration {
	all := slices.Sorted(maps.Keys(d.settings.Load().Regions))
	return time.Duration(max(0, slices.Index(all, d.members.Self.Domain))) * turnTime
}

// decideMove decides about a move and writes what becomes of it.
func (d *Daemon) decideMove(ctx context.Context, service routing.ServiceName) {
	now := time.Now()
	d.moves.mu.Lock()
	sm := d.moves.all[service]
	if sm == nil || sm.plan.State != move.Started {
		d.moves.mu.Unlock()
		return
	}
	dec := sm.plan.Decide(now, &sm.evidence)
	if sm.bad != "" {
		dec = move.Decision{Action: move.TakeBack, Why: move.ShownBad, Detail: sm.bad}
	}
	next := sm.plan.Apply(now, dec)
	if dec.Action == move.Keep && sm.order.Progress != nil {
		d.moves.mu.Unlock()
		return
	}
	found := dec.Action == move.TakeBack && sm.bad == ""
	if found {
		sm.bad = cmp.Or(dec.Detail, dec.Why.String())
	}
	if want := (intent{dec.Action, next.Step, sm.order.Progress != nil}); sm.wait.IsZero() || want != sm.want {
		sm.want, sm.wait = want, now.Add(d.turn())
	}
	waits := dec.Action != move.TakeBack && now.Before(sm.wait)
	order := sm.order
	d.moves.mu.Unlock()
	if found {
		d.noteMove(&next, dec.Detail, "own decision") // the domain goes back before the store knows
	}
	if waits || order.Revision == 0 { // without a revision the write would not be conditional
		return
	}
	err := d.store.SetMove(ctx, order, platform.MoveProgress{State: next.State, Step: next.Step, Reason: next.Reason})
	if err != nil {
		// Another failure domain may have written; the watch will tell.
		d.log.Info("version move not written", zap.String("service", string(service)), zap.Stringer("action", dec.Action), zap.Error(err))
		return
	}
	d.moves.mu.Lock()
	changed := sm.progress(now, next.State, next.Step, next.Reason)
	if sm.order.Progress == nil {
		sm.order.Progress = &platform.MoveProgress{State: next.State}
	}
	p := sm.plan
	d.moves.mu.Unlock()
	if changed {
		d.noteMove(&p, "", "own decision")
	}
}
