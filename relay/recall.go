package relay

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/telemetry"
)

// RecallHeader names the hand-over of a request that is taken back from another entry VM, whose answer was
// lost. One of an earlier version doesn't know it and answers 404; all attempts lent to it count as spent
// then.
const RecallHeader = "Quetzalhold-Recall"

// HandoverID names a hand-over of a request to another entry VM.
type HandoverID string

const (
	// recallLimit is how long answers to recalls are waited for.
	recallLimit = 300 * time.Millisecond
	// recallTime is how long it is known what a request that was taken has spent.
	recallTime = 10 * time.Second
)

// taking is a request that was taken from another entry VM.
type taking struct {
	cancel  context.CancelFunc
	ended   chan struct{} // closed when it has ended
	endedAt time.Time     // zero before
	spent   Spent         // as of its end
}

// takings are the requests that were taken and may be recalled. The zero value has none.
type takings struct {
	mu       sync.Mutex
	all      map[HandoverID]*taking
	forgotAt time.Time // when those that ended long ago were last looked for
}

// begin records that a request was taken, and forgets those that ended long ago.
func (t *takings) begin(now time.Time, id HandoverID, cancel context.CancelFunc) *taking {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all == nil {
		t.all = make(map[HandoverID]*taking)
	}
	if now.Sub(t.forgotAt) >= time.Second {
		t.forgotAt = now
		maps.DeleteFunc(t.all, func(_ HandoverID, x *taking) bool { return !x.endedAt.IsZero() && now.Sub(x.endedAt) > recallTime })
	}
	x := &taking{cancel: cancel, ended: make(chan struct{})}
	t.all[id] = x
	return x
}

// end records what a request has spent: nothing more is sent for it.
func (t *takings) end(now time.Time, x *taking, spent Spent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.endedAt, x.spent = now, spent
	close(x.ended)
}

func (t *takings) find(id HandoverID) *taking {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.all[id]
}

// take makes a request that was taken from another entry VM one that can be recalled, until the function
// that it returns is called.
func (j *job) take() (end func()) {
	if j.takenAs == "" {
		return func() {} // it came from an entry VM of an earlier version
	}
	ctx, cancel := context.WithCancel(j.msg.Context())
	j.msg.Request = j.msg.WithContext(ctx)
	x := j.relay.takings.begin(time.Now(), j.takenAs, cancel)
	return func() {
		var spent Spent
		if j.spent != nil {
			spent = j.spent()
		}
		j.relay.takings.end(time.Now(), x, spent)
		cancel()
	}
}

// ServeRecall ends a request that was taken from another entry VM, and states what it has spent.
func (r *Relay) ServeRecall(w http.ResponseWriter, req *http.Request) {
	id := HandoverID(req.Header.Get(RecallHeader))
	x := r.takings.find(id)
	if x == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	x.cancel()
	select {
	case <-x.ended:
	case <-req.Context().Done():
		return
	}
	r.Log.Info("request recalled", zap.String("handover", string(id)), zap.Int("attempts", x.spent.Attempts))
	x.spent.set(w.Header())
	w.WriteHeader(http.StatusNoContent)
}

// lentTo is a hand-over of which it is not known what was spent.
type lentTo struct {
	to       backend.Choice
	id       HandoverID
	attempts int
}

// recall takes requests back and returns what was spent of the attempts lent to each: all that other entry VMs
// don't state otherwise.
func (j *job) recall(ctx context.Context, list []lentTo) []Spent {
	ctx, cancel := context.WithTimeout(ctx, recallLimit)
	defer cancel()
	spent := make([]Spent, len(list))
	var wg sync.WaitGroup
	for i, x := range list {
		wg.Go(func() {
			text, err := telemetry.GuardValue(j.relay.Log, "recall", func() (string, error) { return j.relay.askSpent(ctx, &x) })
			spent[i] = j.relay.readSpent(text, 0, x.attempts)
			j.logEvent("request taken back", x.to.ID, zap.Int("lent", x.attempts), zap.Int("spent", spent[i].Attempts), zap.Error(err))
		})
	}
	wg.Wait()
	return spent
}

func (r *Relay) askSpent(ctx context.Context, x *lentTo) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.to.Address+"/", http.NoBody)
	if err != nil {
		return "", fmt.Errorf("build recall: %w", err)
	}
	req.Header.Set(RecallHeader, string(x.id))
	resp, err := r.transport.RoundTrip(req)
	if err != nil {
		return "", fmt.Errorf("recall from %s: %w", x.to.ID, err)
	}
	_ = resp.Body.Close() // it has none
	return resp.Header.Get(spentHeader), nil
}
