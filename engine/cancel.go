package engine

import (
	"context"
	"sync"
	"time"

	"quetzalhold/result"
)

// The backoff between cancel calls and the timeout of each call.
const (
	minCancelBackoff  = 100 * time.Millisecond
	maxCancelBackoff  = 2 * time.Second
	cancelCallTimeout = time.Second
)

// Canceller cancels streams that have no reader. An engine that was paused or
// unreachable resumes generating when it returns, so each cancel is retried on a
// new connection until the engine confirms it or its deadline passes. All cancels
// for one engine are sent by one goroutine, so that a dead engine costs one call
// at a time however many streams it had.
type Canceller struct {
	// Call sends one cancel to the engine; usually [Client.Cancel].
	Call func(ctx context.Context, address string, id StreamID, a Attempt) error
	// OnDone, if set, is called for each cancel that was confirmed (with a nil
	// error) or given up (with the last error).
	OnDone func(Connection, error)

	mu     sync.Mutex
	queues map[ServerID][]cancelItem
	wg     sync.WaitGroup
}

type cancelItem struct {
	conn      Connection
	address   string
	notBefore time.Time // no call before this time
	deadline  time.Time
}

// Cancel queues a cancel of c's stream on server s, to be sent no earlier than
// notBefore and retried until deadline. It does not block.
func (k *Canceller) Cancel(s Server, c Connection, notBefore, deadline time.Time) {
	item := cancelItem{conn: c, address: s.Address, notBefore: notBefore, deadline: deadline}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.queues == nil {
		k.queues = make(map[ServerID][]cancelItem)
	}
	q, busy := k.queues[s.ID]
	k.queues[s.ID] = append(q, item)
	if !busy {
		k.wg.Add(1)
		go k.drain(s.ID)
	}
}

// Wait blocks until no cancel is pending.
func (k *Canceller) Wait() { k.wg.Wait() }

// Pending returns the number of queued cancels. A cancel whose call is in
// progress is not counted.
func (k *Canceller) Pending() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, q := range k.queues {
		n += len(q)
	}
	return n
}

// drain sends the cancels queued for one server until the queue is empty.
func (k *Canceller) drain(id ServerID) {
	defer k.wg.Done()
	pause := minCancelBackoff
	for {
		item, ok := k.pop(id)
		if !ok {
			return
		}
		now := time.Now()
		if now.Before(item.notBefore) {
			time.Sleep(min(item.notBefore.Sub(now), minCancelBackoff))
			k.requeue(id, item)
			continue
		}
		err := k.send(item)
		if err == nil || !time.Now().Before(item.deadline) {
			pause = minCancelBackoff
			k.done(item.conn, err)
			continue
		}
		k.requeue(id, item)
		time.Sleep(pause)
		pause = min(2*pause, maxCancelBackoff)
	}
}

// pop removes and returns the first item of a server's queue. It deletes an empty
// queue and returns false.
func (k *Canceller) pop(id ServerID) (cancelItem, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	q := k.queues[id]
	if len(q) == 0 {
		delete(k.queues, id)
		return cancelItem{}, false
	}
	k.queues[id] = q[1:]
	return q[0], true
}

func (k *Canceller) requeue(id ServerID, item cancelItem) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.queues[id] = append(k.queues[id], item)
}

// send makes one cancel call. It succeeds also if the engine does not know the
// stream or a later attempt reads it, since there is nothing left to cancel.
func (k *Canceller) send(item cancelItem) error {
	ctx, cancel := context.WithTimeout(context.Background(), cancelCallTimeout)
	defer cancel()
	err := k.Call(ctx, item.address, item.conn.Stream, item.conn.Attempt)
	switch result.CodeOf(err) {
	case result.StreamUnknown, result.StaleAttempt:
		return nil
	}
	return err
}

func (k *Canceller) done(c Connection, err error) {
	if k.OnDone != nil {
		k.OnDone(c, err)
	}
}
