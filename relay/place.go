package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/http1"
	"quetzalhold/platform"
	"quetzalhold/serverconn"
	"quetzalhold/telemetry"
)

// The limits of querying engines for load reports before a generation is placed.
const (
	// maxQueried is the number of engines queried. Each report has a cost, and a few random
	// choices are enough to avoid the loaded engines.
	maxQueried = 6
	// queriedAtOnce is the number of engines queried together while one that has no work may
	// be found.
	queriedAtOnce = 2
	// reportTimeout bounds the wait for reports: a round trip to another region on a new
	// connection.
	reportTimeout = 150 * time.Millisecond
)

// place picks the engine that runs a generation and the one that gets its replica, based on
// their load reports. It prefers engines in this region unless they are loaded or unreachable.
func (r *Relay) place(ctx context.Context, j *job, now time.Time, exclude []engine.ServerID, avoid engine.ServerID) (backend.Placement, bool) {
	ctx = j.withReportAge(ctx)
	n := r.need(j, now, exclude, avoid)
	near := r.Pool.Candidates(n.Nearby(), maxQueried)
	// Under pressure all engines are loaded with generations: to ask those of other regions as well takes longer
	// than an engine that has no prompt to prefill needs to begin.
	pressure := r.underPressure(j.service, now)
	list := r.queryNear(ctx, n, near, now, pressure)
	if p, ok := backend.Place(n, list); ok && (p.LightlyLoaded(n) || pressure && p.PrefillsAtOnce(n)) {
		if p.Replica == nil || p.Replica.Domain == p.Run.Domain {
			r.setCopy(&p, j, now, exclude)
		}
		return p, true
	}
	list = append(list, r.queryReports(ctx, r.Pool.Candidates(n.Without(near), maxQueried), 0, now)...)
	return backend.Place(n, list)
}

// queryNear queries engines for their load reports, a few at a time, until one has no work, or under pressure
// no prompts to prefill. Where one does not answer, it queries the rest together, since each round may take until the
// timeout.
func (r *Relay) queryNear(ctx context.Context, n backend.Criteria, near []backend.Choice, now time.Time, pressure bool) []backend.Engine {
	var list []backend.Engine
	for from, atOnce := 0, queriedAtOnce; from < len(near); {
		next := near[from:min(from+atOnce, len(near))]
		list = append(list, r.queryReports(ctx, next, from, now)...)
		from += len(next)
		p, ok := backend.Place(n, list)
		if ok && (p.Run.Idle(n) || pressure && p.PrefillsAtOnce(n)) {
			break
		}
		if p.Reports < from {
			atOnce = maxQueried
		}
	}
	return list
}

// chooseCopy picks an engine for a copy of a run's KV cache without querying reports.
func (r *Relay) chooseCopy(j *job, now time.Time, exclude []engine.ServerID, run engine.ServerID) (backend.Choice, bool) {
	n := r.need(j, now, []engine.ServerID{run}, run)
	if n.Only = j.copyOnly; n.Only != nil {
		if c, ok := r.Pool.Choose(n); ok {
			return c, true
		}
	}
	n.Only, n.Exclude = nil, append(slices.Clone(exclude), run)
	return r.Pool.Choose(n)
}

// setCopy sets the engine for the replica of a placement whose engine for the run is known,
// without querying reports.
func (r *Relay) setCopy(p *backend.Placement, j *job, now time.Time, exclude []engine.ServerID) {
	p.Replica = nil
	if to, ok := r.chooseCopy(j, now, exclude, p.Run.ID); ok {
		p.Replica = &backend.Engine{Choice: to}
	}
}

// answer is the response of one of several queried engines.
type answer[T any] struct {
	index int // index in the list of queried engines
	value T
	err   error
}

// queryAll queries engines concurrently and sends one answer for each. A receiver that doesn't
// wait for all of them cancels the queries itself.
func queryAll[T any](l *zap.Logger, choices []backend.Choice, query func(backend.Choice) (T, error)) <-chan answer[T] {
	answers := make(chan answer[T], len(choices))
	for i, c := range choices {
		go func() {
			var value T
			err := telemetry.Guard(l, "query", func() (err error) {
				value, err = query(c)
				return err
			})
			answers <- answer[T]{i, value, err}
		}()
	}
	return answers
}

// queryReports queries engines for their load reports; rank is that of the first one. An engine
// that does not answer is listed without a report; one whose address now belongs to a restarted
// server is left out.
func (r *Relay) queryReports(ctx context.Context, choices []backend.Choice, rank int, now time.Time) []backend.Engine {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if x := pollRecordOf(ctx); x != nil {
		return x.query(ctx, choices, rank)
	}
	answers := queryAll(r.Log, choices, func(c backend.Choice) (backend.Report, error) {
		if c.Limited {
			return backend.Report{}, errNoRoom
		}
		return r.placementReport(ctx, c)
	})
	list := make([]backend.Engine, 0, len(choices))
	for range choices {
		a := <-answers
		c := choices[a.index]
		rep := backend.Engine{Choice: c, Rank: rank + a.index}
		var u dialError
		switch {
		case errors.As(a.err, &u) && !errors.Is(a.err, context.DeadlineExceeded):
			r.Pool.MarkFailed(c.ID, now) // nothing listens there
		case a.err != nil || !a.value.Ready:
			// An engine that does not answer or is not ready is chosen last.
		case a.value.Start > c.Start && c.Start > 0:
			r.markReplaced(c)
			continue
		default:
			rep.Report = &a.value
		}
		list = append(list, rep)
	}
	return list
}

// The limits of the search for an engine that has the prompt in its prefix cache.
const (
	// cacheLookupTimeout bounds the search, so that a resumed stream continues within the gap
	// that callers accept.
	cacheLookupTimeout = 250 * time.Millisecond
	// minCachedShare is the share of the prompt that must be cached: it is then cheaper to
	// read the rest than to wait for load reports.
	minCachedShare = 0.5
)

// findCached finds the engine that read the prompt of a stream whose caller has come back for
// the rest: any other would have to read all of it again. Entry VMs of a region hash a prompt
// to the same few engines. They are queried first for their caches, then the engines to which
// the prompt hashes among all regions.
func (r *Relay) findCached(ctx context.Context, j *job, now time.Time) (backend.Choice, bool) {
	ctx, cancel := context.WithTimeout(ctx, cacheLookupTimeout)
	defer cancel()
	n := r.need(j, now, nil, "")
	near := r.Pool.Candidates(n.Nearby(), maxQueried)
	if c, ok := r.firstCached(ctx, j, near); ok {
		return c, true
	}
	return r.firstCached(ctx, j, r.Pool.Candidates(n.Without(near), maxQueried))
}

// firstCached queries engines for the prompt in their caches and returns the first that has
// it.
func (r *Relay) firstCached(ctx context.Context, j *job, choices []backend.Choice) (backend.Choice, bool) {
	answers := queryAll(r.Log, choices, func(c backend.Choice) (engine.Tokens, error) { return r.cachedTokens(ctx, j, c) })
	answered := 0
	for range choices {
		a := <-answers
		if a.err == nil {
			answered++
		}
		if c := choices[a.index]; a.value > 0 && float64(a.value) >= minCachedShare*float64(j.msg.params.PromptTokens) {
			j.logEvent("prompt found", c.ID, zap.Int64("kept", int64(a.value)), zap.Int("asked", len(choices)), zap.Int("heard", answered))
			return c, true
		}
	}
	j.logEvent("prompt not found", "", zap.Int("asked", len(choices)), zap.Int("heard", answered))
	return backend.Choice{}, false
}

// cachedTokens returns how many tokens of the request's prompt an engine has in its cache.
func (r *Relay) cachedTokens(ctx context.Context, j *job, c backend.Choice) (engine.Tokens, error) {
	if c.Limited {
		return 0, errNoRoom
	}
	_, body, err := r.control(ctx, r.onKept(&c, serverconn.Report, serverconn.Options{}), c, http.MethodGet, platform.CachePath, nil)
	if err != nil {
		return 0, err
	}
	cache, err := platform.ReadCache(body)
	return j.msg.params.CachedTokens(cache), err
}

// Identify queries the address of a server for the id of the server that answers there.
func (r *Relay) Identify(ctx context.Context, c backend.Choice, healthPath string) (engine.ServerID, error) {
	h, _, err := r.control(ctx, r.onKept(&c, serverconn.Control, serverconn.Options{Recent: true}), c, http.MethodGet, healthPath, nil)
	if err != nil {
		return "", err
	}
	return platform.AnsweredBy(h), nil
}

// Report queries an engine for its load.
func (r *Relay) Report(ctx context.Context, c backend.Choice) (backend.Report, error) {
	_, body, err := r.control(ctx, r.onKept(&c, serverconn.Report, serverconn.Options{}), c, http.MethodGet, platform.ReportPath, nil)
	if err != nil {
		return backend.Report{}, err
	}
	return platform.ReadReport(body)
}

// controlIdleTimeout is how long an idle connection for control calls is kept; engines close
// idle ones after some seconds.
const controlIdleTimeout = 3 * time.Second

func newControlTransport(dial engine.Dialer) *http1.Transport {
	t := newTransport(dial)
	t.DisableKeepAlives = false
	t.MaxIdleConnsPerHost = 1
	t.IdleConnTimeout = controlIdleTimeout
	return http1.New(t)
}
