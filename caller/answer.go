package caller

import (
	"strings"

	"quetzalhold/engine"
	"quetzalhold/result"
)

// Answer aggregates the tokens that one caller receives. It accepts each token
// once, only at the next position and only from the current generation, so that
// a fault in the layers below cannot duplicate, skip or mix tokens.
type Answer struct {
	generation Generation
	next       engine.Tokens
	finish     engine.FinishReason
	digest     TextDigest
	text       strings.Builder
	keepText   bool
}

// NewAnswer returns an empty answer. If keep is set, it stores its text;
// otherwise it stores only the digest of its tokens.
func NewAnswer(keep bool) *Answer { return &Answer{keepText: keep} }

// ResumeAnswer returns an answer that continues at c. The caller may have sent
// the tokens that it received so far; received is nil if it did not.
// ResumeAnswer fails with ReceivedTextMismatch if their number or digest
// differs from those in c.
func ResumeAnswer(c Cursor, received []string) (*Answer, error) {
	a := NewAnswer(false)
	a.generation = c.Generation
	a.next = c.Offset
	a.digest = c.AnswerDigest
	if received == nil {
		return a, nil
	}
	var d TextDigest
	for _, token := range received {
		d = d.Chain(token)
	}
	if d != c.AnswerDigest || engine.Tokens(len(received)) != c.Offset {
		return nil, result.New(result.ReceivedTextMismatch, "%d tokens received", len(received)).WithField("received")
	}
	return a, nil
}

// Restart switches to a new generation. It fails with InvariantBroken if
// a token or the end of the current one was already delivered.
func (a *Answer) Restart() error {
	if a.next > 0 || a.finish != "" {
		return result.New(result.InvariantBroken, "generation %d has delivered %d tokens", a.generation, a.next)
	}
	a.generation++
	return nil
}

// Append adds a piece of generation g. It fails with InvariantBroken if g is
// not the current generation, if the answer has ended, or if the piece is not
// at the next position.
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
	if a.keepText {
		a.text.WriteString(d.Text)
	}
	return nil
}

// Generation returns the current generation.
func (a *Answer) Generation() Generation { return a.generation }

// Next returns the position of the next token, which is the number of tokens
// delivered.
func (a *Answer) Next() engine.Tokens { return a.next }

// Finish returns why the answer ended, or "" if it has not.
func (a *Answer) Finish() engine.FinishReason { return a.finish }

// Text returns the text; it is empty unless the answer was made with keep.
func (a *Answer) Text() string { return a.text.String() }

// Digest returns the digest of the tokens delivered.
func (a *Answer) Digest() TextDigest { return a.digest }
