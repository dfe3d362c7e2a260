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
	"quetzalhold/platform"
)

// The limits of asking engines for reports before a generation is placed.
const (
	// shortlist is the number of engines asked. Each report is priced; a few
	// random choices suffice to avoid the loaded ones.
	shortlist = 6
	// reportLimit bounds the wait for reports: a round trip to another region
	// on a new connection.
	reportLimit = 150 * time.Millisecond
)

// place picks the engine for a generation and the one for its copy by their reports:
// near ones, unless they are loaded or lost.
func (r *Relay) place(ctx context.Context, j *job, now time.Time, exclude []engine.ServerID, avoid engine.ServerID) (backend.Placement, bool) {
	n := r.need(j, now, exclude, avoid)
	near := r.Pool.Candidates(n.Nearby(), shortlist)
	list := r.reports(ctx, near, now)
	if p, ok := backend.Place(n, list); ok && p.LightlyLoaded(n) {
		if p.Replica == nil || p.Replica.Domain == p.Run.Domain {
			r.placeCopy(&p, j, now, exclude)
		}
		return p, true
	}
	list = append(list, r.reports(ctx, r.Pool.Candidates(n.Without(near), shortlist), now)...)
	return backend.Place(n, list)
}

// copyPlace picks an engine for the copy of a run without asking for reports.
func (r *Relay) copyPlace(j *job, now time.Time, exclude []engine.ServerID, run engine.ServerID) (backend.Choice, bool) {
	return r.Pool.Choose(r.need(j, now, append(slices.Clone(exclude), run), run))
}

// placeCopy picks such an engine for a placement whose run has one.
func (r *Relay) placeCopy(p *backend.Placement, j *job, now time.Time, exclude []engine.ServerID) {
	p.Replica = nil
	if to, ok := r.copyPlace(j, now, exclude, p.Run.ID); ok {
		p.Replica = &backend.Engine{Choice: to}
	}
}

// answer is what one of several engines said.
type answer[T any] struct {
	rank int // its place among those asked
	said T
	err  error
}

// askAll asks engines side by side. There is one answer of each; whoever does not wait
// for all of them ends ask.
func askAll[T any](choices []backend.Choice, ask func(backend.Choice) (T, error)) <-chan answer[T] {
	answers := make(chan answer[T], len(choices))
	for i, c := range choices {
		go func() {
			said, err := ask(c)
			answers <- answer[T]{i, said, err}
		}()
	}
	return answers
}

// reports asks engines for their reports. Those from which none comes are listed without
// one; those at whose address another start answers are left out.
func (r *Relay) reports(ctx context.Context, choices []backend.Choice, now time.Time) []backend.Engine {
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	answers := askAll(choices, func(c backend.Choice) (backend.Report, error) { return r.Report(ctx, c) })
	list := make([]backend.Engine, 0, len(choices))
	for range choices {
		a := <-answers
		c := choices[a.rank]
		heard := backend.Engine{Choice: c, Rank: a.rank}
		var u unreached
		switch {
		case errors.As(a.err, &u) && !errors.Is(a.err, context.DeadlineExceeded):
			r.Pool.MarkFailed(c.ID, now) // nothing listens there
		case a.err != nil || !a.said.Ready:
			// One that does not answer or says that it leaves is chosen last.
		case a.said.Start > c.Start && c.Start > 0:
			r.replaced(c)
			continue
		default:
			heard.Report = &a.said
		}
		list = append(list, heard)
	}
	return list
}

// The limits of looking for the engine that keeps a prompt.
const (
	// keeperLimit bounds the search: with it, a stream that goes on within the
	// pause that callers allow is still on time.
	keeperLimit = 250 * time.Millisecond
	// keptShare of a prompt is what an engine must keep at least: to read the rest
	// is then cheaper than to wait for reports.
	keptShare = 0.5
)

// keeper finds the engine that read the prompt of a stream whose caller came back
// for the rest: another one would have to read all of it again. Entry VMs of a region
// hash a prompt to the same few engines, which are asked what they keep, and then those
// that it hashes to among all.
func (r *Relay) keeper(ctx context.Context, j *job, now time.Time) (backend.Choice, bool) {
	ctx, cancel := context.WithTimeout(ctx, keeperLimit)
	defer cancel()
	n := r.need(j, now, nil, "")
	near := r.Pool.Candidates(n.Nearby(), shortlist)
	if c, ok := r.keeperOf(ctx, j, near); ok {
		return c, true
	}
	return r.keeperOf(ctx, j, r.Pool.Candidates(n.Without(near), shortlist))
}

// keeperOf asks engines whether they keep the prompt, and returns the first that does.
func (r *Relay) keeperOf(ctx context.Context, j *job, choices []backend.Choice) (backend.Choice, bool) {
	answers := askAll(choices, func(c backend.Choice) (engine.Tokens, error) { return r.kept(ctx, j, c) })
	heard := 0
	for range choices {
		a := <-answers
		if a.err == nil {
			heard++
		}
		if c := choices[a.rank]; a.said > 0 && float64(a.said) >= keptShare*float64(j.msg.ask.PromptTokens) {
			j.note("prompt found", c.ID, zap.Int64("kept", int64(a.said)), zap.Int("asked", len(choices)), zap.Int("heard", heard))
			return c, true
		}
	}
	j.note("prompt not found", "", zap.Int("asked", len(choices)), zap.Int("heard", heard))
	return backend.Choice{}, false
}

// kept returns how much of the request's prompt an engine keeps.
func (r *Relay) kept(ctx context.Context, j *job, c backend.Choice) (engine.Tokens, error) {
	_, body, err := r.control(ctx, r.controls, c, http.MethodGet, platform.CachePath, nil)
	if err != nil {
		return 0, err
	}
	parts, err := platform.ReadCache(body)
	return j.msg.ask.CachedTokens(parts), err
}

// Identify asks the server at a server's address for its id.
func (r *Relay) Identify(ctx context.Context, c backend.Choice, healthPath string) (engine.ServerID, error) {
	h, _, err := r.control(ctx, r.controls, c, http.MethodGet, healthPath, nil)
	if err != nil {
		return "", err
	}
	return platform.AnsweredBy(h), nil
}

// Report asks an engine for its load.
func (r *Relay) Report(ctx context.Context, c backend.Choice) (backend.Report, error) {
	_, body, err := r.control(ctx, r.controls, c, http.MethodGet, platform.ReportPath, nil)
	if err != nil {
		return backend.Report{}, err
	}
	return platform.ReadReport(body)
}

// controlIdle is how long connections for other calls than requests are kept; engines close idle
// ones after some seconds.
const controlIdle = 3 * time.Second

func newControlTransport(dial engine.Dialer) *http.Transport {
	t := newTransport(dial)
	t.DisableKeepAlives = false
	t.MaxIdleConnsPerHost = 1
	t.IdleConnTimeout = controlIdle
	return t
}
