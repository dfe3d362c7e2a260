package relay

import (
	"context"
	"sync"
	"time"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/telemetry"
)

// confirmDelay leaves a server that crashes the time to stop listening.
const confirmDelay = 100 * time.Millisecond

// lossChecks finds out whether servers whose answers were lost are alive. The zero value is ready to use.
type lossChecks struct {
	mu      sync.Mutex
	waiting map[serverStart]*lossCheck // those whose probe has not begun
}

type serverStart struct {
	id    engine.ServerID
	start engine.Incarnation
}

// lossCheck is a check of a server. Its other fields are set when done is closed.
type lossCheck struct {
	done  chan struct{}
	begun time.Time // when the server was probed
	err   error     // why the server is not reached; nil if it is alive
}

// checkLoss begins to check a server that has just lost an answer. Answers that it loses at the same time share one probe.
func (r *Relay) checkLoss(to backend.Choice, isEngine bool) *lossCheck {
	l, k := &r.lossChecks, serverStart{to.ID, to.Start}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.waiting[k]; c != nil {
		return c
	}
	if l.waiting == nil {
		l.waiting = make(map[serverStart]*lossCheck)
	}
	c := &lossCheck{done: make(chan struct{}), err: errNoOutcome}
	l.waiting[k] = c
	telemetry.Go(r.Log, "check of a loss", func() {
		defer close(c.done)
		time.Sleep(confirmDelay)
		l.mu.Lock()
		delete(l.waiting, k)
		l.mu.Unlock()
		c.begun = time.Now()
		usual, results := r.dialTime(&to), make(chan probeResult, 2)
		r.startProbe(context.Background(), to, "", c.begun.Add(usual+probeMargin), usual+probeRetryDelay, isEngine && !r.Pool.Limited(to.ID), results)
		p := <-results
		c.err = p.err
	})
	return c
}

// exchanges are the requests that this entry VM has sent to servers and that have no outcome. The zero value has none.
type exchanges struct {
	mu   sync.Mutex
	open map[*observation]struct{}
	lost []*observation // those lost within lossWindow
}

const (
	// lossWindow is the time within which answers are lost together if one cause breaks them all off.
	lossWindow = 100 * time.Millisecond
	// maxWitnesses is the number of other requests that show whether one cause has broken off all.
	maxWitnesses = 16
)

func (x *exchanges) add(o *observation) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.open == nil {
		x.open = make(map[*observation]struct{})
	}
	x.open[o] = struct{}{}
}

func (x *exchanges) remove(o *observation) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.open, o)
}

// lose records that an answer was lost, and returns other requests that were in progress at other servers then.
func (x *exchanges) lose(now time.Time, o *observation) []*observation {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.open, o)
	i := 0
	for i < len(x.lost) && now.Sub(x.lost[i].lostAt) > lossWindow {
		i++
	}
	x.lost = append([]*observation(nil), x.lost[i:]...)
	var others []*observation
	add := func(w *observation) bool {
		if w.by.ID != o.by.ID {
			others = append(others, w)
		}
		return len(others) < maxWitnesses
	}
	for w := range x.open {
		if !add(w) {
			break
		}
	}
	for _, w := range x.lost {
		if !add(w) {
			break
		}
	}
	o.lostAt = now
	x.lost = append(x.lost, o)
	return others
}

// allLost reports whether all of some requests were lost, which are not none.
func (x *exchanges) allLost(list []*observation) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, o := range list {
		if o.lostAt.IsZero() {
			return false
		}
	}
	return len(list) > 0
}

// lose finds out what the loss of an answer tells, and reports it: a server that is alive has broken it off. One that has
// crashed, is leaving or is not reached, or an entry VM that has lost all answers at once, tells nothing of how the version
// answers.
func (o *observation) lose() {
	r := o.job.relay
	if o.by.Peer || r.Answered == nil || !o.beginLoss() {
		return
	}
	at := time.Now()
	others := r.exchanges.lose(at, o)
	var check *lossCheck
	if o.judged() {
		check = r.checkLoss(o.by, o.job.model != nil)
	}
	telemetry.Go(r.Log, "loss of an answer", func() {
		alive := false
		if check != nil {
			<-check.done
			alive = check.err == nil
		} else {
			time.Sleep(confirmDelay)
		}
		v, ok := r.Pool.View(o.by.ID, time.Now())
		alive = ok && !v.Removed && !v.Draining && v.Start == o.by.Start && (alive || v.RespondedAt.After(at))
		o.endLoss(alive && !r.exchanges.allLost(others))
	})
}
