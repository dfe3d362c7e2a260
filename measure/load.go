package measure

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"quetzalhold/caller"
	"quetzalhold/clock"
	"quetzalhold/engine"
	"quetzalhold/operator"
)

// LoadConfig configures a load on an entry VM that runs in another process.
type LoadConfig struct {
	Entry    string // IP number and port, on loopback
	Key      string
	Model    operator.Model
	Answers  int // concurrent answers
	Tokens   engine.Tokens
	Duration time.Duration // time during which new answers are requested
}

// LoadResult is the result of a load.
type LoadResult struct {
	Answers        int           `json:"answers"`   // concurrent answers
	Delivered      int           `json:"delivered"` // answers that were complete
	Failed         int           `json:"failed"`    // answers that ended with an error
	Tokens         int64         `json:"tokens"`    // tokens received
	Took           time.Duration `json:"took"`      // duration of the load
	CPU            time.Duration `json:"cpu"`       // CPU time of the entry VM's process
	CPUPerToken    time.Duration `json:"cpuPerToken"`
	TokensPerCore  float64       `json:"tokensPerCore"` // tokens per second of CPU time
	BytesPerAnswer int64         `json:"bytesPerAnswer"`
	First          Latency       `json:"first"`
	Gap            Latency       `json:"gap"`
}

// Load requests answers from an entry VM, c.Answers concurrently, and reads from
// the VM's metrics how much CPU time and memory they cost its process.
func Load(ctx context.Context, c LoadConfig) (LoadResult, error) {
	before, err := readProcess(ctx, c.Entry)
	if err != nil {
		return LoadResult{}, err
	}
	m := &meter{first: newHistogram(), gap: newHistogram(), resume: newHistogram()}
	r := LoadResult{Answers: c.Answers}
	begin := time.Now()
	until := begin.Add(c.Duration)
	var wg sync.WaitGroup
	for i := range c.Answers {
		wg.Go(func() { m.runCaller(ctx, c, &r, uint64(i), until) })
	}
	_ = clock.Sleep(ctx, c.Duration/2) // if ctx ends, the answers end with an error
	during, err := readProcess(ctx, c.Entry)
	if err != nil {
		return r, err
	}
	wg.Wait()
	r.Took = time.Since(begin)
	after, err := readProcess(ctx, c.Entry)
	if err != nil {
		return r, err
	}
	r.CPU = after.cpu - before.cpu
	if r.Tokens > 0 && r.CPU > 0 {
		r.CPUPerToken = r.CPU / time.Duration(r.Tokens)
		r.TokensPerCore = float64(r.Tokens) / r.CPU.Seconds()
	}
	if c.Answers > 0 {
		r.BytesPerAnswer = (during.memory - before.memory) / int64(c.Answers)
	}
	r.First, r.Gap = latencyOf(m.first), latencyOf(m.gap)
	return r, nil
}

// runCaller requests one answer after the other until an instant.
func (m *meter) runCaller(ctx context.Context, c LoadConfig, r *LoadResult, seed uint64, until time.Time) {
	for n := uint64(0); ctx.Err() == nil && time.Now().Before(until); n++ {
		s := seed + n*uint64(c.Answers)
		w := &tokenTimes{begin: time.Now()}
		cl := caller.NewClient([]string{c.Entry}, c.Key, caller.OnPiece(w.onToken))
		q := caller.CompletionRequest{Model: c.Model, Prompt: prompt(s), MaxTokens: c.Tokens, Seed: &s}
		a, err := cl.Stream(ctx, caller.StyleCompletion, q)
		m.mu.Lock()
		r.Tokens += int64(len(a.Tokens))
		if err == nil {
			r.Delivered++
		} else {
			r.Failed++
		}
		m.add(w)
		m.mu.Unlock()
	}
}

// process is the resource use of an entry VM's process.
type process struct {
	cpu    time.Duration
	memory int64 // resident, in bytes
}

// readProcess reads the resource use of an entry VM's process from its metrics.
func readProcess(ctx context.Context, address string) (process, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return process{}, fmt.Errorf("build request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return process{}, fmt.Errorf("read metrics: %w", err)
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(resp.Body); err != nil {
		return process{}, fmt.Errorf("read metrics: %w", err)
	}
	p := expfmt.NewTextParser(model.UTF8Validation)
	families, err := p.TextToMetricFamilies(&b)
	if err != nil {
		return process{}, fmt.Errorf("parse metrics: %w", err)
	}
	value := func(name string) float64 {
		f := families[name]
		if f == nil || len(f.GetMetric()) == 0 {
			return 0
		}
		x := f.GetMetric()[0]
		return x.GetCounter().GetValue() + x.GetGauge().GetValue()
	}
	return process{
		cpu:    time.Duration(value("process_cpu_seconds_total") * float64(time.Second)),
		memory: int64(value("process_resident_memory_bytes")),
	}, nil
}
