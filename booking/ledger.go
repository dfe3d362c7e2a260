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

// BatchWriter writes changes of records to the platform. Changes of one bucket that
// come while it is being written go into the next write together. Any number
// of entry VMs may write the same bucket: the conditional update decides. Its
// zero value needs Get and Put.
type BatchWriter struct {
	// Get reads a bucket's object; usually [objects.Client.Get].
	Get func(context.Context, objects.Kind, objects.Name) (objects.Object, error)
	// Put writes it; usually [objects.Client.Put], which settles a write
	// whose answer was lost.
	Put func(context.Context, objects.Kind, objects.Name, objects.Version, any) (objects.Object, error)
	// MinInterval is the least time between two writes of a bucket; 0 for the
	// default.
	MinInterval time.Duration

	shards [Buckets]ledgerShard
}

// ledgerShard is the state of one bucket.
type ledgerShard struct {
	mu      sync.Mutex
	pending []*change
	writing bool
	wroteAt time.Time

	// The writer alone touches what follows.
	known   bool
	readAt  time.Time
	version objects.Version
	bucket  Bucket
	size    int
}

// change is a change that waits to be written.
type change struct {
	op    Op
	done  chan struct{}
	reply Reply
	err   error
}

// The pace of a Ledger.
const (
	defaultPause = 100 * time.Millisecond
	// maxTries bounds the writes of one group that lose against others.
	maxTries = 8
	// freshFor is how long a bucket that was read counts as current for
	// answers that need no write.
	freshFor = 500 * time.Millisecond
)

// Apply makes a change and returns its outcome once it is written. It fails with
// PlatformDown where it is unknown whether the change was written; repeating
// the same change is safe. It fails with ctx's error if that ends first.
func (l *BatchWriter) Apply(ctx context.Context, op Op) (Reply, error) {
	c := &change{op: op, done: make(chan struct{})}
	l.enqueue(c)
	select {
	case <-c.done:
		return c.reply, c.err
	case <-ctx.Done():
		return Reply{}, result.Wrap(result.PlatformDown, ctx.Err(), "booking record")
	}
}

func (l *BatchWriter) enqueue(c *change) {
	sh := &l.shards[c.op.ID.Bucket()]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.pending = append(sh.pending, c)
	if !sh.writing {
		sh.writing = true
		go l.write(c.op.ID.Bucket())
	}
}

// write writes groups of changes of a bucket until none is pending.
func (l *BatchWriter) write(id BucketID) {
	sh := &l.shards[id]
	ctx := context.Background()
	for sh.more() {
		// The context has no end.
		_ = clock.Until(ctx, sh.nextWrite(l.pause()))
		group := sh.take()
		l.commit(ctx, id, group)
		for _, c := range group {
			close(c.done)
		}
	}
}

func (l *BatchWriter) pause() time.Duration { return cmp.Or(l.MinInterval, defaultPause) }

func (sh *ledgerShard) nextWrite(pause time.Duration) time.Time {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.wroteAt.Add(pause)
}

// more reports whether changes are pending, and ends the writer if there are
// none.
func (sh *ledgerShard) more() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.writing = len(sh.pending) > 0
	return sh.writing
}

// take returns the pending changes.
func (sh *ledgerShard) take() []*change {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	group := sh.pending
	sh.pending = nil
	sh.wroteAt = time.Now()
	return group
}

// commit writes a group of changes, again after each lost race.
func (l *BatchWriter) commit(ctx context.Context, id BucketID, group []*change) {
	sh := &l.shards[id]
	var err error
	for range maxTries {
		if err = l.read(ctx, id); err != nil {
			break
		}
		next := sh.bucket.clone()
		if !apply(&next, group, sh.size) {
			if time.Since(sh.readAt) < freshFor {
				return
			}
			sh.known = false
			continue
		}
		err = l.put(ctx, id, next)
		if result.CodeOf(err) != result.VersionConflict {
			break
		}
	}
	if err == nil {
		return
	}
	sh.known = false
	for _, c := range group {
		c.err = err
	}
}

// read makes the bucket known.
func (l *BatchWriter) read(ctx context.Context, id BucketID) error {
	sh := &l.shards[id]
	if sh.known {
		return nil
	}
	o, err := l.Get(ctx, ObjectKind, id.Name())
	if err != nil && result.CodeOf(err) != result.ObjectMissing {
		return err
	}
	sh.bucket, err = decodeBucket(o.Value)
	if err != nil {
		return err
	}
	sh.version = o.Version
	sh.size = len(o.Value)
	sh.readAt = time.Now()
	sh.known = true
	return nil
}

// apply makes the changes on b and reports whether b has to be written.
func apply(b *Bucket, group []*change, size int) bool {
	now := time.Now()
	changed := false
	for _, c := range group {
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

// put writes the bucket if it is still at the version that was read.
func (l *BatchWriter) put(ctx context.Context, id BucketID, next Bucket) error {
	sh := &l.shards[id]
	raw, err := json.Marshal(next)
	if err != nil {
		return result.Wrap(result.Internal, err, "encode bucket")
	}
	o, err := l.Put(ctx, ObjectKind, id.Name(), sh.version, json.RawMessage(raw))
	if err != nil {
		sh.known = false
		return err
	}
	sh.bucket = next
	sh.version = o.Version
	sh.size = len(raw)
	sh.readAt = time.Now()
	return nil
}
