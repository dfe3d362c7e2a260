package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"quetzalhold/engine"
	"quetzalhold/result"
)

// Fault orders an engine stand-in to fail. The zero value changes nothing.
type Fault struct {
	Pause    bool    `json:"pause,omitempty"`    // stand still, as a stopped process does
	Continue bool    `json:"continue,omitempty"` // end a pause
	Mute     bool    `json:"mute,omitempty"`     // open streams go silent for good, new ones work
	Cross    int     `json:"cross,omitempty"`    // so many events carry another stream's data
	Skip     int     `json:"skip,omitempty"`     // so many events claim the position after theirs
	Slow     float64 `json:"slow,omitempty"`     // factor on the time between tokens
	Refuse   *bool   `json:"refuse,omitempty"`   // refuse new streams
	Drain    *bool   `json:"drain,omitempty"`    // take no new streams and say so
	// Bad is a version whose new streams fail; empty changes nothing.
	Bad engine.Version `json:"bad,omitempty"`
}

// engineFaults is the state of an engine's faults.
type engineFaults struct {
	mu     sync.Mutex
	resume chan struct{} // closed when the pause ends; nil if there is none
	links  map[*link]struct{}
	cross  int
	skip   int
	slow   float64
	refuse bool
	bad    engine.Version
}

// link is one reader's connection.
type link struct {
	mu   sync.Mutex
	mute bool
}

func (l *link) muted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mute
}

// wait blocks while the engine is paused.
func (f *engineFaults) wait(a, b context.Context) error {
	for {
		f.mu.Lock()
		resume := f.resume
		f.mu.Unlock()
		if resume == nil {
			return b.Err()
		}
		select {
		case <-resume:
		case <-a.Done():
			return a.Err()
		case <-b.Done():
			return b.Err()
		}
	}
}

func (f *engineFaults) register() *link {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.links == nil {
		f.links = make(map[*link]struct{})
	}
	l := &link{}
	f.links[l] = struct{}{}
	return l
}

func (f *engineFaults) unregister(l *link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.links, l)
}

// take takes one of a fault's events; false if none is left.
func (f *engineFaults) take(left *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if *left == 0 {
		return false
	}
	*left--
	return true
}

func (f *engineFaults) slowdown() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.slow == 0 {
		return 1
	}
	return f.slow
}

func (f *engineFaults) fails(v engine.Version) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bad == v
}

func (f *engineFaults) refuses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refuse
}

func (f *engineFaults) apply(o Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Pause && f.resume == nil {
		f.resume = make(chan struct{})
	}
	if o.Continue && f.resume != nil {
		close(f.resume)
		f.resume = nil
	}
	if o.Mute {
		for l := range f.links {
			l.mu.Lock()
			l.mute = true
			l.mu.Unlock()
		}
	}
	f.cross += o.Cross
	f.skip += o.Skip
	if o.Slow > 0 {
		f.slow = o.Slow
	}
	if o.Bad != "" {
		f.bad = o.Bad
	}
	if o.Refuse != nil {
		f.refuse = *o.Refuse
	}
}

// Fail orders a fault.
func (e *Engine) Fail(o Fault) {
	e.faults.apply(o)
	if o.Drain == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = *o.Drain
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var o Fault
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		result.Write(w, result.Wrap(result.BadRequest, err, "decode fault"))
		return
	}
	e.Fail(o)
	w.WriteHeader(http.StatusNoContent)
}
