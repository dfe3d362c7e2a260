package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"

	"quetzalhold/platform/platformtest"
)

// request is one attempt of a caller.
type request struct {
	id     string
	once   bool // must not be repeated
	stream bool
	after  int // the last event that the caller had
	vm     int
	start  int // of the entry VM's process
	key    string
}

// outcome is what the caller got.
type outcome struct {
	status int
	body   string
	whole  bool // the body ended as it should
}

// judge checks the promises from what callers and servers see. It may be called
// from any goroutine.
type judge struct {
	book *platformtest.Recorder

	mu       sync.Mutex
	refused  []string       // ids answered as not run
	onces    []string       // ids that must not be repeated
	seen     map[string]int // newest key epoch that each entry VM's process showed
	faults   []string
	requests int
	served   int
	streams  int
}

func (j *judge) fault(format string, args ...any) {
	j.faults = append(j.faults, fmt.Sprintf(format, args...))
}

// epochSeen returns the newest configuration that a process of an entry VM showed.
func (j *judge) epochSeen(vm, start int) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.seen[process(vm, start)]
}

func process(vm, start int) string { return fmt.Sprintf("%d.%d", vm, start) }

// knowledge is what was known of configurations around a request.
type knowledge struct {
	own    int  // that the request's key belongs to
	before int  // the newest that the process had shown when the request was sent
	newest int  // that was acknowledged when the answer came
	same   bool // the same process lived all the while
}

// take checks one outcome. A configuration may take some seconds to be in force, so
// that only going back is a fault here: a process that has shown one must not act on
// an older one.
func (j *judge) take(r request, o outcome, k knowledge) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests++
	if r.once {
		j.onces = append(j.onces, r.id)
	}
	switch o.status {
	case http.StatusOK:
		j.served++
		j.takeSuccess(r, o)
		if k.same && k.own < k.before {
			j.fault("%s: served by a configuration older than the process had shown (%d after %d)", r.id, k.own, k.before)
		}
		if k.same {
			j.show(r, k.own)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		j.refused = append(j.refused, r.id)
	case http.StatusUnauthorized:
		if k.same && k.own == k.newest && k.before >= k.own {
			j.fault("%s: the newest key was refused after the process had shown that it knows it", r.id)
		}
	}
}

func (j *judge) show(r request, epoch int) {
	p := process(r.vm, r.start)
	j.seen[p] = max(j.seen[p], epoch)
}

func (j *judge) takeSuccess(r request, o outcome) {
	if !r.stream {
		if want := "answer to " + r.id; o.whole && o.body != want {
			j.fault("%s: got %q", r.id, o.body)
		}
		return
	}
	n := r.after
	for rest := o.body; rest != ""; {
		next := platformtest.EventText(prompt, n+1)
		if !strings.HasPrefix(rest, next) {
			if o.whole || strings.Contains(rest, "\n\n") {
				j.fault("%s: after event %d comes %q", r.id, n, rest[:min(len(rest), 80)])
			}
			return // torn off within an event
		}
		rest = rest[len(next):]
		n++
	}
	if o.whole && n != numEvents {
		j.fault("%s: ends as whole after event %d of %d", r.id, n, numEvents)
	}
	if o.whole {
		j.streams++
	}
}

// finish checks what only the end shows.
func (j *judge) finish() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range j.onces {
		if n := len(j.book.Runs(id)); n > 1 {
			j.fault("%s ran %d times", id, n)
		}
	}
	for _, id := range j.refused {
		if len(j.book.Runs(id)) > 0 && !strings.HasPrefix(id, idempotentPrefix) {
			j.fault("%s was refused as not run and has run", id)
		}
	}
}
