package engine

import (
	"strings"

	"quetzalhold/result"
)

// Connection is one attempt's way to a stream.
type Connection struct {
	Attempt Attempt
	Server  ServerID
	Stream  StreamID
}

// Generation is the aggregate of one generation of an answer: its text so far
// and the attempts that may add to it.
//
// Several attempts may be live while it is unclear which of them still works.
// The first one that appends a token at the next position fences all others,
// so an engine that was paused and comes back is heard by nobody. The zero
// value is an empty generation without attempts.
type Generation struct {
	Version Version
	Adapter Adapter
	Seed    uint64

	text     strings.Builder
	next     Tokens
	last     Attempt
	live     []Connection
	finished FinishReason
}

// Resume makes g continue after text, which holds next tokens, with attempts
// numbered above last. It must come before the first attempt.
func (g *Generation) Resume(text string, next Tokens, last Attempt) {
	g.text.Reset()
	g.text.WriteString(text)
	g.next = next
	g.last = last
}

// Next returns the position that the next token must have.
func (g *Generation) Next() Tokens { return g.next }

// Text returns the text so far.
func (g *Generation) Text() string { return g.text.String() }

// Finished returns why the generation ended, and empty while it has not.
func (g *Generation) Finished() FinishReason { return g.finished }

// Begin adds a live attempt on a server's stream and returns it. An empty
// stream asks for a new one, named after the request and the attempt.
func (g *Generation) Begin(server ServerID, request RequestID, stream StreamID) Connection {
	g.last++
	if stream == "" {
		stream = NewStreamID(request, g.last)
	}
	c := Connection{Attempt: g.last, Server: server, Stream: stream}
	g.live = append(g.live, c)
	return c
}

// Live reports whether the attempt may still append.
func (g *Generation) Live(a Attempt) bool {
	for _, c := range g.live {
		if c.Attempt == a {
			return true
		}
	}
	return false
}

// LiveCount returns the number of live attempts.
func (g *Generation) LiveCount() int { return len(g.live) }

// Fence ends the attempt's right to append.
func (g *Generation) Fence(a Attempt) {
	for i, c := range g.live {
		if c.Attempt == a {
			g.live = append(g.live[:i], g.live[i+1:]...)
			return
		}
	}
}

// Append adds a token of attempt a at position offset. It returns the attempts
// fenced by that. A token of a fenced attempt fails with StaleAttempt and one
// of a live attempt at any other position than the next with InvariantBroken;
// neither changes the text.
func (g *Generation) Append(a Attempt, offset Tokens, text string) ([]Connection, error) {
	if err := g.admit(a, offset); err != nil {
		return nil, err
	}
	g.text.WriteString(text)
	g.next++
	return g.fenceOthers(a), nil
}

// Finish ends the generation at length offset. It fails as Append does.
func (g *Generation) Finish(a Attempt, offset Tokens, why FinishReason) ([]Connection, error) {
	if err := g.admit(a, offset); err != nil {
		return nil, err
	}
	if why == "" {
		why = FinishStop
	}
	g.finished = why
	return g.fenceOthers(a), nil
}

func (g *Generation) admit(a Attempt, offset Tokens) error {
	if !g.Live(a) {
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
