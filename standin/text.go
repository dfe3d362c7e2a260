// Package standin provides stand-ins for the servers that the gateway talks to:
// model engines, plain services and the platform. They implement the HTTP API of
// the real servers, fail on command, and count what happened, so that tests and
// measurements can compare what a caller got with what is correct.
package standin

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"quetzalhold/engine"
)

// vocabulary is the words that answers are made of.
var vocabulary = strings.Fields(`
	bin cork shop haul load pick drop van crew note seal rinse sort lid crate
	dock coast tide ridge cove pier bluff dune creek stone amber slate moss
	fern oak ash elm reed flint brook vale mill forge depot round cooler tap
	valve filter flask crate pallet ledger route brief rota shift quay north
	south east west early late full half empty clean swap hold`)

// Generator generates the tokens of an answer deterministically. They depend only on
// the version, adapter, seed, prompt and the text so far. A continuation with the
// right prefix therefore has the same text, and one with a wrong prefix does not.
type Generator struct {
	// StopOneIn is the N of a chance of 1 in N that the answer ends at a
	// position; 0 for answers of the maximum length.
	StopOneIn uint64

	digest xxhash.Digest
}

// NewGenerator returns a generator of the answer to s, from the end of s.Prefix on.
func NewGenerator(s engine.Start, stopOneIn uint64) *Generator {
	k := &Generator{StopOneIn: stopOneIn}
	k.digest.Reset()
	for _, part := range []string{string(s.Version), string(s.Adapter), s.Prompt} {
		k.write(part)
		k.write("\x00")
	}
	seed := [8]byte{}
	for i := range seed {
		seed[i] = byte(s.Seed >> (8 * i))
	}
	k.write(string(seed[:]))
	k.write(s.Prefix)
	return k
}

func (k *Generator) write(s string) {
	// A Digest never fails to write.
	_, _ = k.digest.WriteString(s)
}

// Next returns the next token, or false if the answer ends here.
func (k *Generator) Next() (string, bool) {
	h := k.digest.Sum64()
	if k.StopOneIn > 0 && (h>>32)%k.StopOneIn == 0 {
		return "", false
	}
	word := " " + vocabulary[h%uint64(len(vocabulary))]
	k.write(word)
	return word, true
}

// Answer is a complete answer, as an engine without faults generates it.
type Answer struct {
	Tokens []string
	Reason engine.FinishReason
}

// Text returns the answer's text.
func (a Answer) Text() string { return strings.Join(a.Tokens, "") }

// ExpectedAnswer returns the answer that an engine without faults generates for s.
func ExpectedAnswer(s engine.Start, stopOneIn uint64) Answer {
	k := NewGenerator(s, stopOneIn)
	a := Answer{Reason: engine.FinishLength}
	for i := s.Offset; i < s.MaxTokens; i++ {
		word, ok := k.Next()
		if !ok {
			a.Reason = engine.FinishStop
			break
		}
		a.Tokens = append(a.Tokens, word)
	}
	return a
}
