package standin

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"quetzalhold/engine"
)

// maxCacheEvents bounds the cache events that are kept for late readers.
const maxCacheEvents = 4096

// prefixCache is an engine's prefix cache with its published events.
type prefixCache struct {
	lag  time.Duration
	loss uint64

	mu      sync.Mutex
	blocks  *lru.Cache[engine.BlockHash, struct{}]
	evicted []engine.BlockHash
	seq     uint64
	events  []cacheEvent
}

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

// use returns how many tokens of the prompt are cached and caches the rest.
func (c *prefixCache) use(blocks []engine.BlockHash, now time.Time) engine.Tokens {
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

// published returns the sequence number of the last published event.
func (c *prefixCache) published(now time.Time) uint64 {
	evs := c.after(0, now)
	if len(evs) == 0 {
		return 0
	}
	return evs[len(evs)-1].Seq
}

// after returns the published events after seq.
func (c *prefixCache) after(seq uint64, now time.Time) []engine.CacheEvent {
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
