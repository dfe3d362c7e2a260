package caller

import (
	"strings"

	"quetzalhold/engine"
	"quetzalhold/result"
)

// Answer is the aggregate of what one caller receives. It admits each token
// once, at exactly the next position and of one generation only, whatever the
// layers below do.
type Answer struct {
	generation Generation
	next       engine.Tokens
	finish     engine.FinishReason
	digest     TextDigest
	text       strings.Builder
	keep       bool
}

// NewAnswer returns an empty answer. With keep it holds its text; without, it
// holds only the text's digest.
func NewAnswer(keep bool) *Answer { return &Answer{keep: keep} }

// ResumeAnswer returns an answer that goes on from c. It fails with
// ReceivedTextMismatch if received, the tokens up to there, is known and is not
// what c stands for.
func ResumeAnswer(c Cursor, received []string) (*Answer, error) {
	a := NewAnswer(false)
	a.generation = c.Generation
	a.next = c.Offset
	a.digest = c.Received
	if received == nil {
		return a, nil
	}
	var d TextDigest
	for _, token := range received {
		d = d.Chain(token)
	}
	if d != c.Received || engine.Tokens(len(received)) != c.Offset {
		return nil, result.New(result.ReceivedTextMismatch, "%d tokens received", len(received)).WithField("received")
	}
	return a, nil
}

// Restart begins another generation. It fails with InvariantBroken if
// anything of the earlier one was delivered.
func (a *Answer) Restart() error {
	if a.next > 0 || a.finish != "" {
		return result.New(result.InvariantBroken, "generation %d has delivered %d tokens", a.generation, a.next)
	}
	a.generation++
	return nil
}

// Append admits a piece of generation g. It fails with InvariantBroken where
// the piece does not follow what was delivered.
func (a *Answer) Append(g Generation, d engine.Delta) error {
	switch {
	case g != a.generation:
		return result.New(result.InvariantBroken, "generation %d in an answer of generation %d", g, a.generation)
	case a.finish != "":
		return result.New(result.InvariantBroken, "position %d after the end", d.Offset)
	case d.Offset != a.next:
		return result.New(result.InvariantBroken, "position %d, want %d", d.Offset, a.next)
	}
	if d.Finish != "" {
		a.finish = d.Finish
		return nil
	}
	a.next++
	a.digest = a.digest.Chain(d.Text)
	if a.keep {
		a.text.WriteString(d.Text)
	}
	return nil
}

// Generation returns the generation that delivers.
func (a *Answer) Generation() Generation { return a.generation }

// Next returns the number of tokens delivered.
func (a *Answer) Next() engine.Tokens { return a.next }

// Finish returns why the answer ended; empty while it has not.
func (a *Answer) Finish() engine.FinishReason { return a.finish }

// Text returns the text of an answer that keeps it.
func (a *Answer) Text() string { return a.text.String() }

// Digest returns the digest of the tokens delivered.
func (a *Answer) Digest() TextDigest { return a.digest }
