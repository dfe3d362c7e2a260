package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"quetzalhold/platform/platformtest"
)

// request is one HTTP request that a caller sends.
type request struct {
	id         string
	atMostOnce bool // not idempotent: no server may run it twice
	stream     bool
	lastEvent  int // number of the last event that the caller has received; 0 for a new stream
	vm         int // index of the gateway
	process    int // number of the gateway process that the request was sent to
	key        string
	calm       bool          // nothing disturbs it
	pause      time.Duration // after each of the first events of a stream that is read slowly
}

// outcome is the response that the caller received.
type outcome struct {
	status   int
	body     string
	complete bool // the body was read to its end without an error
}

// checker collects violations of the gateway's guarantees from the responses that
// callers receive and the requests that servers run. It is safe for concurrent use.
type checker struct {
	recorder  *platformtest.Recorder
	numbering platformtest.Numbering

	mu          sync.Mutex
	refused     []string       // ids of requests that were answered with status 503 or 429, as not run
	atMostOnce  []string       // ids of requests that are not idempotent
	newestEpoch map[string]int // newest configuration that each gateway process is known to have used, by processKey
	violations  []string
	requests    int
	served      int
	streams     int
}

func (j *checker) violation(format string, args ...any) {
	j.violations = append(j.violations, fmt.Sprintf(format, args...))
}

// knownEpoch returns the newest configuration that a gateway process is known to
// have used.
func (j *checker) knownEpoch(vm, start int) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.newestEpoch[processKey(vm, start)]
}

func processKey(vm, start int) string { return fmt.Sprintf("%d.%d", vm, start) }

// epochs holds the numbers of the configurations that matter for one request, and
// whether the gateway restarted during it.
type epochs struct {
	own         int  // configuration that the request's key belongs to
	before      int  // newest that the gateway process was known to use when the request was sent
	newest      int  // newest that had been written to the store when the response arrived
	sameProcess bool // the gateway process did not restart during the request
}

// check checks the response to one request. A configuration may take some seconds to
// be in force, so only going back is a violation: a process that has used one
// configuration must not use an older one afterwards.
func (j *checker) check(r request, o outcome, k epochs) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests++
	if r.atMostOnce {
		j.atMostOnce = append(j.atMostOnce, r.id)
	}
	switch o.status {
	case http.StatusOK:
		j.served++
		j.checkBody(r, o)
		if k.sameProcess && k.own < k.before {
			j.violation("%s: served by a configuration older than the process had shown (%d after %d)", r.id, k.own, k.before)
		}
		if k.sameProcess {
			j.recordEpoch(r, k.own)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		j.refused = append(j.refused, r.id)
	case http.StatusUnauthorized:
		if k.sameProcess && k.own == k.newest && k.before >= k.own {
			j.violation("%s: the newest key was refused after the process had shown that it knows it", r.id)
		}
	}
}

// recordEpoch records that a gateway process has used a configuration.
func (j *checker) recordEpoch(r request, epoch int) {
	p := processKey(r.vm, r.process)
	j.newestEpoch[p] = max(j.newestEpoch[p], epoch)
}

// checkBody checks the body of a successful response.
func (j *checker) checkBody(r request, o outcome) {
	if !r.stream {
		if want := "answer to " + r.id; o.complete && o.body != want {
			j.violation("%s: got %q", r.id, o.body)
		}
		return
	}
	n := r.lastEvent
	for rest := platformtest.WithoutComments(o.body); rest != ""; {
		next := j.numbering.Event(prompt, n+1)
		if !strings.HasPrefix(rest, next) {
			if o.complete || strings.Contains(rest, "\n\n") {
				j.violation("%s: after event %d comes %q", r.id, n, rest[:min(len(rest), 80)])
			}
			return // the connection broke within an event
		}
		rest = rest[len(next):]
		n++
	}
	if r.calm && !o.complete {
		j.violation("%s: cut off after event %d of %d, though nothing disturbs it", r.id, n, streamEvents)
	}
	if o.complete && n != streamEvents {
		j.violation("%s: ends as whole after event %d of %d", r.id, n, streamEvents)
	}
	if o.complete {
		j.streams++
	}
}

// finish checks, after the run, how often the servers ran each request.
func (j *checker) finish() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range j.atMostOnce {
		if n := len(j.recorder.Runs(id)); n > 1 {
			j.violation("%s ran %d times", id, n)
		}
	}
	for _, id := range j.refused {
		if len(j.recorder.Runs(id)) > 0 && !strings.HasPrefix(id, idempotentPrefix) {
			j.violation("%s was refused as not run and has run", id)
		}
	}
}
