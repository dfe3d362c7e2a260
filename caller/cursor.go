// Package caller implements the HTTP API for callers: answers of model engines
// in the manner of the OpenAI API, calls to plain services, and the cursors with
// which a caller resumes an answer at any entry VM. It also has a client that
// resumes answers with them.
package caller

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/result"
)

// Generation is the number of a generation among those started for one request.
// Only one of them can deliver tokens to the caller.
type Generation int

// TextDigest is the digest of a text, or of the tokens of an answer up to some
// position. The latter is chained: each digest covers the next token and the
// digest before it, so an entry VM that knows only the digest can extend it.
type TextDigest string

// Chain returns the digest extended by one token.
func (d TextDigest) Chain(token string) TextDigest {
	return DigestText(string(d) + "\x00" + token)
}

// Cursor is a position in an answer with everything that an entry VM needs to
// resume the answer there. Callers receive it sealed, as the id of an event.
type Cursor struct {
	Request      engine.RequestID `json:"r"`
	Organisation names.ID         `json:"o"`
	Deployment   string           `json:"d"`
	Version      engine.Version   `json:"v"`
	Adapter      engine.Adapter   `json:"a,omitempty"`
	Seed         uint64           `json:"s"`
	Server       engine.ServerID  `json:"e"`
	Stream       engine.StreamID  `json:"t"`
	Attempt      engine.Attempt   `json:"n"`
	Generation   Generation       `json:"g"`
	Offset       engine.Tokens    `json:"p"` // tokens delivered
	PromptDigest TextDigest       `json:"q"` // digest of model and prompt
	AnswerDigest TextDigest       `json:"x"` // digest of the tokens delivered
	MaxTokens    engine.Tokens    `json:"m"`
}

// digestBytes is the length of a TextDigest in bytes, before it is encoded as
// hexadecimal digits.
const digestBytes = 12

// DigestText returns the digest of a text.
func DigestText(s string) TextDigest {
	sum := sha256.Sum256([]byte(s))
	return TextDigest(hex.EncodeToString(sum[:digestBytes]))
}

// Sealer signs cursors and verifies them with a key that all entry VMs share.
// Their content is not encrypted.
type Sealer struct {
	key []byte
}

// NewSealer returns a sealer with the given key.
func NewSealer(key string) *Sealer { return &Sealer{key: []byte(key)} }

// encoding is strict, so that each cursor has exactly one text.
var encoding = base64.RawURLEncoding.Strict()

// Seal encodes the cursor together with its message authentication code.
func (s *Sealer) Seal(c Cursor) (string, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return "", fmt.Errorf("encode cursor: %w", err)
	}
	return encoding.EncodeToString(b) + "." + encoding.EncodeToString(s.mac(b)), nil
}

// Open verifies and decodes text made by Seal. It fails with BadCursor.
func (s *Sealer) Open(text string) (Cursor, error) {
	var c Cursor
	body, mac, ok := strings.Cut(text, ".")
	if !ok {
		return c, result.New(result.BadCursor, "no code of authenticity")
	}
	b, err := encoding.DecodeString(body)
	if err != nil {
		return c, result.Wrap(result.BadCursor, err, "decode")
	}
	m, err := encoding.DecodeString(mac)
	if err != nil {
		return c, result.Wrap(result.BadCursor, err, "decode")
	}
	if !hmac.Equal(m, s.mac(b)) {
		return c, result.New(result.BadCursor, "altered, or sealed with another key")
	}
	if err := json.Unmarshal(b, &c); err != nil {
		return c, result.Wrap(result.BadCursor, err, "decode")
	}
	return c, nil
}

// macBytes is the length of a cursor's message authentication code, in bytes.
const macBytes = 16

func (s *Sealer) mac(b []byte) []byte {
	h := hmac.New(sha256.New, s.key)
	// Write of a hash never returns an error.
	_, _ = h.Write(b)
	return h.Sum(nil)[:macBytes]
}
