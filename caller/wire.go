package caller

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"quetzalhold/engine"
	"quetzalhold/operator"
	"quetzalhold/result"
)

// Headers of callers' requests and of the responses to them.
const (
	HeaderRequestID   = "Quetzalhold-Request"  // the request's id, on each response to an accepted request
	HeaderDeadline    = "Quetzalhold-Deadline" // an RFC 3339 time
	HeaderLastEvent   = "Last-Event-ID"
	HeaderIdempotency = "Idempotency-Key"
	HeaderReplayed    = "Quetzalhold-Replayed" // marks the stored answer to an earlier request
	// HeaderHeartbeat requests periodic 102 responses until an answer that is
	// not streamed is complete; its only value is 102. Callers that do not
	// support informational responses omit it.
	HeaderHeartbeat = "Quetzalhold-Heartbeat"
)

// Paths of an entry VM's health checks.
const (
	PathAlive = "/healthz" // responds while the process runs
	PathReady = "/readyz"  // responds with 200 while new requests are accepted
)

// doneData is the data of the last event of a stream, as in the OpenAI API.
const doneData = "[DONE]"

// Style is the endpoint of the OpenAI API whose format request and answer have.
type Style int

// The styles.
const (
	StyleCompletion Style = iota // /v1/completions
	StyleChat                    // /v1/chat/completions
)

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. Callers may send it as a string or as a
// list of text parts.
type Content string

// UnmarshalJSON decodes a string or a list of text parts.
func (c *Content) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err == nil {
		*c = Content(s)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(b, &parts); err != nil {
		return fmt.Errorf("content is neither text nor a list of parts: %w", err)
	}
	var all strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return fmt.Errorf("content part of type %q; only text is served", p.Type)
		}
		all.WriteString(p.Text)
	}
	*c = Content(all.String())
	return nil
}

// CompletionRequest is the body of a request for an answer. Fields of the
// OpenAI API that are not listed here are accepted and have no effect.
type CompletionRequest struct {
	Model               operator.Model `json:"model"`
	Prompt              string         `json:"prompt,omitempty"`
	Messages            []Message      `json:"messages,omitempty"`
	MaxTokens           engine.Tokens  `json:"max_tokens,omitempty"`
	MaxCompletionTokens engine.Tokens  `json:"max_completion_tokens,omitempty"`
	N                   int            `json:"n,omitempty"`
	Seed                *uint64        `json:"seed,omitempty"`
	Stream              bool           `json:"stream,omitempty"`
	// Received is the text of each event received so far. Callers send it with
	// a Last-Event-ID, so that the answer can continue on another engine if the
	// one that generated it has failed.
	Received []string `json:"received,omitempty"`
}

// defaultMaxTokens is the maximum length of an answer whose request states none.
const defaultMaxTokens engine.Tokens = 512

// Validate returns the first fault of a decoded request.
func (q *CompletionRequest) Validate(s Style) error {
	switch {
	case q.Model == "":
		return result.New(result.MissingField, "empty").WithField("model").AsNotRun()
	case s == StyleCompletion && q.Prompt == "":
		return result.New(result.MissingField, "empty").WithField("prompt").AsNotRun()
	case s == StyleChat && len(q.Messages) == 0:
		return result.New(result.MissingField, "empty").WithField("messages").AsNotRun()
	case q.MaxTokens < 0 || q.MaxCompletionTokens < 0:
		return result.New(result.OutOfRange, "below 0").WithField("max_tokens").AsNotRun()
	case q.N > 1:
		return result.New(result.OutOfRange, "one answer a request").WithField("n").AsNotRun()
	}
	return nil
}

// PromptText returns the prompt for the engine. The messages of a chat become
// one text.
func (q *CompletionRequest) PromptText(s Style) string {
	if s == StyleCompletion {
		return q.Prompt
	}
	var b strings.Builder
	for _, m := range q.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteString("\n")
	}
	return b.String()
}

// TokenLimit returns the maximum length of the answer in tokens: the one that the
// request states or the default, but no more than maxTokens if that is above 0.
func (q *CompletionRequest) TokenLimit(maxTokens engine.Tokens) engine.Tokens {
	n := defaultMaxTokens
	switch {
	case q.MaxCompletionTokens > 0:
		n = q.MaxCompletionTokens
	case q.MaxTokens > 0:
		n = q.MaxTokens
	}
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return n
}

// Usage is the number of tokens of a prompt and its answer.
type Usage struct {
	PromptTokens     engine.Tokens `json:"prompt_tokens"`
	CompletionTokens engine.Tokens `json:"completion_tokens"`
	TotalTokens      engine.Tokens `json:"total_tokens"`
}

// Reply is a whole answer or one piece of a streamed one.
type Reply struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"` // seconds since the Unix epoch, 1970
	Model   operator.Model `json:"model"`
	Choices []ReplyChoice  `json:"choices"`
	Usage   *Usage         `json:"usage,omitempty"`
}

// ReplyChoice is the only choice of a reply. Which fields are set depends on
// the style and on whether the answer is streamed.
type ReplyChoice struct {
	Index        int                  `json:"index"`
	Text         *string              `json:"text,omitempty"`
	Message      *ReplyMessage        `json:"message,omitempty"`
	Delta        *ReplyMessage        `json:"delta,omitempty"`
	FinishReason *engine.FinishReason `json:"finish_reason"`
	Logprobs     *struct{}            `json:"logprobs"`
}

// ReplyMessage is a chat message of a reply.
type ReplyMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Formatter formats the replies to one request.
type Formatter struct {
	ID      engine.RequestID
	Style   Style
	Model   operator.Model
	Created time.Time
}

const roleAssistant = "assistant"

// reply returns a reply with the fields that all replies to the request share.
func (f Formatter) reply(object string, choice ReplyChoice) Reply {
	prefix := "cmpl-"
	if f.Style == StyleChat {
		prefix = "chatcmpl-"
	}
	return Reply{
		ID:      prefix + string(f.ID),
		Object:  object,
		Created: f.Created.Unix(),
		Model:   f.Model,
		Choices: []ReplyChoice{choice},
	}
}

// Piece returns one piece of a streamed answer.
func (f Formatter) Piece(d engine.Delta) Reply {
	choice := ReplyChoice{}
	if d.Finish != "" {
		choice.FinishReason = &d.Finish
	}
	if f.Style == StyleCompletion {
		choice.Text = &d.Text
		return f.reply("text_completion", choice)
	}
	choice.Delta = &ReplyMessage{Content: d.Text}
	if d.Offset == 0 {
		choice.Delta.Role = roleAssistant
	}
	return f.reply("chat.completion.chunk", choice)
}

// Whole returns a whole answer.
func (f Formatter) Whole(text string, finish engine.FinishReason, u Usage) Reply {
	choice := ReplyChoice{FinishReason: &finish}
	var r Reply
	if f.Style == StyleCompletion {
		choice.Text = &text
		r = f.reply("text_completion", choice)
	} else {
		choice.Message = &ReplyMessage{Role: roleAssistant, Content: text}
		r = f.reply("chat.completion", choice)
	}
	r.Usage = &u
	return r
}

// ModelList is the reply to a request for the list of models.
type ModelList struct {
	Object string       `json:"object"`
	Data   []ModelEntry `json:"data"`
}

// ModelEntry is one model of a ModelList.
type ModelEntry struct {
	ID      operator.Model `json:"id"`
	Object  string         `json:"object"`
	OwnedBy string         `json:"owned_by"`
}
