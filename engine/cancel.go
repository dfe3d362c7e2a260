package engine

import (
	"context"
	"sync"
	"time"

	"quetzalhold/result"
)

// The pace at which unconfirmed cancels are repeated.
const (
	cancelFirstPause = 100 * time.Millisecond
	cancelLastPause  = 2 * time.Second
	cancelCallLimit  = time.Second
)

// Canceller ends streams that nobody reads any more. An engine that was paused
// or cut off goes on computing when it returns, so each cancel is repeated on
// new connections until the engine confirms it or its deadline passes. Cancels
// of one engine share one loop: a dead engine costs one call at a time however
// many streams it held.
type Canceller struct {
	// Call does one cancel call; usually [Client.Cancel].
	Call func(ctx context.Context, address string, id StreamID, a Attempt) error
	// Confirmed, if set, is told of each cancel that ended, with its error.
	Confirmed func(Connection, error)

	mu     sync.Mutex
	queues map[ServerID][]cancelItem
	wg     sync.WaitGroup
}

type cancelItem struct {
	conn     Connection
	address  string
	from     time.Time // not before
	deadline time.Time
}

// Cancel ends c's stream at the server, not before from and until deadline.
// It returns at once.
func (k *Canceller) Cancel(s Server, c Connection, from, deadline time.Time) {
	item := cancelItem{conn: c, address: s.Address, from: from, deadline: deadline}
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

// Wait returns when no cancel is pending.
func (k *Canceller) Wait() { k.wg.Wait() }

// Pending returns the number of cancels that were not confirmed yet.
func (k *Canceller) Pending() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, q := range k.queues {
		n += len(q)
	}
	return n
}

// drain works on one server's cancels until none is left.
func (k *Canceller) drain(id ServerID) {
	defer k.wg.Done()
	pause := cancelFirstPause
	for {
		item, ok := k.take(id)
		if !ok {
			return
		}
		now := time.Now()
		if now.Before(item.from) {
			time.Sleep(min(item.from.Sub(now), cancelFirstPause))
			k.putBack(id, item)
			continue
		}
		err := k.try(item)
		if err == nil || !time.Now().Before(item.deadline) {
			pause = cancelFirstPause
			k.confirm(item.conn, err)
			continue
		}
		k.putBack(id, item)
		time.Sleep(pause)
		pause = min(2*pause, cancelLastPause)
	}
}

// take removes the first item, or the queue itself if it is empty.
func (k *Canceller) take(id ServerID) (cancelItem, bool) {
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

func (k *Canceller) putBack(id ServerID, item cancelItem) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.queues[id] = append(k.queues[id], item)
}

// try does one call. An engine that does not know the stream, or has a later
// reader for it, has nothing left to cancel.
func (k *Canceller) try(item cancelItem) error {
	ctx, cancel := context.WithTimeout(context.Background(), cancelCallLimit)
	defer cancel()
	err := k.Call(ctx, item.address, item.conn.Stream, item.conn.Attempt)
	switch result.CodeOf(err) {
	case result.StreamUnknown, result.StaleAttempt:
		return nil
	}
	return err
}

func (k *Canceller) confirm(c Connection, err error) {
	if k.Confirmed != nil {
		k.Confirmed(c, err)
	}
}
