// Package feed distributes the state of the platform's store among entry VMs: one entry VM of
// each failure domain watches the store, and the others request changes from it. The watcher
// is determined by rank, without an agreement protocol: each entry VM polls the best-ranked
// entry VM that answers with up-to-date state, and watches the store itself if none ranks
// above it.
package feed

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"quetzalhold/admit"
	"quetzalhold/backend"
	"quetzalhold/cost"
	"quetzalhold/engine"
	"quetzalhold/move"
	"quetzalhold/quarantine"
	"quetzalhold/result"
	"quetzalhold/routing"
)

// Epoch identifies one lifetime of a log. Sequence numbers of different epochs are unrelated.
type Epoch string

// Update is an update about one backend server: its entry, the removal of its entry, or the
// finding that it hangs.
type Update struct {
	Server  backend.Server `json:"server"`
	Removed bool           `json:"gone,omitempty"`
	// Hung is set if this start accepts requests but does not process them. Of Server, only ID
	// and Start are then set.
	Hung bool `json:"hung,omitempty"`
	// RemoveInMs is the time in milliseconds after which a server whose entry is missing counts
	// as removed.
	RemoveInMs int64 `json:"goneInMs,omitempty"`
	// Limit is the limit that Server has named last, or the end of it; nil if it has named none.
	Limit *Limit `json:"limit,omitempty"`
}

// Limit is the limit that a server has named in its answers.
type Limit struct {
	Rate backend.Rate `json:"perSecond"` // backend.Unlimited if the limit has ended
	// AgeMs is the time in milliseconds since an answer showed it.
	AgeMs int64 `json:"ageMs"`
}

// At returns the limit as that of a server's start.
func (l Limit) At(now time.Time, id engine.ServerID, start engine.Incarnation) backend.RateLimit {
	return backend.RateLimit{Server: id, Start: start, Rate: l.Rate, At: now.Add(-time.Duration(l.AgeMs) * time.Millisecond)}
}

func (l Limit) check() error {
	if !(l.Rate >= 0) || l.AgeMs < 0 || l.AgeMs > maxAge.Milliseconds() {
		return result.New(result.OutOfRange, "%g a second, age %d", l.Rate, l.AgeMs).WithField("limit")
	}
	return nil
}

// ServerLimit is the limit that a start of a server has named to an entry VM.
type ServerLimit struct {
	ServerStart
	Limit
}

// ServerLimits returns limits in the form in which they are reported.
func ServerLimits(now time.Time, list []backend.RateLimit) []ServerLimit {
	var all []ServerLimit
	for _, l := range list {
		all = append(all, ServerLimit{ServerStart{ID: l.Server, Start: l.Start}, Limit{Rate: l.Rate, AgeMs: ageMs(now, l.At)}})
	}
	return all
}

// ServerUpdate returns the update that states what is known about a server.
func ServerUpdate(now time.Time, v *backend.View) Update {
	w := Update{Server: v.Server}
	if !v.LimitAt.IsZero() {
		w.Limit = &Limit{Rate: v.Limit, AgeMs: ageMs(now, v.LimitAt)}
	}
	return w
}

func ageMs(now, at time.Time) int64 {
	return min(max(0, now.Sub(at).Milliseconds()), maxAge.Milliseconds())
}

// RemoveAt returns the time from which the server of a removal counts as removed.
func (w *Update) RemoveAt(now time.Time) time.Time {
	return now.Add(time.Duration(w.RemoveInMs) * time.Millisecond)
}

// Response contains the changes since a position in a log.
type Response struct {
	Self  Member `json:"self"`
	Epoch Epoch  `json:"epoch"`
	Seq   int64  `json:"seq"`
	// AgeMs is the time in milliseconds since the responding entry VM was last known to be up
	// to date with the store.
	AgeMs int64 `json:"ageMs"`
	// Disconnected is set if the responding entry VM has lost the connection to the store or to its
	// upstream.
	Disconnected bool `json:"away,omitempty"`
	// Full is set if Updates lists all servers as of Revision, instead of only the changes.
	Full bool `json:"whole,omitempty"`
	backend.Revision
	Updates []Update        `json:"words,omitempty"`
	Config  *routing.Config `json:"config,omitempty"` // if newer than the requester's
	// Limits are the requester's limits of the retry budgets.
	Limits []backend.Limit `json:"limits,omitempty"`
	// Permits are the requester's permits for servers that have named a limit.
	Permits []backend.Permit `json:"permits,omitempty"`
	// Crowds are the services whose servers get only a part of what they can answer.
	Crowds []backend.Crowd `json:"crowds,omitempty"`
	// Grants are the requester's parts of the windows of services whose streams wait in order.
	Grants []admit.Grant `json:"grants,omitempty"`
	// Sums are the demands of the failure domain of an entry VM that issues such parts.
	Sums []admit.Sum `json:"sums,omitempty"`
	// Speeds are the servers whose speed differs from the usual one, in the answer to a report on retry budgets.
	Speeds []cost.ServiceSpeeds `json:"speeds,omitempty"`
	// Members lists all known entry VMs; it is omitted if the requester already has the list
	// with MembersDigest.
	Members       []Member `json:"members,omitempty"`
	MembersDigest uint64   `json:"membersDigest,omitempty"`
	// Moves lists all version moves; it is omitted if the requester already has MovesSeq.
	Moves    []Move `json:"moves,omitempty"`
	MovesSeq int64  `json:"movesSeq,omitempty"`
	// Crashes lists all crashes held against parts of prompts; it is omitted if the requester
	// already has CrashesSeq.
	Crashes    []quarantine.Crash `json:"crashes,omitempty"`
	CrashesSeq int64              `json:"crashesSeq,omitempty"`
}

// Move is the progress of moving a service to a version.
type Move struct {
	Service routing.ServiceName `json:"service"`
	To      engine.Version      `json:"to"`
	// AgeMs is the time in milliseconds since the order was first seen; LengthMs is the time
	// within which the move must end.
	AgeMs    int64      `json:"ageMs"`
	LengthMs int64      `json:"lengthMs"`
	Step     int        `json:"step"`
	State    move.State `json:"state"`
	Reason   string     `json:"reason,omitempty"`
	// Bad is the reason why the version is known to be bad, which the store may not have
	// recorded yet; empty if it is not known to be bad.
	Bad string `json:"bad,omitempty"`
	// Withdrawn are other versions of the service that get no requests, such as one that was rolled
	// back before. Entry VMs of an earlier version have none.
	Withdrawn []engine.Version `json:"withdrawn,omitempty"`
}

// ServiceCounts holds an entry VM's counts of a service's requests during a move.
type ServiceCounts struct {
	Service routing.ServiceName `json:"service"`
	Counts  []move.Count        `json:"counts"`
	// Before are counts from before the move. Entry VMs of an earlier version have none.
	Before []move.Count `json:"before,omitempty"`
}

// Check returns the first reason why the response is invalid, or nil.
func (a *Response) Check() error {
	if a.Epoch == "" {
		return result.New(result.MissingField, "no epoch").WithField("epoch")
	}
	if a.AgeMs < 0 || a.AgeMs > maxAge.Milliseconds() {
		return result.New(result.OutOfRange, "%d", a.AgeMs).WithField("ageMs")
	}
	if a.Era < 0 || a.Number < 0 {
		return result.New(result.OutOfRange, "era %d, revision %d", a.Era, a.Number).WithField("revision")
	}
	for i := range a.Updates {
		if in := a.Updates[i].RemoveInMs; in < 0 || in > maxAge.Milliseconds() {
			return result.New(result.OutOfRange, "%d", in).WithField("goneInMs")
		}
		if l := a.Updates[i].Limit; l != nil {
			if err := l.check(); err != nil {
				return err
			}
		}
		if err := a.Updates[i].Server.Check(); err != nil && !a.Updates[i].Removed && !a.Updates[i].Hung {
			return err
		}
	}
	for i := range a.Moves {
		if m := &a.Moves[i]; m.Service == "" || m.To == "" || min(m.AgeMs, m.LengthMs) < 0 || max(m.AgeMs, m.LengthMs) > maxAge.Milliseconds() || m.Step < 0 {
			return result.New(result.OutOfRange, "move of service %q to %q", m.Service, m.To).WithField("moves")
		}
	}
	for _, l := range a.Limits {
		if l.Retries < 0 {
			return result.New(result.OutOfRange, "%g retries of service %q", l.Retries, l.Service).WithField("limits")
		}
	}
	for _, x := range a.Permits {
		if x.Count < 0 {
			return result.New(result.OutOfRange, "%d permits for %q", x.Count, x.Server).WithField("permits")
		}
	}
	for _, x := range a.Crowds {
		if err := checkCrowd(x); err != nil {
			return err
		}
	}
	if err := errors.Join(a.checkAdmission(), checkSpeeds(a.Speeds)); err != nil {
		return err
	}
	for i := range a.Crashes {
		if err := a.Crashes[i].Check(); err != nil {
			return err
		}
	}
	if a.Config != nil {
		return a.Config.Check()
	}
	return nil
}

// maxShare is above every share of what servers can answer that limits their load.
const maxShare = 100

func checkCrowd(x backend.Crowd) error {
	if !(x.Share > 0 && x.Share <= maxShare) || x.AgeMs < 0 || x.AgeMs > maxAge.Milliseconds() {
		return result.New(result.OutOfRange, "%g of service %q, age %d", x.Share, x.Service, x.AgeMs).WithField("crowd")
	}
	return nil
}

// Age returns the time since the responding entry VM was last known to be up to date with the
// store.
func (a *Response) Age() time.Duration { return time.Duration(a.AgeMs) * time.Millisecond }

// NeverFresh reports whether the responding entry VM has not been up to date since its start.
func (a *Response) NeverFresh() bool { return a.Age() >= neverFreshAge }

// Request requests the changes since a position in a log.
type Request struct {
	From     Member
	Epoch    Epoch
	Seq      int64
	Config   routing.Version // version that the requester has
	Wait     time.Duration   // maximum time to wait for a change if there is none yet
	Starting bool            // the requester has just started
	// Brief asks for no servers, moves and members, and while Starting for no configuration
	// either. Links of entry VMs are slow.
	Brief   bool
	Usage   []backend.Usage // retry budget usage of the requester
	Hung    []ServerStart   // servers that the requester has found to hang since its last request
	Leaving []ServerStart   // servers that have said to the requester that they are leaving
	// ServerLimits are the limits that servers have named to the requester, or the ends of them.
	ServerLimits []ServerLimit
	Demands      []backend.Demand // permits that the requester needs
	Crowds       []backend.Crowd  // services whose servers get only a part of what they can answer
	// Needs are what the requester's streams need of services whose streams wait in order, and Sums the
	// demands of its failure domain if it issues parts of their windows.
	Needs   []admit.Demand
	Sums    []admit.Sum
	Samples []cost.Sample // what the requester has measured of servers' speeds since its last report
	// Members is the digest of the list of members that the requester last received.
	Members uint64
	Moves   int64 // sequence number of the moves that the requester has
	Crashes int64 // sequence number of the crashes that the requester has
	// NewCrashes and ClearedCrashes are the crashes that the requester has observed, or found all
	// parts of to be sound, and that it has not seen in a response's list, or still sees there.
	NewCrashes     []quarantine.Crash
	ClearedCrashes []quarantine.Name
	Counts         []ServiceCounts // what the requester has counted since its last request
}

// ServerStart identifies a start of a server.
type ServerStart struct {
	ID    engine.ServerID
	Start engine.Incarnation
}

// HungUpdate returns the update that reports that the server accepts requests but does not
// process them.
func (s ServerStart) HungUpdate() Update {
	return Update{Server: backend.Server{ID: s.ID, Start: s.Start}, Hung: true}
}

// maxUpdates is the number of changes that a log keeps. A requester that has missed more of
// them gets the full list of servers.
const maxUpdates = 2048

// Log keeps the latest changes of the backend servers and of the configuration, for other
// entry VMs to request. The zero value is an empty log. Its methods are safe for concurrent
// use.
type Log struct {
	mu       sync.Mutex
	epoch    Epoch
	seq      int64
	updates  []logged         // latest updates; the last one has sequence number seq
	revision backend.Revision // store revision up to which the servers are known
	config   *routing.Config
	// freshAt is when this entry VM was last known to be up to date with the store.
	freshAt      time.Time
	disconnected bool
	moves        func(now time.Time) []Move
	movesSeq     int64 // number of changes of the moves so far
	crashes      func() []quarantine.Crash
	crashesSeq   int64         // number of changes of the crashes so far
	changed      chan struct{} // closed on the next change
}

// logged is an update and when it was added.
type logged struct {
	Update
	at time.Time
}

// sentAt returns the update as it is sent at an instant.
func (w *logged) sentAt(now time.Time) Update {
	u := w.Update
	if u.Removed {
		u.RemoveInMs = removeIn(now, u.RemoveAt(w.at))
	}
	if u.Limit != nil {
		u.Limit = &Limit{Rate: u.Limit.Rate, AgeMs: ageMs(now, w.at.Add(-time.Duration(u.Limit.AgeMs)*time.Millisecond))}
	}
	return u
}

func (l *Log) init() {
	if l.epoch == "" {
		l.epoch = Epoch(uuid.NewString())
		l.changed = make(chan struct{})
	}
}

func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Epoch returns the epoch of the log.
func (l *Log) Epoch() Epoch {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	return l.epoch
}

// Add appends an update, whose times are as of now.
func (l *Log) Add(now time.Time, w Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.seq++
	l.updates = append(l.updates, logged{w, now})
	if len(l.updates) > 2*maxUpdates {
		l.updates = slices.Clone(l.updates[len(l.updates)-maxUpdates:])
	}
	l.notify()
}

// SetRevision records the store revision up to which the servers are known. It never
// decreases.
func (l *Log) SetRevision(rev backend.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = backend.Latest(l.revision, rev)
}

// Revision returns the store revision up to which the servers are known.
func (l *Log) Revision() backend.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// SetConfig sets a newer configuration.
func (l *Log) SetConfig(c *routing.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.config = c
	l.notify()
}

// configVersion returns the version of the newest configuration; 0 if there is none.
func (l *Log) configVersion() routing.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.config == nil {
		return 0
	}
	return l.config.Version
}

// SetMoves records that the moves have changed, and sets the function that returns them.
func (l *Log) SetMoves(moves func(now time.Time) []Move) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.moves = moves
	l.movesSeq++
	l.notify()
}

// SetCrashes records that the crashes held against parts of prompts have changed, and sets the
// function that returns them.
func (l *Log) SetCrashes(crashes func() []quarantine.Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.crashes = crashes
	l.crashesSeq++
	l.notify()
}

// SetFreshAt records that this entry VM was up to date with the store at an instant.
func (l *Log) SetFreshAt(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.freshAt) {
		l.freshAt = at
	}
}

// SetDisconnected sets whether the connection to the store, or to the upstream, is lost.
func (l *Log) SetDisconnected(disconnected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	if l.disconnected != disconnected {
		l.disconnected = disconnected
		l.notify()
	}
}

// FreshAt returns when this entry VM was last known to be up to date with the store.
func (l *Log) FreshAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.freshAt
}

// Changed returns a channel that is closed on the next change after the position of q, or nil if
// there already is a change.
func (l *Log) Changed(q Request) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	if l.disconnected || q.Epoch != l.epoch || q.Seq != l.seq || q.Moves != l.movesSeq || q.Crashes != l.crashesSeq ||
		l.config != nil && l.config.Version > q.Config {
		return nil
	}
	return l.changed
}

// maxAge bounds the ages and times in a response, which keeps sums of times in range.
const maxAge = 1000 * time.Hour

// neverFreshAge is the reported age if this entry VM has never been up to date.
const neverFreshAge = time.Hour

// Respond returns the changes that a request asks for. servers returns all current servers; it
// is called only if the log no longer has all changes since the requester's position.
func (l *Log) Respond(now time.Time, q Request, servers func(time.Time) []backend.View) Response {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	a := Response{Epoch: l.epoch, Seq: l.seq, Revision: l.revision, AgeMs: neverFreshAge.Milliseconds(), Disconnected: l.disconnected}
	if !l.freshAt.IsZero() {
		a.AgeMs = max(0, now.Sub(l.freshAt).Milliseconds())
	}
	if l.config != nil && l.config.Version > q.Config && !(q.Brief && q.Starting) {
		a.Config = l.config
	}
	if q.Brief {
		return a
	}
	if l.moves != nil && (q.Epoch != l.epoch || q.Moves != l.movesSeq) {
		a.Moves, a.MovesSeq = l.moves(now), l.movesSeq
	}
	if l.crashes != nil && (q.Epoch != l.epoch || q.Crashes != l.crashesSeq) {
		a.Crashes, a.CrashesSeq = l.crashes(), l.crashesSeq
	}
	missed := l.seq - q.Seq
	if q.Epoch == l.epoch && missed >= 0 && missed <= int64(len(l.updates)) {
		for i := int64(len(l.updates)) - missed; i < int64(len(l.updates)); i++ {
			a.Updates = append(a.Updates, l.updates[i].sentAt(now))
		}
		return a
	}
	a.Full = true
	for _, v := range servers(now) {
		w := ServerUpdate(now, &v)
		if !v.RemoveAt.IsZero() {
			w.Removed, w.RemoveInMs = true, removeIn(now, v.RemoveAt)
		}
		a.Updates = append(a.Updates, w)
	}
	return a
}

// Removal returns the update that a server's entry, last changed at rev, is missing, and that
// the server counts as removed from at on.
func Removal(id engine.ServerID, rev backend.Revision, now, at time.Time) Update {
	return Update{Server: backend.Server{ID: id, Revision: rev}, Removed: true, RemoveInMs: removeIn(now, at)}
}

func removeIn(now, at time.Time) int64 { return max(0, at.Sub(now).Milliseconds()) }
