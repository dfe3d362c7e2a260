// Package standin holds stand-ins for what the system talks to: model engines,
// plain services and the platform. They speak the same HTTP as the real ones,
// fail on command, and count what happened, so that tests and measurements can
// compare what a caller got with what was right.
package standin

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"quetzalhold/engine"
)

// vocabulary is what answers are made of.
var vocabulary = strings.Fields(`
	bin cork shop haul load pick drop van crew note seal rinse sort lid crate
	dock coast tide ridge cove pier bluff dune creek stone amber slate moss
	fern oak ash elm reed flint brook vale mill forge depot round cooler tap
	valve filter flask crate pallet ledger route brief rota shift quay north
	south east west early late full half empty clean swap hold`)

// Script decides an engine's tokens. They depend only on the version, adapter,
// seed, prompt and the text so far, so a continuation with the right prefix
// goes on with the same text and one with a wrong prefix does not.
type Script struct {
	// StopOneIn ends an answer at each position with this chance; 0 for
	// answers as long as permitted.
	StopOneIn uint64

	digest xxhash.Digest
}

// NewScript returns the script of one answer after prefix.
func NewScript(s engine.Start, stopOneIn uint64) *Script {
	k := &Script{StopOneIn: stopOneIn}
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

func (k *Script) write(s string) {
	// A Digest never fails to write.
	_, _ = k.digest.WriteString(s)
}

// Next returns the next token, or false where the answer stops.
func (k *Script) Next() (string, bool) {
	h := k.digest.Sum64()
	if k.StopOneIn > 0 && (h>>32)%k.StopOneIn == 0 {
		return "", false
	}
	word := " " + vocabulary[h%uint64(len(vocabulary))]
	k.write(word)
	return word, true
}

// Answer is a whole answer as an engine that never fails gives it.
type Answer struct {
	Tokens []string
	Reason engine.FinishReason
}

// Text returns the answer's text.
func (a Answer) Text() string { return strings.Join(a.Tokens, "") }

// WholeAnswer recomputes the answer to s.
func WholeAnswer(s engine.Start, stopOneIn uint64) Answer {
	k := NewScript(s, stopOneIn)
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
