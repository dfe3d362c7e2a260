package booking

import (
	"cmp"
	"context"
	"encoding/json"
	"sync"
	"time"

	"quetzalhold/clock"
	"quetzalhold/objects"
	"quetzalhold/result"
)

// BatchWriter writes changes of records to the platform. Changes that arrive
// while their bucket is being written are collected and written together next.
// Any number of entry VMs may write the same bucket, because each write is a
// conditional update. Get and Put must be set.
type BatchWriter struct {
	// Get reads a bucket's object; usually [objects.Client.Get].
	Get func(context.Context, objects.Kind, objects.Name) (objects.Object, error)
	// Put writes a bucket's object; usually [objects.Client.Put], which finds
	// out whether a write whose response was lost took effect.
	Put func(context.Context, objects.Kind, objects.Name, objects.Version, any) (objects.Object, error)
	// MinInterval is the minimum time between two writes of a bucket; 0 means
	// the default.
	MinInterval time.Duration

	shards [Buckets]shard
}

// shard is a BatchWriter's state of one bucket.
type shard struct {
	mu        sync.Mutex
	pending   []*pendingOp
	writing   bool
	lastWrite time.Time // when the last write began

	// Only the bucket's writer goroutine uses the following fields, without mu.
	cached    bool
	currentAt time.Time // when bucket was last read or written
	version   objects.Version
	bucket    Bucket
	size      int
}

// pendingOp is a change that waits to be written. Its reply and err are set
// before done is closed.
type pendingOp struct {
	op    Op
	done  chan struct{}
	reply Reply
	err   error
}

// The limits of a BatchWriter's reads and writes.
const (
	defaultInterval = 100 * time.Millisecond
	// maxWriteAttempts limits the attempts to write one batch, which fail if
	// another entry VM has changed the bucket.
	maxWriteAttempts = 8
	// maxCacheAge is how old the cached bucket may be for replies to changes
	// that need no write.
	maxCacheAge = 500 * time.Millisecond
)

// Apply makes a change and returns its outcome once it is written. It fails
// with PlatformDown if it is unknown whether the change was written, also if
// ctx ends first. Repeating the same change is safe.
func (w *BatchWriter) Apply(ctx context.Context, op Op) (Reply, error) {
	c := &pendingOp{op: op, done: make(chan struct{})}
	w.enqueue(c)
	select {
	case <-c.done:
		return c.reply, c.err
	case <-ctx.Done():
		return Reply{}, result.Wrap(result.PlatformDown, ctx.Err(), "booking record")
	}
}

// enqueue adds a change to its bucket's batch and starts the bucket's writer
// if it does not run.
func (w *BatchWriter) enqueue(c *pendingOp) {
	sh := &w.shards[c.op.ID.Bucket()]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.pending = append(sh.pending, c)
	if !sh.writing {
		sh.writing = true
		go w.write(c.op.ID.Bucket())
	}
}

// write is the writer of a bucket: it writes batches of changes until none is
// pending.
func (w *BatchWriter) write(id BucketID) {
	sh := &w.shards[id]
	ctx := context.Background()
	for sh.continueWriting() {
		// Until only fails if ctx ends, and this one does not.
		_ = clock.Until(ctx, sh.nextWrite(w.interval()))
		batch := sh.takePending()
		w.commit(ctx, id, batch)
		for _, c := range batch {
			close(c.done)
		}
	}
}

func (w *BatchWriter) interval() time.Duration { return cmp.Or(w.MinInterval, defaultInterval) }

// nextWrite returns the earliest time of the next write.
func (sh *shard) nextWrite(interval time.Duration) time.Time {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.lastWrite.Add(interval)
}

// continueWriting reports whether changes are pending. If there are none, it
// records that the writer has ended.
func (sh *shard) continueWriting() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.writing = len(sh.pending) > 0
	return sh.writing
}

// takePending removes and returns the pending changes.
func (sh *shard) takePending() []*pendingOp {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	batch := sh.pending
	sh.pending = nil
	sh.lastWrite = time.Now()
	return batch
}

// commit applies a batch of changes to the bucket and writes it. It reads the
// bucket again and starts over if another entry VM has changed it, or if no
// change needs a write but the cached bucket is too old for their replies.
func (w *BatchWriter) commit(ctx context.Context, id BucketID, batch []*pendingOp) {
	sh := &w.shards[id]
	var err error
	for range maxWriteAttempts {
		if err = w.load(ctx, id); err != nil {
			break
		}
		next := sh.bucket.clone()
		if !applyBatch(&next, batch, sh.size) {
			if time.Since(sh.currentAt) < maxCacheAge {
				return
			}
			sh.cached = false
			continue
		}
		err = w.put(ctx, id, next)
		if result.CodeOf(err) != result.VersionConflict {
			break
		}
	}
	if err == nil {
		return
	}
	sh.cached = false
	for _, c := range batch {
		c.err = err
	}
}

// load reads the bucket from the platform unless it is cached.
func (w *BatchWriter) load(ctx context.Context, id BucketID) error {
	sh := &w.shards[id]
	if sh.cached {
		return nil
	}
	o, err := w.Get(ctx, ObjectKind, id.Name())
	if err != nil && result.CodeOf(err) != result.ObjectMissing {
		return err
	}
	sh.bucket, err = decodeBucket(o.Value)
	if err != nil {
		return err
	}
	sh.version = o.Version
	sh.size = len(o.Value)
	sh.currentAt = time.Now()
	sh.cached = true
	return nil
}

// applyBatch makes the changes in b, sets their replies, and reports whether b
// has to be written.
func applyBatch(b *Bucket, batch []*pendingOp, size int) bool {
	now := time.Now()
	changed := false
	for _, c := range batch {
		c.reply = b.Apply(now, c.op, size)
		switch c.reply.Outcome {
		case Claimed, Applied:
			changed = true
		}
	}
	if changed {
		b.Prune(now)
	}
	return changed
}

// put writes the bucket if its version is still the cached one.
func (w *BatchWriter) put(ctx context.Context, id BucketID, next Bucket) error {
	sh := &w.shards[id]
	raw, err := json.Marshal(next)
	if err != nil {
		return result.Wrap(result.Internal, err, "encode bucket")
	}
	o, err := w.Put(ctx, ObjectKind, id.Name(), sh.version, json.RawMessage(raw))
	if err != nil {
		sh.cached = false
		return err
	}
	sh.bucket = next
	sh.version = o.Version
	sh.size = len(raw)
	sh.currentAt = time.Now()
	return nil
}
