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

// EngineConfig configures an engine stand-in. Zero fields have defaults.
type EngineConfig struct {
	ID          engine.ServerID
	Incarnation engine.Incarnation
	Versions    []engine.LoadedModel

	TokenGap    time.Duration // between the tokens of a stream that is alone in the batch
	Slowdown    float64       // fraction of TokenGap added for each other stream in the batch
	PrefillRate float64       // prompt tokens processed per second
	Slots       int           // streams that the batch holds
	MaxWaiting  int           // streams that may wait for a slot
	CacheBlocks int           // capacity of the prefix cache, in blocks
	CacheLag    time.Duration // from a change of the prefix cache to its event being visible
	CacheLoss   uint64        // every CacheLoss-th cache event is dropped; 0 drops none
	LoadLag     time.Duration // maximum age of a load report; a newer one is reused
	LoadTime    time.Duration // to load a model version
	EndDelay    time.Duration // from the last token to the end of the stream
	Retention   time.Duration // how long a stream without a reader is kept
	StopOneIn   uint64        // see Generator.StopOneIn
	IgnoreFence bool          // accept orders with a stale fencing number

	// CrashPrompt is a prompt that crashes the engine once it has generated CrashAfter
	// tokens of an answer to it; none does so if it is empty.
	CrashPrompt string
	CrashAfter  engine.Tokens
	// Crashed, if set, is called in place of Close for each stream that crashes the engine.
	Crashed func(engine.ServerID)
}

// Defaults of EngineConfig.
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

// EngineCounts counts what an engine stand-in has done.
type EngineCounts struct {
	Generations map[engine.RequestID]int                  `json:"generations"` // streams started at position 0
	Starts      map[engine.RequestID]int                  `json:"starts"`      // streams started at any position
	Prefilled   engine.Tokens                             `json:"prefilled"`
	Generated   engine.Tokens                             `json:"generated"`
	Cancelled   int                                       `json:"cancelled"`
	Running     int                                       `json:"running"`
	Seeds       map[engine.RequestID][]uint64             `json:"seeds"`
	Versions    map[engine.RequestID][]engine.LoadedModel `json:"versions"`
}

// Engine is a model engine stand-in. It is an [http.Handler]. Use [NewEngine].
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

// ServeHTTP implements [http.Handler]. While the engine is paused, only /faults
// is answered; other requests wait.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/faults" {
		if err := e.faults.wait(r.Context(), e.ctx); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	e.mux.ServeHTTP(w, r)
}

// Close stops the engine as a crash would: all its streams are lost.
func (e *Engine) Close() {
	e.stop()
	e.wg.Wait()
}

// Counts returns a copy of the engine's counts.
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

// Load returns the number of running and waiting streams, and of the tokens
// generated so far. Tests that poll for a condition use it because it is cheaper
// than [Engine.Counts].
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

// admit queues a new stream, or returns why the engine refuses it.
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
		start:         s,
		admitted:      make(chan struct{}),
		readerAttempt: s.Attempt,
		changed:       make(chan struct{}),
		unreadSince:   time.Now(),
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

// admitNext gives free slots to waiting streams, the highest priority first. The
// caller holds e.mu.
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

// generate runs one stream, from waiting for a slot until the engine drops it.
func (e *Engine) generate(st *stream) {
	defer e.wg.Done()
	defer e.remove(st)
	if !e.waitForSlot(st) {
		return
	}
	e.run(st)
	e.releaseSlot()
	e.retain(st)
}

// waitForSlot waits until the stream gets a slot. It returns false if the stream is
// cancelled first.
func (e *Engine) waitForSlot(st *stream) bool {
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
	// The stream got its slot just as it was cancelled: give the slot back.
	e.running--
	e.admitNext()
	return false
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.admitNext()
}

// run prefills the prompt and generates the stream's tokens.
func (e *Engine) run(st *stream) {
	s := st.start
	blocks := engine.BlockHashes(s.Prompt)
	cached := e.cache.add(blocks, time.Now())
	uncached := engine.CountTokens(s.Prompt) + engine.CountTokens(s.Prefix) - cached
	if !e.sleep(st, time.Duration(float64(uncached)/e.cfg.PrefillRate*float64(time.Second))) {
		return
	}
	e.count(func(c *EngineCounts) { c.Prefilled += uncached })
	gen := NewGenerator(s, e.cfg.StopOneIn)
	for i := s.Offset; i < s.MaxTokens; i++ {
		if s.Prompt == e.cfg.CrashPrompt && i-s.Offset == e.cfg.CrashAfter {
			e.crash(st)
			return
		}
		if !e.sleep(st, e.currentTokenGap()) {
			return
		}
		word, ok := gen.Next()
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

// crash ends the engine, on which nothing more happens to the stream.
func (e *Engine) crash(st *stream) {
	if e.cfg.Crashed != nil {
		go e.cfg.Crashed(e.cfg.ID)
	} else {
		e.stop()
	}
	<-st.ctx.Done()
}

// count updates the engine's counts.
func (e *Engine) count(f func(*EngineCounts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.counts)
}

// currentTokenGap returns the time between two tokens at the current load.
func (e *Engine) currentTokenGap() time.Duration {
	e.mu.Lock()
	others := e.running - 1
	e.mu.Unlock()
	load := 1 + e.cfg.Slowdown*float64(others)
	return time.Duration(float64(e.cfg.TokenGap) * load * e.faults.slowdown())
}

// sleep waits for d, and then for the end of a pause. It returns false if the
// stream is cancelled or has had no reader for too long.
func (e *Engine) sleep(st *stream, d time.Duration) bool {
	if clock.Sleep(st.ctx, d) != nil {
		return false
	}
	if e.faults.wait(e.ctx, e.ctx) != nil {
		return false
	}
	return !st.unreadFor(e.cfg.Retention)
}

// retain keeps a finished stream for the retention time, so that readers can still
// attach to it.
func (e *Engine) retain(st *stream) {
	// A cancel or the end of the engine ends the wait early, which is no error.
	_ = clock.Sleep(st.ctx, e.cfg.Retention)
}

func (e *Engine) remove(st *stream) {
	st.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, st.start.Stream)
}

// loadReport returns a load report that is at most LoadLag old.
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
		CacheSeq:    e.cache.lastSeq(now),
		Versions:    slices.Clone(e.versions),
	}
	return e.report
}

// pending returns the tokens still to be generated for the streams that have not
// finished. The caller holds e.mu.
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

// applyOrder sets the role that the order names, then loads and unloads versions.
func (e *Engine) applyOrder(o engine.Order) error {
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

// load loads a model version, which takes LoadTime, unless it is already loaded.
func (e *Engine) load(l engine.LoadedModel) {
	e.mu.Lock()
	loaded := slices.Contains(e.versions, l)
	e.mu.Unlock()
	if loaded {
		return
	}
	// If the engine stops meanwhile, what it has loaded no longer matters.
	_ = clock.Sleep(e.ctx, e.cfg.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.versions, l) {
		e.versions = append(e.versions, l)
	}
}
