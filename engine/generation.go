package engine

import (
	"strings"

	"quetzalhold/result"
)

// Connection identifies an attempt and the server and stream that it reads.
type Connection struct {
	Attempt Attempt
	Server  ServerID
	Stream  StreamID
}

// Generation is the aggregate of one generated answer: its text so far and the
// attempts that may append to it.
//
// Several attempts may be live while it is unknown which of them still work. The
// first one to append a token at the next position fences all others, so that tokens
// of an engine that was paused and resumes are rejected. The zero value is an empty
// generation without attempts.
type Generation struct {
	Version Version
	Adapter Adapter
	Seed    uint64

	text        strings.Builder
	next        Tokens
	lastAttempt Attempt
	live        []Connection
	finished    FinishReason
}

// Resume initializes g with text, which has next tokens. New attempts are numbered
// above last. It must be called before the first attempt is added.
func (g *Generation) Resume(text string, next Tokens, last Attempt) {
	g.text.Reset()
	g.text.WriteString(text)
	g.next = next
	g.lastAttempt = last
}

// Next returns the position that the next token must have.
func (g *Generation) Next() Tokens { return g.next }

// Text returns the text so far.
func (g *Generation) Text() string { return g.text.String() }

// Finished returns the reason why the generation ended, or "" if it has not.
func (g *Generation) Finished() FinishReason { return g.finished }

// AddAttempt adds a live attempt on a stream of the server and returns it. If stream
// is empty, the attempt gets the id of a new stream, see [NewStreamID].
func (g *Generation) AddAttempt(server ServerID, request RequestID, stream StreamID) Connection {
	g.lastAttempt++
	if stream == "" {
		stream = NewStreamID(request, g.lastAttempt)
	}
	c := Connection{Attempt: g.lastAttempt, Server: server, Stream: stream}
	g.live = append(g.live, c)
	return c
}

// IsLive reports whether the attempt is live, that is, may append.
func (g *Generation) IsLive(a Attempt) bool {
	for _, c := range g.live {
		if c.Attempt == a {
			return true
		}
	}
	return false
}

// LiveCount returns the number of live attempts.
func (g *Generation) LiveCount() int { return len(g.live) }

// Fence removes the attempt from the live ones: it may no longer append.
func (g *Generation) Fence(a Attempt) {
	for i, c := range g.live {
		if c.Attempt == a {
			g.live = append(g.live[:i], g.live[i+1:]...)
			return
		}
	}
}

// Append appends a token of attempt a at position offset, fences all other attempts
// and returns them. It fails with StaleAttempt if a is fenced, and with
// InvariantBroken if offset is not the next position or the generation is finished;
// the text is then unchanged.
func (g *Generation) Append(a Attempt, offset Tokens, text string) ([]Connection, error) {
	if err := g.checkAppend(a, offset); err != nil {
		return nil, err
	}
	g.text.WriteString(text)
	g.next++
	return g.fenceOthers(a), nil
}

// Finish ends the generation, whose length is offset, and fences all other attempts
// as Append does. It fails in the same cases as Append.
func (g *Generation) Finish(a Attempt, offset Tokens, reason FinishReason) ([]Connection, error) {
	if err := g.checkAppend(a, offset); err != nil {
		return nil, err
	}
	if reason == "" {
		reason = FinishStop
	}
	g.finished = reason
	return g.fenceOthers(a), nil
}

func (g *Generation) checkAppend(a Attempt, offset Tokens) error {
	if !g.IsLive(a) {
		return result.New(result.StaleAttempt, "attempt %d is fenced", a)
	}
	if g.finished != "" {
		return result.New(result.InvariantBroken, "attempt %d appends after the end", a)
	}
	if offset != g.next {
		return result.New(result.InvariantBroken, "attempt %d sent position %d, want %d", a, offset, g.next)
	}
	return nil
}

func (g *Generation) fenceOthers(a Attempt) []Connection {
	if len(g.live) == 1 {
		return nil
	}
	var fenced []Connection
	kept := g.live[:0]
	for _, c := range g.live {
		if c.Attempt == a {
			kept = append(kept, c)
			continue
		}
		fenced = append(fenced, c)
	}
	g.live = kept
	return fenced
}
