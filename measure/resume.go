// Package measure runs the experiments: load with losses through real entry
// VMs and stand-ins in one process, and load on entry VMs that run elsewhere.
// Every run is bounded in count and time and uses loopback addresses only.
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

// Loss is a kind of loss that a measurement brings about.
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

// Way is a way to deal with losses: this system's, or a baseline.
type Way struct {
	Name   string
	Policy engine.Policy
	// Restart makes callers ask anew from nothing after a loss, and engines'
	// losses end answers.
	Restart bool
}

// Ways returns this system's way and the baselines: a fixed timeout of two
// seconds in place of evidence, and asking anew from nothing.
func Ways() []Way {
	fixed := 2 * time.Second
	return []Way{
		{Name: "evidence"},
		{Name: "fixed 2 s timeout", Policy: engine.Policy{
			SuspectAfter: fixed, OpenTimeout: fixed, FirstTokenSlack: fixed, ProbeTimeout: time.Millisecond,
		}},
		{Name: "restart from nothing", Policy: engine.Policy{MaxAttempts: 1, SuspectAfter: fixed, OpenTimeout: fixed}, Restart: true},
	}
}

// ResumeConfig says how much to measure.
type ResumeConfig struct {
	Seed    uint64
	Answers int           // at once
	Tokens  engine.Tokens // of each
	Gap     time.Duration // between tokens
	Engines int           // in each of three failure domains
}

// The defaults of ResumeConfig.
const (
	defaultAnswers = 60
	defaultTokens  = 150
	defaultGap     = 20 * time.Millisecond
	defaultEngines = 4
	runLimit       = 90 * time.Second
	promptWords    = 400
	silentFor      = 6 * time.Second
	// lossAt is when the loss comes, as a share of an answer's usual time.
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

// Latency is the spread of a time.
type Latency struct {
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
	Max time.Duration `json:"max"`
	N   int64         `json:"n"`
}

// ResumeResult is what one run measured.
type ResumeResult struct {
	Way       string        `json:"way"`
	Loss      string        `json:"loss"`
	Resume    Latency       `json:"resume"` // longest gap of each answer that lost something
	First     Latency       `json:"first"`  // to the first token
	Gap       Latency       `json:"gap"`    // between tokens
	Extra     float64       `json:"extra"`  // tokens prefilled or generated in vain, over those needed
	Wrong     int           `json:"wrong"`  // answers that were not right
	Lost      int           `json:"lost"`   // answers that did not come whole
	Refused   int           `json:"refused"`
	Hit       int           `json:"hit"` // answers that lost something
	Took      time.Duration `json:"took"`
	gapValues *hdrhistogram.Histogram
}

// meter collects the times of a run.
type meter struct {
	mu     sync.Mutex
	resume *hdrhistogram.Histogram
	first  *hdrhistogram.Histogram
	gap    *hdrhistogram.Histogram
	result ResumeResult
}

// maxMicros is the longest time that is told apart, in microseconds.
const maxMicros = 120_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, 3) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A longer time counts as the longest.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Latency{P50: at(50), P95: at(95), P99: at(99), Max: time.Duration(h.Max()) * time.Microsecond, N: h.TotalCount()}
}

// Resume runs one way against one kind of loss.
func Resume(ctx context.Context, c ResumeConfig, way Way, loss Loss) (ResumeResult, error) {
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
		wg.Go(func() { m.ask(ctx, s, c, way, i) })
	}
	usual := time.Duration(float64(c.Tokens) * float64(c.Gap) * lossAt)
	_ = clock.Sleep(ctx, usual) // the answers see the end of ctx
	strike(s, loss, rand.New(rand.NewPCG(c.Seed, 1)))
	wg.Wait()
	r := m.result
	r.Way, r.Loss = way.Name, loss.String()
	r.Resume, r.First, r.Gap = latencyOf(m.resume), latencyOf(m.first), latencyOf(m.gap)
	r.Extra = extra(s, c)
	r.Took = time.Since(begin)
	r.gapValues = m.gap
	return r, nil
}

// resumeSite starts three failure domains with engines and two entry VMs each.
func resumeSite(ctx context.Context, c ResumeConfig, way Way) (*demo.Site, error) {
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
	return s, s.Ready(ctx)
}

// strike brings about a loss in the first failure domain.
func strike(s *demo.Site, loss Loss, r *rand.Rand) {
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
		victim.Fail(standin.Fault{Pause: true})
		time.AfterFunc(silentFor, func() { victim.Fail(standin.Fault{Continue: true}) })
	case ConnectionSilent:
		victim.Fail(standin.Fault{Mute: true})
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

// ask asks for one answer and measures it.
func (m *meter) ask(ctx context.Context, s *demo.Site, c ResumeConfig, way Way, i int) {
	seed := c.Seed*1000 + uint64(i)
	q := caller.Question{Model: demo.DemoModel, Prompt: prompt(seed), MaxTokens: c.Tokens, Seed: &seed}
	want := standin.WholeAnswer(engine.Start{Version: demo.DemoVersion, Prompt: q.Prompt, Seed: seed, MaxTokens: c.Tokens}, 0)
	w := &watch{begin: time.Now()}
	a, err := askOnce(ctx, s, i, q, w, way.Restart)
	for n := 1; way.Restart && err != nil && ctx.Err() == nil; n++ {
		// What was received is worth nothing: the answer begins anew, and goes
		// on only where it is as far again.
		w.again(len(a.Tokens))
		a, err = askOnce(ctx, s, i+n, q, w, true)
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
	m.take(w)
}

func (m *meter) take(w *watch) {
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

// lossGap is the gap from which on an answer counts as one that lost
// something.
const lossGap = 200 * time.Millisecond

// watch notes when tokens arrive.
type watch struct {
	begin  time.Time
	last   time.Time
	first  time.Duration
	gaps   []time.Duration
	losses int
	skip   int // tokens that were received before
}

func (w *watch) token(string) {
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

func (w *watch) again(received int) {
	w.losses++
	w.skip = max(w.skip, received)
}

func askOnce(ctx context.Context, s *demo.Site, i int, q caller.Question, w *watch, once bool) (*caller.Received, error) {
	entries := s.Entries()
	var addresses []string
	for k := range entries {
		addresses = append(addresses, entries[(i+k)%len(entries)].Address)
	}
	opts := []caller.ClientOption{
		caller.OnPiece(w.token),
		caller.OnNote(func(string, ...any) { w.losses++ }),
	}
	if once {
		opts = append(opts, caller.WithTries(1))
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

// extra returns the tokens that were prefilled or generated beyond what the
// answers needed, over what they needed.
func extra(s *demo.Site, c ResumeConfig) float64 {
	var did engine.Tokens
	for _, e := range s.AllEngines() {
		k := e.Counts()
		did += k.Prefilled + k.Generated
	}
	needed := engine.Tokens(c.Answers) * (promptWords + c.Tokens)
	return float64(did-needed) / float64(needed)
}
