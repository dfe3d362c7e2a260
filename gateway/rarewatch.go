package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/clock"
	"quetzalhold/platform"
	"quetzalhold/result"
)

const (
	// rareListInterval and rareListCalls are the interval between the calls for a list of rare objects, and their
	// number: a kept connection may have gone silent.
	rareListInterval = 300 * time.Millisecond
	rareListCalls    = 3
)

// listRequests are requests to list the objects of a kind now. The zero value has none.
type listRequests struct {
	mu      sync.Mutex
	waiting []chan<- error
	asked   chan struct{} // closed when a list is asked for
}

// wake asks for a list; its outcome is sent to done, unless done is nil.
func (l *listRequests) wake(done chan<- error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if done != nil {
		l.waiting = append(l.waiting, done)
	}
	if l.asked != nil {
		close(l.asked)
		l.asked = nil
	}
}

// begin returns who has asked for a list so far, and a channel that is closed when the next one does.
func (l *listRequests) begin() (waiting []chan<- error, asked <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting, l.waiting = l.waiting, nil
	if l.asked == nil {
		l.asked = make(chan struct{})
	}
	return waiting, l.asked
}

// rareWatch is how objects are followed that change rarely, so that a call for changes may wait long. It is renewed when
// other calls show that channels to the store were lost.
type rareWatch struct {
	kind     platform.Kind
	what     string // for the log
	requests *listRequests
	// list applies a list of all objects, and returns when they are to be listed again whatever happens; zero for never.
	list   func(platform.Page) time.Time
	change func(platform.Change)
	wait   func() time.Duration // how long the next call for changes may wait
}

// watchRare follows rare objects until ctx ends.
func (d *Daemon) watchRare(ctx context.Context, w *rareWatch) {
	for ctx.Err() == nil {
		waiting, asked := w.requests.begin()
		page, err := clock.Hedge(ctx, rareListInterval, rareListCalls, func(ctx context.Context) (platform.Page, error) {
			return d.store.List(ctx, w.kind, false)
		})
		rev := page.Revision
		var listAt time.Time
		if err == nil {
			listAt = w.list(page)
		}
		for _, done := range waiting {
			done <- err
		}
		for err == nil && ctx.Err() == nil && (listAt.IsZero() || time.Now().Before(listAt)) && !isClosed(asked) {
			start := time.Now()
			var c platform.Changes
			c, err = d.watchUntil(ctx, asked, w.kind, rev, w.wait())
			for _, ch := range c.Changes {
				w.change(ch)
			}
			rev = backend.Latest(rev, c.Revision)
			if err == nil {
				// A watch that ends at once must not be repeated at once.
				_ = clock.Until(ctx, start.Add(watchInterval)) // the loop condition checks ctx
			}
		}
		if ctx.Err() == nil && err != nil && result.CodeOf(err) != result.HistoryGone && !isClosed(asked) {
			d.log.Info(w.what+" not received", zap.Error(err))
			_ = clock.Sleep(ctx, maxBackoff) // the loop condition checks ctx
			d.awaitStore(ctx, orderWatchWait)
		}
	}
}

// watchUntil watches the objects of a kind until a list is asked for.
func (d *Daemon) watchUntil(ctx context.Context, asked <-chan struct{}, k platform.Kind, rev backend.Revision, wait time.Duration) (platform.Changes, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-asked:
			cancel()
		case <-ctx.Done():
		}
	}()
	return d.store.Watch(ctx, k, rev, wait)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// renewWatches replaces calls that may wait long, and kept connections, after calls to the store have
// failed: connections may have gone silent, of which only those with short calls show it soon.
func (d *Daemon) renewWatches() {
	d.store.CloseIdle()
	d.orders.wake(nil)
	d.crashLists.wake(nil)
}
