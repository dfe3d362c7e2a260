package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	at      time.Time
	request string
	service string
	server  string
	version string
	bad     bool // it was answered with a failure, or rejected
}

// record keeps what was sent, answered and run, and writes it to a file.
type record struct {
	mu       sync.Mutex
	start    time.Time
	file     *os.File
	out      *bufio.Writer
	sent     map[string]time.Time // by request
	arrivals []*arrival
	sites    []*site // to be ended
}

// endSites ends all processes that the case has started.
func (r *record) endSites() {
	r.mu.Lock()
	sites := r.sites
	r.mu.Unlock()
	for _, s := range sites {
		s.stop()
	}
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f), sent: make(map[string]time.Time)}, nil
}

// note writes a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(time.Now(), format, args...)
}

func (r *record) line(at time.Time, format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line and prints it too.
func (r *record) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) send(request, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.sent[request] = now
	r.line(now, "sent %s %s", request, what)
}

func (r *record) arrive(a *arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.at = time.Now()
	r.arrivals = append(r.arrivals, a)
	r.line(a.at, "reached %s server %s version %s", a.request, a.server, a.version)
}

// end records the status with which a server ended a request.
func (r *record) end(a *arrival, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.bad = status >= 500
	r.line(time.Now(), "run ended %s server %s status %d", a.request, a.server, status)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// exposure is the rule on the requests that a bad version may get.
type exposure struct {
	service, version string
	order            time.Time // when the store confirmed the order
	length           time.Duration
	share            float64 // expose_share
	slack            int     // expose_slack
	rollback         time.Duration
}

// badAnswers is the number of bad answers after which a version is to get no more requests within
// the bound on the rollback.
const badAnswers = 50

// check reports whether the rule holds, and says what was counted. All machines must have been in
// touch all the while.
func (r *record) check(x exposure) bool {
	r.mu.Lock()
	all, bad, answered, late := 0, 0, 0, 0
	var limit time.Time
	arrivals := slices.Clone(r.arrivals)
	slices.SortFunc(arrivals, func(a, b *arrival) int { return a.at.Compare(b.at) })
	var lastLate time.Duration
	for _, a := range arrivals {
		if a.service != x.service || a.at.Before(x.order) {
			continue
		}
		if a.at.Before(x.order.Add(x.length)) {
			all++
		}
		if a.version != x.version {
			continue
		}
		if a.at.Before(x.order.Add(x.length)) {
			bad++
		}
		if sent, ok := r.sent[a.request]; ok && !limit.IsZero() && sent.After(limit) {
			late++
			lastLate = sent.Sub(limit) + x.rollback
		}
		if a.bad {
			if answered++; answered == badAnswers {
				limit = a.at.Add(x.rollback)
			}
		}
	}
	r.mu.Unlock()
	most := x.share*float64(all) + float64(x.slack)
	r.say("EXPOSURE: version %s got %d of %d requests of service %s between the order and its end; at most %.0f are allowed", x.version, bad, all, x.service, most)
	r.say("EXPOSURE: version %s gave %d bad answers; %d requests that were sent later than %v after bad answer %d reached it, the last one sent %v after it", x.version, answered, late, x.rollback, badAnswers, lastLate.Round(time.Millisecond))
	return float64(bad) <= most && late == 0
}
