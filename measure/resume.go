// Package measure runs experiments: load with injected losses on entry VMs and
// stand-ins in one process, load on entry VMs that run in other processes, and
// simulations of version moves. Every run is bounded in count and time and uses
// loopback addresses only.
package measure

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quetzalhold/caller"
	"quetzalhold/clock"
	"quetzalhold/demo"
	"quetzalhold/engine"
	"quetzalhold/entry"
	"quetzalhold/result"
	"quetzalhold/settings"
	"quetzalhold/standin"
)

// Loss is a kind of failure that a measurement injects.
type Loss int

//go:generate go tool -modfile=../tools/go.mod stringer -type=Loss -linecomment -output=loss_string.go

// The kinds of losses.
const (
	NoLoss           Loss = iota // none
	EngineDeath                  // engine death
	EnginePause                  // engine pause
	ConnectionSilent             // silent connections
	EntryLoss                    // entry VM loss
	DomainLoss                   // failure domain loss
)

// Losses lists the kinds of losses.
func Losses() []Loss {
	return []Loss{NoLoss, EngineDeath, EnginePause, ConnectionSilent, EntryLoss, DomainLoss}
}

// Strategy is how entry VMs and callers deal with losses: this system's method, or a
// baseline.
type Strategy struct {
	Name   string
	Policy engine.Policy
	// Restart makes callers request the answer again from its beginning after a
	// loss, and makes the loss of an engine end the answer.
	Restart bool
}

// Strategies returns this system's strategy and the baselines: a fixed timeout of
// two seconds in place of evidence, and a new request from the beginning.
func Strategies() []Strategy {
	fixed := 2 * time.Second
	return []Strategy{
		{Name: "evidence"},
		{Name: "fixed 2 s timeout", Policy: engine.Policy{
			SuspectAfter: fixed, OpenTimeout: fixed, FirstTokenSlack: fixed, ProbeTimeout: time.Millisecond,
		}},
		{Name: "restart from nothing", Policy: engine.Policy{MaxAttempts: 1, SuspectAfter: fixed, OpenTimeout: fixed}, Restart: true},
	}
}

// ResumeConfig configures a measurement of resume latency.
type ResumeConfig struct {
	Seed    uint64
	Answers int           // concurrent answers
	Tokens  engine.Tokens // length of each answer
	Gap     time.Duration // time between tokens
	Engines int           // engines in each of the three failure domains
}

// The defaults of ResumeConfig, and the parameters of every run.
const (
	defaultAnswers = 60
	defaultTokens  = 150
	defaultGap     = 20 * time.Millisecond
	defaultEngines = 4
	runLimit       = 90 * time.Second
	promptWords    = 400
	pauseTime      = 6 * time.Second
	// lossAt is when the loss is injected, as a share of an answer's usual duration.
	lossAt = 0.4
)

// WithDefaults returns c with its zero fields set to the defaults.
func (c ResumeConfig) WithDefaults() ResumeConfig {
	c.Answers = cmp.Or(c.Answers, defaultAnswers)
	c.Tokens = cmp.Or(c.Tokens, defaultTokens)
	c.Gap = cmp.Or(c.Gap, defaultGap)
	c.Engines = cmp.Or(c.Engines, defaultEngines)
	return c
}

// Latency is the distribution of a duration.
type Latency struct {
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
	Max time.Duration `json:"max"`
	N   int64         `json:"n"`
}

// ResumeResult is the result of one run.
type ResumeResult struct {
	Way        string        `json:"way"`
	Loss       string        `json:"loss"`
	Resume     Latency       `json:"resume"`  // longest gap between tokens of each answer that a loss hit
	First      Latency       `json:"first"`   // time to the first token
	Gap        Latency       `json:"gap"`     // time between tokens
	ExtraShare float64       `json:"extra"`   // ratio of wasted tokens, prefilled or generated, to those needed
	Wrong      int           `json:"wrong"`   // answers with wrong text
	Lost       int           `json:"lost"`    // answers that ended with an error other than Overloaded
	Refused    int           `json:"refused"` // answers that ended with Overloaded
	Hit        int           `json:"hit"`     // answers that a loss hit
	Took       time.Duration `json:"took"`
	gapValues  *hdrhistogram.Histogram
}

// meter collects the latencies and counts of a run.
type meter struct {
	mu     sync.Mutex
	resume *hdrhistogram.Histogram
	first  *hdrhistogram.Histogram
	gap    *hdrhistogram.Histogram
	result ResumeResult
}

// maxMicros is the longest duration that the histograms distinguish, in
// microseconds.
const maxMicros = 120_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, 3) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A longer duration is recorded as the longest.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Latency{P50: at(50), P95: at(95), P99: at(99), Max: time.Duration(h.Max()) * time.Microsecond, N: h.TotalCount()}
}

// Resume measures one strategy against one kind of loss.
func Resume(ctx context.Context, c ResumeConfig, way Strategy, loss Loss) (ResumeResult, error) {
	c = c.WithDefaults()
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	s, err := resumeSite(ctx, c, way)
	if err != nil {
		return ResumeResult{}, err
	}
	defer s.Close()
	m := &meter{resume: newHistogram(), first: newHistogram(), gap: newHistogram()}
	begin := time.Now()
	var wg sync.WaitGroup
	for i := range c.Answers {
		wg.Go(func() { m.runAnswer(ctx, s, c, way, i) })
	}
	lossDelay := time.Duration(float64(c.Tokens) * float64(c.Gap) * lossAt)
	_ = clock.Sleep(ctx, lossDelay) // if ctx ends, the answers end with an error
	injectLoss(s, loss, rand.New(rand.NewPCG(c.Seed, 1)))
	wg.Wait()
	r := m.result
	r.Way, r.Loss = way.Name, loss.String()
	r.Resume, r.First, r.Gap = latencyOf(m.resume), latencyOf(m.first), latencyOf(m.gap)
	r.ExtraShare = extraShare(s, c)
	r.Took = time.Since(begin)
	r.gapValues = m.gap
	return r, nil
}

// resumeSite starts three failure domains with engines and two entry VMs each.
func resumeSite(ctx context.Context, c ResumeConfig, way Strategy) (*demo.Site, error) {
	s, err := demo.NewSite(demo.Loopback())
	if err != nil {
		return nil, err
	}
	for _, p := range s.Places {
		for i := range c.Engines {
			cfg := standin.EngineConfig{
				ID:       engine.ServerID(fmt.Sprintf("%s-engine-%d", p.Names.Code, i)),
				TokenGap: c.Gap,
			}
			if _, err := s.AddEngine(p.Names.Code, cfg); err != nil {
				return nil, err
			}
		}
	}
	for _, p := range s.Places {
		for i := range 2 {
			id := engine.ServerID(fmt.Sprintf("%s-entry-%d", p.Names.Code, i))
			limits := func(e *settings.Entry) { e.Limits.ServerWaitMs = 20_000 }
			if _, err := s.AddEntry(p.Names.Code, id, limits, entry.WithPolicy(way.Policy)); err != nil {
				return nil, err
			}
		}
	}
	return s, s.AwaitReady(ctx)
}

// injectLoss injects a loss in the first failure domain.
func injectLoss(s *demo.Site, loss Loss, r *rand.Rand) {
	var local []*demo.EngineProcess
	for _, e := range s.AllEngines() {
		if e.Domain == s.Places[0].Names.Code {
			local = append(local, e)
		}
	}
	victim := local[r.IntN(len(local))]
	switch loss {
	case EngineDeath:
		victim.Kill()
	case EnginePause:
		victim.Inject(standin.Fault{Pause: true})
		time.AfterFunc(pauseTime, func() { victim.Inject(standin.Fault{Continue: true}) })
	case ConnectionSilent:
		victim.Inject(standin.Fault{Mute: true})
	case EntryLoss:
		s.Entries()[0].Kill()
	case DomainLoss:
		for _, e := range local {
			e.Kill()
		}
		for _, e := range s.Entries()[:2] {
			e.Kill()
		}
	case NoLoss:
	}
}

// runAnswer requests one answer, measures it and checks its text.
func (m *meter) runAnswer(ctx context.Context, s *demo.Site, c ResumeConfig, way Strategy, i int) {
	seed := c.Seed*1000 + uint64(i)
	q := caller.CompletionRequest{Model: demo.DemoModel, Prompt: prompt(seed), MaxTokens: c.Tokens, Seed: &seed}
	want := standin.ExpectedAnswer(engine.Start{Version: demo.DemoVersion, Prompt: q.Prompt, Seed: seed, MaxTokens: c.Tokens}, 0)
	w := &tokenTimes{begin: time.Now()}
	a, err := streamOnce(ctx, s, i, q, w, way.Restart)
	for n := 1; way.Restart && err != nil && ctx.Err() == nil; n++ {
		// The tokens received so far are discarded: the answer starts again, and
		// its output continues only once it gets past them.
		w.restart(len(a.Tokens))
		a, err = streamOnce(ctx, s, i+n, q, w, true)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case result.CodeOf(err) == result.Overloaded:
		m.result.Refused++
	case err != nil:
		m.result.Lost++
	case a.Text() != want.Text():
		m.result.Wrong++
	}
	m.add(w)
}

// add records the latencies of one answer. The caller holds m.mu.
func (m *meter) add(w *tokenTimes) {
	record(m.first, w.first)
	longest := time.Duration(0)
	for _, g := range w.gaps {
		record(m.gap, g)
		longest = max(longest, g)
	}
	if w.losses > 0 || longest > lossGap {
		m.result.Hit++
		record(m.resume, longest)
	}
}

// lossGap is the gap between tokens above which an answer counts as hit by a
// loss.
const lossGap = 200 * time.Millisecond

// tokenTimes records when the tokens of an answer arrive.
type tokenTimes struct {
	begin  time.Time
	last   time.Time
	first  time.Duration   // time to the first token
	gaps   []time.Duration // between tokens
	losses int             // losses that the client reported, plus restarts of the answer
	skip   int             // tokens of a restarted answer that were received before
}

// onToken records the arrival of a token.
func (w *tokenTimes) onToken(string) {
	if w.skip > 0 {
		w.skip--
		return
	}
	now := time.Now()
	if w.last.IsZero() {
		w.first = now.Sub(w.begin)
	} else {
		w.gaps = append(w.gaps, now.Sub(w.last))
	}
	w.last = now
}

// restart records that the answer starts again after received tokens.
func (w *tokenTimes) restart(received int) {
	w.losses++
	w.skip = max(w.skip, received)
}

// streamOnce streams an answer from entry VM i and, unless once is set, resumes
// it at the others.
func streamOnce(ctx context.Context, s *demo.Site, i int, q caller.CompletionRequest, w *tokenTimes, once bool) (*caller.Received, error) {
	entries := s.Entries()
	var addresses []string
	for k := range entries {
		addresses = append(addresses, entries[(i+k)%len(entries)].Address)
	}
	opts := []caller.ClientOption{
		caller.OnPiece(w.onToken),
		caller.WithLogf(func(string, ...any) { w.losses++ }),
	}
	if once {
		opts = append(opts, caller.WithMaxAttempts(1))
	}
	c := caller.NewClient(addresses, demo.CallerKey, opts...)
	return c.Stream(ctx, caller.StyleCompletion, q)
}

// prompt returns a long prompt, different for each seed.
func prompt(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 2))
	text := ""
	for range promptWords {
		text += fmt.Sprintf("entry%d ", r.IntN(5000))
	}
	return text
}

// extraShare returns the ratio of the tokens that engines prefilled or generated
// beyond what the answers needed to what they needed.
func extraShare(s *demo.Site, c ResumeConfig) float64 {
	var spent engine.Tokens
	for _, e := range s.AllEngines() {
		k := e.Counts()
		spent += k.Prefilled + k.Generated
	}
	needed := engine.Tokens(c.Answers) * (promptWords + c.Tokens)
	return float64(spent-needed) / float64(needed)
}
