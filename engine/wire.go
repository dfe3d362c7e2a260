// Package engine speaks to model engines and decides about them: which engine
// takes a request, when a stream has been lost, and how an answer goes on
// after a loss.
//
// The decisions ([Choose], [Policy.Decide], [Generation]) do no I/O. They take
// an instant and typed inputs and return typed decisions. [Client] does the
// HTTP calls and [Runner] joins the two.
package engine

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhold/names"
	"quetzalhold/result"
)

// Identifiers on the way to an engine.
type (
	// ServerID names a backend server or an entry VM in the platform's list.
	ServerID string
	// StreamID names one stream of tokens on an engine.
	StreamID string
	// RequestID names a caller's request; unique across the system.
	RequestID string
	// Version is a model version, such as "brief-7b@12".
	Version string
	// Adapter is a model adapter; empty for none.
	Adapter string
	// Incarnation counts a server's restarts.
	Incarnation uint64
	// Fence is an order's fencing number.
	Fence uint64
	// BlockHash identifies a block of a prompt in an engine's prefix cache.
	BlockHash uint64
)

// Tokens counts tokens, or is a position in an answer counted in tokens.
type Tokens int64

// Attempt numbers the connections that have fed one answer. A later attempt
// has a higher number than every earlier one, also across entry VMs.
type Attempt uint64

// attemptsPerEpoch separates the attempts of one entry VM from those of the
// next one that takes the answer over.
const attemptsPerEpoch = 1 << 16

// NextEpoch returns an attempt number that is higher than all that the entry
// VM which made a can have handed out.
func (a Attempt) NextEpoch() Attempt {
	return (a/attemptsPerEpoch + 1) * attemptsPerEpoch
}

// Priority orders the work waiting in an engine; higher goes first.
type Priority int

// The priorities of work on an engine.
const (
	PriorityNormal  Priority = 0
	PriorityHigh    Priority = 10
	PriorityResumed Priority = 100 // answers that lost their engine
)

// Start asks an engine for a stream. The engine answers with numbered tokens
// from position Offset on, which continue Prompt followed by Prefix.
type Start struct {
	Stream    StreamID  `json:"stream"`
	Request   RequestID `json:"request"`
	Attempt   Attempt   `json:"attempt"`
	Version   Version   `json:"version"`
	Adapter   Adapter   `json:"adapter,omitempty"`
	Prompt    string    `json:"prompt"`
	Prefix    string    `json:"prefix,omitempty"`
	Offset    Tokens    `json:"offset"`
	MaxTokens Tokens    `json:"maxTokens"` // of the whole answer, Prefix included
	Seed      uint64    `json:"seed"`
	Priority  Priority  `json:"priority"`
}

// Check returns the first fault of a decoded Start.
func (s *Start) Check() error {
	switch {
	case s.Stream == "":
		return result.New(result.MissingField, "no stream id").On("stream")
	case s.Version == "":
		return result.New(result.MissingField, "no version").On("version")
	case s.Offset < 0 || s.Offset > s.MaxTokens:
		return result.New(result.OutOfRange, "offset %d of %d tokens", s.Offset, s.MaxTokens).On("offset")
	case s.MaxTokens <= 0:
		return result.New(result.OutOfRange, "maxTokens must be above 0").On("maxTokens")
	}
	return nil
}

// The types of the events of a stream.
const (
	EventToken      = "token"
	EventEnd        = "end"
	EventSuperseded = "superseded" // a later attempt reads the stream now
)

// StreamEvent is the data of one event of a stream.
type StreamEvent struct {
	Stream StreamID     `json:"stream"`
	Offset Tokens       `json:"offset"` // position of the token, or the answer's length at its end
	Text   string       `json:"text,omitempty"`
	Reason FinishReason `json:"reason,omitempty"`
}

// FinishReason says why an answer ended.
type FinishReason string

// The finish reasons, as callers of the OpenAI API know them.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// LoadReport is what an engine says of itself; it lags behind.
type LoadReport struct {
	Server      ServerID    `json:"server"`
	Incarnation Incarnation `json:"incarnation"`
	At          time.Time   `json:"at"` // when it was true
	Running     int         `json:"running"`
	Waiting     int         `json:"waiting"`
	Pending     Tokens      `json:"pending"` // tokens still to be prefilled or generated
	Draining    bool        `json:"draining"`
	CacheSeq    uint64      `json:"cacheSeq"` // the last cache event published
	Versions    []LoadedModel    `json:"versions"`
}

// LoadedModel is a version and adapter that an engine has in memory.
type LoadedModel struct {
	Version Version `json:"version"`
	Adapter Adapter `json:"adapter,omitempty"`
}

// CacheEvent tells that blocks of prompts entered or left an engine's prefix
// cache. Events come late, and some never: Seq shows the gaps.
type CacheEvent struct {
	Seq     uint64      `json:"seq"`
	Added   []BlockHash `json:"added,omitempty"`
	Removed []BlockHash `json:"removed,omitempty"`
}

// CacheEvents answers a call for the cache events after a sequence number.
type CacheEvents struct {
	Incarnation Incarnation  `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// Order tells an engine which state to be in. It names the wanted end state,
// so that an order that arrives twice does no harm.
type Order struct {
	Fence  Fence    `json:"fence"`
	Load   []LoadedModel `json:"load,omitempty"`
	Unload []LoadedModel `json:"unload,omitempty"`
	Role   Role     `json:"role,omitempty"`
}

// Role is what an engine does.
type Role string

// The roles of an engine.
const (
	RoleServing  Role = "serving"
	RoleDraining Role = "draining"
)

// Server is a backend server as the platform lists it.
type Server struct {
	ID          ServerID    `json:"id"`
	Address     string      `json:"address"` // IP number and port
	Domain      names.ID    `json:"domain"`
	Incarnation Incarnation `json:"incarnation"`
	Leaving     bool        `json:"leaving"`
}

// BlockWords is the length of a prompt block in words.
const BlockWords = 16

// BlockHashes returns the hashes of the prompt's full blocks. Each covers the whole
// prompt up to its end, so that equal hashes mean equal prefixes.
func BlockHashes(prompt string) []BlockHash {
	words := strings.Fields(prompt)
	blocks := make([]BlockHash, 0, len(words)/BlockWords)
	var d xxhash.Digest
	d.Reset()
	for i, w := range words {
		// A Digest never fails to write.
		_, _ = d.WriteString(w)
		_, _ = d.WriteString(" ")
		if (i+1)%BlockWords == 0 {
			blocks = append(blocks, BlockHash(d.Sum64()))
		}
	}
	return blocks
}

// CountTokens estimates the number of tokens in text: its words.
func CountTokens(text string) Tokens {
	return Tokens(len(strings.Fields(text)))
}
