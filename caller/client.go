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
	"quetzalhold/http1"
	"quetzalhold/result"
)

// Client requests answers and survives the loss of the entry VM that serves
// it: it resumes the answer at another entry VM, from the last event received.
// It serves one request at a time. Use [NewClient].
type Client struct {
	addrs       []string
	key         string
	http        *http.Client
	onPiece     func(text string)
	logf        func(format string, args ...any)
	idleTimeout time.Duration
	maxAttempts int
	current     int // index into addrs, modulo their number
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithDial sets how connections are opened.
func WithDial(d engine.Dialer) ClientOption {
	return func(c *Client) { c.http.Transport = newTransport(d) }
}

// OnPiece sets a function that is called with the text of each piece of a
// streamed answer, or with the whole text of an answer that is not streamed.
func OnPiece(f func(text string)) ClientOption { return func(c *Client) { c.onPiece = f } }

// WithLogf sets a function that is called with a format and its arguments each
// time a connection fails and the client retries.
func WithLogf(f func(format string, args ...any)) ClientOption { return func(c *Client) { c.logf = f } }

// WithMaxAttempts sets the maximum number of connection attempts per answer.
func WithMaxAttempts(n int) ClientOption { return func(c *Client) { c.maxAttempts = n } }

// Defaults and backoff of Client.
const (
	// clientIdleTimeout is how long a connection may be silent; entry VMs send
	// heartbeats more often than that.
	clientIdleTimeout = 3 * heartbeat
	clientMaxAttempts = 40
	minBackoff        = 50 * time.Millisecond
	maxBackoff        = time.Second
)

// newTransport returns the transport of a client that dials with d.
func newTransport(d engine.Dialer) *http1.Transport {
	return http1.New(&http.Transport{DialContext: engine.TimeoutDialer(d), DisableKeepAlives: true, MaxResponseHeaderBytes: engine.MaxHeaderBytes})
}

// NewClient returns a client of the entry VMs at the given addresses.
func NewClient(entries []string, key string, opts ...ClientOption) *Client {
	c := &Client{
		addrs:       entries,
		key:         key,
		http:        &http.Client{Transport: newTransport(nil)},
		onPiece:     func(string) {},
		logf:        func(string, ...any) {},
		idleTimeout: clientIdleTimeout,
		maxAttempts: clientMaxAttempts,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Received is an answer as a Client received it.
type Received struct {
	Request engine.RequestID
	Tokens  []string
	Finish  engine.FinishReason
	Resumed int // number of retries after a failed connection
}

// Text returns the answer's text.
func (a *Received) Text() string { return strings.Join(a.Tokens, "") }

// clientRequest is one request of a Client, over all its connections.
type clientRequest struct {
	client   *Client
	style    Style
	body     CompletionRequest
	deadline time.Time
	answer   Received
	cursor   string
	done     bool
}

// Stream requests a streamed answer. If it fails, it returns the part that was
// received along with the error.
func (c *Client) Stream(ctx context.Context, s Style, q CompletionRequest) (*Received, error) {
	q.Stream = true
	a := &clientRequest{client: c, style: s, body: q}
	return a.run(ctx, a.stream)
}

// Whole requests an answer in one response. The request is repeated at another
// entry VM if a connection fails before the whole answer was received.
func (c *Client) Whole(ctx context.Context, s Style, q CompletionRequest) (*Received, error) {
	q.Stream = false
	a := &clientRequest{client: c, style: s, body: q}
	return a.run(ctx, a.whole)
}

// run calls try with one entry VM after the other until the answer is
// complete, an error is final or the attempts are used up. It backs off each
// time all entry VMs were tried; a received token resets the backoff.
func (a *clientRequest) run(ctx context.Context, try func(context.Context, string) error) (*Received, error) {
	a.deadline, _ = ctx.Deadline()
	backoff := minBackoff
	var err error
	for i := 0; i < a.client.maxAttempts; i++ {
		before := len(a.answer.Tokens)
		err = try(ctx, a.client.addr())
		if a.done {
			return &a.answer, nil
		}
		if ctx.Err() != nil || !retryable(err) {
			break
		}
		a.client.logf("lost after %d tokens: %v", len(a.answer.Tokens), err)
		a.client.current++
		a.answer.Resumed++
		if len(a.answer.Tokens) > before {
			backoff = minBackoff
		}
		if i%len(a.client.addrs) == len(a.client.addrs)-1 {
			_ = clock.Sleep(ctx, backoff) // the next iteration sees that ctx has ended
			backoff = min(2*backoff, maxBackoff)
		}
	}
	return &a.answer, err
}

// addr returns the address of the current entry VM.
func (c *Client) addr() string { return c.addrs[c.current%len(c.addrs)] }

// retryable reports whether the request may succeed at another entry VM. Errors
// with a result code are final, except those that concern only the entry VM
// that reported them.
func retryable(err error) bool {
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

// newRequest returns the HTTP request for the answer; after the first event it
// carries the cursor of the last one and the tokens received.
func (a *clientRequest) newRequest(ctx context.Context, addr string) (*http.Request, error) {
	q := a.body
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(b))
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

// roundTrip sends the request to one entry VM and has f read the response. It
// fails if the connection is silent for longer than the idle timeout. Each
// informational response and each read that returns data restarts that timeout.
func (a *clientRequest) roundTrip(ctx context.Context, addr string, f func(resp *http.Response) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(a.client.idleTimeout, func() {
		cancel(fmt.Errorf("entry VM %s is silent", addr))
	})
	defer timer.Stop()
	restart := func() { timer.Reset(a.client.idleTimeout) }
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			restart()
			return nil
		},
	})
	resp, err := a.do(ctx, addr)
	if err != nil {
		return causeOf(ctx, err)
	}
	defer resp.Body.Close()
	resp.Body = struct {
		io.Reader
		io.Closer
	}{&engine.ActivityReader{Reader: resp.Body, OnRead: restart}, resp.Body}
	return causeOf(ctx, f(resp))
}

// stream requests a streamed answer from one entry VM, from the cursor on, and
// reads its events until the answer is complete or the connection fails.
func (a *clientRequest) stream(ctx context.Context, addr string) error {
	return a.roundTrip(ctx, addr, func(resp *http.Response) error {
		for ev, err := range sse.Read(resp.Body, nil) {
			if err != nil {
				return err
			}
			if err := a.handleEvent(ev); err != nil || a.done {
				return err
			}
		}
		return io.ErrUnexpectedEOF
	})
}

// causeOf returns the cause of ctx in place of err if ctx has ended.
func causeOf(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// do sends the request and returns the response. It fails if the status is 300
// or above.
func (a *clientRequest) do(ctx context.Context, addr string) (*http.Response, error) {
	req, err := a.newRequest(ctx, addr)
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

// handleEvent applies one event of a streamed answer.
func (a *clientRequest) handleEvent(ev sse.Event) error {
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

// maxReplyBytes bounds an answer in one response.
const maxReplyBytes = 16 << 20

// whole requests an answer from one entry VM in one response.
func (a *clientRequest) whole(ctx context.Context, addr string) error {
	return a.roundTrip(ctx, addr, func(resp *http.Response) error {
		var r Reply
		if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&r); err != nil {
			return fmt.Errorf("decode answer: %w", err)
		}
		if len(r.Choices) == 0 || r.Choices[0].FinishReason == nil {
			return errors.New("the answer has no end")
		}
		a.setWhole(r.Choices[0])
		return nil
	})
}

// setWhole stores an answer that came in one response.
func (a *clientRequest) setWhole(ch ReplyChoice) {
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
