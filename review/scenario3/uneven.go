package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The load of the case.
const (
	noteTokens = "400,100"
	noteEvery  = 100 * time.Millisecond
	noteEvents = 60 * time.Millisecond // between two events
	// doubleEvent is every how many events one holds the tokens of two steps.
	doubleEvent = 7
	beforeStop  = 6 * time.Second // from the first stream to the SIGTERM
	afterStop   = 1500 * time.Millisecond
)

// note is a stream and what its client got.
type note struct {
	id     string
	sentAt time.Time
	reply
}

// complete reports whether the client has got the whole answer.
func (n *note) complete() bool { return n.status == http.StatusOK && n.err == nil }

// tokenID returns the id of event n where ids count the tokens sent so far.
func tokenID(n int) int { return tokensPerEvent * (n + n/doubleEvent) }

// unevenIDs sends streams that may not be resumed, on kept channels, and stops a gateway as planned. The ids of events
// count tokens, and some events hold the tokens of two steps.
func unevenIDs(w *world) error {
	configure(w.store)
	address, err := serve(w.store)
	if err != nil {
		return err
	}
	for i, zone := range zones {
		e := &engine{
			world: w, id: fmt.Sprintf("models-%d", i), zone: zone, eventEvery: noteEvents,
			arrived: func(string, *http.Request, time.Time) {}, answered: func(string, *http.Request, int, time.Time) {},
		}
		if w.trouble {
			e.eventID = tokenID
		}
		id := e.id
		e.answered = func(_ string, r *http.Request, status int, _ time.Time) {
			w.note("ran", "%s at %s, answered with %d", r.Header.Get("X-Request-Id"), id, status)
		}
		if err := e.start("all"); err != nil {
			return err
		}
		w.store.Put("servers", e.id, e.entry("all", "ready"))
	}
	g, err := w.addGateway("front-norte-a-1", "norte-a", address)
	if err != nil {
		return err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return err
	}
	return w.judgeNotes(w.playNotes(g))
}

// playNotes sends streams to a gateway before and after it gets SIGTERM, and returns them and when it got that.
func (w *world) playNotes(g *gateway) (list []*note, stopped time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var wg sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < beforeStop+afterStop; n++ {
		if stopped.IsZero() && time.Since(began) >= beforeStop {
			stopped = time.Now()
			w.note("phase", "%s gets SIGTERM", g.name)
			_ = g.cmd.Process.Signal(syscall.SIGTERM) // fails if it has ended
		}
		x := &note{id: fmt.Sprintf("note-%d", n), sentAt: time.Now()}
		list = append(list, x)
		wg.Go(func() { x.reply = w.stream(ctx, client, g, "note", x.id, noteTokens) })
		time.Sleep(noteEvery)
	}
	wg.Wait()
	return list, stopped
}

// judgeNotes checks that no stream was cut around the planned stop of its gateway.
func (w *world) judgeNotes(list []*note, stopped time.Time) error {
	whole, cut, cutAround := 0, 0, 0
	for _, x := range list {
		switch {
		case x.complete():
			whole++
		case x.status == http.StatusOK && strings.Contains(x.body, "\n\n"):
			cut++
			if x.sentAt.After(stopped.Add(-time.Second)) {
				cutAround++
			}
		}
	}
	w.note("result", "%d streams: %d complete, %d cut off in the answer, of which %d were sent from a second before the SIGTERM on; none may", len(list), whole, cut, cutAround)
	switch {
	case cutAround > 0:
		return errBroken
	case whole == 0:
		return errors.New("no stream was served")
	}
	return nil
}
