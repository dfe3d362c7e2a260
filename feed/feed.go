// Package feed spreads among entry VMs what stands in the platform's store: one
// entry VM of a failure domain watches the store and the others ask it for
// changes. Who watches follows from rank, without agreement: each entry VM asks
// the best-ranked one that answers it with fresh news, and watches the store
// itself where there is none better than itself.
package feed

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/move"
	"quetzalhold/result"
	"quetzalhold/routing"
)

// Epoch names one life of a log; sequence numbers of two epochs have nothing to
// do with each other.
type Epoch string

// Update is a word about one backend server: its entry, that it is gone, or that it
// hangs.
type Update struct {
	Server backend.Server `json:"server"`
	Removed   bool           `json:"gone,omitempty"`
	// Hung says that this start accepts requests and does not work on them; of the
	// server only id and start are told.
	Hung bool `json:"hung,omitempty"`
	// RemoveInMs is in how many milliseconds a server whose entry lapsed counts as
	// gone.
	RemoveInMs int64 `json:"goneInMs,omitempty"`
}

// RemoveAt returns when the server of a word that its entry is missing counts as gone.
func (w *Update) RemoveAt(now time.Time) time.Time {
	return now.Add(time.Duration(w.RemoveInMs) * time.Millisecond)
}

// Response is the news since a position of a log.
type Response struct {
	Self  Member `json:"self"`
	Epoch Epoch  `json:"epoch"`
	Seq   int64  `json:"seq"`
	// AgeMs is how long ago, in milliseconds, the news were sure to be the
	// store's newest.
	AgeMs int64 `json:"ageMs"`
	// Disconnected says that the answering entry VM has lost the store, or whom it asks.
	Disconnected bool `json:"away,omitempty"`
	// Full says that Words are all servers that stand as of Revision, not just
	// changes.
	Full    bool             `json:"whole,omitempty"`
	Revision backend.Revision `json:"revision"`
	Updates    []Update           `json:"words,omitempty"`
	Config   *routing.Config  `json:"config,omitempty"` // if newer than the asker's
	// Usage is what the entry VMs of the failure domain use of the retry budgets,
	// the asker included.
	Usage []backend.Usage `json:"usage,omitempty"`
	// Members are all entry VMs that are known, if the asker does not have the list of
	// MembersDigest.
	Members       []Member `json:"members,omitempty"`
	MembersDigest uint64   `json:"membersDigest,omitempty"`
	// Moves are all moves of services' versions, if the asker does not have MovesSeq.
	Moves    []Move `json:"moves,omitempty"`
	MovesSeq int64  `json:"movesSeq,omitempty"`
}

// Move is how the move of a service to a version stands.
type Move struct {
	Service routing.ServiceName `json:"service"`
	To      engine.Version      `json:"to"`
	// AgeMs is how many milliseconds ago the order was seen first; LengthMs is the time
	// in which it is to be ended.
	AgeMs    int64      `json:"ageMs"`
	LengthMs int64      `json:"lengthMs"`
	Step     int        `json:"step"`
	State    move.State `json:"state"`
	Reason   string     `json:"reason,omitempty"`
	// Bad is why the version is known to be bad while the store may not know yet; empty
	// if it is not.
	Bad string `json:"bad,omitempty"`
}

// ServiceCounts is what an entry VM has seen of a service in a move.
type ServiceCounts struct {
	Service routing.ServiceName `json:"service"`
	Counts  []move.Count        `json:"counts"`
}

// Check returns the first fault of the answer.
func (a *Response) Check() error {
	if a.Epoch == "" {
		return result.New(result.MissingField, "no epoch").On("epoch")
	}
	if a.AgeMs < 0 {
		return result.New(result.OutOfRange, "%d", a.AgeMs).On("ageMs")
	}
	for i := range a.Updates {
		if err := a.Updates[i].Server.Check(); err != nil && !a.Updates[i].Removed && !a.Updates[i].Hung {
			return err
		}
	}
	for i := range a.Moves {
		if m := &a.Moves[i]; m.Service == "" || m.To == "" || m.AgeMs < 0 || m.LengthMs < 0 || m.Step < 0 {
			return result.New(result.OutOfRange, "move of service %q to %q", m.Service, m.To).On("moves")
		}
	}
	if a.Config != nil {
		return a.Config.Check()
	}
	return nil
}

// Age returns the age of the news.
func (a *Response) Age() time.Duration { return time.Duration(a.AgeMs) * time.Millisecond }

// Request asks for the news since a position.
type Request struct {
	From  Member
	Epoch  Epoch
	Seq    int64
	Config routing.Version // that the asker has
	Wait   time.Duration   // for news, where there are none
	Starting  bool            // the asker has just begun
	Usage  []backend.Usage // of the asker
	Hung   []HungServer          // that the asker found since it last asked
	// Members is the digest of the list of members that it was told last.
	Members uint64
	Moves   int64     // the number of the moves that the asker has
	Counts     []ServiceCounts // that the asker has seen since it last asked
}

// HungServer is a server's start that accepts requests and does not work on them.
type HungServer struct {
	ID    engine.ServerID
	Start engine.Incarnation
}

// Update returns the word to pass on.
func (h HungServer) Update() Update {
	return Update{Server: backend.Server{ID: h.ID, Start: h.Start}, Hung: true}
}

// maxWords is how many changes a log keeps; an asker that missed more gets all.
const maxWords = 2048

// Log keeps the latest changes of the backend servers and of the configuration,
// to be asked for. Its zero value is empty; its methods may be called from any
// goroutine.
type Log struct {
	mu     sync.Mutex
	epoch  Epoch
	seq    int64
	words  []Update           // the latest ones; the last has number seq
	rev    backend.Revision // of the store, up to which the servers are known
	config *routing.Config
	// freshAt is when the news were last sure to be the store's newest.
	freshAt time.Time
	away    bool
	moves   func(now time.Time) []Move
	moveSeq int64         // counts changes of the moves
	news    chan struct{} // closed when something changes
}

func (l *Log) init() {
	if l.epoch == "" {
		l.epoch = Epoch(uuid.NewString())
		l.news = make(chan struct{})
	}
}

func (l *Log) wake() {
	close(l.news)
	l.news = make(chan struct{})
}

// Add adds a word.
func (l *Log) Add(w Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.seq++
	l.words = append(l.words, w)
	if len(l.words) > 2*maxWords {
		l.words = append([]Update(nil), l.words[len(l.words)-maxWords:]...)
	}
	l.wake()
}

// SetRevision notes the store's revision up to which the servers are known.
func (l *Log) SetRevision(rev backend.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rev = max(l.rev, rev)
}

// SetConfig takes over a newer configuration.
func (l *Log) SetConfig(c *routing.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.config = c
	l.wake()
}

// SetMoves takes over that the moves have changed; moves returns them from now on.
func (l *Log) SetMoves(moves func(now time.Time) []Move) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.moves = moves
	l.moveSeq++
	l.wake()
}

// SetFreshAt notes that the news were the store's newest at an instant.
func (l *Log) SetFreshAt(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.freshAt) {
		l.freshAt = at
	}
}

// SetDisconnected notes whether the store, or whom is asked for news, is lost.
func (l *Log) SetDisconnected(away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	if l.away != away {
		l.away = away
		l.wake()
	}
}

// FreshAt returns when the news were last sure to be the store's newest.
func (l *Log) FreshAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.freshAt
}

// Changed returns a channel that is closed with the next change after q's position,
// and nil where there is one already.
func (l *Log) Changed(q Request) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	if l.away || q.Epoch != l.epoch || q.Seq != l.seq || q.Moves != l.moveSeq || l.config != nil && l.config.Version > q.Config {
		return nil
	}
	return l.news
}

// never is the age of news that were never fresh.
const never = time.Hour

// Respond returns the news for a question. standing returns all servers that
// stand; it is called where changes do not suffice.
func (l *Log) Respond(now time.Time, q Request, standing func(time.Time) []backend.View) Response {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	a := Response{Epoch: l.epoch, Seq: l.seq, Revision: l.rev, AgeMs: never.Milliseconds(), Disconnected: l.away}
	if !l.freshAt.IsZero() {
		a.AgeMs = max(0, now.Sub(l.freshAt).Milliseconds())
	}
	if l.config != nil && l.config.Version > q.Config {
		a.Config = l.config
	}
	if l.moves != nil && (q.Epoch != l.epoch || q.Moves != l.moveSeq) {
		a.Moves, a.MovesSeq = l.moves(now), l.moveSeq
	}
	missed := l.seq - q.Seq
	if q.Epoch == l.epoch && missed >= 0 && missed <= int64(len(l.words)) {
		a.Updates = append(a.Updates, l.words[int64(len(l.words))-missed:]...)
		return a
	}
	a.Full = true
	for _, v := range standing(now) {
		w := Update{Server: v.Server}
		if !v.RemoveAt.IsZero() {
			w.Removed, w.RemoveInMs = true, goneIn(now, v.RemoveAt)
		}
		a.Updates = append(a.Updates, w)
	}
	return a
}

// Removal returns the word that the entry of a server, last changed at rev, is
// missing, and that the server counts as gone from at on.
func Removal(id engine.ServerID, rev backend.Revision, now, at time.Time) Update {
	return Update{Server: backend.Server{ID: id, Revision: rev}, Removed: true, RemoveInMs: goneIn(now, at)}
}

func goneIn(now, at time.Time) int64 { return max(0, at.Sub(now).Milliseconds()) }
