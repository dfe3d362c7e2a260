package standin

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"quetzalhold/clock"
	"quetzalhold/engine"
	"quetzalhold/result"
)

// EngineConfig says how an engine stand-in behaves. Zero fields use defaults.
type EngineConfig struct {
	ID          engine.ServerID
	Incarnation engine.Incarnation
	Versions    []engine.LoadedModel

	TokenGap    time.Duration // between tokens of a stream that runs alone
	Slowdown    float64       // added share of TokenGap for each other stream
	PrefillRate float64       // tokens a second
	Slots       int           // streams in the batch
	MaxWaiting  int           // streams that may wait for a slot
	CacheBlocks int           // blocks that the prefix cache holds
	CacheLag    time.Duration // until a cache event is published
	CacheLoss   uint64        // one in so many cache events is never published
	LoadLag     time.Duration // age that a load report may have
	LoadTime    time.Duration // to load a version
	EndDelay    time.Duration // from the last token to the end of the stream
	Retention   time.Duration // a stream is kept without a reader
	StopOneIn   uint64        // see Script
	IgnoreFence bool          // takes orders with an old fencing number
}

// The defaults of EngineConfig.
const (
	defaultTokenGap    = 20 * time.Millisecond
	defaultSlowdown    = 0.02
	defaultPrefillRate = 10000
	defaultSlots       = 64
	defaultMaxWaiting  = 256
	defaultCacheBlocks = 4096
	defaultCacheLag    = 100 * time.Millisecond
	defaultLoadLag     = 200 * time.Millisecond
	defaultLoadTime    = time.Second
	defaultRetention   = 30 * time.Second
)

func (c EngineConfig) withDefaults() EngineConfig {
	c.TokenGap = cmp.Or(c.TokenGap, defaultTokenGap)
	c.Slowdown = cmp.Or(c.Slowdown, defaultSlowdown)
	c.PrefillRate = cmp.Or(c.PrefillRate, defaultPrefillRate)
	c.Slots = cmp.Or(c.Slots, defaultSlots)
	c.MaxWaiting = cmp.Or(c.MaxWaiting, defaultMaxWaiting)
	c.CacheBlocks = cmp.Or(c.CacheBlocks, defaultCacheBlocks)
	c.CacheLag = cmp.Or(c.CacheLag, defaultCacheLag)
	c.LoadLag = cmp.Or(c.LoadLag, defaultLoadLag)
	c.LoadTime = cmp.Or(c.LoadTime, defaultLoadTime)
	c.Retention = cmp.Or(c.Retention, defaultRetention)
	return c
}

// EngineCounts is what an engine stand-in has done.
type EngineCounts struct {
	Generations map[engine.RequestID]int                  `json:"generations"` // streams begun at position 0
	Starts      map[engine.RequestID]int                  `json:"starts"`      // streams begun
	Prefilled   engine.Tokens                             `json:"prefilled"`
	Generated   engine.Tokens                             `json:"generated"`
	Cancelled   int                                       `json:"cancelled"`
	Running     int                                       `json:"running"`
	Seeds       map[engine.RequestID][]uint64             `json:"seeds"`
	Versions    map[engine.RequestID][]engine.LoadedModel `json:"versions"`
}

// Engine is a model engine stand-in. It is an [http.Handler].
type Engine struct {
	cfg    EngineConfig
	mux    *http.ServeMux
	faults engineFaults
	cache  *prefixCache
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	streams  map[engine.StreamID]*stream
	waiting  []*stream
	running  int
	draining bool
	fence    engine.Fence
	versions []engine.LoadedModel
	counts   EngineCounts
	report   engine.LoadReport
}

// NewEngine returns an engine stand-in that runs until Close.
func NewEngine(cfg EngineConfig) *Engine {
	cfg = cfg.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		cfg:      cfg,
		mux:      http.NewServeMux(),
		cache:    newPrefixCache(cfg),
		ctx:      ctx,
		stop:     stop,
		streams:  make(map[engine.StreamID]*stream),
		versions: slices.Clone(cfg.Versions),
	}
	e.counts.Generations = make(map[engine.RequestID]int)
	e.counts.Starts = make(map[engine.RequestID]int)
	e.counts.Seeds = make(map[engine.RequestID][]uint64)
	e.counts.Versions = make(map[engine.RequestID][]engine.LoadedModel)
	e.mux.HandleFunc("POST /streams", e.handleStart)
	e.mux.HandleFunc("GET /streams/{id}", e.handleAttach)
	e.mux.HandleFunc("DELETE /streams/{id}", e.handleCancel)
	e.mux.HandleFunc("GET /load", e.handleLoad)
	e.mux.HandleFunc("GET /cache-events", e.handleCacheEvents)
	e.mux.HandleFunc("POST /orders", e.handleOrder)
	e.mux.HandleFunc("GET /counts", e.handleCounts)
	e.mux.HandleFunc("POST /faults", e.handleFaults)
	return e
}

// ID returns the engine's server id.
func (e *Engine) ID() engine.ServerID { return e.cfg.ID }

// ServeHTTP implements [http.Handler]. While the engine is paused, only orders
// about faults are answered.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/faults" {
		if err := e.faults.wait(r.Context(), e.ctx); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	e.mux.ServeHTTP(w, r)
}

// Close stops the engine as a crash does: all its streams are gone.
func (e *Engine) Close() {
	e.stop()
	e.wg.Wait()
}

// Counts returns what the engine has done so far.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.Running = e.running + len(e.waiting)
	c.Generations = cloneMap(c.Generations)
	c.Starts = cloneMap(c.Starts)
	c.Seeds = cloneMap(c.Seeds)
	c.Versions = cloneMap(c.Versions)
	return c
}

// Load returns the requests that the engine has now and the tokens that it has
// generated so far. It is cheaper than [Engine.Counts], for tests that wait for a moment.
func (e *Engine) Load() (running int, generated engine.Tokens) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running + len(e.waiting), e.counts.Generated
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	c := make(map[K]V, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

// admit queues a new stream.
func (e *Engine) admit(s engine.Start) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	loaded := engine.LoadedModel{Version: s.Version, Adapter: s.Adapter}
	switch {
	case e.draining:
		return nil, result.New(result.Draining, "engine %s drains", e.cfg.ID).AsNotRun()
	case e.faults.refuses():
		return nil, result.New(result.EngineRefused, "engine %s refuses", e.cfg.ID).AsNotRun()
	case e.faults.fails(s.Version):
		return nil, result.New(result.Internal, "version %s fails", s.Version)
	case !slices.Contains(e.versions, loaded):
		return nil, result.New(result.VersionMissing, "%s is not loaded", s.Version).AsNotRun()
	case len(e.waiting) >= e.cfg.MaxWaiting:
		return nil, result.New(result.Overloaded, "%d streams wait", len(e.waiting)).AsNotRun()
	case e.streams[s.Stream] != nil:
		return nil, result.New(result.StaleAttempt, "stream %s exists", s.Stream)
	}
	st := &stream{
		start:    s,
		admitted: make(chan struct{}),
		reader:   s.Attempt,
		changed:  make(chan struct{}),
		unreadAt: time.Now(),
	}
	st.ctx, st.cancel = context.WithCancel(e.ctx)
	e.streams[s.Stream] = st
	e.counts.Starts[s.Request]++
	if s.Offset == 0 {
		e.counts.Generations[s.Request]++
	}
	e.counts.Seeds[s.Request] = append(e.counts.Seeds[s.Request], s.Seed)
	e.counts.Versions[s.Request] = append(e.counts.Versions[s.Request], loaded)
	e.waiting = append(e.waiting, st)
	e.admitNext()
	return st, nil
}

// admitNext moves waiting streams into free slots, the highest priority first.
func (e *Engine) admitNext() {
	for e.running < e.cfg.Slots && len(e.waiting) > 0 {
		best := 0
		for i, st := range e.waiting {
			if st.start.Priority > e.waiting[best].start.Priority {
				best = i
			}
		}
		st := e.waiting[best]
		e.waiting = slices.Delete(e.waiting, best, best+1)
		e.running++
		close(st.admitted)
	}
}

// generate runs one stream to its end.
func (e *Engine) generate(st *stream) {
	defer e.wg.Done()
	defer e.forget(st)
	if !e.queue(st) {
		return
	}
	e.run(st)
	e.release()
	e.retain(st)
}

// queue waits for a slot; false if the stream is cancelled first.
func (e *Engine) queue(st *stream) bool {
	select {
	case <-st.admitted:
		return true
	case <-st.ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.waiting, st); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return false
	}
	// The slot came at the same time.
	e.running--
	e.admitNext()
	return false
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.admitNext()
}

// run prefills and generates in the batch.
func (e *Engine) run(st *stream) {
	s := st.start
	blocks := engine.BlockHashes(s.Prompt)
	cached := e.cache.use(blocks, time.Now())
	left := engine.CountTokens(s.Prompt) + engine.CountTokens(s.Prefix) - cached
	if !e.sleep(st, time.Duration(float64(left)/e.cfg.PrefillRate*float64(time.Second))) {
		return
	}
	e.count(func(c *EngineCounts) { c.Prefilled += left })
	script := NewScript(s, e.cfg.StopOneIn)
	for i := s.Offset; i < s.MaxTokens; i++ {
		if !e.sleep(st, e.gap()) {
			return
		}
		word, ok := script.Next()
		if !ok {
			st.finish(engine.FinishStop)
			return
		}
		st.append(word)
		e.count(func(c *EngineCounts) { c.Generated++ })
	}
	if !e.sleep(st, e.cfg.EndDelay) {
		return
	}
	st.finish(engine.FinishLength)
}

func (e *Engine) count(f func(*EngineCounts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.counts)
}

// gap returns the time for one token at the present load.
func (e *Engine) gap() time.Duration {
	e.mu.Lock()
	others := e.running - 1
	e.mu.Unlock()
	load := 1 + e.cfg.Slowdown*float64(others)
	return time.Duration(float64(e.cfg.TokenGap) * load * e.faults.slowdown())
}

// sleep waits for d of running time; false if the stream ends first.
func (e *Engine) sleep(st *stream, d time.Duration) bool {
	if clock.Sleep(st.ctx, d) != nil {
		return false
	}
	if e.faults.wait(e.ctx, e.ctx) != nil {
		return false
	}
	return !st.unreadFor(e.cfg.Retention)
}

// retain keeps a finished stream until nobody may want it any more.
func (e *Engine) retain(st *stream) {
	// Sooner, if it is cancelled or the engine stops.
	_ = clock.Sleep(st.ctx, e.cfg.Retention)
}

func (e *Engine) forget(st *stream) {
	st.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, st.start.Stream)
}

// loadReport returns a report that may be as old as the configured lag.
func (e *Engine) loadReport() engine.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.report.At) < e.cfg.LoadLag && !e.report.At.IsZero() {
		return e.report
	}
	e.report = engine.LoadReport{
		Server:      e.cfg.ID,
		Incarnation: e.cfg.Incarnation,
		At:          now,
		Running:     e.running,
		Waiting:     len(e.waiting),
		Pending:     e.pending(),
		Draining:    e.draining,
		CacheSeq:    e.cache.published(now),
		Versions:    slices.Clone(e.versions),
	}
	return e.report
}

func (e *Engine) pending() engine.Tokens {
	var n engine.Tokens
	for _, st := range e.streams {
		st.mu.Lock()
		if st.done == "" {
			n += st.start.MaxTokens - st.start.Offset - engine.Tokens(len(st.tokens))
		}
		st.mu.Unlock()
	}
	return n
}

// obey brings the engine into the state that o names.
func (e *Engine) obey(o engine.Order) error {
	e.mu.Lock()
	if o.Fence < e.fence && !e.cfg.IgnoreFence {
		e.mu.Unlock()
		return result.New(result.StaleFence, "fence %d, have %d", o.Fence, e.fence)
	}
	e.fence = max(e.fence, o.Fence)
	if o.Role != "" {
		e.draining = o.Role == engine.RoleDraining
	}
	e.mu.Unlock()
	for _, l := range o.Load {
		e.load(l)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions = slices.DeleteFunc(e.versions, func(l engine.LoadedModel) bool { return slices.Contains(o.Unload, l) })
	return nil
}

func (e *Engine) load(l engine.LoadedModel) {
	e.mu.Lock()
	have := slices.Contains(e.versions, l)
	e.mu.Unlock()
	if have {
		return
	}
	// An engine that stops meanwhile is gone with what it loads.
	_ = clock.Sleep(e.ctx, e.cfg.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.versions, l) {
		e.versions = append(e.versions, l)
	}
}
