package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"quetzalhold/engine"
	"quetzalhold/result"
)

// Fault changes the faults of an engine stand-in. Zero fields change nothing.
type Fault struct {
	Pause    bool    `json:"pause,omitempty"`    // stop answering and generating, like a process stopped by SIGSTOP
	Continue bool    `json:"continue,omitempty"` // end the pause
	Mute     bool    `json:"mute,omitempty"`     // open connections of streams send nothing more; new ones work
	Cross    int     `json:"cross,omitempty"`    // the next Cross events carry another stream's id and text
	Skip     int     `json:"skip,omitempty"`     // the next Skip events carry an offset that is 1 too high
	Slow     float64 `json:"slow,omitempty"`     // factor on the time between tokens
	Refuse   *bool   `json:"refuse,omitempty"`   // refuse new streams, or accept them again
	Drain    *bool   `json:"drain,omitempty"`    // start or end draining: no new streams, and load reports say so
	// Bad is the version whose new streams fail.
	Bad engine.Version `json:"bad,omitempty"`
}

// engineFaults is the faults in force at an engine.
type engineFaults struct {
	mu         sync.Mutex
	resumed    chan struct{} // closed at the end of the pause; nil while the engine is not paused
	conns      map[*readerConn]struct{}
	cross      int
	skip       int
	slow       float64
	refuse     bool
	badVersion engine.Version
}

// readerConn is the connection of one reader of a stream.
type readerConn struct {
	mu   sync.Mutex
	mute bool
}

func (l *readerConn) muted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mute
}

// wait blocks while the engine is paused. It returns an error if one of the contexts
// ends first.
func (f *engineFaults) wait(ctx, engineCtx context.Context) error {
	for {
		f.mu.Lock()
		resume := f.resumed
		f.mu.Unlock()
		if resume == nil {
			return engineCtx.Err()
		}
		select {
		case <-resume:
		case <-ctx.Done():
			return ctx.Err()
		case <-engineCtx.Done():
			return engineCtx.Err()
		}
	}
}

func (f *engineFaults) register() *readerConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns == nil {
		f.conns = make(map[*readerConn]struct{})
	}
	l := &readerConn{}
	f.conns[l] = struct{}{}
	return l
}

func (f *engineFaults) unregister(l *readerConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, l)
}

// consume decrements the count of a fault's remaining events. It returns false if
// the count was 0.
func (f *engineFaults) consume(left *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if *left == 0 {
		return false
	}
	*left--
	return true
}

// slowdown returns the factor on the time between tokens.
func (f *engineFaults) slowdown() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.slow == 0 {
		return 1
	}
	return f.slow
}

// fails reports whether new streams of version v fail.
func (f *engineFaults) fails(v engine.Version) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.badVersion == v
}

func (f *engineFaults) refuses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refuse
}

func (f *engineFaults) apply(o Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Pause && f.resumed == nil {
		f.resumed = make(chan struct{})
	}
	if o.Continue && f.resumed != nil {
		close(f.resumed)
		f.resumed = nil
	}
	if o.Mute {
		for l := range f.conns {
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
		f.badVersion = o.Bad
	}
	if o.Refuse != nil {
		f.refuse = *o.Refuse
	}
}

// Inject applies a fault in addition to those in force.
func (e *Engine) Inject(o Fault) {
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
	e.Inject(o)
	w.WriteHeader(http.StatusNoContent)
}
