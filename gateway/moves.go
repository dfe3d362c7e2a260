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

	"quetzalhold/backend"
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

// Timing of version moves.
const (
	// orderWatchWait is how long a watch of orders waits for a change while no move is
	// in progress: orders are rare, and each call is priced.
	orderWatchWait = 20 * time.Second
	// writeDelayStep is how much later each failure domain writes a decision than the
	// one before, so that one of them writes a step and the others see it.
	writeDelayStep = 600 * time.Millisecond
)

// defaultExposure is the part of all requests that a bad version may get if the
// settings name none.
const defaultExposure = 0.1

// tallyKey identifies one count of a tally.
type tallyKey struct {
	route  move.Route
	server engine.ServerID
	isNew  bool
	before bool
}

func keyOf(c move.Count) tallyKey { return tallyKey{c.Route, c.Server, c.New, c.Before} }

// tally sums counts by route, server and whether the version is the new one.
type tally map[tallyKey]move.Count

func (r tally) add(c move.Count) {
	k := keyOf(c)
	sum := r[k]
	sum.Route, sum.Server, sum.New, sum.Before = c.Route, c.Server, c.New, c.Before
	sum.N += c.N
	sum.Failed += c.Failed
	sum.Slow += c.Slow
	r[k] = sum
}

func (r tally) addAll(list []move.Count) {
	for _, c := range list {
		r.add(c)
	}
}

// list returns the counts in a fixed order.
func (r tally) list() []move.Count {
	return slices.SortedFunc(maps.Values(r), func(a, b move.Count) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Server, b.Server), cmp.Compare(a.N, b.N))
	})
}

// split returns the counts of a list of the time of the move, and those from before it.
func split(list []move.Count) (counts, before []move.Count) {
	for _, c := range list {
		if c.Before {
			before = append(before, c)
		} else {
			counts = append(counts, c)
		}
	}
	return counts, before
}

// join is the inverse of split, for lists that were received.
func join(counts, before []move.Count) []move.Count {
	list := slices.Concat(counts, before)
	for i := range before {
		list[len(counts)+i].Before = true
	}
	return list
}

// serviceMove is a move of a service's traffic to a version.
type serviceMove struct {
	plan move.Plan
	// order has its revision, which conditional writes need, only at entry VMs that watch
	// the store.
	order platform.MoveOrder
	// badReason is why the version is known to be bad, even if the store does not have
	// that yet; empty if it is not.
	badReason   string
	speed       move.SlowDetector
	firstShares move.FirstShares
	// allowance bounds what this entry VM sends to the new version.
	allowance move.Allowance
	heardAt   time.Time // when this entry VM has heard of the order
	// unreported is what this entry VM counted and has not reported yet; ownDomain is
	// what its failure domain counted, and otherDomains what each other failure domain
	// had reported when its counts were last added to the evidence.
	unreported   tally
	ownDomain    tally
	otherDomains map[names.ID]reportedTally
	evidence     move.Evidence
	// pending is the decision that this failure domain intends to write, and writeAt
	// when it may.
	pending        intent
	writeAt        time.Time
	evidenceStored bool // the store may have evidence of this failure domain
	// rewriteAt is when this failure domain may write progress again that the restored store
	// lacks; zero if it lacks none.
	rewriteAt time.Time
}

// reportedTally is what a failure domain has reported, and which entry VM counted it.
type reportedTally struct {
	writer feed.Epoch
	tally
}

// aheadOf reports whether the move has progressed further than p, which may be nil.
func (sm *serviceMove) aheadOf(p *platform.MoveProgress) bool {
	switch {
	case p == nil:
		return sm.plan.State != move.Started || sm.plan.Step > 0
	case p.State != move.Started:
		return false
	}
	return sm.plan.State != move.Started || sm.plan.Step > p.Step
}

// addCounts adds the counts of an entry VM of this failure domain.
func (sm *serviceMove) addCounts(counts []move.Count) {
	sm.ownDomain.addAll(counts)
	sm.evidence.Add(time.Now(), counts)
}

// intent is a decision that is not written to the store yet.
type intent struct {
	action      move.Action
	step        int
	hasProgress bool // the store has recorded progress for the order
}

// moves are the moves of services. The zero value has none.
type moves struct {
	mu  sync.Mutex
	all map[routing.ServiceName]*serviceMove
	// baselines are the requests of the last seconds, also of services without a move.
	baselines map[routing.ServiceName]*move.Baseline
	// withdrawn are versions that get no requests, though no move to them is known any more.
	withdrawn map[routing.ServiceName]map[engine.Version]bool
	// listedAt is when this entry VM first knew all orders; zero if it does not.
	listedAt time.Time
}

// setListed records that all orders are known.
func (m *moves) setListed(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listedAt.IsZero() {
		m.listedAt = now
	}
}

// settleTime is how long an entry VM must have known all orders before a new one, to use the slack of its move. One
// that starts later may take the place of another that has used its part, and knows few others.
const settleTime = 2 * time.Second

// isSettled reports whether this entry VM had known all orders for a while at an instant. The caller holds m.mu.
func (m *moves) isSettled(at time.Time) bool {
	return !m.listedAt.IsZero() && !at.Before(m.listedAt.Add(settleTime))
}

// spent returns how many requests this entry VM has sent to the new version of a service's move, and how many have
// reached servers of either version.
func (m *moves) spent(service routing.ServiceName) (sent, reached int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sm := m.all[service]
	if sm == nil {
		return 0, 0
	}
	return sm.allowance.Sent(), sm.allowance.Reached()
}

// baseline returns the requests of a service in the last seconds. The caller holds m.mu.
func (m *moves) baseline(service routing.ServiceName) *move.Baseline {
	b := m.baselines[service]
	if b == nil {
		if m.baselines == nil {
			m.baselines = make(map[routing.ServiceName]*move.Baseline)
		}
		b = &move.Baseline{}
		m.baselines[service] = b
	}
	return b
}

// ensure returns the move of a service to version to. It creates one, and reports true,
// if the service has none or one to another version. The caller holds m.mu.
func (m *moves) ensure(service routing.ServiceName, to engine.Version, start time.Time, length time.Duration, exposure float64) (*serviceMove, bool) {
	if m.all == nil {
		m.all = make(map[routing.ServiceName]*serviceMove)
	}
	before := m.all[service]
	if before != nil && before.plan.To == to {
		return before, false
	}
	if before != nil {
		m.withdraw(service, before, true)
	}
	delete(m.withdrawn[service], to)
	sm := &serviceMove{
		plan: move.Plan{
			Deployment: string(service), To: to, Start: start, FinishBy: start.Add(length), MaxExposure: exposure, State: move.Started,
		},
		unreported: make(tally), ownDomain: make(tally), otherDomains: make(map[names.ID]reportedTally),
	}
	sm.unreported.addAll(m.baseline(service).Counts())
	m.all[service] = sm
	return sm, true
}

// setProgress records a move's state and step. It reports whether they changed.
func (sm *serviceMove) setProgress(now time.Time, state move.State, step int, reason string) bool {
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

// list returns all moves, to be sent to other entry VMs.
func (m *moves) list(now time.Time) []feed.Move {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]feed.Move, 0, len(m.all))
	for service, sm := range m.all {
		f := feed.Move{
			Service: service, To: sm.plan.To, AgeMs: now.Sub(sm.plan.Start).Milliseconds(),
			LengthMs: sm.plan.FinishBy.Sub(sm.plan.Start).Milliseconds(), Step: sm.plan.Step, State: sm.plan.State, Reason: sm.plan.Reason,
			Bad: sm.badReason, Withdrawn: slices.Sorted(maps.Keys(m.withdrawn[service])),
		}
		list = append(list, f)
	}
	return list
}

// retain drops the moves for which keep is false, and reports whether there were any.
func (m *moves) retain(keep func(routing.ServiceName) bool) (dropped bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := len(m.all)
	maps.DeleteFunc(m.all, func(service routing.ServiceName, sm *serviceMove) bool {
		if keep(service) {
			return false
		}
		m.withdraw(service, sm, false)
		return true
	})
	return len(m.all) < before
}

// active returns the services with a move that has not ended.
func (m *moves) active() []routing.ServiceName {
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

// nextDecision returns when the evidence of the moves in progress is to be exchanged and evaluated after now.
func (m *moves) nextDecision(now time.Time) time.Time {
	return m.earliest(now.Add(move.DecideInterval), func(p *move.Plan) time.Time { return p.NextDecision(now) })
}

// nextReport returns when an entry VM that reports its counts at an interval is to do so after now.
func (m *moves) nextReport(now time.Time, interval time.Duration) time.Time {
	return m.earliest(now.Add(interval), func(p *move.Plan) time.Time { return p.NextReport(now, interval) })
}

// earliest returns the earliest of a time and those of the moves in progress.
func (m *moves) earliest(at time.Time, of func(*move.Plan) time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, sm := range m.all {
		if sm.plan.State == move.Started {
			if t := of(&sm.plan); t.Before(at) {
				at = t
			}
		}
	}
	return at
}

// choosesNew reports whether a move chooses the new version for a request, which it gets once: a call that failed
// there is better served by the old one. The caller holds d.moves.mu.
func (d *Daemon) choosesNew(sm *serviceMove, service routing.ServiceName, route move.Route, id engine.RequestID, again bool, now time.Time) bool {
	if sm.plan.State != move.Started {
		return sm.plan.Version(id, now, sm.badReason != "") == sm.plan.To
	}
	if !now.Before(sm.firstShares.Until) {
		sm.firstShares = sm.plan.FirstShares(now, d.moves.baseline(service), &sm.allowance)
	}
	if again || sm.allowance.Left(sm.plan.MaxExposure, sm.firstShares.Kept) <= 0 {
		return false
	}
	return sm.plan.RouteVersion(id, route, sm.firstShares, now, sm.badReason != "") == sm.plan.To
}

// isBad reports whether the new version must get no requests.
func (sm *serviceMove) isBad() bool { return sm.badReason != "" || sm.plan.State == move.RolledBack }

// allowedVersions returns which versions may take a request; nil for all. If the
// version chosen for the request has no servers, or none yet, the others take it,
// unless the new version is known to be bad.
func (d *Daemon) allowedVersions(service routing.ServiceName, route routing.RouteName, id engine.RequestID, again bool) func(engine.Version) bool {
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	sm, now := d.moves.all[service], time.Now()
	if sm == nil {
		return d.unlessWithdrawn(service, now)
	}
	to, withdrawn := sm.plan.To, maps.Clone(d.moves.withdrawn[service])
	isNew := d.choosesNew(sm, service, move.Route(route), id, again, now)
	allowed := func(v engine.Version) bool { return (v == to) == isNew && !withdrawn[v] }
	if !sm.isBad() && !d.pool.HasUsable(service, now, allowed) {
		return d.unlessWithdrawn(service, now)
	}
	return allowed
}

// mayStillSend reports whether a request may be sent to a server, and counts it: since its version was chosen, others
// may have used up the allowance. Where only the new version has servers, its requests are not bounded.
func (d *Daemon) mayStillSend(to backend.Choice, route routing.RouteName) bool {
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	sm := d.moves.all[to.Service]
	if sm == nil || to.Version != sm.plan.To || sm.plan.State == move.Finished {
		return true
	}
	isOld := func(v engine.Version) bool { return v != to.Version }
	if sm.isBad() || sm.allowance.Left(sm.plan.MaxExposure, 0) <= 0 && d.pool.HasUsable(to.Service, time.Now(), isOld) {
		return false
	}
	sm.allowance.Take(move.Route(route))
	return true
}

// recordSent counts a request to a server that has reached it, or that was not sent after all. Those that were sent
// before this entry VM has heard of the order are not counted.
func (d *Daemon) recordSent(to backend.Choice, route routing.RouteName, at time.Time, reached, unsent bool) {
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	sm := d.moves.all[to.Service]
	switch {
	case sm == nil || sm.plan.State != move.Started || at.Before(sm.heardAt):
	case reached:
		sm.allowance.Reach()
	case unsent && to.Version == sm.plan.To:
		sm.allowance.Return(move.Route(route))
	}
}

// recordAnswer counts a server's answer, also for the service's move if it has one in progress.
func (d *Daemon) recordAnswer(r relay.ServerAnswer) {
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	sm, route := d.moves.all[r.Service], move.Route(r.Route)
	isNew := sm != nil && sm.plan.State != move.Finished && r.Version == sm.plan.To
	if !r.Late {
		d.moves.baseline(r.Service).Add(time.Now(), route, isNew, r.Failed)
	}
	if sm == nil || sm.plan.State != move.Started {
		return
	}
	c := move.Count{Route: route, Server: r.Server, New: isNew, N: 1}
	switch {
	case r.Failed:
		c.Failed = 1
	case r.Hung, sm.speed.IsSlow(route, r.First, r.Gap):
		c.Slow = 1
	case r.Partial:
		return // it might have become slow or not
	}
	if !r.Failed && !r.Partial && !c.New {
		sm.speed.Observe(route, r.First, r.Gap)
	}
	if !r.Late { // it was counted as slow
		sm.unreported.add(c)
	}
}

// slowAfter returns the time after which an answer counts as slow, while a move of its service is in progress.
func (d *Daemon) slowAfter(service routing.ServiceName, route routing.RouteName) (time.Duration, bool) {
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	sm := d.moves.all[service]
	if sm == nil || sm.plan.State != move.Started {
		return 0, false
	}
	return sm.speed.Limit(move.Route(route))
}

// drainCounts returns and resets what this entry VM has counted for moves in progress,
// to be reported.
func (d *Daemon) drainCounts() []feed.ServiceCounts {
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	var list []feed.ServiceCounts
	for service, sm := range d.moves.all {
		if len(sm.unreported) > 0 {
			counts, before := split(sm.unreported.list())
			list = append(list, feed.ServiceCounts{Service: service, Counts: counts, Before: before})
			sm.unreported = make(tally)
		}
	}
	return list
}

// requeueCounts puts back drained counts that could not be delivered.
func (d *Daemon) requeueCounts(list []feed.ServiceCounts) {
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	for _, x := range list {
		if sm := d.moves.all[x.Service]; sm != nil {
			sm.unreported.addAll(join(x.Counts, x.Before))
		}
	}
}

// applyPeerCounts adds the counts of another entry VM of the failure domain.
func (d *Daemon) applyPeerCounts(list []feed.ServiceCounts) {
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	for _, x := range list {
		if sm := d.moves.all[x.Service]; sm != nil {
			sm.addCounts(join(x.Counts, x.Before))
		}
	}
}

// applyMoves applies the moves that another entry VM knows. If that one's state is
// fresh, its list is complete, and moves that it lacks are dropped.
func (d *Daemon) applyMoves(now time.Time, list []feed.Move, fresh bool, from string) {
	if fresh {
		d.moves.retain(func(service routing.ServiceName) bool {
			return slices.ContainsFunc(list, func(f feed.Move) bool { return f.Service == service })
		})
	}
	for _, f := range list {
		start := now.Add(-time.Duration(f.AgeMs) * time.Millisecond)
		d.applyMove(now, platform.MoveOrder{
			Service: f.Service, To: f.To, Duration: time.Duration(f.LengthMs) * time.Millisecond,
			Progress: &platform.MoveProgress{State: f.State, Step: f.Step, Reason: f.Reason}, Withdrawn: f.Withdrawn,
		}, start, f.Bad, from, false)
	}
}

// applyMove applies an order, its progress, and why its version is known to be bad, if
// it is. listed is set if the order is from a list of the store: unlike a change, it is
// not older than what was written before.
func (d *Daemon) applyMove(now time.Time, o platform.MoveOrder, start time.Time, bad, from string, listed bool) {
	d.moves.mu.Lock()
	exposure := d.settings.Load().Bounds.BadShare
	if exposure <= 0 {
		exposure = defaultExposure
	}
	sm, changed := d.moves.ensure(o.Service, o.To, start, o.Duration, exposure)
	if changed {
		sm.heardAt, sm.allowance.Entries = time.Now(), d.members.Count()
		if d.moves.isSettled(start) {
			sm.allowance.SetSlack(d.settings.Load().Bounds.BadSlack, d.members.Rank())
		}
	}
	for _, v := range o.Withdrawn {
		if v != o.To {
			d.moves.withdrawVersion(o.Service, v)
		}
	}
	switch newEra := sm.order.Revision.Era < o.Revision.Era; {
	case o.Revision.Number == 0: // from another entry VM
	case !sm.aheadOf(o.Progress):
		sm.rewriteAt = time.Time{}
	case (listed || newEra) && sm.rewriteAt.IsZero():
		sm.rewriteAt = now.Add(d.writeDelay())
	}
	if !o.Revision.Before(sm.order.Revision) {
		sm.order = o
	}
	if o.Progress != nil && sm.setProgress(now, o.Progress.State, o.Progress.Step, o.Progress.Reason) {
		changed = true
	}
	if sm.badReason == "" && bad != "" {
		sm.badReason, changed = bad, true
	}
	p, why := sm.plan, sm.badReason
	d.moves.mu.Unlock()
	if changed {
		d.publishMove(&p, why, from)
	}
}

// publishMove logs the state of a move and publishes it to other entry VMs.
func (d *Daemon) publishMove(p *move.Plan, bad, from string) {
	sent, reached := d.moves.spent(routing.ServiceName(p.Deployment))
	d.log.Info("version move changed", zap.String("service", p.Deployment), zap.String("to", string(p.To)), zap.String("state", string(p.State)),
		zap.Int("step", p.Step), zap.Float64("share", p.Share(time.Now(), bad != "")), zap.Time("finishBy", p.FinishBy), zap.String("why", p.Reason), zap.String("bad", bad), zap.String("from", from),
		zap.Int("sent", sent), zap.Int("reached", reached))
	d.changes.SetMoves(d.moves.list)
}

// restoredOrderHold is how long orders that a restored store lacks are kept: the operator
// writes those again that the copy lacks.
const restoredOrderHold = 10 * time.Second

// applyMoveList applies a list of all orders. It drops the moves that the list lacks if
// complete is set.
func (d *Daemon) applyMoveList(page platform.Page, complete bool) {
	dropped := complete && d.moves.retain(func(service routing.ServiceName) bool {
		return slices.ContainsFunc(page.Objects, func(o platform.Object) bool { return o.Name() == string(service) })
	})
	if dropped {
		d.log.Info("version moves removed", zap.Int("listed", len(page.Objects)))
		d.changes.SetMoves(d.moves.list)
	}
	for i := range page.Objects {
		d.applyMoveChange(platform.Change{Object: page.Objects[i]}, true)
	}
}

func (d *Daemon) applyMoveChange(c platform.Change, listed bool) {
	now := time.Now()
	if c.Removed {
		d.moves.retain(func(service routing.ServiceName) bool { return string(service) != c.Object.Name() })
		d.log.Info("version move removed", zap.String("service", c.Object.Name()))
		d.changes.SetMoves(d.moves.list)
		return
	}
	o, err := platform.ReadMove(&c.Object)
	if err != nil {
		d.log.Error("malformed version move ignored", zap.String("service", c.Object.Name()), zap.Error(err))
		return
	}
	d.applyMove(now, o, now, "", "store", listed)
}

// decideMoves exchanges the evidence of the moves in progress and decides about them,
// periodically until ctx ends.
func (d *Daemon) decideMoves(ctx context.Context) {
	for ctx.Err() == nil {
		_ = clock.Until(ctx, d.moves.nextDecision(time.Now())) // the loop condition checks ctx
		for _, service := range d.moves.active() {
			d.exchangeEvidence(ctx, service)
			d.decideMove(ctx, service)
		}
		d.rewriteProgress(ctx)
		d.deleteEvidence(ctx)
	}
}

// rewriteProgress writes the progress of moves again that the restored store lacks.
func (d *Daemon) rewriteProgress(ctx context.Context) {
	now := time.Now()
	d.moves.mu.Lock()
	var due []move.Plan
	var orders []platform.MoveOrder
	for _, sm := range d.moves.all {
		if !sm.rewriteAt.IsZero() && !now.Before(sm.rewriteAt) {
			sm.rewriteAt = now.Add(d.writeDelay() + move.DecideInterval) // unless the watch shows the write before
			due, orders = append(due, sm.plan), append(orders, sm.order)
		}
	}
	d.moves.mu.Unlock()
	for i, p := range due {
		err := d.store.SetMove(ctx, orders[i], d.progress(&p))
		d.log.Info("progress of a version move written again", zap.String("service", p.Deployment), zap.String("state", string(p.State)), zap.Int("step", p.Step), zap.Error(err))
	}
}

// progress returns the progress of a move as the store has it.
func (d *Daemon) progress(p *move.Plan) platform.MoveProgress {
	return platform.MoveProgress{State: p.State, Step: p.Step, Reason: p.Reason, Withdrawn: d.moves.withdrawnOf(routing.ServiceName(p.Deployment))}
}

// deleteEvidence deletes from the store this failure domain's evidence of moves that
// have ended.
func (d *Daemon) deleteEvidence(ctx context.Context) {
	d.moves.mu.Lock()
	var done []routing.ServiceName
	for service, sm := range d.moves.all {
		if sm.evidenceStored && sm.plan.State != move.Started {
			sm.evidenceStored = false
			done = append(done, service)
		}
	}
	d.moves.mu.Unlock()
	for _, service := range done {
		err := d.store.Delete(ctx, platform.MoveEvidence, evidenceName(service, d.members.Self.Domain))
		if err != nil && result.CodeOf(err) != result.ObjectMissing {
			// The service's next move overwrites it.
			d.log.Info("evidence of an ended version move not deleted", zap.String("service", string(service)), zap.Error(err))
		}
	}
}

// evidenceName returns the name of the store's object that holds a failure domain's
// evidence for a service.
func evidenceName(service routing.ServiceName, domain names.ID) string {
	return string(service) + "." + string(domain)
}

// domainEvidence is what a failure domain counted for a service in a move.
type domainEvidence struct {
	To     engine.Version `json:"to"`
	Writer feed.Epoch     `json:"writer,omitempty"` // the entry VM that counted
	Counts []move.Count   `json:"counts"`
	Before []move.Count   `json:"before,omitempty"` // from before the move
}

// exchangeEvidence writes this failure domain's evidence to the store and adds that of
// the other failure domains.
func (d *Daemon) exchangeEvidence(ctx context.Context, service routing.ServiceName) {
	domain := d.members.Self.Domain
	writer := d.changes.Epoch() // the log's lock is taken before that of the moves
	d.moves.mu.Lock()
	sm := d.moves.all[service]
	if sm == nil {
		d.moves.mu.Unlock()
		return
	}
	sm.addCounts(sm.unreported.list())
	sm.unreported = make(tally)
	sm.evidenceStored = true
	report := domainEvidence{To: sm.plan.To, Writer: writer}
	report.Counts, report.Before = split(sm.ownDomain.list())
	d.moves.mu.Unlock()
	if err := d.store.Put(ctx, platform.MoveEvidence, evidenceName(service, domain), report); err != nil {
		d.log.Warn("evidence of a version move not written", zap.String("service", string(service)), zap.Error(err))
		return
	}
	page, err := d.store.List(ctx, platform.MoveEvidence, false)
	if err != nil {
		d.log.Warn("evidence of other failure domains not read", zap.String("service", string(service)), zap.Error(err))
		return
	}
	for i := range page.Objects {
		other, found := strings.CutPrefix(page.Objects[i].Name(), evidenceName(service, ""))
		if !found || other == string(domain) {
			continue
		}
		var e domainEvidence
		if err := json.Unmarshal(page.Objects[i].Spec, &e); err != nil {
			d.log.Warn("malformed evidence ignored", zap.String("name", page.Objects[i].Name()), zap.Error(err))
			continue
		}
		d.addEvidence(service, names.ID(other), e)
	}
}

// addEvidence adds what another failure domain counted since its counts were last
// added.
func (d *Daemon) addEvidence(service routing.ServiceName, other names.ID, e domainEvidence) {
	d.moves.mu.Lock()
	defer d.moves.mu.Unlock()
	sm := d.moves.all[service]
	if sm == nil || sm.plan.To != e.To {
		return
	}
	before := sm.otherDomains[other]
	now := make(tally)
	sameWriter := e.Writer != "" && e.Writer == before.writer
	if sameWriter {
		maps.Copy(now, before.tally)
	}
	var more []move.Count
	for _, c := range join(e.Counts, e.Before) {
		k := keyOf(c)
		old := before.tally[k]
		if sameWriter && c.N < old.N {
			continue // the store was restored from an older copy
		}
		now[k] = c
		c.N, c.Failed, c.Slow = c.N-old.N, c.Failed-old.Failed, c.Slow-old.Slow
		// Add skips counts that fell, as when another entry VM reports for the domain.
		more = append(more, c)
	}
	sm.otherDomains[other] = reportedTally{writer: e.Writer, tally: now}
	sm.evidence.Add(time.Now(), more)
}

// writeDelay returns how long this failure domain waits before it writes a decision.
func (d *Daemon) writeDelay() time.Duration {
	all := slices.Sorted(maps.Keys(d.settings.Load().Regions))
	return time.Duration(max(0, slices.Index(all, d.members.Self.Domain))) * writeDelayStep
}

// decideMove decides about a move and writes the resulting progress to the store.
func (d *Daemon) decideMove(ctx context.Context, service routing.ServiceName) {
	now := time.Now()
	d.moves.mu.Lock()
	sm := d.moves.all[service]
	if sm == nil || sm.plan.State != move.Started {
		d.moves.mu.Unlock()
		return
	}
	dec := sm.plan.Decide(now, &sm.evidence)
	if sm.badReason != "" {
		dec = move.Decision{Action: move.RollBack, Reason: move.WorseThanOld, Detail: sm.badReason}
	}
	next := sm.plan.Apply(now, dec)
	if dec.Action == move.Keep && sm.order.Progress != nil {
		d.moves.mu.Unlock()
		return
	}
	newlyBad := dec.Action == move.RollBack && sm.badReason == ""
	if newlyBad {
		sm.badReason = cmp.Or(dec.Detail, dec.Reason.String())
	}
	if want := (intent{dec.Action, next.Step, sm.order.Progress != nil}); sm.writeAt.IsZero() || want != sm.pending {
		sm.pending, sm.writeAt = want, now.Add(d.writeDelay())
	}
	tooEarly := dec.Action != move.RollBack && now.Before(sm.writeAt)
	order := sm.order
	d.moves.mu.Unlock()
	if newlyBad {
		// This failure domain rolls back before the store has the decision.
		d.publishMove(&next, dec.Detail, "own decision")
	}
	if tooEarly || order.Revision.Number == 0 { // without a revision the write would not be conditional
		return
	}
	err := d.store.SetMove(ctx, order, d.progress(&next))
	if err != nil {
		// Another failure domain may have written first; the watch delivers its write.
		d.log.Info("progress of a version move not written", zap.String("service", string(service)), zap.Stringer("action", dec.Action), zap.Error(err))
		return
	}
	d.moves.mu.Lock()
	changed := sm.setProgress(now, next.State, next.Step, next.Reason)
	if sm.order.Progress == nil {
		sm.order.Progress = &platform.MoveProgress{State: next.State}
	}
	p := sm.plan
	d.moves.mu.Unlock()
	if changed {
		d.publishMove(&p, "", "own decision")
	}
}
