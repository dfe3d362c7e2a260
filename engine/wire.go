// Package engine is the client of model engines. It decides which engine gets a
// request, when a stream has failed, and how the answer continues after a failure.
//
// The decisions ([Chooser.Choose], [Policy.Decide], [Generation]) do no I/O: they
// take the time and typed inputs and return typed decisions. [Client] makes the HTTP
// calls, and [Runner] carries out the decisions with it.
package engine

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhold/names"
	"quetzalhold/result"
)

// Identifiers used in calls to engines.
type (
	// ServerID names a backend server or an entry VM in the platform's list.
	ServerID string
	// StreamID names one stream of tokens on an engine.
	StreamID string
	// RequestID names a caller's request. It is unique across the system.
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

// Attempt is the number of an attempt to read an answer from an engine. A later
// attempt for the same answer has a higher number than every earlier one, also
// across entry VMs.
type Attempt uint64

// attemptsPerEpoch is the range of attempt numbers of one entry VM for an answer.
// The next entry VM that continues the answer uses the range after it.
const attemptsPerEpoch = 1 << 16

// NextEpoch returns an attempt number that is higher than any that the entry VM
// which made attempt a can have used.
func (a Attempt) NextEpoch() Attempt {
	return (a/attemptsPerEpoch + 1) * attemptsPerEpoch
}

// Priority is the priority of work that waits in an engine; higher goes first.
type Priority int

// The priorities.
const (
	PriorityNormal  Priority = 0
	PriorityHigh    Priority = 10
	PriorityResumed Priority = 100 // answers that continue after they lost their engine
)

// Start is the request for a new stream. The engine streams numbered tokens from
// position Offset on; they continue Prompt followed by Prefix.
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

// Check returns an error for the first invalid field of a decoded Start.
func (s *Start) Check() error {
	switch {
	case s.Stream == "":
		return result.New(result.MissingField, "no stream id").WithField("stream")
	case s.Version == "":
		return result.New(result.MissingField, "no version").WithField("version")
	case s.Offset < 0 || s.Offset > s.MaxTokens:
		return result.New(result.OutOfRange, "offset %d of %d tokens", s.Offset, s.MaxTokens).WithField("offset")
	case s.MaxTokens <= 0:
		return result.New(result.OutOfRange, "maxTokens must be above 0").WithField("maxTokens")
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

// FinishReason is the reason why an answer ended.
type FinishReason string

// The finish reasons, with their names in the OpenAI API.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// LoadReport is an engine's report of its own load. It is out of date by the time it
// arrives.
type LoadReport struct {
	Server      ServerID      `json:"server"`
	Incarnation Incarnation   `json:"incarnation"`
	At          time.Time     `json:"at"` // when the engine made it
	Running     int           `json:"running"`
	Waiting     int           `json:"waiting"`
	Pending     Tokens        `json:"pending"` // tokens still to be prefilled or generated
	Draining    bool          `json:"draining"`
	CacheSeq    uint64        `json:"cacheSeq"` // the last cache event published
	Versions    []LoadedModel `json:"versions"`
}

// LoadedModel is a version and adapter that an engine has in memory.
type LoadedModel struct {
	Version Version `json:"version"`
	Adapter Adapter `json:"adapter,omitempty"`
}

// CacheEvent reports blocks of prompts added to or removed from an engine's prefix
// cache. Events may be late or lost; a gap in Seq shows lost events.
type CacheEvent struct {
	Seq     uint64      `json:"seq"`
	Added   []BlockHash `json:"added,omitempty"`
	Removed []BlockHash `json:"removed,omitempty"`
}

// CacheEvents is the response to a request for the cache events after a sequence
// number.
type CacheEvents struct {
	Incarnation Incarnation  `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// Order tells an engine which state to reach. It contains the target state rather
// than a change, so that an order delivered twice has the same effect as one.
type Order struct {
	Fence  Fence         `json:"fence"`
	Load   []LoadedModel `json:"load,omitempty"`
	Unload []LoadedModel `json:"unload,omitempty"`
	Role   Role          `json:"role,omitempty"`
}

// Role is the role of an engine.
type Role string

// The roles.
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

// BlockHashes returns the hashes of the prompt's full blocks. Each hash covers the
// prompt from its beginning to the end of the block, so that equal hashes mean equal
// prefixes.
func BlockHashes(prompt string) []BlockHash {
	words := strings.Fields(prompt)
	blocks := make([]BlockHash, 0, len(words)/BlockWords)
	var d xxhash.Digest
	d.Reset()
	for i, w := range words {
		// Writing to a Digest never fails.
		_, _ = d.WriteString(w)
		_, _ = d.WriteString(" ")
		if (i+1)%BlockWords == 0 {
			blocks = append(blocks, BlockHash(d.Sum64()))
		}
	}
	return blocks
}

// CountTokens returns an estimate of the number of tokens in text: its words.
func CountTokens(text string) Tokens {
	return Tokens(len(strings.Fields(text)))
}
