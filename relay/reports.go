package relay

import (
	"context"
	"maps"
	"sync"
	"time"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/telemetry"
)

// How old a load report may be that serves the placement of another stream. Engines take as long to see a change.
const (
	sharedReportAge = 100 * time.Millisecond
	// waitingReportAge is for a stream that no engine has taken: it asks in every round, one each 100 ms.
	waitingReportAge = 300 * time.Millisecond
	// recentLimit is how long reports are held.
	recentLimit = time.Second
)

// recentReport is a load report that is under way, or has come.
type recentReport struct {
	begunAt time.Time
	start   engine.Incarnation
	load    backend.Load  // of this entry VM at the engine when it was requested
	done    chan struct{} // closed when it has come; the fields below are set then
	cameAt  time.Time
	report  backend.Report
	err     error
}

// after returns the report as it would be if it counted what this entry VM has sent to the engine since.
func (x *recentReport) after(now backend.Load) (backend.Report, error) {
	rep := x.report
	rep.Waiting += max(0, now.Pending-x.load.Pending)
	rep.Used += max(0, now.Tokens-x.load.Tokens)
	return rep, x.err
}

// serves reports whether the report may serve a placement that accepts a certain age. One that is late is not
// waited for: its connection may be silent. That no report came is known for sharedReportAge at most.
func (x *recentReport) serves(now time.Time, c *backend.Choice, age time.Duration) bool {
	if x.start != c.Start {
		return false
	}
	select {
	case <-x.done:
	default:
		return now.Sub(x.begunAt) < reportTimeout
	}
	if x.err != nil {
		age = min(age, sharedReportAge)
	}
	return now.Sub(x.cameAt) < age
}

// recentReports are the latest load reports of the engines. The zero value has none.
type recentReports struct {
	mu       sync.Mutex
	all      map[engine.ServerID]*recentReport
	prunedAt time.Time
}

// find returns a report that serves a placement, or a new one that is to be requested.
func (r *recentReports) find(now time.Time, c *backend.Choice, age time.Duration) (x *recentReport, isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x = r.all[c.ID]; x != nil && x.serves(now, c, age) {
		return x, false
	}
	if r.all == nil {
		r.all = make(map[engine.ServerID]*recentReport)
	}
	if now.Sub(r.prunedAt) >= recentLimit {
		r.prunedAt = now
		maps.DeleteFunc(r.all, func(_ engine.ServerID, x *recentReport) bool { return now.Sub(x.begunAt) > 2*recentLimit })
	}
	x = &recentReport{begunAt: now, start: c.Start, load: c.Load, done: make(chan struct{})}
	r.all[c.ID] = x
	return x, true
}

// forget forgets the report of an engine that has refused a request, which the report does not show.
func (r *recentReports) forget(id engine.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.all, id)
}

type reportAgeKey struct{}

// withReportAge returns a context in which the job is placed by reports of the age that it accepts.
func (j *job) withReportAge(ctx context.Context) context.Context {
	return context.WithValue(ctx, reportAgeKey{}, max(j.reportAge, sharedReportAge))
}

// placementReport returns an engine's load for a placement. Where connections are kept, placements at the same time
// share a report, so that one connection to the engine is enough. A report that takes longer than a placement
// waits for it goes on: to break it off would cost its connection.
func (r *Relay) placementReport(ctx context.Context, c backend.Choice) (backend.Report, error) {
	if r.kept == nil {
		return r.requestReport(ctx, &c)
	}
	age, _ := ctx.Value(reportAgeKey{}).(time.Duration)
	x, isNew := r.recent.find(time.Now(), &c, age)
	if isNew {
		go func() {
			defer close(x.done)
			x.err = telemetry.Guard(r.Log, "load report", func() (err error) {
				x.report, err = r.requestReport(context.WithoutCancel(ctx), &c)
				return err
			})
			x.report.Events = nil // not needed for a placement
			x.cameAt = time.Now()
		}()
	}
	select {
	case <-x.done:
		return x.after(c.Load)
	case <-ctx.Done():
		return backend.Report{}, ctx.Err()
	}
}

// requestReport requests an engine's load for a placement. What it shows of the engine's speed is recorded once,
// however many placements it serves.
func (r *Relay) requestReport(ctx context.Context, c *backend.Choice) (backend.Report, error) {
	rep, err := r.Report(ctx, *c)
	if err == nil && rep.Ready && (rep.Start <= c.Start || c.Start == 0) {
		r.observeReport(time.Now(), c, &rep)
	}
	return rep, err
}
