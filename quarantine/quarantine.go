// Package quarantine finds the parts of prompts that crash the engines which begin to answer
// them, so that requests with such a part are not sent to further engines. It does no I/O.
package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhold/engine"
	"quetzalhold/result"
	"quetzalhold/routing"
)

// PartID identifies a part of a prompt that several requests may share.
type PartID string

// Fingerprint identifies a request by what a caller repeats when it sends the request again.
type Fingerprint string

// NewFingerprint returns the fingerprint of a request. Requests of different organisations never
// share one, since a hash of 64 bits can be made to collide.
func NewFingerprint(o routing.Organisation, method, uri string, body []byte) Fingerprint {
	h := xxhash.New()
	// Write never fails.
	_, _ = fmt.Fprintf(h, "%s %s\n", method, uri)
	_, _ = h.Write(body)
	return Fingerprint(fmt.Sprintf("%016x%016x", xxhash.Sum64String(string(o)), h.Sum64()))
}

// Name identifies a crash among all entry VMs.
type Name string

// UnixMilli is an instant in Unix milliseconds. It outlives the process that recorded it.
type UnixMilli int64

// Crash is the loss of an engine while it began to answer a request.
type Crash struct {
	Service routing.ServiceName `json:"service"`
	Request engine.RequestID    `json:"request"`
	Server  engine.ServerID     `json:"server"`
	Start   engine.Incarnation  `json:"start"`
	// Parts are the parts of the prompt that may have caused it.
	Parts []PartID `json:"parts"`
	// Until is when the crash is no longer held against its parts.
	Until UnixMilli `json:"untilMs"`
}

// Limits of one crash, which other processes report.
const (
	maxParts  = 32
	maxIDSize = 256 // bytes
)

// Check returns the first reason why the crash is invalid, or nil.
func (c *Crash) Check() error {
	switch {
	case c.Service == "" || c.Server == "" || len(c.Parts) == 0:
		return result.New(result.MissingField, "crash of server %q of service %q with %d parts", c.Server, c.Service, len(c.Parts))
	case len(c.Parts) > maxParts:
		return result.New(result.OutOfRange, "%d parts", len(c.Parts)).WithField("parts")
	}
	for _, p := range c.Parts {
		if len(p) > maxIDSize {
			return result.New(result.OutOfRange, "a part's id of %d bytes", len(p)).WithField("parts")
		}
	}
	return nil
}

// Name returns the crash's name.
func (c *Crash) Name() Name {
	return Name(fmt.Sprintf("%s.%d.%016x", c.Server, c.Start, xxhash.Sum64String(string(c.Request))))
}

// incarnation is one start of a server.
type incarnation struct {
	server engine.ServerID
	start  engine.Incarnation
}

func (c *Crash) incarnation() incarnation { return incarnation{c.Server, c.Start} }

// partKey identifies a part of the prompts of a service.
type partKey struct {
	service routing.ServiceName
	part    PartID
}

// record is a crash with what this entry VM knows about it.
type record struct {
	Crash
	// suspects are the parts under which no engine has begun an answer since. A record without
	// suspects is kept until the other entry VMs have dropped the crash too.
	suspects []PartID
	// shared is set once the crash was in the list of the store or of another entry VM.
	shared bool
}

// The thresholds of the quarantine.
const (
	// blockAfter is the number of engines that may crash under a part before it is blocked. One
	// or two may have crashed for another reason at that moment.
	blockAfter = 3
	// holdFor is how long a crash is held against its parts.
	holdFor = 10 * time.Minute
	// soundFor is how long after an answer began under a part a crash is not attributed to it.
	soundFor = time.Second
	// maxCrashes and maxSound bound what is remembered.
	maxCrashes = 512
	maxSound   = 8192
)

// List holds the crashes and decides which requests are blocked. Its zero value is an empty
// list. Its methods are safe for concurrent use.
type List struct {
	mu      sync.RWMutex
	records map[Name]*record
	soundAt map[partKey]time.Time // when an engine last got past the beginning of an answer
}

// Observe returns the crash of a server that was lost while it began to answer a request with
// the given parts, and adds it to the list. It returns false if all parts were found sound just
// before: then the server crashed for another reason.
func (l *List) Observe(now time.Time, c Crash) (Crash, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var suspects []PartID
	for _, p := range c.Parts {
		at, ok := l.soundAt[partKey{c.Service, p}]
		if (!ok || now.Sub(at) >= soundFor) && !slices.Contains(suspects, p) {
			suspects = append(suspects, p)
		}
	}
	c.Parts, c.Until = suspects, UnixMilli(now.Add(holdFor).UnixMilli())
	if c.Check() != nil || !l.add(c, false) {
		return c, false
	}
	return c, true
}

// Add adds a crash that another entry VM has observed. It reports whether it is new.
func (l *List) Add(c Crash) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.add(c, false)
}

func (l *List) add(c Crash, shared bool) bool {
	if r := l.records[c.Name()]; r != nil {
		r.shared = r.shared || shared
		return false
	}
	if l.records == nil {
		l.records = make(map[Name]*record)
	}
	if len(l.records) >= maxCrashes {
		l.dropOldest()
	}
	l.records[c.Name()] = &record{Crash: c, suspects: slices.Clone(c.Parts), shared: shared}
	return true
}

func (l *List) dropOldest() {
	var oldest Name
	for n, r := range l.records {
		if oldest == "" || r.Until < l.records[oldest].Until {
			oldest = n
		}
	}
	delete(l.records, oldest)
}

// MarkShared adds a crash that the store, or another entry VM's list, holds.
func (l *List) MarkShared(c Crash) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.add(c, true)
}

// Remove removes a crash that the store no longer holds. It reports whether it was known.
func (l *List) Remove(n Name) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.records[n]
	delete(l.records, n)
	return ok
}

// Replace takes over the complete list of the store or of another entry VM, and reports whether
// that changed anything. Crashes that the list lacks are removed unless they have not been in
// one before. With keep, as after the store was restored from an older copy, they are kept, to be
// shared again.
func (l *List) Replace(list []Crash, keep bool) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := make(map[Name]bool, len(list))
	for i := range list {
		listed[list[i].Name()] = true
		changed = l.add(list[i], true) || changed
	}
	for n, r := range l.records {
		switch {
		case listed[n] || !r.shared:
		case keep:
			r.shared = false
		default:
			delete(l.records, n)
			changed = true
		}
	}
	return changed
}

// MarkSound records that an engine got past the beginning of an answer to a request with the
// given parts: none of them crashes engines. It reports whether that clears a crash.
func (l *List) MarkSound(now time.Time, service routing.ServiceName, parts []PartID) (cleared bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.soundAt == nil || len(l.soundAt) >= maxSound {
		l.soundAt = make(map[partKey]time.Time)
	}
	for _, p := range parts {
		l.soundAt[partKey{service, p}] = now
	}
	for n, r := range l.records {
		if r.Service != service || len(r.suspects) == 0 {
			continue
		}
		r.suspects = slices.DeleteFunc(r.suspects, func(p PartID) bool { return slices.Contains(parts, p) })
		if len(r.suspects) > 0 {
			continue
		}
		cleared = true
		if !r.shared {
			delete(l.records, n)
		}
	}
	return cleared
}

// Clear records that another entry VM has found all parts of a crash sound. It reports whether
// that was not known.
func (l *List) Clear(n Name) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[n]
	if r == nil || len(r.suspects) == 0 {
		return false
	}
	r.suspects = nil
	return true
}

// Expire removes the crashes that are no longer held against their parts, and returns their
// names.
func (l *List) Expire(now time.Time) []Name {
	l.mu.Lock()
	defer l.mu.Unlock()
	var expired []Name
	for n, r := range l.records {
		if r.Until <= UnixMilli(now.UnixMilli()) {
			delete(l.records, n)
			expired = append(expired, n)
		}
	}
	return expired
}

// All returns the crashes that have suspects, to be sent to other entry VMs.
func (l *List) All() []Crash {
	return l.selected(func(r *record) bool { return len(r.suspects) > 0 })
}

// Unshared returns the crashes that are in no other list as far as is known.
func (l *List) Unshared() []Crash {
	return l.selected(func(r *record) bool { return !r.shared && len(r.suspects) > 0 })
}

// Cleared returns the names of the crashes without suspects.
func (l *List) Cleared() []Name {
	var names []Name
	for _, c := range l.selected(func(r *record) bool { return len(r.suspects) == 0 }) {
		names = append(names, c.Name())
	}
	return names
}

func (l *List) selected(keep func(*record) bool) []Crash {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []Crash
	for _, n := range slices.Sorted(maps.Keys(l.records)) {
		if r := l.records[n]; keep(r) {
			list = append(list, r.Crash)
		}
	}
	return list
}

// Block is the reason why a request is blocked.
type Block struct {
	Part    PartID
	Crashes int       // engines that crashed under the part
	Until   time.Time // when the request may be sent again
}

// Blocked reports whether a request with the given parts is not to be sent, since one of them
// has crashed blockAfter engines. A part is not blocked while each of its crashes is explained by
// another part that has crashed as many engines and that the request lacks: requests that share
// the other parts of those that crash engines remain served.
func (l *List) Blocked(now time.Time, service routing.ServiceName, parts []PartID) (Block, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if len(l.records) < blockAfter || len(parts) == 0 {
		return Block{}, false
	}
	counts := make(map[PartID]int)
	for _, p := range parts {
		n := l.count(counts, now, service, p)
		if n < blockAfter || l.explained(counts, now, service, p, parts) {
			continue
		}
		return Block{Part: p, Crashes: n, Until: l.blockedUntil(now, service, p)}, true
	}
	return Block{}, false
}

// each calls f for the crashes held against a part, until f returns false.
func (l *List) each(now time.Time, service routing.ServiceName, p PartID, f func(*record) bool) {
	at := UnixMilli(now.UnixMilli())
	for _, r := range l.records {
		if r.Service == service && at < r.Until && slices.Contains(r.suspects, p) && !f(r) {
			return
		}
	}
}

// count returns how many starts of servers crashed under a part.
func (l *List) count(counts map[PartID]int, now time.Time, service routing.ServiceName, p PartID) int {
	if n, ok := counts[p]; ok {
		return n
	}
	starts := make(map[incarnation]bool)
	l.each(now, service, p, func(r *record) bool {
		starts[r.incarnation()] = true
		return true
	})
	counts[p] = len(starts)
	return len(starts)
}

// explained reports whether all crashes of part p are explained by parts that the request lacks.
func (l *List) explained(counts map[PartID]int, now time.Time, service routing.ServiceName, p PartID, parts []PartID) bool {
	all := true
	l.each(now, service, p, func(r *record) bool {
		all = slices.ContainsFunc(r.suspects, func(o PartID) bool {
			return !slices.Contains(parts, o) && l.count(counts, now, service, o) >= l.count(counts, now, service, p)
		})
		return all
	})
	return all
}

// blockedUntil returns when so many crashes of a part have expired that it is no longer blocked.
func (l *List) blockedUntil(now time.Time, service routing.ServiceName, p PartID) time.Time {
	var until []UnixMilli
	l.each(now, service, p, func(r *record) bool {
		until = append(until, r.Until)
		return true
	})
	slices.Sort(until)
	return time.UnixMilli(int64(until[len(until)-blockAfter]))
}
