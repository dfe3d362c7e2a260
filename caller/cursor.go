// Package caller speaks to callers: the HTTP API that they use, the answer
// they get, the cursors by which they take it up again at any entry VM, and a
// client that does so.
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

// Generation numbers the generations that were begun for one request. Only
// one of them can ever deliver.
type Generation int

// TextDigest stands for the tokens of an answer up to some position. It is
// chained: each token's digest covers the one before, so that an entry VM which
// knows only the digest can go on with it.
type TextDigest string

// Chain returns the digest after one more token.
func (d TextDigest) Chain(token string) TextDigest {
	return DigestText(string(d) + "\x00" + token)
}

// Cursor is a position in an answer with all that an entry VM needs to go on
// from there. Callers see it sealed, as an event's id.
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
	Question     TextDigest       `json:"q"` // digest of what was asked
	Received     TextDigest       `json:"x"` // digest of the tokens delivered
	MaxTokens    engine.Tokens    `json:"m"`
}

// digestBytes is the length of a TextDigest's sum, in bytes.
const digestBytes = 12

// DigestText returns the digest of a text.
func DigestText(s string) TextDigest {
	sum := sha256.Sum256([]byte(s))
	return TextDigest(hex.EncodeToString(sum[:digestBytes]))
}

// Sealer seals and opens cursors with a key that all entry VMs share.
type Sealer struct {
	key []byte
}

// NewSealer returns a sealer with the given key.
func NewSealer(key string) *Sealer { return &Sealer{key: []byte(key)} }

// encoding is strict, so that there is one text for each cursor.
var encoding = base64.RawURLEncoding.Strict()

// Seal returns the cursor with its code of authenticity.
func (s *Sealer) Seal(c Cursor) (string, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return "", fmt.Errorf("encode cursor: %w", err)
	}
	return encoding.EncodeToString(b) + "." + encoding.EncodeToString(s.mac(b)), nil
}

// Open returns the cursor that Seal made text of. It fails with BadCursor.
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

// macBytes is the length of a cursor's code of authenticity, in bytes.
const macBytes = 16

func (s *Sealer) mac(b []byte) []byte {
	h := hmac.New(sha256.New, s.key)
	// A hash never fails to write.
	_, _ = h.Write(b)
	return h.Sum(nil)[:macBytes]
}
