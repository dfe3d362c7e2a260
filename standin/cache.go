package standin

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"quetzalhold/engine"
)

// maxCacheEvents is how many cache events are kept; the oldest are dropped first.
const maxCacheEvents = 4096

// prefixCache is an engine's prefix cache together with the events it publishes.
type prefixCache struct {
	lag  time.Duration // from a change of the cache to its event being visible
	loss uint64        // every event whose number is a multiple of loss is dropped; 0 for none

	mu      sync.Mutex
	blocks  *lru.Cache[engine.BlockHash, struct{}]
	evicted []engine.BlockHash
	seq     uint64
	events  []cacheEvent
}

// cacheEvent is a cache event that readers get from visibleAt on.
type cacheEvent struct {
	engine.CacheEvent
	visibleAt time.Time
}

func newPrefixCache(cfg EngineConfig) *prefixCache {
	c := &prefixCache{lag: cfg.CacheLag, loss: cfg.CacheLoss}
	onEvict := func(b engine.BlockHash, _ struct{}) { c.evicted = append(c.evicted, b) }
	blocks, err := lru.NewWithEvict(cfg.CacheBlocks, onEvict)
	if err != nil {
		panic(err) // only for a size below 1, which withDefaults excludes
	}
	c.blocks = blocks
	return c
}

// add caches the prompt's blocks and returns how many of its tokens were already
// cached.
func (c *prefixCache) add(blocks []engine.BlockHash, now time.Time) engine.Tokens {
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := 0
	for hit < len(blocks) {
		if _, ok := c.blocks.Get(blocks[hit]); !ok {
			break
		}
		hit++
	}
	added := blocks[hit:]
	if len(added) == 0 {
		return engine.Tokens(hit * engine.BlockWords)
	}
	c.evicted = nil
	for _, b := range added {
		c.blocks.Add(b, struct{}{})
	}
	c.publish(added, c.evicted, now)
	return engine.Tokens(hit * engine.BlockWords)
}

// publish records an event for a change of the cache. An event that is dropped
// still uses a sequence number, so that readers see a gap. The caller holds c.mu.
func (c *prefixCache) publish(added, removed []engine.BlockHash, now time.Time) {
	c.seq++
	if c.loss > 0 && c.seq%c.loss == 0 {
		return
	}
	ev := engine.CacheEvent{Seq: c.seq, Added: added, Removed: removed}
	c.events = append(c.events, cacheEvent{ev, now.Add(c.lag)})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// lastSeq returns the sequence number of the last visible event, 0 if there is none.
func (c *prefixCache) lastSeq(now time.Time) uint64 {
	evs := c.eventsAfter(0, now)
	if len(evs) == 0 {
		return 0
	}
	return evs[len(evs)-1].Seq
}

// eventsAfter returns the visible events with a sequence number above seq.
func (c *prefixCache) eventsAfter(seq uint64, now time.Time) []engine.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var evs []engine.CacheEvent
	for _, ev := range c.events {
		if ev.Seq > seq && !now.Before(ev.visibleAt) {
			evs = append(evs, ev.CacheEvent)
		}
	}
	return evs
}
