package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The load and the bounds of the case.
const (
	overlapEngines  = 6
	overlapPrefill  = 1200 * time.Millisecond
	overlapEvents   = 60 * time.Millisecond
	overlapEvery    = 100 * time.Millisecond // between two streams
	overlapStreams  = 240
	overlapComments = 100 * time.Millisecond
	overlapSilence  = 400 * time.Millisecond // for which the engine is silent
	overlapTokens   = "9600,300"
	overlapMay      = 400 * time.Millisecond // for which two engines may work on a request
	// brokenOff is every how many answers of the engine one is broken off: the pages name 0.02 of the answers.
	brokenOff = 50
	// breakAfter is when the first answer is broken off.
	breakAfter = 6 * time.Second
)

// work is when an engine worked on a request, from its first token.
type work struct {
	engine      string
	begun, over time.Time
}

// works is the work on requests.
type works struct {
	mu   sync.Mutex
	list map[string][]work
}

func (x *works) add(id string, a work) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.list[id] = append(x.list[id], a)
}

// overlap returns how long two engines worked on a request at one time.
func overlap(list []work) (longest time.Duration) {
	for i, a := range list {
		for _, b := range list[i+1:] {
			from, to := a.begun, a.over
			if b.begun.After(from) {
				from = b.begun
			}
			if b.over.Before(to) {
				to = b.over
			}
			longest = max(longest, to.Sub(from))
		}
	}
	return longest
}

// overlaps sends streams while an engine that does not drop requests breaks one answer off and is silent for a moment.
// While engines read a prompt, they send comments.
func overlaps(w *world) error {
	configure(w.store)
	address, err := serve(w.store)
	if err != nil {
		return err
	}
	x := &works{list: make(map[string][]work)}
	for i := range overlapEngines {
		e := &engine{
			world: w, id: fmt.Sprintf("models-%d", i), zone: zones[i%len(zones)], eventEvery: overlapEvents, prefill: overlapPrefill, comments: overlapComments,
			keeps: i == 0, arrived: func(string, *http.Request, time.Time) {},
		}
		e.answered = func(_ string, r *http.Request, status int, _ time.Time) {
			w.note("reached", "%s at %s, answered with %d", r.Header.Get("X-Request-Id"), e.id, status)
		}
		e.worked = func(id string, begun time.Time) {
			w.note("ran", "%s at %s for %v", id, e.id, time.Since(begun).Round(time.Millisecond))
			x.add(id, work{e.id, begun, time.Now()})
		}
		if i == 0 && w.trouble {
			e.breaks = w.breakOff(e)
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
	whole := w.playOverlaps(g)
	time.Sleep(4 * time.Second) // runs whose client has left go on
	return x.judge(w, whole)
}

// breakOff returns a function that breaks off one of so many answers of an engine, and makes it silent for a moment.
func (w *world) breakOff(e *engine) func(*http.Request, int) bool {
	var mu sync.Mutex
	answers, broken := 0, 0
	return func(r *http.Request, event int) bool {
		const within = 5
		mu.Lock()
		defer mu.Unlock()
		if event == 1 {
			answers++
		}
		if event != within || time.Since(w.began) < breakAfter || broken > answers/brokenOff {
			return false
		}
		broken++
		w.note("phase", "%s breaks the answer to %s off, and is silent for %v", e.id, r.Header.Get("X-Request-Id"), overlapSilence)
		e.mu.Lock()
		e.silentUntil = time.Now().Add(overlapSilence)
		e.mu.Unlock()
		return true
	}
}

// playOverlaps sends streams and returns how many were complete.
func (w *world) playOverlaps(g *gateway) (whole int) {
	ctx, cancel := context.WithTimeout(context.Background(), commentBudget)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var wg sync.WaitGroup
	var mu sync.Mutex
	for n := range overlapStreams {
		wg.Go(func() {
			x := &note{reply: w.stream(ctx, client, g, "summary", fmt.Sprintf("stream-%d", n), overlapTokens)}
			mu.Lock()
			defer mu.Unlock()
			if x.complete() {
				whole++
			}
		})
		time.Sleep(overlapEvery)
	}
	wg.Wait()
	return whole
}

// judge checks for how long two engines worked on a request at one time.
func (x *works) judge(w *world, whole int) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	twice := 0
	longest := time.Duration(0)
	for id, list := range x.list {
		d := overlap(list)
		longest = max(longest, d)
		if d > overlapMay {
			twice++
			w.note("twice", "%s ran at two engines for %v", id, d.Round(time.Millisecond))
		}
	}
	w.note("result", "%d of %d streams complete; %d ran at two engines for longer than %v, at most %v; none may", whole, overlapStreams, twice, overlapMay, longest.Round(time.Millisecond))
	switch {
	case twice > 0:
		return errBroken
	case whole == 0:
		return errors.New("no stream was served")
	}
	return nil
}
