package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"
	"go.opentelemetry.io/otel/propagation"

	"quetzalhold/clock"
	"quetzalhold/engine"
	"quetzalhold/result"
)

// Client asks questions and survives the loss of the entry VM that answers:
// it takes the answer up again at another one, from the last event it got.
// Use [NewClient].
type Client struct {
	entries []string
	key     string
	http    *http.Client
	onPiece func(text string)
	onNote  func(format string, args ...any)
	silence time.Duration
	tries   int
	next    int
}

// ClientOption changes a Client.
type ClientOption func(*Client)

// WithDial sets how connections are opened.
func WithDial(d engine.Dialer) ClientOption {
	return func(c *Client) { c.http.Transport.(*http.Transport).DialContext = engine.TimeoutDialer(d) }
}

// OnPiece sets what is told of each piece of an answer.
func OnPiece(f func(text string)) ClientOption { return func(c *Client) { c.onPiece = f } }

// OnNote sets what is told of losses.
func OnNote(f func(format string, args ...any)) ClientOption { return func(c *Client) { c.onNote = f } }

// WithTries sets how many connections one answer may take.
func WithTries(n int) ClientOption { return func(c *Client) { c.tries = n } }

// The defaults of Client, and its pace.
const (
	// clientSilence is how long an entry VM may be silent; it sends
	// heartbeats more often than that.
	clientSilence = 3 * heartbeat
	clientTries   = 40
	clientPause   = 50 * time.Millisecond
	maxPause      = time.Second
)

// NewClient returns a client of the entry VMs at the given addresses.
func NewClient(entries []string, key string, opts ...ClientOption) *Client {
	c := &Client{
		entries: entries,
		key:     key,
		http:    &http.Client{Transport: &http.Transport{DialContext: engine.TimeoutDialer(nil), DisableKeepAlives: true}},
		onPiece: func(string) {},
		onNote:  func(string, ...any) {},
		silence: clientSilence,
		tries:   clientTries,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Received is an answer as a caller got it.
type Received struct {
	Request engine.RequestID
	Tokens  []string
	Finish  engine.FinishReason
	Resumed int // times it was taken up again
}

// Text returns the answer's text.
func (a *Received) Text() string { return strings.Join(a.Tokens, "") }

// asking is one question under way.
type asking struct {
	client   *Client
	style    Style
	question Question
	deadline time.Time
	answer   Received
	cursor   string
	done     bool
}

// Stream asks for a streamed answer. On failure it returns what was received
// with the error.
func (c *Client) Stream(ctx context.Context, s Style, q Question) (*Received, error) {
	q.Stream = true
	a := &asking{client: c, style: s, question: q}
	return a.run(ctx, a.stream)
}

// Whole asks for an answer at once. While none was delivered, the question may
// be repeated at another entry VM.
func (c *Client) Whole(ctx context.Context, s Style, q Question) (*Received, error) {
	q.Stream = false
	a := &asking{client: c, style: s, question: q}
	return a.run(ctx, a.whole)
}

// run repeats try at one entry VM after the other until the answer is whole.
func (a *asking) run(ctx context.Context, try func(context.Context, string) error) (*Received, error) {
	a.deadline, _ = ctx.Deadline()
	pause := clientPause
	var err error
	for i := 0; i < a.client.tries; i++ {
		before := len(a.answer.Tokens)
		err = try(ctx, a.client.entry())
		if a.done {
			return &a.answer, nil
		}
		if ctx.Err() != nil || !again(err) {
			break
		}
		a.client.onNote("lost after %d tokens: %v", len(a.answer.Tokens), err)
		a.client.next++
		a.answer.Resumed++
		if len(a.answer.Tokens) > before {
			pause = clientPause
		}
		if i%len(a.client.entries) == len(a.client.entries)-1 {
			_ = clock.Sleep(ctx, pause) // the loop sees the end of ctx
			pause = min(2*pause, maxPause)
		}
	}
	return &a.answer, err
}

func (c *Client) entry() string { return c.entries[c.next%len(c.entries)] }

// again reports whether another entry VM may do better. A numbered error of
// the system is final, but for those that concern one entry VM only.
func again(err error) bool {
	var e *result.Error
	if !errors.As(err, &e) {
		return true
	}
	switch e.Code {
	case result.Stopping, result.Superseded, result.NoConfiguration, result.EngineLost, result.Internal:
		return true
	}
	return false
}

func (a *asking) request(ctx context.Context, entry string) (*http.Request, error) {
	q := a.question
	if a.cursor != "" {
		q.Received = a.answer.Tokens
	}
	b, err := json.Marshal(q)
	if err != nil {
		return nil, fmt.Errorf("encode question: %w", err)
	}
	path := "/v1/completions"
	if a.style == StyleChat {
		path = "/v1/chat/completions"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, bytes.NewReader(b))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+a.client.key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderHeartbeat, "102")
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	if a.cursor != "" {
		req.Header.Set(HeaderLastEvent, a.cursor)
	}
	if !a.deadline.IsZero() {
		req.Header.Set(HeaderDeadline, a.deadline.UTC().Format(time.RFC3339Nano))
	}
	return req, nil
}

// watched runs one connection's share of an answer. It fails where the entry
// VM is silent for too long; heard tells that it was not.
func (a *asking) watched(ctx context.Context, entry string, f func(resp *http.Response) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := time.AfterFunc(a.client.silence, func() {
		cancel(fmt.Errorf("entry VM %s is silent", entry))
	})
	defer watch.Stop()
	heard := func() { watch.Reset(a.client.silence) }
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			heard()
			return nil
		},
	})
	resp, err := a.do(ctx, entry)
	if err != nil {
		return causeOf(ctx, err)
	}
	defer resp.Body.Close()
	resp.Body = &heardBody{ReadCloser: resp.Body, heard: heard}
	return causeOf(ctx, f(resp))
}

// stream reads one connection's share of a streamed answer.
func (a *asking) stream(ctx context.Context, entry string) error {
	return a.watched(ctx, entry, func(resp *http.Response) error {
		for ev, err := range sse.Read(resp.Body, nil) {
			if err != nil {
				return err
			}
			if err := a.take(ev); err != nil || a.done {
				return err
			}
		}
		return io.ErrUnexpectedEOF
	})
}

// causeOf returns why ctx ended, if that made err.
func causeOf(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// do sends the question and returns a response whose status is below 300.
func (a *asking) do(ctx context.Context, entry string) (*http.Response, error) {
	req, err := a.request(ctx, entry)
	if err != nil {
		return nil, err
	}
	resp, err := a.client.http.Do(req)
	if err != nil {
		return nil, err
	}
	a.answer.Request = engine.RequestID(resp.Header.Get(HeaderRequestID))
	if resp.StatusCode >= http.StatusMultipleChoices {
		defer resp.Body.Close()
		return nil, result.Read(resp, result.Internal)
	}
	return resp, nil
}

// take takes one event of a streamed answer.
func (a *asking) take(ev sse.Event) error {
	if ev.Type == "error" {
		var env result.Envelope
		if err := json.Unmarshal([]byte(ev.Data), &env); err != nil || env.Error == nil {
			return fmt.Errorf("error event: %q", ev.Data)
		}
		return env.Error
	}
	if ev.Data == doneData {
		a.done = a.answer.Finish != ""
		return nil
	}
	var r Reply
	if err := json.Unmarshal([]byte(ev.Data), &r); err != nil || len(r.Choices) == 0 {
		return fmt.Errorf("malformed event %q", ev.Data)
	}
	a.cursor = ev.LastEventID
	ch := r.Choices[0]
	if ch.FinishReason != nil {
		a.answer.Finish = *ch.FinishReason
		return nil
	}
	text := ""
	switch {
	case ch.Text != nil:
		text = *ch.Text
	case ch.Delta != nil:
		text = ch.Delta.Content
	}
	a.answer.Tokens = append(a.answer.Tokens, text)
	a.client.onPiece(text)
	return nil
}

// whole asks one entry VM for the whole answer.
func (a *asking) whole(ctx context.Context, entry string) error {
	return a.watched(ctx, entry, func(resp *http.Response) error {
		var r Reply
		if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
			return fmt.Errorf("decode answer: %w", err)
		}
		if len(r.Choices) == 0 || r.Choices[0].FinishReason == nil {
			return errors.New("the answer has no end")
		}
		a.takeWhole(r.Choices[0])
		return nil
	})
}

func (a *asking) takeWhole(ch ReplyChoice) {
	a.answer.Finish = *ch.FinishReason
	switch {
	case ch.Text != nil:
		a.answer.Tokens = []string{*ch.Text}
	case ch.Message != nil:
		a.answer.Tokens = []string{ch.Message.Content}
	}
	a.client.onPiece(a.answer.Text())
	a.done = true
}

// heardBody tells of each read that brought something.
type heardBody struct {
	io.ReadCloser
	heard func()
}

// Read implements io.Reader.
func (h *heardBody) Read(p []byte) (int, error) {
	n, err := h.ReadCloser.Read(p)
	if n > 0 {
		h.heard()
	}
	return n, err
}
