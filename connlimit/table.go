package connlimit

import "time"

// phase is how far the client of a connection is with its next request.
type phase int

const (
	phaseNew     phase = iota // nothing sent yet
	phaseHead                 // some of a head sent
	phaseKept                 // idle after a request
	phaseRequest              // the head is complete
)

// state is what is known of a connection.
type state struct {
	phase phase
	since time.Time // when the phase began
	wire  Bytes     // read of the current head
	held  Bytes     // memory of the current head
	scan  scanner
}

// Table decides which connections are closed. It does no I/O and is not safe for concurrent use. The zero value has no
// connections and no bounds.
type Table struct {
	Limits Limits

	conns   map[ConnID]*state
	waiting map[ConnID]*state // those without a complete request
	heads   Bytes             // memory of all unfinished heads
}

// Closing is a connection that is to be closed.
type Closing struct {
	Conn   ConnID
	Reason Reason
	Held   Bytes // memory of its unfinished head
}

// Heads returns the memory of all unfinished heads.
func (t *Table) Heads() Bytes { return t.heads }

// Waiting returns the number of connections without a complete request.
func (t *Table) Waiting() int { return len(t.waiting) }

// Open adds a connection and returns the connections to close.
func (t *Table) Open(now time.Time, id ConnID) []Closing {
	if t.conns == nil {
		t.conns, t.waiting = make(map[ConnID]*state), make(map[ConnID]*state)
	}
	s := &state{since: now}
	t.conns[id], t.waiting[id] = s, s
	return t.closeSurplus(id)
}

// Kept records that a connection waits for its next request. It returns the connections to close.
func (t *Table) Kept(now time.Time, id ConnID) []Closing {
	s := t.conns[id]
	if s == nil {
		return nil
	}
	t.setHead(s, 0, 0)
	s.phase, s.since, s.scan = phaseKept, now, scanner{}
	t.waiting[id] = s
	return t.closeSurplus(0)
}

// Begin records that the head of a connection's request is complete. It returns false if the connection was to be
// closed before: the request must not run then.
func (t *Table) Begin(id ConnID) bool {
	s := t.conns[id]
	if s == nil {
		return false
	}
	t.setHead(s, 0, 0)
	s.phase = phaseRequest
	delete(t.waiting, id)
	return true
}

// Remove removes a connection that is closed.
func (t *Table) Remove(id ConnID) {
	if s := t.conns[id]; s != nil {
		t.setHead(s, 0, 0)
		delete(t.conns, id)
		delete(t.waiting, id)
	}
}

const (
	// lineMemory is about what net/http holds for a header line besides its text: two strings, a slice and an entry of
	// a map, on a machine of 64 bits.
	lineMemory Bytes = 100
	// growth is how many bytes net/http has allocated for each byte of a line that exceeds its read buffer: it appends,
	// which copies the line whenever it has grown by a quarter, and the copies remain until the next collection.
	growth Bytes = 5
)

// Received records bytes that were read from a connection with a limit on its head. It returns the connections to
// close, which may be this one. Only HeadTooLarge leaves the connection in the table: it is answered first. If open is
// false, the connection was to be closed before, and the bytes must be dropped.
func (t *Table) Received(now time.Time, id ConnID, p []byte, limit Bytes) (closings []Closing, open bool) {
	s := t.conns[id]
	if s == nil {
		return nil, false
	}
	if s.phase == phaseRequest {
		return nil, true
	}
	if s.phase != phaseHead {
		s.phase, s.since = phaseHead, now
	}
	n, held := s.scan.read(p)
	t.setHead(s, s.wire+Bytes(n), s.held+held)
	switch {
	case s.wire > limit:
		return []Closing{{id, HeadTooLarge, s.held}}, true
	case s.scan.complete:
		return nil, t.Begin(id)
	}
	return t.closeLargest(), true
}

// setHead sets the size of a connection's unfinished head.
func (t *Table) setHead(s *state, wire, held Bytes) {
	t.heads += held - s.held
	s.wire, s.held = wire, held
}

// closeLargest closes the connections with the largest heads until the others keep the bound.
func (t *Table) closeLargest() []Closing {
	var closings []Closing
	for t.Limits.HeadMemory > 0 && t.heads > t.Limits.HeadMemory {
		id, ok := t.largest()
		if !ok || t.conns[id].held == t.heads {
			break // there is room for one
		}
		closings = append(closings, t.close(id, HeadMemory))
	}
	return closings
}

// closeSurplus closes connections until the others keep the bound. newest is the one that was opened just now, 0 for
// none.
func (t *Table) closeSurplus(newest ConnID) []Closing {
	var closings []Closing
	for t.Limits.Connections > 0 && len(t.waiting) > t.Limits.Connections {
		id, reason := t.surplus(newest)
		closings = append(closings, t.close(id, reason))
	}
	return closings
}

// surplus returns the connection to close first: the one with the largest head, the oldest one that has sent nothing,
// the one that was kept for longest, or the newest.
func (t *Table) surplus(newest ConnID) (ConnID, Reason) {
	if id, ok := t.largest(); ok {
		return id, InHead
	}
	if id, ok := t.oldest(phaseNew, newest); ok {
		return id, Silent
	}
	if id, ok := t.oldest(phaseKept, newest); ok {
		return id, Kept
	}
	return newest, Newest
}

// largest returns the connection with the largest unfinished head, the oldest of equal ones.
func (t *Table) largest() (largest ConnID, ok bool) {
	var most Bytes
	for id, s := range t.waiting {
		if s.held > most || s.held == most && s.held > 0 && id < largest {
			largest, most, ok = id, s.held, true
		}
	}
	return largest, ok
}

// oldest returns the connection that has been in a phase for longest, other than one.
func (t *Table) oldest(p phase, other ConnID) (oldest ConnID, ok bool) {
	var since time.Time
	for id, s := range t.waiting {
		if s.phase != p || id == other {
			continue
		}
		if !ok || s.since.Before(since) || s.since.Equal(since) && id < oldest {
			oldest, since, ok = id, s.since, true
		}
	}
	return oldest, ok
}

func (t *Table) close(id ConnID, why Reason) Closing {
	c := Closing{Conn: id, Reason: why, Held: t.conns[id].held}
	t.Remove(id)
	return c
}

// scanner finds the end of a head: the first empty line after one that is not empty. Lines end with LF, after CR or
// not. If a request's first bytes were read with the one before it, it may miss the end, but it never finds it too
// early.
type scanner struct {
	begun    bool  // a line that is not empty has begun
	line     Bytes // of the current line, without its end
	complete bool
}

// read reads bytes of a head. It returns how many of them belong to the head, and the memory that they take.
func (s *scanner) read(p []byte) (n int, held Bytes) {
	for i, b := range p {
		held++
		switch {
		case b != '\n' && b != '\r':
			s.begun = true
			s.line++
			if s.line > readAhead {
				held += growth - 1
			}
		case b == '\n' && s.line > 0:
			s.line = 0
			held += lineMemory
		case b == '\n' && s.begun:
			s.complete = true
			return i + 1, held
		}
	}
	return len(p), held
}
