// Package quarantine finds the requests, and the parts of prompts, that crash the servers which
// begin to answer them, so that they are not sent to further servers. It does no I/O.
package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhold/engine"
	"quetzalhold/result"
	"quetzalhold/routing"
)

// Suspect identifies what may crash servers: a part of a prompt, or a whole request.
type Suspect string

// requestPrefix is the prefix of suspects that are whole requests.
const requestPrefix = "request:"

// maxParts is the number of parts of a prompt that are looked at, from its beginning and its end. Prompts of so many
// parts hardly fit into a head of a request.
const maxParts = 2048

// Parts returns the suspects for the parts of a prompt with the given IDs. IDs that are too long, or could be mistaken
// for a request, are left out: callers choose them.
func Parts(ids []string) []Suspect {
	if len(ids) > maxParts {
		ids = slices.Concat(ids[:maxParts/2], ids[len(ids)-maxParts/2:])
	}
	var parts []Suspect
	for _, id := range ids {
		if !Suspect(id).IsRequest() && len(id) <= maxIDSize {
			parts = append(parts, Suspect(id))
		}
	}
	return parts
}

// IsRequest reports whether the suspect is a whole request.
func (s Suspect) IsRequest() bool { return strings.HasPrefix(string(s), requestPrefix) }

// Fingerprint identifies a request by what a caller repeats when it sends the request again.
type Fingerprint string

// Suspect returns the suspect for the request.
func (f Fingerprint) Suspect() Suspect { return Suspect(requestPrefix + f) }

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

// Crash is the loss of a server while it began to answer a request.
type Crash struct {
	Service routing.ServiceName `json:"service"`
	Request engine.RequestID    `json:"request"`
	Server  engine.ServerID     `json:"server"`
	Start   engine.Incarnation  `json:"start"`
	// Suspects are what may have caused it: the request, and parts of its prompt.
	Suspects []Suspect `json:"parts"`
	// Waiting are the parts of its prompt in a crash made by [Crash.OfWaiting]. Entry VMs of an earlier
	// version neither send nor read them.
	Waiting []Suspect `json:"waitingParts,omitempty"`
	// More are those of a long prompt for which there is no room in Suspects or Waiting. Entry VMs of an
	// earlier version neither send nor read them.
	More []Suspect `json:"moreParts,omitempty"`
	// Until is when the crash is no longer held against its suspects.
	Until UnixMilli `json:"untilMs"`
	// Trial is set for the claim of a trial, which is no crash: Start is then its number.
	Trial bool `json:"trial,omitempty"`
}

// Limits of one crash, which other processes report.
const (
	maxSuspects  = 32
	maxMore      = 224
	maxMoreBytes = 4096 // of the ids of More
	maxIDSize    = 256  // bytes
)

// Check returns the first reason why the crash is invalid, or nil.
func (c *Crash) Check() error {
	switch {
	case c.Service == "" || c.Server == "" || len(c.Suspects) == 0:
		return result.New(result.MissingField, "crash of server %q of service %q with %d suspects", c.Server, c.Service, len(c.Suspects))
	case len(c.Suspects) > maxSuspects:
		return result.New(result.OutOfRange, "%d suspects", len(c.Suspects)).WithField("parts")
	case len(c.Waiting) > maxSuspects:
		return result.New(result.OutOfRange, "%d suspects", len(c.Waiting)).WithField("waitingParts")
	case len(c.More) > maxMore:
		return result.New(result.OutOfRange, "%d suspects", len(c.More)).WithField("moreParts")
	}
	for _, s := range slices.Concat(c.Suspects, c.Waiting, c.More) {
		if len(s) > maxIDSize {
			return result.New(result.OutOfRange, "a suspect's id of %d bytes", len(s)).WithField("parts")
		}
	}
	return nil
}

// OfWaiting returns the crash as it is held against the parts of the request's prompt if nothing of an
// answer had come: then the server may have been lost for any reason. Its only other suspect matches no
// request, so that the two crashes are cleared apart.
func (c Crash) OfWaiting(parts []Suspect) Crash {
	c.Waiting = parts
	c.Suspects = []Suspect{c.Suspects[0] + waitingSuffix}
	c.Request += waitingSuffix
	return c
}

const waitingSuffix = "/waiting"

// waiting reports whether it is a crash made by OfWaiting.
func (c *Crash) waiting() bool { return len(c.Waiting) > 0 }

// held returns the suspects against which the crash is held.
func (c *Crash) held() []Suspect {
	if c.waiting() {
		return slices.Concat(c.Waiting, c.More)
	}
	return slices.Concat(c.Suspects, c.More)
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

// key identifies a suspect. Parts of prompts are those of a service; a request may crash the
// servers of each service that it is sent to.
type key struct {
	service routing.ServiceName
	suspect Suspect
}

func keyOf(service routing.ServiceName, s Suspect) key {
	if s.IsRequest() {
		return key{suspect: s}
	}
	return key{service, s}
}

// record is a crash with what this entry VM knows about it.
type record struct {
	Crash
	// suspects are those under which no server has begun an answer since. A record without
	// suspects is kept until the other entry VMs have dropped the crash too.
	suspects []Suspect
	addedAt  time.Time
	// unconfirmed is set until the server is known to be lost.
	unconfirmed bool
	// reported is set once the crash was reported to another entry VM, and shared once it was in
	// the list of the store or of another entry VM.
	reported, shared bool
	lastReport       int64 // number of the last report that had it or its clearing; 0 for none
}

// request returns the request that was lost with the server: its suspect, or the caller's name
// for it if it is not known as a suspect; "" if it was found sound.
func (r *record) request() Suspect {
	if r.waiting() {
		return r.Suspects[0]
	}
	if i := slices.IndexFunc(r.Suspects, Suspect.IsRequest); i < 0 {
		return Suspect(r.Request)
	} else if slices.Contains(r.suspects, r.Suspects[i]) {
		return r.Suspects[i]
	}
	return ""
}

// The thresholds of the quarantine.
const (
	// blockAfter is the number of servers that may crash under a suspect before it is blocked.
	// One or two may have crashed for another reason at that moment.
	blockAfter = 3
	// lossSpan is how far apart servers may be lost for one reason, such as the loss of a failure domain.
	lossSpan = 2 * time.Second
	// holdFor is how long a crash is held against its suspects.
	holdFor = 10 * time.Minute
	// soundFor is how long after an answer began under a suspect a crash is not attributed to it, and
	// soundWaitingFor the same for a server of whose answer nothing had come.
	soundFor        = time.Second
	soundWaitingFor = 3 * time.Second
	// settleFor is how long the only crash of its suspects is not listed for others: most are
	// found sound by then, when the request runs at another server.
	settleFor = 1500 * time.Millisecond
	// clearedFor is how long a crash that is in no list is still reported as cleared.
	clearedFor = 10 * time.Second
	maxCrashes = 512
	// maxSound bounds the suspects that are remembered as sound in one period, which is shorter then.
	maxSound = 16384
)

// trialDelays are how long after the last crash, or trial, a blocked suspect may be tried again: for
// the first trial, the second, and so on. There are no further ones.
var trialDelays = [...]time.Duration{5 * time.Second, 20 * time.Second}

// trialServer takes the place of the server in the claim of a trial.
const trialServer engine.ServerID = "trial"

// newTrial returns the claim of a suspect's n-th trial. Its name is the same at all entry VMs, so
// that only one of them can create it in the store.
func newTrial(now time.Time, service routing.ServiceName, s Suspect, n int) Crash {
	id := string(s)
	if !s.IsRequest() {
		id = string(service) + "/" + id
	}
	return Crash{
		Service: service, Request: engine.RequestID(id), Server: trialServer, Start: engine.Incarnation(n),
		Suspects: []Suspect{s}, Until: UnixMilli(now.Add(holdFor).UnixMilli()), Trial: true,
	}
}

// List holds the crashes and decides which requests are blocked. Its zero value is an empty
// list. Its methods are safe for concurrent use.
type List struct {
	mu      sync.RWMutex
	records map[Name]*record
	// sound holds the suspects that servers got past the beginning of an answer to, in the
	// current period of soundWaitingFor and in the one before.
	sound, soundBefore map[key]time.Time
	soundTurn          time.Time
	changed            chan struct{} // closed when a suspect becomes blocked
	reports            int64         // made so far
}

// Observe returns the crash of a server that was lost while it began to answer a request with
// the given suspects, and adds it to the list. It returns false if all of them were found sound
// just before: then the server crashed for another reason.
func (l *List) Observe(now time.Time, c Crash) (Crash, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.observe(now, c)
}

// ObserveUnconfirmed is like Observe for a server that may not be lost. The crash counts, but is neither listed for others
// nor reported to them until it is confirmed.
func (l *List) ObserveUnconfirmed(now time.Time, c Crash) (Crash, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.observe(now, c)
	if ok {
		l.records[c.Name()].unconfirmed = true
	}
	return c, ok
}

func (l *List) observe(now time.Time, c Crash) (Crash, bool) {
	list, since := &c.Suspects, now.Add(-soundFor)
	if c.waiting() {
		list, since = &c.Waiting, now.Add(-soundWaitingFor)
	}
	var suspects []Suspect
	seen := make(map[Suspect]bool, len(*list))
	for _, s := range *list {
		if !seen[s] && !l.soundSince(since, keyOf(c.Service, s)) {
			suspects = append(suspects, s)
		}
		seen[s] = true
	}
	if len(suspects) == 0 {
		return c, false
	}
	*list, c.More = l.fit(now, &c, suspects)
	c.Until = UnixMilli(now.Add(holdFor).UnixMilli())
	if c.Check() != nil || !l.add(now, c, false) {
		return c, false
	}
	return c, true
}

// fit returns as many suspects of a crash as fit into it, in two lists. The request comes first, then the suspects of other
// crashes. The rest is taken from the end and the beginning of the prompt, and, if that is not enough, at intervals from its
// middle, other ones in each crash.
func (l *List) fit(now time.Time, c *Crash, suspects []Suspect) (list, more []Suspect) {
	if len(suspects) <= maxSuspects {
		return suspects, nil
	}
	counts := l.counts(now, c.Service)
	var known, others []Suspect
	for _, s := range suspects {
		switch {
		case s.IsRequest():
			list = append(list, s)
		case counts[s] > 0:
			known = append(known, s)
		default:
			others = append(others, s)
		}
	}
	room := maxSuspects + maxMore - len(list) - len(known)
	ordered := slices.Concat(list, known, sample(others, room, xxhash.Sum64String(string(c.Name()))))
	n := min(len(ordered), maxSuspects)
	list, size := ordered[:n:n], 0
	for _, s := range ordered[n:min(len(ordered), maxSuspects+maxMore)] {
		if size += len(s); size <= maxMoreBytes {
			more = append(more, s)
		}
	}
	return list, more
}

// sample returns n of some suspects: all by turns from the end and the beginning, or, if there are more, half of them so
// and the others at equal intervals between, which begin at an offset.
func sample(list []Suspect, n int, offset uint64) []Suspect {
	if n <= 0 {
		return nil
	}
	ends := len(list)
	if ends > n {
		ends = (n + 1) / 2
	}
	chosen := make([]Suspect, 0, n)
	first, last := 0, len(list)
	for len(chosen) < ends {
		if len(chosen)%2 == 0 {
			last--
			chosen = append(chosen, list[last])
		} else {
			chosen = append(chosen, list[first])
			first++
		}
	}
	middle := list[first:last]
	if rest := n - ends; rest > 0 && len(middle) > 0 {
		step := (len(middle) + rest - 1) / rest
		for i := int(offset % uint64(step)); i < len(middle); i += step {
			chosen = append(chosen, middle[i])
		}
	}
	return chosen
}

// counts returns how many crashes are held against each suspect that has any.
func (l *List) counts(now time.Time, service routing.ServiceName) map[Suspect]int {
	at, counts := UnixMilli(now.UnixMilli()), make(map[Suspect]int)
	for _, r := range l.records {
		if r.Trial || at >= r.Until {
			continue
		}
		for _, s := range r.suspects {
			if r.Service == service || s.IsRequest() {
				counts[s]++
			}
		}
	}
	return counts
}

// Confirm records that the server of a crash is lost.
func (l *List) Confirm(n Name) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[n]; r != nil {
		r.unconfirmed = false
	}
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// soundSince reports whether a server got past the beginning of an answer to a suspect since an instant.
func (l *List) soundSince(then time.Time, k key) bool {
	at, ok := l.sound[k]
	if !ok {
		at, ok = l.soundBefore[k]
	}
	return ok && at.After(then)
}

// Add adds a crash that another entry VM has observed. It reports whether it is new.
func (l *List) Add(now time.Time, c Crash) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.add(now, c, false)
}

func (l *List) add(now time.Time, c Crash, shared bool) bool {
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
	l.records[c.Name()] = &record{Crash: c, suspects: c.held(), addedAt: now, shared: shared}
	if l.changed == nil {
		return true
	}
	counts := l.counts(now, c.Service)
	if slices.ContainsFunc(c.held(), func(s Suspect) bool { return counts[s] >= blockAfter && len(l.starts(now, c.Service, s)) >= blockAfter }) {
		close(l.changed)
		l.changed = nil
	}
	return true
}

// Changed returns a channel that is closed when a suspect may have become blocked.
func (l *List) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
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
func (l *List) MarkShared(now time.Time, c Crash) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.add(now, c, true)
}

// Holds reports whether a crash is held against suspects.
func (l *List) Holds(n Name) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	r := l.records[n]
	return r != nil && len(r.suspects) > 0
}

// MarkWritten records that the store holds a crash. One that was cleared and forgotten meanwhile is then among
// those of Cleared.
func (l *List) MarkWritten(now time.Time, c Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.add(now, c, true) {
		l.records[c.Name()].suspects = nil
	}
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
func (l *List) Replace(now time.Time, list []Crash, keep bool) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := make(map[Name]bool, len(list))
	for i := range list {
		listed[list[i].Name()] = true
		changed = l.add(now, list[i], true) || changed
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

// MarkSound records that a server got past the beginning of an answer to a request with the
// given suspects: none of them crashes servers. It reports whether that clears a crash.
func (l *List) MarkSound(now time.Time, service routing.ServiceName, suspects []Suspect) (cleared bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sound == nil || now.Sub(l.soundTurn) >= soundWaitingFor || len(l.sound) >= maxSound {
		l.sound, l.soundBefore, l.soundTurn = make(map[key]time.Time), l.sound, now
	}
	for _, s := range suspects {
		l.sound[keyOf(service, s)] = now
	}
	if len(l.records) == 0 {
		return false
	}
	isSound := setOf(suspects)
	for n, r := range l.records {
		if len(r.suspects) == 0 {
			continue
		}
		r.suspects = slices.DeleteFunc(r.suspects, func(s Suspect) bool {
			return (r.Service == service || s.IsRequest()) && isSound[s]
		})
		if len(r.suspects) > 0 {
			continue
		}
		cleared = true
		l.clear(now, n, r)
	}
	return cleared
}

func setOf(suspects []Suspect) map[Suspect]bool {
	set := make(map[Suspect]bool, len(suspects))
	for _, s := range suspects {
		set[s] = true
	}
	return set
}

// clear drops a record without suspects, unless other entry VMs may hold the crash.
func (l *List) clear(now time.Time, n Name, r *record) {
	switch {
	case r.shared:
	case r.reported:
		r.Until = UnixMilli(now.Add(clearedFor).UnixMilli())
	default:
		delete(l.records, n)
	}
}

// Clear records that all suspects of a crash were found sound by another entry VM, or that it was no
// crash. It reports whether that was not known.
func (l *List) Clear(now time.Time, n Name) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[n]
	if r == nil || len(r.suspects) == 0 {
		return false
	}
	r.suspects = nil
	l.clear(now, n, r)
	return true
}

// Expire removes the crashes that are no longer held against their suspects, and returns the names
// of those that are in another list.
func (l *List) Expire(now time.Time) []Name {
	l.mu.Lock()
	defer l.mu.Unlock()
	var expired []Name
	for n, r := range l.records {
		if r.Until > UnixMilli(now.UnixMilli()) {
			continue
		}
		delete(l.records, n)
		if r.shared {
			expired = append(expired, n)
		}
	}
	return expired
}

// Listed returns the crashes to be listed for other entry VMs: those that have suspects, unless
// one is the only crash of its suspects and settleFor has not passed.
func (l *List) Listed(now time.Time) []Crash {
	return l.selected(func(r *record) bool { return l.listed(now, r) })
}

// Unwritten returns the crashes to be listed that are in no other list as far as is known.
func (l *List) Unwritten(now time.Time) []Crash {
	return l.selected(func(r *record) bool { return !r.shared && l.listed(now, r) })
}

func (l *List) listed(now time.Time, r *record) bool {
	if len(r.suspects) == 0 || r.unconfirmed {
		return false
	}
	return r.shared || now.Sub(r.addedAt) >= settleFor ||
		slices.ContainsFunc(r.suspects, func(s Suspect) bool { return l.crashes(now, r.Service, s) > 1 })
}

// Report returns crashes that are in no other list as far as is known, and the names of crashes
// that were found sound, to be reported to another entry VM; of each, most at most, those first that
// were not in a report for the longest time.
func (l *List) Report(most int) (observed []Crash, cleared []Name) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports++
	names := slices.SortedFunc(maps.Keys(l.records), func(a, b Name) int {
		return cmp.Or(cmp.Compare(l.records[a].lastReport, l.records[b].lastReport), cmp.Compare(a, b))
	})
	for _, n := range names {
		switch r := l.records[n]; {
		case len(r.suspects) == 0 && len(cleared) < most:
			r.lastReport = l.reports
			cleared = append(cleared, n)
		case len(r.suspects) > 0 && !r.shared && !r.unconfirmed && len(observed) < most:
			r.reported, r.lastReport = true, l.reports
			observed = append(observed, r.Crash)
		}
	}
	return observed, cleared
}

// Cleared returns the names of the crashes without suspects that are in another list.
func (l *List) Cleared() []Name {
	var names []Name
	for _, c := range l.selected(func(r *record) bool { return r.shared && len(r.suspects) == 0 }) {
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
	Suspect Suspect
	Crashes int // servers that crashed under the suspect, as counted
	// Until is when the request may be sent again: as a trial, or since crashes have expired.
	Until time.Time
	// Trial is to be claimed from Until on by the entry VM that sends the request then.
	Trial Crash
	// Unconfirmed reports whether it is not known yet if so many servers were lost. It is soon.
	Unconfirmed bool
}

// Blocked reports whether a request with the given suspects is not to be sent, since one of them
// has crashed blockAfter servers. Requests that share parts with those that crash engines remain
// served: a part is not blocked unless blockAfter different requests are needed to explain its
// crashes, nor while each of these is explained by another part that has crashed as many servers
// and that the request lacks. Of several blocks, the one that lasts longest is returned, confirmed ones before others.
func (l *List) Blocked(now time.Time, service routing.ServiceName, suspects []Suspect) (Block, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if len(l.records) < blockAfter {
		return Block{}, false
	}
	var longest Block
	counts := l.counts(now, service)
	asked := setOf(suspects)
	for _, s := range suspects {
		if counts[s] < blockAfter {
			continue
		}
		n := l.crashes(now, service, s)
		if n < blockAfter || !s.IsRequest() && (l.requests(now, service, s) < blockAfter || l.explained(now, service, s, n, asked)) {
			continue
		}
		b := Block{Suspect: s, Crashes: n}
		b.Unconfirmed = l.confirmed(now, service, s) < blockAfter
		b.Until, b.Trial = l.blockedUntil(now, service, s)
		if longest.Crashes == 0 || longest.Unconfirmed && !b.Unconfirmed || longest.Unconfirmed == b.Unconfirmed && b.Until.After(longest.Until) {
			longest = b
		}
	}
	return longest, longest.Crashes > 0
}

// crashes returns how many servers crashed under a suspect. Those that were lost before anything of an
// answer had come count once if they were lost together: whatever takes many servers takes requests
// with common parts along.
func (l *List) crashes(now time.Time, service routing.ServiceName, s Suspect) int {
	begun := make(map[incarnation]bool)
	waiting := make(map[incarnation]UnixMilli)
	l.each(now, service, s, func(r *record) bool {
		if !r.waiting() {
			begun[r.incarnation()] = true
		} else if until, ok := waiting[r.incarnation()]; !ok || r.Until < until {
			waiting[r.incarnation()] = r.Until
		}
		return true
	})
	var lost []UnixMilli
	for i, until := range waiting {
		if !begun[i] {
			lost = append(lost, until)
		}
	}
	n := len(begun)
	slices.Sort(lost)
	for i, first := 0, UnixMilli(0); i < len(lost); i++ {
		if i == 0 || lost[i]-first > UnixMilli(lossSpan.Milliseconds()) {
			first = lost[i]
			n++
		}
	}
	return n
}

// each calls f for the crashes held against a suspect, until f returns false.
func (l *List) each(now time.Time, service routing.ServiceName, s Suspect, f func(*record) bool) {
	at := UnixMilli(now.UnixMilli())
	for _, r := range l.records {
		if !r.Trial && r.holds(service, s, at) && !f(r) {
			return
		}
	}
}

// holds reports whether the record is held against a suspect.
func (r *record) holds(service routing.ServiceName, s Suspect, at UnixMilli) bool {
	return (r.Service == service || s.IsRequest()) && at < r.Until && slices.Contains(r.suspects, s)
}

// starts returns the starts of servers that crashed under a suspect.
func (l *List) starts(now time.Time, service routing.ServiceName, s Suspect) map[incarnation]bool {
	starts := make(map[incarnation]bool)
	l.each(now, service, s, func(r *record) bool {
		starts[r.incarnation()] = true
		return true
	})
	return starts
}

// confirmed returns how many starts of servers are known to have crashed under a suspect.
func (l *List) confirmed(now time.Time, service routing.ServiceName, s Suspect) int {
	starts := make(map[incarnation]bool)
	l.each(now, service, s, func(r *record) bool {
		if !r.unconfirmed {
			starts[r.incarnation()] = true
		}
		return true
	})
	return len(starts)
}

// requests returns how many different requests it takes to explain all crashes of a part. A server
// that crashes takes all requests on it along, so that not each of them has to be to blame.
func (l *List) requests(now time.Time, service routing.ServiceName, part Suspect) int {
	left, at := l.starts(now, service, part), UnixMilli(now.UnixMilli())
	lost := make(map[Suspect]map[incarnation]bool) // by request: servers that were lost with it
	for _, r := range l.records {
		if at >= r.Until || !left[r.incarnation()] {
			continue
		}
		by := r.request()
		if by == "" && !slices.Contains(r.suspects, part) {
			continue
		}
		if lost[by] == nil {
			lost[by] = make(map[incarnation]bool)
		}
		lost[by][r.incarnation()] = true
	}
	n := 0
	for ; len(left) > 0; n++ {
		var most Suspect
		shared := 0
		for _, by := range slices.Sorted(maps.Keys(lost)) {
			if c := countShared(lost[by], left); c > shared {
				most, shared = by, c
			}
		}
		for i := range lost[most] {
			delete(left, i)
		}
	}
	return n
}

func countShared(a, b map[incarnation]bool) int {
	n := 0
	for i := range a {
		if b[i] {
			n++
		}
	}
	return n
}

// explained reports whether all crashes of a part, n as counted, are explained by other parts that the
// request lacks, and that requests on the servers had. asked are the suspects of the request.
func (l *List) explained(now time.Time, service routing.ServiceName, part Suspect, n int, asked map[Suspect]bool) bool {
	left, at := l.starts(now, service, part), UnixMilli(now.UnixMilli())
	others := make(map[Suspect]bool) // whether they explain crashes of the part
	for _, r := range l.records {
		if r.Trial || r.Service != service || at >= r.Until || !left[r.incarnation()] {
			continue
		}
		if slices.ContainsFunc(r.suspects, func(o Suspect) bool {
			if o.IsRequest() || asked[o] {
				return false
			}
			does, ok := others[o]
			if !ok {
				does = l.crashes(now, service, o) >= n
				others[o] = does
			}
			return does
		}) {
			delete(left, r.incarnation())
		}
	}
	return len(left) == 0
}

// blockedUntil returns until when a suspect is blocked: until its next trial, whose claim it
// returns too, or until so many of its crashes have expired that it is no longer blocked.
func (l *List) blockedUntil(now time.Time, service routing.ServiceName, s Suspect) (time.Time, Crash) {
	var crashes []UnixMilli
	var last UnixMilli
	trials, at := 0, UnixMilli(now.UnixMilli())
	for _, r := range l.records {
		if !r.holds(service, s, at) {
			continue
		}
		last = max(last, r.Until)
		if r.Trial {
			trials++
		} else {
			crashes = append(crashes, r.Until)
		}
	}
	slices.Sort(crashes)
	expiry := time.UnixMilli(int64(crashes[len(crashes)-blockAfter]))
	if trials >= len(trialDelays) {
		return expiry, Crash{}
	}
	return time.UnixMilli(int64(last)).Add(trialDelays[trials] - holdFor), newTrial(now, service, s, trials+1)
}
